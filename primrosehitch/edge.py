"""An edge instance: forwards callers' requests to endpoints.

An edge gets the route table and the endpoint records from one control
instance at a time, preferably one in its own failure domain. It switches
to another one when that instance stops sending status messages or loses
contact with a quorum (see ``controlselector.py``).
"""

import math
import random
from typing import Callable
from typing import Iterable

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import clock
from primrosehitch import coldrates
from primrosehitch import containment
from primrosehitch import controlcontact
from primrosehitch import controldirectory
from primrosehitch import controlselector
from primrosehitch import dialect as dialect_module
from primrosehitch import endpointlimits
from primrosehitch import errors
from primrosehitch import evacuations as evacuations_module
from primrosehitch import events
from primrosehitch import firsttable
from primrosehitch import forwarder as forwarder_module
from primrosehitch import gathering
from primrosehitch import hedging as hedging_module
from primrosehitch import helpers as helpers_module
from primrosehitch import httpclient
from primrosehitch import httpserver
from primrosehitch import instance as instance_module
from primrosehitch import links as links_module
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import overload
from primrosehitch import processmemory
from primrosehitch import quarantine as quarantine_module
from primrosehitch import registry as registry_module
from primrosehitch import routes
from primrosehitch import scaling
from primrosehitch import settings as settings_module
from primrosehitch import streamorigins
from primrosehitch import tablefetch
from primrosehitch import timers
from primrosehitch import truetime as truetime_module

# Also the period of load reports: loads change within the time that the
# prefill of a long prompt takes.
SUBSCRIBE_PERIOD_MS = 250
TALLY_REPEAT_PERIOD_MS = 1500
SWEEP_PERIOD_MS = 1000
# Permits are asked for this often, while there are requests that want them.
PERMIT_REQUEST_PERIOD_MS = 100
# Other edges are asked for this often at most, in seconds.
HELPER_REQUEST_PERIOD_S = 0.05
# While an edge is cut off from a service, it tries an endpoint this often.
PROBE_PERIOD_MS = 500
MAX_INBOX_MESSAGES = 4096
# Fractions of the time between SIGTERM and SIGKILL: until when every
# request is accepted, since callers still arrive; and from when idle
# connections are closed.
ACCEPT_ALL_FRACTION = 0.3
CLOSE_IDLE_FRACTION = 0.35
# The drain ends this long before SIGKILL is due: time for its last steps,
# also on a slow processor.
DRAIN_END_MARGIN_MS = 480
DRAIN_POLL_S = 0.05
DRAIN_RETRY_AFTER_S = 0.05
# Descriptors are free again once requests have ended.
EXCESS_RETRY_AFTER_S = 1.0
# Limits on the last two steps of a drain: responding to the requests that
# it ends, and sending the final usage totals.
STOP_TIMEOUT_S = 0.15
FINAL_SEND_S = 0.05

# Findings reported within this time before a link broke are reported again.
RESEND_FINDINGS_MS = 2000
# Of what else is found, each answer of an endpoint tells again.
RESENT_FINDINGS = (
    quarantine_module.CRASH,
    quarantine_module.QUARANTINED,
    quarantine_module.SOUND,
)
# How long edges that a control instance no longer counts may still run: the
# ones on the other side of a network partition do. Shared limits are divided
# among the most edges in this time.
EDGE_COUNT_WINDOW_MS = 600_000

TableDecoder = Callable[[bytes], routes.RouteTable]


