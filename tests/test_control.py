"""Fleets of control instances and edges in one process, on loopback."""

import contextlib
import json

import anyio
import httpcore
import instances
import pytest
import routed

from primrosehitch import control as control_module
from primrosehitch import controlselector
from primrosehitch import edge as edge_module
from primrosehitch import links
from primrosehitch import messages
from primrosehitch import quarantine
from primrosehitch import registry
from primrosehitch_lab import platform_engine

# Below the silence after which a replica counts as gone.
STOPPED_VOTER_S = 1.5
# After this long the last heartbeat is no longer being passed on.
PASSING_ON_S = 2 * control_module.REFRESH_PERIOD_MS / 1000


def test_instances_discover_each_other_from_seeds(tmp_path):
    """Four instances start at once; one of them is not a seed."""

    async def body():
        async with instances.running_fleet(tmp_path, (2, 3, 4, 5)) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await instances.wait_until(lambda: len(fleet.voters()) == 4)
            assert (
                await instances.put_table(5, routed.table_document(7)) == 200
            )
            for number in (2, 3, 4, 5):
                status, got = await instances.send_call(
                    number, "GET", "/-/Config.Get"
                )
                assert status == 200
                assert json.loads(got)["version"] == 7

    instances.run_test(body)


# Guards against: an instance that is stopped beside its successor is one
# voter too many until its silence tells.
def test_stopped_instance_beside_enough_others_votes_no_more(tmp_path):
    """Until it is started again."""

    async def body():
        async with instances.running_fleet(tmp_path, (2, 3, 4, 5)) as fleet:
            await instances.wait_until(
                lambda: len(fleet.leaders()) == 1 and len(fleet.voters()) == 4
            )
            fleet.stops[5].set()
            await instances.wait_until(
                lambda: len(fleet.voters()) == 3, STOPPED_VOTER_S
            )
            await instances.wait_until(lambda: 5 in fleet.stopped)
            fleet.controls.pop(5)
            fleet.start_control(5, bootstrap=False)
            await instances.wait_until(
                lambda: len(fleet.leaders()) == 1 and len(fleet.voters()) == 4
            )
            assert (
                await instances.put_table(5, routed.table_document(7)) == 200
            )

    instances.run_test(body)


def test_highest_table_version_is_kept(tmp_path):
    """An older table or another body of the same version changes nothing."""

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            assert (
                await instances.put_table(3, routed.table_document(9)) == 200
            )
            older = routed.table_document(8)
            assert await instances.put_table(4, older) == 200
            other = routed.table_document(9, services=[{"name": "svc"}])
            assert await instances.put_table(2, other) == 200
            for number in instances.SEEDS:
                _, got = await instances.send_call(
                    number, "GET", "/-/Config.Get"
                )
                assert json.loads(got) == routed.table_document(9)

    instances.run_test(body)


