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

STALE_MS = 1500
KEPT_MS = 50
MAX_TOLD = 64


class Part(NamedTuple):
    """How many requests of a tier a gateway may run, when computed."""

    places: float
    at: int


class FairShare:
    """This gateway's part of each pool's places.

    Args:
        router: knows the endpoints and what runs there.
    """

    def __init__(self, router: routing.Router):
        self.router = router
        self.peers: dict[str, tuple[messages.WaitingCount, ...]] = {}
        self.heard: dict[str, int] = {}
        self.parts: dict[tuple[str, int], Part] = {}

    def hear(
        self,
        gateway: str,
        waiting: tuple[messages.WaitingCount, ...],
        now: int,
    ) -> None:
        """Note who waits at another gateway."""
        self.peers[gateway] = waiting
        self.heard[gateway] = now

    def may_start(
        self,
        pool: str,
        tier: int,
        admission: admission_module.Admission,
        now: int,
    ) -> bool:
        """Return whether a request of a tier may take a free place."""
        part = self.parts.get((pool, tier))
        if part is None or now - part.at >= KEPT_MS:
            places = self._places(pool, tier, admission, now)
            part = self.parts[pool, tier] = Part(places, now)
        return self.router.running(pool, tier) < part.places

    def _places(
        self,
        pool: str,
        tier: int,
        admission: admission_module.Admission,
        now: int,
    ) -> float:
        others = [
            w
            for name, waiting in self.peers.items()
            if now - self.heard[name] <= STALE_MS
            for w in waiting
            if w.pool == pool and w.tier == tier
        ]
        if not others:
            return float("inf")
        own = [w for w in told(pool, admission) if w.tier == tier]
        part = share(own, others)
        return max(1.0, part * self.router.places(pool, tier, now))


def told(
    pool: str, admission: admission_module.Admission
) -> list[messages.WaitingCount]:
    """Return who waits in a pool here, those with most first."""
    found = [
        messages.WaitingCount(
            pool, queue.tier, customer, tickets[0].weight, len(tickets)
        )
        for queue in admission.classes.values()
        for customer, tickets in queue.queue.waiting.items()
    ]
    if len(found) > MAX_TOLD:
        found.sort(key=lambda w: (w.tier, -w.count))
    return found[:MAX_TOLD]


def share(
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
    mine = sum(w.weight * w.count / totals[w.customer] for w in own)
    return mine / sum(weights.values())


__all__ = ["FairShare", "share", "told"]
