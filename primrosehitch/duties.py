"""Duties of the leading control instance: usage reports and orders.

The counts of a usage window are sealed in the replicated log before its
first report, so that each retry reports exactly the same counts. Calls
carry a fencing token. The lease is checked again right before a call is
sent, and a new leader waits for the length of a lease before its first
call, until the calls of the previous leader have ended.
"""

import contextlib
import enum
from typing import Callable
from typing import Collection
from typing import NamedTuple
from typing import Protocol

import anyio

from primrosehitch import clock
from primrosehitch import containment
from primrosehitch import control as control_module
from primrosehitch import endpoint
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes
from primrosehitch import scaling

TICK_PERIOD_MS = 500
# Edges send their counts several times a second. A window is sealed this
# long after its end, to include edges with a short network outage.
SEAL_DELAY_MS = 3000
PROPOSE_TIMEOUT_S = 1.5
# After its start a control instance waits this long, until it has the
# counts and the endpoints of the others.
WARM_UP_MS = 5000
# Endpoints report about every 1.2 s; orders wait until all have done so.
SCALING_WARM_UP_MS = 3000
RETRY_DELAY_MS = 1000
# After a long outage only this many of the newest windows are sealed.
MAX_SEAL_AGE_WINDOWS = 60


class CallResult(enum.Enum):
    """Outcome of a call to the platform.

    Attributes:
        ACCEPTED: the platform accepted the call.
        UNAVAILABLE: the platform lacks what was ordered.
        UNKNOWN: the call failed or timed out; it may have been executed.
        WITHHELD: the call was not sent, because the lease had ended.
    """

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class Lease(NamedTuple):
    """The right to call the platform as the leader.

    Attributes:
        holder: the name of the leading instance.
        fencing_token: increases with every change of the holder.
        is_valid: returns whether the lease still holds; to be called
            right before a call is sent.
    """

    holder: str
    fencing_token: int
    is_valid: Callable[[], bool]


class Platform(Protocol):
    """The outside system that accepts orders and usage reports."""

    async def report_usage(
        self, lease: Lease, seal: messages.SealWindow
    ) -> CallResult:
        """Report the counts of one usage window."""

    async def order_endpoints(
        self, lease: Lease, want: scaling.CapacityOrder
    ) -> CallResult:
        """Order a number of endpoints of a service in a domain."""


