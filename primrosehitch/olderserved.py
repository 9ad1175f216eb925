"""Edges that use control instances of older releases.

Does no I/O; the caller passes the current time in ms. Such an instance tells
its edges nothing of evacuated failure domains, so the others tell them. All
of them do, since it is not known which of them an edge can be reached from.
"""

from typing import Iterable

# A control instance names its edges once a second.
SERVED_TIMEOUT_MS = 3000


class OlderServed:
    """The edges that instances of older releases serve.

    Attributes:
        named_ms: when such an instance last named an edge, in ms, by the
            edge's link name.
        informed: the edges that are told of evacuations.
    """

    def __init__(self) -> None:
        self.named_ms: dict[str, int] = {}
        self.informed: frozenset[str] = frozenset()

    def record_named(self, edges: Iterable[str], now: int) -> None:
        """Record that an instance of an older release named its edges."""
        self.named_ms.update(dict.fromkeys(edges, now))

    def update(self, own: Iterable[str], now: int) -> frozenset[str]:
        """Update which edges are told of evacuations.

        Args:
            own: the edges that this instance serves, which its status
                reaches anyway.
            now: the current time in ms.

        Returns:
            The edges that are not told any more.
        """
        self.named_ms = {
            edge: named_ms
            for edge, named_ms in self.named_ms.items()
            if now - named_ms <= SERVED_TIMEOUT_MS
        }
        earlier = self.informed
        self.informed = frozenset(self.named_ms).difference(own)
        return earlier - self.informed


__all__ = ["OlderServed", "SERVED_TIMEOUT_MS"]
