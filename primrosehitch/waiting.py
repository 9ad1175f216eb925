"""Requests of one edge that wait for an endpoint, in order of their tier.

Does no I/O. Where connections or places are scarce, an endpoint that becomes
available goes to the most urgent request, and among equals to the one that
has waited longest.
"""

import bisect
import itertools
from typing import NamedTuple


class Ticket(NamedTuple):
    """A place in the line; lower ones come first.

    Attributes:
        tier: the request's tier, 0 is the most urgent.
        number: rises with each request that joins.
    """

    tier: int
    number: int


class WaitingLine:
    """The requests that wait, in one line for each set of endpoints.

    Attributes:
        tickets: the places taken, in order, by name of the line.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, list[Ticket]] = {}
        self.numbers = itertools.count()

    def join(self, name: str, tier: int) -> Ticket:
        """Take a place in a line; ``leave`` gives it back."""
        ticket = Ticket(tier, next(self.numbers))
        bisect.insort(self.tickets.setdefault(name, []), ticket)
        return ticket

    def leave(self, name: str, ticket: Ticket) -> None:
        """Give a place back."""
        line = self.tickets[name]
        line.remove(ticket)
        if not line:
            del self.tickets[name]

    def is_behind(self, name: str, ticket: Ticket) -> bool:
        """Return whether another request comes first."""
        line = self.tickets.get(name)
        return bool(line) and line[0] < ticket

    def is_waited_for(self, name: str, tier: int) -> bool:
        """Return whether a request of this tier or a more urgent one waits."""
        line = self.tickets.get(name)
        return bool(line) and line[0].tier <= tier


__all__ = ["Ticket", "WaitingLine"]