class Duties:
    """Runs the leader's duties.

    Args:
        control: the control instance, which may or may not lead.
        platform: accepts orders and usage reports.
        decode_table: decodes the body of a route table.
    """

    def __init__(
        self,
        control: control_module.ControlInstance,
        platform: Platform,
        decode_table: Callable[[bytes], routes.RouteTable],
    ):
        self.control = control
        self.platform = platform
        self.decode_table = decode_table
        self.scalers: dict[str, scaling.Scaler] = {}
        self.table: routes.RouteTable | None = None
        self.last_failure_ms: dict[object, int] = {}
        self.last_fencing_token = 0

    async def run(self) -> None:
        """Run until cancelled; calls are made only while leading."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._report_usage_periodically)
            group.start_soon(self._scale_periodically)

    def current_lease(self) -> Lease | None:
        """Return the lease of this instance, or None if it has none."""
        if not self._holds_lease():
            return None
        raft = self.control.replicator.raft
        term = raft.term
        errors.require(
            term >= self.last_fencing_token,
            "a fencing token never decreases",
            "duties.charge",
        )
        self.last_fencing_token = term

        def is_valid() -> bool:
            return raft.term == term and self._holds_lease()

        return Lease(self.control.settings.name, term, is_valid)

    def _holds_lease(self) -> bool:
        """Return whether this instance leads and may call the platform.

        A new leader waits ``lease_ms`` after its election, until the
        calls of the previous leader have ended.
        """
        replicator = self.control.replicator
        if not replicator.has_exclusive_lease():
            return False
        since = replicator.raft.leader_since_ms
        lease_ms = self.control.settings.bounds.lease_ms
        return clock.now_ms() >= since + lease_ms

    async def _report_usage_periodically(self) -> None:
        async for tick in self.control.timers.subscribe(TICK_PERIOD_MS):
            with _contain_duty("usage"):
                lease = self.current_lease()
                if lease is None or not self._has_run(WARM_UP_MS, tick.now):
                    continue
                await self._seal_ended_windows()
                await self._report_sealed_windows(lease)

    def _has_run(self, duration_ms: int, now: int) -> bool:
        """Return whether the instance has run for so long."""
        return now - self.control.started_ms >= duration_ms

    async def _seal_ended_windows(self) -> None:
        """Seal the counts of ended windows in the replicated log."""
        control = self.control
        state = control.replicator.replica.state
        window_ms = control.settings.bounds.usage_window_ms
        now = control.true_time.wall_ms_at(clock.now_ms())
        newest = (now - SEAL_DELAY_MS) // window_ms - 1
        first = min(control.tallies.tallies_by_window, default=newest + 1)
        if state.sealed_windows:
            first = max(state.sealed_windows) + 1
        for window in range(
            max(first, newest - MAX_SEAL_AGE_WINDOWS), newest + 1
        ):
            seal = control.tallies.window_totals(window)
            try:
                await control.proposer.propose(seal, PROPOSE_TIMEOUT_S)
            except errors.ProposalError as exc:
                events.emit(
                    events.REPORT_FAILED, window=window, error=str(exc)
                )
                return
            events.emit(
                events.WINDOW_CLOSED,
                window=window,
                requests=sum(c.requests for c in seal.counts),
            )

    async def _report_sealed_windows(self, lease: Lease) -> None:
        """Report sealed windows, oldest first, unless reported already."""
        control = self.control
        state = control.replicator.replica.state
        for window in sorted(
            set(state.sealed_windows) - state.acknowledged_windows
        ):
            now = clock.now_ms()
            if (
                now - self.last_failure_ms.get(window, now - RETRY_DELAY_MS)
                < RETRY_DELAY_MS
            ):
                continue
            seal = state.sealed_windows[window]
            result = await self.platform.report_usage(lease, seal)
            if result is CallResult.ACCEPTED:
                await self._mark_reported(window)
                continue
            self.last_failure_ms[window] = clock.now_ms()
            events.emit(
                events.REPORT_FAILED, window=window, error=result.value
            )
            if result is CallResult.WITHHELD:
                return

    async def _mark_reported(self, window: int) -> None:
        """Record in the replicated log that a window was reported."""
        self.last_failure_ms.pop(window, None)
        events.emit(events.WINDOW_REPORTED, window=window)
        done = messages.WindowDone(window)
        try:
            await self.control.proposer.propose(done, PROPOSE_TIMEOUT_S)
        except errors.ProposalError as exc:
            # A later report of the window repeats the same counts, which
            # is harmless.
            events.emit(events.REPORT_FAILED, window=window, error=str(exc))

    async def _scale_periodically(self) -> None:
        async for tick in self.control.timers.subscribe(TICK_PERIOD_MS):
            with _contain_duty("scaling"):
                self._observe(tick.now)
                lease = self.current_lease()
                if lease is None or not self._has_run(
                    SCALING_WARM_UP_MS, tick.now
                ):
                    continue
                await self._place_orders(lease, tick.now)

    def _current_table(self) -> routes.RouteTable | None:
        """Return the current table, which is decoded once per version."""
        current = self.control.table
        if current.version and (
            self.table is None or self.table.version != current.version
        ):
            self.table = self.decode_table(current.body)
        return self.table

    def _observe(self, now: int) -> None:
        """Pass the demand and the endpoints to the scalers.

        Instances that do not lead do so too, in case they lead next.
        """
        for service, in_flight in self.control.in_flight_by_service().items():
            self._scaler(service).record_demand(in_flight, now)
        table = self._current_table()
        if table is None:
            return
        records = self.control.registry.live_records()
        evacuated = self.control.evacuations.domains
        is_warm = self._has_run(SCALING_WARM_UP_MS, now)
        for service in table.services.values():
            if service.scaling is not None:
                scaler = self._scaler(service.name)
                scaler.observe(records, is_warm)
                scaler.limited_count = self._count_limited(service.name)
                scaler.record_evacuated(evacuated, now)
                scaler.cold_spot_count = self._count_cold_spot(
                    service.name, now
                )

    def _count_limited(self, service: str) -> int:
        """Return how many ready endpoints of a service named a limit.

        Those of evacuated failure domains are replaced anyway.
        """
        limits = self.control.limits
        evacuated = self.control.evacuations.domains
        return sum(
            record.service == service
            and record.state == registry.READY
            and record.domain not in evacuated
            and limits.milli_per_s(
                endpoint.Incarnation(record.id, record.born)
            )
            > 0
            for record in self.control.registry.live_records()
        )

    def _count_cold_spot(self, service: str, now: int) -> int:
        """Return how many ready spot endpoints of a service are cold."""
        if service not in self.control.cold_policies:
            return 0
        return sum(
            record.service == service and record.spot
            for record in self.control.registry.cold_records(now)
        )

    def _scaler(self, service: str) -> scaling.Scaler:
        """Return the scaler of a service."""
        if service not in self.scalers:
            self.scalers[service] = scaling.Scaler(service)
        return self.scalers[service]

    async def _place_orders(self, lease: Lease, now: int) -> None:
        """Send the orders of all services that can be scaled."""
        table = self._current_table()
        if table is None:
            return
        for service in table.services.values():
            if service.scaling is None:
                continue
            scaler = self._scaler(service.name)
            for want in scaler.plan_orders(
                service.scaling,
                self._scaling_domains(service.scaling, table.services),
                self.control.registry.live_records(),
                now,
            ):
                if not await self._place_order(lease, scaler, want):
                    return

    def _scaling_domains(
        self, spec: routes.Scaling, services: Collection[str]
    ) -> set[str]:
        """Return the domains with a price, or else those with endpoints.

        Args:
            spec: limits and prices of a service.
            services: the services that the route table names.
        """
        if spec.prices:
            return set(spec.prices)
        records = self.control.registry.live_records()
        return {r.domain for r in records if r.service in services}

    async def _place_order(
        self,
        lease: Lease,
        scaler: scaling.Scaler,
        want: scaling.CapacityOrder,
    ) -> bool:
        """Send one order, unless it failed a moment ago.

        Returns:
            Whether further orders should be sent. After a call with an
            unknown outcome, or without the lease, they should not.
        """
        now = clock.now_ms()
        if (
            now - self.last_failure_ms.get(want, now - RETRY_DELAY_MS)
            < RETRY_DELAY_MS
        ):
            return True
        result = await self.platform.order_endpoints(lease, want)
        now = clock.now_ms()
        fields = want._asdict()
        if result is CallResult.ACCEPTED:
            self.last_failure_ms.pop(want, None)
            scaler.record_accepted(want, now)
            events.emit(events.ORDER_SENT, **fields)
            return True
        if result is CallResult.UNAVAILABLE and want.spot:
            scaler.mark_spot_unavailable(want.domain, now)
        self.last_failure_ms[want] = now
        events.emit(events.ORDER_FAILED, error=result.value, **fields)
        return result is CallResult.UNAVAILABLE


def _contain_duty(duty: str) -> contextlib.AbstractContextManager[None]:
    """Contain any failure of one duty: the other and the replica go on."""
    return containment.contain(duty, ends_on_invariant=False)


__all__ = ["Lease", "Duties", "Platform", "CallResult"]