class Edge:
    """One edge instance.

    Args:
        settings: the instance's settings.
        dialect: reads and writes the headers of callers and endpoints.
        decode_table: decodes the body of a route table.
    """

    def __init__(
        self,
        settings: instance_module.InstanceSettings,
        dialect: dialect_module.Dialect,
        decode_table: TableDecoder,
    ):
        now = clock.now_ms()
        bounds = settings.bounds
        self.settings = settings
        self.decode_table = decode_table
        self.rng = random.Random()
        self.incarnation = clock.wall_ms()
        inbox_sender, self.inbox = anyio.create_memory_object_stream[
            links_module.Received
        ](MAX_INBOX_MESSAGES)
        self.links = links_module.make_dynamic_links(
            settings, self.incarnation, inbox_sender
        )
        self.timers = timers.TimerService()
        self.true_time = truetime_module.TrueTime(clock.wall_ms(), now)
        self.registry = registry_module.Registry()
        self.registry.set_services(())
        self.balancer = balancer_module.Balancer(settings.domain, self.rng)
        self.balancer.cold.wall_ms_at = self.true_time.wall_ms_at
        self.budget = budget_module.SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        )
        self.meter = metering.WindowMeter(
            settings.name, self.incarnation, bounds.usage_window_ms
        )
        self.quarantine = quarantine_module.Quarantine()
        self.origins = streamorigins.StreamOrigins()
        self.contact = controlcontact.ControlContact(now)
        self.forwarder = forwarder_module.Forwarder(
            dialect,
            self.balancer,
            self.budget,
            self.meter,
            self.true_time,
            overload.AdmissionGate(),
            self.quarantine,
            self.origins,
            self.rng,
            helpers_module.HelperDirectory(
                str(settings.front), settings.domain, self.rng
            ),
            self.contact,
            hedging_module.Hedging(settings.hedging)
            if settings.hedging is not None
            else None,
        )
        memory = processmemory.make_connection_memory(
            settings.memory_mb, settings.clients
        )
        self.forwarder.overload.enabled = settings.overload.refuse
        self.forwarder.overload.shares_enabled = settings.overload.shares
        self.front = httpserver.Server(
            self._serve_front, routes.ClientLimits(), memory
        )
        self.ready = httpserver.Server(
            self._serve_ready, routes.ClientLimits(), memory
        )
        # With the time in ms at which each was found.
        self.sent_findings: gathering.RecentUpdates[
            quarantine_module.FindingKey, tuple[messages.PartFinding, int]
        ] = gathering.RecentUpdates(
            RESEND_FINDINGS_MS, quarantine_module.MAX_CRASHES
        )
        self.links.on_up = self._on_link_up
        self.links.on_loss = self._on_link_loss
        self.edge_counts = scaling.SlidingPeak(EDGE_COUNT_WINDOW_MS)
        self.controls = controldirectory.ControlDirectory(
            map(str, settings.seeds), self.rng
        )
        self.selector = controlselector.ControlSelector(
            self.controls, settings.domain, self.rng, now
        )
        self.evacuations = evacuations_module.Evacuations()
        self.first_table = firsttable.FirstTable(bounds.evacuate_ms > 0)
        self.table_fetch = tablefetch.TableFetch()
        # The newest version that could not be decoded.
        self.refused_version = 0
        self.control_incarnation = 0
        # Negative while the edge is not draining.
        self.drain_started_ms = -1

    @property
    def current_control(self) -> str:
        """The control instance in use, empty before the first one."""
        return self.selector.current

    @property
    def is_ready(self) -> bool:
        """Whether the edge has a route table and is not draining."""
        return self.forwarder.table is not None and self.drain_started_ms < 0

    async def _serve_front(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        refusal = self._drain_refusal(request)
        if refusal is None and responder.connection.is_excess:
            refusal = forwarder_module.Refused(
                503, "too-many-connections", EXCESS_RETRY_AFTER_S
            )
        if refusal is not None:
            call = self.forwarder.dialect.read_call(request)
            self.forwarder.refuse(call, responder, refusal)
            return
        await self.forwarder.serve(request, responder)

    def _drain_refusal(
        self, request: httpserver.Request
    ) -> forwarder_module.Refused | None:
        """Return a refusal for a request that could outlive the process.

        Early in a drain all requests are accepted. Later ones must time
        out before the drain ends.

        Args:
            request: a request that arrived just now.

        Returns:
            The refusal, or None if the request can be served.
        """
        if self.drain_started_ms < 0:
            return None
        elapsed_ms = clock.now_ms() - self.drain_started_ms
        grace_ms = self.settings.bounds.grace_ms
        left_ms = grace_ms - DRAIN_END_MARGIN_MS - elapsed_ms
        accepts_all = elapsed_ms <= ACCEPT_ALL_FRACTION * grace_ms
        if not self.front.stopped and (
            accepts_all or self._time_limit_ms(request) <= left_ms
        ):
            return None
        return forwarder_module.Refused(503, "draining", DRAIN_RETRY_AFTER_S)

    def _time_limit_ms(self, request: httpserver.Request) -> float:
        """Return how long a request may take; without a route, no limit."""
        table = self.forwarder.table
        if table is None:
            return math.inf
        route = table.match(request.header(b"host"), request.path)
        if route is None:
            return math.inf
        call = self.forwarder.dialect.read_call(request)
        if call.deadline_ms is None:
            return route.timeout_ms
        return min(route.timeout_ms, call.deadline_ms)

    async def _serve_ready(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if request.path == "/metrics":
            headers = [(b"content-type", metrics.CONTENT_TYPE)]
            responder.respond(200, headers, metrics.exposition())
            return
        responder.respond(200 if self.is_ready else 503, [])

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then drain."""
        settings = self.settings
        async with anyio.create_task_group() as group:
            group.start_soon(self.timers.run)
            group.start_soon(self.links.run)
            group.start_soon(self._dispatch_messages, self.inbox)
            group.start_soon(self._poll_control)
            group.start_soon(self._send_parts_read)
            group.start_soon(self._send_part_findings)
            group.start_soon(self._send_limits, self.balancer.limits.updates)
            group.start_soon(self._send_limits, self.balancer.cold.evidence)
            group.start_soon(self._send_origins)
            group.start_soon(self._request_origins)
            group.start_soon(self._request_helpers)
            group.start_soon(self._probe_endpoints)
            group.start_soon(self._request_permits)
            group.start_soon(self._resend_tallies)
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
        """Finish in-flight requests, and return before SIGKILL is due.

        Once the drain ends, no connection is accepted and no request is
        taken. A request that is still under way then gets a response
        that says whether it may have run. The final usage totals are sent
        to the control instance last.
        """
        events.emit(events.DRAINING, instance=self.settings.name)
        self.drain_started_ms = clock.now_ms()
        self.front.draining = True
        grace_ms = self.settings.bounds.grace_ms
        while True:
            elapsed_ms = clock.now_ms() - self.drain_started_ms
            closes_idle = elapsed_ms > CLOSE_IDLE_FRACTION * grace_ms
            if closes_idle:
                self.front.close_idle_connections()
            is_idle = self.front.is_idle and not self.front.connections
            if elapsed_ms > grace_ms - DRAIN_END_MARGIN_MS or (
                closes_idle and is_idle
            ):
                break
            await anyio.sleep(DRAIN_POLL_S)
        events.emit(
            events.DRAIN_ENDING,
            instance=self.settings.name,
            requests=self.front.active_requests,
            connections=len(self.front.connections),
        )
        self.front.stopped = True
        self.forwarder.end_requests("draining")
        await self.front.stop(STOP_TIMEOUT_S)
        self._send(self.meter.all_totals())
        await anyio.sleep(FINAL_SEND_S)

    def _send(self, message: tuple) -> bool:
        """Send a message to the current control instance."""
        return self.links.send(self.current_control, message)

    async def _poll_control(self) -> None:
        """Exchange state with the control instance periodically.

        A subscription asks for a newer table and for changed endpoints.
        It is queued together with the load report and the usage counts,
        so that the link sends all of them in one write.
        """
        async for tick in self.timers.subscribe(SUBSCRIBE_PERIOD_MS):
            self._select_control()
            self._report_contact(tick.now)
            self._apply_held_table(self.first_table.overdue(tick.now))
            self.balancer.cold.review(tick.now)
            self.quarantine.judge(tick.now)
            self._subscribe()
            self._send_load_report()
            self._send_tallies()

    def _offered_help(self) -> tuple[messages.HelperEdge, ...]:
        """Return how other edges can send requests here, if they can."""
        if not self.is_ready:
            return ()
        helper = messages.HelperEdge(
            str(self.settings.front),
            self.settings.domain,
            self.forwarder.edge_token,
            tuple(self.balancer.reachability.cut_since),
        )
        return (helper,)

    def set_seeds(self, seeds: Iterable[settings_module.Address]) -> None:
        """Use other seeds from now on; what is known besides stays."""
        self.controls.set_seeds(map(str, seeds))
        self._select_control()

    def _subscribe(self) -> None:
        table = self.forwarder.table
        self._send(
            messages.Subscribe(
                table.version if table else 0,
                self.registry.digest(),
                clock.wall_ms(),
                self._offered_help(),
                requests_tables=True,
            )
        )

    def _request_table(self, request: messages.TableRequest | None) -> None:
        if request is not None:
            self.links.send(self.table_fetch.control, request)

    def _select_control(self) -> None:
        """Use another control instance if that is due; keep links to some."""
        choice = self.selector.choose(clock.now_ms(), self.links.is_connected)
        if choice is not None:
            self._use_control(choice)
        for name in self.links.peers.keys() - self.selector.dialed:
            self.links.remove(name)
        for name in self.selector.dialed - self.links.peers.keys():
            address = settings_module.parse_address(name)
            self.links.add(links_module.LinkPeer(name, address))

    def _use_control(self, choice: controlselector.Choice) -> None:
        # 1306 and 1307 bound the time in which one after the other is asked.
        if choice.name != self.current_control and not self.contact.is_lost:
            events.emit(
                events.CONTROL_CHANGED,
                before=self.current_control,
                now=choice.name,
                why=choice.why,
            )
        if choice.name != self.current_control:
            self._send(messages.Unsubscribe(choice.name))
        self.selector.use(choice.name, clock.now_ms())
        self._subscribe()
        self._report_again()

    def _on_link_up(self, peer: str) -> None:
        self._select_control()

    def _report_contact(self, now: int) -> None:
        """Log a loss of contact and publish the age of the view."""
        age_ms = self.contact.age_ms(now)
        metrics.CONFIG_AGE_SECONDS.set(-1 if age_ms < 0 else age_ms / 1000)
        if self.contact.detect_loss(now):
            events.emit(
                events.CONTROL_LOST,
                control=self.contact.control,
                age_ms=age_ms,
                known=" ".join(self.controls.by_last_seen()),
            )
        late_ms = self.contact.late_ms(now)
        metrics.TABLE_LATE_SECONDS.set(late_ms / 1000)
        if self.contact.detect_late(now):
            table = self.forwarder.table
            events.emit(
                events.TABLE_LATE,
                announced=self.contact.announced,
                version=table.version if table else 0,
                control=self.current_control,
                after_ms=late_ms,
            )

    async def _dispatch_messages(
        self, source: MemoryObjectReceiveStream[links_module.Received]
    ) -> None:
        """Handle each message from a control instance."""
        async for received in source:
            with containment.contain(
                "dispatch",
                kind=type(received.message).__name__,
                sender=received.sender,
            ):
                self._handle_message(received.sender, received.message)

    def _handle_message(self, sender: str, message: tuple) -> None:
        if isinstance(message, messages.ControlStatus):
            self._on_status(sender, message)
        elif isinstance(message, messages.TablePiece):
            self._on_table_piece(message)
        elif isinstance(message, messages.Table):
            self._on_table(message)
        elif isinstance(message, messages.EndpointUpdate):
            self._on_endpoints(message)
        elif isinstance(message, messages.LoadReport):
            self.balancer.apply_load_totals(message)
            self.forwarder.overload.demand.apply_totals(
                message.tiers, clock.now_ms()
            )
        elif isinstance(message, messages.PartsRead):
            self.balancer.apply_part_updates(message)
        elif isinstance(message, messages.PartFindings):
            now = clock.now_ms()
            for finding in message.findings:
                self.quarantine.apply_finding(finding, now)
        elif isinstance(message, messages.EndpointLimits):
            for limit in message.limits:
                if limit.cold:
                    self.balancer.cold.apply(limit, clock.now_ms())
                else:
                    self.balancer.limits.apply(limit)
        elif isinstance(message, messages.HelperReply):
            self.forwarder.helpers.apply(message.helpers)
        elif isinstance(message, messages.StreamOrigins):
            self.origins.apply(message.origins)
        elif isinstance(message, messages.PermitGrant):
            self.balancer.limits.add_permits(message.limits, clock.now_ms())
            self.forwarder.notify_routing_change()

    def _on_status(self, sender: str, status: messages.ControlStatus) -> None:
        """Apply the status of the current control instance.

        The usage totals are sent again to an instance that restarted or
        became the current one, because it may lack earlier counts.
        """
        now = clock.now_ms()
        self._apply_evacuations(status)
        if status.fresh:
            self._apply_held_table(self.first_table.confirm())
        domains = dict(zip(status.peers, status.domains))
        self.controls.apply_view(domains, now)
        self.selector.record_status(sender, status.fresh, now)
        table = self.forwarder.table
        # The table of a status may still be on its way, or be lost.
        if status.fresh and status.version <= (table.version if table else 0):
            self._confirm_contact(sender, now)
        elif status.fresh:
            self.contact.announce(sender, status.version, now)
        if sender != self.current_control:
            return
        self._fetch_table(status.version, now)
        if status.fresh:
            self.selector.consider_return(domains, now)
            self.true_time.set_from_control(status.true_ms, now)
        self.edge_counts.add(status.edges, now)
        edge_count = max(1, int(self.edge_counts.peak(now)))
        self.budget.set_edge_count(edge_count)
        self.balancer.edge_count = edge_count
        self.forwarder.overload.demand.edge_count = edge_count
        if status.incarnation != self.control_incarnation:
            self.control_incarnation = status.incarnation
            self._send(self.meter.all_totals())
            self.origins.send_again()
        self._select_control()

    def _apply_evacuations(self, status: messages.ControlStatus) -> None:
        """Apply the evacuated domains of any control instance, if newer."""
        change = self.evacuations.apply(status.catalog, status.evacuated)
        if evacuations_module.report(change, self.evacuations):
            ended = self.balancer.set_evacuated(self.evacuations.domains)
            self.balancer.presume_cold(ended, clock.now_ms())
            self.forwarder.notify_routing_change()

    def _apply_held_table(self, table: messages.Table | None) -> None:
        if table is not None and self.forwarder.table is None:
            self._put_in_force(table)

    def _confirm_contact(self, control: str, now: int) -> None:
        lost_for_ms = self.contact.confirm(control, now)
        if lost_for_ms is not None:
            events.emit(
                events.CONTROL_REGAINED,
                control=control,
                after_ms=lost_for_ms,
            )

    def _fetch_table(self, version: int, now: int) -> None:
        """Ask the current control instance for its table if it is newer."""
        held = self.first_table.held or messages.Table()
        table = self.forwarder.table
        in_force = table.version if table else 0
        if version > max(held.version, in_force, self.refused_version):
            self._request_table(
                self.table_fetch.offer(self.current_control, now)
            )
        else:
            self.table_fetch.stop()

    def _on_table_piece(self, piece: messages.TablePiece) -> None:
        try:
            step = self.table_fetch.apply(piece, clock.now_ms())
        except errors.TransferError as exc:
            events.emit(events.TABLE_REFUSED, error=str(exc))
            return
        self._request_table(step.request)
        if step.table is not None:
            self._on_table(step.table)

    def _on_table(self, message: messages.Table) -> None:
        """Apply a table that is newer than the current one."""
        current = self.forwarder.table
        if current is not None and message.version <= current.version:
            return
        if current is None:
            now = clock.now_ms()
            is_first = self.first_table.held is None
            if not self.first_table.admits(message, now):
                if is_first:
                    events.emit(events.TABLE_HELD, version=message.version)
                return
        self._put_in_force(message)

    def _put_in_force(self, message: messages.Table) -> None:
        """Serve by a table from now on, if it can be decoded."""
        current = self.forwarder.table
        try:
            table = self.decode_table(message.body)
        except errors.PrimrosehitchError as exc:
            events.emit(events.TABLE_REFUSED, error=str(exc))
            self.refused_version = message.version
            return
        errors.require(
            current is None or table.version > current.version,
            "a new table must have a higher version",
            "edge.table",
        )
        self.forwarder.table = table
        self.front.limits = table.limits
        metrics.CONFIG_VERSION.set(table.version)
        now = clock.now_ms()
        # The status that told of this version confirms it.
        announcement = self.contact.announced_by(table.version)
        if announcement is not None:
            self._confirm_contact(*announcement)
        events.emit(
            events.VERSION_IN_FORCE,
            version=table.version,
            after_ms=self.contact.record_version(table.version, now),
            bytes=len(message.body),
        )
        self.registry.set_services(table.services)
        self._set_cold_policies(table)
        for record in self.registry.records():
            self._update_balancer(record)
        self.forwarder.notify_routing_change()

    def _set_cold_policies(self, table: routes.RouteTable) -> None:
        """Limit the requests to cold endpoints as the table says."""
        policies = coldrates.policies(
            table.services.values(), self.settings.bounds
        )
        for service, policy in policies.items():
            if not policy.milli_per_s:
                events.emit(events.COLD_UNSERVED, service=service)
        self.balancer.cold.set_policies(policies)

    def _on_endpoints(self, update: messages.EndpointUpdate) -> None:
        """Apply changed records; a complete update lists all endpoints."""
        now = clock.now_ms()
        for record in update.records:
            change = self.registry.apply_record(record, now)
            if change is not None:
                self._apply_change(change)
            self.balancer.record_heartbeat(record, now)
        if update.whole:
            self._mark_unlisted_silent({r.id for r in update.records})
        self.forwarder.notify_routing_change()

    def _mark_unlisted_silent(self, listed_ids: set[str]) -> None:
        """Take endpoints that a complete update does not list for silent.

        The control instance has not heard them, which is no departure.
        """
        for record in self.registry.live_records():
            if record.id not in listed_ids:
                change = self.registry.mark_silent(
                    record.id, registry_module.UNLISTED
                )
                if change is not None:
                    self._apply_change(change)

    def _apply_change(self, change: registry_module.EndpointChange) -> None:
        """Update the balancer for a changed record and log the change."""
        record = change.record
        self._update_balancer(record)
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=record.id,
            state=record.state,
            cause=change.cause,
            address=record.address,
            service=record.service,
            version=record.version,
        )
        # The registry marks the previous owner of an address as left
        # without reporting that as a change.
        if record.address:
            registered_id = self.registry.owner_by_address.get(record.address)
            for other in self.registry.records():
                shares_address = other.address == record.address
                if shares_address and other.id not in (
                    registered_id,
                    record.id,
                ):
                    self._update_balancer(other)

    def _update_balancer(self, record: messages.EndpointRecord) -> None:
        """Pass a record and its service's limits to the balancer."""
        kv_tokens = connections = 0
        table = self.forwarder.table
        service = table.services.get(record.service) if table else None
        if service is not None:
            connections = service.connections
            if service.engine is not None:
                kv_tokens = service.engine.kv_tokens
        self.balancer.update_endpoint(record, kv_tokens, connections)
        metrics.ENDPOINTS.set(len(self.balancer.endpoints))

    def _send_tallies(self) -> None:
        """Send changed usage counts; keep them for later if that fails."""
        if self.meter.changed_windows:
            batch = self.meter.take_changed_totals()
            if not self._send(batch):
                self.meter.changed_windows |= {t.window for t in batch.tallies}

    def _send_load_report(self) -> None:
        """Send the in-flight requests by service and by endpoint.

        Callers that were refused for lack of room count as in flight.
        """
        if not self.balancer.endpoints:
            return
        in_flight = self.forwarder.gate.in_flight
        demand = self.forwarder.overload.demand
        now = clock.now_ms()
        report = messages.LoadReport(
            0,
            tuple(
                messages.ServiceDemand(
                    service, count + demand.refused_callers(service, now)
                )
                for service, count in in_flight.items()
            ),
            self.balancer.publish_loads(),
            demand.publish(now),
        )
        self._send(report)

    async def _send_parts_read(self) -> None:
        """Send which prompt prefixes endpoints have processed.

        They are sent as soon as they are batched and not with the next
        subscription, because other edges may receive requests with the
        same prefixes meanwhile.
        """
        while True:
            parts = await self.balancer.part_updates.take()
            while not self._send(messages.PartsRead(parts)):
                # No link at present; the parts stay cached meanwhile.
                await anyio.sleep(SUBSCRIBE_PERIOD_MS / 1000)

    async def _send_part_findings(self) -> None:
        """Send what is found of prompt parts that crash endpoints."""
        while True:
            findings = await self.quarantine.findings.take()
            now = clock.now_ms()
            for finding in findings:
                if finding.finding in RESENT_FINDINGS:
                    key = quarantine_module.finding_key(finding)
                    found_ms = now - finding.age_ms
                    self.sent_findings.put(key, (finding, found_ms), now)
            while not self._send(messages.PartFindings(findings)):
                await anyio.sleep(SUBSCRIBE_PERIOD_MS / 1000)

    def _on_link_loss(self, peer: str) -> None:
        self.selector.record_loss(peer)
        if peer == self.current_control:
            self._report_again()
            self._select_control()

    def _report_again(self) -> None:
        """Report findings and origins again, as messages may be lost.

        Limits need no repetition: they are found again with the next answer.
        """
        self.origins.send_again()
        now = clock.now_ms()
        for finding, found_ms in self.sent_findings.values(now):
            key = quarantine_module.finding_key(finding)
            repeated = finding._replace(age_ms=now - found_ms)
            self.quarantine.findings.put(key, repeated)

    async def _send_limits(self, updates: endpointlimits.LimitUpdates) -> None:
        """Send which limits endpoints have named, or which may be cold."""
        while True:
            limits = await updates.take()
            while not self._send(messages.EndpointLimits(limits)):
                await anyio.sleep(SUBSCRIBE_PERIOD_MS / 1000)

    async def _send_origins(self) -> None:
        """Send which software version began each stream.

        They are sent before the caller can come back to another edge.
        """
        while True:
            origins = await self.origins.updates.take()
            while not self._send(messages.StreamOrigins(origins)):
                await anyio.sleep(SUBSCRIBE_PERIOD_MS / 1000)

    async def _request_origins(self) -> None:
        """Ask for the origins of streams that callers resume here."""
        while True:
            streams = await self.origins.unknown.take()
            self._send(messages.OriginRequest(streams))

    async def _request_helpers(self) -> None:
        """Ask which edges can help, while requests wait for one."""
        helpers = self.forwarder.helpers
        while True:
            await helpers.wanted.wait()
            helpers.wanted = anyio.Event()
            self._send(messages.HelperRequest(self.settings.domain))
            await anyio.sleep(HELPER_REQUEST_PERIOD_S)

    async def _probe_endpoints(self) -> None:
        """Learn whether endpoints of a service can be reached again.

        The connection that opens is kept for the next request.
        """
        async for tick in self.timers.subscribe(PROBE_PERIOD_MS):
            for service in list(self.balancer.reachability.cut_since):
                endpoints = self.balancer.ready_by_service.get(service, ())
                if not endpoints:
                    continue
                endpoint = self.rng.choice(endpoints)
                pool = self.forwarder.connection_pool(endpoint.record.address)
                try:
                    connection = await pool.open(tick.now)
                except httpclient.EndpointError as exc:
                    self.forwarder.record_unreached(
                        service, endpoint.record.id
                    )
                    events.emit(
                        events.PROBE_FAILED,
                        endpoint=endpoint.record.id,
                        error=str(exc),
                    )
                    continue
                pool.release(connection)
                self.forwarder.record_reached(service)

    async def _request_permits(self) -> None:
        """Ask for permits to send requests to limited or cold endpoints."""
        async for tick in self.timers.subscribe(PERMIT_REQUEST_PERIOD_MS):
            wanted = self.balancer.limits.take_wanted(tick.now)
            if wanted:
                self._send(messages.PermitRequest(wanted))

    async def _resend_tallies(self) -> None:
        """Mark the two newest windows for sending, as messages get lost."""
        async for _ in self.timers.subscribe(TALLY_REPEAT_PERIOD_MS):
            self.meter.changed_windows |= set(sorted(self.meter.totals)[-2:])

    async def _sweep(self) -> None:
        """Drop old connections and old endpoint records."""
        async for tick in self.timers.subscribe(SWEEP_PERIOD_MS):
            self.forwarder.close_expired_connections(tick.now)
            self.origins.table.remove_expired(tick.now)
            for record in self.registry.remove_old(tick.now):
                self.balancer.remove_endpoint(record.id)


__all__ = ["Edge"]
