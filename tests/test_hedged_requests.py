"""Tests of hedged requests on an edge, against slow and faulty engines.

The first attempt goes to engine 0, as the others count as slower there.
"""

import anyio
import hedges
import pytest
import routed
from test_forwarder import EVENTS
from test_forwarder import run

from primrosehitch import errors
from primrosehitch import forwarding
from primrosehitch import hedging as hedging_module
from primrosehitch import metrics
from primrosehitch_lab import platform_engine

# Of an answer that was not waited for until the slow engine's.
FAST_S = 0.2
SLOW_S = 0.3
LARGE = b"x" * (forwarding.MAX_BUFFERED_RESPONSE_BYTES + 5000)


class Engine(platform_engine.StandInEngine):
    """A stand-in with answers that come late."""

    async def _play_late_good(self, stream, seen):
        """Answer after the hedge was sent, before any timeout."""
        await anyio.sleep(0.2)
        return await self._play_good(stream, seen)

    async def _play_late_stream(self, stream, seen):
        await anyio.sleep(SLOW_S)
        return await self._play_stream(stream, seen)

    async def _play_late_event(self, stream, seen):
        """Send the head of a stream and half an event, the rest later."""
        await self._begin_chunks(stream, seen)
        await self._chunk(stream, b"id: 1\nda")
        await anyio.sleep(SLOW_S)
        await self._chunk(stream, b"ta: %s\n\n" % self.version.encode())
        for number in range(2, self.events + 1):
            await self._event(stream, seen, number)
        await stream.send(b"0\r\n\r\n")
        return True

    async def _play_late_error(self, stream, seen):
        await anyio.sleep(0.12)
        return await self._play_error(stream, seen)

    async def _play_late_close(self, stream, seen):
        await anyio.sleep(0.12)
        return False

    async def _play_late_full(self, stream, seen):
        await anyio.sleep(0.12)
        return await self._play_full(stream, seen)

    async def _play_late_large(self, stream, seen):
        await anyio.sleep(0.12)
        return await self._play_large(stream, seen)

    async def _play_large(self, stream, seen):
        headers = self._echo(seen) + platform_engine.STAMP
        return await self._answer(stream, b"200 OK", headers, LARGE)


def make_table(max_attempts=2):
    document = routed.table_document()
    for route in document["routes"]:
        route["max_attempts"] = max_attempts
    return routed.decode_table(routes=document["routes"])


def start_hedging(edge, **options):
    edge.forwarder.hedging = hedges.make_hedging(**options)
    hedges.warm_up(edge.forwarder.hedging, routed.clock.now_ms())
    for identifier, endpoint in edge.balancer.endpoints.items():
        if identifier != "i-0":
            endpoint.mean_call_ms = 400


def sample(counter):
    return counter.collect()[0].samples[0].value


async def wait_for(condition):
    with anyio.fail_after(1):
        while not condition():
            await anyio.sleep(0.005)


def assert_settled(edge, requests=1):
    """Check that nothing of the requests is left anywhere."""
    for endpoint in edge.balancer.endpoints.values():
        assert endpoint.inflight == 0
        assert endpoint.inflight_tokens == 0
        assert endpoint.pending_prefill_tokens == 0
        assert endpoint.open_streams == 0
    assert edge.forwarder.gate.in_flight == {"svc": 0}
    assert not edge.forwarder.active
    assert edge.counted_requests() == ({"ana": requests} if requests else {})


def outcome_lines(log_lines):
    return [
        (line["outcome"], line["endpoints"])
        for line in log_lines
        if line.get("event") == 1411
    ]


async def timed_request(edge, target="/a/x", **headers):
    began_at = anyio.current_time()
    response = await routed.send_request(
        edge, routed.request(target, **headers)
    )
    return response, anyio.current_time() - began_at


# -- one answer of two -----------------------------------------------------


