"""The durable Raft log: a snapshot and the entries that follow it.

All changes between two calls of ``sync`` are written as one frame, which a
crash keeps as a whole or not at all. The snapshot is stored in the same
file as the entries after it, so that the two cannot disagree after a
crash.
"""

import pathlib
import struct

from primrosehitch import errors
from primrosehitch import frames
from primrosehitch import medium as medium_module
from primrosehitch import messages

LOG_FILE = "log"
IDENTITY_FILE = "identity"
# Record kind of a truncation; message numbers start above it.
TRUNCATE_KIND = 0


class Log:
    """A snapshot, the entries after it, hard state and withdrawn keys.

    Changes are visible at once and durable after ``sync``. The identity of
    the replica is kept in a second file.

    Args:
        medium: where the files are stored.
        location: the medium's name in error messages.

    Attributes:
        hard_state: the term, the vote and the commit index.
        snapshot: the latest snapshot; index 0 if there is none.
        entries: the entries after the snapshot.
        withdrawals: withdrawn keys by key hash.
        unsynced_records: encoded changes that ``sync`` will write.
        size_bytes: size of the log file.

    Raises:
        LogDamagedError: the log file is damaged.
    """

    def __init__(self, medium: medium_module.Medium, location: str = "memory"):
        self.medium = medium
        self.location = location
        self.hard_state = messages.HardState()
        self.snapshot = messages.SnapshotMeta()
        self.entries: list[messages.Entry] = []
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.unsynced_records = bytearray()
        self.size_bytes = 0
        self._recover()

    @property
    def first_index(self) -> int:
        """The index of the first entry after the snapshot."""
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
    def has_unsynced_changes(self) -> bool:
        """Whether there are changes that ``sync`` has to write."""
        return bool(self.unsynced_records)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last_index:
            return None
        return self.entries[index - self.first_index].term

    def entries_from(
        self, start: int, limit: int
    ) -> tuple[messages.Entry, ...]:
        """Return entries in order of their indexes.

        Args:
            start: the index of the first entry.
            limit: the maximum number of entries.
        """
        offset = start - self.first_index
        return tuple(self.entries[offset : offset + limit])

    def append(self, entries: list[messages.Entry]) -> None:
        """Append entries after the last one."""
        for entry in entries:
            self.entries.append(entry)
            self._append_record(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        del self.entries[index - self.first_index :]
        body = struct.pack("<Q", index)
        self.unsynced_records += frames.pack_record(TRUNCATE_KIND, body)

    def set_term_and_vote(self, term: int, voted_for: str) -> None:
        """Set the current term and the vote in it."""
        self.hard_state = self.hard_state._replace(
            term=term, voted_for=voted_for
        )
        self._append_record(self.hard_state)

    def set_commit(self, index: int) -> None:
        """Set the commit index."""
        self.hard_state = self.hard_state._replace(commit=index)
        self._append_record(self.hard_state)

    def add_withdrawals(self, batch: messages.WithdrawalBatch) -> None:
        """Add withdrawn keys, whichever replica accepted them.

        They are not log entries: they need no quorum, and no truncation
        removes them.
        """
        added = tuple(
            w for w in batch.withdrawals if w.key_hash not in self.withdrawals
        )
        if added:
            self.withdrawals.update((w.key_hash, w) for w in added)
            self._append_record(messages.WithdrawalBatch(added))

    def sync(self) -> None:
        """Write all unsynced changes as one frame and make them durable.

        Raises:
            LogFullError: the disk is full; the changes are not durable and
                must not be acknowledged.
        """
        if not self.unsynced_records:
            return
        frame = frames.pack_frame(bytes(self.unsynced_records))
        self.medium.append(LOG_FILE, frame)
        self.medium.sync(LOG_FILE)
        self.size_bytes += len(frame)
        self.unsynced_records.clear()

    def install_snapshot(self, snapshot: messages.SnapshotMeta) -> None:
        """Replace the entries up to a snapshot's index by the snapshot.

        Later entries are kept if the log has an entry of the snapshot's
        index and term; otherwise they belong to another history and are
        dropped. The change is durable on return.
        """
        kept: list[messages.Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries[snapshot.index - self.first_index + 1 :]
        self.snapshot = snapshot
        self.entries = kept
        self.unsynced_records.clear()
        self._append_record(snapshot)
        self._append_record(self.hard_state)
        if self.withdrawals:
            known = tuple(self.withdrawals.values())
            self._append_record(messages.WithdrawalBatch(known))
        for entry in kept:
            self._append_record(entry)
        frame = frames.pack_frame(bytes(self.unsynced_records))
        self.medium.replace(LOG_FILE, frame)
        self.size_bytes = len(frame)
        self.unsynced_records.clear()

    def read_identity(self) -> messages.Identity | None:
        """Return the identity of the log's replica, or None if it is new.

        Raises:
            LogDamagedError: the identity file is damaged.
        """
        data = self.medium.read(IDENTITY_FILE)
        if data is None:
            return None
        frame = frames.read_frame(data, 0)
        if frame is None:
            raise errors.LogDamagedError(
                "identity file damaged", "log.open", self.location
            )
        return messages.decode(messages.Identity, frame.payload)

    def write_identity(self, identity: messages.Identity) -> None:
        """Store the identity of the log's replica durably."""
        data = frames.pack_frame(messages.encode(identity))
        self.medium.replace(IDENTITY_FILE, data)

    def close(self) -> None:
        """Close the files."""
        self.medium.close()

    def _append_record(self, message: tuple) -> None:
        number = messages.NUMBERS[type(message)]
        self.unsynced_records += frames.pack_record(
            number, messages.encode(message)
        )

    def _recover(self) -> None:
        """Read the log file and truncate a torn last frame.

        The process that wrote it may have ended before it synced the last
        frames. What counts for a majority has to be durable.
        """
        data = self.medium.read(LOG_FILE) or b""
        payloads, end = frames.read_frames(data, self.location)
        if end < len(data):
            self.medium.truncate(LOG_FILE, end)
        elif data:
            self.medium.sync(LOG_FILE)
        self.size_bytes = end
        for payload in payloads:
            for kind, body in frames.unpack_records(payload):
                self._replay(kind, body)

    def _replay(self, kind: int, body: bytes) -> None:
        """Apply one record of the log file to the state in memory."""
        if kind == TRUNCATE_KIND:
            index = struct.unpack("<Q", body)[0]
            keep = max(0, index - self.first_index)
            del self.entries[keep:]
            return
        message = messages.decode(messages.KINDS[kind], body)
        if isinstance(message, messages.HardState):
            self.hard_state = message
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
                f"log entry {entry.index} does not follow {self.last_index}",
                "log.open",
                self.location,
            )
        self.entries.append(entry)


def open_memory_log(medium: medium_module.MemoryMedium | None = None) -> Log:
    """Return a log in memory.

    Args:
        medium: files of an earlier log, or None for an empty one.
    """
    return Log(medium or medium_module.MemoryMedium())


def open_disk_log(folder: pathlib.Path) -> Log:
    """Return the log of a data folder, without a torn last frame.

    Args:
        folder: the data folder, created if it is missing.

    Raises:
        LogDamagedError: the log file is damaged.
    """
    return Log(medium_module.DiskMedium(folder), str(folder))


__all__ = ["LOG_FILE", "Log", "open_disk_log", "open_memory_log"]
