"""A control instance: durable state, operators and endpoints.

Its replica agrees with the others on the table of routes and on the
figures of usage windows. Endpoints announce themselves to any control
instance, which tells the others and the edges that subscribe to it.
"""

import random
from typing import Callable
from typing import Iterable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from primrosehitch import balancer
from primrosehitch import clock
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import gathering
from primrosehitch import instance as instance_module
from primrosehitch import links as links_module
from primrosehitch import loads as loads_module
from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import metrics
from primrosehitch import peers as peers_module
from primrosehitch import proposals
from primrosehitch import registry as registry_module
from primrosehitch import replica as replica_module
from primrosehitch import replicator as replicator_module
from primrosehitch import settings as settings_module
from primrosehitch import timers
from primrosehitch import truetime as truetime_module

INBOX_MESSAGES = 8192
PRESENCE_MS = 250
REFRESH_MS = 500
EXPIRE_MS = 1000
# A replica that heard from its leader within this time is in touch.
IN_TOUCH_MS = 700
# Loads change within the time a long prompt takes to read.
LOADS_MS = 250
# Usage totals of the edges wait this long for others, in seconds, so that
# what one control instance sends does not grow with its edges.
TALLIES_PAUSE_S = 0.25
# An edge that did not subscribe for this long gets no more updates.
SUBSCRIBED_MS = 2000
# After this its link is given up too.
FORGOTTEN_MS = 10_000
# A control instance that started lately has not heard of all endpoints.
YOUNG_MS = 15_000
# A read that is not confirmed by then is answered as uncertain; callers
# move on after a second.
READ_S = 0.8
PUT_S = 2.5
READ_POLL_S = 0.02
# A replica whose disk failed is opened again after this time.
REOPEN_S = 0.5


class Subscriber:
    """An edge that takes its table and endpoints from this instance."""

    def __init__(self, now: int):
        self.heard = now


