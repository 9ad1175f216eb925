"""Relaying one request: attempts at endpoints, streams, the answer.

An answer is passed on whole or said to be incomplete. A stream that
breaks is resumed at its offset on an engine that can; a request of
which the caller has read nothing and that may be repeated starts again
elsewhere, within the retry budget.
"""

import json
from typing import Any
from typing import NamedTuple

import anyio

from primrosehitch import claims as claims_module
from primrosehitch import clock
from primrosehitch import fairqueue
from primrosehitch import headers as headers_module
from primrosehitch import messages
from primrosehitch import outcomes
from primrosehitch import streams
from primrosehitch import upstream as upstream_module
from primrosehitch import web

MAX_ATTEMPTS = 4
RESUME_RETRY_S = 1.0
SERVER_ERROR = 500
REFRESH_POLL_S = 0.02
RESUME_HEADER = b"x-resume-offset"


class Work(NamedTuple):
    """What to run: the pool of endpoints, the request, its nature."""

    pool: str
    outgoing: upstream_module.Outgoing
    repeatable: bool
    model: bool


class Exchange:
    """One caller's request and what became of it; times in ms."""

    def __init__(self, call: web.Call, started: int):
        self.call = call
        self.started = started
        self.ticket: fairqueue.Ticket | None = None
        self.endpoint = ""
        self.streaming = False
        self.repeatable = True
        self.placed = False
        self.sent = False
        self.head_sent = False
        self.delivered = False
        self.complete = False
        self.outcome = "ok"
        self.refusal: outcomes.Refusal | None = None
        self.answer: upstream_module.Answer | None = None
        self.first_ms = -1.0
        self.last_ms = -1.0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.wasted_tokens = 0
        self.scope = anyio.CancelScope()
        self.withdrawn: outcomes.Refusal | None = None

    def note_events(self, count: int) -> None:
        """Note events passed on to the caller."""
        now = float(clock.now_ms() - self.started)
        if self.first_ms < 0:
            self.first_ms = now
        self.last_ms = now
        self.output_tokens += count

    def gap_ms(self) -> float:
        """Return the mean time between tokens."""
        if self.output_tokens < 2:
            return 0.0
        return (self.last_ms - self.first_ms) / (self.output_tokens - 1)

    def withdraw(self, refusal: outcomes.Refusal) -> None:
        """End the exchange, its key being withdrawn."""
        self.withdrawn = refusal
        if self.repeatable or not self.sent:
            self.scope.cancel()

    def outcome_tag(self) -> str:
        """Return how it ended, for accounts."""
        if self.withdrawn is not None:
            return "withdrawn"
        if self.refusal is not None:
            return self.refusal.outcome
        return self.outcome


async def end_with_refusal(exchange: Exchange) -> None:
    """Tell the caller at once that there is no (whole) answer."""
    refusal = exchange.refusal
    assert refusal is not None
    if not exchange.head_sent:
        await web.answer_refusal(exchange.call, refusal)
        return
    data = b""
    if exchange.streaming:
        body = json.dumps(refusal.body(exchange.call.request_id))
        data = b"data: " + body.encode() + b"\n\n"
    await exchange.call.send(
        {"type": "http.response.body", "body": data, "more_body": False}
    )


async def replay(exchange: Exchange, claim: messages.Claim) -> None:
    """Answer with the recorded outcome of an earlier call."""
    headers = [(b"x-replayed", b"true")]
    if claim.content_type:
        headers.append((b"content-type", claim.content_type.encode()))
    exchange.outcome = "replayed"
    await web.answer(exchange.call, claim.status, claim.body, headers)


