"""An edge: callers in, endpoints out.

It takes the table of routes and the endpoints from one control instance
at a time, the one of its own failure domain where it can, and moves on
when that one falls silent or has lost touch with the others.
"""

import random
from typing import Callable
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import clock
from primrosehitch import dialect as dialect_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import forwarder as forwarder_module
from primrosehitch import httpserver
from primrosehitch import instance as instance_module
from primrosehitch import links as links_module
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import registry as registry_module
from primrosehitch import routes
from primrosehitch import settings as settings_module
from primrosehitch import timers
from primrosehitch import truetime as truetime_module

# Loads change within the time that a long prompt takes to read.
PULSE_MS = 250
REPEAT_MS = 1500
SWEEP_MS = 1000
INBOX_MESSAGES = 4096
# A control instance that says nothing, or has no quorum, for this long
# is left for another; well within the time a change may take.
SILENT_MS = 700
# An edge that lost the control instance of its own failure domain goes
# back to it no sooner than this, so that a bad path does not make it
# move to and fro.
PREFER_AGAIN_MS = 10_000
# Parts of the time between SIGTERM and the kill.
NEW_STREAMS_PART = 0.3
NEW_CALLS_PART = 0.8
IDLE_CLOSED_PART = 0.35
END_PART = 0.94
POLL_S = 0.05
DRAIN_RETRY_S = 0.05

ReadTable = Callable[[bytes], routes.RouteTable]


class Control(NamedTuple):
    """A control instance that this edge knows of."""

    name: str
    domain: str


