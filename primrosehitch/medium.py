"""Storage media: named files whose content is durable once synced.

``DiskMedium`` stores them in a folder. ``MemoryMedium`` is for tests; it
can simulate a crash that loses unsynced data.
"""

import contextlib
import errno
import os
import pathlib
from typing import Iterator
from typing import Protocol

from primrosehitch import errors

# A full disk, a used-up quota and a file at its limit of size.
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Medium(Protocol):
    """Interface of a storage medium with named files."""

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; ``sync`` makes them durable."""

    def sync(self, name: str) -> None:
        """Make all appended bytes of a file durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's whole content, atomically and durably."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, durably."""

    def close(self) -> None:
        """Close all files."""


class MemoryMedium:
    """A medium in memory that can simulate a crash.

    Attributes:
        durable: synced content by file name.
        pending: content appended since the last sync, by file name.
    """

    def __init__(self) -> None:
        self.durable: dict[str, bytes] = {}
        self.pending: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""
        if name not in self.durable and name not in self.pending:
            return None
        return self.durable.get(name, b"") + self.pending.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; a crash may lose them in whole or in part."""
        self.pending[name] = self.pending.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Make all appended bytes durable."""
        self.durable[name] = self.read(name) or b""
        self.pending.pop(name, None)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's whole content."""
        self.pending.pop(name, None)
        self.durable[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        self.replace(name, (self.read(name) or b"")[:size])

    def close(self) -> None:
        """Do nothing; the content stays readable."""

    def crash(self, kept_fraction: float) -> None:
        """Simulate a crash that keeps only the first unsynced bytes.

        Args:
            kept_fraction: the share, 0 to 1, of unsynced bytes that survive.
        """
        for name, data in self.pending.items():
            kept = data[: int(len(data) * kept_fraction)]
            self.durable[name] = self.durable.get(name, b"") + kept
        self.pending = {}


class DiskMedium:
    """A medium on disk, with its files in one folder.

    Args:
        folder: the data folder, created if it is missing.

    Attributes:
        descriptors: open file descriptors by file name.

    Raises:
        LogFullError: the disk is full and the folder is missing.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        with self._translate_disk_full(""):
            folder.mkdir(parents=True, exist_ok=True)
        self.descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""
        with contextlib.suppress(FileNotFoundError):
            return (self.folder / name).read_bytes()
        return None

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; ``sync`` makes them durable.

        Raises:
            LogFullError: the disk is full.
        """
        with self._translate_disk_full(name):
            descriptor = self._descriptor(name)
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]

    def sync(self, name: str) -> None:
        """Make all appended bytes durable with fsync.

        Raises:
            LogFullError: the disk is full.
        """
        with self._translate_disk_full(name):
            os.fsync(self._descriptor(name))

    def replace(self, name: str, data: bytes) -> None:
        """Write a temporary file and rename it over the old one.

        Raises:
            LogFullError: the disk is full.
        """
        with self._translate_disk_full(name):
            temporary = self.folder / (name + ".new")
            descriptor = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                remaining = memoryview(data)
                while remaining:
                    remaining = remaining[os.write(descriptor, remaining) :]
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(temporary, self.folder / name)
            self._sync_folder()
            self._close_file(name)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, durably."""
        descriptor = self._descriptor(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def close(self) -> None:
        """Close all files."""
        for name in list(self.descriptors):
            self._close_file(name)

    def _descriptor(self, name: str) -> int:
        """Return a file's descriptor, opening the file if needed."""
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.descriptors[name] = os.open(self.folder / name, flags, 0o600)
            self._sync_folder()
        return self.descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        """Make creations and renames of files durable."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @contextlib.contextmanager
    def _translate_disk_full(self, name: str) -> Iterator[None]:
        """Raise ``LogFullError`` in place of the errors of a full disk."""
        try:
            yield
        except OSError as exc:
            if exc.errno not in NO_SPACE_ERRORS:
                raise
            path = str(self.folder / name)
            raise errors.LogFullError(
                "no space left on the disk of the data folder",
                "log.append",
                path,
            ) from exc


__all__ = ["DiskMedium", "Medium", "MemoryMedium"]
