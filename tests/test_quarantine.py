"""Tests of the quarantine of prompt parts that crash endpoints."""

import anyio
from hypothesis import given
from hypothesis import strategies as st
import pytest
import quarantine_fleet
import routed

from primrosehitch import messages
from primrosehitch import quarantine
from primrosehitch_lab import platform_engine

# What the users' pages bound: requests sent on later than CONTACT_S after
# FREE_CRASHES endpoints have crashed.
FREE_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
ENGINES = 8


def stream_request(number, parts, target="/stream/x"):
    return routed.request(
        target,
        identifier=f"{number:x}",
        **{
            "Prefix-Hash": ",".join(
                f"{p}:100" for p in (*parts, f"own{number}")
            ),
            "Token-Count": f"{100 * len(parts) + 100},20",
        },
    )


class CrashingFleet:
    """An edge before engines that one part of a prompt crashes.

    Attributes:
        engines: the engines.
        crashes: when an engine crashed, in s.
    """

    def __init__(self, edge, engines):
        self.edge = edge
        self.engines = engines
        self.crashes = []

    @property
    def allowance_ends(self):
        """When no further request with the part may be sent, or None."""
        if len(self.crashes) < FREE_CRASHES:
            return None
        return self.crashes[FREE_CRASHES - 1] + CONTACT_S

    async def follow(self, number):
        """Announce each incarnation of an engine to the edge."""
        engine = self.engines[number]
        balancer = self.edge.balancer
        while True:
            await engine.crash.wait()
            self.crashes.append(anyio.current_time())
            incarnation = engine.incarnation
            while engine.incarnation == incarnation:
                await anyio.sleep(0.02)
            record = routed.endpoint_record(engine, number)
            balancer.update_endpoint(record._replace(state="left"), 0)
            name = f"i-{number}-{engine.incarnation}"
            record = record._replace(id=name, born=engine.incarnation)
            balancer.update_endpoint(record, 0)
            for old in list(balancer.endpoints):
                is_older = old.startswith(f"i-{number}-") and old != name
                if is_older:
                    balancer.remove_endpoint(old)

    def count_sent(self, part):
        """Return how many requests with a part the engines have seen."""
        return sum(
            part in seen.headers["prefix-hash"]
            for engine in self.engines
            for seen in engine.seen
        )


# Guards against: a request that waited for an endpoint is sent with a part
# that was quarantined meanwhile.
def test_request_that_waits_is_not_sent_with_a_quarantined_part():
    async def body():
        engine = platform_engine.StandInEngine(["stream"])
        async with routed.running_edge(engine) as edge:
            paused = edge.balancer.endpoints["i-0"]
            paused.paused_until = routed.clock.now_ms() + 300
            answers = []

            async def call():
                request = stream_request(1, ("system", "bad"))
                answers.append(await routed.send_request(edge, request))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await anyio.sleep(0.1)
                finding = messages.PartFinding("quarantined", parts=("bad",))
                edge.forwarder.quarantine.apply_finding(
                    finding, routed.clock.now_ms()
                )
            ((status, headers, *_),) = answers
            assert (status, engine.seen) == (503, [])
            assert float(headers["retry-after"]) > 500

    anyio.run(body, backend_options={"use_uvloop": True})


# Guards against: a route is refused after all its endpoints ended at once.
def test_end_of_all_engines_quarantines_nothing(monkeypatch):
    """Pattern: all engines lose power under a load of one shared prompt."""
    monkeypatch.setattr(platform_engine, "RESTART_S", 2.5)

    async def body():
        engines = [
            platform_engine.StandInEngine(["paced_stream"], 6)
            for _ in range(ENGINES)
        ]
        async with routed.running_edge(*engines) as edge:
            fleet = CrashingFleet(edge, engines)
            answers = []

            async def call(number):
                request = stream_request(number, ("system", "doc"))
                answers.append(await routed.send_request(edge, request))

            async with anyio.create_task_group() as group:
                for number in range(ENGINES):
                    group.start_soon(fleet.follow, number)
                for number in range(200):
                    if number == 30:
                        for engine in engines:
                            engine.crash.set()
                    group.start_soon(call, number)
                    await anyio.sleep(0.03)
                await anyio.sleep(1)
                group.cancel_scope.cancel()
            assert not edge.forwarder.quarantine.released_at
            assert [a[0] for a in answers[-20:]] == [200] * 20

    anyio.run(body, backend_options={"use_uvloop": True})


