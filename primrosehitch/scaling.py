"""Autoscaler that plans how many endpoints of a service to order.

Does no I/O; the caller passes the current time in ms and sends the orders.

The number follows the measured requests in flight, and is never below a
multiple of what the operators started the service with: spot endpoints are
cheap, and one that is ordered for a burst serves only after it.

Spot endpoints cost a fraction of the on-demand price, but the platform may
reclaim all those of a failure domain at once. They are therefore spread
over the failure domains. On-demand endpoints are ordered only as far as
spot endpoints are unavailable. Scaling up is immediate, scaling down is
delayed.

The endpoints of an evacuated failure domain are no capacity: the other
domains get as many more as it had to provide. Its own orders stand, so that
its streams go on and its endpoints are there at the end; nothing is ordered
there beyond its minimum.
"""

from collections import deque
import math
from typing import Collection
from typing import Iterable
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes

# Requests in flight at one model engine with which the prefill of one more
# prompt still meets common objectives.
TARGET_REQUESTS_PER_ENGINE = 8.0
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
# An endpoint that has booted reports itself within this time. A spot
# endpoint that does not is no longer counted on.
BOOT_MARGIN_MS = 3_000
# An order that the endpoints' reports do not confirm is sent again after
# this time.
RESEND_MS = 10_000
# After the end of an evacuation the endpoints of the domain count as capacity
# again after this time. They are cold at first.
EVACUATION_END_DELAY_MS = 10_000


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
        initial_count: endpoints with which the operators started the
            service, as far as it can be told.
        saw_start: whether all endpoints were seen before the first spot
            endpoint of the service.
        first_plan_ms: when orders were first planned, or -1.
        unavailable_until: time of the next retry of an order for spot
            endpoints, in ms, by failure domain.
        limited_count: ready endpoints that named a limit on requests; each
            is replaced, as what it turns away is demand.
        cold_spot_count: ready spot endpoints that are cold, and serve little
            yet.
        last_orders: count and time in ms of the last accepted order, by
            failure domain and whether it was for spot endpoints.
        undelivered_since: since when a failure domain has fewer spot
            endpoints than were ordered, in ms.
        evacuated_at: when a failure domain was last seen evacuated, in ms.
    """

    def __init__(self, service: str):
        self.service = service
        self.long_peak = SlidingPeak(PEAK_WINDOW_MS)
        self.short_peak = SlidingPeak(OVERLOAD_WINDOW_MS)
        self.initial_count = 0
        self.saw_start = False
        self.first_plan_ms = -1
        self.unavailable_until: dict[str, int] = {}
        self.limited_count = 0
        self.cold_spot_count = 0
        self.last_orders: dict[tuple[str, bool], tuple[int, int]] = {}
        self.undelivered_since: dict[str, int] = {}
        self.evacuated_at: dict[str, int] = {}

    def record_demand(self, running: float, now: int) -> None:
        """Record how many requests are in flight now."""
        self.long_peak.add(running, now)
        self.short_peak.add(running, now)

    def observe(
        self, records: Iterable[messages.EndpointRecord], is_warm: bool
    ) -> None:
        """Learn the initial count, whether or not this instance leads.

        Operators start on-demand endpoints only, so the count is the
        largest number of ready ones before the first spot endpoint. An
        instance that started later finds what an earlier leader ordered,
        standby endpoints among them.

        Args:
            records: the newest records of all known endpoints.
            is_warm: whether the instance runs for so long that all
                endpoints have reported.
        """
        if self.last_orders:
            return
        ready = [
            r
            for r in records
            if r.service == self.service and r.state == registry.READY
        ]
        if not any(r.spot for r in ready):
            self.saw_start = self.saw_start or is_warm
            self.initial_count = max(self.initial_count, len(ready))
        elif not self.saw_start:
            initial = math.ceil(len(ready) / STANDBY_FACTOR)
            self.initial_count = max(self.initial_count, initial)

    def record_evacuated(self, domains: Collection[str], now: int) -> None:
        """Record which failure domains are evacuated now."""
        self.evacuated_at.update(dict.fromkeys(domains, now))

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
        all_domains = sorted(
            domains, key=lambda d: (scaling.prices.get(d, 1.0), d)
        )
        if self.first_plan_ms < 0:
            self.first_plan_ms = now
        present = self._count_ready(all_domains, records, now)
        avoided = self._avoided_domains(now)
        for domain in avoided:
            self.undelivered_since.pop(domain, None)
        by_price = [d for d in all_domains if d not in avoided]
        ready = {d: present[d] for d in by_price}
        orders = self._minimum_orders(
            scaling, [d for d in all_domains if d in avoided], present, now
        )
        spot_domains = [
            d for d in by_price if self._is_spot_available(scaling, d, now)
        ]
        required = self.required_count(len(all_domains), now)
        spot_targets = self._spot_targets(
            scaling, by_price, spot_domains, required
        )
        self._track_deliveries(ready, now)
        coming_spot = {
            d: self._coming_spot(scaling, d, ready[d], spot_targets[d], now)
            for d in by_price
        }
        on_demand_targets = self._on_demand_targets(
            scaling, by_price, ready, coming_spot, required, now
        )
        for domain in by_price:
            counts = ready[domain]
            on_demand = min(on_demand_targets[domain], scaling.max_endpoints)
            orders.append(
                CapacityOrder(self.service, domain, False, on_demand)
            )
            if domain in spot_domains:
                room = scaling.max_endpoints - max(counts.on_demand, on_demand)
                spot = min(spot_targets[domain], max(room, counts.spot))
                orders.append(CapacityOrder(self.service, domain, True, spot))
        return [o for o in orders if self._is_due(o, present, now)]

    def _avoided_domains(self, now: int) -> set[str]:
        """Return the domains that are evacuated or were a moment ago."""
        return {
            domain
            for domain, at in self.evacuated_at.items()
            if now - at < EVACUATION_END_DELAY_MS
        }

    def _minimum_orders(
        self,
        scaling: routes.Scaling,
        avoided: list[str],
        present: dict[str, ReadyCounts],
        now: int,
    ) -> list[CapacityOrder]:
        """Return orders for avoided domains that lack their minimum.

        Larger orders that were sent before stand.
        """
        is_spot = 0 < scaling.spot_price < 1
        minimum = scaling.min_endpoints
        return [
            CapacityOrder(self.service, domain, is_spot, minimum)
            for domain in avoided
            if sum(present[domain]) < minimum
            and self.last_orders.get((domain, is_spot), (0, 0))[0] <= minimum
            and (not is_spot or self._is_spot_available(scaling, domain, now))
        ]

    def _track_deliveries(
        self, ready: dict[str, ReadyCounts], now: int
    ) -> None:
        """Note since when each domain lacks spot endpoints ordered there."""
        for domain, counts in ready.items():
            ordered, _ = self.last_orders.get((domain, True), (0, 0))
            if counts.spot < ordered:
                self.undelivered_since.setdefault(domain, now)
            else:
                self.undelivered_since.pop(domain, None)

    def _coming_spot(
        self,
        scaling: routes.Scaling,
        domain: str,
        counts: ReadyCounts,
        target: int,
        now: int,
    ) -> int:
        """Return how many spot endpoints a domain has or will soon have.

        Those to be ordered count, unless the domain lacked spot endpoints
        recently or an accepted order is overdue.
        """
        since = self.undelivered_since.get(domain, now)
        is_overdue = now - since > 1000 * scaling.boot_s + BOOT_MARGIN_MS
        if is_overdue or self._was_spot_unavailable(domain, now):
            return counts.spot
        room = scaling.max_endpoints - counts.on_demand
        return max(counts.spot, min(target, room))

    def required_count(self, domain_count: int, now: int) -> int:
        """Return how many endpoints the service should have.

        The count covers the demand after the loss of one failure domain.
        """
        required = self.long_peak.peak(now) / TARGET_REQUESTS_PER_ENGINE
        if domain_count > 1:
            required *= domain_count / (domain_count - 1)
        standby = STANDBY_FACTOR * self.initial_count
        return (
            max(1, math.ceil(required), math.ceil(standby))
            + self.limited_count
        )

    def _on_demand_targets(
        self,
        scaling: routes.Scaling,
        by_price: list[str],
        ready: dict[str, ReadyCounts],
        coming_spot: dict[str, int],
        required: int,
        now: int,
    ) -> dict[str, int]:
        """Return how many on-demand endpoints each failure domain needs.

        Where spot endpoints are offered, on-demand ones replace only the
        spot endpoints that are missing from the initial count or from the
        count that an overload needs. Domains that lack spot endpoints come
        first.

        Args:
            scaling: the service's limits and prices.
            by_price: the failure domains, cheapest first.
            ready: ready endpoints by failure domain.
            coming_spot: spot endpoints by failure domain, those that can
                be ordered now among them.
            required: how many endpoints the service should have.
            now: the current time in ms.
        """
        if not 0 < scaling.spot_price < 1:
            targets = dict.fromkeys(by_price, scaling.min_endpoints)
            limits = dict.fromkeys(by_price, scaling.max_endpoints)
            _distribute(required, targets, limits, by_price)
            return targets
        overload = math.ceil(
            self.short_peak.peak(now) / TARGET_REQUESTS_PER_ENGINE
        )
        needed = max(self.initial_count, overload) + self.limited_count
        targets = dict.fromkeys(by_price, 0)
        room = {d: scaling.max_endpoints - ready[d].spot for d in by_price}
        present = {d: ready[d].on_demand for d in by_price}
        lacking_first = sorted(
            by_price, key=lambda d: not self._was_spot_unavailable(d, now)
        )
        # Present ones stay until spot endpoints serve, which cold ones hardly
        # do. New ones serve no sooner than spot endpoints that are ordered
        # now.
        spot_count = sum(counts.spot for counts in ready.values())
        spot_count -= self.cold_spot_count
        _distribute(needed - spot_count, targets, present, lacking_first)
        missing = needed - sum(coming_spot.values())
        _distribute(missing, targets, room, lacking_first)
        spare = sum(sum(counts) for counts in ready.values()) - overload
        self._make_room(targets, room, max(1, spare), now)
        return targets

    def _make_room(
        self,
        targets: dict[str, int],
        room: dict[str, int],
        most: int,
        now: int,
    ) -> None:
        """Leave out one on-demand endpoint of each full failure domain.

        Without room no spot endpoint could replace them.

        Args:
            targets: on-demand counts by failure domain, which are lowered.
            room: largest on-demand counts beside the spot endpoints.
            most: how many endpoints may be left out at a time.
            now: the current time in ms.
        """
        for domain, count in targets.items():
            is_full = 0 < room[domain] <= count
            if (
                most > 0
                and is_full
                and not self._was_spot_unavailable(domain, now)
            ):
                targets[domain] = room[domain] - 1
                most -= 1

    def _spot_targets(
        self,
        scaling: routes.Scaling,
        by_price: list[str],
        spot_domains: list[str],
        required: int,
    ) -> dict[str, int]:
        """Return how many spot endpoints each failure domain should have.

        The required count is spread evenly over the domains with spot
        endpoints, cheapest first.
        """
        targets = dict.fromkeys(by_price, scaling.min_endpoints)
        eligible = spot_domains or by_price
        others = sum(targets[d] for d in by_price if d not in eligible)
        limits = dict.fromkeys(eligible, scaling.max_endpoints)
        _distribute(required + others, targets, limits, eligible)
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
            # An instance that took over may not know yet what the load is.
            is_settled = now - self.first_plan_ms > SCALE_DOWN_DELAY_MS
            is_reduction = order.spot and order.count < count
            return order.count != count and (is_settled or not is_reduction)
        if order.count > last_order[0] or not order.spot:
            return order.count != last_order[0]
        if order.count < last_order[0]:
            return now - last_order[1] > SCALE_DOWN_DELAY_MS
        return count < order.count and now - last_order[1] > RESEND_MS


def _distribute(
    count: int,
    targets: dict[str, int],
    limits: dict[str, int],
    preferred: list[str],
) -> None:
    """Raise targets one by one until their sum reaches a count.

    Args:
        count: the sum to reach, if the limits allow it.
        targets: counts by failure domain, which are raised.
        limits: largest counts; domains without one are not raised.
        preferred: the failure domains; the earlier of two with equal
            targets is raised first.
    """
    while sum(targets.values()) < count:
        below_limit = [d for d in preferred if targets[d] < limits.get(d, 0)]
        if not below_limit:
            return
        chosen = min(below_limit, key=lambda d: targets[d])
        targets[chosen] += 1


__all__ = ["CapacityOrder", "ReadyCounts", "Scaler", "SlidingPeak"]
