"""Tests of one request that comes again and crashes endpoints.

The bound is the one of the users' pages.
"""

import anyio
import pytest
import routed
import test_quarantine

from primrosehitch_lab import platform_engine

# Of requests sent on later than CONTACT_S after FREE_CRASHES endpoints have
# crashed.
FREE_CRASHES = 3
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
ENGINES = 6
BAD = b'{"part":"crash"}'
STREAM_HEADERS = {
    "Prefix-Hash": "system:100,caller:100,own:100",
    "Token-Count": "300,20",
}


def make_request(target, number, body):
    headers = STREAM_HEADERS if target.startswith("/stream") else {}
    return routed.request(
        target, "POST", body, identifier=f"{number:x}", **headers
    )


def late_sends(engines, crashes):
    """Return the crashing request's arrivals after the time for contact."""
    if len(crashes) < FREE_CRASHES:
        return []
    allowed_until = crashes[FREE_CRASHES - 1] + CONTACT_S
    return [
        at
        for engine in engines
        for seen, at in zip(engine.seen, engine.arrivals)
        if seen.body == BAD and at > allowed_until
    ]


# Guards against: a request that crashes the endpoints which run it is sent
# to endpoint after endpoint whenever it comes again (incident second1).
@pytest.mark.parametrize("target", ("/a/x", "/stream/x"))
def test_repeated_request_that_crashes_endpoints_is_kept_from_them(target):
    """Pattern: one request again and again beside sound ones."""
    statuses = {"bad": [], "sound": []}

    async def call(edge, number, kind):
        body = BAD if kind == "bad" else b'{"part":"%d"}' % number
        request = make_request(target, number, body)
        status, _, _, whole = await routed.send_request(edge, request)
        statuses[kind].append((anyio.current_time(), status, whole))

    async def body():
        behaviour = "stream" if target.startswith("/stream") else "brief"
        engines = [
            platform_engine.StandInEngine([behaviour], 3)
            for _ in range(ENGINES)
        ]
        for engine in engines:
            engine.crashing_body = BAD
        async with routed.running_edge(*engines) as edge:
            fleet = test_quarantine.CrashingFleet(edge, engines)
            async with anyio.create_task_group() as group:
                for number in range(ENGINES):
                    group.start_soon(fleet.follow, number)
                for number in range(1, 270):
                    kind = "bad" if number % 9 == 0 else "sound"
                    group.start_soon(call, edge, number, kind)
                    await anyio.sleep(0.03)
                last_crash = max(fleet.crashes)
                await anyio.sleep(0.6)
                group.cancel_scope.cancel()
            assert len(fleet.crashes) >= FREE_CRASHES
            late = late_sends(engines, fleet.crashes)
            assert len(late) <= MAX_LATE_SENDS
            after = [
                whole and status == 200
                for at, status, whole in statuses["sound"]
                if at > last_crash + 1
            ]
            assert len(after) > 60 and sum(after) > 0.98 * len(after)
            refused = [
                s for at, s, _ in statuses["bad"] if at > last_crash + 1
            ]
            assert refused and set(refused) == {503}

    anyio.run(body, backend_options={"use_uvloop": True})


# Guards against: endpoints that close connections without an answer, and
# go on serving, make a sound request that is repeated refused.
def test_repeated_request_is_served_by_endpoints_that_had_closed_on_it():
    async def body():
        engines = [
            platform_engine.StandInEngine(["close"] * 3 + ["brief"])
            for _ in range(ENGINES)
        ]
        async with routed.running_edge(*engines) as edge:
            statuses = []
            for number in range(1, 60):
                request = make_request("/a/x", number, b"same")
                statuses.append((await routed.send_request(edge, request))[0])
                await anyio.sleep(0.05)
            assert not edge.forwarder.quarantine.released_at
            assert statuses[-20:] == [200] * 20

    anyio.run(body, backend_options={"use_uvloop": True})


def test_fingerprint_is_the_same_with_a_length_and_in_chunks(log_lines):
    async def body():
        engines = [platform_engine.StandInEngine(["close"]) for _ in "ab"]
        whole = routed.request("/once/x", "POST", b"same body")
        chunked = whole.replace(
            b"Content-Length: 9", b"Transfer-Encoding: chunked"
        ).replace(b"same body", b"4\r\nsame\r\n5\r\n body\r\n0\r\n\r\n")
        async with routed.running_edge(*engines) as edge:
            for request in (whole, chunked):
                await routed.send_request(edge, request)

    anyio.run(body, backend_options={"use_uvloop": True})
    known = [
        line["fingerprint"] for line in log_lines if "fingerprint" in line
    ]
    assert len(known) == 2 and len(set(known)) == 1


# Guards against: a crashed endpoint passes for alive because the next one at
# its address answers that it is another.
def test_answer_of_the_next_endpoint_at_an_address_voids_no_crash():
    async def body():
        engine = platform_engine.StandInEngine(["silent_close", "elsewhere"])
        engine.limit = "1"
        async with routed.running_edge(engine) as edge:
            for number in range(1, 3):
                request = make_request("/once/x", number, b"same")
                await routed.send_request(edge, request)
            assert len(engine.seen) == 2
            assert len(edge.forwarder.quarantine.crashes) == 1
            assert not edge.balancer.limits.table.entries

    anyio.run(body, backend_options={"use_uvloop": True})
