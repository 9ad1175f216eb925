"""A replica: consensus, the state machine and its pending proposals.

The caller passes in ticks, messages and proposals and then calls
``flush``, which makes the log durable before any message or result is
given out. ``Replica`` starts no tasks, so the daemon and the randomised
soak test run the same class.
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
# One entry can hold a whole route table, so the log is bounded in bytes
# too: it must stay small compared with a disk of a hundred megabytes.
COMPACTION_BYTES = 8 << 20
# A voter whose last acknowledgement is older than this may have failed.
MAX_ACK_AGE_MS = 1000

APPLIED = "applied"
NOT_LEADER = "not-leader"
LOST = "lost"

ResultCallback = Callable[[str, Any], None]


class PendingProposal(NamedTuple):
    """A proposal that is in the log but not yet applied.

    Attributes:
        term: the term in which it was appended.
        on_result: called once with the outcome and the result.
    """

    term: int
    on_result: ResultCallback


class Publication(NamedTuple):
    """A configuration version to publish.

    Attributes:
        index: index of the log entry that made the version.
        version: the version number.
        rows: the rows changed since the previously published version.
    """

    index: int
    version: int
    rows: tuple[messages.Row, ...]


class Replica:
    """Consensus and state machine of one data folder.

    Args:
        name: the replica's identifier, ``instance/number``.
        log: the durable log.
        rng: random source for election timeouts.
        now: the current time in ms.
        compaction_entries: number of entries above which the log is
            compacted.

    Attributes:
        published: the newest version whose commit is durable.
        pending_publication: a newer version whose commit is not yet
            durable, or None.
        pending_proposals: proposals that wait for a result, by index.
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
        """Process a message from a peer replica."""
        self.raft.receive(sender, message, now)

    def propose(
        self, kind: str, body: bytes, on_result: ResultCallback, now: int
    ) -> None:
        """Propose a command.

        Args:
            kind: name of the command's message type.
            body: the encoded command.
            on_result: called once: with ``applied`` and the state
                machine's result, with ``not-leader`` if the command was
                not appended to the log, or with ``lost`` if it may still
                be applied.
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
        """Make the log durable; blocks until the disk has written it."""
        self.log.sync()

    def apply_committed(self) -> list[raft_module.Envelope]:
        """Apply the committed entries and return the messages to send.

        Call this after ``sync`` and process no input in between.

        Raises:
            InvariantError: the log has changes that are not synced.
        """
        errors.require(
            not self.log.has_unsynced_changes,
            "the log has changes that are not synced",
            "replica.flush",
        )
        self.raft.mark_synced()
        self._restore_installed_snapshot()
        durable_commit = max(
            self.log.hard_state.commit, self.log.snapshot.index
        )
        for entry in self.raft.take_committed():
            self._apply(entry)
        self._fail_lost_proposals()
        self._publish(durable_commit)
        if self._needs_compaction():
            self._compact()
        envelopes, self.raft.outbox = self.raft.outbox, []
        return envelopes

    def flush(self) -> list[raft_module.Envelope]:
        """Sync the log, apply entries and return the messages to send."""
        self.sync()
        return self.apply_committed()

    def _publish(self, durable_commit: int) -> None:
        """Publish a version once its commit is durable.

        After a restart the replica then never has an older version than
        one that it published before.

        Args:
            durable_commit: highest index whose commit is durable here.
        """
        pending = self.pending_publication or self._next_publication()
        if pending is None:
            return
        if durable_commit >= pending.index:
            errors.require(
                pending.version > self.published.version,
                "the published version would not increase",
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
                "an installed snapshot has an older version than the state",
                "replica.restore",
            )

    def _apply(self, entry: messages.Entry) -> None:
        version = self.state.table.version
        result = self.state.apply(entry)
        if self.state.table.version != version:
            # After a restart the replica then has this table even before
            # it reaches a quorum.
            self.log.set_commit(entry.index)
        proposal = self.pending_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.on_result(APPLIED, result)
        else:
            proposal.on_result(LOST, None)

    def _fail_lost_proposals(self) -> None:
        """Report proposals as lost if this replica is not the leader."""
        if self.raft.role == raft_module.LEADER:
            return
        lost, self.pending_proposals = self.pending_proposals, {}
        for item in lost.values():
            item.on_result(LOST, None)

    def _needs_compaction(self) -> bool:
        if len(self.log.entries) > self.compaction_entries:
            return True
        max_bytes = COMPACTION_BYTES + 2 * len(self.log.snapshot.body)
        return self.log.size_bytes > max_bytes

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
    doubtful: Collection[str] = (),
) -> messages.Membership | None:
    """Return the next membership change of one replica, or None.

    A live replica that is no member becomes a learner, and a learner that
    has caught up becomes a voter. A member is removed once its instance
    runs under another replica identifier. A voter that is not live gives way
    to a learner that has caught up, and is removed first: as one voter more
    it would raise the quorum, and the next loss could cost the quorum for
    good. Without a learner a voter that is unresponsive or leaving is removed
    only while there are more than ``target_voters`` voters and all the others
    are live, so that missing replicas alone never reduce the quorum below
    that number.

    Args:
        raft: the leader's consensus state.
        live_replicas: the replica identifier of each instance that was
            heard from lately.
        unresponsive: replicas that were not heard from for a long time, and
            those whose instances say that they stop.
        target_voters: number of voters that are always kept; 0 keeps all.
        doubtful: replicas of which it is open whether they are alive. While
            a voter is, no learner becomes one more voter.
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
            lost = _replaceable_voter(raft, live_replicas, target_voters)
            if lost:
                return messages.Membership(exclude(voters, lost), learners)
            if len(voters) >= target_voters and any(
                voter in doubtful for voter in voters
            ):
                continue
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


def _replaceable_voter(
    raft: raft_module.Raft, live_replicas: dict[str, str], target_voters: int
) -> str:
    """Return a voter that is not live and that the others can do without.

    Returns:
        The replica, empty if there is none, or if the other voters have no
        live majority.
    """
    voters = raft.voters
    if not target_voters or len(voters) < target_voters:
        return ""
    live = [v for v in voters if live_replicas.get(instance_of(v)) == v]
    if len(live) <= (len(voters) - 1) // 2:
        return ""
    lost = [v for v in voters if v not in live and v != raft.name]
    return lost[0] if lost else ""


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
    """Return the names without one of them."""
    return tuple(n for n in names if n != name)


def is_fully_replicated(
    raft: raft_module.Raft, target_voters: int, now: int
) -> bool:
    """Return whether the cluster survives a loss without any change.

    All voters must run on different instances, hold every committed entry
    and have acknowledged a message sent within ``MAX_ACK_AGE_MS``; a voter
    lost more recently may not have been noticed yet. No membership change
    may be under way.

    Args:
        raft: a replica's consensus state; the result is False unless it
            is a leader that holds its lease.
        target_voters: number of voters that the settings ask for.
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
    "is_fully_replicated",
    "new_replica_id",
    "next_membership_change",
]
