"""What an edge knows of one start of an endpoint, and what is asked.

Pure. What this edge sent there, what the endpoint and other edges told
of its load, how it answered, and which parts of prompts it should hold.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

from primrosehitch import messages

# First guess of how long a plain call takes, in ms.
INITIAL_CALL_MS = 25.0
# A told load says little of an endpoint after this time, in ms.
REPORTED_LOAD_TTL_MS = 600
# An endpoint with work is suspect after this silence, in ms: between two
# tokens of one that makes some (the longest step reads a chunk of prompt
# for each token of an event), while it only reads, and for plain calls
# (this long, and this many times the usual).
STREAM_SILENCE_MS = 700
PREFILL_SILENCE_MS = 2500
MIN_CALL_SILENCE_MS = 100
CALL_SILENCE_FACTOR = 4
# An engine that reads a long prompt makes all streams beside it pause
# about this long between events.
GAP_SENSITIVE_MAX_GAP_MS = 600
# A prompt up to this size is read in one step by common engines.
GAP_SENSITIVE_MAX_PROMPT_TOKENS = 4096
# A prompt's parts stay in memory while no more than this part of an
# engine's memory was read since.
KV_CACHE_FRACTION = 0.7
# An engine that is thought to hold a part because it comes first in the
# order that all edges share is believed a little less than one seen.
PRESUMED_HIT_WEIGHT = 0.8
# An edge may always have this many connections to an endpoint, however
# many edges there are.
MIN_CONNECTIONS = 2


class PromptPart(NamedTuple):
    """A part of a prompt and its size."""

    identifier: str
    tokens: int


class RequestProfile(NamedTuple):
    """What a request needs.

    Attributes:
        service: the service.
        parts: of the prompt, in order; the last is the request's own.
        prompt_tokens: the whole prompt; 0 for plain calls.
        output_tokens: how many are expected.
        gap_ms: longest pause between events of its stream, 0 for any.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    gap_ms: int = 0

    @property
    def is_gap_sensitive(self) -> bool:
        """Whether a long prompt read beside it makes its pauses late.

        One whose own prompt is long would do so to the others.
        """
        short = self.prompt_tokens <= GAP_SENSITIVE_MAX_PROMPT_TOKENS
        return short and 0 < self.gap_ms <= GAP_SENSITIVE_MAX_GAP_MS


class ReportedLoad(NamedTuple):
    """What an endpoint said of its load, and when, in ms."""

    running: int
    waiting: int
    slots: int
    received_at: int


class Endpoint:
    """What this edge knows of one start of an endpoint.

    Args:
        record: what it told of itself.
        kv_tokens: the size of an engine's memory, 0 for plain services.
        connections: how many it takes from all edges, 0 for any number.
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
        self.ejected_until = 0
        self.full_until = 0
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def has_free_connection(self, edge_count: int) -> bool:
        """Return whether one more request keeps this edge to its part.

        Each request under way has a connection of its own; idle ones
        were in use before.
        """
        if not self.connections:
            return True
        share = self.connections // (edge_count + 1)
        return self.inflight < max(MIN_CONNECTIONS, share)

    def silence_ms(self, now: int) -> int:
        """Return how long it has been silent while it had work."""
        if not self.inflight:
            return 0
        return now - max(self.last_heard_at, self.busy_since)

    def is_suspect(self, now: int) -> bool:
        """Return whether its silence says that it is gone.

        An engine that makes tokens is heard often; one that only reads
        prompts, or a plain service, may take some times longer than
        usual.
        """
        silent_for_ms = self.silence_ms(now)
        if self.open_streams:
            return silent_for_ms > STREAM_SILENCE_MS
        if self.kv_tokens:
            return silent_for_ms > PREFILL_SILENCE_MS
        return silent_for_ms > max(
            MIN_CALL_SILENCE_MS, CALL_SILENCE_FACTOR * self.mean_call_ms
        )

    def estimated_load(self, now: int) -> float:
        """Return how many requests are thought to be there."""
        known = self.inflight + self.remote_inflight
        reported = self.reported_load
        if (
            reported is None
            or now - reported.received_at > REPORTED_LOAD_TTL_MS
        ):
            return known
        return max(known, reported.running + reported.waiting)

    def record_parts(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that the parts of a prompt were read there."""
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
        """Return how many leading parts are held here."""
        for i, part in enumerate(parts):
            if part.identifier not in self.cached_parts:
                return i
        return len(parts)

    def expected_cached_tokens(
        self, parts: tuple[PromptPart, ...], presumed_depth: int
    ) -> float:
        """Return how many leading tokens need not be read again.

        Args:
            parts: of a prompt, in order.
            presumed: how many leading parts are thought to be there
                even if not seen.
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
    """An endpoint and what is expected of it.

    Attributes:
        endpoint: the endpoint.
        cost_ms: what choosing it costs, in ms of waiting.
        reading_tokens: prompt tokens it will have to read.
        expected_ms: time to the first byte at an engine of common speed.
    """

    endpoint: Endpoint
    cost_ms: float
    prefill_tokens: int
    expected_ms: float = 0.0


__all__ = [
    "RequestProfile",
    "Choice",
    "Endpoint",
    "KV_CACHE_FRACTION",
    "PromptPart",
    "STREAM_SILENCE_MS",
    "ReportedLoad",
]
