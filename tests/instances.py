"""Control instances and edges in one process, each at its own address.

All instances use the same port numbers, as on the users' platform.
"""

import contextlib
import json
import shutil

import anyio
import httpcore
import routed

from primrosehitch import controlselector
from primrosehitch import edge as edge_module
from primrosehitch import instance
from primrosehitch import settings
from primrosehitch.platform import dialect
from primrosehitch.platform import process as process_module
from primrosehitch.platform import tables
from primrosehitch_lab import platform_engine

LINK_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 26001, 26002, 26003, 26004
SEEDS = (2, 3, 4)
BOUNDS = instance.Bounds(grace_ms=1500, usage_window_ms=1000, evacuate_ms=5000)


def run_test(body):
    anyio.run(body, backend_options={"use_uvloop": True})


def host(number):
    return f"127.0.0.{number}"


def address(number, port):
    return settings.Address(host(number), port)


class Fleet:
    """Running instances by number; the number is the last part of the host.

    Args:
        folder: parent of the instances' data folders.
        group: the task group that the instances run in.

    Attributes:
        seeds: numbers of the seeds of instances that start from now on.
        engine: the engine that all edges of a serving fleet serve from.
    """

    def __init__(self, folder, group):
        self.folder = folder
        self.group = group
        self.controls = {}
        self.edges = {}
        self.processes = {}
        self.scopes = {}
        self.stops = {}
        self.stopped = set()
        self.seeds = SEEDS
        self.engine = None

    def make_settings(self, number, bootstrap, edge):
        return instance.InstanceSettings(
            name=f"n{number}",
            domain=f"z{number % 3}",
            link=address(number, LINK_PORT),
            seeds=tuple(address(n, LINK_PORT) for n in self.seeds),
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
        process = process_module.ControlProcess(
            self.make_settings(number, bootstrap, False)
        )
        self.controls[number] = process.control
        self._start(number, process)

    def start_edge(self, number):
        edge = edge_module.Edge(
            self.make_settings(number, False, True),
            dialect.PlatformDialect(),
            tables.decode_accepted,
        )
        self.edges[number] = edge
        self._start(number, edge)

    def _start(self, number, process):
        self.processes[number] = process
        stop = self.stops[number] = anyio.Event()

        async def run_process():
            with anyio.CancelScope() as scope:
                self.scopes[number] = scope
                await process.run(stop)
                self.stopped.add(number)

        self.group.start_soon(run_process)

    async def kill(self, number):
        """Cancel an instance at once, without a drain or hand-over."""
        self.scopes.pop(number).cancel()
        self.controls.pop(number, None)
        self.edges.pop(number, None)
        await anyio.sleep(0.1)

    def suspend(self, *numbers):
        """Drop all messages to and from control instances.

        That is how other processes see a paused one.
        """
        names = {str(address(n, LINK_PORT)) for n in numbers}
        for n, control in self.controls.items():
            if n in numbers:
                control._HANDLERS = {}
            else:
                self._drop_messages(control, names)

    def isolate(self, number):
        """Drop all messages between a control instance and the others.

        Edges and endpoints still reach all of them.
        """
        names = {n: str(address(n, LINK_PORT)) for n in self.controls}
        for n, control in self.controls.items():
            if n == number:
                self._drop_messages(control, set(names.values()))
            else:
                self._drop_messages(control, {names[number]})

    def _drop_messages(self, control, dropped_senders):
        """Drop what a control instance receives from some senders."""

        def filtered(handler):
            def handle(control, sender, message):
                if sender not in dropped_senders:
                    handler(control, sender, message)

            return handle

        control._HANDLERS = {
            kind: filtered(handler)
            for kind, handler in type(control)._HANDLERS.items()
        }

    def heal(self):
        """End all isolations and suspensions."""
        for control in self.controls.values():
            del control._HANDLERS

    def reset_link(self, sender, receiver):
        """Close the link from a control instance; it is dialed again."""
        links = self.controls[sender].links
        peer = links.peers[str(address(receiver, LINK_PORT))]
        links.remove(peer.name)
        links.add(peer)

    def wipe_disk(self, number):
        shutil.rmtree(self.folder / str(number))

    def leaders(self):
        return [
            n for n, c in self.controls.items() if c.replicator.is_leader()
        ]

    def voters(self):
        (leader,) = self.leaders()
        return self.controls[leader].replicator.raft.voters


def use_control(edge, name):
    """Move an edge to a control instance."""
    edge._use_control(controlselector.Choice(name, "test"))
    edge._select_control()


@contextlib.asynccontextmanager
async def running_fleet(folder, controls=SEEDS, edges=()):
    """Run a fleet; kill all its instances at the end."""
    async with anyio.create_task_group() as group:
        running = Fleet(folder, group)
        for number in controls:
            running.start_control(number)
        for number in edges:
            running.start_edge(number)
        yield running
        group.cancel_scope.cancel()


async def wait_until(condition, limit_s=12):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.02)


async def send_call(number, method, path, body=b"", port=CONTROL_PORT):
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            method,
            f"http://{host(number)}:{port}{path}",
            content=body,
            extensions={"timeout": {"read": 5, "connect": 1}},
        )
        return answer.status, answer.content


async def exchange(number, data, port=CONTROL_PORT):
    """Send bytes to a control instance; return its answer until it closes."""
    async with await anyio.connect_tcp(host(number), port) as stream:
        await stream.send(data)
        answer = b""
        with contextlib.suppress(anyio.EndOfStream), anyio.fail_after(5):
            while True:
                answer += await stream.receive()
        return answer


async def wait_until_listening(number, port=CONTROL_PORT):
    """Wait until an instance accepts connections."""
    with anyio.fail_after(5):
        while True:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp(host(number), port)).aclose()
                return
            await anyio.sleep(0.05)


def encode(document):
    """Return a table document as the operators send it."""
    return json.dumps(document).encode()


async def put_table(number, document):
    """Put a table, and retry while there is no quorum; return the status."""
    body = encode(document)
    for _ in range(40):
        status, _ = await send_call(number, "POST", "/-/Config.Put", body)
        if status != 503:
            return status
        await anyio.sleep(0.2)
    return status


async def send_heartbeat(number, engine, identifier="i-0", **changes):
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
    return await send_call(number, "POST", path, json.dumps(report).encode())


async def send_heartbeats(number, engine, identifier="i-0"):
    """Send an endpoint's heartbeats until cancelled."""
    sequence = 1
    while True:
        sequence += 1
        await send_heartbeat(number, engine, identifier, seq=sequence)
        await anyio.sleep(0.1)


async def serve_from(fleet, engine, table=None):
    """Run an engine and wait until all edges of a fleet serve from it."""
    await fleet.group.start(engine.run)
    await wait_until(lambda: len(fleet.leaders()) == 1)
    assert await put_table(2, table or routed.table_document(7)) == 200
    await send_heartbeat(2, engine)
    await wait_until(
        lambda: all(
            e.is_ready and e.balancer.endpoints for e in fleet.edges.values()
        )
    )


@contextlib.asynccontextmanager
async def serving_fleet(folder, edges=(9,)):
    """Run a fleet whose edges serve from one engine."""
    async with running_fleet(folder, edges=edges) as fleet:
        fleet.engine = platform_engine.StandInEngine(["good"])
        await serve_from(fleet, fleet.engine)
        yield fleet


async def order_evacuation(number, domain, evacuated=True):
    """Order the start or the end of an evacuation; return the status."""
    verb = "Start" if evacuated else "End"
    path = f"/-/Evacuate.{verb}/{domain}"
    return (await send_call(number, "POST", path))[0]
