"""A long randomised run of the durable parts, from one seed.

The product's own replicas run over memory logs through one schedule of
deliveries, losses, duplicates, crashes with torn logs, lost disks,
freezes, clock drift, cuts and racing clients. Invariants inside the
product raise on their own; this module adds those that need the whole
view: one process in charge, one answer per edit, one run per claim, one
set of figures per window, no reverting version, nothing accepted lost.
"""

import heapq
import itertools
import json
import multiprocessing
import random
from typing import Any
from typing import Callable
from typing import NamedTuple

from primrosehitch import controller
from primrosehitch import errors
from primrosehitch import frames
from primrosehitch import log as log_module
from primrosehitch import medium as medium_module
from primrosehitch import messages
from primrosehitch import raft as raft_module
from primrosehitch import replica as replica_module
from primrosehitch import state as state_module

TICK_MS = 50
FAULT_MS = 700
CLIENT_MS = 90
SETTLE_MS = 40_000
QUIET_MS = 1000
ANSWER_LIMIT_MS = 1500
COMPACT_ENTRIES = 60
DRIFT = 0.04
UNSEEN_LOSS_MS = 1100
CUSTOMERS = ("ana", "bea")
BOOKINGS = 12
PROCESSES = 4


class Counters(NamedTuple):
    """What one schedule did."""

    edits: int
    claims: int
    runs: int
    sends: int
    reports: int
    crashes: int
    disks: int
    cuts: int
    freezes: int
    leaders: int


class Node:
    """One replica process with its disk and clock."""

    def __init__(self, soak: "Soak", name: str):
        self.soak = soak
        self.name = name
        self.medium = medium_module.MemoryMedium()
        self.offset = soak.rng.randrange(10**6)
        self.rate = 1 + soak.rng.uniform(-DRIFT, DRIFT)
        self.running = False
        self.frozen_until = 0
        self.cut = False
        self.queue: list[tuple[str, tuple]] = []
        self.published = 0
        self.wiped = False
        self.start()

    def clock(self) -> int:
        """Return this node's monotonic time in ms."""
        return int(self.offset + self.soak.now * self.rate)

    def start(self) -> None:
        """Open the log and run."""
        log = log_module.open_memory_log(self.medium)
        identity = log.read_identity()
        if identity is None:
            name = replica_module.new_replica_id(self.name, self.soak.rng)
            identity = messages.Identity("", self.name, name)
            log.write_identity(identity)
            self.published = 0
        self.replica = replica_module.Replica(
            identity.replica, log, self.soak.rng, self.clock(), COMPACT_ENTRIES
        )
        self.running = True
        self.queue = []
        after = self.replica.published.version
        errors.require(
            after >= self.published,
            f"{self.name} went back from {self.published} to {after}",
            "soak.restart",
        )

    def crash(self) -> None:
        """Stop at once; unsynced bytes may be lost or torn."""
        self.running = False
        kept = self.soak.rng.choice((0.0, 1.0, self.soak.rng.random()))
        if not self.replica.log.has_unsynced_changes:
            kept = 1.0
        if (
            self.replica.log.has_unsynced_changes
            and self.soak.rng.random() < 0.5
        ):
            frame = frames.pack_frame(bytes(self.replica.log.unsynced_records))
            self.medium.append(log_module.LOG_FILE, frame)
        self.medium.crash(kept)

    def frozen(self) -> bool:
        """Return whether the process stands still."""
        return self.soak.now < self.frozen_until

    def active(self) -> bool:
        """Return whether the process does anything."""
        return self.running and not self.frozen()

    def in_charge(self) -> bool:
        """Return whether the process believes that it is in charge."""
        return self.running and self.replica.raft.has_exclusive_lease(
            self.clock()
        )

    def take(self, sender: str, message: tuple) -> None:
        """Take a message in, now or after a freeze."""
        if not self.running:
            return
        if self.frozen():
            self.queue.append((sender, message))
            return
        self.replica.receive(sender, message, self.clock())
        self.flush()

    def wake(self) -> None:
        """Go on after a freeze, first with what was queued."""
        queue, self.queue = self.queue, []
        if self.running and self.soak.rng.random() < 0.5:
            self.soak.act_in_charge(self)
        for sender, message in queue:
            self.take(sender, message)

    def flush(self) -> None:
        """Sync and send, unless a crash comes between."""
        if not self.running:
            return
        if self.soak.chaos and self.soak.rng.random() < 0.0005:
            self.soak.counts["crashes"] += 1
            self.crash()
            return
        for outgoing in self.replica.flush():
            self.soak.send(self, outgoing)
        self.soak.check_published(self)


