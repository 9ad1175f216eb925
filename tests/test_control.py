"""Control instances that find each other, and edges that follow them.

All run in one process on loopback, each at an address of its own, with
the same ports, as on the users' platform.
"""

import contextlib
import json
import shutil

import anyio
import httpcore
import pytest
import routed

from primrosehitch import edge as edge_module
from primrosehitch import instance
from primrosehitch import settings
from primrosehitch.platform import __main__ as platform_main
from primrosehitch.platform import dialect
from primrosehitch.platform import tables
from primrosehitch_lab import platform_engine

LINK_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 26001, 26002, 26003, 26004
SEEDS = (2, 3, 4)
BOUNDS = instance.Bounds(grace_ms=1500, usage_window_ms=1000)


def run(body):
    anyio.run(body, backend_options={"use_uvloop": True})


def host(number):
    return f"127.0.0.{number}"


def address(number, port):
    return settings.Address(host(number), port)


class Fleet:
    """Instances by number, and their folders."""

    def __init__(self, folder, group):
        self.folder = folder
        self.group = group
        self.controls = {}
        self.edges = {}
        self.scopes = {}

    def settings(self, number, bootstrap, edge):
        return instance.InstanceSettings(
            name=f"n{number}",
            domain=f"z{number % 3}",
            link=address(number, LINK_PORT),
            seeds=tuple(address(n, LINK_PORT) for n in SEEDS),
            control=None if edge else address(number, CONTROL_PORT),
            front=address(number, FRONT_PORT) if edge else None,
            ready=address(number, READY_PORT) if edge else None,
            metrics=None,
            data_folder=None if edge else self.folder / str(number),
            bootstrap=bootstrap,
            platform=None,
            secret=b"",
            bounds=BOUNDS,
        )

    def start_control(self, number, bootstrap=True):
        process = platform_main.ControlProcess(
            self.settings(number, bootstrap, False)
        )
        self.controls[number] = process.control
        self._start(number, process)

    def start_edge(self, number):
        edge = edge_module.Edge(
            self.settings(number, False, True),
            dialect.PlatformDialect(),
            tables.decode,
        )
        self.edges[number] = edge
        self._start(number, edge)

    def _start(self, number, process):
        async def live():
            with anyio.CancelScope() as scope:
                self.scopes[number] = scope
                await process.run(anyio.Event())

        self.group.start_soon(live)

    async def kill(self, number):
        """End an instance between two steps, without a word to others."""
        self.scopes.pop(number).cancel()
        self.controls.pop(number, None)
        await anyio.sleep(0.1)

    def wipe(self, number):
        shutil.rmtree(self.folder / str(number))

    def leaders(self):
        return [n for n, c in self.controls.items() if c.replicator.leads()]

    def voters(self):
        (leader,) = self.leaders()
        return self.controls[leader].replicator.raft.voters


@contextlib.asynccontextmanager
async def fleet(folder, controls=SEEDS, edges=()):
    async with anyio.create_task_group() as group:
        found = Fleet(folder, group)
        for number in controls:
            found.start_control(number)
        for number in edges:
            found.start_edge(number)
        yield found
        group.cancel_scope.cancel()


async def until(condition, limit_s=12):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.02)


async def call(number, method, path, body=b"", port=CONTROL_PORT):
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            method,
            f"http://{host(number)}:{port}{path}",
            content=body,
            extensions={"timeout": {"read": 5, "connect": 1}},
        )
        return answer.status, answer.content


async def put(number, document):
    body = json.dumps(document).encode()
    for _ in range(40):
        status, _ = await call(number, "POST", "/-/Config.Put", body)
        if status != 503:
            return status
        await anyio.sleep(0.2)
    return status


async def beat(number, engine, identifier="i-0", **changes):
    report = {
        "service": "svc",
        "address": engine.address,
        "zone": "z0",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "born": 5,
        **changes,
    }
    path = f"/-/Instances.Heartbeat/{identifier}"
    return await call(number, "POST", path, json.dumps(report).encode())


def test_instances_find_each_other_from_seeds(tmp_path):
    """Four start at once; one of them is no seed."""

    async def body():
        async with fleet(tmp_path, (2, 3, 4, 5)) as found:
            await until(lambda: len(found.leaders()) == 1)
            await until(lambda: len(found.voters()) == 4)
            assert await put(5, routed.table_document(7)) == 200
            for number in (2, 3, 4, 5):
                status, got = await call(number, "GET", "/-/Config.Get")
                assert status == 200
                assert json.loads(got)["version"] == 7

    run(body)