def test_hedge_answers_for_a_slow_endpoint(log_lines):
    """The slow endpoint's work ends at once, and counts as no failure."""

    async def body():
        slow, good = Engine(["slow"]), Engine(["good"])
        sent, won = sample(metrics.HEDGES_SENT), sample(metrics.HEDGES_WON)
        async with routed.running_edge(slow, good) as edge:
            start_hedging(edge)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/a/x"))
                response = await caller.answer()
                assert response[0] == 200 and response[3]
                assert slow.arrivals[0] + SLOW_S > anyio.current_time()
                await wait_for(lambda: slow.cancelled == 1)
                # Exactly one response: the next one is the next request's.
                await caller.send(routed.request("/a/y", identifier="78"))
                response = await caller.answer()
                assert response[1]["request-id"] == "78"
            assert_settled(edge, requests=2)
            endpoint = edge.balancer.endpoints["i-0"]
            assert endpoint.consecutive_failures == 0
            assert not edge.forwarder.quarantine.abandoned.items
            assert not edge.forwarder.quarantine.crashes
        assert good.seen[0].line == slow.seen[0].line
        assert sample(metrics.HEDGES_SENT) - sent == 1 + len(slow.seen) - 1
        assert sample(metrics.HEDGES_WON) - won >= 1

    run(body)
    numbers = [line.get("event") for line in log_lines]
    assert 1431 in numbers and 1432 in numbers and 1511 not in numbers
    assert outcome_lines(log_lines)[0] == ("ok", "i-0:Lost i-1:Passed")


def test_first_attempt_answers_before_its_hedge(log_lines):
    async def body():
        slow, silent = Engine(["slow"]), Engine(["silent"])
        async with routed.running_edge(slow, silent) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge)
            assert response[0] == 200 and response[2] == b"done"
            await wait_for(lambda: silent.cancelled == 1)
            assert_settled(edge)
            endpoint = edge.balancer.endpoints["i-1"]
            assert endpoint.consecutive_failures == 0
            assert not edge.forwarder.quarantine.abandoned.items

    run(body)
    assert outcome_lines(log_lines) == [("ok", "i-0:Passed i-1:Lost")]


@pytest.mark.parametrize("failure", ["full", "elsewhere", "error", "cut"])
def test_first_attempt_goes_on_after_its_hedge_failed(failure):
    async def body():
        slow, bad = Engine(["slow"]), Engine([failure])
        async with routed.running_edge(slow, bad) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge)
            assert (response[0], response[2]) == (200, b"done")
            assert len(slow.seen) == len(bad.seen) == 1
            assert_settled(edge)

    run(body)


@pytest.mark.parametrize("failure", ["late_full", "late_error", "late_close"])
def test_hedge_goes_on_after_the_first_attempt_failed(failure):
    """No third attempt is made while one is under way."""

    async def body():
        bad, late, third = (
            Engine([failure]),
            Engine(["late_good"]),
            Engine(["good"]),
        )
        table = make_table(max_attempts=3)
        async with routed.running_edge(bad, late, third, table=table) as edge:
            start_hedging(edge)
            edge.balancer.endpoints["i-1"].mean_call_ms = 100
            response, _ = await timed_request(edge)
            assert (response[0], response[2]) == (200, b"done")
            seen = [len(engine.seen) for engine in (bad, late, third)]
            assert seen == [1, 1, 0]
            assert_settled(edge)

    run(body)


def test_large_answer_wins_as_soon_as_it_is_relayed():
    """Guards against two heads where a large answer is not buffered."""

    async def body():
        slow, large = Engine(["late_large"]), Engine(["large"])
        async with routed.running_edge(slow, large) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge)
            assert response[0] == 200 and response[3]
            assert response[2] == LARGE
            await wait_for(lambda: slow.cancelled == 1)
            assert_settled(edge)

    run(body)


def test_fast_answer_needs_no_hedge():
    async def body():
        good, other = Engine(["good"]), Engine(["good"])
        async with routed.running_edge(good, other) as edge:
            start_hedging(edge)
            for _ in range(3):
                response, _ = await timed_request(edge)
                assert response[0] == 200
            await anyio.sleep(2 * hedges.MIN_DELAY_MS / 1000)
            assert not other.seen
            assert edge.forwarder.hedging.denials == {}

    run(body)


