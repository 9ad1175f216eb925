"""What only the leader does: usage reports and orders for endpoints.

A window's figures are fixed in the replicated log before the first
report, so that every later report of the window is an exact repeat. The
lease is checked once more right before a call's bytes leave, and a new
leader waits out the old one's calls.
"""

import contextlib
import enum
from typing import Callable
from typing import Iterator
from typing import NamedTuple
from typing import Protocol

import anyio

from primrosehitch import clock
from primrosehitch import control as control_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import messages
from primrosehitch import routes
from primrosehitch import scaling

TICK_MS = 500
# Edges tell their counts several times a second; a window waits this long
# for those whose path was down for a moment.
SEAL_AFTER_MS = 3000
PROPOSE_S = 1.5
# A control instance that started lately has not heard all counts and
# endpoints.
SETTLED_MS = 5000
RETRY_MS = 1000
# Windows older than this are not sealed after a long outage.
WINDOWS_BACK = 60


class Reply(enum.Enum):
    """How the platform answered."""

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class Charge(NamedTuple):
    """Who acts, under which fencing token, and whether it still may.

    Attributes:
        holder: the instance's name.
        token: rises with every change of the holder.
        holds: asked right before the bytes leave.
    """

    holder: str
    token: int
    holds: Callable[[], bool]


class Platform(Protocol):
    """What takes orders and usage reports."""

    async def report_usage(
        self, charge: Charge, seal: messages.SealWindow
    ) -> Reply:
        """Report one window's figures."""

    async def order_endpoints(
        self, charge: Charge, want: scaling.Want
    ) -> Reply:
        """Order a number of endpoints."""


