"""Tests of the task that drives a replica."""

import random

import anyio

from primrosehitch import log as log_module
from primrosehitch import messages
from primrosehitch import replicator as replicator_module
from primrosehitch import state as state_module
from primrosehitch import timers

LEADER = "127.0.0.1:1/1"


def make_replicator():
    return replicator_module.Replicator(
        "127.0.0.2:1",
        log_module.open_memory_log(),
        lambda target, message: True,
        random.Random(1),
        dict,
        3,
    )


def snapshot_message(target, table):
    """Return the message that installs a snapshot with a table."""
    state = state_module.State()
    state.table = table
    meta = messages.SnapshotMeta(
        5, 1, (LEADER,), (target,), state.encode_image()
    )
    data = messages.encode(meta)
    chunk = messages.SnapshotChunk(1, 5, 1, 0, len(data), data, 1)
    number = messages.NUMBERS[messages.SnapshotChunk]
    return messages.ReplicaMessage(
        "c", LEADER, target, number, messages.encode(chunk)
    )


# Guards against: a control instance that caught up by a snapshot goes on with
# its old table until the next entry of the log.
def test_installed_snapshot_is_reported_as_applied():
    replicator = make_replicator()
    versions = []
    replicator.on_applied = lambda: versions.append(
        replicator.replica.state.table.version
    )
    target = replicator.identity.replica
    table = messages.Table(7, b"{}")

    async def body():
        async with anyio.create_task_group() as group:
            group.start_soon(replicator.run, timers.TimerService())
            message = snapshot_message(target, table)
            replicator.offer(replicator_module.PeerMessage(message))
            with anyio.move_on_after(2):
                while not versions:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(body)
    assert versions == [7]
