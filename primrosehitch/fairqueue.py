"""Fair queueing of the tickets of one class among its customers.

This is start-time fair queueing (SFQ) by tokens. A customer's virtual time
grows by its charged tokens divided by its weight, and the waiting customer
with the lowest virtual time is served next. A ticket's estimated tokens are
charged at its start and corrected as it is served, because the length of an
output is not known in advance.

A customer that used less than its share keeps a bounded credit, so that its
bursts are not queued behind those of a customer that always has a backlog.
Does no I/O; the caller passes the current time in ms.
"""

import collections
import heapq
from typing import NamedTuple

from primrosehitch import catalog

# How far a virtual time may lie behind the system virtual time.
MAX_CREDIT_TOKENS = 8192.0


class Ticket:
    """A request that waits for an endpoint or is in flight at one.

    Args:
        request_id: the request's identifier.
        service_class: the class of the request.
        customer: the customer that sent it.
        weight: the customer's weight in the class.
        estimated_tokens: tokens to charge at the start.
        arrived: time of arrival in ms.

    Attributes:
        prompt_tokens: length of the prompt.
        prefixes: hashes of the prompt's prefixes, shortest first.
        excluded: endpoints that must not be chosen.
        boosted: whether the floor of the class starts the ticket.
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
        """The tier for capacity: the highest if a floor starts the ticket."""
        return 0 if self.boosted else self.tier

    @property
    def deadline(self) -> int:
        """Time in ms at which the wait expires."""
        return self.arrived + self.service_class.max_wait_ms


class Backlog(NamedTuple):
    """The number of waiting tickets of a customer."""

    customer: str
    waiting: int


class FairQueue:
    """The waiting tickets of one class, by customer.

    Attributes:
        tickets_by_customer: waiting tickets, for customers that have any.
        virtual_times: virtual time by customer.
        system_virtual_time: highest virtual time at which a ticket was
            served.
        max_virtual_time: highest virtual time of any customer.
        heap: customers by virtual time. Entries may be out of date; ``peek``
            corrects them.
        customers_in_heap: customers with an entry in the heap, so that none
            gets a second one.
        ticket_count: number of waiting tickets.
    """

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
        """Add a ticket at the tail, or head, of its customer's queue."""
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
        """Remove the ticket to serve next and charge its estimated tokens."""
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
        """Remove a ticket and return whether it was waiting."""
        queue = self.tickets_by_customer.get(ticket.customer)
        if queue is None or ticket not in queue:
            return False
        self._remove_with(ticket, lambda: queue.remove(ticket))
        return True

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Charge tokens to a customer, or correct an earlier charge.

        A customer without waiting tickets is forgotten once it has the
        maximum credit.
        """
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
        """Return the largest backlog of a customer.

        Args:
            extra_customer: a customer to count one more ticket for, or an
                empty text.
        """
        largest = Backlog(extra_customer, 1 if extra_customer else 0)
        for customer, queue in self.tickets_by_customer.items():
            size = len(queue) + (customer == extra_customer)
            if size > largest.waiting:
                largest = Backlog(customer, size)
        return largest

    def newest_ticket(self, customer: str) -> Ticket:
        """Return the last ticket in a customer's queue."""
        return self.tickets_by_customer[customer][-1]

    def expired_tickets(self, now: int) -> list[Ticket]:
        """Return the waiting tickets whose wait has expired."""
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