class Duties:
    """The leader's duties.

    Args:
        control: the control instance that may lead.
        platform: takes the calls.
        read_table: decodes a table of routes.
    """

    def __init__(
        self,
        control: control_module.Control,
        platform: Platform,
        read_table: Callable[[bytes], routes.RouteTable],
    ):
        self.control = control
        self.platform = platform
        self.read_table = read_table
        self.scalers: dict[str, scaling.Scaler] = {}
        self.table: routes.RouteTable | None = None
        self.failed_at: dict[object, int] = {}
        self.token = 0

    async def run(self) -> None:
        """Do the duties while this instance leads."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_usage)
            group.start_soon(self._run_scaling)

    def charge(self) -> Charge | None:
        """Return the right to act, or None."""
        if not self._holds():
            return None
        raft = self.control.replicator.raft
        term = raft.term
        errors.require(
            term >= self.token, "a fencing token never falls", "duties.charge"
        )
        self.token = term

        def holds() -> bool:
            return raft.term == term and self._holds()

        return Charge(self.control.settings.name, term, holds)

    def _holds(self) -> bool:
        replicator = self.control.replicator
        if not replicator.has_exclusive_lease():
            return False
        since = replicator.raft.leader_since_ms
        lease_ms = self.control.settings.bounds.lease_ms
        return clock.now_ms() >= since + lease_ms

    # -- usage -------------------------------------------------------------

    async def _run_usage(self) -> None:
        async for tick in self.control.timers.subscribe(TICK_MS):
            with _kept_alive("usage"):
                charge = self.charge()
                if charge is None or self._is_young(tick.now):
                    continue
                await self._seal_due()
                await self._report_sealed(charge)

    def _is_young(self, now: int) -> bool:
        return now - self.control.started < SETTLED_MS

    async def _seal_due(self) -> None:
        """Fix the figures of the windows that ended."""
        control = self.control
        state = control.replicator.replica.state
        window_ms = control.settings.bounds.usage_window_ms
        now = control.true_time.at(clock.now_ms())
        newest = (now - SEAL_AFTER_MS) // window_ms - 1
        first = min(control.tallies.windows, default=newest + 1)
        if state.sealed_windows:
            first = max(state.sealed_windows) + 1
        for window in range(max(first, newest - WINDOWS_BACK), newest + 1):
            seal = control.tallies.sealed(window)
            try:
                await control.proposer.propose(seal, PROPOSE_S)
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

    async def _report_sealed(self, charge: Charge) -> None:
        control = self.control
        state = control.replicator.replica.state
        for window in sorted(
            set(state.sealed_windows) - state.acknowledged_windows
        ):
            now = clock.now_ms()
            if now - self.failed_at.get(window, now - RETRY_MS) < RETRY_MS:
                continue
            seal = state.sealed_windows[window]
            reply = await self.platform.report_usage(charge, seal)
            if reply is Reply.ACCEPTED:
                await self._note_done(window)
                continue
            self.failed_at[window] = clock.now_ms()
            events.emit(events.REPORT_FAILED, window=window, error=reply.value)
            if reply is Reply.WITHHELD:
                return

    async def _note_done(self, window: int) -> None:
        self.failed_at.pop(window, None)
        events.emit(events.WINDOW_REPORTED, window=window)
        done = messages.WindowDone(window)
        try:
            await self.control.proposer.propose(done, PROPOSE_S)
        except errors.ProposalError as exc:
            # The next holder repeats the same figures, which is harmless.
            events.emit(events.REPORT_FAILED, window=window, error=str(exc))

    # -- endpoints ---------------------------------------------------------

    async def _run_scaling(self) -> None:
        async for tick in self.control.timers.subscribe(TICK_MS):
            self._note_demand(tick.now)
            with _kept_alive("scaling"):
                charge = self.charge()
                if charge is None or self._is_young(tick.now):
                    continue
                await self._order_all(charge, tick.now)

    def _current_table(self) -> routes.RouteTable | None:
        held = self.control.table
        if held.version and (
            self.table is None or self.table.version != held.version
        ):
            self.table = self.read_table(held.body)
        return self.table

    def _note_demand(self, now: int) -> None:
        for service, running in self.control.demand().items():
            scaler = self.scalers.get(service)
            if scaler is None:
                scaler = self.scalers[service] = scaling.Scaler(service)
            scaler.note_demand(running, now)

    async def _order_all(self, charge: Charge, now: int) -> None:
        table = self._current_table()
        if table is None:
            return
        for service in table.services.values():
            if service.scaling is None:
                continue
            scaler = self.scalers.get(service.name)
            if scaler is None:
                scaler = scaling.Scaler(service.name)
                self.scalers[service.name] = scaler
            for want in scaler.plan(
                service.scaling,
                self._domains(service.scaling),
                self.control.registry.live(),
                now,
            ):
                if not await self._order(charge, scaler, want):
                    return

    def _domains(self, found: routes.Scaling) -> set[str]:
        if found.prices:
            return set(found.prices)
        return {r.domain for r in self.control.registry.live()}

    async def _order(
        self, charge: Charge, scaler: scaling.Scaler, want: scaling.Want
    ) -> bool:
        """Send one order; return whether to go on."""
        now = clock.now_ms()
        if now - self.failed_at.get(want, now - RETRY_MS) < RETRY_MS:
            return True
        reply = await self.platform.order_endpoints(charge, want)
        now = clock.now_ms()
        fields = want._asdict()
        if reply is Reply.ACCEPTED:
            self.failed_at.pop(want, None)
            scaler.accepted(want, now)
            events.emit(events.ORDER_SENT, **fields)
            return True
        if reply is Reply.UNAVAILABLE and want.spot:
            scaler.unavailable_at(want.domain, now)
        self.failed_at[want] = now
        events.emit(events.ORDER_FAILED, error=reply.value, **fields)
        return reply is Reply.UNAVAILABLE


@contextlib.contextmanager
def _kept_alive(task: str) -> Iterator[None]:
    """Log an error of one duty; agreement and the other must go on."""
    try:
        yield
    except Exception as exc:
        events.emit(events.TASK_FAILED, task=task, error=repr(exc))


__all__ = ["Charge", "Duties", "Platform", "Reply"]
