"""uvicorn connections take one request at a time and bound what they hold.

A connection is driven without a socket, as in test_uncontrolled_clients.py.
"""

import anyio
import pytest
from test_uncontrolled_clients import BOUNDS
from test_uncontrolled_clients import CHUNKED
from test_uncontrolled_clients import GET
from test_uncontrolled_clients import settle
from test_uncontrolled_clients import SIZED
from test_uncontrolled_clients import StandInTransport
import uvicorn
import uvicorn.server

from primrosehitch import connectionmemory
from primrosehitch import pacedprotocol
from primrosehitch import server as server_module
from primrosehitch import settings

SERVED = [
    ("/1", b""),
    ("/chunked", b"\r\n\r\n\r\n\r\nhello"),
    ("/sized", b"a\r\n\r\nGET / \r"),
    ("/2", b""),
]


class PacedHarness:
    """An ASGI application, and the connections to it."""

    def __init__(self):
        self.memory = connectionmemory.ConnectionMemory(BOUNDS)
        self.served = []
        self.may_answer = None
        self.response = b"ok"
        self.config = uvicorn.Config(
            self.app,
            log_config=None,
            access_log=False,
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
        )
        self.config.load()
        self.state = uvicorn.server.ServerState()

    async def app(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        self.served.append((scope["path"], body))
        if self.may_answer is not None:
            await self.may_answer.wait()
        length = b"%d" % len(self.response)
        head = {"status": 200, "headers": [(b"content-length", length)]}
        await send({"type": "http.response.start", **head})
        await send({"type": "http.response.body", "body": self.response})

    def connect(self, reads_responses=True):
        connection = pacedprotocol.PacedProtocol(
            self.memory,
            config=self.config,
            server_state=self.state,
            app_state={},
        )
        transport = StandInTransport(connection, reads_responses)
        connection.connection_made(transport)
        return connection


def run(body):
    async def main():
        await body(PacedHarness())

    anyio.run(main)


# Guards against: a request is lost, or its body is cut, when a read ends in
# the middle of it.
def test_requests_sent_ahead_survive_a_split_at_any_byte():
    data = GET % 1 + CHUNKED + SIZED + GET % 2

    async def body(harness):
        for split in range(1, len(data)):
            harness.served.clear()
            connection = harness.connect()
            connection.data_received(data[:split])
            await settle()
            connection.data_received(data[split:])
            for _ in range(4):
                await settle()
            assert harness.served == SERVED, split
            connection.connection_lost(None)
        assert harness.memory.held_bytes == 0

    run(body)


# Guards against: all requests of one read are parsed and kept at once, and
# responses that the client does not read pile up.
@pytest.mark.parametrize("is_answered", [False, True])
def test_next_request_waits_until_the_response_is_read(is_answered):
    async def body(harness):
        if not is_answered:
            harness.may_answer = anyio.Event()
        connection = harness.connect(reads_responses=False)
        connection.data_received(b"".join(GET % n for n in range(100)))
        for _ in range(20):
            await settle()
        served = len(harness.served)
        assert served < 5
        assert not connection.transport.is_reading
        assert connection.transport.get_write_buffer_size() < 300
        if harness.may_answer is not None:
            harness.may_answer.set()
        connection.transport.reads_responses = True
        connection.transport.read_responses()
        for _ in range(100):
            await settle()
        assert [p for p, _ in harness.served] == [f"/{n}" for n in range(100)]
        assert connection.transport.is_reading
        assert harness.memory.held_bytes == 0

    run(body)


# Guards against: a head whose end never comes is kept without a bound.
def test_endless_head_is_refused():
    async def body(harness):
        connection = harness.connect()
        connection.data_received(b"GET / HTTP/1.1\r\nA: ")
        for _ in range(40):
            if connection.transport.is_closing():
                break
            connection.data_received(b"v" * 4096)
        assert connection.transport.is_closing()
        assert connection.transport.written.startswith(b"HTTP/1.1 400 ")

    run(body)


def test_client_that_reads_nothing_is_closed_after_the_timeout():
    async def body(harness):
        short = BOUNDS._replace(unread_timeout_ms=20)
        harness.memory = connectionmemory.ConnectionMemory(short)
        harness.response = b"r" * 500
        connection = harness.connect(reads_responses=False)
        connection.data_received(GET % 1)
        await settle()
        assert not connection.transport.is_closing()
        with anyio.fail_after(2):
            while not connection.transport.is_closing():
                await anyio.sleep(0.01)
        await settle()
        assert harness.memory.held_bytes == 0

    run(body)


def test_sum_of_unfinished_bodies_is_bounded():
    async def body(harness):
        head = b"POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
        for _ in range(20):
            harness.connect().data_received(head + b"u" * 300_000)
            assert harness.memory.held_bytes <= BOUNDS.memory_bytes
        await settle()
        assert harness.memory.closed >= 15

    run(body)


# Guards against: the daemon's server uses another protocol.
def test_server_uses_the_paced_protocol():
    address = settings.Address("127.0.0.1", 1)
    server = server_module.make_server(None, address)
    protocol = server.config.http
    assert protocol.func is pacedprotocol.PacedProtocol
    assert protocol.args == (server.memory,)
