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
CONNECT_TIMEOUT_MS = 350
# Bytes that an endpoint's machine has not acknowledged for this long
# are on a path that is cut.
TCP_USER_TIMEOUT_MS = 2500
# An endpoint announces its idle limit in whole seconds; a request must
# have arrived there before it ends.
IDLE_TIMEOUT_FRACTION = 0.85
# Without an announced limit the endpoint's is taken to be short.
DEFAULT_IDLE_TIMEOUT_MS = 2000
# Bytes of an answer kept while the caller reads slowly.
MAX_BUFFERED_BYTES = 64 * 1024
BODYLESS_STATUSES = frozenset((204, 304))


class EndpointError(errors.PrimrosehitchError):
    """An exchange with an endpoint failed.

    Args:
        sent: whether a byte of the request may have left.
        step: where in the exchange.
    """

    def __init__(self, text: str, step: str, peer: str, maybe_sent: bool):
        self.maybe_sent = maybe_sent
        super().__init__(text, step, peer)


class ResponseHead(NamedTuple):
    """Status and headers of an answer; header names in lower case.

    Attributes:
        length: bytes of the body where it was announced.
    """

    status: int
    headers: list[Header]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None where it is missing."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class ResponseEnd(enum.Enum):
    """How an answer ended."""

    COMPLETE = "whole"
    BROKEN = "broken"


class CorrelationId(NamedTuple):
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
        self.received_items: deque[ResponseHead | bytes | ResponseEnd] = (
            deque()
        )
        self.buffered_bytes = 0
        self.item_available: anyio.Event | None = None
        self.correlation_id = CorrelationId(b"", b"")
        self.response_pending = False
        self.in_body = False
        self.discarding = False
        self.reusable = True
        self.closed = False
        self.request_count = 0
        self.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
        self.idle_since_ms = 0
        self.is_head_request = False
        self.status = 0
        self.headers: list[Header] = []
        self.ends_at_close = False

    # -- transport ---------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """Note the open connection."""
        self.transport = transport
        httpserver.set_socket_options(transport, TCP_USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer under way; without a length it may be whole."""
        self.closed = True
        self.reusable = False
        if self.response_pending:
            complete = exc is None and self.ends_at_close and self.in_body
            self._end_response(
                ResponseEnd.COMPLETE if complete else ResponseEnd.BROKEN
            )
        self.wake_writers()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the endpoint."""
        if not self.response_pending:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            if self.response_pending:
                self._end_response(ResponseEnd.BROKEN)
            self.abort()

    # -- parser ------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.headers = []
        self.discarding = not self.response_pending
        if self.discarding:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Look whose answer it is."""
        self.status = self.parser.get_status_code()
        if self.discarding or self.status < 200:
            self.discarding = True
            return
        head = ResponseHead(
            self.status, self.headers, _content_length(self.headers)
        )
        if not self._matches_request(head):
            self.discarding = True
            self.reusable = False
            return
        self.in_body = True
        self.ends_at_close = head.length is None and not _is_chunked(head)
        self._read_keep_alive_timeout(head)
        self._enqueue(head)
        if self.is_head_request or self.status in BODYLESS_STATUSES:
            self.reusable = self.reusable and self.status in BODYLESS_STATUSES
            self.ends_at_close = False
            self._end_response(ResponseEnd.COMPLETE)

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        if self.discarding or not self.response_pending:
            return
        self.buffered_bytes += len(body)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        self._enqueue(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.discarding:
            self.discarding = False
            return
        if self.response_pending:
            keep_alive = self.parser.should_keep_alive()
            self.reusable = self.reusable and keep_alive
            self._end_response(ResponseEnd.COMPLETE)

    def _matches_request(self, head: ResponseHead) -> bool:
        if not self.correlation_id.value:
            return True
        echoed = head.header(self.correlation_id.header)
        if echoed is None:
            return head.status >= 400 or self.request_count == 1
        return echoed == self.correlation_id.value

    def _read_keep_alive_timeout(self, head: ResponseHead) -> None:
        value = head.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                self.idle_timeout_ms = int(
                    int(number) * 1000 * IDLE_TIMEOUT_FRACTION
                )

    def _enqueue(self, item: ResponseHead | bytes | ResponseEnd) -> None:
        self.received_items.append(item)
        if self.item_available is not None:
            self.item_available.set()

    def _end_response(self, ending: ResponseEnd) -> None:
        self.response_pending = False
        self.in_body = False
        self.idle_since_ms = clock.now_ms()
        self._enqueue(ending)

    # -- exchange ----------------------------------------------------------

    def send(
        self,
        head: bytes,
        body: bytes,
        correlation_id: CorrelationId,
        is_head_request: bool,
    ) -> None:
        """Write a request; the answer's parts come from ``receive``."""
        self.request_count += 1
        self.correlation_id = correlation_id
        self.is_head_request = is_head_request
        self.received_items.clear()
        self.buffered_bytes = 0
        self.response_pending = True
        self.in_body = False
        self.discarding = False
        self.transport.write(head + body if body else head)

    async def receive(self) -> ResponseHead | bytes | ResponseEnd:
        """Return the next part of the answer."""
        while not self.received_items:
            self.item_available = anyio.Event()
            await self.item_available.wait()
            self.item_available = None
        item = self.received_items.popleft()
        if isinstance(item, bytes):
            if self.buffered_bytes > MAX_BUFFERED_BYTES and not self.closed:
                self.transport.resume_reading()
            self.buffered_bytes -= len(item)
        return item

    @property
    def has_unsent_data(self) -> bool:
        """Whether a part of the request still waits to be written."""
        return self.writable_event is not None

    def can_reuse(self, now: int) -> bool:
        """Return whether a request may still be sent on it."""
        open_ = self.reusable and not self.closed
        return open_ and now - self.idle_since_ms < self.idle_timeout_ms

    def abort(self) -> None:
        """Close at once, so that the endpoint stops work."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


async def connect(
    address: settings_module.Address, timeout_ms: float
) -> EndpointConnection:
    """Open a connection.

    Args:
        address: the endpoint's.
        limit_ms: how long it may take.

    Raises:
        EndpointError: it did not open in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    timeout_s = min(timeout_ms, CONNECT_TIMEOUT_MS) / 1000
    try:
        with anyio.fail_after(timeout_s):
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
            if connection.can_reuse(now):
                return connection
            connection.abort()
        return None

    async def acquire(self, now: int, timeout_ms: float) -> EndpointConnection:
        """Return an open connection.

        Raises:
            EndpointError: none could be opened; nothing was sent.
        """
        connection = self.take_idle(now)
        if connection is None:
            connection = await connect(self.address, timeout_ms)
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection whose answer was whole, or close it."""
        unread = bool(connection.received_items)
        if connection.response_pending or connection.has_unsent_data or unread:
            connection.abort()
        elif connection.reusable and not connection.closed:
            self.idle.append(connection)
        else:
            connection.abort()

    def close_expired(self, now: int) -> None:
        """Close connections that were idle for too long."""
        kept = [c for c in self.idle if c.can_reuse(now)]
        for connection in self.idle:
            if not connection.can_reuse(now):
                connection.abort()
        self.idle = kept

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle = []


def _content_length(headers: list[Header]) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.strip().isdigit():
            return int(value)
    return None


def _is_chunked(head: ResponseHead) -> bool:
    coding = head.header(b"transfer-encoding") or b""
    return b"chunked" in coding.lower()


__all__ = [
    "ConnectionPool",
    "EndpointConnection",
    "EndpointError",
    "ResponseEnd",
    "ResponseHead",
    "CorrelationId",
    "connect",
]
