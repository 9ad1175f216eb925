"""The edges of a deployment, as the control instances remember them.

Does no I/O; the caller passes the current time in ms. An edge that was
paused or cut off while the control instances were replaced knows none that
exists, so they have to remember it, and tell their successors.
"""

import random
from typing import Iterable

from primrosehitch import messages

# An edge subscribes several times a second, and switches to another control
# instance within this time.
UNSERVED_AFTER_MS = 2500
# Longer than an edge is paused or cut off.
REMEMBERED_MS = 600_000
# Beyond that the edges heard least recently are forgotten.
MAX_REMEMBERED = 4096


class EdgeDirectory:
    """When each edge was last heard, by any control instance.

    Attributes:
        heard_ms: time in ms, by the edge's link name.
    """

    def __init__(self) -> None:
        self.heard_ms: dict[str, int] = {}

    def record_heard(self, name: str, heard_ms: int) -> None:
        """Record when an edge was heard, unless it was heard later."""
        known_ms = self.heard_ms.get(name)
        if known_ms is None or heard_ms > known_ms:
            self.heard_ms[name] = heard_ms

    def apply(self, edges: Iterable[messages.KnownEdge], now: int) -> None:
        """Add the edges that another control instance remembers."""
        for edge in edges:
            if edge.silent_ms <= REMEMBERED_MS:
                self.record_heard(edge.name, now - edge.silent_ms)
        self.forget(now)

    def items(
        self, now: int, max_silent_ms: int = REMEMBERED_MS
    ) -> tuple[messages.KnownEdge, ...]:
        """Return the edges that were silent for at most a time."""
        return tuple(
            messages.KnownEdge(name, max(0, now - heard_ms))
            for name, heard_ms in self.heard_ms.items()
            if now - heard_ms <= max_silent_ms
        )

    def count_served(self, now: int) -> int:
        """Return the number of edges, each once, that were heard lately."""
        return sum(
            now - heard_ms <= UNSERVED_AFTER_MS
            for heard_ms in self.heard_ms.values()
        )

    def unserved(
        self, now: int, limit: int, rng: random.Random
    ) -> frozenset[str]:
        """Return some edges that no control instance serves.

        Args:
            now: the current time in ms.
            limit: how many at most; others are returned another time.
            rng: chooses among them.
        """
        names = [
            name
            for name, heard_ms in self.heard_ms.items()
            if now - heard_ms > UNSERVED_AFTER_MS
        ]
        return frozenset(rng.sample(names, min(limit, len(names))))

    def forget(self, now: int) -> None:
        """Forget edges that were silent for too long, or are too many."""
        newest = sorted(self.heard_ms.items(), key=lambda item: -item[1])
        self.heard_ms = {
            name: heard_ms
            for name, heard_ms in newest[:MAX_REMEMBERED]
            if now - heard_ms <= REMEMBERED_MS
        }


__all__ = ["EdgeDirectory", "REMEMBERED_MS", "UNSERVED_AFTER_MS"]
