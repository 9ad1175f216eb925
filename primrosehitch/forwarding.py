"""One caller's request, from one endpoint to the next and back.

What has been sent is never called not run unless the endpoint itself
said so. A request that may run only once is sent to a second endpoint
only if the first said that it did not run it, or nothing was sent.
"""

import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

import anyio

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import clock
from primrosehitch import dialect as dialect_module
from primrosehitch import errors
from primrosehitch import eventframes
from primrosehitch import events
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import routes
from primrosehitch import settings as settings_module
from primrosehitch import truetime as truetime_module

# A whole answer is gathered up to this size, so that a broken one may be
# asked for elsewhere; a larger one is passed on as it comes.
GATHERED_BYTES = 1 << 20
# When to come back where no endpoint can serve now, in seconds.
NO_ENDPOINT_RETRY_S = 0.3
FULL_RETRY_S = 0.3
# Without any endpoint a request waits for one, up to this part of the
# time it has and up to its objective, or the last figure, in ms.
ENDPOINT_WAIT_PART = 0.4
ENDPOINT_WAIT_LEAST_MS = 400
# Places become free without a word; they are looked for this often.
RECHECK_S = 0.05
# Time left below which another endpoint is not tried, in ms.
LEAST_LEFT_MS = 20
# A first byte may stay out for this part of the objective, and this many
# times as long as predicted, before a request that may run again moves.
PATIENCE_PART = 0.6
PATIENCE_TIMES = 3.0
# A stream that may be resumed moves after a pause of this part of the
# allowed one, and never sooner than the second figure, in ms, and only if
# its endpoint was silent to all for most of it.
GAP_PART = 0.5
GAP_LEAST_MS = 700
QUIET_PART = 0.8
JSON = (b"content-type", b"application/json")
# Statuses that tell a caller that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))


class Refused(NamedTuple):
    """An answer of our own to a request that was not sent.

    Attributes:
        status: the HTTP status.
        reason: one word for logs and metrics.
        retry_s: when to come back, in seconds; None for never.
    """

    status: int
    reason: str
    retry_s: float | None = None


class Passed(NamedTuple):
    """The caller has its final answer."""

    status: int


class NotRun(NamedTuple):
    """The endpoint did not run the request, or never got it."""

    reason: str


class Broken(NamedTuple):
    """The request may have run; the answer is not whole."""

    reason: str


class Failed(NamedTuple):
    """The endpoint ran the request and answered with a failure."""

    head: httpclient.ResponseHead
    body: bytes


Outcome = Passed | NotRun | Broken | Failed


def answer_own(
    dialect: dialect_module.Dialect,
    call: dialect_module.CallInfo,
    responder: httpserver.Responder,
    refused: Refused,
) -> None:
    """Write a final answer that no endpoint gave."""
    headers = dialect.own_headers(call.identifier)
    if refused.retry_s is not None:
        headers.append(httpserver.retry_after_header(refused.retry_s))
    headers.append(JSON)
    body = b'{"error":"%s"}' % refused.reason.encode()
    responder.respond(refused.status, headers, body)


class Resources(Protocol):
    """What all requests of an edge share."""

    dialect: dialect_module.Dialect
    balancer: balancer_module.Balancer
    budget: budget_module.SharedRetryBudget
    meter: metering.WindowMeter
    true_time: truetime_module.TrueTime
    gate: overload.Gate
    rng: random.Random
    changed: anyio.Event

    def pool(
        self, address: settings_module.Address
    ) -> httpclient.ConnectionPool:
        """Return the connections to an endpoint's address."""

    def refuse(
        self,
        call: dialect_module.CallInfo,
        responder: httpserver.Responder,
        refused: Refused,
    ) -> None:
        """Give a final answer of our own."""


