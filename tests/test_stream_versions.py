"""Tests of streams while endpoints of several software versions serve.

What two versions write does not fit together, so a stream goes on only at
the version that began it: within one answer and over a caller's attempts.
"""

import re

import anyio
import instances
import pytest
import routed

from primrosehitch import messages
from primrosehitch import streamorigins
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


# Resumptions whose origin is not known, after a stream that attempt 1 began.
UNKNOWN_STREAMS = {
    "never seen": {"Resumes": "0"},
    "not named": {},
    "two attempts": {"Resumes": "1\r\nResumes: 2"},
    "a list": {"Resumes": "1, 2"},
    "no event": {"Resumes": "0", "Last_Event_Id": ""},
    "of another customer": {"Resumes": "1", "Credential": "b" * 20},
}


@pytest.mark.parametrize("case", UNKNOWN_STREAMS)
def test_stream_of_unknown_version_is_refused_as_not_run(case):
    """A single version now does not mean that no other began the stream."""

    async def body():
        engine = Engine(["stream"], version=OLD)
        tenants = [
            {"name": "ana", "api_keys": [routed.KEY]},
            {"name": "bea", "api_keys": ["b" * 20]},
        ]
        table = routed.decode_table(tenants=tenants)
        async with routed.running_edge(engine, table=table) as edge:
            await routed.send_request(
                edge, routed.request("/resume/x", identifier="1")
            )
            headers = {"Last_Event_Id": "2", **UNKNOWN_STREAMS[case]}
            status, answered, *_ = await routed.send_request(
                edge, routed.request("/resume/x", **headers)
            )
            assert status == 503 and float(answered["retry-after"]) > 0
            assert len(engine.seen) == 1

    instances.run_test(body)


def test_resumption_of_a_resumption_keeps_the_version():
    """The second one may name either of the attempts before it."""

    async def body():
        old = Engine(["torn_event", "torn_event", "stream"], 9, version=OLD)
        new = Engine(["stream"], 9, version=NEW)
        async with routed.running_edge(old, new) as edge:
            set_version(edge, 0, OLD)
            set_version(edge, 1, NEW)
            edge.balancer.endpoints["i-1"].mean_call_ms = 400
            received = b""
            for identifier, resumes in (("1", ""), ("2", "1"), ("3", "2")):
                edge.balancer.endpoints["i-0"].ejected_until = 0
                response = await routed.send_request(
                    edge,
                    routed.request(
                        "/resume/x",
                        identifier=identifier,
                        Resumes=resumes,
                        Last_Event_Id=str(received.count(b"\n\n") or ""),
                    ),
                )
                received += response[2]
            assert response[3] and received.count(b"\n\n") == 9
            assert versions_in(received) == {b"v1"}

    instances.run_test(body)


def test_identifier_that_comes_back_with_another_version_is_another_one():
    """A version belongs to an incarnation, not to an identifier."""

    async def body():
        engine = Engine(["stream"], version=OLD)
        async with routed.running_edge(engine) as edge:
            set_version(edge, 0, OLD)
            await routed.send_request(
                edge, routed.request("/resume/x", identifier="1")
            )
            record = edge.balancer.endpoints["i-0"].record
            edge.balancer.update_endpoint(
                record._replace(born=record.born + 1, version=NEW), 0
            )
            status, *_ = await routed.send_request(
                edge,
                routed.request("/resume/x", Last_Event_Id="2", Resumes="1"),
            )
            assert status == 503 and len(engine.seen) == 1

    instances.run_test(body)


def test_resumption_goes_to_the_service_that_began_the_stream():
    """Pattern: the route divides its requests among two services."""

    async def body():
        document = routed.table_document()
        for route in document["routes"]:
            if route["path_prefix"] == "/resume/":
                del route["service"]
                route["split"] = [
                    {"service": "svc", "weight": 1},
                    {"service": "other", "weight": 1},
                ]
        document["services"].append({"name": "other", "max_conns": 50})
        table = routed.decode_table(**document)
        engines = [Engine(["stream"], version=v) for v in ("svc", "other")]
        async with routed.running_edge(*engines, table=table) as edge:
            record = edge.balancer.endpoints["i-1"].record
            edge.balancer.update_endpoint(record._replace(service="other"), 0)
            for number in range(20):
                first = await routed.send_request(
                    edge, routed.request("/resume/x", identifier=f"a{number}")
                )
                rest = await routed.send_request(
                    edge,
                    routed.request(
                        "/resume/x", Resumes=f"a{number}", Last_Event_Id="2"
                    ),
                )
                assert rest[2] and len(versions_in(first[2] + rest[2])) == 1

    instances.run_test(body)


def origin_item(stream, version, ttl_ms=1000):
    return messages.StreamOrigin(stream, "svc", version, ttl_ms)


def test_identifier_used_for_two_versions_has_no_origin():
    """Whichever of the two comes first, and at every instance."""
    one, other = origin_item("a", OLD), origin_item("a", NEW)
    for items in ((one, other), (other, one)):
        table, copy = streamorigins.OriginTable(), streamorigins.OriginTable()
        for item in items:
            table.put(item, 0)
        copy.put(one, 0)
        for item in table.items(0):
            copy.put(item, 0)
        assert table.find("a", 0) is None and copy.find("a", 0) is None


def test_origins_are_bounded_in_time_and_number():
    table = streamorigins.OriginTable()
    for number in range(streamorigins.MAX_ORIGINS + 5):
        table.put(origin_item(str(number), OLD, 1000 + number), 0)
    assert len(table.entries) == streamorigins.MAX_ORIGINS
    assert table.find("4", 0) is None
    assert table.find("5", 1004) == ("svc", OLD)
    assert table.find("5", 1005) is None
    table.remove_expired(1005)
    assert table.find("6", 1005) == ("svc", OLD)
    assert len(table.entries) == streamorigins.MAX_ORIGINS - 1


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


def test_origin_outlives_the_control_instance_that_first_knew_it(tmp_path):
    """Pattern: all edges and then their control instance are killed."""

    async def body():
        async with instances.running_fleet(tmp_path, edges=EDGES) as running:
            fleet = VersionedFleet(running)
            await fleet.start((OLD, NEW, NEW))
            parts = await fleet.break_off(12)
            await running.kill(instances.SEEDS[1])
            for edge in EDGES:
                running.start_edge(edge)
            await fleet.until_known()
            await fleet.resume_all(parts)
            assert all(len(versions) == 1 for versions in fleet.versions)
            assert fleet.completed == len(fleet.versions) >= 10

    instances.run_test(body)


def test_origin_is_told_to_a_control_instance_that_starts_again(tmp_path):
    """Pattern: control instances restart in turn while edges run."""

    async def body():
        async with instances.running_fleet(tmp_path, edges=EDGES) as running:
            fleet = VersionedFleet(running)
            await fleet.start((OLD, NEW))
            part = await fleet.begin(EDGES[0], "s1")
            stream = streamorigins.stream_key(b"s1", "ana")
            for number in instances.SEEDS[1:]:
                await running.kill(number)
                running.start_control(number)
                control = running.controls[number]
                await instances.wait_until(
                    lambda c=control: stream in c.origins.entries
                )
            await fleet.resume(EDGES[1], "s1", part, Resumes="s1")
            assert len(fleet.versions[0]) == 1 and fleet.completed == 1

    instances.run_test(body)
