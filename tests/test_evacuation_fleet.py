"""Evacuations of failure domains in fleets of control instances and edges.

Each fleet has one engine in domain z0 and one in domain z1.
"""

import contextlib
import json
import sys

import anyio
import httpcore
import instances
import pytest
import routed

from primrosehitch import clock
from primrosehitch import duties as duties_module
from primrosehitch import evacuationorders
from primrosehitch import evacuations
from primrosehitch import messages
from primrosehitch.platform import tables
from primrosehitch_lab import platform_engine

EDGES = (7, 8, 9)
# From the acknowledgement until no request reaches the domain any more.
EVACUATE_S = 5.0
# For operators that repeat an order.
ACK_S = 5.0


class EvacuatedFleet:
    """A fleet whose edges serve from an engine in z0 and one in z1.

    Attributes:
        fleet: the control instances and edges.
        engines: the engines by domain.
        statuses: the statuses of the requests sent by ``call``.
    """

    def __init__(self, fleet, behaviour="brief"):
        self.fleet = fleet
        self.engines = {
            d: platform_engine.StandInEngine([behaviour]) for d in ("z0", "z1")
        }
        self.statuses = []

    async def start(self):
        first, other = self.engines.values()
        await self.fleet.group.start(other.run)
        await instances.serve_from(self.fleet, first)
        for number, domain in enumerate(self.engines):
            self.fleet.group.start_soon(
                self._announce, self.engines[domain], f"i-{number}", domain
            )
        await instances.wait_until(
            lambda: all(
                len(e.balancer.endpoints) == 2
                for e in self.fleet.edges.values()
            )
        )

    async def _announce(self, engine, identifier, domain):
        """Send heartbeats to any control instance that runs."""
        sequence = 1
        while True:
            sequence += 1
            number = instances.SEEDS[sequence % len(instances.SEEDS)]
            with contextlib.suppress(httpcore.NetworkError):
                await instances.send_heartbeat(
                    number, engine, identifier, seq=sequence, zone=domain
                )
            await anyio.sleep(0.1)

    async def order(self, domain, evacuated=True):
        """Repeat an order at one instance after another, as operators do."""
        with anyio.fail_after(ACK_S):
            while True:
                for number in instances.SEEDS:
                    with contextlib.suppress(httpcore.NetworkError):
                        status = await instances.order_evacuation(
                            number, domain, evacuated
                        )
                        if status < 500:
                            return status
                    await anyio.sleep(0.05)

    def knows(self, *domains):
        """Return whether these are in force at all edges."""
        return all(
            e.balancer.evacuated == set(domains)
            for e in self.fleet.edges.values()
        )

    async def call(self, edge, path="/a/x"):
        host = instances.host(edge)
        async with await anyio.connect_tcp(
            host, instances.FRONT_PORT
        ) as stream:
            caller = routed.Caller(stream)
            await caller.send(routed.request(path))
            status, *_ = await caller.answer()
            self.statuses.append(status)

    async def call_all(self, times=5):
        for _ in range(times):
            for edge in self.fleet.edges:
                await self.call(edge)

    def count(self, domain):
        return len(self.engines[domain].seen)


@contextlib.asynccontextmanager
async def running(tmp_path, edges=EDGES):
    async with instances.running_fleet(tmp_path, edges=edges) as fleet:
        evacuated = EvacuatedFleet(fleet)
        await evacuated.start()
        yield evacuated


# Guards against: a request reaches an evacuated domain, or the callers'
# requests are not served by the other one.
def test_evacuation_is_in_force_at_all_edges_until_its_end(tmp_path):
    async def body():
        async with running(tmp_path) as fleet:
            assert await instances.order_evacuation(3, "z0") == 200
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            before = fleet.count("z0"), fleet.count("z1")
            await fleet.call_all()
            assert set(fleet.statuses) == {200}
            assert fleet.count("z0") == before[0]
            assert fleet.count("z1") == before[1] + 15
            assert await instances.order_evacuation(4, "z0", False) == 200
            await instances.wait_until(lambda: fleet.knows(), EVACUATE_S)
            await fleet.call_all()
            assert fleet.count("z0") > before[0]

    instances.run_test(body)


