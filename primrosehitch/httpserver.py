"""HTTP/1.1 server whose limits can be changed while it runs.

Requests are parsed with httptools. The protocol keeps reading while a
request is handled, so that a caller's disconnect cancels the handler at
once. The requests of one connection are handled one after the other, each
in its own task. docs/design/routed-services.md says why this is not
uvicorn.

A request that was sent ahead is not parsed before the response to the one
before it is written. Until then its bytes wait in a backlog; a connection
with a full backlog is not read. docs/design/uncontrolled-clients.md says how
the memory of all connections is bounded.
"""

import asyncio
from collections import deque
import hashlib
import http
import socket
import struct
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import NamedTuple

import anyio
import anyio.abc
import httptools

from primrosehitch import clock
from primrosehitch import connectionmemory
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import flowcontrol
from primrosehitch import linelimit
from primrosehitch import listening
from primrosehitch import metrics
from primrosehitch import requestsplit
from primrosehitch import routes
from primrosehitch import settings as settings_module

Header = tuple[bytes, bytes]

# The most bytes of one read.
READ_BYTES = 65_536
# A connection whose backlog consists of more reads than this is not read.
MAX_BACKLOG_READS = 16
# Bodies up to this size are not counted as held, which would cost each
# request more processor time than a small body is worth.
MAX_UNCOUNTED_BODY_BYTES = 4096
# What a header costs beside its bytes; a head of 16 kB may have 3000. Heads
# with this many headers at most are not counted once they are complete.
HEADER_COST_BYTES = 150
MAX_UNCOUNTED_HEADERS = 64
# What may be buffered of an endpoint's response that its caller does not
# read, in the connection to the endpoint.
ENDPOINT_BUFFER_BYTES = 65_536
# How long input is read and discarded after a final response, so that the
# caller receives the response before the connection closes.
LINGERING_CLOSE_MS = 1000
# How long a connection beyond the callers' share may be idle.
EXCESS_IDLE_MS = 1000
TIMEOUT_CHECK_INTERVAL_MS = 500
# Closed connections are logged at most this often.
CLOSED_REPORT_PERIOD_MS = 1000
# Bodies that are too large are logged at most this often.
REFUSED_REPORT_PERIOD_MS = 1000
MAX_LOGGED_TARGET = 200
BODY_HASH_BYTES = 16
# Bytes of chunk framing that a byte of a request body may cost.
MAX_FRAMING_PER_BODY_BYTE = 16
LISTEN_BACKLOG = 1024
# How often a server that stops checks whether it is idle.
STOP_POLL_S = 0.02
# TCP drops a connection whose peer has not acknowledged data for this long.
TCP_USER_TIMEOUT_MS = 10_000
# Value of SO_LINGER with which a close discards unsent data and resets.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerGoneError(errors.PrimrosehitchError):
    """The caller disconnected before the response was complete."""


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: the method, in upper case.
        target: path and query as sent.
        headers: (name, value) pairs in the order sent, names in lower
            case.
        body: the whole body, without chunk framing.
        started_ms: when its first byte arrived, by ``clock.now_ms``.
        body_hash: the BLAKE2b hash of the body.
    """

    method: str
    target: bytes
    headers: list[Header]
    body: bytes
    started_ms: int
    body_hash: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str:
        """Return a header's value, or "" if it is missing.

        Args:
            name: the header's name, in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1").strip()
        return ""


