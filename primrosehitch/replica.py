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

COMPACT_ENTRIES = 4096
# A whole table of routes is one entry; the log of many must stay small
# beside a disk of a hundred megabytes.
COMPACT_BYTES = 8 << 20
FRESH_MS = 1000

APPLIED = "applied"
NOT_LEADER = "not-leader"
LOST = "lost"

Answer = Callable[[str, Any], None]


class Waiting(NamedTuple):
    """A proposal in the log whose answer is awaited."""

    term: int
    answer: Answer


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
        compact_entries: entries kept before the log is compacted.
    """

    def __init__(
        self,
        name: str,
        log: log_module.Log,
        rng: random.Random,
        now: int,
        compact_entries: int = COMPACT_ENTRIES,
    ):
        self.name = name
        self.log = log
        self.raft = raft_module.Raft(name, log, rng, now)
        self.state = state_module.restore_state(log.snapshot.body)
        self.waiting: dict[int, Waiting] = {}
        self.compact_entries = compact_entries
        self.published = Publication(0, 0, ())
        self.unpublished: Publication | None = None
        self.after_sync()

    def tick(self, now: int) -> None:
        """Advance time."""
        self.raft.tick(now)

    def receive(self, sender: str, message: tuple, now: int) -> None:
        """Take in a peer's message."""
        self.raft.receive(sender, message, now)

    def propose(
        self, kind: str, body: bytes, answer: Answer, now: int
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
            answer(NOT_LEADER, None)
            return
        self.waiting[index] = Waiting(self.raft.term, answer)

    def sync(self) -> None:
        """Make the log durable; may block on the disk."""
        self.log.sync()

    def after_sync(self) -> list[raft_module.Outgoing]:
        """Apply what is committed and return the messages to send.

        To be called after ``sync`` with no input taken in between.
        """
        errors.require(
            not self.log.has_unsynced_changes,
            "synced before sending",
            "replica.flush",
        )
        self.raft.synced()
        self._restore_installed()
        durable = max(self.log.hard_state.commit, self.log.snapshot.index)
        for entry in self.raft.take_committed():
            self._apply(entry)
        self._drop_lost()
        self._publish(durable)
        if self._log_is_large():
            self._compact()
        outgoing, self.raft.outbox = self.raft.outbox, []
        return outgoing

    def flush(self) -> list[raft_module.Outgoing]:
        """Sync, then apply and return the messages to send."""
        self.sync()
        return self.after_sync()

    def _publish(self, durable: int) -> None:
        """Put a version in force only once its commit is durable.

        A restart then never finds an older version than was served.
        """
        pending = self.unpublished or self._next_publication()
        if pending is None:
            return
        if durable >= pending.index:
            errors.require(
                pending.version > self.published.version,
                "a version never reverts",
                "replica.publish",
            )
            self.published = pending
            self.unpublished = None
        elif pending is not self.unpublished:
            self.unpublished = pending
            self.log.set_commit(pending.index)

    def _next_publication(self) -> Publication | None:
        version = self.state.version
        if version == self.published.version:
            return None
        rows = tuple(self.state.rows_since(self.published.version))
        return Publication(self.raft.applied, version, rows)

    def _restore_installed(self) -> None:
        installed = self.raft.take_installed()
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
        waiting = self.waiting.pop(entry.index, None)
        if waiting is None:
            return
        if waiting.term == entry.term:
            waiting.answer(APPLIED, result)
        else:
            waiting.answer(LOST, None)

    def _drop_lost(self) -> None:
        if self.raft.role == raft_module.LEADER:
            return
        waiting, self.waiting = self.waiting, {}
        for item in waiting.values():
            item.answer(LOST, None)

    def _log_is_large(self) -> bool:
        if len(self.log.entries) > self.compact_entries:
            return True
        floor = COMPACT_BYTES + 2 * len(self.log.snapshot.body)
        return self.log.size_bytes > floor

    def _compact(self) -> None:
        if self.raft.applied > self.log.snapshot.index:
            self.raft.compact(self.state.image())


def replica_id(instance: str, rng: random.Random) -> str:
    """Return a new identifier for a replica of an instance."""
    return f"{instance}/{rng.getrandbits(48):012x}"


def instance_of(replica: str) -> str:
    """Return the instance that a replica identifier names."""
    return replica.split("/", 1)[0]


def membership_step(
    raft: raft_module.Raft,
    present: dict[str, str],
    silent: Collection[str] = (),
    wanted: int = 0,
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
    for replica in present.values():
        if replica not in voters and replica not in learners:
            return messages.Membership(voters, learners + (replica,))
    for replica in learners:
        if present.get(instance_of(replica), replica) != replica:
            return messages.Membership(voters, without(learners, replica))
    for replica in learners:
        if present.get(instance_of(replica)) != replica:
            continue
        if raft.caught_up(replica):
            return messages.Membership(
                voters + (replica,), without(learners, replica)
            )
    for replica in voters:
        current = present.get(instance_of(replica), replica)
        if current != replica and current in voters:
            return messages.Membership(without(voters, replica), learners)
    return _without_silent(raft, present, silent, wanted)


def _without_silent(
    raft: raft_module.Raft,
    present: dict[str, str],
    silent: Collection[str],
    wanted: int,
) -> messages.Membership | None:
    voters, learners = raft.voters, raft.learners
    for replica in learners:
        if replica in silent:
            return messages.Membership(voters, without(learners, replica))
    if not wanted or len(voters) <= wanted:
        return None
    for replica in voters:
        if replica not in silent or replica == raft.name:
            continue
        rest = without(voters, replica)
        if all(present.get(instance_of(r)) == r for r in rest):
            return messages.Membership(rest, learners)
    return None


def without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    """Return names less one."""
    return tuple(n for n in names if n != name)


def repaired(raft: raft_module.Raft, wanted: int, now: int) -> bool:
    """Return whether one more loss is survivable with no change.

    Every voter must hold all that is committed, and must have said so
    within ``FRESH_MS``: a loss within that time may not be seen yet.

    Args:
        raft: a replica's consensus state; only a leader that holds its
            lease can know.
        wanted: voters that the settings ask for.
        now: the current time in ms.
    """
    if now >= raft.lease_until():
        return False
    if any(now - raft.contact(v) > FRESH_MS for v in raft.voters):
        return False
    holding = 1 + sum(raft.caught_up(v) for v in raft.voters if v != raft.name)
    whole = len(raft.voters) == wanted and holding == wanted
    instances = {instance_of(v) for v in raft.voters}
    settled = not raft.learners and not raft.membership_pending()
    return whole and settled and len(instances) == wanted


__all__ = [
    "Replica",
    "instance_of",
    "membership_step",
    "repaired",
    "replica_id",
]
