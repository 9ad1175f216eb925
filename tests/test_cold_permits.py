"""Simulations of permits for a cold endpoint, with delays and losses.

The bound is the one of docs/design/open-clients-and-load.md, section 3.
"""

import heapq
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosehitch import coldrates
from primrosehitch import coldstarts
from primrosehitch import endpoint
from primrosehitch import endpointlimits
from primrosehitch import messages
from primrosehitch import permits

ENDPOINT = endpoint.Incarnation("i-0", 5)
STEP_MS = 10
PERIOD_MS = 50
ASK_PERIOD_MS = 100
WINDOW_MS = 1000
INSTANCES = 3
# Of what the rate of permits allows, under enough load.
MIN_USE = 0.5


class ColdFleet:
    """Edges of several control instances before one cold endpoint.

    Args:
        seed: of all that is drawn.
        count: the number of edges.
        policy: how the endpoint is treated.
        delay_ms: returns how long one message is under way, or None if it
            is lost.
        limit_milli_per_s: a limit that the endpoint named, or 0.

    Attributes:
        arrivals: when requests arrived at the endpoint, in ms.
        cut: edges that are cut off from the control instances.
    """

    def __init__(self, seed, count, policy, delay_ms, limit_milli_per_s=0):
        self.rng = random.Random(seed)
        self.policy = policy
        self.delay_ms = delay_ms
        self.now = 0
        self.messages = []
        self.numbers = itertools.count()
        self.desks = [permits.PermitDesk(self.rng) for _ in range(INSTANCES)]
        self.edges = [endpointlimits.EndpointLimits() for _ in range(count)]
        # No process knows the clock of another one.
        self.offsets = [self.rng.randrange(10**9) for _ in range(count)]
        self.desk_offsets = [self.rng.randrange(10**9) for _ in self.desks]
        self.limit = messages.EndpointLimit(*ENDPOINT, limit_milli_per_s, 1)
        for number in range(count):
            self.inform(number, 60_000)
        self.leader = 0
        self.arrivals = []
        self.refused = 0
        self.cut = set()
        # Until when grants are held back, as by a cut of all links.
        self.held_until = 0

    def inform(self, number, cold_left_ms):
        """Tell an edge of the endpoint's heartbeat."""
        edge = self.edges[number]
        edge.cold.set_policies({"svc": self.policy})
        if self.limit.milli_per_s:
            edge.apply(self.limit)
        record = messages.EndpointRecord(
            *ENDPOINT,
            sequence=1 + self.now,
            service="svc",
            state="ready",
            cold_left_ms=cold_left_ms,
            reports_cold=True,
            heard_ms=self.now,
        )
        edge.cold.record_heartbeat(record, self.clock(number))

    def clock(self, number):
        return self.now + self.offsets[number]

    def desk_clock(self, number):
        return self.now + self.desk_offsets[number]

    def send(self, action, *details):
        """Deliver a message later, in any order, or lose it."""
        delay_ms = self.delay_ms(self.rng)
        if delay_ms is not None:
            if action == self.granted:
                delay_ms = max(delay_ms, self.held_until - self.now)
            item = (self.now + delay_ms, next(self.numbers), action, details)
            heapq.heappush(self.messages, item)

    def run(self, for_ms, load_per_s):
        """Send requests; each edge has its own share of the load."""
        weights = [self.rng.expovariate(1) ** 3 for _ in self.edges]
        numbers = range(len(self.edges))
        ends_at = self.now + for_ms
        while self.now < ends_at:
            self.now += STEP_MS
            while self.messages and self.messages[0][0] <= self.now:
                _, _, action, details = heapq.heappop(self.messages)
                action(*details)
            mean = load_per_s * STEP_MS / 1000
            for _ in range(int(mean) + (self.rng.random() < mean % 1)):
                (number,) = self.rng.choices(numbers, weights)
                self.request(number)
            if self.now % ASK_PERIOD_MS == 0:
                self.ask()
            if self.now % PERIOD_MS == 0:
                self.issue()

    def request(self, number):
        edge = self.edges[number]
        if edge.take(ENDPOINT, self.clock(number)):
            spread_ms = self.rng.randrange(coldrates.ARRIVAL_SPREAD_MS)
            self.arrivals.append(self.now + spread_ms)
        else:
            edge.want(ENDPOINT)
            self.refused += 1

    def ask(self):
        for number, edge in enumerate(self.edges):
            wanted = edge.take_wanted(self.clock(number))
            if wanted and number not in self.cut:
                desk = number % INSTANCES
                self.send(self.asked, desk, f"edge {number}", wanted)

    def asked(self, desk, sender, wanted):
        self.desks[desk].ask(sender, wanted, self.desk_clock(desk))

    def issue(self):
        leader = self.leader
        for number, desk in enumerate(self.desks):
            if number == leader:
                continue
            desk.stop_issuing()
            totals = desk.totals(self.desk_clock(number))
            if totals:
                self.send(self.asked, leader, f"desk {number}", totals)
        grants = self.desks[leader].issue(
            self.desk_clock(leader), lambda _: self.policy.milli_per_s
        )
        for sender, grant in grants.items():
            self.send(self.granted, sender, grant)

    def granted(self, sender, grant):
        kind, text = sender.split()
        number = int(text)
        if kind == "desk":
            now = self.desk_clock(number)
            for edge, share in self.desks[number].pass_on(grant, now).items():
                self.send(self.granted, edge, share)
        elif number not in self.cut:
            self.edges[number].add_permits(grant.limits, self.clock(number))

    def most_in_window(self):
        """Return the most arrivals within one second."""
        arrivals = sorted(self.arrivals)
        most = first = 0
        for last, at in enumerate(arrivals):
            while at - arrivals[first] >= WINDOW_MS:
                first += 1
            most = max(most, last + 1 - first)
        return most


