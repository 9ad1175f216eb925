"""Calls to endpoints, over connections kept between requests.

Failures are told apart by whether a byte of the request may have left:
only a failure to connect proves that none did.
"""

import contextlib
import re
from typing import AsyncIterator
from typing import NamedTuple
from urllib import parse

import anyio

from primrosehitch import clock
from primrosehitch import headers as headers_module
from primrosehitch import httpclient
from primrosehitch import settings as settings_module
from primrosehitch import timers

# How often connections that were idle for too long are closed, in ms.
IDLE_CHECK_INTERVAL_MS = 1000
# The largest answer held in memory as a whole, in bytes.
MAX_BUFFERED_RESPONSE_BYTES = 32 << 20
# Endpoints of these calls need not echo an identifier that is matched on
# the connection; the relay looks at it.
NO_CORRELATION_ID = httpclient.CorrelationId(b"", b"")
# What RFC 3986 allows in a path as it is, besides letters and digits.
UNESCAPED_PATH_CHARS = "/-._~!$&'()*+,;=:@"
# A request line with one of these would be read as another request.
INVALID_TARGET_CHAR = re.compile(r"[^\x21-\x7e]")


class UpstreamError(httpclient.EndpointError):
    """A call of a gateway to an endpoint failed."""


class EndpointRequest(NamedTuple):
    """A request for an endpoint; the timeout is between bytes."""

    method: str
    address: str
    target: str
    headers: list[headers_module.Header]
    body: bytes
    timeout_s: float


class BufferedResponse(NamedTuple):
    """An endpoint's whole answer."""

    status: int
    headers: list[headers_module.Header]
    body: bytes


class StreamedResponse:
    """An answer whose head is in.

    Args:
        head: its status and headers.
        connection: where its body comes from.
        timeout_s: how long the endpoint may send nothing.
    """

    def __init__(
        self,
        head: httpclient.ResponseHead,
        connection: httpclient.EndpointConnection,
        timeout_s: float,
    ):
        self.status = head.status
        self.headers = head.headers
        self.connection = connection
        self.timeout_s = timeout_s

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises:
            UpstreamError: the answer broke off, or nothing came in time.
        """
        while True:
            item = await _receive(self.connection, self.timeout_s)
            if item is httpclient.ResponseEnd.COMPLETE:
                return
            if not isinstance(item, bytes):
                raise _read_error(self.connection, "the answer broke off")
            yield item


class UpstreamClient:
    """The connections of one gateway to all endpoints."""

    def __init__(self) -> None:
        self.pools: dict[str, httpclient.ConnectionPool] = {}

    def _connection_pool(self, address: str) -> httpclient.ConnectionPool:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = httpclient.ConnectionPool(
                settings_module.parse_address(address)
            )
        return pool

    async def run(self, service: timers.TimerService) -> None:
        """Close what is idle for too long, until cancelled."""
        async for tick in service.subscribe(IDLE_CHECK_INTERVAL_MS):
            self.close_expired(tick.now)

    def close_expired(self, now: int) -> None:
        """Close connections that were idle for too long by now, in ms."""
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.idle:
                del self.pools[address]

    @contextlib.asynccontextmanager
    async def stream(
        self, request: EndpointRequest
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield the response once its head is in.

        Raises:
            UpstreamError: the endpoint could not be reached or broke.
        """
        head = _encode_head(request)
        pool = self._connection_pool(request.address)
        try:
            connection = await pool.acquire(
                clock.now_ms(), httpclient.CONNECT_TIMEOUT_MS
            )
        except httpclient.EndpointError as exc:
            raise UpstreamError(
                str(exc), "upstream.connect", request.address, False
            ) from exc
        try:
            head_only = request.method == "HEAD"
            connection.send(head, request.body, NO_CORRELATION_ID, head_only)
            first = await _receive(connection, request.timeout_s)
            if not isinstance(first, httpclient.ResponseHead):
                raise _read_error(connection, "closed without an answer")
            yield StreamedResponse(first, connection, request.timeout_s)
        finally:
            self._connection_pool(request.address).release(connection)

    async def request(self, request: EndpointRequest) -> BufferedResponse:
        """Send a request and return the whole answer.

        Raises:
            UpstreamError: it failed, or the answer is too large.
        """
        async with self.stream(request) as response:
            body = await read_body(response, request.address)
            return BufferedResponse(response.status, response.headers, body)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.values():
            pool.close()


async def read_body(response: StreamedResponse, peer: str) -> bytes:
    """Return a response's whole body, bounded.

    Raises:
        UpstreamError: it is larger than accepted, or broke off.
    """
    chunks = []
    size = 0
    async for chunk in response.body_chunks():
        size += len(chunk)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            raise UpstreamError(
                "answer too large", "upstream.read", peer, True
            )
        chunks.append(chunk)
    return b"".join(chunks)


def request_target(path: str, query: bytes) -> str:
    """Return the target of a request line.

    Args:
        path: the path, decoded, as servers hand it on.
        query: the query as it came, without its question mark.
    """
    target = parse.quote(path, safe=UNESCAPED_PATH_CHARS)
    return f"{target}?{query.decode('latin-1')}" if query else target


def _encode_head(request: EndpointRequest) -> bytes:
    """Return the bytes before the body.

    Raises:
        UpstreamError: the target would end the request line.
    """
    if INVALID_TARGET_CHAR.search(request.target):
        raise UpstreamError(
            "a target with blanks", "upstream.send", request.address, False
        )
    lines = [
        f"{request.method} {request.target} HTTP/1.1".encode("latin-1"),
        b"host: " + request.address.encode(),
        b"content-length: %d" % len(request.body),
    ]
    lines.extend(name + b": " + value for name, value in request.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def _receive(
    connection: httpclient.EndpointConnection, timeout_s: float
) -> httpclient.ResponseHead | bytes | httpclient.ResponseEnd:
    if connection.received_items:
        return await connection.receive()
    try:
        with anyio.fail_after(timeout_s):
            return await connection.receive()
    except TimeoutError as exc:
        raise _read_error(connection, f"silent for {timeout_s} s") from exc


def _read_error(
    connection: httpclient.EndpointConnection, text: str
) -> UpstreamError:
    return UpstreamError(text, "upstream.read", str(connection.address), True)


__all__ = [
    "BufferedResponse",
    "EndpointRequest",
    "StreamedResponse",
    "UpstreamClient",
    "UpstreamError",
    "read_body",
    "request_target",
]
