"""Tests of requests to endpoints: connection reuse and failures."""

import asyncio
import contextlib

import pytest

from primrosehitch import clock
from primrosehitch import upstream as upstream_module

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhello"
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello"
TIMEOUT_S = 0.1


class StubEndpoint:
    """Responds to each request with the same bytes.

    Args:
        response: the bytes; no response is sent if it is empty.
        close: whether the connection is closed after the first request.
    """

    def __init__(self, response: bytes, close: bool = False):
        self.response = response
        self.close = close
        self.stops_listening = False
        self.server: asyncio.Server | None = None
        self.connections = 0
        self.requests: list[bytes] = []
        self.address = ""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                if self.response:
                    writer.write(self.response)
                if self.stops_listening:
                    self.server.close()
                if self.close:
                    break
        writer.close()

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.server = server
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        async with server:
            yield self


def _request(address: str) -> upstream_module.EndpointRequest:
    headers = [(b"x-one", b"1")]
    return upstream_module.EndpointRequest(
        "POST", address, "/path?q=1", headers, b"", TIMEOUT_S
    )


def _fetch(endpoint: StubEndpoint, times: int = 1):
    async def work():
        upstream = upstream_module.UpstreamClient()
        async with endpoint.running():
            answers = [
                await upstream.fetch(_request(endpoint.address))
                for _ in range(times)
            ]
            upstream.close()
            return answers

    return asyncio.run(work())


def test_connection_is_reused():
    endpoint = StubEndpoint(COMPLETE_RESPONSE)
    answers = _fetch(endpoint, times=3)
    assert [(a.status, a.body) for a in answers] == [(200, b"hello")] * 3
    assert endpoint.connections == 1
    assert endpoint.requests[0].startswith(b"POST /path?q=1 HTTP/1.1\r\n")
    assert b"\r\nx-one: 1\r\n" in endpoint.requests[0]


def test_closed_connection_is_not_reused():
    endpoint = StubEndpoint(RESPONSE_WITHOUT_LENGTH, close=True)
    answers = _fetch(endpoint, times=2)
    assert [a.body for a in answers] == [b"hello", b"hello"]
    # A connection after each close shows that the endpoint still runs; the
    # second request is sent on the first of them.
    assert endpoint.connections == 3


# Guards against: a part of a response that came before its endpoint's process
# ended is taken for the whole (MIXED).
def test_response_without_length_of_a_process_that_ended_is_refused():
    endpoint = StubEndpoint(RESPONSE_WITHOUT_LENGTH, close=True)
    endpoint.stops_listening = True
    with pytest.raises(upstream_module.UpstreamError, match="process ended"):
        _fetch(endpoint)


@pytest.mark.parametrize(
    ("answer", "close"),
    [
        (TRUNCATED_RESPONSE, True),
        (b"", True),
        (b"", False),
        (b"not http\r\n\r\n", True),
    ],
    ids=["cut", "no answer", "silent", "not http"],
)
def test_failure_after_sending_may_have_run(answer, close):
    with pytest.raises(upstream_module.UpstreamError) as caught:
        _fetch(StubEndpoint(answer, close))
    assert caught.value.maybe_sent
    assert caught.value.step == "upstream.read"


def test_failure_to_connect_proves_that_nothing_was_sent():
    async def work():
        upstream = upstream_module.UpstreamClient()
        async with StubEndpoint(COMPLETE_RESPONSE).running() as endpoint:
            address = endpoint.address
        await upstream.fetch(_request(address))

    with pytest.raises(upstream_module.UpstreamError) as caught:
        asyncio.run(work())
    assert not caught.value.maybe_sent
    assert caught.value.step == "upstream.connect"


@pytest.mark.parametrize(
    ("path", "query", "target"),
    [
        ("/a/b", b"", "/a/b"),
        ("/a b", b"c=%20d", "/a%20b?c=%20d"),
        ("/a%20b", b"", "/a%2520b"),
        ("/a?b", b"c", "/a%3Fb?c"),
        ("/\u00e9", b"", "/%C3%A9"),
        ("/a HTTP/1.1\r\nx: y", b"", "/a%20HTTP/1.1%0D%0Ax:%20y"),
    ],
)
def test_decoded_path_is_percent_encoded(path, query, target):
    assert upstream_module.request_target(path, query) == target


@pytest.mark.parametrize("target", ["/a b", "/a\r\nx: y", "/a\n", "/\u00e9"])
def test_target_that_would_end_the_request_line_is_not_sent(target):
    endpoint = StubEndpoint(COMPLETE_RESPONSE)

    async def work():
        upstream = upstream_module.UpstreamClient()
        async with endpoint.running():
            outgoing = _request(endpoint.address)
            await upstream.fetch(outgoing._replace(target=target))

    with pytest.raises(upstream_module.UpstreamError) as caught:
        asyncio.run(work())
    assert not caught.value.maybe_sent
    assert endpoint.requests == []


def test_response_over_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(upstream_module, "MAX_BUFFERED_RESPONSE_BYTES", 4)
    with pytest.raises(upstream_module.UpstreamError, match="too large"):
        _fetch(StubEndpoint(COMPLETE_RESPONSE))


def test_connections_in_use_are_not_closed_as_idle():
    async def work():
        upstream = upstream_module.UpstreamClient()
        async with StubEndpoint(COMPLETE_RESPONSE).running() as endpoint:
            async with upstream.stream(_request(endpoint.address)) as first:
                upstream.close_idle(clock.now_ms())
                body = await upstream_module.read_body(first, "engine")
            await upstream.fetch(_request(endpoint.address))
            upstream.close_idle(clock.now_ms() + 60_000)
            return body, endpoint.connections, upstream.pools

    body, connections, pools = asyncio.run(work())
    assert body == b"hello"
    assert connections == 1
    assert pools == {}
