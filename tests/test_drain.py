"""Stopping instances while callers connect and send at any moment.

Every request that an instance has read is answered whole, or it is told
that it has not run; none is cut.
"""

import json
import random
import socket

import anyio
import instances
import pytest
import routed

from primrosehitch import daemon as daemon_module
from primrosehitch import settings as settings_module
from primrosehitch.platform import process as process_module
from primrosehitch_lab import fault_calls

EDGES = (9, 10, 11, 12)
CALLERS_PER_EDGE = 6
# A caller that finds no listener any more.
END = "end"
ANSWERED = "answered"
NOT_RUN = "not run"
MAY_HAVE_RUN = "may have run"
CUT = "cut"


class DrainCaller:
    """Calls one instance until it takes no more connections.

    Args:
        host: address of the instance.
        port: its port.
        rng: draws requests and pauses.
        make_request: returns a request's bytes from the rng and an
            identifier.
        max_pause_s: longest pause between two calls.
    """

    def __init__(self, host, port, rng, make_request, max_pause_s):
        self.host = host
        self.port = port
        self.rng = rng
        self.make_request = make_request
        self.max_pause_s = max_pause_s
        self.outcomes = {}
        self.statuses = set()

    def identifiers(self, *outcomes):
        """Return the identifiers of the calls that ended so."""
        return {i for i, o in self.outcomes.items() if o in outcomes}

    async def run(self):
        while await self._call_once() != END:
            await anyio.sleep(self.rng.uniform(0, self.max_pause_s))

    async def _call_once(self):
        identifier = f"{self.rng.getrandbits(64):016x}"
        data = self.make_request(self.rng, identifier)
        try:
            stream = await anyio.connect_tcp(self.host, self.port)
        except OSError:
            return END
        async with stream:
            caller = routed.Caller(stream)
            outcome = CUT
            try:
                await caller.send(data)
                status, _, _, whole = await caller.answer()
                self.statuses.add(status)
                if whole:
                    outcome = {503: NOT_RUN, 504: MAY_HAVE_RUN}.get(
                        status, ANSWERED
                    )
            except fault_calls.TORN:
                # The instance is gone; whether it had read the request is
                # judged by the caller of this class.
                outcome = CUT
            self.outcomes[identifier] = outcome
        return outcome


def edge_request(rng, identifier):
    path = rng.choice(("/a/x", "/once/x", "/brief/x"))
    method = "POST" if path.startswith("/once") else "GET"
    deadline = rng.choice(("120", "1500"))
    return routed.request(path, method, b"", identifier, Deadline_Ms=deadline)


def edit_request(rng, identifier):
    body = instances.encode(routed.table_document(rng.randrange(8, 40)))
    return routed.request("/-/Config.Put", "POST", body, identifier)


def probe_request(rng, identifier):
    return routed.request(
        "/healthz", "GET", b"", identifier, Connection="close"
    )


class ReadLog:
    """Identifiers of the requests that a server's handler has got.

    Args:
        server: whose handler is wrapped.
    """

    def __init__(self, server):
        self.handler = server.handler
        self.identifiers = set()
        server.handler = self.serve

    async def serve(self, request, responder):
        self.identifiers.add(request.header(b"request-id"))
        await self.handler(request, responder)


async def end_process(fleet, number, server):
    """Stop an instance and drop its connections, as its exit does."""
    fleet.stops[number].set()
    await instances.wait_until(lambda: number in fleet.stopped)
    for connection in list(server.connections):
        connection.transport.abort()


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_drain_cuts_no_request_that_an_edge_has_read(tmp_path, seed):
    """Pattern: new connections during the whole drain, at random moments."""

    async def body():
        rng = random.Random(seed)
        engine = routed.platform_engine.StandInEngine(["brief"])
        async with instances.running_fleet(tmp_path, edges=EDGES) as fleet:
            await instances.serve_from(fleet, engine)
            edges = fleet.edges
            callers, logs = [], []
            async with anyio.create_task_group() as group:
                for number in EDGES:
                    logs.append(ReadLog(edges[number].front))
                    # Edges with few callers become idle and end early.
                    for _ in range(rng.choice((1, 2, CALLERS_PER_EDGE))):
                        caller = DrainCaller(
                            instances.host(number),
                            instances.FRONT_PORT,
                            random.Random(rng.random()),
                            edge_request,
                            0.12,
                        )
                        callers.append(caller)
                        group.start_soon(caller.run)
                for number in EDGES:
                    group.start_soon(
                        end_process, fleet, number, edges[number].front
                    )
            read = set().union(*(log.identifiers for log in logs))
            ran = {seen.headers["request-id"] for seen in engine.seen}
            outcomes = {}
            for caller in callers:
                outcomes.update(caller.outcomes)
            cut = {i for i, outcome in outcomes.items() if outcome == CUT}
            refused = {i for i, o in outcomes.items() if o == NOT_RUN}
            assert not cut & (read | ran)
            assert not refused & ran
            assert len(outcomes) > 25
            assert ANSWERED in outcomes.values()

    instances.run_test(body)


def test_request_under_way_at_the_end_of_the_grace_is_answered(tmp_path):
    """Pattern: an endpoint answers later than the process may live."""

    async def body():
        engine = routed.platform_engine.StandInEngine(["silent"])
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            table = routed.table_document(7)
            for route in table["routes"]:
                route["timeout_ms"] = 20_000
            await instances.serve_from(fleet, engine, table)
            edge = fleet.edges[9]
            host = instances.host(9)
            async with await anyio.connect_tcp(
                host, instances.FRONT_PORT
            ) as stream:
                caller = routed.Caller(stream)
                data = routed.request("/once/x", Deadline_Ms="9000")
                await caller.send(data)
                await instances.wait_until(lambda: engine.seen)
                await end_process(fleet, 9, edge.front)
                status, _, got, whole = await caller.answer()
                assert (status, whole) == (504, True)
                assert b"draining" in got

    instances.run_test(body)


