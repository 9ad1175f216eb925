"""Requests that are sent ahead, and responses that are not read.

A connection of the HTTP server is driven without a socket: the transport is
a stand-in whose write buffer the test empties.
"""

import asyncio
import itertools

import anyio
import pytest

from primrosehitch import clock
from primrosehitch import connectionmemory
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import requestsplit
from primrosehitch import routes
from primrosehitch import settings

BOUNDS = connectionmemory.ConnectionBounds(
    memory_bytes=1 << 20,
    unread_timeout_ms=1000,
    backlog_bytes=256,
    write_buffer_bytes=100,
    socket_buffer_bytes=0,
)
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class StandInTransport(asyncio.Transport):
    """Records what is written, and reports a full buffer like a real one."""

    def __init__(self, protocol, reads_responses=True):
        super().__init__()
        self.protocol = protocol
        self.reads_responses = reads_responses
        self.buffer = b""
        self.written = b""
        self.limit = 0
        self.is_reading = True
        self.is_paused = False
        self.is_aborted = False

    def set_write_buffer_limits(self, high=None, low=None):
        self.limit = high

    def get_write_buffer_size(self):
        return len(self.buffer)

    def write(self, data):
        self.written += data
        if self.reads_responses:
            return
        self.buffer += data
        if len(self.buffer) > self.limit and not self.is_paused:
            self.is_paused = True
            self.protocol.pause_writing()

    def read_responses(self):
        self.buffer = b""
        if self.is_paused:
            self.is_paused = False
            self.protocol.resume_writing()

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def is_closing(self):
        return self.is_aborted

    def get_extra_info(self, name, default=None):
        return default

    def close(self):
        self.abort()

    def abort(self):
        if not self.is_aborted:
            self.is_aborted = True
            asyncio.get_running_loop().call_soon(
                self.protocol.connection_lost, None
            )


class Harness:
    """A server without a listener, and the requests that it has served."""

    def __init__(self, memory=None, limits=None):
        self.memory = memory or connectionmemory.ConnectionMemory(BOUNDS)
        self.served = []
        self.response = b"ok"
        self.may_answer = None
        self.server = httpserver.Server(
            self.handle, limits or routes.ClientLimits(), self.memory
        )

    async def handle(self, request, responder):
        self.served.append((request.method, request.target, request.body))
        if self.may_answer is not None:
            await self.may_answer.wait()
        responder.respond(200, [], self.response)

    def connect(self, reads_responses=True):
        connection = httpserver.Connection(self.server)
        transport = StandInTransport(connection, reads_responses)
        connection.connection_made(transport)
        return connection

    def receive(self, connection, data):
        """Pass on bytes as reads, as far as the connection is read."""
        while data and connection.transport.is_reading:
            if connection.transport.is_aborted:
                break
            buffer = connection.get_buffer(-1)
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            connection.buffer_updated(size)
            data = data[size:]
        return data

    async def receive_all(self, connection, data):
        while data:
            data = self.receive(connection, data)
            await settle()


async def settle():
    for _ in range(50):
        await asyncio.sleep(0)


def run(body, **options):
    async def main():
        harness = Harness(**options)
        async with anyio.create_task_group() as group:
            harness.server.task_group = group
            await body(harness)
            group.cancel_scope.cancel()

    anyio.run(main)


CHUNKED = (
    b"POST /chunked HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"8\r\n\r\n\r\n\r\n\r\n\r\n5\r\nhello\r\n0\r\nTrailer: t\r\n\r\n"
)
SIZED = b"POST /sized HTTP/1.1\r\nContent-Length: 12\r\n\r\na\r\n\r\nGET / \r"
UPGRADE = (
    b"POST /upgrade HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n"
    b"Content-Length: 4\r\n\r\n\r\n\r\n"
)
MIXED_SERVED = [
    ("GET", b"/1", b""),
    ("POST", b"/chunked", b"\r\n\r\n\r\n\r\nhello"),
    ("POST", b"/sized", b"a\r\n\r\nGET / \r"),
    ("POST", b"/upgrade", b"\r\n\r\n"),
    ("GET", b"/2", b""),
    ("POST", b"/chunked", b"\r\n\r\n\r\n\r\nhello"),
    ("GET", b"/3", b""),
]


# Guards against: a request is lost, or its body is cut, when a read ends in
# the middle of it.
def test_requests_sent_ahead_survive_a_split_at_any_byte():
    data = GET % 1 + CHUNKED + SIZED + UPGRADE + GET % 2 + CHUNKED + GET % 3

    async def body(harness):
        for split in range(1, len(data)):
            harness.served.clear()
            connection = harness.connect()
            await harness.receive_all(connection, data[:split])
            await harness.receive_all(connection, data[split:])
            assert harness.served == MIXED_SERVED, split
            connection.connection_lost(None)
        assert harness.memory.held_bytes == 0

    run(body)


