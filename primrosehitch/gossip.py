"""Gossip between instances: heartbeats, configuration, keys, endpoints.

Heartbeats carry an instance's versions, load and demand. An instance that
receives a heartbeat with a newer configuration version requests the rows
it lacks from the sender. A change of version is sent at once in an extra
heartbeat. Withdrawn keys are forwarded to all peers when they are first
received; endpoint announcements are forwarded by the instance that the
endpoint sent them to.
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

CHECK_INTERVAL_MS = 250
HEARTBEATS_PER_COMPLETE_COUNT = 8
ROWS_REQUEST_INTERVAL_MS = 500
MAX_ROWS_PER_REPLY = 2000


class Gossip:
    """Exchanges state with the other instances.

    Args:
        name: the instance's name.
        incarnation: a number that rises with each start of the instance.
        links: the links to peers.
        members: the other instances and their status.
        catalog: the configuration in force.
        directory: the known endpoints.
        dispatcher: provides the load and demand of this gateway.
        readiness: decides whether the gateway may serve requests.
        replicator: this instance's replica, or None if it has none.
        cell: the names of the instances that share this one's endpoints.
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
        self.heartbeat_sequence = 0
        self.leaving = False
        self.refresh_nonce = random.getrandbits(60)
        self.pending_announcements: dict[str, messages.Announcement] = {}
        self.rows_requested_at_ms = -ROWS_REQUEST_INTERVAL_MS
        self.partial_rows: dict[str, list[messages.Row]] = {}
        self.on_withdrawn: Callable[[list[str]], None] = lambda hashes: None

    def leader(self) -> str:
        """Return the leader's instance name, or "" if it is unknown."""
        if self.replicator is not None and self.replicator.leader():
            return self.replicator.leader()
        best_term, best_leader = 0, ""
        for member in self.members.alive_members():
            heartbeat = member.heartbeat
            leader_is_alive = self.members.is_alive(heartbeat.leader)
            if leader_is_alive and heartbeat.term > best_term:
                best_term, best_leader = heartbeat.term, heartbeat.leader
        return best_leader

    async def propose_locally(
        self, kind: str, body: bytes
    ) -> proposals.ProposalResult:
        """Propose a command to the replica of this process.

        Args:
            kind: the name of the command's type.
            body: the encoded command.
        """
        if self.replicator is None:
            return proposals.ProposalResult(proposals.NOT_LEADER, None, "")
        return await self.replicator.propose(kind, body)

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""
        return self.links.send(target, message)

    def present_replicas(self) -> dict[str, str]:
        """Return the replica identifier of each instance that is alive.

        Instances that have no replica or are leaving are left out.
        """
        return {
            m.name: m.heartbeat.replica_id
            for m in self.members.alive_members()
            if m.heartbeat.replica_id and not m.heartbeat.leaving
        }

    async def run(
        self,
        service: timers.TimerService,
        inbox: MemoryObjectReceiveStream[links_module.Received],
    ) -> None:
        """Send heartbeats and handle received messages until cancelled.

        Args:
            service: the timer service.
            inbox: the messages that the links receive.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_heartbeats, service)
            group.start_soon(self._run_checks, service)
            async for received in inbox:
                self._handle_message(received.sender, received.message)

    async def _send_heartbeats(self, service: timers.TimerService) -> None:
        ticks = service.subscribe(membership_module.HEARTBEAT_INTERVAL_MS)
        async for _ in ticks:
            self.send_heartbeat()
            self._broadcast_announcements()

    async def _run_checks(self, service: timers.TimerService) -> None:
        ticks = service.subscribe(CHECK_INTERVAL_MS)
        async for tick in ticks:
            if tick.elapsed_ms > timers.FREEZE_THRESHOLD_MS:
                events.emit(events.FROZEN, gap_ms=tick.elapsed_ms)
                self.readiness.record_freeze(tick.now)
                # Replies to refreshes sent before the freeze no longer count.
                self.refresh_nonce += 1
            for change in self.members.check_timeouts(tick.now):
                self._log_member_change(change)
            for change in self.directory.tick(tick.now):
                self._handle_endpoint_change(change)
            any_peer_alive = bool(self.members.alive_members())
            self.readiness.tick(any_peer_alive, tick.now)
            if self.readiness.refreshing:
                self._request_refresh()
            if self.replicator is not None and self.replicator.leader():
                self.readiness.record_contact(tick.now)

    def _request_refresh(self) -> None:
        self.links.broadcast(
            messages.Refresh(
                self.refresh_nonce,
                len(self.catalog.withdrawals),
                self.catalog.withdrawals_digest,
            )
        )

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all peers now.

        Peers outside the cell get neither load nor demand. Within the cell
        most heartbeats carry only the endpoint counts that changed; one in
        HEARTBEATS_PER_COMPLETE_COUNT carries all of them.
        """
        now = clock.now_ms()
        self.heartbeat_sequence += 1
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
        reduced = messages.Heartbeat(
            incarnation=self.incarnation,
            sequence=self.heartbeat_sequence,
            version=self.catalog.version,
            withdrawals=len(self.catalog.withdrawals),
            withdrawals_digest=self.catalog.withdrawals_digest,
            leader=self.replicator.leader() if self.replicator else "",
            term=term,
            leaving=self.leaving,
            replica_id=replica_id,
            replica_state=state,
        )
        sends_all_counts = (
            self.heartbeat_sequence % HEARTBEATS_PER_COMPLETE_COUNT == 1
        )
        full = reduced._replace(
            counts=self.dispatcher.router.inflight_counts(sends_all_counts),
            all_counts=sends_all_counts,
            demand=demand,
            waiting=self.dispatcher.waiting_counts(),
        )
        self.links.broadcast(full, reduced, self.cell)

    def apply_replicated_state(self) -> None:
        """Apply the replica's withdrawn keys and its published rows."""
        if self.replicator is None:
            return
        state = self.replicator.replica.state
        self.apply_withdrawals(state.withdrawals.values())
        self.apply_withdrawals(self.replicator.log.withdrawals.values())
        published = self.replicator.replica.published
        self._update_catalog(published.rows, published.version)
        self.send_heartbeat()

    def apply_withdrawals(self, withdrawals) -> list[str]:
        """Apply withdrawn keys and forward the new ones to all peers.

        New withdrawals are also kept on disk if the instance has a replica.

        Args:
            withdrawals: the withdrawn keys, known or new.

        Returns:
            The hashes of the keys that were not known as withdrawn.
        """
        new_hashes = self.catalog.merge_withdrawals(withdrawals)
        if new_hashes:
            for key_hash in new_hashes:
                events.emit(events.KEY_WITHDRAWN, key=key_hash[:12])
            self.on_withdrawn(new_hashes)
            new_withdrawals = tuple(
                self.catalog.withdrawals[h] for h in new_hashes
            )
            batch = messages.WithdrawalBatch(new_withdrawals)
            if self.replicator is not None:
                self.replicator.offer(
                    replicator_module.StoreWithdrawals(batch)
                )
            self.links.broadcast(batch)
            self.send_heartbeat()
        return new_hashes

    def apply_announcement(self, announcement: messages.Announcement) -> None:
        """Apply an endpoint's announcement and forward it to all peers.

        An announcement that changes the endpoint's status is forwarded at
        once, the others together with the next heartbeat.
        """
        self.pending_announcements[announcement.name] = announcement
        if self._update_endpoint(announcement):
            self._broadcast_announcements()

    def _broadcast_announcements(self) -> None:
        if self.pending_announcements:
            to_send = tuple(self.pending_announcements.values())
            self.pending_announcements.clear()
            self.links.broadcast(messages.AnnouncementBatch(to_send))

    def _handle_message(self, sender: str, message: tuple) -> None:
        handler = self._HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)

    def _on_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        now = clock.now_ms()
        for change in self.members.apply_heartbeat(sender, heartbeat, now):
            self._log_member_change(change)
        if heartbeat.leader:
            self.readiness.record_contact(now)
        if sender in self.cell:
            self.dispatcher.router.apply_counts(
                sender, heartbeat.counts, now, heartbeat.all_counts
            )
            demand = {d.customer: d.requests for d in heartbeat.demand}
            self.dispatcher.limits.record_peer_demand(sender, demand)
            self.dispatcher.fair_share.record_waiting(
                sender, heartbeat.waiting, now
            )
        self.readiness.record_known_version(heartbeat.version, now)
        if heartbeat.version > self.catalog.version:
            self._request_rows(sender, now)
        digest = self.catalog.withdrawals_digest
        if heartbeat.withdrawals_digest != digest:
            self.links.send(
                sender,
                messages.WithdrawalsRequest(len(self.catalog.withdrawals)),
            )

    def _request_rows(self, sender: str, now: int) -> None:
        if now - self.rows_requested_at_ms < ROWS_REQUEST_INTERVAL_MS:
            return
        self.rows_requested_at_ms = now
        self.partial_rows.clear()
        self.links.send(sender, messages.RowsRequest(self.catalog.version))

    def _on_rows_request(
        self, sender: str, request: messages.RowsRequest
    ) -> None:
        rows = self.catalog.rows_since(request.since)
        current_version = self.catalog.version
        for start in range(0, max(1, len(rows)), MAX_ROWS_PER_REPLY):
            chunk = tuple(rows[start : start + MAX_ROWS_PER_REPLY])
            is_last = start + MAX_ROWS_PER_REPLY >= len(rows)
            reply = messages.RowsReply(
                request.since, current_version, chunk, is_last
            )
            self.links.send(sender, reply)

    def _on_rows_reply(self, sender: str, reply: messages.RowsReply) -> None:
        rows = self.partial_rows.setdefault(sender, [])
        rows.extend(reply.rows)
        if not reply.done:
            return
        del self.partial_rows[sender]
        # The answer is complete, so the next request may follow at once.
        self.rows_requested_at_ms = clock.now_ms() - ROWS_REQUEST_INTERVAL_MS
        if reply.since <= self.catalog.version:
            self._update_catalog(rows, reply.through)
            self.send_heartbeat()

    def _update_catalog(self, rows, version: int) -> None:
        if self.catalog.update(rows, version):
            self.readiness.record_version(version)
            events.emit(events.VERSION_IN_FORCE, version=version)
            self.dispatcher.start_all_waiting()

    def _on_withdrawals(
        self, sender: str, batch: messages.WithdrawalBatch
    ) -> None:
        self.apply_withdrawals(batch.withdrawals)

    def _on_withdrawals_request(
        self, sender: str, request: messages.WithdrawalsRequest
    ) -> None:
        known_withdrawals = tuple(self.catalog.withdrawals.values())
        self.links.send(sender, messages.WithdrawalBatch(known_withdrawals))

    def _on_refresh(self, sender: str, refresh: messages.Refresh) -> None:
        if refresh.withdrawals_digest != self.catalog.withdrawals_digest:
            known_withdrawals = tuple(self.catalog.withdrawals.values())
            self.links.send(
                sender, messages.WithdrawalBatch(known_withdrawals)
            )
        reply = messages.RefreshReply(refresh.nonce, self.catalog.version)
        self.links.send(sender, reply)

    def _on_refresh_reply(
        self, sender: str, reply: messages.RefreshReply
    ) -> None:
        if reply.nonce != self.refresh_nonce:
            return
        if reply.version > self.catalog.version:
            self._request_rows(sender, clock.now_ms())
        self.readiness.record_refresh(reply.version)

    def _on_announcements(
        self, sender: str, batch: messages.AnnouncementBatch
    ) -> None:
        for announcement in batch.announcements:
            self._update_endpoint(announcement)

    def _update_endpoint(self, announcement: messages.Announcement) -> bool:
        now = clock.now_ms()
        changes = self.directory.record_announcement(announcement, now)
        for change in changes:
            self._handle_endpoint_change(change)
        self.dispatcher.router.update_endpoint(announcement.name)
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

    def _log_member_change(
        self, change: membership_module.StatusChange
    ) -> None:
        events.emit(
            events.MEMBER_CHANGED,
            instance=change.instance,
            status=change.status,
        )

    def _handle_endpoint_change(
        self, change: directory_module.StatusChange
    ) -> None:
        events.emit(
            events.ENDPOINT_CHANGED,
            endpoint=change.endpoint,
            status=change.status,
        )
        self.dispatcher.router.update_endpoint(change.endpoint)
        self.dispatcher.start_all_waiting()

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


__all__ = ["Gossip"]
