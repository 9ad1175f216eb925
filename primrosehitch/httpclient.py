"""HTTP/1.1 client connections to endpoints, pooled between requests.

The protocol reads all the time. An idle connection is therefore dropped
before the next request is sent on it if the endpoint has closed it or has
sent unexpected bytes. Responses are matched to requests by the identifier
that endpoints echo; a response to another request is discarded.
docs/design/routed-services.md says why this is not httpcore.
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

# A TCP handshake between machines takes milliseconds. A lost SYN is resent
# only after one second, and failing over to another endpoint is faster.
CONNECT_TIMEOUT_MS = 350
# TCP drops a connection whose endpoint has not acknowledged data for this
# long, as after a network partition.
TCP_USER_TIMEOUT_MS = 2500
# Share of the endpoint's announced idle timeout (Keep-Alive header, whole
# seconds) during which a connection is reused, so that a request arrives
# before the endpoint closes it.
IDLE_TIMEOUT_FRACTION = 0.85
# Idle timeout assumed of an endpoint that announces none; a short one is
# the safe assumption.
DEFAULT_IDLE_TIMEOUT_MS = 2000
# The most bytes of one read. All connections share one buffer, whose content
# is parsed before the next read; a process has one event loop.
READ_BYTES = 32 * 1024
# Reading pauses while more than this of a response, with its framing, waits
# for its reader.
MAX_BUFFERED_BYTES = 32 * 1024
# Idle connections kept to one endpoint, so that a burst of requests does not
# leave the process short of descriptors.
MAX_IDLE_CONNECTIONS = 24
# A longer idle timeout is taken for a malformed one.
MAX_TIMEOUT_DIGITS = 9
BODYLESS_STATUSES = frozenset((204, 304))
# Statuses of HTTP (RFC 9110, section 15), and those of interim responses.
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
# Bytes that are no body: heads, chunk framing, trailers and discarded
# messages. A response may have this many, and some for each byte of its
# body, because a chunk may hold a single one.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 16
# A process that ends closes its connections and its listening socket within
# this time of each other.
PROCESS_END_S = 0.01


_read_buffer = bytearray(READ_BYTES)
_read_view = memoryview(_read_buffer)


class EndpointError(errors.PrimrosehitchError):
    """An exchange with an endpoint failed.

    Args:
        text: what failed.
        step: the operation that failed, such as ``endpoint.connect``.
        peer: the endpoint's address.
        maybe_sent: whether any byte of the request may have been sent.
        is_refused: whether the address refused the connection, so that no
            process listens there.
    """

    def __init__(
        self,
        text: str,
        step: str,
        peer: str,
        maybe_sent: bool,
        is_refused: bool = False,
    ):
        self.maybe_sent = maybe_sent
        self.is_refused = is_refused
        super().__init__(text, step, peer)


class ResponseHead(NamedTuple):
    """Status line and headers of a response.

    Attributes:
        status: the HTTP status.
        headers: (name, value) pairs, names in lower case.
        length: the Content-Length in bytes, or None if there is none.
    """

    status: int
    headers: list[Header]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None if it is missing.

        Args:
            name: the header's name, in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class ResponseEnd(enum.Enum):
    """The end of a response: complete, or cut off or malformed."""

    COMPLETE = "whole"
    BROKEN = "broken"


class CorrelationId(NamedTuple):
    """The identifier by which a response is matched to its request.

    Attributes:
        header: the header in which endpoints echo it, in lower case.
        value: the request's identifier, or b"" to accept any response.
    """

    header: bytes
    value: bytes


class EndpointConnection(
    flowcontrol.FlowControlMixin, asyncio.BufferedProtocol
):
    """One connection to an endpoint, with one request at a time.

    Parts of a body that arrive before ``receive`` is called are joined, so
    that a body in small chunks costs neither a call nor an object for each
    of them.

    Args:
        address: the endpoint's address.

    Attributes:
        received_items: parts of the response that ``receive`` returns next.
        buffered_bytes: bytes read since ``receive`` last left none of them.
        reading_paused: whether reading pauses until then.
        item_available: set when a part arrives; None while none is awaited.
        response_pending: whether a request was sent and its response has
            not ended.
        in_body: whether the head of its response has arrived.
        discarding: whether the message being parsed is not the response to
            the request.
        reusable: whether a further request may be sent once this one ends.
        request_count: requests sent on this connection.
        idle_timeout_ms: how long the connection stays reusable when idle.
        ends_at_close: whether the response has neither a length nor chunks
            and so ends when the endpoint closes the connection.
        is_ambiguous: whether a response without an identifier arrived that
            may or may not be the current request's.
        overhead_allowance: bytes other than the body that may still arrive
            for the current request.
    """

    def __init__(self, address: settings_module.Address):
        super().__init__()
        self.address = address
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.received_items: deque[ResponseHead | bytearray | ResponseEnd] = (
            deque()
        )
        self.buffered_bytes = 0
        self.reading_paused = False
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
        self.is_ambiguous = False
        self.overhead_allowance = MAX_OVERHEAD_BYTES

    def connection_made(self, transport: Any) -> None:
        """Set the socket options of the new connection."""
        self.transport = transport
        httpserver.set_socket_options(transport, TCP_USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the pending response.

        It is complete if it ends at close and the endpoint closed cleanly.
        """
        self.closed = True
        self.reusable = False
        if self.response_pending:
            complete = exc is None and self.ends_at_close and self.in_body
            self._end_response(
                ResponseEnd.COMPLETE if complete else ResponseEnd.BROKEN
            )
        self.wake_writers()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feed received bytes to the parser; abort if unexpected."""
        if not self.response_pending:
            self.abort()
            return
        self.overhead_allowance -= nbytes
        try:
            self.parser.feed_data(_read_view[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break_off()
            return
        self.buffered_bytes += nbytes
        self._pause_if_full()
        is_acceptable = self.overhead_allowance >= 0 and not self.is_ambiguous
        if self.response_pending and not is_acceptable:
            self._break_off()

    def _pause_if_full(self) -> None:
        """Stop reading until the reader of the response has caught up."""
        if (
            self.received_items
            and self.buffered_bytes > MAX_BUFFERED_BYTES
            and not self.reading_paused
            and not self.transport.is_closing()
        ):
            self.reading_paused = True
            self.transport.pause_reading()

    def _record_all_taken(self) -> None:
        """Read on, as the reader of the response has caught up."""
        self.buffered_bytes = 0
        if self.reading_paused:
            self.reading_paused = False
            if not self.closed and not self.transport.is_closing():
                self.transport.resume_reading()

    def _break_off(self) -> None:
        """Abort the connection; the pending response is broken."""
        self.reusable = False
        if self.response_pending:
            self._end_response(ResponseEnd.BROKEN)
        self.abort()

    def on_message_begin(self) -> None:
        """Start a response (parser callback)."""
        self.headers = []
        self.discarding = not self.response_pending
        if self.discarding:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header (parser callback)."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass on the head if the response matches (parser callback).

        Raises:
            ValueError: the status is none of HTTP; the parser takes any
                three digits.
        """
        self.status = self.parser.get_status_code()
        if self.status not in STATUSES:
            raise ValueError(f"status {self.status:03}")
        if self.discarding or self.status in INTERIM_STATUSES:
            self.discarding = True
            return
        head = ResponseHead(
            self.status, self.headers, _content_length(self.headers)
        )
        if not self._matches_request(head):
            self.discarding = True
            self.reusable = False
            if head.header(self.correlation_id.header) is None:
                # Whose response it is cannot be told.
                self.is_ambiguous = True
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
        """Pass on a part of the body (parser callback)."""
        if self.discarding or not self.response_pending:
            return
        self.overhead_allowance += (1 + MAX_OVERHEAD_PER_BODY_BYTE) * len(body)
        last_item = self.received_items[-1] if self.received_items else None
        if isinstance(last_item, bytearray):
            last_item += body
        else:
            self._enqueue(bytearray(body))

    def on_message_complete(self) -> None:
        """End the response (parser callback)."""
        if self.discarding:
            self.discarding = False
            return
        if self.response_pending:
            keep_alive = self.parser.should_keep_alive()
            self.reusable = self.reusable and keep_alive
            self._end_response(ResponseEnd.COMPLETE)

    def _matches_request(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to the current request.

        Without an echoed identifier only the first response on the
        connection does, since it cannot be a late one.
        """
        if not self.correlation_id.value:
            return True
        echoed = head.header(self.correlation_id.header)
        if echoed is None:
            return self.request_count == 1
        return echoed == self.correlation_id.value

    def _read_keep_alive_timeout(self, head: ResponseHead) -> None:
        """Take the idle timeout from ``Keep-Alive: timeout=SECONDS``."""
        value = head.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            digits = number.strip()
            is_number = digits.isdigit() and len(digits) <= MAX_TIMEOUT_DIGITS
            if name.lower() == b"timeout" and is_number:
                self.idle_timeout_ms = int(
                    int(digits) * 1000 * IDLE_TIMEOUT_FRACTION
                )

    def _enqueue(self, item: ResponseHead | bytearray | ResponseEnd) -> None:
        self.received_items.append(item)
        if self.item_available is not None:
            self.item_available.set()

    def _end_response(self, ending: ResponseEnd) -> None:
        self.response_pending = False
        self.in_body = False
        self.idle_since_ms = clock.now_ms()
        self._enqueue(ending)

    def send(
        self,
        head: bytes,
        body: bytes,
        correlation_id: CorrelationId,
        is_head_request: bool,
    ) -> None:
        """Write a request; ``receive`` returns its response in parts.

        Args:
            head: the request line and headers.
            body: the whole body.
            correlation_id: matches the response to the request.
            is_head_request: whether the response has no body.
        """
        self.request_count += 1
        self.correlation_id = correlation_id
        self.is_head_request = is_head_request
        self.received_items.clear()
        self.buffered_bytes = 0
        self.response_pending = True
        self.in_body = False
        self.discarding = False
        self.overhead_allowance = MAX_OVERHEAD_BYTES
        self.transport.write(head + body if body else head)

    async def receive(self) -> ResponseHead | bytes | ResponseEnd:
        """Return the next part of the response.

        Returns:
            The head, then parts of the body, then how the response ended. A
            part holds all bytes of the body that have arrived so far.
        """
        while not self.received_items:
            self.item_available = anyio.Event()
            await self.item_available.wait()
            self.item_available = None
        item = self.received_items.popleft()
        if not self.received_items:
            self._record_all_taken()
        return bytes(item) if isinstance(item, bytearray) else item

    @property
    def has_unsent_data(self) -> bool:
        """Whether writing is paused with some of the request unsent."""
        return self.writable_event is not None

    def can_reuse(self, now: int) -> bool:
        """Return whether a request may be sent on this connection.

        Args:
            now: the current time in ms.
        """
        open_ = self.reusable and not self.closed
        return open_ and now - self.idle_since_ms < self.idle_timeout_ms

    def abort(self) -> None:
        """Close at once, so that the endpoint stops working."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


async def connect(
    address: settings_module.Address, timeout_ms: float
) -> EndpointConnection:
    """Open a connection to an endpoint.

    Args:
        address: the endpoint's address.
        timeout_ms: upper limit besides ``CONNECT_TIMEOUT_MS``.

    Raises:
        EndpointError: the connection failed or timed out; nothing was
            sent.
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
    # A host that no resolver takes raises a ValueError.
    except (OSError, TimeoutError, ValueError) as exc:
        text = str(exc) or type(exc).__name__
        raise EndpointError(
            text,
            "endpoint.connect",
            str(address),
            maybe_sent=False,
            is_refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    return connection


class ConnectionPool:
    """Pool of connections to one endpoint.

    Args:
        address: the endpoint's address.

    Attributes:
        idle: idle connections, the most recently used last.
    """

    def __init__(self, address: settings_module.Address):
        self.address = address
        self.idle: list[EndpointConnection] = []

    def take_idle(self, now: int) -> EndpointConnection | None:
        """Remove and return the most recently used connection, if any.

        Args:
            now: the current time in ms.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.can_reuse(now):
                return connection
            connection.abort()
        return None

    async def acquire(self, now: int, timeout_ms: float) -> EndpointConnection:
        """Return an idle connection, or open a new one.

        Args:
            now: the current time in ms.
            timeout_ms: limit on opening a connection.

        Raises:
            EndpointError: no connection could be opened; nothing was sent.
        """
        connection = self.take_idle(now)
        if connection is None:
            connection = await connect(self.address, timeout_ms)
        return connection

    async def open(self, now: int) -> EndpointConnection:
        """Open a new connection, which may be kept for later requests.

        Args:
            now: the current time in ms.

        Raises:
            EndpointError: no connection could be opened.
        """
        connection = await connect(self.address, CONNECT_TIMEOUT_MS)
        connection.idle_since_ms = now
        return connection

    async def is_process_running(self) -> bool:
        """Return whether the endpoint accepts connections.

        After a response that ended with its connection, this tells whether
        the endpoint ended it, or the kernel as the process ended. The pool
        keeps a connection that is opened for this.
        """
        await anyio.sleep(PROCESS_END_S)
        now = clock.now_ms()
        try:
            connection = self.take_idle(now) or await self.open(now)
        except EndpointError:
            return False
        self.release(connection)
        return True

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool, or close it.

        It is kept only if it is reusable, the caller has read the whole
        response, and few enough are kept.
        """
        unread = bool(connection.received_items)
        if connection.response_pending or connection.has_unsent_data or unread:
            connection.abort()
        elif (
            connection.reusable
            and not connection.closed
            and len(self.idle) < MAX_IDLE_CONNECTIONS
        ):
            self.idle.append(connection)
        else:
            connection.abort()

    def close_expired(self, now: int) -> None:
        """Close connections that have been idle for too long.

        Args:
            now: the current time in ms.
        """
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
