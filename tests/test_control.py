"""Control instances that find each other, and edges that follow them."""

import contextlib
import json

import anyio
import httpcore
import instances
import pytest
import routed

from primrosehitch import links
from primrosehitch import messages
from primrosehitch_lab import platform_engine


def test_instances_find_each_other_from_seeds(tmp_path):
    """Four start at once; one of them is no seed."""

    async def body():
        async with instances.fleet(tmp_path, (2, 3, 4, 5)) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            await instances.until(lambda: len(found.voters()) == 4)
            assert await instances.put(5, routed.table_document(7)) == 200
            for number in (2, 3, 4, 5):
                status, got = await instances.call(
                    number, "GET", "/-/Config.Get"
                )
                assert status == 200
                assert json.loads(got)["version"] == 7

    instances.run(body)


def test_the_highest_version_wins_and_stays(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            assert await instances.put(3, routed.table_document(9)) == 200
            older = routed.table_document(8)
            assert await instances.put(4, older) == 200
            other = routed.table_document(9, services=[{"name": "svc"}])
            assert await instances.put(2, other) == 200
            for number in instances.SEEDS:
                _, got = await instances.call(number, "GET", "/-/Config.Get")
                assert json.loads(got) == routed.table_document(9)

    instances.run(body)


def test_an_invalid_table_is_refused_by_name_of_its_path(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            document = routed.table_document(7)
            document["routes"][2]["timeout_ms"] = 0
            data = json.dumps(document).encode()
            status, got = await instances.call(
                2, "POST", "/-/Config.Put", data
            )
            assert status == 400
            assert "$.routes[2].timeout_ms" in json.loads(got)["error"]
            assert (await instances.call(2, "GET", "/-/Config.Get"))[0] == 503

    instances.run(body)


def test_a_minority_confirms_nothing(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            await found.kill(3)
            await found.kill(4)
            await anyio.sleep(1.3)
            assert (await instances.call(2, "GET", "/-/Config.Get"))[0] == 503
            data = json.dumps(routed.table_document(8)).encode()
            status, _ = await instances.call(2, "POST", "/-/Config.Put", data)
            assert status == 503

    instances.run(body)


def test_all_killed_at_once_keep_what_was_acknowledged(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            await instances.until(
                lambda: all(c.table.version for c in found.controls.values())
            )
            await anyio.sleep(0.3)
            for number in instances.SEEDS:
                await found.kill(number)
            for number in instances.SEEDS:
                found.start_control(number, bootstrap=False)
            # Each knows the table from its own disk before any quorum.
            held = [found.controls[n].table.version for n in instances.SEEDS]
            assert held == [7, 7, 7]
            await instances.until(lambda: len(found.leaders()) == 1)
            _, got = await instances.call(2, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    instances.run(body)


def test_a_lost_disk_joins_anew(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            (leader,) = found.leaders()
            first = found.controls[leader].replicator.identity.replica
            await found.kill(leader)
            found.wipe(leader)
            found.start_control(leader, bootstrap=False)
            await instances.until(
                lambda: (
                    len(found.leaders()) == 1
                    and len(found.voters()) == 3
                    and first not in found.voters()
                ),
                20,
            )
            _, got = await instances.call(leader, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    instances.run(body)


def test_a_replaced_machine_leaves_the_voters(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            gone = next(n for n in instances.SEEDS if n not in found.leaders())
            await found.kill(gone)
            found.start_control(6, bootstrap=False)
            name = str(instances.address(gone, instances.LINK_PORT))
            await instances.until(
                lambda: (
                    len(found.leaders()) == 1
                    and len(found.voters()) == 3
                    and not any(v.startswith(name) for v in found.voters())
                ),
                20,
            )

    instances.run(body)


def test_an_edge_serves_what_the_instances_hold(tmp_path):
    """The whole path, then a withdrawn key and a leaving engine."""

    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.fleet(tmp_path, edges=(9,)) as found:
            await found.group.start(engine.run)
            edge = found.edges[9]
            await instances.until(lambda: len(found.leaders()) == 1)
            assert (
                await instances.call(
                    9, "GET", "/-/ready", b"", instances.READY_PORT
                )
            )[0] == 503
            assert await instances.put(2, routed.table_document(7)) == 200
            assert (await instances.beat(3, engine))[0] == 200
            await instances.until(
                lambda: edge.is_ready and edge.balancer.endpoints
            )
            assert (
                await instances.call(
                    9, "GET", "/-/ready", b"", instances.READY_PORT
                )
            )[0] == 200
            assert (await ask())[0] == 200
            await tell_keys(found, edge, [], 8)
            assert (await ask())[0] == 401
            await tell_keys(found, edge, [routed.KEY], 9)
            assert (await ask())[0] == 200
            await instances.beat(4, engine, state="draining", seq=2)
            await instances.until(
                lambda: not edge.balancer.usable("svc", (), 0), 1
            )
            assert (await ask())[0] == 503
            assert len(engine.seen) == 2

    instances.run(body)


async def tell_keys(found, edge, keys, version):
    document = routed.table_document(
        version, tenants=[{"name": "ana", "api_keys": keys}]
    )
    assert await instances.put(4, document) == 200
    await instances.until(lambda: edge.forwarder.table.version == version, 1)


async def ask():
    async with await anyio.connect_tcp(
        instances.host(9), instances.FRONT_PORT
    ) as stream:
        caller = routed.Caller(stream)
        await caller.send(routed.request())
        return await caller.answer()


def test_an_edge_takes_newer_tables_only(tmp_path):
    """A control instance that lags must not take an edge back."""

    async def body():
        async with instances.fleet(tmp_path, edges=(9,)) as found:
            edge = found.edges[9]
            for version in (9, 8, 9):
                table = json.dumps(routed.table_document(version)).encode()
                await edge.links.inbox.send(
                    links.Received("late", messages.Table(version, table))
                )
            await instances.until(lambda: edge.forwarder.table)
            await anyio.sleep(0.1)
            assert edge.forwarder.table.version == 9

    instances.run(body)


def test_an_edge_moves_on_from_a_dead_instance(tmp_path):
    async def body():
        async with instances.fleet(tmp_path, edges=(9,)) as found:
            edge = found.edges[9]
            await instances.until(lambda: len(found.leaders()) == 1)
            await instances.until(lambda: edge.true_time.told)
            used = int(edge.current_control.split(":")[0].rsplit(".", 1)[1])
            await found.kill(used)
            await instances.until(
                lambda: (
                    edge.current_control
                    != str(instances.address(used, instances.LINK_PORT))
                )
            )
            other = next(iter(found.controls))
            assert await instances.put(other, routed.table_document(7)) == 200
            await instances.until(lambda: edge.is_ready, 3)

    instances.run(body)


def test_counts_reach_every_instance(tmp_path):
    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.fleet(tmp_path, edges=(9,)) as found:
            await found.group.start(engine.run)
            edge = found.edges[9]
            await instances.until(lambda: len(found.leaders()) == 1)
            await instances.put(2, routed.table_document(7))
            await instances.beat(2, engine)
            await instances.until(
                lambda: edge.is_ready and edge.balancer.endpoints
            )
            for _ in range(3):
                await ask()

            def told(control):
                windows = control.tallies.windows
                return sum(
                    item.requests
                    for window in windows
                    for item in control.tallies.sealed(window).counts
                )

            await instances.until(
                lambda: all(told(c) == 3 for c in found.controls.values())
            )

    instances.run(body)


def test_parts_read_reach_the_edges_of_other_instances(tmp_path):
    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with instances.fleet(tmp_path, edges=(8, 9)) as found:
            await found.group.start(engine.run)
            first, other = found.edges[8], found.edges[9]
            await instances.until(lambda: len(found.leaders()) == 1)
            await instances.put(2, routed.table_document(7))
            await instances.beat(2, engine)
            await instances.until(
                lambda: (
                    first.balancer.endpoints
                    and other.balancer.endpoints
                    and first.current_control != other.current_control
                )
            )
            other.balancer.endpoints["i-0"].kv_tokens = 100_000
            read = messages.PartRead("i-0", "part", 4000)
            first.balancer.read.put(("i-0", "part"), read)
            await instances.until(
                lambda: "part" in other.balancer.endpoints["i-0"].parts, 3
            )

    instances.run(body)


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
def test_calls_of_odd_shape(tmp_path, method, path, status):
    async def body():
        async with instances.fleet(tmp_path, (2,)):
            with anyio.move_on_after(5):
                while True:
                    with contextlib.suppress(httpcore.ConnectError):
                        got, _ = await instances.call(2, method, path)
                        break
                    await anyio.sleep(0.05)
            assert got == status

    instances.run(body)


def test_a_full_disk_is_opened_again(tmp_path, monkeypatch):
    """Writes fail for a while; the instance lives and comes back."""

    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            (leader,) = found.leaders()
            control = found.controls[leader]
            broken = control.replicator

            def refuse():
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(broken.log, "sync", refuse)
            monkeypatch.setattr(broken.replica, "sync", refuse)
            await instances.put(leader, routed.table_document(7))
            await instances.until(lambda: control.replicator is not broken)
            assert await instances.put(leader, routed.table_document(8)) == 200

    instances.run(body)
