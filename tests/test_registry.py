"""Tests of the registry: delayed, invalid and old reports, and restarts."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch.platform import calls
from primrosehitch.platform import fields


def make_record(
    identifier="a", born=1, sequence=1, state="ready", address="x:1"
):
    return messages.EndpointRecord(
        id=identifier,
        born=born,
        sequence=sequence,
        service="s",
        address=address,
        domain="z",
        slots=4,
        state=state,
    )


def states_by_id(endpoints):
    return {r.id: r.state for r in endpoints.records()}


def test_delayed_report_is_ignored():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=5, state="draining"), 0)
    assert endpoints.apply_record(make_record(sequence=4), 10) is None
    assert states_by_id(endpoints) == {"a": "draining"}


def test_left_endpoint_ignores_later_reports_of_its_incarnation():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(), 0)
    endpoints.mark_left("a", 1, 1)
    assert endpoints.apply_record(make_record(sequence=9), 2) is None
    assert endpoints.live_records() == []


def test_left_endpoint_ignores_a_delayed_first_report():
    endpoints = registry.Registry()
    endpoints.mark_left("a", 1, 0)
    assert endpoints.apply_record(make_record(), 1) is None
    assert endpoints.live_records() == []


def test_new_incarnation_is_accepted():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=50), 0)
    endpoints.mark_left("a", 1, 1)
    assert (
        endpoints.apply_record(make_record(born=2, sequence=1), 2) is not None
    )
    assert states_by_id(endpoints) == {"a": "ready"}


def test_leave_of_an_old_incarnation_is_ignored():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(born=2), 0)
    assert endpoints.mark_left("a", 1, 1) is None
    assert states_by_id(endpoints) == {"a": "ready"}


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_address_belongs_to_its_newest_incarnation(order):
    endpoints = registry.Registry()
    old_and_new = (make_record("old", born=1), make_record("new", born=2))
    for i in order:
        endpoints.apply_record(old_and_new[i], 0)
    assert states_by_id(endpoints) == {"old": "left", "new": "ready"}


def test_endpoints_fall_silent_and_are_removed():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(), 0)
    assert endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS) == []
    (change,) = endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 1)
    assert change.record.state == "silent"
    endpoints.expire(registry.RETENTION_MS)
    assert states_by_id(endpoints) == {"a": "silent"}
    endpoints.expire(registry.RETENTION_MS + 1)
    assert endpoints.records() == []
    assert endpoints.owner_by_address == {}


# Guards against: an endpoint whose heartbeats were lost for a while was
# refused for the rest of its life (incident inc1).
def test_silent_endpoint_is_ready_again_once_it_is_heard():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=5), 0)
    endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 1)
    assert states_by_id(endpoints) != {"a": "ready"}
    heard_at = registry.HEARTBEAT_TIMEOUT_MS + 2
    assert endpoints.apply_record(make_record(sequence=5), heard_at) is None
    change = endpoints.apply_record(make_record(sequence=6), heard_at)
    assert change is not None and change.record.state == "ready"
    assert states_by_id(endpoints) == {"a": "ready"}


def test_departure_of_a_silent_endpoint_is_final():
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=5), 0)
    endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 1)
    assert endpoints.mark_left("a", 1, 20_000) is not None
    assert endpoints.apply_record(make_record(sequence=6), 20_001) is None
    assert states_by_id(endpoints) == {"a": "left"}


@pytest.mark.parametrize("known,applies", [(4, True), (5, True), (6, False)])
def test_told_silence_applies_to_the_same_or_older_reports(known, applies):
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=known), 0)
    told = make_record(sequence=5, state="silent")
    assert (endpoints.apply_record(told, 1) is not None) == applies


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(("a", "b")),
        st.integers(1, 3),
        st.integers(1, 4),
        st.sampled_from(("ready", "draining", "left")),
    ),
    max_size=12,
)


@given(REPORTS)
def test_digest_is_never_stale(reports):
    endpoints = registry.Registry()
    for identifier, born, sequence, state in reports:
        # Two endpoints follow each other at one address.
        record = make_record(identifier, born, sequence, state, "a:1")
        endpoints.apply_record(record, 0)
        fresh = registry.Registry()
        fresh.entries = endpoints.entries
        assert endpoints.digest() == fresh.digest()


def test_heartbeats_alone_keep_the_digest():
    """Control instances compare it several times a second."""
    endpoints = registry.Registry()
    endpoints.apply_record(make_record(sequence=1), 0)
    digest = endpoints.digest()
    endpoints.apply_record(make_record(sequence=2), 1)
    assert endpoints.cached_digest == digest
    endpoints.apply_record(make_record("b", address="y:1"), 1)
    endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 2)
    digest = endpoints.digest()
    endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 1002)
    assert endpoints.cached_digest == digest
    endpoints.apply_record(make_record(sequence=3), 20_000)
    digest = endpoints.digest()
    endpoints.apply_record(make_record(sequence=4, state="draining"), 20_001)
    assert endpoints.digest() != digest


def test_change_says_how_it_was_learned():
    endpoints = registry.Registry()
    reported = endpoints.apply_record(make_record(), 0)
    departed = endpoints.mark_left("a", 1, 1)
    endpoints.apply_record(make_record(born=2), 2)
    (timed_out,) = endpoints.expire(registry.HEARTBEAT_TIMEOUT_MS + 3)
    causes = [c.cause for c in (reported, departed, timed_out)]
    assert causes == ["reported", "departed", "heartbeat-timeout"]


@given(REPORTS, st.randoms(use_true_random=False))
def test_order_of_reports_does_not_matter(reports, rng):
    """Instances with the same reports agree on the live endpoints."""
    unique = {(i, b, s): r for r in reports for i, b, s, _ in [r]}
    first_registry, second_registry = registry.Registry(), registry.Registry()
    shuffled = list(unique.values())
    rng.shuffle(shuffled)
    for endpoints, order in (
        (first_registry, unique.values()),
        (second_registry, shuffled),
    ):
        for identifier, born, sequence, state in order:
            address = f"{identifier}:1"
            endpoints.apply_record(
                make_record(identifier, born, sequence, state, address), 0
            )
    assert states_by_id(first_registry) == states_by_id(second_registry)
    assert first_registry.digest() == second_registry.digest()


VALID_HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "seq": 3,
    "born": 5,
}


def heartbeat_body(**changes):
    import json

    return json.dumps({**VALID_HEARTBEAT, **changes}).encode()


@pytest.mark.parametrize(
    "data,path",
    [
        (b"", "$"),
        (b"[]", "$"),
        (b"{", "$"),
        (b"\xff\xfe", "$"),
        (heartbeat_body(state="odd"), "$.state"),
        (heartbeat_body(state=5), "$.state"),
        (heartbeat_body(address="nowhere"), "$.address"),
        (heartbeat_body(address="1.2.3.4:99999"), "$.address"),
        (heartbeat_body(seq="3"), "$.seq"),
        (heartbeat_body(seq=None), "$.seq"),
        (heartbeat_body(slots=-1), "$.slots"),
        (heartbeat_body(service=""), "$.service"),
        (heartbeat_body(born=1.5), "$.born"),
        (heartbeat_body(zone=[]), "$.zone"),
    ],
)
def test_invalid_heartbeats_name_the_path(data, path):
    with pytest.raises(fields.FieldError) as caught:
        calls.parse_heartbeat("i-1", data)
    assert caught.value.path == path


def test_valid_heartbeat_is_parsed():
    heartbeat = calls.parse_heartbeat(
        "i-1", heartbeat_body(state="draining", leaves_ms=2500)
    )
    assert heartbeat == messages.EndpointRecord(
        "i-1", 5, 3, "s", "10.0.0.1:80", "z", 4, "draining", False, 2500
    )


def record_of(service, identifier, born, address="10.0.0.1:80", **changes):
    return messages.EndpointRecord(
        identifier,
        born,
        1,
        service,
        address,
        "z",
        8,
        registry.READY,
        **changes,
    )


# Guards against: a record of a service that no table names takes an
# endpoint away.
@pytest.mark.parametrize("identifier", ["i-other", "i-0"])
def test_record_of_an_unnamed_service_changes_no_named_endpoint(identifier):
    known = registry.Registry()
    known.set_services(["svc"])
    sound = record_of("svc", "i-0", 5)
    known.apply_record(sound, 0)
    known.apply_record(record_of("exporter", identifier, 9), 1)
    assert known.entries["i-0"].record == sound
    assert known.owner_by_address == {"10.0.0.1:80": "i-0"}
    later = sound._replace(sequence=2, state=registry.DRAINING)
    assert known.apply_record(later, 2).record == later
    # Neither does the next table, unless it names the service.
    known.set_services(["svc", "third"])
    assert known.entries["i-0"].record == later


def test_table_that_names_a_service_lets_its_endpoints_take_addresses():
    known = registry.Registry()
    known.set_services(())
    for service, identifier, born in (
        ("new", "i-2", 9),
        ("svc", "i-0", 5),
        ("svc", "i-1", 6),
    ):
        known.apply_record(record_of(service, identifier, born), 0)
    assert known.owner_by_address == {}
    known.set_services(["svc"])
    assert known.owner_by_address == {"10.0.0.1:80": "i-1"}
    assert known.entries["i-0"].record.state == registry.LEFT
    known.set_services(["svc", "new"])
    assert known.owner_by_address == {"10.0.0.1:80": "i-2"}
    assert known.entries["i-1"].record.state == registry.LEFT
    known.set_services(["svc"])
    known.apply_record(record_of("svc", "i-3", 7), 1)
    assert known.owner_by_address == {"10.0.0.1:80": "i-3"}


def test_departure_counts_whatever_service_it_names():
    known = registry.Registry()
    known.set_services(["svc"])
    known.apply_record(record_of("svc", "i-0", 5), 0)
    gone = messages.EndpointRecord("i-0", 5, state=registry.LEFT)
    assert known.apply_record(gone, 1).record.state == registry.LEFT


# Guards against: a record of an unnamed service that came before the table
# keeps an endpoint's identifier for good.
def test_identifier_goes_back_to_the_endpoint_of_a_named_service():
    known = registry.Registry()
    known.set_services(())
    sound = record_of("svc", "i-0", 5)
    known.apply_record(sound, 0)
    known.apply_record(record_of("exporter", "i-0", 9), 1)
    known.set_services(["svc"])
    repeated = sound._replace(sequence=2)
    assert known.apply_record(repeated, 2).record == repeated
    assert known.owner_by_address == {"10.0.0.1:80": "i-0"}
