"""Autoscaler that plans how many endpoints of a service to order.

Does no I/O; the caller passes the current time in ms and sends the orders.

Spot endpoints cost a fraction of the on-demand price, but the platform may
reclaim all those of a failure domain at once. They are therefore spread
over the failure domains with enough capacity to lose one domain. On-demand
endpoints are ordered only as far as spot endpoints are unavailable. Scaling
up is immediate, scaling down is delayed.
"""

from collections import deque
import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes

# Requests in flight at one model engine with which the prefill of one more
# prompt still meets common objectives.
TARGET_REQUESTS_PER_ENGINE = 8.0
# Requests in flight at one engine with which most answers are late. Below
# it, waiting for spot endpoints costs less than on-demand endpoints do.
MAX_REQUESTS_PER_ENGINE = 16.0
# Endpoints to keep ready, relative to the endpoints with which the operators
# started the service. With spot endpoints at a fifth of the on-demand price
# this costs less than half of what the initial endpoints do.
STANDBY_FACTOR = 2.0
# Demand is the peak over this window, so that a lull between two bursts
# removes no endpoint.
PEAK_WINDOW_MS = 30_000
# On-demand endpoints follow the peak over this shorter window. A domain also
# counts as lacking spot endpoints until this long after its retry is due.
OVERLOAD_WINDOW_MS = 5_000
# A domain without spot endpoints is retried after this time: a call costs
# little, and each second without spot endpoints costs a lot.
UNAVAILABLE_RETRY_MS = 1_500
# An order stands at least this long before a smaller one replaces it,
# because each removed endpoint loses its prefix cache.
SCALE_DOWN_DELAY_MS = 30_000
# An order that the endpoints' reports do not confirm is sent again after
# this time.
RESEND_MS = 10_000


class CapacityOrder(NamedTuple):
    """A request to the platform for a number of endpoints.

    Attributes:
        service: the service.
        domain: the failure domain.
        spot: whether to order spot or on-demand endpoints.
        count: total number of endpoints of this kind in the domain.
    """

    service: str
    domain: str
    spot: bool
    count: int


class ReadyCounts(NamedTuple):
    """Number of ready endpoints in a failure domain, by kind."""

    on_demand: int
    spot: int


class SlidingPeak:
    """Maximum of the requests in flight over a sliding window.

    Args:
        window_ms: length of the window.

    Attributes:
        samples: times in ms and values, in order of time; the values
            decrease, since a sample at or below a later one never becomes
            the maximum.
    """

    def __init__(self, window_ms: int = PEAK_WINDOW_MS):
        self.window_ms = window_ms
        self.samples: deque[tuple[int, float]] = deque()

    def add(self, running: float, now: int) -> None:
        """Add the present number of requests in flight."""
        while self.samples and self.samples[-1][1] <= running:
            self.samples.pop()
        self.samples.append((now, running))

    def peak(self, now: int) -> float:
        """Return the maximum over the window, 0.0 without samples."""
        while self.samples and now - self.samples[0][0] > self.window_ms:
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0.0


class Scaler:
    """Plans the orders for one service.

    Args:
        service: the service's name.

    Attributes:
        long_peak: peak of the demand over PEAK_WINDOW_MS.
        short_peak: peak of the demand over OVERLOAD_WINDOW_MS.
        initial_count: largest number of ready endpoints before the first
            accepted order.
        retained: on-demand endpoints present at first that spot endpoints
            have not yet replaced, by failure domain.
        unavailable_until: time of the next retry of an order for spot
            endpoints, in ms, by failure domain.
        last_orders: count and time in ms of the last accepted order, by
            failure domain and whether it was for spot endpoints.
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
        """Record how many requests are in flight now."""
        self.long_peak.add(running, now)
        self.short_peak.add(running, now)

    def mark_spot_unavailable(self, domain: str, now: int) -> None:
        """Record that a failure domain has no spot endpoints at present."""
        self.unavailable_until[domain] = now + UNAVAILABLE_RETRY_MS

    def record_accepted(self, placed_order: CapacityOrder, now: int) -> None:
        """Record that the platform accepted an order."""
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
            records: the newest records of all known endpoints.
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
        """Return how many of the initial on-demand endpoints remain.

        Each is removed once a spot endpoint serves in its place. Without
        a spot price below the on-demand price all of them remain.
        """
        retained = self.retained.setdefault(domain, counts.on_demand)
        if not 0 < scaling.spot_price < 1:
            return retained
        if counts.spot >= retained:
            self.retained[domain] = 0
        return max(0, retained - counts.spot)

    def required_count(self, domain_count: int, now: int) -> int:
        """Return how many endpoints the service should have.

        The count covers the demand after the loss of one failure domain.
        It is at least a multiple of the initial count: an additional spot
        endpoint costs little compared to the requests that a burst loses
        without spare capacity, and a new endpoint starts too late for the
        burst.
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
        """Return how many on-demand endpoints each failure domain needs.

        Where spot endpoints are offered, on-demand ones replace only the
        spot endpoints that are missing from the initial count or from the
        count that an overload needs. They are no longer needed once the
        spot endpoints are back. Domains that lack spot endpoints come
        first.

        Args:
            scaling: the service's limits and prices.
            by_price: the failure domains, cheapest first.
            ready: ready endpoints by failure domain.
            now: the current time in ms.
        """
        on_demand_targets = dict.fromkeys(by_price, 0)
        spot_offered = 0 < scaling.spot_price < 1
        if spot_offered:
            missing = max(
                self.initial_count,
                math.ceil(self.short_peak.peak(now) / MAX_REQUESTS_PER_ENGINE),
            )
            missing -= sum(counts.spot for counts in ready.values())
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
        """Return how many spot endpoints each failure domain should have.

        The required count is spread evenly over the domains with spot
        endpoints, cheapest first.
        """
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
        """Return whether a domain lacked spot endpoints recently."""
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
        """Count the ready endpoints, and note domains being reclaimed."""
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

    def _is_due(
        self, order: CapacityOrder, ready: dict[str, ReadyCounts], now: int
    ) -> bool:
        """Return whether to send an order now.

        Larger orders, and all changes of on-demand orders, are sent at
        once. A smaller spot order waits for SCALE_DOWN_DELAY_MS, and an
        unchanged one is repeated while endpoints are missing.
        """
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
