"""The leader's calls to outside systems: platform orders, usage reports.

Every order and report is in the replicated log before it is sent and is
sent only while the leader holds its lease. It is sent again with the same
identifier and the same bytes until the outside system accepts it or, for
an order, rejects it.
"""

import json
from typing import Any
import uuid

from primrosehitch import catalog as catalog_module
from primrosehitch import clock
from primrosehitch import directory as directory_module
from primrosehitch import dispatcher as dispatcher_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import guarded
from primrosehitch import messages
from primrosehitch import planner as planner_module
from primrosehitch import proposals
from primrosehitch import replicator as replicator_module
from primrosehitch import settings as settings_module
from primrosehitch import state as state_module
from primrosehitch import timers
from primrosehitch import usage as usage_module

STEP_INTERVAL_MS = 500
WINDOW_CLOSE_DELAY_S = 3.0
PROPOSE_TIMEOUT_S = 2.0
ACCEPTED_STATUSES = (200, 201, 204)
ALREADY_REPORTED_STATUS = 409
NO_CAPACITY_STATUS = 503
STATE_UNAVAILABLE = "unavailable"
STATE_FAILED = "failed"


class Controller:
    """Sends orders and usage reports while its replica holds the lease.

    One runs on every instance that has a replica; it does nothing where the
    replica is not the leader with a valid lease.

    Args:
        settings: the instance's settings.
        replicator: this instance's replica.
        proposer: proposes commands to the replicated log.
        catalog: the configuration in force.
        directory: the known endpoints.
        dispatcher: provides load and waiting requests of this gateway.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        replicator: replicator_module.Replicator,
        proposer: proposals.Proposer,
        catalog: catalog_module.Catalog,
        directory: directory_module.Directory,
        dispatcher: dispatcher_module.Dispatcher,
    ):
        self.settings = settings
        self.replicator = replicator
        self.proposer = proposer
        self.catalog = catalog
        self.directory = directory
        self.dispatcher = dispatcher
        domains = [settings.domain, *(p.domain for p in settings.peers)]
        self.planner = planner_module.Planner(domains)

    @property
    def state(self) -> state_module.State:
        """The replicated state."""
        return self.replicator.replica.state

    async def run(self, service: timers.TimerService) -> None:
        """Carry out the leader's duties periodically until cancelled.

        A round ends early when a proposal fails or the lease is lost; what
        is left is done in a later round.
        """
        ticks = service.subscribe(STEP_INTERVAL_MS)
        async for _ in ticks:
            if not self.replicator.has_exclusive_lease():
                continue
            try:
                await self._log_withdrawals()
                await self._close_window()
                await self._report_closed_windows()
                await self._propose_orders()
                await self._send_pending_orders()
            except errors.ProposalError:
                continue
            except guarded.NotInChargeError:
                continue

    async def _log_withdrawals(self) -> None:
        """Propose withdrawals that were accepted without a quorum."""
        logged = self.state.withdrawals
        missing = tuple(
            withdrawal
            for key_hash, withdrawal in self.catalog.withdrawals.items()
            if key_hash not in logged
        )
        if missing:
            batch = messages.WithdrawalBatch(missing)
            await self.proposer.propose(batch, PROPOSE_TIMEOUT_S)

    async def _close_window(self) -> None:
        cutoff_s = clock.wall_s() - WINDOW_CLOSE_DELAY_S
        newest_ended = (
            usage_module.window_number(cutoff_s, self.settings.usage_window_s)
            - 1
        )
        if any(key[0] <= newest_ended for key in self.state.open_usage):
            close = messages.CloseWindow(newest_ended)
            await self.proposer.propose(close, PROPOSE_TIMEOUT_S)
            events.emit(events.WINDOW_CLOSED, window=newest_ended)

    async def _report_closed_windows(self) -> None:
        if self.settings.usage is None:
            return
        for window in list(self.state.windows.values()):
            if window.state != state_module.CLOSED:
                continue
            for customer in sorted({r.customer for r in window.rows}):
                if (
                    window.window,
                    customer,
                ) not in self.state.reported_customers:
                    await self._report_customer(window, customer)

    async def _report_customer(
        self, window: messages.Window, customer: str
    ) -> None:
        receiver = self.settings.usage
        assert receiver is not None
        body = encode_usage_report(window, customer)
        try:
            reply = await self._send_guarded(
                receiver, "PUT", f"/usage/{window.window}/{customer}", body
            )
        except errors.LinkError as exc:
            events.emit(events.REPORT_FAILED, error=str(exc))
            return
        if reply.status not in ACCEPTED_STATUSES:
            events.emit(events.REPORT_FAILED, status=reply.status)
            # A window that the receiver already has is not sent again.
            if reply.status != ALREADY_REPORTED_STATUS:
                return
        reported = messages.WindowReported(window.window, customer)
        await self.proposer.propose(reported, PROPOSE_TIMEOUT_S)
        events.emit(
            events.WINDOW_REPORTED, window=window.window, customer=customer
        )

    async def _propose_orders(self) -> None:
        if self.settings.platform is None:
            return
        if any(o.state == state_module.PENDING for o in self._orders()):
            return
        planned_orders = self.planner.plan(
            self.catalog.items["pool"].values(),
            self._ready_endpoints(),
            self._waiting_by_kind(),
            clock.now_ms(),
        )
        for planned in planned_orders:
            order = planner_module.make_order(
                planned, uuid.uuid4().hex, self.replicator.raft.term
            )
            await self.proposer.propose(order, PROPOSE_TIMEOUT_S)

    async def _send_pending_orders(self) -> None:
        receiver = self.settings.platform
        if receiver is None:
            return
        for order in self._orders():
            if order.state == state_module.PENDING:
                await self._send_order(receiver, order)

    async def _send_order(
        self, receiver: settings_module.Outside, order: messages.Order
    ) -> None:
        body = json.dumps(
            {
                "order_id": order.order_id,
                "verb": order.verb,
                "domain": order.domain,
                "kind": order.kind,
                "cheap": order.cheap,
                "count": order.count,
                "target": order.target,
            }
        ).encode()
        try:
            reply = await self._send_guarded(receiver, "POST", "/orders", body)
        except errors.LinkError as exc:
            events.emit(events.ORDER_FAILED, error=str(exc))
            return
        state = state_module.DONE
        if reply.status == NO_CAPACITY_STATUS:
            state = STATE_UNAVAILABLE
            refused = planner_module.PlannedOrder(
                order.verb,
                order.domain,
                order.kind,
                order.cheap,
                order.target,
            )
            self.planner.record_refusal(refused, clock.now_ms())
        elif reply.status not in ACCEPTED_STATUSES:
            events.emit(events.ORDER_FAILED, status=reply.status)
            # After a server error or a stale fencing token (412) the order
            # stays pending and is sent again.
            if reply.status >= 500 or reply.status == 412:
                return
            state = STATE_FAILED
        order_done = messages.OrderDone(order.order_id, state, "")
        await self.proposer.propose(order_done, PROPOSE_TIMEOUT_S)
        events.emit(events.ORDER_SENT, order=order.order_id, state=state)

    async def _send_guarded(
        self,
        receiver: settings_module.Outside,
        method: str,
        path: str,
        body: bytes,
    ) -> guarded.Reply:
        headers = {
            "x-fencing": str(self.replicator.raft.term),
            "x-sender": self.settings.name,
        }
        if receiver.token:
            headers["authorization"] = f"Bearer {receiver.token}"
        return await guarded.call(
            self.replicator.has_exclusive_lease,
            method,
            str(receiver.address),
            path,
            headers,
            body,
        )

    def _orders(self) -> list[messages.Order]:
        return list(self.state.orders.values())

    def _ready_endpoints(self) -> list[planner_module.ReadyEndpoint]:
        now = clock.now_ms()
        ready = []
        for endpoint in self.directory.endpoints.values():
            if endpoint.status != directory_module.READY:
                continue
            announced = endpoint.announcement
            running = self.dispatcher.router.load(
                announced.name
            ).total_inflight(None, now)
            ready.append(
                planner_module.ReadyEndpoint(
                    announced.name,
                    announced.domain,
                    announced.kind,
                    announced.cheap,
                    announced.slots,
                    running,
                )
            )
        return ready

    def _waiting_by_kind(self) -> dict[str, int]:
        waiting: dict[str, int] = {}
        for name, admission in self.dispatcher.admissions.items():
            for endpoint in self.dispatcher.router.endpoints_by_pool.get(
                name, ()
            )[:1]:
                kind = self.directory.endpoints[endpoint].announcement.kind
                waiting[kind] = waiting.get(kind, 0) + admission.waiting
        return waiting


def encode_usage_report(window: messages.Window, customer: str) -> bytes:
    """Return the JSON body of a customer's usage report for a window.

    The same window and customer always give the same bytes.
    """
    rows: list[Any] = []
    for row in window.rows:
        if row.customer == customer:
            rows.append(
                {
                    "class": row.class_name,
                    "requests": row.requests,
                    "prompt_tokens": row.prompt_tokens,
                    "output_tokens": row.output_tokens,
                    "corrects_window": row.corrects_window,
                }
            )
    value = {"window": window.window, "customer": customer, "rows": rows}
    return json.dumps(value, sort_keys=True).encode()


__all__ = ["Controller", "encode_usage_report"]