def test_requests_sent_byte_by_byte_are_served_in_order():
    data = GET % 1 + CHUNKED + SIZED + UPGRADE + GET % 2

    async def body(harness):
        connection = harness.connect()
        for byte in data:
            await harness.receive_all(connection, bytes([byte]))
        assert harness.served == MIXED_SERVED[:5]
        assert connection.is_idle

    run(body)


# Guards against: all requests of one read are parsed and kept at once.
def test_no_request_is_parsed_before_the_response_to_the_last_one():
    async def body(harness):
        harness.may_answer = anyio.Event()
        connection = harness.connect()
        data = b"".join(GET % n for n in range(1000))
        left = harness.receive(connection, data)
        await settle()
        assert len(harness.served) == 1
        assert not connection.pending_requests
        assert not connection.transport.is_reading
        assert not connection.is_idle
        assert not harness.server.is_idle
        assert connection.backlog_bytes <= httpserver.READ_BYTES
        harness.may_answer.set()
        await harness.receive_all(connection, left)
        for _ in range(1000):
            await settle()
            if len(harness.served) == 1000:
                break
        assert [t for _, t, _ in harness.served] == [
            b"/%d" % n for n in range(1000)
        ]
        assert connection.is_idle
        assert connection.transport.is_reading
        assert harness.memory.held_bytes == 0

    run(body)


# Guards against: responses that the caller does not read pile up.
def test_no_request_is_served_while_responses_are_unread():
    async def body(harness):
        connection = harness.connect(reads_responses=False)
        data = b"".join(GET % n for n in range(20))
        harness.receive(connection, data)
        await settle()
        served = len(harness.served)
        assert served < 5
        assert connection.transport.get_write_buffer_size() < 200
        connection.transport.read_responses()
        await settle()
        assert served < len(harness.served) < 10
        connection.transport.reads_responses = True
        connection.transport.read_responses()
        await settle()
        assert len(harness.served) == 20

    run(body)


# Guards against: a request that comes by itself, and not ahead of a response,
# is served while the response to the last one is unread.
def test_later_request_waits_for_an_unread_response():
    async def body(harness):
        connection = harness.connect(reads_responses=False)
        harness.response = b"r" * 500
        for number in (1, 2):
            harness.receive(connection, GET % number)
            await settle()
            assert len(harness.served) == 1
        connection.transport.read_responses()
        await settle()
        assert len(harness.served) == 2

    run(body)


# Guards against: a caller that reads nothing keeps its connection for ever;
# one that reads slowly loses it.
def test_caller_that_reads_nothing_is_closed_after_the_timeout():
    async def body(harness):
        connection = harness.connect(reads_responses=False)
        harness.response = b"r" * 500
        harness.receive(connection, GET % 1)
        await settle()
        now = clock.now_ms()
        connection.enforce_timeouts(now)
        for second in range(10):
            now += 900
            connection.transport.buffer = connection.transport.buffer[1:]
            connection.enforce_timeouts(now)
        assert not connection.transport.is_aborted
        connection.enforce_timeouts(now + 1100)
        assert connection.transport.is_aborted
        await settle()
        assert harness.memory.held_bytes == 0

    run(body)


def test_disconnect_cancels_the_handler_of_a_caller_that_sent_little_ahead():
    async def body(harness):
        harness.may_answer = anyio.Event()
        connection = harness.connect()
        harness.receive(connection, GET % 1 + GET % 2)
        await settle()
        assert connection.transport.is_reading
        connection.connection_lost(None)
        await settle()
        assert harness.server.active_requests == 0
        assert len(harness.served) == 1

    run(body)


# Guards against: bodies whose end never comes add up without a bound.
def test_sum_of_unfinished_bodies_is_bounded():
    async def body(harness):
        head = b"POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
        connections = [harness.connect() for _ in range(20)]
        for connection in connections:
            harness.receive(connection, head + b"u" * 300_000)
            assert harness.memory.held_bytes <= BOUNDS.memory_bytes
        await settle()
        closed = [c for c in connections if c.transport.is_aborted]
        assert harness.memory.closed == len(closed) >= 15
        assert harness.memory.held_bytes == 300_000 * (20 - len(closed))
        caller = harness.connect()
        await harness.receive_all(caller, GET % 1)
        assert len(harness.served) == 1
        assert not caller.transport.is_aborted

    run(body)