class Forwarding:
    """One request under way."""

    def __init__(
        self,
        forwarder: Resources,
        request: httpserver.Request,
        responder: httpserver.Responder,
        call: dialect_module.CallInfo,
        decision: routes.Decision,
    ):
        self.forwarder = forwarder
        self.balancer = forwarder.balancer
        self.request = request
        self.responder = responder
        self.call = call
        self.route = decision.route
        self.customer = decision.customer.name if decision.customer else ""
        self.priority = decision.priority
        service = routes.choose_service(self.route, forwarder.rng)
        self.ask = balancer_module.Ask(
            service,
            call.parts,
            call.prompt_tokens,
            call.output_tokens,
            self.route.gap_ms if self.route.kind == routes.STREAM else 0,
        )
        limit = self.route.timeout_ms
        if call.deadline_ms is not None:
            limit = min(limit, call.deadline_ms)
        self.until = request.started_ms + limit
        self.frames = eventframes.EventFrames(call.last_event_id)
        self.tried: list[str] = []
        self.attempts = 0
        self.in_flight = False
        self.maybe_ran = False
        self.sent_at = 0
        self.counted = False
        self.first_ms = -1
        self.trail: list[str] = []

    # -- life --------------------------------------------------------------

    async def run(self) -> None:
        """Forward the request until the caller has its final answer."""
        forwarder = self.forwarder
        now = clock.now_ms()
        forwarder.budget.note_request(self.ask.service, now)
        service = self.ask.service
        rejection = forwarder.gate.enter(service, self.until, now)
        if rejection is not None:
            refused = Refused(503, rejection.reason, rejection.retry_s)
            forwarder.refuse(self.call, self.responder, refused)
            return
        outcome = "gone"
        try:
            with anyio.move_on_after((self.until - now) / 1000) as scope:
                outcome = await self._attempt_all()
            if scope.cancelled_caught:
                outcome = self._time_out()
        finally:
            forwarder.gate.leave(service)
            self._note(outcome)

    async def _attempt_all(self) -> str:
        while True:
            now = clock.now_ms()
            choice = self.balancer.choose(self.ask, self.tried, now)
            if choice is None and not self.tried:
                choice = await self._wait_for_endpoint()
            if choice is None:
                return self._give_up(NotRun("no-endpoint"))
            outcome = await self._attempt(choice)
            self.maybe_ran |= isinstance(outcome, Broken | Failed)
            self.in_flight = False
            self.trail.append(
                f"{choice.endpoint.record.id}:{type(outcome).__name__}"
            )
            if isinstance(outcome, Passed):
                return "ok" if outcome.status < 400 else "endpoint-error"
            if not self._may_retry(outcome):
                return self._give_up(outcome)

    async def _wait_for_endpoint(self) -> balancer_module.Choice | None:
        """Wait a while for an endpoint where none is known."""
        wait_ms = min(
            ENDPOINT_WAIT_PART * (self.until - clock.now_ms()),
            max(self.route.objective_ms, ENDPOINT_WAIT_LEAST_MS),
        )
        choice = None
        with anyio.move_on_after(wait_ms / 1000):
            while choice is None:
                with anyio.move_on_after(RECHECK_S):
                    await self.forwarder.changed.wait()
                choice = self.balancer.choose(self.ask, (), clock.now_ms())
        return choice

    def _may_retry(self, outcome: Outcome) -> bool:
        """Return whether another endpoint may be tried, and pay for it."""
        now = clock.now_ms()
        if self.until - now < LEAST_LEFT_MS:
            return False
        if isinstance(outcome, NotRun) and outcome.reason == "unreachable":
            return True
        ran = not isinstance(outcome, NotRun)
        if ran and not self.route.repeatable:
            return False
        if self.attempts >= self.route.attempts:
            return False
        left = self.balancer.usable(self.ask.service, self.tried, now)
        if not left:
            return False
        return self.forwarder.budget.spend(self.ask.service, now)

    def _give_up(self, outcome: Outcome) -> str:
        """Give the caller its final answer after a failure."""
        if self.responder.head_sent:
            self.responder.abort()
            return "broken-off"
        if isinstance(outcome, Failed):
            self._answer_whole(outcome.head, outcome.body)
            return "endpoint-error"
        if isinstance(outcome, NotRun) and not self._may_have_run():
            retry = NO_ENDPOINT_RETRY_S
            if outcome.reason == "rejected":
                retry = FULL_RETRY_S
            self._answer_own(503, outcome.reason, retry)
            return outcome.reason
        self._answer_own(502, "no-answer", None)
        return "no-answer"

    def _may_have_run(self) -> bool:
        """Return whether an endpoint may have run the request."""
        return self.in_flight or self.maybe_ran

    def _time_out(self) -> str:
        if self.responder.head_sent:
            self.responder.abort()
            return "timeout-midway"
        if self._may_have_run():
            self._answer_own(504, "timeout", None)
        else:
            self._answer_own(503, "timeout", NO_ENDPOINT_RETRY_S)
        return "timeout"

    def _answer_own(
        self, status: int, reason: str, retry_s: float | None
    ) -> None:
        errors.require(
            status not in NOT_RUN or not self._may_have_run(),
            "what may have run is not called not run",
            "forward.answer",
        )
        refused = Refused(status, reason, retry_s)
        answer_own(self.forwarder.dialect, self.call, self.responder, refused)

    def _note(self, outcome: str) -> None:
        metrics.REQUESTS.labels(outcome).inc()
        if self.first_ms >= 0:
            metrics.FIRST_TOKEN.observe(self.first_ms / 1000)
        events.emit(
            events.FORWARDED,
            request_id=self.call.identifier.decode("latin-1"),
            outcome=outcome,
            route=self.route.name,
            service=self.ask.service,
            customer=self.customer,
            endpoints=" ".join(self.trail),
            first_ms=self.first_ms,
            took_ms=clock.now_ms() - self.request.started_ms,
            events=self.frames.events,
        )

    # -- one endpoint ------------------------------------------------------

    async def _attempt(self, choice: balancer_module.Choice) -> Outcome:
        record = choice.endpoint.record
        self.tried.append(record.id)
        now = clock.now_ms()
        address = settings_module.parse_address(record.address)
        pool = self.forwarder.pool(address)
        try:
            connection = await pool.acquire(now, self.until - now)
        except httpclient.EndpointError as exc:
            self.balancer.unreachable(choice.endpoint, clock.now_ms())
            self._note_failure(choice, str(exc))
            return NotRun("unreachable")
        if choice.endpoint.record.state != record.state:
            pool.release(connection)
            return NotRun("unreachable")
        began = [False]
        self.balancer.begin(choice, self.ask, now)
        try:
            self._send(connection, choice)
            return await self._exchange(connection, choice, began)
        finally:
            self._note_unanswered(choice, began[0])
            self.balancer.finish(choice, self.ask, began[0])
            pool.release(connection)

    def _note_unanswered(
        self, choice: balancer_module.Choice, began: bool
    ) -> None:
        """Count a wait without any answer against the endpoint."""
        waited = clock.now_ms() - self.sent_at
        silent = choice.endpoint.heard_at < self.sent_at
        if silent and waited > self._first_patience_ms(choice) and not began:
            self.balancer.failed(choice.endpoint, clock.now_ms())

    def _send(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
    ) -> None:
        errors.require(
            self.route.repeatable or not self._may_have_run(),
            "what may run once is not sent again",
            "forward.send",
        )
        record = choice.endpoint.record
        now = clock.now_ms()
        sending = dialect_module.Sending(
            record.id,
            max(1, self.until - now),
            self.customer,
            self.priority,
            self.frames.last_id,
        )
        headers = self.forwarder.dialect.endpoint_headers(self.call, sending)
        request = self.request
        lines = [
            b"%s %s HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        lines += [b"%s: %s\r\n" % header for header in headers]
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        matcher = httpclient.CorrelationId(
            self.forwarder.dialect.echo_header, self.call.identifier
        )
        self.attempts += 1
        self.in_flight = True
        self.sent_at = now
        connection.send(
            b"".join(lines), request.body, matcher, request.method == "HEAD"
        )

    async def _exchange(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        began: list[bool],
    ) -> Outcome:
        patience_ms = self._first_patience_ms(choice)
        head = await self._receive(connection, choice, patience_ms)
        if head is None:
            return self._broken(choice, "silent")
        if not isinstance(head, httpclient.ResponseHead):
            return self._broken(choice, "no answer")
        info = self.forwarder.dialect.read_answer(head)
        self._note_load(choice.endpoint, info)
        if info.not_run or info.elsewhere:
            return await self._not_run(connection, choice, info)
        if head.status < 300 and not info.genuine:
            return self._broken(choice, "a success that is not signed")
        streams = self.route.kind == routes.STREAM
        if streams and head.status < 300:
            return await self._pass_stream(connection, choice, head, began)
        return await self._pass_whole(connection, choice, head, began)

    def _first_patience_ms(self, choice: balancer_module.Choice) -> float:
        """Return how long a first byte may stay out before moving on."""
        patience_ms = PATIENCE_PART * self.route.objective_ms
        return max(patience_ms, PATIENCE_TIMES * choice.predicted_ms)

    async def _receive(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        patience_ms: float,
    ) -> httpclient.ResponseHead | bytes | httpclient.ResponseEnd | None:
        """Return the next part of an answer, or None to move on.

        An endpoint is left only if the request may run again, another
        endpoint may take it, and, for a stream, if nobody has heard of
        this one meanwhile: one that is busy answers others.
        """
        while True:
            with anyio.move_on_after(patience_ms / 1000):
                item = await connection.receive()
                self.balancer.heard(choice.endpoint, clock.now_ms())
                return item
            quiet_ms = clock.now_ms() - choice.endpoint.heard_at
            busy = quiet_ms < QUIET_PART * patience_ms
            if self.route.kind == routes.STREAM and busy:
                continue
            if self._may_move():
                return None

    def _may_move(self) -> bool:
        """Return whether another endpoint could take the request now."""
        now = clock.now_ms()
        service = self.ask.service
        return (
            self.route.repeatable
            and self.attempts < self.route.attempts
            and self.until - now > LEAST_LEFT_MS
            and bool(self.balancer.usable(service, self.tried, now))
            and self.forwarder.budget.allows(service, now)
        )

    async def _not_run(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        info: dialect_module.AnswerInfo,
    ) -> Outcome:
        """Read a rejection to its end; the request did not run."""
        self.in_flight = False
        if info.elsewhere:
            self.balancer.unreachable(choice.endpoint, clock.now_ms())
        else:
            self.balancer.rejected(choice.endpoint, clock.now_ms())
        item: Any = b""
        while not isinstance(item, httpclient.ResponseEnd):
            item = await connection.receive()
        return NotRun("rejected")

    def _broken(self, choice: balancer_module.Choice, text: str) -> Broken:
        """Note a failure of the endpoint."""
        self.balancer.failed(choice.endpoint, clock.now_ms())
        self._note_failure(choice, text)
        return Broken(text)

    def _note_failure(self, choice: balancer_module.Choice, text: str) -> None:
        events.emit(
            events.ENDPOINT_FAILED,
            request_id=self.call.identifier.decode("latin-1"),
            endpoint=choice.endpoint.record.id,
            address=choice.endpoint.record.address,
            error=text,
            failures=choice.endpoint.failures,
        )

    def _note_load(
        self,
        endpoint: balancer_module.Endpoint,
        info: dialect_module.AnswerInfo,
    ) -> None:
        if info.running >= 0:
            told = balancer_module.Told(
                info.running, info.waiting, info.slots, clock.now_ms()
            )
            self.balancer.note_told(endpoint, told)

    def _note_begun(
        self,
        choice: balancer_module.Choice,
        began: list[bool],
        begun_at: int,
    ) -> None:
        """Note the first byte of an answer, and count the request."""
        now = clock.now_ms()
        if not began[0]:
            began[0] = True
            took = now - self.sent_at
            self.balancer.first_byte(choice, self.ask, took)
        if self.first_ms < 0:
            self.first_ms = now - self.request.started_ms
        if self.counted or not self.customer:
            return
        self.counted = True
        forwarder = self.forwarder
        at = forwarder.true_time.at(begun_at)
        forwarder.meter.count(self.customer, at)

    # -- answers -----------------------------------------------------------

    async def _pass_whole(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        head: httpclient.ResponseHead,
        began: list[bool],
    ) -> Outcome:
        """Gather a plain answer and pass it on."""
        self._note_begun(choice, began, self.sent_at)
        parts: list[bytes] = []
        size = 0
        item = await connection.receive()
        while isinstance(item, bytes):
            parts.append(item)
            size += len(item)
            if size > GATHERED_BYTES:
                return await self._pass_large(connection, choice, head, parts)
            item = await connection.receive()
        if item is httpclient.ResponseEnd.BROKEN:
            return self._broken(choice, "answer broken off")
        body = b"".join(parts)
        if head.status >= 500:
            self.balancer.erred(choice.endpoint)
            return Failed(head, body)
        self._answer_whole(head, body)
        return Passed(head.status)

    def _answer_whole(
        self, head: httpclient.ResponseHead, body: bytes
    ) -> None:
        headers = self.forwarder.dialect.returned_headers(head)
        length = len(body)
        if self.request.method == "HEAD" and head.length is not None:
            length = head.length
        self.responder.send_head(head.status, headers, length)
        if self.request.method != "HEAD":
            self.responder.connection.write(body)
        self.responder.finish()

    async def _pass_large(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        head: httpclient.ResponseHead,
        parts: list[bytes],
    ) -> Outcome:
        headers = self.forwarder.dialect.returned_headers(head)
        self.responder.send_head(head.status, headers, head.length)
        await self.responder.write(b"".join(parts))
        item = await connection.receive()
        while isinstance(item, bytes):
            await self.responder.write(item)
            item = await connection.receive()
        if item is httpclient.ResponseEnd.BROKEN:
            self._broken(choice, "large answer broken off")
            self.responder.abort()
            return Passed(head.status)
        self.responder.finish()
        return Passed(head.status)

    async def _pass_stream(
        self,
        connection: httpclient.EndpointConnection,
        choice: balancer_module.Choice,
        head: httpclient.ResponseHead,
        began: list[bool],
    ) -> Outcome:
        """Pass on whole events as they come."""
        patience_ms = max(GAP_PART * self.route.gap_ms, GAP_LEAST_MS)
        item = await self._receive(connection, choice, patience_ms)
        while isinstance(item, bytes):
            try:
                whole = self.frames.feed(item)
            except eventframes.EventTooLargeError as exc:
                return self._broken(choice, f"event too large: {exc}")
            if whole:
                self._note_begun(choice, began, clock.now_ms())
                self._start_stream(head)
                await self.responder.write(whole)
            item = await self._receive(connection, choice, patience_ms)
        if item is httpclient.ResponseEnd.COMPLETE and self.frames.whole:
            self._start_stream(head)
            self.responder.finish()
            return Passed(head.status)
        self.frames.restart()
        text = "stream broken off" if item else "stream silent"
        return self._broken(choice, text)

    def _start_stream(self, head: httpclient.ResponseHead) -> None:
        if not self.responder.head_sent:
            headers = self.forwarder.dialect.returned_headers(head)
            self.responder.send_head(head.status, headers, None)


__all__ = ["Forwarding", "Refused", "Resources", "answer_own"]
