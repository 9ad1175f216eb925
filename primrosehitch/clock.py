"""Time sources: a monotonic clock that counts suspended time, and UTC.

The monotonic clock is for timeouts and intervals, UTC for times that are
compared between machines.
"""

import time


def now_ms() -> int:
    """Return the time of a monotonic clock, in milliseconds.

    The clock also counts the time while the machine is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_s() -> float:
    """Return the UTC time in seconds since the Unix epoch."""
    return time.time()


def wall_ms() -> int:
    """Return the UTC time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


__all__ = ["now_ms", "wall_ms", "wall_s"]
