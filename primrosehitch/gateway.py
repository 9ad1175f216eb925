"""HTTP gateway that serves callers' model and service requests.

``Gateway`` authenticates a request, checks its limits and forwards it to
an endpoint through ``relay.RequestRelay``. Each request runs in a task of
its own; all of them share one ``Gateway`` on one event loop.
"""

import json
from typing import Any
from typing import NamedTuple
import uuid

import anyio
import xxhash

from primrosehitch import burn as burn_module
from primrosehitch import catalog as catalog_module
from primrosehitch import claims as claims_module
from primrosehitch import clock
from primrosehitch import directory as directory_module
from primrosehitch import dispatcher as dispatcher_module
from primrosehitch import events
from primrosehitch import fairqueue
from primrosehitch import headers as headers_module
from primrosehitch import metrics
from primrosehitch import outcomes
from primrosehitch import readiness as readiness_module
from primrosehitch import relay as relay_module
from primrosehitch import retry as retry_module
from primrosehitch import settings as settings_module
from primrosehitch import upstream as upstream_module
from primrosehitch import usage as usage_module
from primrosehitch import web

# Customer of requests without a key on routes that need none.
OPEN_ROUTE_CUSTOMER = "open"
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
# Estimates the prompt's size; no tokenizer runs here.
CHARS_PER_TOKEN = 4
# For requests without max_tokens, if their model declares no default.
DEFAULT_OUTPUT_TOKENS = 256
# Prompts are hashed in blocks of this size for prefix-cache affinity.
PREFIX_BLOCK_CHARS = 1024
MAX_PREFIX_BLOCKS = 32
# An engine that sends no byte for this long has failed.
ENGINE_IDLE_TIMEOUT_S = 15.0
# Longest request identifier or idempotency key that is accepted.
MAX_ID_CHARS = 128


class Caller(NamedTuple):
    """An authenticated caller.

    Attributes:
        key: the API key, empty on routes that need none.
        key_hash: hash of the key that was sent, empty if a route needs
            no key and the one that was sent is unknown.
        grant: the customer's grant for the class.
        service_class: the class of the request.
    """

    key: str
    key_hash: str
    grant: catalog_module.Grant
    service_class: catalog_module.ServiceClass


