"""Router that chooses the endpoint for each request.

Does no I/O; the caller passes the current time in ms.

The score of an endpoint is its predicted time to first token: the model's
cost per uncached prompt token, times the endpoint's recent slowness, times
its load. The load consists of the in-flight requests of this gateway and its
peers, and of the part of the endpoint's own report that these do not
explain. Endpoints of other failure domains get a penalty. A cached prompt
prefix lowers the score, but does not pin requests to the endpoint. Only a
bounded sample of endpoints is scored, so that a decision costs the same for
10 endpoints as for 1000.

Preferring the own failure domain, with a choice weighted by predicted load,
follows the routing rule of GRACE-MoE (section 4.3); see
docs/design/routing.md for measurements.
"""

import collections
import random
from typing import NamedTuple

from primrosehitch import directory as directory_module
from primrosehitch import fairqueue
from primrosehitch import messages

# Up to FULL_SCAN_ENDPOINTS endpoints of a pool, all are scored. Among more, a
# sample of the own failure domain, a sample of all and the likely holder of
# the longest known prefix are scored.
LOCAL_SAMPLE_ENDPOINTS = 6
GLOBAL_SAMPLE_ENDPOINTS = 3
FULL_SCAN_ENDPOINTS = 12
# Penalty of an endpoint in another failure domain.
CROSS_DOMAIN_MS = 4.0
# An endpoint gets no request at this ratio of its load to its slots, also if
# lower tiers cause the load.
MAX_LOAD_RATIO = 2.0
# Cost of a request in prompt tokens, apart from its prompt.
PROMPT_BASE_TOKENS = 64.0
# Prefill cost before the first sample.
INITIAL_MS_PER_TOKEN = 0.2
# EWMA weights of one sample in an endpoint's slowness and in a model's prefill
# cost.
SLOWNESS_EWMA_WEIGHT = 0.2
PREFILL_EWMA_WEIGHT = 0.05
# Bounds on the prefixes that are remembered for each endpoint and in all.
MAX_ENDPOINT_PREFIXES = 512
MAX_PREFIX_HOLDERS = 20_000
# After EJECTION_FAILURES consecutive failures an endpoint is ejected for
# MIN_EJECTION_MS. Each further failure doubles the time.
EJECTION_FAILURES = 3
MIN_EJECTION_MS = 2000
MAX_EJECTION_MS = 30_000
# In-flight requests of a gateway that was not heard for this time are ignored.
STALE_PEER_MS = 2000
# A request that waits for its first token for more than this multiple of the
# expected time makes its endpoint count as slow.
OVERDUE_RATIO = 3.0
# Time for which samples of this gateway's in-flight requests are kept, to be
# compared with older reports, and the minimum interval between two samples.
HISTORY_MS = 4000
HISTORY_INTERVAL_MS = 50

Ticket = fairqueue.Ticket


def max_inflight(slots: int) -> int:
    """Return the limit on an endpoint's in-flight requests.

    It exceeds the number of slots. Other gateways learn of a freed slot only
    with the next heartbeat, and the slot would be idle until then.
    """
    return slots + max(1, slots // 4)


class InflightSample(NamedTuple):
    """The number of this gateway's in-flight requests at a time in ms."""

    at: int
    inflight: int


class Load:
    """The load and speed of one endpoint as this gateway knows them.

    Args:
        last_heard: time in ms at which each other gateway was last heard.

    Attributes:
        inflight: this gateway's in-flight requests by tier.
        remote_inflight: in-flight requests of other gateways by gateway and
            tier.
        history: recent samples of this gateway's in-flight requests, oldest
            first.
        slowness: EWMA of the ratio of actual to expected times to first
            token.
        failures: number of consecutive failures.
        ejected_until: end of the ejection in ms.
        is_probing: whether a request probes the endpoint after an ejection.
        prefixes: prefixes expected in the prefix cache, least recently used
            first.
        awaiting_first_token: start time and expected time to first token,
            both in ms, by request.
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
        """Return this gateway's in-flight requests of a tier and higher ones.

        Args:
            tier: the lowest tier to count, or None for all.
        """
        return _sum_up_to(self.inflight, tier)

    def total_inflight(self, tier: int | None, now: int) -> int:
        """Return all gateways' in-flight requests of a tier and higher ones.

        Args:
            tier: the lowest tier to count, or None for all.
            now: the current time in ms.
        """
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
    """Chooses the endpoints for the requests of one gateway.

    Args:
        domain: the gateway's failure domain.
        directory: the known endpoints.
        rng: draws the samples.

    Attributes:
        loads: load by endpoint.
        endpoints_by_pool: ready endpoints by model or service.
        local_by_pool: those of them in the gateway's own failure domain.
        prefix_holders: the endpoint that was last seen with a prefix, by
            prefix, least recently used first.
        pools_by_endpoint: pools in which an endpoint is indexed.
        prefill_ms_per_token: cost of an uncached prompt token by pool.
        last_heard: time in ms at which each other gateway was last heard.
        changed_endpoints: endpoints whose in-flight requests changed since
            they were last sent to the peers.
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

    def update_endpoint(self, name: str) -> None:
        """Apply an endpoint's new announcement or status."""
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
        """Return the load of an endpoint, creating it if necessary."""
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
        """Apply another gateway's in-flight requests at each endpoint.

        Args:
            gateway: the other gateway.
            counts: its in-flight requests by endpoint and tier.
            now: the current time in ms.
            complete: whether the other gateway has no in-flight requests
                at endpoints without counts. Otherwise their earlier
                counts stay.
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
        """Return this gateway's in-flight requests, to be sent to its peers.

        Args:
            complete: whether to return all counts. Otherwise those of
                endpoints that changed since the last call are returned.
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

    def choose(self, pool: str, ticket: Ticket, now: int) -> str | None:
        """Return the endpoint with the best score and count the ticket there.

        Args:
            pool: name of a model or service.
            ticket: the request.
            now: the current time in ms.

        Returns:
            The endpoint's name, or None if no endpoint has capacity.
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
        """Return this gateway's in-flight requests of one tier in a pool."""
        return sum(
            load.inflight.get(tier, 0)
            for load in map(self.load, self.endpoints_by_pool.get(pool, ()))
        )

    def capacity(self, pool: str, tier: int, now: int) -> int:
        """Return the pool's capacity that higher tiers leave to a tier."""
        total = 0
        for name in self.endpoints_by_pool.get(pool, ()):
            slots = self.directory.endpoints[name].announcement.slots
            higher = self.load(name).total_inflight(tier - 1, now)
            total += max(0, max_inflight(slots) - higher)
        return total

    def has_ready_endpoint(self, pool: str) -> bool:
        """Return whether a pool has a ready endpoint."""
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
        """Update the slowness and the prefill cost with a first token.

        The sample of the prefill cost is divided by the slowness of the
        endpoint, so that a slow endpoint does not raise the model's cost.
        """
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
        """Remove an ended request from the counts and record its result.

        Returns:
            Whether the endpoint was ejected because of it.
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
