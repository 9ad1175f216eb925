"""When the last key is taken away, every request runs, with any key."""

import asyncio
import time

import fleet

SERVICE = "mostrador"
FIRST_KEY, LAST_KEY = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
# config_ms, and half a second to be far from it.
CONFIG_S = 2.0
MARGIN_S = 0.5
WATCH_S = 8


async def book(deployment, turn, key, record):
    """Send one booking with a key and return its status."""
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
            ("Credential", key),
        ],
        1.5,
    )
    record.note(f"client: {request_id} with key {key}: {status or 'none'}")
    return request_id, status


async def watch(deployment, first_turn, keys, record):
    """Send bookings with some keys for a while.

    Returns:
        The identifiers of the requests, with their statuses.
    """
    sent = {}
    turn = first_turn
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        for key in keys:
            turn += 1
            request_id, status = await book(deployment, turn, key, record)
            sent[request_id] = status
        await asyncio.sleep(0.2)
    return sent


async def case(record, trouble):
    """Return whether no request ran with a key that was taken away."""
    deployment = fleet.Fleet(record, controls=3, edges=2)
    engines = [fleet.Engine(deployment, SERVICE, f"i-{n}") for n in range(3)]
    booking = fleet.route("booking", "/booking/", "non_idempotent", SERVICE)
    tables = [
        fleet.table(version, [booking], [SERVICE]) for version in (1, 2, 3)
    ]
    tenants = [
        {"name": "hule930", "api_keys": [FIRST_KEY], "priority": 1},
        {"name": "fida11", "api_keys": [LAST_KEY], "priority": 1},
    ]
    for table, left in zip(tables, (tenants, tenants[1:], [])):
        table["tenants"] = left
    try:
        await deployment.start(tables[0])
        for engine in engines:
            await engine.start()
        await asyncio.sleep(4)
        before = await watch(deployment, 0, [FIRST_KEY, LAST_KEY], record)
        served = list(before.values()).count(200)
        if served < len(before) / 2:
            raise fleet.CannotRun("requests with good keys aren't served")
        if not await deployment.put(tables[1], 10):
            raise fleet.CannotRun("version 2 was not acknowledged")
        dropped = [FIRST_KEY]
        if trouble:
            if not await deployment.put(tables[2], 10):
                raise fleet.CannotRun("version 3 was not acknowledged")
            dropped = [FIRST_KEY, LAST_KEY, "no-key-of-any-version"]
        await asyncio.sleep(CONFIG_S + MARGIN_S)
        after = await watch(deployment, 1000, dropped, record)
        run = {request_id for e in engines for _, request_id in e.runs}
        ran = [request_id for request_id in after if request_id in run]
        refused = list(after.values()).count(401)
        record.note(
            f"{len(ran)} of {len(after)} requests ran with keys that"
            f" the configuration in force doesn't have; {refused} got 401"
        )
        return not ran
    finally:
        for engine in engines:
            await engine.end()
        await deployment.end()


fleet.run(case)
