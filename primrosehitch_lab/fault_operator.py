"""The operator of a fault soak: changes the table and looks at it."""

import json
import random
import re
from typing import Callable

import anyio

from primrosehitch_lab import fault_callers
from primrosehitch_lab import fault_calls
from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import platform_caller

TABLE_S = 0.7
PROBE_S = 0.15
# A table keeps this many marks of versions before its own, so that a
# newer one that is in force already does not hide an older one.
MARKS = 20
_VERSION = re.compile(rb"^primrosehitch_version (\S+)", re.MULTILINE)


class Operator:
    """Changes the table, reads it back, and asks edges what they obey.

    Args:
        fleet: the processes.
        ledger: what is told.
        callers: through which edges are asked.
        now: the time since the soak began, in seconds.
        rng: draws pauses and instances.
        more_routes: how many routes nobody asks for each table has.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        ledger: fault_ledger.Ledger,
        callers: fault_callers.Callers,
        now: Callable[[], float],
        rng: random.Random,
        more_routes: int = 0,
    ):
        self.fleet = fleet
        self.ledger = ledger
        self.callers = callers
        self.now = now
        self.rng = rng
        self.more_routes = more_routes
        self.version = 0

    async def put_table(self) -> None:
        """Send the next table; note it where it is acknowledged."""
        version = self.version + 1
        document = platform_caller.table_document(version)
        public = document["routes"][4]
        for mark in range(max(1, version - MARKS), version + 1):
            route = {**public, "path_prefix": f"/mark/{mark}/"}
            document["routes"].append(route)
        document["routes"] += platform_caller.further_routes(self.more_routes)
        got = await self.fleet.control_call("POST", "/-/Config.Put", document)
        self.version = version
        if got is not None and got[0] == 200:
            self.ledger.acknowledged.append((version, self.now()))

    async def change_tables(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.2, 2 * TABLE_S))
            await self.put_table()

    async def read_tables(self) -> None:
        while True:
            await anyio.sleep(PROBE_S)
            name = self.rng.choice(self.fleet.controls)
            url = self.fleet.address(name, fault_fleet.CONTROL_PORT)
            sent = self.now()
            got = await fault_calls.call(
                "GET", url, "/-/Config.Get", limit_s=2
            )
            if got is not None and got[0] == 200:
                version = json.loads(got[1])["version"]
                self.ledger.note_read(version, sent, name)

    async def probe_edges(self) -> None:
        while True:
            await anyio.sleep(PROBE_S)
            edge = self.rng.choice(fault_fleet.EDGES)
            start = self.fleet.processes[edge].start
            newest = self.ledger.newest(self.now())
            if not newest:
                continue
            sent = self.now()
            status = await self.callers.ask(edge, f"/mark/{newest}/x")
            known = status != 404
            if status == 503:
                # It may lack endpoints, or refuse since it is out of touch.
                version = await self._version_at(edge)
                known = version is not None and version >= newest
                status = version
            same = start == self.fleet.processes[edge].start
            if status is not None and same:
                self.ledger.note_probe(edge, start, newest, known, sent)

    async def _version_at(self, edge: str) -> int | None:
        """Return the version in force at an edge, None if it is not told."""
        url = self.fleet.address(edge, fault_fleet.READY_PORT)
        got = await fault_calls.call("GET", url, "/metrics", limit_s=0.5)
        found = got and _VERSION.search(got[1])
        return int(float(found[1])) if found else None


__all__ = ["Operator"]
