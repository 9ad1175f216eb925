"""Pattern: dozens of edges tell small news at once, all the time."""

import anyio

from primrosehitch import gathering

EDGES = 88
PAUSE_S = 0.02


def test_news_of_many_edges_goes_on_in_one_message():
    """Passed on one by one, it would be a message for each edge."""
    taken = []

    async def edge(gatherer, number):
        for turn in range(5):
            gatherer.put((number, turn), number)
            await anyio.sleep(0.001)

    async def body():
        gatherer = gathering.UpdateBatcher(PAUSE_S)

        async def pass_on():
            while True:
                taken.append(await gatherer.take())

        async with anyio.create_task_group() as group:
            group.start_soon(pass_on)
            with anyio.fail_after(5):
                async with anyio.create_task_group() as edges:
                    for number in range(EDGES):
                        edges.start_soon(edge, gatherer, number)
                while sum(map(len, taken)) < 5 * EDGES:
                    await anyio.sleep(0.005)
            group.cancel_scope.cancel()

    anyio.run(body)
    assert sum(map(len, taken)) == 5 * EDGES
    assert len(taken) < EDGES / 4


def test_newest_value_of_a_key_counts():
    async def body():
        gatherer = gathering.UpdateBatcher(0)
        gatherer.put("a", 1)
        gatherer.put("b", 2)
        gatherer.put("a", 3)
        return await gatherer.take()

    assert sorted(anyio.run(body)) == [2, 3]


def test_nothing_is_taken_while_there_is_no_news():
    async def body():
        gatherer = gathering.UpdateBatcher(0)
        gatherer.put("a", 1)
        await gatherer.take()
        with anyio.move_on_after(0.05):
            return await gatherer.take()
        return None

    assert anyio.run(body) is None
