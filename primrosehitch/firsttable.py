"""When an edge that has just started puts its first route table in force.

Does no I/O; the caller passes the current time in ms. An edge that starts
knows no evacuation. A control instance without a quorum may lack recent
ones, so a table that comes from one is held until an instance with a quorum
was heard. The time is bounded: without any quorum the edge serves by what it
was told.
"""

from primrosehitch import messages

# An edge finds a control instance with a quorum within this time, if there is
# one that it can reach. Longer than two statuses without a quorum and a dial.
HOLD_MS = 1500


class FirstTable:
    """Holds the first route table of an edge.

    Args:
        holds: whether a table is held at all. Without agreed evacuations an
            edge that starts serves at once.

    Attributes:
        is_confirmed: whether a control instance with a quorum was heard.
        held: the newest table that is held, or None.
        held_since_ms: when the first one came, or -1.
    """

    def __init__(self, holds: bool = True) -> None:
        self.is_confirmed = not holds
        self.held: messages.Table | None = None
        self.held_since_ms = -1

    def admits(self, table: messages.Table, now: int) -> bool:
        """Return whether a table can be put in force now, or hold it."""
        if self.held_since_ms < 0:
            self.held_since_ms = now
        if self.is_confirmed or now - self.held_since_ms >= HOLD_MS:
            return True
        if self.held is None or table.version > self.held.version:
            self.held = table
        return False

    def confirm(self) -> messages.Table | None:
        """Record a status with a quorum; return the table that was held."""
        self.is_confirmed = True
        return self._take()

    def overdue(self, now: int) -> messages.Table | None:
        """Return the table that is held if that was for long enough."""
        if self.held is None or now - self.held_since_ms < HOLD_MS:
            return None
        return self._take()

    def _take(self) -> messages.Table | None:
        table, self.held = self.held, None
        return table


__all__ = ["FirstTable", "HOLD_MS"]
