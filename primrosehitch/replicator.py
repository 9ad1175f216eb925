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

TICK_MS = 100
MEMBERSHIP_MS = 250
INBOX_ITEMS = 4096
BATCH_ITEMS = 256

SendFunction = Callable[[str, tuple], bool]


class FromPeer(NamedTuple):
    """A message of another replica."""

    message: messages.ReplicaMessage


class Local(NamedTuple):
    """A command to propose, with the callback for its answer."""

    kind: str
    body: bytes
    answer: Callable[[str, Any], None]


class Ticked(NamedTuple):
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


class KeepWithdrawals(NamedTuple):
    """Withdrawn keys that this instance heard of."""

    batch: messages.WithdrawalBatch


class HandOver(NamedTuple):
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
        present: Callable[[], dict[str, str]],
        wanted: int,
        first_id: str = "",
        silent: Callable[[], Collection[str]] = tuple,
    ):
        self.instance = instance
        self.log = log
        self.send = send
        self.present = present
        self.silent = silent
        self.wanted = wanted
        self.identity = self._own_identity(rng, first_id)
        self.replica = replica_module.Replica(
            self.identity.replica, log, rng, clock.now_ms()
        )
        self.on_change: Callable[[], None] = lambda: None
        self.on_applied: Callable[[], None] = lambda: None
        self.failed = ""
        self.was_leader = ""
        self.was_membership: tuple = ((), ())
        self.was_repaired = False
        self.last_membership = 0
        self.inbox, self.source = anyio.create_memory_object_stream[Any](
            INBOX_ITEMS
        )

    # -- questions ---------------------------------------------------------

    @property
    def raft(self) -> raft_module.Raft:
        """The replica's consensus state."""
        return self.replica.raft

    @property
    def empty(self) -> bool:
        """Whether the replica has never held any state."""
        return not self.log.last_index

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""
        if self.failed:
            return ""
        return replica_module.instance_of(self.raft.leader)

    def leads(self) -> bool:
        """Return whether this replica leads."""
        return not self.failed and self.raft.role == raft_module.LEADER

    def read_index(self) -> int | None:
        """Return the index that a read must have applied, or None."""
        if self.failed:
            return None
        return self.raft.read_index(clock.now_ms())

    def in_charge(self) -> bool:
        """Return whether orders may be sent at this very moment."""
        return not self.failed and self.raft.in_charge(clock.now_ms())

    def repaired(self) -> bool:
        """Return whether one more loss is survivable."""
        return self.leads() and replica_module.repaired(
            self.raft, self.wanted, clock.now_ms()
        )

    # -- inputs ------------------------------------------------------------

    def offer(self, item: Any) -> bool:
        """Queue an input; False drops it when the queue is full."""
        if self.failed:
            return False
        try:
            self.inbox.send_nowait(item)
        except anyio.WouldBlock:
            return False
        return True

    async def propose(self, kind: str, body: bytes) -> proposals.Result:
        """Propose a command here and wait for its answer."""
        done = anyio.Event()
        results: list[proposals.Result] = []

        def answer(outcome: str, value: Any) -> None:
            results.append(proposals.Result(outcome, value, self.leader()))
            done.set()

        if not self.offer(Local(kind, body, answer)):
            return proposals.Result(proposals.NOT_LEADER, None, "")
        with anyio.move_on_after(proposals.ATTEMPT_S):
            await done.wait()
        if results:
            return results[0]
        return proposals.Result(proposals.LOST, None, "")

    # -- task --------------------------------------------------------------

    async def run(self, service: timers.TimerService) -> None:
        """Drive the replica until cancelled or until its log fails."""
        ticks = service.subscribe(TICK_MS)
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
            self.offer(Ticked(tick.now))

    async def _loop(self) -> None:
        while True:
            if not self.log.has_unsynced_changes:
                self._take(await self.source.receive())
            for _ in range(BATCH_ITEMS):
                try:
                    self._take(self.source.receive_nowait())
                except anyio.WouldBlock:
                    break
            if self.log.has_unsynced_changes:
                await anyio.to_thread.run_sync(self.replica.sync)
            version = self.replica.published.version
            applied = self.raft.applied
            for outgoing in self.replica.after_sync():
                self._send(outgoing)
            if self.replica.published.version != version:
                self.on_change()
            if self.raft.applied != applied:
                self.on_applied()
            self._note_changes()

    def _take(self, item: Any) -> None:
        now = clock.now_ms()
        if isinstance(item, Ticked):
            self.replica.tick(now)
            self._maintain(now)
        elif isinstance(item, FromPeer):
            self._take_message(item.message, now)
        elif isinstance(item, Local):
            self.replica.propose(item.kind, item.body, item.answer, now)
        elif isinstance(item, KeepWithdrawals):
            self.log.add_withdrawals(item.batch)
        elif isinstance(item, HandOver):
            self.raft.hand_over(now)
        elif isinstance(item, Bootstrap) and self.empty:
            self._set_cluster(item.cluster)
            self.raft.bootstrap(item.voters)

    def _take_message(
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

    def _send(self, outgoing: raft_module.Outgoing) -> None:
        body = messages.encode(outgoing.message)
        number = messages.NUMBERS[type(outgoing.message)]
        message = messages.ReplicaMessage(
            self.identity.cluster,
            self.identity.replica,
            outgoing.target,
            number,
            body,
        )
        self.send(replica_module.instance_of(outgoing.target), message)

    def _maintain(self, now: int) -> None:
        if not self.leads() or now - self.last_membership < MEMBERSHIP_MS:
            return
        self.last_membership = now
        present = self.present()
        present[self.instance] = self.identity.replica
        change = replica_module.membership_step(
            self.raft, present, self.silent(), self.wanted
        )
        if change is not None:
            self.raft.change_membership(change, now)

    def _note_changes(self) -> None:
        if self.leader() != self.was_leader:
            self.was_leader = self.leader()
            events.emit(
                events.LEADER_CHANGED,
                leader=self.was_leader,
                term=self.raft.term,
            )
            self.on_change()
        membership = (self.raft.voters, self.raft.learners)
        if membership != self.was_membership:
            self.was_membership = membership
            events.emit(
                events.MEMBERSHIP_CHANGED,
                voters=list(membership[0]),
                learners=list(membership[1]),
            )
        repaired = self.repaired()
        if repaired and not self.was_repaired:
            events.emit(events.REPAIRED, voters=list(self.raft.voters))
        self.was_repaired = repaired

    def _fail(self, exc: Exception) -> None:
        self.failed = str(exc)
        self.source.close()
        events.emit(events.REPLICA_FAILED, error=self.failed)
        self.on_change()

    # -- identity ----------------------------------------------------------

    def _own_identity(
        self, rng: random.Random, first_id: str
    ) -> messages.Identity:
        identity = self.log.read_identity()
        if identity is None:
            if self.log.last_index or self.log.hard_state.term:
                raise errors.ForeignFolderError(
                    "a log without an identity", "log.open", self.log.location
                )
            name = first_id or replica_module.replica_id(self.instance, rng)
            identity = messages.Identity("", self.instance, name)
            self.log.write_identity(identity)
        if identity.name != self.instance:
            raise errors.ForeignFolderError(
                f"the folder belongs to {identity.name}",
                "log.open",
                self.log.location,
            )
        return identity

    def _set_cluster(self, cluster: str) -> None:
        self.identity = self.identity._replace(cluster=cluster)
        self.log.write_identity(self.identity)


__all__ = [
    "Bootstrap",
    "FromPeer",
    "HandOver",
    "KeepWithdrawals",
    "Local",
    "Replicator",
]
