"""Evacuations without I/O: state, orders, balancer and planner."""

import pathlib
import random

import capnp
from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import instances
import pytest
import routed
import test_balancer
import test_scaling
import test_state

from primrosehitch import balancer as balancer_module
from primrosehitch import edge as edge_module
from primrosehitch import evacuations
from primrosehitch import firsttable
from primrosehitch import messages
from primrosehitch import olderserved
from primrosehitch import routes
from primrosehitch import scaling
from primrosehitch import state as state_module
from primrosehitch.platform import calls
from primrosehitch.platform import tables

DOMAINS = ("za", "zb", "zc")
PROFILE = balancer_module.RequestProfile("s")


def edit_for(state, domain, evacuated, edit_id):
    """Return the edit of an order that is decided on a state."""
    decision = evacuations.decide(state.rows, state.version, domain, evacuated)
    return decision.edit(edit_id, "n2"), decision.verdict


def place(state, domain, evacuated=True):
    edit, _ = edit_for(state, domain, evacuated, f"o{state.version}")
    assert test_state.apply_command(state, edit).accepted


def evacuated_in(state):
    return evacuations.domains_in(state.rows.values())


class OrderModel(stateful.RuleBasedStateMachine):
    """Operators' orders whose edits are late, repeated or lost.

    An order is decided on a state that may be old, like that of a replica
    that lags. Its edits stay under way after it was given up.
    """

    def __init__(self):
        super().__init__()
        self.state = state_module.State()
        self.images = [self.state.encode_image()]
        self.edits = []
        # Number, domain and aim by the operator who has sent the order.
        self.open_orders = {}
        self.orders = 0
        self.acknowledged = {}
        self.acknowledgements = 0
        # How many orders had been acknowledged as an order was given up.
        self.given_up = {}

    @stateful.rule(
        operator=st.integers(0, 2),
        domain=st.sampled_from(DOMAINS[:2]),
        evacuated=st.booleans(),
        behind=st.integers(0, 2),
    )
    def send(self, operator, domain, evacuated, behind):
        """Place an order, or decide the one that is open again."""
        if operator not in self.open_orders:
            self.orders += 1
            order = (self.orders, domain, evacuated)
            self.open_orders[operator] = order
        number, domain, evacuated = self.open_orders[operator]
        image = self.images[max(0, len(self.images) - 1 - behind)]
        known = state_module.restore_state(image)
        edit_id = f"e{len(self.edits)}"
        edit, verdict = edit_for(known, domain, evacuated, edit_id)
        assert verdict is not evacuations.Verdict.TOO_MANY
        self.edits.append((operator, number, edit))

    @stateful.precondition(lambda self: self.edits)
    @stateful.rule(data=st.data())
    def deliver(self, data):
        """Apply an edit, which may have been applied before."""
        operator, number, edit = data.draw(st.sampled_from(self.edits))
        version = self.state.version
        result = test_state.apply_command(self.state, edit)
        if self.state.version > version:
            self.images.append(self.state.encode_image())
            for row in edit.rows:
                self.acknowledged.pop(row.key, None)
            # No order that was given up before an acknowledgement counts.
            assert self.given_up.get(number, self.acknowledgements) == (
                self.acknowledgements
            )
        order = self.open_orders.get(operator)
        if not result.accepted or order is None or order[0] != number:
            return
        del self.open_orders[operator]
        if result.version == self.state.version:
            self.acknowledged[order[1]] = order[2]
        self.acknowledgements += 1
        self.given_up[number] = self.acknowledgements

    @stateful.rule(operator=st.integers(0, 2))
    def give_up(self, operator):
        order = self.open_orders.pop(operator, None)
        if order is not None:
            self.given_up[order[0]] = self.acknowledgements

    @stateful.invariant()
    def acknowledged_orders_are_in_force(self):
        in_force = evacuated_in(self.state)
        for domain, evacuated in self.acknowledged.items():
            assert (domain in in_force) == evacuated

    @stateful.invariant()
    def a_snapshot_keeps_evacuations(self):
        restored = state_module.restore_state(self.state.encode_image())
        assert evacuated_in(restored) == evacuated_in(self.state)
        assert restored.version == self.state.version


