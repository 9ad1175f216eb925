"""HTTP requests that are sent only while a lease is held.

The bytes of a request are buffered until the response is first read. The
guard, a function that says whether the lease is held, is called then, and
only if it returns True is the whole request written, in a single write. A
request that the guard refuses has sent nothing.
"""

from typing import Any
from typing import Callable
from typing import Iterable
from typing import NamedTuple

import httpcore

from primrosehitch import errors

TIMEOUT_S = 2.0

Guard = Callable[[], bool]


class NotInChargeError(errors.PrimrosehitchError):
    """The lease was not held when the request was about to be sent."""


class GuardedStream(httpcore.AsyncNetworkStream):
    """A stream that buffers writes and sends them if the guard agrees.

    Args:
        inner: the stream of the connection.
        guard: called immediately before the buffered bytes are written.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream, guard: Guard):
        self.inner = inner
        self.guard = guard
        self.unsent = bytearray()

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Write the buffered bytes if the guard agrees, then read.

        Args:
            max_bytes: the most bytes to return.
            timeout: limit of the write and of the read, each, in seconds.

        Raises:
            NotInChargeError: The guard returned False; nothing was sent.
        """
        if self.unsent:
            data = bytes(self.unsent)
            self.unsent.clear()
            if not self.guard():
                raise NotInChargeError(
                    "the lease is not held; nothing was sent", "guarded.send"
                )
            await self.inner.write(data, timeout)
        return await self.inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next read."""
        self.unsent += buffer

    async def aclose(self) -> None:
        """Close the connection without sending the buffered bytes."""
        await self.inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self.inner.get_extra_info(info)


class GuardedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose writes a guard can refuse."""

    def __init__(self, guard: Guard):
        self.inner = httpcore.AnyIOBackend()
        self.guard = guard

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection and wrap its stream with the guard."""
        stream = await self.inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return GuardedStream(stream, self.guard)


class Reply(NamedTuple):
    """The HTTP response of the called system."""

    status: int
    body: bytes


async def call(
    guard: Guard,
    method: str,
    address: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Reply:
    """Send one HTTP request if the guard agrees and return the response.

    Args:
        guard: called immediately before the only write.
        method: HTTP method.
        address: the receiver as ``ip:port``.
        path: the path of the URL.
        headers: headers besides content type and length.
        body: the JSON body.

    Raises:
        NotInChargeError: The guard returned False; nothing was sent.
        LinkError: No response arrived; the request may have been received.
    """
    timeouts = {
        "connect": TIMEOUT_S,
        "read": TIMEOUT_S,
        "write": TIMEOUT_S,
        "pool": TIMEOUT_S,
    }
    pool = httpcore.AsyncConnectionPool(
        network_backend=GuardedBackend(guard), max_connections=1
    )
    async with pool:
        try:
            response = await pool.request(
                method,
                f"http://{address}{path}",
                headers=[
                    ("content-type", "application/json"),
                    ("content-length", str(len(body))),
                    *headers.items(),
                ],
                content=body,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as exc:
            text = f"{type(exc).__name__} {exc}"
            raise errors.LinkError(text, "guarded.call", address) from exc
    return Reply(response.status, response.content)


__all__ = ["Guard", "NotInChargeError", "Reply", "call"]
