"""HTTP protocol of uvicorn that takes one request of a connection at a time.

uvicorn parses everything that it reads and queues all requests in it, however
many responses the client has not read. This protocol gives its parser bytes
up to the end of one request, and the next ones once the response is written.
What connections hold is counted as in ``httpserver.py``.
"""

import asyncio
from collections import deque
from typing import Any

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from primrosehitch import clock
from primrosehitch import connectionmemory
from primrosehitch import events
from primrosehitch import flowcontrol
from primrosehitch import metrics
from primrosehitch import requestsplit

# Bytes of a request other than its body, and other than the chunk framing of
# the body: this many for each of its bytes.
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 1000
MAX_FRAMING_PER_BODY_BYTE = 16
OVERSIZED_HEAD = "Request head too large."
MALFORMED = "Invalid HTTP request received."


class PacedFlow(flow_control.FlowControl):
    """Flow control that reads no further while the backlog is full.

    Args:
        protocol: the connection.
    """

    def __init__(self, protocol: "PacedProtocol"):
        super().__init__(protocol.transport)
        self.protocol = protocol

    def resume_reading(self) -> None:
        """Read on, unless the backlog is full."""
        if not self.protocol.is_backlog_full:
            super().resume_reading()


class PacedProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a uvicorn server.

    Args:
        memory: counts what the server's connections hold.
        options: the arguments of uvicorn's protocol.

    Attributes:
        backlog: received bytes that wait to be parsed.
        backlog_bytes: their size.
        message_ended: whether the last request that began is complete.
        overhead_left: bytes other than the body that may still come of the
            request being parsed.
        held_bytes: the bytes that the connection holds.
        is_counted: whether changes of that number are counted.
        body_bytes: those of bodies of requests that are not answered.
        unread_bytes: those of a response that the client does not read.
        progress_ms: when the client last sent or read something.
        outstanding_bytes: what the client had not acknowledged at the last
            check, while writing is paused.
    """

    def __init__(
        self, memory: connectionmemory.ConnectionMemory, **options: Any
    ):
        super().__init__(**options)
        self.memory = memory
        self.splitter = requestsplit.RequestSplitter()
        self.backlog: deque[bytes] = deque()
        self.backlog_bytes = 0
        self.message_ended = True
        self.overhead_left = MAX_HEAD_BYTES
        self.held_bytes = 0
        self.is_counted = True
        self.body_bytes = 0
        self.unread_bytes = 0
        self.progress_ms = clock.now_ms()
        self.outstanding_bytes = 0
        self.unread_check: asyncio.TimerHandle | None = None

    @property
    def phase(self) -> connectionmemory.Phase:
        """What the connection is doing, for the order of closing."""
        is_busy = self.cycle is not None and not self.cycle.response_complete
        if is_busy and self.message_ended:
            if self.flow.write_paused:
                return connectionmemory.Phase.SERVED_UNREAD
            return connectionmemory.Phase.SERVED
        if self.flow.write_paused:
            return connectionmemory.Phase.UNREAD
        return connectionmemory.Phase.RECEIVING

    @property
    def is_backlog_full(self) -> bool:
        """Whether the connection is not read further."""
        return self.backlog_bytes > self.memory.bounds.backlog_bytes

    def connection_made(self, transport: Any) -> None:
        """Register the connection."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(
            self.memory.bounds.write_buffer_bytes
        )
        self.flow = PacedFlow(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was not served."""
        self._drop_input()
        self._stop_unread_check()
        self._release_all()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them until they may be parsed."""
        self.progress_ms = clock.now_ms()
        if self.backlog or not self._may_parse:
            self._add_backlog(data)
        else:
            self._unset_keepalive_if_required()
            fed = self._parse_requests(data)
            if fed < len(data):
                self._add_backlog(data[fed:])
        if self.memory.is_exceeded:
            self._close_for_memory()

    @property
    def _may_parse(self) -> bool:
        """Whether more of the current request, or the next one, is parsed."""
        if not self.message_ended:
            return True
        is_answered = self.cycle is None or self.cycle.response_complete
        return is_answered and not self.pipeline and not self.flow.write_paused

    def _parse_requests(self, data: bytes) -> int:
        """Feed the parser until a request is complete.

        Returns:
            How many of the bytes were fed or need not be.
        """
        start, end = 0, len(data)
        view = memoryview(data)
        while start < end and self._may_parse:
            if self.transport.is_closing():
                return end
            stop = self.splitter.next_end(data, start, end)
            if not self._feed(view[start:stop]):
                return end
            start = stop
        return start

    def _feed(self, data: memoryview) -> bool:
        """Feed the parser; return whether the rest of the read counts."""
        self.overhead_left -= len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(MALFORMED)
            return False
        except httptools.HttpParserUpgrade:
            # uvicorn drops the bytes that follow such a request.
            self._unsupported_upgrade_warning()
            return False
        headers = self.headers or ()
        if self.overhead_left < 0 or len(headers) > MAX_HEADERS:
            self._refuse(OVERSIZED_HEAD)
            return False
        return True

    def _refuse(self, text: str) -> None:
        self.logger.warning(text)
        self._drop_input()
        if not self.transport.is_closing():
            self.send_400_response(text)

    def _add_backlog(self, data: bytes) -> None:
        self.backlog.append(data)
        self.backlog_bytes += len(data)
        self._hold(len(data))
        if self.is_backlog_full:
            self.flow.pause_reading()

    def _drop_input(self) -> None:
        self._hold(-self.backlog_bytes)
        self.backlog.clear()
        self.backlog_bytes = 0

    def _go_on(self) -> None:
        """Parse the backlog up to the end of a request, then read on."""
        if self.parser is None or self.transport.is_closing():
            self._drop_input()
            return
        while self.backlog and self._may_parse:
            self._unset_keepalive_if_required()
            data = self.backlog.popleft()
            fed = self._parse_requests(data)
            if not self.backlog_bytes:
                # The input was dropped.
                return
            self.backlog_bytes -= fed
            self._hold(-fed)
            if fed < len(data):
                self.backlog.appendleft(data[fed:])
        if not self.backlog:
            self.flow.resume_reading()

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        super().on_message_begin()
        self.message_ended = False
        self.overhead_left = MAX_HEAD_BYTES

    def on_headers_complete(self) -> None:
        """Take the framing of the body (parser callback)."""
        self.splitter.begin_body(self.headers)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count a part of the body (parser callback)."""
        self.splitter.record_body(len(body))
        self.overhead_left += (1 + MAX_FRAMING_PER_BODY_BYTE) * len(body)
        if not self.cycle.response_complete:
            self.body_bytes += len(body)
            self._hold(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request (parser callback)."""
        self.message_ended = True
        self.splitter.end_message()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        self._hold(-self.body_bytes)
        self.body_bytes = 0
        super().on_response_complete()
        if self.backlog:
            self.loop.call_soon(self._go_on)

    def pause_writing(self) -> None:
        """Take no further request; called when the write buffer is full."""
        super().pause_writing()
        self.progress_ms = clock.now_ms()
        self.outstanding_bytes = 0
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.unread_bytes += 2 * self.memory.bounds.socket_buffer_bytes
        self._hold(self.unread_bytes)
        self._start_unread_check()
        if self.memory.is_exceeded:
            # The transport is in the middle of a write.
            self.loop.call_soon(self._close_for_memory)

    def resume_writing(self) -> None:
        """Go on; called when the write buffer has drained."""
        super().resume_writing()
        self._stop_unread_check()
        self._hold(-self.unread_bytes)
        self.unread_bytes = 0
        if self.backlog:
            self.loop.call_soon(self._go_on)

    def _start_unread_check(self) -> None:
        self._stop_unread_check()
        timeout_s = self.memory.bounds.unread_timeout_ms / 1000
        self.unread_check = self.loop.call_later(timeout_s, self._check_unread)

    def _stop_unread_check(self) -> None:
        if self.unread_check is not None:
            self.unread_check.cancel()
            self.unread_check = None

    def _check_unread(self) -> None:
        """Abort the connection if the client read nothing since last time."""
        outstanding = flowcontrol.outstanding_bytes(self.transport)
        if outstanding != self.outstanding_bytes:
            self.outstanding_bytes = outstanding
            self.progress_ms = clock.now_ms()
            self._start_unread_check()
            return
        metrics.CLOSED_CONNECTIONS.labels("unread").inc()
        events.emit(
            events.UNREAD_CLOSED, address=str(self.server), connections=1
        )
        self.transport.abort()

    def _hold(self, size: int) -> None:
        if size and self.is_counted:
            self.memory.change(self, size)

    def _release_all(self) -> None:
        self._hold(-self.held_bytes)
        self.is_counted = False

    def _close_for_memory(self) -> None:
        """Close connections until few enough bytes are held."""
        for connection in self.memory.take_victims():
            metrics.CLOSED_CONNECTIONS.labels("memory").inc()
            connection.close_for_memory()
        closed = self.memory.take_report(clock.now_ms())
        if closed:
            events.emit(
                events.MEMORY_CLOSED,
                address=str(self.server),
                connections=closed,
                held_bytes=self.memory.held_bytes,
                limit_bytes=self.memory.limit_bytes,
            )

    def close_for_memory(self) -> None:
        """Close at once; the process holds too much for its clients."""
        self._drop_input()
        self._release_all()
        self.transport.abort()


__all__ = ["PacedProtocol"]
