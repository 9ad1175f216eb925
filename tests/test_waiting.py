"""Tests of requests that wait at an edge, in order of their tier."""

import anyio
from hypothesis import given
from hypothesis import strategies as st
import routed

from primrosehitch import waiting
from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine
URGENT, COMMON = 0, 3


def table_of_tiers():
    """Return a table whose endpoints take two connections of an edge."""
    document = routed.table_document()
    route = document["routes"][0]
    document["routes"] = [
        {**route, "path_prefix": f"/t{tier}/", "priority": tier}
        for tier in (URGENT, COMMON)
    ]
    return routed.decode_table(**document)


async def send_all(edge, answers, tier, count, pause_s=0.0):
    async def send(number):
        request = routed.request(
            f"/t{tier}/x", identifier=f"{tier}-{number}", Deadline_Ms="1900"
        )
        answer = await routed.send_request(edge, request)
        answers.setdefault(tier, []).append(answer[0])

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, number)
            await anyio.sleep(pause_s)


# Guards against: urgent requests wait for a connection, or get nothing, while
# less urgent ones that came later or earlier run (report of TIER).
def test_urgent_requests_get_scarce_connections_first():
    """Pattern: more requests than connections, the less urgent ones first."""

    async def body():
        engine = Engine(["slow"])
        async with routed.running_edge(engine, table=table_of_tiers()) as edge:
            record = edge.balancer.endpoints["i-0"].record
            edge.balancer.update_endpoint(record, 0, connections=4)
            answers = {}
            async with anyio.create_task_group() as group:
                group.start_soon(send_all, edge, answers, COMMON, 30, 0.01)
                await anyio.sleep(0.1)
                group.start_soon(send_all, edge, answers, URGENT, 3, 0.01)
            assert answers[URGENT] == [200] * 3
            order = [s.headers["request-id"][0] for s in engine.seen]
            # Two run already, and two more may begin before the urgent ones.
            assert order.index("0") <= 4
            assert "3" not in order[order.index("0") : order.index("0") + 3]

    anyio.run(body, backend_options={"use_uvloop": True})


def test_arrivals_do_not_overtake_more_urgent_requests_that_wait():
    """Pattern: a steady stream of less urgent requests."""

    async def body():
        engine = Engine(["brief"])
        async with routed.running_edge(engine, table=table_of_tiers()) as edge:
            record = edge.balancer.endpoints["i-0"].record
            edge.balancer.update_endpoint(record, 0, connections=4)
            answers = {}
            async with anyio.create_task_group() as group:
                group.start_soon(send_all, edge, answers, COMMON, 300, 0.004)
                await anyio.sleep(0.2)
                group.start_soon(send_all, edge, answers, URGENT, 20, 0.03)
            assert answers[URGENT] == [200] * 20
            assert 200 in answers[COMMON]

    anyio.run(body, backend_options={"use_uvloop": True})


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
def test_the_first_in_line_is_the_most_urgent_and_longest_waiting(steps):
    line = waiting.WaitingLine()
    tickets = []
    for tier, leaves in steps:
        if leaves and tickets:
            line.leave("svc", tickets.pop(0))
        else:
            tickets.append(line.join("svc", tier))
            tickets.sort()
        free = [t for t in tickets if not line.is_behind("svc", t)]
        assert free == tickets[:1]
        for arriving in range(4):
            waits = any(ticket.tier <= arriving for ticket in tickets)
            assert line.is_waited_for("svc", arriving) == waits
    assert not line.is_behind("other", waiting.Ticket(3, 0))
