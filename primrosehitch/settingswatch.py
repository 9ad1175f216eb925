"""Applies changes of an instance's settings file while it runs.

The file may change with or without a signal. Of the changed settings the
seeds are used at once; the others count from the next start.
"""

import os
import pathlib
from typing import Callable

import anyio

from primrosehitch import errors
from primrosehitch import events
from primrosehitch import instance as instance_module
from primrosehitch import settings as settings_module

# An edge that knows no live control instance needs its new seeds well
# within the time in which a configuration change must reach it.
CHECK_PERIOD_S = 0.5

Signature = tuple[int, int, int]
Seeds = tuple[settings_module.Address, ...]


class SettingsWatch:
    """Watches one settings file.

    Args:
        path: the file; what it holds now counts as known.

    Attributes:
        seeds: those of the last change that is valid, None before the first.
        signature: the file's identity when it was last read, None if there
            was no file.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.seeds: Seeds | None = None
        self.apply_seeds: Callable[[Seeds], None] | None = None
        self.signature = self._read_signature()

    def attach(self, apply_seeds: Callable[[Seeds], None]) -> None:
        """Apply the seeds of each change from now on, and those read before.

        Args:
            apply_seeds: called with the seeds of a changed file.
        """
        self.apply_seeds = apply_seeds
        if self.seeds is not None:
            apply_seeds(self.seeds)

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if self._read_signature() != self.signature:
                self.read()

    def read(self) -> None:
        """Read the file and apply its seeds, or log why it is not valid."""
        self.signature = self._read_signature()
        try:
            settings = instance_module.load(self.path)
        except (errors.PrimrosehitchError, ValueError) as exc:
            events.emit(events.SETTINGS_REFUSED, error=str(exc))
            return
        events.emit(
            events.SETTINGS_READ,
            path=self.path.name,
            seeds=" ".join(map(str, settings.seeds)),
        )
        self.seeds = settings.seeds
        if self.apply_seeds is not None:
            self.apply_seeds(settings.seeds)

    def _read_signature(self) -> Signature | None:
        # Not in a worker thread: the kernel holds the inode in memory.
        try:
            found = os.stat(self.path)
        except OSError:
            # It is being replaced; a missing file changes nothing.
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


__all__ = ["CHECK_PERIOD_S", "Seeds", "SettingsWatch"]
