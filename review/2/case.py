"""A configuration that can't be read is acknowledged and obeyed."""

import asyncio
import json
import time

import fleet

SERVICE = "mostrador"
ADDED = "almacen"
# Bytes that can't be read: no UTF-8 text has them (half of a pair).
UNREADABLE = b"\xed\xa0\xbd"
WATCH_S = 12


async def request(address, turn, path, record):
    """Send one lookup and return its status."""
    request_id = f"{turn:016x}"
    status, _, _ = await fleet.call(
        address,
        "GET",
        path,
        b"",
        [
            ("Host", fleet.HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", "1000"),
            ("Credential", fleet.KEY),
        ],
        1.5,
    )
    record.note(f"client: {path} at {address}: {status or 'no answer'}")
    return status


async def put(deployment, body, record):
    """Send one configuration to the first node that answers."""
    for address in deployment.control_addresses:
        status, _, answer = await fleet.call(
            address,
            "POST",
            "/-/Config.Put",
            body,
            [("Content-Type", "application/json")],
            3,
        )
        record.note(
            f"operator: version 2 to {address}: {status or 'no answer'}"
            f" {answer[:80]!r}"
        )
        if status:
            return status
    return 0


async def case(record, trouble):
    """Return whether the unreadable configuration was refused."""
    deployment = fleet.Fleet(record, controls=3, edges=2)
    engines = [fleet.Engine(deployment, SERVICE, f"i-{n}") for n in range(3)]
    lookup = fleet.route("lookup", "/lookup/", "idempotent", SERVICE)
    added = fleet.route("added", "/added/", "idempotent", ADDED)
    first = fleet.table(1, [lookup], [SERVICE])
    second = fleet.table(2, [lookup, added], [SERVICE, ADDED])
    body = json.dumps(second).encode()
    if trouble:
        body = body.replace(ADDED.encode(), b"almacen" + UNREADABLE)
    try:
        await deployment.start(first)
        for engine in engines:
            await engine.start()
        await asyncio.sleep(4)
        status = await put(deployment, body, record)
        await asyncio.sleep(2.5)
        turn = served = 0
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            # Clients also try what was just added, at each front node.
            for address in deployment.front_addresses:
                turn += 1
                path = "/added/1" if turn % 10 < 2 else "/lookup/1"
                served += await request(address, turn, path, record) == 200
            await asyncio.sleep(0.2)
        held = ""
        for address in deployment.control_addresses:
            read, _, answer = await fleet.call(
                address, "GET", "/-/Config.Get", timeout_s=2
            )
            if read == 200:
                held = "2" if b'"version": 2' in answer else "1"
                break
        ends = {p.name: p.own_ends for p in deployment.processes}
        record.note(f"served {served} of {turn}; own ends: {ends}")
        record.note(f"version {held or '?'} is read back")
        if not trouble:
            return status == 200 and held == "2" and not sum(ends.values())
        return not 200 <= status < 300 and held != "2"
    finally:
        for engine in engines:
            await engine.end()
        await deployment.end()


fleet.run(case)
