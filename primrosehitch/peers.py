"""Table of the other control instances, built from their presence messages.

Does no I/O; the caller passes the current time in ms. The instances are not
configured: an instance starts with the seeds, learns of the others from
the presence messages of its peers, and removes those that have been silent
for a long time.
"""

from typing import NamedTuple

from primrosehitch import messages

# A control instance sends its presence several times a second.
ALIVE_TIMEOUT_MS = 1500
# From this silence on it is open whether an instance is alive.
DOUBT_AFTER_MS = 600
# Longer than an election or a restart takes, and shorter than the time after
# which a second machine may be lost, also with what a removal takes.
REPLICA_TIMEOUT_MS = 3000
REMOVAL_TIMEOUT_MS = 30_000


class ReceivedPresence(NamedTuple):
    """An instance's newest presence and its time of arrival in ms."""

    presence: messages.Presence
    received_at: int


class Peers:
    """The other control instances.

    Args:
        own_link: link name of this instance.
        now: the current time in ms.

    Attributes:
        presences: newest presence by link name.
        replica_last_heard: time in ms of the last presence of a replica,
            by replica.
    """

    def __init__(self, own_link: str, now: int):
        self.own_link = own_link
        self.started_ms = now
        self.presences: dict[str, ReceivedPresence] = {}
        self.replica_last_heard: dict[str, int] = {}

    def apply_presence(self, presence: messages.Presence, now: int) -> None:
        """Store an instance's presence unless a newer one is known."""
        if presence.link == self.own_link:
            return
        latest = self.presences.get(presence.link)
        if latest is not None:
            last = latest.presence
            # Incarnations only tell starts apart. A later one may have a
            # lower number, if the clock was stepped back between the two.
            same = presence.incarnation == last.incarnation
            if same and presence.sequence <= last.sequence:
                return
        self.presences[presence.link] = ReceivedPresence(presence, now)
        self.replica_last_heard[presence.replica] = now

    def link_names(self) -> list[str]:
        """Return the link names of all known instances, silent ones too."""
        return list(self.presences)

    def alive_presences(self, now: int) -> list[messages.Presence]:
        """Return the presences received within ALIVE_TIMEOUT_MS."""
        return [
            item.presence
            for item in self.presences.values()
            if now - item.received_at <= ALIVE_TIMEOUT_MS
        ]

    def replicas_by_link(self, now: int) -> dict[str, str]:
        """Return the replica of each alive instance, by link name."""
        return {
            presence.link: presence.replica
            for presence in self.alive_presences(now)
            if presence.replica
        }

    def domains_by_link(self, now: int) -> dict[str, str]:
        """Return the failure domains by link name.

        Only alive instances that are not leaving are included.
        """
        return {
            presence.link: presence.domain
            for presence in self.alive_presences(now)
            if not presence.leaving
        }

    def count_unnamed_edges(self, now: int) -> int:
        """Return how many edges use alive instances that do not name them.

        Those are instances of older releases.
        """
        return sum(
            presence.edges
            for presence in self.alive_presences(now)
            if not presence.names_edges
        )

    def silent_replicas(self, replicas: tuple[str, ...], now: int) -> set[str]:
        """Return the replicas that have been silent for a long time.

        The silence of a replica that was never heard counts from the start
        of this instance.
        """
        return {
            replica
            for replica in replicas
            if now - self._replica_heard_ms(replica) > REPLICA_TIMEOUT_MS
        }

    def leaving_replicas(self) -> set[str]:
        """Return the replicas whose instances say that they stop."""
        return {
            item.presence.replica
            for item in self.presences.values()
            if item.presence.leaving
        }

    def doubtful_replicas(
        self, replicas: tuple[str, ...], now: int
    ) -> set[str]:
        """Return the replicas of which it is open whether they are alive."""
        return {
            replica
            for replica in replicas
            if DOUBT_AFTER_MS
            < now - self._replica_heard_ms(replica)
            <= ALIVE_TIMEOUT_MS
        }

    def _replica_heard_ms(self, replica: str) -> int:
        return self.replica_last_heard.get(replica, self.started_ms)

    def expire(self, now: int) -> list[str]:
        """Remove the instances that have been silent for a long time.

        Returns:
            The link names of the removed instances.
        """
        expired = [
            name
            for name, item in self.presences.items()
            if now - item.received_at > REMOVAL_TIMEOUT_MS
        ]
        for name in expired:
            del self.presences[name]
        return expired


__all__ = ["Peers"]
