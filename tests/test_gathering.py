"""Tests of batching: many edges send small updates at the same time."""

import anyio

from primrosehitch import gathering

EDGES = 88
DELAY_S = 0.02


def test_updates_of_many_edges_are_forwarded_in_batches():
    """Without batching there would be a message for each update."""
    batches = []

    async def edge(batcher, number):
        for update in range(5):
            batcher.put((number, update), number)
            await anyio.sleep(0.001)

    async def body():
        gatherer = gathering.UpdateBatcher(DELAY_S)

        async def pass_on():
            while True:
                batches.append(await gatherer.take())

        async with anyio.create_task_group() as group:
            group.start_soon(pass_on)
            with anyio.fail_after(5):
                async with anyio.create_task_group() as edges:
                    for number in range(EDGES):
                        edges.start_soon(edge, gatherer, number)
                while sum(map(len, batches)) < 5 * EDGES:
                    await anyio.sleep(0.005)
            group.cancel_scope.cancel()

    anyio.run(body)
    assert sum(map(len, batches)) == 5 * EDGES
    assert len(batches) < EDGES / 4


def test_newest_value_of_a_key_is_taken():
    async def body():
        batcher = gathering.UpdateBatcher(0)
        batcher.put("a", 1)
        batcher.put("b", 2)
        batcher.put("a", 3)
        return await batcher.take()

    assert sorted(anyio.run(body)) == [2, 3]


def test_take_waits_while_nothing_is_pending():
    async def body():
        batcher = gathering.UpdateBatcher(0)
        batcher.put("a", 1)
        await batcher.take()
        with anyio.move_on_after(0.05):
            return await batcher.take()
        return None

    assert anyio.run(body) is None


def test_recent_updates_are_bounded_in_age_and_number():
    recent = gathering.RecentUpdates(ttl_ms=100, max_items=3)
    for number in range(5):
        recent.put(number, f"v{number}", number * 10)
    assert recent.values(40) == ("v2", "v3", "v4")
    recent.put(2, "again", 90)
    assert recent.values(125) == ("v3", "v4", "again")
    assert recent.values(135) == ("v4", "again")
    assert recent.values(191) == ()


def test_removed_update_is_sent_to_nobody_who_joins():
    recent = gathering.RecentUpdates(1000, 10)
    recent.put("a", 1, 0)
    recent.put("b", 2, 0)
    recent.discard("a")
    recent.discard("c")
    assert recent.values(1) == (2,)
