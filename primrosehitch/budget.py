"""A retry budget that all edges share without talking for each retry.

Pure. In any window the retries for a service stay within a ratio of its
requests plus a slack. The ratio part adds up over edges by itself, since
each edge counts its own requests and retries over the same window. The
slack is divided by the number of edges.
"""

from collections import deque

# Part of the bounds that is spent; the rest covers edges that are not
# known yet and clocks of edges that run apart.
USABLE_FRACTION = 0.8


class SharedRetryBudget:
    """One edge's part of the budget, by service.

    Args:
        ratio: retries allowed per request.
        slack: retries allowed besides, over all edges.
        window_ms: the window in which both are counted.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int):
        self.ratio = ratio * USABLE_FRACTION
        self.slack = slack * USABLE_FRACTION
        self.window_ms = window_ms
        self.edge_count = 1
        self.requests: dict[str, deque[int]] = {}
        self.retries: dict[str, deque[int]] = {}

    def set_edge_count(self, edge_count: int) -> None:
        """Divide the slack by a number of edges."""
        self.edge_count = max(1, edge_count)

    def record_request(self, service: str, now: int) -> None:
        """Count a caller's request for a service."""
        self._recent_times(self.requests, service, now).append(now)

    def allows(self, service: str, now: int) -> bool:
        """Return whether one more retry is within the budget."""
        requests = len(self._recent_times(self.requests, service, now))
        retries = len(self._recent_times(self.retries, service, now))
        allowed = self.ratio * requests + self.slack / self.edge_count
        return retries + 1 <= allowed

    def try_spend(self, service: str, now: int) -> bool:
        """Take one retry; return whether there was one."""
        if not self.allows(service, now):
            return False
        self._recent_times(self.retries, service, now).append(now)
        return True

    def _recent_times(
        self, times_by_service: dict[str, deque[int]], service: str, now: int
    ) -> deque[int]:
        times = times_by_service.setdefault(service, deque())
        while times and now - times[0] >= self.window_ms:
            times.popleft()
        return times


__all__ = ["SharedRetryBudget"]
