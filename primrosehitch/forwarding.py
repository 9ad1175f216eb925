"""Forwarding of one caller's request, with failover between endpoints.

A request that was sent is reported to the caller as not run only if the
endpoint itself said that it did not run it. A non-repeatable request is
sent to a second endpoint only if the first one said that it did not run
it, or if none of its bytes were sent.
"""

import math
import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

import anyio

from primrosehitch import attempts
from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import clock
from primrosehitch import coldstarts
from primrosehitch import dialect as dialect_module
from primrosehitch import errors
from primrosehitch import eventframes
from primrosehitch import eventnumbering
from primrosehitch import events
from primrosehitch import fingerprints
from primrosehitch import hedging as hedging_module
from primrosehitch import helpers as helpers_module
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import linelimit
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import overloadcontrol
from primrosehitch import quarantine as quarantine_module
from primrosehitch import racing
from primrosehitch import room as room_module
from primrosehitch import routes
from primrosehitch import streamorigins
from primrosehitch import truetime as truetime_module
from primrosehitch import waiting

# Responses up to this size are buffered, so that the request can be
# retried when one breaks off; larger ones are relayed as they arrive.
MAX_BUFFERED_RESPONSE_BYTES = 1 << 20
# Retry-After of local replies, in seconds: no endpoint is available, or
# the endpoints rejected the request.
NO_ENDPOINT_RETRY_AFTER_S = 0.3
REJECTED_RETRY_AFTER_S = 0.3
# An evacuation ends only by an order.
EVACUATED_RETRY_AFTER_S = 1.0
# A request without an available endpoint waits for one for at most this
# fraction of its remaining time, and for at most its latency objective or
# the minimum below, whichever is longer.
ENDPOINT_WAIT_FRACTION = 0.4
MIN_ENDPOINT_WAIT_MS = 400
# No event signals that an endpoint has capacity again, so a waiting
# request polls at this interval.
ENDPOINT_POLL_INTERVAL_S = 0.05
# No further endpoint is tried with less time than this remaining.
MIN_RETRY_TIME_MS = 20
# Timeout for the first byte of a response, after which a repeatable
# request fails over: this fraction of the latency objective, or this
# multiple of the predicted time, whichever is longer.
FIRST_BYTE_OBJECTIVE_FRACTION = 0.6
FIRST_BYTE_PREDICTION_FACTOR = 3.0
# A resumable stream fails over after a gap of this fraction of the allowed
# gap between events, but not before the minimum below.
STREAM_GAP_FRACTION = 0.5
MIN_STREAM_GAP_TIMEOUT_MS = 700
# A stream fails over only if its endpoint sent nothing on any connection
# for this fraction of the timeout: an endpoint that responds to other
# requests is busy rather than stalled.
ENDPOINT_SILENCE_FRACTION = 0.8
# A resumable stream also fails over if bytes keep arriving but complete no
# event for this many times the allowed gap, and at least for the minimum.
EVENT_GAP_FACTOR = 2.0
MIN_EVENT_TIMEOUT_MS = 1000
# How long another endpoint may take to say whether a stream whose end is not
# certain goes on.
END_CHECK_TIMEOUT_S = 0.7
# A stream that goes on clears its prompt parts of suspicion this often.
SOUND_REPORT_PERIOD_MS = 500
# Reasons of the reply to a request with a quarantined prompt part, and to
# one that is quarantined itself.
QUARANTINED_PART_REASON = "crashing-part"
QUARANTINED_REQUEST_REASON = "crashing-request"
# Reason of the reply to a request that resumes a stream whose origin is not
# known, or whose service the route no longer has.
UNKNOWN_STREAM_REASON = "unknown-stream"
# How long a request waits to learn which version began the stream that it
# resumes, and at most which fraction of its time. An edge takes 0.7 s to leave
# a control instance that does not answer.
ORIGIN_WAIT_S = 1.2
ORIGIN_WAIT_FRACTION = 0.5
# Outcome of an attempt for which the endpoint's limit left no permit.
RATE_LIMITED_REASON = "rate-limited"
# Outcome of an attempt at which no connection opened.
UNREACHABLE_REASON = "unreachable"
# After so many endpoints that could not be reached, a request goes to
# another edge, and at most to so many edges.
UNREACHABLE_ATTEMPTS = 2
MAX_HELPERS = 2
# Reason of the reply to a request that only endpoints of evacuated failure
# domains could serve, and outcome of an attempt at one whose domain was
# evacuated before the request was sent.
EVACUATED_REASON = "evacuated"
# Outcomes of attempts in which nothing was sent.
UNSENT_REASONS = (UNREACHABLE_REASON, RATE_LIMITED_REASON, EVACUATED_REASON)
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
# Outcome of a request that no endpoint can answer in time.
OVERLOADED_REASON = "overloaded"
# Statuses that tell a caller that the request has not run and will not.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Refused(NamedTuple):
    """A local reply to a request that no endpoint answered.

    Attributes:
        status: the HTTP status.
        reason: one word for the reply's body, logs and metrics.
        retry_after_s: when the caller may retry, in seconds, or None to
            send no Retry-After header.
        part: the quarantined prompt part or fingerprint for which it is
            refused, if any.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    part: str = ""


class Passed(NamedTuple):
    """The caller has received its final response.

    Attributes:
        status: the HTTP status of the response.
    """

    status: int


class NotRun(NamedTuple):
    """The endpoint did not run the request, or never received it.

    Attributes:
        reason: one word for the reply's body and logs.
    """

    reason: str


class Broken(NamedTuple):
    """The request may have run, but its response is incomplete.

    Attributes:
        reason: what failed.
    """

    reason: str


class Failed(NamedTuple):
    """The endpoint ran the request and responded with a server error.

    Attributes:
        head: the head of the response.
        body: its whole body.
    """

    head: httpclient.ResponseHead
    body: bytes


class Lost(NamedTuple):
    """Another attempt answered the caller first."""


Outcome = Passed | NotRun | Broken | Failed | Lost


def _weight(outcome: Outcome) -> int:
    """Return how much of an outcome's attempt the caller has to know.

    Of two attempts without an answer, the one that may have run the request
    decides, and then the one that reached its endpoint.
    """
    if isinstance(outcome, NotRun):
        return int(outcome.reason not in UNSENT_REASONS)
    weights = {Lost: -1, Broken: 2, Failed: 3, Passed: 4}
    return weights[type(outcome)]


def send_local_reply(
    dialect: dialect_module.Dialect,
    call: dialect_module.CallInfo,
    responder: httpserver.Responder,
    refused: Refused,
) -> None:
    """Respond to a caller without an endpoint's response.

    Args:
        dialect: adds the protocol's headers.
        call: the caller's request.
        responder: where the response is written.
        refused: status, reason and retry time of the response.
    """
    headers = dialect.own_headers(call.identifier)
    if refused.retry_after_s is not None:
        headers.append(httpserver.retry_after_header(refused.retry_after_s))
    headers.append(JSON_CONTENT_TYPE)
    body = b'{"error":"%s"}' % refused.reason.encode()
    responder.respond(refused.status, headers, body)


def _quarantine_reason(part: str) -> str:
    """Return the reason of the reply for something quarantined."""
    if fingerprints.is_fingerprint(part):
        return QUARANTINED_REQUEST_REASON
    return QUARANTINED_PART_REASON


class SharedResources(Protocol):
    """What all requests of one edge share; ``Forwarder`` provides it."""

    dialect: dialect_module.Dialect
    balancer: balancer_module.Balancer
    retry_budget: budget_module.SharedRetryBudget
    meter: metering.WindowMeter
    true_time: truetime_module.TrueTime
    gate: overload.AdmissionGate
    quarantine: quarantine_module.Quarantine
    origins: streamorigins.StreamOrigins
    numbering: eventnumbering.NumberingRecord
    rng: random.Random
    routing_changed: anyio.Event
    helpers: helpers_module.HelperDirectory
    waiting: waiting.WaitingLine
    malformed_loads: linelimit.LineLimit
    overload: overloadcontrol.OverloadControl
    hedging: hedging_module.Hedging | None

    def is_from_edge(self, call: dialect_module.CallInfo) -> bool:
        """Return whether another edge sends a request for its caller."""

    def record_unreached(self, service: str, endpoint: str) -> None:
        """Record that an endpoint was not reached or did not answer."""

    def record_reached(self, service: str) -> None:
        """Record that an endpoint was heard, or a connection to it opened."""

    def notify_routing_change(self) -> None:
        """Wake the requests that wait for a route table or an endpoint."""

    def connection_pool(self, address: str) -> httpclient.ConnectionPool:
        """Return the connection pool of an endpoint's address."""

    def refuse(
        self,
        call: dialect_module.CallInfo,
        responder: httpserver.Responder,
        refused: Refused,
    ) -> None:
        """Send a local reply and record it."""


