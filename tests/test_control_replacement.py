"""Edges while the control instances that they know are replaced.

An edge must have each acknowledged table within the time that the users'
pages give, and must not refuse requests by a table that may be out of date.
"""

import json
import re
import signal
import socket

import anyio
import instances
import pytest
import routed

from primrosehitch import edge as edge_module
from primrosehitch import messages
from primrosehitch import raft
from primrosehitch import settings
from primrosehitch.platform import tables
from primrosehitch_lab import fault_calls
from primrosehitch_lab import fault_fleet

CONFIG_S = 2.0
CONTACT_S = 3.0
# Longer than control instances take each other for alive.
PAUSE_S = 5
JOIN_S = 20
NET = 38


async def replace_control(fleet, gone, successor):
    """Replace a control instance, and wait until the new one votes.

    The leader counts it before the others know, and a loss meanwhile may cost
    the quorum.
    """
    await fleet.kill(gone)
    fleet.seeds = tuple(fleet.controls)
    fleet.start_control(successor, bootstrap=False)
    names = {
        str(instances.address(n, instances.LINK_PORT)) for n in fleet.controls
    }
    await instances.wait_until(
        lambda: (
            len(fleet.leaders()) == 1
            and all(
                {v.split("/")[0] for v in control.replicator.raft.voters}
                == names
                for control in fleet.controls.values()
            )
        ),
        JOIN_S,
    )


async def expect_version(edge, version, limit_s=CONFIG_S):
    with anyio.move_on_after(limit_s):
        while edge.forwarder.table.version < version:
            await anyio.sleep(0.02)
    assert edge.forwarder.table.version == version


