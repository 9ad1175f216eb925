"""Route tables of thousands of routes on their way to the edges."""

import collections

import anyio
import instances
import routed
import slowlinks

from primrosehitch import edge as edge_module
from primrosehitch import links as links_module
from primrosehitch import messages
from primrosehitch_lab import platform_caller

# Of the deployment whose tables are largest, by the users' pages: time until
# a change is in force, the bandwidth of an edge's link, and the share of a
# control instance's memory for each edge if one serves all 194.
CONFIG_S = 3.0
LINK_BYTES_PER_S = 5e6 / 8
MAX_QUEUED_BYTES = 1_000_000
ROUTES = 2800
CHANGES = 5
CHANGE_PERIOD_S = 1.0
EDGES = (9, 10, 11, 12)


def large_table(version):
    """Return a table as large as two additions of 1,400 routes make it."""
    document = routed.table_document(version)
    document["routes"] += platform_caller.further_routes(ROUTES)
    return document


def version_of(edge):
    table = edge.forwarder.table
    return table.version if table else 0


async def start_slow_edges(fleet, numbers, bytes_per_s=LINK_BYTES_PER_S):
    await instances.wait_until(lambda: len(fleet.leaders()) == 1)
    for number in numbers:
        await slowlinks.start_edge(fleet, number, bytes_per_s)
    edges = [fleet.edges[number] for number in numbers]
    assert await instances.put_table(2, routed.table_document(1)) == 200
    await instances.wait_until(
        lambda: all(version_of(edge) == 1 for edge in edges)
    )
    return edges


async def expect_in_force(edges, version):
    with anyio.move_on_after(CONFIG_S):
        while any(version_of(edge) < version for edge in edges):
            await anyio.sleep(0.02)
    found = [version_of(edge) for edge in edges]
    assert min(found) >= version, found


# Guards against: each change sends the whole table to each edge, and again
# until it has arrived; links end under that, and edges serve older tables.
def test_changes_of_a_large_table_reach_edges_on_slow_links_in_time(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            edges = await start_slow_edges(fleet, EDGES)
            for version in range(2, 2 + CHANGES):
                table = large_table(version)
                assert await instances.put_table(2, table) == 200
                async with anyio.create_task_group() as group:
                    group.start_soon(expect_in_force, edges, version)
                    await anyio.sleep(CHANGE_PERIOD_S)

    instances.run_test(body)


# Guards against: control instances run out of memory by the tables that wait
# for edges on slow links.
def test_tables_that_wait_for_edges_are_bounded_in_bytes(tmp_path):
    most = 0

    async def watch(fleet):
        nonlocal most
        while True:
            for control in fleet.controls.values():
                queued = control.links.queued_bytes
                for number in EDGES:
                    name = str(instances.address(number, instances.LINK_PORT))
                    most = max(most, queued.get(name, 0))
            await anyio.sleep(0.01)

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await start_slow_edges(fleet, EDGES)
            fleet.group.start_soon(watch, fleet)
            for version in range(2, 2 + CHANGES):
                table = large_table(version)
                assert await instances.put_table(2, table) == 200
                await anyio.sleep(CHANGE_PERIOD_S)

    instances.run_test(body)
    assert most < MAX_QUEUED_BYTES


class OlderEdge(edge_module.Edge):
    """An edge of a release that is sent tables without asking."""

    def _subscribe(self):
        subscription = messages.Subscribe(version_of(self))
        self.links.send(self.current_control, subscription)

    def _request_table(self, request):
        pass


async def settle(controls):
    """Wait until an edge's control instance alone serves it.

    When it has just started it may move from one to another.
    """
    await instances.wait_until(
        lambda: sum(len(c.subscribers) for c in controls) == 1
    )


def count_tables(control):
    """Count the whole tables that a control instance queues, by version."""
    counts = collections.Counter()
    number = messages.NUMBERS[messages.Table]
    send_frame = control.links.send_frame

    def counting(target, frame):
        _, kind = links_module.FRAME_HEADER.unpack_from(frame)
        if kind == number:
            version = control.table.version
            counts[version] += 1
        return send_frame(target, frame)

    control.links.send_frame = counting
    return counts


# Guards against: an edge that asks for no table is sent the same one with each
# of its subscriptions, until the first one has arrived.
def test_edge_of_an_older_release_is_sent_each_table_once(
    tmp_path, monkeypatch
):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            monkeypatch.setattr(edge_module, "Edge", OlderEdge)
            controls = list(fleet.controls.values())
            (edge,) = await start_slow_edges(
                fleet, EDGES[:1], 4 * LINK_BYTES_PER_S
            )
            await settle(controls)
            counts = [count_tables(control) for control in controls]
            assert await instances.put_table(2, large_table(2)) == 200
            await expect_in_force((edge,), 2)
            assert sum(counts, collections.Counter()) == {2: 1}

    instances.run_test(body)


# Guards against: a table that was dropped for want of room counts as sent.
def test_table_dropped_before_an_older_edge_got_it_is_sent_again(
    tmp_path, monkeypatch
):
    dropped = []

    def drop_first_table(links, send_frame):
        def send(target, frame):
            _, kind = links_module.FRAME_HEADER.unpack_from(frame)
            if kind == messages.NUMBERS[messages.Table] and not dropped:
                dropped.append(target)
                links.on_loss(target)
                return False
            return send_frame(target, frame)

        return send

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            monkeypatch.setattr(edge_module, "Edge", OlderEdge)
            (edge,) = await start_slow_edges(
                fleet, EDGES[:1], 8 * LINK_BYTES_PER_S
            )
            controls = list(fleet.controls.values())
            await settle(controls)
            for control in controls:
                control.links.send_frame = drop_first_table(
                    control.links, control.links.send_frame
                )
            document = routed.table_document(2)
            assert await instances.put_table(2, document) == 200
            await expect_in_force((edge,), 2)
            assert dropped

    instances.run_test(body)
