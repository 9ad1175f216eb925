"""The task that drives a replica: input queue, disk writes and output.

Inputs are processed in batches. The log is synced in a worker thread once
per batch; messages are sent and results are given out only after that.
"""

import random
from typing import Any
from typing import Callable
from typing import Collection
from typing import NamedTuple

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
import anyio.to_thread

from primrosehitch import clock
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import proposals
from primrosehitch import raft as raft_module
from primrosehitch import replica as replica_module
from primrosehitch import timers

TICK_INTERVAL_MS = 100
MEMBERSHIP_CHECK_INTERVAL_MS = 250
MAX_INBOX_ITEMS = 4096
MAX_BATCH_ITEMS = 256

SendFunction = Callable[[str, tuple], bool]
SelectFunction = Callable[[tuple[str, ...]], Collection[str]]


def _select_none(replicas: tuple[str, ...]) -> Collection[str]:
    """Select no replica: nothing is known of their silence."""
    return ()


class PeerMessage(NamedTuple):
    """A message from another replica."""

    message: messages.ReplicaMessage


class LocalProposal(NamedTuple):
    """A command to propose on this replica.

    Attributes:
        kind: name of the command's message type.
        body: the encoded command.
        on_result: called once with the outcome and the result.
    """

    kind: str
    body: bytes
    on_result: Callable[[str, Any], None]


class TickInput(NamedTuple):
    """A timer tick at a time in ms."""

    now: int


class Bootstrap(NamedTuple):
    """Start a new cluster.

    Attributes:
        cluster: the cluster's name.
        voters: its first voters; empty for this replica alone.
    """

    cluster: str
    voters: tuple[str, ...] = ()


class StoreWithdrawals(NamedTuple):
    """Withdrawn keys to store in the log."""

    batch: messages.WithdrawalBatch


class TransferLeadership(NamedTuple):
    """A request to transfer leadership to another replica."""


