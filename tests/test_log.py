"""Tests of the durable log, on the memory and the disk medium."""

import errno
import os

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import errors
from primrosehitch import frames
from primrosehitch import log as log_module
from primrosehitch import medium as medium_module
from primrosehitch import messages


def entry(index, term=1, body=b"x"):
    return messages.Entry(index, term, "Edit", body)


@pytest.fixture(params=["memory", "disk"])
def medium(request, tmp_path):
    if request.param == "memory":
        yield medium_module.MemoryMedium()
        return
    disk = medium_module.DiskMedium(tmp_path)
    yield disk
    disk.close()


def log_with_entries(medium, count=5):
    log = log_module.Log(medium)
    log.set_term_and_vote(3, "a/1")
    for i in range(1, count + 1):
        log.append([entry(i)])
        log.sync()
    return log


def test_synced_changes_are_recovered(medium):
    log_with_entries(medium)
    recovered = log_module.Log(medium)
    assert [e.index for e in recovered.entries] == [1, 2, 3, 4, 5]
    assert recovered.hard_state == messages.HardState(3, "a/1")
    assert not recovered.has_unsynced_changes


def test_truncated_and_overwritten_entries_are_recovered(medium):
    log = log_with_entries(medium)
    log.truncate(3)
    log.append([entry(3, 2), entry(4, 2)])
    log.sync()
    recovered = log_module.Log(medium)
    assert [(e.index, e.term) for e in recovered.entries] == [
        (1, 1),
        (2, 1),
        (3, 2),
        (4, 2),
    ]


def test_snapshot_replaces_the_entries_it_covers(medium):
    log = log_with_entries(medium)
    log.install_snapshot(messages.SnapshotMeta(3, 1, ("a/1",), (), b"state"))
    recovered = log_module.Log(medium)
    assert recovered.first_index == 4
    assert recovered.last_index == 5
    assert recovered.snapshot.body == b"state"
    assert recovered.hard_state.term == 3


def test_snapshot_of_another_term_drops_later_entries(medium):
    log = log_with_entries(medium)
    log.install_snapshot(messages.SnapshotMeta(3, 9, ("a/1",), (), b"state"))
    assert log_module.Log(medium).last_index == 3


def test_withdrawals_survive_truncation_and_snapshots(medium):
    log = log_with_entries(medium)
    batch = messages.WithdrawalBatch((messages.Withdrawal("k", "op", 1),))
    log.add_withdrawals(batch)
    log.add_withdrawals(batch)
    log.truncate(2)
    log.sync()
    assert list(log_module.Log(medium).withdrawals) == ["k"]
    log.install_snapshot(messages.SnapshotMeta(1, 1, ("a/1",), (), b""))
    assert list(log_module.Log(medium).withdrawals) == ["k"]


def test_identity_is_recovered(medium):
    log = log_module.Log(medium)
    assert log.read_identity() is None
    log.write_identity(messages.Identity("c", "a", "a/1"))
    assert log_module.Log(medium).read_identity().replica == "a/1"


@pytest.mark.parametrize("lost", [1, 5, 19, 20, 25])
def test_torn_last_frame_is_truncated(medium, lost):
    log_with_entries(medium)
    data = medium.read(log_module.LOG_FILE)
    medium.truncate(log_module.LOG_FILE, len(data) - lost)
    recovered = log_module.Log(medium)
    assert recovered.last_index == 4
    recovered.append([entry(5)])
    recovered.sync()
    assert log_module.Log(medium).last_index == 5


@pytest.mark.parametrize("place", [0, 5, 9, 15, 30, 60])
def test_damaged_frame_before_the_last_raises(medium, place):
    log_with_entries(medium)
    data = bytearray(medium.read(log_module.LOG_FILE))
    data[place] ^= 0xFF
    medium.replace(log_module.LOG_FILE, bytes(data))
    with pytest.raises(errors.LogDamagedError) as excinfo:
        log_module.Log(medium, "disk 7")
    assert excinfo.value.peer == "disk 7"
    assert "restore the disk" in str(excinfo.value)


def test_full_disk_raises_and_keeps_changes_unsynced(tmp_path, monkeypatch):
    log = log_module.open_disk_log(tmp_path)
    log.append([entry(1)])

    def full(*args):
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(errors.LogFullError) as excinfo:
        log.sync()
    assert str(tmp_path) in excinfo.value.peer
    assert log.has_unsynced_changes


@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=8),
    st.floats(0, 1),
)
def test_crash_keeps_synced_frames_and_no_partial_frame(sizes, kept):
    """A crash may tear the last frame, which must count as a whole or not."""
    medium = medium_module.MemoryMedium()
    log = log_module.Log(medium)
    for size in sizes[:-1]:
        first = log.last_index + 1
        log.append([entry(first + i) for i in range(size)])
        log.sync()
    synced = log.last_index
    log.append([entry(synced + 1 + i) for i in range(sizes[-1])])
    medium.append(
        log_module.LOG_FILE, frames.pack_frame(bytes(log.unsynced_records))
    )
    medium.crash(kept)
    recovered = log_module.Log(medium)
    assert recovered.last_index in (synced, synced + sizes[-1])


@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_recovered_or_rejected(data):
    medium = medium_module.MemoryMedium()
    medium.replace(log_module.LOG_FILE, data)
    try:
        log = log_module.Log(medium)
    except errors.LogDamagedError:
        return
    assert log.last_index == 0


# Guards against: an entry that was written but not synced before a restart
# counts for a majority, and a loss of power takes it away.
def test_recovered_entries_are_durable():
    medium = medium_module.MemoryMedium()
    log = log_with_entries(medium)
    log.append([entry(log.last_index + 1)])
    medium.append(
        log_module.LOG_FILE, frames.pack_frame(bytes(log.unsynced_records))
    )
    restarted = log_module.Log(medium)
    assert restarted.last_index == log.last_index
    medium.crash(0.0)
    assert log_module.Log(medium).last_index == restarted.last_index
