"""Whom to refuse when more is asked for than can be served in time.

Pure. A request that cannot be answered any more before its caller leaves
is refused at once, so that the caller may come back.
"""

from typing import NamedTuple


class Rejection(NamedTuple):
    """A request that was not let in, and when to come back."""

    reason: str
    retry_s: float


class Gate:
    """Lets requests in, or not.

    Attributes:
        inside: requests let in that have not ended, by service.
    """

    def __init__(self) -> None:
        self.inside: dict[str, int] = {}

    def enter(self, service: str, until: int, now: int) -> Rejection | None:
        """Let a request in, or say why not.

        Args:
            service: what it asks for.
            until: when its caller leaves, in ms.
            now: the current time in ms.
        """
        if now >= until:
            return Rejection("too-late", 0.0)
        self.inside[service] = self.inside.get(service, 0) + 1
        return None

    def leave(self, service: str) -> None:
        """Note that a request that was let in ended."""
        self.inside[service] -= 1


__all__ = ["Gate", "Rejection"]
