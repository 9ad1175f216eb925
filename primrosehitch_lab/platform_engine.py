"""A stand-in for one of the platform's engines, with its faults.

It speaks the wire byte by byte, so that it can tear it: an answer that
is cut, that belongs to another request, that has no length, that comes
twice or before the request was read.
"""

from collections import deque
from typing import NamedTuple

import anyio
import anyio.abc

STAMP = b"Response-Stamp: 1.1.1\r\n"
FLOOD_BYTES = 64 << 20
LARGE_BODY_BYTES = 4 << 20
# The event that foreign bytes follow in a garbled stream.
GARBLED_AFTER = 2
# How long a crashed engine takes to start again.
RESTART_S = 0.5
# How long the engine works before the answer that crashes it.
FIRST_TOKEN_S = 0.03


class Seen(NamedTuple):
    """A request that reached the engine.

    Attributes:
        line: the request line.
        headers: by lower-case name.
        body: its whole body.
    """

    line: str
    headers: dict[str, str]
    body: bytes


class StandInEngine:
    """One engine that plays a list of behaviours, one a request.

    Args:
        behaviours: names of methods without ``_play_``; the last one is
            played for all further requests.
        events: how many events a stream has.
        crashing_part: a prompt part that ends the engine's process as soon
            as it answers a request that holds it, but as the last part.
        version: of its software; each event of a stream names it.

    Attributes:
        garbage: what a garbled stream holds beside its events.
        shown_ids: identifiers of events that a misnumbered stream gives
            other ones, or None to leave the event out.
        status: the status line's end of an answer with a status of its own.
        cut_after: the event after which a misnumbered stream is cut.
        incarnation: how often the process has started.
    """

    def __init__(
        self,
        behaviours: list[str],
        events: int = 4,
        crashing_part: str = "",
        version: str = "x",
    ):
        self.behaviours = deque(behaviours)
        self.events = events
        self.crashing_part = crashing_part
        self.version = version
        self.crashing_body = b""
        self.limit = ""
        self.garbage = b"data: of no run\n\n"
        self.shown_ids: dict[int, int | None] = {}
        self.cut_after = 0
        self.status = b"200 OK"
        self.arrivals: list[float] = []
        self.incarnation = 1
        self.crash = anyio.Event()
        self.seen: list[Seen] = []
        self.connections = 0
        self.cancelled = 0
        self.flooded_bytes = 0
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; after a crash start again."""
        while True:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=self.port
            )
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as group:
                if self.incarnation == 1:
                    task_status.started()
                group.start_soon(listener.serve, self._serve)
                await self.crash.wait()
                group.cancel_scope.cancel()
            await anyio.sleep(RESTART_S)
            self.crash = anyio.Event()
            self.incarnation += 1

    def _is_crashed_by(self, seen: Seen) -> bool:
        items = seen.headers.get("prefix-hash", "").split(",")[:-1]
        parts = [item.strip().partition(":")[0] for item in items]
        return bool(self.crashing_part) and self.crashing_part in parts

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                while True:
                    seen = await self._read(stream)
                    self.seen.append(seen)
                    self.arrivals.append(anyio.current_time())
                    if self.crashing_body and seen.body == self.crashing_body:
                        await anyio.sleep(FIRST_TOKEN_S)
                        self.crash.set()
                        return
                    if self._is_crashed_by(seen):
                        await anyio.sleep(FIRST_TOKEN_S)
                        await self._stream(stream, seen, 1, False)
                        self.crash.set()
                        return
                    name = self.behaviours[0]
                    if len(self.behaviours) > 1:
                        self.behaviours.popleft()
                    play = getattr(self, f"_play_{name}")
                    if not await play(stream, seen):
                        return
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                self.cancelled += 1

    async def _read(self, stream: anyio.abc.SocketStream) -> Seen:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(body) < length:
            body += await stream.receive()
        return Seen(lines[0], headers, body)

    # -- whole answers -----------------------------------------------------

    def _echo(self, seen: Seen) -> bytes:
        identifier = seen.headers["request-id"].encode()
        lines = b"Request-Id: %s\r\n" % identifier
        if self.limit:
            lines += b"Server-Limit: %s\r\n" % self.limit.encode()
        return lines

    async def _answer(
        self,
        stream: anyio.abc.SocketStream,
        status: bytes,
        headers: bytes,
        body: bytes,
    ) -> bool:
        await stream.send(
            b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, headers, len(body), body)
        )
        return True

    async def _play_good(self, stream, seen: Seen) -> bool:
        headers = self._echo(seen) + STAMP + b"Server-Load: 3,1,8\r\n"
        return await self._answer(stream, b"200 OK", headers, b"done")

    async def _play_slow(self, stream, seen: Seen) -> bool:
        await anyio.sleep(0.3)
        return await self._play_good(stream, seen)

    async def _play_brief(self, stream, seen: Seen) -> bool:
        await anyio.sleep(0.03)
        return await self._play_good(stream, seen)

    async def _play_error(self, stream, seen: Seen) -> bool:
        headers = self._echo(seen) + STAMP
        return await self._answer(stream, b"500 Oops", headers, b"bad")

    async def _play_status(self, stream, seen: Seen) -> bool:
        """Answer well, but for the status."""
        headers = self._echo(seen) + STAMP
        return await self._answer(stream, self.status, headers, b"done")

    async def _play_unknown(self, stream, seen: Seen) -> bool:
        headers = self._echo(seen) + STAMP
        return await self._answer(stream, b"404 Not Found", headers, b"no")

    async def _play_full(self, stream, seen: Seen) -> bool:
        headers = self._echo(seen) + b"Not-Run: 1\r\n"
        return await self._answer(stream, b"503 Full", headers, b"")

    async def _play_leaving(self, stream, seen: Seen) -> bool:
        """Answer well, and say that the engine is leaving."""
        headers = self._echo(seen) + STAMP + b"Server-Leaving: 1\r\n"
        return await self._answer(stream, b"200 OK", headers, b"done")

    async def _play_back_off(self, stream, seen: Seen) -> bool:
        """Turn the request away, and ask for a pause of 1.2 s."""
        headers = self._echo(seen) + b"Not-Run: 1\r\nRetry-After: 1.2\r\n"
        return await self._answer(stream, b"503 Full", headers, b"")

    async def _play_elsewhere(self, stream, seen: Seen) -> bool:
        headers = self._echo(seen) + b"Instance-Id: other\r\n"
        return await self._answer(stream, b"421 Misdirected", headers, b"")

    async def _play_unsigned(self, stream, seen: Seen) -> bool:
        return await self._answer(
            stream, b"200 OK", self._echo(seen), b"whose?"
        )

    async def _play_stream(self, stream, seen: Seen) -> bool:
        return await self._stream(stream, seen, self.events, True)

    async def _play_no_length(self, stream, seen: Seen) -> bool:
        await stream.send(
            b"HTTP/1.1 200 OK\r\n" + self._echo(seen) + STAMP + b"\r\nwhole"
        )
        await stream.send_eof()
        return False

    async def _play_unframed_stream(self, stream, seen: Seen) -> bool:
        """Send a whole stream with neither a length nor chunks."""
        return await self._unframed(stream, seen, self.events, b"")

    async def _play_unframed_torn(self, stream, seen: Seen) -> bool:
        """Close such a stream in the middle of an event."""
        return await self._unframed(stream, seen, 2, b"id: 3\nda")

    async def _play_unframed_cut(self, stream, seen: Seen) -> bool:
        """Close such a stream after its second event."""
        return await self._unframed(stream, seen, 2, b"")

    async def _play_unframed_crash(self, stream, seen: Seen) -> bool:
        """End the process after the second event of such a stream."""
        await self._unframed(stream, seen, 2, b"")
        self.crash.set()
        return False

    async def _play_no_length_crash(self, stream, seen: Seen) -> bool:
        """End the process in the middle of a body without a length."""
        await self._play_no_length(stream, seen)
        self.crash.set()
        return False

    async def _unframed(self, stream, seen: Seen, count, rest: bytes) -> bool:
        await stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + self._echo(seen)
            + STAMP
            + b"\r\n"
        )
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, count + 1):
            await stream.send(b"id: %d\ndata: x\n\n" % number)
        await stream.send(rest)
        await stream.send_eof()
        return False

    async def _play_flood(self, stream, seen: Seen) -> bool:
        """Send events as fast as they are taken, up to FLOOD_BYTES."""
        await self._begin_chunks(stream, seen)
        number = 0
        while self.flooded_bytes < FLOOD_BYTES:
            number += 1
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 8000)
            await self._chunk(stream, event)
            self.flooded_bytes += len(event)
        await stream.send(b"0\r\n\r\n")
        return True

    async def _pour(self, stream, data: bytes) -> bool:
        """Send bytes again and again, up to FLOOD_BYTES."""
        while self.flooded_bytes < FLOOD_BYTES:
            await stream.send(data)
            self.flooded_bytes += len(data)
        return False

    async def _play_endless_head(self, stream, seen: Seen) -> bool:
        """Send a header whose value has no end."""
        await stream.send(b"HTTP/1.1 200 OK\r\n" + self._echo(seen) + b"X: ")
        return await self._pour(stream, b"x" * 8000)

    async def _play_endless_headers(self, stream, seen: Seen) -> bool:
        """Send headers without end."""
        await stream.send(b"HTTP/1.1 200 OK\r\n" + self._echo(seen))
        return await self._pour(stream, b"X: y\r\n" * 1000)

    async def _play_endless_trailer(self, stream, seen: Seen) -> bool:
        """Send a whole answer in chunks, then trailers without end."""
        await self._begin_chunks(stream, seen)
        await stream.send(b"4\r\ndone\r\n0\r\n")
        return await self._pour(stream, b"X: y\r\n" * 1000)

    async def _play_endless_interim(self, stream, seen: Seen) -> bool:
        """Send interim responses without end."""
        return await self._pour(stream, b"HTTP/1.1 100 Continue\r\n\r\n" * 9)

    async def _play_endless_other(self, stream, seen: Seen) -> bool:
        """Send the answer to another request, whose body has no end."""
        await stream.send(
            b"HTTP/1.1 200 OK\r\nRequest-Id: 0ther\r\n" + STAMP + b"\r\n"
        )
        return await self._pour(stream, b"x" * 8000)

    async def _play_drip(self, stream, seen: Seen) -> bool:
        """Send two events, then one byte now and then."""
        await self._stream(stream, seen, 2, False)
        while True:
            await anyio.sleep(0.1)
            await self._chunk(stream, b"x")

    async def _play_paced_stream(self, stream, seen: Seen) -> bool:
        """Send whole events, one every 40 ms."""
        return await self._spaced_stream(stream, seen, 0.04)

    async def _play_slow_stream(self, stream, seen: Seen) -> bool:
        """Send whole events, one every 0.9 s."""
        return await self._spaced_stream(stream, seen, 0.9)

    async def _spaced_stream(self, stream, seen: Seen, pause_s) -> bool:
        await self._begin_chunks(stream, seen)
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await self._event(stream, seen, number)
            await anyio.sleep(pause_s)
        await stream.send(b"0\r\n\r\n")
        return True

    async def _play_garbled_stream(self, stream, seen: Seen) -> bool:
        """Send a whole stream, with foreign bytes after its second event."""
        await self._begin_chunks(stream, seen)
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await self._event(stream, seen, number)
            if number == GARBLED_AFTER:
                await self._chunk(stream, self.garbage)
        await stream.send(b"0\r\n\r\n")
        return True

    async def _play_garbled_start(self, stream, seen: Seen) -> bool:
        """Send foreign bytes, then a whole stream."""
        await self._begin_chunks(stream, seen)
        await self._chunk(stream, self.garbage)
        for number in range(1, self.events + 1):
            await self._event(stream, seen, number)
        await stream.send(b"0\r\n\r\n")
        return True

    async def _play_misnumbered(self, stream, seen: Seen) -> bool:
        """Send a stream some of whose events have other identifiers.

        The text of each event says its number.
        """
        await self._begin_chunks(stream, seen)
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            shown = self.shown_ids.get(number, number)
            if shown is not None:
                event = b"id: %d\ndata: token-%d\n\n" % (shown, number)
                await self._chunk(stream, event)
            if number == self.cut_after:
                return False
        await stream.send(b"0\r\n\r\n")
        return True

    # -- torn answers ------------------------------------------------------

    async def _play_cut(self, stream, seen: Seen) -> bool:
        await stream.send(
            b"HTTP/1.1 200 OK\r\n"
            + self._echo(seen)
            + STAMP
            + b"Content-Length: 10\r\n\r\nhalf"
        )
        return False

    async def _play_large_cut(self, stream, seen: Seen) -> bool:
        """Close in the middle of a body that is too large to buffer."""
        await stream.send(
            b"HTTP/1.1 200 OK\r\n"
            + self._echo(seen)
            + STAMP
            + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
            + b"x" * (LARGE_BODY_BYTES // 2)
        )
        return False

    async def _play_close(self, stream, seen: Seen) -> bool:
        return False

    async def _play_silent_close(self, stream, seen: Seen) -> bool:
        """Work for a while, then close without an answer."""
        await anyio.sleep(FIRST_TOKEN_S)
        return False

    async def _play_silent(self, stream, seen: Seen) -> bool:
        await stream.receive()
        return False

    async def _play_noise(self, stream, seen: Seen) -> bool:
        await stream.send(b"\x00\x01 this is no answer\r\n\r\n")
        return False

    async def _play_other_first(self, stream, seen: Seen) -> bool:
        """Send a late answer of another request, then the right one."""
        await stream.send(
            b"HTTP/1.1 200 OK\r\nRequest-Id: 0ther\r\n"
            + STAMP
            + b"Content-Length: 5\r\n\r\nwrong"
        )
        return await self._play_good(stream, seen)

    async def _play_extra(self, stream, seen: Seen) -> bool:
        """Send the answer twice."""
        await self._play_good(stream, seen)
        await self._play_good(stream, seen)
        return True

    async def _play_late_refusal(self, stream, seen: Seen) -> bool:
        """Send a late refusal without an identifier, then the answer."""
        await stream.send(
            b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return await self._play_good(stream, seen)

    async def _play_torn_event(self, stream, seen: Seen) -> bool:
        """Stop in the middle of the third event."""
        return await self._stream(stream, seen, 2, False)

    async def _stream(
        self, stream, seen: Seen, count: int, whole: bool
    ) -> bool:
        await stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + self._echo(seen)
            + STAMP
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, first + count):
            if number > self.events:
                break
            await self._event(stream, seen, number)
        if not whole:
            await self._chunk(stream, b"id: %d\nda" % (first + count))
            return False
        await stream.send(b"0\r\n\r\n")
        return True

    async def _begin_chunks(self, stream, seen: Seen) -> None:
        """Send the head of an answer in chunks."""
        await stream.send(
            b"HTTP/1.1 200 OK\r\n"
            + self._echo(seen)
            + STAMP
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )

    async def _event(self, stream, seen: Seen, number: int) -> None:
        event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
        await self._chunk(stream, event)

    async def _chunk(self, stream, data: bytes) -> None:
        await stream.send(b"%x\r\n%s\r\n" % (len(data), data))


__all__ = ["Seen", "StandInEngine"]
