"""A control instance: replicated state, operator calls, endpoint records.

The replicas of all control instances agree on the route table and on the
counts of each usage window. An endpoint sends heartbeats to any control
instance, which forwards its record to the other control instances and to
the edges that subscribe to it.
"""

import random
from typing import Awaitable
from typing import Callable
from typing import Iterable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from primrosehitch import balancer
from primrosehitch import clock
from primrosehitch import coldrates
from primrosehitch import coldstarts
from primrosehitch import containment
from primrosehitch import edgedirectory
from primrosehitch import endpoint
from primrosehitch import endpointlimits
from primrosehitch import errors
from primrosehitch import evacuationorders
from primrosehitch import evacuations as evacuations_module
from primrosehitch import events
from primrosehitch import gathering
from primrosehitch import helpers as helpers_module
from primrosehitch import instance as instance_module
from primrosehitch import links as links_module
from primrosehitch import loads as loads_module
from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import olderserved
from primrosehitch import partfindings
from primrosehitch import peers as peers_module
from primrosehitch import permits as permits_module
from primrosehitch import proposals
from primrosehitch import registry as registry_module
from primrosehitch import replica as replica_module
from primrosehitch import replicator as replicator_module
from primrosehitch import routes
from primrosehitch import settings as settings_module
from primrosehitch import state as state_module
from primrosehitch import streamorigins
from primrosehitch import tableserver
from primrosehitch import timers
from primrosehitch import truetime as truetime_module

MAX_INBOX_MESSAGES = 8192
PRESENCE_PERIOD_MS = 250
REFRESH_PERIOD_MS = 500
EXPIRE_PERIOD_MS = 1000
# A follower's state counts as the leader's for this long after it last was.
LEADER_CONTACT_TIMEOUT_MS = 700
# Loads change within the time that the prefill of a long prompt takes.
LOAD_REPORT_PERIOD_MS = 250
# Permits for limited endpoints are asked for and issued this often.
PERMIT_PERIOD_MS = 50
# Usage counts of edges are batched for this long, so that the number of
# messages a control instance sends does not grow with its edges.
TALLY_BATCH_DELAY_S = 0.25
# Cached prompt parts that an edge or instance gets when it joins: parts
# used longer ago are likely evicted, and the number bounds the message to
# some ten KB.
RECENT_PARTS_TTL_MS = 15_000
MAX_RECENT_PARTS = 2000
# An edge that did not subscribe for this long is not counted any more.
ACTIVE_EDGE_TIMEOUT_MS = 700
# All endpoint records are sent to an edge again after this time, if it never
# has those that this instance has meanwhile.
REGISTRY_AGAIN_MS = 1000
# An edge that did not subscribe for this long gets no more messages.
SUBSCRIPTION_TIMEOUT_MS = 2000
# Control instances tell each other this often which edges they serve.
KNOWN_EDGES_PERIOD_MS = 1000
# The leader introduces itself to so many edges at once that nobody serves,
# and to others after this time.
MAX_INTRODUCTIONS = 8
INTRODUCTION_PERIOD_MS = 1000
# Edges of control instances that do not tell of evacuations are told of them
# this often.
INFORM_PERIOD_MS = 500
# For this long after its start a control instance may lack endpoints, so
# an edge must not drop the ones that its update leaves out.
REGISTRY_WARM_UP_MS = 15_000
# A read without confirmation by then is answered as uncertain. Callers
# try another control instance after one second.
READ_TIMEOUT_S = 0.8
PUT_TIMEOUT_S = 2.5
READ_POLL_PERIOD_S = 0.02
# Quarantined prompt parts are recorded this often, each within this time.
RECORD_PERIOD_MS = 250
RECORD_TIMEOUT_S = 1.0
# How long the links stay open after the last call was answered, to send
# what the call changed.
FINAL_SEND_S = 0.05
# Delay before a replica is reopened after a disk failure.
REOPEN_DELAY_S = 0.5


class Subscriber:
    """An edge that gets its table and endpoints from this instance.

    Args:
        now: the current time in ms.
        subscription: its subscription.

    Attributes:
        last_seen_ms: when it subscribed last.
        helpers: how other edges can send requests to it, if they can.
        requests_tables: whether it asks for newer tables.
        has_left: whether it uses another instance now. It still gets what is
            small, until its subscription expires.
        differing_digests: the digests of its registry and of this instance's
            at its last subscription, if they differed.
        registry_sent_ms: when all endpoint records were sent to it last, or
            need not be sent.
    """

    def __init__(self, now: int, subscription: messages.Subscribe):
        self.has_left = False
        self.differing_digests = (0, 0)
        self.registry_sent_ms = now - REGISTRY_AGAIN_MS
        self.renew(now, subscription)

    def renew(self, now: int, subscription: messages.Subscribe) -> None:
        """Record a further subscription."""
        self.last_seen_ms = now
        self.helpers = subscription.helpers
        self.requests_tables = subscription.requests_tables

    def needs_registry(self, digests: tuple[int, int], now: int) -> bool:
        """Return whether all endpoint records are to be sent again.

        A difference that lasts for one subscription only is a change that is
        still on its way, unless the edge has just come.

        Args:
            digests: the digests of its registry and of this instance's.
            now: the current time in ms.
        """
        if digests[0] == digests[1]:
            self.differing_digests = (0, 0)
            self.registry_sent_ms = now
            return False
        lasts = digests == self.differing_digests
        self.differing_digests = digests
        if not lasts and now - self.registry_sent_ms < REGISTRY_AGAIN_MS:
            return False
        self.registry_sent_ms = now
        return True


