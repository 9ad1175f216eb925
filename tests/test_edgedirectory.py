"""Tests of the edges that control instances remember."""

import random

from primrosehitch import edgedirectory
from primrosehitch import messages

UNSERVED_AFTER_MS = edgedirectory.UNSERVED_AFTER_MS
REMEMBERED_MS = edgedirectory.REMEMBERED_MS


def unserved(directory, now, limit=9):
    return directory.unserved(now, limit, random.Random(1))


def test_edge_is_unserved_once_no_instance_hears_it():
    directory = edgedirectory.EdgeDirectory()
    directory.record_heard("e:1", 1000)
    assert not unserved(directory, 1000 + UNSERVED_AFTER_MS)
    assert unserved(directory, 1001 + UNSERVED_AFTER_MS) == {"e:1"}
    directory.apply([messages.KnownEdge("e:1", 10)], 9000)
    assert not unserved(directory, 9000)


def test_later_of_two_times_counts():
    directory = edgedirectory.EdgeDirectory()
    directory.record_heard("e:1", 5000)
    directory.apply([messages.KnownEdge("e:1", 4000)], 6000)
    assert directory.heard_ms == {"e:1": 5000}


def test_other_instances_learn_for_how_long_an_edge_was_silent():
    directory, other = (edgedirectory.EdgeDirectory() for _ in range(2))
    directory.record_heard("e:1", 1000)
    directory.record_heard("e:2", 5000)
    other.apply(directory.items(6000), 90_000)
    assert other.heard_ms == {"e:1": 85_000, "e:2": 89_000}
    assert [e.name for e in directory.items(6000, 1000)] == ["e:2"]


def test_number_of_edges_at_once_is_limited():
    directory = edgedirectory.EdgeDirectory()
    for number in range(20):
        directory.record_heard(f"e:{number}", 0)
    assert len(unserved(directory, 10_000, 8)) == 8


# Guards against: edges of hundreds of replacements fill the memory.
def test_old_edges_and_those_beyond_the_bound_are_forgotten(monkeypatch):
    monkeypatch.setattr(edgedirectory, "MAX_REMEMBERED", 5)
    directory = edgedirectory.EdgeDirectory()
    directory.apply(
        [messages.KnownEdge(f"e:{n}", n) for n in range(10)], 50_000
    )
    assert set(directory.heard_ms) == {f"e:{n}" for n in range(5)}
    old = messages.KnownEdge("e:99", REMEMBERED_MS + 1)
    directory.apply([old], 50_000)
    assert "e:99" not in directory.heard_ms
    directory.forget(50_001 + REMEMBERED_MS)
    assert not directory.heard_ms


# Guards against: edges that move between control instances count several
# times, and retry budgets are divided among too many.
def test_edge_that_two_instances_hear_counts_once():
    directory = edgedirectory.EdgeDirectory()
    directory.record_heard("e:1", 1000)
    directory.apply([messages.KnownEdge("e:1", 10)], 1000)
    directory.apply([messages.KnownEdge("e:2", 10)], 1000)
    assert directory.count_served(1000) == 2
    assert directory.count_served(1001 + UNSERVED_AFTER_MS) == 0
