"""One replica without I/O tasks: consensus, state and open proposals.

The driver feeds ticks, messages and proposals, then calls ``flush``,
which makes the log durable before any message or answer leaves. The
same class runs in the daemon and in long randomised runs.
"""

import random
from typing import Any
from typing import Callable
from typing import Collection
from typing import NamedTuple

from primrosehitch import errors
from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import raft as raft_module
from primrosehitch import state as state_module

COMPACTION_ENTRIES = 4096
# A whole table of routes is one entry; the log of many must stay small
# beside a disk of a hundred megabytes.
COMPACTION_BYTES = 8 << 20
MAX_ACK_AGE_MS = 1000

APPLIED = "applied"
NOT_LEADER = "not-leader"
LOST = "lost"

ResultCallback = Callable[[str, Any], None]


class PendingProposal(NamedTuple):
    """A proposal in the log whose answer is awaited."""

    term: int
    on_result: ResultCallback


class Publication(NamedTuple):
    """A version to put in force, with the rows changed since the last."""

    index: int
    version: int
    rows: tuple[messages.Row, ...]


class Replica:
    """Consensus and state machine of one data folder.

    Args:
        name: the replica's identifier, ``instance/number``.
        log: the durable log.
        rng: source of election timeouts.
        now: the current time in ms.
        compaction_entries: entries kept before the log is compacted.
    """

    def __init__(
        self,
        name: str,
        log: log_module.Log,
        rng: random.Random,
        now: int,
        compaction_entries: int = COMPACTION_ENTRIES,
    ):
        self.name = name
        self.log = log
        self.raft = raft_module.Raft(name, log, rng, now)
        self.state = state_module.restore_state(log.snapshot.body)
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.compaction_entries = compaction_entries
        self.published = Publication(0, 0, ())
        self.pending_publication: Publication | None = None
        self.apply_committed()

    def tick(self, now: int) -> None:
        """Advance time."""
        self.raft.tick(now)

    def receive(self, sender: str, message: tuple, now: int) -> None:
        """Take in a peer's message."""
        self.raft.receive(sender, message, now)

    def propose(
        self, kind: str, body: bytes, on_result: ResultCallback, now: int
    ) -> None:
        """Propose a command; ``answer`` is called once with the outcome.

        Args:
            kind: name of the command's message type.
            body: the encoded command.
            answer: gets ``applied`` and the state machine's answer,
                ``not-leader`` (never in the log), or ``lost`` (it may
                still be applied).
            now: the current time in ms.
        """
        index = self.raft.propose(kind, body, now)
        if index is None:
            on_result(NOT_LEADER, None)
            return
        self.pending_proposals[index] = PendingProposal(
            self.raft.term, on_result
        )

    def sync(self) -> None:
        """Make the log durable; may block on the disk."""
        self.log.sync()

    def apply_committed(self) -> list[raft_module.Envelope]:
        """Apply what is committed and return the messages to send.

        To be called after ``sync`` with no input taken in between.
        """
        errors.require(
            not self.log.dirty, "synced before sending", "replica.flush"
        )
        self.raft.mark_synced()
        self._restore_installed_snapshot()
        durable = max(self.log.hard.commit, self.log.snapshot.index)
        for entry in self.raft.take_committed():
            self._apply(entry)
        self._fail_lost_proposals()
        self._publish(durable)
        if self._needs_compaction():
            self._compact()
        envelopes, self.raft.outbox = self.raft.outbox, []
        return envelopes

    def flush(self) -> list[raft_module.Envelope]:
        """Sync, then apply and return the messages to send."""
        self.sync()
        return self.apply_committed()

    def _publish(self, durable: int) -> None:
        """Put a version in force only once its commit is durable.

        A restart then never finds an older version than was served.
        """
        pending = self.pending_publication or self._next_publication()
        if pending is None:
            return
        if durable >= pending.index:
            errors.require(
                pending.version > self.published.version,
                "a version never reverts",
                "replica.publish",
            )
            self.published = pending
            self.pending_publication = None
        elif pending is not self.pending_publication:
            self.pending_publication = pending
            self.log.set_commit(pending.index)

    def _next_publication(self) -> Publication | None:
        version = self.state.version
        if version == self.published.version:
            return None
        rows = tuple(self.state.rows_since(self.published.version))
        return Publication(self.raft.applied_index, version, rows)

    def _restore_installed_snapshot(self) -> None:
        installed = self.raft.take_installed_snapshot()
        if installed is not None:
            previous = self.state.version
            self.state = state_module.restore_state(installed.body)
            errors.require(
                self.state.version >= previous,
                "a snapshot never reverts the version",
                "replica.restore",
            )

    def _apply(self, entry: messages.Entry) -> None:
        version = self.state.table.version
        result = self.state.apply(entry)
        if self.state.table.version != version:
            # A restart then knows the table before there is a quorum.
            self.log.set_commit(entry.index)
        proposal = self.pending_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.on_result(APPLIED, result)
        else:
            proposal.on_result(LOST, None)

    def _fail_lost_proposals(self) -> None:
        if self.raft.role == raft_module.LEADER:
            return
        lost, self.pending_proposals = self.pending_proposals, {}
        for item in lost.values():
            item.on_result(LOST, None)

    def _needs_compaction(self) -> bool:
        if len(self.log.entries) > self.compaction_entries:
            return True
        max_bytes = COMPACTION_BYTES + 2 * len(self.log.snapshot.body)
        return self.log.size > max_bytes

    def _compact(self) -> None:
        if self.raft.applied_index > self.log.snapshot.index:
            self.raft.compact(self.state.encode_image())