def test_invalid_table_error_names_the_field_path(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            document = routed.table_document(7)
            document["routes"][2]["timeout_ms"] = 0
            data = json.dumps(document).encode()
            status, got = await instances.send_call(
                2, "POST", "/-/Config.Put", data
            )
            assert status == 400
            assert "$.routes[2].timeout_ms" in json.loads(got)["error"]
            assert (await instances.send_call(2, "GET", "/-/Config.Get"))[
                0
            ] == 503

    instances.run_test(body)


def test_minority_confirms_no_read_or_write(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            await fleet.kill(3)
            await fleet.kill(4)
            await anyio.sleep(1.3)
            assert (await instances.send_call(2, "GET", "/-/Config.Get"))[
                0
            ] == 503
            data = json.dumps(routed.table_document(8)).encode()
            status, _ = await instances.send_call(
                2, "POST", "/-/Config.Put", data
            )
            assert status == 503

    instances.run_test(body)


def test_acknowledged_table_survives_kill_of_all_instances(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            await instances.wait_until(
                lambda: all(c.table.version for c in fleet.controls.values())
            )
            await anyio.sleep(0.3)
            for number in instances.SEEDS:
                await fleet.kill(number)
            for number in instances.SEEDS:
                fleet.start_control(number, bootstrap=False)
            # Each instance reads the table from its own disk, before
            # there is a quorum.
            held = [fleet.controls[n].table.version for n in instances.SEEDS]
            assert held == [7, 7, 7]
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            _, got = await instances.send_call(2, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    instances.run_test(body)


def test_instance_with_lost_disk_joins_as_new_replica(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            (leader,) = fleet.leaders()
            first = fleet.controls[leader].replicator.identity.replica
            await fleet.kill(leader)
            fleet.wipe_disk(leader)
            fleet.start_control(leader, bootstrap=False)
            await instances.wait_until(
                lambda: (
                    len(fleet.leaders()) == 1
                    and len(fleet.voters()) == 3
                    and first not in fleet.voters()
                ),
                20,
            )
            _, got = await instances.send_call(leader, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    instances.run_test(body)


def test_replaced_machine_is_removed_from_voters(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            gone = next(n for n in instances.SEEDS if n not in fleet.leaders())
            await fleet.kill(gone)
            fleet.start_control(6, bootstrap=False)
            name = str(instances.address(gone, instances.LINK_PORT))
            await instances.wait_until(
                lambda: (
                    len(fleet.leaders()) == 1
                    and len(fleet.voters()) == 3
                    and not any(v.startswith(name) for v in fleet.voters())
                ),
                20,
            )

    instances.run_test(body)


def test_edge_applies_table_key_and_endpoint_changes(tmp_path):
    """Requests pass through the edge, then a key and an engine are removed.

    The edge must refuse the key of the old table (401), and a request
    without an engine that takes new work (503).
    """

    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await fleet.group.start(engine.run)
            edge = fleet.edges[9]
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.send_call(
                    9, "GET", "/-/ready", b"", instances.READY_PORT
                )
            )[0] == 503
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            assert (await instances.send_heartbeat(3, engine))[0] == 200
            await instances.wait_until(
                lambda: edge.is_ready and edge.balancer.endpoints
            )
            assert (
                await instances.send_call(
                    9, "GET", "/-/ready", b"", instances.READY_PORT
                )
            )[0] == 200
            assert (await send_request())[0] == 200
            await put_keys(fleet, edge, [], 8)
            assert (await send_request())[0] == 401
            await put_keys(fleet, edge, [routed.KEY], 9)
            assert (await send_request())[0] == 200
            await instances.send_heartbeat(4, engine, state="draining", seq=2)
            await instances.wait_until(
                lambda: not edge.balancer.usable_endpoints("svc", (), 0), 1
            )
            assert (await send_request())[0] == 503
            assert len(engine.seen) == 2

    instances.run_test(body)


async def put_keys(fleet, edge, keys, version):
    document = routed.table_document(
        version, tenants=[{"name": "ana", "api_keys": keys}]
    )
    assert await instances.put_table(4, document) == 200
    await instances.wait_until(
        lambda: edge.forwarder.table.version == version, 1
    )


async def send_request():
    async with await anyio.connect_tcp(
        instances.host(9), instances.FRONT_PORT
    ) as stream:
        caller = routed.Caller(stream)
        await caller.send(routed.request())
        return await caller.answer()


def test_edge_ignores_older_tables(tmp_path):
    """A lagging control instance must not revert an edge's table."""

    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            edge = fleet.edges[9]
            for version in (9, 8, 9):
                table = json.dumps(routed.table_document(version)).encode()
                await edge.links.inbox.send(
                    links.Received("late", messages.Table(version, table))
                )
            await instances.wait_until(lambda: edge.forwarder.table)
            await anyio.sleep(0.1)
            assert edge.forwarder.table.version == 9

    instances.run_test(body)


def test_edge_uses_unlisted_endpoints_again_once_they_are_reported(tmp_path):
    """A control instance may not have heard of all endpoints yet."""
    record = messages.EndpointRecord(
        "i-0", 1, 1, "svc", "127.0.0.1:1", "z0", 8, "ready"
    )

    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            edge = fleet.edges[9]
            states = []
            for records, complete in (
                ((record,), True),
                ((), True),
                ((record._replace(sequence=2),), False),
            ):
                update = messages.EndpointUpdate(records, complete)
                await edge.links.inbox.send(links.Received("c", update))
                await anyio.sleep(0.05)
                states += [r.state for r in edge.registry.records()]
            assert states == ["ready", "silent", "ready"]

    instances.run_test(body)


def test_edge_switches_from_dead_control_instance(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            edge = fleet.edges[9]
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await instances.wait_until(lambda: edge.true_time.has_control_time)
            used = int(edge.current_control.split(":")[0].rsplit(".", 1)[1])
            await fleet.kill(used)
            await instances.wait_until(
                lambda: (
                    edge.current_control
                    != str(instances.address(used, instances.LINK_PORT))
                )
            )
            other = next(iter(fleet.controls))
            assert (
                await instances.put_table(other, routed.table_document(7))
                == 200
            )
            await instances.wait_until(lambda: edge.is_ready, 3)

    instances.run_test(body)


def test_usage_counts_reach_every_control_instance(tmp_path):
    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await fleet.group.start(engine.run)
            edge = fleet.edges[9]
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await instances.put_table(2, routed.table_document(7))
            await instances.send_heartbeat(2, engine)
            await instances.wait_until(
                lambda: edge.is_ready and edge.balancer.endpoints
            )
            for _ in range(3):
                await send_request()

            def counted_requests(control):
                windows = control.tallies.tallies_by_window
                return sum(
                    item.requests
                    for window in windows
                    for item in control.tallies.window_totals(window).counts
                )

            await instances.wait_until(
                lambda: all(
                    counted_requests(c) == 3 for c in fleet.controls.values()
                )
            )

    instances.run_test(body)


def test_cached_prefixes_reach_edges_of_other_instances(tmp_path):
    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.running_fleet(tmp_path, edges=(8, 9)) as fleet:
            await fleet.group.start(engine.run)
            first, other = fleet.edges[8], fleet.edges[9]
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await instances.put_table(2, routed.table_document(7))
            await instances.send_heartbeat(2, engine)
            await instances.wait_until(
                lambda: (
                    first.balancer.endpoints
                    and other.balancer.endpoints
                    and first.current_control != other.current_control
                )
            )
            other.balancer.endpoints["i-0"].kv_tokens = 100_000
            read = messages.PartRead("i-0", "part", 4000)
            first.balancer.part_updates.put(("i-0", "part"), read)
            await instances.wait_until(
                lambda: "part" in other.balancer.endpoints["i-0"].cached_parts,
                3,
            )

    instances.run_test(body)


def test_edge_that_joins_later_learns_of_cached_prefixes(tmp_path):
    """Pattern: an edge restarts while all others share a warm cache."""

    async def body():
        async with instances.serving_fleet(tmp_path, edges=(8,)) as fleet:
            first = fleet.edges[8]
            read = messages.PartRead("i-0", "part", 4000)
            first.balancer.part_updates.put(("i-0", "part"), read)
            await anyio.sleep(0.5)
            fleet.start_edge(9)
            other = fleet.edges[9]
            learned = []
            other.balancer.apply_part_updates = learned.append
            await instances.wait_until(lambda: learned, 4)
            assert learned[0].parts == (read,)

    instances.run_test(body)


# Guards against: endpoints that one side of a cut did not hear stayed out
# of use on that side after the cut, although they ran on (incident inc1).
def test_edges_use_endpoints_of_the_other_side_after_a_cut(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(registry, "HEARTBEAT_TIMEOUT_MS", 700)
    monkeypatch.setattr(controlselector, "MIN_RETURN_INTERVAL_MS", 200)
    own = str(instances.address(3, instances.LINK_PORT))

    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            fleet.group.start_soon(instances.send_heartbeats, 2, fleet.engine)
            await instances.wait_until(lambda: edge.current_control == own)
            fleet.isolate(3)
            entries = fleet.controls[3].registry
            await instances.wait_until(
                lambda: entries.records()[0].state != registry.READY
            )
            fleet.heal()
            await instances.wait_until(lambda: edge.current_control == own)
            await anyio.sleep(1.5)
            usable = edge.balancer.usable_endpoints(
                "svc", (), routed.clock.now_ms()
            )
            assert [e.record.id for e in usable] == ["i-0"]
            assert (await send_request())[0] == 200

    instances.run_test(body)


def test_quarantine_reaches_all_edges_and_those_that_join_later(tmp_path):
    """Pattern: requests with a crashing part arrive at any edge."""

    async def body():
        async with instances.serving_fleet(tmp_path, edges=(7, 8)) as fleet:

            def is_refused(number):
                now = routed.clock.now_ms()
                parts = fleet.edges[number].quarantine
                return parts.quarantined_part(("bad",), now) == "bad"

            # Neither edge alone sees enough crashes.
            for number in (7, 8, 7, 8):
                edge = fleet.edges[number]
                crashed = quarantine.Incarnation(f"e{edge.rng.random()}", 1)
                now = routed.clock.now_ms()
                edge.quarantine.report_crash(
                    crashed,
                    ("system", "bad"),
                    quarantine.Interval(now, now + 50),
                    now,
                )
                await anyio.sleep(0.1)
            await instances.wait_until(
                lambda: is_refused(7) and is_refused(8), 3
            )
            fleet.start_edge(10)
            await instances.wait_until(lambda: is_refused(10), 4)
            fleet.edges[8].quarantine.report_sound(
                ("bad",), routed.clock.now_ms()
            )
            await instances.wait_until(
                lambda: not any(is_refused(n) for n in (7, 8, 10)), 2
            )

    instances.run_test(body)


async def use_control(fleet, edge, number):
    """Move an edge to a control instance and wait for its subscription."""
    # Before its first status with a quorum an edge may move on by itself.
    await instances.wait_until(lambda: edge.true_time.has_control_time)
    control = fleet.controls[number]
    switched_at = routed.clock.now_ms()
    # A return to the own failure domain is not due for a while.
    edge.selector.last_return_ms = switched_at
    if edge.current_control != control.name:
        instances.use_control(edge, control.name)
    await instances.wait_until(
        lambda: (
            edge.links.name in control.subscribers
            and control.subscribers[edge.links.name].last_seen_ms > switched_at
        ),
        2,
    )


async def lose_departure(observer, controls):
    """Mark i-0 as left at control instances and silent at an observer.

    Args:
        observer: the registry that missed the departure.
        controls: the control instances that know of it.
    """
    await anyio.sleep(PASSING_ON_S)
    observer.mark_silent("i-0", registry.TIMED_OUT)
    for control in controls:
        control.registry.mark_left("i-0", 5, routed.clock.now_ms())


async def wait_until_departed(edge):
    await instances.wait_until(
        lambda: edge.registry.records()[0].state == registry.LEFT, 2
    )
    assert not edge.balancer.endpoints


# Guards against: an edge goes on using a silent endpoint, of whose departure
# only the control instance that it comes to has heard; that was taken for
# sent though the link to the edge was not up yet.
@pytest.mark.parametrize("is_link_up", [True, False])
def test_edge_learns_of_departures_from_its_new_control_instance(
    tmp_path, is_link_up
):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge, control = fleet.edges[9], fleet.controls[4]
            await use_control(fleet, edge, 3)
            # The edge may have come by this one while it started.
            await instances.wait_until(
                lambda: edge.links.name not in control.subscribers
            )
            await lose_departure(edge.registry, fleet.controls.values())
            if not is_link_up:
                control.links.remove(edge.links.name)
                # The end of the link is noted before the edge subscribes.
                await anyio.sleep(0.1)
                subscription = messages.Subscribe(
                    0, edge.registry.digest(), routed.clock.wall_ms()
                )
                control._on_subscribe(edge.links.name, subscription)
            await use_control(fleet, edge, 4)
            await wait_until_departed(edge)

    instances.run_test(body)


# Guards against: an edge that joins knows no endpoint, since those that its
# control instance knows are silent and in no digest.
def test_edge_that_joins_learns_of_silent_endpoints(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            await anyio.sleep(PASSING_ON_S)
            for control in fleet.controls.values():
                control.registry.mark_silent("i-0", registry.TIMED_OUT)
            fleet.start_edge(10)
            edge = fleet.edges[10]
            await instances.wait_until(edge.registry.records, 4)
            assert edge.registry.records()[0].state == registry.SILENT
            assert [*edge.balancer.endpoints] == ["i-0"]

    instances.run_test(body)


# Guards against: an edge that missed a departure while a link was down for
# less than the time-out of its subscription was never told of it.
def test_edge_learns_of_departures_during_a_short_loss_of_its_link(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            await use_control(fleet, edge, 4)
            await lose_departure(edge.registry, fleet.controls.values())
            fleet.reset_link(4, 9)
            await wait_until_departed(edge)

    instances.run_test(body)


# Guards against: a control instance that had not heard an endpoint was not
# told that it had left, as no digest covers either state.
def test_control_instances_tell_each_other_of_departures_after_a_cut(
    tmp_path,
):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            engine = platform_engine.StandInEngine(["good"])
            await fleet.group.start(engine.run)
            await instances.send_heartbeat(2, engine)
            entries = fleet.controls[3].registry
            await instances.wait_until(entries.records)
            informed = (2, 4)
            await lose_departure(
                entries, [fleet.controls[n] for n in informed]
            )
            for number in informed:
                fleet.reset_link(number, 3)
            await instances.wait_until(
                lambda: entries.records()[0].state == registry.LEFT, 2
            )

    instances.run_test(body)


# Guards against: each quarantine made control instances pack all endpoint
# records for each edge, 0.2 s apiece in a large deployment.
def test_recorded_quarantine_sends_no_endpoint_records(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            await use_control(fleet, edge, 3)
            await anyio.sleep(PASSING_ON_S)
            updates = []
            edge._on_endpoints = updates.append
            finding = messages.PartFinding("quarantined", parts=("bad",))
            edge.quarantine.findings.put("bad", finding)
            controls = fleet.controls.values()
            await instances.wait_until(
                lambda: all(
                    c.replicator.replica.state.quarantined_parts
                    for c in controls
                ),
                4,
            )
            await anyio.sleep(2 * edge_module.SUBSCRIBE_PERIOD_MS / 1000)
            now = routed.clock.now_ms()
            assert edge.quarantine.quarantined_part(("bad",), now) == "bad"
            assert updates == []

    instances.run_test(body)


# Guards against: after a loss of all power a crashing prompt part was sent
# to endpoints again.
def test_quarantine_outlives_the_end_of_all_processes(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            now = routed.clock.now_ms()
            for number in range(4):
                crashed = quarantine.Incarnation(f"e{number}", 1)
                sent_ms = now + 100 * number
                interval = quarantine.Interval(sent_ms, sent_ms + 50)
                fleet.edges[9].quarantine.report_crash(
                    crashed, ("bad",), interval, now
                )

            def recorded(control):
                return control.replicator.replica.state.quarantined_parts

            await instances.wait_until(
                lambda: all(recorded(c) for c in fleet.controls.values()), 4
            )
            for number in (*instances.SEEDS, 9):
                await fleet.kill(number)
            for number in instances.SEEDS:
                fleet.start_control(number, bootstrap=False)
            fleet.start_edge(9)
            parts = fleet.edges[9].quarantine
            await instances.wait_until(
                lambda: parts.quarantined_part(
                    ("bad",), routed.clock.now_ms()
                ),
                5,
            )
            parts.report_sound(("bad",), routed.clock.now_ms())
            await instances.wait_until(
                lambda: not any(recorded(c) for c in fleet.controls.values()),
                5,
            )

    instances.run_test(body)


# Guards against: an endpoint left during a cut, and edges of the other
# side sent it requests until its heartbeats timed out.
def test_changes_during_a_cut_are_known_everywhere_after_it(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            fleet.isolate(3)
            fleet.controls[2].record_departure("i-0", 5)
            joined = fleet.engine.address.replace("127.0.0.1", "127.0.0.77")
            await instances.send_heartbeat(
                2, fleet.engine, "i-1", address=joined, born=6
            )
            await anyio.sleep(1.0)
            fleet.heal()
            expected = {"i-0": registry.LEFT, "i-1": registry.READY}
            await instances.wait_until(
                lambda: all(
                    {r.id: r.state for r in i.registry.records()} == expected
                    for i in (*fleet.controls.values(), fleet.edges[9])
                ),
                2,
            )

    instances.run_test(body)


@pytest.mark.parametrize(
    "method,path,status",
    [
        ("GET", "/-/None", 404),
        ("POST", "/-/Config.Get", 404),
        ("POST", "/-/Instances.Heartbeat/i", 400),
        ("POST", "/-/Config.Put", 400),
        ("POST", "/-/Instances.Leave/i", 200),
    ],
)
def test_unknown_or_empty_calls_get_the_expected_status(
    tmp_path, method, path, status
):
    async def body():
        async with instances.running_fleet(tmp_path, (2,)):
            with anyio.move_on_after(5):
                while True:
                    with contextlib.suppress(httpcore.ConnectError):
                        got, _ = await instances.send_call(2, method, path)
                        break
                    await anyio.sleep(0.05)
            assert got == status

    instances.run_test(body)


def test_replica_reopens_after_disk_full(tmp_path, monkeypatch):
    """After failed disk writes the instance stays up and reopens its log."""

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            (leader,) = fleet.leaders()
            control = fleet.controls[leader]
            broken = control.replicator

            def raise_disk_full():
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(broken.log, "sync", raise_disk_full)
            monkeypatch.setattr(broken.replica, "sync", raise_disk_full)
            await instances.put_table(leader, routed.table_document(7))
            await instances.wait_until(
                lambda: control.replicator is not broken
            )
            assert (
                await instances.put_table(leader, routed.table_document(8))
                == 200
            )

    instances.run_test(body)


# Guards against: on each side of a cut the edges divide the whole slack among
# themselves, and together they send twice as many retries as allowed.
def test_edges_on_both_sides_of_a_cut_share_one_slack(tmp_path):
    retries = 0
    fleet = instances.Fleet(tmp_path, None)
    for number in range(6):
        edge = edge_module.Edge(
            fleet.make_settings(10 + number, False, True), None, None
        )
        for count in (6, 6, 3, 3):
            status = messages.ControlStatus(edges=count)
            edge._on_status(edge.current_control, status)
        now = routed.clock.now_ms()
        retries += sum(edge.budget.try_spend("svc", now) for _ in range(100))
    assert 0 < retries <= instances.BOUNDS.retry_slack


@contextlib.asynccontextmanager
async def losing_findings(edge):
    """Lose an edge's findings; its link breaks at the end."""
    send = edge.links.send

    def lose_findings(target, message):
        is_finding = isinstance(message, messages.PartFindings)
        return is_finding or send(target, message)

    edge.links.send = lose_findings
    yield
    edge.links.send = send
    name = edge.current_control
    peer = edge.links.peers[name]
    edge.links.remove(name)
    edge.links.add(peer)


# Guards against: a crash that one edge reports just before its link breaks
# counts for nothing at the others.
def test_crashes_lost_with_an_edges_link_are_reported_again(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path, edges=(7, 8)) as fleet:
            reporter, other = fleet.edges[7], fleet.edges[8]
            await instances.wait_until(
                lambda: reporter.true_time.has_control_time
            )
            async with losing_findings(reporter):
                now = routed.clock.now_ms()
                crashed = quarantine.Incarnation("e1", 1)
                interval = quarantine.Interval(now, now + 50)
                reporter.quarantine.report_crash(
                    crashed, ("bad",), interval, now
                )
                await anyio.sleep(0.3)
                assert not other.quarantine.crashes
            await instances.wait_until(
                lambda: crashed in other.quarantine.crashes, 2
            )

    instances.run_test(body)


# Guards against: a sound answer that one edge reports just before its link
# breaks releases the part there only.
def test_sound_answers_lost_with_an_edges_link_are_reported_again(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path, edges=(7, 8)) as fleet:
            finding = messages.PartFinding("quarantined", parts=("bad",))
            fleet.edges[8].quarantine.findings.put("bad", finding)
            kept = [
                edge.quarantine.released_at
                for edge in (fleet.edges[7], fleet.edges[8])
            ]
            fleet.edges[8].quarantine.apply_finding(
                finding, routed.clock.now_ms()
            )
            await instances.wait_until(lambda: all("bad" in k for k in kept))
            async with losing_findings(fleet.edges[7]):
                fleet.edges[7].quarantine.report_sound(
                    ("bad",), routed.clock.now_ms()
                )
                await anyio.sleep(0.3)
                assert "bad" in kept[1]
            await instances.wait_until(
                lambda: not any("bad" in k for k in kept), 2
            )

    instances.run_test(body)


def test_limits_of_endpoints_that_are_gone_are_forgotten(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            control = fleet.controls[2]
            await instances.wait_until(lambda: control.registry.entries)
            limit = messages.EndpointLimit("i-0", 5, 2000, 1)
            control.limits.merge(limit)
            control.limits.merge(limit._replace(born=4))
            await instances.wait_until(
                lambda: list(control.limits.in_force()) == [limit], 3
            )
            control.record_departure("i-0", 5)
            await instances.wait_until(lambda: not control.limits.entries, 3)

    instances.run_test(body)


UNCARRIABLE_HEARTBEATS = {
    "no-utf8": (b'"v1"', b'"v1-\xed\xa0\xbd"'),
    "half-pair": (b'"v1"', b'"v1-\\ud83d"'),
    "huge-seq": (b'"seq": 1', b'"seq": 1e25'),
    "huge-born": (b'"born": 5', b'"born": 10000000000000000000000000'),
    "huge-slots": (b'"slots": 8', b'"slots": 5000000000'),
    "huge-leaves": (b'"slots": 8', b'"slots": 8, "leaves_ms": 1e25'),
    "infinite": (b'"slots": 8', b'"slots": 8, "leaves_ms": Infinity'),
    "twice": (b'"seq": 1', b'"seq": 1, "seq": 2'),
    "nested": (b'"v1"', b"[" * 9000 + b"]" * 9000),
    "no-host": (b"127.0.0.1:9", b"a..b:80"),
    "foreign-digits": (b"127.0.0.1:9", "127.0.0.1:\u0669".encode()),
}


# Guards against: a heartbeat whose text or numbers no message can carry
# ends the control instances when they pass it on.
@pytest.mark.parametrize("name", UNCARRIABLE_HEARTBEATS)
def test_heartbeat_that_no_message_carries_costs_only_itself(tmp_path, name):
    report = {
        "service": "svc",
        "address": "127.0.0.1:9",
        "zone": "z0",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "born": 5,
    }
    sound, unreadable = UNCARRIABLE_HEARTBEATS[name]
    body_bytes = json.dumps(report).encode().replace(sound, unreadable)
    assert unreadable in body_bytes

    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            path = "/-/Instances.Heartbeat/i-other"
            status, _ = await instances.send_call(2, "POST", path, body_bytes)
            assert status == 400
            await anyio.sleep(PASSING_ON_S)
            assert "i-other" not in fleet.controls[2].registry.entries
            good = json.dumps(report).encode()
            assert (await instances.send_call(2, "POST", path, good))[0] == 200
            await instances.wait_until(
                lambda: all(
                    "i-other" in c.registry.entries
                    for c in fleet.controls.values()
                )
            )

    instances.run_test(body)


# Guards against: one record that cannot be handled ends the instance.
def test_message_that_cannot_be_handled_costs_only_itself(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            for running in (fleet.controls[2], fleet.edges[9]):
                sender = str(instances.address(3, instances.LINK_PORT))
                bad = messages.Presence(link=sender, peers=("no address",))
                bad_status = messages.ControlStatus(peers=("x",), edges="y")
                kind = bad if running is fleet.controls[2] else bad_status
                if running is fleet.edges[9]:
                    instances.use_control(running, sender)
                await running.links.inbox.send(links.Received(sender, kind))
            await anyio.sleep(PASSING_ON_S)
            assert await instances.put_table(2, routed.table_document(7)) == (
                200
            )

    instances.run_test(body)


OUTSIZED_HEADERS = [
    {"Prefix-Hash": "ab:99999999999999999999,c:1,own:1"},
    {"Prefix-Hash": "ab:5000000000,c:1,own:1"},
    {"Token-Count": "5000000000,5", "Prefix-Hash": "a:9,own:7"},
    {"Token-Count": "999999999,999999999", "Prefix-Hash": "a:9,own:7"},
    {"Deadline-Ms": "9" * 5000},
    {"Prefix-Hash": "\xe9\xff:5,own:7", "Token-Count": "12,5"},
]


# Guards against: a caller's number that no message carries ends the edge
# that reports it to the others.
@pytest.mark.parametrize("headers", OUTSIZED_HEADERS)
def test_outsized_header_of_a_caller_does_not_end_the_edge(tmp_path, headers):
    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            engine = platform_engine.StandInEngine(["slow"])
            table = routed.table_document(7, limits={})
            await instances.serve_from(fleet, engine, table)
            for _ in range(2):
                data = routed.request(**{"Deadline-Ms": "", **headers})
                async with await anyio.connect_tcp(
                    instances.host(9), instances.FRONT_PORT
                ) as stream:
                    caller = routed.Caller(stream)
                    await caller.send(data)
                    assert (await caller.answer())[0] == 200
                await anyio.sleep(PASSING_ON_S)

    instances.run_test(body)


# Guards against: a configuration that cannot be read is acknowledged, and
# requests on its route end the edges.
def test_unreadable_table_is_refused(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path):
            for number, raw in enumerate((b"svc\xed\xa0\xbd", b"svc\\ud83d")):
                table = instances.encode(routed.table_document(20 + number))
                table = table.replace(b"svc", raw)
                status, _ = await instances.send_call(
                    2, "POST", "/-/Config.Put", table
                )
                assert status == 400
            _, got = await instances.send_call(3, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7
            assert (await send_request())[0] == 200

    instances.run_test(body)


# Guards against: a table that an earlier release let in ends the edges or
# leaves one that starts without a table.
def test_unreadable_table_of_an_earlier_release_is_served(tmp_path):
    document = routed.table_document(9)
    added = {**document["routes"][0], "path_prefix": "/added/"}
    document["routes"].append({**added, "service": "other"})
    document["services"].append({"name": "other"})
    table = instances.encode(document).replace(b"other", b"other\xed\xa0\xbd")

    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            assert await fleet.controls[2].put_table(9, table)
            await instances.wait_until(
                lambda: fleet.edges[9].forwarder.table.version == 9
            )
            await fleet.kill(9)
            fleet.start_edge(9)
            edge = fleet.edges[9]
            # A follower may still give it the table before this one.
            await instances.wait_until(
                lambda: edge.is_ready and edge.forwarder.table.version == 9
            )
            await instances.send_heartbeat(2, fleet.engine, seq=2)
            for path, status in (("/added/x", 503), ("/a/x", 200)):
                async with await anyio.connect_tcp(
                    instances.host(9), instances.FRONT_PORT
                ) as stream:
                    caller = routed.Caller(stream)
                    await caller.send(routed.request(path))
                    assert (await caller.answer())[0] == status
                await anyio.sleep(PASSING_ON_S)

    instances.run_test(body)


# Guards against: a configuration that takes away the last key lets every
# request run, with any key and none.
def test_empty_list_of_customers_admits_nobody(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            assert (await send_request())[0] == 200
            table = routed.table_document(8, tenants=[])
            assert await instances.put_table(4, table) == 200
            await instances.wait_until(
                lambda: fleet.edges[9].forwarder.table.version == 8, 2
            )
            assert await status_by_key() == [401, 401, 401]
            # Older builds need no key of anyone without a customer.
            assert fleet.edges[9].forwarder.table.customers
            status, got = await instances.send_call(3, "GET", "/-/Config.Get")
            assert (status, json.loads(got)) == (200, table)
            # Neither the log, a new start nor another copy changes it.
            for number in instances.SEEDS:
                await fleet.kill(number)
            await fleet.kill(9)
            for number in instances.SEEDS:
                fleet.start_control(number, bootstrap=False)
            fleet.start_edge(9)
            edge = fleet.edges[9]
            await instances.wait_until(lambda: edge.front.listener)
            # An instance that was killed right after the change may have it
            # on its disk, not known as committed: an edge that starts may
            # get version 7 until there is a leader.
            await instances.wait_until(
                lambda: edge.is_ready and edge.forwarder.table.version == 8
            )
            await instances.send_heartbeat(3, fleet.engine, seq=2)
            # Without a quorum the edge cannot know that no key is valid; it
            # admits nobody all the same.
            assert set(await status_by_key()) <= {401, 503}
            await instances.wait_until(
                lambda: edge.contact.knows_table(routed.clock.now_ms())
            )
            assert await status_by_key() == [401, 401, 401]
            assert len(fleet.engine.seen) == 1
            table = routed.table_document(9)
            del table["tenants"]
            assert await instances.put_table(4, table) == 200
            await instances.wait_until(
                lambda: fleet.edges[9].forwarder.table.version == 9, 2
            )
            assert await status_by_key() == [200, 200, 200]
            ambiguous = routed.table_document(10, tenants=None)
            assert await instances.put_table(4, ambiguous) == 400

    instances.run_test(body)


async def status_by_key():
    """Return the statuses with the former key, an unknown one and none."""
    statuses = []
    for key in (routed.KEY, "unknown", ""):
        async with await anyio.connect_tcp(
            instances.host(9), instances.FRONT_PORT
        ) as stream:
            caller = routed.Caller(stream)
            await caller.send(routed.request(Credential=key))
            statuses.append((await caller.answer())[0])
    return statuses


# Guards against: heartbeats of a service that no table names end all
# service.
def test_heartbeat_of_an_unnamed_service_takes_no_endpoint_away(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            for identifier in ("i-other", "i-0"):
                status, _ = await instances.send_heartbeat(
                    3, fleet.engine, identifier, service="exporter", born=99
                )
                assert status == 200
            await anyio.sleep(PASSING_ON_S)
            assert (await send_request())[0] == 200
            # Nor after a restart, with records before the table.
            await fleet.kill(9)
            fleet.start_edge(9)
            await instances.send_heartbeat(2, fleet.engine, seq=3)
            await instances.wait_until(
                lambda: (
                    fleet.edges[9].is_ready
                    and fleet.edges[9].balancer.usable_endpoints("svc", (), 0)
                )
            )
            assert (await send_request())[0] == 200
            # Once a table names it, its endpoint has the address.
            table = routed.table_document(8)
            table["services"].append({"name": "exporter"})
            assert await instances.put_table(4, table) == 200
            await instances.wait_until(
                lambda: (
                    not fleet.edges[9].balancer.usable_endpoints("svc", (), 0)
                )
            )

    instances.run_test(body)


# Guards against: a control instance dials each edge that it ever had, for as
# long as it runs.
def test_control_instance_keeps_no_link_to_an_edge_that_is_gone(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            name = str(instances.address(9, instances.LINK_PORT))
            await fleet.kill(9)
            await instances.wait_until(
                lambda: (
                    not any(
                        name in control.links.peers
                        for control in fleet.controls.values()
                    )
                ),
                5,
            )

    instances.run_test(body)


# Guards against: an edge that comes back on the connection that it had is
# not answered, as the link to it was given up.
def test_edge_that_was_silent_is_answered_again(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            name = edge.links.name
            control = next(
                c
                for c in fleet.controls.values()
                if c.name == edge.current_control
            )
            control.subscribers.clear()
            control.links.remove(name)
            control._on_subscribe(name, messages.Subscribe())
            await instances.wait_until(
                lambda: control.links.is_connected(name), 1
            )

    instances.run_test(body)


# Guards against: edges that ask all control instances before there is a
# leader are counted at each, and share the retry budget with their doubles.
def test_edges_that_move_between_control_instances_count_once(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path, (7, 8, 9)) as fleet:
            await anyio.sleep(1.5)
            now = routed.clock.now_ms()
            peaks = [e.edge_counts.peak(now) for e in fleet.edges.values()]
            assert max(peaks) == 3

    instances.run_test(body)


# Guards against: edges are counted at each control instance that they asked
# until its first list of them arrives.
def test_edges_count_once_before_lists_of_them_arrive(tmp_path):
    async def body():
        async with anyio.create_task_group() as group:
            fleet = instances.Fleet(tmp_path, group)
            sender, receiver = (
                control_module.ControlInstance(
                    fleet.make_settings(number, True, False), bytes, bytes
                )
                for number in (2, 3)
            )
            for number in (7, 8, 9):
                name = str(instances.address(number, instances.LINK_PORT))
                sender._on_subscribe(name, messages.Subscribe())
                receiver._on_subscribe(name, messages.Subscribe())
            receiver._on_presence(sender.name, sender._make_presence())
            now = routed.clock.now_ms()
            assert receiver._make_status(now).edges == 3

    instances.run_test(body)


# Guards against: an edge that a control instance names is not counted by
# the others until the next list.
def test_new_edge_is_named_to_the_other_instances_at_once(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(control_module, "KNOWN_EDGES_PERIOD_MS", 60_000)

    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            fleet.start_edge(8)
            name = fleet.edges[8].links.name
            await instances.wait_until(
                lambda: all(
                    name in control.edges.heard_ms
                    for control in fleet.controls.values()
                ),
                5,
            )

    instances.run_test(body)