class Gateway:
    """Serves callers' requests.

    Args:
        settings: the instance's settings.
        catalog: the configuration in force.
        directory: the known endpoints.
        dispatcher: admits requests and assigns endpoints to them.
        readiness: whether this gateway may serve requests now.
        claims: claims for non-repeatable requests.
        meter: counts usage for billing.

    Attributes:
        upstream: the client for requests to endpoints.
        retry_budget: limits the retries of all requests.
        burn: counts ended requests for the service level objectives.
        exchanges_by_key: running requests by the hash of their key.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        catalog: catalog_module.Catalog,
        directory: directory_module.Directory,
        dispatcher: dispatcher_module.Dispatcher,
        readiness: readiness_module.Readiness,
        claims: claims_module.Claims,
        meter: usage_module.UsageMeter,
    ):
        self.settings = settings
        self.catalog = catalog
        self.directory = directory
        self.dispatcher = dispatcher
        self.readiness = readiness
        self.claims = claims
        self.meter = meter
        self.upstream = upstream_module.UpstreamClient()
        self.retry_budget = retry_module.RetryBudget()
        self.burn = burn_module.ServiceLevelRecorder()
        self.exchanges_by_key: dict[str, set[relay_module.Exchange]] = {}

    async def serve(self, call: web.Call) -> None:
        """Serve a caller's request, up to its log line and metrics."""
        exchange = relay_module.Exchange(call, clock.now_ms())
        try:
            await self._serve_path(exchange)
        except web.RefusedError as exc:
            exchange.refusal = exc.refusal
        except web.CallerGoneError:
            exchange.outcome = "gone"
        except Exception as exc:
            events.emit(events.TASK_FAILED, task="request", error=repr(exc))
            exchange.refusal = _internal_refusal(exchange)
        if exchange.refusal is not None:
            await relay_module.send_refusal(exchange)
        self._report_request(exchange)

    async def _serve_path(self, exchange: relay_module.Exchange) -> None:
        path = exchange.call.path
        if path in MODEL_PATHS:
            await self._serve_model(exchange)
        elif path.startswith(SERVICE_PREFIX):
            await self._serve_service(exchange)
        else:
            raise web.RefusedError(
                web.bad_input("no-such-path", f"path {path} not found", 404)
            )

    async def list_models(self, call: web.Call) -> None:
        """Respond with the names of all declared models."""
        names = sorted(self.catalog.items["model"])
        items = [{"id": n, "object": "model"} for n in names]
        await web.answer_json(call, 200, {"object": "list", "data": items})

    def cancel_withdrawn_keys(self, key_hashes: list[str]) -> None:
        """Cancel the running requests of withdrawn keys.

        A non-repeatable request that was sent runs to its end, and its
        caller gets a refusal instead of the response.

        Args:
            key_hashes: hashes of the withdrawn keys.
        """
        refusal = _unauthorised_refusal("the API key was withdrawn")
        for key_hash in key_hashes:
            for exchange in list(self.exchanges_by_key.get(key_hash, ())):
                exchange.cancel_withdrawn(refusal)

    async def _serve_model(self, exchange: relay_module.Exchange) -> None:
        call = exchange.call
        self._check_method(call, "POST")
        self._check_ready()
        caller = self._authenticate(call, call.header(b"x-class"))
        body = await web.read_body(call, self.settings.max_body_bytes)
        self._check_key_not_exposed(call, caller.key, body)
        document = web.parse_json(body)
        model = document.get("model")
        if (
            not isinstance(model, str)
            or model not in self.catalog.items["model"]
        ):
            raise web.RefusedError(
                web.bad_input(
                    "unknown-model", f"model {model!r} is not declared", 404
                )
            )
        ticket = self._new_model_ticket(exchange, caller, document, model)
        exchange.streaming = document.get("stream") is True
        request = upstream_module.EndpointRequest(
            "POST",
            "",
            call.path,
            self._endpoint_headers(call, caller),
            body,
            ENGINE_IDLE_TIMEOUT_S,
        )
        routed = relay_module.RoutedRequest(model, request, True, True)
        await self._run(exchange, caller, ticket, routed)

    def _new_model_ticket(
        self,
        exchange: relay_module.Exchange,
        caller: Caller,
        document: dict[str, Any],
        model: str,
    ) -> fairqueue.Ticket:
        text = prompt_text(document)
        max_output_tokens = document.get("max_tokens")
        if not isinstance(max_output_tokens, int) or max_output_tokens < 1:
            spec = self.catalog.items["model"][model]
            max_output_tokens = spec.get(
                "default_output_tokens", DEFAULT_OUTPUT_TOKENS
            )
        prompt_tokens = 1 + len(text) // CHARS_PER_TOKEN
        ticket = _new_ticket(
            exchange, caller, float(prompt_tokens + max_output_tokens)
        )
        ticket.prompt_tokens = prompt_tokens
        ticket.prefixes = prefix_hashes(text)
        return ticket

    async def _serve_service(self, exchange: relay_module.Exchange) -> None:
        call = exchange.call
        name, _, subpath = call.path[len(SERVICE_PREFIX) :].partition("/")
        route = self.catalog.items["route"].get(name)
        self._check_ready()
        if route is None:
            raise web.RefusedError(
                web.bad_input(
                    "unknown-route", f"route {name!r} is not declared", 404
                )
            )
        caller = self._authenticate_for_route(call, route)
        body = await web.read_body(call, self.settings.max_body_bytes)
        self._check_key_not_exposed(call, caller.key, body)
        ticket = _new_ticket(exchange, caller, 1.0)
        path = "/" + name + ("/" + subpath if subpath else "")
        target = upstream_module.request_target(path, call.query)
        request = upstream_module.EndpointRequest(
            call.method,
            "",
            target,
            self._endpoint_headers(call, caller),
            body,
            route.timeout_ms / 1000,
        )
        routed = relay_module.RoutedRequest(
            route.service, request, route.repeatable, False
        )
        if route.repeatable or call.method in ("GET", "HEAD"):
            routed = routed._replace(repeatable=True)
            await self._run(exchange, caller, ticket, routed)
        else:
            await self._run_claimed(exchange, caller, ticket, routed)

    async def _run_claimed(
        self,
        exchange: relay_module.Exchange,
        caller: Caller,
        ticket: fairqueue.Ticket,
        routed: relay_module.RoutedRequest,
    ) -> None:
        content = b"\0".join(
            (
                routed.request.method.encode(),
                routed.request.target.encode(),
                routed.request.body,
            )
        )
        key = exchange.call.header(b"idempotency-key")
        if len(key) > MAX_ID_CHARS:
            raise web.RefusedError(
                web.bad_input(
                    "bad-idempotency-key", "the idempotency key is too long"
                )
            )
        if not key:
            # With a key the call may have an outcome, which needs no endpoint.
            self._check_available(routed.pool)
        claim = await self.claims.acquire(caller.grant.customer, key, content)
        if not self.claims.is_granted_here(claim):
            await relay_module.replay_outcome(exchange, claim)
            return
        claim_id = claim.claim_id
        with anyio.CancelScope(shield=True):
            try:
                await self._run(exchange, caller, ticket, routed)
            finally:
                if not exchange.sent:
                    self.claims.release(claim_id)
                elif exchange.buffered is None:
                    self.claims.record_unknown_outcome(claim_id)
                else:
                    self._record_outcome(claim_id, exchange.buffered)

    def _record_outcome(
        self, claim_id: str, response: upstream_module.BufferedResponse
    ) -> None:
        content_type = b""
        for name, value in response.headers:
            if name.lower() == b"content-type":
                content_type = value
        self.claims.record_outcome(
            claim_id,
            response.status,
            content_type.decode("latin-1"),
            response.body,
        )

    async def _run(
        self,
        exchange: relay_module.Exchange,
        caller: Caller,
        ticket: fairqueue.Ticket,
        routed: relay_module.RoutedRequest,
    ) -> None:
        self._check_available(routed.pool)
        now = clock.now_ms()
        refusal = self.dispatcher.limits.admit(caller.grant, now)
        if refusal is not None:
            raise web.RefusedError(refusal)
        exchange.ticket = ticket
        exchanges = self.exchanges_by_key.setdefault(caller.key_hash, set())
        exchanges.add(exchange)
        relay = relay_module.RequestRelay(self, exchange, ticket, routed)
        try:
            if self.catalog.find_key(caller.key_hash) or not caller.key:
                await relay.run()
            else:
                raise web.RefusedError(
                    _unauthorised_refusal("the API key was withdrawn")
                )
        finally:
            exchanges.discard(exchange)
            if not exchanges:
                self.exchanges_by_key.pop(caller.key_hash, None)
            self._record_end(exchange, caller, ticket, routed)

    def _record_end(
        self,
        exchange: relay_module.Exchange,
        caller: Caller,
        ticket: fairqueue.Ticket,
        routed: relay_module.RoutedRequest,
    ) -> None:
        tokens = exchange.prompt_tokens + exchange.output_tokens
        now = clock.now_ms()
        self.dispatcher.limits.finish(caller.grant, tokens, now)
        admission = self.dispatcher.admissions.get(routed.pool)
        if admission is not None and exchange.admitted:
            admission.correct_charge(ticket, float(max(1, tokens)))
        if exchange.delivered:
            window = usage_module.window_number(
                clock.wall_s(), self.settings.usage_window_s
            )
            self.meter.count_request(
                usage_module.RequestUsage(
                    caller.grant.customer,
                    caller.grant.class_name,
                    exchange.prompt_tokens,
                    exchange.output_tokens,
                ),
                window,
            )

    def _check_available(self, pool: str) -> None:
        if self.dispatcher.router.has_ready_endpoint(pool):
            return
        raise web.RefusedError(
            outcomes.not_run(
                "no-endpoint",
                f"no endpoint is available for {pool}",
                "routing",
                503,
                dispatcher_module.NO_ENDPOINT_RETRY_AFTER_S,
            )
        )

    def _check_ready(self) -> None:
        refusal = self.readiness.refusal(clock.now_ms())
        if refusal is not None:
            raise web.RefusedError(refusal)

    def _check_method(self, call: web.Call, method: str) -> None:
        if call.method != method:
            raise web.RefusedError(
                web.bad_input(
                    "bad-method", f"this path accepts only {method}", 405
                )
            )

    def _authenticate(self, call: web.Call, class_name: str) -> Caller:
        key = headers_module.extract_key(call.headers)
        if not key:
            raise web.RefusedError(
                _unauthorised_refusal("the request has no API key")
            )
        key_hash = settings_module.hash_key(key)
        key_record = self.catalog.find_key(key_hash)
        if key_record is None:
            raise web.RefusedError(
                _unauthorised_refusal("the API key is unknown")
            )
        grant = self.catalog.find_grant(key_record.customer, class_name)
        if grant is None:
            raise web.RefusedError(
                web.bad_input(
                    "class-not-granted",
                    f"class {class_name!r} is not granted to this customer",
                    403,
                )
            )
        class_spec = self.catalog.items["class"][grant.class_name]
        return Caller(key, key_hash, grant, class_spec)

    def _authenticate_for_route(
        self, call: web.Call, route: catalog_module.Route
    ) -> Caller:
        if not route.open:
            return self._authenticate(call, route.class_name)
        class_spec = self.catalog.items["class"][route.class_name]
        grant = catalog_module.Grant(
            OPEN_ROUTE_CUSTOMER, route.class_name, 1.0, 0.0, 0, 0.0
        )
        key = headers_module.extract_key(call.headers)
        key_hash = settings_module.hash_key(key)
        if key and self.catalog.find_key(key_hash) is None:
            key_hash = ""
        return Caller("", key_hash, grant, class_spec)

    def _check_key_not_exposed(
        self, call: web.Call, key: str, body: bytes
    ) -> None:
        sent = key or headers_module.extract_key(call.headers)
        places = (call.path.encode(), call.query)
        found = any(headers_module.contains_key(p, sent) for p in places)
        if sent and (found or sent.encode() in body):
            raise web.RefusedError(
                web.bad_input(
                    "key-in-request",
                    "the path, the query or the body contains the API key",
                )
            )

    def _endpoint_headers(
        self, call: web.Call, caller: Caller
    ) -> list[headers_module.Header]:
        key = caller.key or headers_module.extract_key(call.headers)
        headers = headers_module.filter_request_headers(call.headers, key)
        headers.append((b"x-request-id", call.request_id.encode()))
        return headers

    def _report_request(self, exchange: relay_module.Exchange) -> None:
        outcome = exchange.final_outcome()
        if outcome not in ("ok", "replayed", "endpoint-error"):
            exchange.wasted_tokens = exchange.output_tokens
        ticket = exchange.ticket
        metrics.REQUESTS.labels(outcome).inc()
        if exchange.first_byte_ms >= 0:
            metrics.FIRST_TOKEN_SECONDS.observe(exchange.first_byte_ms / 1000)
        metrics.OUTPUT_TOKENS.inc(exchange.output_tokens)
        fields = {"request_id": exchange.call.request_id, "outcome": outcome}
        if ticket is not None:
            fields["customer"] = ticket.customer
            fields["class"] = ticket.service_class.name
            self._record_burn(exchange, ticket, outcome)
        if exchange.refusal is None:
            events.emit(
                events.REQUEST,
                endpoint=exchange.endpoint,
                first_ms=exchange.first_byte_ms,
                tokens=exchange.output_tokens,
                **fields,
            )
        else:
            fields["reason"] = exchange.refusal.reason
            events.emit(events.REQUEST_REFUSED, **fields)

    def _record_burn(
        self,
        exchange: relay_module.Exchange,
        ticket: fairqueue.Ticket,
        outcome: str,
    ) -> None:
        if outcome in ("gone", "withdrawn"):
            return
        ended = burn_module.Ended(
            customer=ticket.customer,
            class_name=ticket.service_class.name,
            outcome=outcome,
            first_token_ms=exchange.first_byte_ms,
            token_gap_ms=exchange.mean_token_gap_ms(),
            output_tokens=exchange.output_tokens,
            wasted_tokens=exchange.wasted_tokens,
        )
        self.burn.record(ended, ticket.service_class, clock.wall_s())


