"""A seeded fault soak of real processes: three control instances, two
edges, engines behind proxies, callers and an operator.

Faults come in series and overlap. What callers, engines and the operator
see goes into a ledger, which knows the promises. The seed fixes the
schedule; the processes' timing is their own.
"""

import json
import multiprocessing
import pathlib
import random
import shutil
import tempfile
import time
from typing import NamedTuple

import anyio

from primrosehitch_lab import fault_callers
from primrosehitch_lab import fault_crowd
from primrosehitch_lab import fault_engine_needs
from primrosehitch_lab import fault_engines
from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import fault_operator
from primrosehitch_lab import fault_schedule
from primrosehitch_lab import fault_signals

ENGINES = 3
CALLERS = 10
# Interpreters start one after the other on a busy machine; nothing is
# promised of the first start.
START_S = 30.0
# All is served again this long after the last fault.
RECOVERY_S = 12.0
WORKERS = 3
# One in so many seeds loses an engine's heartbeats for a while.
SILENCE_EVERY = 3
# One in so many seeds has an engine that names a limit, and one in so many a
# request that crashes engines.
LIMIT_EVERY = 2
CRASH_EVERY = 5
# One in so many seeds has engines that write garbage into their streams.
GARBLE_EVERY = 2
# One in so many seeds replaces all control instances.
REPLACE_EVERY = 4
# One in so many seeds has clients that read no response.
CROWD_EVERY = 7
# One in so many seeds has tables of so many routes more.
LARGE_EVERY = 7
LARGE_ROUTES = 2000
FIRST_NET = 40
NETS = 200


class Counters(NamedTuple):
    """What one soak did."""

    requests: int
    served: int
    refused: int
    failed: int
    tables: int
    faults: int


