"""A heartbeat of another writer ends the processes that serve control."""

import asyncio
import json
import time

import fleet

SERVICE = "mostrador"
# How long the other writer sends, and how often.
TROUBLE_S = 12
PERIOD_S = 1.2
# Bytes that can't be read: no UTF-8 text has them (half of a pair).
UNREADABLE = b"\xed\xa0\xbd"


async def book(deployment, turn, record):
    """Send one booking and return its status."""
    address = deployment.front_addresses[
        turn % len(deployment.front_addresses)
    ]
    request_id = f"{turn:016x}"
    status, _, _ = await fleet.call(
        address,
        "POST",
        "/booking/1",
        b"{}",
        [
            ("Host", fleet.HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", "1000"),
            ("Credential", fleet.KEY),
        ],
        1.5,
    )
    record.note(f"client: {request_id} at {address}: {status or 'none'}")
    return status


async def other_writer(deployment, engine, record):
    """Send heartbeats for an engine of its own, as an engine would.

    One that isn't acknowledged goes to the next node.
    """
    end = time.monotonic() + TROUBLE_S
    sequence = 0
    while time.monotonic() < end:
        sequence += 1
        body = json.dumps(
            {
                "service": SERVICE,
                "address": f"{deployment.engine_host}:9",
                "zone": "cr-central-b",
                "version": "v1-X",
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": sequence,
                "born": engine.born,
            }
        ).encode()
        body = body.replace(b"v1-X", b"v1-" + UNREADABLE)
        for address in deployment.control_addresses:
            status, _, _ = await fleet.call(
                address,
                "POST",
                "/-/Instances.Heartbeat/i-other",
                body,
                [("Content-Type", "application/json")],
            )
            record.note(
                f"other writer: heartbeat to {address}: {status or 'none'}"
            )
            if status:
                break
        await asyncio.sleep(PERIOD_S)


async def case(record, trouble):
    """Return whether no process ended by itself."""
    deployment = fleet.Fleet(record, controls=3, edges=2)
    engines = [fleet.Engine(deployment, SERVICE, f"i-{n}") for n in range(3)]
    table = fleet.table(
        1,
        [fleet.route("booking", "/booking/", "non_idempotent", SERVICE)],
        [SERVICE],
    )
    try:
        await deployment.start(table)
        for engine in engines:
            await engine.start()
        await asyncio.sleep(4)
        writer = None
        if trouble:
            writer = asyncio.create_task(
                other_writer(deployment, engines[0], record)
            )
        served = 0
        end = time.monotonic() + TROUBLE_S
        turn = 0
        while time.monotonic() < end:
            turn += 1
            served += await book(deployment, turn, record) == 200
            await asyncio.sleep(0.2)
        if writer:
            await writer
        ends = {p.name: p.own_ends for p in deployment.processes}
        record.note(f"served {served} of {turn}; own ends: {ends}")
        half_of_core = len(deployment.controls) / 2
        broken = [p for p in deployment.controls if p.own_ends >= 3]
        any_end = sum(ends.values())
        record.note(
            f"{len(broken)} core machines ended three times or more,"
            f" half of the core is {half_of_core}; {any_end} ends in all"
        )
        return any_end == 0
    finally:
        for engine in engines:
            await engine.end()
        await deployment.end()


fleet.run(case)
