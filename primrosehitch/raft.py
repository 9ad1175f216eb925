"""Raft consensus: elections, log replication, leader lease, membership.

``Raft`` opens no sockets and reads no clock. The caller passes the
current time in milliseconds of a monotonic clock that also counts the
time during which the machine was suspended. Messages to peers collect in
``outbox``; the caller may send them only after it has called
``log.sync`` and ``mark_synced``.

An election starts with a pre-vote round. A voter that heard from a
leader within the shortest election timeout grants no vote. The leader's
lease depends on this rule: it counts from the time at which the
acknowledged message was sent and is shorter than that timeout, so it
expires before another leader can be elected.
"""

import random
from typing import NamedTuple

from primrosehitch import errors
from primrosehitch import log as log_module
from primrosehitch import messages

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"

HEARTBEAT_INTERVAL_MS = 200
ELECTION_TIMEOUT_MIN_MS = 1200
ELECTION_TIMEOUT_MAX_MS = 2000
# A candidate that was not elected stands again after a time in this range.
# It is longer than a round of votes, each of which is synced to disk.
RETRY_ELECTION_MS = (250, 600)
FIRST_ELECTION_DELAY_MS = (300, 1000)
# Must be shorter than ELECTION_TIMEOUT_MIN_MS, or two leaders could hold
# a lease at the same time.
LEASE_MS = 1000
# How long a former leader may go on sending an order that it began while
# it held the lease.
MAX_ORDER_SEND_MS = 500
# A longer gap between two ticks means that the process was frozen.
MAX_TICK_GAP_MS = 1000
MAX_APPEND_ENTRIES = 256
# One message holds no more than this of the entries' bodies, or one entry.
MAX_APPEND_BYTES = 1 << 20
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# Kinds of the log entries that consensus itself writes.
NOOP = "Noop"
MEMBERSHIP = "Membership"


class Envelope(NamedTuple):
    """A message with the identifier of the replica it is sent to."""

    target: str
    message: tuple


class Progress:
    """Replication progress of one peer, as the leader knows it.

    Attributes:
        next_index: index of the next entry to send.
        match_index: highest entry known to be durable at the peer.
        acked_sent_ms: send time of the newest message that the peer
            acknowledged; -1 for none.
        rewound_ms: when the entries from ``next_index`` on were last sent
            again; -1 for never.
        chunk_offset: offset in bytes of the next snapshot chunk.
        chunk_sent_ms: when the last snapshot chunk was sent; -1 for none.
    """

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_ms = -1
        self.rewound_ms = -1
        self.chunk_offset = 0
        self.chunk_sent_ms = -1