TestOrders = OrderModel.TestCase
TestOrders.settings = settings(max_examples=60, deadline=None)


# Guards against: a snapshot of the time before or after an order loses it, or
# an older release, which knows only rows and edits, does.
def test_snapshots_before_and_after_an_order_keep_it():
    state = state_module.State()
    place(state, "za")
    before = state_module.restore_state(state.encode_image())
    edit, _ = edit_for(before, "zb", True, "late")
    test_state.apply_command(before, edit)
    after = state_module.restore_state(before.encode_image())
    assert evacuated_in(after) == {"za", "zb"}
    again = test_state.apply_command(after, edit)
    assert again.accepted and after.version == before.version
    place(after, "za", False)
    assert evacuated_in(state_module.restore_state(after.encode_image())) == {
        "zb"
    }


@given(st.lists(st.integers(0, 9), max_size=30))
def test_versions_in_any_order_end_at_the_newest(versions):
    """Statuses of several control instances, some of which lag."""
    history = [frozenset(DOMAINS[: v % 4]) for v in range(10)]
    known = evacuations.Evacuations()
    for i, version in enumerate(versions):
        before = known.domains
        change = known.apply(version, history[version])
        newest = max(versions[: i + 1])
        assert known.version == newest
        if newest:
            assert known.domains == history[newest]
        assert (before | change.started) - change.ended == known.domains
        assert known.listed() == tuple(sorted(known.domains))


def test_number_of_domains_is_bounded():
    rows = {}
    for number in range(evacuations.MAX_DOMAINS):
        decision = evacuations.decide(rows, 7, f"z{number}", True)
        rows[evacuations.TABLE, f"z{number}"] = decision.rows[0]
    refused = evacuations.Decision(evacuations.Verdict.TOO_MANY, 7)
    assert evacuations.decide(rows, 7, "new", True) == refused
    in_force = evacuations.decide(rows, 7, "z0", True)
    assert in_force.verdict is evacuations.Verdict.IN_FORCE
    ended = evacuations.decide(rows, 7, "z0", False)
    rows[evacuations.TABLE, "z0"] = ended.rows[0]
    assert evacuations.decide(rows, 7, "new", True).rows
    for number in range(evacuations.MAX_ROWS):
        rows[evacuations.TABLE, f"old{number}"] = messages.Row(
            evacuations.TABLE, f"old{number}", "", deleted=True
        )
    assert evacuations.decide(rows, 7, "new", True) == refused
    assert evacuations.decide(rows, 7, "z0", True).rows


@given(st.text(max_size=80))
def test_zone_of_a_path_is_decoded_or_refused(text):
    try:
        zone = calls.parse_zone(text)
    except (evacuations.DomainNameError, UnicodeEncodeError):
        return
    assert zone and zone.isprintable()
    assert len(zone.encode()) <= evacuations.MAX_NAME_BYTES


@pytest.mark.parametrize(
    "text,zone",
    [
        ("ie-south-c", "ie-south-c"),
        ("z%2F1", "z/1"),
        ("z%C3%A9", "z\xe9"),
        ("z+1", "z+1"),
        ("\xc3\xa9", "\xe9"),
    ],
)
def test_zone_of_a_path(text, zone):
    assert calls.parse_zone(text) == zone


ENDPOINTS = st.lists(
    st.tuples(
        st.sampled_from(DOMAINS),
        st.sampled_from(["ready", "silent", "draining"]),
        st.integers(0, 200),  # ejected until
        st.integers(0, 200),  # paused until
        st.booleans(),  # heard lately
        st.booleans(),  # leaving
        st.integers(0, 2),  # connections
        st.booleans(),  # at its limit
    ),
    max_size=45,
)


def build_balancer(endpoints):
    balancer = balancer_module.Balancer("za", random.Random(1))
    for number, (domain, state, *_) in enumerate(endpoints):
        record = test_balancer.make_record(number, domain)
        balancer.update_endpoint(record._replace(state=state), 1000)
    for number, fields in enumerate(endpoints):
        endpoint = balancer.endpoints.get(f"e{number}")
        endpoint.ejected_until, endpoint.paused_until = fields[2:4]
        endpoint.last_heard_at = 90 if fields[4] else -1
        endpoint.is_leaving = fields[5]
        endpoint.connections = fields[6]
        endpoint.inflight = 1
        if fields[7]:
            balancer.limits.record_answer(endpoint.incarnation, 1.0, 10, 10)
    return balancer


