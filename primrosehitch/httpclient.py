"""HTTP/1.1 connections to endpoints, kept open between requests.

The transport's protocol reads all the time: a kept connection that the
endpoint closes, or on which bytes come that nobody asked for, is dropped
before a request is sent on it. Answers are matched to requests by the
identifier that endpoints echo; one that belongs to another request is
passed over. Why not httpcore: docs/design/routed-services.md.
"""

import asyncio
from collections import deque
import enum
from typing import Any
from typing import NamedTuple

import anyio
import httptools

from primrosehitch import clock
from primrosehitch import errors
from primrosehitch import flowcontrol
from primrosehitch import httpserver
from primrosehitch import settings as settings_module

Header = tuple[bytes, bytes]

# A handshake between machines takes milliseconds; a SYN that was lost is
# sent again after one second, and another endpoint is there sooner.
CONNECT_MS = 350
# Bytes that an endpoint's machine has not acknowledged for this long
# are on a path that is cut.
UNACKNOWLEDGED_MS = 2500
# An endpoint announces its idle limit in whole seconds; a request must
# have arrived there before it ends.
IDLE_PART = 0.85
# Without an announced limit the endpoint's is taken to be short.
IDLE_UNKNOWN_MS = 2000
# Bytes of an answer kept while the caller reads slowly.
BUFFERED_BYTES = 64 * 1024
NO_BODY = frozenset((204, 304))


class EndpointError(errors.PrimrosehitchError):
    """An exchange with an endpoint failed.

    Args:
        sent: whether a byte of the request may have left.
        step: where in the exchange.
    """

    def __init__(self, text: str, step: str, peer: str, sent: bool):
        self.sent = sent
        super().__init__(text, step, peer)


class Head(NamedTuple):
    """Status and headers of an answer; header names in lower case.

    Attributes:
        length: bytes of the body where it was announced.
    """

    status: int
    headers: list[Header]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None where it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Ending(enum.Enum):
    """How an answer ended."""

    WHOLE = "whole"
    BROKEN = "broken"


class Matcher(NamedTuple):
    """How answers are matched to requests.

    Attributes:
        header: name of the header that endpoints echo, in lower case.
        value: the request's identifier, b"" where it has none.
    """

    header: bytes
    value: bytes


