"""Which service and software version began each stream.

What endpoints of two software versions write does not fit together, so a
stream may go on only at the version that began it. An edge records the
origin of each stream with its first event and sends it to its control
instance, which passes it on to the others. So it is still known when all
edges have ended, and when one control instance has. A stream whose origin is
not known may have begun at any version.
"""

from collections import OrderedDict
import hashlib
from typing import NamedTuple

import anyio

from primrosehitch import clock
from primrosehitch import gathering
from primrosehitch import messages

HASH_BYTES = 16
# How long a caller that sets no deadline may come back, and how long any
# caller may at most.
DEFAULT_TTL_MS = 120_000
MAX_TTL_MS = 600_000
# Added to the caller's deadline for the time on the network.
TTL_MARGIN_MS = 1000
# The oldest origins beyond this number are dropped.
MAX_ORIGINS = 50_000
# Origins are batched for this long before they are sent.
BATCH_DELAY_S = 0.01
# A control instance is asked again after this time, as it may get an origin
# later than the caller comes back.
ASK_AGAIN_S = 0.1


class Origin(NamedTuple):
    """What began a stream.

    Attributes:
        service: the service.
        version: the software version of the endpoint.
    """

    service: str
    version: str


# Of an identifier that was used for streams of different origins.
AMBIGUOUS = Origin("", "")


def stream_key(attempt: bytes, customer: str) -> str:
    """Return the key of the stream that a caller's attempt began.

    Args:
        attempt: the attempt's identifier, not empty.
        customer: the customer, empty on a public route.
    """
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    hasher.update(customer.encode() + b"\0" + attempt)
    return hasher.hexdigest()


class OriginTable:
    """The origins of streams that callers may still resume.

    Does no I/O; the caller passes the current time in ms.

    Attributes:
        entries: origins and when they expire, in ms, by key of the stream,
            oldest first.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[str, tuple[Origin, int]] = OrderedDict()

    def put(self, item: messages.StreamOrigin, now: int) -> bool:
        """Store an origin; return whether that changed anything."""
        origin = Origin(item.service, item.version)
        known = self.entries.get(item.stream)
        if known is not None:
            if known[0] in (origin, AMBIGUOUS):
                return False
            origin = AMBIGUOUS
        self.entries[item.stream] = (origin, now + item.ttl_ms)
        while len(self.entries) > MAX_ORIGINS:
            self.entries.popitem(last=False)
        return True

    def find(self, stream: str, now: int) -> Origin | None:
        """Return the origin of a stream, or None if it is not known."""
        origin, expires_at = self.entries.get(stream, (AMBIGUOUS, 0))
        if origin == AMBIGUOUS or expires_at <= now:
            return None
        return origin

    def items(self, now: int) -> tuple[messages.StreamOrigin, ...]:
        """Return all origins in force, for a receiver that may lack them."""
        return tuple(
            messages.StreamOrigin(stream, *origin, expires_at - now)
            for stream, (origin, expires_at) in self.entries.items()
            if expires_at > now
        )

    def select(
        self, streams: tuple[str, ...], now: int
    ) -> tuple[messages.StreamOrigin, ...]:
        """Return the origins that are known of some streams."""
        return tuple(
            messages.StreamOrigin(s, *self.entries[s][0], expires_at - now)
            for s in streams
            if s in self.entries and (expires_at := self.entries[s][1]) > now
        )

    def remove_expired(self, now: int) -> None:
        """Forget the streams that no caller may resume any more."""
        expired = [s for s, (_, at) in self.entries.items() if at <= now]
        for stream in expired:
            del self.entries[stream]


def make_origin_updates() -> gathering.UpdateBatcher[
    str, messages.StreamOrigin
]:
    """Return a batcher of origins, keyed by stream."""
    return gathering.UpdateBatcher(BATCH_DELAY_S)


class StreamOrigins:
    """The origins that one edge knows, and those that it asks for.

    Attributes:
        table: what the edge knows.
        updates: origins to be sent to the control instance.
        unknown: streams whose origin the control instance is asked for.
        learned: set when origins arrive, then replaced by a new event.
    """

    def __init__(self) -> None:
        self.table = OriginTable()
        self.updates = make_origin_updates()
        self.unknown: gathering.UpdateBatcher[str, str] = (
            gathering.UpdateBatcher(0)
        )
        self.learned = anyio.Event()

    def record(
        self, stream: str, origin: Origin, deadline_ms: int | None
    ) -> None:
        """Record the origin of a stream with its first event.

        Args:
            stream: the stream's key.
            origin: what began it.
            deadline_ms: how long the caller waits, or None.
        """
        ttl_ms = DEFAULT_TTL_MS if deadline_ms is None else deadline_ms
        ttl_ms = min(ttl_ms, MAX_TTL_MS) + TTL_MARGIN_MS
        item = messages.StreamOrigin(stream, *origin, ttl_ms)
        self.table.put(item, clock.now_ms())
        self.updates.put(stream, item)

    def apply(self, items: tuple[messages.StreamOrigin, ...]) -> None:
        """Store origins of which the control instance told."""
        now = clock.now_ms()
        for item in items:
            self.table.put(item, now)
        event, self.learned = self.learned, anyio.Event()
        event.set()

    def send_again(self) -> None:
        """Send all origins, as the control instance may lack some."""
        for item in self.table.items(clock.now_ms()):
            self.updates.put(item.stream, item)

    async def resolve(self, stream: str, wait_s: float) -> Origin | None:
        """Return the origin of a stream, or None if nobody knows it.

        Args:
            stream: the stream's key.
            wait_s: how long to wait for the control instance.
        """
        origin = self.table.find(stream, clock.now_ms())
        with anyio.move_on_after(wait_s):
            while origin is None:
                self.unknown.put(stream, stream)
                with anyio.move_on_after(ASK_AGAIN_S):
                    await self.learned.wait()
                origin = self.table.find(stream, clock.now_ms())
        return origin


__all__ = [
    "Origin",
    "OriginTable",
    "StreamOrigins",
    "make_origin_updates",
    "stream_key",
]
