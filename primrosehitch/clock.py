"""Time sources: a monotonic clock that counts suspended time, and UTC."""

import time


def now_ms() -> int:
    """Return milliseconds of a clock that never goes back.

    Time in which the machine was suspended counts.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_s() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()


def wall_ms() -> int:
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


__all__ = ["now_ms", "wall_ms", "wall_s"]
