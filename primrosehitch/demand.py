"""Demand for a service by tier, and the times that its requests take.

Does no I/O; the caller passes the current time in ms. Every figure covers
the last seconds: older events count less and less. Sums are kept up to date
with each event, so that no request causes a scan.
"""

import math
from typing import NamedTuple

from primrosehitch import loads as loads_module
from primrosehitch import messages

# Events of this age count half.
HALF_LIFE_MS = 3000.0
ARRIVAL_HALF_LIFE_MS = 1500.0
# The sums of other edges say nothing after this time.
TOTALS_TTL_MS = loads_module.REPORT_TTL_MS
MILLI = 1000


class DecayingMean:
    """A sum and a count of events, in which older events count less.

    Args:
        half_life_ms: events of this age count half.

    Attributes:
        count: the number of events, at ``updated_at``.
        total: the sum of their values, at ``updated_at``.
        updated_at: the time of the last event, in ms.
    """

    __slots__ = ("count", "half_life_ms", "total", "updated_at")

    def __init__(self, half_life_ms: float = HALF_LIFE_MS):
        self.half_life_ms = half_life_ms
        self.count = 0.0
        self.total = 0.0
        self.updated_at = 0

    def add(self, value: float, now: int) -> None:
        """Count an event."""
        kept = self._decay(now)
        self.count = self.count * kept + 1
        self.total = self.total * kept + value
        self.updated_at = now

    @property
    def mean(self) -> float:
        """The mean value, 0 without events."""
        return self.total / self.count if self.count else 0.0

    def count_at(self, now: int) -> float:
        """Return the number of events, each counted by its age."""
        return self.count * self._decay(now)

    def per_second(self, now: int) -> float:
        """Return the rate of events; a new counter shows too little."""
        return self.count_at(now) * math.log(2) * 1000 / self.half_life_ms

    def _decay(self, now: int) -> float:
        """Return what the events counted so far count now."""
        return 0.5 ** (max(0, now - self.updated_at) / self.half_life_ms)


class TierDemand:
    """The requests of one tier for a service at this edge.

    Attributes:
        arrivals: requests that arrived, refused ones included.
        holds: for how long requests hold a place of an endpoint, in ms.
        firsts: times from sending to the first event or the answer, in ms.
        rests: times from there to the end, in ms.
        unanswered: requests sent that have no first event yet.
        sent_sum: the sum of the times at which those were sent, in ms.
    """

    __slots__ = (
        "arrivals",
        "firsts",
        "holds",
        "rests",
        "sent_sum",
        "unanswered",
    )

    def __init__(self) -> None:
        self.arrivals = DecayingMean(ARRIVAL_HALF_LIFE_MS)
        self.holds = DecayingMean()
        self.firsts = DecayingMean()
        self.rests = DecayingMean()
        self.unanswered = 0
        self.sent_sum = 0

    def forget_sent(self, sent_at: int) -> None:
        """Record that a request was answered, or ended without an answer."""
        self.unanswered -= 1
        self.sent_sum -= sent_at

    def waited_ms(self, min_count: float, now: int) -> float:
        """Return the time to first events, measured or passed already.

        Under growing load the requests that still wait say more than the
        answers that came. A queue in which requests wait for a time holds
        some that have waited for half of it on average.

        Args:
            min_count: fewer requests say nothing.
            now: the current time in ms.
        """
        measured_ms = 0.0
        if self.firsts.count_at(now) >= min_count:
            measured_ms = self.firsts.mean
        if self.unanswered >= min_count:
            mean_age_ms = now - self.sent_sum / self.unanswered
            measured_ms = max(measured_ms, 2 * mean_age_ms)
        return measured_ms

    def work(self, now: int) -> float:
        """Return the places that the tier's arrivals hold on average."""
        return self.arrivals.per_second(now) * self.holds.mean / 1000


class TierTotal(NamedTuple):
    """The demand of one tier at other edges.

    Attributes:
        work: places that its arrivals hold on average.
        unanswered: requests sent that have no first event yet.
    """

    work: float
    unanswered: int


NO_TOTAL = TierTotal(0.0, 0)


