"""Which instances are there: heartbeats, suspicion, removal.

Pure: heartbeats and times come in, changes come out. An instance that
restarts has a higher incarnation; a heartbeat of an older incarnation,
or out of sequence, is ignored.
"""

from typing import NamedTuple

from primrosehitch import messages

HEARTBEAT_MS = 500
SUSPECT_MS = 1500
REMOVED_MS = 10_000

ALIVE = "alive"
SUSPECT = "suspect"
LEFT = "left"
REMOVED = "removed"
UNSEEN = "unseen"


class Change(NamedTuple):
    """An instance's new status."""

    instance: str
    status: str


class Member:
    """What is known of one instance; times in ms."""

    def __init__(self, name: str, domain: str):
        self.name = name
        self.domain = domain
        self.status = UNSEEN
        self.last_heard = -1
        self.heartbeat = messages.Heartbeat()


class Members:
    """All other instances.

    Args:
        domains: the failure domain by instance.
    """

    def __init__(self, domains: dict[str, str]):
        self.members = {n: Member(n, d) for n, d in domains.items()}

    def hear(
        self, sender: str, heartbeat: messages.Heartbeat, now: int
    ) -> list[Change]:
        """Take in a heartbeat."""
        member = self.members.get(sender)
        if member is None:
            return []
        known = member.heartbeat
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (known.incarnation, known.sequence):
            return []
        member.heartbeat = heartbeat
        member.last_heard = now
        return self._set(member, LEFT if heartbeat.leaving else ALIVE)

    def tick(self, now: int) -> list[Change]:
        """Suspect and remove the silent."""
        changes = []
        for member in self.members.values():
            silent = now - member.last_heard
            if member.status in (ALIVE, LEFT) and silent > SUSPECT_MS:
                changes += self._set(member, SUSPECT)
            if member.status == SUSPECT and silent > REMOVED_MS:
                changes += self._set(member, REMOVED)
        return changes

    def alive(self) -> list[Member]:
        """Return the instances heard of lately, leaving ones too."""
        return [m for m in self.members.values() if m.status in (ALIVE, LEFT)]

    def is_alive(self, name: str) -> bool:
        """Return whether an instance was heard of lately."""
        member = self.members.get(name)
        return member is not None and member.status in (ALIVE, LEFT)

    def _set(self, member: Member, status: str) -> list[Change]:
        if member.status == status:
            return []
        member.status = status
        return [Change(member.name, status)]


__all__ = ["Change", "Member", "Members"]