def new_replica_id(instance: str, rng: random.Random) -> str:
    """Return a new identifier for a replica of an instance."""
    return f"{instance}/{rng.getrandbits(48):012x}"


def instance_of(replica: str) -> str:
    """Return the instance that a replica identifier names."""
    return replica.split("/", 1)[0]


def next_membership_change(
    raft: raft_module.Raft,
    live_replicas: dict[str, str],
    unresponsive: Collection[str] = (),
    target_voters: int = 0,
) -> messages.Membership | None:
    """Return the next single change of membership, or None.

    A replica that is present and unknown becomes a learner; a learner
    that caught up a voter; a voter or learner whose instance now runs
    under another identifier leaves. A voter that is silent for long
    leaves only while more voters than wanted are left, all present:
    absence alone never shrinks the quorum below that.

    Args:
        raft: the leader's consensus state.
        present: the replica identifier by instance, as heard lately.
        silent: replicas not heard of for long.
        wanted: voters that are always kept; 0 keeps all.
    """
    voters, learners = raft.voters, raft.learners
    for replica in live_replicas.values():
        if replica not in voters and replica not in learners:
            return messages.Membership(voters, learners + (replica,))
    for replica in learners:
        if live_replicas.get(instance_of(replica), replica) != replica:
            return messages.Membership(voters, exclude(learners, replica))
    for replica in learners:
        if live_replicas.get(instance_of(replica)) != replica:
            continue
        if raft.is_caught_up(replica):
            return messages.Membership(
                voters + (replica,), exclude(learners, replica)
            )
    for replica in voters:
        current = live_replicas.get(instance_of(replica), replica)
        if current != replica and current in voters:
            return messages.Membership(exclude(voters, replica), learners)
    return _remove_unresponsive(
        raft, live_replicas, unresponsive, target_voters
    )


def _remove_unresponsive(
    raft: raft_module.Raft,
    live_replicas: dict[str, str],
    unresponsive: Collection[str],
    target_voters: int,
) -> messages.Membership | None:
    voters, learners = raft.voters, raft.learners
    for replica in learners:
        if replica in unresponsive:
            return messages.Membership(voters, exclude(learners, replica))
    if not target_voters or len(voters) <= target_voters:
        return None
    for replica in voters:
        if replica not in unresponsive or replica == raft.name:
            continue
        remaining = exclude(voters, replica)
        if all(live_replicas.get(instance_of(r)) == r for r in remaining):
            return messages.Membership(remaining, learners)
    return None


def exclude(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    """Return names less one."""
    return tuple(n for n in names if n != name)


def is_fully_replicated(
    raft: raft_module.Raft, target_voters: int, now: int
) -> bool:
    """Return whether one more loss is survivable with no change.

    Every voter must hold all that is committed, and must have said so
    within ``FRESH_MS``: a loss within that time may not be seen yet.

    Args:
        raft: a replica's consensus state; only a leader that holds its
            lease can know.
        wanted: voters that the settings ask for.
        now: the current time in ms.
    """
    if now >= raft.lease_expiry_ms():
        return False
    if any(now - raft.last_ack_ms(v) > MAX_ACK_AGE_MS for v in raft.voters):
        return False
    caught_up_count = 1 + sum(
        raft.is_caught_up(v) for v in raft.voters if v != raft.name
    )
    all_caught_up = (
        len(raft.voters) == target_voters and caught_up_count == target_voters
    )
    instances = {instance_of(v) for v in raft.voters}
    membership_stable = (
        not raft.learners and not raft.has_pending_membership_change()
    )
    return (
        all_caught_up and membership_stable and len(instances) == target_voters
    )


__all__ = [
    "Replica",
    "instance_of",
    "next_membership_change",
    "is_fully_replicated",
    "new_replica_id",
]
