"""Retry budget that all edges share without a message per retry.

Does no I/O; the caller passes the current time in ms.

In any window the retries for a service stay within a ratio of its requests
plus a constant slack. Each edge counts its own requests and retries over
the same window, so that the ratio holds for the sum over all edges. The
slack is divided by the number of edges.
"""

from collections import deque

# Fraction of the ratio and slack that is used. The rest covers edges that
# are not counted yet and differences between the edges' clocks.
USABLE_FRACTION = 0.8


class SharedRetryBudget:
    """One edge's share of the retry budget, by service.

    Args:
        ratio: retries allowed per request.
        slack: additional retries allowed in a window, over all edges.
        window_ms: length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int):
        self.ratio = ratio * USABLE_FRACTION
        self.slack = slack * USABLE_FRACTION
        self.window_ms = window_ms
        self.edge_count = 1
        self.requests: dict[str, deque[int]] = {}
        self.retries: dict[str, deque[int]] = {}

    def set_edge_count(self, edge_count: int) -> None:
        """Set the number of edges among which the slack is divided."""
        self.edge_count = max(1, edge_count)

    def record_request(self, service: str, now: int) -> None:
        """Count a caller's request for a service; retries do not count."""
        self._recent_times(self.requests, service, now).append(now)

    def allows(self, service: str, now: int) -> bool:
        """Return whether the budget allows one more retry."""
        requests = len(self._recent_times(self.requests, service, now))
        retries = len(self._recent_times(self.retries, service, now))
        allowed = self.ratio * requests + self.slack / self.edge_count
        return retries + 1 <= allowed

    def try_spend(self, service: str, now: int) -> bool:
        """Count one retry if the budget allows it.

        Returns:
            Whether the retry is allowed.
        """
        if not self.allows(service, now):
            return False
        self._recent_times(self.retries, service, now).append(now)
        return True

    def _recent_times(
        self, times_by_service: dict[str, deque[int]], service: str, now: int
    ) -> deque[int]:
        """Return a service's times within the window, oldest first."""
        times = times_by_service.setdefault(service, deque())
        while times and now - times[0] >= self.window_ms:
            times.popleft()
        return times


__all__ = ["SharedRetryBudget"]
