"""Engines of a fault soak that name a limit, crash or write garbage."""

import random
from typing import Callable

import anyio

from primrosehitch_lab import fault_calls
from primrosehitch_lab import fault_engines
from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger
from primrosehitch_lab import fault_schedule
from primrosehitch_lab import platform_caller

LIMIT_DELAY_S = 3.0
CRASH_PAUSE_S = (0.3, 1.5)
GARBLE_PAUSE_S = (0.5, 2.0)
GARBLE_S = (0.5, 2.0)
# Bytes that no run of an engine wrote.
GARBAGE = (
    b"id: \ndata: of no run\n\n",
    b"data: of no run\n\n",
    b"id: 1\ndata: of no run\n\n",
    b"\x00\xff\x80 noise\n\n",
)


class EngineNeeds:
    """Limits and crashing requests of a soak.

    Args:
        fleet: whose edges are called.
        slots: the engines.
        ledger: what is told.
        schedule: notes the crashes as faults.
        now: the time since the soak began, in seconds.
        rng: draws when and where.
    """

    def __init__(
        self,
        fleet: fault_fleet.FaultFleet,
        slots: list[fault_engines.EngineSlot],
        ledger: fault_ledger.Ledger,
        schedule: fault_schedule.Schedule,
        now: Callable[[], float],
        rng: random.Random,
    ):
        self.fleet = fleet
        self.slots = slots
        self.ledger = ledger
        self.schedule = schedule
        self.now = now
        self.rng = rng

    async def name_limit(self) -> None:
        """Let the first engine name a limit, and each that follows it."""
        await anyio.sleep(LIMIT_DELAY_S)
        self.slots[0].limit = str(self.ledger.limit_per_s)
        self.ledger.limited_since[self.slots[0].name] = self.now()

    async def repeat_crash(self) -> None:
        """Send one request again and again, which crashes engines."""
        for slot in self.slots:
            slot.on_crashing_request = self._crash
        number = 0
        while True:
            await anyio.sleep(self.rng.uniform(*CRASH_PAUSE_S))
            number += 1
            edge = self.rng.choice(fault_fleet.EDGES)
            identifier = f"c{number:015x}"
            self.ledger.crash_edges[identifier] = edge
            headers = {
                "Host": platform_caller.HOST,
                "Request-Id": identifier,
                "Credential": platform_caller.KEY,
            }
            address = self.fleet.address(edge, fault_fleet.FRONT_PORT)
            path = fault_ledger.CRASH_PATH
            await fault_calls.call(
                "GET", address, path, headers=headers, limit_s=3
            )

    async def garble_streams(self) -> None:
        """Let one engine after the other write garbage for a while."""
        while True:
            await anyio.sleep(self.rng.uniform(*GARBLE_PAUSE_S))
            slot = self.rng.choice(self.slots)
            garbage = self.rng.choice(GARBAGE)
            with self.schedule.fault("garble", slot.name, False):
                slot.garbage = garbage
                await anyio.sleep(self.rng.uniform(*GARBLE_S))
                slot.garbage = b""

    async def _crash(self, slot: fault_engines.EngineSlot) -> None:
        with self.schedule.fault("crashing request", slot.name, False):
            slot.crash()
            await anyio.sleep(0.5)


__all__ = ["EngineNeeds"]