class Runner:
    """Runs one exchange to its end.

    Args:
        gateway: its dispatcher, directory, upstream and retry budget.
        exchange: the exchange.
        ticket: its ticket.
        work: what to run.
    """

    def __init__(
        self,
        gateway: Any,
        exchange: Exchange,
        ticket: fairqueue.Ticket,
        work: Work,
    ):
        self.gateway = gateway
        self.dispatcher = gateway.dispatcher
        self.exchange = exchange
        self.ticket = ticket
        self.work = work
        exchange.repeatable = work.repeatable
        self.check = streams.StreamCheck(exchange.call.request_id)

    async def run(self) -> None:
        """Run until the caller has the answer.

        Raises:
            RefusedError: there is no whole answer.
            CallerGoneError: the caller went.
        """
        exchange = self.exchange
        gone = False
        async with anyio.create_task_group() as group:
            exchange.scope = group.cancel_scope
            if exchange.withdrawn is not None:
                group.cancel_scope.cancel()
            if self.work.repeatable:
                group.start_soon(self._watch_caller)
            try:
                await self._attempts()
            except web.RefusedError as exc:
                exchange.refusal = exc.refusal
            except web.CallerGoneError:
                gone = True
            finally:
                group.cancel_scope.cancel()
        if exchange.withdrawn is not None and not exchange.complete:
            raise web.RefusedError(self._withdrawn_refusal())
        if gone or exchange.outcome == "gone":
            raise web.CallerGoneError
        if exchange.refusal is not None:
            raise web.RefusedError(exchange.refusal)

    def _withdrawn_refusal(self) -> outcomes.Refusal:
        refusal = self.exchange.withdrawn
        assert refusal is not None
        if not self.exchange.sent:
            return refusal
        tag = "incomplete" if self.work.repeatable else "unknown"
        return outcomes.Refusal(
            tag, refusal.reason, refusal.message, refusal.step, 401
        )

    async def _watch_caller(self) -> None:
        while True:
            message = await self.exchange.call.receive()
            if message["type"] == "http.disconnect":
                break
        if not self.exchange.complete:
            self.exchange.outcome = "gone"
            self.exchange.scope.cancel()

    # -- attempts ----------------------------------------------------------

    async def _attempts(self) -> None:
        self.gateway.retries.record_request()
        for attempt in range(MAX_ATTEMPTS):
            endpoint = await self._place(again=attempt > 0)
            failed = False
            try:
                await self._attempt(endpoint)
                return
            except upstream_module.UpstreamError as exc:
                failed = True
                self._check_retry(exc, attempt)
            except streams.StreamError as exc:
                failed = True
                error = upstream_module.UpstreamError(
                    str(exc), "stream.check", endpoint, True
                )
                self._check_retry(error, attempt)
            finally:
                self.dispatcher.release(
                    self.work.pool, endpoint, self.ticket, failed
                )
            self.ticket.excluded |= {endpoint}
            self._clear_exclusions()
        raise web.RefusedError(self._broken("attempts used up"))

    async def _place(self, again: bool) -> str:
        if again and not self.dispatcher.router.has_ready_endpoint(
            self.work.pool
        ):
            raise web.RefusedError(self._broken("no endpoint is left"))
        try:
            endpoint = await self.dispatcher.acquire(
                self.work.pool, self.ticket, again
            )
        except web.RefusedError as exc:
            if self.exchange.sent:
                broken = self._broken(exc.refusal.message)
                raise web.RefusedError(broken) from exc
            raise
        self.exchange.placed = True
        self.exchange.endpoint = endpoint
        return endpoint

    def _clear_exclusions(self) -> None:
        names = self.dispatcher.router.endpoints_by_pool.get(
            self.work.pool, ()
        )
        if all(name in self.ticket.excluded for name in names):
            self.ticket.excluded = frozenset()

    def _check_retry(
        self, error: upstream_module.UpstreamError, attempt: int
    ) -> None:
        """Return if the request may go on elsewhere; else refuse."""
        exchange = self.exchange
        if error.maybe_sent and not self.work.repeatable:
            raise web.RefusedError(claims_module.unknown_outcome_refusal())
        begun = exchange.head_sent and not exchange.streaming
        if begun or attempt == MAX_ATTEMPTS - 1:
            raise web.RefusedError(self._broken(error.text))
        if not self.gateway.retries.try_spend():
            raise web.RefusedError(self._broken("retry budget used up"))

    def _broken(self, text: str) -> outcomes.Refusal:
        exchange = self.exchange
        if exchange.head_sent:
            return outcomes.Refusal(
                "incomplete",
                "stream-broken",
                text,
                "relay",
                502,
                RESUME_RETRY_S,
            )
        if not exchange.sent:
            return outcomes.not_run(
                "endpoint-failed", text, "relay", 503, RESUME_RETRY_S
            )
        tag = "incomplete" if self.work.repeatable else "unknown"
        return outcomes.Refusal(
            tag, "endpoint-failed", text, "relay", 502, RESUME_RETRY_S
        )

    # -- one attempt -------------------------------------------------------

    async def _attempt(self, endpoint: str) -> None:
        known = self.gateway.directory.endpoints.get(endpoint)
        if known is None:
            raise upstream_module.UpstreamError(
                "endpoint went", "relay.place", endpoint, False
            )
        outgoing = self._outgoing(known.announcement)
        before = self.exchange.sent
        self.exchange.sent = True
        try:
            await self._send_and_relay(endpoint, outgoing)
        except upstream_module.UpstreamError as exc:
            self.exchange.sent = before or exc.maybe_sent
            raise

    async def _send_and_relay(
        self, endpoint: str, outgoing: upstream_module.Outgoing
    ) -> None:
        if not self.work.repeatable:
            await self._whole(endpoint, outgoing)
            return
        async with self.gateway.upstream.stream(outgoing) as response:
            self._check_head(response, endpoint)
            if self.exchange.streaming and response.status == 200:
                await self._stream(endpoint, response)
            else:
                await self._buffered(endpoint, response)

    def _outgoing(
        self, announcement: messages.Announcement
    ) -> upstream_module.Outgoing:
        headers = list(self.work.outgoing.headers)
        tier = str(self.ticket.effective_tier).encode()
        headers.append((b"x-priority", tier))
        if self.check.events:
            if not announcement.resumes:
                raise web.RefusedError(self._broken("no engine to resume on"))
            self.check.restart()
            offset = str(self.check.events).encode()
            headers.append((RESUME_HEADER, offset))
        return self.work.outgoing._replace(
            address=announcement.address, headers=headers
        )

    def _check_head(self, response: Any, endpoint: str) -> None:
        wanted = self.exchange.call.request_id.encode()
        for name, value in response.headers:
            if name.lower() == b"x-request-id" and value != wanted:
                raise upstream_module.UpstreamError(
                    "an answer to another request",
                    "relay.head",
                    endpoint,
                    True,
                )
        if response.status >= SERVER_ERROR and self.work.model:
            raise upstream_module.UpstreamError(
                f"status {response.status}", "relay.head", endpoint, True
            )

    async def _whole(
        self, endpoint: str, outgoing: upstream_module.Outgoing
    ) -> None:
        answer = await self.gateway.upstream.call(outgoing)
        self._check_head(answer, endpoint)
        self.exchange.answer = answer
        if self.exchange.withdrawn is not None:
            raise web.RefusedError(self._withdrawn_refusal())
        await self._deliver(endpoint, answer)

    async def _buffered(self, endpoint: str, response: Any) -> None:
        body = await upstream_module.read_whole(response, endpoint)
        answer = upstream_module.Answer(
            response.status, response.headers, body
        )
        await self._deliver(endpoint, answer)

    async def _deliver(
        self, endpoint: str, answer: upstream_module.Answer
    ) -> None:
        exchange = self.exchange
        now = clock.now_ms()
        router = self.dispatcher.router
        router.record_first_token(self.work.pool, endpoint, self.ticket, now)
        if self.work.model:
            self._count_json(answer.body)
        else:
            exchange.note_events(0)
        await self._wait_refreshed()
        exchange.head_sent = True
        exchange.delivered = True
        exchange.complete = True
        exchange.outcome = "ok" if answer.status < 400 else "endpoint-error"
        await web.answer(
            exchange.call,
            answer.status,
            answer.body,
            headers_module.filter_response_headers(answer.headers),
        )

    def _count_json(self, body: bytes) -> None:
        exchange = self.exchange
        exchange.note_events(0)
        try:
            usage = json.loads(body)["usage"]
            exchange.prompt_tokens = int(usage["prompt_tokens"])
            exchange.output_tokens = int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            exchange.prompt_tokens = self.ticket.prompt_tokens

    # -- streams -----------------------------------------------------------

    async def _stream(self, endpoint: str, response: Any) -> None:
        async for chunk in response.parts():
            passed = self.check.feed(chunk)
            if passed.data:
                await self._pass_on(endpoint, response, passed)
            if passed.done:
                return
        raise upstream_module.UpstreamError(
            "the stream ended early", "relay.stream", endpoint, True
        )

    async def _pass_on(
        self, endpoint: str, response: Any, passed: streams.Passed
    ) -> None:
        exchange = self.exchange
        if self.gateway.readiness.refreshing:
            await self._wait_refreshed()
        if not exchange.head_sent:
            self.dispatcher.router.record_first_token(
                self.work.pool, endpoint, self.ticket, clock.now_ms()
            )
            await self._send_head(response)
        exchange.note_events(passed.events)
        if passed.done:
            self._settle_usage()
        else:
            exchange.prompt_tokens = self.ticket.prompt_tokens
        await exchange.call.send(
            {
                "type": "http.response.body",
                "body": passed.data,
                "more_body": not passed.done,
            }
        )
        exchange.delivered = True
        exchange.complete = passed.done

    async def _send_head(self, response: Any) -> None:
        exchange = self.exchange
        exchange.head_sent = True
        headers = headers_module.filter_response_headers(response.headers)
        request_id = exchange.call.request_id.encode()
        headers.append((b"x-request-id", request_id))
        await exchange.call.send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )

    def _settle_usage(self) -> None:
        stated = self.check.usage()
        exchange = self.exchange
        exchange.prompt_tokens = self.ticket.prompt_tokens
        if stated is not None:
            exchange.prompt_tokens, exchange.output_tokens = stated

    async def _wait_refreshed(self) -> None:
        while self.gateway.readiness.refreshing:
            await anyio.sleep(REFRESH_POLL_S)


__all__ = ["Exchange", "Runner", "Work", "end_with_refusal", "replay"]
