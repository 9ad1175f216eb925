"""Whom to refuse when more is asked for than can be served in time.

Pure. A request that cannot be answered any more before its caller leaves
is refused at once, so that the caller may come back.
"""

from typing import NamedTuple

from primrosehitch import balancer as balancer_module
from primrosehitch import routes


class Ticket(NamedTuple):
    """A request that was let in."""

    service: str
    priority: int


class Rejection(NamedTuple):
    """A request that was not let in, and when to come back."""

    reason: str
    retry_s: float


class Gate:
    """Lets requests in, or not.

    Args:
        balancer: knows the endpoints and their load.
    """

    def __init__(self, balancer: balancer_module.Balancer):
        self.balancer = balancer
        self.inside: dict[str, int] = {}

    def enter(
        self,
        ask: balancer_module.Ask,
        route: routes.Route,
        priority: int,
        until: int,
        now: int,
    ) -> Ticket | Rejection:
        """Let a request in or say why not.

        Args:
            ask: what it needs.
            route: its route.
            priority: its rank, 0 first.
            until: when its caller leaves, in ms.
            now: the current time in ms.
        """
        if now >= until:
            return Rejection("too-late", 0.0)
        self.inside[ask.service] = self.inside.get(ask.service, 0) + 1
        return Ticket(ask.service, priority)

    def leave(self, ticket: Ticket) -> None:
        """Note that a request ended."""
        self.inside[ticket.service] -= 1


__all__ = ["Gate", "Rejection", "Ticket"]
