"""Which instances are there: heartbeats, suspicion, removal.

Pure: heartbeats and times come in, changes come out. An instance that
restarts has a higher incarnation; a heartbeat of an older incarnation,
or out of sequence, is ignored.
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
    """What is known of one instance; times in ms."""

    def __init__(self, name: str, domain: str):
        self.name = name
        self.domain = domain
        self.status = UNSEEN
        self.last_heard_at = -1
        self.heartbeat = messages.Heartbeat()


class Members:
    """All other instances.

    Args:
        domains: the failure domain by instance.
    """

    def __init__(self, domains: dict[str, str]):
        self.members = {n: Member(n, d) for n, d in domains.items()}

    def apply_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now: int
    ) -> list[StatusChange]:
        """Take in a heartbeat."""
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
        """Suspect and remove the silent."""
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
        """Return the instances heard of lately, leaving ones too."""
        return [m for m in self.members.values() if m.status in (ALIVE, LEFT)]

    def is_alive(self, name: str) -> bool:
        """Return whether an instance was heard of lately."""
        member = self.members.get(name)
        return member is not None and member.status in (ALIVE, LEFT)

    def _set_status(self, member: Member, status: str) -> list[StatusChange]:
        if member.status == status:
            return []
        member.status = status
        return [StatusChange(member.name, status)]


__all__ = ["Member", "Members", "StatusChange"]
