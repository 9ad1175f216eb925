"""Entry point of callers' requests on an edge.

``Forwarder`` matches each request to a route and authenticates its
customer. It then forwards the request, or refuses it with a local reply.
"""

import hmac
import random

import anyio

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import clock
from primrosehitch import controlcontact
from primrosehitch import dialect as dialect_module
from primrosehitch import eventnumbering
from primrosehitch import events
from primrosehitch import hedging as hedging_module
from primrosehitch import helpers as helpers_module
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import linelimit
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import overloadcontrol
from primrosehitch import quarantine as quarantine_module
from primrosehitch import room as room_module
from primrosehitch import routes
from primrosehitch import settings as settings_module
from primrosehitch import streamorigins
from primrosehitch import truetime as truetime_module
from primrosehitch import waiting
from primrosehitch.forwarding import ForwardedRequest
from primrosehitch.forwarding import Refused
from primrosehitch.forwarding import send_local_reply

# Retry-After of an edge that has no route table yet, or one that no control
# instance has confirmed lately, in seconds.
NO_TABLE_RETRY_AFTER_S = 0.5
# An edge that has just started receives its route table within this time,
# unless no control instance can be reached.
FIRST_TABLE_WAIT_MS = 900
# A malformed load report of an endpoint is logged once in this time.
MALFORMED_LOAD_PERIOD_MS = 10_000