class Soak:
    """One schedule.

    Args:
        seed: decides everything.
        nodes: replicas, 3 or 5.
        duration_ms: time with faults.
    """

    def __init__(self, seed: int, nodes: int = 3, duration_ms: int = 90_000):
        self.rng = random.Random(seed)
        self.now = 0
        self.chaos = False
        self.quiet = False
        self.duration_ms = duration_ms
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.counts = dict.fromkeys(Counters._fields, 0)
        self.versions: dict[int, Any] = {}
        self.answers: dict[str, messages.EditResult] = {}
        self.accepted: dict[int, str] = {}
        self.edits: list[messages.Edit] = []
        self.runs: dict[tuple[str, str], int] = {}
        self.figures: dict[tuple[int, str], bytes] = {}
        self.batches: dict[str, list[messages.UsageBatch]] = {"gw": []}
        self.marked: dict[str, int] = {"gw": 0}
        self.withdrawn: set[str] = set()
        self.lost_at = -UNSEEN_LOSS_MS
        self.terms: dict[int, str] = {}
        self.nodes = [Node(self, f"n{i}") for i in range(nodes)]
        self.nodes[0].replica.raft.bootstrap()
        self.nodes[0].flush()

    # -- machinery ---------------------------------------------------------

    def at(self, delay: int, action: Callable[[], None]) -> None:
        """Do something after a delay in ms."""
        entry = (self.now + delay, next(self.order), action)
        heapq.heappush(self.events, entry)

    def run(self) -> Counters:
        """Run the schedule and return what it did.

        Raises:
            InvariantError: something that must always hold did not.
        """
        for node in self.nodes:
            self.at(0, lambda n=node: self._tick(n))
        self._run_until(8000)
        self.chaos = True
        self.at(FAULT_MS, self._fault)
        self.at(CLIENT_MS, self._client)
        self._run_until(self.now + self.duration_ms)
        self.chaos = False
        self._heal()
        self._run_until(self.now + SETTLE_MS)
        self.quiet = True
        self._run_until(self.now + QUIET_MS)
        self._check_end()
        self.counts["leaders"] = len(self.terms)
        return Counters(**self.counts)

    def _run_until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def _tick(self, node: Node) -> None:
        self.at(
            self.rng.randint(TICK_MS - 20, TICK_MS + 20),
            lambda: self._tick(node),
        )
        if not node.active():
            return
        node.replica.tick(node.clock())
        self._maintain(node)
        node.flush()
        self._check_one_in_charge()
        if self.rng.random() < 0.2:
            self.act_in_charge(node)

    def _maintain(self, node: Node) -> None:
        if node.replica.raft.role != raft_module.LEADER:
            return
        present = {
            n.name: n.replica.name
            for n in self.nodes
            if n.active() and n.cut == node.cut
        }
        raft = node.replica.raft
        change = replica_module.next_membership_change(
            raft, present, (), len(self.nodes)
        )
        if change is not None:
            raft.change_membership(change, node.clock())

    def send(self, node: Node, outgoing: raft_module.Envelope) -> None:
        """Deliver a message late, twice, crossed or not at all."""
        loss = 0.05 if self.chaos else 0.0
        if self.rng.random() < loss:
            return
        copies = 2 if self.chaos and self.rng.random() < 0.03 else 1
        for _ in range(copies):
            slow = self.chaos and self.rng.random() < 0.02
            delay = self.rng.randint(1, 2500 if slow else 30)
            self.at(
                delay,
                lambda: self._deliver(node.cut, node.replica.name, outgoing),
            )

    def _deliver(
        self, cut: bool, sender: str, outgoing: raft_module.Envelope
    ) -> None:
        for node in self.nodes:
            wanted = node.replica.name == outgoing.target
            if wanted and node.cut == cut:
                node.take(sender, outgoing.message)

    # -- faults ------------------------------------------------------------

    def _fault(self) -> None:
        if not self.chaos:
            return
        self.at(self.rng.randint(50, 2 * FAULT_MS), self._fault)
        node = self.rng.choice(self.nodes)
        kind = self.rng.choice(
            ("crash", "disk", "freeze", "freeze", "cut", "heal", "start")
        )
        if kind == "crash" and node.running:
            self.counts["crashes"] += 1
            node.crash()
            self.at(self.rng.randint(100, 4000), lambda: self._start(node))
        elif kind == "disk":
            self._lose_disk(node)
        elif kind == "freeze" and node.active():
            self._freeze(node)
        elif kind == "cut":
            self.counts["cuts"] += 1
            node.cut = True
        elif kind == "heal":
            for other in self.nodes:
                other.cut = False
        elif kind == "start":
            self._start(node)

    def _start(self, node: Node) -> None:
        if not node.running:
            node.start()

    def _freeze(self, node: Node) -> None:
        self.counts["freezes"] += 1
        length = self.rng.choice((300, 900, 1300, 2500, 6000))
        node.frozen_until = self.now + length
        self.at(length, node.wake)

    def _lose_disk(self, node: Node) -> None:
        wanted = len(self.nodes)
        said = any(
            n.active()
            and replica_module.is_fully_replicated(
                n.replica.raft, wanted, n.clock()
            )
            for n in self.nodes
        )
        seen = self.now - self.lost_at > UNSEEN_LOSS_MS
        if not (said and seen):
            return
        self.lost_at = self.now
        self.counts["disks"] += 1
        node.running = False
        node.medium = medium_module.MemoryMedium()
        self.at(self.rng.randint(100, 3000), lambda: self._start(node))

    def _heal(self) -> None:
        for node in self.nodes:
            node.cut = False
            if not node.running:
                node.start()

    # -- clients -----------------------------------------------------------

    def _client(self) -> None:
        if not self.chaos:
            return
        self.at(self.rng.randint(5, 2 * CLIENT_MS), self._client)
        action = self.rng.choice(
            (
                self._race,
                self._resend,
                self._claim,
                self._claim,
                self._usage,
                self._withdraw,
            )
        )
        action()

    def _propose(self, command: tuple, done: Callable[[Any], None]) -> None:
        node = self.rng.choice(self.nodes)
        if not node.active():
            return
        kind = type(command).__name__

        def answer(outcome: str, value: Any) -> None:
            if outcome == replica_module.APPLIED:
                self.at(self.rng.randint(1, 40), lambda: done(value))

        body = messages.encode(command)
        node.replica.propose(kind, body, answer, node.clock())
        node.flush()

    def _race(self) -> None:
        base = max(self.accepted, default=0)
        for _ in range(self.rng.choice((1, 2, 3))):
            number = len(self.edits)
            key = f"k{self.rng.randrange(8)}"
            deleted = self.rng.random() < 0.2
            row = messages.Row("customer", key, f'"{number}"', 0, deleted)
            edit = messages.Edit(f"e{number}", base, "op", (row,))
            self.edits.append(edit)
            self._propose(edit, self._edit_answered)

    def _resend(self) -> None:
        if self.edits:
            edit = self.rng.choice(self.edits[-30:])
            self._propose(edit, self._edit_answered)

    def _edit_answered(self, result: messages.EditResult) -> None:
        known = self.answers.setdefault(result.edit_id, result)
        errors.require(
            known == result, f"one answer to {result.edit_id}", "soak.edit"
        )
        if result.accepted:
            self.counts["edits"] += 1
            winner = self.accepted.setdefault(result.version, result.edit_id)
            errors.require(
                winner == result.edit_id,
                f"one winner of version {result.version}",
                "soak.edit",
            )

    def _claim(self) -> None:
        customer = self.rng.choice(CUSTOMERS)
        booking = f"b{self.rng.randrange(BOOKINGS)}"
        claim = messages.Claim(
            claim_id=f"c{self.counts['claims']}",
            customer=customer,
            idempotency_key=booking,
            holder="gw",
        )
        self.counts["claims"] += 1
        given_up: list[bool] = []
        deadline = self.now + ANSWER_LIMIT_MS

        def release() -> None:
            if not given_up:
                given_up.append(True)
                command = messages.ClaimRelease(claim.claim_id)
                self._propose(command, lambda value: None)

        def answered(known: messages.Claim) -> None:
            if given_up or self.now >= deadline:
                return
            given_up.append(True)
            own = known.claim_id == claim.claim_id
            if own and known.state == state_module.OPEN:
                self._run_claim(claim)

        self.at(ANSWER_LIMIT_MS, release)
        for _ in range(self.rng.choice((1, 1, 2))):
            self._propose(claim, answered)

    def _run_claim(self, claim: messages.Claim) -> None:
        key = (claim.customer, claim.idempotency_key)
        self.runs[key] = self.runs.get(key, 0) + 1
        self.counts["runs"] += 1
        errors.require(
            self.runs[key] <= 1, f"{key} ran at most once", "soak.claim"
        )
        outcome = messages.ClaimOutcome(claim.claim_id, 201, "", b"", True)
        if self.rng.random() < 0.8:
            self._propose(outcome, lambda value: None)

    def _usage(self) -> None:
        batches = self.batches["gw"]
        mark = self.marked["gw"]
        if len(batches) == mark:
            row = messages.UsageRow(
                self.rng.choice(CUSTOMERS), "desk", 1, 10, len(batches) + 1
            )
            window = self.now // 2000
            batches.append(
                messages.UsageBatch("gw", 1, len(batches) + 1, window, (row,))
            )
        self._propose(batches[-1], self._usage_answered)

    def _usage_answered(self, mark: messages.BatchMark) -> None:
        self.marked["gw"] = max(self.marked["gw"], mark.sequence)

    def _withdraw(self) -> None:
        key = f"key{self.rng.randrange(40)}"
        command = messages.WithdrawalBatch((messages.Withdrawal(key, "op"),))
        self._propose(command, lambda value: self.withdrawn.add(key))

    # -- duties of the leader ----------------------------------------------

    def act_in_charge(self, node: Node) -> None:
        """Do what a controller does, if the node believes it may."""
        if self.quiet or not node.active() or not node.in_charge():
            return
        self._check_one_in_charge()
        state = node.replica.state
        for window in list(state.windows.values()):
            for customer in {r.customer for r in window.rows}:
                if (window.window, customer) not in state.reported_customers:
                    self._report(node, window, customer)
        newest_ended = self.now // 2000 - 1
        if self.rng.random() < 0.3 and newest_ended >= 0:
            self._command(node, messages.CloseWindow(newest_ended))
        if self.rng.random() < 0.1:
            number = self.rng.getrandbits(60)
            self._command(node, messages.Order(f"o{number}", "z", "start"))
        for order in list(state.orders.values()):
            if order.state == state_module.PENDING:
                self._send_order(node, order)

    def _command(self, node: Node, command: tuple) -> None:
        node.replica.propose(
            type(command).__name__,
            messages.encode(command),
            lambda outcome, value: None,
            node.clock(),
        )
        node.flush()

    def _send_order(self, node: Node, order: messages.Order) -> None:
        if node.in_charge():
            self.counts["sends"] += 1
            self._check_one_in_charge()
            done = messages.OrderDone(order.order_id, state_module.DONE)
            self._command(node, done)

    def _report(
        self, node: Node, window: messages.Window, customer: str
    ) -> None:
        if not node.in_charge():
            return
        self.counts["reports"] += 1
        body = controller.encode_usage_report(window, customer)
        known = self.figures.setdefault((window.window, customer), body)
        errors.require(
            known == body, f"one figure for {window.window}", "soak.usage"
        )
        self._command(node, messages.WindowReported(window.window, customer))

    # -- checks ------------------------------------------------------------

    def _check_one_in_charge(self) -> None:
        holders = [n.name for n in self.nodes if n.in_charge()]
        errors.require(
            len(holders) <= 1, f"one in charge: {holders}", "soak.charge"
        )
        for node in self.nodes:
            raft = node.replica.raft
            if node.running and raft.role == raft_module.LEADER:
                known = self.terms.setdefault(raft.term, raft.name)
                errors.require(
                    known == raft.name, "one leader a term", "soak.term"
                )

    def check_published(self, node: Node) -> None:
        """Check that a version means the same rows everywhere."""
        published = node.replica.published
        errors.require(
            published.version >= node.published,
            "published versions rise",
            "soak.publish",
        )
        node.published = published.version
        state = node.replica.state
        rows = json.dumps(
            sorted(
                (r.key, r.value, r.version, r.deleted)
                for r in state.rows.values()
            )
        )
        known = self.versions.setdefault(state.version, rows)
        errors.require(
            known == rows, f"version {state.version} is one", "soak.rows"
        )

    def _check_end(self) -> None:
        wanted = len(self.nodes)
        said = any(
            replica_module.is_fully_replicated(
                n.replica.raft, wanted, n.clock()
            )
            for n in self.nodes
        )
        errors.require(said, "repaired after all healed", "soak.end")
        states = [n.replica.state for n in self.nodes]
        images = {s.version for s in states}
        errors.require(len(images) == 1, f"all equal {images}", "soak.end")
        for state in states:
            self._check_state(state)

    def _check_state(self, state: state_module.State) -> None:
        newest = max(self.accepted, default=0)
        errors.require(
            state.version >= newest, "accepted edits are kept", "soak.end"
        )
        for version, edit_id in self.accepted.items():
            kept = state.edit_results.get(edit_id)
            good = kept is not None and kept.version == version
            errors.require(good, f"edit {edit_id} is kept", "soak.end")
        missing = self.withdrawn - set(state.withdrawals)
        errors.require(not missing, f"withdrawn {missing}", "soak.end")
        self._check_usage(state)

    def _reported_and_forgotten(self, state: state_module.State) -> int:
        """Return output tokens of windows that only the reports hold."""
        return sum(
            row["output_tokens"]
            for (number, _), body in self.figures.items()
            if number not in state.windows
            for row in json.loads(body)["rows"]
        )

    def _check_usage(self, state: state_module.State) -> None:
        counted = sum(r.output_tokens for r in state.open_usage.values())
        for window in state.windows.values():
            counted += sum(r.output_tokens for r in window.rows)
        counted += self._reported_and_forgotten(state)
        mark = state.batch_sequences.get(("gw", 1), 0)
        errors.require(
            mark >= self.marked["gw"], "counted batches kept", "soak.usage"
        )
        sent = sum(b.rows[0].output_tokens for b in self.batches["gw"][:mark])
        errors.require(
            counted == sent, f"usage {counted} is {sent}", "soak.usage"
        )


def run_seed(seed: int) -> Counters:
    """Run one schedule: of five replicas for every fourth seed."""
    return Soak(seed, 5 if seed % 4 == 0 else 3).run()


def _run_guarded(seed: int) -> tuple[int, Counters | None, str]:
    try:
        return seed, run_seed(seed), ""
    except Exception as exc:
        return seed, None, f"{type(exc).__name__}: {exc}"


def run_many(seed: int, count: int) -> int:
    """Run schedules on several processors, print totals and failures.

    Returns:
        0 where no schedule failed, else 1.
    """
    totals = dict.fromkeys(Counters._fields, 0)
    failed = 0
    with multiprocessing.Pool(PROCESSES) as pool:
        seeds = range(seed, seed + count)
        for number, counters, text in pool.imap(_run_guarded, seeds):
            if counters is None:
                failed += 1
                print(f"seed {number}: {text}")
                continue
            for name, value in counters._asdict().items():
                totals[name] += value
    print(f"{count - failed} passed, {failed} failed")
    print(" ".join(f"{k}={v}" for k, v in totals.items()))
    return 1 if failed else 0


__all__ = ["Counters", "Soak", "run_many", "run_seed"]