class Edge:
    """One edge instance.

    Args:
        settings: the instance's settings.
        dialect: the callers' and endpoints' wire.
        read_table: decodes a table of routes.
    """

    def __init__(
        self,
        settings: instance_module.InstanceSettings,
        dialect: dialect_module.Dialect,
        read_table: ReadTable,
    ):
        now = clock.now_ms()
        bounds = settings.bounds
        self.settings = settings
        self.read_table = read_table
        self.rng = random.Random()
        self.incarnation = clock.wall_ms()
        send, self.inbox = anyio.create_memory_object_stream[
            links_module.Received
        ](INBOX_MESSAGES)
        self.links = links_module.make_dynamic_links(
            settings, self.incarnation, send
        )
        self.timers = timers.TimerService()
        self.true_time = truetime_module.TrueTime(clock.wall_ms(), now)
        self.registry = registry_module.Registry()
        self.balancer = balancer_module.Balancer(settings.domain, self.rng)
        self.budget = budget_module.SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        )
        self.meter = metering.WindowMeter(
            settings.name, self.incarnation, bounds.usage_window_ms
        )
        self.forwarder = forwarder_module.Forwarder(
            dialect,
            self.balancer,
            self.budget,
            self.meter,
            self.true_time,
            overload.Gate(),
            self.rng,
        )
        self.front = httpserver.Server(
            self._serve_front, routes.ClientLimits()
        )
        self.ready = httpserver.Server(
            self._serve_ready, routes.ClientLimits()
        )
        self.controls = [Control(str(seed), "") for seed in settings.seeds]
        self.rng.shuffle(self.controls)
        self.chosen = self.controls[0].name
        self.fresh_at = now
        self.control_incarnation = 0
        self.preferred_at = now - PREFER_AGAIN_MS
        self.draining_since = -1

    # -- serving -----------------------------------------------------------

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return self.forwarder.table is not None and self.draining_since < 0

    async def _serve_front(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        refused = self._refused_while_draining(request)
        if refused is not None:
            call = self.forwarder.dialect.read_call(request)
            self.forwarder.refuse(call, responder, refused)
            return
        await self.forwarder.serve(request, responder)

    def _refused_while_draining(
        self, request: httpserver.Request
    ) -> forwarder_module.Refused | None:
        """Refuse what could not end before the process does."""
        if self.draining_since < 0:
            return None
        gone = clock.now_ms() - self.draining_since
        part = gone / self.settings.bounds.grace_ms
        table = self.forwarder.table
        route = None
        if table is not None:
            route = table.match(request.header(b"host"), request.path)
        long = route is None or route.kind == routes.STREAM
        if part > (NEW_STREAMS_PART if long else NEW_CALLS_PART):
            return forwarder_module.Refused(503, "draining", DRAIN_RETRY_S)
        return None

    async def _serve_ready(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if request.path == "/metrics":
            kind = [(b"content-type", metrics.CONTENT_TYPE)]
            responder.answer(200, kind, metrics.exposition())
            return
        responder.answer(200 if self.is_ready else 503, [])

    # -- life --------------------------------------------------------------

    async def run(self, stop: anyio.Event) -> None:
        """Serve until asked to stop, then drain."""
        settings = self.settings
        async with anyio.create_task_group() as group:
            group.start_soon(self.timers.run)
            group.start_soon(self.links.run)
            group.start_soon(self._hear, self.inbox)
            group.start_soon(self._follow)
            group.start_soon(self._tell_parts)
            group.start_soon(self._repeat_tallies)
            group.start_soon(self._sweep)
            await self._listen(group, self.ready, settings.ready)
            await self._listen(group, self.ready, settings.metrics)
            await self._listen(group, self.front, settings.front)
            events.emit(events.STARTED, instance=settings.name)
            await stop.wait()
            await self._drain()
            group.cancel_scope.cancel()
        events.emit(events.STOPPED, instance=settings.name)

    async def _listen(
        self,
        group: anyio.abc.TaskGroup,
        server: httpserver.Server,
        address: settings_module.Address | None,
    ) -> None:
        if address is not None:
            await group.start(server.run, address)

    async def _drain(self) -> None:
        """Finish what was taken; end before the process is killed."""
        events.emit(events.DRAINING, instance=self.settings.name)
        self.draining_since = clock.now_ms()
        self.front.draining = True
        grace_ms = self.settings.bounds.grace_ms
        while True:
            part = (clock.now_ms() - self.draining_since) / grace_ms
            if part > IDLE_CLOSED_PART:
                self.front.close_idle()
            empty = not self.front.active and not self.front.connections
            if part > END_PART or (part > IDLE_CLOSED_PART and empty):
                break
            await anyio.sleep(POLL_S)
        self._send(self.meter.all_totals())
        await anyio.sleep(POLL_S)

    # -- the control instance in use ---------------------------------------

    def _send(self, message: tuple) -> bool:
        return self.links.send(self.chosen, message)

    async def _follow(self) -> None:
        """Ask the control instance for news and tell it ours.

        All goes in one write, several times a second.
        """
        self._use(self.chosen)
        async for tick in self.timers.subscribe(PULSE_MS):
            self._watch(tick.now)
            table = self.forwarder.table
            self._send(
                messages.Subscribe(
                    table.version if table else 0,
                    self.registry.digest(),
                    clock.wall_ms(),
                )
            )
            self._tell_load()
            self._tell_tallies()

    def _use(self, name: str) -> None:
        self.chosen = name
        self.fresh_at = clock.now_ms()
        self.links.add(
            links_module.LinkPeer(name, settings_module.parse_address(name))
        )

    def _watch(self, now: int) -> None:
        """Move on from a control instance that is out of touch."""
        if now - self.fresh_at <= SILENT_MS:
            return
        names = [c.name for c in self.controls]
        at = names.index(self.chosen) if self.chosen in names else -1
        other = names[(at + 1) % len(names)]
        if other != self.chosen:
            self._move(other, "silent or without a quorum")

    def _move(self, name: str, why: str) -> None:
        events.emit(
            events.CONTROL_CHANGED, before=self.chosen, now=name, why=why
        )
        self.links.remove(self.chosen)
        self._use(name)

    # -- messages ----------------------------------------------------------

    async def _hear(
        self, source: MemoryObjectReceiveStream[links_module.Received]
    ) -> None:
        async for received in source:
            message = received.message
            if isinstance(message, messages.ControlStatus):
                self._on_status(received.sender, message)
            elif isinstance(message, messages.Table):
                self._on_table(message)
            elif isinstance(message, messages.EndpointUpdate):
                self._on_endpoints(message)
            elif isinstance(message, messages.LoadReport):
                self.balancer.hear_loads(message)
            elif isinstance(message, messages.PartsRead):
                self.balancer.hear_read(message)

    def _on_status(self, sender: str, status: messages.ControlStatus) -> None:
        now = clock.now_ms()
        if sender != self.chosen:
            return
        if status.fresh:
            self.fresh_at = now
            self.true_time.follow(status.true_ms, now)
        self.budget.share_among(status.edges)
        self.balancer.edges = max(1, status.edges)
        self._note_controls(status)
        if status.incarnation != self.control_incarnation:
            self.control_incarnation = status.incarnation
            self._send(self.meter.all_totals())

    def _note_controls(self, status: messages.ControlStatus) -> None:
        seeds = [str(seed) for seed in self.settings.seeds]
        domains = dict(zip(status.peers, status.domains))
        for seed in seeds:
            domains.setdefault(seed, "")
        self.controls = [Control(n, d) for n, d in domains.items()]
        own = [
            c.name for c in self.controls if c.domain == self.settings.domain
        ]
        current = domains.get(self.chosen, "")
        if own and current != self.settings.domain and status.fresh:
            self._prefer(own)

    def _prefer(self, own: list[str]) -> None:
        """Move to the own failure domain, seldom."""
        now = clock.now_ms()
        if now - self.preferred_at < PREFER_AGAIN_MS:
            return
        self.preferred_at = now
        self._move(self.rng.choice(own), "own failure domain")

    def _on_table(self, message: messages.Table) -> None:
        known = self.forwarder.table
        if known is not None and message.version <= known.version:
            return
        try:
            table = self.read_table(message.body)
        except errors.PrimrosehitchError as exc:
            events.emit(events.TABLE_REFUSED, error=str(exc))
            return
        errors.require(
            known is None or table.version > known.version,
            "a version never reverts",
            "edge.table",
        )
        self.forwarder.table = table
        self.front.limits = table.limits
        metrics.VERSION.set(table.version)
        events.emit(events.VERSION_IN_FORCE, version=table.version)
        for record in self.registry.live():
            self._update(record)
        self.forwarder.note_change()

    def _on_endpoints(self, update: messages.EndpointUpdate) -> None:
        now = clock.now_ms()
        for record in update.records:
            change = self.registry.hear(record, now)
            if change is not None:
                self._note_change(change)
        if update.whole:
            self._drop_missing({r.id for r in update.records}, now)
        self.forwarder.note_change()

    def _drop_missing(self, named: set[str], now: int) -> None:
        for record in self.registry.live():
            if record.id not in named:
                change = self.registry.leave(record.id, record.born, now)
                if change is not None:
                    self._note_change(change)

    def _note_change(self, change: registry_module.Change) -> None:
        record = change.record
        self._update(record)
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=record.id,
            state=record.state,
            address=record.address,
            service=record.service,
        )
        if record.address:
            known = self.registry.by_address.get(record.address)
            for other in self.registry.records():
                same = other.address == record.address
                if same and other.id not in (known, record.id):
                    self._update(other)

    def _update(self, record: messages.EndpointRecord) -> None:
        kv_tokens = connections = 0
        table = self.forwarder.table
        service = table.services.get(record.service) if table else None
        if service is not None:
            connections = service.connections
            if service.engine is not None:
                kv_tokens = service.engine.kv_tokens
        self.balancer.update(record, kv_tokens, connections)
        metrics.ENDPOINTS.set(len(self.balancer.endpoints))

    # -- periodic ----------------------------------------------------------

    def _tell_tallies(self) -> None:
        if self.meter.changed:
            batch = self.meter.take_changed()
            if not self._send(batch):
                self.meter.changed |= {t.window for t in batch.tallies}

    def _tell_load(self) -> None:
        """Tell what is under way here."""
        if not self.balancer.endpoints:
            return
        inside = self.forwarder.gate.inside
        report = messages.LoadReport(
            0,
            tuple(
                messages.ServiceDemand(service, count)
                for service, count in inside.items()
            ),
            self.balancer.own_loads(),
        )
        self._send(report)

    async def _tell_parts(self) -> None:
        """Tell what was read where, soon: others ask for it meanwhile."""
        while True:
            parts = await self.balancer.read.take()
            self._send(messages.PartsRead(parts))

    async def _repeat_tallies(self) -> None:
        """Tell the newest counts once more, in case some were lost."""
        async for _ in self.timers.subscribe(REPEAT_MS):
            self.meter.changed |= set(sorted(self.meter.totals)[-2:])

    async def _sweep(self) -> None:
        async for tick in self.timers.subscribe(SWEEP_MS):
            self.forwarder.sweep(tick.now)


__all__ = ["Edge"]
