"""The endpoints that told of themselves, each start by its own.

Pure. A record is ordered by the endpoint's start (``born``) and by the
sequence number within it, so that a report that was held up on its way
changes nothing. An address belongs to the newest start that named it.
An endpoint that left does not come back in the same start.
"""

from typing import NamedTuple

import xxhash

from primrosehitch import messages

READY = "ready"
DRAINING = "draining"
LEFT = "left"

# An endpoint reports about once a second; a cut between it and the
# control instances may outlast many reports while it serves well.
HEARTBEAT_TIMEOUT_MS = 12_000
# Longer than any report can be held up by a cut.
LEFT_RETENTION_MS = 120_000


class EndpointChange(NamedTuple):
    """A record that is new, or in another state than before."""

    record: messages.EndpointRecord
    previous: messages.EndpointRecord | None


class RegistryEntry:
    """One endpoint's newest record and when it was heard, in ms."""

    def __init__(self, record: messages.EndpointRecord, now: int):
        self.record = record
        self.last_heard_at = now


class Registry:
    """All endpoints heard of."""

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}
        self.owner_by_address: dict[str, str] = {}
        self.cached_digest: int | None = None

    def apply_record(
        self, record: messages.EndpointRecord, now: int
    ) -> EndpointChange | None:
        """Take in a record.

        Args:
            record: what an endpoint said of itself, or a peer passed on.
            now: the current time in ms.

        Returns:
            What changed for those who choose endpoints, or None.
        """
        self.cached_digest = None
        entry = self.entries.get(record.id)
        if entry is None:
            return self._add(record, None, now)
        if entry.record.born < record.born:
            return self._add(record, entry.record, now)
        if entry.record.born > record.born or not _supersedes(
            record, entry.record
        ):
            return None
        previous, entry.record, entry.last_heard_at = entry.record, record, now
        self._assign_address(record)
        if _is_equivalent(previous, record):
            return None
        return EndpointChange(record, previous)

    def mark_left(
        self, identifier: str, born: int, now: int
    ) -> EndpointChange | None:
        """Note that an endpoint takes no more work.

        Args:
            identifier: the endpoint's.
            born: its start, or 0 for the newest known.
            now: the current time in ms.
        """
        self.cached_digest = None
        entry = self.entries.get(identifier)
        if entry is None:
            record = messages.EndpointRecord(identifier, born, state=LEFT)
            return self._add(record, None, now)
        if born and born < entry.record.born:
            return None
        previous = entry.record
        record = previous._replace(state=LEFT, born=born or previous.born)
        entry.record, entry.last_heard_at = record, now
        return (
            None
            if previous.state == LEFT
            else EndpointChange(record, previous)
        )

    def expire(self, now: int) -> list[EndpointChange]:
        """Note the silent as gone, and forget those long gone."""
        changes = []
        for identifier, entry in list(self.entries.items()):
            silence_ms = now - entry.last_heard_at
            if (
                entry.record.state != LEFT
                and silence_ms > HEARTBEAT_TIMEOUT_MS
            ):
                change = self.mark_left(identifier, 0, now)
                if change is not None:
                    changes.append(change)
            elif entry.record.state == LEFT and silence_ms > LEFT_RETENTION_MS:
                self._remove(identifier)
        return changes

    def records(self) -> list[messages.EndpointRecord]:
        """Return the newest record of each endpoint, gone ones too."""
        return [entry.record for entry in self.entries.values()]

    def live_records(self) -> list[messages.EndpointRecord]:
        """Return the records of endpoints that are not gone."""
        return [r for r in self.records() if r.state != LEFT]

    def digest(self) -> int:
        """Return a number that tells two sets of records apart."""
        if self.cached_digest is None:
            self.cached_digest = self._compute_digest()
        return self.cached_digest

    def _compute_digest(self) -> int:
        hasher = xxhash.xxh64()
        for identifier in sorted(self.entries):
            record = self.entries[identifier].record
            text = f"{record.id} {record.born} {record.state}\n"
            hasher.update(text.encode())
        return hasher.intdigest()

    def _add(
        self,
        record: messages.EndpointRecord,
        previous: messages.EndpointRecord | None,
        now: int,
    ) -> EndpointChange:
        self.entries[record.id] = RegistryEntry(record, now)
        self._assign_address(record)
        return EndpointChange(self.entries[record.id].record, previous)

    def _assign_address(self, record: messages.EndpointRecord) -> None:
        """Give an address to its newest start."""
        if not record.address or record.state == LEFT:
            return
        owner = self.entries.get(self.owner_by_address.get(record.address, ""))
        if owner is None or owner.record.id == record.id:
            self.owner_by_address[record.address] = record.id
            return
        if owner.record.address != record.address:
            self.owner_by_address[record.address] = record.id
        elif owner.record.born <= record.born:
            owner.record = owner.record._replace(state=LEFT)
            self.owner_by_address[record.address] = record.id
        else:
            entry = self.entries[record.id]
            entry.record = entry.record._replace(state=LEFT)

    def _remove(self, identifier: str) -> None:
        self.cached_digest = None
        entry = self.entries.pop(identifier)
        if self.owner_by_address.get(entry.record.address) == identifier:
            del self.owner_by_address[entry.record.address]


def _supersedes(
    record: messages.EndpointRecord, known: messages.EndpointRecord
) -> bool:
    """Return whether a record of the same start is the newer one."""
    if known.state == LEFT:
        return False
    return record.state == LEFT or record.sequence > known.sequence


def _is_equivalent(
    one: messages.EndpointRecord, other: messages.EndpointRecord
) -> bool:
    return (
        one.state == other.state
        and one.address == other.address
        and one.service == other.service
        and one.slots == other.slots
        and one.leaves_ms == other.leaves_ms
    )


__all__ = ["DRAINING", "EndpointChange", "LEFT", "READY", "Registry"]
