"""Engines of a fault soak: they tell what they run, crash and drain."""

from typing import Any
from typing import Awaitable
from typing import Callable

import anyio
import anyio.abc

from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import fault_proxy
from primrosehitch_lab import platform_engine

EVENT_GAP_S = 0.03
CALL_S = 0.02
BEAT_S = 0.4
RESTART_S = 0.2
# Garbage follows these events of a stream.
GARBLED_EVENTS = (2, 6)


class SoakEngine(platform_engine.StandInEngine):
    """An engine that tells a ledger what it runs.

    Args:
        ledger: what it tells.
        now: the time since the soak began, in seconds.
        slot: where it serves, which knows its limit and what crashes it.
        group: runs what happens to the slot.
    """

    def __init__(
        self,
        ledger: fault_ledger.Ledger,
        now: Callable[[], float],
        slot: "EngineSlot",
        group: anyio.abc.TaskGroup,
    ):
        super().__init__(
            ["by_path"], fault_ledger.STREAM_EVENTS, version=slot.version
        )
        self.ledger = ledger
        self.now = now
        self.name = slot.identifier
        self.slot = slot
        self.first_born = slot.born
        self.group = group

    async def _play_by_path(self, stream, seen) -> bool:
        path = seen.line.split()[1]
        identifier = seen.headers["request-id"]
        if not self._is_expected(seen):
            return await self._play_elsewhere(stream, seen)
        run = fault_ledger.Run(identifier, path, self.name, self.now())
        self.ledger.note_run(run)
        self.limit = self.slot.limit
        crash = self.slot.on_crashing_request
        if path == fault_ledger.CRASH_PATH and crash is not None:
            await anyio.sleep(CALL_S)
            self.group.start_soon(crash, self.slot)
            await anyio.sleep_forever()
        if path.startswith("/resume/"):
            return await self._stream(stream, seen, self.events, True)
        await anyio.sleep(CALL_S)
        headers = self._echo(seen) + platform_engine.STAMP
        return await self._answer(
            stream, b"200 OK", headers, identifier.encode()
        )

    def _is_expected(self, seen: platform_engine.Seen) -> bool:
        """Return whether the request is for this process.

        A drain gives it a new name, and it answers to the earlier ones.
        """
        _, _, born = seen.headers["expect-instance"].rpartition("-")
        return self.first_born <= int(born) <= self.slot.born

    async def _event(self, stream, seen, number: int) -> None:
        await anyio.sleep(EVENT_GAP_S)
        identifier = seen.headers["request-id"].encode()
        event = b"id: %d\ndata: %s %s\n\n" % (
            number,
            identifier,
            self.version.encode(),
        )
        await self._chunk(stream, event)
        if self.slot.garbage and number in GARBLED_EVENTS:
            await self._chunk(stream, self.slot.garbage)


CrashHandler = Callable[["EngineSlot"], Awaitable[None]]


class EngineSlot:
    """An address at which one engine after the other serves.

    Args:
        fleet: whose control instances hear of it.
        ledger: what its engines tell.
        now: the time since the soak began, in seconds.
        number: which one.

    Attributes:
        starts: how often an engine process has started; a drain renames one.
        version: the software version of the process that serves. Two serve
            side by side, and it changes with every second start.
        limit: the limit that its engines name, if not empty.
        garbage: what its engines write between events, if not empty.
        on_crashing_request: handles a request that crashes its engine.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        ledger: fault_ledger.Ledger,
        now: Callable[[], float],
        number: int,
    ):
        self.fleet = fleet
        self.ledger = ledger
        self.now = now
        self.number = number
        self.name = f"engine-{number}"
        self.proxy = fault_proxy.FaultProxy()
        self.state = "ready"
        self.is_heard = True
        self.born = 0
        self.starts = 0
        self.version = ""
        self.sequence = 0
        self.scope: anyio.CancelScope | None = None
        self.limit = ""
        self.garbage = b""
        self.on_crashing_request: CrashHandler | None = None

    async def live(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run engines at the slot, a new one after each crash."""
        async with anyio.create_task_group() as group:
            await group.start(self.proxy.run)
            group.start_soon(self._announce)
            while True:
                self.born += 1
                self.starts += 1
                self.version = f"v{(self.number + self.starts // 2) % 2}"
                self.sequence = 0
                with anyio.CancelScope() as scope:
                    self.scope = scope
                    async with anyio.create_task_group() as inner:
                        engine = SoakEngine(self.ledger, self.now, self, group)
                        await inner.start(engine.run)
                        self.proxy.target = engine.address
                        task_status.started()
                        task_status = anyio.TASK_STATUS_IGNORED
                await anyio.sleep(RESTART_S)

    def crash(self) -> None:
        """End the engine that serves now, and all its connections."""
        if self.scope is not None:
            self.scope.cancel()
        self.proxy.reset_all()

    @property
    def identifier(self) -> str:
        """The name of the engine that serves now."""
        return f"{self.name}-{self.born}"

    async def _announce(self) -> None:
        while True:
            await anyio.sleep(BEAT_S)
            if not self.is_heard:
                continue
            self.sequence += 1
            report: dict[str, Any] = {
                "service": "svc",
                "address": self.proxy.address,
                "zone": "za",
                "slots": 64,
                "state": self.state,
                "seq": self.sequence,
                "born": self.born,
                "version": self.version,
            }
            path = f"/-/Instances.Heartbeat/{self.identifier}"
            await self.fleet.control_call("POST", path, report)


__all__ = ["EngineSlot", "SoakEngine"]
