"""The durable log: framed records on a medium, with one snapshot.

All changes between two calls of ``sync`` form one frame, so a crash can
tear only the last frame; a bad frame with a good one behind it is
damage. A medium is a set of named byte files; the memory medium serves
tests and forgets what was not synced when it is told to crash.
"""

import contextlib
import errno
import os
import pathlib
import struct
from typing import Iterator
from typing import NamedTuple
from typing import Protocol
import zlib

import xxhash

from primrosehitch import errors
from primrosehitch import messages

MAGIC = b"PHL1"
HEADER = struct.Struct("<4sIIQ")
RECORD = struct.Struct("<HI")
LOG_FILE = "log"
IDENTITY_FILE = "identity"
TRUNCATE_KIND = 0


class Medium(Protocol):
    """Named byte files that last once synced."""

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Add bytes to the end of a file."""

    def sync(self, name: str) -> None:
        """Return once all appended bytes will outlast a crash."""

    def replace(self, name: str, data: bytes) -> None:
        """Swap a file's whole content, atomically and durably."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, durably."""


class MemoryMedium:
    """A medium in memory that can lose what was not synced."""

    def __init__(self) -> None:
        self.durable: dict[str, bytes] = {}
        self.pending: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""
        if name not in self.durable and name not in self.pending:
            return None
        return self.durable.get(name, b"") + self.pending.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Add bytes that a crash may lose or tear."""
        self.pending[name] = self.pending.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Make all appended bytes durable."""
        self.durable[name] = self.read(name) or b""
        self.pending.pop(name, None)

    def replace(self, name: str, data: bytes) -> None:
        """Swap a file's content."""
        self.pending.pop(name, None)
        self.durable[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        self.replace(name, (self.read(name) or b"")[:size])

    def crash(self, kept: float) -> None:
        """Lose unsynced bytes but for a leading part.

        Args:
            kept: the fraction, 0 to 1, of unsynced bytes that survive.
        """
        for name, data in self.pending.items():
            part = data[: int(len(data) * kept)]
            self.durable[name] = self.durable.get(name, b"") + part
        self.pending = {}


class DiskMedium:
    """A medium in one folder.

    Args:
        folder: the data folder, made where it is missing.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.handles: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None where there is none."""
        with contextlib.suppress(FileNotFoundError):
            return (self.folder / name).read_bytes()
        return None

    def append(self, name: str, data: bytes) -> None:
        """Add bytes; they last after ``sync``."""
        with self._full_disk_named(name):
            handle = self._handle(name)
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        """Call fsync on the file."""
        with self._full_disk_named(name):
            os.fsync(self._handle(name))

    def replace(self, name: str, data: bytes) -> None:
        """Write a new file beside the old one and rename it."""
        with self._full_disk_named(name):
            temporary = self.folder / (name + ".new")
            handle = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                view = memoryview(data)
                while view:
                    view = view[os.write(handle, view) :]
                os.fsync(handle)
            finally:
                os.close(handle)
            os.replace(temporary, self.folder / name)
            self._sync_folder()
            self._forget(name)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, durably."""
        handle = self._handle(name)
        os.ftruncate(handle, size)
        os.fsync(handle)

    def close(self) -> None:
        """Close all files."""
        for name in list(self.handles):
            self._forget(name)

    def _handle(self, name: str) -> int:
        if name not in self.handles:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.handles[name] = os.open(self.folder / name, flags, 0o600)
            self._sync_folder()
        return self.handles[name]

    def _forget(self, name: str) -> None:
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    @contextlib.contextmanager
    def _full_disk_named(self, name: str) -> Iterator[None]:
        try:
            yield
        except OSError as exc:
            if exc.errno not in (errno.ENOSPC, errno.EDQUOT):
                raise
            path = str(self.folder / name)
            raise errors.LogFullError(
                "no space left in the data folder", "log.append", path
            ) from exc


class Frame(NamedTuple):
    """One frame found in a file, and where it ends."""

    payload: bytes
    end: int


def pack_frame(payload: bytes) -> bytes:
    """Return a payload with its header.

    Args:
        payload: records made by ``pack_record``.

    Returns:
        Magic, length, checksum of the length, checksum of the payload,
        payload.
    """
    size = len(payload)
    guard = zlib.crc32(struct.pack("<I", size))
    digest = xxhash.xxh64_intdigest(payload)
    return HEADER.pack(MAGIC, size, guard, digest) + payload


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at an offset, or None where it is not whole."""
    if start + HEADER.size > len(data):
        return None
    magic, size, guard, digest = HEADER.unpack_from(data, start)
    if magic != MAGIC or guard != zlib.crc32(struct.pack("<I", size)):
        return None
    body = start + HEADER.size
    payload = data[body : body + size]
    if len(payload) != size or xxhash.xxh64_intdigest(payload) != digest:
        return None
    return Frame(payload, body + size)


def read_frames(data: bytes, peer: str) -> tuple[list[bytes], int]:
    """Return the payloads of all frames and the size they take.

    Args:
        data: the whole file.
        peer: the file's name for errors.

    Returns:
        Payloads in order, and the offset at which a torn tail begins
        (the file's size where there is none).

    Raises:
        LogDamagedError: a bad frame has a whole one behind it.
    """
    payloads = []
    start = 0
    while start < len(data):
        frame = read_frame(data, start)
        if frame is None:
            _refuse_damage(data, start, peer)
            break
        payloads.append(frame.payload)
        start = frame.end
    return payloads, start


def _refuse_damage(data: bytes, start: int, peer: str) -> None:
    at = data.find(MAGIC, start + 1)
    while at >= 0:
        if read_frame(data, at) is not None:
            raise errors.LogDamagedError(
                f"bad frame at byte {start}, whole frame behind it at {at};"
                " restore the disk, or empty the folder to rejoin as new",
                "log.open",
                peer,
            )
        at = data.find(MAGIC, at + 1)


def pack_record(kind: int, body: bytes) -> bytes:
    """Return one record: kind, length and body."""
    return RECORD.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the (kind, body) of each record of a frame."""
    at = 0
    while at < len(payload):
        kind, size = RECORD.unpack_from(payload, at)
        at += RECORD.size
        yield kind, payload[at : at + size]
        at += size


class Log:
    """Entries after a snapshot, hard state, identity, withdrawn keys.

    Changes are visible at once and durable after ``sync``.

    Args:
        medium: where the bytes are kept.
        peer: the medium's name for errors.

    Raises:
        LogDamagedError: the files are damaged.
    """

    def __init__(self, medium: Medium, peer: str = "memory"):
        self.medium = medium
        self.peer = peer
        self.hard = messages.HardState()
        self.snapshot = messages.SnapshotMeta()
        self.entries: list[messages.Entry] = []
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.unsynced = bytearray()
        self.size = 0
        self._load()

    @property
    def first_index(self) -> int:
        """The index of the first entry kept."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def dirty(self) -> bool:
        """Whether there are changes that ``sync`` must write."""
        return bool(self.unsynced)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None where it is not kept."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last_index:
            return None
        return self.entries[index - self.first_index].term

    def slice(self, start: int, limit: int) -> tuple[messages.Entry, ...]:
        """Return up to ``limit`` entries from an index on."""
        at = start - self.first_index
        return tuple(self.entries[at : at + limit])

    def append(self, entries: list[messages.Entry]) -> None:
        """Add entries behind the last one."""
        for entry in entries:
            self.entries.append(entry)
            self._record(entry)

    def truncate(self, index: int) -> None:
        """Drop the entry at an index and all behind it."""
        del self.entries[index - self.first_index :]
        body = struct.pack("<Q", index)
        self.unsynced += pack_record(TRUNCATE_KIND, body)

    def set_hard(self, term: int, voted_for: str) -> None:
        """Record the term and the vote."""
        self.hard = self.hard._replace(term=term, voted_for=voted_for)
        self._record(self.hard)

    def set_commit(self, index: int) -> None:
        """Record that entries up to an index are committed."""
        self.hard = self.hard._replace(commit=index)
        self._record(self.hard)

    def keep_withdrawals(self, batch: messages.WithdrawalBatch) -> None:
        """Record withdrawn keys heard of, whoever accepted them.

        They are no entries: they need no agreement, and are never cut.
        """
        fresh = tuple(
            w for w in batch.withdrawals if w.key_hash not in self.withdrawals
        )
        if fresh:
            self.withdrawals.update((w.key_hash, w) for w in fresh)
            self._record(messages.WithdrawalBatch(fresh))

    def sync(self) -> None:
        """Write all changes as one frame and make them durable.

        Raises:
            LogFullError: the disk is full; nothing may be acknowledged.
        """
        if not self.unsynced:
            return
        frame = pack_frame(bytes(self.unsynced))
        self.medium.append(LOG_FILE, frame)
        self.medium.sync(LOG_FILE)
        self.size += len(frame)
        self.unsynced.clear()

    def install(self, snapshot: messages.SnapshotMeta) -> None:
        """Replace the log up to a snapshot's index by the snapshot.

        Entries behind it are kept where they follow from it. Durable on
        return.
        """
        kept: list[messages.Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries[snapshot.index - self.first_index + 1 :]
        self.snapshot = snapshot
        self.entries = kept
        self.unsynced.clear()
        self._record(snapshot)
        self._record(self.hard)
        if self.withdrawals:
            known = tuple(self.withdrawals.values())
            self._record(messages.WithdrawalBatch(known))
        for entry in kept:
            self._record(entry)
        frame = pack_frame(bytes(self.unsynced))
        self.medium.replace(LOG_FILE, frame)
        self.size = len(frame)
        self.unsynced.clear()

    def identity(self) -> messages.Identity | None:
        """Return who this folder belongs to, or None for a new one."""
        data = self.medium.read(IDENTITY_FILE)
        if data is None:
            return None
        frame = read_frame(data, 0)
        if frame is None:
            raise errors.LogDamagedError(
                "identity file damaged", "log.open", self.peer
            )
        return messages.decode(messages.Identity, frame.payload)

    def set_identity(self, identity: messages.Identity) -> None:
        """Record who this folder belongs to, durably."""
        data = pack_frame(messages.encode(identity))
        self.medium.replace(IDENTITY_FILE, data)

    def _record(self, message: tuple) -> None:
        number = messages.NUMBERS[type(message)]
        self.unsynced += pack_record(number, messages.encode(message))

    def _load(self) -> None:
        data = self.medium.read(LOG_FILE) or b""
        payloads, end = read_frames(data, self.peer)
        if end < len(data):
            self.medium.truncate(LOG_FILE, end)
        self.size = end
        for payload in payloads:
            for kind, body in unpack_records(payload):
                self._replay(kind, body)

    def _replay(self, kind: int, body: bytes) -> None:
        if kind == TRUNCATE_KIND:
            index = struct.unpack("<Q", body)[0]
            keep = max(0, index - self.first_index)
            del self.entries[keep:]
            return
        message = messages.decode(messages.KINDS[kind], body)
        if isinstance(message, messages.HardState):
            self.hard = message
        elif isinstance(message, messages.SnapshotMeta):
            self.snapshot = message
            self.entries = []
        elif isinstance(message, messages.WithdrawalBatch):
            self.withdrawals.update((w.key_hash, w) for w in message[0])
        else:
            self._replay_entry(message)

    def _replay_entry(self, entry: messages.Entry) -> None:
        if entry.index != self.last_index + 1:
            raise errors.LogDamagedError(
                f"entry {entry.index} does not follow {self.last_index}",
                "log.open",
                self.peer,
            )
        self.entries.append(entry)


def open_memory_log(medium: MemoryMedium | None = None) -> Log:
    """Return a log in memory."""
    return Log(medium or MemoryMedium())


def open_disk_log(folder: pathlib.Path) -> Log:
    """Return the log of a data folder, recovering its tail.

    Raises:
        LogDamagedError: the files are damaged.
    """
    return Log(DiskMedium(folder), str(folder))


__all__ = [
    "DiskMedium",
    "Log",
    "Medium",
    "MemoryMedium",
    "open_disk_log",
    "open_memory_log",
    "pack_frame",
    "read_frames",
]
