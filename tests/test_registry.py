"""Endpoints' reports: late, forged, old, restarted, moved."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch.platform import calls
from primrosehitch.platform import fields


def record(identifier="a", born=1, sequence=1, state="ready", address="x:1"):
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


def states(found):
    return {r.id: r.state for r in found.records()}


def test_a_late_report_changes_nothing():
    found = registry.Registry()
    found.apply_record(record(sequence=5, state="draining"), 0)
    assert found.apply_record(record(sequence=4), 10) is None
    assert states(found) == {"a": "draining"}


def test_leaving_wins_over_a_later_report_of_the_same_start():
    found = registry.Registry()
    found.apply_record(record(), 0)
    found.mark_left("a", 1, 1)
    assert found.apply_record(record(sequence=9), 2) is None
    assert found.live_records() == []


def test_leaving_wins_over_a_report_that_was_held_up():
    found = registry.Registry()
    found.mark_left("a", 1, 0)
    assert found.apply_record(record(), 1) is None
    assert found.live_records() == []


def test_a_new_start_counts_anew():
    found = registry.Registry()
    found.apply_record(record(sequence=50), 0)
    found.mark_left("a", 1, 1)
    assert found.apply_record(record(born=2, sequence=1), 2) is not None
    assert states(found) == {"a": "ready"}


def test_an_old_leave_does_not_end_a_new_start():
    found = registry.Registry()
    found.apply_record(record(born=2), 0)
    assert found.mark_left("a", 1, 1) is None
    assert states(found) == {"a": "ready"}


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_an_address_belongs_to_its_newest_start(order):
    found = registry.Registry()
    both = (record("old", born=1), record("new", born=2))
    for i in order:
        found.apply_record(both[i], 0)
    assert states(found) == {"old": "left", "new": "ready"}


def test_the_silent_go_and_are_forgotten():
    found = registry.Registry()
    found.apply_record(record(), 0)
    assert found.expire(registry.HEARTBEAT_TIMEOUT_MS) == []
    (change,) = found.expire(registry.HEARTBEAT_TIMEOUT_MS + 1)
    assert change.record.state == "left"
    later = 2 * registry.HEARTBEAT_TIMEOUT_MS + registry.LEFT_RETENTION_MS
    found.expire(later)
    assert found.records() == []
    assert found.owner_by_address == {}


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(("a", "b")),
        st.integers(1, 3),
        st.integers(1, 4),
        st.sampled_from(("ready", "draining", "left")),
    ),
    max_size=12,
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_the_order_of_reports_does_not_matter(reports, rng):
    """All instances agree on what is live once they heard the same."""
    unique = {(i, b, s): r for r in reports for i, b, s, _ in [r]}
    one, other = registry.Registry(), registry.Registry()
    shuffled = list(unique.values())
    rng.shuffle(shuffled)
    for found, order in ((one, unique.values()), (other, shuffled)):
        for identifier, born, sequence, state in order:
            address = f"{identifier}:1"
            found.apply_record(
                record(identifier, born, sequence, state, address), 0
            )
    assert states(one) == states(other)
    assert one.digest() == other.digest()


GOOD = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "seq": 3,
    "born": 5,
}


def body(**changes):
    import json

    return json.dumps({**GOOD, **changes}).encode()


@pytest.mark.parametrize(
    "data,path",
    [
        (b"", "$"),
        (b"[]", "$"),
        (b"{", "$"),
        (b"\xff\xfe", "$"),
        (body(state="odd"), "$.state"),
        (body(state=5), "$.state"),
        (body(address="nowhere"), "$.address"),
        (body(address="1.2.3.4:99999"), "$.address"),
        (body(seq="3"), "$.seq"),
        (body(seq=None), "$.seq"),
        (body(slots=-1), "$.slots"),
        (body(service=""), "$.service"),
        (body(born=1.5), "$.born"),
        (body(zone=[]), "$.zone"),
    ],
)
def test_bad_heartbeats_name_the_path(data, path):
    with pytest.raises(fields.FieldError) as caught:
        calls.parse_heartbeat("i-1", data)
    assert caught.value.path == path


def test_a_good_heartbeat():
    got = calls.parse_heartbeat("i-1", body(state="draining", leaves_ms=2500))
    assert got == messages.EndpointRecord(
        "i-1", 5, 3, "s", "10.0.0.1:80", "z", 4, "draining", False, 2500
    )