class ForwardedRequest:
    """A caller's request, from its arrival to the final response.

    Args:
        shared: the resources that all requests of the edge share.
        request: the caller's request.
        responder: where the response is written.
        call: the request's fields, decoded from the wire.
        decision: the route and customer of the request.

    Attributes:
        ask: what the balancer chooses an endpoint by.
        part_ids: identifiers of the prompt parts that it shares.
        fingerprint: by which its repeats are known.
        suspects: what may be at fault if an endpoint crashes under it: the
            parts and the request as such.
        is_resumption: whether it resumes a stream of an earlier attempt.
        is_origin_recorded: whether the version of the stream is recorded.
        deadline_at_ms: when the request times out, by ``clock.now_ms``.
        event_frames: splits a stream into whole events.
        refused_gaps: identifiers that endpoints left out, for which their
            streams were left, with the endpoint. It is "" for one that
            another edge chose, which may be any.
        ended_after: how many events the caller had when an endpoint ended
            the stream with its connection, -1 if none did.
        end_check_scope: cancelled if another endpoint takes too long to say
            whether the stream goes on.
        tried_endpoints: identifiers of the endpoints chosen so far.
        is_from_edge: whether another edge sends it for its caller.
        max_attempts: the endpoints to which it may be sent, by this edge and
            by those that it goes to.
        unreachable_count: endpoints that could not be reached.
        helper_count: edges that it was sent to.
        was_helped: whether its stream went on at another edge, so that
            this edge does not know its version.
        attempts: how often the request was sent.
        current: the attempt under way, or the two of a hedged request.
        earlier_may_have_run: whether an earlier attempt may have run it.
        is_hedged: whether a second attempt was started while one was slow.
        usage_counted: whether it was counted for the customer's usage.
        first_ms: time to the first byte of a response, -1 before it.
        trail: each attempt's endpoint and outcome, for the log.
        scope: cancelled at the deadline, or when the request is ended.
        end_reason: why the scope was cancelled.
        is_decided: whether it was decided if there is room for it.
        refusal: why it was refused for lack of room, if it was.
    """

    def __init__(
        self,
        shared: SharedResources,
        request: httpserver.Request,
        responder: httpserver.Responder,
        call: dialect_module.CallInfo,
        decision: routes.RoutingDecision,
    ):
        self.shared = shared
        self.balancer = shared.balancer
        self.request = request
        self.responder = responder
        self.call = call
        self.route = decision.route
        self.customer = decision.customer.name if decision.customer else ""
        self.priority = decision.priority
        service = routes.choose_service(self.route, shared.rng)
        self.ask = balancer_module.RequestProfile(
            service,
            call.parts,
            call.prompt_tokens,
            call.output_tokens,
            self.route.gap_ms if self.route.kind == routes.STREAM else 0,
        )
        self.part_ids = tuple(p.identifier for p in self.ask.shared_parts)
        self.fingerprint = fingerprints.request_fingerprint(
            request, self.customer
        )
        self.suspects = (*self.part_ids, self.fingerprint)
        self.is_resumption = self.route.kind == routes.STREAM and (
            bool(call.last_event_id) or call.resumed_stream is not None
        )
        self.is_origin_recorded = False
        time_limit_ms = self.route.timeout_ms
        if call.deadline_ms is not None:
            time_limit_ms = min(time_limit_ms, call.deadline_ms)
        self.deadline_at_ms = request.started_ms + time_limit_ms
        self.event_frames = eventframes.EventSplitter(call.last_event_id)
        self.refused_gaps: dict[eventnumbering.Gap, str] = {}
        self.ended_after = -1
        self.end_check_scope = anyio.CancelScope()
        self.tried_endpoints: list[str] = []
        self.is_from_edge = shared.is_from_edge(call)
        self.max_attempts = self.route.max_attempts
        if self.is_from_edge and call.attempts_left is not None:
            self.max_attempts = min(self.max_attempts, call.attempts_left)
        self.unreachable_count = 0
        self.helper_count = 0
        self.was_helped = False
        self.attempts = 0
        self.current: tuple[attempts.Attempt, ...] = ()
        self.earlier_may_have_run = False
        self.is_hedged = False
        self.usage_counted = False
        self.first_ms = -1
        self.trail: list[str] = []
        self.scope = anyio.CancelScope()
        self.end_reason = "timeout"
        self.is_decided = False
        self.refusal: overloadcontrol.Refusal | None = None

    async def run(self) -> None:
        """Forward the request until the caller has its final response."""
        shared = self.shared
        if self.is_resumption and not await self._bind_to_origin():
            refused = Refused(
                503, UNKNOWN_STREAM_REASON, NO_ENDPOINT_RETRY_AFTER_S
            )
            shared.refuse(self.call, self.responder, refused)
            return
        now = clock.now_ms()
        service = self.ask.service
        if not self.is_from_edge:
            shared.retry_budget.record_request(service, now)
            if shared.hedging is not None:
                shared.hedging.share.record_request(service, now)
        part = self._quarantined_part()
        if part is not None:
            self._refuse_quarantined(part)
            return
        rejection = shared.gate.admit(service, self.deadline_at_ms, now)
        if rejection is not None:
            refused = Refused(503, rejection.reason, rejection.retry_after_s)
            shared.refuse(self.call, self.responder, refused)
            return
        outcome = "gone"  # stays if the caller disconnects
        try:
            self.scope.deadline = (
                anyio.current_time() + (self.deadline_at_ms - now) / 1000
            )
            with self.scope:
                outcome = await self._try_endpoints()
            if self.scope.cancelled_caught:
                outcome = self._respond_after_end()
        finally:
            shared.gate.record_end(service)
            self._record_outcome(outcome)

    async def _bind_to_origin(self) -> bool:
        """Bind the request to what began the stream that it resumes.

        Returns:
            Whether that is known, and the route still allows its service.
        """
        attempt = self.call.resumed_stream
        if not attempt:
            return False
        stream = streamorigins.stream_key(attempt, self.customer)
        remaining_s = (self.deadline_at_ms - clock.now_ms()) / 1000
        origin = await self.shared.origins.resolve(
            stream, min(ORIGIN_WAIT_S, ORIGIN_WAIT_FRACTION * remaining_s)
        )
        services = [split.service for split in self.route.splits]
        if origin is None or origin.service not in services:
            return False
        self.ask = self.ask._replace(
            service=origin.service, version=origin.version
        )
        return True

    def _bind_stream(self, endpoint: balancer_module.Endpoint) -> None:
        """Bind the stream to the version of its first event.

        The origin is recorded before the caller has the event, so that a
        resumption can hardly overtake it.
        """
        if self.is_origin_recorded:
            return
        self.is_origin_recorded = True
        version = endpoint.record.version
        self.ask = self.ask._replace(version=version)
        if self.call.identifier:
            self.shared.origins.record(
                streamorigins.stream_key(self.call.identifier, self.customer),
                streamorigins.Origin(self.ask.service, version),
                self.call.deadline_ms,
            )

    def _refuse_quarantined(self, part: str) -> None:
        """Refuse a request that would crash the endpoint it is sent to."""
        retry_after_s = self.shared.quarantine.retry_after_s(
            part, clock.now_ms()
        )
        reason = _quarantine_reason(part)
        refused = Refused(503, reason, retry_after_s, part)
        self.shared.refuse(self.call, self.responder, refused)

    async def _try_endpoints(self) -> str:
        """Try endpoints until one responds; return the outcome to log."""
        while True:
            helper = await self._choose_helper()
            if helper is not None:
                attempt = self._begin_attempt(None)
                outcome = await self._attempt_at_helper(attempt, helper)
                self._record_attempt(attempt, helper.front, outcome)
                if isinstance(outcome, Passed):
                    return "helped"
                if not self._acquire_retry(outcome):
                    return self._respond_with_failure(outcome)
                continue
            if self.was_helped:
                return self._respond_with_failure(Broken("no helper"))
            now = clock.now_ms()
            choice = None
            if self.tried_endpoints or not self._has_to_wait():
                choice = self.balancer.choose(
                    self.ask, self.tried_endpoints, now
                )
            if choice is None and not self.tried_endpoints:
                choice = await self._wait_for_endpoint()
            if choice is None:
                self._emit_no_endpoint()
                reason = "no-endpoint"
                if self._has_only_evacuated():
                    reason = EVACUATED_REASON
                return self._respond_with_failure(NotRun(reason))
            part = self._quarantined_part()
            if part is not None:
                reason = _quarantine_reason(part)
                return self._respond_with_failure(NotRun(reason))
            if self._refuse_for_overload(choice):
                return OVERLOADED_REASON
            with self._limit_end_check():
                outcome = await self._attempt_and_hedge(choice)
            if self.end_check_scope.cancelled_caught:
                return self._respond_with_failure(Broken("no news of the end"))
            if isinstance(outcome, Passed):
                return "ok" if outcome.status < 400 else "endpoint-error"
            if not self._acquire_retry(outcome):
                return self._respond_with_failure(outcome)

    def _limit_end_check(self) -> anyio.CancelScope:
        """Return a scope that limits an attempt to go on after an end."""
        limit_s = math.inf
        if self._has_stream_ended():
            limit_s = END_CHECK_TIMEOUT_S
        self.end_check_scope = anyio.move_on_after(limit_s)
        return self.end_check_scope

    def _refuse_for_overload(self, choice: balancer_module.Choice) -> bool:
        """Refuse the request if there is no room for it in time.

        Returns:
            Whether it was refused.
        """
        if self.is_decided:
            return False
        self.is_decided = True
        arrival = overloadcontrol.Arrival(
            self.ask.service,
            self.priority,
            self.customer,
            self.request.started_ms,
            self.deadline_at_ms,
            self.route.objective_ms,
            self.ask.prompt_tokens > 0,
            self.is_from_edge or self.is_resumption or bool(self.trail),
        )
        refusal = self.shared.overload.decide(arrival, choice, clock.now_ms())
        if refusal is None:
            return False
        self.refusal = refusal
        self.trail.append(f"{choice.endpoint.record.id}:Refused")
        self._send_local_reply(503, OVERLOADED_REASON, refusal.retry_after_s)
        return True

    def _begin_attempt(
        self, choice: balancer_module.Choice | None
    ) -> attempts.Attempt:
        """Return a new attempt, the only one that is under way."""
        self.event_frames.prepare_resume()
        attempt = attempts.Attempt(choice, self.event_frames)
        self.current = (attempt,)
        return attempt

    def _record_attempt(
        self, attempt: attempts.Attempt, target: str, outcome: Outcome
    ) -> None:
        """Record how an attempt at an endpoint or another edge ended."""
        self.earlier_may_have_run |= isinstance(outcome, Broken | Failed) or (
            isinstance(outcome, Lost) and attempt.in_flight
        )
        attempt.in_flight = False
        self.trail.append(f"{target}:{type(outcome).__name__}")

    async def _choose_helper(self) -> messages.HelperEdge | None:
        """Return the edge to send the request to, or None for an endpoint.

        A request of another edge goes no further.
        """
        service = self.ask.service
        is_cut_off = (
            self.was_helped
            or self.unreachable_count >= UNREACHABLE_ATTEMPTS
            or self.balancer.reachability.is_cut_off(service)
        )
        if (
            not is_cut_off
            or self.is_from_edge
            or self.helper_count >= MAX_HELPERS
        ):
            return None
        return await self.shared.helpers.choose(service)

    async def _attempt_at_helper(
        self, attempt: attempts.Attempt, helper: messages.HelperEdge
    ) -> Outcome:
        """Send the request to another edge and relay its response.

        That edge counts it as under way, for the customer's usage and in
        the retry budget; this one only relays.
        """
        shared = self.shared
        self.helper_count += 1
        events.emit(
            events.HELPED,
            request_id=self.call.identifier.decode("latin-1"),
            service=self.ask.service,
            helper=helper.front,
        )
        now = clock.now_ms()
        pool = shared.connection_pool(helper.front)
        try:
            connection = await pool.acquire(now, self.deadline_at_ms - now)
        except httpclient.EndpointError as exc:
            self._emit_helper_failure(helper, str(exc))
            return NotRun(UNREACHABLE_REASON)
        shared.gate.record_end(self.ask.service)
        try:
            attempts_left = max(1, self.max_attempts - self.attempts)
            self._send_to_helper(connection, attempt, helper, attempts_left)
            outcome = await self._relay_from_helper(connection, attempt)
            if isinstance(outcome, Broken):
                # It may have sent the request to as many endpoints.
                self.attempts += attempts_left - 1
        finally:
            shared.gate.record_start(self.ask.service)
            pool.release(connection)
        if not isinstance(outcome, Passed):
            self._emit_helper_failure(helper, getattr(outcome, "reason", ""))
        return outcome

    def _emit_helper_failure(
        self, helper: messages.HelperEdge, error_text: str
    ) -> None:
        self.shared.helpers.record_failure(helper)
        events.emit(
            events.HELPER_FAILED,
            request_id=self.call.identifier.decode("latin-1"),
            helper=helper.front,
            error=error_text,
        )

    def _send_to_helper(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        helper: messages.HelperEdge,
        attempts_left: int,
    ) -> None:
        """Send the request, or what is left of its stream."""
        resumed_stream = self.call.resumed_stream or b""
        if self.event_frames.event_count:
            resumed_stream = self.call.identifier
        help_info = dialect_module.HelpInfo(
            helper.token.encode(),
            max(1, self.deadline_at_ms - clock.now_ms()),
            self.event_frames.last_id,
            resumed_stream,
            attempts_left,
        )
        headers = self.shared.dialect.helper_headers(self.call, help_info)
        self._send_on(connection, attempt, headers)

    async def _relay_from_helper(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
    ) -> Outcome:
        """Relay the response of another edge, which may refuse as well."""
        head = await connection.receive()
        if not isinstance(head, httpclient.ResponseHead):
            return Broken("closed without a response")
        info = self.shared.dialect.read_answer(head)
        refused = head.status in NOT_RUN_STATUSES and not info.is_authentic
        if refused:
            attempt.in_flight = False
        if head.status < 300 and not info.is_authentic:
            return Broken("successful response without a valid signature")
        if self.route.kind == routes.STREAM and head.status < 300:
            return await self._relay_helped_stream(connection, head)
        body, ending = await self._read_body(connection, attempt, head)
        if body is None:
            return Passed(head.status)
        if ending is httpclient.ResponseEnd.BROKEN:
            return NotRun("refused") if refused else Broken("incomplete")
        if refused and (
            self._may_have_run() or self.helper_count < MAX_HELPERS
        ):
            return NotRun("refused")
        if self.responder.head_sent:
            return Broken(f"status {head.status} in the middle of a stream")
        self._send_buffered(head, body)
        return Passed(head.status)

    async def _relay_helped_stream(
        self,
        connection: httpclient.EndpointConnection,
        head: httpclient.ResponseHead,
    ) -> Outcome:
        """Relay a stream of another edge in whole events."""
        item = await connection.receive()
        while isinstance(item, bytes):
            complete_events, event_error = self._split_events(
                self.event_frames, item, ""
            )
            if complete_events:
                self.was_helped = True
                self._ensure_head_sent(head)
                await self.responder.write(complete_events)
            if event_error is not None:
                return Broken(str(event_error))
            item = await connection.receive()
        if (
            item is httpclient.ResponseEnd.COMPLETE
            and self.event_frames.is_at_event_boundary
        ):
            self._record_numbering(self.event_frames)
            self._ensure_head_sent(head)
            self.responder.finish()
            return Passed(head.status)
        return Broken("stream incomplete")

    def _split_events(
        self,
        event_frames: eventframes.EventSplitter,
        data: bytes,
        endpoint: str,
    ) -> tuple[bytes, eventframes.EventError | None]:
        """Return the events that bytes of a stream complete.

        The caller gets the sound ones also if no event follows them.

        Args:
            event_frames: splits the attempt's stream.
            data: the bytes.
            endpoint: the identifier of the endpoint that sent them, or "" if
                they come from another edge.

        Returns:
            The events, and what is wrong with the bytes after them, if
            anything is.
        """
        try:
            return event_frames.feed(data), None
        except eventframes.EventGapError as exc:
            if not self._accepts_gap(exc.gap, endpoint):
                return exc.sound_events, exc
            event_frames.allows_gaps = True
            further_events, error = self._split_events(
                event_frames, b"", endpoint
            )
            return exc.sound_events + further_events, error
        except eventframes.EventError as exc:
            return exc.sound_events, exc

    def _accepts_gap(self, gap: eventnumbering.Gap, endpoint: str) -> bool:
        """Return whether a stream may leave out identifiers.

        An endpoint may do so, unless endpoints of its service number events
        one by one. As long as that is not known, another endpoint goes on
        before the gap, if there is one that can. It has the same gap if
        nothing is missing.

        Args:
            gap: what is left out.
            endpoint: the endpoint that does so, as for ``_split_events``.
        """
        service = self.ask.service
        numbering = self.shared.numbering
        refused_of = self.refused_gaps.get(gap, endpoint)
        if refused_of != endpoint:
            is_confirmed = bool(refused_of and endpoint)
            if is_confirmed:
                numbering.confirm_gap(service)
            outcome = "confirmed" if is_confirmed else "passed"
            metrics.EVENT_GAPS.labels(outcome).inc()
            return True
        kind = numbering.service_numbering(service)
        is_refused = kind is eventnumbering.Numbering.DENSE or (
            kind is eventnumbering.Numbering.UNKNOWN and self._can_fail_over()
        )
        if is_refused:
            numbering.record_stream(service, True)
            self.refused_gaps[gap] = endpoint
        metrics.EVENT_GAPS.labels("refused" if is_refused else "passed").inc()
        return not is_refused

    def _record_numbering(
        self, event_frames: eventframes.EventSplitter
    ) -> None:
        """Record how the events of a complete stream were numbered."""
        if event_frames.event_count > 1 and not self.refused_gaps:
            self.shared.numbering.record_stream(
                self.ask.service, event_frames.has_gaps
            )

    def _is_last_event_doubtful(self) -> bool:
        """Return whether the last event's identifier may be wrong.

        Then it is not known which events the caller lacks.
        """
        numbering = self.shared.numbering.service_numbering(self.ask.service)
        return self.event_frames.is_doubtful or (
            self.event_frames.ends_with_gap
            and numbering is not eventnumbering.Numbering.SPARSE
        )

    def _emit_no_endpoint(self) -> None:
        now = clock.now_ms()
        availability = self.balancer.availability(self.ask.service, now)
        events.emit(
            events.NO_ENDPOINT,
            request_id=self.call.identifier.decode("latin-1"),
            service=self.ask.service,
            priority=self.priority,
            tried=len(self.tried_endpoints),
            waited_ms=now - self.request.started_ms,
            **availability._asdict(),
        )

    def _has_to_wait(self) -> bool:
        """Return whether a request that is no less urgent waits already."""
        return self.shared.waiting.is_waited_for(self._line(), self.priority)

    def _line(self) -> str:
        """Return the line in which the request waits.

        One that is bound to a version keeps no other from an endpoint.
        """
        if self.ask.version is None:
            return self.ask.service
        return f"{self.ask.service} {self.ask.version}"

    async def _wait_for_endpoint(self) -> balancer_module.Choice | None:
        """Wait until an endpoint is available; return None on timeout.

        The most urgent request gets it, and its choice wakes the next one.
        """
        wait_ms = min(
            ENDPOINT_WAIT_FRACTION * (self.deadline_at_ms - clock.now_ms()),
            max(self.route.objective_ms, MIN_ENDPOINT_WAIT_MS),
        )
        now = clock.now_ms()
        available_at = self._next_available_at(now)
        if available_at - now > wait_ms or self._has_only_evacuated():
            return None
        choice = None
        line = self.shared.waiting
        ticket = line.join(self._line(), self.priority)
        try:
            with anyio.move_on_after(wait_ms / 1000):
                while choice is None and not self._has_only_evacuated():
                    with anyio.move_on_after(ENDPOINT_POLL_INTERVAL_S):
                        await self.shared.routing_changed.wait()
                    if not line.is_behind(self._line(), ticket):
                        choice = self.balancer.choose(
                            self.ask, (), clock.now_ms()
                        )
        finally:
            line.leave(self._line(), ticket)
            self.shared.notify_routing_change()
        return choice

    def _acquire_retry(self, outcome: Outcome) -> bool:
        """Return whether to try another endpoint.

        A retry takes one unit of the retry budget. It is free where the
        endpoint could not be reached or is at its limit, since nothing
        was sent.
        """
        now = clock.now_ms()
        if self.deadline_at_ms - now < MIN_RETRY_TIME_MS:
            return False
        if isinstance(outcome, NotRun) and outcome.reason in UNSENT_REASONS:
            return True
        may_have_run = not isinstance(outcome, NotRun)
        if may_have_run and not self.route.repeatable:
            return False
        if self._is_last_event_doubtful():
            return False
        if self._quarantined_part() is not None:
            return False
        if self.attempts >= self.max_attempts:
            return False
        if not self._remaining_endpoints(now):
            return False
        return self.shared.retry_budget.try_spend(self.ask.service, now)

    def _remaining_endpoints(self, now: int) -> list[balancer_module.Endpoint]:
        """Return the endpoints that could take the request next."""
        return self.balancer.usable_endpoints(
            self.ask.service, self.tried_endpoints, now, self.ask.version
        )

    def _respond_with_failure(self, outcome: Outcome) -> str:
        """Send the final response after the last failed attempt.

        A response that has begun is aborted, so that the caller sees that
        it is incomplete.

        Returns:
            The outcome to log.
        """
        if self.responder.head_sent:
            if self._has_stream_ended():
                self.responder.finish()
                return "ok"
            self.responder.abort()
            return "broken-off"
        if isinstance(outcome, Failed):
            self._send_buffered(outcome.head, outcome.body)
            return "endpoint-error"
        if isinstance(outcome, NotRun) and not self._may_have_run():
            delay_s = self._retry_after_s(outcome.reason)
            self._send_local_reply(503, outcome.reason, delay_s)
            return outcome.reason
        self._send_local_reply(502, "no-answer", None)
        return "no-answer"

    def _has_stream_ended(self) -> bool:
        """Return whether an endpoint ended the stream after its last event.

        It stays so if no other endpoint could be asked for the rest.
        """
        return self.ended_after == self.event_frames.event_count > 0

    def _retry_after_s(self, reason: str) -> float:
        """Return when the caller may retry a request that has not run."""
        now = clock.now_ms()
        if reason in (QUARANTINED_PART_REASON, QUARANTINED_REQUEST_REASON):
            part = self._quarantined_part()
            if part is not None:
                return self.shared.quarantine.retry_after_s(part, now)
        delay_s = NO_ENDPOINT_RETRY_AFTER_S
        if reason == EVACUATED_REASON:
            delay_s = EVACUATED_RETRY_AFTER_S
        if reason == "rejected":
            delay_s = REJECTED_RETRY_AFTER_S
        available_at = self._next_available_at(now)
        return max(delay_s, (available_at - now) / 1000)

    def _next_available_at(self, now: int) -> int:
        """Return when an endpoint that could take the request is back."""
        return self.balancer.next_available_at(
            self.ask.service, now, self.ask.version
        )

    def _has_only_evacuated(self) -> bool:
        """Return whether evacuations leave no endpoint for the request."""
        return self.balancer.has_only_evacuated(
            self.ask.service, self.ask.version
        )

    def _quarantined_part(self) -> str | None:
        """Return what keeps the request from endpoints, if it is anything.

        This is a prompt part that it holds, or its own fingerprint.
        """
        return self.shared.quarantine.quarantined_part(
            self.suspects, clock.now_ms()
        )

    def _may_have_run(self) -> bool:
        """Return whether an endpoint may have run the request."""
        return self.earlier_may_have_run or any(
            attempt.in_flight for attempt in self.current
        )

    def end(self, reason: str) -> None:
        """End the request now, as if its deadline had passed.

        Args:
            reason: one word for the response and the log.
        """
        self.end_reason = reason
        self.scope.cancel()

    def _respond_after_end(self) -> str:
        """Respond after the scope's end; return the outcome to log."""
        reason = self.end_reason
        if self.responder.head_sent:
            if self._has_stream_ended():
                self.responder.finish()
                return "ok"
            self.responder.abort()
            return f"{reason}-midway"
        if self._may_have_run():
            self._send_local_reply(504, reason, None)
        else:
            self._send_local_reply(503, reason, NO_ENDPOINT_RETRY_AFTER_S)
        return reason

    def _send_local_reply(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        errors.require(
            status not in NOT_RUN_STATUSES or not self._may_have_run(),
            "a request that may have run must not be answered as not run",
            "forward.answer",
        )
        refused = Refused(status, reason, retry_after_s)
        send_local_reply(
            self.shared.dialect, self.call, self.responder, refused
        )

    def _record_outcome(self, outcome: str) -> None:
        """Record the request's final outcome in metrics and the log."""
        metrics.REQUESTS.labels(outcome).inc()
        if self.first_ms >= 0:
            metrics.FIRST_TOKEN_SECONDS.observe(self.first_ms / 1000)
        if self.refusal is not None:
            self._record_refusal(self.refusal)
            return
        events.emit(
            events.FORWARDED,
            request_id=self.call.identifier.decode("latin-1"),
            outcome=outcome,
            route=self.route.name,
            service=self.ask.service,
            customer=self.customer,
            priority=self.priority,
            endpoints=" ".join(self.trail),
            first_ms=self.first_ms,
            took_ms=clock.now_ms() - self.request.started_ms,
            events=self.event_frames.event_count,
            resumes=(self.call.resumed_stream or b"").decode("latin-1"),
            after_event=self.call.last_event_id.decode("latin-1"),
        )

    def _record_refusal(self, refusal: overloadcontrol.Refusal) -> None:
        """Record why there was no room for the request."""
        metrics.OVERLOAD_REFUSALS.labels(
            self.ask.service, str(self.priority), refusal.cause
        ).inc()
        forecast = refusal.forecast
        events.emit(
            events.OVERLOAD_REFUSED,
            request_id=self.call.identifier.decode("latin-1"),
            route=self.route.name,
            service=self.ask.service,
            customer=self.customer,
            priority=self.priority,
            cause=refusal.cause,
            taken=refusal.taken,
            share=refusal.share,
            left=round(forecast.left, 2),
            endpoints=" ".join(self.trail),
            queue=round(forecast.queue),
            places=round(forecast.places),
            wait_ms=round(forecast.wait_ms),
            predicted_ms=round(forecast.first_ms),
            limit_ms=round(forecast.limit_ms),
            measured_ms=round(forecast.measured_ms),
            objective_ms=self.route.objective_ms,
            remaining_ms=self.deadline_at_ms - clock.now_ms(),
            retry_after_ms=round(1000 * refusal.retry_after_s),
            took_ms=clock.now_ms() - self.request.started_ms,
        )

    async def _attempt_and_hedge(
        self, choice: balancer_module.Choice
    ) -> Outcome:
        """Try one endpoint, and a second one if the first one is slow."""
        attempt = self._begin_attempt(choice)
        delay_ms = self._hedge_delay_ms(choice)
        if delay_ms is None:
            outcome = await self._attempt(attempt)
            self._record_attempt(attempt, choice.endpoint.record.id, outcome)
            return outcome
        race = racing.Race(self._attempt, self._plan_hedge)
        await race.run(attempt, delay_ms)
        outcomes = []
        for contestant in self.current:
            outcome = Lost() if contestant.is_lost else contestant.outcome
            outcomes.append(outcome)
            self._record_attempt(
                contestant, contestant.endpoint.record.id, outcome
            )
        if len(self.current) > 1:
            self._record_hedge(race.winner)
        return max(outcomes, key=_weight)

    def _hedge_delay_ms(self, choice: balancer_module.Choice) -> float | None:
        """Return when the request may be hedged, or None if it may not.

        A stream may be hedged before its first event only, since two
        endpoints continue it in different ways.
        """
        hedging = self.shared.hedging
        if (
            hedging is None
            or self.is_hedged
            or not self.route.repeatable
            or self.responder.head_sent
            or self.attempts + 1 >= self.max_attempts
        ):
            return None
        return hedging.delay_ms(self.route.name, choice, clock.now_ms())

    def _plan_hedge(self) -> attempts.Attempt | None:
        """Return the second attempt of a slow request, if it may have one."""
        shared, hedging = self.shared, self.shared.hedging
        if hedging is None:
            return None
        now = clock.now_ms()
        hedge_request = hedging_module.HedgeRequest(
            self.ask,
            self.suspects,
            tuple(self.tried_endpoints),
            self.route.repeatable,
            self.max_attempts - self.attempts,
            self.deadline_at_ms - now,
            bool(shared.waiting.tickets.get(self._line())),
        )
        plan = hedging.plan(
            hedge_request,
            self.balancer,
            shared.quarantine,
            shared.retry_budget,
            now,
        )
        if isinstance(plan, hedging_module.Denied):
            return None
        self.is_hedged = True
        hedge = attempts.Attempt(
            plan, eventframes.EventSplitter(self.event_frames.last_id)
        )
        hedge.is_hedge = True
        self.current = (*self.current, hedge)
        return hedge

    def _record_hedge(self, winner: racing.Contestant | None) -> None:
        """Record how a request with a second attempt ended."""
        first, hedge = self.current
        if winner is hedge:
            metrics.HEDGES_WON.inc()
        answered = next((a for a in self.current if a is winner), None)
        events.emit(
            events.HEDGE_ENDED,
            request_id=self.call.identifier.decode("latin-1"),
            winner=answered.endpoint.record.id if answered else "",
            first=first.endpoint.record.id,
            hedge=hedge.endpoint.record.id,
            took_ms=clock.now_ms() - self.request.started_ms,
        )

    def _claim(self, attempt: attempts.Attempt) -> bool:
        """Return whether the caller's response comes from an attempt."""
        if not attempt.claim():
            return False
        self.event_frames = attempt.event_frames
        return True

    async def _attempt(self, attempt: attempts.Attempt) -> Outcome:
        """Send the request to one endpoint and relay its response."""
        choice = attempt.chosen
        record = choice.endpoint.record
        self.tried_endpoints.append(record.id)
        now = clock.now_ms()
        pool = self.shared.connection_pool(record.address)
        try:
            connection = await pool.acquire(now, self.deadline_at_ms - now)
        except httpclient.EndpointError as exc:
            self.unreachable_count += 1
            self.balancer.record_unreachable(choice.endpoint, clock.now_ms())
            self.shared.record_unreached(record.service, record.id)
            self._emit_endpoint_failure(attempt, str(exc))
            # A partition may refuse connections as well.
            if (
                exc.is_refused
                and not choice.endpoint.is_departing
                and not self.balancer.reachability.is_cut_off(record.service)
            ):
                self._report_ended(choice)
            return NotRun(UNREACHABLE_REASON)
        if attempt.is_lost:
            pool.release(connection)
            return Lost()
        if choice.endpoint.is_departing or self.balancer.is_replaced(
            choice.endpoint
        ):
            pool.release(connection)
            return NotRun(UNREACHABLE_REASON)
        if self.balancer.is_evacuated(choice.endpoint):
            pool.release(connection)
            self.tried_endpoints.remove(record.id)
            return NotRun(EVACUATED_REASON)
        if not self.balancer.limits.take(
            choice.endpoint.incarnation, clock.now_ms()
        ):
            pool.release(connection)
            self.tried_endpoints.remove(record.id)
            return NotRun(RATE_LIMITED_REASON)
        queue = room_module.queue_at(choice, now)
        self.balancer.record_start(choice, self.ask, now)
        attempt.counted_at_ms = now
        self.shared.overload.demand.record_sent(
            self.ask.service, self.priority, now
        )
        try:
            self._send_request(connection, attempt)
            return await self._relay_response(connection, attempt)
        finally:
            self._record_unanswered(attempt)
            if not attempt.has_answer_begun:
                self._report_abandoned(attempt)
            self.balancer.record_finish(
                choice, self.ask, attempt.has_answer_begun
            )
            self._record_times(attempt, queue)
            pool.release(connection)
            if self.shared.waiting.tickets:
                self.shared.notify_routing_change()

    def _record_times(
        self, attempt: attempts.Attempt, queue: room_module.Queue
    ) -> None:
        """Record how long the attempt took, for later decisions.

        Args:
            attempt: the attempt, which has ended.
            queue: what it found at the endpoint when it was sent.
        """
        demand = self.shared.overload.demand
        service, tier, now = self.ask.service, self.priority, clock.now_ms()
        if not attempt.has_answer_begun:
            demand.record_unanswered(service, tier, attempt.counted_at_ms, now)
            return
        first_ms = attempt.answer_began_at_ms - attempt.sent_at_ms
        rest_ms = now - attempt.answer_began_at_ms
        hold_ms = room_module.estimate_hold_ms(
            attempt.chosen,
            queue,
            first_ms,
            rest_ms,
            self.ask.prompt_tokens > 0,
        )
        demand.record_end(service, tier, hold_ms, rest_ms, now)

    def _report_answering(self, attempt: attempts.Attempt) -> None:
        """Report that the endpoint, and no other at its address, answers."""
        self.balancer.cold.record_answer(
            attempt.endpoint.incarnation, clock.now_ms()
        )
        self.shared.quarantine.report_answering(
            attempt.endpoint.incarnation,
            self.shared.true_time.wall_ms_at(attempt.sent_at_ms),
            clock.now_ms(),
        )

    def _report_ended(self, choice: balancer_module.Choice) -> None:
        """Report that the endpoint's process has ended."""
        now = clock.now_ms()
        self.balancer.cold.record_ended(
            choice.endpoint.incarnation, coldstarts.REFUSED, now
        )
        self.shared.quarantine.report_ended(
            choice.endpoint.incarnation,
            self.shared.true_time.wall_ms_at(now),
            now,
        )

    def _report_abandoned(self, attempt: attempts.Attempt) -> None:
        """Report that the request leaves an endpoint that sent nothing.

        One that leaves because another attempt answered it crashes none.
        """
        if (
            attempt.in_flight
            and not attempt.is_lost
            and not attempt.endpoint.is_departing
        ):
            self.shared.quarantine.report_abandoned(
                attempt.endpoint.incarnation,
                self.suspects,
                self._sent_interval(attempt),
                clock.now_ms(),
            )

    def _record_unanswered(self, attempt: attempts.Attempt) -> None:
        """Count an attempt as a failure of an endpoint that stayed silent.

        The endpoint has failed if it sent nothing on any connection since
        the request was sent and the timeout for the first byte has passed.
        That holds for one that lost a race as well: it was silent for as
        long before it was cancelled.
        """
        waited_ms = clock.now_ms() - attempt.sent_at_ms
        silent = attempt.endpoint.last_heard_at < attempt.sent_at_ms
        if attempt.has_answer_begun:
            return
        timed_out = waited_ms > self._first_byte_timeout_ms(attempt.chosen)
        if silent and timed_out:
            self.balancer.record_failure(attempt.endpoint, clock.now_ms())
        if attempt.in_flight and (timed_out or attempt.is_lost):
            self._record_answer_time(waited_ms)

    def _send_request(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
    ) -> None:
        """Send the request on a connection to the chosen endpoint."""
        record = attempt.endpoint.record
        sending = dialect_module.ForwardInfo(
            record.id,
            max(1, self.deadline_at_ms - clock.now_ms()),
            self.customer,
            self.priority,
            attempt.event_frames.last_id,
        )
        headers = self.shared.dialect.endpoint_headers(self.call, sending)
        if attempt.is_hedge:
            self._record_hedge_sent()
        self._send_on(connection, attempt, headers)

    def _record_hedge_sent(self) -> None:
        """Check and record that a second attempt is sent."""
        errors.require(
            self.route.repeatable,
            "a non-repeatable request must not be hedged",
            "forward.hedge",
        )
        first, hedge = self.current
        metrics.HEDGES_SENT.inc()
        events.emit(
            events.HEDGE_SENT,
            request_id=self.call.identifier.decode("latin-1"),
            route=self.route.name,
            first=first.endpoint.record.id,
            hedge=hedge.endpoint.record.id,
            after_ms=self._since(first.sent_at_ms),
        )

    def _send_on(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        headers: list[httpclient.Header],
    ) -> None:
        """Send the request with the given headers on a connection."""
        errors.require(
            self.route.repeatable or not self._may_have_run(),
            "a non-repeatable request must not be sent again",
            "forward.send",
        )
        request = self.request
        lines = [
            b"%s %s HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        lines += [b"%s: %s\r\n" % header for header in headers]
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        correlation_id = httpclient.CorrelationId(
            self.shared.dialect.echo_header, self.call.identifier
        )
        self.attempts += 1
        attempt.in_flight = True
        attempt.sent_at_ms = clock.now_ms()
        connection.send(
            b"".join(lines),
            request.body,
            correlation_id,
            request.method == "HEAD",
        )

    async def _relay_response(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
    ) -> Outcome:
        """Receive a response and relay it to the caller.

        Args:
            connection: the connection on which the request was sent.
            attempt: the attempt that sent it.
        """
        read_timeout_ms = self._first_byte_timeout_ms(attempt.chosen)
        head = await self._receive(connection, attempt, read_timeout_ms)
        if head is None:
            return self._record_broken(attempt, "silent")
        if not isinstance(head, httpclient.ResponseHead):
            self._report_crash(attempt)
            return self._record_broken(attempt, "closed without a response")
        info = self.shared.dialect.read_answer(head)
        self._record_load(attempt.endpoint, info)
        if info.is_leaving:
            self.balancer.record_leaving(attempt.endpoint)
        if not info.address_reassigned:
            self._report_answering(attempt)
            self._record_limit(attempt, info)
        if info.not_run or info.address_reassigned:
            return await self._read_rejection(connection, attempt, info)
        if head.status < 300 and not info.is_authentic:
            return self._record_broken(
                attempt, "successful response without a valid signature"
            )
        is_stream = self.route.kind == routes.STREAM
        if is_stream and head.status < 300:
            return await self._relay_stream(connection, attempt, head)
        return await self._relay_buffered(connection, attempt, head)

    def _first_byte_timeout_ms(self, choice: balancer_module.Choice) -> float:
        """Return the timeout for the first byte of a response.

        The prediction has no penalties in it: they rank endpoints, and an
        endpoint that was chosen in spite of one is no slower to answer.
        """
        objective_timeout_ms = (
            FIRST_BYTE_OBJECTIVE_FRACTION * self.route.objective_ms
        )
        return max(
            objective_timeout_ms,
            FIRST_BYTE_PREDICTION_FACTOR * choice.expected_ms,
        )

    async def _receive(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        read_timeout_ms: float,
    ) -> httpclient.ResponseHead | bytes | httpclient.ResponseEnd | None:
        """Return the next part of a response, or None to fail over.

        After the timeout the request fails over only if it is repeatable
        and another endpoint can take it; otherwise it waits on. A stream
        also waits on while its endpoint responds to other requests, since
        that endpoint is busy rather than stalled.
        """
        while True:
            with anyio.move_on_after(read_timeout_ms / 1000):
                item = await connection.receive()
                self.balancer.record_activity(attempt.endpoint, clock.now_ms())
                if self.balancer.reachability.failed_at:
                    self.shared.record_reached(self.ask.service)
                return item
            silent_ms = clock.now_ms() - attempt.endpoint.last_heard_at
            endpoint_active = (
                silent_ms < ENDPOINT_SILENCE_FRACTION * read_timeout_ms
            )
            if self.route.kind == routes.STREAM and endpoint_active:
                continue
            if not endpoint_active:
                self.shared.record_unreached(
                    self.ask.service, attempt.endpoint.record.id
                )
            if self._can_fail_over():
                return None

    def _can_fail_over(self) -> bool:
        """Return whether another endpoint can take the request now."""
        now = clock.now_ms()
        return (
            self.route.repeatable
            and not self._is_racing()
            and self.attempts < self.max_attempts
            and self.deadline_at_ms - now > MIN_RETRY_TIME_MS
            and bool(self._remaining_endpoints(now))
            and self.shared.retry_budget.allows(self.ask.service, now)
        )

    def _is_racing(self) -> bool:
        """Return whether two attempts are under way."""
        return (
            all(
                attempt.outcome is None and not attempt.is_lost
                for attempt in self.current
            )
            and len(self.current) > 1
        )

    async def _read_rejection(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        info: dialect_module.AnswerInfo,
    ) -> Outcome:
        """Read the rest of a rejection; the request did not run.

        An address that another endpoint has taken over counts as
        unreachable, anything else as an endpoint without capacity.
        """
        attempt.in_flight = False
        if info.address_reassigned:
            self.balancer.record_unreachable(attempt.endpoint, clock.now_ms())
        else:
            self.balancer.record_rejection(
                attempt.endpoint, clock.now_ms(), info.pause_ms
            )
        item: Any = b""
        while not isinstance(item, httpclient.ResponseEnd):
            item = await connection.receive()
        return NotRun("rejected")

    def _record_broken(
        self, attempt: attempts.Attempt, error_text: str
    ) -> Broken | Lost:
        """Record a failure of the endpoint and return the outcome.

        An attempt that lost is broken off by this edge.
        """
        if attempt.is_lost:
            return Lost()
        self.balancer.record_failure(attempt.endpoint, clock.now_ms())
        self._emit_endpoint_failure(attempt, error_text)
        return Broken(error_text)

    def _report_crash(self, attempt: attempts.Attempt) -> None:
        """Report that the endpoint closed its connection during a request.

        An answer that has gone on for some time is not what crashed it,
        and an endpoint that is leaving may close its connections.
        """
        if not attempt.is_lost and not attempt.endpoint.is_departing:
            self.balancer.cold.record_break(
                attempt.endpoint.incarnation, clock.now_ms()
            )
        answering_ms = self._since(attempt.answer_began_at_ms)
        if (
            not attempt.is_lost
            and not attempt.endpoint.is_departing
            and answering_ms < quarantine_module.SOUND_ANSWER_MS
        ):
            self.shared.quarantine.report_crash(
                attempt.endpoint.incarnation,
                self.suspects,
                self._sent_interval(attempt),
                clock.now_ms(),
            )

    def _sent_interval(
        self, attempt: attempts.Attempt
    ) -> quarantine_module.Interval:
        """Return when an attempt was sent and until when it is."""
        true_time = self.shared.true_time
        return quarantine_module.Interval(
            true_time.wall_ms_at(attempt.sent_at_ms),
            true_time.wall_ms_at(clock.now_ms()),
        )

    def _report_sound(self) -> None:
        """Report that the endpoint answers or has answered the request."""
        self.shared.quarantine.report_sound(self.suspects, clock.now_ms())

    def _emit_endpoint_failure(
        self, attempt: attempts.Attempt, error_text: str
    ) -> None:
        events.emit(
            events.ENDPOINT_FAILED,
            request_id=self.call.identifier.decode("latin-1"),
            endpoint=attempt.endpoint.record.id,
            address=attempt.endpoint.record.address,
            error=error_text,
            failures=attempt.endpoint.consecutive_failures,
            parts=" ".join(self.part_ids),
            fingerprint=self.fingerprint,
            sent_ms=self._since(attempt.sent_at_ms),
            answering_ms=self._since(attempt.answer_began_at_ms),
            inflight=attempt.endpoint.inflight,
            inflight_tokens=attempt.endpoint.inflight_tokens,
        )

    def _since(self, began_at_ms: int) -> int:
        """Return the time in ms since a moment, -1 if it has not come."""
        return clock.now_ms() - began_at_ms if began_at_ms >= 0 else -1

    def _record_load(
        self,
        endpoint: balancer_module.Endpoint,
        info: dialect_module.AnswerInfo,
    ) -> None:
        if info.malformed_load:
            self._report_malformed_load(endpoint, info.malformed_load)
        if info.running >= 0:
            reported_load = balancer_module.ReportedLoad(
                info.running,
                info.waiting,
                info.slots,
                clock.now_ms(),
                info.pace,
            )
            self.balancer.record_reported_load(endpoint, reported_load)

    def _report_malformed_load(
        self, endpoint: balancer_module.Endpoint, value: str
    ) -> None:
        """Log a malformed load report, unless that was just done."""
        limit = self.shared.malformed_loads
        left_out = limit.take(endpoint.record.id, clock.now_ms())
        if left_out is not None:
            events.emit(
                events.LOAD_MALFORMED,
                endpoint=endpoint.record.id,
                value=value,
                left_out=left_out,
            )

    def _record_limit(
        self,
        attempt: attempts.Attempt,
        info: dialect_module.AnswerInfo,
    ) -> None:
        """Record the rate limit that an answer names, or that it has none."""
        if info.malformed_limit:
            events.emit(
                events.LIMIT_MALFORMED,
                endpoint=attempt.endpoint.record.id,
                value=info.malformed_limit,
            )
            return
        true_time = self.shared.true_time
        self.balancer.limits.record_answer(
            attempt.endpoint.incarnation,
            info.limit_per_s,
            true_time.wall_ms_at(attempt.sent_at_ms),
            true_time.wall_ms_at(clock.now_ms()),
        )

    def _record_first_byte(
        self,
        attempt: attempts.Attempt,
        began_at_ms: int,
        is_error: bool = False,
    ) -> None:
        """Record the first byte of a response and count the request.

        The request is counted once for its customer, however often it is
        sent.

        Args:
            attempt: the attempt that is answered.
            began_at_ms: the time by which the request is counted.
            is_error: whether it is answered with a server error.
        """
        now = clock.now_ms()
        if not attempt.has_answer_begun:
            attempt.answer_began_at_ms = now
            first_byte_latency_ms = now - attempt.sent_at_ms
            self.balancer.record_first_byte(
                attempt.chosen, self.ask, first_byte_latency_ms
            )
            self.shared.overload.demand.record_first(
                self.ask.service, self.priority, attempt.counted_at_ms, now
            )
            if not is_error:
                self._record_answer_time(first_byte_latency_ms)
        if self.first_ms < 0:
            self.first_ms = now - self.request.started_ms
        if self.usage_counted or not self.customer:
            return
        self.usage_counted = True
        shared = self.shared
        counted_at = shared.true_time.wall_ms_at(began_at_ms)
        shared.meter.count_request(self.customer, counted_at)

    def _record_answer_time(self, took_ms: int) -> None:
        """Record the time to the first byte, by which others are slow."""
        hedging = self.shared.hedging
        if hedging is not None:
            hedging.record_time(
                self.route.name, self.ask.service, took_ms, clock.now_ms()
            )

    async def _relay_buffered(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        head: httpclient.ResponseHead,
    ) -> Outcome:
        """Buffer a response and relay it once it is complete."""
        self._record_first_byte(
            attempt, attempt.sent_at_ms, head.status >= 500
        )
        body, ending = await self._read_body(connection, attempt, head)
        if ending is httpclient.ResponseEnd.BROKEN:
            self._report_crash(attempt)
            broken = self._record_broken(attempt, "response incomplete")
            return broken if body is not None else Passed(head.status)
        if body is None:
            self._report_sound()
            return Passed(head.status)
        self._report_sound()
        if self.responder.head_sent:
            error_text = f"status {head.status} in the middle of a stream"
            return self._record_broken(attempt, error_text)
        if head.status >= 500:
            self.balancer.record_error_answer(attempt.endpoint)
            return Failed(head, body)
        if not self._claim(attempt):
            return Lost()
        self._send_buffered(head, body)
        return Passed(head.status)

    async def _read_body(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        head: httpclient.ResponseHead,
    ) -> tuple[bytes | None, Any]:
        """Read the body of a response, and how the response ended.

        A large one is relayed as it arrives, and the body is then None. In
        the middle of a stream no other response is sent, nor kept.
        """
        parts: list[bytes] = []
        size = 0
        item = await connection.receive()
        while isinstance(item, bytes):
            if not self.responder.head_sent:
                parts.append(item)
                size += len(item)
                self.responder.hold(len(item))
            if size > MAX_BUFFERED_RESPONSE_BYTES and self._claim(attempt):
                return None, await self._relay_unbuffered(
                    connection, attempt, head, parts
                )
            item = await connection.receive()
        return b"".join(parts), await self._check_end(
            connection, attempt, item
        )

    async def _check_end(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        ending: Any,
    ) -> Any:
        """Return how a response ended, by what its endpoint does since.

        One without a length or chunks ends with its connection, and the
        kernel closes that of a process that has ended just as well.
        """
        if (
            ending is not httpclient.ResponseEnd.COMPLETE
            or not connection.ends_at_close
            or attempt.choice is None
        ):
            return ending
        pool = self.shared.connection_pool(attempt.endpoint.record.address)
        if await pool.is_process_running():
            return ending
        return httpclient.ResponseEnd.BROKEN

    def _send_buffered(
        self, head: httpclient.ResponseHead, body: bytes
    ) -> None:
        headers = self.shared.dialect.returned_headers(head)
        length = len(body)
        if self.request.method == "HEAD" and head.length is not None:
            length = head.length
        self.responder.send_head(head.status, headers, length)
        if self.request.method != "HEAD":
            self.responder.connection.write(body)
        self.responder.finish()

    async def _relay_unbuffered(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        head: httpclient.ResponseHead,
        parts: list[bytes],
    ) -> httpclient.ResponseEnd:
        """Relay a response that is too large to buffer; return its end.

        Args:
            connection: where the rest of the body comes from.
            attempt: the attempt that is answered.
            head: the head of the response.
            parts: the part of the body received so far.
        """
        headers = self.shared.dialect.returned_headers(head)
        self.responder.send_head(head.status, headers, head.length)
        await self.responder.write(b"".join(parts))
        item = await connection.receive()
        while isinstance(item, bytes):
            await self.responder.write(item)
            item = await connection.receive()
        ending = await self._check_end(connection, attempt, item)
        if ending is httpclient.ResponseEnd.BROKEN:
            self.responder.abort()
        else:
            self.responder.finish()
        return ending

    async def _relay_stream(
        self,
        connection: httpclient.EndpointConnection,
        attempt: attempts.Attempt,
        head: httpclient.ResponseHead,
    ) -> Outcome:
        """Relay a stream in whole events as they arrive.

        The head is sent with the first event, so that a stream without an
        event yet can fail over unnoticed.
        """
        read_timeout_ms = max(
            STREAM_GAP_FRACTION * self.route.gap_ms, MIN_STREAM_GAP_TIMEOUT_MS
        )
        event_timeout_ms = max(
            EVENT_GAP_FACTOR * self.route.gap_ms, MIN_EVENT_TIMEOUT_MS
        )
        item = await self._receive(connection, attempt, read_timeout_ms)
        last_event_ms = clock.now_ms()
        sound_at_ms = last_event_ms + quarantine_module.SOUND_ANSWER_MS
        while isinstance(item, bytes):
            if self.balancer.is_replaced(attempt.endpoint):
                # Which version wrote this is not known. The splitter must
                # not count events that are not passed on.
                return self._record_broken(attempt, "endpoint replaced")
            complete_events, event_error = self._split_events(
                attempt.event_frames, item, attempt.endpoint.record.id
            )
            if complete_events:
                if not self._claim(attempt):
                    return Lost()
                self.end_check_scope.deadline = math.inf
                self._bind_stream(attempt.endpoint)
                self._record_first_byte(attempt, clock.now_ms())
                self._ensure_head_sent(head)
                await self.responder.write(complete_events)
                last_event_ms = clock.now_ms()
                if last_event_ms >= sound_at_ms:
                    self._report_sound()
                    sound_at_ms = last_event_ms + SOUND_REPORT_PERIOD_MS
            if event_error is not None:
                return self._record_broken(attempt, str(event_error))
            if not complete_events and (
                clock.now_ms() - last_event_ms > event_timeout_ms
                and self._can_fail_over()
            ):
                item = None
                break
            item = await self._receive(connection, attempt, read_timeout_ms)
        item = await self._check_end(connection, attempt, item)
        if (
            item is httpclient.ResponseEnd.COMPLETE
            and attempt.event_frames.is_at_event_boundary
        ):
            if not self._claim(attempt):
                return Lost()
            self._report_sound()
            if connection.ends_at_close and self._can_fail_over():
                # Another endpoint knows if an event is missing at the end.
                self.ended_after = self.event_frames.event_count
                return Broken("ended with its connection")
            self._record_numbering(attempt.event_frames)
            self._ensure_head_sent(head)
            self.responder.finish()
            return Passed(head.status)
        if item is httpclient.ResponseEnd.BROKEN:
            self._report_crash(attempt)
        error_text = "stream incomplete" if item else "stream stalled"
        return self._record_broken(attempt, error_text)

    def _ensure_head_sent(self, head: httpclient.ResponseHead) -> None:
        """Send the head of a stream unless an earlier attempt has sent it."""
        if not self.responder.head_sent:
            headers = self.shared.dialect.returned_headers(head)
            self.responder.send_head(head.status, headers, None)


__all__ = [
    "ForwardedRequest",
    "Refused",
    "SharedResources",
    "send_local_reply",
]
