"""Fair queueing among the customers of one class.

Start-time fair queueing by tokens: a customer's virtual time grows by
the tokens charged over its weight, and the waiting customer with the
least virtual time is served next. An estimate is charged at the start
and corrected as tokens come, so unknown output lengths even out. A
customer that used less than its share keeps a bounded credit, so that
its own bursts do not queue behind one that floods all the time.
"""

import collections
import heapq
from typing import NamedTuple

from primrosehitch import catalog

CREDIT_TOKENS = 8192.0


class Ticket:
    """A request that waits for or holds a place at an endpoint.

    Args:
        request_id: the request's identifier.
        service_class: the class it counts to.
        customer: whose request it is.
        weight: the customer's weight in the class.
        estimate: tokens charged at the start.
        arrived: time of arrival in ms.
    """

    def __init__(
        self,
        request_id: str,
        service_class: catalog.ServiceClass,
        customer: str,
        weight: float,
        estimate: float,
        arrived: int,
    ):
        self.request_id = request_id
        self.service_class = service_class
        self.customer = customer
        self.weight = weight
        self.estimate = estimate
        self.arrived = arrived
        self.prompt_tokens = 0
        self.prefixes: tuple[str, ...] = ()
        self.excluded: frozenset[str] = frozenset()
        self.boosted = False

    @property
    def tier(self) -> int:
        """The tier of the request's class; 0 is the highest."""
        return self.service_class.tier

    @property
    def effective_tier(self) -> int:
        """The tier it runs at: the highest when a floor started it."""
        return 0 if self.boosted else self.tier

    @property
    def deadline(self) -> int:
        """When waiting ends, in ms."""
        return self.arrived + self.service_class.max_wait_ms


class Share(NamedTuple):
    """How many tickets a customer has waiting."""

    customer: str
    waiting: int


class FairQueue:
    """The waiting tickets of one class."""

    def __init__(self) -> None:
        self.waiting: dict[str, collections.deque[Ticket]] = {}
        self.virtual: dict[str, float] = {}
        self.floor = 0.0
        self.highest = 0.0
        self.heap: list[tuple[float, str]] = []
        self.listed: set[str] = set()
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def push(self, ticket: Ticket, front: bool = False) -> None:
        """Add a ticket behind, or before, its customer's others."""
        customer = ticket.customer
        queue = self.waiting.get(customer)
        if queue is None:
            queue = self.waiting[customer] = collections.deque()
            oldest = self.floor - CREDIT_TOKENS
            time = max(self.virtual.get(customer, oldest), oldest)
            self.virtual[customer] = time
            if customer not in self.listed:
                self.listed.add(customer)
                heapq.heappush(self.heap, (time, customer))
        if front:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        self.count += 1

    def peek(self) -> Ticket | None:
        """Return the ticket to serve next, or None."""
        while self.heap:
            time, customer = self.heap[0]
            queue = self.waiting.get(customer)
            current = self.virtual.get(customer, 0.0)
            if queue is None:
                heapq.heappop(self.heap)
                self.listed.discard(customer)
            elif time != current:
                heapq.heapreplace(self.heap, (current, customer))
            else:
                return queue[0]
        return None

    def pop(self) -> Ticket | None:
        """Take the ticket to serve next and charge its estimate."""
        ticket = self.peek()
        if ticket is None:
            return None
        self.floor = max(self.floor, self.virtual[ticket.customer])
        self._drop_from(ticket, self.waiting[ticket.customer].popleft)
        self.charge(ticket.customer, ticket.estimate, ticket.weight)
        if not self.count:
            self._start_afresh()
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take out a ticket that gave up; return whether it waited."""
        queue = self.waiting.get(ticket.customer)
        if queue is None or ticket not in queue:
            return False
        self._drop_from(ticket, lambda: queue.remove(ticket))
        return True

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Charge tokens served, or correct an estimate."""
        oldest = self.floor - CREDIT_TOKENS
        time = self.virtual.get(customer, oldest) + tokens / weight
        if customer in self.waiting or time > oldest:
            self.virtual[customer] = time
            self.highest = max(self.highest, time)
        else:
            self.virtual.pop(customer, None)

    def heaviest(self, extra: str = "") -> Share:
        """Return the customer with most tickets waiting.

        Args:
            extra: a customer to count one more ticket for.
        """
        best = Share(extra, 1 if extra else 0)
        for customer, queue in self.waiting.items():
            size = len(queue) + (customer == extra)
            if size > best.waiting:
                best = Share(customer, size)
        return best

    def newest_of(self, customer: str) -> Ticket:
        """Return the last ticket that a customer has waiting."""
        return self.waiting[customer][-1]

    def expired(self, now: int) -> list[Ticket]:
        """Return tickets whose waiting has ended."""
        return [
            t for q in self.waiting.values() for t in q if now >= t.deadline
        ]

    def _drop_from(self, ticket: Ticket, take) -> None:
        take()
        self.count -= 1
        if not self.waiting[ticket.customer]:
            del self.waiting[ticket.customer]
            self._forget_idle()

    def _start_afresh(self) -> None:
        self.floor = self.highest
        self.virtual.clear()
        self.heap.clear()
        self.listed.clear()

    def _forget_idle(self) -> None:
        if len(self.virtual) < 2 * len(self.waiting) + 64:
            return
        self.virtual = {
            c: t
            for c, t in self.virtual.items()
            if c in self.waiting or t > self.floor - CREDIT_TOKENS
        }


__all__ = ["FairQueue", "Share", "Ticket"]