def test_short_call_that_may_outlive_the_drain_is_refused(tmp_path):
    """Pattern: a call late in a drain, whose deadline lies beyond it."""

    async def body():
        engine = routed.platform_engine.StandInEngine(["brief"])
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.serve_from(fleet, engine)
            statuses = {}
            async with await anyio.connect_tcp(
                instances.host(9), instances.FRONT_PORT
            ):
                fleet.stops[9].set()
                await anyio.sleep(0.5)
                for deadline in ("300", "1500"):
                    async with await anyio.connect_tcp(
                        instances.host(9), instances.FRONT_PORT
                    ) as stream:
                        caller = routed.Caller(stream)
                        data = routed.request("/once/x", Deadline_Ms=deadline)
                        await caller.send(data)
                        answer = await caller.answer()
                        statuses[deadline] = answer[0]
                        if answer[0] == 503:
                            assert "retry-after" in answer[1]
            assert statuses == {"300": 200, "1500": 503}

    instances.run_test(body)


def test_stopping_control_instance_answers_the_calls_it_has_read(tmp_path):
    """Pattern: heartbeats and edits until the control instance is gone."""

    async def body():
        rng = random.Random(4)
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            (leader,) = fleet.leaders()
            other = next(n for n in instances.SEEDS if n != leader)
            await instances.put_table(leader, routed.table_document(7))
            process = fleet.processes[leader]
            assert isinstance(process, process_module.ControlProcess)
            log = ReadLog(process.server)
            callers = [
                DrainCaller(
                    instances.host(leader),
                    instances.CONTROL_PORT,
                    random.Random(rng.random()),
                    edit_request,
                    0.03,
                )
                for _ in range(CALLERS_PER_EDGE)
            ]
            async with anyio.create_task_group() as group:
                for caller in callers:
                    group.start_soon(caller.run)
                await anyio.sleep(0.2)
                group.start_soon(end_process, fleet, leader, process.server)
            cut = set().union(*(c.identifiers(CUT) for c in callers))
            assert not cut & log.identifiers
            statuses = set().union(*(c.statuses for c in callers))
            assert statuses <= {200, 503}
            answered = [c.identifiers(ANSWERED, NOT_RUN) for c in callers]
            assert len(set().union(*answered)) > 20
            status, _ = await instances.send_call(
                other, "GET", "/-/Config.Get"
            )
            assert status in (200, 503)

    instances.run_test(body)


def test_grace_is_kept_with_a_connection_that_stays_open(tmp_path):
    """Pattern: a caller holds an idle connection and never sends."""

    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await instances.put_table(2, routed.table_document(7))
            edge = fleet.edges[9]
            await instances.wait_until(lambda: edge.is_ready)
            grace_s = instances.BOUNDS.grace_ms / 1000
            async with await anyio.connect_tcp(
                instances.host(9), instances.FRONT_PORT
            ):
                began = anyio.current_time()
                await end_process(fleet, 9, edge.front)
                assert anyio.current_time() - began < grace_s

    instances.run_test(body)


class StoppableDaemon(daemon_module.Daemon):
    """A daemon that is stopped by an event and logs what it has read."""

    def __init__(self, settings):
        super().__init__(settings)
        self.stop = anyio.Event()
        self.read = set()

    async def _wait_for_signal(self):
        await self.stop.wait()

    async def app(self, scope, receive, send):
        self.read.add(dict(scope["headers"])[b"request-id"].decode())
        await anyio.sleep(0.02)
        await super().app(scope, receive, send)


@pytest.mark.parametrize("seed", range(8))
def test_daemon_drain_cuts_no_call_that_it_has_read(tmp_path, seed):
    """Pattern: few new connections until the daemon's listener is gone."""
    host, port = "127.0.0.1", routed.free_port()
    file = tmp_path / "settings.json"
    file.write_text(
        json.dumps(
            {
                "name": "g1",
                "domain": "za",
                "http": f"{host}:{port}",
                "peer": f"{host}:{routed.free_port()}",
                "secret": "s" * 20,
                "operator_keys": ["0" * 64],
                "drain_grace_s": 0,
            }
        )
    )

    async def body():
        daemon = StoppableDaemon(settings_module.load(file))
        callers = [
            DrainCaller(
                host,
                port,
                random.Random(f"{seed} {number}"),
                probe_request,
                0.06,
            )
            for number in range(2)
        ]
        async with anyio.create_task_group() as calls:
            async with anyio.create_task_group() as group:
                group.start_soon(daemon.run)
                await instances.wait_until(lambda: is_listening(host, port))
                for caller in callers:
                    calls.start_soon(caller.run)
                await anyio.sleep(0.15 + 0.01 * seed)
                daemon.stop.set()
            # The process exits now; its listener must be closed already.
            assert not is_listening(host, port)
        outcomes = [c.identifiers(ANSWERED, NOT_RUN) for c in callers]
        assert len(set().union(*outcomes)) > 2
        cut = set().union(*(c.identifiers(CUT) for c in callers))
        assert not cut & daemon.read

    instances.run_test(body)


def is_listening(host, port):
    with socket.socket() as sock:
        return sock.connect_ex((host, port)) == 0