class Responder:
    """Writes the response to one request.

    Args:
        connection: the connection the request arrived on.
        keep_alive: whether the connection stays open for further requests.

    Attributes:
        head_sent: whether the head of the response was written.
        finished: whether the whole response was written.
        chunked: whether the body is sent in chunks.
    """

    def __init__(self, connection: "Connection", keep_alive: bool):
        self.connection = connection
        self.keep_alive = keep_alive
        self.head_sent = False
        self.finished = False
        self.chunked = False

    def send_head(
        self, status: int, headers: list[Header], length: int | None
    ) -> None:
        """Write the status line and the headers.

        Args:
            status: the HTTP status.
            headers: the headers other than Connection, Content-Length and
                Transfer-Encoding, which are added here.
            length: size of the body in bytes, or None to send it in chunks.
        """
        self.head_sent = True
        self.chunked = length is None
        if self.connection.server.draining:
            self.keep_alive = False
        lines = [_status_line(status)]
        lines += [b"%s: %s\r\n" % header for header in headers]
        if length is None:
            lines.append(b"transfer-encoding: chunked\r\n")
        else:
            lines.append(b"content-length: %d\r\n" % length)
        if not self.keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        self.connection.write(b"".join(lines))

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the transport drains.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        if not data:
            return
        if self.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.connection.write(data)
        await self.connection.drain()

    def finish(self) -> None:
        """Mark the response as complete, with the last chunk if chunked."""
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def respond(
        self, status: int, headers: list[Header], body: bytes = b""
    ) -> None:
        """Write a complete response.

        Args:
            status: the HTTP status.
            headers: the headers, as for ``send_head``.
            body: the whole body.
        """
        self.send_head(status, headers, len(body))
        self.connection.write(body)
        self.finish()

    def hold(self, size: int) -> None:
        """Count bytes that are buffered for the response until it ends.

        Args:
            size: the bytes that were added.
        """
        self.connection.hold_for_response(size)

    def abort(self) -> None:
        """Reset the connection, so that the response is incomplete."""
        self.connection.reset()


class Backlogged(NamedTuple):
    """Bytes of one read that wait to be parsed.

    Attributes:
        data: the bytes.
        start: how many of them were parsed.
        read_ms: when they were read, by ``clock.now_ms``.
    """

    data: bytes
    start: int
    read_ms: int


Handler = Callable[[Request, Responder], Awaitable[None]]
# Returns the largest body in bytes of a request with a method and a target.
BodyLimit = Callable[[str, bytes], int]


