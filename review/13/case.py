"""A control instance loses its process right after it acknowledged a leave."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import statistics
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig3  # noqa: E402

ROUNDS = 9
# When the control is killed, from the time that a heartbeat takes: at first,
# how much later after a round without an acknowledgement, and how much earlier
# after one with it.
FIRST_OFFSET_S = 0.0005
LATER_S = 0.0002
EARLIER_S = 0.0001
ENGINES = 8
DRAIN_S = 2.0
CONTACT_S = 3.0
# How long the engine goes on serving after the acknowledgement.
LINGER_S = 7.5
# The killed control is started again after this. With the rest of the round
# it has 7 s until the next kill, more than ``catch_up_s``.
DOWN_S = 3.0
CATCH_UP_S = 2.6
REQUEST_GAP_S = 0.02
DEADLINE_MS = 1000


def send_call(sock, path, host, document):
    """Send one call of an engine."""
    body = json.dumps(document).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    sock.sendall(head + body)


def usual_ack_s(engines, machine):
    """Return how long the control takes to acknowledge a heartbeat.

    Each engine sends one there, as each does about every 1.2 s.
    """
    took = []
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_connection(machine.control, 1))
            for _ in engines
        ]
        time.sleep(0.05)
        for engine, sock in zip(engines, socks):
            began = time.perf_counter()
            path = "/-/Instances.Heartbeat/" + engine.id
            send_call(sock, path, machine.host, engine.next_beat())
            sock.recv(4096)
            took.append(time.perf_counter() - began)
            time.sleep(0.01)
    return statistics.median(took)


def leave(record, engine, others, machine, offset_s):
    """Say that the engine leaves; kill the control as it acknowledges.

    The kill comes at about the time at which the acknowledgement leaves the
    control, so the calls are made without the event loop.

    Returns:
        When the acknowledgement was read, by the record's time, or -1 if
        the control ended before it gave one.
    """
    pid, kills = machine.process.pid, rig3.trouble()
    with socket.create_connection(machine.control, 1.0) as sock:
        delay_s = usual_ack_s([engine, *others], machine)
        delay_s += offset_s
        began = time.perf_counter()
        path = "/-/Instances.Leave/" + engine.id
        send_call(sock, path, machine.host, {"born": engine.born})
        while time.perf_counter() - began < delay_s:
            pass
        if kills:
            os.kill(pid, signal.SIGKILL)
        try:
            data = sock.recv(4096)
        except OSError:
            data = b""
        acked = record.now()
    if kills:
        machine.process.wait()
    name = machine.name
    if not data.startswith(b"HTTP/1.1 200"):
        record.add(f"{name} ended without acknowledging {engine.id}")
        return -1.0
    record.add(f"leave of {engine.id} acknowledged by {name}")
    return acked


async def traffic(record, fleet):
    """Send bookings to the edges in turn until cancelled."""
    clients = [rig3.Client(edge.front) for edge in fleet.edges]
    number = 0
    pending = set()
    while True:
        number += 1
        at = number % len(clients)
        task = asyncio.create_task(one(record, clients, at))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(REQUEST_GAP_S)


async def one(record, clients, at):
    """Send one booking on a connection of its own if the kept one is busy."""
    client, clients[at] = clients[at], rig3.Client(clients[at].address)
    identifier = rig3.new_id()
    answer = await client.ask(
        "POST",
        "/lohu930/book",
        rig3.request_headers(identifier, DEADLINE_MS),
        b"b" * 600,
        timeout=3.0,
    )
    record.add(f"answer {identifier} {answer.status or answer.end}")
    if answer.whole and "close" not in answer.headers.get("connection", ""):
        clients[at].close()
        clients[at] = client
    else:
        client.close()


async def case(record):
    """Return whether the rule was broken."""
    fleet = rig3.Fleet(controls=3, edges=3)
    engines = []
    tasks = []
    try:
        fleet.start()
        for n in range(ENGINES):
            engines.append(await start_engine(record, fleet, n))
        await rig3.put_table(fleet, rig3.table(7, "stem-app"))
        await rig3.wait_ready(fleet)
        await asyncio.sleep(4)
        tasks.append(asyncio.create_task(traffic(record, fleet)))
        late = 0
        offsets = [FIRST_OFFSET_S]
        for number in range(ROUNDS):
            engines.append(await start_engine(record, fleet, ENGINES + number))
            await asyncio.sleep(2.5)
            leaving = engines.pop(0)
            late += await one_round(record, fleet, leaving, engines, offsets)
            await asyncio.sleep(CATCH_UP_S - 2.5)
            if late and rig3.trouble():
                break
        record.add(f"{late} requests reached engines too late")
        return late > 0
    finally:
        for task in tasks:
            task.cancel()
        for engine in engines:
            await engine.close()
        fleet.close()


async def start_engine(record, fleet, number):
    """Return a new engine that sends heartbeats."""
    host = f"{fleet.engine_base}.{number + 1}"
    engine = rig3.Engine(record, number, host, "stem-app", fleet.controls)
    await engine.start()
    return engine


async def one_round(record, fleet, engine, others, offsets):
    """Let an engine leave; return how many requests reached it too late.

    Counted are those that reach it after ``DRAIN_S`` from the
    acknowledgement and while all edges are in touch: the core has been
    stable for ``CONTACT_S`` since the killed one has started again.
    """
    engine.beats.cancel()
    await asyncio.sleep(0.1)
    machine = fleet.controls[len(offsets) % len(fleet.controls)]
    acked = leave(record, engine, others, machine, offsets[-1])
    record.add(f"{machine.name} {'killed' if rig3.trouble() else 'lives'}")
    step_s = LATER_S if acked < 0 else -EARLIER_S
    offsets.append(offsets[-1] + step_s)
    if acked < 0:
        # It was not acknowledged, so the engine tells another control.
        other = next(m for m in fleet.controls if m is not machine)
        path = "/-/Instances.Leave/" + engine.id
        await rig3.call(other.control, "POST", path, {"born": engine.born})
        acked = record.now()
    await asyncio.sleep(DOWN_S)
    if rig3.trouble():
        machine.start()
    back = record.now()
    await asyncio.sleep(LINGER_S - DOWN_S)
    await engine.close()
    record.add(f"{engine.id} has ended")
    counted_from = max(acked + DRAIN_S, back + CONTACT_S) + 0.1
    late = [run for run in engine.runs if run[0] > counted_from]
    for at, identifier, _ in late:
        record.add(
            f"{identifier} reached {engine.id}"
            f" {at - acked:.3f} s after the acknowledgement"
        )
    return len(late)


rig3.main(HERE, case)
