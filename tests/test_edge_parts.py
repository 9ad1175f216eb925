"""The small pure parts of an edge: time, budget, events, counts, sums."""

import os

from hypothesis import given
from hypothesis import strategies as st

from primrosehitch import budget
from primrosehitch import eventframes
from primrosehitch import loads
from primrosehitch import logsink
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import peers
from primrosehitch import truetime


def test_true_time_follows_the_median_not_a_step():
    time = truetime.TrueTime(1_000_000, 0)
    for name in ("a", "b", "c"):
        time.add_report(name, 1_000_500, 500)
    time.update_from_reports(9_000_000, 500)
    assert time.wall_ms_at(500) == 1_000_500


def test_true_time_alone_ignores_its_own_step():
    time = truetime.TrueTime(1_000_000, 0)
    time.update_from_reports(9_000_000, 500)
    assert time.wall_ms_at(500) == 1_000_500


def test_old_reports_do_not_count():
    time = truetime.TrueTime(1_000_000, 0)
    time.add_report("a", 5_000_000, 0)
    time.update_from_reports(1_010_000, 10_000)
    assert time.wall_ms_at(10_000) == 1_010_000


@given(
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=300),
    st.integers(1, 3),
)
def test_edges_together_stay_within_the_budget(steps, edges):
    """However requests and retries fall, the sum keeps the bound."""
    ratio, slack, window = 0.2, 9, 1000
    shares = [
        budget.SharedRetryBudget(ratio, slack, window) for _ in range(edges)
    ]
    requests, retries, now = [], [], 0
    for edge, retry in steps:
        now += 7
        share = shares[edge % edges]
        share.set_edge_count(edges)
        share.record_request("s", now)
        requests.append(now)
        if retry and share.try_spend("s", now):
            retries.append(now)
        used = sum(now - t < window for t in retries)
        asked = sum(now - t < window for t in requests)
        assert used <= ratio * asked + slack


EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n * n) for n in range(1, 30)]


@given(st.lists(st.integers(1, 20), max_size=40))
def test_events_come_whole_however_they_are_cut(cuts):
    frames = eventframes.EventSplitter()
    data, out = b"".join(EVENTS), b""
    for size in [*cuts, len(data)]:
        out += frames.feed(data[:size])
        assert out == b"".join(EVENTS[: frames.event_count])
        data = data[size:]
    assert out == b"".join(EVENTS)
    assert frames.is_at_event_boundary
    assert frames.last_id == b"29"


@given(st.integers(0, 28), st.integers(0, 10), st.integers(0, 3))
def test_a_resumed_stream_has_each_event_once(whole, half, again):
    """The second run may begin some events too early."""
    frames = eventframes.EventSplitter()
    out = frames.feed(b"".join(EVENTS[:whole]) + EVENTS[whole][:half])
    frames.prepare_resume()
    out += frames.feed(b"".join(EVENTS[max(0, whole - again) :]))
    assert out == b"".join(EVENTS)


def test_an_event_without_end_is_refused():
    frames = eventframes.EventSplitter()
    try:
        frames.feed(b"x" * (eventframes.MAX_EVENT_BYTES + 1))
    except eventframes.EventTooLargeError:
        return
    raise AssertionError("kept without bound")


def test_counts_survive_loss_and_repetition():
    meter = metering.WindowMeter("e", 1, 5000)
    tallies = metering.TallyAggregator()
    for at in (100, 200, 5100):
        meter.count_request("ana", at)
    lost = meter.take_changed_totals()
    meter.count_request("bea", 300)
    tallies.apply_batch(meter.all_totals())
    tallies.apply_batch(meter.all_totals())
    tallies.apply_batch(lost)
    assert tallies.window_totals(0).counts == (
        messages.CustomerCount("ana", 2),
        messages.CustomerCount("bea", 1),
    )
    assert tallies.window_totals(1).counts == (
        messages.CustomerCount("ana", 1),
    )
    assert tallies.window_totals(2).counts == ()


