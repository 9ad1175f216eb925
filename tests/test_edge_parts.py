"""Tests of an edge's small parts: time, budget, events, tallies, loads."""

import os

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import budget
from primrosehitch import eventframes
from primrosehitch import loads
from primrosehitch import logsink
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import peers
from primrosehitch import truetime


def test_true_time_follows_the_median_despite_a_clock_step():
    true_time = truetime.TrueTime(1_000_000, 0)
    for name in ("a", "b", "c"):
        true_time.add_report(name, 1_000_500, 500)
    true_time.update_from_reports(9_000_000, 500)
    assert true_time.wall_ms_at(500) == 1_000_500


def test_true_time_without_reports_ignores_a_clock_step():
    true_time = truetime.TrueTime(1_000_000, 0)
    true_time.update_from_reports(9_000_000, 500)
    assert true_time.wall_ms_at(500) == 1_000_500


def test_true_time_ignores_old_reports():
    true_time = truetime.TrueTime(1_000_000, 0)
    true_time.add_report("a", 5_000_000, 0)
    true_time.update_from_reports(1_010_000, 10_000)
    assert true_time.wall_ms_at(10_000) == 1_010_000


@given(
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=300),
    st.integers(1, 3),
)
def test_retries_of_all_edges_stay_within_the_budget(actions, edges):
    """The bound holds for the sum, in any order of requests and retries."""
    ratio, slack, window = 0.2, 9, 1000
    edge_budgets = [
        budget.SharedRetryBudget(ratio, slack, window) for _ in range(edges)
    ]
    requests, retries, now = [], [], 0
    for edge, retry in actions:
        now += 7
        edge_budget = edge_budgets[edge % edges]
        edge_budget.set_edge_count(edges)
        edge_budget.record_request("s", now)
        requests.append(now)
        if retry and edge_budget.try_spend("s", now):
            retries.append(now)
        recent_retries = sum(now - t < window for t in retries)
        recent_requests = sum(now - t < window for t in requests)
        assert recent_retries <= ratio * recent_requests + slack


EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n * n) for n in range(1, 30)]


@given(st.lists(st.integers(1, 20), max_size=40))
def test_events_are_complete_for_any_chunk_sizes(chunk_sizes):
    splitter = eventframes.EventSplitter()
    data, output = b"".join(EVENTS), b""
    for size in [*chunk_sizes, len(data)]:
        output += splitter.feed(data[:size])
        assert output == b"".join(EVENTS[: splitter.event_count])
        data = data[size:]
    assert output == b"".join(EVENTS)
    assert splitter.is_at_event_boundary
    assert splitter.last_id == b"29"


@given(st.integers(0, 28), st.integers(0, 10), st.integers(0, 3))
def test_resumed_stream_has_each_event_once(complete, partial, repeated):
    """The endpoint that resumes may repeat events before the last one."""
    splitter = eventframes.EventSplitter()
    output = splitter.feed(
        b"".join(EVENTS[:complete]) + EVENTS[complete][:partial]
    )
    splitter.prepare_resume()
    output += splitter.feed(b"".join(EVENTS[max(0, complete - repeated) :]))
    assert output == b"".join(EVENTS)


FOREIGN_BLOCKS = {
    "no-id": b"data: x\n\n",
    "empty-id": b"id:\ndata: x\n\n",
    "blank-id": b"id: \ndata: x\n\n",
    "word": b"id: x7\ndata: x\n\n",
    "goes-back": b"id: 1\ndata: x\n\n",
    "same": b"id: 2\ndata: x\n\n",
    "negative": b"id: -3\ndata: x\n\n",
    "foreign-digit": "id: \u0663\ndata: x\n\n".encode(),
    "endless-number": b"id: " + b"9" * 5000 + b"\ndata: x\n\n",
    "two-ids": b"id: 3\nda\nid: 4\ndata: x\n\n",
    "noise": b"\x00\xff\r\n\r\n",
    "glued": b"xxid: 3\ndata: 9\n\n",
}


# Guards against: a block without an identifier that follows the last one
# reaches the caller as an event of the stream.
@pytest.mark.parametrize("name", FOREIGN_BLOCKS)
@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_only_events_that_follow_each_other_are_passed_on(name, size):
    splitter = eventframes.EventSplitter()
    data = b"".join(EVENTS[:2]) + FOREIGN_BLOCKS[name] + EVENTS[2]
    output = b""
    with pytest.raises(eventframes.EventIdError) as caught:
        for start in range(0, len(data), size):
            output += splitter.feed(data[start : start + size])
    output += caught.value.sound_events
    assert output == b"".join(EVENTS[:2])
    assert (splitter.last_id, splitter.event_count) == (b"2", 2)
    # Another endpoint goes on after the last sound event.
    splitter.prepare_resume()
    output += splitter.feed(b"".join(EVENTS[1:]))
    assert output == b"".join(EVENTS)


def test_blocks_without_an_event_are_left_out():
    splitter = eventframes.EventSplitter()
    data = b": alive\n\n" + EVENTS[0] + b"\n\n" + b":\r\n\r\n" + EVENTS[1]
    assert splitter.feed(data) == EVENTS[0] + EVENTS[1]
    assert splitter.is_at_event_boundary


@pytest.mark.parametrize("last_id", [b"2", b"", b"none", b"9" * 5000])
def test_caller_that_resumes_gets_no_event_twice(last_id):
    splitter = eventframes.EventSplitter(last_id)
    known = int(last_id) if last_id == b"2" else 0
    assert splitter.feed(b"".join(EVENTS)) == b"".join(EVENTS[known:])


