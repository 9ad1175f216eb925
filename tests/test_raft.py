"""Tests of consensus: leases, freezes, leadership transfer, membership."""

import random

import pytest

from primrosehitch import errors
from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import peers as peers_module
from primrosehitch import raft as raft_module
from primrosehitch import replica as replica_module

STEP_MS = 50


class Cluster:
    """Replicas that exchange messages once per step of ``step_ms``.

    Replicas named in ``partitioned`` neither run nor receive anything.
    """

    def __init__(self, names, compaction_entries=4096):
        self.now = 1000
        self.step_ms = STEP_MS
        self.compaction_entries = compaction_entries
        self.partitioned = set()
        self.replicas = {}
        self.in_transit = []
        for name in names:
            self.add(name)
        self.replicas[names[0]].raft.bootstrap()

    def add(self, name):
        self.replicas[name] = replica_module.Replica(
            f"{name}/1",
            log_module.open_memory_log(),
            random.Random(name),
            self.now,
            self.compaction_entries,
        )

    def run(self, ms):
        for _ in range(ms // self.step_ms):
            self.now += self.step_ms
            self.step()

    def step(self):
        in_transit, self.in_transit = self.in_transit, []
        for sender, item in in_transit:
            name = item.target.split("/")[0]
            if name not in self.partitioned and sender not in self.partitioned:
                self.replicas[name].receive(
                    f"{sender}/1", item.message, self.now
                )
        for name, replica in self.replicas.items():
            if name in self.partitioned:
                continue
            replica.tick(self.now)
            self.maintain(replica)
            for item in replica.flush():
                self.in_transit.append((name, item))

    def maintain(self, replica):
        if replica.raft.role != raft_module.LEADER:
            return
        live = {n: r.name for n, r in self.replicas.items()}
        for name in self.partitioned:
            live.pop(name)
        change = replica_module.next_membership_change(replica.raft, live)
        if change is not None:
            replica.raft.change_membership(change, self.now)

    def leader(self):
        leaders = [
            n
            for n, r in self.replicas.items()
            if n not in self.partitioned and r.raft.role == raft_module.LEADER
        ]
        return leaders[0] if leaders else ""

    def edit(self, name, count=1):
        outcomes = []
        for i in range(count):
            edit = messages.Edit(
                f"{name}-{self.now}-{i}",
                replica_module.state_module.ANY_VERSION,
                "op",
                (messages.Row("customer", f"c{i}", "{}"),),
            )
            self.replicas[name].propose(
                "Edit",
                messages.encode(edit),
                lambda outcome, value: outcomes.append(outcome),
                self.now,
            )
        return outcomes


@pytest.fixture
def cluster():
    cluster = Cluster("abc")
    cluster.run(8000)
    assert len(cluster.replicas["a"].raft.voters) == 3
    return cluster


def has_exclusive_lease(cluster, name):
    return cluster.replicas[name].raft.has_exclusive_lease(cluster.now)


def test_only_the_leader_has_an_exclusive_lease(cluster):
    assert cluster.leader() == "a"
    assert [has_exclusive_lease(cluster, n) for n in "abc"] == [
        True,
        False,
        False,
    ]


def test_partitioned_leader_loses_its_lease_before_another_gets_one(cluster):
    cluster.partitioned = {"b", "c"}
    lease_lost_ms = None
    for _ in range(60):
        cluster.now += STEP_MS
        cluster.replicas["a"].tick(cluster.now)
        cluster.replicas["a"].flush()
        if not has_exclusive_lease(cluster, "a"):
            lease_lost_ms = cluster.now
            break
    assert lease_lost_ms is not None
    partitioned = {"a"}
    cluster.partitioned = partitioned
    cluster.in_transit = []
    for _ in range(200):
        cluster.run(STEP_MS)
        if any(has_exclusive_lease(cluster, n) for n in "bc"):
            break
    assert any(has_exclusive_lease(cluster, n) for n in "bc")
    assert not has_exclusive_lease(cluster, "a")


@pytest.mark.parametrize("gap", [1050, 1200, 1500, 5000, 10**6])
def test_frozen_leader_loses_its_lease_and_steps_down(cluster, gap):
    cluster.now += gap
    assert not has_exclusive_lease(cluster, "a")
    cluster.replicas["a"].tick(cluster.now)
    assert cluster.replicas["a"].raft.role == raft_module.FOLLOWER


def test_leader_that_steps_down_says_why(cluster):
    leader = cluster.replicas["a"].raft
    assert leader.step_down_reason == ""
    cluster.partitioned = {"b", "c"}
    cluster.run(3000)
    assert leader.step_down_reason.startswith("no quorum acknowledged for 20")
    cluster.partitioned = {"a"}
    cluster.run(5000)
    successor = cluster.replicas[cluster.leader()].raft
    cluster.now += 1500
    cluster.replicas[cluster.leader()].tick(cluster.now)
    assert successor.step_down_reason == "no tick for 1500 ms"


def test_lease_counts_from_the_send_time_of_the_acknowledged_message(cluster):
    raft = cluster.replicas["a"].raft
    sent = cluster.now - 900
    for progress in raft.progress.values():
        progress.acked_sent_ms = sent
    late = messages.AppendReply(raft.term, True, 1, sent)
    raft.receive("b/1", late, cluster.now)
    assert raft.lease_expiry_ms() == sent + raft_module.LEASE_MS


def leader_with_older_entry():
    """Return a leader of term 3 with an entry of term 2, and the time."""
    log = log_module.open_memory_log()
    change = messages.Membership(("a/1", "b/1", "c/1"), ())
    body = messages.encode(change)
    log.set_term_and_vote(2, "")
    log.append([messages.Entry(1, 1, raft_module.MEMBERSHIP, body)])
    log.append([messages.Entry(2, 2, "Edit", b"")])
    log.sync()
    raft = raft_module.Raft("a/1", log, random.Random(1), 0)
    now = raft_module.ELECTION_TIMEOUT_MAX_MS
    raft.last_tick_ms = now
    raft.tick(now)
    raft.receive("b/1", messages.VoteReply(3, True, True), now)
    raft.receive("b/1", messages.VoteReply(3, True, False), now)
    assert raft.role == raft_module.LEADER
    return raft, now


def test_entry_of_an_older_term_commits_only_with_one_of_the_current_term():
    raft, now = leader_with_older_entry()
    raft.log.sync()
    raft.mark_synced()
    raft.receive("b/1", messages.AppendReply(3, True, 2, now), now)
    assert raft.commit_index == 0
    raft.receive("b/1", messages.AppendReply(3, True, 3, now), now)
    assert raft.commit_index == 3


def test_leader_counts_its_own_entry_only_after_sync():
    raft, now = leader_with_older_entry()
    raft.receive("b/1", messages.AppendReply(3, True, 3, now), now)
    assert raft.commit_index == 0
    raft.log.sync()
    raft.mark_synced()
    assert raft.commit_index == 3


def test_voter_with_a_live_leader_grants_no_vote(cluster):
    raft = cluster.replicas["b"].raft
    request = messages.VoteRequest(99, 10**6, 99, False, False)
    raft.receive("c/1", request, cluster.now)
    assert raft.outbox[-1].message.granted is False
    assert raft.term < 99


def test_restarted_voter_waits_an_election_timeout_before_it_votes(cluster):
    log = cluster.replicas["b"].log
    restarted = raft_module.Raft("b/1", log, random.Random(1), cluster.now)
    request = messages.VoteRequest(99, 10**6, 99, False, False)
    restarted.receive("c/1", request, cluster.now + 100)
    assert restarted.outbox[-1].message.granted is False
    restarted.tick(cluster.now + 900)
    later = cluster.now + raft_module.ELECTION_TIMEOUT_MIN_MS + 1
    restarted.receive("c/1", request, later)
    assert restarted.outbox[-1].message.granted is True


def test_vote_is_durable_before_the_reply_is_sent(cluster):
    replica = cluster.replicas["b"]
    later = cluster.now + raft_module.ELECTION_TIMEOUT_MIN_MS
    replica.tick(later - 700)
    replica.tick(later)
    request = messages.VoteRequest(99, 10**6, 99, False, False)
    replica.receive("c/1", request, later)
    with pytest.raises(errors.InvariantError):
        replica.apply_committed()
    replica.flush()
    reopened = log_module.Log(replica.log.medium)
    assert reopened.hard_state.term == 99
    assert reopened.hard_state.voted_for == "c/1"


def test_leadership_transfer_is_quick_and_leaves_one_exclusive_lease(cluster):
    cluster.replicas["a"].raft.transfer_leadership(cluster.now)
    assert not has_exclusive_lease(cluster, "a")
    cluster.run(400)
    assert cluster.leader() in ("b", "c")
    cluster.run(2500)
    assert sum(has_exclusive_lease(cluster, n) for n in "abc") == 1


def test_replica_thousands_of_entries_behind_catches_up_by_snapshot():
    cluster = Cluster("abc", compaction_entries=200)
    cluster.run(8000)
    cluster.partitioned = {"c"}
    for _ in range(30):
        cluster.edit("a", 100)
        cluster.run(200)
    lagging = cluster.replicas["c"]
    assert lagging.raft.commit_index < 100
    assert cluster.replicas["a"].log.first_index > 2000
    cluster.partitioned = set()
    cluster.run(4000)
    assert lagging.state.version == 3000
    assert lagging.published.version == 3000


def test_proposal_without_a_quorum_is_lost_and_not_applied(cluster):
    cluster.partitioned = {"b", "c"}
    outcomes = cluster.edit("a")
    cluster.run(4000)
    assert outcomes == ["lost"]
    assert cluster.replicas["a"].state.version == 0


def test_follower_rejects_proposals(cluster):
    assert cluster.edit("b") == ["not-leader"]


def test_membership_change_of_two_voters_is_rejected(cluster):
    raft = cluster.replicas["a"].raft
    with pytest.raises(errors.InvariantError):
        raft.change_membership(messages.Membership(("a/1",), ()), cluster.now)


def test_unresponsive_voter_stays_a_voter(cluster):
    cluster.partitioned = {"c"}
    cluster.run(30_000)
    assert set(cluster.replicas["a"].raft.voters) == {"a/1", "b/1", "c/1"}


def test_lost_voter_is_noticed_and_its_replacement_becomes_a_learner(cluster):
    replica = replica_module.Replica(
        "c/2", log_module.open_memory_log(), random.Random(5), cluster.now
    )
    leader = cluster.replicas["a"].raft
    assert replica_module.is_fully_replicated(leader, 3, cluster.now)
    cluster.partitioned = {"c"}
    cluster.run(1500)
    assert not replica_module.is_fully_replicated(leader, 3, cluster.now)
    live = {"a": "a/1", "b": "b/1", "c": replica.name}
    change = replica_module.next_membership_change(leader, live)
    assert change.learners == ("c/2",)
    assert "c/1" in change.voters


def test_two_leaders_in_one_term_break_an_invariant(cluster):
    raft = cluster.replicas["a"].raft
    with pytest.raises(errors.InvariantError):
        raft.receive("b/1", messages.Append(raft.term), cluster.now)


# An edge that was left alone must obey a table again this long after its
# leader went; its own poll takes the rest of the platform's 3 s.
MAX_LEADERLESS_MS = 2500
# A message takes at least this long with a sync on its way.
SHORT_STEP_MS = 10


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("lead_ms", (0, 200, 400))
def test_leader_is_replaced_in_time_at_any_phase(cluster, seed, lead_ms):
    """One follower heard the old leader later, and refuses the other."""
    cluster.step_ms = SHORT_STEP_MS
    old = cluster.leader()
    later, earlier = (n for n in cluster.replicas if n != old)
    for name in (later, earlier):
        raft = cluster.replicas[name].raft
        raft.rng.seed(f"{seed} {name}")
        raft._record_contact(cluster.now)
        raft._reset_timeout()
    cluster.replicas[later].raft._record_contact(cluster.now + lead_ms)
    cluster.partitioned.add(old)
    began = cluster.now
    while not cluster.leader():
        cluster.run(SHORT_STEP_MS)
        assert cluster.now - began <= MAX_LEADERLESS_MS + lead_ms


@pytest.mark.parametrize("seed", range(20))
def test_lost_votes_delay_an_election_only_briefly(cluster, seed):
    """The links between the remaining voters fail during the first vote."""
    cluster.step_ms = SHORT_STEP_MS
    old = cluster.leader()
    rest = [n for n in cluster.replicas if n != old]
    for name in rest:
        cluster.replicas[name].raft.rng.seed(f"{seed} {name}")
    cluster.partitioned.add(old)
    heal_at = cluster.now + raft_module.ELECTION_TIMEOUT_MAX_MS
    while cluster.now < heal_at:
        cluster.run(SHORT_STEP_MS)
        cluster.in_transit.clear()
    while not cluster.leader():
        cluster.run(SHORT_STEP_MS)
        assert cluster.now - heal_at <= 1000


def test_replica_that_cannot_stand_still_votes(cluster):
    """A voter that lacks the entry that made it one has no leader either.

    It must not take its own expired time-outs for contact with a leader.
    """
    raft = cluster.replicas["b"].raft
    raft.voters = tuple(v for v in raft.voters if not v.startswith("b"))
    cluster.partitioned = {"a", "c"}
    request = messages.VoteRequest(
        raft.term + 1, raft.log.last_index, raft.log.last_term, True, False
    )
    cluster.run(raft_module.ELECTION_TIMEOUT_MAX_MS + STEP_MS)
    for _ in range(20):
        cluster.run(STEP_MS)
        assert raft._can_grant_vote("a/1", request, cluster.now)


def settle(cluster):
    """Run until there is a leader; return its name and a follower's."""
    cluster.run(5000)
    leader = cluster.leader()
    return leader, next(n for n in cluster.replicas if n != leader)


# Guards against: a follower passes for up to date before it has applied.
def test_follower_is_current_only_once_it_has_applied():
    cluster = Cluster(["a", "b", "c"])
    leader, name = settle(cluster)
    replica = cluster.replicas[name]
    raft = replica.raft
    index = raft.log.last_index + 1
    entry = messages.Entry(index, raft.term, "", b"")
    append = messages.Append(
        raft.term, index - 1, raft.log.term_at(index - 1), index, 0, (entry,)
    )
    now = cluster.now + 300
    replica.receive(f"{leader}/1", append, now)
    assert raft.current_at_ms < now
    replica.flush()
    assert raft.current_at_ms == now


# Guards against: a follower passes for up to date while its state machine
# has not taken the snapshot that was installed.
def test_follower_is_current_only_once_its_snapshot_is_restored():
    replica = replica_module.Replica(
        "b/1", log_module.open_memory_log(), random.Random(1), 1000
    )
    meta = messages.SnapshotMeta(5, 1, ("a/1",), ("b/1",), b"")
    data = messages.encode(meta)
    chunk = messages.SnapshotChunk(1, 5, 1, 0, len(data), data, 1)
    append = messages.Append(1, 5, 1, 5, 1, ())
    replica.receive("a/1", chunk, 2000)
    replica.receive("a/1", append, 2000)
    assert replica.raft.current_at_ms < 0
    replica.flush()
    assert replica.raft.current_at_ms == 2000


class LossyCluster(Cluster):
    """A cluster in which one replica gets no entries, only heartbeats."""

    starved = ""

    def step(self):
        self.in_transit = [
            (sender, item)
            for sender, item in self.in_transit
            if not (
                item.target.startswith(f"{self.starved}/")
                and isinstance(item.message, messages.Append)
                and item.message.entries
            )
        ]
        super().step()


# Guards against: a follower that hears its leader but lacks entries passes
# for one that is up to date.
def test_follower_is_current_only_with_all_that_is_committed():
    cluster = LossyCluster(["a", "b", "c"])
    leader, starved = settle(cluster)
    raft = cluster.replicas[starved].raft
    assert cluster.now - raft.current_at_ms <= 500
    assert raft.lag_ms() <= 500
    cluster.starved = starved
    starved_at = cluster.now
    cluster.replicas[leader].propose("", b"", lambda *_: None, cluster.now)
    cluster.run(2000)
    assert raft.leader == f"{leader}/1"
    assert cluster.now - raft.last_contact_ms <= 500
    assert raft.current_at_ms <= starved_at + 200
    assert raft.lag_ms() > 1000
    cluster.starved = ""
    cluster.run(2000)
    assert cluster.now - raft.current_at_ms <= 500
    assert raft.lag_ms() <= 500


# Guards against: a follower takes the commit index of a leader that has not
# committed an entry of its own term for all that is committed.
def test_commit_of_an_earlier_term_makes_no_follower_current():
    cluster = Cluster(["a", "b", "c"])
    leader, name = settle(cluster)
    raft = cluster.replicas[name].raft
    before = raft.current_at_ms
    append = messages.Append(
        raft.term + 1,
        raft.log.last_index,
        raft.log.term_at(raft.log.last_index),
        raft.commit_index,
        cluster.now,
        (),
    )
    raft.receive(f"{leader}/1", append, cluster.now + 100)
    assert raft.current_at_ms == before


class ReplacedCluster(Cluster):
    """A cluster whose leader learns from silence which replicas are gone."""

    TARGET_VOTERS = 3

    def __init__(self, names):
        self.peers = peers_module.Peers("", 0)
        self.sequence = 0
        self.most_voters = 0
        self.leaving = set()
        super().__init__(names)

    def maintain(self, replica):
        self.sequence += 1
        for name, other in self.replicas.items():
            if name not in self.partitioned:
                presence = messages.Presence(
                    link=name,
                    replica=other.name,
                    sequence=self.sequence,
                    leaving=name in self.leaving,
                )
                self.peers.apply_presence(presence, self.now)
        raft = replica.raft
        if raft.role != raft_module.LEADER:
            return
        self.most_voters = max(self.most_voters, len(raft.voters))
        members = raft.voters + raft.learners
        change = replica_module.next_membership_change(
            raft,
            self.peers.replicas_by_link(self.now),
            self.peers.silent_replicas(members, self.now)
            | self.peers.leaving_replicas(),
            self.TARGET_VOTERS,
            self.peers.doubtful_replicas(members, self.now),
        )
        if change is not None:
            raft.change_membership(change, self.now)


# A machine that is gone for good counts no more this long after its
# successor has started; then another one may be lost.
CATCH_UP_MS = 4000


# Guards against: replacements as close together as the platform allows leave
# dead voters behind that cost the quorum for good.
@pytest.mark.parametrize("delay_ms", (0, 300, 1000, 2000))
def test_all_replicas_can_be_replaced_one_after_the_other(delay_ms):
    cluster = ReplacedCluster(["a", "b", "c"])
    cluster.run(5000)
    for gone, successor in zip("abc", "def"):
        cluster.partitioned.add(gone)
        cluster.run(delay_ms)
        cluster.add(successor)
        cluster.run(CATCH_UP_MS)
    cluster.run(5000)
    leader = cluster.leader()
    assert leader
    voters = cluster.replicas[leader].raft.voters
    assert set(voters) == {"d/1", "e/1", "f/1"}
    # A dead voter beside its successor would raise the quorum.
    assert cluster.most_voters == 3


# Guards against: a replica that was stopped after its successor had joined
# counts as a voter for seconds, and the next loss costs the quorum for good.
def test_replica_that_leaves_after_its_successor_joined_does_not_vote():
    cluster = ReplacedCluster(["a", "b", "c"])
    cluster.run(5000)
    cluster.add("d")
    cluster.run(CATCH_UP_MS)
    kept = cluster.leader()
    first, second = [n for n in "abcd" if n != kept][:2]
    cluster.leaving.add(first)
    cluster.run(500)
    cluster.partitioned |= {first, second}
    cluster.run(5000)
    leader = cluster.leader()
    assert leader
    assert len(cluster.replicas[leader].raft.voters) == 3
    # One that comes back, as after a restart, votes again.
    cluster.leaving.clear()
    cluster.partitioned.clear()
    cluster.run(5000)
    voters = cluster.replicas[cluster.leader()].raft.voters
    assert set(voters) == {"a/1", "b/1", "c/1", "d/1"}


# Guards against: replicas that are restarted one after the other are given up.
def test_replica_that_leaves_stays_a_voter_without_a_successor():
    cluster = ReplacedCluster(["a", "b", "c"])
    cluster.run(5000)
    leader = cluster.leader()
    cluster.leaving.add(next(n for n in "abc" if n != leader))
    cluster.run(5000)
    voters = cluster.replicas[leader].raft.voters
    assert set(voters) == {"a/1", "b/1", "c/1"}


# Guards against: a voter that is away for a moment is given up without need.
def test_voter_that_is_away_stays_a_voter_without_a_successor():
    cluster = ReplacedCluster(["a", "b", "c"])
    cluster.run(5000)
    cluster.partitioned.add("c")
    cluster.run(20_000)
    voters = cluster.replicas[cluster.leader()].raft.voters
    assert set(voters) == {"a/1", "b/1", "c/1"}


def appends_to(cluster, name, delay_ms, ms):
    """Return the messages that the leader sends a replica on a slow path.

    All that the replica is sent takes ``delay_ms``.
    """
    sent, delayed = [], []
    for _ in range(ms // cluster.step_ms):
        cluster.now += cluster.step_ms
        for item in cluster.in_transit:
            if item[1].target.startswith(name):
                delayed.append((cluster.now + delay_ms, item))
                if isinstance(item[1].message, messages.Append):
                    sent.append(item[1].message)
        due = [item for at_ms, item in delayed if at_ms <= cluster.now]
        delayed = [item for item in delayed if item[0] > cluster.now]
        cluster.in_transit = due + [
            item
            for item in cluster.in_transit
            if not item[1].target.startswith(name)
        ]
        cluster.step()
    return sent


# Guards against: a replica that lags behind a slow path is sent all entries
# again for each heartbeat that was under way.
def test_entries_are_sent_again_once_to_a_replica_that_lags(cluster):
    cluster.partitioned.add("c")
    cluster.edit("a", 20)
    cluster.run(400)
    cluster.partitioned.clear()
    sent = appends_to(cluster, "c", 600, 3000)
    raft = cluster.replicas["c"].raft
    assert raft.applied_index == cluster.replicas["a"].raft.applied_index
    assert sum(len(message.entries) for message in sent) == 20


def test_one_message_holds_a_bounded_number_of_bytes(cluster):
    cluster.partitioned.add("c")
    body = random.Random(1).randbytes(raft_module.MAX_APPEND_BYTES // 3)
    table = messages.encode(messages.Table(1, body))
    for _ in range(7):
        leader = cluster.replicas["a"]
        leader.propose("Table", table, lambda outcome, value: None, 0)
    cluster.run(400)
    cluster.partitioned.clear()
    sent = appends_to(cluster, "c", 0, 2000)
    raft = cluster.replicas["c"].raft
    assert raft.applied_index == cluster.replicas["a"].raft.applied_index
    sizes = [sum(len(e.body) for e in m.entries) for m in sent]
    assert raft_module.MAX_APPEND_BYTES / 2 < max(sizes)
    assert max(sizes) <= raft_module.MAX_APPEND_BYTES