# Guards against: requests that share a crashing prompt part were sent to
# endpoint after endpoint (incident second1).
def test_crashing_part_is_kept_from_engines_and_sound_requests_are_not():
    """Pattern: every few requests one holds a part that crashes engines."""
    statuses = {"bad": [], "doc": []}

    async def call(edge, number, part):
        # All share the first part, and the crashing one a caller's others.
        request = stream_request(number, ("system", "caller", part))
        answer = await routed.send_request(edge, request)
        statuses[part].append((anyio.current_time(), answer[0], answer[3]))

    async def body():
        engines = [
            platform_engine.StandInEngine(["paced_stream"], 6, "bad")
            for _ in range(ENGINES)
        ]
        async with routed.running_edge(*engines) as edge:
            fleet = CrashingFleet(edge, engines)
            async with anyio.create_task_group() as group:
                for number in range(ENGINES):
                    group.start_soon(fleet.follow, number)
                sent_at_bound = None
                began = anyio.current_time()
                for number in range(1, 400):
                    part = "bad" if number % 4 == 0 else "doc"
                    group.start_soon(call, edge, number, part)
                    await anyio.sleep(0.03)
                    ends = fleet.allowance_ends
                    if sent_at_bound is None and ends is not None:
                        if anyio.current_time() > ends:
                            sent_at_bound = fleet.count_sent("bad")
                    if anyio.current_time() > began + 8:
                        break
                late = fleet.count_sent("bad") - (
                    sent_at_bound or fleet.count_sent("bad")
                )
                assert late <= MAX_LATE_REQUESTS
                last_crash = max(fleet.crashes)
                await anyio.sleep(0.6)
                group.cancel_scope.cancel()
            after = [
                whole and status == 200
                for at, status, whole in statuses["doc"]
                if at > last_crash + 1
            ]
            assert len(after) > 60 and sum(after) > 0.9 * len(after)
            refused = [
                s for at, s, _ in statuses["bad"] if at > last_crash + 1
            ]
            assert refused and set(refused) == {503}

    anyio.run(body, backend_options={"use_uvloop": True})


def make_crash(number, *parts):
    """Return a crash and when its request was sent and broke, in ms."""
    crashed = quarantine.Incarnation(f"e{number}", 1)
    return crashed, parts, quarantine.Interval(200 * number, 200 * number + 99)


def report_crashes(quarantined, crashes, now=0):
    for crashed, parts, interval in crashes:
        quarantined.report_crash(crashed, parts, interval, now)


def test_part_is_quarantined_after_four_crashes_without_an_answer():
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, f"top{n}", "bad") for n in range(3)])
    parts.judge(60_000)
    assert parts.quarantined_part(("bad",), 60_000) is None
    report_crashes(parts, [make_crash(3, "top3", "bad")], 60_000)
    assert parts.quarantined_part(("bad",), 60_999) is None
    assert parts.quarantined_part(("top3", "bad"), 61_000) == "bad"
    assert parts.quarantined_part(("top3",), 61_000) is None
    assert parts.retry_after_s("bad", 61_000) == 600
    assert parts.quarantined_part(("bad",), 61_000 + 600_000) is None


def test_one_endpoint_that_breaks_many_requests_is_one_crash():
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(1, "doc")] * 10)
    parts.judge(60_000)
    assert parts.quarantined_part(("doc",), 60_000) is None


def test_restarts_under_one_identifier_are_separate_crashes():
    parts = quarantine.Quarantine()
    for born in range(4):
        crashed = quarantine.Incarnation("e", born)
        interval = quarantine.Interval(200 * born, 200 * born + 99)
        parts.report_crash(crashed, ("bad",), interval, 0)
    assert parts.quarantined_part(("bad",), 1000) == "bad"


def test_answers_clear_what_sound_requests_share():
    """Pattern: all requests of a route share a system prompt."""
    parts = quarantine.Quarantine()
    for number in range(8):
        now = 100 * number
        report_crashes(parts, [make_crash(number, "system", "bad")], now)
        parts.report_sound(("system", "doc"), now + 50)
    parts.judge(10_000)
    assert parts.quarantined_part(("system",), 10_000) is None
    assert parts.quarantined_part(("system", "bad"), 10_000) == "bad"


