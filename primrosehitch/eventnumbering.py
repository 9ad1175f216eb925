"""How the endpoints of a service number the events of their streams.

Only increase is promised of the identifiers of events. Most endpoints number
events one by one nevertheless. Where they do, an identifier that leaves some
out is wrong, or an event is missing. Does no I/O.
"""

from collections import deque
import enum
from typing import Callable
from typing import Collection
from typing import NamedTuple

# What is known of a service is taken from so many of its last streams.
WINDOW_STREAMS = 64
# With fewer streams than this, nothing is known.
MIN_STREAMS = 16
# Largest share of streams with gaps where events are numbered one by one: an
# endpoint may be faulty.
MAX_FAULTY_SHARE = 0.125
# Smallest share of streams with gaps where endpoints leave identifiers out.
MIN_SPARSE_SHARE = 0.75
# What is known of the least recently used service is dropped beyond this.
MAX_SERVICES = 256


class Gap(NamedTuple):
    """Identifiers that are left out between two events.

    Attributes:
        before: the identifier before it, -1 at the start of a stream.
        after: the identifier after it.
    """

    before: int
    after: int


class Numbering(enum.Enum):
    """How the endpoints of a service number events."""

    UNKNOWN = "unknown"
    DENSE = "dense"
    SPARSE = "sparse"


class NumberingRecord:
    """What the streams of each service have shown so far.

    Args:
        on_change: called with a service and how it numbers events once that
            is taken to be otherwise than before.

    Attributes:
        had_gaps: of each service's last streams, whether they had gaps.
        sparse_services: services of which two endpoints have left out the
            same identifiers, until later streams show that they were faulty.
    """

    def __init__(
        self, on_change: Callable[[str, Numbering], None] | None = None
    ) -> None:
        self.on_change = on_change
        self.had_gaps: dict[str, deque[bool]] = {}
        self.sparse_services: set[str] = set()

    def record_stream(self, service: str, has_gaps: bool) -> None:
        """Record a stream of a service.

        Args:
            service: the service's name.
            has_gaps: whether its identifiers had gaps.
        """
        before = self.service_numbering(service)
        recent = self.had_gaps.pop(service, None)
        if recent is None:
            recent = deque(maxlen=WINDOW_STREAMS)
        recent.append(has_gaps)
        self.had_gaps[service] = recent
        if _numbering_of(recent) is Numbering.DENSE:
            self.sparse_services.discard(service)
        self._report_change(service, before)
        if len(self.had_gaps) > MAX_SERVICES:
            oldest = next(iter(self.had_gaps))
            del self.had_gaps[oldest]
            self.sparse_services.discard(oldest)

    def confirm_gap(self, service: str) -> None:
        """Record that two endpoints have left out the same identifiers.

        Only the streams that follow can show that both were faulty.
        """
        before = self.service_numbering(service)
        self.had_gaps.pop(service, None)
        self.record_stream(service, True)
        self.sparse_services.add(service)
        self._report_change(service, before)

    def service_numbering(self, service: str) -> Numbering:
        """Return how the endpoints of a service number events."""
        if service in self.sparse_services:
            return Numbering.SPARSE
        return _numbering_of(self.had_gaps.get(service, ()))

    def _report_change(self, service: str, before: Numbering) -> None:
        after = self.service_numbering(service)
        if self.on_change is not None and after is not before:
            self.on_change(service, after)


def _numbering_of(recent: Collection[bool]) -> Numbering:
    """Return how events are numbered in streams that had gaps, or not."""
    if len(recent) < MIN_STREAMS:
        return Numbering.UNKNOWN
    share = sum(recent) / len(recent)
    if share <= MAX_FAULTY_SHARE:
        return Numbering.DENSE
    if share >= MIN_SPARSE_SHARE:
        return Numbering.SPARSE
    return Numbering.UNKNOWN


__all__ = ["Gap", "Numbering", "NumberingRecord"]