class FaultSoak:
    """One soak.

    Args:
        seed: of the schedule.
        folder: where settings, data and logs go.
        net: third number of its loopback addresses.
    """

    def __init__(self, seed: int, folder: pathlib.Path, net: int):
        self.began = time.monotonic()
        self.silences_engine = seed % SILENCE_EVERY == 0
        self.names_limit = seed % LIMIT_EVERY == 0
        self.repeats_crash = seed % CRASH_EVERY == 0
        self.garbles_streams = seed % GARBLE_EVERY == 1
        self.replaces_controls = seed % REPLACE_EVERY == 2
        self.has_crowd = seed % CROWD_EVERY == 5
        self.fleet = fault_fleet.FaultFleet(folder, net)
        self.ledger = fault_ledger.Ledger()
        self.slots = [
            fault_engines.EngineSlot(self.fleet, self.ledger, self.now, number)
            for number in range(1, ENGINES + 1)
        ]
        self.callers = fault_callers.Callers(self.fleet, self.ledger, self.now)
        self.operator = fault_operator.Operator(
            self.fleet,
            self.ledger,
            self.callers,
            self.now,
            random.Random(f"operator {seed}"),
            LARGE_ROUTES if seed % LARGE_EVERY == 3 else 0,
        )
        self.schedule = fault_schedule.Schedule(
            self.fleet,
            self.slots,
            self.ledger,
            self.now,
            random.Random(seed),
        )
        self.needs = fault_engine_needs.EngineNeeds(
            self.fleet,
            self.slots,
            self.ledger,
            self.schedule,
            self.now,
            random.Random(f"needs {seed}"),
        )
        self.crowd = fault_crowd.Crowd(
            self.fleet,
            self.ledger,
            self.now,
            random.Random(f"crowd {seed}"),
        )
        self.signals = fault_signals.Signals(
            self.fleet,
            self.ledger,
            self.now,
            random.Random(f"signals {seed}"),
        )

    def now(self) -> float:
        """Return the time since the soak began, in seconds."""
        return time.monotonic() - self.began

    # -- the run -----------------------------------------------------------

    async def run(self) -> Counters:
        """Run the schedule; the ledger has the findings then."""
        try:
            async with anyio.create_task_group() as group:
                for slot in self.slots:
                    await group.start(slot.live)
                self.fleet.begin()
                group.start_soon(self.signals.watch_ends)
                group.start_soon(self.signals.reload_settings)
                group.start_soon(self.callers.watch_ready)
                await self._until_served(START_S)
                self.fleet.write_settings()
                await self._load()
                await self._end()
                group.cancel_scope.cancel()
        finally:
            self.fleet.end()
        self.ledger.close()
        return self._counters()

    async def _load(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                group.start_soon(self.callers.call_forever, number)
            group.start_soon(self.operator.change_tables)
            group.start_soon(self.operator.read_tables)
            group.start_soon(self.operator.probe_edges)
            if self.names_limit:
                group.start_soon(self.needs.name_limit)
            if self.repeats_crash:
                group.start_soon(self.needs.repeat_crash)
            if self.garbles_streams:
                group.start_soon(self.needs.garble_streams)
            if self.has_crowd:
                group.start_soon(self.crowd.run)
            async with anyio.create_task_group() as steps:
                steps.start_soon(self.schedule.run)
                if self.replaces_controls:
                    steps.start_soon(self.schedule.replace_all_controls)
                if self.silences_engine:
                    steps.start_soon(self.schedule.silence_engine)
            group.cancel_scope.cancel()

    async def _end(self) -> None:
        """Kill all at once, then look what outlived it."""
        names = list(self.fleet.processes)
        with self.schedule.fault("kill all", "control-*", False):
            for name in names:
                self.fleet.processes[name].kill()
            for name in names:
                self.fleet.processes[name].begin()
        await self._until_served(RECOVERY_S)
        until = self.now() + RECOVERY_S
        while self.now() < until:
            sent = self.now()
            got = await self.fleet.control_call("GET", "/-/Config.Get")
            if got is not None and got[0] == 200:
                version = json.loads(got[1])["version"]
                self.ledger.note_read(version, sent, "the end")
                return
            await anyio.sleep(0.1)
        self.ledger.findings.append("no table could be read at the end")

    async def _until_served(self, limit_s: float) -> None:
        """Wait until every edge serves, which is owed within a time."""
        left = set(fault_fleet.EDGES)
        until = self.now() + limit_s
        while left and self.now() < until:
            if not self.ledger.acknowledged:
                await self.operator.put_table()
            for name in list(left):
                if await self.callers.ask(name, "/a/x") == 200:
                    left.discard(name)
            await anyio.sleep(0.1)
        for name in sorted(left):
            text = f"{name} did not serve within {limit_s} s"
            self.ledger.findings.append(text)

    def _counters(self) -> Counters:
        tries = self.ledger.tries
        served = sum(t.status == 200 and t.whole for t in tries)
        refused = sum(t.status in fault_ledger.NOT_RUN for t in tries)
        return Counters(
            len(tries),
            served,
            refused,
            len(tries) - served - refused,
            len(self.ledger.acknowledged),
            len(self.ledger.faults),
        )


def run_seed(
    seed: int, net: int, keep: pathlib.Path
) -> tuple[Counters, list[str]]:
    """Run one soak; return what it did and the promises broken.

    Args:
        seed: of the schedule.
        net: third number of its loopback addresses.
        keep: where the logs of a soak with findings go.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        soak = FaultSoak(seed, folder, net)
        counters = anyio.run(soak.run)
        findings = soak.ledger.findings
        if findings:
            faults = "\n".join(map(str, sorted(soak.ledger.faults)))
            text = "\n".join(findings) + "\n" + faults + "\n"
            (folder / "findings.txt").write_text(text)
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        return counters, findings


def _run_guarded(
    item: tuple[int, int],
) -> tuple[int, Counters | None, list[str]]:
    seed, first = item
    net = FIRST_NET + (seed - first) % NETS
    try:
        return seed, *run_seed(seed, net, pathlib.Path("out") / "faults")
    except Exception as exc:
        # The other soaks go on, and their processes are ended.
        return seed, None, [f"the soak itself failed: {exc!r}"]


def run_many(seed: int, count: int) -> int:
    """Run soaks side by side; print totals and findings.

    Returns:
        0 where no promise was broken, else 1.
    """
    totals = dict.fromkeys(Counters._fields, 0)
    broken = 0
    with multiprocessing.Pool(WORKERS) as pool:
        seeds = [(number, seed) for number in range(seed, seed + count)]
        for number, counters, findings in pool.imap(_run_guarded, seeds):
            broken += bool(findings)
            for text in findings:
                print(f"seed {number}: {text}", flush=True)
            if counters is None:
                continue
            for name, value in counters._asdict().items():
                totals[name] += value
    print(f"{count - broken} passed, {broken} failed")
    print(" ".join(f"{k}={v}" for k, v in totals.items()))
    return 1 if broken else 0


__all__ = ["Counters", "FaultSoak", "run_many", "run_seed"]