class Demand:
    """The demand of all tiers for all services.

    Attributes:
        tiers: demand at this edge by service and tier.
        ends: how long requests held a place, by service.
        ended: number of answers that ended, by service.
        refusals: for how long refused callers stay away, in ms, by service.
        totals: demand at the other edges by service and tier.
        totals_at: when the totals arrived, in ms, or -1.
        published: what this edge last told, by service and tier.
        edge_count: number of edges, this one among them.
    """

    def __init__(self) -> None:
        self.tiers: dict[str, dict[int, TierDemand]] = {}
        self.ends: dict[str, DecayingMean] = {}
        self.ended: dict[str, int] = {}
        self.refusals: dict[str, DecayingMean] = {}
        self.totals: dict[str, dict[int, TierTotal]] = {}
        self.totals_at = -1
        self.published: dict[tuple[str, int], TierTotal] = {}
        self.edge_count = 1

    def tier(self, service: str, tier: int) -> TierDemand:
        """Return the demand of a tier at this edge."""
        tiers = self.tiers.get(service)
        if tiers is None:
            tiers = self.tiers[service] = {}
        found = tiers.get(tier)
        if found is None:
            found = tiers[tier] = TierDemand()
        return found

    def record_sent(self, service: str, tier: int, now: int) -> None:
        """Record that a request is sent to an endpoint."""
        demand = self.tier(service, tier)
        demand.unanswered += 1
        demand.sent_sum += now

    def record_first(
        self, service: str, tier: int, sent_at: int, now: int
    ) -> None:
        """Record the first event of an answer, or a whole answer.

        Args:
            service: the service.
            tier: the request's tier.
            sent_at: the time passed to ``record_sent``.
            now: the current time in ms.
        """
        demand = self.tier(service, tier)
        demand.forget_sent(sent_at)
        demand.firsts.add(now - sent_at, now)

    def record_unanswered(
        self, service: str, tier: int, sent_at: int, now: int
    ) -> None:
        """Record the end of a request without a first event.

        The time that it waited counts where it shows that the usual time
        was longer than known; an endpoint may also refuse at once.
        """
        demand = self.tier(service, tier)
        demand.forget_sent(sent_at)
        if now - sent_at > demand.firsts.mean:
            demand.firsts.add(now - sent_at, now)

    def record_end(
        self,
        service: str,
        tier: int,
        hold_ms: float,
        rest_ms: float,
        now: int,
    ) -> None:
        """Record the end of an answer.

        Args:
            service: the service.
            tier: the request's tier.
            hold_ms: for how long it held a place of the endpoint.
            rest_ms: time from the first event to the end.
            now: the current time in ms.
        """
        demand = self.tier(service, tier)
        demand.holds.add(hold_ms, now)
        demand.rests.add(rest_ms, now)
        self.ends.setdefault(service, DecayingMean()).add(hold_ms, now)
        self.ended[service] = self.ended.get(service, 0) + 1

    def record_refusal(self, service: str, away_ms: float, now: int) -> None:
        """Record a refusal, and for how long the caller stays away."""
        self.refusals.setdefault(service, DecayingMean()).add(away_ms, now)

    def refused_callers(self, service: str, now: int) -> int:
        """Return how many refused callers of a service are away.

        Without refusals they would wait for a place, so that they are part of
        the demand by which endpoints are ordered.
        """
        refusals = self.refusals.get(service)
        if refusals is None:
            return 0
        return round(refusals.per_second(now) * refusals.mean / 1000)

    def publish(self, now: int) -> tuple[messages.TierDemand, ...]:
        """Return this edge's demand, to be sent to other edges."""
        self.published = {}
        items = []
        for service, tiers in self.tiers.items():
            for number, demand in tiers.items():
                milli_work = min(
                    round(MILLI * demand.work(now)), loads_module.MAX_LOAD
                )
                unanswered = max(0, demand.unanswered)
                self.published[service, number] = TierTotal(
                    milli_work / MILLI, unanswered
                )
                if number >= 0 and (milli_work or unanswered):
                    items.append(
                        messages.TierDemand(
                            service, number, milli_work, unanswered
                        )
                    )
        return tuple(items)

    def apply_totals(
        self, totals: tuple[messages.TierDemand, ...], now: int
    ) -> None:
        """Update the demand of other edges.

        Control instances of older builds send none, and no totals are then
        known.

        Args:
            totals: sums over all edges, this one included.
            now: the current time in ms.
        """
        if not totals:
            return
        self.totals_at = now
        self.totals = {}
        for total in totals:
            own = self.published.get((total.service, total.tier), NO_TOTAL)
            self.totals.setdefault(total.service, {})[total.tier] = TierTotal(
                max(0.0, total.milli_work / MILLI - own.work),
                max(0, total.unanswered - own.unanswered),
            )

    def has_totals(self, now: int) -> bool:
        """Return whether the demand of other edges is known."""
        return 0 <= self.totals_at and now - self.totals_at <= TOTALS_TTL_MS

    def work_by_tier(
        self, service: str, places: int, now: int
    ) -> dict[int, float]:
        """Return the part of a service's places that each tier's demand takes.

        Without the demand of other edges, this edge's own is compared with
        an equal share of the places.

        Args:
            service: the service.
            places: the places of all its endpoints.
            now: the current time in ms.
        """
        shared = self.has_totals(now)
        others = self.totals.get(service, {}) if shared else {}
        own = self.tiers.get(service, {})
        usable = max(1.0, places if shared else places / self.edge_count)
        works = {tier: demand.work(now) for tier, demand in own.items()}
        for tier, total in others.items():
            works[tier] = works.get(tier, 0.0) + total.work
        return {tier: work / usable for tier, work in works.items()}

    def unanswered_share(self, service: str, tier: int, now: int) -> float:
        """Return which part of the unanswered requests is as urgent.

        Args:
            service: the service.
            tier: the tier; this one and more urgent ones count.
            now: the current time in ms.
        """
        others = self.totals.get(service, {}) if self.has_totals(now) else {}
        counts = {
            number: max(0, demand.unanswered)
            for number, demand in self.tiers.get(service, {}).items()
        }
        for number, total in others.items():
            counts[number] = counts.get(number, 0) + total.unanswered
        known = sum(counts.values())
        if not known:
            return 1.0
        return sum(n for t, n in counts.items() if t <= tier) / known

    def measured_first(
        self, service: str, tier: int, min_count: float, now: int
    ) -> float:
        """Return the time to first events measured at this edge.

        A tier waits no less than more urgent ones, so that the longest of
        their times counts.

        Args:
            service: the service.
            tier: the tier.
            min_count: tiers with fewer events lately do not count.
            now: the current time in ms.
        """
        return max(
            (
                demand.waited_ms(min_count, now)
                for number, demand in self.tiers.get(service, {}).items()
                if number <= tier
            ),
            default=0.0,
        )


__all__ = ["Demand", "DecayingMean", "TierDemand", "TierTotal"]
