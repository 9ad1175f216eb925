"""Registry of the endpoints that report to the control instances.

Does no I/O; the caller passes the current time in ms. Records of an
endpoint are ordered by its incarnation (``born``, its start time) and by
the sequence number within the incarnation, so that a delayed report changes
nothing. An address belongs to the newest incarnation that reported it. An
endpoint that left does not come back in the same incarnation.

Whoever can reach a control instance can send records. One of a service that
the route table does not name is kept, as the next table may name it, but
takes neither an address nor an identifier from an endpoint of a named one.

A silent endpoint has not left: its reports may be lost on their way here.
Silence is this registry's own observation. It is not passed on to other
registries as a report, and ends with the endpoint's next report.
"""

from typing import Iterable
from typing import NamedTuple

import xxhash

from primrosehitch import messages

READY = "ready"
DRAINING = "draining"
SILENT = "silent"
LEFT = "left"
# States that no digest covers.
INACTIVE_STATES = (SILENT, LEFT)

# How an instance learned of a change, for the log.
REPORTED = "reported"
DEPARTED = "departed"
TIMED_OUT = "heartbeat-timeout"
UNLISTED = "unlisted"

# An endpoint reports about once a second, but during a network partition
# many reports may be lost while the endpoint still serves well.
HEARTBEAT_TIMEOUT_MS = 12_000
# How long silent and left endpoints are remembered: longer than a network
# partition can delay any report.
RETENTION_MS = 120_000
# Heartbeats whose times until an endpoint is warm agree within this much say
# the same: they are under way for different times.
COLD_TOLERANCE_MS = 250


class EndpointChange(NamedTuple):
    """An endpoint's new record.

    Attributes:
        record: the new record.
        previous: the record that it replaces, or None.
        cause: REPORTED, DEPARTED, TIMED_OUT or UNLISTED.
    """

    record: messages.EndpointRecord
    previous: messages.EndpointRecord | None
    cause: str = REPORTED


class RegistryEntry:
    """One endpoint's newest record.

    Attributes:
        record: the record.
        last_heard_at: time at which a record last arrived, in ms.
    """

    def __init__(self, record: messages.EndpointRecord, now: int):
        self.record = record
        self.last_heard_at = now


