"""Limit on the log lines that one cause may write.

Does no I/O; the caller passes the current time in ms.
"""

from collections import OrderedDict
from typing import Hashable

# Causes that are remembered; the oldest is forgotten first.
MAX_KEYS = 1024


class LineLimit:
    """Allows one line for each key in an interval.

    Args:
        interval_ms: the shortest time between two lines of a key.

    Attributes:
        lines: time of the last line in ms and number of lines left out
            since, by key, the oldest line first.
    """

    def __init__(self, interval_ms: int):
        self.interval_ms = interval_ms
        self.lines: OrderedDict[Hashable, tuple[int, int]] = OrderedDict()

    def take(self, key: Hashable, now: int) -> int | None:
        """Return how many lines of a key were left out before this one.

        Returns:
            The number, or None if this line is to be left out as well.
        """
        written_at, left_out = self.lines.get(key, (now, -1))
        if left_out >= 0 and now - written_at < self.interval_ms:
            self.lines[key] = (written_at, left_out + 1)
            return None
        self.lines[key] = (now, 0)
        self.lines.move_to_end(key)
        while len(self.lines) > MAX_KEYS:
            self.lines.popitem(last=False)
        return max(0, left_out)


__all__ = ["LineLimit"]
