"""Callers' requests: the route and the customer, or a refusal."""

import random

import anyio

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import dialect as dialect_module
from primrosehitch import events
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import routes
from primrosehitch import settings as settings_module
from primrosehitch import truetime as truetime_module
from primrosehitch.forwarding import ForwardedRequest
from primrosehitch.forwarding import Refused
from primrosehitch.forwarding import send_local_reply

# When to come back to an edge that has no table yet, in seconds.
NO_TABLE_RETRY_AFTER_S = 0.5
# An edge that just started hears of its table within this time, unless
# no control instance can be reached.
FIRST_TABLE_WAIT_MS = 900


class Forwarder:
    """Forwards the requests of one edge.

    Args:
        dialect: the callers' and endpoints' wire.
        balancer: chooses endpoints.
        budget: bounds retries.
        meter: counts requests begun.
        true_time: the time by which they are counted.
        gate: says whom to refuse.
        rng: draws services by weight.
    """

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        balancer: balancer_module.Balancer,
        retry_budget: budget_module.SharedRetryBudget,
        meter: metering.WindowMeter,
        true_time: truetime_module.TrueTime,
        gate: overload.AdmissionGate,
        rng: random.Random,
    ):
        self.dialect = dialect
        self.balancer = balancer
        self.retry_budget = retry_budget
        self.meter = meter
        self.true_time = true_time
        self.gate = gate
        self.rng = rng
        self.table: routes.RouteTable | None = None
        self.routing_changed = anyio.Event()
        self.pools: dict[
            settings_module.Address, httpclient.ConnectionPool
        ] = {}

    async def serve(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answer one request of a caller."""
        call = self.dialect.read_call(request)
        if self.table is None:
            with anyio.move_on_after(FIRST_TABLE_WAIT_MS / 1000):
                while self.table is None:
                    await self.routing_changed.wait()
        decision = self._match_request(request, call)
        if isinstance(decision, Refused):
            self.refuse(call, responder, decision)
            return
        forwarded = ForwardedRequest(self, request, responder, call, decision)
        await forwarded.run()

    def notify_routing_change(self) -> None:
        """Let those go on who wait for a table or an endpoint."""
        routing_changed, self.routing_changed = (
            self.routing_changed,
            anyio.Event(),
        )
        routing_changed.set()

    def _match_request(
        self, request: httpserver.Request, call: dialect_module.CallInfo
    ) -> routes.RoutingDecision | Refused:
        """Return the route and customer, or why there is none."""
        table = self.table
        if table is None:
            return Refused(503, "no-table", NO_TABLE_RETRY_AFTER_S)
        host = request.header(b"host")
        route = table.match(host, request.path)
        if route is None:
            return Refused(404, "no-route")
        if route.public or not table.customers:
            return routes.RoutingDecision(route, None)
        customer = table.customer_for_key(call.key) if call.key else None
        if customer is None:
            return Refused(401, "unknown-key")
        return routes.RoutingDecision(route, customer)

    def refuse(
        self,
        call: dialect_module.CallInfo,
        responder: httpserver.Responder,
        refused: Refused,
    ) -> None:
        """Give a final answer of our own."""
        send_local_reply(self.dialect, call, responder, refused)
        metrics.REQUESTS.labels(refused.reason).inc()
        events.emit(
            events.FORWARD_REFUSED,
            request_id=call.identifier.decode("latin-1"),
            status=refused.status,
            reason=refused.reason,
            version=self.table.version if self.table else 0,
        )

    def connection_pool(
        self, address: settings_module.Address
    ) -> httpclient.ConnectionPool:
        """Return the connections to an endpoint's address."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = httpclient.ConnectionPool(address)
        return pool

    def close_expired_connections(self, now: int) -> None:
        """Close connections that were idle for too long."""
        addresses_in_use = {
            e.record.address for e in self.balancer.endpoints.values()
        }
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.idle and str(address) not in addresses_in_use:
                del self.pools[address]


__all__ = ["Forwarder", "Refused"]
