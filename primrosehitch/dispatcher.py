"""Places for requests: admission, limits and routing of one gateway.

Request tasks ask for a place and wait; ends of requests, changes of
endpoints and a timer give places to the waiting.
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

DISPATCH_INTERVAL_MS = 100
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class Waiter:
    """A request task's wait for a place."""

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.endpoint = ""
        self.refusal: outcomes.Refusal | None = None


class Dispatcher:
    """Gives places at endpoints to requests.

    Args:
        router: chooses endpoints.
        limits: the customers' limits.
        max_waiting: requests that may wait for one model or service.
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
        """Wait for a place and return the endpoint's name.

        Args:
            pool: a model's or service's name.
            ticket: the request.
            again: whether it had a place before.

        Raises:
            RefusedError: the request is refused.
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
        """Give back a place."""
        now = clock.now_ms()
        if self.router.finished(endpoint, ticket, failed, now):
            events.emit(events.ENDPOINT_ASIDE, endpoint=endpoint)
        admission = self._admission_for(pool)
        if not failed:
            admission.note_completion(now)
        self.start_waiting(pool)

    def start_waiting(self, pool: str) -> None:
        """Start what can be started in one pool."""
        admission = self._admission_for(pool)
        now = clock.now_ms()
        started = admission.pump(
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
        """Return who waits here, for the other gateways."""
        return tuple(
            item
            for pool, admission in self.admissions.items()
            if admission.waiting
            for item in fairshare.told(pool, admission)
        )

    def start_all_waiting(self) -> None:
        """Start what can be started in all pools."""
        for pool in list(self.admissions):
            self.start_waiting(pool)

    async def run(self, service: timers.TimerService) -> None:
        """Expire and start waiting requests until cancelled."""
        ticks = service.subscribe(DISPATCH_INTERVAL_MS)
        async for tick in ticks:
            for admission in self.admissions.values():
                self._refuse_waiters(admission.expire(tick.now))
            self.start_all_waiting()

    def _admission_for(self, pool: str) -> admission_module.Admission:
        admission = self.admissions.get(pool)
        if admission is None:
            admission = admission_module.Admission(self.max_waiting)
            self.admissions[pool] = admission
        return admission

    def _refuse_waiters(self, refused: list[admission_module.Refused]) -> None:
        for item in refused:
            self._refuse_waiter(item.ticket, item.refusal)

    def _refuse_waiter(
        self, ticket: fairqueue.Ticket, refusal: outcomes.Refusal
    ) -> None:
        waiter = self.waiters[ticket]
        waiter.refusal = refusal
        waiter.event.set()


__all__ = ["Dispatcher"]
