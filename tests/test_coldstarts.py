"""Tests of which endpoints count as cold, and what says so on the wire."""

import json
import math

from hypothesis import given
from hypothesis import strategies as st
import pytest
import routed

from primrosehitch import coldstarts
from primrosehitch import endpoint
from primrosehitch import events
from primrosehitch import instance
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes
from primrosehitch.platform import calls
from primrosehitch.platform import fields
from primrosehitch.platform import tables

ENDPOINT = endpoint.Incarnation("i-0", 5)
START_MS = 3000
POLICY = coldstarts.ColdPolicy(START_MS, 5000)
MOST_MS = START_MS + coldstarts.PRESUMED_MARGIN_MS
# True time minus the local clock of the edge.
OFFSET_MS = 1_000_000


def make_record(sequence=1, left_ms=0, heard_at=0, **changes):
    """Return a record that was heard at a local time of the edge."""
    fields_of_record = {
        "service": "svc",
        "state": registry.READY,
        "cold_left_ms": left_ms or 0,
        "reports_cold": left_ms is not None,
        "heard_ms": heard_at + OFFSET_MS,
        **changes,
    }
    return messages.EndpointRecord(
        *ENDPOINT, sequence=sequence, **fields_of_record
    )


def make_cold_starts(*records, policy=POLICY, now=0):
    cold = coldstarts.ColdStarts()
    cold.wall_ms_at = lambda at: at + OFFSET_MS
    cold.set_policies({"svc": policy} if policy else {})
    for record in records:
        cold.record_heartbeat(record, now)
    return cold


def news_at(at):
    """Return what another edge found at a local time."""
    return messages.EndpointLimit(
        *ENDPOINT, cold=True, cold_since_ms=at + OFFSET_MS
    )


def test_countdown_goes_on_without_further_heartbeats():
    cold = make_cold_starts(make_record(left_ms=2500))
    assert cold.is_cold(ENDPOINT, 2499)
    assert not cold.is_cold(ENDPOINT, 2500)


def test_later_heartbeat_replaces_the_countdown():
    cold = make_cold_starts(make_record(left_ms=2500))
    cold.record_heartbeat(make_record(2, 0, 500), 500)
    assert not cold.is_cold(ENDPOINT, 500)
    # It may become cold again at any moment.
    cold.record_heartbeat(make_record(3, 3000, 900), 900)
    assert cold.is_cold(ENDPOINT, 3899)
    # A heartbeat that comes late changes nothing.
    cold.record_heartbeat(make_record(2, 0, 500), 1000)
    assert cold.is_cold(ENDPOINT, 1000)


# Guards against: edges take endpoints that run since before for cold when
# they have just started, and callers get no answers.
@pytest.mark.parametrize("left_ms", [0, None])
def test_endpoints_that_an_edge_finds_at_its_start_are_warm(left_ms):
    cold = make_cold_starts(make_record(left_ms=left_ms))
    assert not cold.is_cold(ENDPOINT, 0)


@pytest.mark.parametrize("left_ms,is_cold", [(0, False), (None, True)])
def test_new_endpoint_is_cold_unless_its_heartbeat_says_otherwise(
    left_ms, is_cold
):
    first = messages.EndpointRecord("i-1", 5, 1, "svc", reports_cold=True)
    cold = make_cold_starts(first)
    now = coldstarts.FIRST_VIEW_MS
    cold.record_heartbeat(make_record(left_ms=left_ms, heard_at=now), now)
    assert cold.is_cold(ENDPOINT, now) == is_cold
    assert not cold.is_cold(ENDPOINT, now + MOST_MS)


def test_next_start_of_an_endpoint_has_a_state_of_its_own():
    cold = make_cold_starts(make_record())
    again = make_record(left_ms=2900)._replace(born=6)
    cold.record_heartbeat(again, 100)
    assert not cold.is_cold(ENDPOINT, 100)
    assert cold.is_cold(endpoint.Incarnation("i-0", 6), 100)


def test_silent_endpoint_that_reports_again_is_cold_unless_it_says_so():
    for left_ms, is_cold in ((0, False), (None, True), (800, True)):
        cold = make_cold_starts(make_record())
        silent = make_record(state=registry.SILENT)
        cold.record_heartbeat(silent, 20_000)
        assert not cold.is_cold(ENDPOINT, 20_000)
        cold.record_heartbeat(make_record(2, left_ms, 30_000), 30_000)
        assert cold.is_cold(ENDPOINT, 30_000) == is_cold


