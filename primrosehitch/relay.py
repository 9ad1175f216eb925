"""Relaying of one caller's request, with failover between endpoints.

The caller gets either the complete response or an error that says that it
is incomplete. A stream that breaks is resumed at its offset if the next
engine supports that. A repeatable request is retried from the start if
its caller has received nothing yet. Both need the retry budget.
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
# Retry-After of refusals after a failure of endpoints, in seconds.
RETRY_AFTER_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
# After a start or a freeze of the process, responses are held back until
# the configuration is refreshed; this is the interval between checks.
REFRESH_POLL_INTERVAL_S = 0.02
# Number of events that the caller has received of a resumed stream.
RESUME_OFFSET_HEADER = b"x-resume-offset"


class RoutedRequest(NamedTuple):
    """A request with the pool of endpoints that may serve it.

    Attributes:
        pool: a model's or service's name.
        request: the request; its address is set for each attempt.
        repeatable: whether it may be sent again after it may have run.
        is_model_request: whether an engine serves it.
    """

    pool: str
    request: upstream_module.EndpointRequest
    repeatable: bool
    is_model_request: bool


class Exchange:
    """The state of one caller's request and its response.

    Args:
        call: the caller's HTTP request.
        started_ms: when it arrived, by ``clock.now_ms``.

    Attributes:
        ticket: its ticket for admission, or None before that.
        endpoint: the endpoint of the last attempt, empty before it.
        streaming: whether the caller asked for a stream of events.
        repeatable: whether it may be sent again after it may have run.
        admitted: whether it was assigned an endpoint slot.
        sent: whether an endpoint may have received it.
        head_sent: whether the caller was sent a response's head.
        delivered: whether the caller was sent a part of the body.
        complete: whether the caller was sent the complete response.
        outcome: the outcome of a request that was not refused.
        refusal: why there is no complete response, or None.
        buffered: a non-repeatable request's response, or None.
        first_byte_ms: time from the start to the first byte of the
            response, -1 before it.
        last_byte_ms: time from the start to the last byte so far, -1
            before the first.
        prompt_tokens: size of the prompt, as used.
        output_tokens: number of tokens of the response.
        wasted_tokens: output tokens of a request that did not succeed.
        relay_scope: the scope that the request is relayed in.
        withdrawal: the refusal due to a withdrawn key, or None.
    """

    def __init__(self, call: web.Call, started_ms: int):
        self.call = call
        self.started_ms = started_ms
        self.ticket: fairqueue.Ticket | None = None
        self.endpoint = ""
        self.streaming = False
        self.repeatable = True
        self.admitted = False
        self.sent = False
        self.head_sent = False
        self.delivered = False
        self.complete = False
        self.outcome = "ok"
        self.refusal: outcomes.Refusal | None = None
        self.buffered: upstream_module.BufferedResponse | None = None
        self.first_byte_ms = -1.0
        self.last_byte_ms = -1.0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.wasted_tokens = 0
        self.relay_scope = anyio.CancelScope()
        self.withdrawal: outcomes.Refusal | None = None

    def record_events(self, count: int) -> None:
        """Record events that are sent to the caller, one token each."""
        now = float(clock.now_ms() - self.started_ms)
        if self.first_byte_ms < 0:
            self.first_byte_ms = now
        self.last_byte_ms = now
        self.output_tokens += count

    def mean_token_gap_ms(self) -> float:
        """Return the mean time between tokens, 0 for fewer than two."""
        if self.output_tokens < 2:
            return 0.0
        return (self.last_byte_ms - self.first_byte_ms) / (
            self.output_tokens - 1
        )

    def cancel_withdrawn(self, refusal: outcomes.Refusal) -> None:
        """Cancel the exchange because its key was withdrawn.

        A non-repeatable request that was sent is not interrupted, so that
        its outcome can be recorded.

        Args:
            refusal: the refusal for a request that was not sent.
        """
        self.withdrawal = refusal
        if self.repeatable or not self.sent:
            self.relay_scope.cancel()

    def final_outcome(self) -> str:
        """Return the outcome for metrics and logs."""
        if self.withdrawal is not None:
            return "withdrawn"
        if self.refusal is not None:
            return self.refusal.outcome
        return self.outcome


async def send_refusal(exchange: Exchange) -> None:
    """Send an exchange's refusal to the caller.

    Once the head of a response was sent, a stream ends with the refusal
    as an event, without ``[DONE]``.
    """
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


async def replay_outcome(exchange: Exchange, claim: messages.Claim) -> None:
    """Respond with the recorded outcome of an earlier request."""
    headers = [(b"x-replayed", b"true")]
    if claim.content_type:
        headers.append((b"content-type", claim.content_type.encode()))
    exchange.outcome = "replayed"
    await web.answer(exchange.call, claim.status, claim.body, headers)


class RequestRelay:
    """Relays one request, from admission to the last byte.

    Args:
        gateway: provides the dispatcher, the directory, the readiness,
            the client for endpoints and the retry budget.
        exchange: the state of the request, updated here.
        ticket: the request's ticket for admission.
        routed: the request and the pool that serves it.

    Attributes:
        validator: checks the stream over all attempts.
    """

    def __init__(
        self,
        gateway: Any,
        exchange: Exchange,
        ticket: fairqueue.Ticket,
        routed: RoutedRequest,
    ):
        self.gateway = gateway
        self.dispatcher = gateway.dispatcher
        self.exchange = exchange
        self.ticket = ticket
        self.routed = routed
        exchange.repeatable = routed.repeatable
        self.validator = streams.StreamValidator(exchange.call.request_id)

    async def run(self) -> None:
        """Relay the request until the caller has the complete response.

        Raises:
            RefusedError: there is no complete response.
            CallerGoneError: the caller disconnected.
        """
        exchange = self.exchange
        caller_gone = False
        async with anyio.create_task_group() as group:
            exchange.relay_scope = group.cancel_scope
            if exchange.withdrawal is not None:
                group.cancel_scope.cancel()
            if self.routed.repeatable:
                group.start_soon(self._cancel_on_disconnect)
            try:
                await self._try_endpoints()
            except web.RefusedError as exc:
                exchange.refusal = exc.refusal
            except web.CallerGoneError:
                caller_gone = True
            finally:
                group.cancel_scope.cancel()
        if exchange.withdrawal is not None and not exchange.complete:
            raise web.RefusedError(self._withdrawal_refusal())
        if caller_gone or exchange.outcome == "gone":
            raise web.CallerGoneError
        if exchange.refusal is not None:
            raise web.RefusedError(exchange.refusal)

    def _withdrawal_refusal(self) -> outcomes.Refusal:
        refusal = self.exchange.withdrawal
        assert refusal is not None
        if not self.exchange.sent:
            return refusal
        tag = "incomplete" if self.routed.repeatable else "unknown"
        return outcomes.Refusal(
            tag, refusal.reason, refusal.message, refusal.step, 401
        )

    async def _cancel_on_disconnect(self) -> None:
        while True:
            message = await self.exchange.call.receive()
            if message["type"] == "http.disconnect":
                break
        if not self.exchange.complete:
            self.exchange.outcome = "gone"
            self.exchange.relay_scope.cancel()

    async def _try_endpoints(self) -> None:
        self.gateway.retry_budget.record_request()
        for attempt in range(MAX_ATTEMPTS):
            endpoint = await self._acquire_endpoint(is_retry=attempt > 0)
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
                    self.routed.pool, endpoint, self.ticket, failed
                )
            self.ticket.excluded |= {endpoint}
            self._clear_exclusions()
        raise web.RefusedError(self._failure_refusal("all attempts failed"))

    async def _acquire_endpoint(self, is_retry: bool) -> str:
        if is_retry and not self.dispatcher.router.has_ready_endpoint(
            self.routed.pool
        ):
            raise web.RefusedError(
                self._failure_refusal("no endpoint is available")
            )
        try:
            endpoint = await self.dispatcher.acquire(
                self.routed.pool, self.ticket, is_retry
            )
        except web.RefusedError as exc:
            if self.exchange.sent:
                failure = self._failure_refusal(exc.refusal.message)
                raise web.RefusedError(failure) from exc
            raise
        self.exchange.admitted = True
        self.exchange.endpoint = endpoint
        return endpoint

    def _clear_exclusions(self) -> None:
        pool_endpoints = self.dispatcher.router.endpoints_by_pool.get(
            self.routed.pool, ()
        )
        if all(name in self.ticket.excluded for name in pool_endpoints):
            self.ticket.excluded = frozenset()

    def _check_retry(
        self, error: upstream_module.UpstreamError, attempt: int
    ) -> None:
        """Raise unless a failed attempt may be followed by another one.

        Args:
            error: the failure of the attempt.
            attempt: number of the attempt, from 0.

        Raises:
            RefusedError: the request must not be retried.
        """
        exchange = self.exchange
        if error.maybe_sent and not self.routed.repeatable:
            raise web.RefusedError(claims_module.unknown_outcome_refusal())
        response_started = exchange.head_sent and not exchange.streaming
        if response_started or attempt == MAX_ATTEMPTS - 1:
            raise web.RefusedError(self._failure_refusal(error.text))
        if not self.gateway.retry_budget.try_spend():
            raise web.RefusedError(
                self._failure_refusal("the retry budget is exhausted")
            )

    def _failure_refusal(self, text: str) -> outcomes.Refusal:
        exchange = self.exchange
        if exchange.head_sent:
            return outcomes.Refusal(
                "incomplete",
                "stream-broken",
                text,
                "relay",
                502,
                RETRY_AFTER_S,
            )
        if not exchange.sent:
            return outcomes.not_run(
                "endpoint-failed", text, "relay", 503, RETRY_AFTER_S
            )
        tag = "incomplete" if self.routed.repeatable else "unknown"
        return outcomes.Refusal(
            tag, "endpoint-failed", text, "relay", 502, RETRY_AFTER_S
        )

    async def _attempt(self, endpoint: str) -> None:
        entry = self.gateway.directory.endpoints.get(endpoint)
        if entry is None:
            raise upstream_module.UpstreamError(
                "the endpoint has left", "relay.place", endpoint, False
            )
        request = self._build_request(entry.announcement)
        sent_before = self.exchange.sent
        self.exchange.sent = True
        try:
            await self._send_and_relay(endpoint, request)
        except upstream_module.UpstreamError as exc:
            self.exchange.sent = sent_before or exc.maybe_sent
            raise

    async def _send_and_relay(
        self, endpoint: str, request: upstream_module.EndpointRequest
    ) -> None:
        if not self.routed.repeatable:
            await self._relay_non_repeatable(endpoint, request)
            return
        async with self.gateway.upstream.stream(request) as response:
            self._check_head(response, endpoint)
            if self.exchange.streaming and response.status == 200:
                await self._relay_stream(endpoint, response)
            else:
                await self._relay_buffered(endpoint, response)

    def _build_request(
        self, announcement: messages.Announcement
    ) -> upstream_module.EndpointRequest:
        headers = list(self.routed.request.headers)
        tier = str(self.ticket.effective_tier).encode()
        headers.append((b"x-priority", tier))
        if self.validator.event_count:
            if not announcement.resumes:
                raise web.RefusedError(
                    self._failure_refusal("the engine cannot resume a stream")
                )
            self.validator.prepare_resumption()
            offset = str(self.validator.event_count).encode()
            headers.append((RESUME_OFFSET_HEADER, offset))
        return self.routed.request._replace(
            address=announcement.address, headers=headers
        )

    def _check_head(self, response: Any, endpoint: str) -> None:
        expected_id = self.exchange.call.request_id.encode()
        for name, value in response.headers:
            if name.lower() == b"x-request-id" and value != expected_id:
                raise upstream_module.UpstreamError(
                    "the response belongs to another request",
                    "relay.head",
                    endpoint,
                    True,
                )
        if (
            response.status >= MIN_SERVER_ERROR_STATUS
            and self.routed.is_model_request
        ):
            raise upstream_module.UpstreamError(
                f"the engine responded with status {response.status}",
                "relay.head",
                endpoint,
                True,
            )

    async def _relay_non_repeatable(
        self, endpoint: str, request: upstream_module.EndpointRequest
    ) -> None:
        buffered = await self.gateway.upstream.fetch(request)
        self._check_head(buffered, endpoint)
        self.exchange.buffered = buffered
        if self.exchange.withdrawal is not None:
            raise web.RefusedError(self._withdrawal_refusal())
        await self._send_buffered(endpoint, buffered)

    async def _relay_buffered(self, endpoint: str, response: Any) -> None:
        body = await upstream_module.read_body(response, endpoint)
        buffered = upstream_module.BufferedResponse(
            response.status, response.headers, body
        )
        await self._send_buffered(endpoint, buffered)

    async def _send_buffered(
        self, endpoint: str, buffered: upstream_module.BufferedResponse
    ) -> None:
        exchange = self.exchange
        now = clock.now_ms()
        router = self.dispatcher.router
        router.record_first_token(self.routed.pool, endpoint, self.ticket, now)
        if self.routed.is_model_request:
            self._record_json_usage(buffered.body)
        else:
            exchange.record_events(0)
        await self._wait_until_refreshed()
        exchange.head_sent = True
        exchange.delivered = True
        exchange.complete = True
        exchange.outcome = "ok" if buffered.status < 400 else "endpoint-error"
        await web.answer(
            exchange.call,
            buffered.status,
            buffered.body,
            headers_module.filter_response_headers(buffered.headers),
        )

    def _record_json_usage(self, body: bytes) -> None:
        exchange = self.exchange
        exchange.record_events(0)
        try:
            usage = json.loads(body)["usage"]
            exchange.prompt_tokens = int(usage["prompt_tokens"])
            exchange.output_tokens = int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            exchange.prompt_tokens = self.ticket.prompt_tokens

    async def _relay_stream(self, endpoint: str, response: Any) -> None:
        async for chunk in response.body_chunks():
            received = self.validator.feed(chunk)
            if received.data:
                await self._send_events(endpoint, response, received)
            if received.done:
                return
        raise upstream_module.UpstreamError(
            "the stream ended before [DONE]", "relay.stream", endpoint, True
        )

    async def _send_events(
        self, endpoint: str, response: Any, received: streams.CompleteEvents
    ) -> None:
        exchange = self.exchange
        if self.gateway.readiness.refreshing:
            await self._wait_until_refreshed()
        if not exchange.head_sent:
            self.dispatcher.router.record_first_token(
                self.routed.pool, endpoint, self.ticket, clock.now_ms()
            )
            await self._send_head(response)
        exchange.record_events(received.event_count)
        if received.done:
            self._record_stream_usage()
        else:
            exchange.prompt_tokens = self.ticket.prompt_tokens
        await exchange.call.send(
            {
                "type": "http.response.body",
                "body": received.data,
                "more_body": not received.done,
            }
        )
        exchange.delivered = True
        exchange.complete = received.done

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

    def _record_stream_usage(self) -> None:
        token_usage = self.validator.usage()
        exchange = self.exchange
        exchange.prompt_tokens = self.ticket.prompt_tokens
        if token_usage is not None:
            exchange.prompt_tokens, exchange.output_tokens = token_usage

    async def _wait_until_refreshed(self) -> None:
        while self.gateway.readiness.refreshing:
            await anyio.sleep(REFRESH_POLL_INTERVAL_S)


__all__ = [
    "Exchange",
    "RequestRelay",
    "RoutedRequest",
    "replay_outcome",
    "send_refusal",
]
