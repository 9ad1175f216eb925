"""Calls that may leave only while a lease holds, in a single write.

The request's bytes are gathered; when the answer is first read for, the
guard is asked, and only then is everything written at once. A call that
the guard stops has sent nothing.
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
    """The lease was not held at the moment of sending."""


class GuardedStream(httpcore.AsyncNetworkStream):
    """A stream that writes once, after asking the guard."""

    def __init__(self, inner: httpcore.AsyncNetworkStream, guard: Guard):
        self.inner = inner
        self.guard = guard
        self.unsent = bytearray()

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Send what was gathered if allowed, then read."""
        if self.unsent:
            data = bytes(self.unsent)
            self.unsent.clear()
            if not self.guard():
                raise NotInChargeError("lease not held", "guarded.send")
            await self.inner.write(data, timeout)
        return await self.inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Gather bytes to send."""
        self.unsent += buffer

    async def aclose(self) -> None:
        """Close the connection; gathered bytes are never sent."""
        await self.inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the connection says of itself."""
        return self.inner.get_extra_info(info)


class GuardedBackend(httpcore.AsyncNetworkBackend):
    """Opens guarded connections."""

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
        """Open a connection."""
        stream = await self.inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return GuardedStream(stream, self.guard)


class Reply(NamedTuple):
    """An outside system's answer."""

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
    """Send one request while the guard allows it.

    Args:
        guard: asked immediately before the only write.
        method: HTTP method.
        address: ``ip:port``.
        target: path.
        headers: further headers.
        body: the body.

    Raises:
        NotInChargeError: the guard said no; nothing was sent.
        LinkError: no answer came; it may have been received.
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