class ControlInstance:
    """One control instance.

    Args:
        settings: the instance's settings; ``data_folder`` must be set.
        decode_table: decodes the body of a route table.
        encode_without_customers: encodes a route table that admits nobody
            so that edges of all builds read it so.
    """

    def __init__(
        self,
        settings: instance_module.InstanceSettings,
        decode_table: Callable[[bytes], routes.RouteTable],
        encode_without_customers: Callable[[bytes], bytes],
    ):
        now = clock.now_ms()
        self.decode_table = decode_table
        self.encode_without_customers = encode_without_customers
        self.settings = settings
        self.name = str(settings.link)
        self.rng = random.Random()
        self.started_ms = now
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
        self.tallies = metering.TallyAggregator()
        self.edge_loads = loads_module.LoadAggregator()
        self.control_loads = loads_module.LoadAggregator()
        self.peers = peers_module.Peers(self.name, now)
        self.subscribers: dict[str, Subscriber] = {}
        self.edges = edgedirectory.EdgeDirectory()
        # Edges that nobody serves and that this instance dials.
        self.introduced: frozenset[str] = frozenset()
        self.older_served = olderserved.OlderServed()
        self.edge_parts = balancer.make_part_updates()
        self.all_parts = balancer.make_part_updates()
        self.recent_parts: gathering.RecentUpdates[
            tuple[str, str], messages.PartRead
        ] = gathering.RecentUpdates(RECENT_PARTS_TTL_MS, MAX_RECENT_PARTS)
        self.finding_relay = partfindings.FindingRelay()
        self.recorded_parts: set[str] = set()
        self.limits = endpointlimits.LimitTable()
        self.limits_to_edges = endpointlimits.make_limit_updates()
        self.limits_to_peers = endpointlimits.make_limit_updates()
        self.origins = streamorigins.OriginTable()
        self.origins_to_peers = streamorigins.make_origin_updates()
        self.permits = permits_module.PermitDesk(self.rng)
        self.cold_policies: dict[str, coldstarts.ColdPolicy] = {}
        self.cold_evidence = coldstarts.EvidenceTable()
        self.evidence_to_edges = coldstarts.make_evidence()
        self.evidence_to_peers = coldstarts.make_evidence()
        # Edges and instances that joined or may have missed messages, until
        # they are sent what they may lack.
        self.lacking_updates: set[str] = set()
        self.links.on_up = self._on_link_up
        self.links.on_loss = self._note_loss
        # The digests of a peer's and the own registry by peer, if they
        # differed at the peer's last presence.
        self.differing_digests: dict[str, tuple[int, int]] = {}
        self.edge_tallies: gathering.UpdateBatcher[
            tuple[str, int, int], messages.WindowTally
        ] = gathering.UpdateBatcher(TALLY_BATCH_DELAY_S)
        self.refreshed_ids: set[str] = set()
        self.pending_reads: dict[
            int, tuple[anyio.Event, list[messages.ReadReply]]
        ]
        self.pending_reads = {}
        self.presence_sequence = 0
        self.is_leaving = False
        self.table = messages.Table()
        self.tables = tableserver.TableServer()
        self.table_pushes = tableserver.TablePushes()
        self.confirmed_version = 0
        self.is_behind = False
        self.evacuations = evacuations_module.Evacuations()
        self.replicator = self._open_replicator()
        self.proposer = proposals.Proposer(self.name, self)
        self.evacuation_orders = evacuationorders.EvacuationOrders(
            settings.name,
            self.proposer,
            lambda: self.replicator.replica.state,
        )
        self.seeds: frozenset[str] = frozenset()
        self.set_seeds(settings.seeds)
        self._on_applied()

    def set_seeds(self, seeds: Iterable[settings_module.Address]) -> None:
        """Use other seeds from now on to find control instances."""
        earlier = self.seeds
        self.seeds = frozenset(map(str, seeds))
        for name in earlier - self._control_instances():
            self.links.remove(name)
        for name in self.seeds:
            self._add_link(name)

    def _open_replicator(self) -> replicator_module.Replicator:
        """Open the log in the data folder and start a replicator on it.

        A seed with ``bootstrap`` set starts a new cluster, with the
        seeds as voters, if its log is empty.
        """
        settings = self.settings
        assert settings.data_folder is not None
        log = log_module.open_disk_log(settings.data_folder)
        seeds = sorted(str(seed) for seed in settings.seeds)
        bootstraps = settings.bootstrap and self.name in seeds
        replicator = replicator_module.Replicator(
            self.name,
            log,
            self.links.send,
            self.rng,
            self.live_replicas,
            2 * settings.bounds.machines_lost + 1,
            initial_replica_id=_bootstrap_replica_id(self.name)
            if bootstraps
            else "",
            unresponsive_replicas=lambda members: (
                self.peers.silent_replicas(members, clock.now_ms())
                | self.peers.leaving_replicas().intersection(members)
            ),
            doubtful_replicas=lambda members: self.peers.doubtful_replicas(
                members, clock.now_ms()
            ),
        )
        replicator.on_applied = self._on_applied
        if bootstraps and replicator.is_empty:
            voters = tuple(_bootstrap_replica_id(seed) for seed in seeds)
            replicator.offer(
                replicator_module.Bootstrap("+".join(seeds), voters)
            )
        return replicator

    def live_replicas(self) -> dict[str, str]:
        """Return the replica identifier of each live control instance."""
        replica_by_instance = self.peers.replicas_by_link(clock.now_ms())
        replica_by_instance[self.name] = self.replicator.identity.replica
        return replica_by_instance

    async def _run_replicator(self) -> None:
        """Run the replicator, and reopen it after a disk failure."""
        while True:
            await self.replicator.run(self.timers)
            self.replicator.log.close()
            while self.replicator.failure:
                await anyio.sleep(REOPEN_DELAY_S)
                try:
                    self.replicator = await anyio.to_thread.run_sync(
                        self._open_replicator
                    )
                except (OSError, errors.PrimrosehitchError) as exc:
                    events.emit(events.REPLICA_FAILED, error=str(exc))

    def _on_applied(self) -> None:
        """Send the edges a newer table and newly recorded quarantines."""
        replica = self.replicator.replica
        recorded = set(replica.state.quarantined_parts)
        if recorded - self.recorded_parts:
            # A replica that restarts learns only from a leader which of
            # its entries are committed, after edges have subscribed.
            self.links.multicast(self.subscribers, self._quarantine_findings())
        self.recorded_parts = recorded
        for instance in self._replica_instances():
            self._add_link(instance)
        self._apply_evacuations(replica.state)
        table = replica.state.table
        if table.version <= self.table.version:
            return
        self.table = table
        self.tables.put(table)
        with containment.contain("services and customers of the table"):
            self._read_table(table)
        metrics.CONFIG_VERSION.set(table.version)
        events.emit(events.VERSION_IN_FORCE, version=table.version)
        self._push_table(self.subscribers)
        status = self._make_status(clock.now_ms())
        self.links.multicast(self.subscribers, status)

    def _read_table(self, table: messages.Table) -> None:
        """Use the services of a table, and prepare it for the edges."""
        decoded = self.decode_table(table.body)
        self.registry.set_services(decoded.services)
        self.cold_policies = coldrates.policies(
            decoded.services.values(), self.settings.bounds
        )
        if decoded.needs_key and not decoded.customers:
            self.tables.put(
                table._replace(body=self.encode_without_customers(table.body))
            )

    def _push_table(self, edges: Iterable[str]) -> None:
        """Send edges of older releases the table, unless it is on its way."""
        now = clock.now_ms()
        version = self.table.version
        lacking = [
            edge
            for edge in edges
            if not self.subscribers[edge].requests_tables
            and self.links.is_connected(edge)
            and self.table_pushes.is_due(edge, version, now)
        ]
        for edge in lacking:
            self.table_pushes.record(edge, version, now)
        if lacking:
            self.links.multicast(lacking, self.tables.table)

    def _on_table_request(
        self, sender: str, request: messages.TableRequest
    ) -> None:
        piece = self.tables.answer(request, clock.now_ms())
        if piece is not None:
            self.links.send(sender, piece)

    def _apply_evacuations(self, state: state_module.State) -> None:
        """Send the edges a status if other failure domains are evacuated."""
        if state.version <= self.evacuations.version:
            return
        change = self.evacuations.apply(
            state.version, evacuations_module.domains_in(state.rows.values())
        )
        if evacuations_module.report(change, self.evacuations):
            status = self._make_status(clock.now_ms())
            informed = self.older_served.informed
            self.links.multicast(informed.union(self.subscribers), status)

    def _replica_instances(self) -> set[str]:
        """Return the names of the instances with a voter or learner."""
        raft = self.replicator.raft
        members = raft.voters + raft.learners
        return {replica_module.instance_of(replica) for replica in members}

    def _add_link(self, name: str) -> None:
        if name not in self.links.peers and name != self.name:
            address = settings_module.parse_address(name)
            self.links.add(links_module.LinkPeer(name, address))

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""
        return self.replicator.leader()

    async def propose_locally(self, kind: str, body: bytes):
        """Propose to the replica of this process."""
        return await self.replicator.propose(kind, body)

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""
        return self.links.send(target, message)

    async def put_table(self, version: int, body: bytes) -> bool:
        """Replicate a route table.

        Args:
            version: the table's version.
            body: the table as the operators sent it, already validated.

        Returns:
            Whether this or a higher version is known to be committed.
        """
        if version <= self.table.version:
            return await self.read_confirmed_table() is not None
        try:
            await self.proposer.propose(
                messages.Table(version, body), PUT_TIMEOUT_S
            )
        except errors.ProposalError as exc:
            events.emit(
                events.TABLE_UNCERTAIN, version=version, error=str(exc)
            )
            return False
        return True

    async def read_confirmed_table(self) -> messages.Table | None:
        """Return the newest committed table, by a linearizable read.

        Returns:
            The table, or None if no quorum confirmed it in time.
        """
        with anyio.move_on_after(READ_TIMEOUT_S):
            while True:
                index = await self._fetch_read_index()
                if index is not None:
                    table = await self._wait_for_applied(index)
                    errors.require(
                        table.version >= self.confirmed_version,
                        "a confirmed read never goes back to an older table",
                        "control.read",
                    )
                    self.confirmed_version = table.version
                    return table
                await anyio.sleep(READ_POLL_PERIOD_S * 5)
        events.emit(events.TABLE_UNCERTAIN, version=self.table.version)
        return None

    async def read_confirmed_evacuations(
        self,
    ) -> evacuations_module.Evacuations | None:
        """Return the evacuated failure domains, by a linearizable read.

        Returns:
            They with their version, or None if no quorum confirmed them in
            time.
        """
        if await self.read_confirmed_table() is None:
            return None
        state = self.replicator.replica.state
        confirmed = evacuations_module.Evacuations()
        confirmed.apply(
            state.version, evacuations_module.domains_in(state.rows.values())
        )
        return confirmed

    async def _wait_for_applied(self, index: int) -> messages.Table:
        """Return the table once the replica has applied a log index."""
        while self.replicator.raft.applied_index < index:
            await anyio.sleep(READ_POLL_PERIOD_S)
        return self.replicator.replica.state.table

    async def _fetch_read_index(self) -> int | None:
        """Return the log index that a read must wait for.

        Returns:
            The index, confirmed by the leader, or None if there is no
            leader or it could not confirm its leadership.
        """
        leader = self.leader()
        if leader == self.name:
            return self.replicator.read_index()
        if not leader:
            return None
        read_number = self.rng.getrandbits(48)
        event, replies = anyio.Event(), []
        self.pending_reads[read_number] = (event, replies)
        try:
            self.links.send(leader, messages.ReadRequest(read_number))
            with anyio.move_on_after(READ_TIMEOUT_S / 2):
                await event.wait()
        finally:
            del self.pending_reads[read_number]
        if replies and replies[0].confirmed:
            return replies[0].index
        return None

    def record_heartbeat(self, record: messages.EndpointRecord) -> None:
        """Store an endpoint's record from its heartbeat to this instance.

        Raises:
            MessageError: the record holds a value that no message carries.
        """
        now = clock.now_ms()
        record = record._replace(heard_ms=self.true_time.wall_ms_at(now))
        # A record that is known is sent to other instances again and again.
        messages.encode(record)
        self.refreshed_ids.add(record.id)
        change = self.registry.apply_record(record, now)
        if change is not None:
            self._broadcast_endpoint(change)

    def record_departure(self, identifier: str, born: int) -> None:
        """Mark an endpoint as gone.

        Args:
            identifier: the endpoint's identifier.
            born: when the process that leaves had started; 0 means the
                newest known start.
        """
        change = self.registry.mark_left(identifier, born, clock.now_ms())
        if change is not None:
            self._broadcast_endpoint(change)

    def _broadcast_endpoint(
        self, change: registry_module.EndpointChange
    ) -> None:
        """Send a changed record to the edges and the other instances."""
        update = messages.EndpointUpdate((change.record,), False)
        self._send_to_edges(change)
        self.links.multicast(self.peers.link_names(), update)

    def _send_to_edges(self, change: registry_module.EndpointChange) -> None:
        """Log a changed record and send it to the subscribed edges."""
        self._log_endpoint_change(change)
        update = messages.EndpointUpdate((change.record,), False)
        self.links.multicast(self.subscribers, update)

    def _log_endpoint_change(
        self, change: registry_module.EndpointChange
    ) -> None:
        record = change.record
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=record.id,
            state=record.state,
            cause=change.cause,
            address=record.address,
            service=record.service,
            version=record.version,
        )
        metrics.ENDPOINTS.set(len(self.registry.live_records()))

    async def run(
        self,
        stop: anyio.Event,
        finish_calls: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Serve until ``stop`` is set, then transfer the leadership.

        Args:
            stop: set to stop the instance.
            finish_calls: called after the transfer, while links and
                replica still run; returns once no call is under way and
                none is taken any more.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.timers.run)
            group.start_soon(self.links.run)
            group.start_soon(self._dispatch_messages, self.inbox)
            group.start_soon(self._run_replicator)
            group.start_soon(self._broadcast_presence)
            group.start_soon(self._broadcast_refreshed)
            group.start_soon(self._broadcast_loads)
            group.start_soon(self._record_quarantines)
            group.start_soon(self._issue_permits)
            group.start_soon(self._broadcast_known_edges)
            group.start_soon(self._introduce)
            group.start_soon(self._inform_of_evacuations)
            for gatherer, make_message, targets in (
                (
                    self.edge_tallies,
                    messages.TallyBatch,
                    self.peers.link_names,
                ),
                (self.edge_parts, messages.PartsRead, self.peers.link_names),
                (self.all_parts, messages.PartsRead, self._served_edges),
                (
                    self.finding_relay.to_peers,
                    messages.PartFindings,
                    self.peers.link_names,
                ),
                (
                    self.finding_relay.to_edges,
                    messages.PartFindings,
                    self._served_edges,
                ),
                (
                    self.limits_to_peers,
                    messages.EndpointLimits,
                    self.peers.link_names,
                ),
                (
                    self.evidence_to_peers,
                    messages.EndpointLimits,
                    self.peers.link_names,
                ),
                (
                    self.evidence_to_edges,
                    messages.EndpointLimits,
                    self.subscribers.keys,
                ),
                (
                    self.origins_to_peers,
                    messages.StreamOrigins,
                    self.peers.link_names,
                ),
                (
                    self.limits_to_edges,
                    messages.EndpointLimits,
                    self.subscribers.keys,
                ),
            ):
                group.start_soon(
                    self._forward_batches, gatherer, make_message, targets
                )
            group.start_soon(self._expire_stale)
            events.emit(events.STARTED, instance=self.settings.name)
            await stop.wait()
            await self._leave()
            if finish_calls is not None:
                await finish_calls()
                await anyio.sleep(FINAL_SEND_S)
            group.cancel_scope.cancel()
        events.emit(events.STOPPED, instance=self.settings.name)

    async def _leave(self) -> None:
        """Tell the others, and hand over the lead within one second."""
        events.emit(events.DRAINING, instance=self.settings.name)
        self.is_leaving = True
        self._send_presence()
        with anyio.move_on_after(1.0):
            while self.replicator.is_leader() and self.peers.link_names():
                self.replicator.offer(replicator_module.TransferLeadership())
                await anyio.sleep(0.05)

    async def _broadcast_presence(self) -> None:
        """Send a heartbeat to all other control instances."""
        async for tick in self.timers.subscribe(PRESENCE_PERIOD_MS):
            self.true_time.update_from_reports(clock.wall_ms(), tick.now)
            self._report_lag()
            self._send_presence()

    def _send_presence(self) -> None:
        presence = self._make_presence()
        for name in self._control_instances():
            self._add_link(name)
            self.links.send(name, presence)

    def _report_lag(self) -> None:
        """Log when this replica falls behind its leader."""
        raft = self.replicator.raft
        is_follower = self.leader() and not self.replicator.is_leader()
        lag_ms = raft.lag_ms() if is_follower else 0
        is_behind = lag_ms > LEADER_CONTACT_TIMEOUT_MS
        if is_behind and not self.is_behind:
            events.emit(
                events.REPLICA_BEHIND,
                leader=self.leader(),
                behind_ms=lag_ms,
                applied=raft.applied_index,
                awaited=raft.awaited_commit,
            )
        self.is_behind = is_behind

    def _control_instances(self) -> set[str]:
        """Return the other instances: seeds, peers and replicas."""
        instances = set(self.seeds)
        instances |= set(self.peers.link_names()) | self._replica_instances()
        instances.discard(self.name)
        return instances

    def _make_presence(self) -> messages.Presence:
        self.presence_sequence += 1
        return messages.Presence(
            name=self.settings.name,
            link=self.name,
            domain=self.settings.domain,
            replica=self.replicator.identity.replica,
            incarnation=self.incarnation,
            sequence=self.presence_sequence,
            wall_ms=clock.wall_ms(),
            peers=tuple(self.peers.link_names()),
            edges=self._active_edges(clock.now_ms()),
            leaving=self.is_leaving,
            registry=self.registry.digest(),
            helpers=helpers_module.select_helpers(
                self._own_helpers(), self.settings.domain, self.rng
            ),
            names_edges=True,
            evacuates=True,
        )

    def _own_helpers(self) -> list[messages.HelperEdge]:
        """Return the edges of this instance that can help others."""
        edges = self.subscribers.values()
        return [helper for edge in edges for helper in edge.helpers]

    def _on_helper_request(
        self, sender: str, request: messages.HelperRequest
    ) -> None:
        """Tell an edge which edges can help it."""
        known = self._own_helpers()
        for presence in self.peers.alive_presences(clock.now_ms()):
            known += presence.helpers
        helpers = helpers_module.select_helpers(
            known, request.domain, self.rng
        )
        self.links.send(sender, messages.HelperReply(helpers))

    async def _broadcast_refreshed(self) -> None:
        """Send the records of the endpoints that sent heartbeats here.

        Without them the other control instances would expire endpoints
        that report to this instance only.
        """
        async for _ in self.timers.subscribe(REFRESH_PERIOD_MS):
            refreshed_ids, self.refreshed_ids = self.refreshed_ids, set()
            records = tuple(
                self.registry.entries[identifier].record
                for identifier in refreshed_ids
                if identifier in self.registry.entries
            )
            if records:
                update = messages.EndpointUpdate(records, False)
                self.links.multicast(self.peers.link_names(), update)

    async def _expire_stale(self) -> None:
        """Drop endpoints, edges and peers that were silent for too long."""
        async for tick in self.timers.subscribe(EXPIRE_PERIOD_MS):
            for change in self.registry.expire(tick.now):
                # Not to the other instances, which may still hear it.
                self._send_to_edges(change)
            self._forget_limits()
            self.origins.remove_expired(tick.now)
            for name, subscriber in list(self.subscribers.items()):
                if (
                    tick.now - subscriber.last_seen_ms
                    > SUBSCRIPTION_TIMEOUT_MS
                ):
                    del self.subscribers[name]
                    self.lacking_updates.discard(name)
                    if name not in self._control_instances():
                        self.links.remove(name)
            for name in self.peers.expire(tick.now):
                self.lacking_updates.discard(name)
                if name not in self._control_instances():
                    self.links.remove(name)

    async def _dispatch_messages(
        self, source: MemoryObjectReceiveStream[links_module.Received]
    ) -> None:
        """Pass each received message to the handler of its type."""
        async for received in source:
            kind = type(received.message)
            handler = self._HANDLERS.get(kind)
            if handler is not None:
                with containment.contain(
                    "dispatch", kind=kind.__name__, sender=received.sender
                ):
                    handler(self, received.sender, received.message)

    def _on_presence(self, sender: str, presence: messages.Presence) -> None:
        now = clock.now_ms()
        known = self.peers.presences.get(sender)
        self.peers.apply_presence(presence, now)
        if known is None or known.presence.incarnation != presence.incarnation:
            self.lacking_updates.add(sender)
        if sender in self.lacking_updates:
            self._send_missed(sender, self.registry.departed_records())
        self.true_time.add_report(sender, presence.wall_ms, now)
        for name in presence.peers:
            self._add_link(name)
        self._reconcile_registry(sender, presence.registry)

    def _reconcile_registry(self, sender: str, digest: int) -> None:
        """Send all endpoint records to a peer whose registry differs.

        Messages are lost while a link is down, so that each side may lack
        what the other one learned. A difference that lasts for one period
        only is a change that is still on its way.

        Args:
            sender: the peer.
            digest: the digest of its registry, 0 from an older release.
        """
        digests = (digest, self.registry.digest())
        lasting = self.differing_digests.get(sender) == digests
        if not digest or digests[0] == digests[1]:
            self.differing_digests.pop(sender, None)
            return
        self.differing_digests[sender] = digests
        if lasting:
            records = tuple(self.registry.reported_records())
            self.links.send(sender, messages.EndpointUpdate(records, True))

    def _on_subscribe(
        self, sender: str, subscription: messages.Subscribe
    ) -> None:
        """Answer an edge with the status and with what it lacks."""
        now = clock.now_ms()
        subscriber = self.subscribers.get(sender)
        if subscriber is None:
            # It may come back on the connection that it had before.
            self._add_link(sender)
            self._send_known_edges((messages.KnownEdge(sender),))
        if subscriber is None or subscriber.has_left:
            self.lacking_updates.add(sender)
            subscriber = Subscriber(now, subscription)
            self.subscribers[sender] = subscriber
        subscriber.renew(now, subscription)
        self.edges.record_heard(sender, now)
        if sender in self.lacking_updates:
            records = self.registry.inactive_records()
            records += self.registry.cold_records(now)
            self._send_missed(sender, records)
        self.true_time.add_report(sender, subscription.wall_ms, now)
        status = self._make_status(now)
        self.links.send(sender, status)
        if subscription.version < self.table.version:
            self._push_table((sender,))
        digests = (subscription.registry, status.registry)
        if subscriber.needs_registry(digests, now):
            is_complete = now - self.started_ms > REGISTRY_WARM_UP_MS
            records = tuple(self.registry.records())
            self.links.send(
                sender, messages.EndpointUpdate(records, is_complete)
            )

    def _on_unsubscribe(
        self, sender: str, message: messages.Unsubscribe
    ) -> None:
        """Send an edge that uses another instance only what is small."""
        subscriber = self.subscribers.get(sender)
        if subscriber is not None:
            subscriber.has_left = True

    def _served_edges(self) -> list[str]:
        """Return the subscribed edges that use no other instance."""
        return [
            name
            for name, subscriber in self.subscribers.items()
            if not subscriber.has_left
        ]

    def _make_status(self, now: int) -> messages.ControlStatus:
        controls = self.peers.domains_by_link(now)
        controls[self.name] = self.settings.domain
        return messages.ControlStatus(
            version=self.table.version,
            fresh=self._has_quorum_contact(now),
            true_ms=self.true_time.wall_ms_at(now),
            edges=self._count_edges(now),
            peers=tuple(controls),
            registry=self.registry.digest(),
            domains=tuple(controls.values()),
            incarnation=self.incarnation,
            catalog=self.evacuations.version,
            evacuated=self.evacuations.listed(),
        )

    def _active_edges(self, now: int) -> int:
        """Return the number of edges that use this instance.

        An edge that has moved on stays subscribed for a while.
        """
        return sum(
            now - subscriber.last_seen_ms <= ACTIVE_EDGE_TIMEOUT_MS
            and not subscriber.has_left
            for subscriber in self.subscribers.values()
        )

    def _count_edges(self, now: int) -> int:
        """Return the number of edges that any control instance serves.

        Edges that move between instances count once, by their names. Of an
        instance that does not name its edges only the number is known.
        """
        return self.edges.count_served(now) + self.peers.count_unnamed_edges(
            now
        )

    def _on_link_up(self, peer: str) -> None:
        """Introduce this instance to an edge that nobody serves.

        The status also answers a subscription that came before the link
        was up.
        """
        now = clock.now_ms()
        if peer in self.subscribers or peer in self.introduced:
            self.links.send(peer, self._make_status(now))
        if peer in self.introduced:
            # It lives. An older release may serve it without telling so.
            self.edges.record_heard(peer, now)

    async def _broadcast_known_edges(self) -> None:
        """Tell the other instances which edges this one serves."""
        async for tick in self.timers.subscribe(KNOWN_EDGES_PERIOD_MS):
            served = self.edges.items(tick.now, KNOWN_EDGES_PERIOD_MS)
            own = tuple(e for e in served if e.name in self.subscribers)
            if own:
                self._send_known_edges(own)

    def _send_known_edges(self, edges: tuple[messages.KnownEdge, ...]) -> None:
        self.links.multicast(
            self.peers.link_names(), messages.KnownEdges(edges)
        )

    def _on_known_edges(
        self, sender: str, message: messages.KnownEdges
    ) -> None:
        now = clock.now_ms()
        self.edges.apply(message.edges, now)
        known = self.peers.presences.get(sender)
        if known is not None and not known.presence.evacuates:
            names = [edge.name for edge in message.edges]
            self.older_served.record_named(names, now)

    async def _inform_of_evacuations(self) -> None:
        """Send the status to edges of instances of older releases."""
        async for tick in self.timers.subscribe(INFORM_PERIOD_MS):
            served = self.older_served
            for name in served.update(self.subscribers, tick.now):
                if name not in self.subscribers.keys() | self.introduced:
                    self.links.remove(name)
            if self.evacuations.version:
                status = self._make_status(tick.now)
                for name in served.informed:
                    self._add_link(name)
                    self.links.send(name, status)

    async def _introduce(self) -> None:
        """Dial edges that nobody serves, while leading.

        An edge that was paused or cut off may know no control instance
        that still exists. The status that it gets names the live ones.
        """
        async for tick in self.timers.subscribe(INTRODUCTION_PERIOD_MS):
            earlier, self.introduced = self.introduced, frozenset()
            self.edges.forget(tick.now)
            if self.replicator.is_leader() and self._has_quorum_contact(
                tick.now
            ):
                self.introduced = self.edges.unserved(
                    tick.now, MAX_INTRODUCTIONS, self.rng
                )
            for name in earlier - self.introduced - self.subscribers.keys():
                self.links.remove(name)
            for name in self.introduced:
                self._add_link(name)

    def _has_quorum_contact(self, now: int) -> bool:
        """Return whether this replica's state is that of a quorum.

        Hearing from the leader is not enough for a follower, as it may lack
        entries, nor is its lease for a leader, which does not know all that
        is committed before an entry of its own term is.
        """
        raft = self.replicator.raft
        if self.replicator.is_leader():
            index = self.replicator.read_index()
            return index is not None and raft.applied_index >= index
        return (
            bool(self.leader())
            and raft.current_at_ms >= 0
            and now - raft.current_at_ms < LEADER_CONTACT_TIMEOUT_MS
            and not self.replicator.failure
        )

    def _on_endpoints(
        self, sender: str, update: messages.EndpointUpdate
    ) -> None:
        """Store records from a peer; send those that changed to the edges.

        Of all records of a peer, departures of unknown endpoints are left
        out: registries would else pass them back and forth for ever.
        """
        now = clock.now_ms()
        for record in update.records:
            if (
                update.whole
                and record.state == registry_module.LEFT
                and record.id not in self.registry.entries
            ):
                continue
            change = self.registry.apply_record(record, now)
            if change is not None:
                self._send_to_edges(change)

    def _on_tallies(self, sender: str, batch: messages.TallyBatch) -> None:
        """Store usage counts; those of an edge are forwarded to peers."""
        self.tallies.apply_batch(batch)
        if sender in self.subscribers:
            for tally in batch.tallies:
                key = (tally.edge, tally.incarnation, tally.window)
                self.edge_tallies.put(key, tally)

    def _on_load(self, sender: str, report: messages.LoadReport) -> None:
        """Store the load of an edge, or the sum of a control instance."""
        now = clock.now_ms()
        if sender in self.peers.presences:
            self.control_loads.add_report(sender, report, now)
        else:
            self.edge_loads.add_report(sender, report, now)

    def _on_parts(self, sender: str, parts_read: messages.PartsRead) -> None:
        """Queue prefix parts for the edges; those from edges for peers too."""
        now = clock.now_ms()
        from_edge = sender not in self.peers.presences
        for part in parts_read.parts:
            key = (part.endpoint, part.part)
            self.recent_parts.put(key, part, now)
            self.all_parts.put(key, part)
            if from_edge:
                self.edge_parts.put(key, part)

    def _on_part_findings(
        self, sender: str, message: messages.PartFindings
    ) -> None:
        """Queue findings for the edges; those from edges for peers too."""
        now = clock.now_ms()
        is_from_edge = sender not in self.peers.presences
        for finding in message.findings:
            self.finding_relay.apply(finding, is_from_edge, now)

    def _on_limits(
        self, sender: str, message: messages.EndpointLimits
    ) -> None:
        """Queue changed limits for the edges; those of edges for peers.

        The same holds for endpoints that are presumed cold from now on.
        """
        self._merge_limits(
            sender, tuple(n for n in message.limits if not n.cold)
        )
        is_from_edge = sender not in self.peers.presences
        now = clock.now_ms()
        for news in message.limits:
            if (
                not news.cold
                or self._later_heartbeat(news) is not None
                or not self.cold_evidence.put(news, now)
            ):
                continue
            incarnation = endpointlimits.limited_incarnation(news)
            self.evidence_to_edges.put(incarnation, news)
            if is_from_edge:
                self.evidence_to_peers.put(incarnation, news)

    def _merge_limits(
        self, sender: str, limits: tuple[messages.EndpointLimit, ...]
    ) -> None:
        is_from_edge = sender not in self.peers.presences
        for limit in limits:
            if not self.limits.merge(limit):
                continue
            incarnation = endpointlimits.limited_incarnation(limit)
            self.limits_to_edges.put(incarnation, limit)
            if is_from_edge:
                self.limits_to_peers.put(incarnation, limit)

    def _on_origins(
        self, sender: str, message: messages.StreamOrigins
    ) -> None:
        """Store origins of streams; those of edges are for peers, too."""
        now = clock.now_ms()
        is_from_edge = sender not in self.peers.presences
        for origin in message.origins:
            if self.origins.put(origin, now) and is_from_edge:
                self.origins_to_peers.put(origin.stream, origin)

    def _on_origin_request(
        self, sender: str, request: messages.OriginRequest
    ) -> None:
        """Tell an edge the origins that are known of some streams."""
        origins = self.origins.select(request.streams, clock.now_ms())
        if origins:
            self.links.send(sender, messages.StreamOrigins(origins))

    def _on_permit_request(
        self, sender: str, request: messages.PermitRequest
    ) -> None:
        """Store what an edge or another instance wants of permits.

        An instance that has restarted learns of the limits as well.
        """
        self._merge_limits(
            sender, tuple(n for n in request.limits if n.said_ms)
        )
        self.permits.ask(sender, request.limits, clock.now_ms())
        self._send_later_heartbeats(sender, request)

    def _send_later_heartbeats(
        self, sender: str, request: messages.PermitRequest
    ) -> None:
        """Tell an edge what endpoints said after it presumed them cold.

        Heartbeats that change nothing are not sent to edges otherwise.
        """
        heartbeats = (
            self._later_heartbeat(item)
            for item in request.limits
            if item.cold_since_ms
        )
        records = tuple(record for record in heartbeats if record is not None)
        if records:
            update = messages.EndpointUpdate(records, False)
            self.links.send(sender, update)

    def _later_heartbeat(
        self, news: messages.EndpointLimit
    ) -> messages.EndpointRecord | None:
        """Return a heartbeat that is later than evidence, if there is one."""
        entry = self.registry.entries.get(news.endpoint)
        if entry is None or not coldstarts.refutes(entry.record, news):
            return None
        return entry.record

    def _cold_milli_per_s(self, incarnation: endpoint.Incarnation) -> int:
        """Return the rate of permits for an endpoint while it is cold.

        There are none for an endpoint that is not known, or that has started
        again: its next start gets its own.
        """
        entry = self.registry.entries.get(incarnation.endpoint)
        if entry is None or entry.record.born != incarnation.born:
            return 0
        policy = self.cold_policies.get(entry.record.service)
        return policy.milli_per_s if policy is not None else 0

    def _on_permit_grant(
        self, sender: str, grant: messages.PermitGrant
    ) -> None:
        """Pass permits of the leader on to edges that want them."""
        grants = self.permits.pass_on(grant, clock.now_ms())
        for edge, share in grants.items():
            self.links.send(edge, share)

    async def _issue_permits(self) -> None:
        """Issue permits while leading, else ask the leader for some.

        Leases of leaders do not overlap, so that at no time two instances
        issue permits.
        """
        async for tick in self.timers.subscribe(PERMIT_PERIOD_MS):
            leader = self.leader()
            if leader == self.name and self._has_quorum_contact(tick.now):
                grants = self.permits.issue(tick.now, self._cold_milli_per_s)
                for sender, grant in grants.items():
                    self.links.send(sender, grant)
                continue
            self.permits.stop_issuing()
            totals = self.permits.totals(tick.now)
            if totals and leader and leader != self.name:
                self.links.send(leader, messages.PermitRequest(totals))

    async def _record_quarantines(self) -> None:
        """Record quarantined parts in the replicated state while leading."""
        async for tick in self.timers.subscribe(RECORD_PERIOD_MS):
            if not self.replicator.is_leader():
                continue
            for command in self.finding_relay.commands(
                self.replicator.replica.state.quarantined_parts,
                tick.now,
                self.true_time.wall_ms_at(tick.now),
            ):
                try:
                    await self.proposer.propose(command, RECORD_TIMEOUT_S)
                except errors.ProposalError as exc:
                    # It is proposed again in the next period.
                    events.emit(
                        events.VERDICT_UNRECORDED,
                        part=command.part,
                        error=str(exc),
                    )
                    break

    def _forget_limits(self) -> None:
        """Forget the limits of endpoints that left or started again.

        Endpoints that this instance has not heard of yet keep theirs.
        """
        for incarnation in list(self.limits.entries):
            entry = self.registry.entries.get(incarnation.endpoint)
            if entry is not None and (
                entry.record.state == registry_module.LEFT
                or entry.record.born != incarnation.born
            ):
                del self.limits.entries[incarnation]

    def _note_loss(self, receiver: str) -> None:
        """Note that messages to an edge or instance may have been lost."""
        self.table_pushes.forget(receiver)
        if receiver in self.subscribers or receiver in self.peers.presences:
            self.lacking_updates.add(receiver)

    def _send_missed(
        self, receiver: str, records: list[messages.EndpointRecord]
    ) -> None:
        """Send an edge or instance what it may lack and no digest shows.

        The link to a new peer comes up only after its first message, so
        this is called again until all messages are queued.

        Args:
            receiver: the edge or instance.
            records: the inactive and cold endpoints that it should know of.
        """
        now = clock.now_ms()
        parts: tuple[messages.PartRead, ...] = ()
        if receiver not in self.subscribers or self._has_quorum_contact(now):
            # An edge does not stay with an instance without a quorum.
            parts = self.recent_parts.values(now)
        missed = (
            messages.EndpointUpdate(tuple(records), False),
            messages.PartsRead(parts),
            self._quarantine_findings(),
            messages.EndpointLimits(tuple(self.limits.in_force())),
            messages.EndpointLimits(self._open_evidence()),
        )
        if receiver in self.peers.presences:
            missed += (
                messages.StreamOrigins(self.origins.items(now)),
                messages.KnownEdges(self.edges.items(now)),
                messages.PartFindings(self.finding_relay.sound_findings(now)),
            )
        if all(self.links.send(receiver, message) for message in missed):
            self.lacking_updates.discard(receiver)

    def _open_evidence(self) -> tuple[messages.EndpointLimit, ...]:
        """Return which endpoints may be cold by what edges found lately."""
        return tuple(
            news
            for news in self.cold_evidence.values(clock.now_ms())
            if self._later_heartbeat(news) is None
        )

    def _quarantine_findings(self) -> messages.PartFindings:
        """Return the quarantined parts, for receivers that may lack them."""
        now = clock.now_ms()
        return messages.PartFindings(
            self.finding_relay.findings_to_join(
                self.replicator.replica.state.quarantined_parts,
                now,
                self.true_time.wall_ms_at(now),
            )
        )

    async def _forward_batches(
        self,
        gatherer: gathering.UpdateBatcher,
        make_message: Callable[[tuple], tuple],
        targets: Callable[[], Iterable[str]],
    ) -> None:
        """Send gathered items in batches.

        Args:
            gatherer: collects the items.
            make_message: makes one message of a batch.
            targets: returns the names of the receivers.
        """
        while True:
            message = make_message(await gatherer.take())
            self.links.multicast(targets(), message)

    async def _broadcast_loads(self) -> None:
        """Send load sums periodically.

        The other instances get the sum over the edges of this one, and
        these edges get the sum over the edges of all instances.
        """
        async for tick in self.timers.subscribe(LOAD_REPORT_PERIOD_MS):
            self.edge_loads.expire(tick.now)
            self.control_loads.expire(tick.now)
            edge_total = self.edge_loads.total()
            if edge_total.demands:
                self.links.multicast(self.peers.link_names(), edge_total)
            self.control_loads.add_report(self.name, edge_total, tick.now)
            total = self.control_loads.total()
            self.links.multicast(self._served_edges(), total)

    def in_flight_by_service(self) -> dict[str, int]:
        """Return the in-flight requests of all edges, by service."""
        total = self.control_loads.total()
        return {item.service: item.running for item in total.demands}

    def _on_replica_message(
        self, sender: str, message: messages.ReplicaMessage
    ) -> None:
        self.replicator.offer(replicator_module.PeerMessage(message))

    def _on_proposal(self, sender: str, proposal: messages.Proposal) -> None:
        """Propose a peer's command to this replica; reply with the outcome."""

        def answer(outcome: str, value: tuple | None) -> None:
            kind = type(value).__name__ if value is not None else ""
            body = messages.encode(value) if value is not None else b""
            reply = messages.ProposalReply(
                proposal.proposal_id, outcome, kind, body, self.leader()
            )
            self.links.send(sender, reply)

        local_proposal = replicator_module.LocalProposal(
            proposal.kind, proposal.body, answer
        )
        if not self.replicator.offer(local_proposal):
            answer(proposals.NOT_LEADER, None)

    def _on_proposal_reply(
        self, sender: str, reply: messages.ProposalReply
    ) -> None:
        self.proposer.handle_reply(reply)

    def _on_read_request(
        self, sender: str, request: messages.ReadRequest
    ) -> None:
        index = self.replicator.read_index()
        reply = messages.ReadReply(
            request.number, index is not None, index or 0
        )
        self.links.send(sender, reply)

    def _on_read_reply(self, sender: str, reply: messages.ReadReply) -> None:
        pending = self.pending_reads.get(reply.number)
        if pending is not None:
            pending[1].append(reply)
            pending[0].set()

    _HANDLERS: dict[type, Callable] = {
        messages.Presence: _on_presence,
        messages.Subscribe: _on_subscribe,
        messages.Unsubscribe: _on_unsubscribe,
        messages.TableRequest: _on_table_request,
        messages.KnownEdges: _on_known_edges,
        messages.EndpointUpdate: _on_endpoints,
        messages.TallyBatch: _on_tallies,
        messages.LoadReport: _on_load,
        messages.PartsRead: _on_parts,
        messages.PartFindings: _on_part_findings,
        messages.EndpointLimits: _on_limits,
        messages.PermitRequest: _on_permit_request,
        messages.PermitGrant: _on_permit_grant,
        messages.HelperRequest: _on_helper_request,
        messages.StreamOrigins: _on_origins,
        messages.OriginRequest: _on_origin_request,
        messages.ReplicaMessage: _on_replica_message,
        messages.Proposal: _on_proposal,
        messages.ProposalReply: _on_proposal_reply,
        messages.ReadRequest: _on_read_request,
        messages.ReadReply: _on_read_reply,
    }


def _bootstrap_replica_id(instance: str) -> str:
    """Return the identifier of a replica that bootstraps a cluster.

    It is derived from the instance's name, so the seeds know each other's
    identifiers before they communicate. A replica that joins later, or
    whose disk was lost, has a random identifier instead.
    """
    return f"{instance}/first"


__all__ = ["ControlInstance"]
