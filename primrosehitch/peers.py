"""The other control instances, as they told of themselves.

Pure. Nobody lists them: an instance knows the seeds, learns the others
from what peers tell, and forgets those that are silent for long.
"""

from typing import NamedTuple

from primrosehitch import messages

# A control instance tells of itself several times a second.
ALIVE_TIMEOUT_MS = 1500
# Longer than elections and restarts; shorter than it takes for a second
# machine to be lost after the first.
REPLICA_TIMEOUT_MS = 5000
REMOVAL_TIMEOUT_MS = 30_000


class ReceivedPresence(NamedTuple):
    """An instance's newest presence and when it came, in ms."""

    presence: messages.Presence
    received_at: int


class Peers:
    """All other control instances heard of.

    Args:
        own: this instance's name.
    """

    def __init__(self, own_link: str):
        self.own_link = own_link
        self.presences: dict[str, ReceivedPresence] = {}
        self.replica_last_heard: dict[str, int] = {}

    def apply_presence(self, presence: messages.Presence, now: int) -> None:
        """Take in what an instance told; older news change nothing."""
        if presence.link == self.own_link:
            return
        latest = self.presences.get(presence.link)
        if latest is not None:
            last = latest.presence
            # Incarnations say only which start it is: the clock that
            # numbers them may have been stepped back between two.
            same = presence.incarnation == last.incarnation
            if same and presence.sequence <= last.sequence:
                return
        self.presences[presence.link] = ReceivedPresence(presence, now)
        self.replica_last_heard[presence.replica] = now

    def link_names(self) -> list[str]:
        """Return the instances that are not forgotten."""
        return list(self.presences)

    def alive_presences(self, now: int) -> list[messages.Presence]:
        """Return what the instances heard of lately told."""
        return [
            item.presence
            for item in self.presences.values()
            if now - item.received_at <= ALIVE_TIMEOUT_MS
        ]

    def replicas_by_link(self, now: int) -> dict[str, str]:
        """Return the replica by instance, of those alive."""
        return {
            presence.link: presence.replica
            for presence in self.alive_presences(now)
            if presence.replica
        }

    def domains_by_link(self, now: int) -> dict[str, str]:
        """Return the failure domain by instance, of those alive."""
        return {
            presence.link: presence.domain
            for presence in self.alive_presences(now)
            if not presence.leaving
        }

    def edge_count(self, now: int) -> int:
        """Return how many edges subscribe to the others."""
        return sum(presence.edges for presence in self.alive_presences(now))

    def silent_replicas(self, replicas: tuple[str, ...], now: int) -> set[str]:
        """Return which replicas were not heard of for long.

        One never heard of counts from when it is first asked about.
        """
        silent = set()
        for replica in replicas:
            last_heard_at = self.replica_last_heard.setdefault(replica, now)
            if now - last_heard_at > REPLICA_TIMEOUT_MS:
                silent.add(replica)
        return silent

    def expire(self, now: int) -> list[str]:
        """Forget the instances that are silent for long."""
        expired = [
            name
            for name, item in self.presences.items()
            if now - item.received_at > REMOVAL_TIMEOUT_MS
        ]
        for name in expired:
            del self.presences[name]
        return expired


__all__ = ["Peers"]