class Replicator:
    """Drives one replica.

    Args:
        instance: the instance's name.
        log: the instance's durable log.
        send: queues a message for an instance; returns False if it was
            dropped.
        rng: random source for identifiers and timeouts.
        live_replicas: returns the replica identifier of each instance
            that was heard from lately.
        target_voters: number of voters that the settings ask for.
        initial_replica_id: the replica's identifier if the data folder
            has none yet; empty to draw one at random.
        unresponsive_replicas: returns those of some replicas that were not
            heard from for a long time, or say that they stop.
        doubtful_replicas: returns those of some replicas of which it is open
            whether they are alive.

    Attributes:
        on_change: called when the published version or the leader changes
            and when the replica fails.
        on_applied: called when entries or a snapshot were applied.
        failure: the error that stopped the replica; empty while it works.

    Raises:
        ForeignFolderError: the data folder belongs to another instance or
            has a log but no identity.
    """

    def __init__(
        self,
        instance: str,
        log: log_module.Log,
        send: SendFunction,
        rng: random.Random,
        live_replicas: Callable[[], dict[str, str]],
        target_voters: int,
        initial_replica_id: str = "",
        unresponsive_replicas: SelectFunction = _select_none,
        doubtful_replicas: SelectFunction = _select_none,
    ):
        self.instance = instance
        self.log = log
        self.send = send
        self.live_replicas = live_replicas
        self.unresponsive_replicas = unresponsive_replicas
        self.doubtful_replicas = doubtful_replicas
        self.target_voters = target_voters
        self.identity = self._load_identity(rng, initial_replica_id)
        self.replica = replica_module.Replica(
            self.identity.replica, log, rng, clock.now_ms()
        )
        self.on_change: Callable[[], None] = lambda: None
        self.on_applied: Callable[[], None] = lambda: None
        self.failure = ""
        self.reported_applied = self.raft.applied_index
        self.reported_leader = ""
        self.reported_membership: tuple = ((), ())
        self.was_fully_replicated = False
        self.membership_checked_ms = 0
        self.inbox, self.inbox_receiver = anyio.create_memory_object_stream[
            Any
        ](MAX_INBOX_ITEMS)

    @property
    def raft(self) -> raft_module.Raft:
        """The replica's consensus state."""
        return self.replica.raft

    @property
    def is_empty(self) -> bool:
        """Whether the log has never held an entry."""
        return not self.log.last_index

    def leader(self) -> str:
        """Return the name of the leader's instance; empty if unknown."""
        if self.failure:
            return ""
        return replica_module.instance_of(self.raft.leader)

    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return not self.failure and self.raft.role == raft_module.LEADER

    def read_index(self) -> int | None:
        """Return the index that a linearizable read must have applied.

        Returns:
            None if this replica cannot confirm that it still leads.
        """
        if self.failure:
            return None
        return self.raft.read_index(clock.now_ms())

    def has_exclusive_lease(self) -> bool:
        """Return whether this replica alone may send orders now."""
        return not self.failure and self.raft.has_exclusive_lease(
            clock.now_ms()
        )

    def is_fully_replicated(self) -> bool:
        """Return whether the cluster survives a loss without any change."""
        return self.is_leader() and replica_module.is_fully_replicated(
            self.raft, self.target_voters, clock.now_ms()
        )

    def offer(self, item: Any) -> bool:
        """Queue an input.

        Returns:
            False if the input was dropped because the queue is full or the
            replica has failed.
        """
        if self.failure:
            return False
        try:
            self.inbox.send_nowait(item)
        except anyio.WouldBlock:
            return False
        return True

    async def propose(
        self, kind: str, body: bytes
    ) -> proposals.ProposalResult:
        """Propose a command on this replica and wait for the result."""
        answered = anyio.Event()
        results: list[proposals.ProposalResult] = []

        def record_result(outcome: str, value: Any) -> None:
            results.append(
                proposals.ProposalResult(outcome, value, self.leader())
            )
            answered.set()

        if not self.offer(LocalProposal(kind, body, record_result)):
            return proposals.ProposalResult(proposals.NOT_LEADER, None, "")
        with anyio.move_on_after(proposals.ATTEMPT_TIMEOUT_S):
            await answered.wait()
        if results:
            return results[0]
        return proposals.ProposalResult(proposals.LOST, None, "")

    async def run(self, service: timers.TimerService) -> None:
        """Drive the replica until it is cancelled or its log fails."""
        ticks = service.subscribe(TICK_INTERVAL_MS)
        async with anyio.create_task_group() as group:
            group.start_soon(self._feed_ticks, ticks)
            try:
                await self._process_batches()
            except (errors.LogFullError, OSError) as exc:
                self._stop_after_failure(exc)
            group.cancel_scope.cancel()

    async def _feed_ticks(
        self, ticks: MemoryObjectReceiveStream[timers.Tick]
    ) -> None:
        async for tick in ticks:
            self.offer(TickInput(tick.now))

    async def _process_batches(self) -> None:
        while True:
            # Applying entries can leave changes that must be synced without
            # waiting for the next input.
            if not self.log.has_unsynced_changes:
                self._process_input(await self.inbox_receiver.receive())
            for _ in range(MAX_BATCH_ITEMS):
                try:
                    self._process_input(self.inbox_receiver.receive_nowait())
                except anyio.WouldBlock:
                    break
            if self.log.has_unsynced_changes:
                await anyio.to_thread.run_sync(self.replica.sync)
            version = self.replica.published.version
            for envelope in self.replica.apply_committed():
                self._send(envelope)
            if self.replica.published.version != version:
                self.on_change()
            if self.raft.applied_index != self.reported_applied:
                self.reported_applied = self.raft.applied_index
                self.on_applied()
            self._emit_changes()

    def _process_input(self, item: Any) -> None:
        now = clock.now_ms()
        if isinstance(item, TickInput):
            self.replica.tick(now)
            self._maintain_membership(now)
        elif isinstance(item, PeerMessage):
            self._process_message(item.message, now)
        elif isinstance(item, LocalProposal):
            self.replica.propose(item.kind, item.body, item.on_result, now)
        elif isinstance(item, StoreWithdrawals):
            self.log.add_withdrawals(item.batch)
        elif isinstance(item, TransferLeadership):
            self.raft.transfer_leadership(now)
        elif isinstance(item, Bootstrap) and self.is_empty:
            self._set_cluster(item.cluster)
            self.raft.bootstrap(item.voters)

    def _process_message(
        self, message: messages.ReplicaMessage, now: int
    ) -> None:
        if message.target != self.identity.replica:
            return
        # A replica without a cluster joins the first one that contacts it.
        if not self.identity.cluster:
            self._set_cluster(message.cluster)
        if message.cluster != self.identity.cluster:
            return
        kind = messages.KINDS.get(message.kind)
        if kind is not None:
            body = messages.decode(kind, message.body)
            self.replica.receive(message.sender, body, now)

    def _send(self, envelope: raft_module.Envelope) -> None:
        body = messages.encode(envelope.message)
        number = messages.NUMBERS[type(envelope.message)]
        message = messages.ReplicaMessage(
            self.identity.cluster,
            self.identity.replica,
            envelope.target,
            number,
            body,
        )
        self.send(replica_module.instance_of(envelope.target), message)

    def _maintain_membership(self, now: int) -> None:
        if (
            not self.is_leader()
            or now - self.membership_checked_ms < MEMBERSHIP_CHECK_INTERVAL_MS
        ):
            return
        self.membership_checked_ms = now
        live_replicas = self.live_replicas()
        live_replicas[self.instance] = self.identity.replica
        members = self.raft.voters + self.raft.learners
        change = replica_module.next_membership_change(
            self.raft,
            live_replicas,
            self.unresponsive_replicas(members),
            self.target_voters,
            self.doubtful_replicas(members),
        )
        if change is not None:
            self.raft.change_membership(change, now)

    def _emit_changes(self) -> None:
        if self.leader() != self.reported_leader:
            self.reported_leader = self.leader()
            events.emit(
                events.LEADER_CHANGED,
                leader=self.reported_leader,
                term=self.raft.term,
                why=self.raft.step_down_reason,
            )
            self.raft.step_down_reason = ""
            self.on_change()
        membership = (self.raft.voters, self.raft.learners)
        if membership != self.reported_membership:
            self.reported_membership = membership
            # A change may be the first of two; between them a loss costs
            # the quorum.
            self.membership_checked_ms = 0
            events.emit(
                events.MEMBERSHIP_CHANGED,
                voters=list(membership[0]),
                learners=list(membership[1]),
            )
        fully_replicated = self.is_fully_replicated()
        if fully_replicated and not self.was_fully_replicated:
            events.emit(events.REPAIRED, voters=list(self.raft.voters))
        self.was_fully_replicated = fully_replicated

    def _stop_after_failure(self, exc: Exception) -> None:
        self.failure = str(exc)
        self.inbox_receiver.close()
        events.emit(events.REPLICA_FAILED, error=self.failure)
        self.on_change()

    def _load_identity(
        self, rng: random.Random, initial_replica_id: str
    ) -> messages.Identity:
        identity = self.log.read_identity()
        if identity is None:
            if self.log.last_index or self.log.hard_state.term:
                raise errors.ForeignFolderError(
                    "the data folder has a log but no identity",
                    "log.open",
                    self.log.location,
                )
            replica_id = initial_replica_id or replica_module.new_replica_id(
                self.instance, rng
            )
            identity = messages.Identity("", self.instance, replica_id)
            self.log.write_identity(identity)
        if identity.name != self.instance:
            raise errors.ForeignFolderError(
                f"the data folder belongs to instance {identity.name}",
                "log.open",
                self.log.location,
            )
        return identity

    def _set_cluster(self, cluster: str) -> None:
        self.identity = self.identity._replace(cluster=cluster)
        self.log.write_identity(self.identity)


__all__ = [
    "Bootstrap",
    "LocalProposal",
    "PeerMessage",
    "Replicator",
    "StoreWithdrawals",
    "TransferLeadership",
]