# Guards against: an endpoint of an evacuated domain is chosen, also as a last
# resort, or waited for.
@settings(max_examples=150, deadline=None)
@given(ENDPOINTS, st.sets(st.sampled_from(DOMAINS)), st.booleans())
def test_balancer_leaves_evacuated_endpoints_out(endpoints, domains, is_model):
    balancer = build_balancer(endpoints)
    others = build_balancer([e for e in endpoints if e[0] not in domains])
    profile = PROFILE
    if is_model:
        profile = test_balancer.make_profile("p")
    assert balancer.set_evacuated(domains) == set()
    now = 100
    usable = balancer.usable_endpoints("s", (), now)
    assert not any(e.record.domain in domains for e in usable)
    assert len(usable) == len(others.usable_endpoints("s", (), now))
    choice = balancer.choose(profile, (), now)
    assert (choice is None) == (others.choose(profile, (), now) is None)
    assert choice is None or choice.endpoint.record.domain not in domains
    assert balancer.next_available_at("s", now) == others.next_available_at(
        "s", now
    )
    counted = balancer.availability("s", now)
    expected = others.availability("s", now)
    assert counted.evacuated == counted.known - expected.known
    assert counted[1:-1] == expected[1:-1]
    for wanted in balancer.limits.take_wanted(now):
        assert balancer.endpoints[wanted.endpoint].record.domain not in domains
    assert balancer.set_evacuated(()) == domains
    assert len(balancer.usable_endpoints("s", (), now)) == len(
        build_balancer(endpoints).usable_endpoints("s", (), now)
    )


# Guards against: an endpoint that starts in an evacuated domain, or whose
# record changes, is used.
def test_new_records_of_an_evacuated_domain_are_left_out():
    balancer = test_balancer.make_balancer(1, domains=("zb",))
    balancer.set_evacuated(["za"])
    balancer.update_endpoint(test_balancer.make_record(7, "za"), 1000)
    record = test_balancer.make_record(7, "za")._replace(sequence=9, born=2)
    balancer.update_endpoint(record, 1000)
    for _ in range(20):
        choice = test_balancer.send_request(balancer, PROFILE)
        assert choice.endpoint.record.domain == "zb"


def test_service_with_only_evacuated_endpoints():
    balancer = test_balancer.make_balancer(2, domains=("za", "zb"))
    assert not balancer.has_only_evacuated("s")
    balancer.set_evacuated(["za"])
    assert not balancer.has_only_evacuated("s")
    balancer.set_evacuated(["za", "zb"])
    assert balancer.has_only_evacuated("s")
    assert not balancer.has_only_evacuated("s", "another version")
    assert not balancer.has_only_evacuated("another service")
    record = test_balancer.make_record(9, "zc")._replace(state="silent")
    balancer.update_endpoint(record, 1000)
    assert not balancer.has_only_evacuated("s")