def test_of_parts_with_the_same_crashes_the_last_is_quarantined_later():
    parts = quarantine.Quarantine()
    crashes = [make_crash(n, "system", "caller", "bad") for n in range(4)]
    report_crashes(parts, crashes)
    assert parts.quarantined_part(("bad",), 1999) is None
    assert parts.quarantined_part(("bad",), 2000) == "bad"
    parts.judge(60_000)
    assert parts.quarantined_part(("system", "caller"), 60_000) is None


def test_crashes_with_a_quarantined_part_accuse_no_other():
    """Pattern: requests beside the crashing ones are retried and break."""
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, "bad") for n in range(4)])
    parts.judge(1000)
    report_crashes(
        parts, [make_crash(n, "doc", "bad") for n in range(4, 9)], 1000
    )
    parts.judge(60_000)
    assert list(parts.released_at) == ["bad"]


def test_an_answer_releases_a_quarantined_part():
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, "doc") for n in range(4)])
    assert parts.quarantined_part(("doc",), 1000) == "doc"
    parts.report_sound(("doc",), 1001)
    assert parts.quarantined_part(("doc",), 1002) is None


# Guards against: when many endpoints end at once, what all their requests
# share is taken for the cause, and a whole route is refused (rosfield-hub
# scale-2, caballeriza-central trouble-1).
def test_parts_at_endpoints_that_end_together_are_not_suspect():
    parts = quarantine.Quarantine()
    for number in range(9):
        crashed, shared, _ = make_crash(number, "system")
        interval = quarantine.Interval(100 * number, 1000 + 300 * number)
        parts.report_crash(crashed, shared, interval, 4000)
    assert parts.quarantined_part(("system",), 60_000) is None


# Guards against: a request that finds its connection dead is taken for the
# one that crashed the endpoint.
def test_requests_that_break_before_an_answer_can_begin_are_not_suspect():
    parts = quarantine.Quarantine()
    for number in range(9):
        crashed, shared, _ = make_crash(number, "system")
        interval = quarantine.Interval(100 * number, 100 * number + 2)
        parts.report_crash(crashed, shared, interval, 4000)
    assert not parts.crashes


REQUEST = "request/1f3828444626a1ab"


def test_request_is_quarantined_after_three_crashes_and_its_parts_are_not():
    parts = quarantine.Quarantine()
    crashes = [make_crash(n, "system", "caller", REQUEST) for n in range(4)]
    report_crashes(parts, crashes[:2])
    parts.judge(60_000)
    assert not parts.released_at
    report_crashes(parts, crashes[2:], 60_000)
    parts.judge(60_999)
    assert not parts.released_at
    parts.judge(61_000)
    assert list(parts.released_at) == [REQUEST]
    parts.judge(120_000)
    assert parts.quarantined_part(("system", "caller"), 120_000) is None


def test_part_of_a_quarantined_request_is_quarantined_at_the_next_crash():
    """Pattern: callers repeat a few requests with a crashing part."""
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, "bad", REQUEST) for n in range(4)])
    parts.judge(1000)
    assert list(parts.released_at) == [REQUEST]
    report_crashes(parts, [make_crash(7, "bad", "request/other")], 9000)
    parts.judge(9000 + quarantine.SETTLING_MS)
    assert "bad" in parts.released_at


def test_answer_takes_the_parts_of_a_quarantined_request_off_probation():
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, "doc", REQUEST) for n in range(4)])
    parts.judge(1000)
    parts.report_sound(("doc", "request/other"), 2000)
    report_crashes(parts, [make_crash(7, "doc", "request/third")], 9000)
    parts.judge(60_000)
    assert list(parts.released_at) == [REQUEST]


# Guards against: a sound request that is repeated beside endpoints that end
# for other reasons is refused.
def test_request_that_was_answered_lately_is_not_suspect():
    """Two edges: one has the answer, at the other endpoints end."""
    answered, accusing = quarantine.Quarantine(), quarantine.Quarantine()
    answered.report_sound((REQUEST,), 0)
    report_crashes(accusing, [make_crash(n, REQUEST) for n in range(5)], 500)
    for finding in accusing.findings.drain():
        answered.apply_finding(finding, 600)
    for finding in answered.findings.drain():
        accusing.apply_finding(finding, 700)
    report_crashes(answered, [make_crash(n, REQUEST) for n in range(5)], 800)
    for edge in (answered, accusing):
        edge.judge(60_000)
        assert not edge.released_at and not edge.suspicions


