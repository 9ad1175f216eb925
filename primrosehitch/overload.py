"""Whom to refuse when more is asked for than can be served in time.

Pure. A request that cannot be answered any more before its caller leaves
is refused at once, so that the caller may come back.
"""

from typing import NamedTuple


class Rejection(NamedTuple):
    """A request that was not let in, and when to come back."""

    reason: str
    retry_after_s: float


class AdmissionGate:
    """Lets requests in, or not.

    Attributes:
        inside: requests let in that have not ended, by service.
    """

    def __init__(self) -> None:
        self.in_flight: dict[str, int] = {}

    def admit(self, service: str, deadline: int, now: int) -> Rejection | None:
        """Let a request in, or say why not.

        Args:
            service: what it asks for.
            until: when its caller leaves, in ms.
            now: the current time in ms.
        """
        if now >= deadline:
            return Rejection("too-late", 0.0)
        self.in_flight[service] = self.in_flight.get(service, 0) + 1
        return None

    def record_end(self, service: str) -> None:
        """Note that a request that was let in ended."""
        self.in_flight[service] -= 1


__all__ = ["AdmissionGate", "Rejection"]
