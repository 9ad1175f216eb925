"""The leader's duties outside: platform orders and usage reports.

Everything is in the log before it leaves, leaves only while the lease
holds, and is sent again under the same identifier and with the same
bytes until it was accepted.
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

STEP_MS = 500
CLOSE_GRACE_S = 3.0
PROPOSE_S = 2.0
ACCEPTED = (200, 201, 204)
ALREADY = 409
NONE_TO_HAVE = 503
UNAVAILABLE = "unavailable"
FAILED = "failed"


class Controller:
    """Runs on every replica; acts only where its replica is in charge.

    Args:
        settings: the instance's settings.
        replicator: this instance's replica.
        proposer: the way into the log.
        catalog: the configuration in force.
        directory: the endpoints known.
        dispatcher: the requests waiting here.
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
        """Do the duties until cancelled."""
        ticks = service.subscribe(STEP_MS)
        async for _ in ticks:
            if not self.replicator.has_exclusive_lease():
                continue
            try:
                await self._keep_withdrawals()
                await self._close_window()
                await self._report_windows()
                await self._plan()
                await self._send_orders()
            except errors.ProposalError:
                continue
            except guarded.NotInChargeError:
                continue

    async def _keep_withdrawals(self) -> None:
        """Bring withdrawals accepted without a quorum into the log."""
        known = self.state.withdrawals
        missing = tuple(
            withdrawal
            for key_hash, withdrawal in self.catalog.withdrawals.items()
            if key_hash not in known
        )
        if missing:
            batch = messages.WithdrawalBatch(missing)
            await self.proposer.propose(batch, PROPOSE_S)

    # -- usage -------------------------------------------------------------

    async def _close_window(self) -> None:
        ripe_s = clock.wall_s() - CLOSE_GRACE_S
        ripe = (
            usage_module.window_number(ripe_s, self.settings.usage_window_s)
            - 1
        )
        if any(key[0] <= ripe for key in self.state.open_usage):
            close = messages.CloseWindow(ripe)
            await self.proposer.propose(close, PROPOSE_S)
            events.emit(events.WINDOW_CLOSED, window=ripe)

    async def _report_windows(self) -> None:
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
                    await self._report(window, customer)

    async def _report(self, window: messages.Window, customer: str) -> None:
        outside = self.settings.usage
        assert outside is not None
        body = report_body(window, customer)
        try:
            reply = await self._send(
                outside, "PUT", f"/usage/{window.window}/{customer}", body
            )
        except errors.LinkError as exc:
            events.emit(events.REPORT_FAILED, error=str(exc))
            return
        if reply.status not in ACCEPTED:
            events.emit(events.REPORT_FAILED, status=reply.status)
            if reply.status != ALREADY:
                return
        reported = messages.WindowReported(window.window, customer)
        await self.proposer.propose(reported, PROPOSE_S)
        events.emit(
            events.WINDOW_REPORTED, window=window.window, customer=customer
        )

    # -- orders ------------------------------------------------------------

    async def _plan(self) -> None:
        if self.settings.platform is None:
            return
        if any(o.state == state_module.PENDING for o in self._orders()):
            return
        wishes = self.planner.step(
            self.catalog.items["pool"].values(),
            self._present(),
            self._waiting(),
            clock.now_ms(),
        )
        for wish in wishes:
            order = planner_module.order_of(
                wish, uuid.uuid4().hex, self.replicator.raft.term
            )
            await self.proposer.propose(order, PROPOSE_S)

    async def _send_orders(self) -> None:
        outside = self.settings.platform
        if outside is None:
            return
        for order in self._orders():
            if order.state == state_module.PENDING:
                await self._send_order(outside, order)

    async def _send_order(
        self, outside: settings_module.Outside, order: messages.Order
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
            reply = await self._send(outside, "POST", "/orders", body)
        except errors.LinkError as exc:
            events.emit(events.ORDER_FAILED, error=str(exc))
            return
        state = state_module.DONE
        if reply.status == NONE_TO_HAVE:
            state = UNAVAILABLE
            wish = planner_module.Wish(
                order.verb,
                order.domain,
                order.kind,
                order.cheap,
                order.target,
            )
            self.planner.note_refused(wish, clock.now_ms())
        elif reply.status not in ACCEPTED:
            events.emit(events.ORDER_FAILED, status=reply.status)
            if reply.status >= 500 or reply.status == 412:
                return
            state = FAILED
        done = messages.OrderDone(order.order_id, state, "")
        await self.proposer.propose(done, PROPOSE_S)
        events.emit(events.ORDER_SENT, order=order.order_id, state=state)

    async def _send(
        self,
        outside: settings_module.Outside,
        method: str,
        target: str,
        body: bytes,
    ) -> guarded.Reply:
        headers = {
            "x-fencing": str(self.replicator.raft.term),
            "x-sender": self.settings.name,
        }
        if outside.token:
            headers["authorization"] = f"Bearer {outside.token}"
        return await guarded.call(
            self.replicator.has_exclusive_lease,
            method,
            str(outside.address),
            target,
            headers,
            body,
        )

    def _orders(self) -> list[messages.Order]:
        return list(self.state.orders.values())

    def _present(self) -> list[planner_module.Present]:
        now = clock.now_ms()
        found = []
        for endpoint in self.directory.endpoints.values():
            if endpoint.status != directory_module.READY:
                continue
            a = endpoint.announcement
            running = self.dispatcher.router.load(a.name).used(None, now)
            found.append(
                planner_module.Present(
                    a.name, a.domain, a.kind, a.cheap, a.slots, running
                )
            )
        return found

    def _waiting(self) -> dict[str, int]:
        waiting: dict[str, int] = {}
        for name, admission in self.dispatcher.pools.items():
            for endpoint in self.dispatcher.router.pools.get(name, ())[:1]:
                kind = self.directory.endpoints[endpoint].announcement.kind
                waiting[kind] = waiting.get(kind, 0) + admission.waiting
        return waiting


def report_body(window: messages.Window, customer: str) -> bytes:
    """Return the bytes of a usage report, the same for the same window."""
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


__all__ = ["Controller", "report_body"]
