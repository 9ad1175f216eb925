"""Quantiles of response times that follow changes.

Does no I/O; the caller passes the current time in ms. The times are kept in
quantile sketches of the ddsketch library, whose size does not grow with the
number of samples.
"""

from typing import Callable
from typing import Protocol

# A quantile covers the samples of at least this time and of at most twice
# as much, so that it follows a change within a minute.
PERIOD_MS = 30_000
# Fewer samples say nothing of a high quantile. At least two of them have to
# lie above it as well.
MIN_SAMPLES = 30
MIN_SAMPLES_ABOVE = 2
# A quantile is computed again after this time at the latest.
REFRESH_MS = 250
# Relative error of a quantile, and the bins that a sketch may have: enough
# for times from 1 ms to several minutes.
RELATIVE_ERROR = 0.02
MAX_BINS = 512


class Sketch(Protocol):
    """Summary of numbers from which quantiles can be estimated."""

    @property
    def count(self) -> float:
        """Number of samples."""

    def add(self, val: float) -> None:
        """Add a sample."""

    def get_quantile_value(self, quantile: float) -> float | None:
        """Return a quantile, or None without samples."""


def make_sketch() -> Sketch:
    """Return an empty sketch of the ddsketch library.

    The library is imported only where hedging is on.
    """
    import ddsketch

    return ddsketch.LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MAX_BINS)


class DecayingQuantile:
    """One quantile of the newest samples.

    Every sample goes into two sketches. The older one answers; the newer one
    replaces it after a period.

    Args:
        quantile: the quantile, between 0 and 1.
        make: returns an empty sketch.

    Attributes:
        settled: the sketch that answers.
        fresh: the sketch that replaces it at the end of the period.
        period_ends_at: when that is, in ms.
    """

    def __init__(self, quantile: float, make: Callable[[], Sketch], now: int):
        self.quantile = quantile
        self.make = make
        self.min_samples = max(
            MIN_SAMPLES, round(MIN_SAMPLES_ABOVE / (1 - quantile))
        )
        self.settled = make()
        self.fresh = make()
        self.period_ends_at = now + PERIOD_MS
        self.cached: float | None = None
        self.cached_until = now

    def add(self, value: float, now: int) -> None:
        """Add a sample.

        Args:
            value: the response time in ms.
            now: the current time in ms.
        """
        self._rotate(now)
        self.settled.add(value)
        self.fresh.add(value)

    def value(self, now: int) -> float | None:
        """Return the quantile in ms, or None with too few samples."""
        self._rotate(now)
        if self.settled.count < self.min_samples:
            return None
        if self.cached is None or now >= self.cached_until:
            self.cached = self.settled.get_quantile_value(self.quantile)
            self.cached_until = now + REFRESH_MS
        return self.cached

    def _rotate(self, now: int) -> None:
        """Drop the samples that are too old."""
        if now < self.period_ends_at:
            return
        idle = now - self.period_ends_at >= PERIOD_MS
        self.settled = self.make() if idle else self.fresh
        self.fresh = self.make()
        self.period_ends_at = now + PERIOD_MS
        self.cached = None


__all__ = ["DecayingQuantile", "Sketch", "make_sketch"]
