"""Tests of an edge's refusals for lack of room, against stand-in engines."""

import anyio
import routed

from primrosehitch import balancer
from primrosehitch import metrics
from primrosehitch import overloadcontrol
from primrosehitch import room
from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine


def run(body):
    anyio.run(body, backend_options={"use_uvloop": True})


def fill(edge, waiting=40):
    """Make the edge know that its only engine has a long queue.

    The engine runs 8 calls of 400 ms, and this edge's last calls waited for
    2 s.
    """
    now = routed.clock.now_ms()
    endpoint = edge.balancer.endpoints["i-0"]
    load = balancer.ReportedLoad(8, waiting, 8, now + 2000)
    endpoint.record_reported_load(load)
    control = edge.forwarder.overload
    control.demand.totals_at = now
    for _ in range(10):
        control.demand.record_sent("svc", 1, now - 2000)
        control.demand.record_first("svc", 1, now - 2000, now)
        control.demand.record_end("svc", 1, 400, 0, now)
    scarcity = control.scarcity["svc"] = room.Scarcity()
    for at in (now - 400, now):
        scarcity.update(room.Room(8, 0, waiting), at)
    state = control.states["svc", 1] = overloadcontrol.TierState()
    state.record_admission(control.demand.ended["svc"], now)


# Guards against: a request that cannot be answered in time is sent, or its
# refusal comes late, says that it may have run or does not say when to return.
def test_request_without_room_is_refused_at_once(log_lines):
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            fill(edge)
            began_at = anyio.current_time()
            status, headers, content, _ = await routed.send_request(
                edge, routed.request("/once/x")
            )
            assert anyio.current_time() - began_at < 0.2
            assert (status, content) == (503, b'{"error":"overloaded"}')
            headers = {k.lower(): v for k, v in dict(headers).items()}
            assert 0 < float(headers["retry-after"]) <= 2.0 / 3 + 2
            assert not engine.seen
            assert edge.forwarder.gate.in_flight["svc"] == 0
            assert edge.counted_requests() == {}

    sample = "primrosehitch_overload_refusals_total"
    labels = {"service": "svc", "tier": "1", "cause": "deadline"}
    before = metrics.prometheus_client.REGISTRY.get_sample_value
    count = before(sample, labels) or 0
    run(body)
    assert before(sample, labels) == count + 1
    (line,) = [x for x in log_lines if x.get("event") == 1422]
    assert line["request_id"] == "77" and line["cause"] == "deadline"
    assert line["taken"].startswith("1:") and line["queue"] >= 40
    assert line["predicted_ms"] > line["limit_ms"]
    assert not [x for x in log_lines if x.get("event") == 1411]


def test_request_is_sent_once_the_queue_is_gone():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            fill(edge)
            endpoint = edge.balancer.endpoints["i-0"]
            endpoint.record_reported_load(
                balancer.ReportedLoad(2, 0, 8, routed.clock.now_ms())
            )
            response = await routed.send_request(
                edge, routed.request("/once/x")
            )
            assert response[0] == 200

    run(body)


# Guards against: attempts that end without an answer stay counted as demand.
def test_demand_is_counted_off_whatever_the_outcome():
    async def body():
        engines = [Engine(["cut"]), Engine(["full"]), Engine(["good"])]
        async with routed.running_edge(*engines) as edge:
            for _ in range(6):
                await routed.send_request(edge, routed.request("/a/x"))
            tier = edge.forwarder.overload.demand.tier("svc", 1)
            assert tier.unanswered == 0 and tier.sent_sum == 0
            assert tier.arrivals.count > 5 and tier.holds.count >= 1

    run(body)


# Guards against: a malformed load report ends the use of the endpoint, or
# fills the log.
def test_malformed_load_is_logged_once(log_lines):
    class OddEngine(Engine):
        async def _play_good(self, stream, seen):
            headers = self._echo(seen) + platform_engine.STAMP
            await stream.send(
                b"HTTP/1.1 200 OK\r\nServer-Load: 3,1\r\n"
                + headers
                + b"Content-Length: 4\r\n\r\ndone"
            )
            return True

    async def body():
        async with routed.running_edge(OddEngine(["good"])) as edge:
            for _ in range(5):
                response = await routed.send_request(
                    edge, routed.request("/a/x")
                )
                assert response[0] == 200
            assert edge.balancer.endpoints["i-0"].reported_load is None

    run(body)
    (line,) = [x for x in log_lines if x.get("event") == 1421]
    assert (line["endpoint"], line["value"]) == ("i-0", "3,1")