# Guards against: an endpoint that has started again gets requests without
# limit until its first heartbeat.
def test_refused_connection_makes_an_endpoint_cold_for_all_edges():
    cold, other = (make_cold_starts(make_record()) for _ in range(2))
    cold.record_ended(ENDPOINT, coldstarts.REFUSED, 1000)
    (news,) = cold.evidence.drain()
    assert news == news_at(1000)
    other.apply(news, 1050)
    assert cold.is_cold(ENDPOINT, 1000) and other.is_cold(ENDPOINT, 1050)
    assert other.evidence.drain() == ()
    # Repeated evidence is not told again at once, but keeps it cold.
    cold.record_ended(ENDPOINT, coldstarts.REFUSED, 1100)
    assert cold.evidence.drain() == ()
    assert cold.is_cold(ENDPOINT, 1100 + MOST_MS - 1)


# Guards against: one broken stream takes an endpoint's capacity away.
def test_single_broken_connections_are_no_evidence():
    cold = make_cold_starts(make_record())
    for now in range(0, 5000, coldstarts.RESET_WINDOW_MS + 1):
        cold.record_break(ENDPOINT, now)
        assert not cold.is_cold(ENDPOINT, now)
    assert cold.evidence.drain() == ()


def test_connections_that_break_together_are_evidence():
    cold = make_cold_starts(make_record())
    cold.record_break(ENDPOINT, 1000)
    cold.record_break(ENDPOINT, 1000 + coldstarts.RESET_WINDOW_MS)
    assert cold.is_cold(ENDPOINT, 1100)
    assert len(cold.evidence.drain()) == 1


# Guards against: a hiccup of an endpoint takes its capacity away; what one
# edge does not reach is taken from all.
def test_ejection_counts_if_the_endpoint_was_not_heard_for_long():
    cold = make_cold_starts(make_record())
    cold.record_ejection(ENDPOINT, 500, 1400)
    assert not cold.is_cold(ENDPOINT, 1400)
    cold.record_ejection(ENDPOINT, 500, 1500)
    assert cold.is_cold(ENDPOINT, 1500)
    assert cold.evidence.drain() == ()


def test_only_a_later_heartbeat_ends_the_presumption():
    cold = make_cold_starts(make_record())
    cold.presume(ENDPOINT, coldstarts.EVACUATED, 1000)
    margin = coldstarts.HEARD_MARGIN_MS
    # It was under way, or does not say.
    cold.record_heartbeat(make_record(2, 0, 1000 + margin - 1), 1400)
    assert cold.is_cold(ENDPOINT, 1400)
    cold.record_heartbeat(make_record(3, None, 2000), 2000)
    assert cold.is_cold(ENDPOINT, 2000)
    cold.record_heartbeat(make_record(4, 0, 1000 + margin), 2100)
    assert not cold.is_cold(ENDPOINT, 2100)
    # News of evidence that it refutes comes late.
    cold.apply(news_at(900), 2200)
    assert not cold.is_cold(ENDPOINT, 2200)


def test_later_heartbeat_that_says_cold_takes_over_the_countdown():
    cold = make_cold_starts(make_record())
    cold.presume(ENDPOINT, coldstarts.EVACUATED, 1000)
    cold.record_heartbeat(make_record(2, 700, 1500), 1500)
    assert cold.is_cold(ENDPOINT, 2199)
    assert not cold.is_cold(ENDPOINT, 2200)


# Guards against: an edge that is cut off from all control instances loses
# warm endpoints for good.
def test_presumption_ends_by_itself_without_permits():
    cold = make_cold_starts(make_record())
    cold.presume(ENDPOINT, coldstarts.REFUSED, 1000)
    assert cold.is_cold(ENDPOINT, 1000 + MOST_MS - 1)
    assert not cold.is_cold(ENDPOINT, 1000 + MOST_MS)
    # It does not come back with the contact.
    cold.record_grant(ENDPOINT, 1000 + MOST_MS + 1)
    assert not cold.is_cold(ENDPOINT, 1000 + MOST_MS + 2)


# Guards against: an endpoint that is away for long is taken for warm when it
# comes back; one that no control instance hears stays cold for good.
def test_with_permits_the_presumption_lasts_until_answers_came_for_long():
    cold = make_cold_starts(make_record())
    cold.presume(ENDPOINT, coldstarts.REFUSED, 1000)
    for now in range(1000, 60_000, 1000):
        cold.record_grant(ENDPOINT, now)
        assert cold.is_cold(ENDPOINT, now)
    for now in range(60_000, 60_000 + MOST_MS + 1, 1000):
        cold.record_grant(ENDPOINT, now)
        cold.record_answer(ENDPOINT, now)
    assert not cold.is_cold(ENDPOINT, 60_000 + MOST_MS)


