"""Aggregation of the edges' load reports by the control instances.

Does no I/O; the caller passes the current time in ms. An edge reports its
load to one control instance. That instance sends the sum over its edges to
the other control instances, and the sum over all edges back to its edges.
The traffic grows with the number of edges plus the number of endpoints, not
with their product.
"""

from typing import Iterable

from primrosehitch import messages

# An older report says nothing about the present load.
REPORT_TTL_MS = 1500

# The largest load that a report carries; callers name their prompts' size.
MAX_LOAD = (1 << 32) - 1


class LoadAggregator:
    """Newest load reports by sender, and their sums.

    Attributes:
        reports: time of arrival in ms and report, by sender.
        sequence: number of the last sum.
    """

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, messages.LoadReport]] = {}
        self.sequence = 0

    def add_report(
        self, sender: str, report: messages.LoadReport, now: int
    ) -> None:
        """Store a sender's newest report."""
        self.reports[sender] = (now, report)

    def expire(self, now: int) -> None:
        """Remove the reports older than REPORT_TTL_MS."""
        self.reports = {
            sender: item
            for sender, item in self.reports.items()
            if now - item[0] <= REPORT_TTL_MS
        }

    def total(
        self, senders: Iterable[str] | None = None
    ) -> messages.LoadReport:
        """Return the sum of the reports.

        Args:
            senders: senders to include, or None for all.
        """
        names = self.reports if senders is None else senders
        demands: dict[str, int] = {}
        loads: dict[str, list[int]] = {}
        tiers: dict[tuple[str, int], list[int]] = {}
        for name in names:
            item = self.reports.get(name)
            if item is None:
                continue
            for demand in item[1].demands:
                previous = demands.get(demand.service, 0)
                demands[demand.service] = previous + demand.running
            for load in item[1].loads:
                sums = loads.setdefault(load.id, [0, 0])
                sums[0] += load.running
                sums[1] += load.reading
            for tier in item[1].tiers:
                sums = tiers.setdefault((tier.service, tier.tier), [0, 0])
                sums[0] += tier.milli_work
                sums[1] += tier.unanswered
        self.sequence += 1
        return messages.LoadReport(
            self.sequence,
            tuple(
                messages.ServiceDemand(s, min(n, MAX_LOAD))
                for s, n in demands.items()
            ),
            tuple(
                messages.EndpointLoad(
                    i, min(running, MAX_LOAD), min(reading, MAX_LOAD)
                )
                for i, (running, reading) in loads.items()
            ),
            tuple(
                messages.TierDemand(
                    s, tier, min(work, MAX_LOAD), min(unanswered, MAX_LOAD)
                )
                for (s, tier), (work, unanswered) in tiers.items()
            ),
        )


__all__ = ["LoadAggregator", "MAX_LOAD"]