def _new_ticket(
    exchange: relay_module.Exchange, caller: Caller, estimate: float
) -> fairqueue.Ticket:
    return fairqueue.Ticket(
        exchange.call.request_id,
        caller.service_class,
        caller.grant.customer,
        caller.grant.weight,
        estimate,
        exchange.started_ms,
    )


def new_request_id(headers: list[headers_module.Header]) -> str:
    """Return a unique identifier for a request.

    A caller's own identifier becomes its first part if it has at most
    ``MAX_ID_CHARS`` ASCII letters, digits, hyphens and underscores.

    Args:
        headers: the caller's headers, with names in lower case.
    """
    for name, value in headers:
        if name == b"x-request-id":
            text = value.decode("latin-1")
            clean = text.replace("-", "").replace("_", "")
            short = len(text) <= MAX_ID_CHARS
            if short and clean.isascii() and clean.isalnum():
                return f"{text}.{uuid.uuid4().hex[:8]}"
    return uuid.uuid4().hex


def prompt_text(document: dict[str, Any]) -> str:
    """Return a request's prompt, or its messages joined by newlines."""
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list):
        return ""
    parts = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else ""
        if not isinstance(content, str):
            content = json.dumps(content)
        parts.append(content)
    return "\n".join(parts)


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return a hash of each leading part of a prompt, shortest first.

    The parts end at multiples of ``PREFIX_BLOCK_CHARS``; at most
    ``MAX_PREFIX_BLOCKS`` of them are hashed.
    """
    state = xxhash.xxh64()
    hashes = []
    block_count = min(len(text) // PREFIX_BLOCK_CHARS, MAX_PREFIX_BLOCKS)
    for i in range(block_count):
        block = text[i * PREFIX_BLOCK_CHARS : (i + 1) * PREFIX_BLOCK_CHARS]
        state.update(block.encode("utf-8", "replace"))
        hashes.append(state.hexdigest())
    return tuple(hashes)


def _internal_refusal(exchange: relay_module.Exchange) -> outcomes.Refusal:
    tag = "not-run"
    if exchange.sent:
        tag = "incomplete" if exchange.repeatable else "unknown"
    return outcomes.Refusal(
        tag, "internal", "internal error of the gateway", "gateway", 500
    )


def _unauthorised_refusal(message: str) -> outcomes.Refusal:
    return outcomes.not_run("unauthorised", message, "keys", 401)


__all__ = ["Gateway", "prefix_hashes", "prompt_text", "new_request_id"]
