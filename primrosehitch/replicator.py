"""The task that owns a replica: inputs in, disk, then messages out.

Inputs are taken in batches; the log is synced in a worker thread once a
batch, and only then do messages and answers leave.
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


class PeerMessage(NamedTuple):
    """A message of another replica."""

    message: messages.ReplicaMessage


class LocalProposal(NamedTuple):
    """A command to propose, with the callback for its answer."""

    kind: str
    body: bytes
    on_result: Callable[[str, Any], None]


class TickInput(NamedTuple):
    """Time went on."""

    now: int


class Bootstrap(NamedTuple):
    """Start a new cluster.

    Attributes:
        cluster: its name.
        voters: its first replicas; none means this replica alone.
    """

    cluster: str
    voters: tuple[str, ...] = ()


class StoreWithdrawals(NamedTuple):
    """Withdrawn keys that this instance heard of."""

    batch: messages.WithdrawalBatch


class TransferLeadership(NamedTuple):
    """Give leadership to another replica."""


class Replicator:
    """Drives one replica.

    Args:
        instance: the instance's name.
        log: its durable log.
        send: sends a message to an instance.
        rng: source of identifiers and timeouts.
        present: returns the replica identifier by instance heard lately.
        wanted: replicas that the settings ask for.
        first_id: the replica's identifier if the folder is empty and
            the cluster is new; drawn at random where it is empty.
        silent: returns the replicas not heard of for long.
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
        unresponsive_replicas: Callable[[], Collection[str]] = tuple,
    ):
        self.instance = instance
        self.log = log
        self.send = send
        self.live_replicas = live_replicas
        self.unresponsive_replicas = unresponsive_replicas
        self.target_voters = target_voters
        self.identity = self._load_identity(rng, initial_replica_id)
        self.replica = replica_module.Replica(
            self.identity.replica, log, rng, clock.now_ms()
        )
        self.on_change: Callable[[], None] = lambda: None
        self.on_applied: Callable[[], None] = lambda: None
        self.failure = ""
        self.reported_leader = ""
        self.reported_membership: tuple = ((), ())
        self.was_fully_replicated = False
        self.membership_checked_ms = 0
        self.inbox, self.inbox_receiver = anyio.create_memory_object_stream[
            Any
        ](MAX_INBOX_ITEMS)

    # -- questions ---------------------------------------------------------

    @property
    def raft(self) -> raft_module.Raft:
        """The replica's consensus state."""
        return self.replica.raft

    @property
    def is_empty(self) -> bool:
        """Whether the replica has never held any state."""
        return not self.log.last_index

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""
        if self.failure:
            return ""
        return replica_module.instance_of(self.raft.leader)

    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return not self.failure and self.raft.role == raft_module.LEADER

    def read_index(self) -> int | None:
        """Return the index that a read must have applied, or None."""
        if self.failure:
            return None
        return self.raft.read_index(clock.now_ms())

    def has_exclusive_lease(self) -> bool:
        """Return whether orders may be sent at this very moment."""
        return not self.failure and self.raft.has_exclusive_lease(
            clock.now_ms()
        )

    def is_fully_replicated(self) -> bool:
        """Return whether one more loss is survivable."""
        return self.is_leader() and replica_module.is_fully_replicated(
            self.raft, self.target_voters, clock.now_ms()
        )

    # -- inputs ------------------------------------------------------------

    def offer(self, item: Any) -> bool:
        """Queue an input; False drops it when the queue is full."""
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
        """Propose a command here and wait for its answer."""
        answered = anyio.Event()
        results: list[proposals.ProposalResult] = []

        def answer(outcome: str, value: Any) -> None:
            results.append(
                proposals.ProposalResult(outcome, value, self.leader())
            )
            answered.set()

        if not self.offer(LocalProposal(kind, body, answer)):
            return proposals.ProposalResult(proposals.NOT_LEADER, None, "")
        with anyio.move_on_after(proposals.ATTEMPT_TIMEOUT_S):
            await answered.wait()
        if results:
            return results[0]
        return proposals.ProposalResult(proposals.LOST, None, "")

    # -- task --------------------------------------------------------------

    async def run(self, service: timers.TimerService) -> None:
        """Drive the replica until cancelled or until its log fails."""
        ticks = service.subscribe(TICK_INTERVAL_MS)
        async with anyio.create_task_group() as group:
            group.start_soon(self._feed_ticks, ticks)
            try:
                await self._loop()
            except (errors.LogFullError, OSError) as exc:
                self._fail(exc)
            group.cancel_scope.cancel()

    async def _feed_ticks(
        self, ticks: MemoryObjectReceiveStream[timers.Tick]
    ) -> None:
        async for tick in ticks:
            self.offer(TickInput(tick.now))

    async def _loop(self) -> None:
        while True:
            if not self.log.dirty:
                self._process_input(await self.inbox_receiver.receive())
            for _ in range(MAX_BATCH_ITEMS):
                try:
                    self._process_input(self.inbox_receiver.receive_nowait())
                except anyio.WouldBlock:
                    break
            if self.log.dirty:
                await anyio.to_thread.run_sync(self.replica.sync)
            version = self.replica.published.version
            applied = self.raft.applied_index
            for envelope in self.replica.apply_committed():
                self._send(envelope)
            if self.replica.published.version != version:
                self.on_change()
            if self.raft.applied_index != applied:
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
            self.log.keep_withdrawals(item.batch)
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
        change = replica_module.next_membership_change(
            self.raft,
            live_replicas,
            self.unresponsive_replicas(),
            self.target_voters,
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
            )
            self.on_change()
        membership = (self.raft.voters, self.raft.learners)
        if membership != self.reported_membership:
            self.reported_membership = membership
            events.emit(
                events.MEMBERSHIP_CHANGED,
                voters=list(membership[0]),
                learners=list(membership[1]),
            )
        fully_replicated = self.is_fully_replicated()
        if fully_replicated and not self.was_fully_replicated:
            events.emit(events.REPAIRED, voters=list(self.raft.voters))
        self.was_fully_replicated = fully_replicated

    def _fail(self, exc: Exception) -> None:
        self.failure = str(exc)
        self.inbox_receiver.close()
        events.emit(events.REPLICA_FAILED, error=self.failure)
        self.on_change()

    # -- identity ----------------------------------------------------------

    def _load_identity(
        self, rng: random.Random, initial_replica_id: str
    ) -> messages.Identity:
        identity = self.log.identity()
        if identity is None:
            if self.log.last_index or self.log.hard.term:
                raise errors.ForeignFolderError(
                    "a log without an identity", "log.open", self.log.peer
                )
            name = initial_replica_id or replica_module.new_replica_id(
                self.instance, rng
            )
            identity = messages.Identity("", self.instance, name)
            self.log.set_identity(identity)
        if identity.name != self.instance:
            raise errors.ForeignFolderError(
                f"the folder belongs to {identity.name}",
                "log.open",
                self.log.peer,
            )
        return identity

    def _set_cluster(self, cluster: str) -> None:
        self.identity = self.identity._replace(cluster=cluster)
        self.log.set_identity(self.identity)


__all__ = [
    "Bootstrap",
    "PeerMessage",
    "TransferLeadership",
    "StoreWithdrawals",
    "LocalProposal",
    "Replicator",
]
