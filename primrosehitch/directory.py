"""Which endpoints are there, as they announce themselves.

Pure. An announcement carries an incarnation and a sequence; within an
incarnation leaving is final, whatever arrives later. Silence makes an
endpoint suspect, then removed. A reclaim notice of one cheap endpoint
drains all cheap ones of its failure domain at once. Where many announce
themselves to a cell, the gateways ask them to do so less often.
"""

from typing import NamedTuple

from primrosehitch import messages

SUSPECT_PERIODS = 3
GONE_PERIODS = 10
RECLAIM_HOLD_MS = 30_000
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
    """One endpoint: its last announcement and status; times in ms."""

    def __init__(self, announcement: messages.Announcement, now: int):
        self.announcement = announcement
        self.status = GONE
        self.last_heard = now

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.announcement.name


class Directory:
    """All endpoints known to one gateway."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.reclaimed_until_by_domain: dict[str, int] = {}

    def apply_announcement(
        self, announcement: messages.Announcement, now: int
    ) -> list[StatusChange]:
        """Take in an announcement, heard directly or from a peer.

        Args:
            announcement: with ``age_ms`` since it was first heard.
            now: the current time in ms.

        Returns:
            Changes of status; none for an announcement that is old.
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
        """Suspect and remove the silent."""
        changes = []
        for endpoint in list(self.endpoints.values()):
            changes += self._update_status(endpoint, now)
            if now - endpoint.last_heard > TOMBSTONE_MS:
                del self.endpoints[endpoint.name]
        return changes

    def announcement_period_ms(self) -> int:
        """Return how often an endpoint shall announce itself, in ms."""
        wanted_ms = 1000 * len(self.endpoints) // MAX_ANNOUNCEMENTS_PER_S
        return max(BASE_PERIOD_MS, min(MAX_PERIOD_MS, wanted_ms))

    def ready_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, or None."""
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
