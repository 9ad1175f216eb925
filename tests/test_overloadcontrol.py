"""Tests of refusals for lack of room, without network."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import overload_fleet
import pytest

from primrosehitch import balancer as balancer_module
from primrosehitch import demand
from primrosehitch import loads
from primrosehitch import messages
from primrosehitch import overloadcontrol
from primrosehitch import returnplan
from primrosehitch import room

Kind = overload_fleet.Kind
# Streams of 45 engines' kind, shortened, and plain calls; objectives and
# deadlines are those of docs/design/open-clients-and-load.md.
STREAMS = (
    (Kind(0, "a", 80, 400, 326, 5500), 15),
    (Kind(1, "b", 150, 1000, 800, 8000), 5),
    (Kind(2, "c", 300, 3000, 2063, 16000), 7),
)
CALLS = (
    (Kind(0, "a", 60, 0, 168, 1700), 60),
    (Kind(1, "b", 60, 0, 250, 2500), 75),
    (Kind(2, "c", 60, 0, 373, 3300), 90),
)


def run_streams(factor, **options):
    """Load: 27 streams/s, 0.75 of all places; a burst from 5 to 25 s."""
    fleet = overload_fleet.Fleet(node_count=4, slots=12, **options)
    for kind, rate in STREAMS:
        fleet.offer(kind, rate, 0, 5000)
        fleet.offer(kind, rate * factor, 5000, 25_000)
        fleet.offer(kind, rate, 25_000, 40_000)
    fleet.run(60_000)
    return fleet


def run_calls(factor, **options):
    """Load: 225 calls/s, 0.75 of all places; a burst from 3 to 13 s."""
    fleet = overload_fleet.Fleet(
        node_count=3, slots=6, is_ordered=False, **options
    )
    for kind, rate in CALLS:
        fleet.offer(kind, rate, 0, 3000)
        fleet.offer(kind, rate * factor, 3000, 13_000)
        fleet.offer(kind, rate, 13_000, 20_000)
    fleet.run(30_000)
    return fleet


def count(fleet, tier=None):
    return overload_fleet.count_states(
        [c for c in fleet.calls if tier in (None, c.kind.tier)]
    )


def all_refusals(fleet):
    """Return time, call and refusal of each refusal."""
    return [
        (at, call, refusal)
        for call in fleet.calls
        for at, refusal in call.refusals
    ]


# Guards against: a refusal while the endpoints keep up.
@pytest.mark.parametrize("run", [run_streams, run_calls])
@pytest.mark.parametrize("factor", [1.0, 1.2])
def test_nothing_changes_below_the_capacity(run, factor):
    """Load: 0.75 and 0.9 of all places."""
    with_control, without = run(factor), run(factor, enabled=False)
    assert not all_refusals(with_control)
    assert count(with_control) == count(without)


# Guards against: attempts end at their deadline instead of being refused
# (day of bursts of 2026-12-06: 477 at the deadline, 53 refused).
def test_burst_of_calls_is_refused_instead_of_late():
    """Load: a burst of 2.5 times 225 calls/s for 10 s, 18 places."""
    without, with_control = run_calls(2.5, enabled=False), run_calls(2.5)
    assert count(without)["late"] > 1000
    assert count(with_control)["late"] < 0.05 * count(without)["late"]
    assert count(with_control)["in_time"] > 2 * count(without)["in_time"]
    assert count(with_control)["served"] > 0.95 * count(without)["served"]


def test_burst_of_streams_leaves_fewer_late_and_serves_more():
    """Load: a burst of 2.5 times 27 streams/s for 20 s, 48 places."""
    without, with_control = run_streams(2.5, enabled=False), run_streams(2.5)
    assert count(with_control)["late"] < 0.5 * count(without)["late"]
    assert count(with_control)["served"] > count(without)["served"]


# Guards against: urgent requests are refused while less urgent ones are not.
@pytest.mark.parametrize("run", [run_streams, run_calls])
def test_least_urgent_requests_are_refused_first(run):
    """Load: a burst of 2.5 times the usual requests."""
    fleet = run(2.5)
    lost = []
    for tier in range(3):
        counts = count(fleet, tier)
        lost.append((counts["late"] + counts["refused"]) / counts["all"])
    assert lost[0] < 0.02
    assert lost[0] <= lost[1] <= lost[2]
    assert lost[2] > 0.1


def test_edges_that_know_no_other_demand_refuse_less():
    """Load: a burst of 2.5 times the usual calls, no load reports."""
    alone = run_calls(2.5, shares_reports=False)
    informed = run_calls(2.5)
    worst = [
        (count(fleet, 2)["refused"]) / count(fleet, 2)["all"]
        for fleet in (alone, informed)
    ]
    assert worst[0] <= worst[1]
    assert all(
        refusal.forecast.left >= overloadcontrol.MIN_ROOM_ALONE
        for _, _, refusal in all_refusals(alone)
    )


# Guards against: a caller is told to return later than it waits, though room
# comes in time; or all callers are told the same time.
@pytest.mark.parametrize("run", [run_streams, run_calls])
def test_retry_after_is_within_a_third_of_the_time_left(run):
    """Load: a burst of 2.5 times the usual requests."""
    times = set()
    for at, call, refusal in all_refusals(run(2.5)):
        left_ms = call.deadline_at - at
        delay_ms = 1000 * refusal.retry_after_s
        times.add(at + round(delay_ms))
        room_in_ms = refusal.forecast.queued_ms - (
            overloadcontrol.RELEASE_FRACTION * refusal.forecast.limit_ms
        )
        is_hopeless = (
            room_in_ms > left_ms
            or delay_ms > returnplan.HOPELESS_FACTOR * left_ms
        )
        assert delay_ms <= left_ms / 3 + 1e-6 or is_hopeless
        assert delay_ms > 0
    assert len(times) > 50


class StubRoom:
    """Room that a test sets."""

    def __init__(self, places=18, free=0.0, waiting=30.0):
        self.room = room.Room(places, free, waiting)

    def __call__(self, service, now, counts_remote):
        return self.room


def make_control(rooms=None, **settings):
    return overloadcontrol.OverloadControl(
        random.Random(1), rooms or StubRoom(), **settings
    )


def make_choice(load=48.0, slots=6, expected_ms=60.0):
    record = messages.EndpointRecord(
        id="e0", born=1, service="s", slots=slots, state="ready"
    )
    endpoint = balancer_module.Endpoint(record, 0)
    return balancer_module.Choice(endpoint, 0.0, 0, expected_ms, 1.0, load)


def make_arrival(now, tier=0, remaining_ms=2000, objective_ms=200):
    return overloadcontrol.Arrival(
        "s", tier, "", now, now + remaining_ms, objective_ms
    )


def overload(control, tiers=(0,), until=4000, hold_ms=400):
    """Let calls of each tier wait for 2 s before their answer."""
    for now in range(0, until, 50):
        for tier in tiers:
            control.decide(make_arrival(now, tier), make_choice(), now)
            control.demand.record_sent("s", tier, now - 2000)
            control.demand.record_first("s", tier, now - 2000, now)
            control.demand.record_end("s", tier, hold_ms, 0, now)


def refuse_some(control, tier, now, number, **request):
    """Return the refusals of some requests that arrive together."""
    decisions = [
        control.decide(make_arrival(now, tier, **request), make_choice(), now)
        for _ in range(number)
    ]
    return [d for d in decisions if d is not None]


def test_doomed_request_is_refused_at_once_and_others_are_sent():
    """A wait of 3.3 s is predicted, the same was measured."""
    control = make_control(objective_factor=float("inf"))
    overload(control)
    doomed = refuse_some(control, 0, 4000, 5, remaining_ms=2500)
    assert {refusal.cause for refusal in doomed} == {"deadline"}
    assert not refuse_some(control, 0, 4000, 20, remaining_ms=20_000)


# Guards against: a refusal when part of the objective has passed already.
def test_no_late_refusal():
    control = make_control()
    overload(control)
    assert refuse_some(control, 0, 4000, 5)
    for _ in range(30):
        late = make_arrival(3950, objective_ms=200)
        assert control.decide(late, make_choice(), 4000) is None


def test_exempt_requests_are_sent():
    """Pattern: resumed streams and requests that another edge took."""
    control = make_control()
    overload(control)
    arrival = make_arrival(4000)._replace(is_exempt=True)
    for _ in range(30):
        assert control.decide(arrival, make_choice(), 4000) is None


# Guards against: a prediction alone refuses a request.
def test_no_refusal_without_measured_times():
    """Pattern: an edge that has just started, among full endpoints."""
    control = make_control()
    for now in range(0, 4000, 10):
        decision = control.decide(make_arrival(now), make_choice(), now)
        assert decision is None


def test_disabled_control_refuses_nothing():
    control = make_control(enabled=False)
    overload(control)
    assert not refuse_some(control, 0, 4000, 50)


@given(
    load=st.floats(0, 5.0),
    free=st.floats(0, 18),
    waiting=st.floats(0, 100),
    tier=st.integers(0, 3),
)
def test_request_that_finds_a_free_place_is_sent(load, free, waiting, tier):
    control = make_control()
    overload(control, (0, 3))
    control.measure_room = StubRoom(18, free, waiting)
    for _ in range(20):
        arrival = make_arrival(4500, tier)
        assert control.decide(arrival, make_choice(load), 4500) is None


@given(free=st.floats(0, 18))
def test_nothing_is_refused_while_nothing_waits(free):
    control = make_control()
    overload(control)
    control.measure_room = StubRoom(18, free, 0.0)
    assert not refuse_some(control, 0, 4500, 20)


# Guards against: a tier without any admitted request (bound of
# overloadcontrol.py).
@settings(deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 800),
            st.integers(0, 3),
            st.sampled_from([300, 20_000]),
        ),
        min_size=30,
        max_size=150,
    )
)
def test_no_tier_is_starved(steps):
    """Load: requests of four tiers at random, and answers that end."""
    control = make_control(objective_factor=0.0)
    overload(control, (0, 1, 2, 3))
    now, ended = 4000, 0
    last = {}
    for tier, pause_ms, ends, remaining_ms in steps:
        now += pause_ms
        for _ in range(ends):
            control.demand.record_end("s", 0, 400, 0, now)
        ended += ends
        control.demand.record_sent("s", tier, now - 9000)
        arrival = make_arrival(now, tier, remaining_ms)
        decision = control.decide(arrival, make_choice(), now)
        if decision is None:
            last[tier] = (now, ended)
            continue
        if tier not in last:
            continue
        admitted_at, ended_then = last[tier]
        assert now - admitted_at < overloadcontrol.MAX_REFUSAL_MS
        if remaining_ms > 10_000:
            assert ended - ended_then < overloadcontrol.MAX_ENDS


def mean_delay_s(refusals):
    return sum(r.retry_after_s for r in refusals) / len(refusals)


def test_returns_grow_with_demand_and_come_in_order():
    """Load: 8 and 80 refusals at one moment."""
    few, many = make_control(), make_control()
    overload(few)
    overload(many)
    times = {"remaining_ms": 18_000}
    few.states.clear()
    many.states.clear()
    first = refuse_some(few, 0, 4000, 8, **times)
    later = refuse_some(many, 0, 4000, 80, **times)
    assert mean_delay_s(later) > mean_delay_s(first) > 0
    delays = [r.retry_after_s for r in later]
    planned = [d for d in delays if d < 6 * (1 - returnplan.RETRY_SPREAD)]
    assert planned == sorted(planned) and len(planned) > 10


def test_more_urgent_callers_return_sooner():
    """Load: two tiers with the same requests."""
    control = make_control()
    overload(control, (0, 1))
    times = {"remaining_ms": 18_000}
    urgent = refuse_some(control, 0, 4000, 9, **times)
    other = refuse_some(control, 1, 4000, 9, **times)
    assert mean_delay_s(urgent) < mean_delay_s(other)


def test_refusal_names_the_demand_that_took_the_room():
    control = make_control()
    overload(control, (0, 1))
    refusals = refuse_some(control, 1, 4000, 5)
    parts = dict(p.split(":") for p in refusals[0].taken.split())
    assert set(parts) == {"0", "1"}
    assert all(0 < float(part) < 2 for part in parts.values())


# Guards against: fewer endpoints are ordered since requests are refused.
def test_refused_callers_stay_part_of_the_demand():
    """Load: 100 refused calls/s, of callers that return after 0.5 s."""
    edge = demand.Demand()
    for now in range(0, 20_000, 10):
        edge.record_refusal("s", 500, now)
    assert 45 <= edge.refused_callers("s", 20_000) <= 55
    assert edge.refused_callers("s", 60_000) == 0
    assert edge.refused_callers("other", 20_000) == 0


def test_refusals_are_counted_as_callers_that_are_away():
    control = make_control()
    overload(control)
    assert refuse_some(control, 0, 4000, 9)
    assert control.demand.refusals["s"].mean <= 2000 / 3 + 1e-6


def test_scarcity_needs_two_samples_and_lingers():
    scarcity = room.Scarcity()
    full, ample = room.Room(100, 0, 40), room.Room(100, 60, 0)
    assert not scarcity.update(full, 1000)
    assert not scarcity.allows_refusals
    assert scarcity.update(full, 1200)
    assert scarcity.allows_refusals
    assert not scarcity.update(ample, 1300)
    assert scarcity.is_scarce and not scarcity.allows_refusals
    assert scarcity.update(ample, 2500)
    assert not scarcity.is_scarce


# Guards against: scarcity that has ended stays in the metrics, as requests
# that find a free place ask for no room.
def test_end_of_scarcity_is_noticed_without_a_queue():
    control = make_control()
    changes = []
    control.on_scarcity = lambda service, now: changes.append(
        (now, control.scarcity[service].is_scarce)
    )
    overload(control)
    control.measure_room = StubRoom(18, 12, 0)
    for now in range(4000, 6000, 100):
        control.decide(make_arrival(now), make_choice(2.0), now)
    assert [is_scarce for _, is_scarce in changes] == [True, False]


# Guards against: an old observation of full endpoints counts later.
def test_scarcity_is_forgotten_without_samples():
    scarcity = room.Scarcity()
    scarcity.update(room.Room(100, 0, 40), 1000)
    scarcity.update(room.Room(100, 0, 40), 1200)
    scarcity.update(room.Room(100, 0, 40), 9000)
    assert not scarcity.allows_refusals


# Guards against: an engine whose memory is full counts as free, as it runs
# fewer requests than it has slots.
def test_requests_that_wait_for_memory_are_a_queue():
    choice = make_choice(load=20.0, slots=48)
    assert room.queue_at(choice, 0).length == 0
    choice.endpoint.record_reported_load(
        balancer_module.ReportedLoad(12, 8, 48, 0)
    )
    queue = room.queue_at(choice, 10)
    assert (queue.length, queue.places) == (9, 12)
    measured = room.measure_room([choice.endpoint], 10, True)
    assert (measured.places, measured.free, measured.waiting) == (48, 0, 8)


# Guards against: an edge without a control instance trusts old reports.
def test_old_loads_of_other_edges_fill_no_endpoint():
    endpoint = make_choice().endpoint
    endpoint.remote_inflight = 40
    assert room.measure_room([endpoint], 0, True).waiting == 34
    alone = room.measure_room([endpoint], 0, False)
    assert (alone.free, alone.waiting) == (6, 0)


def test_demand_of_other_edges_counts_once():
    one, other = demand.Demand(), demand.Demand()
    for now in range(0, 3000, 10):
        for edge in (one, other):
            edge.tier("s", 0).arrivals.add(1, now)
            edge.record_sent("s", 0, now)
            edge.record_first("s", 0, now, now)
            edge.record_end("s", 0, 50, 0, now)
    own = one.work_by_tier("s", 10, 3000)[0]
    aggregator = loads.LoadAggregator()
    for name, edge in (("one", one), ("other", other)):
        report = messages.LoadReport(1, (), (), edge.publish(3000))
        aggregator.add_report(name, report, 3000)
    total = aggregator.total()
    assert messages.decode(type(total), messages.encode(total)) == total
    one.apply_totals(total.tiers, 3000)
    assert one.work_by_tier("s", 10, 3000)[0] == pytest.approx(
        2 * own, rel=0.01
    )
    assert not one.has_totals(3000 + demand.TOTALS_TTL_MS + 1)


def test_totals_of_older_builds_are_not_known():
    edge = demand.Demand()
    edge.apply_totals(messages.LoadReport(1).tiers, 0)
    assert not edge.has_totals(0)
