"""Decides how many endpoints to run, in which domain and at which price.

Does no I/O; the caller passes the current time. Demand determines how many
endpoints a pool requires, and a pool must keep its minimum when all cheap
endpoints of any one failure domain are lost. Missing endpoints are started
at once, at most MAX_STARTS_PER_POOL per call. Surplus endpoints are stopped
one at a time, each after the surplus has lasted for SCALE_DOWN_DELAY_MS.
After a refused start, the domain gets no orders for cheap endpoints of that
kind until a backoff ends, which doubles with each refusal.
"""

import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import messages

SCALE_DOWN_DELAY_MS = 60_000
START_TIMEOUT_MS = 90_000
INITIAL_BACKOFF_MS = 30_000
MAX_BACKOFF_MS = 600_000
MAX_STARTS_PER_POOL = 4

START = "start"
STOP = "stop"


class ReadyEndpoint(NamedTuple):
    """A ready endpoint with its slots and its running requests."""

    name: str
    domain: str
    kind: str
    cheap: bool
    slots: int
    running: int


class PlannedOrder(NamedTuple):
    """An order to start or stop one endpoint.

    The target is the name of the endpoint to stop, empty for a start.
    """

    verb: str
    domain: str
    kind: str
    cheap: bool
    target: str


class PendingStart(NamedTuple):
    """A start that was ordered and whose endpoint is not yet ready."""

    domain: str
    kind: str
    cheap: bool
    since_ms: int


class Planner:
    """Plans orders from the ready endpoints and the demand of all pools.

    Between calls it remembers ordered starts, surpluses and refusals; all
    times are in ms.

    Args:
        domains: the names of all failure domains.
    """

    def __init__(self, domains: Iterable[str]):
        self.domains = sorted(set(domains))
        self.surplus_since_ms: dict[str, int] = {}
        self.pending_starts: list[PendingStart] = []
        self.known_endpoints: dict[str, ReadyEndpoint] = {}
        self.backoff_until_ms: dict[tuple[str, str], int] = {}
        self.refusal_counts: dict[tuple[str, str], int] = {}

    def plan(
        self,
        pools: Iterable[catalog.Pool],
        ready_endpoints: list[ReadyEndpoint],
        waiting: dict[str, int],
        now: int,
    ) -> list[PlannedOrder]:
        """Return the orders to give now.

        Args:
            pools: the declared pools.
            ready_endpoints: the ready endpoints of all kinds.
            waiting: the number of waiting requests by kind of endpoint.
            now: the current time in ms.
        """
        self._update_pending_starts(ready_endpoints, now)
        orders: list[PlannedOrder] = []
        for pool in sorted(pools):
            pool_endpoints = [
                p for p in ready_endpoints if p.kind == pool.kind
            ]
            orders += self._plan_pool(
                pool, pool_endpoints, waiting.get(pool.kind, 0), now
            )
        return orders

    def record_refusal(self, order: PlannedOrder, now: int) -> None:
        """Record that the platform could not start an ordered endpoint.

        Args:
            order: the refused order.
            now: the current time in ms.
        """
        key = (order.domain, order.kind)
        self.refusal_counts[key] = self.refusal_counts.get(key, 0) + 1
        backoff_ms = INITIAL_BACKOFF_MS * 2 ** (self.refusal_counts[key] - 1)
        self.backoff_until_ms[key] = now + min(backoff_ms, MAX_BACKOFF_MS)
        for start in self.pending_starts:
            pending_key = (start.domain, start.kind, start.cheap)
            if pending_key == (order.domain, order.kind, order.cheap):
                self.pending_starts.remove(start)
                return

    def _update_pending_starts(
        self, ready_endpoints: list[ReadyEndpoint], now: int
    ) -> None:
        by_name = {p.name: p for p in ready_endpoints}
        for name, endpoint in by_name.items():
            if name not in self.known_endpoints:
                self._finish_pending_start(endpoint)
        self.known_endpoints = by_name
        self.pending_starts = [
            s
            for s in self.pending_starts
            if now - s.since_ms < START_TIMEOUT_MS
        ]

    def _finish_pending_start(self, endpoint: ReadyEndpoint) -> None:
        start_key = (endpoint.domain, endpoint.kind, endpoint.cheap)
        for start in self.pending_starts:
            if (start.domain, start.kind, start.cheap) == start_key:
                self.pending_starts.remove(start)
                if endpoint.cheap:
                    self.refusal_counts.pop(start_key[:2], None)
                return

    def _plan_pool(
        self,
        pool: catalog.Pool,
        pool_endpoints: list[ReadyEndpoint],
        waiting: int,
        now: int,
    ) -> list[PlannedOrder]:
        required = required_count(pool, pool_endpoints, waiting)
        cheap_domains = [
            d for d in self.domains if self._cheap_allowed(d, pool, now)
        ]
        mix = cheapest_mix(pool, required, len(cheap_domains))
        starts = self._plan_starts(
            pool, pool_endpoints, mix, cheap_domains, now
        )
        pending = [s for s in self.pending_starts if s.kind == pool.kind]
        has_surplus = len(pool_endpoints) > mix.steady + mix.cheap
        has_steady_surplus = (
            sum(not p.cheap for p in pool_endpoints) > mix.steady
        )
        if starts or pending or not (has_surplus or has_steady_surplus):
            self.surplus_since_ms.pop(pool.name, None)
            return starts
        surplus_since = self.surplus_since_ms.setdefault(pool.name, now)
        if now - surplus_since < SCALE_DOWN_DELAY_MS:
            return []
        self.surplus_since_ms[pool.name] = now
        return self._plan_stop(pool, pool_endpoints, required)

    def _cheap_allowed(
        self, domain: str, pool: catalog.Pool, now: int
    ) -> bool:
        return now >= self.backoff_until_ms.get((domain, pool.kind), 0)

    def _plan_starts(
        self,
        pool: catalog.Pool,
        pool_endpoints: list[ReadyEndpoint],
        mix: "Mix",
        cheap_domains: list[str],
        now: int,
    ) -> list[PlannedOrder]:
        starts: list[PlannedOrder] = []
        while len(starts) < MAX_STARTS_PER_POOL:
            pending = [s for s in self.pending_starts if s.kind == pool.kind]
            counts = _count_by_domain(pool_endpoints, pending)
            order = self._next_start(pool, mix, cheap_domains, counts)
            if order is None:
                break
            starts.append(order)
            self.pending_starts.append(
                PendingStart(order.domain, order.kind, order.cheap, now)
            )
        return starts

    def _next_start(
        self,
        pool: catalog.Pool,
        mix: "Mix",
        cheap_domains: list[str],
        counts: dict[str, tuple[int, int]],
    ) -> PlannedOrder | None:
        steady = sum(s for s, _ in counts.values())
        cheap = sum(c for _, c in counts.values())
        if cheap < mix.cheap and cheap_domains:
            domain = min(
                cheap_domains, key=lambda d: (counts.get(d, (0, 0))[1], d)
            )
            return PlannedOrder(START, domain, pool.kind, True, "")
        if steady + cheap < mix.steady + mix.cheap or steady < mix.steady:
            domain = min(
                self.domains, key=lambda d: (sum(counts.get(d, (0, 0))), d)
            )
            return PlannedOrder(START, domain, pool.kind, False, "")
        return None

    def _plan_stop(
        self,
        pool: catalog.Pool,
        pool_endpoints: list[ReadyEndpoint],
        required: int,
    ) -> list[PlannedOrder]:
        if len(pool_endpoints) <= required:
            return []
        candidates = sorted(
            pool_endpoints, key=lambda p: (p.cheap, p.running, p.name)
        )
        for endpoint in candidates:
            remaining = [p for p in pool_endpoints if p is not endpoint]
            if _survives_domain_loss(pool, _count_by_domain(remaining, [])):
                return [
                    PlannedOrder(
                        STOP,
                        endpoint.domain,
                        endpoint.kind,
                        endpoint.cheap,
                        endpoint.name,
                    )
                ]
        return []


