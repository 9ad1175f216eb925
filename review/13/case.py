"""Many clients with large bodies at once on one edge."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig3  # noqa: E402

BODY = b"b" * 4_000_000
# Time between two requests: usual traffic, and a burst of twice it.
USUAL_GAP_MS = 300
BURST_GAP_MS = 150
CLIENTS = REQUESTS = 40
WORK_MS = 1500
DEADLINE_MS = 4000
MOST_LOST = 3


async def one(record, client, identifier, size):
    """Send one booking on a kept connection and note its end."""
    record.add(f"sent {identifier} {size} B")
    answer = await client.ask(
        "POST",
        "/lohu930/book",
        rig3.request_headers(identifier, DEADLINE_MS),
        BODY[:size],
        timeout=DEADLINE_MS / 1000 + 2,
    )
    record.add(
        f"answer {identifier} {answer.status or 'none'}"
        f" {'whole' if answer.whole else answer.end}"
    )
    return answer


async def case(record):
    """Return whether the rule was broken."""
    fleet = rig3.Fleet(controls=3, edges=1)
    engines = []
    try:
        fleet.start()
        for n in range(4):
            host = f"{fleet.engine_base}.{n + 1}"
            engine = rig3.Engine(
                record, n, host, "mostrador", fleet.controls, WORK_MS
            )
            engines.append(engine)
            await engine.start()
        await rig3.put_table(
            fleet, rig3.table(7, "mostrador", timeout_ms=DEADLINE_MS)
        )
        await rig3.wait_ready(fleet)
        await asyncio.sleep(4)
        return await load(record, fleet, engines)
    finally:
        for engine in engines:
            await engine.close()
        fleet.close()


def largest_memory(edge):
    """Return the largest resident memory of a process, for the record."""
    path = pathlib.Path(f"/proc/{edge.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmHWM:"):
            return line.partition(":")[2].strip()
    return "unknown"


async def load(record, fleet, engines):
    """Send the traffic; return whether too many answers were lost."""
    edge = fleet.edges[0]
    gap_s = (BURST_GAP_MS if rig3.trouble() else USUAL_GAP_MS) / 1000
    clients = [rig3.Client(edge.front) for _ in range(CLIENTS)]
    # Each connection has served a request before, so that it is kept.
    first = await asyncio.gather(
        *(one(record, c, rig3.new_id(), 600) for c in clients)
    )
    if any(answer.status != 200 for answer in first):
        raise rig3.NotRunnableError("a small request was not served")
    sent = {}
    for number in range(REQUESTS):
        client, identifier = clients[number], rig3.new_id()
        sent[identifier] = asyncio.create_task(
            one(record, client, identifier, len(BODY))
        )
        await asyncio.sleep(gap_s)
    lost = 0
    for identifier, task in sent.items():
        answer = await task
        ran = any(r[1] == identifier for e in engines for r in e.runs)
        if ran and not answer.whole:
            lost += 1
            record.add(f"ran and never answered {identifier}")
    record.add(f"{lost} requests ran and were never answered")
    record.add(f"the edge's largest memory: {largest_memory(edge)}")
    if edge.process.poll() is not None:
        record.add("the edge has ended")
    return lost > MOST_LOST


rig3.main(HERE, case)