# Guards against: an acknowledged order is lost with all processes.
def test_evacuation_outlives_all_processes(tmp_path):
    async def body():
        async with running(tmp_path) as fleet:
            assert await fleet.order("z0") == 200
            running_fleet = fleet.fleet
            for number in (*instances.SEEDS, *EDGES):
                await running_fleet.kill(number)
            for number in instances.SEEDS:
                running_fleet.start_control(number)
            for number in EDGES:
                running_fleet.start_edge(number)
            await instances.wait_until(
                lambda: all(e.is_ready for e in running_fleet.edges.values())
            )
            assert fleet.knows("z0")
            before = fleet.count("z0")
            await instances.wait_until(
                lambda: all(
                    len(e.balancer.endpoints) == 2
                    for e in running_fleet.edges.values()
                )
            )
            await fleet.call_all()
            assert fleet.count("z0") == before
            assert set(fleet.statuses) == {200}

    instances.run_test(body)


# Guards against: the leader ends between the order and its acknowledgement,
# and the order is acknowledged but not in force, or takes more than 5 s.
@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.02])
def test_order_outlives_the_loss_of_the_leader(tmp_path, delay_s):
    async def body():
        async with running(tmp_path) as fleet:
            (leader,) = fleet.fleet.leaders()
            other = next(n for n in instances.SEEDS if n != leader)
            statuses = []

            async def send_first():
                statuses.append(await instances.order_evacuation(other, "z0"))

            async with anyio.create_task_group() as group:
                group.start_soon(send_first)
                await anyio.sleep(delay_s)
                await fleet.fleet.kill(leader)
                assert await fleet.order("z0") == 200
            assert statuses[0] in (200, 503)
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            assert await fleet.order("z0", False) == 200
            await instances.wait_until(lambda: fleet.knows(), EVACUATE_S)

    instances.run_test(body)


# Guards against: an edge that restarts sends requests to the domain, also if
# the first control instance that it hears lacks the order.
def test_edge_that_starts_beside_a_lagging_instance_knows_evacuations(
    tmp_path,
):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            (leader,) = fleet.fleet.leaders()
            behind = next(n for n in instances.SEEDS if n != leader)
            control = fleet.fleet.controls[behind]
            await instances.wait_until(lambda: control.table.version)
            fleet.fleet.isolate(behind)
            assert await instances.order_evacuation(leader, "z0") == 200
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            assert not control.evacuations.domains
            # It counts as up to date for a moment after the cut, and names
            # the others for some time.
            await instances.wait_until(
                lambda: not control.peers.alive_presences(clock.now_ms())
            )
            before = fleet.count("z0")
            fleet.fleet.seeds = (behind,)
            fleet.fleet.start_edge(EDGES[1])
            edge = fleet.fleet.edges[EDGES[1]]
            await instances.wait_until(
                lambda: edge.first_table.held is not None
            )
            assert not edge.balancer.evacuated and not edge.is_ready
            edge.set_seeds(
                instances.address(n, instances.LINK_PORT)
                for n in instances.SEEDS
            )
            for _ in range(20):
                with contextlib.suppress(OSError):
                    await fleet.call(EDGES[1])
                await anyio.sleep(0.05)
            await instances.wait_until(lambda: edge.is_ready)
            assert edge.balancer.evacuated == {"z0"}
            await fleet.call_all()
            assert fleet.count("z0") == before
            assert fleet.statuses[-1] == 200

    instances.run_test(body)


# Guards against: an edge that moves to a control instance that lags takes an
# older set of evacuated domains.
def test_edge_keeps_evacuations_at_a_control_instance_that_lags(tmp_path):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            (leader,) = fleet.fleet.leaders()
            behind = next(n for n in instances.SEEDS if n != leader)
            fleet.fleet.isolate(behind)
            assert await instances.order_evacuation(leader, "z0") == 200
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            edge = fleet.fleet.edges[EDGES[0]]
            before = fleet.count("z0")
            name = str(
                instances.address(
                    behind,
                    instances.LINK_PORT,
                )
            )
            instances.use_control(edge, name)
            ends_at = anyio.current_time() + 1.0
            while anyio.current_time() < ends_at:
                await fleet.call(EDGES[0])
                assert edge.balancer.evacuated == {"z0"}
            assert fleet.count("z0") == before

    instances.run_test(body)


