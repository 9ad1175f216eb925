"""Clients of a fault soak that send requests ahead and read no response.

The crowd is small and short: it has to cost callers nothing but the time of
the processor.
"""

import asyncio
import random
import socket
from typing import Callable

import anyio

from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger

CONNECTIONS = 12
SENT_BYTES = 256 << 10
LASTS_S = 2.0
BEGINS_S = (1.0, 8.0)
RECEIVE_BUFFER_BYTES = 4096
# Unknown paths, the readiness path, and a body whose end does not come.
REQUESTS = (
    b"GET /nowhere/x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /a/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n",
)


class Crowd:
    """Sends requests to one edge and reads nothing, once.

    Args:
        fleet: whose edge gets them.
        ledger: what is told.
        now: the time since the soak began, in seconds.
        rng: draws when and where.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        ledger: fault_ledger.Ledger,
        now: Callable[[], float],
        rng: random.Random,
    ):
        self.fleet = fleet
        self.ledger = ledger
        self.now = now
        self.rng = rng
        self.sent_bytes = 0

    async def run(self) -> None:
        """Wait for a moment, then be there for a while."""
        await anyio.sleep(self.rng.uniform(*BEGINS_S))
        name = self.rng.choice(fault_fleet.EDGES)
        host = self.fleet.processes[name].host
        fault = fault_ledger.Fault(
            "crowd", name, self.now(), float("inf"), False
        )
        self.ledger.faults.append(fault)
        with anyio.move_on_after(LASTS_S):
            async with anyio.create_task_group() as group:
                for number in range(CONNECTIONS):
                    request = REQUESTS[number % len(REQUESTS)]
                    group.start_soon(self._send, host, request)
        self.ledger.faults.remove(fault)
        self.ledger.faults.append(fault._replace(end=self.now()))

    async def _send(self, host: str, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        data = request * (SENT_BYTES // len(request))
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            try:
                await loop.sock_connect(sock, (host, fault_fleet.FRONT_PORT))
                await loop.sock_sendall(sock, data)
                self.sent_bytes += len(data)
            except OSError:
                # The edge may close the connection, or not be there.
                return
            await anyio.sleep_forever()


__all__ = ["Crowd"]
