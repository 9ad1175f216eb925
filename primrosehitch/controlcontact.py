"""How old an edge's view of the route table is, and whose view it is.

An edge that is out of contact goes on serving what it knows. That a route or
a key does not exist is a claim about the newest table, which it cannot make.

Does no I/O; the caller passes the current time in ms.
"""

# Age of an edge's view that is reported as a loss of contact: longer than
# the switch from one control instance to another takes.
LOST_AFTER_MS = 1500
# Time after which a table that was announced and is not in force is reported:
# longer than its transfer takes, well below the time in which a configuration
# change must reach the edges.
LATE_AFTER_MS = 1000
# For this long after a confirmation the edge knows which routes and keys
# exist. A control instance may itself be behind by the time that a follower
# counts as in contact, and both together must stay below the time in which
# a configuration change must reach the edges.
KNOWS_TABLE_MS = 1200


class ControlContact:
    """An edge's contact with control instances that reach a quorum.

    Args:
        now: the current time in ms.

    Attributes:
        control: the control instance that confirmed the view last, empty
            if none has yet.
        confirmed_ms: when it did, negative if none has yet.
        is_lost: whether the loss of contact has been reported.
        announced: the newest version that a control instance with a quorum
            has announced.
        announced_ms: when the first version was announced that is newer
            than the one in force, negative if none is.
        announcement: who announced the newest version last, and when.
    """

    def __init__(self, now: int):
        self.control = ""
        self.confirmed_ms = -1
        self.started_ms = now
        self.is_lost = False
        self.announced = 0
        self.announced_ms = -1
        self.announcement = ("", -1)
        self.is_late = False

    def announce(self, control: str, version: int, now: int) -> None:
        """Record that a version newer than the one in force exists."""
        if version >= self.announced:
            self.announced = version
            self.announcement = (control, now)
        if self.announced_ms < 0:
            self.announced_ms = now

    def announced_by(self, version: int) -> tuple[str, int] | None:
        """Return who confirmed a version that came into force, and when.

        Returns:
            None if a control instance has announced a newer one, or none has
            announced any.
        """
        if self.announced_ms < 0 or version < self.announced:
            return None
        return self.announcement

    def record_version(self, version: int, now: int) -> int:
        """Record that a version came into force.

        Returns:
            How long ago in ms it or an older one had been announced, -1 if
            none was.
        """
        after_ms = self.late_ms(now) if self.announced_ms >= 0 else -1
        self.is_late = False
        self.announced_ms = now if version < self.announced else -1
        return after_ms

    def late_ms(self, now: int) -> int:
        """Return for how long a newer version has been announced in vain."""
        return max(0, now - self.announced_ms) if self.announced_ms >= 0 else 0

    def detect_late(self, now: int) -> bool:
        """Return whether the announced version counts as late from now on."""
        if self.is_late or self.late_ms(now) <= LATE_AFTER_MS:
            return False
        self.is_late = True
        return True

    def confirm(self, control: str, now: int) -> int | None:
        """Record that a control instance confirms the edge's view.

        Returns:
            How long contact had been lost in ms, if that was reported.
        """
        lost_for_ms = now - self._reference_ms() if self.is_lost else None
        self.is_lost = False
        self.control = control
        self.confirmed_ms = max(self.confirmed_ms, now)
        return lost_for_ms

    def age_ms(self, now: int) -> int:
        """Return the age of the view, negative if none was confirmed."""
        return -1 if self.confirmed_ms < 0 else now - self.confirmed_ms

    def knows_table(self, now: int) -> bool:
        """Return whether what the table lacks does not exist."""
        return 0 <= self.age_ms(now) <= KNOWS_TABLE_MS

    def detect_loss(self, now: int) -> bool:
        """Return whether contact counts as lost from now on."""
        if self.is_lost or now - self._reference_ms() <= LOST_AFTER_MS:
            return False
        self.is_lost = True
        return True

    def _reference_ms(self) -> int:
        """Return when the view was confirmed, or the start before that."""
        return max(self.started_ms, self.confirmed_ms)


__all__ = [
    "ControlContact",
    "KNOWS_TABLE_MS",
    "LATE_AFTER_MS",
    "LOST_AFTER_MS",
]
