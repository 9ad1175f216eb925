"""Directory of endpoints, built from their announcements.

Does no I/O; the caller passes the current time in ms.

An announcement carries an incarnation and a sequence number. Within an
incarnation leaving is final, even if a later announcement does not say so.
An endpoint that stays silent becomes suspect and is later removed. A reclaim
notice for one cheap endpoint drains all cheap ones of its failure domain.
The announcement period grows with the number of endpoints, which bounds the
rate of announcements in a cell.
"""

from typing import NamedTuple

from primrosehitch import messages

# Announcement periods of silence after which an endpoint is suspect or gone.
SUSPECT_PERIODS = 3
GONE_PERIODS = 10
# Time for which a reclaim notice drains the cheap endpoints of its domain.
RECLAIM_HOLD_MS = 30_000
# Time of silence after which an endpoint is deleted. Until then its
# incarnation and sequence number reject old announcements.
TOMBSTONE_MS = 60_000

READY = "ready"
SUSPECT = "suspect"
LEAVING = "leaving"
GONE = "gone"


BASE_PERIOD_MS = 1000
MAX_PERIOD_MS = 5000
MAX_ANNOUNCEMENTS_PER_S = 50


class StatusChange(NamedTuple):
    """An endpoint's new status."""

    endpoint: str
    status: str


class Endpoint:
    """One endpoint, with its last announcement and its status.

    Args:
        announcement: the first announcement.
        now: time in ms at which it was heard.
    """

    def __init__(self, announcement: messages.Announcement, now: int):
        self.announcement = announcement
        self.status = GONE
        self.last_heard = now

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.announcement.name


class Directory:
    """All endpoints known to one gateway.

    Attributes:
        endpoints: endpoints by name.
        reclaimed_until_by_domain: time in ms until which the cheap endpoints
            of a failure domain are drained.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.reclaimed_until_by_domain: dict[str, int] = {}

    def record_announcement(
        self, announcement: messages.Announcement, now: int
    ) -> list[StatusChange]:
        """Apply an announcement from the endpoint itself or from a peer.

        Args:
            announcement: the announcement; ``age_ms`` is the time since a
                gateway first heard it.
            now: the current time in ms.

        Returns:
            Changes of status; none if a newer announcement is known.
        """
        heard_at = now - announcement.age_ms
        endpoint = self.endpoints.get(announcement.name)
        if endpoint is None:
            endpoint = Endpoint(announcement, heard_at)
            self.endpoints[announcement.name] = endpoint
        else:
            known = endpoint.announcement
            order = (announcement.incarnation, announcement.sequence)
            if order <= (known.incarnation, known.sequence):
                return []
            same_incarnation = announcement.incarnation == known.incarnation
            if same_incarnation and known.leaving:
                announcement = announcement._replace(leaving=True)
            endpoint.announcement = announcement
            endpoint.last_heard = heard_at
        changes = self._apply_reclaim(announcement, heard_at)
        return changes + self._update_status(endpoint, now)

    def tick(self, now: int) -> list[StatusChange]:
        """Update the status of silent endpoints and delete old ones."""
        changes = []
        for endpoint in list(self.endpoints.values()):
            changes += self._update_status(endpoint, now)
            if now - endpoint.last_heard > TOMBSTONE_MS:
                del self.endpoints[endpoint.name]
        return changes

    def announcement_period_ms(self) -> int:
        """Return the announcement period for the endpoints, in ms."""
        wanted_ms = 1000 * len(self.endpoints) // MAX_ANNOUNCEMENTS_PER_S
        return max(BASE_PERIOD_MS, min(MAX_PERIOD_MS, wanted_ms))

    def ready_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new requests, or None."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.status != READY:
            return None
        return endpoint

    def _apply_reclaim(
        self, announcement: messages.Announcement, heard_at: int
    ) -> list[StatusChange]:
        if not (announcement.reclaimed and announcement.cheap):
            return []
        domain = announcement.domain
        self.reclaimed_until_by_domain[domain] = heard_at + RECLAIM_HOLD_MS
        changes = []
        for endpoint in self.endpoints.values():
            if endpoint.announcement.domain == domain:
                changes += self._update_status(endpoint, heard_at)
        return changes

    def _update_status(
        self, endpoint: Endpoint, now: int
    ) -> list[StatusChange]:
        status = self._current_status(endpoint, now)
        if status == endpoint.status:
            return []
        endpoint.status = status
        return [StatusChange(endpoint.name, status)]

    def _current_status(self, endpoint: Endpoint, now: int) -> str:
        silence_ms = now - endpoint.last_heard
        announcement = endpoint.announcement
        period = announcement.period_ms
        if silence_ms > GONE_PERIODS * period:
            return GONE
        reclaimed_until = self.reclaimed_until_by_domain.get(
            announcement.domain, -1
        )
        if announcement.leaving or announcement.reclaimed:
            return LEAVING
        if announcement.cheap and now < reclaimed_until:
            return LEAVING
        late = silence_ms > SUSPECT_PERIODS * period
        return SUSPECT if late else READY


__all__ = ["StatusChange", "Directory", "Endpoint"]
