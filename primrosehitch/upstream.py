"""Calls to endpoints over an httpcore pool.

Failures are told apart by whether a byte of the request may have left:
only a failure to connect proves that none did.
"""

import contextlib
from typing import AsyncIterator
from typing import NamedTuple

import httpcore

from primrosehitch import errors
from primrosehitch import headers as headers_module

CONNECT_S = 1.0
IDLE_KEPT_S = 20.0
MAX_CONNECTIONS = 2000
IDLE_CONNECTIONS = 8
POOLS_KEPT = 256
ACCEPTED_BODY_BYTES = 32 << 20


class UpstreamError(errors.PrimrosehitchError):
    """A call to an endpoint failed.

    Args:
        sent: whether a byte of the request may have left.
    """

    def __init__(self, text: str, step: str, peer: str, sent: bool):
        self.sent = sent
        super().__init__(text, step, peer)


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


class Upstream:
    """The connections of one gateway to all endpoints.

    Each endpoint has a pool of its own: a pool looks at every idle
    connection for each request.
    """

    def __init__(self) -> None:
        self.pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self.pools.get(address)
        if pool is None:
            self._forget_unused()
            pool = self.pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_KEPT_S,
            )
        return pool

    def _forget_unused(self) -> None:
        if len(self.pools) < POOLS_KEPT:
            return
        unused = [a for a, p in self.pools.items() if not p.connections]
        for address in unused:
            del self.pools[address]

    @contextlib.asynccontextmanager
    async def stream(
        self, outgoing: Outgoing
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield the response once its head is in.

        Raises:
            UpstreamError: the endpoint could not be reached or broke.
        """
        timeouts = {
            "connect": CONNECT_S,
            "read": outgoing.timeout_s,
            "write": outgoing.timeout_s,
            "pool": CONNECT_S,
        }
        request = self._pool(outgoing.address).stream(
            outgoing.method,
            f"http://{outgoing.address}{outgoing.target}",
            headers=[
                (b"host", outgoing.address.encode()),
                (b"content-length", str(len(outgoing.body)).encode()),
                *outgoing.headers,
            ],
            content=outgoing.body,
            extensions={"timeout": timeouts},
        )
        with _translated(outgoing.address, "upstream.send"):
            response = await request.__aenter__()
        try:
            with _translated(outgoing.address, "upstream.read"):
                yield response
        finally:
            await request.__aexit__(None, None, None)

    async def call(self, outgoing: Outgoing) -> Answer:
        """Send a request and return the whole answer.

        Raises:
            UpstreamError: it failed, or the answer is too large.
        """
        async with self.stream(outgoing) as response:
            body = await read_whole(response, outgoing.address)
            return Answer(response.status, response.headers, body)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.aclose()


async def read_whole(response: httpcore.Response, peer: str) -> bytes:
    """Return a response's whole body, bounded.

    Raises:
        UpstreamError: it is larger than accepted.
    """
    parts = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > ACCEPTED_BODY_BYTES:
            raise UpstreamError(
                "answer too large", "upstream.read", peer, True
            )
        parts.append(chunk)
    return b"".join(parts)


@contextlib.contextmanager
def _translated(peer: str, step: str):
    try:
        yield
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
        text = f"{type(exc).__name__} {exc}"
        raise UpstreamError(text, "upstream.connect", peer, False) from exc
    except httpcore.PoolTimeout as exc:
        raise UpstreamError("pool", "upstream.pool", peer, False) from exc
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as exc:
        text = f"{type(exc).__name__} {exc}"
        raise UpstreamError(text, step, peer, True) from exc


__all__ = ["Answer", "Outgoing", "Upstream", "UpstreamError", "read_whole"]