def test_endpoint_that_answers_later_requests_has_not_crashed():
    """Pattern: endpoints close connections and go on serving."""
    parts = quarantine.Quarantine()
    crashes = [make_crash(n, REQUEST) for n in range(3)]
    report_crashes(parts, crashes)
    # Sent before, or answered by the next start under the same identifier.
    for crashed, _, interval in crashes:
        for later_ms in (-1, quarantine.MIN_RESTART_MS):
            sent_ms = interval.broken_ms + later_ms
            parts.report_answering(crashed, sent_ms, 5000)
    assert len(parts.crashes) == 3
    for crashed, _, interval in crashes:
        parts.report_answering(crashed, interval.broken_ms + 1, 500)
    parts.judge(60_000)
    assert not parts.crashes and not parts.released_at


# Guards against: a crash is not counted against the request whose edge had
# just given the endpoint up for its silence (incident second1).
@pytest.mark.parametrize("noticed_by", ("other edge", "refusal", "earlier"))
def test_request_taken_from_a_silent_endpoint_is_at_its_crash(noticed_by):
    parts = quarantine.Quarantine()
    for number in range(3):
        crashed, _, interval = make_crash(number, REQUEST)
        other = messages.PartFinding(
            "crash", *crashed, ("request/beside",), *interval
        )
        left = quarantine.Interval(interval.sent_ms, interval.broken_ms - 5)
        if noticed_by == "earlier":
            parts.apply_finding(other, 0)
        parts.report_abandoned(crashed, (REQUEST,), left, 0)
        if noticed_by == "other edge":
            parts.apply_finding(other, 0)
        if noticed_by == "refusal":
            parts.report_ended(crashed, interval.broken_ms, 0)
    assert len(parts.suspicions[REQUEST]) == 3


def test_endpoint_that_ends_long_after_it_was_given_up_accuses_nothing():
    parts = quarantine.Quarantine()
    crashed, _, interval = make_crash(1)
    parts.report_abandoned(crashed, (REQUEST,), interval, 0)
    late = quarantine.ABANDONED_TTL_MS + 1
    parts.report_ended(crashed, interval.broken_ms + late, late)
    assert not parts.crashes


def test_memory_of_requests_is_bounded():
    parts = quarantine.Quarantine()
    for number in range(3 * quarantine.MAX_ANSWERED):
        parts.report_sound((f"request/{number}",), number)
        crashed, _, interval = make_crash(number)
        parts.report_abandoned(crashed, (f"request/{number}",), interval, 0)
    assert len(parts.answered.items) == quarantine.MAX_ANSWERED
    assert len(parts.abandoned.items) == quarantine.MAX_ABANDONED


def test_crashes_are_forgotten():
    parts = quarantine.Quarantine()
    report_crashes(parts, [make_crash(n, "doc") for n in range(3)])
    parts.judge(quarantine.CRASH_TTL_MS + 1)
    assert not parts.crashes and not parts.suspicions


def test_memory_is_bounded():
    parts = quarantine.Quarantine()
    for number in range(quarantine.MAX_CRASHES + 50):
        report_crashes(parts, [make_crash(number, f"p{number}")])
    assert (
        len(parts.crashes) == len(parts.suspicions) == quarantine.MAX_CRASHES
    )


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("crash", "crash", "sound", "wait")),
        st.integers(0, 5),
        st.lists(
            st.sampled_from(("a", "b", "c", "request/d", "request/e")),
            max_size=3,
            unique=True,
        ).map(sorted),
    ),
    max_size=40,
)


@given(ACTIONS)
def test_edges_with_the_same_findings_agree(actions):
    """Two edges: one finds, the other is told, also twice."""
    finder, told = quarantine.Quarantine(), quarantine.Quarantine()
    now = 0
    for action, number, parts in actions:
        now += 400 if action == "wait" else 1
        if action == "crash":
            report_crashes(finder, [make_crash(number, *parts)], now)
        elif action == "sound":
            finder.report_sound(tuple(parts), now)
        finder.judge(now)
        # What the told edge finds in turn is news to nobody.
        told.findings.drain()
        for finding in finder.findings.drain() * 2:
            told.apply_finding(finding, now)
        told.judge(now)
        assert set(told.released_at) == set(finder.released_at)
        assert told.suspicions == finder.suspicions
        assert all(finder.suspicions.values())
        for part, at in finder.suspicions.items():
            assert all(part in finder.crashes[c].parts for c in at)