class Mix(NamedTuple):
    """The numbers of steady and of cheap endpoints to run."""

    steady: int
    cheap: int


def cheapest_mix(pool: catalog.Pool, required: int, domain_count: int) -> Mix:
    """Return the cheapest mix that survives the loss of any domain.

    When all cheap endpoints of one failure domain are lost, the remaining
    endpoints must still reach the pool's minimum.

    Args:
        pool: the pool with its limits and prices.
        required: the total number of endpoints required.
        domain_count: the number of failure domains that may get cheap
            endpoints, which are distributed evenly over them.
    """
    best = Mix(required, 0)
    best_cost = required * pool.steady_price
    for cheap in range(1, pool.maximum + 1 if domain_count else 1):
        lost = -(-cheap // domain_count)
        steady = max(0, pool.minimum - (cheap - lost), required - cheap)
        cost = steady * pool.steady_price + cheap * pool.cheap_price
        if steady + cheap <= pool.maximum and cost < best_cost:
            best, best_cost = Mix(steady, cheap), cost
    return best


def required_count(
    pool: catalog.Pool, pool_endpoints: list[ReadyEndpoint], waiting: int
) -> int:
    """Return how many endpoints a pool requires for its demand.

    Args:
        pool: the pool with its limits and target utilization.
        pool_endpoints: the pool's ready endpoints.
        waiting: the number of requests waiting for the pool.
    """
    busy = sum(p.running for p in pool_endpoints) + waiting
    slots = (
        sum(p.slots for p in pool_endpoints) / len(pool_endpoints)
        if pool_endpoints
        else 1.0
    )
    required = math.ceil(busy / (pool.target_use * max(1.0, slots)))
    return max(pool.minimum, min(pool.maximum, required))


def _count_by_domain(
    pool_endpoints: list[ReadyEndpoint], pending: list[PendingStart]
) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for item in [*pool_endpoints, *pending]:
        steady, cheap = counts.get(item.domain, (0, 0))
        if item.cheap:
            counts[item.domain] = (steady, cheap + 1)
        else:
            counts[item.domain] = (steady + 1, cheap)
    return counts


def _survives_domain_loss(
    pool: catalog.Pool, counts: dict[str, tuple[int, int]]
) -> bool:
    total = sum(steady + cheap for steady, cheap in counts.values())
    largest_cheap = max((cheap for _, cheap in counts.values()), default=0)
    return total - largest_cheap >= pool.minimum


def make_order(
    planned: PlannedOrder, order_id: str, term: int
) -> messages.Order:
    """Return the message that orders what was planned.

    Args:
        planned: the planned order.
        order_id: the identifier of the order.
        term: the leader's term.
    """
    return messages.Order(
        order_id=order_id,
        domain=planned.domain,
        verb=planned.verb,
        kind=planned.kind,
        cheap=planned.cheap,
        count=1,
        target=planned.target,
        term=term,
    )


__all__ = [
    "Mix",
    "Planner",
    "ReadyEndpoint",
    "PlannedOrder",
    "cheapest_mix",
    "make_order",
    "required_count",
]
