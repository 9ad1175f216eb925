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

LOCAL_SAMPLE_ENDPOINTS = 6
GLOBAL_SAMPLE_ENDPOINTS = 3
FULL_SCAN_ENDPOINTS = 12
CROSS_DOMAIN_MS = 4.0
MAX_LOAD_RATIO = 2.0
PROMPT_BASE_TOKENS = 64.0
INITIAL_MS_PER_TOKEN = 0.2
SLOWNESS_EWMA_WEIGHT = 0.2
PREFILL_EWMA_WEIGHT = 0.05
MAX_ENDPOINT_PREFIXES = 512
MAX_PREFIX_HOLDERS = 20_000
EJECTION_FAILURES = 3
MIN_EJECTION_MS = 2000
MAX_EJECTION_MS = 30_000
STALE_PEER_MS = 2000
OVERDUE_RATIO = 3.0
HISTORY_MS = 4000
HISTORY_INTERVAL_MS = 50

Ticket = fairqueue.Ticket


def max_inflight(slots: int) -> int:
    """Return how many requests an endpoint of some slots is sent.

    A few more than it serves at once: a place that becomes free is
    known at the other gateways only after their next heartbeat, and
    would stand empty until then.
    """
    return slots + max(1, slots // 4)


class InflightSample(NamedTuple):
    """How many requests of this gateway ran at a time in ms."""

    at: int
    inflight: int


class Load:
    """What this gateway knows of one endpoint's load and speed.

    Args:
        heard: when each other gateway was last heard, in ms.
    """

    def __init__(self, last_heard: dict[str, int]) -> None:
        self.last_heard = last_heard
        self.inflight: dict[int, int] = {}
        self.remote_inflight: dict[str, dict[int, int]] = {}
        self.history: collections.deque[InflightSample] = collections.deque()
        self.slowness = 1.0
        self.failures = 0
        self.ejected_until = 0
        self.is_probing = False
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.awaiting_first_token: dict[str, tuple[int, float]] = {}

    def own_inflight(self, tier: int | None = None) -> int:
        """Return this gateway's running requests up to a tier."""
        return _sum_up_to(self.inflight, tier)

    def total_inflight(self, tier: int | None, now: int) -> int:
        """Return running requests of all gateways up to a tier."""
        total = self.own_inflight(tier)
        for gateway, counts in self.remote_inflight.items():
            if now - self.last_heard[gateway] <= STALE_PEER_MS:
                total += _sum_up_to(counts, tier)
        return total


def _sum_up_to(counts: dict[int, int], tier: int | None) -> int:
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
        self.endpoints_by_pool: dict[str, list[str]] = {}
        self.local_by_pool: dict[str, list[str]] = {}
        self.prefix_holders: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.pools_by_endpoint: dict[str, tuple[str, ...]] = {}
        self.prefill_ms_per_token: dict[str, float] = {}
        self.last_heard: dict[str, int] = {}
        self.changed_endpoints: set[str] = set()

    # -- endpoints ---------------------------------------------------------

    def update_endpoint(self, name: str) -> None:
        """Note an endpoint's announcement or change of status."""
        endpoint = self.directory.endpoints.get(name)
        wanted: tuple[str, ...] = ()
        if endpoint and endpoint.status == directory_module.READY:
            wanted = endpoint.announcement.models
        if wanted != self.pools_by_endpoint.get(name, ()):
            self._index_endpoint(name, wanted)
        if endpoint is None or endpoint.status == directory_module.GONE:
            self.loads.pop(name, None)
        elif endpoint.announcement.prefixes:
            load = self.load(name)
            for prefix in endpoint.announcement.prefixes:
                self._record_prefix(name, load, prefix)

    def _index_endpoint(self, name: str, wanted: tuple[str, ...]) -> None:
        for pool in self.pools_by_endpoint.pop(name, ()):
            self.endpoints_by_pool[pool].remove(name)
            if name in self.local_by_pool.get(pool, ()):
                self.local_by_pool[pool].remove(name)
        if wanted:
            self.pools_by_endpoint[name] = wanted
        endpoint = self.directory.endpoints.get(name)
        for pool in wanted:
            self.endpoints_by_pool.setdefault(pool, []).append(name)
            if endpoint and endpoint.announcement.domain == self.domain:
                self.local_by_pool.setdefault(pool, []).append(name)

    def load(self, name: str) -> Load:
        """Return what is known of an endpoint's load."""
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = Load(self.last_heard)
        return load

    def apply_counts(
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
        self.last_heard[gateway] = now
        if complete:
            for load in self.loads.values():
                load.remote_inflight.pop(gateway, None)
        for count in counts:
            running = self.load(count.endpoint).remote_inflight.setdefault(
                gateway, {}
            )
            running[count.tier] = count.running

    def inflight_counts(
        self, complete: bool
    ) -> tuple[messages.EndpointCount, ...]:
        """Return this gateway's running requests, for its peers.

        Args:
            complete: all of them, rather than those at endpoints where
                something changed since the last call.
        """
        names = self.loads if complete else self.changed_endpoints
        found = tuple(
            messages.EndpointCount(name, running, tier)
            for name in names
            if name in self.loads
            for tier, running in self.loads[name].inflight.items()
            if running or not complete
        )
        self.changed_endpoints.clear()
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
        for name in self._candidates(pool, ticket):
            if name in ticket.excluded:
                continue
            score = self._score(pool, name, ticket, now)
            if score is not None and (best is None or score < best_score):
                best, best_score = name, score
        if best is not None:
            self._record_start(best, ticket, pool, now)
        return best

    def inflight(self, pool: str, tier: int) -> int:
        """Return this gateway's running requests of one tier."""
        return sum(
            load.inflight.get(tier, 0)
            for load in map(self.load, self.endpoints_by_pool.get(pool, ()))
        )

    def capacity(self, pool: str, tier: int, now: int) -> int:
        """Return the places that higher tiers leave to a tier."""
        total = 0
        for name in self.endpoints_by_pool.get(pool, ()):
            slots = self.directory.endpoints[name].announcement.slots
            higher = self.load(name).total_inflight(tier - 1, now)
            total += max(0, max_inflight(slots) - higher)
        return total

    def has_ready_endpoint(self, pool: str) -> bool:
        """Return whether any endpoint of a pool may get work."""
        return bool(self.endpoints_by_pool.get(pool))

    def _candidates(self, pool: str, ticket: Ticket) -> list[str]:
        names = self.endpoints_by_pool.get(pool, [])
        if len(names) <= FULL_SCAN_ENDPOINTS:
            return names
        candidates = self._pick_spread(
            self.local_by_pool.get(pool, []), LOCAL_SAMPLE_ENDPOINTS
        )
        candidates += self._pick_spread(names, GLOBAL_SAMPLE_ENDPOINTS)
        for prefix in reversed(ticket.prefixes):
            holder = self.prefix_holders.get(prefix)
            if holder is not None:
                candidates.append(holder)
                break
        return candidates

    def _pick_spread(self, names: list[str], count: int) -> list[str]:
        if len(names) <= count:
            return list(names)
        start = int(self.rng.random() * len(names))
        stride = len(names) // count
        return [names[start - i * stride] for i in range(count)]

    def _score(
        self, pool: str, name: str, ticket: Ticket, now: int
    ) -> float | None:
        endpoint = self.directory.ready_endpoint(name)
        load = self.load(name)
        if endpoint is None or not self._is_usable(load, now):
            return None
        slots = max(1, endpoint.announcement.slots)
        used = load.total_inflight(ticket.effective_tier, now)
        total = max(
            load.total_inflight(None, now),
            self._estimated_inflight(endpoint, load, now),
        )
        if used >= max_inflight(slots) or total >= slots * MAX_LOAD_RATIO:
            return None
        expected_ms = self._expected_ms(pool, load, ticket)
        load_factor = 1.0 + total / slots
        score = expected_ms * self._current_slowness(load, now) * load_factor
        if endpoint.announcement.domain != self.domain:
            score += CROSS_DOMAIN_MS
        return score

    def _expected_ms(self, pool: str, load: Load, ticket: Ticket) -> float:
        per_token = self.prefill_ms_per_token.get(pool, INITIAL_MS_PER_TOKEN)
        tokens = ticket.prompt_tokens
        count = len(ticket.prefixes)
        for position in range(count, 0, -1):
            if ticket.prefixes[position - 1] in load.prefixes:
                tokens -= tokens * position // (count + 1)
                break
        return per_token * (tokens + PROMPT_BASE_TOKENS)

    def _current_slowness(self, load: Load, now: int) -> float:
        worst = load.slowness
        for sent_at, expected_ms in load.awaiting_first_token.values():
            overdue_ratio = (now - sent_at) / max(1.0, expected_ms)
            if overdue_ratio > OVERDUE_RATIO:
                worst = max(worst, overdue_ratio)
        return worst

    def _estimated_inflight(
        self, endpoint: directory_module.Endpoint, load: Load, now: int
    ) -> int:
        announcement = endpoint.announcement
        reported = announcement.running + announcement.waiting
        inflight_then = 0
        for sample in reversed(load.history):
            if sample.at <= endpoint.last_heard:
                inflight_then = sample.inflight
                break
        return max(0, reported - inflight_then) + load.own_inflight()

    def _is_usable(self, load: Load, now: int) -> bool:
        if load.failures < EJECTION_FAILURES:
            return True
        return now >= load.ejected_until and not load.is_probing

    # -- experience --------------------------------------------------------

    def _record_start(
        self, name: str, ticket: Ticket, pool: str, now: int
    ) -> None:
        load = self.load(name)
        tier = ticket.effective_tier
        load.inflight[tier] = load.inflight.get(tier, 0) + 1
        self.changed_endpoints.add(name)
        if load.failures >= EJECTION_FAILURES:
            load.is_probing = True
        expected_ms = self._expected_ms(pool, load, ticket)
        load.awaiting_first_token[ticket.request_id] = (now, expected_ms)
        self._record_history(load, now)
        for prefix in ticket.prefixes:
            self._record_prefix(name, load, prefix)

    def record_first_token(
        self, pool: str, name: str, ticket: Ticket, now: int
    ) -> None:
        """Learn from the time that a first token took."""
        load = self.load(name)
        sent_at, expected_ms = load.awaiting_first_token.pop(
            ticket.request_id, (now, 0.0)
        )
        if not expected_ms:
            return
        elapsed_ms = max(1.0, float(now - sent_at))
        ratio = elapsed_ms / max(0.1, expected_ms)
        load.slowness += SLOWNESS_EWMA_WEIGHT * (
            min(ratio, 100.0) - load.slowness
        )
        per_token = self.prefill_ms_per_token.get(pool, INITIAL_MS_PER_TOKEN)
        scaled = per_token * ratio / max(1.0, load.slowness)
        per_token += PREFILL_EWMA_WEIGHT * (scaled - per_token)
        self.prefill_ms_per_token[pool] = per_token

    def record_end(
        self, name: str, ticket: Ticket, failed: bool, now: int
    ) -> bool:
        """Count a request out.

        Returns:
            Whether the endpoint was put aside by it.
        """
        load = self.load(name)
        tier = ticket.effective_tier
        load.inflight[tier] = max(0, load.inflight.get(tier, 0) - 1)
        self.changed_endpoints.add(name)
        load.awaiting_first_token.pop(ticket.request_id, None)
        load.is_probing = False
        self._record_history(load, now)
        if not failed:
            load.failures = 0
            return False
        load.failures += 1
        if load.failures < EJECTION_FAILURES:
            return False
        further_failures = load.failures - EJECTION_FAILURES
        ejection_ms = min(
            MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** min(further_failures, 10)
        )
        load.ejected_until = now + ejection_ms
        return True

    def _record_history(self, load: Load, now: int) -> None:
        if load.history and now - load.history[-1].at < HISTORY_INTERVAL_MS:
            sample = InflightSample(load.history.pop().at, load.own_inflight())
        else:
            sample = InflightSample(now, load.own_inflight())
        load.history.append(sample)
        while load.history and load.history[0].at < now - HISTORY_MS:
            load.history.popleft()

    def _record_prefix(self, name: str, load: Load, prefix: str) -> None:
        self.prefix_holders[prefix] = name
        self.prefix_holders.move_to_end(prefix)
        if len(self.prefix_holders) > MAX_PREFIX_HOLDERS:
            self.prefix_holders.popitem(last=False)
        load.prefixes[prefix] = None
        load.prefixes.move_to_end(prefix)
        while len(load.prefixes) > MAX_ENDPOINT_PREFIXES:
            load.prefixes.popitem(last=False)


__all__ = ["Load", "Router", "max_inflight"]
