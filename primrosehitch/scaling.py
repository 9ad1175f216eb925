"""How many endpoints to order, where, and of which kind.

Pure. Reclaimable endpoints cost a part of the others' price and may go a
failure domain at a time, so they are spread over the domains, with room
for the loss of one. Others are ordered only where reclaimable ones are
not to be had. Endpoints are added at once and let go slowly.
"""

from collections import deque
import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes

# Requests under way at one model engine at which a prompt read beside
# them still meets common objectives.
TARGET_REQUESTS_PER_ENGINE = 8.0
# Requests under way at one engine at which most come late; below that,
# waiting for reclaimable ones costs less than others do.
MAX_REQUESTS_PER_ENGINE = 16.0
# Endpoints that stand ready, relative to what the operators began with:
# with reclaimable ones at a fifth of the price, under half of the cost.
STANDBY_FACTOR = 2.0
# Demand counts by its peak over this time, so that a lull between two
# bursts lets no endpoint go.
PEAK_WINDOW_MS = 30_000
# A crowd counts for this long after it was last seen.
OVERLOAD_WINDOW_MS = 5_000
# A domain without reclaimable endpoints is asked again after this time:
# a call costs little, and every second without them much.
UNAVAILABLE_RETRY_MS = 1_500
# A larger order stands at least this long: every endpoint that goes
# takes the prompts it has read with it.
SCALE_DOWN_DELAY_MS = 30_000
# An order that did not show in the endpoints' reports is sent again.
RESEND_MS = 10_000


class CapacityOrder(NamedTuple):
    """A number of endpoints to order.

    Attributes:
        service: the service.
        domain: the failure domain.
        spot: whether reclaimable ones.
        count: how many.
    """

    service: str
    domain: str
    spot: bool
    count: int


class ReadyCounts(NamedTuple):
    """Endpoints of a domain that take new work."""

    on_demand: int
    spot: int


class SlidingPeak:
    """The peak of the requests under way, over a time.

    Args:
        window_ms: the time.
    """

    def __init__(self, window_ms: int = PEAK_WINDOW_MS):
        self.window_ms = window_ms
        self.samples: deque[tuple[int, float]] = deque()

    def add(self, running: float, now: int) -> None:
        """Take in how many are under way now."""
        while self.samples and self.samples[-1][1] <= running:
            self.samples.pop()
        self.samples.append((now, running))

    def peak(self, now: int) -> float:
        """Return the highest number noted lately."""
        while self.samples and now - self.samples[0][0] > self.window_ms:
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0.0


