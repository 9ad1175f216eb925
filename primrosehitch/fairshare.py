"""Sharing engines among gateways when several of them have to wait.

Pure. A place that becomes free is known first to the gateway that held
it, so without more the gateways would keep the places they have, and a
customer that floods would be served at one gateway while others wait at
the next. Gateways tell each other who waits where; each customer's
weight is divided over the gateways by its waiting requests, and a
gateway that runs more than its part of the places leaves free ones to
the others.
"""

from typing import NamedTuple

from primrosehitch import admission as admission_module
from primrosehitch import messages
from primrosehitch import routing

STALE_PEER_MS = 1500
LIMIT_CACHE_MS = 50
MAX_WAITING_COUNTS = 64


class InflightLimit(NamedTuple):
    """How many requests of a tier a gateway may run, when computed."""

    max_inflight: float
    computed_at: int


class FairShare:
    """This gateway's part of each pool's places.

    Args:
        router: knows the endpoints and what runs there.
    """

    def __init__(self, router: routing.Router):
        self.router = router
        self.waiting_by_gateway: dict[
            str, tuple[messages.WaitingCount, ...]
        ] = {}
        self.last_heard: dict[str, int] = {}
        self.limits: dict[tuple[str, int], InflightLimit] = {}

    def record_waiting(
        self,
        gateway: str,
        waiting: tuple[messages.WaitingCount, ...],
        now: int,
    ) -> None:
        """Note who waits at another gateway."""
        self.waiting_by_gateway[gateway] = waiting
        self.last_heard[gateway] = now

    def may_start(
        self,
        pool: str,
        tier: int,
        admission: admission_module.Admission,
        now: int,
    ) -> bool:
        """Return whether a request of a tier may take a free place."""
        limit = self.limits.get((pool, tier))
        if limit is None or now - limit.computed_at >= LIMIT_CACHE_MS:
            max_inflight = self._max_inflight(pool, tier, admission, now)
            limit = self.limits[pool, tier] = InflightLimit(max_inflight, now)
        return self.router.inflight(pool, tier) < limit.max_inflight

    def _max_inflight(
        self,
        pool: str,
        tier: int,
        admission: admission_module.Admission,
        now: int,
    ) -> float:
        others = [
            w
            for name, waiting in self.waiting_by_gateway.items()
            if now - self.last_heard[name] <= STALE_PEER_MS
            for w in waiting
            if w.pool == pool and w.tier == tier
        ]
        if not others:
            return float("inf")
        own = [w for w in waiting_counts(pool, admission) if w.tier == tier]
        fraction = gateway_share(own, others)
        return max(1.0, fraction * self.router.capacity(pool, tier, now))


def waiting_counts(
    pool: str, admission: admission_module.Admission
) -> list[messages.WaitingCount]:
    """Return who waits in a pool here, those with most first."""
    counts = [
        messages.WaitingCount(
            pool, queue.tier, customer, tickets[0].weight, len(tickets)
        )
        for queue in admission.class_queues.values()
        for customer, tickets in queue.tickets.tickets_by_customer.items()
    ]
    if len(counts) > MAX_WAITING_COUNTS:
        counts.sort(key=lambda w: (w.tier, -w.count))
    return counts[:MAX_WAITING_COUNTS]


def gateway_share(
    own: list[messages.WaitingCount], others: list[messages.WaitingCount]
) -> float:
    """Return this gateway's part, 0 to 1, of a tier's places.

    Args:
        own: who waits here.
        others: who waits at the other gateways.
    """
    totals: dict[str, int] = {}
    weights: dict[str, float] = {}
    for item in [*own, *others]:
        totals[item.customer] = totals.get(item.customer, 0) + item.count
        weights[item.customer] = item.weight
    own_weight = sum(w.weight * w.count / totals[w.customer] for w in own)
    return own_weight / sum(weights.values())


__all__ = ["FairShare", "gateway_share", "waiting_counts"]
