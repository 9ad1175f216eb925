"""Requests begun, counted by customer and window of true time.

Pure. An edge keeps running totals of the newest windows and tells them
again and again; a total replaces an older one of the same start of the
edge, so that a lost or repeated message changes nothing. The leader adds
the totals up when it fixes a window's figures.
"""

from primrosehitch import messages

WINDOWS_KEPT = 24


class WindowMeter:
    """One edge's running totals.

    Args:
        edge: the edge's name.
        incarnation: number of this start.
        window_ms: length of a window.
    """

    def __init__(self, edge: str, incarnation: int, window_ms: int):
        self.edge = edge
        self.incarnation = incarnation
        self.window_ms = window_ms
        self.totals: dict[int, dict[str, int]] = {}
        self.changed: set[int] = set()

    def count(self, customer: str, true_ms: int) -> None:
        """Count a request that an endpoint began at a true time."""
        window = true_ms // self.window_ms
        counts = self.totals.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        self.changed.add(window)
        for old in sorted(self.totals)[:-WINDOWS_KEPT]:
            del self.totals[old]
            self.changed.discard(old)

    def take_changed(self) -> messages.TallyBatch:
        """Return the totals changed since the last call."""
        changed, self.changed = self.changed, set()
        return self._batch(changed)

    def all_totals(self) -> messages.TallyBatch:
        """Return all totals kept, for a control instance just met."""
        self.changed = set()
        return self._batch(set(self.totals))

    def _batch(self, windows: set[int]) -> messages.TallyBatch:
        return messages.TallyBatch(
            tuple(
                messages.WindowTally(
                    self.edge,
                    self.incarnation,
                    window,
                    _counts(self.totals[window]),
                )
                for window in sorted(windows)
            )
        )


class Tallies:
    """What all edges counted, as a control instance heard it."""

    def __init__(self) -> None:
        self.windows: dict[
            int, dict[tuple[str, int], messages.WindowTally]
        ] = {}

    def hear(self, batch: messages.TallyBatch) -> None:
        """Take in totals, which replace older ones of the same start."""
        for tally in batch.tallies:
            source = (tally.edge, tally.incarnation)
            totals = self.windows.setdefault(tally.window, {})
            known = totals.get(source)
            if known is None or _requests(known) <= _requests(tally):
                totals[source] = tally
        for old in sorted(self.windows)[:-WINDOWS_KEPT]:
            del self.windows[old]

    def sealed(self, window: int) -> messages.SealWindow:
        """Return a window's figures over all edges."""
        sums: dict[str, int] = {}
        for tally in self.windows.get(window, {}).values():
            for item in tally.counts:
                name = item.customer
                sums[name] = sums.get(name, 0) + item.requests
        return messages.SealWindow(window, _counts(sums))


def _requests(tally: messages.WindowTally) -> int:
    return sum(item.requests for item in tally.counts)


def _counts(sums: dict[str, int]) -> tuple[messages.CustomerCount, ...]:
    return tuple(
        messages.CustomerCount(customer, sums[customer])
        for customer in sorted(sums)
    )


__all__ = ["Tallies", "WindowMeter"]
