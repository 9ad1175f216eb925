"""The task that owns what instances tell each other.

Heartbeats carry an instance's versions, load and demand; who sees a
newer version in one asks its sender for the rows since its own. A
change is told at once by an extra heartbeat. Withdrawn keys and
endpoint announcements are passed on when they are first heard.
"""

import random
from typing import Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from primrosehitch import catalog as catalog_module
from primrosehitch import clock
from primrosehitch import directory as directory_module
from primrosehitch import dispatcher as dispatcher_module
from primrosehitch import events
from primrosehitch import links as links_module
from primrosehitch import membership as membership_module
from primrosehitch import messages
from primrosehitch import proposals
from primrosehitch import readiness as readiness_module
from primrosehitch import replicator as replicator_module
from primrosehitch import timers

WATCH_MS = 250
COMPLETE_EVERY = 8
ASK_AGAIN_MS = 500
ROWS_CHUNK = 2000


class Spread:
    """What one instance knows of the others, and tells them.

    Args:
        name: the instance's name.
        incarnation: number of this start of the instance.
        links: the links to peers.
        members: the other instances.
        catalog: the configuration in force.
        directory: the endpoints known.
        dispatcher: load and demand of this gateway.
        readiness: whether the gateway may serve.
        replicator: the replica of this instance, or None.
        cell: the instances that share this one's endpoints.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        links: links_module.Links,
        members: membership_module.Members,
        catalog: catalog_module.Catalog,
        directory: directory_module.Directory,
        dispatcher: dispatcher_module.Dispatcher,
        readiness: readiness_module.Readiness,
        replicator: replicator_module.Replicator | None,
        cell: set[str],
    ):
        self.name = name
        self.cell = cell
        self.incarnation = incarnation
        self.links = links
        self.members = members
        self.catalog = catalog
        self.directory = directory
        self.dispatcher = dispatcher
        self.readiness = readiness
        self.replicator = replicator
        self.proposer = proposals.Proposer(name, self)
        self.sequence = 0
        self.leaving = False
        self.nonce = random.getrandbits(60)
        self.unspread: dict[str, messages.Announcement] = {}
        self.asked_at = -ASK_AGAIN_MS
        self.arriving: dict[str, list[messages.Row]] = {}
        self.on_withdrawn: Callable[[list[str]], None] = lambda hashes: None

    # -- the way to the leader ---------------------------------------------

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""
        if self.replicator is not None and self.replicator.leader():
            return self.replicator.leader()
        best_term, best = 0, ""
        for member in self.members.alive_members():
            heartbeat = member.heartbeat
            known = self.members.is_alive(heartbeat.leader)
            if known and heartbeat.term > best_term:
                best_term, best = heartbeat.term, heartbeat.leader
        return best

    async def propose_locally(
        self, kind: str, body: bytes
    ) -> proposals.ProposalResult:
        """Propose to the replica of this process."""
        if self.replicator is None:
            return proposals.ProposalResult(proposals.NOT_LEADER, None, "")
        return await self.replicator.propose(kind, body)

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""
        return self.links.send(target, message)

    def present_replicas(self) -> dict[str, str]:
        """Return the replica identifier by instance heard lately."""
        return {
            m.name: m.heartbeat.replica_id
            for m in self.members.alive_members()
            if m.heartbeat.replica_id and not m.heartbeat.leaving
        }

    # -- tasks -------------------------------------------------------------

    async def run(
        self,
        service: timers.TimerService,
        inbox: MemoryObjectReceiveStream[links_module.Received],
    ) -> None:
        """Hear and tell until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._beat, service)
            group.start_soon(self._watch, service)
            async for received in inbox:
                self._take(received.sender, received.message)

    async def _beat(self, service: timers.TimerService) -> None:
        ticks = service.subscribe(membership_module.HEARTBEAT_INTERVAL_MS)
        async for _ in ticks:
            self.tell()
            self._spread_announcements()

    async def _watch(self, service: timers.TimerService) -> None:
        ticks = service.subscribe(WATCH_MS)
        async for tick in ticks:
            if tick.elapsed_ms > timers.FREEZE_THRESHOLD_MS:
                events.emit(events.FROZEN, gap_ms=tick.elapsed_ms)
                self.readiness.note_freeze(tick.now)
                self.nonce += 1
            for change in self.members.check_timeouts(tick.now):
                self._note_member(change)
            for change in self.directory.tick(tick.now):
                self._note_endpoint(change)
            alive = bool(self.members.alive_members())
            self.readiness.tick(alive, tick.now)
            if self.readiness.refreshing:
                self._ask_refresh()
            if self.replicator is not None and self.replicator.leader():
                self.readiness.note_contact(tick.now)

    def _ask_refresh(self) -> None:
        self.links.broadcast(
            messages.Refresh(
                self.nonce,
                len(self.catalog.withdrawals),
                self.catalog.withdrawals_digest,
            )
        )

    def tell(self) -> None:
        """Send a heartbeat to all peers now."""
        now = clock.now_ms()
        self.sequence += 1
        replica_id = ""
        term = 0
        state = "none"
        if self.replicator is not None and not self.replicator.failure:
            replica_id = self.replicator.identity.replica
            term = self.replicator.raft.term
            state = "empty" if self.replicator.is_empty else "member"
        demand = tuple(
            messages.Demand(name, requests)
            for name, requests in self.dispatcher.limits.demands(now)
        )
        slim = messages.Heartbeat(
            incarnation=self.incarnation,
            sequence=self.sequence,
            version=self.catalog.version,
            withdrawals=len(self.catalog.withdrawals),
            withdrawals_digest=self.catalog.withdrawals_digest,
            leader=self.replicator.leader() if self.replicator else "",
            term=term,
            leaving=self.leaving,
            replica_id=replica_id,
            replica_state=state,
        )
        complete = self.sequence % COMPLETE_EVERY == 1
        full = slim._replace(
            counts=self.dispatcher.router.counts(complete),
            all_counts=complete,
            demand=demand,
            waiting=self.dispatcher.waiting(),
        )
        self.links.broadcast(full, slim, self.cell)

    # -- changes here ------------------------------------------------------

    def publish(self) -> None:
        """Take over what the replica put in force."""
        if self.replicator is None:
            return
        state = self.replicator.replica.state
        self.withdraw(state.withdrawals.values())
        self.withdraw(self.replicator.log.withdrawals.values())
        published = self.replicator.replica.published
        self._update(published.rows, published.version)
        self.tell()

    def withdraw(self, withdrawals) -> list[str]:
        """Apply withdrawn keys and pass on those that are new."""
        fresh = self.catalog.merge_withdrawals(withdrawals)
        if fresh:
            for key_hash in fresh:
                events.emit(events.KEY_WITHDRAWN, key=key_hash[:12])
            self.on_withdrawn(fresh)
            found = tuple(self.catalog.withdrawals[h] for h in fresh)
            batch = messages.WithdrawalBatch(found)
            if self.replicator is not None:
                self.replicator.offer(
                    replicator_module.StoreWithdrawals(batch)
                )
            self.links.broadcast(batch)
            self.tell()
        return fresh

    def announce(self, announcement: messages.Announcement) -> None:
        """Take in an endpoint's announcement and pass it on.

        One that changes the endpoint's status goes out at once; the
        others go with the next heartbeat.
        """
        self.unspread[announcement.name] = announcement
        if self._hear_announcement(announcement):
            self._spread_announcements()

    def _spread_announcements(self) -> None:
        if self.unspread:
            found = tuple(self.unspread.values())
            self.unspread.clear()
            self.links.broadcast(messages.AnnouncementBatch(found))

    # -- messages ----------------------------------------------------------

    def _take(self, sender: str, message: tuple) -> None:
        handler = self._HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)

    def _on_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        now = clock.now_ms()
        for change in self.members.apply_heartbeat(sender, heartbeat, now):
            self._note_member(change)
        if heartbeat.leader:
            self.readiness.note_contact(now)
        if sender in self.cell:
            self.dispatcher.router.hear_counts(
                sender, heartbeat.counts, now, heartbeat.all_counts
            )
            demand = {d.customer: d.requests for d in heartbeat.demand}
            self.dispatcher.limits.hear(sender, demand)
            self.dispatcher.share.hear(sender, heartbeat.waiting, now)
        self.readiness.note_known(heartbeat.version, now)
        if heartbeat.version > self.catalog.version:
            self._ask_rows(sender, now)
        digest = self.catalog.withdrawals_digest
        if heartbeat.withdrawals_digest != digest:
            self.links.send(
                sender,
                messages.WithdrawalsRequest(len(self.catalog.withdrawals)),
            )

    def _ask_rows(self, sender: str, now: int) -> None:
        if now - self.asked_at < ASK_AGAIN_MS:
            return
        self.asked_at = now
        self.arriving.clear()
        self.links.send(sender, messages.RowsRequest(self.catalog.version))

    def _on_rows_request(
        self, sender: str, request: messages.RowsRequest
    ) -> None:
        rows = self.catalog.rows_since(request.since)
        through = self.catalog.version
        for start in range(0, max(1, len(rows)), ROWS_CHUNK):
            chunk = tuple(rows[start : start + ROWS_CHUNK])
            done = start + ROWS_CHUNK >= len(rows)
            reply = messages.RowsReply(request.since, through, chunk, done)
            self.links.send(sender, reply)

    def _on_rows_reply(self, sender: str, reply: messages.RowsReply) -> None:
        rows = self.arriving.setdefault(sender, [])
        rows.extend(reply.rows)
        if not reply.done:
            return
        del self.arriving[sender]
        self.asked_at = clock.now_ms() - ASK_AGAIN_MS
        if reply.since <= self.catalog.version:
            self._update(rows, reply.through)
            self.tell()

    def _update(self, rows, version: int) -> None:
        if self.catalog.update(rows, version):
            self.readiness.note_version(version)
            events.emit(events.VERSION_IN_FORCE, version=version)
            self.dispatcher.pump_all()

    def _on_withdrawals(
        self, sender: str, batch: messages.WithdrawalBatch
    ) -> None:
        self.withdraw(batch.withdrawals)

    def _on_withdrawals_request(
        self, sender: str, request: messages.WithdrawalsRequest
    ) -> None:
        found = tuple(self.catalog.withdrawals.values())
        self.links.send(sender, messages.WithdrawalBatch(found))

    def _on_refresh(self, sender: str, refresh: messages.Refresh) -> None:
        if refresh.withdrawals_digest != self.catalog.withdrawals_digest:
            found = tuple(self.catalog.withdrawals.values())
            self.links.send(sender, messages.WithdrawalBatch(found))
        reply = messages.RefreshReply(refresh.nonce, self.catalog.version)
        self.links.send(sender, reply)

    def _on_refresh_reply(
        self, sender: str, reply: messages.RefreshReply
    ) -> None:
        if reply.nonce != self.nonce:
            return
        if reply.version > self.catalog.version:
            self._ask_rows(sender, clock.now_ms())
        self.readiness.note_refreshed(reply.version)

    def _on_announcements(
        self, sender: str, batch: messages.AnnouncementBatch
    ) -> None:
        for announcement in batch.announcements:
            self._hear_announcement(announcement)

    def _hear_announcement(self, announcement: messages.Announcement) -> bool:
        now = clock.now_ms()
        changes = self.directory.hear(announcement, now)
        for change in changes:
            self._note_endpoint(change)
        self.dispatcher.router.update(announcement.name)
        return bool(changes)

    def _on_replica_message(
        self, sender: str, message: messages.ReplicaMessage
    ) -> None:
        if self.replicator is not None:
            self.replicator.offer(replicator_module.PeerMessage(message))

    def _on_proposal(self, sender: str, proposal: messages.Proposal) -> None:
        def answer(outcome: str, value) -> None:
            kind = type(value).__name__ if value is not None else ""
            body = messages.encode(value) if value is not None else b""
            reply = messages.ProposalReply(
                proposal.proposal_id, outcome, kind, body, self.leader()
            )
            self.links.send(sender, reply)

        local = replicator_module.LocalProposal(
            proposal.kind, proposal.body, answer
        )
        if self.replicator is None or not self.replicator.offer(local):
            answer(proposals.NOT_LEADER, None)

    def _on_proposal_reply(
        self, sender: str, reply: messages.ProposalReply
    ) -> None:
        self.proposer.handle_reply(reply)

    def _note_member(self, change: membership_module.StatusChange) -> None:
        events.emit(
            events.MEMBER_CHANGED,
            instance=change.instance,
            status=change.status,
        )

    def _note_endpoint(self, change: directory_module.Change) -> None:
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=change.endpoint,
            status=change.status,
        )
        self.dispatcher.router.update(change.endpoint)
        self.dispatcher.pump_all()

    _HANDLERS = {
        messages.Heartbeat: _on_heartbeat,
        messages.RowsRequest: _on_rows_request,
        messages.RowsReply: _on_rows_reply,
        messages.WithdrawalBatch: _on_withdrawals,
        messages.WithdrawalsRequest: _on_withdrawals_request,
        messages.Refresh: _on_refresh,
        messages.RefreshReply: _on_refresh_reply,
        messages.AnnouncementBatch: _on_announcements,
        messages.ReplicaMessage: _on_replica_message,
        messages.Proposal: _on_proposal,
        messages.ProposalReply: _on_proposal_reply,
    }


__all__ = ["Spread"]
