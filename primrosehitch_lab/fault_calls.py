"""HTTP calls of a fault soak, which may fail in every way."""

import anyio
import httpcore

# How a connection or a call ends while something is done to its peer.
TORN = (
    TimeoutError,
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


async def call(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Return (status, body), or None where no whole answer came.

    Args:
        method: of the request.
        address: ``ip:port``.
        path: of the request.
        body: of the request.
        headers: by name.
        limit_s: how long all of it may take, in seconds.
    """
    try:
        with anyio.fail_after(limit_s):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    method,
                    f"http://{address}{path}",
                    headers=list((headers or {}).items()),
                    content=body,
                )
                return answer.status, answer.content
    except TORN:
        # The process or its path is under a fault; the caller goes on.
        return None


__all__ = ["TORN", "call"]