# How requests with the crashing part arrive, as pauses in ms between them.
ARRIVALS = {
    "steady": lambda rng: rng.uniform(200, 500),
    "rare": lambda rng: rng.uniform(1000, 4000),
    "bursts": lambda rng: rng.choice((20, 40, 60, 3000)),
    "flood": lambda rng: rng.uniform(10, 60),
}


# 81 and 157 of the flood had the parts of whole routes quarantined, which
# were suspect before the crashing one.
@pytest.mark.parametrize("arrivals", ARRIVALS)
@pytest.mark.parametrize("seed", (*range(10), 81, 157))
def test_edges_keep_the_bound_and_sound_requests(arrivals, seed):
    """Random schedules of crashing and sound requests at six edges."""
    fleet = quarantine_fleet.Fleet(f"{arrivals} {seed}")

    def arrive():
        fleet.send_bad()
        fleet.at(ARRIVALS[arrivals](fleet.rng), arrive)

    fleet.at(5000, arrive)
    fleet.run(60_000)
    crashes = fleet.crashes[:FREE_CRASHES]
    allowed_until = crashes[-1] + 1000 * CONTACT_S
    if len(crashes) == FREE_CRASHES:
        late = [at for at in fleet.bad_sends if at > allowed_until]
        assert len(late) <= MAX_LATE_REQUESTS
    # Half of the sound requests have to be served from then on.
    later = [part for at, part in fleet.sound if at > allowed_until + 3000]
    assert len(later) > 500 and not any(later)


# Guards against: the parts that a crashing request shares with sound ones
# are quarantined in its place, or it comes through again and again.
@pytest.mark.parametrize("arrivals", ARRIVALS)
@pytest.mark.parametrize("seed", range(12))
def test_repeated_request_is_quarantined_and_its_parts_are_not(arrivals, seed):
    """Random schedules of one request, repeated beside sound ones."""
    fleet = quarantine_fleet.Fleet(f"repeated {arrivals} {seed}")

    def arrive():
        fleet.send_bad_request()
        fleet.at(ARRIVALS[arrivals](fleet.rng), arrive)

    fleet.at(5000, arrive)
    fleet.run(60_000)
    free_crashes = 3
    assert len(fleet.crashes) >= free_crashes
    allowed_until = fleet.crashes[free_crashes - 1] + 1000 * CONTACT_S
    late = [at for at in fleet.bad_sends if at > allowed_until]
    assert len(late) <= MAX_LATE_REQUESTS
    later = [part for at, part in fleet.sound if at > allowed_until]
    assert len(later) > 500 and not any(later)


# 92, 175 and 207 had one rarely used part quarantined after three crashes.
@pytest.mark.parametrize("seed", (*range(12), 92, 175, 207))
def test_outages_of_many_endpoints_quarantine_nothing(seed):
    """Random outages of some to all engines, no crashing part."""
    fleet = quarantine_fleet.Fleet(f"outages {seed}")
    for at_ms in (5000, 12_000, 14_000, 25_000, 26_000, 27_000):
        count = fleet.rng.randint(2, quarantine_fleet.ENGINES)
        fleet.at(at_ms, fleet.end_engines, count)
    fleet.run(45_000)
    assert not any(edge.released_at for edge in fleet.edges)


# Guards against: a crash that is reported again long after, with a part that
# is quarantined by then, ends the task that handles the report.
def test_crash_that_is_reported_again_after_it_was_forgotten():
    now = 1000
    kept = quarantine.Quarantine()

    def report(endpoint, parts, sent_ms, at):
        finding = messages.PartFinding(
            quarantine.CRASH,
            parts=parts,
            endpoint=endpoint,
            born=1,
            sent_ms=sent_ms,
            broken_ms=sent_ms + 20,
        )
        kept.apply_finding(finding, at)

    report("e-0", ("bad", "other"), now, now)
    later = now + quarantine.CRASH_TTL_MS
    bad = messages.PartFinding(quarantine.QUARANTINED, parts=("bad",))
    kept.apply_finding(bad, later - 500)
    for number in range(1, quarantine.MIN_CRASHES + 1):
        report(f"e-{number}", ("s",), later - 500 + 50 * number, later - 100)
    assert kept.suspect_since
    report("e-0", ("bad", "other"), now, later + 1)
    endpoint = quarantine.Incarnation("e-0", 1)
    assert kept.crashes[endpoint].is_explained
    assert kept.quarantined_part(("bad",), later + 1) == "bad"
    assert kept.quarantined_part(("other",), later + 1) is None
