"""Which endpoint gets a request.

Pure. The score is the predicted time to the first token: the model's
cost per uncached prompt token, times how slow this endpoint has been
of late, times its load. Load is what this gateway and its peers have
sent, and the part of the endpoint's own report that neither explains.
The own failure domain goes first by a penalty on the others; a cached
prompt prefix is a bonus, never a pin. A bounded sample of endpoints is
scored, so that a decision costs the same for ten and for a thousand.

Locality first with a weighted choice by predicted load follows the
related paper's routing rule (GRACE-MoE, section 4.3); see
docs/design/routing.md for what was measured.
"""

import collections
import random
from typing import NamedTuple

from primrosehitch import directory as directory_module
from primrosehitch import fairqueue
from primrosehitch import messages

SAMPLE_NEAR = 6
SAMPLE_ANY = 3
SAMPLE_ALL = 12
REMOTE_MS = 4.0
OVERCOMMIT = 2.0
PROMPT_BASE_TOKENS = 64.0
START_MS_PER_TOKEN = 0.2
SMOOTHING = 0.2
MODEL_SMOOTHING = 0.05
PREFIXES_KEPT = 512
HOMES_KEPT = 20_000
FAILURES_ASIDE = 3
ASIDE_MS = 2000
ASIDE_MAX_MS = 30_000
STALE_PEER_MS = 2000
STUCK_FACTOR = 3.0
REPORT_MEMORY_MS = 4000
HISTORY_STEP_MS = 50

Ticket = fairqueue.Ticket


