"""A simulated fleet of edges before queueing endpoints, without network.

Endpoints run as many requests as they have slots. The rest waits, at engines
in the order of tiers, else in the order of arrival. Callers that are refused
return after Retry-After if that is at most a third of their time left.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from primrosehitch import balancer as balancer_module
from primrosehitch import messages
from primrosehitch import overloadcontrol
from primrosehitch import room

REPORT_PERIOD_MS = 250
SERVICE = "s"


class Kind(NamedTuple):
    """A kind of requests.

    Attributes:
        tier: its tier.
        customer: its customer.
        first_ms: time to the first event once a place is free.
        rest_ms: time from there to the end.
        objective_ms: objective for the first event.
        deadline_ms: how long the caller waits for the end.
    """

    tier: int
    customer: str
    first_ms: float
    rest_ms: float
    objective_ms: float
    deadline_ms: float


class Call:
    """One request of a caller, with its later attempts."""

    def __init__(self, kind, edge, at):
        self.kind = kind
        self.edge = edge
        self.arrived_at = at
        self.deadline_at = at + kind.deadline_ms
        self.sent_at = self.first_at = -1
        self.state = "new"
        self.refusals = []


class Node:
    """An endpoint with slots and a queue."""

    def __init__(self, slots, is_ordered):
        self.slots = slots
        self.is_ordered = is_ordered
        self.running = 0
        self.queue = []


class Fleet:
    """Edges, endpoints and callers on one simulated clock.

    Attributes:
        calls: all requests of callers.
    """

    def __init__(
        self,
        edge_count=6,
        node_count=4,
        slots=12,
        is_ordered=True,
        enabled=True,
        seed=1,
        shares_reports=True,
        **settings,
    ):
        self.rng = random.Random(seed)
        self.is_ordered = is_ordered
        self.shares_reports = shares_reports
        self.nodes = {
            f"e{n}": Node(slots, is_ordered) for n in range(node_count)
        }
        self.edges = []
        for number in range(edge_count):
            self.edges.append(self._make_edge(number, enabled, settings))
        self.events = []
        self.numbers = itertools.count()
        self.calls = []
        self.now = 0

    def _make_edge(self, number, enabled, settings):
        balancer = balancer_module.Balancer("za", random.Random(number))
        balancer.edge_count = len(self.nodes)
        for identifier, node in self.nodes.items():
            record = messages.EndpointRecord(
                id=identifier,
                born=1,
                service=SERVICE,
                address=f"10.0.0.1:{len(identifier)}",
                domain="za",
                slots=node.slots,
                state="ready",
            )
            balancer.update_endpoint(record, 0)

        def measure(service, now, counts_remote):
            endpoints = balancer.usable_endpoints(service, (), now)
            return room.measure_room(endpoints, now, counts_remote)

        control = overloadcontrol.OverloadControl(
            random.Random(100 + number), measure, enabled, **settings
        )
        return balancer, control

    def at(self, moment, action, *args):
        heapq.heappush(self.events, (moment, next(self.numbers), action, args))

    def offer(self, kind, per_second, since, until):
        """Let callers send requests at random moments to random edges."""
        moment = since
        while True:
            moment += self.rng.expovariate(per_second) * 1000
            if moment >= until:
                return
            self.at(moment, self._arrive, kind)

    def run(self, until):
        self.at(0, self._exchange_reports)
        while self.events and self.events[0][0] <= until:
            moment, _, action, args = heapq.heappop(self.events)
            self.now = int(moment)
            action(*args)

    def _exchange_reports(self):
        self.at(self.now + REPORT_PERIOD_MS, self._exchange_reports)
        if not self.shares_reports:
            return
        loads, tiers = {}, {}
        for balancer, control in self.edges:
            for load in balancer.publish_loads():
                sums = loads.setdefault(load.id, [0, 0])
                sums[0] += load.running
                sums[1] += load.reading
            for tier in control.demand.publish(self.now):
                sums = tiers.setdefault(tier.tier, [0, 0])
                sums[0] += tier.milli_work
                sums[1] += tier.unanswered
        report = messages.LoadReport(
            1,
            (),
            tuple(messages.EndpointLoad(i, *n) for i, n in loads.items()),
            tuple(
                messages.TierDemand(SERVICE, t, *n) for t, n in tiers.items()
            ),
        )
        for balancer, control in self.edges:
            balancer.apply_load_totals(report)
            control.demand.apply_totals(report.tiers, self.now)

    def _arrive(self, kind):
        call = Call(kind, self.rng.randrange(len(self.edges)), self.now)
        self.calls.append(call)
        self._try(call)

    def _try(self, call):
        balancer, control = self.edges[call.edge]
        kind = call.kind
        tokens = 100 if self.is_ordered else 0
        profile = balancer_module.RequestProfile(SERVICE, (), tokens, tokens)
        choice = balancer.choose(profile, (), self.now)
        arrival = overloadcontrol.Arrival(
            SERVICE,
            kind.tier,
            kind.customer,
            self.now,
            int(call.deadline_at),
            kind.objective_ms,
            self.is_ordered,
        )
        refusal = control.decide(arrival, choice, self.now)
        if refusal is not None:
            self._refuse(call, refusal)
            return
        call.state = "waiting"
        call.sent_at = self.now
        call.profile, call.choice = profile, choice
        call.queue = room.queue_at(choice, self.now)
        balancer.record_start(choice, profile, self.now)
        control.demand.record_sent(SERVICE, kind.tier, self.now)
        node = self.nodes[choice.endpoint.record.id]
        rank = kind.tier if self.is_ordered else 0
        heapq.heappush(node.queue, (rank, next(self.numbers), call))
        self.at(call.deadline_at, self._expire, call)
        self._start_next(node)

    def _refuse(self, call, refusal):
        call.refusals.append((self.now, refusal))
        call.state = "refused"
        delay_ms = 1000 * refusal.retry_after_s
        if delay_ms <= (call.deadline_at - self.now) / 3:
            call.state = "away"
            call.edge = self.rng.randrange(len(self.edges))
            self.at(self.now + delay_ms, self._try, call)

    def _start_next(self, node):
        while node.queue and node.running < node.slots:
            _, _, call = heapq.heappop(node.queue)
            if call.state != "waiting":
                continue
            node.running += 1
            call.state = "running"
            self.at(self.now + call.kind.first_ms, self._answer, call)

    def _answer(self, call):
        if call.state != "running":
            return
        balancer, control = self.edges[call.edge]
        call.first_at = self.now
        node = self.nodes[call.choice.endpoint.record.id]
        waiting = sum(c.state == "waiting" for _, _, c in node.queue)
        load = balancer_module.ReportedLoad(
            node.running, waiting, node.slots, self.now
        )
        balancer.record_reported_load(call.choice.endpoint, load)
        took_ms = self.now - call.sent_at
        balancer.record_first_byte(call.choice, call.profile, took_ms)
        control.demand.record_first(
            SERVICE, call.kind.tier, call.sent_at, self.now
        )
        self.at(self.now + call.kind.rest_ms, self._finish, call, "served")

    def _expire(self, call):
        if call.state in ("waiting", "running"):
            self._finish(call, "late")

    def _finish(self, call, state):
        if call.state not in ("waiting", "running"):
            return
        was_running = call.state == "running"
        call.state = state
        balancer, control = self.edges[call.edge]
        node = self.nodes[call.choice.endpoint.record.id]
        has_first = call.first_at >= 0
        balancer.record_finish(call.choice, call.profile, has_first)
        tier = call.kind.tier
        if has_first:
            control.demand.record_end(
                SERVICE,
                tier,
                room.estimate_hold_ms(
                    call.choice,
                    call.queue,
                    call.first_at - call.sent_at,
                    self.now - call.first_at,
                    self.is_ordered,
                ),
                self.now - call.first_at,
                self.now,
            )
        else:
            control.demand.record_unanswered(
                SERVICE, tier, call.sent_at, self.now
            )
        node.running -= was_running
        self._start_next(node)


def count_states(calls):
    """Return how many calls ended how, and how many were in time."""
    counts = {"served": 0, "late": 0, "refused": 0, "in_time": 0}
    for call in calls:
        counts[call.state] = counts.get(call.state, 0) + 1
        if call.state == "served":
            took_ms = call.first_at - call.arrived_at
            counts["in_time"] += took_ms <= call.kind.objective_ms
    counts["all"] = len(calls)
    return counts