def delays(most_ms, loss, stalls):
    """Return delays as ``ColdFleet`` takes them.

    Args:
        most_ms: longest delay of most messages.
        loss: share of messages that is lost.
        stalls: share of messages that are under way for seconds.
    """

    def draw(rng):
        if rng.random() < loss:
            return None
        if rng.random() < stalls:
            return rng.randrange(4000)
        return rng.randrange(most_ms + 1)

    return draw


def make_policy(per_s, excess, slack):
    rate = coldrates.issue_milli_per_s(per_s, excess, slack)
    return coldstarts.ColdPolicy(3000, rate)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 10**6),
    st.sampled_from((1, 2, 12, 194)),
    st.sampled_from((0.3, 1.0, 2.5, 5.2, 12.0, 60.0)),
    st.sampled_from((1.0, 1.5, 3.0)),
    st.sampled_from((0.0, 1.0, 5.0)),
    st.sampled_from((0, 30, 400)),
    st.sampled_from((0.0, 0.05, 0.5)),
    st.sampled_from((0.0, 0.1, 0.6)),
    st.sampled_from((0, 700, 2500)),
)
def test_sum_over_edges_keeps_the_bound_in_any_second(
    seed, count, per_s, excess, slack, most_ms, loss, stalls, held_ms
):
    """Guards against: saved, delayed or lost permits break the bound."""
    policy = make_policy(per_s, excess, slack)
    fleet = ColdFleet(seed, count, policy, delays(most_ms, loss, stalls))
    for load in (3, 400, 0.5, 800, 40):
        fleet.held_until = fleet.now + held_ms
        fleet.run(1500, load)
        fleet.leader = fleet.rng.randrange(INSTANCES)
        fleet.cut = {fleet.rng.randrange(count)}
        fleet.run(2000, 200)
    assert fleet.most_in_window() <= per_s * excess + slack


# Guards against: permits that a cut held back are all used at once after it,
# by edges of the leader and by those of other control instances.
@pytest.mark.parametrize("leader", range(INSTANCES))
@pytest.mark.parametrize("per_s", (5.2, 60))
def test_permits_that_arrive_together_keep_the_bound(per_s, leader):
    policy = make_policy(per_s, 1.0, 0)
    fleet = ColdFleet(leader, 3, policy, delays(30, 0, 0))
    fleet.leader = leader
    for held_ms in (900, 2500, 4000):
        fleet.run(1500, 400)
        fleet.held_until = fleet.now + held_ms
        fleet.run(held_ms, 400)
    fleet.run(1500, 400)
    # Permits that arrived after a while are kept for a lull.
    for lull_ms in (500, 700, 850, 950):
        fleet.held_until = fleet.now + 900
        fleet.run(900, 400)
        fleet.run(lull_ms, 0)
        fleet.run(1500, 800)
    assert 0 < fleet.most_in_window() <= per_s


# Guards against: an endpoint with a limit gets the higher one of two rates.
@pytest.mark.parametrize("limit_per_s", (1, 200))
def test_limited_cold_endpoint_gets_the_lower_rate(limit_per_s):
    policy = make_policy(5.2, 1.5, 5)
    fleet = ColdFleet(
        limit_per_s, 12, policy, delays(20, 0, 0), 1000 * limit_per_s
    )
    fleet.run(10_000, 300)
    lower = min(limit_per_s, 5.2)
    assert fleet.most_in_window() <= min(2.25 * lower + 1, 12.8)
    assert len(fleet.arrivals) >= MIN_USE * lower * 10


@pytest.mark.parametrize("count", (1, 12, 194))
def test_half_of_the_rate_is_used_under_load(count):
    policy = make_policy(5.2, 1.5, 5)
    fleet = ColdFleet(count, count, policy, delays(20, 0, 0))
    fleet.run(10_000, 200)
    assert len(fleet.arrivals) >= MIN_USE * 5.2 * 10


def test_no_limit_holds_once_the_endpoint_is_warm():
    fleet = ColdFleet(1, 3, make_policy(5.2, 1.5, 5), delays(20, 0, 0))
    fleet.run(1000, 100)
    for number in range(3):
        fleet.inform(number, 0)
    refused = fleet.refused
    fleet.run(1000, 100)
    assert fleet.refused == refused


