"""Tests of cold endpoints before a fleet of edges.

The bound is the one of docs/design/open-clients-and-load.md, section 3.
"""

import contextlib

import anyio
import httpcore
import instances
import pytest
import routed

from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch_lab import platform_engine

EDGES = (7, 8, 9, 10, 11, 12)
WINDOW_S = 1.0
PER_S = 8.0
START_S = 3.0
# With the default settings of cold_excess and cold_slack.
MOST = PER_S
# Until all edges know that an endpoint has become cold.
CONTACT_S = 0.3
SERVICE = {
    "name": "svc",
    "max_conns": 50,
    "cold_start_s": START_S,
    "cold_per_s": PER_S,
}


def most_in_window(arrivals, began_at=0.0, ended_at=float("inf")):
    """Return the most arrivals in any one second of an interval."""
    counted = [at for at in arrivals if began_at <= at < ended_at]
    return max(
        (
            sum(at <= other < at + WINDOW_S for other in counted)
            for at in counted
        ),
        default=0,
    )


class ColdFleet:
    """A fleet whose edges serve from one engine and warm others.

    Attributes:
        fleet: the control instances and edges.
        engine: the engine that is cold at times.
        others: engines that are warm all the time.
        cold_until: until when the engine is cold.
        born: the start of the engine's process.
        heard: whether the engine sends heartbeats.
        answers: (status, headers) of each answer, by edge.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.engine = platform_engine.StandInEngine(["brief"])
        self.others = []
        self.cold_until = 0.0
        self.born = 5
        self.heard = True
        self.answers = {}

    async def start(self, others=0, cold_s=0.0, service=SERVICE):
        table = routed.table_document(7, services=[service])
        await self.fleet.group.start(self.engine.run)
        for number in range(1, others + 1):
            engine = platform_engine.StandInEngine(["brief"])
            self.others.append(engine)
            await self.fleet.group.start(engine.run)
            self.fleet.group.start_soon(self._announce, engine, f"i-{number}")
        await instances.wait_until(lambda: len(self.fleet.leaders()) == 1)
        assert await instances.put_table(2, table) == 200
        self.fleet.group.start_soon(self._announce, self.engine, "i-0")
        await instances.wait_until(
            lambda: all(
                e.is_ready and len(e.balancer.endpoints) == others + 1
                for e in self.fleet.edges.values()
            )
        )
        if cold_s:
            self.become_cold(cold_s)
        if cold_s and service["cold_per_s"]:
            await instances.wait_until(
                lambda: self.cold_edges() == list(self.fleet.edges), 2
            )

    def become_cold(self, cold_s):
        self.cold_until = anyio.current_time() + cold_s

    async def _announce(self, engine, identifier):
        """Send heartbeats to any control instance that runs."""
        sequence = 1
        while True:
            sequence += 1
            number = instances.SEEDS[sequence % len(instances.SEEDS)]
            changes = {}
            if engine is self.engine:
                left_s = max(0.0, self.cold_until - anyio.current_time())
                changes = {
                    "born": self.born,
                    "cold_left_ms": round(1000 * left_s),
                }
            else:
                changes = {"cold_left_ms": 0, "zone": "z1"}
            if self.heard or engine is not self.engine:
                with contextlib.suppress(httpcore.ConnectError):
                    await instances.send_heartbeat(
                        number, engine, identifier, seq=sequence, **changes
                    )
            await anyio.sleep(0.1)

    async def call(self, edge):
        async with await anyio.connect_tcp(
            instances.host(edge), instances.FRONT_PORT
        ) as stream:
            caller = routed.Caller(stream)
            await caller.send(routed.request("/a/x"))
            status, headers, *_ = await caller.answer()
            self.answers.setdefault(edge, []).append((status, headers))

    async def press(self, edges, pause_s, for_s):
        """Send requests to edges at a steady pace."""
        ends_at = anyio.current_time() + for_s
        async with anyio.create_task_group() as group:
            while anyio.current_time() < ends_at:
                for edge in edges:
                    group.start_soon(self.call, edge)
                await anyio.sleep(pause_s)

    def statuses(self):
        return [status for a in self.answers.values() for status, _ in a]

    def cold_edges(self):
        """Return the edges that take the engine for cold."""
        now = routed.clock.now_ms()
        return [
            number
            for number, edge in self.fleet.edges.items()
            if (endpoint := edge.balancer.endpoints.get("i-0"))
            and edge.balancer.cold.is_cold(endpoint.incarnation, now)
        ]


@contextlib.asynccontextmanager
async def cold_fleet(folder, edges=EDGES, **start):
    async with instances.running_fleet(folder, edges=edges) as running:
        fleet = ColdFleet(running)
        await fleet.start(**start)
        yield fleet


# Guards against: a cold endpoint gets more requests than it tolerates,
# summed over all edges.
def test_sum_of_all_edges_spares_a_cold_endpoint(tmp_path):
    """Pattern: a burst, and no other endpoint."""

    async def body():
        async with cold_fleet(tmp_path, cold_s=60.0) as fleet:
            await fleet.press(EDGES, 0.05, 4)
            arrivals = fleet.engine.arrivals
            assert most_in_window(arrivals) <= MOST
            assert len(arrivals) >= MOST
            assert set(fleet.statuses()) == {200, 503}
            for edge_answers in fleet.answers.values():
                for status, headers in edge_answers:
                    if status == 503:
                        assert 0 < float(headers["retry-after"]) <= 1
            assert metrics.COLD_ENDPOINTS._value.get() == 1

    instances.run_test(body)


def test_warm_endpoints_serve_instead_of_a_cold_one(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, others=2, cold_s=3.5) as fleet:
            await fleet.press(EDGES, 0.05, 3)
            arrivals = fleet.engine.arrivals
            assert most_in_window(arrivals) <= MOST
            assert set(fleet.statuses()) == {200}
            # It gets its share once it is warm.
            await anyio.sleep(fleet.cold_until - anyio.current_time() + 0.3)
            began = anyio.current_time()
            await fleet.press(EDGES, 0.05, 2)
            assert sum(at >= began for at in arrivals) > 3 * MOST
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)


# Guards against: edges learn too late that an endpoint is cold again.
def test_endpoint_that_becomes_cold_again_is_spared_at_once(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, others=2) as fleet:
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.press, EDGES, 0.03, 4)
                await anyio.sleep(1)
                began = anyio.current_time()
                assert most_in_window(fleet.engine.arrivals) > 3 * MOST
                fleet.become_cold(60.0)
            arrivals = fleet.engine.arrivals
            assert most_in_window(arrivals, began + CONTACT_S) <= MOST
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)


# Guards against: an endpoint that has started again gets requests without
# limit before its first heartbeat.
def test_endpoint_that_starts_again_is_spared_from_its_first_request(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, others=2) as fleet:
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.press, EDGES, 0.03, 5)
                await anyio.sleep(1)
                fleet.heard = False
                ended = anyio.current_time()
                fleet.engine.crash.set()
                await anyio.sleep(platform_engine.RESTART_S + 0.7)
                fleet.born += 1
                fleet.become_cold(60.0)
                fleet.heard = True
            arrivals = fleet.engine.arrivals
            assert most_in_window(arrivals, ended + 0.2) <= MOST
            assert set(fleet.statuses()) <= {200, 502}
            assert fleet.cold_edges() == list(EDGES)

    instances.run_test(body)


# Guards against: an endpoint that was taken for cold by mistake stays without
# its share although its heartbeats go on.
def test_later_heartbeat_ends_a_presumption_at_all_edges(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, others=1) as fleet:
            for edge in fleet.fleet.edges.values():
                edge.balancer.presume_cold({"z0"}, routed.clock.now_ms())
            assert fleet.cold_edges() == list(EDGES)
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.press, EDGES, 0.05, 2)
                # Much sooner than without heartbeats: START_S and 3 s.
                await instances.wait_until(lambda: not fleet.cold_edges(), 2)
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)


@pytest.mark.parametrize("breaks,is_cold", [(1, False), (4, True)])
def test_connections_that_break_together_are_told_to_all_edges(
    tmp_path, breaks, is_cold
):
    async def body():
        async with cold_fleet(tmp_path, others=1) as fleet:
            edge = fleet.fleet.edges[EDGES[0]]
            endpoint = edge.balancer.endpoints["i-0"]
            fleet.heard = False
            await anyio.sleep(0.6)
            for _ in range(breaks):
                edge.balancer.cold.record_break(
                    endpoint.incarnation, routed.clock.now_ms()
                )
            await anyio.sleep(0.3)
            assert fleet.cold_edges() == (list(EDGES) if is_cold else [])

    instances.run_test(body)


# Guards against: permits of two leaders add up.
def test_bound_holds_while_the_leader_changes(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, cold_s=60.0) as fleet:
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.press, EDGES, 0.05, 8)
                await anyio.sleep(2)
                await fleet.fleet.kill(fleet.fleet.leaders()[0])
            arrivals = fleet.engine.arrivals
            assert most_in_window(arrivals) <= MOST
            ended = anyio.current_time()
            assert sum(at > ended - 3 for at in arrivals) >= MOST / 2

    instances.run_test(body)


# Guards against: an instance without a quorum issues permits.
def test_cold_endpoint_gets_nothing_without_a_majority(tmp_path):
    async def body():
        async with cold_fleet(
            tmp_path, edges=EDGES[:2], others=1, cold_s=60.0
        ) as fleet:
            for number in instances.SEEDS[:2]:
                await fleet.fleet.kill(number)
            await anyio.sleep(4)
            sent = len(fleet.engine.arrivals)
            await fleet.press(EDGES[:2], 0.03, 2)
            assert len(fleet.engine.arrivals) == sent
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)


# Guards against: an edge that is cut off sends without permits, or loses the
# endpoint for good.
def test_cut_off_edge_sends_nothing_until_the_endpoint_is_warm(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, edges=EDGES[:1], cold_s=2.5) as fleet:
            cut = fleet.fleet.edges[EDGES[0]]
            cut._handle_message = lambda sender, message: None
            await anyio.sleep(1.1)
            sent = len(fleet.engine.arrivals)
            await fleet.press(EDGES[:1], 0.05, 0.7)
            assert len(fleet.engine.arrivals) == sent
            assert set(fleet.statuses()) == {503}
            await anyio.sleep(fleet.cold_until - anyio.current_time() + 0.3)
            fleet.answers.clear()
            await fleet.press(EDGES[:1], 0.05, 0.5)
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)


# Guards against: an edge whose control instances run an earlier release
# refuses the requests to endpoints that have been running all along.
def test_edge_before_control_instances_of_an_earlier_release(tmp_path):
    async def body():
        async with instances.running_fleet(
            tmp_path, edges=EDGES[:2]
        ) as running:
            fleet = ColdFleet(running)
            for control in running.controls.values():
                run_earlier_release(control)
            await fleet.start(others=1)
            await fleet.press(EDGES[:2], 0.05, 1)
            assert set(fleet.statuses()) == {200}
            began = anyio.current_time()
            for edge in running.edges.values():
                edge.balancer.presume_cold({"z0"}, routed.clock.now_ms())
            fleet.answers.clear()
            sent = len(fleet.engine.arrivals)
            await fleet.press(EDGES[:2], 0.05, 1)
            # Without permits it gets nothing, but not for good.
            assert len(fleet.engine.arrivals) == sent
            limit_s = START_S + 4
            await instances.wait_until(lambda: not fleet.cold_edges(), limit_s)
            assert anyio.current_time() >= began + START_S

    instances.run_test(body)


def run_earlier_release(control):
    """Let a control instance ignore the fields of this feature."""

    def without_cold(limits):
        return tuple(messages.EndpointLimit(*limit[:5]) for limit in limits)

    def handle(kind):
        handler = type(control)._HANDLERS[kind]

        def handle_without_cold(self, sender, message):
            handler(self, sender, kind(without_cold(message.limits)))

        return handle_without_cold

    control._HANDLERS = {
        **type(control)._HANDLERS,
        messages.PermitRequest: handle(messages.PermitRequest),
        messages.EndpointLimits: handle(messages.EndpointLimits),
    }
    record_heartbeat = control.record_heartbeat

    def record_without_cold(record):
        record_heartbeat(record._replace(cold_left_ms=0, reports_cold=False))

    control.record_heartbeat = record_without_cold


# Guards against: an edge does not learn that an endpoint is cold if the
# message is lost with a link.
def test_edge_learns_of_a_cold_endpoint_after_a_lost_message(tmp_path):
    async def body():
        async with cold_fleet(tmp_path, edges=EDGES[:1]) as fleet:
            edge = fleet.fleet.edges[EDGES[0]]
            handle_message = edge._handle_message

            def lose(sender, message):
                if not isinstance(message, messages.EndpointUpdate):
                    handle_message(sender, message)

            edge._handle_message = lose
            fleet.become_cold(60.0)
            await anyio.sleep(1.0)
            assert fleet.cold_edges() == []
            edge._handle_message = handle_message
            name = str(instances.address(EDGES[0], instances.LINK_PORT))
            for control in fleet.fleet.controls.values():
                control._note_loss(name)
            await instances.wait_until(lambda: fleet.cold_edges(), 1)

    instances.run_test(body)


# Guards against: the limit is in force where the configuration has none.
def test_service_without_the_rate_is_not_limited(tmp_path):
    async def body():
        service = {**SERVICE, "cold_per_s": 0}
        async with cold_fleet(tmp_path, cold_s=60.0, service=service) as fleet:
            await fleet.press(EDGES, 0.05, 2)
            assert most_in_window(fleet.engine.arrivals) > 3 * MOST
            assert set(fleet.statuses()) == {200}

    instances.run_test(body)