@pytest.mark.parametrize(
    "policy", [None, coldstarts.ColdPolicy(0, 5000)], ids=["none", "no start"]
)
def test_service_without_cold_starts_presumes_nothing(policy):
    cold = make_cold_starts(make_record(), policy=policy)
    for cause in (coldstarts.REFUSED, coldstarts.EVACUATED):
        cold.record_ended(ENDPOINT, cause, 1000)
    cold.apply(news_at(1000), 1000)
    assert not cold.is_cold(ENDPOINT, 1000)
    assert cold.evidence.drain() == ()


def test_time_of_the_next_request_is_that_of_a_permit_or_of_warmth():
    cold = make_cold_starts(make_record(left_ms=2500))
    assert cold.next_request_ms(ENDPOINT, 0) == 200
    assert cold.next_request_ms(ENDPOINT, 2400) == 100
    never = coldstarts.ColdPolicy(START_MS, 0)
    cold = make_cold_starts(make_record(left_ms=2500), policy=never)
    assert cold.next_request_ms(ENDPOINT, 500) == 2000


def test_time_of_the_next_permit_counts_while_the_presumption_lasts():
    cold = make_cold_starts(make_record())
    cold.presume(ENDPOINT, coldstarts.REFUSED, 1000)
    cold.record_grant(ENDPOINT, 1000 + MOST_MS)
    for now in (1000, 1000 + MOST_MS):
        assert cold.is_cold(ENDPOINT, now)
        assert cold.next_request_ms(ENDPOINT, now) == 200


def test_each_cold_time_is_logged_once(log_lines):
    cold = make_cold_starts(make_record(left_ms=2500))
    for now in range(0, 4000, 250):
        cold.review(now)
    cold.record_ended(ENDPOINT, coldstarts.REFUSED, 5000)
    cold.record_ended(ENDPOINT, coldstarts.REFUSED, 6000)
    cold.record_heartbeat(make_record(2, 0, 7000), 7000)
    cold.review(7000)
    assert [
        (line["event"], line.get("cause"), line.get("after_ms"))
        for line in log_lines
    ] == [
        (events.COLD_BEGAN.number, coldstarts.REPORTED, None),
        (events.COLD_ENDED.number, None, 2500),
        (events.COLD_BEGAN.number, coldstarts.REFUSED, None),
        (events.COLD_ENDED.number, None, 2000),
    ]


def test_evidence_of_many_edges_is_passed_on_once():
    table = coldstarts.EvidenceTable()
    assert table.put(news_at(1000), 0)
    assert not table.put(news_at(900), 10)
    assert not table.put(news_at(1200), 10)
    assert table.put(news_at(1000 + coldstarts.EVIDENCE_PERIOD_MS), 600)
    assert len(table.values(600)) == 1
    assert table.values(600 + coldstarts.EVIDENCE_TTL_MS + 1) == ()


def heartbeat(**changes):
    report = {
        "state": "ready",
        "seq": 3,
        "service": "svc",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        **changes,
    }
    return calls.parse_heartbeat("i-0", json.dumps(report).encode())


@pytest.mark.parametrize(
    "value,left_ms",
    [
        (0, 0),
        (0.2, 1),
        (2500, 2500),
        (2500.0, 2500),
        (10**30, calls.MAX_COLD_LEFT_MS),
        (1e300, calls.MAX_COLD_LEFT_MS),
    ],
)
def test_time_until_an_endpoint_is_warm_is_decoded(value, left_ms):
    record = heartbeat(cold_left_ms=value)
    assert (record.reports_cold, record.cold_left_ms) == (True, left_ms)
    assert (
        messages.decode(messages.EndpointRecord, messages.encode(record))
        == record
    )


def test_heartbeat_without_the_time_does_not_say(log_lines):
    record = heartbeat()
    assert (record.reports_cold, record.cold_left_ms) == (False, 0)
    assert not log_lines


# Guards against: a heartbeat of another writer, with a field of another type,
# replaces those of the endpoint that it names (review/10).
@pytest.mark.parametrize("value", ["2500", True, [], {}, "x" * 99, None])
def test_heartbeat_with_a_time_of_another_type_is_refused(value):
    with pytest.raises(fields.FieldError) as caught:
        heartbeat(cold_left_ms=value)
    assert caught.value.path == "$.cold_left_ms"


