"""Admission and endpoint assignment for one gateway's requests.

A request's task calls ``Dispatcher.acquire`` and waits for an endpoint
slot. Waiting requests are started when another request ends, when an
endpoint changes, and on a timer. All calls run on one event loop.
"""

import anyio

from primrosehitch import admission as admission_module
from primrosehitch import clock
from primrosehitch import events
from primrosehitch import fairqueue
from primrosehitch import fairshare
from primrosehitch import limits as limits_module
from primrosehitch import messages
from primrosehitch import outcomes
from primrosehitch import routing
from primrosehitch import timers
from primrosehitch import web

# Interval at which waiting requests expire or are started.
DISPATCH_INTERVAL_MS = 100
# Retry-After of refusals when no endpoint is available, in seconds.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class Waiter:
    """The state of one request's wait for an endpoint slot.

    Attributes:
        event: set when the wait has ended.
        endpoint: the assigned endpoint, empty before that.
        refusal: why the request was refused, or None.
    """

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.endpoint = ""
        self.refusal: outcomes.Refusal | None = None


class Dispatcher:
    """Assigns endpoint slots to requests.

    Args:
        router: chooses endpoints.
        limits: the customers' rate limits.
        max_waiting: maximum number of requests that wait for one model
            or service.

    Attributes:
        admissions: admission control by model or service name.
        fair_share: this gateway's share of the endpoints' slots.
        waiters: the waiting requests.
    """

    def __init__(
        self,
        router: routing.Router,
        limits: limits_module.Limits,
        max_waiting: int,
    ):
        self.router = router
        self.limits = limits
        self.max_waiting = max_waiting
        self.admissions: dict[str, admission_module.Admission] = {}
        self.fair_share = fairshare.FairShare(router)
        self.waiters: dict[fairqueue.Ticket, Waiter] = {}

    async def acquire(
        self, pool: str, ticket: fairqueue.Ticket, is_retry: bool = False
    ) -> str:
        """Wait for an endpoint slot and return the endpoint's name.

        Args:
            pool: a model's or service's name.
            ticket: the request's ticket.
            is_retry: whether the request held a slot before.

        Raises:
            RefusedError: admission control refused the request.
        """
        admission = self._admission_for(pool)
        waiter = self.waiters[ticket] = Waiter()
        now = clock.now_ms()
        if is_retry:
            admission.requeue(ticket, now)
        else:
            self._refuse_waiters(admission.offer(ticket, now))
        try:
            self.start_waiting(pool)
            await waiter.event.wait()
        except BaseException:
            if not admission.cancel(ticket) and waiter.endpoint:
                self.release(pool, waiter.endpoint, ticket, failed=False)
            raise
        finally:
            del self.waiters[ticket]
        if waiter.refusal is not None:
            raise web.RefusedError(waiter.refusal)
        return waiter.endpoint

    def release(
        self,
        pool: str,
        endpoint: str,
        ticket: fairqueue.Ticket,
        failed: bool,
    ) -> None:
        """Release a request's slot and start waiting requests.

        Args:
            pool: a model's or service's name.
            endpoint: the endpoint that the slot belongs to.
            ticket: the request's ticket.
            failed: whether the attempt failed at the endpoint.
        """
        now = clock.now_ms()
        if self.router.record_end(endpoint, ticket, failed, now):
            events.emit(events.ENDPOINT_ASIDE, endpoint=endpoint)
        admission = self._admission_for(pool)
        if not failed:
            admission.record_completion(now)
        self.start_waiting(pool)

    def start_waiting(self, pool: str) -> None:
        """Start the waiting requests of a pool that slots are free for."""
        admission = self._admission_for(pool)
        now = clock.now_ms()
        started = admission.start_tickets(
            now, lambda ticket: self._choose_endpoint(pool, ticket, now)
        )
        for item in started:
            waiter = self.waiters[item.ticket]
            waiter.endpoint = item.endpoint
            waiter.event.set()

    def _choose_endpoint(
        self, pool: str, ticket: fairqueue.Ticket, now: int
    ) -> str | None:
        admission = self.admissions[pool]
        if not ticket.boosted and not self.fair_share.may_start(
            pool, ticket.tier, admission, now
        ):
            return None
        return self.router.choose(pool, ticket, now)

    def waiting_counts(self) -> tuple[messages.WaitingCount, ...]:
        """Return counts of waiting requests, for the other gateways."""
        return tuple(
            item
            for pool, admission in self.admissions.items()
            if admission.waiting
            for item in fairshare.waiting_counts(pool, admission)
        )

    def start_all_waiting(self) -> None:
        """Start waiting requests in all pools."""
        for pool in list(self.admissions):
            self.start_waiting(pool)

    async def run(self, service: timers.TimerService) -> None:
        """Expire and start waiting requests periodically until cancelled."""
        ticks = service.subscribe(DISPATCH_INTERVAL_MS)
        async for tick in ticks:
            for admission in self.admissions.values():
                self._refuse_waiters(admission.refuse_expired(tick.now))
            self.start_all_waiting()

    def _admission_for(self, pool: str) -> admission_module.Admission:
        admission = self.admissions.get(pool)
        if admission is None:
            admission = admission_module.Admission(self.max_waiting)
            self.admissions[pool] = admission
        return admission

    def _refuse_waiters(
        self, refused: list[admission_module.RefusedTicket]
    ) -> None:
        for item in refused:
            self._refuse_waiter(item.ticket, item.refusal)

    def _refuse_waiter(
        self, ticket: fairqueue.Ticket, refusal: outcomes.Refusal
    ) -> None:
        waiter = self.waiters[ticket]
        waiter.refusal = refusal
        waiter.event.set()


__all__ = ["Dispatcher"]
