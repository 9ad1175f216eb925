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

MAX_CREDIT_TOKENS = 8192.0


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
        estimated_tokens: float,
        arrived: int,
    ):
        self.request_id = request_id
        self.service_class = service_class
        self.customer = customer
        self.weight = weight
        self.estimated_tokens = estimated_tokens
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


class Backlog(NamedTuple):
    """How many tickets a customer has waiting."""

    customer: str
    waiting: int


class FairQueue:
    """The waiting tickets of one class."""

    def __init__(self) -> None:
        self.tickets_by_customer: dict[str, collections.deque[Ticket]] = {}
        self.virtual_times: dict[str, float] = {}
        self.system_virtual_time = 0.0
        self.max_virtual_time = 0.0
        self.heap: list[tuple[float, str]] = []
        self.customers_in_heap: set[str] = set()
        self.ticket_count = 0

    def __len__(self) -> int:
        return self.ticket_count

    def push(self, ticket: Ticket, at_front: bool = False) -> None:
        """Add a ticket behind, or before, its customer's others."""
        customer = ticket.customer
        queue = self.tickets_by_customer.get(customer)
        if queue is None:
            queue = self.tickets_by_customer[customer] = collections.deque()
            min_virtual_time = self.system_virtual_time - MAX_CREDIT_TOKENS
            virtual_time = max(
                self.virtual_times.get(customer, min_virtual_time),
                min_virtual_time,
            )
            self.virtual_times[customer] = virtual_time
            if customer not in self.customers_in_heap:
                self.customers_in_heap.add(customer)
                heapq.heappush(self.heap, (virtual_time, customer))
        if at_front:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        self.ticket_count += 1

    def peek(self) -> Ticket | None:
        """Return the ticket to serve next, or None."""
        while self.heap:
            heap_time, customer = self.heap[0]
            queue = self.tickets_by_customer.get(customer)
            current_time = self.virtual_times.get(customer, 0.0)
            if queue is None:
                heapq.heappop(self.heap)
                self.customers_in_heap.discard(customer)
            elif heap_time != current_time:
                heapq.heapreplace(self.heap, (current_time, customer))
            else:
                return queue[0]
        return None

    def pop(self) -> Ticket | None:
        """Take the ticket to serve next and charge its estimate."""
        ticket = self.peek()
        if ticket is None:
            return None
        self.system_virtual_time = max(
            self.system_virtual_time, self.virtual_times[ticket.customer]
        )
        self._remove_with(
            ticket, self.tickets_by_customer[ticket.customer].popleft
        )
        self.charge(ticket.customer, ticket.estimated_tokens, ticket.weight)
        if not self.ticket_count:
            self._reset_virtual_times()
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take out a ticket that gave up; return whether it waited."""
        queue = self.tickets_by_customer.get(ticket.customer)
        if queue is None or ticket not in queue:
            return False
        self._remove_with(ticket, lambda: queue.remove(ticket))
        return True

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Charge tokens served, or correct an estimate."""
        min_virtual_time = self.system_virtual_time - MAX_CREDIT_TOKENS
        virtual_time = (
            self.virtual_times.get(customer, min_virtual_time)
            + tokens / weight
        )
        if (
            customer in self.tickets_by_customer
            or virtual_time > min_virtual_time
        ):
            self.virtual_times[customer] = virtual_time
            self.max_virtual_time = max(self.max_virtual_time, virtual_time)
        else:
            self.virtual_times.pop(customer, None)

    def largest_backlog(self, extra_customer: str = "") -> Backlog:
        """Return the customer with most tickets waiting.

        Args:
            extra: a customer to count one more ticket for.
        """
        largest = Backlog(extra_customer, 1 if extra_customer else 0)
        for customer, queue in self.tickets_by_customer.items():
            size = len(queue) + (customer == extra_customer)
            if size > largest.waiting:
                largest = Backlog(customer, size)
        return largest

    def newest_ticket(self, customer: str) -> Ticket:
        """Return the last ticket that a customer has waiting."""
        return self.tickets_by_customer[customer][-1]

    def expired_tickets(self, now: int) -> list[Ticket]:
        """Return tickets whose waiting has ended."""
        return [
            t
            for q in self.tickets_by_customer.values()
            for t in q
            if now >= t.deadline
        ]

    def _remove_with(self, ticket: Ticket, remove_ticket) -> None:
        remove_ticket()
        self.ticket_count -= 1
        if not self.tickets_by_customer[ticket.customer]:
            del self.tickets_by_customer[ticket.customer]
            self._forget_idle_customers()

    def _reset_virtual_times(self) -> None:
        self.system_virtual_time = self.max_virtual_time
        self.virtual_times.clear()
        self.heap.clear()
        self.customers_in_heap.clear()

    def _forget_idle_customers(self) -> None:
        if len(self.virtual_times) < 2 * len(self.tickets_by_customer) + 64:
            return
        self.virtual_times = {
            c: t
            for c, t in self.virtual_times.items()
            if c in self.tickets_by_customer
            or t > self.system_virtual_time - MAX_CREDIT_TOKENS
        }


__all__ = ["FairQueue", "Backlog", "Ticket"]
