"""Failure detector that tracks the other instances by their heartbeats.

Does no I/O; the caller passes heartbeats and the current time in ms, and
gets status changes. A restarted instance has a higher incarnation. A
heartbeat of an older incarnation, or out of sequence, is ignored.
"""

from typing import NamedTuple

from primrosehitch import messages

HEARTBEAT_INTERVAL_MS = 500
SUSPECT_TIMEOUT_MS = 1500
REMOVAL_TIMEOUT_MS = 10_000

ALIVE = "alive"
SUSPECT = "suspect"
LEFT = "left"
REMOVED = "removed"
UNSEEN = "unseen"


class StatusChange(NamedTuple):
    """An instance's new status."""

    instance: str
    status: str


class Member:
    """State of one instance.

    Attributes:
        name: the instance's name.
        domain: its failure domain.
        status: ALIVE, SUSPECT, LEFT, REMOVED or UNSEEN.
        last_heard_at: time of the last heartbeat in ms, or -1.
        heartbeat: the newest heartbeat.
    """

    def __init__(self, name: str, domain: str):
        self.name = name
        self.domain = domain
        self.status = UNSEEN
        self.last_heard_at = -1
        self.heartbeat = messages.Heartbeat()


class Members:
    """All other instances.

    Args:
        domains: failure domains by instance name.
    """

    def __init__(self, domains: dict[str, str]):
        self.members = {n: Member(n, d) for n, d in domains.items()}

    def apply_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now: int
    ) -> list[StatusChange]:
        """Apply a heartbeat unless a newer one is known."""
        member = self.members.get(sender)
        if member is None:
            return []
        previous = member.heartbeat
        position = (heartbeat.incarnation, heartbeat.sequence)
        if position <= (previous.incarnation, previous.sequence):
            return []
        member.heartbeat = heartbeat
        member.last_heard_at = now
        return self._set_status(member, LEFT if heartbeat.leaving else ALIVE)

    def check_timeouts(self, now: int) -> list[StatusChange]:
        """Mark silent instances as suspect, and later as removed."""
        changes = []
        for member in self.members.values():
            silence_ms = now - member.last_heard_at
            if (
                member.status in (ALIVE, LEFT)
                and silence_ms > SUSPECT_TIMEOUT_MS
            ):
                changes += self._set_status(member, SUSPECT)
            if member.status == SUSPECT and silence_ms > REMOVAL_TIMEOUT_MS:
                changes += self._set_status(member, REMOVED)
        return changes

    def alive_members(self) -> list[Member]:
        """Return the instances heard recently, including leaving ones."""
        return [m for m in self.members.values() if m.status in (ALIVE, LEFT)]

    def is_alive(self, name: str) -> bool:
        """Return whether an instance was heard recently."""
        member = self.members.get(name)
        return member is not None and member.status in (ALIVE, LEFT)

    def _set_status(self, member: Member, status: str) -> list[StatusChange]:
        if member.status == status:
            return []
        member.status = status
        return [StatusChange(member.name, status)]


__all__ = ["Member", "Members", "StatusChange"]
