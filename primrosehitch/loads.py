"""What all edges have under way, summed by the control instances.

Pure. An edge tells its control instance, which tells the sum over its
edges to the other control instances, and the sum over all to its edges.
The bytes grow with edges plus endpoints, not with their product.
"""

from typing import Iterable

from primrosehitch import messages

# A report says nothing of now after this time.
REPORT_TTL_MS = 1500


class LoadAggregator:
    """The newest reports by sender, and their sums."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, messages.LoadReport]] = {}
        self.sequence = 0

    def add_report(
        self, sender: str, report: messages.LoadReport, now: int
    ) -> None:
        """Take in a sender's newest report."""
        self.reports[sender] = (now, report)

    def expire(self, now: int) -> None:
        """Forget the reports that are too old."""
        self.reports = {
            sender: item
            for sender, item in self.reports.items()
            if now - item[0] <= REPORT_TTL_MS
        }

    def total(
        self, senders: Iterable[str] | None = None
    ) -> messages.LoadReport:
        """Return the sum over some senders, or over all."""
        names = self.reports if senders is None else senders
        demands: dict[str, int] = {}
        loads: dict[str, list[int]] = {}
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
        self.sequence += 1
        return messages.LoadReport(
            self.sequence,
            tuple(messages.ServiceDemand(s, n) for s, n in demands.items()),
            tuple(messages.EndpointLoad(i, *n) for i, n in loads.items()),
        )


__all__ = ["LoadAggregator"]