def depth(slots: int) -> int:
    """Return how many requests an endpoint of some slots is sent.

    A few more than it serves at once: a place that becomes free is
    known at the other gateways only after their next heartbeat, and
    would stand empty until then.
    """
    return slots + max(1, slots // 4)


class Sent(NamedTuple):
    """How many requests of this gateway ran at a time in ms."""

    at: int
    running: int


class Load:
    """What this gateway knows of one endpoint's load and speed.

    Args:
        heard: when each other gateway was last heard, in ms.
    """

    def __init__(self, heard: dict[str, int]) -> None:
        self.heard = heard
        self.running: dict[int, int] = {}
        self.peers: dict[str, dict[int, int]] = {}
        self.history: collections.deque[Sent] = collections.deque()
        self.slowness = 1.0
        self.failures = 0
        self.aside_until = 0
        self.probing = False
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.awaiting: dict[str, tuple[int, float]] = {}

    def own(self, tier: int | None = None) -> int:
        """Return this gateway's running requests up to a tier."""
        return _up_to(self.running, tier)

    def used(self, tier: int | None, now: int) -> int:
        """Return running requests of all gateways up to a tier."""
        total = self.own(tier)
        for gateway, counts in self.peers.items():
            if now - self.heard[gateway] <= STALE_PEER_MS:
                total += _up_to(counts, tier)
        return total


def _up_to(counts: dict[int, int], tier: int | None) -> int:
    if tier is None:
        return sum(counts.values())
    return sum(n for t, n in counts.items() if t <= tier)


class Router:
    """Chooses endpoints for one gateway.

    Args:
        domain: the gateway's failure domain.
        directory: the endpoints known.
        rng: picks the sample.
    """

    def __init__(
        self,
        domain: str,
        directory: directory_module.Directory,
        rng: random.Random,
    ):
        self.domain = domain
        self.directory = directory
        self.rng = rng
        self.loads: dict[str, Load] = {}
        self.pools: dict[str, list[str]] = {}
        self.near: dict[str, list[str]] = {}
        self.homes: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.listed: dict[str, tuple[str, ...]] = {}
        self.ms_per_token: dict[str, float] = {}
        self.heard: dict[str, int] = {}
        self.changed: set[str] = set()

    # -- endpoints ---------------------------------------------------------

    def update(self, name: str) -> None:
        """Note an endpoint's announcement or change of status."""
        endpoint = self.directory.endpoints.get(name)
        wanted: tuple[str, ...] = ()
        if endpoint and endpoint.status == directory_module.READY:
            wanted = endpoint.announcement.models
        if wanted != self.listed.get(name, ()):
            self._list(name, wanted)
        if endpoint is None or endpoint.status == directory_module.GONE:
            self.loads.pop(name, None)
        elif endpoint.announcement.prefixes:
            load = self.load(name)
            for prefix in endpoint.announcement.prefixes:
                self._remember(name, load, prefix)

    def _list(self, name: str, wanted: tuple[str, ...]) -> None:
        for pool in self.listed.pop(name, ()):
            self.pools[pool].remove(name)
            if name in self.near.get(pool, ()):
                self.near[pool].remove(name)
        if wanted:
            self.listed[name] = wanted
        endpoint = self.directory.endpoints.get(name)
        for pool in wanted:
            self.pools.setdefault(pool, []).append(name)
            if endpoint and endpoint.announcement.domain == self.domain:
                self.near.setdefault(pool, []).append(name)

    def load(self, name: str) -> Load:
        """Return what is known of an endpoint's load."""
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = Load(self.heard)
        return load

    def hear_counts(
        self,
        gateway: str,
        counts: tuple[messages.EndpointCount, ...],
        now: int,
        complete: bool = True,
    ) -> None:
        """Take in what another gateway runs at each endpoint.

        Args:
            gateway: the other gateway.
            counts: its running requests by endpoint and tier.
            now: the current time in ms.
            complete: whether endpoints not named run nothing, rather
                than what they ran before.
        """
        self.heard[gateway] = now
        if complete:
            for load in self.loads.values():
                load.peers.pop(gateway, None)
        for count in counts:
            running = self.load(count.endpoint).peers.setdefault(gateway, {})
            running[count.tier] = count.running

    def counts(self, complete: bool) -> tuple[messages.EndpointCount, ...]:
        """Return this gateway's running requests, for its peers.

        Args:
            complete: all of them, rather than those at endpoints where
                something changed since the last call.
        """
        names = self.loads if complete else self.changed
        found = tuple(
            messages.EndpointCount(name, running, tier)
            for name in names
            if name in self.loads
            for tier, running in self.loads[name].running.items()
            if running or not complete
        )
        self.changed.clear()
        return found

    # -- choice ------------------------------------------------------------

    def choose(self, pool: str, ticket: Ticket, now: int) -> str | None:
        """Return the endpoint for a ticket and count it there.

        Args:
            pool: a model's or service's name.
            ticket: the request.
            now: the current time in ms.

        Returns:
            The endpoint's name, or None where no place is free.
        """
        best = None
        best_score = 0.0
        for name in self._sample(pool, ticket):
            if name in ticket.excluded:
                continue
            score = self._score(pool, name, ticket, now)
            if score is not None and (best is None or score < best_score):
                best, best_score = name, score
        if best is not None:
            self._count(best, ticket, pool, now)
        return best

    def running(self, pool: str, tier: int) -> int:
        """Return this gateway's running requests of one tier."""
        return sum(
            load.running.get(tier, 0)
            for load in map(self.load, self.pools.get(pool, ()))
        )

    def places(self, pool: str, tier: int, now: int) -> int:
        """Return the places that higher tiers leave to a tier."""
        total = 0
        for name in self.pools.get(pool, ()):
            slots = self.directory.endpoints[name].announcement.slots
            higher = self.load(name).used(tier - 1, now)
            total += max(0, depth(slots) - higher)
        return total

    def available(self, pool: str) -> bool:
        """Return whether any endpoint of a pool may get work."""
        return bool(self.pools.get(pool))

    def _sample(self, pool: str, ticket: Ticket) -> list[str]:
        names = self.pools.get(pool, [])
        if len(names) <= SAMPLE_ALL:
            return names
        picked = self._some(self.near.get(pool, []), SAMPLE_NEAR)
        picked += self._some(names, SAMPLE_ANY)
        for prefix in reversed(ticket.prefixes):
            home = self.homes.get(prefix)
            if home is not None:
                picked.append(home)
                break
        return picked

    def _some(self, names: list[str], count: int) -> list[str]:
        if len(names) <= count:
            return list(names)
        start = int(self.rng.random() * len(names))
        stride = len(names) // count
        return [names[start - i * stride] for i in range(count)]

    def _score(
        self, pool: str, name: str, ticket: Ticket, now: int
    ) -> float | None:
        endpoint = self.directory.ready(name)
        load = self.load(name)
        if endpoint is None or not self._usable(load, now):
            return None
        slots = max(1, endpoint.announcement.slots)
        used = load.used(ticket.effective_tier, now)
        total = max(load.used(None, now), self._reported(endpoint, load, now))
        if used >= depth(slots) or total >= slots * OVERCOMMIT:
            return None
        expected = self._expected(pool, load, ticket)
        crowd = 1.0 + total / slots
        score = expected * self._slowness(load, now) * crowd
        if endpoint.announcement.domain != self.domain:
            score += REMOTE_MS
        return score

    def _expected(self, pool: str, load: Load, ticket: Ticket) -> float:
        per_token = self.ms_per_token.get(pool, START_MS_PER_TOKEN)
        tokens = ticket.prompt_tokens
        count = len(ticket.prefixes)
        for position in range(count, 0, -1):
            if ticket.prefixes[position - 1] in load.prefixes:
                tokens -= tokens * position // (count + 1)
                break
        return per_token * (tokens + PROMPT_BASE_TOKENS)

    def _slowness(self, load: Load, now: int) -> float:
        worst = load.slowness
        for since, expected in load.awaiting.values():
            late = (now - since) / max(1.0, expected)
            if late > STUCK_FACTOR:
                worst = max(worst, late)
        return worst

    def _reported(
        self, endpoint: directory_module.Endpoint, load: Load, now: int
    ) -> int:
        announcement = endpoint.announcement
        reported = announcement.running + announcement.waiting
        then = 0
        for sent in reversed(load.history):
            if sent.at <= endpoint.heard:
                then = sent.running
                break
        return max(0, reported - then) + load.own()

    def _usable(self, load: Load, now: int) -> bool:
        if load.failures < FAILURES_ASIDE:
            return True
        return now >= load.aside_until and not load.probing

    # -- experience --------------------------------------------------------

    def _count(self, name: str, ticket: Ticket, pool: str, now: int) -> None:
        load = self.load(name)
        tier = ticket.effective_tier
        load.running[tier] = load.running.get(tier, 0) + 1
        self.changed.add(name)
        if load.failures >= FAILURES_ASIDE:
            load.probing = True
        expected = self._expected(pool, load, ticket)
        load.awaiting[ticket.request_id] = (now, expected)
        self._note_history(load, now)
        for prefix in ticket.prefixes:
            self._remember(name, load, prefix)

    def first_token(
        self, pool: str, name: str, ticket: Ticket, now: int
    ) -> None:
        """Learn from the time that a first token took."""
        load = self.load(name)
        since, expected = load.awaiting.pop(ticket.request_id, (now, 0.0))
        if not expected:
            return
        took = max(1.0, float(now - since))
        ratio = took / max(0.1, expected)
        load.slowness += SMOOTHING * (min(ratio, 100.0) - load.slowness)
        per_token = self.ms_per_token.get(pool, START_MS_PER_TOKEN)
        scaled = per_token * ratio / max(1.0, load.slowness)
        per_token += MODEL_SMOOTHING * (scaled - per_token)
        self.ms_per_token[pool] = per_token

    def finished(
        self, name: str, ticket: Ticket, failed: bool, now: int
    ) -> bool:
        """Count a request out.

        Returns:
            Whether the endpoint was put aside by it.
        """
        load = self.load(name)
        tier = ticket.effective_tier
        load.running[tier] = max(0, load.running.get(tier, 0) - 1)
        self.changed.add(name)
        load.awaiting.pop(ticket.request_id, None)
        load.probing = False
        self._note_history(load, now)
        if not failed:
            load.failures = 0
            return False
        load.failures += 1
        if load.failures < FAILURES_ASIDE:
            return False
        rounds = load.failures - FAILURES_ASIDE
        pause = min(ASIDE_MAX_MS, ASIDE_MS * 2 ** min(rounds, 10))
        load.aside_until = now + pause
        return True

    def _note_history(self, load: Load, now: int) -> None:
        if load.history and now - load.history[-1].at < HISTORY_STEP_MS:
            sent = Sent(load.history.pop().at, load.own())
        else:
            sent = Sent(now, load.own())
        load.history.append(sent)
        while load.history and load.history[0].at < now - REPORT_MEMORY_MS:
            load.history.popleft()

    def _remember(self, name: str, load: Load, prefix: str) -> None:
        self.homes[prefix] = name
        self.homes.move_to_end(prefix)
        if len(self.homes) > HOMES_KEPT:
            self.homes.popitem(last=False)
        load.prefixes[prefix] = None
        load.prefixes.move_to_end(prefix)
        while len(load.prefixes) > PREFIXES_KEPT:
            load.prefixes.popitem(last=False)


__all__ = ["Load", "Router", "depth"]
