"""An HTTP/1.1 server whose limits follow the configuration.

httptools parses; the transport's protocol keeps reading while a request
is served, so that a caller who leaves is noticed at once. Requests of a
connection are served one after the other, each in a task of its own.
Why not uvicorn: docs/design/routed-services.md.
"""

import asyncio
from collections import deque
import http
import socket
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import NamedTuple

import anyio
import anyio.abc
import httptools

from primrosehitch import clock
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import flowcontrol
from primrosehitch import routes
from primrosehitch import settings as settings_module

Header = tuple[bytes, bytes]

# A connection that pipelines more than this is not read further.
MAX_PIPELINED_REQUESTS = 4
# Long enough to read what a caller still sends after a final answer.
LINGERING_CLOSE_MS = 1000
TIMEOUT_CHECK_INTERVAL_MS = 500
LISTEN_BACKLOG = 1024
# A peer that does not acknowledge bytes for this long is gone.
TCP_USER_TIMEOUT_MS = 10_000


class CallerGoneError(errors.PrimrosehitchError):
    """The caller closed its connection before the answer was whole."""


class Request(NamedTuple):
    """A whole request.

    Attributes:
        method: in upper case.
        target: path and query as sent.
        headers: names in lower case, in the order sent.
        body: decoded from chunks.
        started: when its first byte came, in ms.
    """

    method: str
    target: bytes
    headers: list[Header]
    body: bytes
    started_ms: int

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str:
        """Return a header's value, empty where it is missing."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1").strip()
        return ""


class Responder:
    """Answers one request.

    Args:
        connection: where the request came from.
        keep_alive: whether the connection may take further requests.
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
        """Write the head of the answer.

        Args:
            status: the HTTP status.
            headers: without those that concern the connection.
            length: bytes of the body; None sends it in chunks.
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
        """Write a part of the body; waits while the caller reads slowly.

        Raises:
            CallerGoneError: the caller closed.
        """
        if not data:
            return
        if self.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.connection.write(data)
        await self.connection.drain()

    def finish(self) -> None:
        """End the answer as complete."""
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def respond(
        self, status: int, headers: list[Header], body: bytes = b""
    ) -> None:
        """Write a whole answer."""
        self.send_head(status, headers, len(body))
        self.connection.write(body)
        self.finish()

    def abort(self) -> None:
        """Break the connection, so that the answer looks incomplete."""
        self.connection.abort()


Handler = Callable[[Request, Responder], Awaitable[None]]


class Connection(flowcontrol.FlowControlMixin, asyncio.Protocol):
    """One caller's connection.

    Args:
        server: the server that accepted it.
    """

    def __init__(self, server: "Server"):
        super().__init__()
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.pending_requests: deque[tuple[Request, bool]] = deque()
        self.busy = False
        self.closed = False
        self.discarding_input = False
        self.handler_scope: anyio.CancelScope | None = None
        self.last_activity_ms = clock.now_ms()
        self.reset_request()

    def reset_request(self) -> None:
        """Forget the request that was parsed."""
        self.target = b""
        self.headers: list[Header] = []
        self.body_parts: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.started_ms = -1
        self.in_body = False

    # -- transport ---------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """Note a new connection."""
        self.transport = transport
        set_socket_options(transport, TCP_USER_TIMEOUT_MS)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the caller is gone and end its request."""
        self.closed = True
        self.server.connections.discard(self)
        if self.handler_scope is not None:
            self.handler_scope.cancel()
        self.wake_writers()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the caller."""
        if self.discarding_input:
            return
        if self.started_ms < 0:
            self.started_ms = clock.now_ms()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400, "upgrades are not served")
        except httptools.HttpParserError as exc:
            if not self.discarding_input:
                self.refuse(400, f"not a request: {exc}")

    # -- parser ------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.reset_request()
        self.started_ms = clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self.headers.append((name.lower(), value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes:
            self.refuse(431, "the headers are too large")

    def on_headers_complete(self) -> None:
        """Look at the head before the body comes."""
        self.in_body = True
        self.last_activity_ms = clock.now_ms()
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self.body_parts.append(body)
        self.body_bytes += len(body)
        self.last_activity_ms = clock.now_ms()
        if self.body_bytes > self.server.limits.body_bytes:
            self.refuse(413, "the body is too large")

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self.discarding_input:
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.target,
            self.headers,
            b"".join(self.body_parts),
            self.started_ms,
        )
        self.reset_request()
        is_persistent = self.parser.should_keep_alive()
        self.pending_requests.append((request, is_persistent))
        if (
            len(self.pending_requests) > MAX_PIPELINED_REQUESTS
            and self.transport
        ):
            self.transport.pause_reading()
        self._serve_next()

    # -- serving -----------------------------------------------------------

    def _serve_next(self) -> None:
        if self.busy or self.closed or not self.pending_requests:
            return
        request, is_persistent = self.pending_requests.popleft()
        self.busy = True
        self.server.active_requests += 1
        self.server.task_group.start_soon(self._serve, request, is_persistent)

    async def _serve(self, request: Request, is_persistent: bool) -> None:
        responder = Responder(self, is_persistent)
        try:
            with anyio.CancelScope() as handler_scope:
                self.handler_scope = handler_scope
                if not self.closed:
                    await self.server.handler(request, responder)
        except CallerGoneError:
            self.closed = True
        except Exception as exc:
            # One request must not end the process; its connection breaks.
            events.emit(events.TASK_FAILED, task="serve", error=repr(exc))
        finally:
            self.handler_scope = None
            self.busy = False
            self.server.active_requests -= 1
            self.last_activity_ms = clock.now_ms()
        if self.closed or not responder.finished:
            self.abort()
        elif not responder.keep_alive:
            self.close()
        else:
            if self.transport is not None:
                self.transport.resume_reading()
            self._serve_next()

    def write(self, data: bytes) -> None:
        """Write bytes without waiting."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read most of what was written.

        Raises:
            CallerGoneError: the caller closed.
        """
        await self.wait_until_writable()
        if self.closed:
            raise CallerGoneError("connection closed", "server.write")

    def refuse(self, status: int, text: str) -> None:
        """Answer what cannot be taken as a request, then close."""
        self.discarding_input = True
        body = text.encode()
        self.write(
            _status_line(status)
            + b"content-type: text/plain\r\nconnection: close\r\n"
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.close()

    def close(self) -> None:
        """Close once the answer is out, reading on for a moment.

        Closing with unread bytes would reset the connection and could
        take the answer from the caller.
        """
        self.discarding_input = True
        if self.transport is None or self.transport.is_closing():
            return
        self.last_activity_ms = clock.now_ms()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Break the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def enforce_timeouts(self, now: int) -> None:
        """Enforce the time-outs of a connection without a request."""
        limits = self.server.limits
        if self.discarding_input:
            if now - self.last_activity_ms > LINGERING_CLOSE_MS:
                self.abort()
        elif self.busy:
            return
        elif self.started_ms >= 0 and not self.in_body:
            if now - self.started_ms > limits.header_timeout_ms:
                self.refuse(408, "the headers did not come in time")
        elif now - self.last_activity_ms > limits.idle_timeout_ms:
            if self.in_body:
                self.refuse(408, "the body did not come in time")
            else:
                self.close()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has come."""
        return (
            not self.busy and self.started_ms < 0 and not self.pending_requests
        )


class Server:
    """Serves one address.

    Args:
        handler: answers a request.
        limits: for all callers; may be set anew at any time.
    """

    def __init__(self, handler: Handler, limits: routes.ClientLimits):
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.active_requests = 0
        self.draining = False
        self.listener: asyncio.Server | None = None
        self.task_group: Any = None

    async def run(
        self,
        address: settings_module.Address,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled.

        Raises:
            OSError: the address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            self.listener = await loop.create_server(
                lambda: Connection(self),
                address.host,
                address.port,
                backlog=LISTEN_BACKLOG,
            )
            task_status.started()
            try:
                while True:
                    await anyio.sleep(TIMEOUT_CHECK_INTERVAL_MS / 1000)
                    self.enforce_timeouts(clock.now_ms())
            finally:
                self.listener.close()

    def enforce_timeouts(self, now: int) -> None:
        """Enforce the time-outs of all connections."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now)

    def close_idle_connections(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()


def set_socket_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Send small segments at once, and notice a silent peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


def retry_after_header(seconds: float) -> Header:
    """Return the header that says when to come back."""
    return (b"retry-after", b"%.3g" % max(0.0, seconds))


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
