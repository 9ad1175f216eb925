"""When refused callers are told to return.

Does no I/O; the caller passes the current time in ms.
"""

import random

# Callers are told to return within this fraction of the time that they have
# left; they do not wait longer. Those beyond it are spread over its end.
RETRY_FRACTION = 1 / 3
RETRY_SPREAD = 0.4
MIN_RETRY_AFTER_MS = 50
MIN_RETURNS_PER_S = 0.5
# Room comes too late for a caller whose return is planned later than so many
# times its time left. Callers that return again and again take the room of
# others, with little time left for an answer.
HOPELESS_FACTOR = 40.0
# Returns are planned no further ahead than this.
MAX_PLANNED_MS = 30_000
# The bound for customers above their share, whose refused callers are many.
ABOVE_SHARE_HOPELESS = 8.0


class ReturnPlan:
    """Planned returns of refused callers.

    Each return is planned after the last one, so that callers that were
    refused earlier return sooner, and the times grow with the refusals.

    Args:
        hopeless_factor: a caller whose return is planned later than so many
            times its time left is told that time. Others are told to return
            within a third of their time.

    Attributes:
        until: until when returns are planned, in ms.
    """

    __slots__ = ("hopeless_factor", "until")

    def __init__(self, hopeless_factor: float = HOPELESS_FACTOR):
        self.hopeless_factor = hopeless_factor
        self.until = 0.0

    def next_delay_ms(
        self,
        room_in_ms: float,
        returns_per_s: float,
        remaining_ms: float,
        rng: random.Random,
        now: int,
    ) -> float:
        """Plan one more return; return the time until then.

        Args:
            room_in_ms: when the first caller may return.
            returns_per_s: the rate at which there is room for callers.
            remaining_ms: the time that this caller has left.
            rng: spreads the returns.
            now: the current time in ms.
        """
        room_in_ms = max(0.0, room_in_ms)
        remaining_ms = max(0.0, remaining_ms)
        spacing_ms = 1000 / max(MIN_RETURNS_PER_S, returns_per_s)
        spacing_ms *= rng.uniform(0.5, 1.5)
        planned_at = max(self.until, now + room_in_ms) + spacing_ms
        self.until = min(planned_at, now + MAX_PLANNED_MS)
        longest_ms = RETRY_FRACTION * remaining_ms
        delay_ms = max(min(MIN_RETRY_AFTER_MS, longest_ms), planned_at - now)
        is_hopeless = (
            room_in_ms > remaining_ms
            or delay_ms > self.hopeless_factor * remaining_ms
        )
        if delay_ms <= longest_ms or is_hopeless:
            return delay_ms
        return longest_ms * (1 - RETRY_SPREAD * rng.random())


__all__ = ["HOPELESS_FACTOR", "RETRY_FRACTION", "ReturnPlan"]