class Connection(flowcontrol.FlowControlMixin, asyncio.BufferedProtocol):
    """One caller's connection.

    Args:
        server: the server that accepted it.

    Attributes:
        splitter: finds the ends of requests in received bytes.
        pending_requests: complete requests that wait for their turn, each
            with whether the connection persists after it.
        backlog: received bytes that wait to be parsed, by read.
        backlog_bytes: the size of the backlog.
        reading_paused: whether the connection is not read since its backlog
            is full.
        busy: whether a request is being handled.
        discarding_input: whether a final response was sent and further
            input is ignored.
        is_excess: whether callers may not have so many connections; it
            closes after one request.
        handler_scope: cancels the handler of the current request.
        last_activity_ms: when the connection was last active, for the
            idle, body and lingering-close timeouts.
        started_ms: when the first byte of the request being parsed
            arrived, or -1.
        head_began_ms: since when the head of that request is parsed, for
            the header timeout.
        in_body: whether the head of that request is complete.
        max_body_bytes: the largest body that it may have.
        read_ms: when the bytes being parsed were read.
        parse_ms: since when they are parsed.
        held_bytes: the bytes that the connection holds in the process and
            in the kernel, as counted by the server's ``memory``.
        is_counted: whether changes of that number are counted.
        head_held: those of a head that is not complete.
        fed_bytes: how many bytes the parser is fed at present.
        response_bytes: those of an endpoint's response that is buffered.
        unread_bytes: those of a response that the caller does not read.
        outstanding_bytes: sent or buffered bytes that the caller had not
            acknowledged at the last check, while writing is paused.
        read_progress_ms: when that number last changed.
    """

    def __init__(self, server: "Server"):
        super().__init__()
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.splitter = requestsplit.RequestSplitter()
        self.transport: Any = None
        self.pending_requests: deque[tuple[Request, bool]] = deque()
        self.backlog: deque[Backlogged] = deque()
        self.backlog_bytes = 0
        self.reading_paused = False
        self.busy = False
        self.closed = False
        self.discarding_input = False
        self.is_excess = False
        self.handler_scope: anyio.CancelScope | None = None
        self.last_activity_ms = clock.now_ms()
        self.read_ms = self.parse_ms = self.last_activity_ms
        self.head_began_ms = self.last_activity_ms
        self.held_bytes = 0
        self.is_counted = True
        self.head_held = 0
        self.fed_bytes = 0
        self.response_bytes = 0
        self.unread_bytes = 0
        self.outstanding_bytes = 0
        self.read_progress_ms = 0
        self.reset_request()

    def reset_request(self) -> None:
        """Clear the state of the request being parsed."""
        self.target = b""
        self.headers: list[Header] = []
        self.body_parts: list[bytes] = []
        self.body_hasher = hashlib.blake2b(digest_size=BODY_HASH_BYTES)
        self.head_bytes = 0
        self.body_bytes = 0
        self.max_body_bytes = 0
        self.unparsed_bytes = 0
        self.started_ms = -1
        self.in_body = False

    def connection_made(self, transport: Any) -> None:
        """Register the connection with the server."""
        self.transport = transport
        set_socket_options(transport, TCP_USER_TIMEOUT_MS)
        transport.set_write_buffer_limits(
            self.server.memory.bounds.write_buffer_bytes
        )
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self.is_excess = listening.exceeds_share(
                sock.fileno(), listening.CALLER_DESCRIPTOR_SHARE
            )
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request's handler and wake its writer."""
        if isinstance(exc, TimeoutError) and self.unread_bytes:
            # The kernel's time limit has ended first.
            self.server.report_unread()
        self.closed = True
        self.server.connections.discard(self)
        self._discard_input()
        self._release_all()
        if self.handler_scope is not None:
            self.handler_scope.cancel()
        self.wake_writers()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections share.

        Its content is parsed or copied before the next read.
        """
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, or keep them until they may be parsed."""
        if self.discarding_input:
            return
        self.read_ms = self.parse_ms = clock.now_ms()
        server = self.server
        fed = 0
        if self._may_parse and not self.backlog:
            fed = self._parse_requests(
                server.read_buffer, server.read_view, 0, nbytes
            )
        if fed < nbytes and not self.discarding_input:
            self._add_backlog(bytes(server.read_view[fed:nbytes]))
        if server.memory.is_exceeded:
            server.close_for_memory()

    @property
    def _may_parse(self) -> bool:
        """Whether the next request may be parsed now.

        It may once the response to the one before is written, and little of
        that is left in the write buffer.
        """
        return not (
            self.busy
            or self.pending_requests
            or self.discarding_input
            or self.writable_event is not None
        )

    def _parse_requests(
        self, data: bytes | bytearray, view: memoryview, start: int, end: int
    ) -> int:
        """Feed the parser until a request is complete, at least once.

        Args:
            data: received bytes.
            view: the same bytes.
            start: the first byte that was not fed yet.
            end: the end of the received bytes.

        Returns:
            Up to where the parser was fed.
        """
        splitter = self.splitter
        while True:
            if self.in_body and not splitter.in_body:
                splitter.begin_body(self.headers)
            stop = splitter.next_end(data, start, end)
            self._feed(view[start:stop])
            start = stop
            if start == end:
                if self.started_ms >= 0 and not self.in_body:
                    self._hold_partial_head()
                return start
            if not self._may_parse:
                return start

    def _add_backlog(self, data: bytes) -> None:
        """Keep bytes of requests that were sent ahead."""
        self.backlog.append(Backlogged(data, 0, self.read_ms))
        self.backlog_bytes += len(data)
        self._hold(len(data))
        if not self.reading_paused and (
            self.backlog_bytes > self.server.memory.bounds.backlog_bytes
            or len(self.backlog) > MAX_BACKLOG_READS
        ):
            self.reading_paused = True
            self._hold(self.server.kernel_buffer_bytes)
            self.transport.pause_reading()

    def _parse_backlog(self) -> None:
        """Parse the backlog up to the end of a request, then read on."""
        while self.backlog and self._may_parse:
            data, start, self.read_ms = self.backlog[0]
            self.parse_ms = clock.now_ms()
            fed = self._parse_requests(
                data, memoryview(data), start, len(data)
            )
            if self.discarding_input:
                return
            self.backlog_bytes -= fed - start
            self._hold(start - fed)
            if fed < len(data):
                self.backlog[0] = Backlogged(data, fed, self.read_ms)
            else:
                self.backlog.popleft()
        if not self.backlog:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self.reading_paused and not self.server.reading_stopped:
            self.reading_paused = False
            self._hold(-self.server.kernel_buffer_bytes)
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _discard_input(self) -> None:
        """Drop all input that no handler was started for."""
        self.discarding_input = True
        dropped = self.backlog_bytes + _counted_bytes(self.body_bytes)
        dropped += self.head_held
        if self.in_body:
            dropped += _counted_header_bytes(self.headers)
        for request, _ in self.pending_requests:
            dropped += _counted_bytes(len(request.body))
            dropped += _counted_header_bytes(request.headers)
        self.head_held = 0
        self.backlog.clear()
        self.backlog_bytes = 0
        self.pending_requests.clear()
        self.reset_request()
        self._hold(-dropped)

    def _hold_partial_head(self) -> None:
        """Count the part of a head that was received."""
        size = self.unparsed_bytes + HEADER_COST_BYTES * len(self.headers)
        self._hold(size - self.head_held)
        self.head_held = size

    def _hold(self, size: int) -> None:
        """Count bytes that the connection holds from now on, or less."""
        if size and self.is_counted:
            self.server.memory.change(self, size)

    def _release_all(self) -> None:
        """Count nothing for the connection any more."""
        self._hold(-self.held_bytes)
        self.is_counted = False

    def hold_for_response(self, size: int) -> None:
        """Count bytes that are buffered until the handler ends.

        Args:
            size: the bytes that were added.
        """
        self.response_bytes += size
        self._hold(size)
        if self.server.memory.is_exceeded:
            self.server.close_for_memory()

    @property
    def phase(self) -> connectionmemory.Phase:
        """What the connection is doing, for the order of closing."""
        is_unread = self.writable_event is not None
        if self.busy:
            if is_unread:
                return connectionmemory.Phase.SERVED_UNREAD
            return connectionmemory.Phase.SERVED
        if is_unread:
            return connectionmemory.Phase.UNREAD
        return connectionmemory.Phase.RECEIVING

    @property
    def progress_ms(self) -> int:
        """When the caller last sent or read something that is awaited."""
        if self.writable_event is not None:
            return self.read_progress_ms
        return self.last_activity_ms

    def _feed(self, data: memoryview) -> None:
        """Feed bytes that hold at most the end of one request."""
        if self.started_ms < 0:
            self.started_ms = self.read_ms
            self.head_began_ms = self.parse_ms
        self.fed_bytes = len(data)
        self.unparsed_bytes += self.fed_bytes
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            if not self.discarding_input:
                self.refuse(400, f"malformed HTTP request: {exc}")
        else:
            self._check_unparsed_bytes()
        if self.discarding_input:
            # The parser has gone on after the refusal.
            self.reset_request()

    def _parse(self, data: bytes | memoryview) -> None:
        """Feed the parser; ignore requests to change the protocol.

        A server may ignore them (RFC 9110, 7.8). The parser takes the head
        of such a request for all of it, so the request is parsed again
        without the header that asks.

        Raises:
            HttpParserError: the input is malformed.
        """
        while not self.discarding_input:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                rest = bytes(data[exc.args[0] :])
                data = self._head_without_upgrade() + rest
                self.parser = httptools.HttpRequestParser(self)
                continue
            return

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the request being parsed, to parse it again."""
        lines = [
            b"%s %s HTTP/%s\r\n"
            % (
                self.parser.get_method(),
                self.target,
                self.parser.get_http_version().encode(),
            )
        ]
        lines += [
            b"%s: %s\r\n" % header
            for header in self.headers
            if header[0] != b"upgrade"
        ]
        return b"".join(lines) + b"\r\n"

    def _check_unparsed_bytes(self) -> None:
        """Refuse a header or trailer whose end does not come.

        The parser keeps such a one to itself until it is complete.
        """
        if self.started_ms < 0:
            return
        excess = self.unparsed_bytes - self.head_bytes
        excess -= (1 + MAX_FRAMING_PER_BODY_BYTE) * self.body_bytes
        if (
            not self.discarding_input
            and excess > self.server.limits.header_bytes
        ):
            self.refuse(431, "request header or trailer too large")

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self.reset_request()
        # The message began with the bytes that are fed at present.
        self.unparsed_bytes = self.fed_bytes
        self.started_ms = self.read_ms
        self.head_began_ms = self.parse_ms

    def on_url(self, url: bytes) -> None:
        """Append a part of the target (parser callback)."""
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header (parser callback)."""
        self.headers.append((name.lower(), value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes:
            self.refuse(431, "request headers too large")

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue`` (parser callback).

        A body whose announced length is over the limit is not read.
        """
        if self.parser.get_method() == b"CONNECT":
            self.refuse(400, "CONNECT is not supported")
        if self.parser.should_upgrade() or self.discarding_input:
            return
        self.max_body_bytes = self.server.max_body_bytes(
            self.parser.get_method().decode("latin-1"), self.target
        )
        self.in_body = True
        self.last_activity_ms = clock.now_ms()
        held = _counted_header_bytes(self.headers) - self.head_held
        if held:
            self._hold(held)
            self.head_held = 0
        if requestsplit.announced_length(self.headers) > self.max_body_bytes:
            self._refuse_body()
            return
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (parser callback)."""
        if self.discarding_input:
            return
        self.splitter.record_body(len(body))
        self.body_parts.append(body)
        self.body_hasher.update(body)
        counted = _counted_bytes(self.body_bytes)
        self.body_bytes += len(body)
        self._hold(_counted_bytes(self.body_bytes) - counted)
        self.last_activity_ms = clock.now_ms()
        if self.body_bytes > self.max_body_bytes:
            self._refuse_body()

    def _refuse_body(self) -> None:
        limit = self.max_body_bytes
        self.server.report_refused_body(self.target, limit)
        self.refuse(413, f"request body larger than {limit} bytes")

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        if self.discarding_input or self.parser.should_upgrade():
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.target,
            self.headers,
            b"".join(self.body_parts),
            self.started_ms,
            self.body_hasher.digest(),
        )
        self.reset_request()
        self.splitter.end_message()
        is_persistent = self.parser.should_keep_alive()
        self.pending_requests.append((request, is_persistent))
        self._serve_next()

    def _serve_next(self) -> None:
        """Start handling the next pending request, if none is handled."""
        if self.busy or self.closed or not self.pending_requests:
            return
        request, is_persistent = self.pending_requests.popleft()
        self.busy = True
        self.server.active_requests += 1
        self.server.task_group.start_soon(self._serve, request, is_persistent)

    async def _serve(self, request: Request, is_persistent: bool) -> None:
        """Run the handler of one request, then close or serve the next."""
        responder = Responder(self, is_persistent and not self.is_excess)
        try:
            with anyio.CancelScope() as handler_scope:
                self.handler_scope = handler_scope
                if not self.closed:
                    await self.server.handler(request, responder)
        except CallerGoneError:
            self.closed = True
        except Exception as exc:
            # A failed handler must not stop the server; only its
            # connection is aborted.
            events.emit(events.TASK_FAILED, task="serve", error=repr(exc))
        finally:
            self.handler_scope = None
            self.busy = False
            self.server.active_requests -= 1
            self.last_activity_ms = clock.now_ms()
            held = _counted_bytes(len(request.body)) + self.response_bytes
            held += _counted_header_bytes(request.headers)
            self._hold(-held)
            self.response_bytes = 0
        if responder.head_sent and not responder.finished:
            responder.abort()
        elif self.closed or not responder.finished:
            self.abort()
        elif not responder.keep_alive:
            self.close()
        else:
            self._go_on()

    def _go_on(self) -> None:
        """Serve the next request that was sent ahead, if it may be."""
        if self.writable_event is not None:
            # ``resume_writing`` goes on.
            return
        if self.pending_requests:
            self._serve_next()
        if self.backlog:
            self._parse_backlog()

    def write(self, data: bytes) -> None:
        """Write bytes to the transport without waiting."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.writable_event is not None:
                self._count_unread()

    def pause_writing(self) -> None:
        """Pause writers; called when the write buffer is full."""
        super().pause_writing()
        self.read_progress_ms = clock.now_ms()
        self.outstanding_bytes = 0
        self._count_unread()

    def resume_writing(self) -> None:
        """Resume writers; called when the write buffer has drained."""
        super().resume_writing()
        self._count_unread()
        if not self.busy:
            self.last_activity_ms = clock.now_ms()
            self._go_on()

    def _count_unread(self) -> None:
        """Count what is held of a response that the caller does not read."""
        unread = 0
        if self.writable_event is not None and self.transport is not None:
            unread = self.transport.get_write_buffer_size()
            unread += self.server.kernel_buffer_bytes
            if self.busy:
                unread += ENDPOINT_BUFFER_BYTES
        self._hold(unread - self.unread_bytes)
        self.unread_bytes = unread
        if self.server.memory.is_exceeded:
            # The transport may be in the middle of a write.
            asyncio.get_running_loop().call_soon(self.server.close_for_memory)

    async def drain(self) -> None:
        """Wait until the transport's write buffer has drained.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        await self.wait_until_writable()
        if self.closed:
            raise CallerGoneError(
                "caller closed the connection", "server.write"
            )

    def refuse(self, status: int, text: str) -> None:
        """Send a plain-text error response, then close the connection.

        Args:
            status: the HTTP status.
            text: the body of the response.
        """
        if self.discarding_input:
            return
        self._discard_input()
        body = text.encode()
        self.write(
            _status_line(status)
            + b"content-type: text/plain\r\nconnection: close\r\n"
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.close()

    def close(self) -> None:
        """Close once the response is written, with a lingering close.

        Input is read and discarded for ``LINGERING_CLOSE_MS``: closing a
        socket with unread input sends a reset, which can make the caller
        lose the response.
        """
        self._discard_input()
        if self.transport is None or self.transport.is_closing():
            return
        self._resume_reading()
        self.last_activity_ms = clock.now_ms()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, without flushing output."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close the connection at once, with a TCP reset.

        Not every caller knows the end of a response without it: some read
        until the connection is closed.
        """
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self.abort()

    def stop_reading(self) -> None:
        """Read no further input, for the rest of the process's life."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    @property
    def has_unsent_data(self) -> bool:
        """Whether the transport still buffers some of a response."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.transport.get_write_buffer_size() > 0

    def enforce_timeouts(self, now: int) -> None:
        """Enforce the timeouts of a connection that handles no request.

        Args:
            now: the current time in ms.
        """
        limits = self.server.limits
        if self.writable_event is not None:
            self._enforce_reading(now)
        elif self.discarding_input:
            if now - self.last_activity_ms > LINGERING_CLOSE_MS:
                self.abort()
        elif self.busy:
            return
        elif self.started_ms >= 0 and not self.in_body:
            if now - self.head_began_ms > limits.header_timeout_ms:
                self.refuse(408, "timed out reading the request headers")
        elif now - self.last_activity_ms > self._idle_timeout_ms():
            if self.in_body:
                self.refuse(408, "timed out reading the request body")
            else:
                self.close()

    def _enforce_reading(self, now: int) -> None:
        """Abort the connection if the caller has read nothing for long."""
        outstanding = flowcontrol.outstanding_bytes(self.transport)
        if outstanding != self.outstanding_bytes:
            self.outstanding_bytes = outstanding
            self.read_progress_ms = now
        bounds = self.server.memory.bounds
        if now - self.read_progress_ms > bounds.unread_timeout_ms:
            self.server.report_unread()
            self.abort()

    def close_for_memory(self) -> None:
        """Close at once; the process holds too much for its callers."""
        self._discard_input()
        self._release_all()
        self.abort()

    def _idle_timeout_ms(self) -> int:
        limit_ms = self.server.limits.idle_timeout_ms
        if self.is_excess and not self.in_body:
            return min(limit_ms, EXCESS_IDLE_MS)
        return limit_ms

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return (
            not self.busy
            and self.started_ms < 0
            and not self.pending_requests
            and not self.backlog
        )


class Server:
    """Serves HTTP/1.1 on one address.

    Args:
        handler: responds to one request.
        limits: limits on all callers; may be replaced at any time.
        memory: counts what the connections of all servers of the process
            hold.
        body_limit: returns a request's limit on its body, if it is not the
            same for all.

    Attributes:
        read_buffer: receives the bytes of each read.
        read_view: the same bytes.
        kernel_buffer_bytes: what one of the kernel's buffers of a
            connection may hold.
        refused_bodies: limits the log lines on bodies that are too large.
        reading_stopped: whether nothing is read any more.
        connections: the open connections.
        active_requests: how many requests are being handled.
        draining: whether connections close after their current request.
        stopped: whether the listener is closed; the handler must refuse
            every request that it gets from then on.
        task_group: runs the handlers.
    """

    def __init__(
        self,
        handler: Handler,
        limits: routes.ClientLimits,
        memory: connectionmemory.ConnectionMemory | None = None,
        body_limit: BodyLimit | None = None,
    ):
        self.handler = handler
        self.limits = limits
        self.body_limit = body_limit
        self.memory = memory or connectionmemory.ConnectionMemory()
        self.read_buffer = bytearray(READ_BYTES)
        self.read_view = memoryview(self.read_buffer)
        self.kernel_buffer_bytes = 2 * self.memory.bounds.socket_buffer_bytes
        self.refused_bodies = linelimit.LineLimit(REFUSED_REPORT_PERIOD_MS)
        self.reading_stopped = False
        self.next_report_ms = 0
        self.unread_closed = 0
        self.address = ""
        self.connections: set[Connection] = set()
        self.active_requests = 0
        self.draining = False
        self.stopped = False
        self.listener: asyncio.Server | None = None
        self.task_group: Any = None

    async def run(
        self,
        address: settings_module.Address,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            address: where to listen.
            task_status: started once the server listens.

        Raises:
            ListenError: the address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self.address = str(address)
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            self.listener = await listening.bind(
                address,
                lambda: loop.create_server(
                    lambda: Connection(self),
                    address.host,
                    address.port,
                    backlog=LISTEN_BACKLOG,
                ),
            )
            listening.set_buffer_sizes(
                self.listener.sockets, self.memory.bounds.socket_buffer_bytes
            )
            task_status.started()
            try:
                while True:
                    await anyio.sleep(TIMEOUT_CHECK_INTERVAL_MS / 1000)
                    self.enforce_timeouts(clock.now_ms())
            finally:
                self.listener.close()

    def max_body_bytes(self, method: str, target: bytes) -> int:
        """Return the largest body that a request may have.

        Args:
            method: its method, in upper case.
            target: its path and query.
        """
        if self.body_limit is None:
            return self.limits.body_bytes
        return self.body_limit(method, target)

    def enforce_timeouts(self, now: int) -> None:
        """Enforce the timeouts of all connections.

        Args:
            now: the current time in ms.
        """
        for connection in list(self.connections):
            connection.enforce_timeouts(now)
        self._report_closed(now)
        metrics.CONNECTION_BYTES.set(self.memory.held_bytes)

    def close_for_memory(self) -> None:
        """Close connections, of any server, until few enough bytes are held.

        The memory is shared by the servers of the process.
        """
        for connection in self.memory.take_victims():
            connection.close_for_memory()
            metrics.CLOSED_CONNECTIONS.labels("memory").inc()
        self._report_closed(clock.now_ms())

    def report_refused_body(self, target: bytes, limit: int) -> None:
        """Log a request whose body is too large, unless that was just done.

        Args:
            target: the path and query of the request.
            limit: the largest body in bytes that it may have.
        """
        left_out = self.refused_bodies.take(self.address, clock.now_ms())
        if left_out is not None:
            events.emit(
                events.BODY_REFUSED,
                address=self.address,
                target=target[:MAX_LOGGED_TARGET].decode("latin-1"),
                limit_bytes=limit,
                left_out=left_out,
            )

    def report_unread(self) -> None:
        """Count a connection that ends with a response unread."""
        metrics.CLOSED_CONNECTIONS.labels("unread").inc()
        self.unread_closed += 1
        self._report_closed(clock.now_ms())

    def _report_closed(self, now: int) -> None:
        """Log closed connections, at most once a second."""
        memory = self.memory
        closed = memory.take_report(now)
        if closed:
            events.emit(
                events.MEMORY_CLOSED,
                address=self.address,
                connections=closed,
                held_bytes=memory.held_bytes,
                limit_bytes=memory.limit_bytes,
            )
        if self.unread_closed and now >= self.next_report_ms:
            events.emit(
                events.UNREAD_CLOSED,
                address=self.address,
                connections=self.unread_closed,
            )
            self.unread_closed = 0
            self.next_report_ms = now + CLOSED_REPORT_PERIOD_MS

    def close_idle_connections(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def stop(self, timeout_s: float) -> None:
        """Close the listener, finish the requests and read no more.

        No request that was read is left without a response, unless the
        handler takes longer than the timeout. A request that arrives
        after the return is not read at all.

        Args:
            timeout_s: limit on waiting for the requests being handled.
        """
        self.draining = True
        self.stopped = True
        if self.listener is not None:
            self.listener.close()
        with anyio.move_on_after(timeout_s):
            while not self.is_idle:
                await anyio.sleep(STOP_POLL_S)
        self.reading_stopped = True
        for connection in self.connections:
            connection.stop_reading()
        with anyio.move_on_after(timeout_s):
            while any(c.has_unsent_data for c in self.connections):
                await anyio.sleep(STOP_POLL_S)

    @property
    def is_idle(self) -> bool:
        """Whether no request is handled or waits for its turn."""
        return not self.active_requests and not any(
            c.pending_requests or c.backlog for c in self.connections
        )


def set_socket_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Disable Nagle's algorithm and set TCP_USER_TIMEOUT.

    Args:
        transport: the connection's transport.
        user_timeout_ms: how long sent data may stay unacknowledged before
            TCP drops the connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def _counted_bytes(body_bytes: int) -> int:
    """Return how much of the size of a body is counted as held."""
    return body_bytes if body_bytes > MAX_UNCOUNTED_BODY_BYTES else 0


def _counted_header_bytes(headers: list[Header]) -> int:
    """Return what the headers of a request are counted as."""
    if len(headers) <= MAX_UNCOUNTED_HEADERS:
        return 0
    return HEADER_COST_BYTES * len(headers)


def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


def retry_after_header(seconds: float) -> Header:
    """Return a Retry-After header, with fractions of a second."""
    return (b"retry-after", b"%.3f" % max(0.0, seconds))


__all__ = [
    "CallerGoneError",
    "Connection",
    "Handler",
    "Header",
    "Request",
    "Responder",
    "Server",
    "retry_after_header",
    "set_socket_options",
]
