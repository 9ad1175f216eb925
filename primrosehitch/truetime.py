"""True time: the median of the instances' wall clocks.

Does no I/O; the caller passes both clocks' times in ms. A machine's wall
clock may be stepped by seconds and back. For each instance the offset of
its wall clock from this machine's monotonic clock is known; the median
offset of all instances heard recently is right while fewer than half of the
clocks are wrong.
"""

import statistics

# Reports arrive several times a second; older ones are ignored.
REPORT_TTL_MS = 3000


class TrueTime:
    """Wall-clock time in ms since 1970, robust against clock steps.

    Args:
        wall_ms: this machine's wall clock.
        now: this machine's monotonic clock, in ms.

    Attributes:
        offset: true time minus monotonic clock, in ms.
        reports: offset and time of arrival in ms, by sender.
        has_control_time: whether a control instance has set the time.
    """

    def __init__(self, wall_ms: int, now: int):
        self.offset = wall_ms - now
        self.reports: dict[str, tuple[int, int]] = {}
        self.has_control_time = False

    def add_report(self, sender: str, wall_ms: int, now: int) -> None:
        """Store another instance's wall clock."""
        self.reports[sender] = (wall_ms - now, now)

    def set_from_control(self, true_ms: int, now: int) -> None:
        """Set the time to the one that a control instance computed."""
        self.offset = true_ms - now
        self.has_control_time = True

    def update_from_reports(self, wall_ms: int, now: int) -> None:
        """Set the time to the median of recent reports and this clock.

        Without recent reports the offset does not change, so that a step
        of this machine's wall clock has no effect.
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
        """Return the true time in ms at a time of the monotonic clock."""
        return now + self.offset


__all__ = ["TrueTime"]