# Guards against: an endpoint gets no requests for an odd field.
@pytest.mark.parametrize("value", [-1, -0.5, -1e300])
def test_negative_time_is_logged_and_the_heartbeat_counts(value, log_lines):
    record = heartbeat(cold_left_ms=value)
    assert (record.reports_cold, record.slots) == (False, 4)
    (line,) = log_lines
    assert line["event"] == events.COLD_MALFORMED.number
    assert len(line["value"]) <= 40


def table_with(**service_fields):
    service = {"name": "svc", **service_fields}
    return json.dumps(routed.table_document(services=[service])).encode()


def cold_fields(table):
    service = table.services["svc"]
    return service.cold_start_s, service.cold_per_s


@pytest.mark.parametrize(
    "service_fields,expected",
    [
        ({}, (0, 0)),
        ({"cold_start_s": None, "cold_per_s": None}, (0, 0)),
        ({"cold_start_s": 3.0, "cold_per_s": 5.2}, (3.0, 5.2)),
        ({"cold_start_s": 0, "cold_per_s": 7}, (0, 7)),
    ],
)
def test_cold_fields_of_services_are_decoded(service_fields, expected):
    body = table_with(**service_fields)
    assert cold_fields(tables.decode(body)) == expected
    assert cold_fields(tables.decode_accepted(body)) == expected


ODD = [-1, "5", True, [], 1e12, 10**30]


# Guards against: a table that an earlier release acknowledged is not applied
# any more.
@pytest.mark.parametrize("name", ["cold_start_s", "cold_per_s"])
@pytest.mark.parametrize("value", ODD)
def test_odd_cold_fields_are_refused_but_harmless_in_force(name, value):
    body = table_with(**{name: value})
    with pytest.raises(fields.FieldError) as caught:
        tables.decode(body)
    assert caught.value.path == f"$.services[0].{name}"
    assert cold_fields(tables.decode_accepted(body)) == (0, 0)


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-Infinity", "1e999"])
def test_numbers_that_are_not_finite_are_refused(text):
    body = table_with(cold_per_s=123.5).replace(b"123.5", text.encode())
    with pytest.raises(fields.FieldError):
        tables.decode(body)
    assert cold_fields(tables.decode_accepted(body)) == (0, 0)


@given(st.one_of(st.none(), st.integers(), st.floats(), st.text()))
def test_any_time_until_warm_is_in_range_or_not_said(value):
    is_number = isinstance(value, (int, float)) and math.isfinite(value)
    if not is_number:
        with pytest.raises(fields.FieldError):
            heartbeat(cold_left_ms=value)
        return
    record = heartbeat(cold_left_ms=value)
    assert 0 <= record.cold_left_ms <= calls.MAX_COLD_LEFT_MS
    assert record.reports_cold or not record.cold_left_ms


def test_bounds_of_cold_endpoints_are_optional():
    default = instance._parse_bounds({})
    assert (default.cold_excess, default.cold_slack) == (1.0, 0)
    given_bounds = instance._parse_bounds(
        {"cold_excess": 1.5, "cold_slack": 5}
    )
    assert (given_bounds.cold_excess, given_bounds.cold_slack) == (1.5, 5)


def test_table_module_has_no_policy_without_the_rate():
    service = routes.Service("svc", 0, None, None, cold_start_s=3.0)
    assert service.cold_per_s == 0


def changes_of(*reports):
    """Return which reports change what edges know: (at, left_ms) pairs."""
    known = registry.Registry()
    changed = []
    for sequence, (at, left_ms) in enumerate(reports):
        record = make_record(sequence, left_ms, at)
        changed.append(known.apply_record(record, at) is not None)
    return changed


# Guards against: edges learn late that an endpoint has become cold.
@pytest.mark.parametrize(
    "reports,expected",
    [
        (((0, 0), (1200, 0), (2400, 3000)), [True, False, True]),
        # The countdown tells as much.
        (((0, 3000), (1200, 1800), (2400, 700)), [True, False, False]),
        (((0, 900), (1200, 0), (2400, 0)), [True, False, False]),
        # It is warm sooner, or cold again.
        (((0, 3000), (1200, 0)), [True, True]),
        (((0, 3000), (1200, 3000)), [True, True]),
        (((0, 100), (1200, 40)), [True, False]),
        # It does not say any more, or has not said so before.
        (((0, 3000), (1200, None)), [True, False]),
        (((0, None), (1200, 0)), [True, False]),
        (((0, None), (1200, 5)), [True, True]),
    ],
)
def test_reports_that_change_the_countdown_are_passed_on(reports, expected):
    assert changes_of(*reports) == expected
