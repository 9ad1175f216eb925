"""Tests that an answer in many small parts leaves the event loop to others."""

import asyncio

import anyio
import pytest

from primrosehitch import eventframes
from primrosehitch import httpclient
from primrosehitch import settings

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 200_000
# The head, the body and the end may arrive in one turn.
MAX_PARTS_PER_TURN = 3
MAX_READS_PER_TURN = 2


def run(body):
    anyio.run(body, backend_options={"use_uvloop": True})


def chunked(body, size):
    chunks = [
        b"%x\r\n%s\r\n" % (len(body[start : start + size]), part)
        for start in range(0, len(body), size)
        if (part := body[start : start + size])
    ]
    return b"".join(chunks) + b"0\r\n\r\n"


class TurnCount:
    """Counts the turns of the event loop, and what happens in each."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.counts = {}
        self.most = {}
        self.loop.call_soon(self._begin_turn)

    def _begin_turn(self):
        self.counts = {}
        self.loop.call_soon(self._begin_turn)

    def count(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        self.most[kind] = max(self.most.get(kind, 0), self.counts[kind])


async def receive_counted(answer, monkeypatch):
    """Return the body of an answer, and the most steps of a turn by kind."""
    turns = TurnCount()

    class CountingConnection(httpclient.EndpointConnection):
        def buffer_updated(self, nbytes):
            turns.count("reads")
            super().buffer_updated(nbytes)

    monkeypatch.setattr(httpclient, "EndpointConnection", CountingConnection)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await httpclient.connect(
        settings.Address("127.0.0.1", port), 1000
    )
    connection.send(
        b"GET / HTTP/1.1\r\n\r\n",
        b"",
        httpclient.CorrelationId(b"", b""),
        False,
    )
    parts = []
    item = None
    while item not in tuple(httpclient.ResponseEnd):
        item = await connection.receive()
        turns.count("parts")
        if isinstance(item, bytes):
            parts.append(item)
    assert item is httpclient.ResponseEnd.COMPLETE
    connection.abort()
    server.close()
    return b"".join(parts), turns.most


# Guards against: an endpoint answers in chunks of one byte, and its edge
# handles tens of thousands of parts while all its other requests wait.
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_answer_in_small_chunks_is_handled_in_few_steps_a_turn(
    size, monkeypatch
):
    async def body():
        sent = bytes(range(256)) * (BODY_BYTES // 256)
        received, most = await receive_counted(
            HEAD + chunked(sent, size), monkeypatch
        )
        assert received == sent
        assert most["parts"] <= MAX_PARTS_PER_TURN
        assert most["reads"] <= MAX_READS_PER_TURN

    run(body)


# Guards against: the bytes of an answer's framing are not counted, so that
# six times as many are read in a turn as may be buffered.
def test_reading_pauses_for_the_framing_as_well():
    class Transport:
        paused = False

        def pause_reading(self):
            self.paused = True

        def resume_reading(self):
            self.paused = False

        def is_closing(self):
            return False

        def write(self, data):
            pass

    async def body():
        address = settings.Address("127.0.0.1", 1)
        connection = httpclient.EndpointConnection(address)
        connection.transport = transport = Transport()
        connection.send(b"", b"", httpclient.CorrelationId(b"", b""), False)
        data = HEAD + chunked(b"x" * BODY_BYTES, 1)
        fed = 0
        while not transport.paused:
            part = data[fed : fed + 8192]
            connection.get_buffer(0)[: len(part)] = part
            connection.buffer_updated(len(part))
            fed += len(part)
        assert fed <= httpclient.MAX_BUFFERED_BYTES + 8192
        await connection.receive()
        assert transport.paused
        await connection.receive()
        assert not transport.paused

    run(body)


class CountingSplitter(eventframes.EventSplitter):
    """Counts the blocks that it looks at."""

    looked_at = 0

    def _is_new(self, event):
        self.looked_at += 1
        return super()._is_new(event)


# Guards against: each block of comments or blank lines is looked at by itself,
# and millions of them keep other requests waiting.
@pytest.mark.parametrize(
    "block", [b"\n", b"\r\n", b":\n\n", b": x\r\n:\r\n\r\n"]
)
def test_blocks_without_a_field_are_skipped_at_once(block):
    splitter = CountingSplitter()
    received = b""
    for part in [b"id: 1\n\n", block * 30_001, block * 30_001, b"id: 2\n\n"]:
        received += splitter.feed(part)
    assert received == b"id: 1\n\nid: 2\n\n"
    assert splitter.looked_at == 2
    assert splitter.is_at_event_boundary


def test_comment_of_an_event_is_passed_on():
    splitter = eventframes.EventSplitter()
    event = b": comment\n:\nid: 1\n\n"
    assert splitter.feed(b":\n\n" + event) == event
