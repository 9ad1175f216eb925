"""What is done to the processes, paths and engines of a fault soak."""

import random
import shutil
import signal
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Sequence

import anyio

from primrosehitch import registry
from primrosehitch_lab import fault_engines
from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import fault_proxy

STEPS = 10
# An engine that is heard again is known to all within the first time, and
# serves within the second if the others drain.
HEARD_AGAIN_S = 3.0
USED_AGAIN_S = 3.0
# A control instance that lost its disk, or a new one, counts again this long
# after its start; settings files name it after the second time.
CATCH_UP_S = 4.0
SEED_LAG_S = 3.0
POLL_S = 0.05
Step = Callable[[random.Random], Awaitable[None]]


class Schedule:
    """Faults and planned work, drawn from a seed.

    Args:
        fleet: the processes.
        slots: the engines.
        ledger: what is told.
        now: the time since the soak began, in seconds.
        rng: draws what and when.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        slots: list[fault_engines.EngineSlot],
        ledger: fault_ledger.Ledger,
        now: Callable[[], float],
        rng: random.Random,
    ):
        self.fleet = fleet
        self.slots = slots
        self.ledger = ledger
        self.now = now
        self.rng = rng
        self.busy: set[str] = set()
        self.wiped = False
        self.has_replaced = False
        # Held while a disk is lost and not replaced yet.
        self.disk_loss = anyio.Lock()

    async def run(self) -> None:
        """Do one thing after the other, and several at once."""
        steps: list[Step] = [
            self._kill_edge,
            self._roll_edges,
            self._pause_edge,
            self._kill_control,
            self._roll_controls,
            self._pause_control,
            self._wipe_control,
            self._harm_path,
            self._crash_engine,
            self._drain_engine,
        ]
        async with anyio.create_task_group() as group:
            for _ in range(STEPS):
                # Each step draws from its own numbers, so that timing
                # does not change what the others do.
                own = random.Random(self.rng.getrandbits(64))
                group.start_soon(self.rng.choice(steps), own)
                await anyio.sleep(self.rng.uniform(0.1, 2.5))

    async def silence_engine(self) -> None:
        """Lose an engine's heartbeats for long, while it serves on.

        That is no departure: the edges use it again once it is heard, if
        only since the others drain. It disturbs no other promise, and so
        is not told as a fault.
        """
        slot, *others = self.slots
        self.busy.add(slot.name)
        slot.is_heard = False
        await anyio.sleep(registry.HEARTBEAT_TIMEOUT_MS / 1000 + 2)
        slot.is_heard = True
        await anyio.sleep(HEARD_AGAIN_S)
        heard_at = self.now()
        async with anyio.create_task_group() as group:
            for other in others:
                group.start_soon(self._drain_slot, other, USED_AGAIN_S)
        if not self.ledger.has_run_at(slot.identifier, heard_at):
            text = f"{slot.identifier} is heard again and unused"
            self.ledger.findings.append(text)
        self.busy.discard(slot.name)

    def _free_slot(
        self, rng: random.Random
    ) -> fault_engines.EngineSlot | None:
        """Return an engine's slot that is not kept silent, or None."""
        slot = rng.choice(self.slots)
        return slot if slot.is_heard else None

    def fault(self, kind: str, target: str, planned: bool) -> "_Open":
        return _Open(self, kind, target, planned)

    def _take(
        self, rng: random.Random, names: Sequence[str]
    ) -> fault_fleet.Process | None:
        """Return a process that no other fault has in hand."""
        free = [n for n in names if n not in self.busy]
        return self.fleet.processes[rng.choice(free)] if free else None

    async def _kill(self, rng: random.Random, names: Sequence[str]) -> None:
        process = self._take(rng, names)
        if process is not None:
            with self.fault("kill", process.name, False):
                process.kill()
                await anyio.sleep(rng.uniform(0, 1.5))
                process.begin()

    async def _pause(self, rng: random.Random, names: Sequence[str]) -> None:
        process = self._take(rng, names)
        if process is not None:
            with self.fault("pause", process.name, False):
                process.signal(signal.SIGSTOP)
                await anyio.sleep(rng.uniform(0.1, 3))
                process.signal(signal.SIGCONT)

    async def _roll(self, rng: random.Random, names: Sequence[str]) -> None:
        for name in list(names):
            process = self.fleet.processes.get(name)
            if name in self.busy or process is None:
                continue
            with self.fault("roll", name, name in fault_fleet.EDGES):
                listens = await process.listens()
                status = await process.stop()
                early = not listens and status == -signal.SIGTERM
                # Asked to end before it listened, a process just ends.
                if status != 0 and not early:
                    text = f"{name} ended with {status} after SIGTERM"
                    self.ledger.findings.append(text)
                    process.kill()
                process.begin()
                await anyio.sleep(1)

    async def _kill_edge(self, rng: random.Random) -> None:
        await self._kill(rng, fault_fleet.EDGES)

    async def _kill_control(self, rng: random.Random) -> None:
        await self._kill(rng, self.fleet.controls)

    async def _pause_edge(self, rng: random.Random) -> None:
        await self._pause(rng, fault_fleet.EDGES)

    async def _pause_control(self, rng: random.Random) -> None:
        await self._pause(rng, self.fleet.controls)

    async def _roll_edges(self, rng: random.Random) -> None:
        await self._roll(rng, fault_fleet.EDGES)

    async def _roll_controls(self, rng: random.Random) -> None:
        await self._roll(rng, self.fleet.controls)

    async def _wipe_control(self, rng: random.Random) -> None:
        """Lose one disk, once; more than one at a time is not borne."""
        async with self.disk_loss:
            while self.has_replaced and not self._controls_have_caught_up():
                await anyio.sleep(POLL_S)
            process = self._take(rng, self.fleet.controls)
            if process is None or self.wiped:
                return
            self.wiped = True
            with self.fault("wipe", process.name, False):
                process.kill()
                if process.data_folder.exists():
                    shutil.rmtree(process.data_folder)
                process.begin()
            await anyio.sleep(CATCH_UP_S)

    async def replace_all_controls(self) -> None:
        """Replace each control instance that there is, one after the other.

        The settings files get the new seeds some time later, without a
        signal.
        """
        for name in list(self.fleet.controls):
            await self._replace_one(name)

    async def _replace_one(self, name: str) -> None:
        """Replace a control instance once all have caught up.

        One that was down or paused counts as lost until then, and its disk
        would be one too many.
        """
        async with self.disk_loss:
            self.has_replaced = True
            while not self._controls_have_caught_up():
                await anyio.sleep(POLL_S)
            with self.fault("replace", name, False):
                successor = self.fleet.replace_control(name)
                # No other fault hits the successor before it has caught up.
                with self.fault("join", successor.name, False):
                    await anyio.sleep(SEED_LAG_S)
                    self.fleet.write_settings()
            await anyio.sleep(CATCH_UP_S - SEED_LAG_S)

    def _controls_have_caught_up(self) -> bool:
        since = self.now() - CATCH_UP_S
        return not any(
            fault.target.startswith("control") and fault.end > since
            for fault in self.ledger.faults
        )

    async def _harm_path(self, rng: random.Random) -> None:
        slot = self._free_slot(rng)
        if slot is None:
            return
        mode = rng.choice(list(fault_proxy.Mode))
        with self.fault(f"path {mode.value}", slot.name, False):
            if mode is fault_proxy.Mode.PASS:
                slot.proxy.reset_all()
            slot.proxy.set_mode(mode, rng.uniform(0.01, 0.3))
            await anyio.sleep(rng.uniform(0.2, 3))
            slot.proxy.set_mode(fault_proxy.Mode.PASS)

    async def _crash_engine(self, rng: random.Random) -> None:
        slot = self._free_slot(rng)
        if slot is None:
            return
        with self.fault("crash", slot.name, False):
            slot.crash()
            await anyio.sleep(0.5)

    async def _drain_engine(self, rng: random.Random) -> None:
        slot = self._free_slot(rng)
        if slot is None:
            return
        await self._drain_slot(slot, rng.uniform(1, 3))

    async def _drain_slot(
        self, slot: fault_engines.EngineSlot, seconds: float
    ) -> None:
        with self.fault("drain", slot.name, True):
            slot.state = "draining"
            await anyio.sleep(seconds)
            slot.state = "ready"
            slot.born += 1
            slot.sequence = 0


class _Open:
    """A fault under way; its end is noted when it is left."""

    def __init__(
        self, schedule: Schedule, kind: str, target: str, planned: bool
    ):
        self.schedule = schedule
        self.fault = fault_ledger.Fault(
            kind, target, schedule.now(), float("inf"), planned
        )

    def __enter__(self) -> None:
        self.schedule.busy.add(self.fault.target)
        self.schedule.ledger.faults.append(self.fault)

    def __exit__(self, *_: Any) -> None:
        self.schedule.busy.discard(self.fault.target)
        faults = self.schedule.ledger.faults
        faults.remove(self.fault)
        faults.append(self.fault._replace(end=self.schedule.now()))


__all__ = ["Schedule"]
