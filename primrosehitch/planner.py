"""How many endpoints to run, where, and of which price.

Pure. Demand sets how many a pool needs; the loss of any one failure
domain's cheap endpoints must leave the pool's minimum. Growth follows
need at once, shrinking only after a calm time, one at a time. A domain
that refused cheap endpoints is left alone for a while that doubles.
"""

import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import messages

CALM_MS = 60_000
START_GRACE_MS = 90_000
BACKOFF_MS = 30_000
BACKOFF_MAX_MS = 600_000
MAX_STEP = 4

START = "start"
STOP = "stop"


class Present(NamedTuple):
    """An endpoint as the planner sees it."""

    name: str
    domain: str
    kind: str
    cheap: bool
    slots: int
    running: int


class Wish(NamedTuple):
    """An order to give."""

    verb: str
    domain: str
    kind: str
    cheap: bool
    target: str


class Starting(NamedTuple):
    """A start that was ordered and has not announced itself yet."""

    domain: str
    kind: str
    cheap: bool
    since: int


class Planner:
    """The planner's memory between steps; times in ms.

    Args:
        domains: all failure domains.
    """

    def __init__(self, domains: Iterable[str]):
        self.domains = sorted(set(domains))
        self.low_since: dict[str, int] = {}
        self.starting: list[Starting] = []
        self.known: dict[str, Present] = {}
        self.backoff: dict[tuple[str, str], int] = {}
        self.refusals: dict[tuple[str, str], int] = {}

    def step(
        self,
        pools: Iterable[catalog.Pool],
        present: list[Present],
        waiting: dict[str, int],
        now: int,
    ) -> list[Wish]:
        """Return the orders to give now.

        Args:
            pools: the declared pools.
            present: endpoints that are ready.
            waiting: requests waiting, by kind.
            now: the current time in ms.
        """
        self._note_arrivals(present, now)
        wishes: list[Wish] = []
        for pool in sorted(pools):
            own = [p for p in present if p.kind == pool.kind]
            wishes += self._pool(pool, own, waiting.get(pool.kind, 0), now)
        return wishes

    def note_refused(self, wish: Wish, now: int) -> None:
        """Note that the platform had no such endpoint to start."""
        key = (wish.domain, wish.kind)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        pause = BACKOFF_MS * 2 ** (self.refusals[key] - 1)
        self.backoff[key] = now + min(pause, BACKOFF_MAX_MS)
        for item in self.starting:
            same = (item.domain, item.kind, item.cheap)
            if same == (wish.domain, wish.kind, wish.cheap):
                self.starting.remove(item)
                return

    def _note_arrivals(self, present: list[Present], now: int) -> None:
        names = {p.name: p for p in present}
        for name, endpoint in names.items():
            if name not in self.known:
                self._arrived(endpoint)
        self.known = names
        self.starting = [
            s for s in self.starting if now - s.since < START_GRACE_MS
        ]

    def _arrived(self, endpoint: Present) -> None:
        wanted = (endpoint.domain, endpoint.kind, endpoint.cheap)
        for item in self.starting:
            if (item.domain, item.kind, item.cheap) == wanted:
                self.starting.remove(item)
                if endpoint.cheap:
                    self.refusals.pop(wanted[:2], None)
                return

    def _pool(
        self, pool: catalog.Pool, own: list[Present], waiting: int, now: int
    ) -> list[Wish]:
        coming = [s for s in self.starting if s.kind == pool.kind]
        need = wanted_count(pool, own, waiting)
        have = len(own) + len(coming)
        if have < need or not _survives(pool, _counts(own, coming)):
            self.low_since.pop(pool.name, None)
            return self._grow(pool, own, need, now)
        if need >= len(own) or coming:
            self.low_since.pop(pool.name, None)
            return []
        since = self.low_since.setdefault(pool.name, now)
        if now - since < CALM_MS:
            return []
        self.low_since[pool.name] = now
        return self._shrink(pool, own)

    def _grow(
        self, pool: catalog.Pool, own: list[Present], need: int, now: int
    ) -> list[Wish]:
        wishes = []
        for _ in range(MAX_STEP):
            coming = [s for s in self.starting if s.kind == pool.kind]
            counts = _counts(own, coming)
            have = sum(sum(c) for c in counts.values())
            if have >= need and _survives(pool, counts):
                break
            wish = self._next_start(pool, counts, now)
            wishes.append(wish)
            self.starting.append(
                Starting(wish.domain, wish.kind, wish.cheap, now)
            )
        return wishes

    def _next_start(
        self,
        pool: catalog.Pool,
        counts: dict[str, tuple[int, int]],
        now: int,
    ) -> Wish:
        by_size = sorted(
            self.domains, key=lambda d: (sum(counts.get(d, (0, 0))), d)
        )
        for domain in by_size:
            steady, cheap = counts.get(domain, (0, 0))
            after = {**counts, domain: (steady, cheap + 1)}
            allowed = now >= self.backoff.get((domain, pool.kind), 0)
            if allowed and _survives(pool, after):
                return Wish(START, domain, pool.kind, True, "")
        return Wish(START, by_size[0], pool.kind, False, "")

    def _shrink(self, pool: catalog.Pool, own: list[Present]) -> list[Wish]:
        order = sorted(own, key=lambda p: (p.cheap, p.running, p.name))
        for endpoint in order:
            rest = [p for p in own if p is not endpoint]
            if _survives(pool, _counts(rest, [])):
                return [
                    Wish(
                        STOP,
                        endpoint.domain,
                        endpoint.kind,
                        endpoint.cheap,
                        endpoint.name,
                    )
                ]
        return []


def wanted_count(pool: catalog.Pool, own: list[Present], waiting: int) -> int:
    """Return how many endpoints a pool needs for its demand."""
    busy = sum(p.running for p in own) + waiting
    slots = sum(p.slots for p in own) / len(own) if own else 1.0
    need = math.ceil(busy / (pool.target_use * max(1.0, slots)))
    return max(pool.minimum, min(pool.maximum, need))


def _counts(
    own: list[Present], coming: list[Starting]
) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for item in [*own, *coming]:
        steady, cheap = counts.get(item.domain, (0, 0))
        if item.cheap:
            counts[item.domain] = (steady, cheap + 1)
        else:
            counts[item.domain] = (steady + 1, cheap)
    return counts


def _survives(pool: catalog.Pool, counts: dict[str, tuple[int, int]]) -> bool:
    total = sum(steady + cheap for steady, cheap in counts.values())
    most_cheap = max((cheap for _, cheap in counts.values()), default=0)
    return total - most_cheap >= pool.minimum


def cost_per_hour(pool: catalog.Pool, present: Iterable[Present]) -> float:
    """Return what a pool's endpoints cost in an hour."""
    return sum(
        pool.cheap_price if p.cheap else pool.steady_price
        for p in present
        if p.kind == pool.kind
    )


def order_of(wish: Wish, order_id: str, term: int) -> messages.Order:
    """Return the order that a wish becomes."""
    return messages.Order(
        order_id=order_id,
        domain=wish.domain,
        verb=wish.verb,
        kind=wish.kind,
        cheap=wish.cheap,
        count=1,
        target=wish.target,
        term=term,
    )


__all__ = [
    "Planner",
    "Present",
    "Wish",
    "cost_per_hour",
    "order_of",
    "wanted_count",
]
