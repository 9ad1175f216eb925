"""Tests of streams while endpoints of several software versions serve.

What two versions write does not fit together, so a stream goes on only at
the version that began it: within one answer and over a caller's attempts.
"""

import re

import anyio
import instances
import routed

from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine
EDGES = (7, 8, 9)
EVENTS = 12
BREAK_AFTER_S = 0.2
OLD, NEW = "v1", "v2"


def versions_in(body):
    """Return the versions whose events a stream holds."""
    return set(re.findall(rb"data: (\S+)", body))


def set_version(edge, number, version):
    """Announce an endpoint's version to an edge without control."""
    record = edge.balancer.endpoints[f"i-{number}"].record
    edge.balancer.update_endpoint(record._replace(version=version), 0)


# Guards against: a stream that fails over goes on at another software
# version than the one that began it (incident inc1, ORDER).
def test_failover_keeps_the_version_of_a_stream():
    async def body():
        for _ in range(6):
            first = Engine(["torn_event"], version=OLD)
            others = [Engine(["stream"], version=v) for v in (NEW, NEW, OLD)]
            async with routed.running_edge(first, *others) as edge:
                for number, engine in enumerate((first, *others)):
                    set_version(edge, number, engine.version)
                    edge.balancer.endpoints[f"i-{number}"].mean_call_ms = 400
                edge.balancer.endpoints["i-0"].mean_call_ms = 1
                response = await routed.send_request(
                    edge, routed.request("/resume/x")
                )
                assert response[3] and versions_in(response[2]) == {b"v1"}

    instances.run_test(body)


def test_stream_is_cut_where_its_version_has_no_other_endpoint():
    """Pattern: the last endpoint of the old version ends."""

    async def body():
        first = Engine(["torn_event"], version=OLD)
        other = Engine(["stream"], version=NEW)
        async with routed.running_edge(first, other) as edge:
            set_version(edge, 0, OLD)
            set_version(edge, 1, NEW)
            edge.balancer.endpoints["i-1"].mean_call_ms = 400
            response = await routed.send_request(
                edge, routed.request("/resume/x")
            )
            assert not response[3] and versions_in(response[2]) == {b"v1"}

    instances.run_test(body)


class VersionedFleet:
    """A fleet of edges before engines of two software versions.

    Attributes:
        fleet: the control instances and edges.
        engines: the engines, by number.
        versions: versions whose events each caller's stream holds.
        resumed: status of each resumed stream.
        completed: how many resumed streams were received to their end.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.engines = []
        self.versions = []
        self.resumed = []
        self.completed = 0

    async def start(self, versions):
        for version in versions:
            engine = Engine(["paced_stream"], EVENTS, version=version)
            self.engines.append(engine)
        first, *others = self.engines
        await instances.serve_from(self.fleet, first)
        for engine in others:
            await self.fleet.group.start(engine.run)
        for number in range(len(self.engines)):
            self.fleet.group.start_soon(self._announce, number)
        await self.until_known()

    async def until_known(self):
        await instances.wait_until(
            lambda: all(
                e.is_ready
                and sum(
                    bool(known.record.version)
                    for known in e.balancer.endpoints.values()
                )
                == len(self.engines)
                for e in self.fleet.edges.values()
            )
        )

    async def _announce(self, number):
        sequence = 1
        while True:
            sequence += 1
            engine = self.engines[number]
            await instances.send_heartbeat(
                instances.SEEDS[0],
                engine,
                f"i-{number}",
                seq=sequence,
                version=engine.version,
            )
            await anyio.sleep(0.1)

    async def begin(self, edge, identifier):
        """Begin a stream, and return the events of its first moments."""
        caller = await self._connect(edge)
        async with caller.stream:
            await caller.send(
                routed.request(
                    "/resume/x", identifier=identifier, Deadline_Ms="9000"
                )
            )
            with anyio.move_on_after(BREAK_AFTER_S):
                await caller.answer()
            return caller.chunks

    async def _connect(self, edge):
        return routed.Caller(
            await anyio.connect_tcp(instances.host(edge), instances.FRONT_PORT)
        )

    async def resume(self, edge, identifier, body, **headers):
        """Resume a stream of which a part was received."""
        request = routed.request(
            "/resume/x",
            identifier=f"{identifier}-again",
            Deadline_Ms="6000",
            Last_Event_Id=str(body.count(b"\n\n")),
            **headers,
        )
        caller = await self._connect(edge)
        async with caller.stream:
            await caller.send(request)
            status, _, rest, whole = await caller.answer()
        self.versions.append(versions_in(body + rest))
        self.resumed.append(status)
        self.completed += status == 200 and whole

    async def break_off(self, count):
        """Begin streams and kill all edges under them; return the parts."""
        parts = {}

        async def begin(number):
            edge = EDGES[number % len(EDGES)]
            parts[number] = await self.begin(edge, f"s{number}")

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(begin, number)
        for edge in EDGES:
            await self.fleet.kill(edge)
        return parts

    async def resume_all(self, parts):
        async with anyio.create_task_group() as group:
            for number, body in parts.items():
                if body:
                    edge = EDGES[(number + 1) % len(EDGES)]
                    group.start_soon(
                        lambda e=edge, n=number, b=body: self.resume(
                            e, f"s{n}", b, Resumes=f"s{n}"
                        )
                    )


# Guards against: callers whose streams broke off when all edges were killed
# resume them at another software version (report of joined streams).
def test_streams_resumed_after_all_edges_were_killed_keep_their_version(
    tmp_path,
):
    async def body():
        async with instances.running_fleet(tmp_path, edges=EDGES) as running:
            fleet = VersionedFleet(running)
            await fleet.start((OLD, OLD, NEW, NEW))
            parts = await fleet.break_off(24)
            assert sum(bool(part) for part in parts.values()) >= 20
            for edge in EDGES:
                running.start_edge(edge)
            await fleet.until_known()
            await fleet.resume_all(parts)
            assert all(len(versions) == 1 for versions in fleet.versions)
            assert fleet.completed == len(fleet.versions) >= 20

    instances.run_test(body)
