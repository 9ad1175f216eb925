"""Admission control: which waiting request starts next or is refused.

Does no I/O; the caller passes the current time in ms.

Refusals depend on tiers: a request is refused only if no ticket of a lower
tier can be displaced instead. Each class keeps RESERVED_TICKETS tickets that
are never displaced, for its floor to start. Without them a burst that keeps
the queue full would starve the class, since its tickets would not be queued.

Tickets start in the order of their tiers, but a class whose floor is due
gets the next free capacity. Capacity that a higher tier may not use at this
gateway, because it is another gateway's share, is not given to a lower tier
either.
"""

from typing import Callable
from typing import Iterator
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import errors
from primrosehitch import fairqueue
from primrosehitch import outcomes

# A class with waiting tickets is due for a start by its floor if it has not
# started one for this time.
FLOOR_INTERVAL_MS = 2000
# Half-life of the estimated completion rate.
RATE_HALF_LIFE_MS = 5000
# Waits are not predicted before this many completions.
MIN_RATE_SAMPLES = 20
# Factor on the tickets that are expected to be served before a customer's
# fair turn.
FAIR_TURN_FACTOR = 1.0
# Number of tickets of a class that are queued even if the queue is full.
RESERVED_TICKETS = 1
MIN_RETRY_AFTER_S = 0.1

Ticket = fairqueue.Ticket
ChooseEndpoint = Callable[[Ticket], str | None]


class StartedTicket(NamedTuple):
    """A started ticket and the name of its endpoint."""

    ticket: Ticket
    endpoint: str


class RefusedTicket(NamedTuple):
    """A refused ticket and the refusal to return to its caller."""

    ticket: Ticket
    refusal: outcomes.Refusal


class ClassQueue:
    """The waiting tickets of one class, with its scheduling state.

    Args:
        service_class: the class.

    Attributes:
        tickets: the fair queue of the class.
        floor_credit: starts that the class's floor has earned. It grows by
            the floor with each start of another class while tickets of this
            one wait.
        last_start: time of the last start in ms.
        weighted_starts: number of starts divided by the class's weight.
    """

    def __init__(self, service_class: catalog.ServiceClass):
        self.service_class = service_class
        self.tickets = fairqueue.FairQueue()
        self.floor_credit = 0.0
        self.last_start = 0
        self.weighted_starts = 0.0

    @property
    def tier(self) -> int:
        """The class's tier."""
        return self.service_class.tier