# -- no hedge --------------------------------------------------------------


def test_without_the_setting_nothing_is_hedged():
    async def body():
        slow, other = Engine(["slow"]), Engine(["good"])
        async with routed.running_edge(slow, other) as edge:
            start_hedging(edge)
            edge.forwarder.hedging = None
            response, took_s = await timed_request(edge)
            # The first-byte timeout of the route is as long as the answer
            # takes, so that an ordinary failover may come first.
            assert response[0] == 200 and took_s >= SLOW_S - 0.05

    run(body)


@pytest.mark.parametrize(
    "target, behaviour",
    [
        ("/once/x", "slow"),
        ("/stream/x", "late_stream"),
    ],
)
def test_request_that_must_not_repeat_is_not_hedged(target, behaviour):
    async def body():
        slow, other = Engine([behaviour]), Engine(["good"])
        async with routed.running_edge(slow, other) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge, target)
            assert response[0] == 200 and response[3]
            assert not other.seen

    run(body)


def test_hedge_of_a_request_that_must_not_repeat_is_never_sent(monkeypatch):
    """The last check holds though both decisions before it are wrong."""

    async def body():
        slow, other = Engine(["slow"]), Engine(["good"])
        async with routed.running_edge(slow, other) as edge:
            start_hedging(edge)
            with pytest.raises(anyio.EndOfStream):
                await routed.send_request(edge, routed.request("/once/x"))
            assert len(slow.seen) == 1 and not other.seen

    found = []
    require = errors.require

    def record_and_require(condition, text, step):
        if not condition:
            found.append(step)
        require(condition, text, step)

    decide = hedging_module.Hedging._decide
    monkeypatch.setattr(errors, "require", record_and_require)
    monkeypatch.setattr(
        forwarding.ForwardedRequest, "_hedge_delay_ms", lambda *_: 30
    )
    monkeypatch.setattr(
        hedging_module.Hedging,
        "_decide",
        lambda self, request, *rest: decide(
            self, request._replace(is_repeatable=True), *rest
        ),
    )
    run(body)
    assert found == ["forward.hedge"]


def test_hedge_counts_as_an_attempt():
    """Both attempts fail; with two allowed there is no third one."""

    async def body():
        engines = [Engine(["late_close"]), Engine(["close"]), Engine(["good"])]
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            edge.balancer.endpoints["i-1"].mean_call_ms = 100
            response, _ = await timed_request(edge)
            assert response[0] == 502
            assert [len(e.seen) for e in engines] == [1, 1, 0]
            assert_settled(edge, requests=0)

    run(body)


def test_failover_follows_if_both_attempts_failed():
    async def body():
        engines = [Engine(["late_close"]), Engine(["close"]), Engine(["good"])]
        table = make_table(max_attempts=3)
        async with routed.running_edge(*engines, table=table) as edge:
            start_hedging(edge)
            edge.balancer.endpoints["i-1"].mean_call_ms = 100
            response, _ = await timed_request(edge)
            assert response[0] == 200
            assert [len(e.seen) for e in engines] == [1, 1, 1]
            # The hedge and the retry.
            assert len(edge.budget.retries["svc"]) == 2
            assert_settled(edge)

    run(body)


def test_no_hedge_without_an_attempt_left():
    async def body():
        slow, other = Engine(["slow"]), Engine(["good"])
        table = make_table(max_attempts=1)
        async with routed.running_edge(slow, other, table=table) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge)
            assert response[0] == 200 and not other.seen

    run(body)


def test_no_hedge_beyond_the_retry_budget():
    async def body():
        slow, other = Engine(["slow"]), Engine(["good"])
        async with routed.running_edge(slow, other) as edge:
            start_hedging(edge)
            edge.budget.ratio = edge.budget.slack = 0
            response, _ = await timed_request(edge)
            assert response[0] == 200 and not other.seen

    run(body)


# -- the status of a request without an answer -----------------------------


