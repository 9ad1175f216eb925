"""Which waiting request starts next, and which one is refused.

Pure. Shedding and serving order are told apart. Shedding looks at tiers
only: a request is refused only when no ticket of a lower tier waits in
its place, but for each class's reserve, the one ticket that its floor
will start. The reserve is always admitted, or a burst that keeps the
queue full would starve the class at the door. Serving order is by tier,
but a class that has waited long for a start, or has earned one by its
floor, gets the next free place. A place that a higher tier may not take
here, since it is another gateway's turn, is not for a lower one either.
"""

from typing import Callable
from typing import Iterator
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import errors
from primrosehitch import fairqueue
from primrosehitch import outcomes

FLOOR_GAP_MS = 2000
RATE_HALF_LIFE_MS = 5000
RATE_SAMPLES = 20
FAIR_MARGIN = 1.0
RESERVE = 1
MIN_RETRY_S = 0.1

Ticket = fairqueue.Ticket
Place = Callable[[Ticket], str | None]


class Started(NamedTuple):
    """A ticket that got a place, and the endpoint's name."""

    ticket: Ticket
    endpoint: str


class Refused(NamedTuple):
    """A ticket that is refused, and the answer to give."""

    ticket: Ticket
    refusal: outcomes.Refusal


class ClassQueue:
    """A class's fair queue, its credit and its last start in ms."""

    def __init__(self, service_class: catalog.ServiceClass):
        self.service_class = service_class
        self.queue = fairqueue.FairQueue()
        self.credit = 0.0
        self.last_start = 0
        self.started = 0.0

    @property
    def tier(self) -> int:
        """The class's tier."""
        return self.service_class.tier