class Scaler:
    """Decides the orders for one service.

    Args:
        service: its name.
    """

    def __init__(self, service: str):
        self.service = service
        self.long_peak = SlidingPeak(PEAK_WINDOW_MS)
        self.short_peak = SlidingPeak(OVERLOAD_WINDOW_MS)
        self.initial_count = 0
        self.retained: dict[str, int] = {}
        self.unavailable_until: dict[str, int] = {}
        self.last_orders: dict[tuple[str, bool], tuple[int, int]] = {}

    def record_demand(self, running: float, now: int) -> None:
        """Take in how many requests are under way now."""
        self.long_peak.add(running, now)
        self.short_peak.add(running, now)

    def mark_spot_unavailable(self, domain: str, now: int) -> None:
        """Note that a domain has no reclaimable endpoints now."""
        self.unavailable_until[domain] = now + UNAVAILABLE_RETRY_MS

    def record_accepted(self, placed_order: CapacityOrder, now: int) -> None:
        """Note that the platform took an order."""
        self.last_orders[placed_order.domain, placed_order.spot] = (
            placed_order.count,
            now,
        )

    def plan_orders(
        self,
        scaling: routes.Scaling,
        domains: Iterable[str],
        records: Iterable[messages.EndpointRecord],
        now: int,
    ) -> list[CapacityOrder]:
        """Return the orders to send now.

        Args:
            scaling: the service's limits and prices.
            domains: the failure domains of the deployment.
            records: all endpoints known.
            now: the current time in ms.
        """
        by_price = sorted(
            domains, key=lambda d: (scaling.prices.get(d, 1.0), d)
        )
        ready = self._count_ready(by_price, records, now)
        ready_total = sum(sum(counts) for counts in ready.values())
        self.initial_count = max(
            self.initial_count, ready_total if not self.last_orders else 0
        )
        spot_domains = [
            d for d in by_price if self._is_spot_available(scaling, d, now)
        ]
        spot_targets = self._spot_targets(scaling, by_price, spot_domains, now)
        on_demand_targets = self._on_demand_targets(
            scaling, by_price, ready, now
        )
        orders: list[CapacityOrder] = []
        for domain in by_price:
            counts = ready[domain]
            retained = self._retained_on_demand(scaling, domain, counts)
            on_demand = min(
                max(retained, on_demand_targets[domain]), scaling.max_endpoints
            )
            orders.append(
                CapacityOrder(self.service, domain, False, on_demand)
            )
            if domain in spot_domains:
                room = scaling.max_endpoints - max(counts.on_demand, on_demand)
                spot = min(spot_targets[domain], max(room, counts.spot))
                orders.append(CapacityOrder(self.service, domain, True, spot))
        return [o for o in orders if self._is_due(o, ready, now)]

    def _retained_on_demand(
        self, scaling: routes.Scaling, domain: str, counts: ReadyCounts
    ) -> int:
        """Return how many of those there first stay for now.

        Each leaves once a reclaimable one serves in its place.
        """
        retained = self.retained.setdefault(domain, counts.on_demand)
        if not 0 < scaling.spot_price < 1:
            return retained
        if counts.spot >= retained:
            self.retained[domain] = 0
        return max(0, retained - counts.spot)

    # -- how many ----------------------------------------------------------

    def required_count(self, domain_count: int, now: int) -> int:
        """Return how many endpoints the service should have.

        A multiple of what the operators began with stands ready, since
        reclaimable ones cost little beside what a burst without room
        loses, and a new one comes too late for it.
        """
        required = math.ceil(
            self.long_peak.peak(now) / TARGET_REQUESTS_PER_ENGINE
        )
        if domain_count > 1:
            required = math.ceil(required * domain_count / (domain_count - 1))
        return max(1, required, math.ceil(STANDBY_FACTOR * self.initial_count))

    def _on_demand_targets(
        self,
        scaling: routes.Scaling,
        by_price: list[str],
        ready: dict[str, ReadyCounts],
        now: int,
    ) -> dict[str, int]:
        """Return how many of the dear kind each domain needs besides.

        They make up for reclaimable ones that are not to be had, up to
        what the operators began with or a crowd needs, and go as soon
        as those are back; first where there are none of those.
        """
        on_demand_targets = dict.fromkeys(by_price, 0)
        spot_offered = 0 < scaling.spot_price < 1
        if spot_offered:
            missing = max(
                self.initial_count,
                math.ceil(self.short_peak.peak(now) / MAX_REQUESTS_PER_ENGINE),
            )
            missing -= sum(have.spot for have in ready.values())
        else:
            missing = self.required_count(len(by_price), now)
        lacking_spot = {
            d for d in by_price if self._was_spot_unavailable(d, now)
        }
        while missing > 0:
            below_limit = [
                d
                for d in by_price
                if on_demand_targets[d] + ready[d].spot < scaling.max_endpoints
            ]
            if not below_limit:
                break
            chosen = min(
                below_limit,
                key=lambda d: (d not in lacking_spot, on_demand_targets[d]),
            )
            on_demand_targets[chosen] += 1
            missing -= 1
        if not spot_offered:
            on_demand_targets = {
                d: max(n, scaling.min_endpoints)
                for d, n in on_demand_targets.items()
            }
        return on_demand_targets

    def _spot_targets(
        self,
        scaling: routes.Scaling,
        by_price: list[str],
        spot_domains: list[str],
        now: int,
    ) -> dict[str, int]:
        """Return how many each domain should have, cheap ones first."""
        required = self.required_count(len(by_price), now)
        eligible = spot_domains or by_price
        targets = dict.fromkeys(by_price, scaling.min_endpoints)
        while sum(targets[d] for d in eligible) < required:
            below_limit = [
                d for d in eligible if targets[d] < scaling.max_endpoints
            ]
            if not below_limit:
                break
            chosen = min(below_limit, key=lambda d: targets[d])
            targets[chosen] += 1
        return targets

    def _is_spot_available(
        self, scaling: routes.Scaling, domain: str, now: int
    ) -> bool:
        if not 0 < scaling.spot_price < 1:
            return False
        return self.unavailable_until.get(domain, 0) <= now

    def _was_spot_unavailable(self, domain: str, now: int) -> bool:
        """Return whether a domain lacked reclaimable ones lately."""
        return (
            now
            < self.unavailable_until.get(domain, -OVERLOAD_WINDOW_MS)
            + OVERLOAD_WINDOW_MS
        )

    def _count_ready(
        self,
        by_price: list[str],
        records: Iterable[messages.EndpointRecord],
        now: int,
    ) -> dict[str, ReadyCounts]:
        ready = {domain: ReadyCounts(0, 0) for domain in by_price}
        for record in records:
            if record.service != self.service or record.domain not in ready:
                continue
            reclaimed = record.spot and record.leaves_ms > 0
            if record.state == registry.DRAINING and reclaimed:
                self.mark_spot_unavailable(record.domain, now)
            if record.state != registry.READY:
                continue
            on_demand, spot = ready[record.domain]
            ready[record.domain] = ReadyCounts(
                on_demand + (not record.spot), spot + record.spot
            )
        return ready

    # -- orders ------------------------------------------------------------

    def _is_due(
        self, order: CapacityOrder, ready: dict[str, ReadyCounts], now: int
    ) -> bool:
        counts = ready[order.domain]
        count = counts.spot if order.spot else counts.on_demand
        last_order = self.last_orders.get((order.domain, order.spot))
        if last_order is None:
            return order.count != count
        if order.count > last_order[0] or not order.spot:
            return order.count != last_order[0]
        if order.count < last_order[0]:
            return now - last_order[1] > SCALE_DOWN_DELAY_MS
        return count < order.count and now - last_order[1] > RESEND_MS


__all__ = ["CapacityOrder", "ReadyCounts", "Scaler", "SlidingPeak"]