class EndpointConnection(flowcontrol.FlowControlMixin, asyncio.Protocol):
    """One connection; one request at a time.

    Args:
        address: the endpoint's.
    """

    def __init__(self, address: settings_module.Address):
        super().__init__()
        self.address = address
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.items: deque[Head | bytes | Ending] = deque()
        self.buffered = 0
        self.arrived: anyio.Event | None = None
        self.matcher = Matcher(b"", b"")
        self.awaiting = False
        self.in_body = False
        self.skipping = False
        self.reusable = True
        self.closed = False
        self.requests = 0
        self.idle_ms = IDLE_UNKNOWN_MS
        self.idle_since = 0
        self.head_only = False
        self.status = 0
        self.headers: list[Header] = []
        self.until_close = False

    # -- transport ---------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """Note the open connection."""
        self.transport = transport
        httpserver.set_socket_options(transport, UNACKNOWLEDGED_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer under way; without a length it may be whole."""
        self.closed = True
        self.reusable = False
        if self.awaiting:
            whole = exc is None and self.until_close and self.in_body
            self._end(Ending.WHOLE if whole else Ending.BROKEN)
        self.wake_writers()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the endpoint."""
        if not self.awaiting:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            if self.awaiting:
                self._end(Ending.BROKEN)
            self.abort()

    # -- parser ------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.headers = []
        self.skipping = not self.awaiting
        if self.skipping:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Look whose answer it is."""
        self.status = self.parser.get_status_code()
        if self.skipping or self.status < 200:
            self.skipping = True
            return
        head = Head(self.status, self.headers, _length(self.headers))
        if not self._is_ours(head):
            self.skipping = True
            self.reusable = False
            return
        self.in_body = True
        self.until_close = head.length is None and not _chunked(head)
        self._note_idle_limit(head)
        self._put(head)
        if self.head_only or self.status in NO_BODY:
            self.reusable = self.reusable and self.status in NO_BODY
            self.until_close = False
            self._end(Ending.WHOLE)

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        if self.skipping or not self.awaiting:
            return
        self.buffered += len(body)
        if self.buffered > BUFFERED_BYTES:
            self.transport.pause_reading()
        self._put(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.skipping:
            self.skipping = False
            return
        if self.awaiting:
            keep = self.parser.should_keep_alive()
            self.reusable = self.reusable and keep
            self._end(Ending.WHOLE)

    def _is_ours(self, head: Head) -> bool:
        if not self.matcher.value:
            return True
        echoed = head.header(self.matcher.header)
        if echoed is None:
            return head.status >= 400 or self.requests == 1
        return echoed == self.matcher.value

    def _note_idle_limit(self, head: Head) -> None:
        value = head.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                self.idle_ms = int(int(number) * 1000 * IDLE_PART)

    def _put(self, item: Head | bytes | Ending) -> None:
        self.items.append(item)
        if self.arrived is not None:
            self.arrived.set()

    def _end(self, ending: Ending) -> None:
        self.awaiting = False
        self.in_body = False
        self.idle_since = clock.now_ms()
        self._put(ending)

    # -- exchange ----------------------------------------------------------

    def send(
        self, head: bytes, body: bytes, matcher: Matcher, head_only: bool
    ) -> None:
        """Write a request; the answer's parts come from ``receive``."""
        self.requests += 1
        self.matcher = matcher
        self.head_only = head_only
        self.items.clear()
        self.buffered = 0
        self.awaiting = True
        self.in_body = False
        self.skipping = False
        self.transport.write(head + body if body else head)

    async def receive(self) -> Head | bytes | Ending:
        """Return the next part of the answer."""
        while not self.items:
            self.arrived = anyio.Event()
            await self.arrived.wait()
            self.arrived = None
        item = self.items.popleft()
        if isinstance(item, bytes):
            if self.buffered > BUFFERED_BYTES and not self.closed:
                self.transport.resume_reading()
            self.buffered -= len(item)
        return item

    @property
    def unsent(self) -> bool:
        """Whether a part of the request still waits to be written."""
        return self.writable_event is not None

    def fresh(self, now: int) -> bool:
        """Return whether a request may still be sent on it."""
        open_ = self.reusable and not self.closed
        return open_ and now - self.idle_since < self.idle_ms

    def abort(self) -> None:
        """Close at once, so that the endpoint stops work."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


async def connect(
    address: settings_module.Address, limit_ms: float
) -> EndpointConnection:
    """Open a connection.

    Args:
        address: the endpoint's.
        limit_ms: how long it may take.

    Raises:
        EndpointError: it did not open in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    limit_s = min(limit_ms, CONNECT_MS) / 1000
    try:
        with anyio.fail_after(limit_s):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(address),
                address.host,
                address.port,
            )
    except (OSError, TimeoutError) as exc:
        text = str(exc) or type(exc).__name__
        raise EndpointError(
            text, "endpoint.connect", str(address), False
        ) from exc
    return connection


class ConnectionPool:
    """The connections to one endpoint.

    Args:
        address: the endpoint's.
    """

    def __init__(self, address: settings_module.Address):
        self.address = address
        self.idle: list[EndpointConnection] = []

    def take_idle(self, now: int) -> EndpointConnection | None:
        """Return the connection used last, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.fresh(now):
                return connection
            connection.abort()
        return None

    async def acquire(self, now: int, limit_ms: float) -> EndpointConnection:
        """Return an open connection.

        Raises:
            EndpointError: none could be opened; nothing was sent.
        """
        connection = self.take_idle(now)
        if connection is None:
            connection = await connect(self.address, limit_ms)
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection whose answer was whole, or close it."""
        unread = bool(connection.items)
        if connection.awaiting or connection.unsent or unread:
            connection.abort()
        elif connection.reusable and not connection.closed:
            self.idle.append(connection)
        else:
            connection.abort()

    def sweep(self, now: int) -> None:
        """Close connections that were idle for too long."""
        kept = [c for c in self.idle if c.fresh(now)]
        for connection in self.idle:
            if not connection.fresh(now):
                connection.abort()
        self.idle = kept

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle = []


def _length(headers: list[Header]) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.strip().isdigit():
            return int(value)
    return None


def _chunked(head: Head) -> bool:
    coding = head.header(b"transfer-encoding") or b""
    return b"chunked" in coding.lower()


__all__ = [
    "ConnectionPool",
    "EndpointConnection",
    "EndpointError",
    "Ending",
    "Head",
    "Matcher",
    "connect",
]
