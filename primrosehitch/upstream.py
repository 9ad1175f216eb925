"""HTTP client for a gateway's requests to endpoints.

Connections are pooled by address and reused. An error says whether a byte
of the request may have been sent; a failure to connect proves that none
was.
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

# Interval at which expired idle connections are closed.
IDLE_CHECK_INTERVAL_MS = 1000
# Responses that are buffered must not be larger.
MAX_BUFFERED_RESPONSE_BYTES = 32 << 20
# No identifier is matched on the connection, for these endpoints need not
# echo one; the relay checks the one that a response has.
NO_CORRELATION_ID = httpclient.CorrelationId(b"", b"")
# Characters besides letters and digits that RFC 3986 allows unescaped in a
# path.
UNESCAPED_PATH_CHARS = "/-._~!$&'()*+,;=:@"
# Blanks and line breaks in a target would let it end the request line and
# smuggle in headers or another request.
INVALID_TARGET_CHAR = re.compile(r"[^\x21-\x7e]")


class UpstreamError(httpclient.EndpointError):
    """A gateway's request to an endpoint failed."""


class EndpointRequest(NamedTuple):
    """A request to an endpoint.

    Attributes:
        method: the HTTP method.
        address: the endpoint's address, as host:port.
        target: path and query of the request line, percent-encoded.
        headers: all headers besides Host and Content-Length.
        body: the whole body.
        timeout_s: how long the endpoint may send no byte.
    """

    method: str
    address: str
    target: str
    headers: list[headers_module.Header]
    body: bytes
    timeout_s: float


class BufferedResponse(NamedTuple):
    """An endpoint's complete response."""

    status: int
    headers: list[headers_module.Header]
    body: bytes


class StreamedResponse:
    """A response whose head was received and whose body is streamed.

    Args:
        head: the status and headers.
        connection: the connection that the body is read from.
        pool: the endpoint's connections.
        timeout_s: how long the endpoint may send no byte.
    """

    def __init__(
        self,
        head: httpclient.ResponseHead,
        connection: httpclient.EndpointConnection,
        pool: httpclient.ConnectionPool,
        timeout_s: float,
    ):
        self.status = head.status
        self.headers = head.headers
        self.connection = connection
        self.pool = pool
        self.timeout_s = timeout_s

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            UpstreamError: the response broke off or timed out.
        """
        while True:
            item = await _receive(self.connection, self.timeout_s)
            if item is httpclient.ResponseEnd.COMPLETE:
                if (
                    self.connection.ends_at_close
                    and not await self.pool.is_process_running()
                ):
                    raise _read_error(
                        self.connection, "the endpoint's process ended"
                    )
                return
            if not isinstance(item, bytes):
                raise _read_error(self.connection, "the response broke off")
            yield item


class UpstreamClient:
    """HTTP client of one gateway, with a connection pool per endpoint.

    Attributes:
        pools: connection pools by address.
    """

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
        """Close expired connections periodically until cancelled."""
        async for tick in service.subscribe(IDLE_CHECK_INTERVAL_MS):
            self.close_idle(tick.now)

    def close_idle(self, now: int) -> None:
        """Close expired idle connections and drop empty pools.

        Args:
            now: the current time in ms, by ``clock.now_ms``.
        """
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.idle:
                del self.pools[address]

    @contextlib.asynccontextmanager
    async def stream(
        self, request: EndpointRequest
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield the response after its head has arrived.

        Raises:
            UpstreamError: the endpoint was unreachable, broke off or
                timed out, or the target is invalid.
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
                raise _read_error(
                    connection, "the connection closed before a response"
                )
            yield StreamedResponse(first, connection, pool, request.timeout_s)
        finally:
            self._connection_pool(request.address).release(connection)

    async def fetch(self, request: EndpointRequest) -> BufferedResponse:
        """Send a request and return the complete response.

        Raises:
            UpstreamError: the request failed, or the response is larger
                than ``MAX_BUFFERED_RESPONSE_BYTES``.
        """
        async with self.stream(request) as response:
            body = await read_body(response, request.address)
            return BufferedResponse(response.status, response.headers, body)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.values():
            pool.close()


async def read_body(response: StreamedResponse, peer: str) -> bytes:
    """Return the complete body of a response.

    Args:
        response: the response, whose body was not read yet.
        peer: the endpoint's address or name, for errors.

    Raises:
        UpstreamError: the body is larger than
            ``MAX_BUFFERED_RESPONSE_BYTES``, broke off or timed out.
    """
    chunks = []
    size = 0
    async for chunk in response.body_chunks():
        size += len(chunk)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            raise UpstreamError(
                "the response is too large", "upstream.read", peer, True
            )
        chunks.append(chunk)
    return b"".join(chunks)


def request_target(path: str, query: bytes) -> str:
    """Return the target of a request line, percent-encoded.

    Args:
        path: the path, decoded, as ASGI servers provide it.
        query: the query as received, without the question mark.
    """
    target = parse.quote(path, safe=UNESCAPED_PATH_CHARS)
    return f"{target}?{query.decode('latin-1')}" if query else target


def _encode_head(request: EndpointRequest) -> bytes:
    """Return the request line and headers.

    Raises:
        UpstreamError: the target has a character that would end the
            request line.
    """
    if INVALID_TARGET_CHAR.search(request.target):
        raise UpstreamError(
            "the target has an invalid character",
            "upstream.send",
            request.address,
            False,
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
        raise _read_error(
            connection, f"no byte received for {timeout_s} s"
        ) from exc


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
