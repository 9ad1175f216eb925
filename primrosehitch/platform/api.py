"""Client of the platform's HTTP API for usage reports and orders.

Each call carries the holder's name and its fencing token. Usage counts
and orders are absolute, so a call can be repeated unchanged.
"""

import json
from typing import Any

import anyio

from primrosehitch import clock
from primrosehitch import duties
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import httpclient
from primrosehitch import messages
from primrosehitch import scaling
from primrosehitch import settings as settings_module

HOLDER_HEADER = "Duty-Holder"
FENCING_TOKEN_HEADER = "Fence-Token"
# The API may be slow. A call that takes longer is repeated unchanged.
CALL_TIMEOUT_S = 2.0


class PlatformApi:
    """Calls the platform's API.

    Args:
        address: the API's address.
    """

    def __init__(self, address: settings_module.Address):
        self.address = address
        self.pool = httpclient.ConnectionPool(address)

    async def report_usage(
        self, lease: duties.Lease, seal: messages.SealWindow
    ) -> duties.CallResult:
        """Report the number of requests per customer in one window."""
        counts = {item.customer: item.requests for item in seal.counts}
        document = {"window": seal.window, "counts": counts}
        return await self._call("/usage", lease, document)

    async def order_endpoints(
        self, lease: duties.Lease, want: scaling.CapacityOrder
    ) -> duties.CallResult:
        """Order a number of engines of a service in a zone."""
        document: dict[str, Any] = {
            "service": want.service,
            "zone": want.domain,
            "desired": want.count,
        }
        if want.spot:
            document["spot"] = True
        return await self._call("/scale", lease, document)

    async def _call(
        self, path: str, lease: duties.Lease, document: dict[str, Any]
    ) -> duties.CallResult:
        body = json.dumps(document).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{HOLDER_HEADER}: {lease.holder}\r\n"
            f"{FENCING_TOKEN_HEADER}: {lease.fencing_token}\r\n\r\n"
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                status = await self._exchange(head.encode(), body, lease)
        except (TimeoutError, errors.PrimrosehitchError) as exc:
            text = str(exc) or type(exc).__name__
            events.emit(events.API_FAILED, call=path, error=text)
            return duties.CallResult.UNKNOWN
        if status is None:
            return duties.CallResult.WITHHELD
        if 200 <= status < 300:
            return duties.CallResult.ACCEPTED
        if status == 409:
            return duties.CallResult.UNAVAILABLE
        events.emit(events.API_FAILED, call=path, error=f"status {status}")
        return duties.CallResult.UNKNOWN

    async def _exchange(
        self, head: bytes, body: bytes, lease: duties.Lease
    ) -> int | None:
        """Send one call on a pooled connection.

        Returns:
            The HTTP status, or None if the call was not sent because the
            lease had ended.

        Raises:
            EndpointError: the connection ended without an answer.
        """
        connection = await self.pool.acquire(
            clock.now_ms(), CALL_TIMEOUT_S * 1000
        )
        try:
            if not lease.is_valid():
                return None
            matcher = httpclient.CorrelationId(b"", b"")
            connection.send(head, body, matcher, False)
            answer = await connection.receive()
            part: Any = answer
            while not isinstance(part, httpclient.ResponseEnd):
                part = await connection.receive()
        finally:
            self.pool.release(connection)
        if not isinstance(answer, httpclient.ResponseHead):
            raise httpclient.EndpointError(
                "the platform sent no answer",
                "api.call",
                str(self.address),
                True,
            )
        return answer.status


__all__ = ["PlatformApi"]
