"""Signals of a fault soak that must cost nothing, and ends of processes.

A process that nobody ended has failed, whatever its exit status.
"""

import random
import signal
import time
from typing import Callable

import anyio

from primrosehitch_lab import fault_fleet
from primrosehitch_lab import fault_ledger

PAUSE_S = (0.05, 0.6)
# A process that began so lately is still starting; most signals go there.
START_TIME_S = 1.5
STARTING_SHARE = 0.7
WATCH_PERIOD_S = 0.05
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.3


class Signals:
    """Tells processes that their settings changed, at any moment.

    Args:
        fleet: whose processes get signals.
        ledger: what is told.
        now: the time since the soak began, in seconds.
        rng: draws when and whom.
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

    async def reload_settings(self) -> None:
        """Send SIGHUP again and again, mostly to processes that start."""
        while True:
            await anyio.sleep(self.rng.uniform(*PAUSE_S))
            processes = list(self.fleet.processes.values())
            began_after = time.monotonic() - START_TIME_S
            starting = [p for p in processes if p.began_at > began_after]
            if starting and self.rng.random() < STARTING_SHARE:
                processes = starting
            process = self.rng.choice(processes)
            # Nothing can protect an interpreter before its first line.
            if process.is_importing:
                process.signal(signal.SIGHUP)

    async def watch_ends(self) -> None:
        """Find processes that ended by themselves; start them again."""
        while True:
            await anyio.sleep(WATCH_PERIOD_S)
            for process in self.fleet.processes.values():
                status = process.own_end_status()
                if status is None:
                    continue
                self.ledger.findings.append(
                    f"{process.name} ended by itself with {status}"
                    f" at {self.now():.3f}"
                )
                process.is_ending = True
                ended = process.popen
                await anyio.sleep(RESTART_DELAY_S)
                # Another fault may have started it meanwhile.
                if process.popen is ended:
                    process.begin()


__all__ = ["Signals"]
