"""Consensus over the log: election, replication, lease, membership.

A pure step machine. Times come in as milliseconds of a monotonic clock
that also counts suspended time; messages to peers are collected in
``outbox``, which the driver may send only after it has called
``log.sync`` and ``synced``. Votes are asked for in a pre-vote round
first. A voter that heard from a leader within the shortest election
timeout grants no vote, which makes the leader's lease sound: the lease
counts from when the acknowledged message was sent and is shorter than
that timeout.
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

HEARTBEAT_MS = 200
ELECTION_MIN_MS = 1500
ELECTION_MAX_MS = 2500
FIRST_MS = (300, 1000)
LEASE_MS = 1200
SEND_LIMIT_MS = 500
FREEZE_GAP_MS = 1000
BATCH_ENTRIES = 256
CHUNK_BYTES = 256 * 1024
NOOP = "Noop"
MEMBERSHIP = "Membership"


class Outgoing(NamedTuple):
    """A message for a replica."""

    target: str
    message: tuple


class Progress:
    """What a leader knows about one peer."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_ms = -1
        self.chunk_offset = 0
        self.chunk_sent_ms = -1


class Raft:
    """One replica's consensus state.

    Args:
        name: this replica's identifier.
        log: the durable log.
        rng: source of election timeouts.
        now: the current time in ms.
    """

    def __init__(
        self, name: str, log: log_module.Log, rng: random.Random, now: int
    ):
        self.name = name
        self.log = log
        self.rng = rng
        self.role = FOLLOWER
        self.leader = ""
        self.commit = max(
            log.snapshot.index, min(log.hard_state.commit, log.last_index)
        )
        self.applied = log.snapshot.index
        self.outbox: list[Outgoing] = []
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.last_contact = now
        self.last_tick = now
        self.last_heartbeat = now
        self.lease_from = now
        self.leader_since = now
        self.handing_over = False
        self.hand_over_since = now
        self.installed: messages.SnapshotMeta | None = None
        self.incoming = bytearray()
        self.incoming_index = 0
        self.chunk_source = (0, b"")
        self.durable_index = log.last_index
        self.voters: tuple[str, ...] = ()
        self.learners: tuple[str, ...] = ()
        self._reset_timeout()
        self._load_membership()

    # -- questions ---------------------------------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self.log.hard_state.term

    def lease_until(self) -> int:
        """Return when this leader's lease ends, in ms; -1 without one."""
        if self.role != LEADER or self.handing_over:
            return -1
        contact = self._quorum_contact()
        return -1 if contact < self.lease_from else contact + LEASE_MS

    def in_charge(self, now: int) -> bool:
        """Return whether orders may be sent at this very moment.

        The lease must hold, the leader must have committed an entry of
        its own term, and the old leader's lease and longest send must
        have passed.
        """
        if now >= self.lease_until() or now - self.last_tick > FREEZE_GAP_MS:
            return False
        if self.log.term_at(self.commit) != self.term:
            return False
        return now >= self.leader_since + LEASE_MS + SEND_LIMIT_MS

    def read_index(self, now: int) -> int | None:
        """Return the index a read must have applied to be the newest.

        Returns:
            None unless this leader holds its lease and has committed an
            entry of its own term.
        """
        if now >= self.lease_until() or now - self.last_tick > FREEZE_GAP_MS:
            return None
        if self.log.term_at(self.commit) != self.term:
            return None
        return self.commit

    def caught_up(self, peer: str) -> bool:
        """Return whether a peer holds all that is committed."""
        progress = self.progress.get(peer)
        return progress is not None and progress.match_index >= self.commit

    # -- inputs ------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Advance time; to be called several times per heartbeat."""
        gap = now - self.last_tick
        self.last_tick = now
        if gap > FREEZE_GAP_MS:
            self._after_freeze(now)
        if self.role == LEADER:
            self._tick_leader(now)
        elif now - self.last_contact >= self.timeout:
            self._start_pre_vote(now)

    def receive(self, sender: str, message: tuple, now: int) -> None:
        """Take in a message of a peer replica."""
        if now - self.last_tick > FREEZE_GAP_MS:
            self.tick(now)
        handler = self._HANDLERS[type(message)]
        handler(self, sender, message, now)

    def propose(self, kind: str, body: bytes, now: int) -> int | None:
        """Append an entry as leader.

        Returns:
            The entry's index, or None where this replica does not lead.
        """
        if self.role != LEADER or self.handing_over:
            return None
        return self._append_own(kind, body, now)

    def change_membership(
        self, change: messages.Membership, now: int
    ) -> int | None:
        """Propose other voters and learners, one change at a time.

        Returns:
            The entry's index, or None where it cannot be proposed now.
        """
        ready = self.log.term_at(self.commit) == self.term
        if self.role != LEADER or not ready or self.membership_pending():
            return None
        moved = set(change.voters) ^ set(self.voters)
        errors.require(
            len(moved) <= 1, f"one voter at a time: {moved}", "raft.membership"
        )
        return self.propose(MEMBERSHIP, messages.encode(change), now)

    def membership_pending(self) -> bool:
        """Return whether a membership change is not yet committed."""
        return self.membership_index > self.commit

    def hand_over(self, now: int) -> str:
        """Give up leadership to the peer that holds most of the log.

        Returns:
            The peer's name, empty where there is none.
        """
        peers = [p for p in self.voters if p != self.name]
        if self.role != LEADER or self.handing_over or not peers:
            return ""
        best = max(peers, key=lambda p: self.progress[p].match_index)
        if self.progress[best].match_index < self.log.last_index:
            return ""
        self.handing_over = True
        self.hand_over_since = now
        self._send(best, messages.HandOver(self.term))
        return best

    def synced(self) -> None:
        """Note that the log is durable up to its last entry."""
        self.durable_index = self.log.last_index
        if self.role == LEADER:
            self._advance_commit()

    def take_committed(self) -> list[messages.Entry]:
        """Return newly committed entries, in order, once each."""
        count = min(self.commit, self.log.last_index) - self.applied
        entries = list(self.log.entries_from(self.applied + 1, max(0, count)))
        self.applied += len(entries)
        return entries

    def take_installed(self) -> messages.SnapshotMeta | None:
        """Return a snapshot that replaced the log, once."""
        installed, self.installed = self.installed, None
        return installed

    def compact(self, body: bytes) -> None:
        """Replace all applied entries by a snapshot of the state.

        Args:
            body: the state machine's image at ``applied``.
        """
        term = self.log.term_at(self.applied)
        errors.require(term is not None, "applied entry kept", "raft.compact")
        voters, learners = self._membership_at(self.applied)
        meta = messages.SnapshotMeta(
            self.applied, term or 0, voters, learners, body
        )
        self.log.install_snapshot(meta)

    def bootstrap(self, voters: tuple[str, ...] = ()) -> None:
        """Begin a new cluster.

        Args:
            voters: the first replicas, alike at all of them; this
                replica alone where none are named.
        """
        errors.require(
            self.log.last_index == 0, "an empty log", "raft.bootstrap"
        )
        change = messages.Membership(voters or (self.name,), ())
        entry = messages.Entry(1, 1, MEMBERSHIP, messages.encode(change))
        self.log.set_term_and_vote(1, "" if voters else self.name)
        # Nobody has led before, so nobody's lease need run out.
        self.last_contact -= ELECTION_MAX_MS
        self.timeout = ELECTION_MAX_MS + self.rng.randint(*FIRST_MS)
        self.log.append([entry])
        self._load_membership()

    # -- membership --------------------------------------------------------

    def _membership_at(self, index: int) -> tuple[tuple, tuple]:
        count = index - self.log.snapshot.index
        for entry in reversed(self.log.entries[:count]):
            if entry.kind == MEMBERSHIP:
                change = messages.decode(messages.Membership, entry.body)
                return change.voters, change.learners
        return self.log.snapshot.voters, self.log.snapshot.learners

    def _load_membership(self) -> None:
        self.voters, self.learners = self._membership_at(self.log.last_index)
        self.membership_index = 0
        for entry in reversed(self.log.entries):
            if entry.kind == MEMBERSHIP:
                self.membership_index = entry.index
                break
        if self.role == LEADER:
            self._track_peers()

    def _track_peers(self) -> None:
        wanted = set(self.voters) | set(self.learners)
        wanted.discard(self.name)
        for peer in wanted - set(self.progress):
            self.progress[peer] = Progress(self.log.last_index + 1)
        for peer in set(self.progress) - wanted:
            del self.progress[peer]

    # -- timers ------------------------------------------------------------

    def _reset_timeout(self) -> None:
        self.timeout = self.rng.randint(ELECTION_MIN_MS, ELECTION_MAX_MS)

    def _after_freeze(self, now: int) -> None:
        self.lease_from = now
        if self.role == LEADER:
            self._become_follower(self.term, "", now)
        self.last_contact = now
        self._reset_timeout()

    def _tick_leader(self, now: int) -> None:
        stuck = now - self.hand_over_since >= ELECTION_MIN_MS
        lost = now - self._quorum_contact() >= ELECTION_MAX_MS
        if lost or (self.handing_over and stuck):
            self._become_follower(self.term, "", now)
            return
        if now - self.last_heartbeat >= HEARTBEAT_MS:
            self._broadcast(now)

    def _quorum_contact(self) -> int:
        times = sorted(
            (self.contact(voter) for voter in self.voters), reverse=True
        )
        if not times:
            return -1
        return times[len(times) // 2]

    def contact(self, voter: str) -> int:
        """Return when a voter was last known to be there, in ms."""
        if voter == self.name:
            return self.last_tick
        progress = self.progress.get(voter)
        return progress.acked_sent_ms if progress else -1

    # -- election ----------------------------------------------------------

    def _start_pre_vote(self, now: int) -> None:
        self.last_contact = now
        self._reset_timeout()
        self.leader = ""
        if self.name not in self.voters:
            self.role = FOLLOWER
            return
        self.role = PRE_CANDIDATE
        self.votes = {self.name}
        self._ask_votes(pre=True, hand_over=False)
        self._count_votes(now)

    def _start_election(self, now: int, hand_over: bool = False) -> None:
        self.role = CANDIDATE
        self.leader = ""
        self.last_contact = now
        self._reset_timeout()
        self.log.set_term_and_vote(self.term + 1, self.name)
        self.votes = {self.name}
        self._ask_votes(pre=False, hand_over=hand_over)
        self._count_votes(now)

    def _ask_votes(self, pre: bool, hand_over: bool) -> None:
        term = self.term + 1 if pre else self.term
        request = messages.VoteRequest(
            term, self.log.last_index, self.log.last_term, pre, hand_over
        )
        for voter in self.voters:
            if voter != self.name:
                self._send(voter, request)

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
        self.leader_since = now
        self.lease_from = now
        self.handing_over = False
        self.progress = {}
        self._track_peers()
        for progress in self.progress.values():
            progress.acked_sent_ms = now - HEARTBEAT_MS
        self._append_own(NOOP, b"", now)

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        if term > self.term:
            self.log.set_term_and_vote(term, "")
        if self.role != FOLLOWER:
            self.last_contact = now
            self._reset_timeout()
        self.role = FOLLOWER
        self.leader = leader
        self.handing_over = False

    def _on_vote_request(
        self, sender: str, request: messages.VoteRequest, now: int
    ) -> None:
        granted = self._may_grant(sender, request, now)
        if granted and not request.pre:
            if request.term > self.term:
                self._become_follower(request.term, "", now)
            self.log.set_term_and_vote(self.term, sender)
            self.last_contact = now
        term = request.term if granted else self.term
        self._send(sender, messages.VoteReply(term, granted, request.pre))

    def _may_grant(
        self, sender: str, request: messages.VoteRequest, now: int
    ) -> bool:
        if request.term < self.term:
            return False
        if self._bound_to_leader(now) and not request.hand_over:
            return False
        behind = (request.last_term, request.last_index) < (
            self.log.last_term,
            self.log.last_index,
        )
        if behind:
            return False
        if request.pre or request.term > self.term:
            return request.term > self.term
        return self.log.hard_state.voted_for in ("", sender)

    def _bound_to_leader(self, now: int) -> bool:
        if self.role == LEADER:
            return not self.handing_over
        if self.role != FOLLOWER:
            return False
        return now - self.last_contact < ELECTION_MIN_MS

    def _on_vote_reply(
        self, sender: str, reply: messages.VoteReply, now: int
    ) -> None:
        if reply.term > self.term and not (reply.pre and reply.granted):
            self._become_follower(reply.term, "", now)
            return
        wanted = PRE_CANDIDATE if reply.pre else CANDIDATE
        term = self.term + 1 if reply.pre else self.term
        if self.role != wanted or not reply.granted or reply.term != term:
            return
        self.votes.add(sender)
        self._count_votes(now)

    def _on_hand_over(
        self, sender: str, message: messages.HandOver, now: int
    ) -> None:
        if message.term == self.term and self.name in self.voters:
            self._start_election(now, hand_over=True)

    # -- replication -------------------------------------------------------

    def _append_own(self, kind: str, body: bytes, now: int) -> int:
        index = self.log.last_index + 1
        self.log.append([messages.Entry(index, self.term, kind, body)])
        if kind == MEMBERSHIP:
            self._load_membership()
        self._broadcast(now)
        return index

    def _broadcast(self, now: int) -> None:
        self.last_heartbeat = now
        for peer in self.progress:
            self._send_append(peer, now)

    def _send_append(self, peer: str, now: int) -> None:
        progress = self.progress[peer]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_chunk(peer, now)
            return
        entries = self.log.entries_from(progress.next_index, BATCH_ENTRIES)
        progress.next_index += len(entries)
        message = messages.Append(
            self.term, previous, previous_term, self.commit, now, entries
        )
        self._send(peer, message)

    def _send_chunk(self, peer: str, now: int) -> None:
        progress = self.progress[peer]
        snapshot = self.log.snapshot
        data = self._snapshot_bytes()
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
            data[offset : offset + CHUNK_BYTES],
            now,
        )
        self._send(peer, chunk)

    def _snapshot_bytes(self) -> bytes:
        key = self.log.snapshot.index
        if self.chunk_source[0] != key:
            self.chunk_source = (key, messages.encode(self.log.snapshot))
        return self.chunk_source[1]

    def _follow(self, sender: str, term: int, now: int) -> bool:
        if term < self.term:
            return False
        errors.require(
            not (term == self.term and self.role == LEADER),
            f"one leader in term {term}: {self.name}, {sender}",
            "raft.follow",
        )
        if term > self.term or self.role != FOLLOWER or not self.leader:
            self._become_follower(term, sender, now)
        self.last_contact = now
        return True

    def _on_append(
        self, sender: str, message: messages.Append, now: int
    ) -> None:
        if not self._follow(sender, message.term, now):
            reply = messages.AppendReply(self.term, False, 0, message.sent_ms)
            self._send(sender, reply)
            return
        accepted = self._accept(message)
        match = message.prev_index + len(message.entries)
        if not accepted:
            match = min(message.prev_index - 1, self.log.last_index)
            match = max(match, self.commit)
        reply = messages.AppendReply(
            self.term, accepted, match, message.sent_ms
        )
        self._send(sender, reply)
        if accepted:
            self.commit = max(self.commit, min(message.commit, match))

    def _accept(self, message: messages.Append) -> bool:
        if message.prev_index >= self.log.snapshot.index:
            term = self.log.term_at(message.prev_index)
            if term != message.prev_term:
                return False
        fresh: list[messages.Entry] = []
        for entry in message.entries:
            if entry.index <= self.log.snapshot.index:
                continue
            if not fresh and self.log.term_at(entry.index) == entry.term:
                continue
            if not fresh and entry.index <= self.log.last_index:
                self._truncate(entry.index)
            fresh.append(entry)
        self.log.append(fresh)
        if any(e.kind == MEMBERSHIP for e in fresh):
            self._load_membership()
        return True

    def _truncate(self, index: int) -> None:
        errors.require(
            index > self.commit,
            f"committed entry {index} kept (commit {self.commit})",
            "raft.truncate",
        )
        self.log.truncate(index)
        self._load_membership()

    def _on_append_reply(
        self, sender: str, reply: messages.AppendReply, now: int
    ) -> None:
        progress = self._acknowledged(sender, reply.term, reply.sent_ms, now)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            self._advance_commit()
        else:
            progress.next_index = max(
                progress.match_index + 1, reply.match_index + 1
            )
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        if not reply.success or progress.next_index <= self.log.last_index:
            self._send_append(sender, now)

    def _acknowledged(
        self, sender: str, term: int, sent_ms: int, now: int
    ) -> Progress | None:
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
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index

    # -- snapshots ---------------------------------------------------------

    def _on_chunk(
        self, sender: str, chunk: messages.SnapshotChunk, now: int
    ) -> None:
        if not self._follow(sender, chunk.term, now):
            reply = messages.SnapshotReply(self.term, 0, 0, chunk.sent_ms)
            self._send(sender, reply)
            return
        if chunk.index != self.incoming_index or chunk.offset == 0:
            self.incoming = bytearray()
            self.incoming_index = chunk.index
        if chunk.offset == len(self.incoming):
            self.incoming += chunk.data
        received = len(self.incoming)
        if chunk.index <= self.commit:
            received = chunk.total
        elif received == chunk.total:
            self._install(bytes(self.incoming))
        reply = messages.SnapshotReply(
            self.term, chunk.index, received, chunk.sent_ms
        )
        self._send(sender, reply)

    def _install(self, data: bytes) -> None:
        snapshot = messages.decode(messages.SnapshotMeta, data)
        self.incoming = bytearray()
        self.incoming_index = 0
        if snapshot.index <= self.commit:
            return
        self.log.install_snapshot(snapshot)
        self.commit = snapshot.index
        self.applied = snapshot.index
        self.installed = snapshot
        self._load_membership()

    def _on_chunk_reply(
        self, sender: str, reply: messages.SnapshotReply, now: int
    ) -> None:
        progress = self._acknowledged(sender, reply.term, reply.sent_ms, now)
        if progress is None or reply.index != self.log.snapshot.index:
            return
        if progress.match_index >= reply.index:
            return
        if reply.received < len(self._snapshot_bytes()):
            if 0 < reply.received <= progress.chunk_offset:
                return
            progress.chunk_offset = reply.received
            self._send_chunk(sender, now)
            return
        progress.chunk_offset = 0
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = progress.match_index + 1
        self._send_append(sender, now)

    def _send(self, target: str, message: tuple) -> None:
        self.outbox.append(Outgoing(target, message))

    _HANDLERS = {
        messages.VoteRequest: _on_vote_request,
        messages.VoteReply: _on_vote_reply,
        messages.HandOver: _on_hand_over,
        messages.Append: _on_append,
        messages.AppendReply: _on_append_reply,
        messages.SnapshotChunk: _on_chunk,
        messages.SnapshotReply: _on_chunk_reply,
    }


__all__ = ["LEADER", "Outgoing", "Raft"]
