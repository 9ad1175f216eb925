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
        need = wanted_count(pool, own, waiting)
        usable = [d for d in self.domains if self._may_be_cheap(d, pool, now)]
        mix = cheapest_mix(pool, need, len(usable))
        wishes = self._grow(pool, own, mix, usable, now)
        coming = [s for s in self.starting if s.kind == pool.kind]
        surplus = len(own) > mix.steady + mix.cheap
        dear = sum(not p.cheap for p in own) > mix.steady
        if wishes or coming or not (surplus or dear):
            self.low_since.pop(pool.name, None)
            return wishes
        since = self.low_since.setdefault(pool.name, now)
        if now - since < CALM_MS:
            return []
        self.low_since[pool.name] = now
        return self._shrink(pool, own, need)

    def _may_be_cheap(self, domain: str, pool: catalog.Pool, now: int) -> bool:
        return now >= self.backoff.get((domain, pool.kind), 0)

    def _grow(
        self,
        pool: catalog.Pool,
        own: list[Present],
        mix: "Mix",
        usable: list[str],
        now: int,
    ) -> list[Wish]:
        wishes: list[Wish] = []
        while len(wishes) < MAX_STEP:
            coming = [s for s in self.starting if s.kind == pool.kind]
            counts = _counts(own, coming)
            wish = self._next_start(pool, mix, usable, counts)
            if wish is None:
                break
            wishes.append(wish)
            self.starting.append(
                Starting(wish.domain, wish.kind, wish.cheap, now)
            )
        return wishes

    def _next_start(
        self,
        pool: catalog.Pool,
        mix: "Mix",
        usable: list[str],
        counts: dict[str, tuple[int, int]],
    ) -> Wish | None:
        steady = sum(s for s, _ in counts.values())
        cheap = sum(c for _, c in counts.values())
        if cheap < mix.cheap and usable:
            domain = min(usable, key=lambda d: (counts.get(d, (0, 0))[1], d))
            return Wish(START, domain, pool.kind, True, "")
        if steady + cheap < mix.steady + mix.cheap or steady < mix.steady:
            domain = min(
                self.domains, key=lambda d: (sum(counts.get(d, (0, 0))), d)
            )
            return Wish(START, domain, pool.kind, False, "")
        return None

    def _shrink(
        self, pool: catalog.Pool, own: list[Present], need: int
    ) -> list[Wish]:
        if len(own) <= need:
            return []
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


class Mix(NamedTuple):
    """How many steady and how many cheap endpoints to run."""

    steady: int
    cheap: int


def cheapest_mix(pool: catalog.Pool, need: int, domains: int) -> Mix:
    """Return the cheapest mix that any domain's loss leaves enough of.

    Args:
        pool: the pool, with its prices.
        need: endpoints wanted in all.
        domains: failure domains where cheap ones may be had; they are
            spread evenly over these.
    """
    best = Mix(need, 0)
    best_cost = need * pool.steady_price
    for cheap in range(1, pool.maximum + 1 if domains else 1):
        lost = -(-cheap // domains)
        steady = max(0, pool.minimum - (cheap - lost), need - cheap)
        cost = steady * pool.steady_price + cheap * pool.cheap_price
        if steady + cheap <= pool.maximum and cost < best_cost:
            best, best_cost = Mix(steady, cheap), cost
    return best


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
    "Mix",
    "Planner",
    "Present",
    "Wish",
    "cheapest_mix",
    "order_of",
    "wanted_count",
]
