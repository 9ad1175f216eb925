"""Which endpoint serves a request.

Pure. Each endpoint's predicted time to the answer's first byte is worked
out from what this edge has under way there, from the load that the
endpoint told in its last answer, from what other edges say they have
under way, and from the parts of the prompt it is thought to hold.
Endpoints that fail are put aside for a growing time.
"""

import random
import statistics
from typing import Iterable

import xxhash

from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch.endpoint import Choice
from primrosehitch.endpoint import Endpoint
from primrosehitch.endpoint import KV_CACHE_FRACTION
from primrosehitch.endpoint import PromptPart
from primrosehitch.endpoint import ReportedLoad
from primrosehitch.endpoint import RequestProfile
from primrosehitch.endpoint import STREAM_SILENCE_MS

# Reading a part of a prompt again delays all that come after it; this
# many times its own delay, in a steady load.
PREFILL_DELAY_FACTOR = 1.0
# An engine is slow if it is this many times behind the median, and is
# never taken to be slower than the second figure.
SLOW_RATIO = 2.0
MAX_SLOW_RATIO = 8.0
# Prompts of this many unread tokens show how fast an engine reads.
MIN_RATE_SAMPLE_TOKENS = 2000
RATE_INCREASE_WEIGHT = 0.1
RATE_DECREASE_WEIGHT = 0.01
# Weight of a new observation in running means.
EWMA_WEIGHT = 0.2
# What was read waits this long for more before it is told, in seconds; a
# shared part takes some hundred ms to read.
PART_UPDATES_DELAY_S = 0.03
# First guess of prompt tokens that an engine reads in a ms.
INITIAL_PREFILL_TOKENS_PER_MS = 40.0
# First guess of the time to a first event beside reading the prompt.
FIRST_EVENT_BASE_MS = 40.0
# How much one running request slows another at an engine, in ms.
RUNNING_REQUEST_MS = 1.0
# One way to another failure domain and back costs this much more, in ms.
CROSS_DOMAIN_MS = 2.0
# An endpoint that fails is put aside this long at first, then doubling.
MIN_EJECTION_MS = 400
MAX_EJECTION_MS = 8000
EJECTION_FAILURES = 2
# A failure domain is taken to be cut off while this many endpoints there
# were out of reach within this time, in ms, and none was heard since.
UNREACHABLE_DOMAIN_ENDPOINTS = 2
UNREACHABLE_DOMAIN_MS = 1500
# What choosing a suspect endpoint costs, in ms of waiting.
SUSPECT_PENALTY_MS = 4000.0
# Weight of one answer in an endpoint's share of failures, and what that
# share is worth beside the predicted time, in ms.
ERROR_EWMA_WEIGHT = 0.1
ERROR_RATE_PENALTY_MS = 100.0
# A request that goes to an engine kept for the other kind costs as much
# as this much waiting, in ms: a late pause loses most of a stream's worth.
GAP_SENSITIVE_MISPLACED_MS = 1500.0
OTHER_MISPLACED_MS = 3000.0
# Engine time of one output token in a common batch, in ms.
OUTPUT_TOKEN_MS = 0.65
# Weight of one request in the share of work that tight streams have.
SHARE_EWMA_WEIGHT = 0.02
# How long an endpoint that rejected a request is taken to be full.
REJECTION_BACKOFF_MS = 150


# Up to this many endpoints are all weighed against each other; of more,
# a sample of the lane in the own failure domain and of all.
FULL_SCAN_ENDPOINTS = 32
LOCAL_SAMPLE_ENDPOINTS = 12
GLOBAL_SAMPLE_ENDPOINTS = 6

RESERVED_ORDER_KEY = PromptPart("calm", 0)
# An endpoint's place in the order of a part: a product modulo 2**64.
HASH_MASK = (1 << 64) - 1
ZERO_LOAD = messages.EndpointLoad()


PartUpdates = gathering.UpdateBatcher[tuple[str, str], messages.PartRead]


def make_part_updates() -> PartUpdates:
    """Return what holds news of parts read, by endpoint and part."""
    return gathering.UpdateBatcher(PART_UPDATES_DELAY_S)