class Forwarder:
    """Forwards the requests of one edge.

    Args:
        dialect: encodes and decodes the callers' and endpoints' protocol.
        balancer: chooses endpoints.
        retry_budget: bounds retries.
        meter: counts requests by customer for usage reports.
        true_time: the clock by which requests are counted.
        gate: admission control.
        quarantine: prompt parts that are kept from endpoints.
        origins: which software version began each stream.
        rng: picks a service of a route by weight.
        helpers: edges that forward requests for this one.
        contact: when the route table was last confirmed.
        hedging: decides on second attempts, None if there are none.

    Attributes:
        table: the route table in force, None until the first one arrives.
        routing_changed: set when the table or an endpoint changes, then
            replaced by a new event.
        pools: connection pools by endpoint address.
        active: the requests under way.
        ended: whether ``end_requests`` was called.
        waiting: the requests that wait for an endpoint.
        edge_token: by which requests of other edges are known.
        overload: refuses requests for which there is no room in time.
        numbering: how endpoints number the events of their streams.
        malformed_loads: limits the log lines on malformed load reports.
    """

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        balancer: balancer_module.Balancer,
        retry_budget: budget_module.SharedRetryBudget,
        meter: metering.WindowMeter,
        true_time: truetime_module.TrueTime,
        gate: overload.AdmissionGate,
        quarantine: quarantine_module.Quarantine,
        origins: streamorigins.StreamOrigins,
        rng: random.Random,
        helpers: helpers_module.HelperDirectory,
        contact: controlcontact.ControlContact,
        hedging: hedging_module.Hedging | None = None,
    ):
        self.dialect = dialect
        self.balancer = balancer
        self.retry_budget = retry_budget
        self.meter = meter
        self.true_time = true_time
        self.gate = gate
        self.quarantine = quarantine
        self.origins = origins
        self.rng = rng
        self.table: routes.RouteTable | None = None
        self.routing_changed = anyio.Event()
        self.pools: dict[str, httpclient.ConnectionPool] = {}
        balancer.has_kept_connection = self.has_kept_connection
        self.active: set[ForwardedRequest] = set()
        self.ended = False
        self.helpers = helpers
        self.contact = contact
        self.hedging = hedging
        self.waiting = waiting.WaitingLine()
        self.overload = overloadcontrol.OverloadControl(
            rng, self._measure_room
        )
        self.overload.on_scarcity = self._report_scarcity
        self.numbering = eventnumbering.NumberingRecord(_report_numbering)
        self.malformed_loads = linelimit.LineLimit(MALFORMED_LOAD_PERIOD_MS)
        self.edge_token = helpers_module.make_token()

    async def serve(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Handle one request of a caller.

        A request that arrives before the first route table waits for it.
        """
        call = self.dialect.read_call(request)
        if self.table is None:
            with anyio.move_on_after(FIRST_TABLE_WAIT_MS / 1000):
                while self.table is None and not self.ended:
                    await self.routing_changed.wait()
        decision = self._match_request(request, call)
        if isinstance(decision, Refused):
            self.refuse(call, responder, decision)
            return
        forwarded = ForwardedRequest(self, request, responder, call, decision)
        self.active.add(forwarded)
        try:
            await forwarded.run()
        finally:
            self.active.discard(forwarded)

    def end_requests(self, reason: str) -> None:
        """End all requests under way, each with a response of its own.

        A response that has begun is aborted. The others say whether an
        endpoint may have run the request.

        Args:
            reason: one word for the responses and the log.
        """
        self.ended = True
        self.notify_routing_change()
        for forwarded in self.active:
            forwarded.end(reason)

    def is_from_edge(self, call: dialect_module.CallInfo) -> bool:
        """Return whether another edge sends a request for its caller."""
        return hmac.compare_digest(call.edge_token, self.edge_token.encode())

    def record_unreached(self, service: str, endpoint: str) -> None:
        """Record that an endpoint was not reached or did not answer."""
        now = clock.now_ms()
        reachability = self.balancer.reachability
        if reachability.record_failure(service, endpoint, now):
            events.emit(
                events.CUT_OFF,
                service=service,
                endpoints=" ".join(reachability.failed_at[service]),
            )
            self.notify_routing_change()

    def record_reached(self, service: str) -> None:
        """Record that an endpoint was heard, or a connection to it opened."""
        now = clock.now_ms()
        cut_since = self.balancer.reachability.record_heard(service, now)
        if cut_since >= 0:
            self.balancer.end_ejections(service)
            events.emit(
                events.CUT_ENDED,
                service=service,
                after_ms=now - cut_since,
            )

    def notify_routing_change(self) -> None:
        """Wake the requests that wait for a route table or an endpoint."""
        event, self.routing_changed = self.routing_changed, anyio.Event()
        event.set()

    def _match_request(
        self, request: httpserver.Request, call: dialect_module.CallInfo
    ) -> routes.RoutingDecision | Refused:
        """Return the route and customer of a request, or a refusal."""
        table = self.table
        if table is None:
            return Refused(503, "no-table", NO_TABLE_RETRY_AFTER_S)
        host = request.header(b"host")
        route = table.match(host, request.path)
        if route is None:
            return self._deny(404, "no-route")
        if route.public or not table.needs_key:
            return routes.RoutingDecision(route, None)
        customer = table.customer_for_key(call.key) if call.key else None
        if customer is None:
            return self._deny(401, "unknown-key")
        return routes.RoutingDecision(route, customer)

    def _deny(self, status: int, reason: str) -> Refused:
        """Return a refusal by the table, unless that may be out of date."""
        if self.contact.knows_table(clock.now_ms()):
            return Refused(status, reason)
        return Refused(503, "table-unconfirmed", NO_TABLE_RETRY_AFTER_S)

    def refuse(
        self,
        call: dialect_module.CallInfo,
        responder: httpserver.Responder,
        refused: Refused,
    ) -> None:
        """Send a local reply and record it in metrics and the log."""
        send_local_reply(self.dialect, call, responder, refused)
        metrics.REQUESTS.labels(refused.reason).inc()
        events.emit(
            events.FORWARD_REFUSED,
            request_id=call.identifier.decode("latin-1"),
            status=refused.status,
            reason=refused.reason,
            part=refused.part,
            version=self.table.version if self.table else 0,
            age_ms=self.contact.age_ms(clock.now_ms()),
            control=self.contact.control,
        )

    def _measure_room(
        self, service: str, now: int, counts_remote: bool
    ) -> room_module.Room:
        """Return the room at the endpoints of a service."""
        endpoints = self.balancer.usable_endpoints(service, (), now)
        return room_module.measure_room(endpoints, now, counts_remote)

    def _report_scarcity(self, service: str, now: int) -> None:
        """Log that places became scarce or no longer are."""
        scarcity = self.overload.scarcity[service]
        room = scarcity.room
        metrics.SCARCE_SERVICE.labels(service).set(scarcity.is_scarce)
        events.emit(
            events.SCARCITY_BEGAN
            if scarcity.is_scarce
            else events.SCARCITY_ENDED,
            service=service,
            places=room.places if room else 0,
            free=room.free if room else 0,
            waiting=room.waiting if room else 0,
            since_ms=now - scarcity.began_at,
        )

    def connection_pool(self, address: str) -> httpclient.ConnectionPool:
        """Return the connection pool of an endpoint's address."""
        pool = self.pools.get(address)
        if pool is None:
            parsed = settings_module.parse_address(address)
            pool = self.pools[address] = httpclient.ConnectionPool(parsed)
        return pool

    def has_kept_connection(self, address: str) -> bool:
        """Return whether an idle connection to an address is kept."""
        pool = self.pools.get(address)
        return pool is not None and bool(pool.idle)

    def close_expired_connections(self, now: int) -> None:
        """Close expired connections and drop pools of unused addresses.

        Args:
            now: the current time in ms.
        """
        addresses_in_use = {
            e.record.address for e in self.balancer.endpoints.values()
        }
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.idle and address not in addresses_in_use:
                del self.pools[address]


def _report_numbering(
    service: str, numbering: eventnumbering.Numbering
) -> None:
    """Log how the endpoints of a service are taken to number events."""
    events.emit(
        events.NUMBERING_CHANGED, service=service, numbering=numbering.value
    )


__all__ = ["Forwarder", "Refused"]