# Guards against: orders that are repeated, sent to several instances at once
# or by two operators fail, or leave something else than the last one.
def test_repeated_orders_of_two_operators_are_acknowledged(tmp_path):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            statuses = []

            async def order(number, domain, evacuated):
                statuses.append(
                    await instances.order_evacuation(number, domain, evacuated)
                )

            for evacuated in (True, False, True):
                async with anyio.create_task_group() as group:
                    for number in instances.SEEDS:
                        for domain in ("z0", "z1"):
                            group.start_soon(order, number, domain, evacuated)
                assert statuses == [200] * 6
                statuses.clear()
                expected = ("z0", "z1") if evacuated else ()
                await instances.wait_until(
                    lambda expected=expected: fleet.knows(*expected),
                    EVACUATE_S,
                )

    instances.run_test(body)


class HeldEdits:
    """Keeps edits to the leader back, like a slow link or a paused leader."""

    def __init__(self, control):
        self.control = control
        self.held = []
        self.original = control.links.send
        control.links.send = self.send

    def send(self, target, message):
        is_edit = isinstance(message, messages.Proposal) and (
            message.kind == "Edit"
        )
        if is_edit:
            self.held.append((target, message))
            return True
        return self.original(target, message)

    def deliver(self):
        self.control.links.send = self.original
        for target, message in self.held:
            self.original(target, message)


# Guards against: an order that was not acknowledged arrives at the leader
# after a later one was acknowledged, and undoes it.
@pytest.mark.parametrize("late", [True, False])
def test_late_order_does_not_undo_an_acknowledged_one(tmp_path, late):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            (leader,) = fleet.fleet.leaders()
            slow = next(n for n in instances.SEEDS if n != leader)
            if not late:
                assert await fleet.order("z0") == 200
                await instances.wait_until(
                    lambda: (
                        fleet.fleet.controls[slow].evacuations.domains
                        == {"z0"}
                    )
                )
            held = HeldEdits(fleet.fleet.controls[slow])
            assert await instances.order_evacuation(slow, "z0", late) == 503
            assert (
                await instances.order_evacuation(leader, "z0", not late) == 200
            )
            held.deliver()
            version = fleet.fleet.controls[leader].evacuations.version
            await anyio.sleep(0.5)
            expected = set() if late else {"z0"}
            for control in fleet.fleet.controls.values():
                state = control.replicator.replica.state
                assert evacuations.domains_in(state.rows.values()) == expected
                assert state.version == version
            await instances.wait_until(
                lambda: fleet.knows(*expected), EVACUATE_S
            )

    instances.run_test(body)


# Guards against: an order for a domain without endpoints fails, or does not
# count for endpoints that start there later.
def test_domain_without_endpoints_is_evacuated(tmp_path):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            name = "z%C3%A9%2F9"
            assert await instances.order_evacuation(2, name) == 200
            await instances.wait_until(lambda: fleet.knows("z\xe9/9"))
            late = platform_engine.StandInEngine(["brief"])
            await fleet.fleet.group.start(late.run)
            await instances.send_heartbeat(3, late, "i-9", zone="z\xe9/9")
            edge = fleet.fleet.edges[EDGES[0]]
            await instances.wait_until(
                lambda: "i-9" in edge.balancer.endpoints
            )
            await fleet.call_all(20)
            assert not late.seen
            assert await instances.order_evacuation(2, name, False) == 200
            await instances.wait_until(lambda: fleet.knows())
            await instances.wait_until(lambda: edge.balancer.ready_by_service)
            await fleet.call_all(20)
            assert late.seen

    instances.run_test(body)