class Control:
    """One control instance.

    Args:
        settings: the instance's settings; the data folder is set.
    """

    def __init__(self, settings: instance_module.InstanceSettings):
        now = clock.now_ms()
        self.settings = settings
        self.name = str(settings.link)
        self.rng = random.Random()
        self.started = now
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
        self.tallies = metering.Tallies()
        self.edge_loads = loads_module.LoadSums()
        self.control_loads = loads_module.LoadSums()
        self.peers = peers_module.Peers(self.name)
        self.subscribers: dict[str, Subscriber] = {}
        self.own_parts = balancer.make_parts()
        self.all_parts = balancer.make_parts()
        self.own_tallies: gathering.Gatherer[
            tuple[str, int, int], messages.WindowTally
        ] = gathering.Gatherer(TALLIES_PAUSE_S)
        self.refreshed: set[str] = set()
        self.reads: dict[int, tuple[anyio.Event, list[messages.ReadReply]]]
        self.reads = {}
        self.sequence = 0
        self.leaving = False
        self.table = messages.Table()
        self.confirmed_version = 0
        self.replicator = self._open_replica()
        self.proposer = proposals.Proposer(self.name, self)
        for seed in settings.seeds:
            self._link(str(seed))
        self._on_applied()

    # -- the replica -------------------------------------------------------

    def _open_replica(self) -> replicator_module.Replicator:
        settings = self.settings
        assert settings.data_folder is not None
        log = log_module.open_disk_log(settings.data_folder)
        seeds = sorted(str(seed) for seed in settings.seeds)
        begins = settings.bootstrap and self.name in seeds
        replicator = replicator_module.Replicator(
            self.name,
            log,
            self.links.send,
            self.rng,
            self.present_replicas,
            2 * settings.bounds.machines_lost + 1,
            first_id=_first_id(self.name) if begins else "",
            silent=lambda: self.peers.silent_replicas(
                self.replicator.raft.voters + self.replicator.raft.learners,
                clock.now_ms(),
            ),
        )
        replicator.on_applied = self._on_applied
        if begins and replicator.empty:
            voters = tuple(_first_id(seed) for seed in seeds)
            replicator.offer(
                replicator_module.Bootstrap("+".join(seeds), voters)
            )
        return replicator

    def present_replicas(self) -> dict[str, str]:
        """Return the replica by instance, as heard lately."""
        present = self.peers.replicas(clock.now_ms())
        present[self.name] = self.replicator.identity.replica
        return present

    async def _run_replica(self) -> None:
        """Run the replica; open it again after its disk failed."""
        while True:
            await self.replicator.run(self.timers)
            self.replicator.log.close()
            while self.replicator.failed:
                await anyio.sleep(REOPEN_S)
                try:
                    self.replicator = await anyio.to_thread.run_sync(
                        self._open_replica
                    )
                except (OSError, errors.PrimrosehitchError) as exc:
                    events.emit(events.REPLICA_FAILED, error=str(exc))

    def _on_applied(self) -> None:
        """Put a newer table in force and tell the edges."""
        replica = self.replicator.replica
        for instance in self._replica_instances():
            self._link(instance)
        table = replica.state.table
        if table.version <= self.table.version:
            return
        self.table = table
        metrics.VERSION.set(table.version)
        events.emit(events.VERSION_IN_FORCE, version=table.version)
        self.links.multicast(self.subscribers, table)

    def _replica_instances(self) -> set[str]:
        raft = self.replicator.raft
        known = raft.voters + raft.learners
        return {replica_module.instance_of(replica) for replica in known}

    def _link(self, name: str) -> None:
        if name not in self.links.peers and name != self.name:
            address = settings_module.parse_address(name)
            self.links.add(links_module.LinkPeer(name, address))

    # -- the way to the leader ---------------------------------------------

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""
        return self.replicator.leader()

    async def propose_locally(self, kind: str, body: bytes):
        """Propose to the replica of this process."""
        return await self.replicator.propose(kind, body)

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""
        return self.links.send(target, message)

    # -- operators ---------------------------------------------------------

    async def put_table(self, version: int, body: bytes) -> bool:
        """Agree on a table that was checked.

        Args:
            version: the table's version.
            body: the table as the operators sent it.

        Returns:
            Whether it, or a higher version, is known to last.
        """
        if version <= self.table.version:
            return await self.confirmed() is not None
        try:
            await self.proposer.propose(messages.Table(version, body), PUT_S)
        except errors.ProposalError as exc:
            events.emit(
                events.TABLE_UNCERTAIN, version=version, error=str(exc)
            )
            return False
        return True

    async def confirmed(self) -> messages.Table | None:
        """Return the newest table, or None where that is not sure."""
        with anyio.move_on_after(READ_S):
            while True:
                index = await self._read_index()
                if index is not None:
                    table = await self._applied_table(index)
                    errors.require(
                        table.version >= self.confirmed_version,
                        "a confirmed read never goes back",
                        "control.read",
                    )
                    self.confirmed_version = table.version
                    return table
                await anyio.sleep(READ_POLL_S * 5)
        events.emit(events.TABLE_UNCERTAIN, version=self.table.version)
        return None

    async def _applied_table(self, index: int) -> messages.Table:
        while self.replicator.raft.applied < index:
            await anyio.sleep(READ_POLL_S)
        return self.replicator.replica.state.table

    async def _read_index(self) -> int | None:
        """Ask the leader which index a read must have applied."""
        leader = self.leader()
        if leader == self.name:
            return self.replicator.read_index()
        if not leader:
            return None
        number = self.rng.getrandbits(48)
        event, replies = anyio.Event(), []
        self.reads[number] = (event, replies)
        try:
            self.links.send(leader, messages.ReadRequest(number))
            with anyio.move_on_after(READ_S / 2):
                await event.wait()
        finally:
            del self.reads[number]
        if replies and replies[0].confirmed:
            return replies[0].index
        return None

    # -- endpoints ---------------------------------------------------------

    def hear_endpoint(self, record: messages.EndpointRecord) -> None:
        """Take in what an endpoint said of itself to this instance."""
        self.refreshed.add(record.id)
        change = self.registry.hear(record, clock.now_ms())
        if change is not None:
            self._spread(change.record)

    def endpoint_left(self, identifier: str, born: int) -> None:
        """Note that an endpoint takes no more work."""
        change = self.registry.leave(identifier, born, clock.now_ms())
        if change is not None:
            self._spread(change.record)

    def _spread(self, record: messages.EndpointRecord) -> None:
        update = messages.EndpointUpdate((record,), False)
        self._note_endpoint(record)
        targets = [*self.subscribers, *self.peers.names()]
        self.links.multicast(targets, update)

    def _note_endpoint(self, record: messages.EndpointRecord) -> None:
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=record.id,
            state=record.state,
            address=record.address,
            service=record.service,
        )
        metrics.ENDPOINTS.set(len(self.registry.live()))

    # -- life --------------------------------------------------------------

    async def run(self, stop: anyio.Event) -> None:
        """Serve until asked to stop."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.timers.run)
            group.start_soon(self.links.run)
            group.start_soon(self._hear, self.inbox)
            group.start_soon(self._run_replica)
            group.start_soon(self._tell_presence)
            group.start_soon(self._tell_refreshed)
            group.start_soon(self._tell_loads)
            for gathered, kind, targets in (
                (self.own_tallies, messages.TallyBatch, self.peers.names),
                (self.own_parts, messages.PartsRead, self.peers.names),
                (self.all_parts, messages.PartsRead, self.subscribers.keys),
            ):
                group.start_soon(self._pass_on, gathered, kind, targets)
            group.start_soon(self._expire)
            events.emit(events.STARTED, instance=self.settings.name)
            await stop.wait()
            await self._hand_over()
            group.cancel_scope.cancel()
        events.emit(events.STOPPED, instance=self.settings.name)

    async def _hand_over(self) -> None:
        events.emit(events.DRAINING, instance=self.settings.name)
        self.leaving = True
        with anyio.move_on_after(1.0):
            while self.replicator.leads() and self.peers.names():
                self.replicator.offer(replicator_module.HandOver())
                await anyio.sleep(0.05)

    # -- periodic ----------------------------------------------------------

    async def _tell_presence(self) -> None:
        async for tick in self.timers.subscribe(PRESENCE_MS):
            self.true_time.settle(clock.wall_ms(), tick.now)
            presence = self._presence()
            for name in self._control_instances():
                self._link(name)
                self.links.send(name, presence)

    def _control_instances(self) -> set[str]:
        known = {str(seed) for seed in self.settings.seeds}
        known |= set(self.peers.names()) | self._replica_instances()
        known.discard(self.name)
        return known

    def _presence(self) -> messages.Presence:
        self.sequence += 1
        return messages.Presence(
            name=self.settings.name,
            link=self.name,
            domain=self.settings.domain,
            replica=self.replicator.identity.replica,
            incarnation=self.incarnation,
            sequence=self.sequence,
            wall_ms=clock.wall_ms(),
            peers=tuple(self.peers.names()),
            edges=len(self.subscribers),
            leaving=self.leaving,
        )

    async def _tell_refreshed(self) -> None:
        """Tell the others which endpoints are still heard here."""
        async for _ in self.timers.subscribe(REFRESH_MS):
            refreshed, self.refreshed = self.refreshed, set()
            records = tuple(
                self.registry.known[identifier].record
                for identifier in refreshed
                if identifier in self.registry.known
            )
            if records:
                update = messages.EndpointUpdate(records, False)
                self.links.multicast(self.peers.names(), update)

    async def _expire(self) -> None:
        async for tick in self.timers.subscribe(EXPIRE_MS):
            for change in self.registry.expire(tick.now):
                self._spread(change.record)
            for name, subscriber in list(self.subscribers.items()):
                if tick.now - subscriber.heard > SUBSCRIBED_MS:
                    del self.subscribers[name]
            for name in self.peers.expire(tick.now):
                if name not in self._control_instances():
                    self.links.remove(name)

    # -- messages ----------------------------------------------------------

    async def _hear(
        self, source: MemoryObjectReceiveStream[links_module.Received]
    ) -> None:
        async for received in source:
            handler = self._HANDLERS.get(type(received.message))
            if handler is not None:
                handler(self, received.sender, received.message)

    def _on_presence(self, sender: str, presence: messages.Presence) -> None:
        now = clock.now_ms()
        self.peers.hear(presence, now)
        self.true_time.hear(sender, presence.wall_ms, now)
        for name in presence.peers:
            self._link(name)

    def _on_subscribe(self, sender: str, ask: messages.Subscribe) -> None:
        now = clock.now_ms()
        self.subscribers[sender] = Subscriber(now)
        self.true_time.hear(sender, ask.wall_ms, now)
        fresh = self._in_touch(now)
        controls = self.peers.domains(now)
        controls[self.name] = self.settings.domain
        status = messages.ControlStatus(
            version=self.table.version,
            fresh=fresh,
            true_ms=self.true_time.at(now),
            edges=len(self.subscribers) + self.peers.edges(now),
            peers=tuple(controls),
            registry=self.registry.digest(),
            domains=tuple(controls.values()),
            incarnation=self.incarnation,
        )
        self.links.send(sender, status)
        if ask.version < self.table.version:
            self.links.send(sender, self.table)
        if ask.registry != status.registry:
            whole = now - self.started > YOUNG_MS
            records = tuple(self.registry.records())
            self.links.send(sender, messages.EndpointUpdate(records, whole))

    def _in_touch(self, now: int) -> bool:
        """Return whether this replica has a leader with a quorum."""
        raft = self.replicator.raft
        if self.replicator.leads():
            return now < raft.lease_until()
        heard = now - raft.last_contact < IN_TOUCH_MS
        return bool(self.leader()) and heard and not self.replicator.failed

    def _on_endpoints(
        self, sender: str, update: messages.EndpointUpdate
    ) -> None:
        now = clock.now_ms()
        for record in update.records:
            change = self.registry.hear(record, now)
            if change is not None:
                self._note_endpoint(change.record)
                forward = messages.EndpointUpdate((change.record,), False)
                self.links.multicast(self.subscribers, forward)

    def _on_tallies(self, sender: str, batch: messages.TallyBatch) -> None:
        self.tallies.hear(batch)
        if sender in self.subscribers:
            for tally in batch.tallies:
                key = (tally.edge, tally.incarnation, tally.window)
                self.own_tallies.put(key, tally)

    def _on_load(self, sender: str, report: messages.LoadReport) -> None:
        now = clock.now_ms()
        if sender in self.peers.heard:
            self.control_loads.hear(sender, report, now)
        else:
            self.edge_loads.hear(sender, report, now)

    def _on_parts(self, sender: str, parts: messages.PartsRead) -> None:
        from_edge = sender not in self.peers.heard
        for part in parts.parts:
            key = (part.endpoint, part.part)
            self.all_parts.put(key, part)
            if from_edge:
                self.own_parts.put(key, part)

    async def _pass_on(
        self,
        gathered: gathering.Gatherer,
        kind: Callable[[tuple], tuple],
        targets: Callable[[], Iterable[str]],
    ) -> None:
        """Tell what was gathered, as one message of a kind."""
        while True:
            message = kind(await gathered.take())
            self.links.multicast(targets(), message)

    async def _tell_loads(self) -> None:
        async for tick in self.timers.subscribe(LOADS_MS):
            self.edge_loads.expire(tick.now)
            self.control_loads.expire(tick.now)
            own = self.edge_loads.total()
            if own.demands:
                self.links.multicast(self.peers.names(), own)
            self.control_loads.hear(self.name, own, tick.now)
            self.links.multicast(self.subscribers, self.control_loads.total())

    def demand(self) -> dict[str, int]:
        """Return the requests under way by service, over all edges."""
        total = self.control_loads.total()
        return {item.service: item.running for item in total.demands}

    def _on_replica_message(
        self, sender: str, message: messages.ReplicaMessage
    ) -> None:
        self.replicator.offer(replicator_module.FromPeer(message))

    def _on_proposal(self, sender: str, proposal: messages.Proposal) -> None:
        def answer(outcome: str, value: tuple | None) -> None:
            kind = type(value).__name__ if value is not None else ""
            body = messages.encode(value) if value is not None else b""
            reply = messages.ProposalReply(
                proposal.proposal_id, outcome, kind, body, self.leader()
            )
            self.links.send(sender, reply)

        local = replicator_module.Local(proposal.kind, proposal.body, answer)
        if not self.replicator.offer(local):
            answer(proposals.NOT_LEADER, None)

    def _on_proposal_reply(
        self, sender: str, reply: messages.ProposalReply
    ) -> None:
        self.proposer.hear(reply)

    def _on_read_request(
        self, sender: str, request: messages.ReadRequest
    ) -> None:
        index = self.replicator.read_index()
        reply = messages.ReadReply(
            request.number, index is not None, index or 0
        )
        self.links.send(sender, reply)

    def _on_read_reply(self, sender: str, reply: messages.ReadReply) -> None:
        waiting = self.reads.get(reply.number)
        if waiting is not None:
            waiting[1].append(reply)
            waiting[0].set()

    _HANDLERS: dict[type, Callable] = {
        messages.Presence: _on_presence,
        messages.Subscribe: _on_subscribe,
        messages.EndpointUpdate: _on_endpoints,
        messages.TallyBatch: _on_tallies,
        messages.LoadReport: _on_load,
        messages.PartsRead: _on_parts,
        messages.ReplicaMessage: _on_replica_message,
        messages.Proposal: _on_proposal,
        messages.ProposalReply: _on_proposal_reply,
        messages.ReadRequest: _on_read_request,
        messages.ReadReply: _on_read_reply,
    }


def _first_id(instance: str) -> str:
    """Return the identifier of a replica that begins a cluster.

    All that begin it know each other's without talking; a replica that
    joins later or lost its disk has a number drawn at random.
    """
    return f"{instance}/first"


__all__ = ["Control"]
