"""What an edge knows of one start of an endpoint, and what is asked.

Pure. What this edge sent there, what the endpoint and other edges told
of its load, how it answered, and which parts of prompts it should hold.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

from primrosehitch import messages

# First guess of how long a plain call takes, in ms.
CALL_MS = 25.0
# A told load says little of an endpoint after this time, in ms.
LOAD_FRESH_MS = 600
# An endpoint with work is suspect after this silence, in ms: between two
# tokens of one that makes some (the longest step reads a chunk of prompt
# for each token of an event), while it only reads, and for plain calls
# (this long, and this many times the usual).
QUIET_STREAM_MS = 700
QUIET_ENGINE_MS = 2500
QUIET_CALL_MS = 100
QUIET_CALLS = 4
# An engine that reads a long prompt makes all streams beside it pause
# about this long between events.
TIGHT_GAP_MS = 600
# A prompt up to this size is read in one step by common engines.
TIGHT_PROMPT_TOKENS = 4096
# A prompt's parts stay in memory while no more than this part of an
# engine's memory was read since.
KEPT_PART = 0.7
# An engine that is thought to hold a part because it comes first in the
# order that all edges share is believed a little less than one seen.
PRESUMED_PART = 0.8
# An edge may always have this many connections to an endpoint, however
# many edges there are.
CONNECTIONS_LEAST = 2


class Part(NamedTuple):
    """A part of a prompt and its size."""

    identifier: str
    tokens: int


class Ask(NamedTuple):
    """What a request needs.

    Attributes:
        service: the service.
        parts: of the prompt, in order; the last is the request's own.
        prompt_tokens: the whole prompt; 0 for plain calls.
        output_tokens: how many are expected.
        gap_ms: longest pause between events of its stream, 0 for any.
    """

    service: str
    parts: tuple[Part, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    gap_ms: int = 0

    @property
    def tight(self) -> bool:
        """Whether a long prompt read beside it makes its pauses late.

        One whose own prompt is long would do so to the others.
        """
        short = self.prompt_tokens <= TIGHT_PROMPT_TOKENS
        return short and 0 < self.gap_ms <= TIGHT_GAP_MS


class Told(NamedTuple):
    """What an endpoint said of its load, and when, in ms."""

    running: int
    waiting: int
    slots: int
    at: int


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
        self.salt = xxhash.xxh64_intdigest(record.id.encode()) | 1
        self.inflight = 0
        self.reading_tokens = 0
        self.held_tokens = 0
        self.told: Told | None = None
        self.others = 0
        self.others_reading = 0
        self.said_running = 0
        self.said_reading = 0
        self.call_ms = CALL_MS
        self.slow = 1.0
        self.heard_at = -1
        self.active_since = 0
        self.streaming = 0
        self.failures = 0
        self.errors = 0.0
        self.aside_until = 0
        self.full_until = 0
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.parts_tokens = 0

    def has_room(self, edges: int) -> bool:
        """Return whether one more request keeps this edge to its part.

        Each request under way has a connection of its own; idle ones
        were in use before.
        """
        if not self.connections:
            return True
        part = self.connections // (edges + 1)
        return self.inflight < max(CONNECTIONS_LEAST, part)

    def quiet_ms(self, now: int) -> int:
        """Return how long it has been silent while it had work."""
        if not self.inflight:
            return 0
        return now - max(self.heard_at, self.active_since)

    def suspect(self, now: int) -> bool:
        """Return whether its silence says that it is gone.

        An engine that makes tokens is heard often; one that only reads
        prompts, or a plain service, may take some times longer than
        usual.
        """
        quiet = self.quiet_ms(now)
        if self.streaming:
            return quiet > QUIET_STREAM_MS
        if self.kv_tokens:
            return quiet > QUIET_ENGINE_MS
        return quiet > max(QUIET_CALL_MS, QUIET_CALLS * self.call_ms)

    def load(self, now: int) -> float:
        """Return how many requests are thought to be there."""
        mine = self.inflight + self.others
        told = self.told
        if told is None or now - told.at > LOAD_FRESH_MS:
            return mine
        return max(mine, told.running + told.waiting)

    def note_parts(self, parts: tuple[Part, ...]) -> None:
        """Note that the parts of a prompt were read there."""
        for part in parts:
            if part.identifier in self.parts:
                self.parts.move_to_end(part.identifier)
                continue
            self.parts[part.identifier] = part.tokens
            self.parts_tokens += part.tokens
        limit = KEPT_PART * self.kv_tokens
        while self.parts_tokens > limit and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.parts_tokens -= tokens

    def depth(self, parts: tuple[Part, ...]) -> int:
        """Return how many leading parts are held here."""
        for i, part in enumerate(parts):
            if part.identifier not in self.parts:
                return i
        return len(parts)

    def held(self, parts: tuple[Part, ...], presumed: int) -> float:
        """Return how many leading tokens need not be read again.

        Args:
            parts: of a prompt, in order.
            presumed: how many leading parts are thought to be there
                even if not seen.
        """
        tokens = 0.0
        for i, part in enumerate(parts):
            if part.identifier in self.parts:
                tokens += part.tokens
            elif i < presumed:
                tokens += PRESUMED_PART * part.tokens
            else:
                break
        return tokens


class Choice(NamedTuple):
    """An endpoint and what is expected of it.

    Attributes:
        endpoint: the endpoint.
        predicted_ms: what choosing it costs, in ms of waiting.
        reading_tokens: prompt tokens it will have to read.
        expected_ms: time to the first byte at an engine of common speed.
    """

    endpoint: Endpoint
    predicted_ms: float
    reading_tokens: int
    expected_ms: float = 0.0


__all__ = [
    "Ask",
    "Choice",
    "Endpoint",
    "KEPT_PART",
    "Part",
    "QUIET_STREAM_MS",
    "Told",
]