# Guards against: permits that were issued for a limit are used for an
# endpoint that has become cold since.
def test_permits_for_a_limit_are_void_while_the_endpoint_is_cold():
    fleet = ColdFleet(
        1, 1, make_policy(1, 1, 0), delays(0, 0, 0), limit_milli_per_s=100_000
    )
    (edge,) = fleet.edges
    fleet.now = 10
    fleet.inform(0, 0)
    grant = messages.EndpointLimit(*ENDPOINT, 100_000, 1, 50)
    edge.add_permits((grant,), fleet.clock(0))
    assert edge.is_open(ENDPOINT, fleet.clock(0))
    fleet.now = 20
    fleet.inform(0, 3000)
    assert not edge.is_open(ENDPOINT, fleet.clock(0))
    # An older leader knows only of the limit.
    edge.add_permits((grant,), fleet.clock(0))
    assert not edge.take(ENDPOINT, fleet.clock(0))


# Guards against: time on the way to the control instance, or an answer to a
# request of another process, prolongs a permit.
@pytest.mark.parametrize(
    "asked_ms,age_ms,valid_until",
    [
        (1000, 0, 2000),
        (1000, 400, 1600),
        (1000, 850, None),
        (100, 0, None),
        (0, 0, None),
        (1300, 0, None),
        (1300, 200, None),
    ],
)
def test_permit_is_valid_for_a_second_from_its_issue(
    asked_ms, age_ms, valid_until
):
    policy = make_policy(5.2, 1.5, 5)
    fleet = ColdFleet(1, 1, policy, delays(0, 0, 0))
    (edge,) = fleet.edges
    fleet.offsets = [0]
    fleet.inform(0, 60_000)
    grant = messages.EndpointLimit(
        *ENDPOINT, permits=1, cold=True, asked_ms=asked_ms, age_ms=age_ms
    )
    edge.add_permits((grant,), 1200)
    assert edge.is_open(ENDPOINT, 1200) == (valid_until is not None)
    if valid_until is not None:
        assert edge.is_open(ENDPOINT, valid_until - 1)
        assert not edge.take(ENDPOINT, valid_until)


# Guards against: an edge asks while permits are on their way to its control
# instance, and takes them for younger than they are.
@pytest.mark.parametrize(
    "asked_ms,age_ms", [(5000, 600), (4601, 999), (4600, None), (5601, None)]
)
def test_permits_are_passed_on_with_their_age(asked_ms, age_ms):
    desk = permits.PermitDesk(random.Random(1))
    wanted = messages.EndpointLimit(
        *ENDPOINT, permits=2, cold=True, asked_ms=70_000
    )
    desk.ask("edge", (wanted,), 5500)
    grant = messages.PermitGrant(
        (wanted._replace(permits=1, asked_ms=asked_ms),)
    )
    passed_on = desk.pass_on(grant, 5600)
    if age_ms is None:
        assert passed_on == {}
    else:
        expected = wanted._replace(permits=1, age_ms=age_ms)
        assert passed_on == {"edge": messages.PermitGrant((expected,))}


# Guards against: a request for permits of a cold endpoint ends or names a
# limit at a control instance of an earlier release.
def test_earlier_release_takes_a_request_for_a_limit_of_none():
    fleet = ColdFleet(1, 1, make_policy(5.2, 1.5, 5), delays(0, 0, 0))
    fleet.edges[0].want(ENDPOINT)
    (request,) = fleet.edges[0].take_wanted(fleet.clock(0))
    known_fields = messages.EndpointLimit(*request[:5])
    assert known_fields == messages.EndpointLimit(*ENDPOINT, 0, 0, 1)
    table = endpointlimits.LimitTable()
    table.merge(messages.EndpointLimit(*ENDPOINT, 2000, 7))
    assert not table.merge(known_fields)
    assert table.milli_per_s(ENDPOINT) == 2000
    desk = permits.PermitDesk(random.Random(1))
    for now in range(0, 2000, PERIOD_MS):
        desk.ask("edge", (known_fields,), now)
        assert desk.issue(now) == {}


@pytest.mark.parametrize(
    "per_s,excess,slack,rate",
    [
        (5.2, 1.5, 5, 5199),
        (5.2, 1.0, 0, 2222),
        (1.0, 1.0, 0, 444),
        (0.9, 1.0, 0, 0),
        (2.0, 0.0, 0, 0),
        (2.0, 100.0, 0, 2000),
    ],
)
def test_rate_of_permits_keeps_the_bound(per_s, excess, slack, rate):
    assert coldrates.issue_milli_per_s(per_s, excess, slack) == rate


@given(st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0, 1e6))
def test_rate_of_permits_is_in_range(per_s, excess, slack):
    rate = coldrates.issue_milli_per_s(per_s, excess, slack)
    assert 0 <= rate <= 1000 * per_s
