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
SILENT_MS = 12_000
# Longer than any report can be held up by a cut.
LEFT_KEPT_MS = 120_000


class Change(NamedTuple):
    """A record that is new, or in another state than before."""

    record: messages.EndpointRecord
    previous: messages.EndpointRecord | None


class Known:
    """One endpoint's newest record and when it was heard, in ms."""

    def __init__(self, record: messages.EndpointRecord, now: int):
        self.record = record
        self.heard = now


class Registry:
    """All endpoints heard of."""

    def __init__(self) -> None:
        self.known: dict[str, Known] = {}
        self.by_address: dict[str, str] = {}
        self.last_digest: int | None = None

    def hear(self, record: messages.EndpointRecord, now: int) -> Change | None:
        """Take in a record.

        Args:
            record: what an endpoint said of itself, or a peer passed on.
            now: the current time in ms.

        Returns:
            What changed for those who choose endpoints, or None.
        """
        self.last_digest = None
        known = self.known.get(record.id)
        if known is None:
            return self._add(record, None, now)
        if known.record.born < record.born:
            return self._add(record, known.record, now)
        if known.record.born > record.born or not _newer(record, known.record):
            return None
        previous, known.record, known.heard = known.record, record, now
        self._take_address(record)
        if _same_use(previous, record):
            return None
        return Change(record, previous)

    def leave(self, identifier: str, born: int, now: int) -> Change | None:
        """Note that an endpoint takes no more work.

        Args:
            identifier: the endpoint's.
            born: its start, or 0 for the newest known.
            now: the current time in ms.
        """
        self.last_digest = None
        known = self.known.get(identifier)
        if known is None:
            record = messages.EndpointRecord(identifier, born, state=LEFT)
            return self._add(record, None, now)
        if born and born < known.record.born:
            return None
        previous = known.record
        record = previous._replace(state=LEFT, born=born or previous.born)
        known.record, known.heard = record, now
        return None if previous.state == LEFT else Change(record, previous)

    def expire(self, now: int) -> list[Change]:
        """Note the silent as gone, and forget those long gone."""
        changes = []
        for identifier, known in list(self.known.items()):
            silent = now - known.heard
            if known.record.state != LEFT and silent > SILENT_MS:
                change = self.leave(identifier, 0, now)
                if change is not None:
                    changes.append(change)
            elif known.record.state == LEFT and silent > LEFT_KEPT_MS:
                self._forget(identifier)
        return changes

    def records(self) -> list[messages.EndpointRecord]:
        """Return the newest record of each endpoint, gone ones too."""
        return [known.record for known in self.known.values()]

    def live(self) -> list[messages.EndpointRecord]:
        """Return the records of endpoints that are not gone."""
        return [r for r in self.records() if r.state != LEFT]

    def digest(self) -> int:
        """Return a number that tells two sets of records apart."""
        if self.last_digest is None:
            self.last_digest = self._digest()
        return self.last_digest

    def _digest(self) -> int:
        state = xxhash.xxh64()
        for identifier in sorted(self.known):
            record = self.known[identifier].record
            text = f"{record.id} {record.born} {record.state}\n"
            state.update(text.encode())
        return state.intdigest()

    def _add(
        self,
        record: messages.EndpointRecord,
        previous: messages.EndpointRecord | None,
        now: int,
    ) -> Change:
        self.known[record.id] = Known(record, now)
        self._take_address(record)
        return Change(self.known[record.id].record, previous)

    def _take_address(self, record: messages.EndpointRecord) -> None:
        """Give an address to its newest start."""
        if not record.address or record.state == LEFT:
            return
        holder = self.known.get(self.by_address.get(record.address, ""))
        if holder is None or holder.record.id == record.id:
            self.by_address[record.address] = record.id
            return
        if holder.record.address != record.address:
            self.by_address[record.address] = record.id
        elif holder.record.born <= record.born:
            holder.record = holder.record._replace(state=LEFT)
            self.by_address[record.address] = record.id
        else:
            known = self.known[record.id]
            known.record = known.record._replace(state=LEFT)

    def _forget(self, identifier: str) -> None:
        self.last_digest = None
        known = self.known.pop(identifier)
        if self.by_address.get(known.record.address) == identifier:
            del self.by_address[known.record.address]


def _newer(
    record: messages.EndpointRecord, known: messages.EndpointRecord
) -> bool:
    """Return whether a record of the same start is the newer one."""
    if known.state == LEFT:
        return False
    return record.state == LEFT or record.sequence > known.sequence


def _same_use(
    one: messages.EndpointRecord, other: messages.EndpointRecord
) -> bool:
    return (
        one.state == other.state
        and one.address == other.address
        and one.service == other.service
        and one.slots == other.slots
        and one.leaves_ms == other.leaves_ms
    )


__all__ = ["Change", "DRAINING", "LEFT", "READY", "Registry"]
