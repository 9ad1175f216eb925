"""State that an edge keeps of an endpoint, and the profile of a request.

Does no I/O; the caller passes the current time in ms. The state of an
endpoint covers this edge's in-flight requests, the loads that the endpoint
and the other edges reported, latencies and failures, and the prompt parts
expected in its prefix cache.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

from primrosehitch import messages
from primrosehitch import pace as pace_module
from primrosehitch import registry

# Assumed duration of a plain call before the first answer.
INITIAL_CALL_MS = 25.0
# An older reported load says little about the endpoint's present load.
REPORTED_LOAD_TTL_MS = 600
# The next constants are the silences after which an endpoint with in-flight
# requests is suspect. For an engine with open streams: an event takes one
# step per token, and each step may also prefill a chunk of another prompt.
STREAM_SILENCE_MS = 700
# For an engine that only prefills prompts.
PREFILL_SILENCE_MS = 2500
# For plain calls: CALL_SILENCE_FACTOR times the mean time to first byte, but
# at least the minimum.
MIN_CALL_SILENCE_MS = 100
CALL_SILENCE_FACTOR = 4
# While an engine prefills a long prompt, the events of all other streams
# on it come about this far apart.
GAP_SENSITIVE_MAX_GAP_MS = 600
# Common engines prefill a prompt up to this size in one step.
GAP_SENSITIVE_MAX_PROMPT_TOKENS = 4096
# A prompt part stays in the prefix cache until the parts used since then
# take more than this fraction of the engine's KV cache.
KV_CACHE_FRACTION = 0.7
# Weight of a cached part that is only presumed, because rendezvous hashing
# selects this engine for it, relative to a part that was sent there.
PRESUMED_HIT_WEIGHT = 0.8
# Connections to an endpoint that an edge may open whatever the number of
# edges.
MIN_CONNECTIONS = 2


class Incarnation(NamedTuple):
    """One run of an endpoint's process.

    Attributes:
        endpoint: the endpoint's identifier.
        born: when it started, as it reported.
    """

    endpoint: str
    born: int


class PromptPart(NamedTuple):
    """A part of a prompt and its size in tokens."""

    identifier: str
    tokens: int


class RequestProfile(NamedTuple):
    """Properties of a request on which the choice of an endpoint depends.

    Attributes:
        service: the service.
        parts: parts of the prompt, in order; only the last one is not
            shared with other requests.
        prompt_tokens: size of the whole prompt; 0 for plain calls.
        output_tokens: expected size of the output.
        gap_ms: longest allowed gap between events of the stream, 0 for
            no limit.
        version: the software version that must serve the request, or None
            for any.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    gap_ms: int = 0
    version: str | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may hold as well."""
        return self.parts[:-1]

    @property
    def is_gap_sensitive(self) -> bool:
        """Whether prefill of a long prompt would make its events late.

        A stream with a long prompt is not gap-sensitive, whatever its
        allowed gap: its own prefill would delay the other streams of a
        reserved engine.
        """
        short = self.prompt_tokens <= GAP_SENSITIVE_MAX_PROMPT_TOKENS
        return short and 0 < self.gap_ms <= GAP_SENSITIVE_MAX_GAP_MS


class ReportedLoad(NamedTuple):
    """Load that an endpoint reported with an answer.

    Attributes:
        running: requests being processed.
        waiting: requests queued at the endpoint.
        slots: requests that the endpoint processes at a time.
        received_at: time at which the report arrived, in ms.
        pace: how long its work takes now, 1.0 is usual; 0 if it does not
            say.
    """

    running: int
    waiting: int
    slots: int
    received_at: int
    pace: float = 0.0


class Endpoint:
    """One incarnation of an endpoint, as this edge sees it.

    Args:
        record: the endpoint's newest record.
        kv_tokens: size of the engine's KV cache in tokens, 0 for services
            that are not model engines.
        connections: connections that the endpoint accepts from all edges
            together, 0 for no limit.

    Attributes:
        hash_multiplier: odd number by which part hashes are multiplied to
            rank endpoints.
        inflight: this edge's requests under way.
        pending_prefill_tokens: uncached prompt tokens of this edge's
            requests that have no first byte yet.
        inflight_tokens: prompt and expected output tokens of this edge's
            requests under way.
        reported_load: load that the endpoint reported last.
        pace: smoothed pace, None if the endpoint never stated one.
        remote_inflight: requests of other edges under way.
        remote_prefill_tokens: as pending_prefill_tokens, of other edges.
        published_inflight: inflight as last sent to the other edges.
        published_prefill_tokens: pending_prefill_tokens as last sent to
            the other edges.
        mean_call_ms: mean time to first byte of plain calls, at the usual
            pace.
        slowness: mean ratio of the measured to the expected time to first
            byte.
        last_heard_at: time of the last bytes received, in ms, or -1.
        busy_since: time at which inflight last rose from 0, in ms.
        open_streams: streams that have sent their first byte.
        consecutive_failures: failures since the last first byte.
        error_rate: mean of answers, 1 for a server error and 0 otherwise.
        is_leaving: whether it said with an answer that it is leaving.
        ejected_until: end of the ejection, in ms.
        full_until: end of the backoff after a rejection, in ms.
        paused_until: end of the pause that the endpoint asked for, in ms.
        cached_parts: parts expected in the prefix cache, least recently
            used first, with their sizes in tokens.
        cached_tokens: sum of the sizes of cached_parts.
    """

    def __init__(
        self,
        record: messages.EndpointRecord,
        kv_tokens: int,
        connections: int = 0,
    ):
        self.record = record
        self.kv_tokens = kv_tokens
        self.connections = connections
        self.hash_multiplier = xxhash.xxh64_intdigest(record.id.encode()) | 1
        self.inflight = 0
        self.pending_prefill_tokens = 0
        self.inflight_tokens = 0
        self.reported_load: ReportedLoad | None = None
        self.pace: pace_module.PaceEstimate | None = None
        self.remote_inflight = 0
        self.remote_prefill_tokens = 0
        self.published_inflight = 0
        self.published_prefill_tokens = 0
        self.mean_call_ms = INITIAL_CALL_MS
        self.slowness = 1.0
        self.last_heard_at = -1
        self.busy_since = 0
        self.open_streams = 0
        self.consecutive_failures = 0
        self.error_rate = 0.0
        self.is_leaving = False
        self.ejected_until = 0
        self.full_until = 0
        self.paused_until = 0
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    @property
    def incarnation(self) -> Incarnation:
        """The run of its process that this state belongs to."""
        return Incarnation(self.record.id, self.record.born)

    @property
    def is_departing(self) -> bool:
        """Whether the endpoint takes no new requests and will end."""
        state = self.record.state
        return self.is_leaving or state in (registry.DRAINING, registry.LEFT)

    def has_free_connection(self, edge_count: int) -> bool:
        """Return whether this edge's share allows one more connection.

        Each request under way occupies one connection. Idle connections
        were in use before, and so are within the share.
        """
        if not self.connections:
            return True
        share = self.connections // (edge_count + 1)
        return self.inflight < max(MIN_CONNECTIONS, share)

    def silence_ms(self, now: int) -> int:
        """Return the time without a byte while requests were under way."""
        if not self.inflight:
            return 0
        return now - max(self.last_heard_at, self.busy_since)

    def is_suspect(self, now: int) -> bool:
        """Return whether the endpoint has been silent for too long.

        An engine with open streams sends events often. An engine that
        only prefills prompts, or a plain service, may be silent for
        several times its usual latency.
        """
        silent_for_ms = self.silence_ms(now)
        if self.open_streams:
            return silent_for_ms > STREAM_SILENCE_MS
        if self.kv_tokens:
            return silent_for_ms > PREFILL_SILENCE_MS
        return silent_for_ms > max(
            MIN_CALL_SILENCE_MS,
            CALL_SILENCE_FACTOR * self.mean_call_ms * self.pace_factor(now),
        )

    def is_answering(self, now: int) -> bool:
        """Return whether the endpoint sent bytes to this edge lately.

        They count as much as a heartbeat to a control instance.
        """
        since = now - self.last_heard_at
        return 0 <= self.last_heard_at and (
            since <= registry.HEARTBEAT_TIMEOUT_MS
        )

    def record_reported_load(self, reported_load: ReportedLoad) -> None:
        """Store the load that the endpoint reported with an answer."""
        self.reported_load = reported_load
        if reported_load.pace > 0:
            if self.pace is None:
                self.pace = pace_module.PaceEstimate()
            self.pace.record(reported_load.pace, reported_load.received_at)

    def pace_factor(self, now: int) -> float:
        """Return the factor of the endpoint's pace on predicted times."""
        if self.pace is None:
            return pace_module.USUAL_PACE
        return self.pace.factor(now)

    @property
    def stated_pace(self) -> float:
        """The factor of the endpoint's pace at its last answer."""
        if self.pace is None:
            return pace_module.USUAL_PACE
        return self.pace.factor(self.pace.updated_at)

    def estimated_load(self, now: int) -> float:
        """Return the estimated number of requests at the endpoint."""
        known = self.inflight + self.remote_inflight
        reported = self.reported_load
        if (
            reported is None
            or now - reported.received_at > REPORTED_LOAD_TTL_MS
        ):
            return known
        return max(known, reported.running + reported.waiting)

    def record_parts(self, parts: tuple[PromptPart, ...]) -> None:
        """Record that the parts were sent here and are now cached.

        The least recently used parts beyond the cache's size are dropped.
        """
        for part in parts:
            if part.identifier in self.cached_parts:
                self.cached_parts.move_to_end(part.identifier)
                continue
            self.cached_parts[part.identifier] = part.tokens
            self.cached_tokens += part.tokens
        limit = KV_CACHE_FRACTION * self.kv_tokens
        while self.cached_tokens > limit and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.cached_tokens -= tokens

    def cached_depth(self, parts: tuple[PromptPart, ...]) -> int:
        """Return how many leading parts are cached here."""
        for i, part in enumerate(parts):
            if part.identifier not in self.cached_parts:
                return i
        return len(parts)

    def expected_cached_tokens(
        self, parts: tuple[PromptPart, ...], presumed_depth: int
    ) -> float:
        """Return how many leading tokens need no prefill.

        Args:
            parts: parts of a prompt, in order.
            presumed_depth: number of leading parts presumed to be cached
                here although they were not sent here.
        """
        tokens = 0.0
        for i, part in enumerate(parts):
            if part.identifier in self.cached_parts:
                tokens += part.tokens
            elif i < presumed_depth:
                tokens += PRESUMED_HIT_WEIGHT * part.tokens
            else:
                break
        return tokens


class Choice(NamedTuple):
    """An endpoint and the estimated cost of sending a request to it.

    Attributes:
        endpoint: the endpoint.
        cost_ms: predicted time to first byte plus penalties.
        prefill_tokens: prompt tokens that the endpoint has to prefill.
        expected_ms: predicted time to first byte without penalties, at
            an engine that is not slow.
        pace: the factor of the endpoint's pace in expected_ms.
        load: estimated number of requests at the endpoint.
        queue_ms: the part of expected_ms that is a wait for a slot.
    """

    endpoint: Endpoint
    cost_ms: float
    prefill_tokens: int
    expected_ms: float = 0.0
    pace: float = 1.0
    load: float = 0.0
    queue_ms: float = 0.0


__all__ = [
    "Choice",
    "Endpoint",
    "Incarnation",
    "KV_CACHE_FRACTION",
    "PromptPart",
    "ReportedLoad",
    "RequestProfile",
    "STREAM_SILENCE_MS",
]