class EvacuatedPlatform(test_scaling.SimulatedPlatform):
    """A platform of which some domains are evacuated."""

    evacuated = frozenset()

    def run(self, ms, running=0):
        for _ in range(ms // 500):
            self.scaler.record_evacuated(self.evacuated, self.now + 500)
            super().run(500, running)

    def spot_counts(self):
        return [self.counts[d, True] for d in DOMAINS]

    def orders_in(self, domain, since):
        return [
            o for at, o in self.orders if at > since and o.domain == domain
        ]


# Guards against: the planner counts evacuated endpoints, takes the shift for
# a fall in demand, orders in the domain, or ends its streams.
@pytest.mark.parametrize("running", [0, 60])
def test_planner_replaces_the_endpoints_of_an_evacuated_domain(running):
    limits = routes.Scaling(1, 12, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))
    platform = EvacuatedPlatform(scaling_limits=limits)
    platform.run(10_000, running)
    ready = sum(platform.spot_counts())
    began = platform.now
    platform.evacuated = frozenset(["za"])
    platform.run(120_000, running)
    assert platform.spot_counts()[1:] == [ready // 2, ready // 2]
    assert not platform.orders_in("za", began)
    assert platform.spot_counts()[0] == ready // 3
    ended = platform.now
    platform.evacuated = frozenset()
    platform.run(scaling.EVACUATION_END_DELAY_MS - 500, running)
    assert platform.spot_counts()[1:] == [ready // 2, ready // 2]
    platform.run(120_000, running)
    assert platform.spot_counts() == [ready // 3] * 3
    assert not platform.orders_in("za", ended)


def test_planner_orders_the_minimum_in_an_evacuated_domain():
    platform = EvacuatedPlatform(on_demand=0)
    platform.evacuated = frozenset(["za"])
    platform.run(60_000, running=100)
    assert platform.counts["za", True] == 1
    assert {o.count for o in platform.orders_in("za", 0)} == {1}
    assert platform.counts["zb", True] == platform.counts["zc", True] == 5


# Guards against: spot endpoints of the evacuated domain count where others are
# to be had on demand only.
def test_on_demand_endpoints_replace_evacuated_spot_endpoints():
    platform = EvacuatedPlatform(on_demand=2)
    platform.run(10_000)
    assert platform.spot_counts() == [4, 4, 4]
    platform.evacuated = frozenset(["za"])
    for domain in ("zb", "zc"):
        platform.reclaimed_until[domain] = platform.now + 22_000
        platform.counts[domain, True] = 0
    platform.run(20_000)
    on_demand = [platform.counts[d, False] for d in DOMAINS]
    assert on_demand == [0, 3, 3]
    for _ in range(60):
        platform.run(500)
        ready = [r for r in platform.records() if r.state == "ready"]
        assert sum(r.domain != "za" for r in ready) >= 6
    assert test_scaling.counts_by_kind(platform)[0] == 0


# Guards against: a smaller order ends what is left in the evacuated domain.
def test_order_of_an_evacuated_domain_stands_if_endpoints_are_lost():
    platform = EvacuatedPlatform(on_demand=2)
    platform.run(10_000)
    platform.counts["za", True] = 0
    platform.run(500)
    began = platform.now
    platform.evacuated = frozenset(["za"])
    platform.run(120_000)
    assert not platform.orders_in("za", began)
    platform.evacuated = frozenset()
    ended = platform.now
    platform.run(60_000)
    assert platform.orders_in("za", ended)[0].count == 4
    assert all(
        o.spot or not o.count for at, o in platform.orders if at > ended
    )
    assert platform.spot_counts() == [4, 4, 4]


# Guards against: endpoints that were missed before the evacuation count as
# overdue at its end, and on-demand ones are ordered for them.
def test_endpoints_missed_before_an_evacuation_are_not_overdue_after_it():
    platform = EvacuatedPlatform(on_demand=2)
    platform.run(30_000, running=100)
    assert platform.spot_counts() == [5, 5, 5]
    platform.counts["za", True] = 0
    platform.run(500, running=100)
    platform.pending_boots.clear()
    platform.evacuated = frozenset(["za"])
    platform.run(20_000, running=100)
    platform.evacuated = frozenset()
    ended = platform.now
    platform.run(30_000, running=100)
    assert platform.orders_in("za", ended)[0].spot
    assert all(
        o.spot or not o.count for at, o in platform.orders if at > ended
    )


def test_planner_orders_nothing_more_if_all_domains_are_evacuated():
    platform = EvacuatedPlatform()
    platform.run(10_000, running=20)
    orders = len(platform.orders)
    platform.evacuated = frozenset(DOMAINS)
    platform.run(60_000)
    assert len(platform.orders) == orders


# Guards against: an edge that starts serves by a control instance that lacks
# the newest evacuations, or waits for a quorum for ever.
def test_first_table_waits_for_a_quorum_and_no_longer_than_the_bound():
    first = firsttable.FirstTable()
    older, newer = messages.Table(3), messages.Table(4)
    assert not first.admits(newer, 1000)
    assert not first.admits(older, 1100)
    assert first.overdue(1000 + firsttable.HOLD_MS - 1) is None
    assert first.confirm() == newer
    assert first.confirm() is None
    assert first.admits(older, 1200)
    unconfirmed = firsttable.FirstTable()
    assert not unconfirmed.admits(older, 0)
    assert unconfirmed.overdue(firsttable.HOLD_MS) == older
    assert unconfirmed.admits(newer, firsttable.HOLD_MS)


# Guards against: edges of deployments without evacuations serve later after
# a start without a quorum, as after a loss of all power.
def test_first_table_is_not_held_where_no_evacuation_is_agreed():
    table = messages.Table(3)
    assert firsttable.FirstTable(holds=False).admits(table, 1000)


# Guards against: edges that moved on, or are served here, are still told.
def test_edges_of_older_instances_are_told_while_these_name_them():
    served = olderserved.OlderServed()
    served.record_named(["e1", "e2"], 1000)
    assert served.update(["e2"], 1100) == set()
    assert served.informed == {"e1"}
    served.record_named(["e3"], 2000)
    later = 1000 + olderserved.SERVED_TIMEOUT_MS + 1
    assert served.update([], later) == {"e1"}
    assert served.informed == {"e3"}


# Guards against: an edge of an older release cannot read a status, or one of
# this release takes the missing fields of an older status for a state.
def test_status_is_read_by_an_older_release_and_from_one(tmp_path):
    schema = pathlib.Path(messages.__file__).parent / "schema/messages.capnp"
    text = schema.read_text()
    for line in ("catalog @8 :UInt64;", "evacuated @9 :List(Text);"):
        assert text.count(line) == 1
        text = text.replace(line, "")
    older_file = tmp_path / "older.capnp"
    older_file.write_text(text.replace("@0xd1f6a3b8", "@0xd1f6a3b9"))
    older = capnp.load(str(older_file)).ControlStatus
    status = messages.ControlStatus(
        7, True, 9, 3, ("p",), 5, ("za",), 8, 4, ("za", "zb")
    )
    read = older.from_bytes_packed(messages.encode(status))
    assert (read.version, read.fresh, list(read.peers)) == (7, True, ["p"])
    assert (list(read.domains), read.incarnation) == (["za"], 8)
    written = older.new_message(version=7, peers=["p"]).to_bytes_packed()
    decoded = messages.decode(messages.ControlStatus, written)
    assert (decoded.version, decoded.peers) == (7, ("p",))
    known = evacuations.Evacuations()
    known.apply(status.catalog, status.evacuated)
    change = known.apply(decoded.catalog, decoded.evacuated)
    assert change == evacuations.NO_CHANGE and known.domains == {"za", "zb"}


def make_edge(tmp_path):
    """Return an edge that does not run, and the body of a table."""
    made = instances.Fleet(tmp_path, None).make_settings(9, False, True)
    edge = edge_module.Edge(made, None, tables.decode_accepted)
    return edge, instances.encode(routed.table_document(7))


# Guards against: an edge that starts serves by the table of a control
# instance that lags before it knows the evacuations of one with a quorum.
def test_edge_that_starts_serves_once_it_knows_evacuations(tmp_path):
    edge, body = make_edge(tmp_path)
    edge._on_status("127.0.0.2:26001", messages.ControlStatus(7, False))
    edge._on_table(messages.Table(7, body))
    assert not edge.is_ready and edge.first_table.held is not None
    fresh = messages.ControlStatus(7, True, catalog=3, evacuated=("z0",))
    edge._on_status("127.0.0.3:26001", fresh)
    assert edge.is_ready and edge.balancer.evacuated == {"z0"}
    lagging = messages.ControlStatus(7, True, catalog=2, evacuated=("z1",))
    edge._on_status("127.0.0.2:26001", lagging)
    assert edge.balancer.evacuated == {"z0"}


def test_edge_serves_at_once_by_a_control_instance_with_a_quorum(tmp_path):
    edge, body = make_edge(tmp_path)
    edge._on_status("127.0.0.2:26001", messages.ControlStatus(7, True))
    edge._on_table(messages.Table(7, body))
    assert edge.is_ready