# Guards against: a head whose end never comes is kept whole, with headers of
# which each costs more than its bytes.
@pytest.mark.parametrize("part", [b"a:b\r\n", b"v" * 5])
def test_endless_head_is_refused_in_its_first_read(part):
    async def body(harness):
        connection = harness.connect()
        start = b"GET / HTTP/1.1\r\nA: b\r\nB: "
        harness.receive(connection, start + 12_000 // len(part) * part)
        assert not connection.transport.written
        assert harness.memory.held_bytes > 12_000
        connection = harness.connect()
        harness.receive(connection, start + 30_000 // len(part) * part)
        written = connection.transport.written
        assert written.startswith(b"HTTP/1.1 431 ")
        assert written.count(b"HTTP/1.1") == 1
        assert not connection.headers
        assert connection.held_bytes == 0

    run(body)


def test_many_headers_are_counted_until_the_request_has_ended():
    async def body(harness):
        harness.may_answer = anyio.Event()
        connection = harness.connect()
        head = b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1000 + b"\r\n"
        harness.receive(connection, head[:4000])
        assert harness.memory.held_bytes > 4000
        harness.receive(connection, head[4000:])
        await settle()
        assert harness.memory.held_bytes > 100_000
        harness.may_answer.set()
        await settle()
        assert harness.memory.held_bytes == 0

    run(body)


# Guards against: a body within the limits is refused in calm because it is
# larger than the share of the memory.
def test_single_body_is_served_whatever_the_limit():
    async def body(harness):
        size = 4 << 20
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
        connection = harness.connect()
        harness.receive(connection, head + b"u" * size)
        await settle()
        assert [len(b) for _, _, b in harness.served] == [size]
        assert harness.memory.held_bytes == 0

    run(body)


# Guards against: requests dropped by a close keep a drain waiting.
def test_closed_connection_counts_as_idle():
    async def body(harness):
        harness.server.draining = True
        connection = harness.connect()
        harness.receive(connection, GET % 1 + GET % 2)
        await settle()
        assert len(harness.served) == 1
        assert harness.server.is_idle

    run(body)


# Guards against: an empty line that is split between two reads is missed, so
# that two requests are parsed at once.
def test_empty_line_between_two_reads_is_found():
    data = GET % 1 + GET % 2
    for split in range(1, len(data)):
        splitter = requestsplit.RequestSplitter()
        ends = []
        for begin, part in ((0, data[:split]), (split, data[split:])):
            start = 0
            while start < len(part):
                start = splitter.next_end(part, start, len(part))
                ends.append(begin + start)
        assert set(ends) == {len(GET % 1), split, len(data)}


# Guards against: a chunked body of empty lines costs one call of the parser
# for every few bytes.
def test_steps_in_a_chunked_body_have_a_least_size():
    splitter = requestsplit.RequestSplitter()
    splitter.begin_body([(b"transfer-encoding", b"chunked")])
    data = b"\r\n" * 1000
    starts = [0]
    while starts[-1] < len(data):
        starts.append(splitter.next_end(data, starts[-1], len(data)))
    steps = [b - a for a, b in itertools.pairwise(starts)]
    assert min(steps[:-1]) >= requestsplit.MIN_CHUNKED_STEP_BYTES


# Guards against: after a burst of requests, as many idle connections to an
# endpoint as there were requests use up descriptors.
def test_pool_keeps_a_bounded_number_of_idle_connections():
    address = settings.Address("127.0.0.1", 1)
    pool = httpclient.ConnectionPool(address)
    connections = [
        httpclient.EndpointConnection(address)
        for _ in range(httpclient.MAX_IDLE_CONNECTIONS + 3)
    ]
    for connection in connections:
        pool.release(connection)
    assert pool.idle == connections[:-3]
    assert not any(c.reusable for c in connections[-3:])


class Held:
    """A connection as the decision sees it."""

    def __init__(self, name, phase, held_bytes, progress_ms):
        self.name = name
        self.phase = phase
        self.held_bytes = held_bytes
        self.progress_ms = progress_ms


Phase = connectionmemory.Phase


@pytest.mark.parametrize(
    "held, excess, closed",
    [
        # Unread responses come before bodies, and forwarded requests last.
        (
            [
                Held("served", Phase.SERVED, 100, 1),
                Held("body", Phase.RECEIVING, 100, 1),
                Held("stream", Phase.SERVED_UNREAD, 100, 1),
                Held("unread", Phase.UNREAD, 100, 9),
            ],
            250,
            ["unread", "body", "stream"],
        ),
        # The one without progress for longest comes first.
        (
            [
                Held("new", Phase.UNREAD, 100, 30),
                Held("old", Phase.UNREAD, 90, 10),
                Held("middle", Phase.UNREAD, 100, 20),
            ],
            150,
            ["old", "middle"],
        ),
        # Closing one that holds next to nothing frees nothing.
        (
            [
                Held("tiny", Phase.UNREAD, 1, 1),
                Held("large", Phase.SERVED, 1000, 5),
                Held("other", Phase.SERVED, 1000, 6),
            ],
            500,
            ["large"],
        ),
        # One is left, however much it holds.
        ([Held("only", Phase.UNREAD, 1000, 1)], 500, []),
        ([], 500, []),
        ([Held("a", Phase.UNREAD, 9, 1), Held("b", 0, 9, 2)], 0, []),
    ],
)
def test_connections_are_closed_in_order_of_least_harm(held, excess, closed):
    victims = connectionmemory.choose_victims(held, excess)
    assert [v.name for v in victims] == closed


def test_closed_connections_are_reported_once_a_second():
    memory = connectionmemory.ConnectionMemory(BOUNDS)
    assert memory.take_report(5) == 0
    memory.closed = 3
    assert memory.take_report(10) == 3
    memory.closed = 5
    assert memory.take_report(1000) == 0
    assert memory.take_report(1011) == 2