def test_the_highest_version_wins_and_stays(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            assert await put(2, routed.table_document(7)) == 200
            assert await put(3, routed.table_document(9)) == 200
            older = routed.table_document(8)
            assert await put(4, older) == 200
            other = routed.table_document(9, services=[{"name": "svc"}])
            assert await put(2, other) == 200
            for number in SEEDS:
                _, got = await call(number, "GET", "/-/Config.Get")
                assert json.loads(got) == routed.table_document(9)

    run(body)


def test_an_invalid_table_is_refused_by_name_of_its_path(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            document = routed.table_document(7)
            document["routes"][2]["timeout_ms"] = 0
            data = json.dumps(document).encode()
            status, got = await call(2, "POST", "/-/Config.Put", data)
            assert status == 400
            assert "$.routes[2].timeout_ms" in json.loads(got)["error"]
            assert (await call(2, "GET", "/-/Config.Get"))[0] == 503

    run(body)


def test_a_minority_confirms_nothing(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            assert await put(2, routed.table_document(7)) == 200
            await found.kill(3)
            await found.kill(4)
            await anyio.sleep(1.3)
            assert (await call(2, "GET", "/-/Config.Get"))[0] == 503
            data = json.dumps(routed.table_document(8)).encode()
            status, _ = await call(2, "POST", "/-/Config.Put", data)
            assert status == 503

    run(body)


def test_all_killed_at_once_keep_what_was_acknowledged(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            assert await put(2, routed.table_document(7)) == 200
            await until(
                lambda: all(c.table.version for c in found.controls.values())
            )
            await anyio.sleep(0.3)
            for number in SEEDS:
                await found.kill(number)
            for number in SEEDS:
                found.start_control(number, bootstrap=False)
            # Each knows the table from its own disk before any quorum.
            held = [found.controls[n].table.version for n in SEEDS]
            assert held == [7, 7, 7]
            await until(lambda: len(found.leaders()) == 1)
            _, got = await call(2, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    run(body)


def test_a_lost_disk_joins_anew(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            assert await put(2, routed.table_document(7)) == 200
            (leader,) = found.leaders()
            first = found.controls[leader].replicator.identity.replica
            await found.kill(leader)
            found.wipe(leader)
            found.start_control(leader, bootstrap=False)
            await until(
                lambda: (
                    len(found.leaders()) == 1
                    and len(found.voters()) == 3
                    and first not in found.voters()
                ),
                20,
            )
            _, got = await call(leader, "GET", "/-/Config.Get")
            assert json.loads(got)["version"] == 7

    run(body)


def test_a_replaced_machine_leaves_the_voters(tmp_path):
    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            gone = next(n for n in SEEDS if n not in found.leaders())
            await found.kill(gone)
            found.start_control(6, bootstrap=False)
            name = str(address(gone, LINK_PORT))
            await until(
                lambda: (
                    len(found.leaders()) == 1
                    and len(found.voters()) == 3
                    and not any(v.startswith(name) for v in found.voters())
                ),
                20,
            )

    run(body)


def test_an_edge_serves_what_the_instances_hold(tmp_path):
    """The whole path, then a withdrawn key and a leaving engine."""

    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with fleet(tmp_path, edges=(9,)) as found:
            await found.group.start(engine.run)
            edge = found.edges[9]
            await until(lambda: len(found.leaders()) == 1)
            assert (await call(9, "GET", "/-/ready", b"", READY_PORT))[
                0
            ] == 503
            assert await put(2, routed.table_document(7)) == 200
            assert (await beat(3, engine))[0] == 200
            await until(lambda: edge.is_ready and edge.balancer.endpoints)
            assert (await call(9, "GET", "/-/ready", b"", READY_PORT))[
                0
            ] == 200
            assert (await ask())[0] == 200
            await tell_keys(found, edge, [], 8)
            assert (await ask())[0] == 401
            await tell_keys(found, edge, [routed.KEY], 9)
            assert (await ask())[0] == 200
            await beat(4, engine, state="draining", seq=2)
            await until(lambda: not edge.balancer.usable("svc", (), 0), 1)
            assert (await ask())[0] == 503
            assert len(engine.seen) == 2

    run(body)


async def tell_keys(found, edge, keys, version):
    document = routed.table_document(
        version, tenants=[{"name": "ana", "api_keys": keys}]
    )
    assert await put(4, document) == 200
    await until(lambda: edge.forwarder.table.version == version, 1)


async def ask():
    async with await anyio.connect_tcp(host(9), FRONT_PORT) as stream:
        caller = routed.Caller(stream)
        await caller.send(routed.request())
        return await caller.answer()


def test_an_edge_moves_on_from_a_dead_instance(tmp_path):
    async def body():
        async with fleet(tmp_path, edges=(9,)) as found:
            edge = found.edges[9]
            await until(lambda: len(found.leaders()) == 1)
            await until(lambda: edge.true_time.told)
            used = int(edge.chosen.split(":")[0].rsplit(".", 1)[1])
            await found.kill(used)
            await until(lambda: edge.chosen != str(address(used, LINK_PORT)))
            other = next(iter(found.controls))
            assert await put(other, routed.table_document(7)) == 200
            await until(lambda: edge.is_ready, 3)

    run(body)


def test_counts_reach_every_instance(tmp_path):
    async def body():
        engine = platform_engine.StandInEngine(["good"])
        async with fleet(tmp_path, edges=(9,)) as found:
            await found.group.start(engine.run)
            edge = found.edges[9]
            await until(lambda: len(found.leaders()) == 1)
            await put(2, routed.table_document(7))
            await beat(2, engine)
            await until(lambda: edge.is_ready and edge.balancer.endpoints)
            for _ in range(3):
                await ask()

            def told(control):
                windows = control.tallies.windows
                return sum(
                    item.requests
                    for window in windows
                    for item in control.tallies.sealed(window).counts
                )

            await until(
                lambda: all(told(c) == 3 for c in found.controls.values())
            )

    run(body)


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
        async with fleet(tmp_path, (2,)):
            with anyio.move_on_after(5):
                while True:
                    with contextlib.suppress(httpcore.ConnectError):
                        got, _ = await call(2, method, path)
                        break
                    await anyio.sleep(0.05)
            assert got == status

    run(body)


def test_a_full_disk_is_opened_again(tmp_path, monkeypatch):
    """Writes fail for a while; the instance lives and comes back."""

    async def body():
        async with fleet(tmp_path) as found:
            await until(lambda: len(found.leaders()) == 1)
            (leader,) = found.leaders()
            control = found.controls[leader]
            broken = control.replicator

            def refuse():
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(broken.log, "sync", refuse)
            monkeypatch.setattr(broken.replica, "sync", refuse)
            await put(leader, routed.table_document(7))
            await until(lambda: control.replicator is not broken)
            assert await put(leader, routed.table_document(8)) == 200

    run(body)