class Balancer:
    """All endpoints that this edge may send to.

    Args:
        domain: the edge's own failure domain.
        rng: breaks ties.
    """

    def __init__(self, domain: str, rng: random.Random):
        self.domain = domain
        self.rng = rng
        self.edge_count = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.ready_by_service: dict[str, list[Endpoint]] = {}
        self.prefill_tokens_per_ms: dict[str, float] = {}
        self.gap_sensitive_share: dict[str, float] = {}
        self.recent_failures: dict[str, dict[str, int]] = {}
        self.part_updates = make_part_updates()

    # -- membership --------------------------------------------------------

    def update_endpoint(
        self,
        record: messages.EndpointRecord,
        kv_tokens: int,
        connections: int = 0,
    ) -> None:
        """Take in an endpoint's newest record.

        Args:
            record: what it told of itself.
            kv_tokens: the size of an engine's memory, or 0.
            connections: how many it takes from all edges, 0 for any.
        """
        known = self.endpoints.get(record.id)
        if known is not None and known.record.born == record.born:
            known.record = record
            known.connections = connections
        elif record.state != registry.LEFT:
            self.endpoints[record.id] = Endpoint(
                record, kv_tokens, connections
            )
        if record.state == registry.LEFT:
            self.endpoints.pop(record.id, None)
        self._index_ready()

    def _index_ready(self) -> None:
        self.ready_by_service = {}
        for endpoint in self.endpoints.values():
            if endpoint.record.state == registry.READY:
                self.ready_by_service.setdefault(
                    endpoint.record.service, []
                ).append(endpoint)

    # -- choice ------------------------------------------------------------

    def usable_endpoints(
        self, service: str, tried: Iterable[str], now: int
    ) -> list[Endpoint]:
        """Return endpoints that may be sent to.

        Those put aside are returned only if there are no others.
        """
        excluded = set(tried)
        connectable = [
            e
            for e in self.ready_by_service.get(service, ())
            if e.record.id not in excluded
            and e.has_free_connection(self.edge_count)
        ]
        return [
            e for e in connectable if e.ejected_until <= now
        ] or connectable

    def choose(
        self, profile: RequestProfile, tried: Iterable[str], now: int
    ) -> Choice | None:
        """Return the endpoint predicted to answer first, or None."""
        usable = self.usable_endpoints(profile.service, tried, now)
        reserved = self._reserved_engines(profile, usable)
        matching = [
            e
            for e in usable
            if (e.record.id in reserved) == profile.is_gap_sensitive
        ]
        presumed_depths = self._presumed_depths(profile, matching or usable)
        best: Choice | None = None
        for endpoint in self._candidates(
            profile, usable, matching, presumed_depths
        ):
            presumed_depth = presumed_depths.get(endpoint.record.id, 0)
            choice = self._estimate_cost(
                endpoint, profile, presumed_depth, now
            )
            if (
                reserved
                and (endpoint.record.id in reserved)
                != profile.is_gap_sensitive
            ):
                misplaced_ms = (
                    GAP_SENSITIVE_MISPLACED_MS
                    if profile.is_gap_sensitive
                    else OTHER_MISPLACED_MS
                )
                choice = choice._replace(cost_ms=choice.cost_ms + misplaced_ms)
            if best is None or choice.cost_ms < best.cost_ms:
                best = choice
        return best

    def _candidates(
        self,
        profile: RequestProfile,
        usable: list[Endpoint],
        matching: list[Endpoint],
        presumed_depths: dict[str, int],
    ) -> list[Endpoint]:
        """Return those worth a prediction, so that its cost stays flat.

        Among many, those that hold or should hold a part of the prompt,
        and a sample of the rest; the best of a sample is close to the
        best of all.
        """
        if len(usable) <= FULL_SCAN_ENDPOINTS:
            return usable
        shared_parts = profile.parts[:-1]
        candidates = [
            e
            for e in usable
            if e.record.id in presumed_depths
            or (shared_parts and e.cached_depth(shared_parts))
        ]
        local = [e for e in matching if e.record.domain == self.domain]
        for group, count in (
            (local or matching, LOCAL_SAMPLE_ENDPOINTS),
            (usable, GLOBAL_SAMPLE_ENDPOINTS),
        ):
            candidates += self.rng.sample(group, min(count, len(group)))
        return candidates

    def _reserved_engines(
        self, profile: RequestProfile, usable: list[Endpoint]
    ) -> set[str]:
        """Return the engines kept for streams with short pauses.

        All edges take the first of the same order, as many as the tight
        streams' share of the work asks for.
        """
        share = self.gap_sensitive_share.get(profile.service, 0.0)
        if not profile.prompt_tokens or len(usable) < 2 or not 0 < share < 1:
            return set()
        count = min(len(usable) - 1, max(1, round(share * len(usable))))
        order_hash = _hash_part(RESERVED_ORDER_KEY)
        ranked = sorted(
            usable, key=lambda e: order_hash * e.hash_multiplier & HASH_MASK
        )
        return {e.record.id for e in ranked[:count]}

    def _update_gap_sensitive_share(
        self, choice: Choice, profile: RequestProfile
    ) -> None:
        """Weigh a request's work in the tight streams' share."""
        prefill_rate = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        work_ms = (
            choice.prefill_tokens / prefill_rate
            + profile.output_tokens * OUTPUT_TOKEN_MS
        )
        weight = min(0.5, SHARE_EWMA_WEIGHT * work_ms / FIRST_EVENT_BASE_MS)
        current_share = self.gap_sensitive_share.get(
            profile.service, float(profile.is_gap_sensitive)
        )
        current_share += weight * (
            float(profile.is_gap_sensitive) - current_share
        )
        self.gap_sensitive_share[profile.service] = current_share

    def _presumed_depths(
        self, profile: RequestProfile, usable: list[Endpoint]
    ) -> dict[str, int]:
        """Return how many leading parts each endpoint should hold.

        All edges order the endpoints alike for a part that no one is
        known to hold, so that they read it at the same one before they
        have told each other.
        """
        depths: dict[str, int] = {}
        if not usable:
            return depths
        shared_parts = profile.parts[:-1]
        max_cached_depth = max(e.cached_depth(shared_parts) for e in usable)
        for i, part in enumerate(shared_parts):
            if i < max_cached_depth:
                continue
            part_hash = _hash_part(part)
            first = max(
                usable,
                key=lambda e: part_hash * e.hash_multiplier & HASH_MASK,
            )
            depths[first.record.id] = i + 1
        return depths

    def _estimate_cost(
        self,
        endpoint: Endpoint,
        profile: RequestProfile,
        presumed_depth: int,
        now: int,
    ) -> Choice:
        load = endpoint.estimated_load(now)
        slots = max(1, endpoint.record.slots)
        penalty_ms = ERROR_RATE_PENALTY_MS * endpoint.error_rate
        if endpoint.full_until > now:
            penalty_ms += REJECTION_BACKOFF_MS
        if endpoint.is_suspect(now) or self._is_domain_unreachable(
            endpoint.record.domain, now
        ):
            penalty_ms += SUSPECT_PENALTY_MS
        if endpoint.record.domain != self.domain:
            penalty_ms += CROSS_DOMAIN_MS
        if not profile.prompt_tokens:
            queue_ratio = max(0.0, load + 1 - slots) / slots
            utilisation = load / slots
            wait_ms = endpoint.mean_call_ms * (
                1 + queue_ratio + 0.5 * utilisation
            )
            jitter_ms = self.rng.random()
            return Choice(endpoint, wait_ms + penalty_ms + jitter_ms, 0)
        cached_tokens = endpoint.expected_cached_tokens(
            profile.parts, presumed_depth
        )
        uncached_tokens = max(0.0, profile.prompt_tokens - cached_tokens)
        prefill_rate = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        queued_tokens = (
            endpoint.pending_prefill_tokens + endpoint.remote_prefill_tokens
        )
        prefill_ms = (uncached_tokens + queued_tokens) / prefill_rate
        slot_wait_ms = max(0.0, load + 1 - slots) * FIRST_EVENT_BASE_MS
        contention_ms = load * RUNNING_REQUEST_MS
        base_ms = (
            FIRST_EVENT_BASE_MS + prefill_ms + contention_ms + slot_wait_ms
        )
        total_cost_ms = base_ms * self._relative_slowness(endpoint)
        total_cost_ms += uncached_tokens / prefill_rate * PREFILL_DELAY_FACTOR
        total_cost_ms += penalty_ms + self._memory_wait_ms(endpoint, profile)
        return Choice(endpoint, total_cost_ms, int(uncached_tokens), base_ms)

    def _memory_wait_ms(
        self, endpoint: Endpoint, profile: RequestProfile
    ) -> float:
        """Return the expected wait for memory at an engine."""
        if not endpoint.kv_tokens:
            return 0.0
        needed_tokens = (
            endpoint.inflight_tokens
            + profile.prompt_tokens
            + profile.output_tokens
        )
        excess = needed_tokens / endpoint.kv_tokens - KV_CACHE_FRACTION
        return max(0.0, excess) * 2000.0

    # -- other edges -------------------------------------------------------

    def publish_loads(self) -> tuple[messages.EndpointLoad, ...]:
        """Return what this edge has under way, to be told to others."""
        loads = []
        for endpoint in self.endpoints.values():
            endpoint.published_inflight = endpoint.inflight
            endpoint.published_prefill_tokens = max(
                0, endpoint.pending_prefill_tokens
            )
            if endpoint.inflight:
                loads.append(
                    messages.EndpointLoad(
                        endpoint.record.id,
                        endpoint.published_inflight,
                        endpoint.published_prefill_tokens,
                    )
                )
        return tuple(loads)

    def apply_load_totals(self, total: messages.LoadReport) -> None:
        """Take in the sum over all edges, this one among them."""
        sums = {load.id: load for load in total.loads}
        for identifier, endpoint in self.endpoints.items():
            load = sums.get(identifier, ZERO_LOAD)
            endpoint.remote_inflight = max(
                0, load.running - endpoint.published_inflight
            )
            endpoint.remote_prefill_tokens = max(
                0, load.reading - endpoint.published_prefill_tokens
            )

    def apply_part_updates(self, update: messages.PartsRead) -> None:
        """Take in which parts other edges gave to which engines."""
        for item in update.parts:
            endpoint = self.endpoints.get(item.endpoint)
            if endpoint is not None:
                endpoint.record_parts((PromptPart(item.part, item.tokens),))

    def _queue_part_updates(
        self, endpoint: Endpoint, profile: RequestProfile
    ) -> None:
        for part in profile.parts[:-1]:
            key = (endpoint.record.id, part.identifier)
            update = messages.PartRead(
                endpoint.record.id, part.identifier, part.tokens
            )
            self.part_updates.put(key, update)

    # -- observations ------------------------------------------------------

    def record_start(
        self, choice: Choice, profile: RequestProfile, now: int
    ) -> None:
        """Note that a request is sent."""
        endpoint = choice.endpoint
        if not endpoint.inflight:
            endpoint.busy_since = now
        endpoint.inflight += 1
        endpoint.pending_prefill_tokens += choice.prefill_tokens
        endpoint.inflight_tokens += (
            profile.prompt_tokens + profile.output_tokens
        )
        if profile.parts:
            endpoint.record_parts(profile.parts)
            self._queue_part_updates(endpoint, profile)
        if profile.prompt_tokens:
            self._update_gap_sensitive_share(choice, profile)

    def record_first_byte(
        self, choice: Choice, profile: RequestProfile, took_ms: float
    ) -> None:
        """Note that an answer began."""
        endpoint = choice.endpoint
        endpoint.pending_prefill_tokens -= choice.prefill_tokens
        endpoint.open_streams += profile.prompt_tokens > 0
        endpoint.consecutive_failures = 0
        endpoint.error_rate -= ERROR_EWMA_WEIGHT * endpoint.error_rate
        if not profile.prompt_tokens:
            endpoint.mean_call_ms += EWMA_WEIGHT * (
                took_ms - endpoint.mean_call_ms
            )
            return
        base_ms = max(FIRST_EVENT_BASE_MS, choice.expected_ms)
        ratio = min(MAX_SLOW_RATIO, max(0.25, took_ms / base_ms))
        endpoint.slowness += EWMA_WEIGHT * (ratio - endpoint.slowness)
        self._update_prefill_rate(choice, profile, took_ms)

    def _update_prefill_rate(
        self, choice: Choice, profile: RequestProfile, took_ms: float
    ) -> None:
        """Learn how fast an engine reads from its fastest answers."""
        if choice.prefill_tokens < MIN_RATE_SAMPLE_TOKENS:
            return
        observed = choice.prefill_tokens / max(
            1.0, took_ms - FIRST_EVENT_BASE_MS
        )
        current = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        weight = (
            RATE_INCREASE_WEIGHT
            if observed > current
            else RATE_DECREASE_WEIGHT
        )
        observed = min(observed, 2 * current)
        self.prefill_tokens_per_ms[profile.service] = current + weight * (
            observed - current
        )

    def _relative_slowness(self, endpoint: Endpoint) -> float:
        """Return how much slower than its like an engine is, from 1.

        Waiting makes all engines look slow now and then; only one that
        is far behind the median is treated as slow.
        """
        if endpoint.slowness < SLOW_RATIO:
            return 1.0
        peers = self.ready_by_service.get(endpoint.record.service, ())
        if len(peers) < 2:
            return 1.0
        median = statistics.median_low([e.slowness for e in peers])
        relative = endpoint.slowness / max(median, 0.25)
        return relative if relative >= SLOW_RATIO else 1.0

    def record_finish(
        self, choice: Choice, profile: RequestProfile, got_first_byte: bool
    ) -> None:
        """Note that a request ended, however it did.

        Args:
            choice: what was chosen for it.
            ask: the request.
            began: whether ``first_byte`` was called.
        """
        endpoint = choice.endpoint
        endpoint.inflight -= 1
        endpoint.inflight_tokens -= (
            profile.prompt_tokens + profile.output_tokens
        )
        if not got_first_byte:
            endpoint.pending_prefill_tokens -= choice.prefill_tokens
        else:
            endpoint.open_streams -= profile.prompt_tokens > 0

    def record_failure(self, endpoint: Endpoint, now: int) -> None:
        """Note a failure; repeated ones put the endpoint aside."""
        endpoint.consecutive_failures += 1
        if endpoint.last_heard_at < now - UNREACHABLE_DOMAIN_MS:
            self._record_domain_failure(endpoint, now)
        doublings = endpoint.consecutive_failures - EJECTION_FAILURES
        if doublings >= 0:
            ejection_ms = min(
                MAX_EJECTION_MS, MIN_EJECTION_MS << min(doublings, 8)
            )
            endpoint.ejected_until = now + ejection_ms

    def record_activity(self, endpoint: Endpoint, now: int) -> None:
        """Note that bytes of an answer came from an endpoint."""
        endpoint.last_heard_at = now
        if self.recent_failures:
            self.recent_failures.pop(endpoint.record.domain, None)

    def _record_domain_failure(self, endpoint: Endpoint, now: int) -> None:
        """Note that an endpoint's failure domain may be cut off."""
        domain = endpoint.record.domain
        failed_at = self.recent_failures.setdefault(domain, {})
        failed_at[endpoint.record.id] = now

    def _is_domain_unreachable(self, domain: str, now: int) -> bool:
        """Return whether several endpoints of a domain failed lately.

        One alone is an endpoint's own failure; a domain is cut off or
        lost as a whole.
        """
        failed_at = self.recent_failures.get(domain)
        if not failed_at:
            return False
        for identifier, at in list(failed_at.items()):
            if now - at > UNREACHABLE_DOMAIN_MS:
                del failed_at[identifier]
        return len(failed_at) >= UNREACHABLE_DOMAIN_ENDPOINTS

    def record_error_answer(self, endpoint: Endpoint) -> None:
        """Note an answer that is a failure of the endpoint's own."""
        endpoint.error_rate += ERROR_EWMA_WEIGHT * (1 - endpoint.error_rate)

    def record_rejection(self, endpoint: Endpoint, now: int) -> None:
        """Note that an endpoint was full a moment ago."""
        endpoint.full_until = now + REJECTION_BACKOFF_MS

    def record_unreachable(self, endpoint: Endpoint, now: int) -> None:
        """Note that no connection opened: put aside at once."""
        endpoint.consecutive_failures = max(
            endpoint.consecutive_failures, EJECTION_FAILURES - 1
        )
        self._record_domain_failure(endpoint, now)
        self.record_failure(endpoint, now)

    def record_reported_load(
        self, endpoint: Endpoint, reported_load: ReportedLoad
    ) -> None:
        """Take in the load that an endpoint told."""
        endpoint.reported_load = reported_load


def _hash_part(part: PromptPart) -> int:
    """Return a number that stands for a part, alike at all edges."""
    return xxhash.xxh64_intdigest(part.identifier.encode())


__all__ = [
    "RequestProfile",
    "Balancer",
    "Choice",
    "Endpoint",
    "KV_CACHE_FRACTION",
    "PromptPart",
    "PartUpdates",
    "STREAM_SILENCE_MS",
    "ReportedLoad",
    "make_part_updates",
]
