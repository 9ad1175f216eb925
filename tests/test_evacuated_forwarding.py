"""Requests and streams under way when their domain is evacuated."""

import anyio
import instances
import routed

from primrosehitch import httpclient
from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine


def set_domain(edge, number, domain):
    identifier = f"i-{number}"
    record = edge.balancer.endpoints[identifier].record
    edge.balancer.update_endpoint(record._replace(domain=domain), 0)


def evacuate(edge, *domains):
    edge.balancer.set_evacuated(domains)
    edge.forwarder.notify_routing_change()


def prefer(edge, number):
    for identifier, endpoint in edge.balancer.endpoints.items():
        preferred = identifier == f"i-{number}"
        endpoint.mean_call_ms = 1 if preferred else 500


def test_request_is_refused_at_once_if_only_evacuated_endpoints_are_left():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            evacuate(edge, "za")
            for target in ("/a/x", "/once/x", "/stream/x"):
                began = anyio.current_time()
                status, headers, got, _ = await routed.send_request(
                    edge, routed.request(target)
                )
                assert (status, got) == (503, b'{"error":"evacuated"}')
                assert float(headers["retry-after"]) > 0
                assert anyio.current_time() < began + 0.3
            assert not engine.seen
            evacuate(edge)
            answer = await routed.send_request(edge, routed.request("/a/x"))
            assert answer[0] == 200

    instances.run_test(body)


# Guards against: a request that waits for an endpoint as the domain is
# evacuated waits on until its time is over, or is sent there.
def test_request_that_waits_is_refused_once_the_domain_is_evacuated():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            endpoint = edge.balancer.endpoints["i-0"]
            endpoint.connections = endpoint.inflight = 3
            async with anyio.create_task_group() as group:
                answers = []

                async def send():
                    answers.append(
                        await routed.send_request(edge, routed.request("/a/x"))
                    )
                    assert anyio.current_time() < evacuated_at + 0.2

                group.start_soon(send)
                await anyio.sleep(0.1)
                evacuated_at = anyio.current_time()
                evacuate(edge, "za")
            assert answers[0][2] == b'{"error":"evacuated"}'
            assert not engine.seen

    instances.run_test(body)


# Guards against: a request that was waiting for its connection as the domain
# was evacuated is sent there.
def test_request_that_waits_for_its_connection_goes_elsewhere(monkeypatch):
    connect = httpclient.connect

    async def connect_slowly(address, timeout_ms):
        connection = await connect(address, timeout_ms)
        await anyio.sleep(0.1)
        return connection

    monkeypatch.setattr(httpclient, "connect", connect_slowly)

    async def body():
        first, other = Engine(["good"]), Engine(["good"])
        async with routed.running_edge(first, other) as edge:
            set_domain(edge, 1, "zb")
            for target in ("/a/x", "/once/x"):
                evacuate(edge)
                prefer(edge, 0)
                async with anyio.create_task_group() as group:
                    answers = []

                    async def send(target=target, answers=answers):
                        answers.append(
                            await routed.send_request(
                                edge, routed.request(target)
                            )
                        )

                    group.start_soon(send)
                    await anyio.sleep(0.05)
                    evacuate(edge, "za")
                assert answers[0][0] == 200
            assert not first.seen and len(other.seen) == 2

    instances.run_test(body)


# Guards against: an evacuation ends streams under way.
def test_stream_under_way_goes_on():
    async def body():
        first, other = Engine(["paced_stream"], 20), Engine(["stream"], 20)
        async with routed.running_edge(first, other) as edge:
            set_domain(edge, 1, "zb")
            prefer(edge, 0)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/resume/x"))
                await anyio.sleep(0.2)
                evacuate(edge, "za")
                status, _, got, whole = await caller.answer()
            assert status == 200 and whole and got.count(b"id:") == 20
            assert len(first.seen) == 1 and not other.seen

    instances.run_test(body)


# Guards against: a stream that breaks goes on in the evacuated domain.
def test_stream_that_breaks_resumes_in_another_domain():
    async def body():
        first = Engine(["slow_stream"], 20)
        second, other = Engine(["stream"], 20), Engine(["stream"], 20)
        async with routed.running_edge(first, second, other) as edge:
            set_domain(edge, 2, "zb")
            prefer(edge, 0)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/resume/x"))
                await anyio.sleep(0.2)
                assert len(first.seen) == 1
                evacuate(edge, "za")
                edge.balancer.endpoints["i-1"].mean_call_ms = 1
                first.crash.set()
                status, _, got, whole = await caller.answer()
            assert status == 200 and whole and got.count(b"id:") == 20
            assert not second.seen and len(other.seen) == 1

    instances.run_test(body)


def test_stream_that_breaks_ends_if_only_evacuated_endpoints_are_left():
    async def body():
        first, second = Engine(["slow_stream"], 20), Engine(["stream"], 20)
        async with routed.running_edge(first, second) as edge:
            prefer(edge, 0)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/resume/x"))
                await anyio.sleep(0.2)
                evacuate(edge, "za")
                first.crash.set()
                status, _, got, whole = await caller.answer()
            assert status == 200 and not whole and b"id: 1\n" in got
            assert not second.seen

    instances.run_test(body)


# Guards against: a retry goes to the evacuated domain.
def test_retry_of_a_failed_request_goes_elsewhere():
    async def body():
        first, second = Engine(["slow", "good"]), Engine(["good"])
        other = Engine(["good"])
        first.behaviours.clear()
        first.behaviours.append("silent_close")
        async with routed.running_edge(first, second, other) as edge:
            set_domain(edge, 2, "zb")
            prefer(edge, 0)
            async with anyio.create_task_group() as group:
                answers = []

                async def send():
                    answers.append(
                        await routed.send_request(edge, routed.request("/a/x"))
                    )

                group.start_soon(send)
                await anyio.sleep(0.02)
                evacuate(edge, "za")
            assert answers[0][0] == 200
            assert len(first.seen) == 1 and not second.seen
            assert len(other.seen) == 1

    instances.run_test(body)
