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
SWEEP_MS = 1000
# The largest answer held in memory as a whole, in bytes.
ACCEPTED_BODY_BYTES = 32 << 20
# Endpoints of these calls need not echo an identifier that is matched on
# the connection; the relay looks at it.
UNMATCHED = httpclient.CorrelationId(b"", b"")
# What RFC 3986 allows in a path as it is, besides letters and digits.
PATH_SAFE = "/-._~!$&'()*+,;=:@"
# A request line with one of these would be read as another request.
BLANK = re.compile(r"[^\x21-\x7e]")


class UpstreamError(httpclient.EndpointError):
    """A call of a gateway to an endpoint failed."""


class Outgoing(NamedTuple):
    """A request for an endpoint; the timeout is between bytes."""

    method: str
    address: str
    target: str
    headers: list[headers_module.Header]
    body: bytes
    timeout_s: float


class Answer(NamedTuple):
    """An endpoint's whole answer."""

    status: int
    headers: list[headers_module.Header]
    body: bytes


class Response:
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

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises:
            UpstreamError: the answer broke off, or nothing came in time.
        """
        while True:
            item = await _receive(self.connection, self.timeout_s)
            if item is httpclient.ResponseEnd.COMPLETE:
                return
            if not isinstance(item, bytes):
                raise _broken(self.connection, "the answer broke off")
            yield item


class Upstream:
    """The connections of one gateway to all endpoints."""

    def __init__(self) -> None:
        self.pools: dict[str, httpclient.ConnectionPool] = {}

    def _pool(self, address: str) -> httpclient.ConnectionPool:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = httpclient.ConnectionPool(
                settings_module.parse_address(address)
            )
        return pool

    async def run(self, service: timers.TimerService) -> None:
        """Close what is idle for too long, until cancelled."""
        async for tick in service.subscribe(SWEEP_MS):
            self.sweep(tick.now)

    def sweep(self, now: int) -> None:
        """Close connections that were idle for too long by now, in ms."""
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.idle:
                del self.pools[address]

    @contextlib.asynccontextmanager
    async def stream(self, outgoing: Outgoing) -> AsyncIterator[Response]:
        """Send a request and yield the response once its head is in.

        Raises:
            UpstreamError: the endpoint could not be reached or broke.
        """
        head = _head(outgoing)
        pool = self._pool(outgoing.address)
        try:
            connection = await pool.acquire(
                clock.now_ms(), httpclient.CONNECT_TIMEOUT_MS
            )
        except httpclient.EndpointError as exc:
            raise UpstreamError(
                str(exc), "upstream.connect", outgoing.address, False
            ) from exc
        try:
            head_only = outgoing.method == "HEAD"
            connection.send(head, outgoing.body, UNMATCHED, head_only)
            first = await _receive(connection, outgoing.timeout_s)
            if not isinstance(first, httpclient.ResponseHead):
                raise _broken(connection, "closed without an answer")
            yield Response(first, connection, outgoing.timeout_s)
        finally:
            self._pool(outgoing.address).release(connection)

    async def call(self, outgoing: Outgoing) -> Answer:
        """Send a request and return the whole answer.

        Raises:
            UpstreamError: it failed, or the answer is too large.
        """
        async with self.stream(outgoing) as response:
            body = await read_whole(response, outgoing.address)
            return Answer(response.status, response.headers, body)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.values():
            pool.close()


async def read_whole(response: Response, peer: str) -> bytes:
    """Return a response's whole body, bounded.

    Raises:
        UpstreamError: it is larger than accepted, or broke off.
    """
    parts = []
    size = 0
    async for part in response.parts():
        size += len(part)
        if size > ACCEPTED_BODY_BYTES:
            raise UpstreamError(
                "answer too large", "upstream.read", peer, True
            )
        parts.append(part)
    return b"".join(parts)


def target_of(path: str, query: bytes) -> str:
    """Return the target of a request line.

    Args:
        path: the path, decoded, as servers hand it on.
        query: the query as it came, without its question mark.
    """
    target = parse.quote(path, safe=PATH_SAFE)
    return f"{target}?{query.decode('latin-1')}" if query else target


def _head(outgoing: Outgoing) -> bytes:
    """Return the bytes before the body.

    Raises:
        UpstreamError: the target would end the request line.
    """
    if BLANK.search(outgoing.target):
        raise UpstreamError(
            "a target with blanks", "upstream.send", outgoing.address, False
        )
    lines = [
        f"{outgoing.method} {outgoing.target} HTTP/1.1".encode("latin-1"),
        b"host: " + outgoing.address.encode(),
        b"content-length: %d" % len(outgoing.body),
    ]
    lines.extend(name + b": " + value for name, value in outgoing.headers)
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
        raise _broken(connection, f"silent for {timeout_s} s") from exc


def _broken(
    connection: httpclient.EndpointConnection, text: str
) -> UpstreamError:
    return UpstreamError(text, "upstream.read", str(connection.address), True)


__all__ = [
    "Answer",
    "Outgoing",
    "Response",
    "Upstream",
    "UpstreamError",
    "read_whole",
    "target_of",
]