def test_event_without_end_is_refused():
    splitter = eventframes.EventSplitter()
    try:
        splitter.feed(b"x" * (eventframes.MAX_EVENT_BYTES + 1))
    except eventframes.EventTooLargeError:
        return
    raise AssertionError("an event without end was accepted")


def test_tallies_tolerate_lost_and_repeated_batches():
    meter = metering.WindowMeter("e", 1, 5000)
    tallies = metering.TallyAggregator()
    for true_ms in (100, 200, 5100):
        meter.count_request("ana", true_ms)
    delayed_batch = meter.take_changed_totals()
    meter.count_request("bea", 300)
    tallies.apply_batch(meter.all_totals())
    tallies.apply_batch(meter.all_totals())
    tallies.apply_batch(delayed_batch)
    assert tallies.window_totals(0).counts == (
        messages.CustomerCount("ana", 2),
        messages.CustomerCount("bea", 1),
    )
    assert tallies.window_totals(1).counts == (
        messages.CustomerCount("ana", 1),
    )
    assert tallies.window_totals(2).counts == ()


def test_tallies_add_up_over_incarnations_of_an_edge():
    tallies = metering.TallyAggregator()
    for incarnation in (1, 2):
        meter = metering.WindowMeter("e", incarnation, 5000)
        meter.count_request("ana", 100)
        tallies.apply_batch(meter.all_totals())
    assert tallies.window_totals(0).counts == (
        messages.CustomerCount("ana", 2),
    )


def load_report(running, reading):
    return messages.LoadReport(
        0,
        (messages.ServiceDemand("s", running),),
        (messages.EndpointLoad("e", running, reading),),
    )


def test_loads_add_up_and_expire():
    sums = loads.LoadAggregator()
    sums.add_report("a", load_report(2, 100), 0)
    sums.add_report("b", load_report(3, 50), 1000)
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


def test_peers_time_out_and_expire():
    peer_table = peers.Peers("a:1", 0)
    peer_table.apply_presence(presence("b:1", edges=3), 0)
    peer_table.apply_presence(presence("a:1"), 0)
    assert peer_table.link_names() == ["b:1"]
    assert peer_table.replicas_by_link(100) == {"b:1": "b:1/1"}
    assert peer_table.count_unnamed_edges(100) == 3
    after_alive_timeout = peers.ALIVE_TIMEOUT_MS + 1
    assert peer_table.replicas_by_link(after_alive_timeout) == {}
    assert (
        peer_table.silent_replicas(("b:1/1",), peers.REPLICA_TIMEOUT_MS)
        == set()
    )
    after_replica_timeout = peers.REPLICA_TIMEOUT_MS + 1
    assert peer_table.silent_replicas(("b:1/1",), after_replica_timeout) == {
        "b:1/1"
    }
    assert peer_table.expire(peers.REMOVAL_TIMEOUT_MS + 1) == ["b:1"]


def test_older_presence_of_a_peer_is_ignored():
    peer_table = peers.Peers("a:1", 0)
    peer_table.apply_presence(presence("b:1", sequence=5, edges=2), 0)
    peer_table.apply_presence(presence("b:1", sequence=4, edges=7), 10)
    assert peer_table.count_unnamed_edges(10) == 2


# Guards against: edges of a peer that went back to an older release are not
# counted, and edges of one that names them are counted twice.
def test_edges_that_a_peer_names_are_not_counted_by_its_number():
    peer_table = peers.Peers("a:1", 0)
    peer_table.apply_presence(presence("b:1", edges=2), 0)
    named = presence("c:1", edges=3, names_edges=True)
    peer_table.apply_presence(named, 0)
    assert peer_table.count_unnamed_edges(10) == 2
    older = presence("c:1", sequence=2, edges=3)
    peer_table.apply_presence(older, 10)
    assert peer_table.count_unnamed_edges(10) == 5


def test_restarted_peer_with_a_lower_incarnation_is_accepted():
    peer_table = peers.Peers("a:1", 0)
    peer_table.apply_presence(
        presence("b:1", sequence=50, incarnation=9_000), 0
    )
    peer_table.apply_presence(
        presence("b:1", sequence=1, incarnation=1_000), 5000
    )
    assert peer_table.replicas_by_link(5000) == {"b:1": "b:1/1"}


def test_unheard_replica_is_silent_since_the_start():
    peer_table = peers.Peers("a:1", 100_000)
    after_replica_timeout = 100_001 + peers.REPLICA_TIMEOUT_MS
    earlier = after_replica_timeout - 1
    assert peer_table.silent_replicas(("x",), earlier) == set()
    assert peer_table.silent_replicas(("x",), after_replica_timeout) == {"x"}


def test_replica_is_doubtful_until_it_counts_as_dead():
    peer_table = peers.Peers("a:1", 0)
    peer_table.apply_presence(presence("b:1"), 0)
    doubtful = [
        bool(peer_table.doubtful_replicas(("b:1/1",), now))
        for now in (
            peers.DOUBT_AFTER_MS,
            peers.DOUBT_AFTER_MS + 1,
            peers.ALIVE_TIMEOUT_MS,
            peers.ALIVE_TIMEOUT_MS + 1,
        )
    ]
    assert doubtful == [False, True, True, False]


def test_log_sink_never_blocks_and_is_bounded():
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
    received = 0
    while sink.waiting:
        received += len(os.read(reader, 1 << 16))
        sink.flush()
    received += len(os.read(reader, 1 << 20))
    assert received == (logsink.BURST_LINES + 500 - dropped) * len(line)
    os.close(reader)
    os.close(writer)


def test_log_sink_allowance_refills_with_time():
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
