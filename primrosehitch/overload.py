"""Admission control that refuses requests past their deadline.

Does no I/O; the caller passes the current time in ms. A request that can no
longer be answered before its deadline is refused at once, so that the
caller may retry.
"""

from typing import NamedTuple


class Rejection(NamedTuple):
    """Refusal of a request.

    Attributes:
        reason: a word for logs and metrics.
        retry_after_s: time after which the caller may retry.
    """

    reason: str
    retry_after_s: float


class AdmissionGate:
    """Admits or refuses requests and counts the admitted ones.

    Attributes:
        in_flight: admitted requests that have not ended, by service.
    """

    def __init__(self) -> None:
        self.in_flight: dict[str, int] = {}

    def admit(self, service: str, deadline: int, now: int) -> Rejection | None:
        """Admit a request, or return the reason for the refusal.

        Args:
            service: the service that the request needs.
            deadline: time at which the caller gives up, in ms.
            now: the current time in ms.

        Returns:
            None if the request was admitted; the caller then has to call
            ``record_end`` once.
        """
        if now >= deadline:
            return Rejection("too-late", 0.0)
        self.in_flight[service] = self.in_flight.get(service, 0) + 1
        return None

    def record_end(self, service: str) -> None:
        """Record the end of an admitted request."""
        self.in_flight[service] -= 1

    def record_start(self, service: str) -> None:
        """Record that an admitted request is under way here again."""
        self.in_flight[service] += 1


__all__ = ["AdmissionGate", "Rejection"]