# Guards against: an edge forgets the control instances that its current one
# does not see, and serves an old table once that one is gone.
def test_edge_outlives_a_control_instance_that_saw_no_others(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            for gone, successor in zip(instances.SEEDS, (5, 6, 7)):
                await replace_control(fleet, gone, successor)
            fleet.suspend(5, 7)
            await anyio.sleep(PAUSE_S)
            await fleet.kill(6)
            fleet.heal()
            fleet.seeds = tuple(fleet.controls)
            fleet.start_control(8, bootstrap=False)
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            await anyio.sleep(CONTACT_S)
            document = routed.table_document(8)
            assert await instances.put_table(5, document) == 200
            await expect_version(edge, 8)

    instances.run_test(body)


def voters_known_to(process):
    """Return the hosts of the voters that a control instance knows."""
    lines = (process.folder / f"{process.name}.log").read_text().splitlines()
    changes = [json.loads(line) for line in lines if '"event":1202,' in line]
    voters = changes[-1]["voters"] if changes else []
    return {voter.split(":")[0] for voter in voters}


async def version_at(fleet, edge):
    """Return the version in force at an edge, 0 if it is not known."""
    address = fleet.address(edge, fault_fleet.READY_PORT)
    got = await fault_calls.call("GET", address, "/metrics", limit_s=0.5)
    found = got and re.search(rb"^primrosehitch_version (\S+)", got[1], re.M)
    return int(float(found[1])) if found else 0


async def put_version(fleet, version):
    document = routed.table_document(version)
    with anyio.fail_after(JOIN_S):
        while True:
            got = await fleet.control_call("POST", "/-/Config.Put", document)
            if got is not None and got[0] == 200:
                return
            await anyio.sleep(0.1)


async def expect_versions(fleet, edges, version, limit_s):
    with anyio.move_on_after(limit_s):
        for edge in edges:
            while await version_at(fleet, edge) < version:
                await anyio.sleep(0.05)
    for edge in edges:
        assert await version_at(fleet, edge) == version


async def replace_all_controls(fleet):
    for name in fault_fleet.CONTROLS:
        successor = fleet.replace_control(name)
        hosts = {fleet.processes[n].host for n in fleet.controls}
        with anyio.fail_after(JOIN_S):
            while voters_known_to(successor) != hosts:
                await anyio.sleep(0.05)


# Guards against: an edge that was paused while all control instances were
# replaced knows none that exists, and serves an old table from then on.
@pytest.mark.parametrize("seeds", ["rewritten", "kept"])
def test_edge_paused_during_replacements_gets_new_tables(tmp_path, seeds):
    async def body():
        fleet = fault_fleet.FaultFleet(tmp_path, NET)
        paused, watching = fault_fleet.EDGES
        try:
            fleet.begin()
            await put_version(fleet, 1)
            await expect_versions(fleet, fault_fleet.EDGES, 1, JOIN_S)
            fleet.processes[paused].signal(signal.SIGSTOP)
            await replace_all_controls(fleet)
            if seeds == "rewritten":
                fleet.write_settings()
            fleet.processes[paused].signal(signal.SIGCONT)
            await anyio.sleep(CONTACT_S)
            await put_version(fleet, 2)
            await expect_versions(fleet, fault_fleet.EDGES, 2, CONFIG_S)
        finally:
            fleet.end()

    anyio.run(body)


class HangingHosts:
    """Addresses that answer no dial, as machines without power.

    Args:
        numbers: the last numbers of their hosts.
    """

    def __init__(self, numbers):
        self.sockets = []
        for number in numbers:
            address = instances.host(number), instances.LINK_PORT
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(0)
            self.sockets.append(listener)
            # A listener whose queue is full leaves a SYN unanswered.
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(address)
                self.sockets.append(filler)

    def close(self):
        for item in self.sockets:
            item.close()


# Guards against: an edge tries dead control instances one after the other,
# for longer than a new table may take.
def test_edge_finds_the_control_instance_that_is_left_in_time(
    tmp_path, monkeypatch
):
    hosts = HangingHosts(range(20, 28))
    hanging = tuple(
        settings.Address(instances.host(n), instances.LINK_PORT)
        for n in range(20, 28)
    )
    make_settings = instances.Fleet.make_settings

    def with_dead_seeds(fleet, number, bootstrap, edge):
        made = make_settings(fleet, number, bootstrap, edge)
        if edge:
            live = instances.address(3, instances.LINK_PORT)
            made = made._replace(seeds=(*hanging, live))
        return made

    monkeypatch.setattr(instances.Fleet, "make_settings", with_dead_seeds)

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            document = routed.table_document(7)
            assert await instances.put_table(2, document) == 200
            edges = (9, 10, 11)
            for number in edges:
                fleet.start_edge(number)
            await anyio.sleep(CONFIG_S)
            assert [fleet.edges[n].is_ready for n in edges] == [True] * 3

    try:
        instances.run_test(body)
    finally:
        hosts.close()


async def status_of(target, **headers):
    async with await anyio.connect_tcp(
        instances.host(9), instances.FRONT_PORT
    ) as stream:
        caller = routed.Caller(stream)
        await caller.send(routed.request(target, **headers))
        return (await caller.answer())[0]


# Guards against: an edge without contact refuses requests by a table that
# may be out of date.
def test_edge_without_contact_denies_nothing(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            assert await status_of("/new/x") == 404
            assert await status_of("/a/x", Credential="x" * 20) == 401
            for number in instances.SEEDS:
                await fleet.kill(number)
            await anyio.sleep(CONFIG_S)
            assert await status_of("/new/x") == 503
            assert await status_of("/a/x", Credential="x" * 20) == 503
            assert await status_of("/a/x") == 200

    instances.run_test(body)


# Guards against: a status whose table was lost confirms the table before it.
def test_status_confirms_no_table_older_than_its_own(tmp_path):
    fleet = instances.Fleet(tmp_path, None)
    made = fleet.make_settings(9, False, True)
    edge = edge_module.Edge(made, None, tables.decode_accepted)
    now = routed.clock.now_ms()
    fresh = messages.ControlStatus(version=7, fresh=True)
    edge._on_status("127.0.0.2:26001", fresh)
    assert not edge.contact.knows_table(now)
    body = instances.encode(routed.table_document(7))
    edge._on_table(messages.Table(7, body))
    # Any control instance with a quorum confirms it, also one not in use.
    edge._on_status("127.0.0.2:26001", fresh)
    assert edge.contact.knows_table(routed.clock.now_ms())


# Guards against: a follower that hears its leader, but lacks entries of the
# log, confirms an old table to its edges.
def test_edge_leaves_a_follower_that_lags_behind(tmp_path, monkeypatch):
    async def body():
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            edge = fleet.edges[9]
            await instances.wait_until(lambda: edge.is_ready)
            (leader,) = fleet.leaders()
            lagging = next(n for n in fleet.controls if n != leader)
            control = fleet.controls[lagging]
            # A return to the own failure domain is not due for a while.
            edge.selector.last_return_ms = routed.clock.now_ms()
            if edge.current_control != control.name:
                instances.use_control(edge, control.name)
            # The edge has been at others before, which tell it for a while.
            await instances.wait_until(
                lambda: (
                    [c for c in fleet.controls.values() if c.subscribers]
                    == [control]
                )
            )
            assert edge.current_control == control.name
            lose_entries(control)
            await instances.put_table(leader, routed.table_document(8))
            await expect_version(edge, 8)

    instances.run_test(body)


def lose_entries(control):
    """Lose all appended entries on their way to a replica."""
    receive = raft.Raft.receive
    replica = control.replicator.raft

    def receive_without_entries(sender, message, now):
        if isinstance(message, messages.Append) and message.entries:
            return
        receive(replica, sender, message, now)

    replica.receive = receive_without_entries