class Registry:
    """Newest records of all endpoints, including silent and left ones.

    Attributes:
        entries: entries by endpoint identifier.
        owner_by_address: identifier of the endpoint that owns an address.
        services: services that the route table names, None if any counts.
        cached_digest: digest of the records, None after a change of one
            that it covers; heartbeats alone change nothing.
    """

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}
        self.owner_by_address: dict[str, str] = {}
        self.services: frozenset[str] | None = None
        self.cached_digest: int | None = None

    def set_services(self, services: Iterable[str]) -> None:
        """Set the services that the route table names.

        Endpoints of services that it did not name before now own the
        addresses that they reported, unless newer ones do.
        """
        previous, self.services = self.services, frozenset(services)
        claims = [
            entry.record
            for entry in self.entries.values()
            if previous is not None and entry.record.service not in previous
        ]
        for record in sorted(claims, key=lambda claim: claim.born):
            self._assign_address(record)

    def _is_named(self, record: messages.EndpointRecord) -> bool:
        return self.services is None or record.service in self.services

    def apply_record(
        self, record: messages.EndpointRecord, now: int
    ) -> EndpointChange | None:
        """Apply a record unless a newer one is known.

        Args:
            record: record from the endpoint itself or from a peer.
            now: the current time in ms.

        Returns:
            The change, or None if it does not affect load balancing.
        """
        entry = self.entries.get(record.id)
        if entry is None:
            return self._add(record, None, now)
        if self._is_named(entry.record) and not self._is_named(record):
            # Departures of unknown endpoints name no service.
            if record.state != LEFT or record.service:
                return None
        if self._is_named(record) and not self._is_named(entry.record):
            # It had the identifier before the table named the service.
            return self._add(record, entry.record, now)
        if entry.record.born < record.born:
            return self._add(record, entry.record, now)
        if entry.record.born > record.born or not _supersedes(
            record, entry.record
        ):
            return None
        elapsed_ms = now - entry.last_heard_at
        previous, entry.record, entry.last_heard_at = entry.record, record, now
        if previous.state != record.state:
            self.cached_digest = None
        self._assign_address(record)
        if _is_equivalent(previous, record) and not _changes_coldness(
            previous, record, elapsed_ms
        ):
            return None
        return EndpointChange(record, previous)

    def mark_left(
        self, identifier: str, born: int, now: int
    ) -> EndpointChange | None:
        """Mark an endpoint as left, so that it gets no more requests.

        Args:
            identifier: the endpoint's identifier.
            born: its incarnation, or 0 for the newest known.
            now: the current time in ms.

        Returns:
            The change, or None if there is none.
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
            else EndpointChange(record, previous, DEPARTED)
        )

    def mark_silent(
        self, identifier: str, cause: str
    ) -> EndpointChange | None:
        """Mark an endpoint as silent until its next report.

        Args:
            identifier: the endpoint's identifier.
            cause: why it counts as silent, for the log.

        Returns:
            The change, or None if it is silent or has left already.
        """
        entry = self.entries[identifier]
        previous = entry.record
        if previous.state in INACTIVE_STATES:
            return None
        self.cached_digest = None
        entry.record = previous._replace(state=SILENT)
        return EndpointChange(entry.record, previous, cause)

    def expire(self, now: int) -> list[EndpointChange]:
        """Mark endpoints as silent after a timeout, and remove old ones.

        Returns:
            The endpoints that were marked as silent.
        """
        changes = []
        for identifier, entry in self.entries.items():
            if now - entry.last_heard_at > HEARTBEAT_TIMEOUT_MS:
                change = self.mark_silent(identifier, TIMED_OUT)
                if change is not None:
                    changes.append(change)
        self.remove_old(now)
        return changes

    def remove_old(self, now: int) -> list[messages.EndpointRecord]:
        """Remove and return the silent and left records past retention."""
        old = [
            record
            for record in self.inactive_records()
            if now - self.entries[record.id].last_heard_at > RETENTION_MS
        ]
        for record in old:
            self._remove(record.id)
        return old

    def records(self) -> list[messages.EndpointRecord]:
        """Return the newest record of each endpoint.

        Silent and left endpoints are included.
        """
        return [entry.record for entry in self.entries.values()]

    def reported_records(self) -> list[messages.EndpointRecord]:
        """Return the records that say what an endpoint reported."""
        return [r for r in self.records() if r.state != SILENT]

    def inactive_records(self) -> list[messages.EndpointRecord]:
        """Return the newest records of the silent and left endpoints."""
        return [r for r in self.records() if r.state in INACTIVE_STATES]

    def departed_records(self) -> list[messages.EndpointRecord]:
        """Return the newest records of the endpoints that have left."""
        return [r for r in self.records() if r.state == LEFT]

    def live_records(self) -> list[messages.EndpointRecord]:
        """Return the newest records of the endpoints that have not left."""
        return [r for r in self.records() if r.state != LEFT]

    def cold_records(self, now: int) -> list[messages.EndpointRecord]:
        """Return the newest records of the ready endpoints that are cold.

        No digest shows that somebody lacks what they say.
        """
        return [
            entry.record
            for entry in self.entries.values()
            if entry.record.state == READY
            and entry.last_heard_at + entry.record.cold_left_ms > now
        ]

    def digest(self) -> int:
        """Return a hash of the endpoints that are ready or draining.

        Equal digests mean that two registries agree on their identifiers,
        incarnations and states. Silent and left endpoints are not hashed,
        since each registry removes them at a time of its own.
        """
        if self.cached_digest is None:
            self.cached_digest = self._compute_digest()
        return self.cached_digest

    def _compute_digest(self) -> int:
        hasher = xxhash.xxh64()
        for identifier in sorted(self.entries):
            record = self.entries[identifier].record
            if record.state in INACTIVE_STATES:
                continue
            text = f"{record.id} {record.born} {record.state}\n"
            hasher.update(text.encode())
        return hasher.intdigest()

    def _add(
        self,
        record: messages.EndpointRecord,
        previous: messages.EndpointRecord | None,
        now: int,
    ) -> EndpointChange:
        self.cached_digest = None
        self.entries[record.id] = RegistryEntry(record, now)
        self._assign_address(record)
        return EndpointChange(self.entries[record.id].record, previous)

    def _assign_address(self, record: messages.EndpointRecord) -> None:
        """Assign an address to the newest incarnation that reported it.

        The endpoint of the older incarnation is marked as left.
        """
        if (
            not record.address
            or record.state == LEFT
            or not self._is_named(record)
        ):
            return
        owner = self.entries.get(self.owner_by_address.get(record.address, ""))
        if owner is None or owner.record.id == record.id:
            self.owner_by_address[record.address] = record.id
            return
        if owner.record.address != record.address or not self._is_named(
            owner.record
        ):
            self.owner_by_address[record.address] = record.id
        elif owner.record.born <= record.born:
            self.cached_digest = None
            owner.record = owner.record._replace(state=LEFT)
            self.owner_by_address[record.address] = record.id
        else:
            self.cached_digest = None
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
    """Return whether a record of the same incarnation is newer.

    A control instance tells edges of silence with the sequence number of
    the last report, which may be the one that the edge has.
    """
    if known.state == LEFT:
        return False
    if record.state == SILENT and known.state != SILENT:
        return record.sequence >= known.sequence
    return record.state == LEFT or record.sequence > known.sequence


def _is_equivalent(
    one: messages.EndpointRecord, other: messages.EndpointRecord
) -> bool:
    """Return whether two records are equal for load balancing."""
    return (
        one.state == other.state
        and one.address == other.address
        and one.service == other.service
        and one.slots == other.slots
        and one.leaves_ms == other.leaves_ms
        and one.version == other.version
    )


def _changes_coldness(
    previous: messages.EndpointRecord,
    record: messages.EndpointRecord,
    elapsed_ms: int,
) -> bool:
    """Return whether a report says what the countdown does not tell.

    Args:
        previous: the report before.
        record: the report.
        elapsed_ms: the time between the arrivals of both here, which counts
            if a control instance did not note its own.
    """
    if not record.reports_cold:
        return False
    if previous.heard_ms and record.heard_ms:
        elapsed_ms = record.heard_ms - previous.heard_ms
    expected_ms = max(0, previous.cold_left_ms - max(0, elapsed_ms))
    if record.cold_left_ms and not previous.cold_left_ms:
        return True
    return abs(record.cold_left_ms - expected_ms) > COLD_TOLERANCE_MS


__all__ = [
    "DRAINING",
    "EndpointChange",
    "LEFT",
    "READY",
    "Registry",
    "SILENT",
    "TIMED_OUT",
    "UNLISTED",
]