def test_starts_of_an_edge_add_up():
    tallies = metering.TallyAggregator()
    for incarnation in (1, 2):
        meter = metering.WindowMeter("e", incarnation, 5000)
        meter.count_request("ana", 100)
        tallies.apply_batch(meter.all_totals())
    assert tallies.window_totals(0).counts == (
        messages.CustomerCount("ana", 2),
    )


def report(running, reading):
    return messages.LoadReport(
        0,
        (messages.ServiceDemand("s", running),),
        (messages.EndpointLoad("e", running, reading),),
    )


def test_loads_add_up_and_grow_old():
    sums = loads.LoadAggregator()
    sums.add_report("a", report(2, 100), 0)
    sums.add_report("b", report(3, 50), 1000)
    total = sums.total()
    assert total.loads == (messages.EndpointLoad("e", 5, 150),)
    assert total.demands == (messages.ServiceDemand("s", 5),)
    sums.expire(loads.REPORT_TTL_MS + 1)
    assert sums.total().loads == (messages.EndpointLoad("e", 3, 50),)


def presence(link, sequence=1, incarnation=1, **fields):
    return messages.Presence(
        link=link,
        replica=f"{link}/1",
        domain="z",
        incarnation=incarnation,
        sequence=sequence,
        **fields,
    )


def test_peers_come_and_go():
    found = peers.Peers("a:1")
    found.apply_presence(presence("b:1", edges=3), 0)
    found.apply_presence(presence("a:1"), 0)
    assert found.link_names() == ["b:1"]
    assert found.replicas_by_link(100) == {"b:1": "b:1/1"}
    assert found.edge_count(100) == 3
    late = peers.ALIVE_TIMEOUT_MS + 1
    assert found.replicas_by_link(late) == {}
    assert found.silent_replicas(("b:1/1",), peers.REPLICA_TIMEOUT_MS) == set()
    later = peers.REPLICA_TIMEOUT_MS + 1
    assert found.silent_replicas(("b:1/1",), later) == {"b:1/1"}
    assert found.expire(peers.REMOVAL_TIMEOUT_MS + 1) == ["b:1"]


def test_older_news_of_a_peer_change_nothing():
    found = peers.Peers("a:1")
    found.apply_presence(presence("b:1", sequence=5, edges=2), 0)
    found.apply_presence(presence("b:1", sequence=4, edges=7), 10)
    assert found.edge_count(10) == 2


def test_a_peer_whose_clock_went_back_is_heard_after_a_restart():
    found = peers.Peers("a:1")
    found.apply_presence(presence("b:1", sequence=50, incarnation=9_000), 0)
    found.apply_presence(presence("b:1", sequence=1, incarnation=1_000), 5000)
    assert found.replicas_by_link(5000) == {"b:1": "b:1/1"}


def test_a_replica_never_heard_counts_from_the_first_question():
    found = peers.Peers("a:1")
    assert found.silent_replicas(("x",), 100_000) == set()
    later = 100_001 + peers.REPLICA_TIMEOUT_MS
    assert found.silent_replicas(("x",), later) == {"x"}


def test_the_log_never_waits_and_is_bounded():
    reader, writer = os.pipe()
    now = [0]
    sink = logsink.LogSink(writer, lambda: now[0])
    line = b"x" * 1000 + b"\n"
    for _ in range(logsink.BURST_LINES + 500):
        sink.write(line)
    assert sink.waiting_bytes <= logsink.KEPT_BYTES
    dropped = sink.take_dropped()
    assert dropped >= 500
    assert sink.take_dropped() == 0
    got = 0
    while sink.waiting:
        got += len(os.read(reader, 1 << 16))
        sink.flush()
    got += len(os.read(reader, 1 << 20))
    assert got == (logsink.BURST_LINES + 500 - dropped) * len(line)
    os.close(reader)
    os.close(writer)


def test_lines_are_allowed_again_with_time():
    reader, writer = os.pipe()
    now = [0]
    sink = logsink.LogSink(writer, lambda: now[0])
    sink.allowance = 0
    sink.write(b"a\n")
    now[0] = 1000
    sink.write(b"b\n")
    assert os.read(reader, 10) == b"b\n"
    assert sink.take_dropped() == 1
    os.close(reader)
    os.close(writer)
