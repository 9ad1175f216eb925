"""Callers of a fault soak, and what comes back to them."""

import random
from typing import Callable

import anyio

from primrosehitch_lab import fault_calls
from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import platform_caller

TIMEOUT_S = 2.0
ANSWER_LIMIT_S = 8.0
RESUMED_PATH = "/resume/x"
PATHS = ("/a/x", "/once/x", RESUMED_PATH)
# Share of new connections that ignore readiness, as those of a balancer
# that has not noticed a drain yet. They go to an edge until its end.
UNAWARE_SHARE = 0.3


# The attempt that began a stream, and the events that the caller has of it.
Resumption = tuple[str, int]


class Callers:
    """All callers of a soak.

    Args:
        fleet: whose edges they call.
        ledger: what they tell.
        now: the time since the soak began, in seconds.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        ledger: fault_ledger.Ledger,
        now: Callable[[], float],
    ):
        self.fleet = fleet
        self.ledger = ledger
        self.now = now
        self.requests = 0
        self.ready: set[str] = set()
        self.resumptions: dict[int, Resumption] = {}

    async def watch_ready(self) -> None:
        """Keep the edges that say they are ready, as a balancer does."""
        while True:
            for name in fault_fleet.EDGES:
                url = self.fleet.address(name, fault_fleet.READY_PORT)
                got = await fault_calls.call(
                    "GET", url, "/-/ready", limit_s=0.3
                )
                if got is not None and got[0] == 200:
                    self.ready.add(name)
                else:
                    self.ready.discard(name)
            await anyio.sleep(0.2)

    async def call_forever(self, number: int) -> None:
        """Call on a connection for as long as the edge keeps it open."""
        rng = random.Random(number)
        while True:
            aware = self.ready and rng.random() >= UNAWARE_SHARE
            edge = rng.choice(
                sorted(self.ready) if aware else fault_fleet.EDGES
            )
            host = self.fleet.processes[edge].host
            try:
                with anyio.fail_after(1):
                    stream = await anyio.connect_tcp(
                        host, fault_fleet.FRONT_PORT
                    )
            except fault_calls.TORN:
                await anyio.sleep(0.05)
                continue
            async with stream:
                caller = platform_caller.Caller(stream)
                resumption = self.resumptions.pop(number, None)
                while await self._try(
                    caller, edge, rng.choice(PATHS), number, resumption
                ):
                    resumption = None
                    await anyio.sleep(rng.uniform(0.01, 0.08))

    async def _try(
        self,
        caller: platform_caller.Caller,
        edge: str,
        path: str,
        number: int,
        resumption: Resumption | None,
    ) -> bool:
        """Send a request; return whether the connection goes on.

        A stream that breaks off is resumed by the caller's next request.
        """
        self.requests += 1
        identifier = f"{self.requests:016x}"
        method = "POST" if path.startswith("/once/") else "GET"
        stream, events_before = resumption or (identifier, 0)
        headers = {}
        if resumption is not None:
            path, method = RESUMED_PATH, "GET"
            headers = {
                "Resumes": stream,
                "Last_Event_Id": str(events_before),
            }
        data = platform_caller.request(
            path, method, b"", identifier, **headers
        )
        begin = self.now()
        status, headers, body, whole = 0, {}, b"", False
        try:
            await caller.send(data)
            status, headers, body, whole = await caller.answer(ANSWER_LIMIT_S)
        except fault_calls.TORN:
            # Counted below as an answer that did not come.
            status = 0
        item = fault_ledger.Try(
            identifier,
            path,
            edge,
            begin,
            self.now(),
            status,
            body,
            whole,
            TIMEOUT_S,
            stream,
            events_before,
        )
        self.ledger.tries.append(item)
        events = body.count(b"\n\n") if status == 200 else 0
        if path == RESUMED_PATH and events and not whole:
            self.resumptions[number] = (stream, events_before + events)
        return whole and headers.get("connection", "").lower() != "close"

    async def ask(self, edge: str, path: str) -> int | None:
        """Send one request on a connection of its own.

        Returns:
            The status, or None where no whole answer came.
        """
        url = self.fleet.address(edge, fault_fleet.FRONT_PORT)
        self.requests += 1
        headers = {
            "Host": platform_caller.HOST,
            "Request-Id": f"{self.requests:016x}",
            "Credential": platform_caller.KEY,
        }
        got = await fault_calls.call(
            "GET", url, path, headers=headers, limit_s=3
        )
        return None if got is None else got[0]


__all__ = ["Callers"]
