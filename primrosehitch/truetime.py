"""The time of day that most instances agree on.

Pure. A machine's clock may be stepped by seconds and back. Each instance
knows the difference between its own time of day and the steady clock;
the median over all instances that were heard of lately stays right while
fewer than half of the clocks are wrong.
"""

import statistics

# Reports come several times a second; older ones say nothing of now.
REPORT_TTL_MS = 3000
# Clocks of sound machines differ by less than this, in ms.
MAX_CLOCK_SKEW_MS = 250


class TrueTime:
    """Time of day in ms since 1970, robust against steps.

    Args:
        wall_ms: this machine's time of day.
        now: this machine's steady clock, in ms.
    """

    def __init__(self, wall_ms: int, now: int):
        self.offset = wall_ms - now
        self.reports: dict[str, tuple[int, int]] = {}
        self.has_control_time = False

    def add_report(self, sender: str, wall_ms: int, now: int) -> None:
        """Take in another instance's time of day."""
        self.reports[sender] = (wall_ms - now, now)

    def set_from_control(self, true_ms: int, now: int) -> None:
        """Take over the time that a control instance worked out."""
        self.offset = true_ms - now
        self.has_control_time = True

    def update_from_reports(self, wall_ms: int, now: int) -> None:
        """Work out the median of all fresh reports and the own clock.

        Without reports a step of the own clock is not followed.
        """
        self.reports = {
            sender: report
            for sender, report in self.reports.items()
            if now - report[1] <= REPORT_TTL_MS
        }
        offsets = [offset for offset, _ in self.reports.values()]
        if not offsets:
            return
        offsets.append(wall_ms - now)
        self.offset = int(statistics.median_low(offsets))

    def wall_ms_at(self, now: int) -> int:
        """Return the time of day in ms at a steady time."""
        return now + self.offset


__all__ = ["TrueTime"]