def test_malformed_orders_end_at_once(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            for verb in ("Start", "End"):
                for zone in (
                    "",
                    "a/b",
                    "%zz",
                    "%",
                    "%ff",
                    "%00",
                    "a%0Ab",
                    "z" * (evacuations.MAX_NAME_BYTES + 1),
                ):
                    path = f"/-/Evacuate.{verb}/{zone}"
                    status, got = await instances.send_call(2, "POST", path)
                    assert status == 400, zone
                    assert json.loads(got)["error"]
            assert (
                await instances.send_call(2, "GET", "/-/Evacuate.Start/z0")
            )[0] == 404
            status, got = await instances.send_call(
                2, "GET", "/-/Evacuate.List"
            )
            assert (status, json.loads(got)) == (
                200,
                {"version": 0, "zones": []},
            )

    instances.run_test(body)


def test_domains_beyond_the_bound_are_refused(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            for number in range(evacuations.MAX_DOMAINS):
                assert await instances.order_evacuation(2, f"z{number}") == 200
            assert await instances.order_evacuation(3, "another") == 409
            assert await instances.order_evacuation(3, "z0") == 200
            assert await instances.order_evacuation(3, "z0", False) == 200
            assert await instances.order_evacuation(4, "another") == 200
            status, got = await instances.send_call(
                4, "GET", "/-/Evacuate.List"
            )
            assert status == 200
            zones = json.loads(got)["zones"]
            assert len(zones) == evacuations.MAX_DOMAINS
            assert "another" in zones and "z0" not in zones

    instances.run_test(body)


def test_minority_acknowledges_no_order(tmp_path):
    """Neither a new one nor one that it knows as in force."""

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert await instances.order_evacuation(2, "z0") == 200
            await instances.wait_until(
                lambda: fleet.controls[2].evacuations.domains == {"z0"}
            )
            await fleet.kill(3)
            await fleet.kill(4)
            await anyio.sleep(1.3)
            for domain, evacuated in (("z0", True), ("z1", True)):
                began = anyio.current_time()
                assert (
                    await instances.order_evacuation(2, domain, evacuated)
                    == 503
                )
                took_s = anyio.current_time() - began
                assert took_s < evacuationorders.ORDER_TIMEOUT_S + 0.3
            status, _ = await instances.send_call(2, "GET", "/-/Evacuate.List")
            assert status == 503

    instances.run_test(body)


# Guards against: the edge of a control instance of an older release, whose
# status has neither field, forgets what it knew.
def test_status_of_an_older_release_changes_nothing(tmp_path):
    async def body():
        async with running(tmp_path, EDGES[:1]) as fleet:
            assert await fleet.order("z0") == 200
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            edge = fleet.fleet.edges[EDGES[0]]
            edge._handle_message(
                edge.current_control, messages.ControlStatus(fresh=True)
            )
            assert edge.balancer.evacuated == {"z0"}

    instances.run_test(body)


class OlderRelease:
    """Makes a control instance tell what one of an older release tells."""

    def __init__(self, control):
        self.control = control
        self.make_status = control._make_status
        self.make_presence = control._make_presence
        control._make_status = lambda now: self.make_status(now)._replace(
            catalog=0, evacuated=()
        )
        control._make_presence = lambda: self.make_presence()._replace(
            evacuates=False
        )


# Guards against: edges of control instances of an older release do not learn
# of evacuations.
@pytest.mark.parametrize("older_leads", [True, False])
def test_edges_of_older_control_instances_learn_of_evacuations(
    tmp_path, older_leads
):
    async def body():
        async with instances.running_fleet(tmp_path) as running_fleet:
            await instances.wait_until(
                lambda: len(running_fleet.leaders()) == 1
            )
            (leader,) = running_fleet.leaders()
            newer = instances.SEEDS[0]
            if (newer == leader) == older_leads:
                newer = instances.SEEDS[1]
            if not older_leads:
                newer = leader
            for number, control in running_fleet.controls.items():
                if number != newer:
                    OlderRelease(control)
            await anyio.sleep(0.6)
            for number in EDGES:
                running_fleet.start_edge(number)
            fleet = EvacuatedFleet(running_fleet)
            await fleet.start()
            older = [n for n in instances.SEEDS if n != newer]
            for edge in running_fleet.edges.values():
                name = str(instances.address(older[0], instances.LINK_PORT))
                instances.use_control(edge, name)
            assert await instances.order_evacuation(newer, "z0") == 200
            await instances.wait_until(lambda: fleet.knows("z0"), EVACUATE_S)
            before = fleet.count("z0")
            await fleet.call_all()
            assert fleet.count("z0") == before
            assert await instances.order_evacuation(newer, "z0", False) == 200
            await instances.wait_until(lambda: fleet.knows(), EVACUATE_S)

    instances.run_test(body)


async def run_cli(*arguments):
    """Run the operators' command line; return its exit status and output."""
    result = await anyio.run_process(
        [sys.executable, "-m", "primrosehitch.cli", *arguments], check=False
    )
    return result.returncode, (result.stdout + result.stderr).decode()


def test_operators_start_list_and_end_evacuations_by_command(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            control = f"{instances.host(3)}:{instances.CONTROL_PORT}"
            at = f"--control={control}"
            code, text = await run_cli("evacuation", "start", "z/0", at)
            assert (code, text) == (0, "{}\n")
            code, text = await run_cli("evacuation", "list", at)
            assert code == 0 and json.loads(text)["zones"] == ["z/0"]
            assert (await run_cli("evacuation", "end", "z/0", at))[0] == 0
            code, text = await run_cli("evacuation", "list", at)
            assert json.loads(text)["zones"] == []
            code, text = await run_cli("evacuation", "start", "", at)
            assert code == 1 and "empty" in text
            code, text = await run_cli("evacuation", "list")
            assert code == 1 and "--control" in text

    instances.run_test(body)


# Guards against: a control instance that gets its state by a snapshot, with a
# lost disk, lacks the evacuations.
def test_instance_with_a_lost_disk_learns_of_evacuations(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            (leader,) = fleet.leaders()
            lost = next(n for n in instances.SEEDS if n != leader)
            for domain in ("z0", "z1"):
                assert await instances.order_evacuation(lost, domain) == 200
            assert await instances.order_evacuation(lost, "z1", False) == 200
            await fleet.kill(lost)
            fleet.wipe_disk(lost)
            replica = fleet.controls[leader].replicator.replica
            replica._compact()
            assert replica.log.snapshot.index
            fleet.start_control(lost, bootstrap=False)
            control = fleet.controls[lost]
            await instances.wait_until(
                lambda: control.evacuations.domains == {"z0"}
            )
            assert control.evacuations.version == 3

    instances.run_test(body)


class RecordingPlatform:
    """A platform that accepts all orders."""

    def __init__(self):
        self.orders = []

    async def report_usage(self, lease, seal):
        return duties_module.CallResult.ACCEPTED

    async def order_endpoints(self, lease, want):
        self.orders.append(want)
        return duties_module.CallResult.ACCEPTED


# Guards against: the leader's planner does not know of evacuations.
def test_leader_orders_no_more_than_the_minimum_in_the_domain(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(duties_module, "SCALING_WARM_UP_MS", 500)

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert await instances.order_evacuation(2, "z0") == 200
            for number in range(4):
                other = platform_engine.StandInEngine(["good"])
                await fleet.group.start(other.run)
                await instances.send_heartbeat(
                    2, other, f"i-{number}", zone="z1"
                )
            document = routed.table_document(7)
            document["services"][0]["scaling"] = {
                "min": 1,
                "max": 6,
                "spot_price": 0.2,
                "zone_prices": {"z0": 1.0, "z1": 1.0},
            }
            assert await instances.put_table(2, document) == 200
            control = fleet.controls[fleet.leaders()[0]]
            platform = RecordingPlatform()
            duties = duties_module.Duties(control, platform, tables.decode)
            fleet.group.start_soon(duties.run)
            await instances.wait_until(
                lambda: any(
                    o.domain == "z1" and o.count > 1 for o in platform.orders
                )
            )
            await anyio.sleep(1.2)
            in_domain = [o for o in platform.orders if o.domain == "z0"]
            assert {o.count for o in in_domain} <= {0, 1}

    instances.run_test(body)
