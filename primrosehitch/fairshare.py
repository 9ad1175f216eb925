"""Fair sharing of an endpoint pool's capacity among the gateways.

The gateway at which a request ends is the first to know of the freed
capacity. Without fair sharing gateways would keep the capacity that they
have, and a customer with a large backlog would be served at one gateway
while other customers wait at another. The gateways therefore exchange their
waiting requests in heartbeats. Each customer's weight is divided among the
gateways in proportion to its waiting requests, and a gateway whose in-flight
requests reach its share of the capacity starts no more.

Does no I/O; the caller passes the current time in ms.
"""

from typing import NamedTuple

from primrosehitch import admission as admission_module
from primrosehitch import messages
from primrosehitch import routing

# Waiting requests of a gateway that was not heard for this time are ignored.
STALE_WAITING_MS = 1500
# Time for which a computed limit is used.
LIMIT_CACHE_MS = 50
# Maximum number of counts in a heartbeat.
MAX_WAITING_COUNTS = 64


class InflightLimit(NamedTuple):
    """The limit on a gateway's in-flight requests of a tier.

    Attributes:
        max_inflight: the limit; infinite if no other gateway has requests
            waiting.
        computed_at: time of the computation in ms.
    """

    max_inflight: float
    computed_at: int


class FairShare:
    """This gateway's share of the capacity of each pool.

    Args:
        router: provides the pools' capacity and in-flight requests.

    Attributes:
        waiting_by_gateway: waiting requests of the other gateways.
        last_heard: time in ms at which each gateway was last heard.
        limits: last computed limits by pool and tier.
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
        """Record the waiting requests of another gateway."""
        self.waiting_by_gateway[gateway] = waiting
        self.last_heard[gateway] = now

    def may_start(
        self,
        pool: str,
        tier: int,
        admission: admission_module.Admission,
        now: int,
    ) -> bool:
        """Return whether a request of a tier may start at this gateway."""
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
            if now - self.last_heard[name] <= STALE_WAITING_MS
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
    """Return this gateway's waiting requests for a pool.

    If there are more than MAX_WAITING_COUNTS customers, the highest tiers
    and in them the largest counts are returned.
    """
    counts = [
        messages.WaitingCount(
            pool,
            class_queue.tier,
            customer,
            queue[0].weight,
            len(queue),
        )
        for class_queue in admission.class_queues.values()
        for customer, queue in class_queue.tickets.tickets_by_customer.items()
    ]
    if len(counts) > MAX_WAITING_COUNTS:
        counts.sort(key=lambda w: (w.tier, -w.count))
    return counts[:MAX_WAITING_COUNTS]


def gateway_share(
    own: list[messages.WaitingCount], others: list[messages.WaitingCount]
) -> float:
    """Return this gateway's share, 0 to 1, of the capacity for a tier.

    Args:
        own: waiting requests of this gateway.
        others: waiting requests of the other gateways.
    """
    totals: dict[str, int] = {}
    weights: dict[str, float] = {}
    for item in [*own, *others]:
        totals[item.customer] = totals.get(item.customer, 0) + item.count
        weights[item.customer] = item.weight
    own_weight = sum(w.weight * w.count / totals[w.customer] for w in own)
    return own_weight / sum(weights.values())


__all__ = ["FairShare", "gateway_share", "waiting_counts"]
