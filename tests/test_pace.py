"""Tests of the pace that endpoints state with their answers."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import balancer as balancer_module
from primrosehitch import httpclient
from primrosehitch import linelimit
from primrosehitch import messages
from primrosehitch import pace
from primrosehitch.platform import dialect

RequestProfile = balancer_module.RequestProfile
PLAIN = RequestProfile("s")
PROMPT = RequestProfile(
    "s", (balancer_module.PromptPart("own", 400),), 400, 50
)


def read_load(*values):
    headers = [(b"server-load", value) for value in values]
    head = httpclient.ResponseHead(200, headers, 0)
    return dialect.PlatformDialect().read_answer(head)


def make_balancer(count, slots=6, kv_tokens=0, seed=1):
    balancer = balancer_module.Balancer("za", random.Random(seed))
    for number in range(count):
        record = messages.EndpointRecord(
            id=f"e{number}",
            born=1,
            service="s",
            address=f"10.0.0.{number}:80",
            domain="za",
            slots=slots,
            state="ready",
        )
        balancer.update_endpoint(record, kv_tokens)
    return balancer


def report(balancer, identifier, figure, now, running=0):
    endpoint = balancer.endpoints[identifier]
    load = balancer_module.ReportedLoad(running, 0, 6, now, figure)
    balancer.record_reported_load(endpoint, load)


def expected_ms(balancer, profile, now, identifier="e0"):
    others = [e for e in balancer.endpoints if e != identifier]
    return balancer.choose(profile, others, now).expected_ms


# Guards against: a header with four figures is ignored, or the fourth is
# lost (day of bursts of 2026-12-06).
@pytest.mark.parametrize(
    "value,load",
    [
        (b"3,1,8", (3, 1, 8, 0.0)),
        (b"3,1,8,100", (3, 1, 8, 1.0)),
        (b" 3 , 1 , 8 , 250 ", (3, 1, 8, 2.5)),
        (b"3,1,8,87.5", (3, 1, 8, 0.875)),
    ],
)
def test_load_of_three_or_four_figures_is_read(value, load):
    info = read_load(value)
    assert (info.running, info.waiting, info.slots, info.pace) == load
    assert info.malformed_load == ""


# Guards against: a malformed figure passes for a load of 0 or for a pace that
# makes an endpoint look fast.
@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"3,1"],
        [b"3,1,8,100,1"],
        [b"3,1,8,0"],
        [b"3,1,8,-5"],
        [b"3,1,8,1e9"],
        [b"3,1,8,nan"],
        [b"3,1,8,"],
        [b"3,x,8,100"],
        [b"3,1,8,999999999"],
        [b"3,1,8", b"4,1,8"],
    ],
)
def test_other_loads_are_malformed_as_a_whole(values):
    info = read_load(*values)
    assert (info.running, info.waiting, info.slots, info.pace) == (-1, 0, 0, 0)
    assert 0 < len(info.malformed_load) <= 40


def test_missing_load_is_not_malformed():
    info = read_load()
    assert (info.running, info.malformed_load) == (-1, "")


@given(st.binary(max_size=60))
def test_any_load_is_read_or_malformed(value):
    info = read_load(value)
    assert (info.running >= 0) != bool(info.malformed_load)
    assert info.pace == 0 or 0 < info.pace <= 1000


# Guards against: an endpoint that sends a malformed header with each answer
# fills the log.
def test_lines_of_one_cause_are_limited():
    limit = linelimit.LineLimit(1000)
    written = [limit.take("e0", now) for now in range(0, 3000, 10)]
    assert [n for n in written if n is not None] == [0, 99, 99]
    assert limit.take("e1", 5) == 0
    for number in range(5000):
        limit.take(number, 10_000)
    assert len(limit.lines) == linelimit.MAX_KEYS


def test_without_stated_paces_predictions_are_unchanged():
    for profile in (PLAIN, PROMPT):
        balancer = make_balancer(1, kv_tokens=400_000)
        before = expected_ms(balancer, profile, 0)
        report(balancer, "e0", 0.0, 0)
        assert expected_ms(balancer, profile, 10) == before


# Guards against: an endpoint at its usual pace, with figures that vary by a
# little, gets another prediction than one that states none.
@pytest.mark.parametrize("figure", [0.4, 0.9, 1.0, 1.1])
def test_usual_or_faster_pace_changes_no_prediction(figure):
    balancer = make_balancer(1)
    before = expected_ms(balancer, PLAIN, 0)
    for now in range(0, 1000, 20):
        report(balancer, "e0", figure, now)
    assert expected_ms(balancer, PLAIN, 1000) == before


@pytest.mark.parametrize("profile", [PLAIN, PROMPT])
def test_prediction_grows_with_the_pace_and_returns(profile):
    """Load: one endpoint that is four times as slow for one second."""
    balancer = make_balancer(1)
    usual_ms = expected_ms(balancer, profile, 0)
    for now in range(0, 1000, 50):
        report(balancer, "e0", 4.0, now)
    assert expected_ms(balancer, profile, 950) > 3 * usual_ms
    assert expected_ms(balancer, profile, 1950) < 2.5 * usual_ms
    assert expected_ms(balancer, profile, 8000) == pytest.approx(usual_ms)


# Guards against: one momentary figure, or many of the same moment, decide
# where the requests of the next second go.
def test_figures_of_one_moment_count_about_once():
    estimate = pace.PaceEstimate()
    for now in range(0, 1000, 20):
        estimate.record(1.0, now)
    for _ in range(4):
        estimate.record(10.0, 1000)
    assert estimate.factor(1000) < 4


def test_calls_measured_while_slow_do_not_count_twice():
    """Load: calls of 30 ms at the usual pace, 90 ms while three times slow."""
    balancer = make_balancer(1)
    for number in range(200):
        now = number * 20
        choice = balancer.choose(PLAIN, (), now)
        balancer.record_start(choice, PLAIN, now)
        slow = number >= 100
        report(balancer, "e0", 3.0 if slow else 1.0, now)
        balancer.record_first_byte(choice, PLAIN, 90 if slow else 30)
        balancer.record_finish(choice, PLAIN, True)
    assert 60 < expected_ms(balancer, PLAIN, 4000) < 140


def simulate_edges(paces, requests, period=4, edge_count=20, endpoint_count=8):
    """Return the requests by endpoint of edges that learn from answers.

    Load: each edge sends one call in a period; it ends after 20 ms times the
    pace, and states the pace of that moment. Edges learn the load of others
    every 250 ms.

    Args:
        paces: returns the pace of an endpoint at a time.
        requests: number of requests of each edge.
        period: time between two calls of an edge, in steps of 10 ms.
        edge_count: number of edges.
        endpoint_count: number of endpoints.
    """
    edges = [
        make_balancer(endpoint_count, seed=seed) for seed in range(edge_count)
    ]
    sent = []
    under_way = []
    for step in range(requests * period):
        now = step * 10
        for item in [i for i in under_way if i[0] <= now]:
            under_way.remove(item)
            _, edge, choice, took_ms = item
            identifier = choice.endpoint.record.id
            report(edge, identifier, paces(identifier, now), now)
            edge.record_first_byte(choice, PLAIN, took_ms)
            edge.record_finish(choice, PLAIN, True)
        if step % 25 == 0:
            sums = {}
            for load in [i for e in edges for i in e.publish_loads()]:
                sums[load.id] = sums.get(load.id, 0) + load.running
            totals = [messages.EndpointLoad(i, n, 0) for i, n in sums.items()]
            for edge in edges:
                edge.apply_load_totals(
                    messages.LoadReport(1, (), tuple(totals))
                )
        for number, edge in enumerate(edges):
            if (step + number) % period:
                continue
            choice = edge.choose(PLAIN, (), now)
            edge.record_start(choice, PLAIN, now)
            identifier = choice.endpoint.record.id
            took_ms = 20 * paces(identifier, now)
            under_way.append((now + took_ms, edge, choice, took_ms))
            running = sum(
                item[2].endpoint.record.id == identifier for item in under_way
            )
            sent.append((now, identifier, running))
    return sent


def count_by_endpoint(sent, since, until):
    counts = {}
    for now, identifier, _ in sent:
        if since <= now < until:
            counts[identifier] = counts.get(identifier, 0) + 1
    return counts


def test_slowed_endpoints_get_less_while_they_are_slow():
    """Load: 500 calls/s of 20 edges; two of 8 endpoints slow from 1 to 4 s."""

    def paces(identifier, now):
        slow = identifier in ("e0", "e1") and 1000 <= now < 4000
        return 4.0 if slow else 1.0

    sent = simulate_edges(paces, 200)
    during = count_by_endpoint(sent, 1500, 4000)
    mean = sum(during.values()) / 8
    assert during.get("e0", 0) < 0.6 * mean
    assert during.get("e1", 0) < 0.6 * mean
    after = count_by_endpoint(sent, 6500, 8000)
    mean = sum(after.values()) / 8
    assert after["e0"] > 0.6 * mean and after["e1"] > 0.6 * mean


def random_paces(seed, sigma=0.5):
    """Return paces that change at random every 50 ms."""
    rng = random.Random(seed)
    figures = {}

    def paces(identifier, now):
        key = (identifier, now // 50)
        if key not in figures:
            figures[key] = rng.lognormvariate(0.0, sigma)
        return figures[key]

    return paces


def measure_herding(seed):
    """Return the mean peak share of an endpoint, and the mean time of calls.

    The share counts the requests in 200 ms, 1.0 is an equal share. The time
    grows with the requests beyond the slots of the endpoint.
    """
    paces = random_paces(seed)
    sent = simulate_edges(paces, 200, period=2)
    shares = []
    for since in range(1000, 4000, 200):
        counts = count_by_endpoint(sent, since, since + 200)
        shares.append(8 * max(counts.values()) / sum(counts.values()))
    times = [
        20 * paces(identifier, now) * max(1, running / 6)
        for now, identifier, running in sent
    ]
    return sum(shares) / len(shares), sum(times) / len(times)


# Guards against: all edges choose the endpoint whose last figure was best.
def test_edges_do_not_herd_on_the_momentarily_fastest(monkeypatch):
    """Load: 1000 calls/s of 20 edges; paces change at random every 50 ms."""
    with_pace = [measure_herding(seed) for seed in range(4)]
    monkeypatch.setattr(pace, "PACE_ENABLED", False)
    without = [measure_herding(seed) for seed in range(4)]
    assert sum(s for s, _ in with_pace) < 1.1 * sum(s for s, _ in without)
    assert sum(t for _, t in with_pace) < sum(t for _, t in without)