class Admission:
    """The waiting requests for one model or service at one gateway.

    Args:
        max_waiting: tickets that may wait in all.
    """

    def __init__(self, max_waiting: int):
        self.max_waiting = max_waiting
        self.classes: dict[str, ClassQueue] = {}
        self.waiting = 0
        self.rate = 0.0
        self.rate_at = 0
        self.rate_samples = 0

    # -- arrivals ----------------------------------------------------------

    def offer(self, ticket: Ticket, now: int) -> list[Refused]:
        """Queue a ticket.

        Args:
            ticket: the arrival.
            now: the current time in ms.

        Returns:
            The tickets refused by it: none, a lower one, or itself.
        """
        queue = self._class(ticket.service_class, now)
        refused: list[Refused] = []
        crowded = self.waiting >= self.max_waiting
        late = self.predicted_wait(ticket) > ticket.service_class.max_wait_ms
        if (crowded or late) and len(queue.queue) >= RESERVE:
            reason = "queue-full" if crowded else "would-miss-deadline"
            refused = self._make_room(ticket, queue, reason)
        if not any(r.ticket is ticket for r in refused):
            queue.queue.push(ticket)
            self.waiting += 1
        return refused

    def requeue(self, ticket: Ticket, now: int) -> None:
        """Put a started ticket back, before its customer's others."""
        queue = self._class(ticket.service_class, now)
        ticket.boosted = False
        queue.queue.charge(ticket.customer, -ticket.estimate, ticket.weight)
        queue.queue.push(ticket, front=True)
        self.waiting += 1

    def cancel(self, ticket: Ticket) -> bool:
        """Take out a ticket whose caller went; say if it waited."""
        queue = self.classes.get(ticket.service_class.name)
        if queue is None or not queue.queue.remove(ticket):
            return False
        self.waiting -= 1
        return True

    def predicted_wait(self, ticket: Ticket) -> float:
        """Return the wait in ms that an arrival must expect.

        It is bounded by the work of its own and higher tiers ahead, and
        by its customer's fair turn among the customers of its class.
        """
        if self.rate_samples < RATE_SAMPLES or self.rate <= 0:
            return 0.0
        higher = equal = 0
        own = active = 0
        for queue in self.classes.values():
            if queue.tier < ticket.tier:
                higher += len(queue.queue)
            elif queue.tier == ticket.tier:
                equal += len(queue.queue)
            if queue.service_class.name == ticket.service_class.name:
                own = len(queue.queue.waiting.get(ticket.customer, ()))
                active = len(queue.queue.waiting)
        turn = min(equal, own * max(1, active) * FAIR_MARGIN)
        return 1000.0 * (higher + turn) / self.rate

    def _make_room(
        self, ticket: Ticket, queue: ClassQueue, reason: str
    ) -> list[Refused]:
        victim = self._lowest_below(ticket.tier)
        if victim is None and reason == "queue-full":
            victim = self._heaviest_peer(ticket, queue)
        if victim is None:
            return [self._refuse(ticket, reason)]
        self.cancel(victim)
        return [self._refuse(victim, "displaced")]

    def _lowest_below(self, tier: int) -> Ticket | None:
        for queue in sorted(
            self.classes.values(), key=lambda q: q.tier, reverse=True
        ):
            if queue.tier <= tier:
                return None
            if len(queue.queue) > RESERVE:
                share = queue.queue.heaviest()
                return queue.queue.newest_of(share.customer)
        return None

    def _heaviest_peer(
        self, ticket: Ticket, queue: ClassQueue
    ) -> Ticket | None:
        share = queue.queue.heaviest(ticket.customer)
        if share.customer == ticket.customer:
            return None
        return queue.queue.newest_of(share.customer)

    def _refuse(self, ticket: Ticket, reason: str) -> Refused:
        lower = self._lowest_below(ticket.tier)
        errors.require(
            reason == "expired" or lower is None or lower is ticket,
            f"tier {ticket.tier} refused while a lower tier waits",
            "admission.refuse",
        )
        wait_s = self.predicted_wait(ticket) / 1000
        excess = wait_s - ticket.service_class.max_wait_ms / 1000
        refusal = outcomes.not_run(
            reason,
            "no capacity for this class in time",
            "admission",
            503,
            round(max(MIN_RETRY_S, excess, wait_s / 2), 2),
        )
        return Refused(ticket, refusal)

    # -- starts ------------------------------------------------------------

    def pump(self, now: int, place: Place) -> Iterator[Started]:
        """Start tickets while there are places.

        Args:
            now: the current time in ms.
            place: returns an endpoint for a ticket, or None.

        Yields:
            Each ticket started.
        """
        while self.waiting:
            started = self._start_one(now, place)
            if started is None:
                return
            yield started

    def expire(self, now: int) -> list[Refused]:
        """Refuse the tickets that have waited as long as they may."""
        refused = []
        for queue in self.classes.values():
            for ticket in queue.queue.expired(now):
                self.cancel(ticket)
                refused.append(self._refuse(ticket, "expired"))
        return refused

    def finished(
        self, ticket: Ticket, tokens: float, final: bool = True
    ) -> None:
        """Correct the charge of a ticket to the tokens served."""
        queue = self.classes.get(ticket.service_class.name)
        if queue is not None:
            queue.queue.charge(
                ticket.customer, tokens - ticket.estimate, ticket.weight
            )
        ticket.estimate = tokens

    def note_completion(self, now: int) -> None:
        """Count a request that ended, for the rate of service."""
        span = max(1, now - self.rate_at)
        keep = 0.5 ** (span / RATE_HALF_LIFE_MS)
        decay_per_s = 0.693147 * 1000 / RATE_HALF_LIFE_MS
        self.rate = self.rate * keep + decay_per_s
        self.rate_at = now
        self.rate_samples += 1

    def _start_one(self, now: int, place: Place) -> Started | None:
        lowest = None
        for queue, boosted in self._serving_order(now):
            ticket = queue.queue.peek()
            below = lowest is not None and queue.tier > lowest
            if ticket is None or (below and not boosted):
                continue
            ticket.boosted = boosted
            endpoint = place(ticket)
            if endpoint is not None:
                queue.queue.pop()
                self.waiting -= 1
                self._note_start(queue, now)
                return Started(ticket, endpoint)
            ticket.boosted = False
            if not boosted and not ticket.excluded:
                lowest = queue.tier
        return None

    def _serving_order(self, now: int) -> list[tuple[ClassQueue, bool]]:
        waiting = [q for q in self.classes.values() if len(q.queue)]
        due = [q for q in waiting if self._floor_due(q, now)]
        due.sort(key=lambda q: q.last_start)
        waiting.sort(key=lambda q: (q.tier, q.started))
        order = [(q, True) for q in due]
        order.extend((q, False) for q in waiting)
        return order

    def _floor_due(self, queue: ClassQueue, now: int) -> bool:
        return queue.credit >= 1 or now - queue.last_start >= FLOOR_GAP_MS

    def _note_start(self, queue: ClassQueue, now: int) -> None:
        queue.last_start = now
        queue.started += 1 / queue.service_class.weight
        queue.credit = max(0.0, queue.credit - 1)
        for other in self.classes.values():
            if other is not queue and len(other.queue):
                other.credit += other.service_class.floor

    def _class(
        self, service_class: catalog.ServiceClass, now: int
    ) -> ClassQueue:
        queue = self.classes.get(service_class.name)
        if queue is None:
            queue = self.classes[service_class.name] = ClassQueue(
                service_class
            )
        queue.service_class = service_class
        if not len(queue.queue):
            queue.last_start = max(queue.last_start, now - FLOOR_GAP_MS // 2)
            others = [q.started for q in self.classes.values() if q.queue]
            queue.started = max(queue.started, min(others, default=0.0))
        return queue


__all__ = ["Admission", "Refused", "Started", "Ticket"]
