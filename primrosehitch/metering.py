"""Request counts by customer and window of true time (see ``truetime``).

Does no I/O. An edge keeps running totals of the newest windows and sends
them repeatedly. A total replaces the older one of the same incarnation of
the edge, so that lost and repeated messages do no harm. The leader sums up
the totals when it seals a window.
"""

from primrosehitch import messages

RETAINED_WINDOWS = 24


class WindowMeter:
    """Running totals of one edge.

    Args:
        edge: the edge's name.
        incarnation: number of this start of the edge.
        window_ms: length of a window.

    Attributes:
        totals: requests by window number and customer.
        changed_windows: numbers of the windows changed since they were
            last taken.
    """

    def __init__(self, edge: str, incarnation: int, window_ms: int):
        self.edge = edge
        self.incarnation = incarnation
        self.window_ms = window_ms
        self.totals: dict[int, dict[str, int]] = {}
        self.changed_windows: set[int] = set()

    def count_request(self, customer: str, true_ms: int) -> None:
        """Count a request that an endpoint began to answer at a time.

        Windows beyond the newest RETAINED_WINDOWS are dropped.

        Args:
            customer: the customer's name.
            true_ms: the true time in ms.
        """
        window = true_ms // self.window_ms
        counts = self.totals.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        self.changed_windows.add(window)
        for expired in sorted(self.totals)[:-RETAINED_WINDOWS]:
            del self.totals[expired]
            self.changed_windows.discard(expired)

    def take_changed_totals(self) -> messages.TallyBatch:
        """Return the totals that changed since the last call."""
        changed, self.changed_windows = self.changed_windows, set()
        return self._make_batch(changed)

    def all_totals(self) -> messages.TallyBatch:
        """Return all totals, for a control instance that has none yet."""
        self.changed_windows = set()
        return self._make_batch(set(self.totals))

    def _make_batch(self, windows: set[int]) -> messages.TallyBatch:
        return messages.TallyBatch(
            tuple(
                messages.WindowTally(
                    self.edge,
                    self.incarnation,
                    window,
                    _customer_counts(self.totals[window]),
                )
                for window in sorted(windows)
            )
        )


class TallyAggregator:
    """Totals of all edges, as received by a control instance.

    Attributes:
        tallies_by_window: newest tally by window number, and by edge name
            and incarnation.
    """

    def __init__(self) -> None:
        self.tallies_by_window: dict[
            int, dict[tuple[str, int], messages.WindowTally]
        ] = {}

    def apply_batch(self, batch: messages.TallyBatch) -> None:
        """Store totals; they replace older ones of the same incarnation.

        Totals only grow, so that the larger one is the newer one.
        """
        for tally in batch.tallies:
            source = (tally.edge, tally.incarnation)
            totals = self.tallies_by_window.setdefault(tally.window, {})
            previous = totals.get(source)
            if previous is None or _total_requests(
                previous
            ) <= _total_requests(tally):
                totals[source] = tally
        for expired in sorted(self.tallies_by_window)[:-RETAINED_WINDOWS]:
            del self.tallies_by_window[expired]

    def window_totals(self, window: int) -> messages.SealWindow:
        """Return a window's totals over all edges and incarnations."""
        sums: dict[str, int] = {}
        for tally in self.tallies_by_window.get(window, {}).values():
            for item in tally.counts:
                customer_name = item.customer
                sums[customer_name] = (
                    sums.get(customer_name, 0) + item.requests
                )
        return messages.SealWindow(window, _customer_counts(sums))


def _total_requests(tally: messages.WindowTally) -> int:
    return sum(item.requests for item in tally.counts)


def _customer_counts(
    sums: dict[str, int],
) -> tuple[messages.CustomerCount, ...]:
    return tuple(
        messages.CustomerCount(customer, sums[customer])
        for customer in sorted(sums)
    )


__all__ = ["TallyAggregator", "WindowMeter"]