def test_hedge_that_was_rejected_leaves_the_first_one_possible():
    """Guards against "not run" for a request that may have run."""

    async def body():
        silent, full = Engine(["silent"]), Engine(["full"])
        async with routed.running_edge(silent, full) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge, Deadline_Ms="250")
            assert response[0] == 504
            assert_settled(edge, requests=0)

    run(body)


def test_first_attempt_that_was_rejected_leaves_the_hedge_possible():
    async def body():
        full, silent = Engine(["late_full"]), Engine(["silent"])
        async with routed.running_edge(full, silent) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge, Deadline_Ms="250")
            assert response[0] == 504
            await wait_for(lambda: silent.cancelled == 1)
            assert_settled(edge, requests=0)

    run(body)


@pytest.mark.parametrize(
    "first, hedge, status",
    [
        ("late_full", "full", 503),
        ("late_full", "close", 502),
        ("late_close", "full", 502),
        ("late_error", "full", 500),
        ("late_full", "error", 500),
        ("late_close", "error", 500),
    ],
)
def test_status_after_two_failures(first, hedge, status):
    async def body():
        engines = Engine([first]), Engine([hedge])
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge)
            assert response[0] == status
            assert [len(e.seen) for e in engines] == [1, 1]
            assert_settled(edge, requests=int(status == 500))

    run(body)


# -- the end of a request --------------------------------------------------


def test_caller_that_leaves_ends_both_attempts():
    async def body():
        engines = Engine(["silent"]), Engine(["silent"])
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/a/x"))
                await wait_for(lambda: all(e.seen for e in engines))
            await wait_for(lambda: all(e.cancelled for e in engines))
            assert_settled(edge, requests=0)

    run(body)


def test_deadline_ends_both_attempts():
    async def body():
        engines = Engine(["silent"]), Engine(["silent"])
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            response, took_s = await timed_request(edge, Deadline_Ms="250")
            assert response[0] == 504 and took_s < 0.6
            await wait_for(lambda: all(e.cancelled for e in engines))
            assert_settled(edge, requests=0)

    run(body)


def test_end_of_a_drain_ends_both_attempts():
    async def body():
        engines = Engine(["silent"]), Engine(["silent"])
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            async with routed.connected_caller(edge) as caller:
                await caller.send(routed.request("/a/x"))
                await wait_for(lambda: all(e.seen for e in engines))
                edge.forwarder.end_requests("draining")
                response = await caller.answer()
            assert response[0] == 504 and b"draining" in response[2]
            await wait_for(lambda: all(e.cancelled for e in engines))
            assert_settled(edge, requests=0)

    run(body)


def test_silence_beyond_the_first_byte_timeout_is_a_failure():
    """Guards against a dead endpoint that hedges would hide for good.

    The race lasts longer than the timeout of the first byte, so that the
    silence of the endpoint is not the race's doing. No third attempt is made
    meanwhile.
    """

    async def body():
        silent, slow = Engine(["silent"]), Engine(["late_late"])

        async def play(stream, seen):
            await anyio.sleep(0.5)
            return await slow._play_good(stream, seen)

        slow._play_late_late = play
        third = Engine(["good"])
        table = make_table(max_attempts=3)
        async with routed.running_edge(
            silent, slow, third, table=table
        ) as edge:
            start_hedging(edge)
            edge.balancer.endpoints["i-1"].mean_call_ms = 100
            response, _ = await timed_request(edge)
            assert response[0] == 200 and not third.seen
            endpoint = edge.balancer.endpoints["i-0"]
            assert endpoint.consecutive_failures == 1
            assert_settled(edge)

    run(body)


# -- streams ---------------------------------------------------------------


def announce_version(edge, number, version):
    record = edge.balancer.endpoints[f"i-{number}"].record
    edge.balancer.update_endpoint(record._replace(version=version), 0)


