"""Tests of request forwarding on an edge, against faulty engines.

Each test runs an edge on loopback in front of stand-in engines that play
scripted faults.
"""

import asyncio
import json
import socket
import struct

import anyio
import pytest
import routed

from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine
UPLOAD_BYTES = 3_000_000


def run(body):
    anyio.run(body, backend_options={"use_uvloop": True})


# The fault of the first engine, the request's target, the status that the
# caller receives, and how often the second, healthy engine is reached.
SINGLE_FAULT_CASES = [
    ("good", "/a/x", 200, 0),
    ("error", "/a/x", 200, 1),
    ("error", "/once/x", 500, 0),
    ("full", "/a/x", 200, 1),
    ("full", "/once/x", 200, 1),
    ("elsewhere", "/once/x", 200, 1),
    ("cut", "/a/x", 200, 1),
    ("cut", "/once/x", 502, 0),
    ("close", "/a/x", 200, 1),
    ("close", "/once/x", 502, 0),
    ("noise", "/a/x", 200, 1),
    ("noise", "/once/x", 502, 0),
    ("unsigned", "/a/x", 200, 1),
    ("unsigned", "/once/x", 502, 0),
    ("no_length", "/once/x", 200, 0),
    ("other_first", "/once/x", 200, 0),
]


@pytest.mark.parametrize("fault,target,status,second", SINGLE_FAULT_CASES)
def test_single_engine_fault(fault, target, status, second):
    async def body():
        bad, good = Engine([fault, "good"]), Engine(["good"])
        async with routed.running_edge(bad, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(edge, routed.request(target))
            assert (response[0], response[3]) == (status, True)
            assert len(good.seen) == second
            assert len(bad.seen) == 1

    run(body)


def test_responses_to_other_requests_are_discarded():
    """A late response to another request must not reach this caller."""

    async def body():
        engine = Engine(["other_first", "good"])
        async with routed.running_edge(engine) as edge:
            for _ in range(2):
                response = await routed.send_request(
                    edge, routed.request("/once/x")
                )
                assert response[2] == b"done"
            assert engine.connections == 2

    run(body)


def test_duplicate_response_closes_the_connection():
    """The copy must not be taken for the response to the next request."""

    async def body():
        engine = Engine(["extra", "good"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                for _ in range(2):
                    await caller.send(routed.request("/once/x"))
                    response = await caller.answer()
                    assert response[2] == b"done"
            assert engine.connections == 2

    run(body)


def test_connections_are_reused():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            for _ in range(5):
                await routed.send_request(edge, routed.request("/a/x"))
            assert engine.connections == 1

    run(body)


def test_headers_and_body_sent_to_the_engine():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            await routed.send_request(
                edge,
                routed.request(
                    "/a/x?q=%2F1",
                    "POST",
                    b"body",
                    Tenant="mallory",
                    Hold="h",
                    Pin_Ms="1",
                    Kv_From="x",
                    Kv_Backup="y",
                    Expect_Instance="z",
                    Connection="keep-alive, x-hop",
                    X_Hop="1",
                    X_Plain="2",
                ),
            )
            seen = engine.seen[0]
            assert seen.line == "POST /a/x?q=%2F1 HTTP/1.1"
            assert seen.body == b"body"
            assert seen.headers["tenant"] == "ana"
            assert seen.headers["request-id"] == "77"
            assert seen.headers["expect-instance"] == "i-0"
            assert seen.headers["x-plain"] == "2"
            assert 1000 < int(seen.headers["deadline-ms"]) <= 1500
            for name in (
                "credential",
                "hold",
                "pin-ms",
                "kv-from",
                "kv-backup",
                "x-hop",
                "connection",
            ):
                assert name not in seen.headers

    run(body)


@pytest.mark.parametrize(
    "change,status",
    [
        ({"Credential": "wrong"}, 401),
        ({"Credential": ""}, 401),
        ({"Host": "other.example"}, 404),
        ({"target": "/none/x"}, 404),
        ({"target": "/open/x", "Credential": ""}, 200),
        ({"Host": "SHOP.example:80"}, 200),
    ],
)
def test_route_matching_and_authentication(change, status):
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            response = await routed.send_request(
                edge, routed.request(**change)
            )
            assert response[0] == status
            assert len(engine.seen) == (status == 200)

    run(body)


def test_request_without_a_table_is_refused():
    async def body():
        async with routed.running_edge(Engine(["good"])) as edge:
            edge.forwarder.table = None
            with anyio.fail_after(1.2):
                response = await routed.send_request(edge, routed.request())
            assert response[0] == 503
            assert float(response[1]["retry-after"]) > 0

    run(body)


def test_request_waits_for_the_first_table():
    """When all machines start at once, callers arrive before the table.

    Such a request must wait for the table and for an endpoint; it must not
    be refused.
    """

    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            table, edge.forwarder.table = edge.forwarder.table, None
            ready_record = edge.balancer.endpoints["i-0"].record
            edge.balancer.update_endpoint(
                ready_record._replace(state="left"), 0
            )

            async def start():
                await anyio.sleep(0.1)
                edge.forwarder.table = table
                edge.forwarder.notify_routing_change()
                await anyio.sleep(0.1)
                edge.balancer.update_endpoint(ready_record, 0)
                edge.forwarder.notify_routing_change()

            async with anyio.create_task_group() as group:
                group.start_soon(start)
                response = await routed.send_request(
                    edge, routed.request("/once/x")
                )
            assert response[0] == 200

    run(body)


def test_request_without_endpoints_is_refused_early():
    async def body():
        async with routed.running_edge() as edge:
            with anyio.fail_after(0.8):
                response = await routed.send_request(edge, routed.request())
            assert response[0] == 503
            assert "retry-after" in response[1]

    run(body)


def test_rejection_by_all_engines_returns_503():
    async def body():
        engines = [Engine(["full"]), Engine(["full"])]
        async with routed.running_edge(*engines) as edge:
            response = await routed.send_request(
                edge, routed.request("/once/x")
            )
            assert response[0] == 503
            assert "response-stamp" not in response[1]
            assert sum(len(e.seen) for e in engines) == 2

    run(body)


def test_rejection_after_a_failure_returns_502():
    """The first engine may have run the request, so 503 would be wrong."""

    async def body():
        first, second = Engine(["close"]), Engine(["full"])
        async with routed.running_edge(first, second) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(edge, routed.request("/a/x"))
            assert response[0] == 502

    run(body)


@pytest.mark.parametrize("behaviour,status", [("silent", 504), ("slow", 504)])
def test_route_timeout(behaviour, status):
    async def body():
        engine = Engine([behaviour])
        async with routed.running_edge(engine) as edge:
            start_time = anyio.current_time()
            response = await routed.send_request(
                edge, routed.request("/brief/x")
            )
            assert response[0] == status
            assert 0.1 < anyio.current_time() - start_time < 0.35

    run(body)


def test_caller_disconnect_cancels_the_engine_request():
    async def body():
        engine = Engine(["silent"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/once/x"))
                while not engine.seen:
                    await anyio.sleep(0.01)
            with anyio.fail_after(0.5):
                while not engine.cancelled:
                    await anyio.sleep(0.01)
            assert edge.balancer.endpoints["i-0"].inflight == 0
            assert edge.forwarder.gate.in_flight == {"svc": 0}

    run(body)


EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(1, 5)]


def test_resumable_stream_fails_over():
    async def body():
        failing, good = Engine(["torn_event"]), Engine(["stream"])
        async with routed.running_edge(failing, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(
                edge, routed.request("/resume/x")
            )
            assert response[2] == b"".join(EVENTS)
            assert response[3]
            assert good.seen[0].headers["last-event-id"] == "2"

    run(body)


def test_non_resumable_stream_is_aborted():
    async def body():
        failing, good = Engine(["torn_event"]), Engine(["stream"])
        async with routed.running_edge(failing, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(
                edge, routed.request("/stream/x")
            )
            assert (response[0], response[3]) == (200, False)
            assert not good.seen

    run(body)


async def end_of_connection(edge, data):
    """Return all that a caller gets, and the error that ends it, if any."""
    reader, writer = await asyncio.open_connection("127.0.0.1", edge.port)
    received = b""
    try:
        writer.write(data)
        while part := await reader.read(65536):
            received += part
    except ConnectionError as exc:
        return received, exc
    finally:
        writer.close()
    return received, None


# Guards against: a response that is broken off ends like a regular one for a
# caller that reads until the connection is closed (review/6).
@pytest.mark.parametrize(
    "behaviour,target",
    [("torn_event", "/stream/x"), ("large_cut", "/a/x")],
)
def test_response_that_is_broken_off_ends_with_a_reset(behaviour, target):
    async def body():
        async with routed.running_edge(Engine([behaviour])) as edge:
            received, error = await end_of_connection(
                edge, routed.request(target)
            )
            assert received.startswith(b"HTTP/1.1 200 ")
            assert isinstance(error, ConnectionResetError)

    run(body)


# A caller may take a reset before any response for a request not read.
def test_connection_without_a_response_is_closed_regularly():
    async def body():
        async with routed.running_edge(Engine(["good"])) as edge:

            async def fail(request, responder):
                raise ValueError("no response")

            edge.server.handler = fail
            received, error = await end_of_connection(edge, routed.request())
            assert (received, error) == (b"", None)

    run(body)


# Guards against: an event that is read but not passed on, as its endpoint has
# been replaced, is missing from the stream that goes on elsewhere (ORDER).
@pytest.mark.parametrize("born", [2, 3])
def test_stream_of_a_replaced_endpoint_goes_on_without_a_hole(born):
    async def body():
        old, other = Engine(["paced_stream"], 9), Engine(["stream"], 9)
        async with routed.running_edge(old, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            record = edge.balancer.endpoints["i-0"].record

            async def replace():
                await anyio.sleep(0.1)
                edge.balancer.update_endpoint(record._replace(born=born), 0)

            async with anyio.create_task_group() as group:
                group.start_soon(replace)
                response = await routed.send_request(
                    edge, routed.request("/resume/x")
                )
            events = [b"id: %d\ndata: x\n\n" % n for n in range(1, 10)]
            assert response[2:] == (b"".join(events), True)
            assert other.seen

    run(body)


GARBAGE = [
    b"data: of no run\n\n",
    b"id:\ndata: of no run\n\n",
    b"id: 1\ndata: x\n\n",
    b"\x00\xff garbage\r\n\r\n",
]


# Guards against: a caller gets a block that no run made as an event.
@pytest.mark.parametrize("garbage", GARBAGE)
@pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
def test_garbage_in_a_stream_reaches_no_caller(garbage, path):
    async def body():
        garbling, good = Engine(["garbled_stream"]), Engine(["stream"])
        garbling.garbage = garbage
        async with routed.running_edge(garbling, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(edge, routed.request(path))
            resumable = path == "/resume/x"
            expected = EVENTS if resumable else EVENTS[:2]
            assert response[2] == b"".join(expected)
            # A stream that cannot go on must not look complete.
            assert response[3] == resumable
            assert len(good.seen) == resumable
            assert edge.balancer.endpoints["i-0"].consecutive_failures == 1

    run(body)


# Guards against: garbage at the very start becomes the stream's first event.
def test_stream_that_begins_with_garbage_begins_elsewhere():
    async def body():
        garbling, good = Engine(["garbled_start"]), Engine(["stream"])
        async with routed.running_edge(garbling, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            request = routed.request("/resume/x")
            response = await routed.send_request(edge, request)
            assert (response[0], response[3]) == (200, True)
            assert response[2] == b"".join(EVENTS)
            garbled = routed.request("/stream/x", identifier="78")
            edge.balancer.endpoints["i-1"].mean_call_ms = 5000
            edge.balancer.end_ejections("svc")
            response = await routed.send_request(edge, garbled)
            assert response[0] == 502

    run(body)


def test_no_other_answer_follows_in_the_middle_of_a_stream():
    """The engine that is to go on answers with a failure of its own."""

    async def body():
        failing, other = Engine(["torn_event"]), Engine(["unknown"])
        async with routed.running_edge(failing, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(
                edge, routed.request("/resume/x")
            )
            assert not response[3] and b"HTTP/1.1" not in response[2]
            assert len(other.seen) == 1

    run(body)


def test_caller_resumes_a_stream():
    async def body():
        engine = Engine(["stream"])
        async with routed.running_edge(engine) as edge:
            await routed.send_request(
                edge, routed.request("/resume/x", identifier="1")
            )
            response = await routed.send_request(
                edge,
                routed.request("/resume/x", Last_Event_Id="2", Resumes="1"),
            )
            assert response[2] == b"".join(EVENTS[2:])

    run(body)


def test_failed_over_stream_is_counted_once():
    """A stream that two engines served is one request for the customer."""

    async def body():
        failing, good = Engine(["torn_event"]), Engine(["stream"])
        async with routed.running_edge(failing, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            await routed.send_request(edge, routed.request("/resume/x"))
            assert edge.counted_requests() == {"ana": 1}

    run(body)


def test_rejected_request_is_not_counted():
    async def body():
        async with routed.running_edge(Engine(["full"])) as edge:
            await routed.send_request(edge, routed.request("/once/x"))
            assert edge.counted_requests() == {}

    run(body)


def test_retries_stay_within_the_budget():
    async def body():
        engines = [Engine(["error"]), Engine(["error"])]
        async with routed.running_edge(*engines) as edge:
            edge.budget.slack = 3
            for _ in range(10):
                await routed.send_request(edge, routed.request("/a/x"))
            arrivals = sum(len(e.seen) for e in engines)
            assert arrivals - 10 <= 3 + 0.2 * 10

    run(body)


def test_connection_failure_uses_no_attempt():
    """Nothing was sent to an unreachable endpoint, so it is no attempt."""

    async def body():
        good = Engine(["good"])
        table = routed.table_document()
        for route in table["routes"]:
            route["max_attempts"] = 1
        table = routed.tables.decode(json.dumps(table).encode())
        async with routed.running_edge(good, table=table) as edge:
            dead = routed.endpoint_record(good, 9)._replace(
                address=f"127.0.0.1:{routed.free_port()}"
            )
            edge.balancer.update_endpoint(dead, 0)
            edge.balancer.endpoints["i-0"].mean_call_ms = 500
            response = await routed.send_request(
                edge, routed.request("/once/x")
            )
            assert response[0] == 200
            assert edge.balancer.endpoints["i-9"].ejected_until > 0

    run(body)


def test_repeatable_request_leaves_a_silent_engine():
    """A repeatable request fails over from an engine that never responds.

    The engine accepts connections and requests but stays silent, as in the
    "mute" case of the srv_grey fault.
    """

    async def body():
        silent, good = Engine(["silent"]), Engine(["good"])
        async with routed.running_edge(silent, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            start_time = anyio.current_time()
            response = await routed.send_request(edge, routed.request("/a/x"))
            assert response[0] == 200
            assert anyio.current_time() - start_time < 0.6
            assert silent.cancelled == 1

    run(body)


def test_penalty_of_an_endpoint_does_not_delay_its_failover():
    """Pattern: engines go dark while all the others have a penalty.

    A short stream sent to a misplaced or suspect engine waited for three
    times the penalty, longer than its caller.
    """

    async def body():
        silent, good = Engine(["silent"]), Engine(["stream"])
        async with routed.running_edge(silent, good) as edge:
            choose = edge.balancer.choose

            def choose_despite_penalty(profile, tried, now):
                choice = choose(profile, tried, now)
                return choice._replace(cost_ms=choice.cost_ms + 4000)

            edge.balancer.choose = choose_despite_penalty
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            began = anyio.current_time()
            data = routed.request("/resume/x", Deadline_Ms="1500")
            response = await routed.send_request(edge, data)
            assert response[0] == 200
            assert anyio.current_time() - began < 0.8

    run(body)


def test_non_repeatable_request_waits_for_a_silent_engine():
    async def body():
        silent, good = Engine(["silent"]), Engine(["good"])
        async with routed.running_edge(silent, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            response = await routed.send_request(
                edge, routed.request("/once/x", Deadline_Ms="700")
            )
            assert response[0] == 504
            assert not good.seen
            assert edge.balancer.endpoints["i-0"].consecutive_failures == 1

    run(body)


def test_stream_waits_for_a_busy_engine():
    """A stream does not fail over while its engine responds to others."""

    async def body():
        engine, other = Engine(["silent", "good"]), Engine(["stream"])
        async with routed.running_edge(engine, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            endpoint = edge.balancer.endpoints["i-0"]

            async def keep_heard():
                while True:
                    edge.balancer.record_activity(
                        endpoint, routed.clock.now_ms()
                    )
                    await anyio.sleep(0.05)

            async with anyio.create_task_group() as group:
                group.start_soon(keep_heard)
                response = await routed.send_request(
                    edge, routed.request("/resume/x", Deadline_Ms="1200")
                )
                group.cancel_scope.cancel()
            assert response[0] == 504
            assert not other.seen

    run(body)


def test_slow_caller_applies_backpressure_to_the_engine():
    """The edge buffers a bounded amount for a caller that does not read."""

    async def body():
        engine = Engine(["flood"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/stream/x"))
                while not engine.flooded_bytes:
                    await anyio.sleep(0.01)
                last_bytes = -1
                with anyio.fail_after(5):
                    while engine.flooded_bytes != last_bytes:
                        last_bytes = engine.flooded_bytes
                        await anyio.sleep(0.3)
                assert engine.flooded_bytes < platform_engine.FLOOD_BYTES / 2

    run(body)


def test_request_waits_for_a_free_connection():
    async def body():
        engine = Engine(["slow", "good"])
        async with routed.running_edge(engine) as edge:
            endpoint = edge.balancer.endpoints["i-0"]
            endpoint.connections = 1
            edge.balancer.edge_count = 1
            answers = []

            async def one(identifier):
                data = routed.request("/once/x", identifier=identifier)
                answers.append((await routed.send_request(edge, data))[0])

            async with anyio.create_task_group() as group:
                for identifier in ("1", "2", "3"):
                    group.start_soon(one, identifier)
                    await anyio.sleep(0.02)
            assert answers == [200, 200, 200]
            assert engine.connections == 2

    run(body)


def test_late_refusal_on_a_kept_connection_is_not_the_next_callers():
    """Pattern: the second copy of a refusal, without an identifier.

    Taken for the answer to the booking that came next, it would be sent on
    as not run, or the booking would run at another engine too.
    """

    async def body():
        engine = Engine(["good", "late_refusal"])
        other = Engine(["good"])
        async with routed.running_edge(engine, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            first = await routed.send_request(edge, routed.request("/a/x"))
            assert first[0] == 200
            data = routed.request("/once/x", "POST", b"", "78")
            answer = await routed.send_request(edge, data)
            assert engine.connections == 1
            assert len(engine.seen) == 2
            assert answer[0] == 502
            assert not other.seen

    run(body)


ENDLESS = ("head", "headers", "trailer", "interim", "other")


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_that_are_no_answer_are_bounded(kind):
    """Pattern: an engine sends until the caller closes, and no answer.

    The edge reads a bounded part of it and takes another engine.
    """

    async def body():
        endless, good = Engine([f"endless_{kind}"]), Engine(["good"])
        async with routed.running_edge(endless, good) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            began = anyio.current_time()
            response = await routed.send_request(edge, routed.request("/a/x"))
            assert response[0] == 200
            assert anyio.current_time() - began < 1.0
            assert endless.flooded_bytes < platform_engine.FLOOD_BYTES / 4

    run(body)


@pytest.mark.parametrize("end", (b"", b"\r\n"))
def test_request_header_without_end_is_refused(end):
    """Pattern: a caller sends one header for ever, faster than a timeout."""

    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                await caller.send(b"GET /a/x HTTP/1.1\r\nX: ")
                with anyio.move_on_after(2):
                    for _ in range(200):
                        await caller.send(b"x" * 1000 + end)
                        await anyio.sleep(0)
                answer = await caller.answer()
                assert answer[0] in (400, 431)
            with anyio.fail_after(3):
                while edge.server.connections:
                    await anyio.sleep(0.05)

    run(body)


def test_pipelined_head_behind_a_large_body_is_not_refused():
    """Pattern: one read has a body's end and the next request's begin."""

    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                large = routed.request("/once/x", "POST", b"x" * 60_000, "1")
                following = routed.request("/a/x", "GET", b"", "2")
                await caller.send(large[:-20_000])
                await anyio.sleep(0.05)
                await caller.send(large[-20_000:] + following[:30])
                await anyio.sleep(0.05)
                await caller.send(following[30:])
                for _ in range(2):
                    assert (await caller.answer())[0] == 200
            assert len(engine.seen) == 2

    run(body)


@pytest.mark.parametrize("path,whole", [("/resume/x", True), ("/stream/x", 0)])
def test_stream_that_drips_bytes_is_taken_over_if_it_may_be(path, whole):
    """Pattern: a stalled engine sends a byte now and then, for ever."""

    async def body():
        table = routed.table_document()
        for route in table["routes"]:
            route["timeout_ms"] = 3000
        engines = Engine(["drip"]), Engine(["stream"])
        async with routed.running_edge(
            *engines, table=routed.decode_table(routes=table["routes"])
        ) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            began = anyio.current_time()
            data = routed.request(path, Deadline_Ms="3000")
            status, _, got, is_whole = await routed.send_request(edge, data)
            took = anyio.current_time() - began
            assert (status, is_whole) == (200, bool(whole))
            assert got.count(b"\n\n") == (4 if whole else 2)
            assert took < 2.0 if whole else took < 3.5

    run(body)


def test_slow_sound_stream_is_not_cut():
    """Pattern: whole events, each later than the allowed gap."""

    async def body():
        table = routed.table_document()
        for route in table["routes"]:
            route["timeout_ms"] = 6000
        slow, other = Engine(["slow_stream"]), Engine(["stream"])
        async with routed.running_edge(
            slow, other, table=routed.decode_table(routes=table["routes"])
        ) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            data = routed.request("/stream/x", Deadline_Ms="6000")
            status, _, got, whole = await routed.send_request(edge, data)
            assert (status, whole) == (200, True)
            assert got.count(b"\n\n") == 4
            assert not other.seen

    run(body)


def test_log_says_why_no_endpoint_was_usable(log_lines):
    """On-call engineers tell unknown endpoints from full or ejected ones."""

    async def body():
        engines = [Engine(["good"]), Engine(["good"])]
        async with routed.running_edge(*engines) as edge:
            endpoints = edge.balancer.endpoints
            for endpoint in endpoints.values():
                endpoint.connections = 1
                endpoint.inflight = 2
            endpoints["i-0"].ejected_until = routed.clock.now_ms() + 60_000
            response = await routed.send_request(
                edge, routed.request("/a/x", **{"Deadline-Ms": "200"})
            )
            assert response[0] == 503

    run(body)
    (line,) = [x for x in log_lines if x.get("event") == 1413]
    counts = ("known", "ready", "ejected", "at_connection_limit", "tried")
    assert [line[name] for name in counts] == [2, 2, 1, 2, 0]
    assert line["service"] == "svc"


def test_log_says_what_a_failed_request_held(log_lines):
    """On-call engineers look for what the failures of endpoints share."""

    async def body():
        async with routed.running_edge(Engine(["torn_event"])) as edge:
            headers = {"Prefix-Hash": "a:9,b:8,own:7", "Token-Count": "24,5"}
            request = routed.request("/stream/x", **headers)
            await routed.send_request(edge, request)

    run(body)
    (line,) = [x for x in log_lines if x.get("event") == 1511]
    assert line["parts"] == "a b"
    assert line["inflight"] == 1 and line["inflight_tokens"] == 29
    assert 0 <= line["answering_ms"] <= line["sent_ms"] < 1000


# Guards against: requests sent on to an endpoint whose own answers say that
# it leaves, before its announcement has come.
def test_endpoint_whose_answer_says_that_it_leaves_gets_no_more_requests():
    async def body():
        leaving, other = Engine(["leaving"]), Engine(["good"])
        async with routed.running_edge(leaving, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            assert (await routed.send_request(edge, routed.request()))[
                0
            ] == 200
            assert len(leaving.seen) == 1
            for _ in range(4):
                await routed.send_request(edge, routed.request())
            assert (len(leaving.seen), len(other.seen)) == (1, 4)
            now = routed.clock.now_ms()
            usable = edge.balancer.usable_endpoints("svc", (), now)
            assert [e.record.id for e in usable] == ["i-1"]
            record = routed.endpoint_record(leaving)._replace(born=2)
            edge.balancer.update_endpoint(record, 0)
            await routed.send_request(edge, routed.request())
            assert len(leaving.seen) == 2

    run(body)


# Guards against: requests sent to an endpoint that has just said for how
# long it takes none.
def test_endpoint_gets_nothing_while_it_asked_for_a_pause():
    async def body():
        full, other = Engine(["back_off", "good"]), Engine(["slow"])
        async with routed.running_edge(full, other) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            began = routed.clock.now_ms()
            while routed.clock.now_ms() - began < 1100:
                answer = await routed.send_request(edge, routed.request())
                assert answer[0] == 200
            assert len(full.seen) == 1
            await anyio.sleep(0.3)
            await routed.send_request(edge, routed.request())
            assert len(full.seen) == 2

    run(body)


def test_caller_is_told_when_endpoints_take_requests_again():
    """No endpoint takes any; the answer comes at once."""

    async def body():
        async with routed.running_edge(Engine(["back_off", "good"])) as edge:
            first = await routed.send_request(edge, routed.request("/once/x"))
            began = routed.clock.now_ms()
            answer = await routed.send_request(edge, routed.request("/once/x"))
            assert routed.clock.now_ms() - began < 100
            for status, headers, *_ in (first, answer):
                assert status == 503
                assert 1.0 < float(headers["retry-after"]) <= 1.2
            await anyio.sleep(float(answer[1]["retry-after"]))
            answer = await routed.send_request(edge, routed.request("/once/x"))
            assert answer[0] == 200

    run(body)


@pytest.mark.parametrize("target", ["/stream/x", "/resume/x"])
def test_unframed_stream_is_whole_at_its_end(target):
    async def body():
        async with routed.running_edge(Engine(["unframed_stream"])) as edge:
            answer = await routed.send_request(edge, routed.request(target))
            assert answer[0] == 200 and answer[3]
            assert answer[2].count(b"data: x") == 4

    run(body)


@pytest.mark.parametrize(
    "target,whole", [("/stream/x", False), ("/resume/x", True)]
)
def test_unframed_stream_that_ends_inside_an_event_is_broken(target, whole):
    async def body():
        torn, good = Engine(["unframed_torn"]), Engine(["stream"])
        async with routed.running_edge(torn, good) as edge:
            edge.balancer.endpoints["i-1"].ejected_until = (
                routed.clock.now_ms() + 300
            )
            answer = await routed.send_request(edge, routed.request(target))
            assert answer[3] == whole
            assert answer[2].count(b"data: x") == (4 if whole else 2)
            assert len(good.seen) == whole

    run(body)


async def unframed_response(behaviours, target):
    """Return a response of the first endpoint, and what reached the second.

    Args:
        behaviours: one for each endpoint.
        target: the request's target.
    """
    engines = [Engine([behaviour]) for behaviour in behaviours]
    async with routed.running_edge(*engines) as edge:
        for number in range(1, len(engines)):
            edge.balancer.endpoints[f"i-{number}"].mean_call_ms = 500
        response = await routed.send_request(edge, routed.request(target))
        return response, engines[-1].seen


# Guards against: the part of an unframed response that came before its
# endpoint's process ended is passed on as complete (ORDER, MIXED).
@pytest.mark.parametrize(
    "behaviour,target,status,whole,is_resent",
    [
        ("unframed_crash", "/stream/x", 200, False, False),
        ("unframed_crash", "/resume/x", 200, True, True),
        ("no_length_crash", "/once/x", 502, True, False),
        ("no_length_crash", "/a/x", 200, True, True),
    ],
)
def test_unframed_response_of_a_process_that_ended_is_broken(
    behaviour, target, status, whole, is_resent
):
    async def body():
        second = "stream" if target == "/resume/x" else "good"
        response, seen = await unframed_response([behaviour, second], target)
        assert (response[0], response[3]) == (status, whole)
        assert bool(seen) == is_resent
        if target == "/resume/x":
            assert response[2] == b"".join(EVENTS)

    run(body)


# Guards against: a resumable stream that ends with its connection after some
# of its events is passed on as complete, while its endpoint runs (ORDER).
@pytest.mark.parametrize(
    "behaviours,event_count",
    [
        (["unframed_cut", "stream"], 4),
        (["unframed_cut", "unframed_stream"], 4),
        (["unframed_stream", "stream"], 4),
        # Nobody can be asked for the rest.
        (["unframed_stream", "close"], 4),
        (["unframed_stream", "full"], 4),
        (["unframed_stream", "silent"], 4),
        (["unframed_stream", "unframed_stream"], 4),
        (["unframed_stream"], 4),
    ],
)
def test_other_endpoint_tells_whether_an_unframed_stream_is_whole(
    behaviours, event_count
):
    async def body():
        began_at = anyio.current_time()
        response, seen = await unframed_response(behaviours, "/resume/x")
        assert 1000 * (anyio.current_time() - began_at) < routed.DEADLINE_MS
        assert (response[0], response[3]) == (200, True)
        assert response[2] == b"".join(EVENTS[:event_count])
        if len(behaviours) > 1:
            expected = "2" if behaviours[0] == "unframed_cut" else "4"
            assert [s.headers["last-event-id"] for s in seen] == [expected]

    run(body)


# Guards against: a response whose status is none of HTTP is taken for an
# interim one, and its request waits for its deadline (MIXED).
@pytest.mark.parametrize("status", ["000", "020", "099", "600", "999"])
@pytest.mark.parametrize("target", ["/a/x", "/once/x", "/resume/x"])
def test_status_that_is_none_of_http_ends_the_attempt(status, target):
    async def body():
        faulty = Engine(["status"])
        faulty.status = status.encode() + b" What"
        second = Engine(["stream" if target == "/resume/x" else "good"])
        async with routed.running_edge(faulty, second) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            began_at = anyio.current_time()
            answer = await routed.send_request(edge, routed.request(target))
            took_s = anyio.current_time() - began_at
            is_repeatable = target != "/once/x"
            assert answer[0] == (200 if is_repeatable else 502)
            assert len(second.seen) == is_repeatable
            assert 1000 * took_s < routed.DEADLINE_MS

    run(body)


class EarlyResetEngine(Engine):
    """Answers in part and resets the connection before an upload is read.

    Args:
        part: the bytes of the body that it sends.
        pause_s: how long it waits before the reset.
    """

    def __init__(self, part, pause_s):
        super().__init__(["good"])
        self.part = part
        self.pause_s = pause_s

    async def _read(self, stream):
        data = await stream.receive()
        lines = data.decode("latin-1").split("\r\n")
        identifier = next(
            line.partition(":")[2].strip()
            for line in lines
            if line.lower().startswith("request-id:")
        )
        await stream.send(
            b"HTTP/1.1 200 OK\r\nResponse-Stamp: 1.1.1\r\n"
            b"Request-Id: %s\r\n\r\n%s" % (identifier.encode(), self.part)
        )
        await anyio.sleep(self.pause_s)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await anyio.aclose_forcefully(stream)
        raise anyio.EndOfStream


# Guards against: the part of an unframed response that came before a reset,
# while the request is still being written, is passed on as complete (MIXED).
@pytest.mark.parametrize("pause_s", [0, 0.05])
@pytest.mark.parametrize("part", [b"x" * 40, b"id: 1\ndata: x\n\n"])
@pytest.mark.parametrize("target", ["/a/x", "/once/x", "/stream/x"])
def test_response_reset_during_an_upload_is_not_complete(
    target, part, pause_s
):
    async def body():
        limits = {
            **routed.table_document()["limits"],
            "max_body_bytes": UPLOAD_BYTES,
        }
        table = routed.decode_table(limits=limits)
        engine = EarlyResetEngine(part, pause_s)
        async with routed.running_edge(engine, table=table) as edge:
            upload = routed.request(target, "POST", b"x" * UPLOAD_BYTES)
            answer = await routed.send_request(edge, upload)
            assert answer[0] == 502 or (answer[0] == 200 and not answer[3])

    run(body)


UPGRADES = [
    {
        "Upgrade": "h2c",
        "Connection": "Upgrade, HTTP2-Settings",
        "HTTP2-Settings": "AAMA",
    },
    {"Upgrade": "websocket", "Connection": "keep-alive, Upgrade"},
    {"Upgrade": "h2c", "Connection": "Upgrade", "Expect": "100-continue"},
]


# Guards against: a request that asks for another protocol runs without its
# body, and its caller gets 400.
@pytest.mark.parametrize("upgrade", UPGRADES)
@pytest.mark.parametrize("cut", [0, 1, 60, -3])
@pytest.mark.parametrize("chunked", [False, True])
def test_request_to_change_the_protocol_is_served_whole(upgrade, cut, chunked):
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            async with routed.connected_caller(edge) as caller:
                content = b"4\r\nbody\r\n0\r\n\r\n" if chunked else b"body"
                framing = {"Transfer-Encoding": "chunked"} if chunked else {}
                framing["Content-Length"] = "" if chunked else "4"
                headers = {**upgrade, **framing}
                data = routed.request("/once/x", "POST", **headers) + content
                for identifier in ("77", "78"):
                    data = data.replace(b"Request-Id: 77", b"Request-Id: 78")
                    for part in (data[:cut], data[cut:]):
                        await caller.send(part)
                        await anyio.sleep(0.02)
                    if "Expect" in upgrade:
                        assert (await read_interim(caller)) == 100
                    assert (await caller.answer())[0] == 200
            assert [seen.body for seen in engine.seen] == [b"body"] * 2
            for seen in engine.seen:
                assert not {"upgrade", "http2-settings"} & set(seen.headers)

    run(body)


async def read_interim(caller):
    """Return the status of an interim response."""
    while b"\r\n\r\n" not in caller.data:
        caller.data += await caller.stream.receive()
    head, _, caller.data = caller.data.partition(b"\r\n\r\n")
    return int(head.split()[1])


def test_connect_is_refused_and_runs_nowhere():
    async def body():
        engine = Engine(["good"])
        async with routed.running_edge(engine) as edge:
            data = routed.request("shop.example:443", "CONNECT")
            assert (await routed.send_request(edge, data))[0] == 400
            assert not engine.seen

    run(body)