class Admission:
    """The waiting requests for one model or service at one gateway.

    Args:
        max_waiting: number of waiting tickets at which the queue is full.

    Attributes:
        class_queues: queues by class name.
        waiting: number of waiting tickets of all classes.
        completion_rate: EWMA of completions per second.
        rate_updated: time of the last completion in ms.
        completion_count: number of completions so far.
    """

    def __init__(self, max_waiting: int):
        self.max_waiting = max_waiting
        self.class_queues: dict[str, ClassQueue] = {}
        self.waiting = 0
        self.completion_rate = 0.0
        self.rate_updated = 0
        self.completion_count = 0

    def offer(self, ticket: Ticket, now: int) -> list[RefusedTicket]:
        """Queue a ticket, or refuse it or the one that it displaces.

        Args:
            ticket: the new ticket.
            now: the current time in ms.

        Returns:
            The refused tickets: none, the displaced one, or the new one.
        """
        class_queue = self._class_queue(ticket.service_class, now)
        refused: list[RefusedTicket] = []
        is_full = self.waiting >= self.max_waiting
        misses_deadline = (
            self.predicted_wait_ms(ticket) > ticket.service_class.max_wait_ms
        )
        if (is_full or misses_deadline) and len(
            class_queue.tickets
        ) >= RESERVED_TICKETS:
            reason = "queue-full" if is_full else "would-miss-deadline"
            refused = self._displace_or_refuse(ticket, class_queue, reason)
        if not any(r.ticket is ticket for r in refused):
            class_queue.tickets.push(ticket)
            self.waiting += 1
        return refused

    def requeue(self, ticket: Ticket, now: int) -> None:
        """Return a started ticket to the head of its customer's queue."""
        class_queue = self._class_queue(ticket.service_class, now)
        ticket.boosted = False
        class_queue.tickets.charge(
            ticket.customer, -ticket.estimated_tokens, ticket.weight
        )
        class_queue.tickets.push(ticket, at_front=True)
        self.waiting += 1

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a cancelled ticket and return whether it was waiting."""
        class_queue = self.class_queues.get(ticket.service_class.name)
        if class_queue is None or not class_queue.tickets.remove(ticket):
            return False
        self.waiting -= 1
        return True

    def predicted_wait_ms(self, ticket: Ticket) -> float:
        """Return the predicted wait of a new ticket in ms.

        The ticket waits for all tickets of higher tiers. Of its own
        tier it waits for all tickets, or only for those that are served
        before its customer's fair turn in its class if these are fewer.
        """
        if (
            self.completion_count < MIN_RATE_SAMPLES
            or self.completion_rate <= 0
        ):
            return 0.0
        higher_waiting = equal_waiting = 0
        own_waiting = active_customers = 0
        for class_queue in self.class_queues.values():
            if class_queue.tier < ticket.tier:
                higher_waiting += len(class_queue.tickets)
            elif class_queue.tier == ticket.tier:
                equal_waiting += len(class_queue.tickets)
            if class_queue.service_class.name == ticket.service_class.name:
                own_waiting = len(
                    class_queue.tickets.tickets_by_customer.get(
                        ticket.customer, ()
                    )
                )
                active_customers = len(class_queue.tickets.tickets_by_customer)
        fair_turn = min(
            equal_waiting,
            own_waiting * max(1, active_customers) * FAIR_TURN_FACTOR,
        )
        return 1000.0 * (higher_waiting + fair_turn) / self.completion_rate

    def _displace_or_refuse(
        self, ticket: Ticket, class_queue: ClassQueue, reason: str
    ) -> list[RefusedTicket]:
        victim = self._lower_tier_victim(ticket.tier)
        if victim is None and reason == "queue-full":
            victim = self._same_class_victim(ticket, class_queue)
        if victim is None:
            return [self._refuse(ticket, reason)]
        self.cancel(victim)
        return [self._refuse(victim, "displaced")]

    def _lower_tier_victim(self, tier: int) -> Ticket | None:
        for class_queue in sorted(
            self.class_queues.values(), key=lambda q: q.tier, reverse=True
        ):
            if class_queue.tier <= tier:
                return None
            if len(class_queue.tickets) > RESERVED_TICKETS:
                backlog = class_queue.tickets.largest_backlog()
                return class_queue.tickets.newest_ticket(backlog.customer)
        return None

    def _same_class_victim(
        self, ticket: Ticket, class_queue: ClassQueue
    ) -> Ticket | None:
        backlog = class_queue.tickets.largest_backlog(ticket.customer)
        if backlog.customer == ticket.customer:
            return None
        return class_queue.tickets.newest_ticket(backlog.customer)

    def _refuse(self, ticket: Ticket, reason: str) -> RefusedTicket:
        lower = self._lower_tier_victim(ticket.tier)
        errors.require(
            reason == "expired" or lower is None or lower is ticket,
            f"refused tier {ticket.tier} while a lower tier waits",
            "admission.refuse",
        )
        wait_s = self.predicted_wait_ms(ticket) / 1000
        excess_s = wait_s - ticket.service_class.max_wait_ms / 1000
        refusal = outcomes.not_run(
            reason,
            "the class has no capacity within its maximum wait",
            "admission",
            503,
            round(max(MIN_RETRY_AFTER_S, excess_s, wait_s / 2), 2),
        )
        return RefusedTicket(ticket, refusal)

    def start_tickets(
        self, now: int, choose_endpoint: ChooseEndpoint
    ) -> Iterator[StartedTicket]:
        """Start tickets while an endpoint has capacity for one.

        Args:
            now: the current time in ms.
            choose_endpoint: returns an endpoint for a ticket, or None
                if there is no capacity for it.

        Yields:
            Each started ticket.
        """
        while self.waiting:
            started = self._start_next(now, choose_endpoint)
            if started is None:
                return
            yield started

    def refuse_expired(self, now: int) -> list[RefusedTicket]:
        """Remove and refuse the tickets whose wait has expired."""
        refused = []
        for class_queue in self.class_queues.values():
            for ticket in class_queue.tickets.expired_tickets(now):
                self.cancel(ticket)
                refused.append(self._refuse(ticket, "expired"))
        return refused

    def correct_charge(
        self, ticket: Ticket, tokens: float, final: bool = True
    ) -> None:
        """Correct a ticket's charge to the tokens that were served.

        A later correction is relative to this one.
        """
        class_queue = self.class_queues.get(ticket.service_class.name)
        if class_queue is not None:
            class_queue.tickets.charge(
                ticket.customer,
                tokens - ticket.estimated_tokens,
                ticket.weight,
            )
        ticket.estimated_tokens = tokens

    def record_completion(self, now: int) -> None:
        """Update the completion rate with a request that ended."""
        elapsed_ms = max(1, now - self.rate_updated)
        remaining_fraction = 0.5 ** (elapsed_ms / RATE_HALF_LIFE_MS)
        decay_per_s = 0.693147 * 1000 / RATE_HALF_LIFE_MS
        self.completion_rate = (
            self.completion_rate * remaining_fraction + decay_per_s
        )
        self.rate_updated = now
        self.completion_count += 1

    def _start_next(
        self, now: int, choose_endpoint: ChooseEndpoint
    ) -> StartedTicket | None:
        blocked_tier = None
        for class_queue, boosted in self._serving_order(now):
            ticket = class_queue.tickets.peek()
            is_blocked = (
                blocked_tier is not None and class_queue.tier > blocked_tier
            )
            if ticket is None or (is_blocked and not boosted):
                continue
            ticket.boosted = boosted
            endpoint = choose_endpoint(ticket)
            if endpoint is not None:
                class_queue.tickets.pop()
                self.waiting -= 1
                self._record_start(class_queue, now)
                return StartedTicket(ticket, endpoint)
            ticket.boosted = False
            if not boosted and not ticket.excluded:
                blocked_tier = class_queue.tier
        return None

    def _serving_order(self, now: int) -> list[tuple[ClassQueue, bool]]:
        waiting = [q for q in self.class_queues.values() if len(q.tickets)]
        due = [q for q in waiting if self._is_floor_due(q, now)]
        due.sort(key=lambda q: q.last_start)
        waiting.sort(key=lambda q: (q.tier, q.weighted_starts))
        order = [(q, True) for q in due]
        order.extend((q, False) for q in waiting)
        return order

    def _is_floor_due(self, class_queue: ClassQueue, now: int) -> bool:
        return (
            class_queue.floor_credit >= 1
            or now - class_queue.last_start >= FLOOR_INTERVAL_MS
        )

    def _record_start(self, class_queue: ClassQueue, now: int) -> None:
        class_queue.last_start = now
        class_queue.weighted_starts += 1 / class_queue.service_class.weight
        class_queue.floor_credit = max(0.0, class_queue.floor_credit - 1)
        for other in self.class_queues.values():
            if other is not class_queue and len(other.tickets):
                other.floor_credit += other.service_class.floor

    def _class_queue(
        self, service_class: catalog.ServiceClass, now: int
    ) -> ClassQueue:
        class_queue = self.class_queues.get(service_class.name)
        if class_queue is None:
            class_queue = self.class_queues[service_class.name] = ClassQueue(
                service_class
            )
        class_queue.service_class = service_class
        if not len(class_queue.tickets):
            class_queue.last_start = max(
                class_queue.last_start, now - FLOOR_INTERVAL_MS // 2
            )
            others = [
                q.weighted_starts
                for q in self.class_queues.values()
                if q.tickets
            ]
            class_queue.weighted_starts = max(
                class_queue.weighted_starts, min(others, default=0.0)
            )
        return class_queue


__all__ = ["Admission", "RefusedTicket", "StartedTicket", "Ticket"]
