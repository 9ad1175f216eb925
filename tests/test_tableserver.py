"""Tests of the pieces in which edges get route tables."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import errors
from primrosehitch import messages
from primrosehitch import tablefetch
from primrosehitch import tableserver

NEWEST = messages.TableRequest()


def make_table(version, pieces=3, seed=1):
    """Return a table whose encoding takes about so many pieces."""
    size = int((pieces - 0.5) * tableserver.PIECE_BYTES)
    return messages.Table(version, random.Random(seed).randbytes(size))


def make_server(*tables):
    server = tableserver.TableServer()
    for table in tables:
        server.put(table)
    return server


def fetch_rest(fetch, server, step, now=0):
    """Finish a transfer that nothing disturbs."""
    for _ in range(20):
        if step.request is None:
            break
        step = fetch.apply(server.answer(step.request, now), now)
    return step.table


@given(st.binary(max_size=100_000), st.integers(1, 1 << 60))
def test_any_table_arrives_as_it_was_sent(body, version):
    table = messages.Table(version, body)
    server, fetch = make_server(table), tablefetch.TableFetch()
    piece = server.answer(fetch.offer("c", 0), 0)
    assert fetch_rest(fetch, server, fetch.apply(piece, 0)) == table
    assert not fetch.control


def test_server_without_a_table_has_no_piece():
    assert make_server().answer(NEWEST, 0) is None


def test_one_piece_is_asked_for_at_a_time():
    fetch = tablefetch.TableFetch()
    assert fetch.offer("c", 1000) == NEWEST
    due_ms = 1000 + tablefetch.PIECE_TIMEOUT_MS
    assert fetch.offer("c", due_ms - 1) is None
    assert fetch.offer("c", due_ms) == NEWEST


def test_transfer_goes_on_at_another_control_instance():
    table = make_table(7)
    server, fetch = make_server(table), tablefetch.TableFetch()
    fetch.apply(server.answer(fetch.offer("c", 0), 0), 0)
    request = fetch.offer("d", 1)
    assert request.offset == tableserver.PIECE_BYTES
    step = fetch.apply(make_server(table).answer(request, 1), 1)
    assert fetch.control == "d"
    assert fetch_rest(fetch, server, step) == table


def test_transfer_begins_anew_where_its_table_is_not_known():
    fetch = tablefetch.TableFetch()
    fetch.apply(make_server(make_table(7)).answer(fetch.offer("c", 0), 0), 0)
    newer = make_server(make_table(9, seed=2))
    step = fetch.apply(newer.answer(fetch.offer("d", 1), 1), 1)
    assert fetch_rest(fetch, newer, step) == make_table(9, seed=2)


# Guards against: a table that changes faster than it is sent reaches no edge.
def test_transfer_ends_though_the_table_changes_with_each_piece():
    server, fetch = make_server(make_table(1, 5)), tablefetch.TableFetch()
    step = fetch.apply(server.answer(fetch.offer("c", 0), 0), 0)
    for version in range(2, 12):
        if step.request is not None:
            server.put(make_table(version, 5))
            step = fetch.apply(server.answer(step.request, version), version)
    assert step.table == make_table(1, 5)


def test_replaced_tables_are_forgotten():
    server = make_server()
    versions = range(1, 3 * tableserver.MAX_KEPT_TABLES)
    for version in versions:
        server.put(make_table(version, 1))
        server.answer(NEWEST, version)
        assert len(server.encoded) <= tableserver.MAX_KEPT_TABLES + 1
    server.answer(NEWEST, versions[-1] + tableserver.KEEP_MS + 1)
    assert list(server.encoded) == list(server.asked_ms) == [versions[-1]]


def test_pieces_that_come_twice_or_late_change_nothing():
    table = make_table(7)
    server, fetch = make_server(table), tablefetch.TableFetch()
    first = server.answer(fetch.offer("c", 0), 0)
    step = fetch.apply(first, 0)
    assert fetch.apply(first, 0) == tablefetch.Step()
    second = server.answer(step.request, 0)
    other = make_server(make_table(9)).answer(NEWEST, 0)
    assert fetch.apply(other._replace(offset=5), 0) == tablefetch.Step()
    assert fetch_rest(fetch, server, fetch.apply(second, 0)) == table
    assert fetch.apply(second, 0) == tablefetch.Step()


@pytest.mark.parametrize(
    "change",
    [
        {"data": b"x" * 100, "total": 100},
        {"size": 5},
        {"size": 1 << 30},
        {"total": 1 << 30},
        {"checksum": 5},
    ],
)
def test_damaged_or_outsized_encoding_is_refused(change):
    server, fetch = make_server(make_table(7, 1)), tablefetch.TableFetch()
    piece = server.answer(fetch.offer("c", 0), 0)._replace(**change)
    with pytest.raises(errors.TransferError):
        fetch.apply(piece, 0)
    assert fetch.offer("c", 1) == NEWEST


def test_request_beyond_the_end_gets_the_first_piece():
    server = make_server(make_table(7))
    first = server.answer(NEWEST, 0)
    beyond = messages.TableRequest(7, first.checksum, first.total)
    assert server.answer(beyond, 0) == first


def test_table_is_pushed_once_to_an_edge_that_does_not_ask():
    pushes = tableserver.TablePushes()
    assert pushes.is_due("e", 7, 0)
    pushes.record("e", 7, 0)
    again_ms = tableserver.PUSH_AGAIN_MS
    assert not pushes.is_due("e", 7, again_ms - 1)
    assert pushes.is_due("e", 7, again_ms)
    assert pushes.is_due("e", 8, 1)
    pushes.forget("e")
    assert pushes.is_due("e", 7, 1)