class Raft:
    """The consensus state of one replica.

    Args:
        name: this replica's identifier.
        log: the durable log.
        rng: random source for election timeouts.
        now: the current time in ms.

    Attributes:
        role: one of ``follower``, ``pre-candidate``, ``candidate`` and
            ``leader``.
        leader: identifier of the known leader; empty for none.
        commit_index: index of the last entry known to be committed.
        applied_index: index of the last entry given out by
            ``take_committed`` or covered by an installed snapshot.
        durable_index: index of the last entry known to be synced here.
        outbox: messages to send after the next sync.
        last_contact_ms: when a leader was last heard from or a vote was
            granted; no other vote is granted soon after.
        timeout_started_ms: the election timeout counts from here; it is
            the last contact or the last candidacy.
        lease_valid_from_ms: acknowledgements of messages sent earlier do
            not extend the lease.
        following_since_ms: when this follower last got another leader.
        current_at_ms: the latest time by which this follower has applied
            all that its leader had committed, negative if none.
        awaited_commit: a commit index that the leader announced and when
            it did, until it is applied here; or None.
        step_down_reason: why this replica stopped to lead, for the log;
            empty before and while it leads.
    """

    def __init__(
        self, name: str, log: log_module.Log, rng: random.Random, now: int
    ):
        self.name = name
        self.log = log
        self.rng = rng
        self.role = FOLLOWER
        self.leader = ""
        self.step_down_reason = ""
        self.commit_index = max(
            log.snapshot.index, min(log.hard_state.commit, log.last_index)
        )
        self.applied_index = log.snapshot.index
        self.outbox: list[Envelope] = []
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        # Before a restart this voter may have acknowledged a leader, whose
        # lease can still be valid.
        self.last_contact_ms = now
        self.following_since_ms = now
        self.current_at_ms = -1
        self.awaited_commit: tuple[int, int] | None = None
        self.timeout_started_ms = now
        self.last_tick_ms = now
        self.last_heartbeat_ms = now
        self.lease_valid_from_ms = now
        self.leader_since_ms = now
        self.transferring_leadership = False
        self.transfer_started_ms = now
        self.installed_snapshot: messages.SnapshotMeta | None = None
        self.incoming_snapshot = bytearray()
        self.incoming_snapshot_index = 0
        self.encoded_snapshot = (0, b"")
        self.durable_index = log.last_index
        self.voters: tuple[str, ...] = ()
        self.learners: tuple[str, ...] = ()
        self._reset_timeout()
        self._reload_membership()

    @property
    def term(self) -> int:
        """The current term."""
        return self.log.hard_state.term

    def lease_expiry_ms(self) -> int:
        """Return when this leader's lease expires, in ms; -1 for no lease."""
        if self.role != LEADER or self.transferring_leadership:
            return -1
        acked = self._quorum_ack_ms()
        return -1 if acked < self.lease_valid_from_ms else acked + LEASE_MS

    def has_exclusive_lease(self, now: int) -> bool:
        """Return whether this replica alone may send orders now.

        The lease must be valid and the leader must have committed an
        entry of its own term. Enough time must also have passed since the
        election for the previous leader's lease to expire and for an
        order that it was sending to end.

        Args:
            now: the current time in ms.
        """
        if (
            now >= self.lease_expiry_ms()
            or now - self.last_tick_ms > MAX_TICK_GAP_MS
        ):
            return False
        if self.log.term_at(self.commit_index) != self.term:
            return False
        return now >= self.leader_since_ms + LEASE_MS + MAX_ORDER_SEND_MS

    def read_index(self, now: int) -> int | None:
        """Return the index that a linearizable read must have applied.

        Args:
            now: the current time in ms.

        Returns:
            The commit index, or None unless this replica is a leader that
            holds its lease and has committed an entry of its own term.
        """
        if (
            now >= self.lease_expiry_ms()
            or now - self.last_tick_ms > MAX_TICK_GAP_MS
        ):
            return None
        if self.log.term_at(self.commit_index) != self.term:
            return None
        return self.commit_index

    def is_caught_up(self, peer: str) -> bool:
        """Return whether a peer holds every committed entry."""
        progress = self.progress.get(peer)
        return (
            progress is not None and progress.match_index >= self.commit_index
        )

    def tick(self, now: int) -> None:
        """Advance time; call this several times per heartbeat interval."""
        gap = now - self.last_tick_ms
        self.last_tick_ms = now
        if gap > MAX_TICK_GAP_MS:
            self._recover_from_freeze(gap, now)
        if self.role == LEADER:
            self._tick_leader(now)
        elif now - self.timeout_started_ms >= self.election_timeout_ms:
            self._start_pre_vote(now)

    def receive(self, sender: str, message: tuple, now: int) -> None:
        """Process a message from a peer replica."""
        if now - self.last_tick_ms > MAX_TICK_GAP_MS:
            self.tick(now)
        handler = self._HANDLERS[type(message)]
        handler(self, sender, message, now)

    def propose(self, kind: str, body: bytes, now: int) -> int | None:
        """Append an entry if this replica is the leader.

        Returns:
            The entry's index, or None if this replica is not the leader
            or is transferring leadership.
        """
        if self.role != LEADER or self.transferring_leadership:
            return None
        return self._append_as_leader(kind, body, now)

    def change_membership(
        self, change: messages.Membership, now: int
    ) -> int | None:
        """Propose a new set of voters and learners.

        Returns:
            The entry's index, or None if this replica is not the leader,
            has not yet committed an entry of its own term, or has another
            membership change pending.

        Raises:
            InvariantError: the change adds or removes more than one voter.
        """
        ready = self.log.term_at(self.commit_index) == self.term
        if (
            self.role != LEADER
            or not ready
            or self.has_pending_membership_change()
        ):
            return None
        changed_voters = set(change.voters) ^ set(self.voters)
        errors.require(
            len(changed_voters) <= 1,
            f"a membership change affects several voters: {changed_voters}",
            "raft.membership",
        )
        return self.propose(MEMBERSHIP, messages.encode(change), now)

    def has_pending_membership_change(self) -> bool:
        """Return whether a membership change is uncommitted."""
        return self.membership_index > self.commit_index

    def transfer_leadership(self, now: int) -> str:
        """Ask the voter with the longest matching log to take over.

        Returns:
            The voter's identifier, or an empty string if no transfer
            starts: this replica is not the leader, is already transferring
            leadership, or no other voter holds the whole log.
        """
        peers = [p for p in self.voters if p != self.name]
        if self.role != LEADER or self.transferring_leadership or not peers:
            return ""
        successor = max(peers, key=lambda p: self.progress[p].match_index)
        if self.progress[successor].match_index < self.log.last_index:
            return ""
        self.transferring_leadership = True
        self.transfer_started_ms = now
        self._queue_message(successor, messages.HandOver(self.term))
        return successor

    def mark_synced(self) -> None:
        """Record that the log is durable up to its last entry."""
        self.durable_index = self.log.last_index
        if self.role == LEADER:
            self._advance_commit()

    def take_committed(self) -> list[messages.Entry]:
        """Return newly committed entries in order, each exactly once."""
        count = (
            min(self.commit_index, self.log.last_index) - self.applied_index
        )
        entries = list(
            self.log.entries_from(self.applied_index + 1, max(0, count))
        )
        self.applied_index += len(entries)
        self._check_awaited_commit()
        return entries

    def _await_commit(self, commit: int, now: int) -> None:
        """Note what the leader has committed by now."""
        awaited = self.awaited_commit
        if awaited is None or self.applied_index >= awaited[0]:
            self.awaited_commit = (commit, now)
            self._check_awaited_commit()

    def _check_awaited_commit(self) -> None:
        # The state machine has not taken an installed snapshot yet.
        if self.awaited_commit is None or self.installed_snapshot is not None:
            return
        commit, announced_ms = self.awaited_commit
        # A leader knows all that is committed only once it has committed an
        # entry of its own term.
        if (
            self.applied_index >= commit
            and self.log.term_at(commit) == self.term
        ):
            self.current_at_ms = announced_ms
            self.awaited_commit = None

    def lag_ms(self) -> int:
        """Return for how long this follower has been behind its leader.

        Returns:
            The time in ms for which the leader has been heard since this
            follower had applied all that the leader had committed.
        """
        current_ms = max(self.current_at_ms, self.following_since_ms)
        return max(0, self.last_contact_ms - current_ms)

    def take_installed_snapshot(self) -> messages.SnapshotMeta | None:
        """Return a newly installed snapshot once, or None."""
        installed, self.installed_snapshot = self.installed_snapshot, None
        return installed

    def compact(self, body: bytes) -> None:
        """Replace all applied entries by a snapshot of the state machine.

        Args:
            body: the encoded state machine at ``applied_index``.
        """
        term = self.log.term_at(self.applied_index)
        errors.require(
            term is not None,
            "the log lacks the last applied entry",
            "raft.compact",
        )
        voters, learners = self._membership_at(self.applied_index)
        meta = messages.SnapshotMeta(
            self.applied_index, term or 0, voters, learners, body
        )
        self.log.install_snapshot(meta)

    def bootstrap(self, voters: tuple[str, ...] = ()) -> None:
        """Start a new cluster.

        Args:
            voters: the first voters, the same at each of them; empty for
                a cluster of this replica alone.

        Raises:
            InvariantError: the log is not empty.
        """
        errors.require(
            self.log.last_index == 0,
            "cannot bootstrap: the log is not empty",
            "raft.bootstrap",
        )
        change = messages.Membership(voters or (self.name,), ())
        entry = messages.Entry(1, 1, MEMBERSHIP, messages.encode(change))
        self.log.set_term_and_vote(1, "" if voters else self.name)
        # A new cluster has had no leader, so there is no lease to wait for.
        self.last_contact_ms -= ELECTION_TIMEOUT_MAX_MS
        self.timeout_started_ms -= ELECTION_TIMEOUT_MAX_MS
        self.election_timeout_ms = ELECTION_TIMEOUT_MAX_MS + self.rng.randint(
            *FIRST_ELECTION_DELAY_MS
        )
        self.log.append([entry])
        self._reload_membership()

    def _membership_at(self, index: int) -> tuple[tuple, tuple]:
        count = index - self.log.snapshot.index
        for entry in reversed(self.log.entries[:count]):
            if entry.kind == MEMBERSHIP:
                change = messages.decode(messages.Membership, entry.body)
                return change.voters, change.learners
        return self.log.snapshot.voters, self.log.snapshot.learners

    def _reload_membership(self) -> None:
        self.voters, self.learners = self._membership_at(self.log.last_index)
        self.membership_index = 0
        for entry in reversed(self.log.entries):
            if entry.kind == MEMBERSHIP:
                self.membership_index = entry.index
                break
        if self.role == LEADER:
            self._update_tracked_peers()

    def _update_tracked_peers(self) -> None:
        members = set(self.voters) | set(self.learners)
        members.discard(self.name)
        for peer in members - set(self.progress):
            self.progress[peer] = Progress(self.log.last_index + 1)
        for peer in set(self.progress) - members:
            del self.progress[peer]

    def _record_contact(self, now: int) -> None:
        self.last_contact_ms = now
        self.timeout_started_ms = now

    def _reset_timeout(self) -> None:
        self.election_timeout_ms = self.rng.randint(
            ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
        )

    def _await_votes(self, now: int) -> None:
        """Start the time after which this replica stands once more."""
        self.timeout_started_ms = now
        self.election_timeout_ms = self.rng.randint(*RETRY_ELECTION_MS)

    def _recover_from_freeze(self, gap_ms: int, now: int) -> None:
        """Step down and ignore acknowledgements from before the freeze."""
        self.lease_valid_from_ms = now
        if self.role == LEADER:
            reason = f"no tick for {gap_ms} ms"
            self._become_follower(self.term, "", now, reason)
        self._record_contact(now)
        self._reset_timeout()

    def _tick_leader(self, now: int) -> None:
        transfer_timed_out = (
            now - self.transfer_started_ms >= ELECTION_TIMEOUT_MIN_MS
        )
        unheard_ms = now - self._quorum_ack_ms()
        if unheard_ms >= ELECTION_TIMEOUT_MAX_MS:
            reason = f"no quorum acknowledged for {unheard_ms} ms"
            self._become_follower(self.term, "", now, reason)
            return
        if self.transferring_leadership and transfer_timed_out:
            self._become_follower(self.term, "", now, "transfer timed out")
            return
        if now - self.last_heartbeat_ms >= HEARTBEAT_INTERVAL_MS:
            self._broadcast(now)

    def _quorum_ack_ms(self) -> int:
        """Return the latest send time that a majority acknowledged, or -1."""
        ack_times = sorted(
            (self.last_ack_ms(voter) for voter in self.voters), reverse=True
        )
        if not ack_times:
            return -1
        return ack_times[len(ack_times) // 2]

    def last_ack_ms(self, voter: str) -> int:
        """Return the send time of the newest message a voter acknowledged.

        Returns:
            Time in ms; the last tick for this replica itself; -1 for none.
        """
        if voter == self.name:
            return self.last_tick_ms
        progress = self.progress.get(voter)
        return progress.acked_sent_ms if progress else -1

    def _start_pre_vote(self, now: int) -> None:
        self._await_votes(now)
        self.leader = ""
        if self.name not in self.voters:
            self.role = FOLLOWER
            return
        self.role = PRE_CANDIDATE
        self.votes = {self.name}
        self._request_votes(pre=True, hand_over=False)
        self._count_votes(now)

    def _start_election(self, now: int, hand_over: bool = False) -> None:
        self.role = CANDIDATE
        self.leader = ""
        self._await_votes(now)
        self.log.set_term_and_vote(self.term + 1, self.name)
        self.votes = {self.name}
        self._request_votes(pre=False, hand_over=hand_over)
        self._count_votes(now)

    def _request_votes(self, pre: bool, hand_over: bool) -> None:
        term = self.term + 1 if pre else self.term
        request = messages.VoteRequest(
            term, self.log.last_index, self.log.last_term, pre, hand_over
        )
        for voter in self.voters:
            if voter != self.name:
                self._queue_message(voter, request)

    def _count_votes(self, now: int) -> None:
        if len(self.votes & set(self.voters)) * 2 <= len(self.voters):
            return
        if self.role == PRE_CANDIDATE:
            self._start_election(now)
        elif self.role == CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role = LEADER
        self.leader = self.name
        self.step_down_reason = ""
        self.leader_since_ms = now
        self.lease_valid_from_ms = now
        self.transferring_leadership = False
        self.progress = {}
        self._update_tracked_peers()
        # Too old to count for the lease, but recent enough that the leader
        # does not step down before its peers have answered.
        for progress in self.progress.values():
            progress.acked_sent_ms = now - HEARTBEAT_INTERVAL_MS
        self._append_as_leader(NOOP, b"", now)

    def _become_follower(
        self, term: int, leader: str, now: int, reason: str = ""
    ) -> None:
        """Follow a leader, or wait for one.

        Args:
            term: the current or a higher term.
            leader: its leader, or "" if that is not known.
            now: the current time in ms.
            reason: why a leader steps down; by default the higher term.
        """
        if self.role == LEADER:
            self.step_down_reason = reason or f"term {term}"
        if term > self.term:
            self.log.set_term_and_vote(term, "")
        if self.role in (PRE_CANDIDATE, CANDIDATE) and not leader:
            # Refused because of an older term; it may be the only voter
            # that can win.
            self._await_votes(now)
        elif self.role != FOLLOWER or leader:
            self._record_contact(now)
            self._reset_timeout()
        if leader and leader != self.leader:
            self.following_since_ms = now
        self.role = FOLLOWER
        self.leader = leader
        self.transferring_leadership = False

    def _on_vote_request(
        self, sender: str, request: messages.VoteRequest, now: int
    ) -> None:
        granted = self._can_grant_vote(sender, request, now)
        if granted and not request.pre:
            if request.term > self.term:
                self._become_follower(request.term, "", now)
            self.log.set_term_and_vote(self.term, sender)
            self._record_contact(now)
            self._reset_timeout()
        term = request.term if granted else self.term
        self._queue_message(
            sender, messages.VoteReply(term, granted, request.pre)
        )

    def _can_grant_vote(
        self, sender: str, request: messages.VoteRequest, now: int
    ) -> bool:
        if request.term < self.term:
            return False
        # In a leadership transfer the leader itself asked for the election.
        if self._has_live_leader(now) and not request.hand_over:
            return False
        candidate_is_behind = (request.last_term, request.last_index) < (
            self.log.last_term,
            self.log.last_index,
        )
        if candidate_is_behind:
            return False
        if request.pre or request.term > self.term:
            return request.term > self.term
        return self.log.hard_state.voted_for in ("", sender)

    def _has_live_leader(self, now: int) -> bool:
        if self.role == LEADER:
            return not self.transferring_leadership
        if self.role != FOLLOWER:
            return False
        return now - self.last_contact_ms < ELECTION_TIMEOUT_MIN_MS

    def _on_vote_reply(
        self, sender: str, reply: messages.VoteReply, now: int
    ) -> None:
        if reply.term > self.term and not (reply.pre and reply.granted):
            self._become_follower(reply.term, "", now)
            return
        expected_role = PRE_CANDIDATE if reply.pre else CANDIDATE
        term = self.term + 1 if reply.pre else self.term
        if (
            self.role != expected_role
            or not reply.granted
            or reply.term != term
        ):
            return
        self.votes.add(sender)
        self._count_votes(now)

    def _on_hand_over(
        self, sender: str, message: messages.HandOver, now: int
    ) -> None:
        if message.term == self.term and self.name in self.voters:
            self._start_election(now, hand_over=True)

    def _append_as_leader(self, kind: str, body: bytes, now: int) -> int:
        index = self.log.last_index + 1
        self.log.append([messages.Entry(index, self.term, kind, body)])
        if kind == MEMBERSHIP:
            self._reload_membership()
        self._broadcast(now)
        return index

    def _broadcast(self, now: int) -> None:
        self.last_heartbeat_ms = now
        for peer in self.progress:
            self._send_append(peer, now)

    def _send_append(self, peer: str, now: int) -> None:
        progress = self.progress[peer]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot_chunk(peer, now)
            return
        entries = _bound_bytes(
            self.log.entries_from(progress.next_index, MAX_APPEND_ENTRIES)
        )
        progress.next_index += len(entries)
        message = messages.Append(
            self.term, previous, previous_term, self.commit_index, now, entries
        )
        self._queue_message(peer, message)

    def _send_snapshot_chunk(self, peer: str, now: int) -> None:
        progress = self.progress[peer]
        snapshot = self.log.snapshot
        data = self._encode_snapshot()
        offset = progress.chunk_offset
        if offset >= len(data):
            offset = progress.chunk_offset = 0
        progress.chunk_sent_ms = now
        chunk = messages.SnapshotChunk(
            self.term,
            snapshot.index,
            snapshot.term,
            offset,
            len(data),
            data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            now,
        )
        self._queue_message(peer, chunk)

    def _encode_snapshot(self) -> bytes:
        key = self.log.snapshot.index
        # Encoded once per snapshot, not once per chunk.
        if self.encoded_snapshot[0] != key:
            self.encoded_snapshot = (key, messages.encode(self.log.snapshot))
        return self.encoded_snapshot[1]

    def _follow_leader(self, sender: str, term: int, now: int) -> bool:
        """Follow the leader of a term; return False for an older term."""
        if term < self.term:
            return False
        errors.require(
            not (term == self.term and self.role == LEADER),
            f"two leaders in term {term}: {self.name} and {sender}",
            "raft.follow",
        )
        if term > self.term or self.role != FOLLOWER or not self.leader:
            self._become_follower(term, sender, now)
        self._record_contact(now)
        return True

    def _on_append(
        self, sender: str, message: messages.Append, now: int
    ) -> None:
        if not self._follow_leader(sender, message.term, now):
            reply = messages.AppendReply(self.term, False, 0, message.sent_ms)
            self._queue_message(sender, reply)
            return
        accepted = self._accept_entries(message)
        match = message.prev_index + len(message.entries)
        if not accepted:
            # Tell the leader from which index on to try again.
            match = min(message.prev_index - 1, self.log.last_index)
            match = max(match, self.commit_index)
        reply = messages.AppendReply(
            self.term, accepted, match, message.sent_ms
        )
        self._queue_message(sender, reply)
        if accepted:
            self.commit_index = max(
                self.commit_index, min(message.commit, match)
            )
        self._await_commit(message.commit, now)

    def _accept_entries(self, message: messages.Append) -> bool:
        """Append the leader's entries and truncate conflicting ones.

        Returns:
            False if the entry before them is missing here or has another
            term.
        """
        if message.prev_index >= self.log.snapshot.index:
            term = self.log.term_at(message.prev_index)
            if term != message.prev_term:
                return False
        new_entries: list[messages.Entry] = []
        for entry in message.entries:
            if entry.index <= self.log.snapshot.index:
                continue
            if not new_entries and self.log.term_at(entry.index) == entry.term:
                continue
            if not new_entries and entry.index <= self.log.last_index:
                self._truncate_log(entry.index)
            new_entries.append(entry)
        self.log.append(new_entries)
        if any(e.kind == MEMBERSHIP for e in new_entries):
            self._reload_membership()
        return True

    def _truncate_log(self, index: int) -> None:
        errors.require(
            index > self.commit_index,
            f"cannot truncate at index {index}: entries up to"
            f" {self.commit_index} are committed",
            "raft.truncate",
        )
        self.log.truncate(index)
        self._reload_membership()

    def _on_append_reply(
        self, sender: str, reply: messages.AppendReply, now: int
    ) -> None:
        progress = self._record_ack(sender, reply.term, reply.sent_ms, now)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            self._advance_commit()
        elif reply.sent_ms < progress.rewound_ms:
            # It answers a message from before the entries were sent again,
            # and tells nothing of these.
            return
        else:
            progress.rewound_ms = now
            progress.next_index = max(
                progress.match_index + 1, reply.match_index + 1
            )
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        if not reply.success or progress.next_index <= self.log.last_index:
            self._send_append(sender, now)

    def _record_ack(
        self, sender: str, term: int, sent_ms: int, now: int
    ) -> Progress | None:
        """Record the send time that a reply echoes.

        Returns:
            The sender's progress, or None if the reply is to be ignored.
        """
        if term > self.term:
            self._become_follower(term, "", now)
            return None
        progress = self.progress.get(sender)
        if self.role != LEADER or term < self.term or progress is None:
            return None
        progress.acked_sent_ms = max(progress.acked_sent_ms, sent_ms)
        return progress

    def _advance_commit(self) -> None:
        matches = sorted(
            self.durable_index
            if voter == self.name
            else self.progress[voter].match_index
            for voter in self.voters
        )
        index = matches[(len(matches) - 1) // 2]
        # Entries of older terms commit only together with one of this term.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _on_snapshot_chunk(
        self, sender: str, chunk: messages.SnapshotChunk, now: int
    ) -> None:
        if not self._follow_leader(sender, chunk.term, now):
            reply = messages.SnapshotReply(self.term, 0, 0, chunk.sent_ms)
            self._queue_message(sender, reply)
            return
        if chunk.index != self.incoming_snapshot_index or chunk.offset == 0:
            self.incoming_snapshot = bytearray()
            self.incoming_snapshot_index = chunk.index
        if chunk.offset == len(self.incoming_snapshot):
            self.incoming_snapshot += chunk.data
        received = len(self.incoming_snapshot)
        if chunk.index <= self.commit_index:
            received = chunk.total
        elif received == chunk.total:
            self._install_snapshot(bytes(self.incoming_snapshot))
        reply = messages.SnapshotReply(
            self.term, chunk.index, received, chunk.sent_ms
        )
        self._queue_message(sender, reply)

    def _install_snapshot(self, data: bytes) -> None:
        snapshot = messages.decode(messages.SnapshotMeta, data)
        self.incoming_snapshot = bytearray()
        self.incoming_snapshot_index = 0
        if snapshot.index <= self.commit_index:
            return
        self.log.install_snapshot(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.installed_snapshot = snapshot
        self._reload_membership()

    def _on_snapshot_reply(
        self, sender: str, reply: messages.SnapshotReply, now: int
    ) -> None:
        progress = self._record_ack(sender, reply.term, reply.sent_ms, now)
        if progress is None or reply.index != self.log.snapshot.index:
            return
        if progress.match_index >= reply.index:
            return
        if reply.received < len(self._encode_snapshot()):
            if 0 < reply.received <= progress.chunk_offset:
                return
            progress.chunk_offset = reply.received
            self._send_snapshot_chunk(sender, now)
            return
        progress.chunk_offset = 0
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = progress.match_index + 1
        self._send_append(sender, now)

    def _queue_message(self, target: str, message: tuple) -> None:
        self.outbox.append(Envelope(target, message))

    _HANDLERS = {
        messages.VoteRequest: _on_vote_request,
        messages.VoteReply: _on_vote_reply,
        messages.HandOver: _on_hand_over,
        messages.Append: _on_append,
        messages.AppendReply: _on_append_reply,
        messages.SnapshotChunk: _on_snapshot_chunk,
        messages.SnapshotReply: _on_snapshot_reply,
    }


def _bound_bytes(
    entries: tuple[messages.Entry, ...],
) -> tuple[messages.Entry, ...]:
    """Return the first entries, up to ``MAX_APPEND_BYTES``, at least one."""
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry.body)
        if count and size > MAX_APPEND_BYTES:
            return entries[:count]
    return entries


__all__ = ["LEADER", "Envelope", "Raft"]
