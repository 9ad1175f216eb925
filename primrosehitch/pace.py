"""Pace of an endpoint: how long its work takes now, 1.0 is usual.

Does no I/O; the caller passes the current time in ms. An endpoint states its
pace with its answers. The figure changes many times a second, and an edge
sees it only with the answers that it gets, so that one figure says little
and an old one nothing. A pace is therefore smoothed over the time between
the figures and returns to the usual one while none comes.
"""

# The use of stated paces. If it is off, all endpoints count as usual.
PACE_ENABLED = True
USUAL_PACE = 1.0
# Half of an estimate is replaced by figures that cover this time. Figures
# that arrive together were stated at the same moment and count about once.
SMOOTHING_MS = 200.0
MIN_WEIGHT = 0.05
MAX_WEIGHT = 0.6
# Without a figure, an estimate goes half of its way back to the usual pace
# in this time. An endpoint that was slow is tried again in this way.
FORGETTING_MS = 1000.0
# An estimate that exceeds the usual pace by no more than this counts as
# usual, and so does a faster one. All edges would otherwise choose the
# endpoint that stated the best figure a moment ago.
TOLERANCE = 0.15
MAX_PACE = 20.0


class PaceEstimate:
    """Smoothed pace of one endpoint.

    Attributes:
        value: the estimate at the time of the last figure.
        updated_at: time of the last figure, in ms.
    """

    def __init__(self) -> None:
        self.value = USUAL_PACE
        self.updated_at = -1

    def record(self, pace: float, now: int) -> None:
        """Include a figure that an answer stated.

        Args:
            pace: the figure, 1.0 is usual.
            now: when the answer arrived, in ms.
        """
        prior = self._expected(now)
        weight = MAX_WEIGHT
        if self.updated_at >= 0:
            elapsed_ms = max(0, now - self.updated_at)
            weight = 1 - 0.5 ** (elapsed_ms / SMOOTHING_MS)
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        self.value = prior + weight * (min(pace, MAX_PACE) - prior)
        self.updated_at = now

    def factor(self, now: int) -> float:
        """Return the factor on predicted times, at least 1.0."""
        if not PACE_ENABLED:
            return USUAL_PACE
        return max(USUAL_PACE, self._expected(now) - TOLERANCE)

    def _expected(self, now: int) -> float:
        """Return the estimate, which returns to the usual pace with age."""
        if self.updated_at < 0:
            return USUAL_PACE
        age_ms = max(0, now - self.updated_at)
        kept = 0.5 ** (age_ms / FORGETTING_MS)
        return USUAL_PACE + kept * (self.value - USUAL_PACE)


__all__ = ["PaceEstimate"]
