"""The other control instances, as they told of themselves.

Pure. Nobody lists them: an instance knows the seeds, learns the others
from what peers tell, and forgets those that are silent for long.
"""

from typing import NamedTuple

from primrosehitch import messages

# A control instance tells of itself several times a second.
ALIVE_MS = 1500
# Longer than elections and restarts; shorter than it takes for a second
# machine to be lost after the first.
SILENT_MS = 5000
FORGOTTEN_MS = 30_000


class Heard(NamedTuple):
    """An instance's newest presence and when it came, in ms."""

    presence: messages.Presence
    at: int


class Peers:
    """All other control instances heard of.

    Args:
        own: this instance's name.
    """

    def __init__(self, own: str):
        self.own = own
        self.heard: dict[str, Heard] = {}
        self.replica_heard: dict[str, int] = {}

    def hear(self, presence: messages.Presence, now: int) -> None:
        """Take in what an instance told; older news change nothing."""
        if presence.link == self.own:
            return
        known = self.heard.get(presence.link)
        if known is not None:
            last = known.presence
            # Incarnations say only which start it is: the clock that
            # numbers them may have been stepped back between two.
            same = presence.incarnation == last.incarnation
            if same and presence.sequence <= last.sequence:
                return
        self.heard[presence.link] = Heard(presence, now)
        self.replica_heard[presence.replica] = now

    def names(self) -> list[str]:
        """Return the instances that are not forgotten."""
        return list(self.heard)

    def alive(self, now: int) -> list[messages.Presence]:
        """Return what the instances heard of lately told."""
        return [
            item.presence
            for item in self.heard.values()
            if now - item.at <= ALIVE_MS
        ]

    def replicas(self, now: int) -> dict[str, str]:
        """Return the replica by instance, of those alive."""
        return {
            presence.link: presence.replica
            for presence in self.alive(now)
            if presence.replica
        }

    def domains(self, now: int) -> dict[str, str]:
        """Return the failure domain by instance, of those alive."""
        return {
            presence.link: presence.domain
            for presence in self.alive(now)
            if not presence.leaving
        }

    def edges(self, now: int) -> int:
        """Return how many edges subscribe to the others."""
        return sum(presence.edges for presence in self.alive(now))

    def silent_replicas(self, replicas: tuple[str, ...], now: int) -> set[str]:
        """Return which replicas were not heard of for long.

        One never heard of counts from when it is first asked about.
        """
        silent = set()
        for replica in replicas:
            at = self.replica_heard.setdefault(replica, now)
            if now - at > SILENT_MS:
                silent.add(replica)
        return silent

    def expire(self, now: int) -> list[str]:
        """Forget the instances that are silent for long."""
        gone = [
            name
            for name, item in self.heard.items()
            if now - item.at > FORGOTTEN_MS
        ]
        for name in gone:
            del self.heard[name]
        return gone


__all__ = ["Peers"]