@pytest.mark.parametrize("first", ["silent", "late_stream", "late_event"])
def test_stream_is_hedged_before_its_first_event(first):
    """All events come from the hedge, whose version the stream is bound to.

    Half an event of the first attempt, as in ``late_event``, is dropped.
    """

    async def body():
        slow = Engine([first], version="old")
        good = Engine(["stream"], version="new")
        async with routed.running_edge(slow, good) as edge:
            start_hedging(edge)
            announce_version(edge, 0, "old")
            announce_version(edge, 1, "new")
            response, took_s = await timed_request(edge, "/resume/x")
            assert response[3] and took_s < FAST_S
            assert response[2] == b"".join(EVENTS).replace(b"x", b"new")
            await wait_for(lambda: slow.cancelled == 1)
            origins = edge.forwarder.origins.table.entries.values()
            assert [origin.version for origin, _ in origins] == ["new"]
            assert_settled(edge)
            assert not edge.forwarder.quarantine.abandoned.items

    run(body)


def test_first_attempt_of_a_stream_may_win():
    async def body():
        slow = Engine(["late_event"], version="old")
        silent = Engine(["silent"], version="new")
        async with routed.running_edge(slow, silent) as edge:
            start_hedging(edge)
            announce_version(edge, 0, "old")
            announce_version(edge, 1, "new")
            response, _ = await timed_request(edge, "/resume/x")
            assert response[3]
            assert response[2] == b"".join(EVENTS).replace(b"x", b"old")
            await wait_for(lambda: silent.cancelled == 1)
            origins = edge.forwarder.origins.table.entries.values()
            assert [origin.version for origin, _ in origins] == ["old"]
            assert_settled(edge)

    run(body)


def test_stream_is_not_hedged_after_its_first_event():
    async def body():
        paced, other = Engine(["paced_stream"]), Engine(["stream"])
        async with routed.running_edge(paced, other) as edge:
            start_hedging(edge, min_delay_ms=60)
            response, _ = await timed_request(edge, "/resume/x")
            assert response[2] == b"".join(EVENTS) and not other.seen

    run(body)


def test_stream_that_a_hedge_won_fails_over():
    """The third endpoint goes on after the last event of the hedge."""

    async def body():
        engines = [
            Engine(["silent"]),
            Engine(["torn_event"]),
            Engine(["stream"]),
        ]
        table = make_table(max_attempts=3)
        async with routed.running_edge(*engines, table=table) as edge:
            start_hedging(edge)
            edge.balancer.endpoints["i-1"].mean_call_ms = 100
            response, _ = await timed_request(edge, "/resume/x")
            assert response[2] == b"".join(EVENTS) and response[3]
            assert engines[2].seen[0].headers["last-event-id"] == "2"
            assert_settled(edge)

    run(body)


@pytest.mark.parametrize("hedge", ["garbled_start", "close", "full"])
def test_stream_goes_on_after_its_hedge_failed(hedge):
    async def body():
        slow, bad = Engine(["late_stream"]), Engine([hedge])
        async with routed.running_edge(slow, bad) as edge:
            start_hedging(edge)
            response, _ = await timed_request(edge, "/resume/x")
            assert response[2] == b"".join(EVENTS) and response[3]
            assert_settled(edge)

    run(body)


def test_resumption_is_hedged_at_its_version_only():
    """Guards against a stream that goes on in another version's words."""

    async def body():
        first = Engine(["torn_event"], version="old")
        new = Engine(["stream"], version="new")
        old = Engine(["stream"], version="old")
        engines = first, new, old
        async with routed.running_edge(*engines) as edge:
            start_hedging(edge)
            for number, engine in enumerate(engines):
                announce_version(edge, number, engine.version)
            edge.balancer.endpoints["i-1"].mean_call_ms = 50
            edge.budget.ratio = edge.budget.slack = 0
            response, _ = await timed_request(
                edge, "/resume/x", identifier="1"
            )
            assert not response[3] and len(first.seen) == 1
            edge.budget.slack = 50
            first.behaviours[0] = "silent"
            response, took_s = await timed_request(
                edge,
                "/resume/x",
                identifier="2",
                Resumes="1",
                Last_Event_Id="2",
            )
            assert response[3] and took_s < FAST_S
            assert response[2] == b"id: 3\ndata: old\n\nid: 4\ndata: old\n\n"
            assert len(first.seen) == 2 and not new.seen
            assert old.seen[0].headers["last-event-id"] == "2"

    run(body)
