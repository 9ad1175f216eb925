"""Slopes behind docs/CAPACITY.md, each measured at several sizes.

Pure parts are timed in this process; links and spread are measured on
real daemons, each in a process of its own, over loopback.
"""

import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Callable
from typing import NamedTuple

import httpcore

from primrosehitch import admission as admission_module
from primrosehitch import catalog as catalog_module
from primrosehitch import declaration as declaration_module
from primrosehitch import directory as directory_module
from primrosehitch import fairqueue
from primrosehitch import log as log_module
from primrosehitch import medium as medium_module
from primrosehitch import messages
from primrosehitch import porcelain
from primrosehitch import replica as replica_module
from primrosehitch import routing
from primrosehitch import state as state_module
from primrosehitch_lab import fleet as fleet_module
from primrosehitch_lab import procfs

NODES = (7, 21, 49)
CELL = 7
REPLICAS = 3
QUIET_S = 8.0
SETTLE_S = 3.0
EDITS = 12
PORT = 25000
ROUNDS = 2000
HTTP_ANNOUNCEMENTS = 500


class Row(NamedTuple):
    """One measured figure at one size."""

    what: str
    size: int
    value: float
    unit: str


def time_each(action: Callable[[int], Any], count: int) -> float:
    """Return the median processor time of a call in us.

    The calls are split into ten parts; the median is over the parts.
    """
    part = max(1, count // 10)
    times = []
    for i in range(10):
        start = time.process_time()
        for j in range(part):
            action(i * part + j)
        times.append((time.process_time() - start) / part * 1e6)
    return statistics.median(times)


def declaration_rows(customers: int) -> tuple[messages.Row, ...]:
    """Return the rows of a table of a size, with a key per customer."""
    document: Any = {
        "classes": {
            f"c{i}": {"tier": i, "max_wait_ms": 1000, "first_token_ms": 980}
            for i in range(4)
        },
        "customers": {f"customer-{i}": {} for i in range(customers)},
        "grants": [
            {"customer": f"customer-{i}", "class": f"c{i % 4}"}
            for i in range(customers)
        ],
        "models": {f"m{i}": {} for i in range(31)},
    }
    rows = declaration_module.diff_rows(
        {}, declaration_module.to_rows(document)
    )
    keys = tuple(
        messages.Row(
            "key",
            f"{i:064x}",
            json.dumps({"customer": f"customer-{i}", "id": f"{i:012x}"}),
        )
        for i in range(customers)
    )
    return tuple(r._replace(version=1) for r in rows + keys)


# -- in a process of its own, for memory ----------------------------------


def memory_of(kind: str, size: int) -> float:
    """Return the growth of this process in KB for items of a kind."""
    before = procfs.resident_kb(os.getpid())
    held = _build(kind, size)
    after = procfs.resident_kb(os.getpid())
    assert held
    return after - before


def _build(kind: str, size: int) -> Any:
    if kind == "customer":
        catalog = catalog_module.Catalog()
        catalog.update(declaration_rows(size), 1)
        return catalog
    if kind == "endpoint":
        return make_router(size)
    state = state_module.State()
    for i in range(size):
        claim = messages.Claim(f"c{i}", "customer-1", f"booking-{i}", "f" * 64)
        _apply(state, claim)
        outcome = messages.ClaimOutcome(f"c{i}", 201, "a/b", b"x" * 200, True)
        _apply(state, outcome)
    return state


def _apply(state: state_module.State, command: tuple) -> Any:
    kind = type(command).__name__
    body = messages.encode(command)
    return state.apply(messages.Entry(1, 1, kind, body))


def make_router(endpoints: int, models: int = 1) -> routing.Router:
    """Return a router that knows endpoints spread over models."""
    directory = directory_module.Directory()
    router = routing.Router("z1", directory, random.Random(1))
    for i in range(endpoints):
        directory.record_announcement(announcement(i, 1, f"m{i % models}"), 0)
        router.update_endpoint(f"e{i}")
    return router


def announcement(
    number: int, sequence: int, model: str = "m0"
) -> messages.Announcement:
    """Return an announcement of an engine with a few cache events."""
    return messages.Announcement(
        f"e{number}",
        1,
        sequence,
        "127.0.0.1:8000",
        f"z{number % 12}",
        "engine",
        (model,),
        32,
        False,
        7,
        1,
        False,
        False,
        ("a" * 16, "b" * 16, "c" * 16),
    )


def _memory_rows() -> list[Row]:
    rows = []
    sizes = {
        "customer": (1000, 5000, 21000),
        "endpoint": (100, 1000, 12000),
        "claim": (1000, 5000, 20000),
    }
    for kind, counts in sizes.items():
        for size in counts:
            code = (
                "from primrosehitch_lab import slopes;"
                f"print(slopes.memory_of({kind!r}, {size}))"
            )
            out = subprocess.run(
                [sys.executable, "-c", code], capture_output=True, check=True
            )
            value = float(out.stdout) / size
            rows.append(Row(f"memory per {kind}", size, value, "KB"))
    return rows


# -- processor time of the pure parts --------------------------------------


def _time_rows() -> list[Row]:
    rows = []
    for size in (10, 1000, 12000):
        rows.append(_announcement_row(size))
    for size in (10, 100, 1000):
        rows.append(_choice_row(size))
    for size in (10, 1000, 21000):
        rows.append(_fair_row(size))
        rows.append(_decision_row(size))
    for size in (10, 1000, 21000):
        rows += _edit_rows(size)
    rows += _command_rows()
    return rows


def _announcement_row(size: int) -> Row:
    router = make_router(size)
    batch = [
        messages.encode(
            messages.AnnouncementBatch(
                (announcement(i % size, 2 + i // size),)
            )
        )
        for i in range(ROUNDS)
    ]

    def hear(i: int) -> None:
        found = messages.decode(messages.AnnouncementBatch, batch[i])
        for item in found.announcements:
            router.directory.record_announcement(item, 1)
            router.update_endpoint(item.name)

    return Row("announcement heard", size, time_each(hear, ROUNDS), "us")


def _choice_row(size: int) -> Row:
    router = make_router(size)
    spec = catalog_module.ServiceClass("c", 0, 1, 0, 1, 1, 0, 0.9, False)

    def choose(i: int) -> None:
        ticket = fairqueue.Ticket(f"r{i}", spec, "c", 1, 1, 0)
        name = router.choose("m0", ticket, 1)
        if name is not None:
            router.record_end(name, ticket, False, 1)

    return Row("routing choice", size, time_each(choose, ROUNDS), "us")


def _fair_row(size: int) -> Row:
    spec = catalog_module.ServiceClass("c", 0, 1, 0, 1, 1, 0, 0.9, False)
    queue = fairqueue.FairQueue()
    for i in range(size):
        queue.push(fairqueue.Ticket("r", spec, f"c{i}", 1, 100, 0))

    def turn(i: int) -> None:
        ticket = queue.pop()
        assert ticket is not None
        queue.push(ticket)

    return Row("fair queue turn", size, time_each(turn, ROUNDS), "us")


def _decision_row(customers: int) -> Row:
    router = make_router(13)
    admission = admission_module.Admission(10**6)
    spec = catalog_module.ServiceClass("c", 0, 1, 0, 10**6, 1, 0, 0.9, False)

    def ticket(i: int) -> fairqueue.Ticket:
        customer = f"c{i % customers}"
        return fairqueue.Ticket(f"r{i}", spec, customer, 1, 100, 0)

    for i in range(customers):
        admission.offer(ticket(i), 0)
    places = [0]

    def place(item: fairqueue.Ticket) -> str | None:
        if not places[0]:
            return None
        places[0] -= 1
        return router.choose("m0", item, 1)

    def decide(i: int) -> None:
        admission.offer(ticket(i), 1)
        places[0] = 1
        for started in admission.start_tickets(1, place):
            router.record_end(started.endpoint, started.ticket, False, 1)
            admission.correct_charge(started.ticket, 120)

    took = time_each(decide, ROUNDS)
    return Row("whole decision by customers", customers, took, "us")


def _edit_rows(customers: int) -> list[Row]:
    state = state_module.State()
    rows = declaration_rows(customers)
    _apply(state, messages.Edit("base", 0, "op", rows))
    catalog = catalog_module.Catalog()
    catalog.update(state.rows_since(0), state.version)

    def edit(i: int) -> None:
        row = rows[i % len(rows)]
        command = messages.Edit(f"e{i}", state.version, "op", (row,))
        _apply(state, command)
        catalog.update(state.rows_since(catalog.version), state.version)

    took = time_each(edit, ROUNDS)
    reply = messages.RowsReply(
        1, 2, tuple(state.rows_since(state.version - 1))
    )
    size = len(messages.encode(reply))
    return [
        Row("edit applied and in force", customers, took, "us"),
        Row("edit's delta to a node", customers, float(size), "bytes"),
    ]


def _command_rows() -> list[Row]:
    replica = replica_module.Replica(
        "a/1", log_module.open_memory_log(), random.Random(1), 0
    )
    replica.raft.bootstrap()
    replica.flush()
    replica.raft.last_contact_ms = -10_000
    replica.raft.timeout_started_ms = -10_000
    replica.tick(100)
    replica.flush()
    replica.flush()

    def propose(command: tuple) -> None:
        answers: list[str] = []
        replica.propose(
            type(command).__name__,
            messages.encode(command),
            lambda outcome, value: answers.append(outcome),
            100,
        )
        replica.flush()
        assert answers == ["applied"]

    def claim(i: int) -> None:
        propose(messages.Claim(f"c{i}", "customer-1", f"k{i}", "f" * 64))
        propose(messages.ClaimOutcome(f"c{i}", 201, "a/b", b"x" * 200, True))

    usage = tuple(
        messages.UsageRow(f"customer-{i}", "c0", 1, 100, 100)
        for i in range(50)
    )

    def batch(i: int) -> None:
        propose(messages.UsageBatch("g1", 1, i + 1, 5, usage))

    return [
        Row("claim and outcome at the leader", 1, time_each(claim, 500), "us"),
        Row(
            "usage batch of 50 rows at the leader",
            50,
            time_each(batch, 500),
            "us",
        ),
    ]


def _catch_up_rows() -> list[Row]:
    rows = []
    for size in (1000, 5000, 20000):
        medium = medium_module.MemoryMedium()
        log = log_module.Log(medium)
        row = messages.Row("customer", "c", "{}")
        for i in range(1, size + 1):
            edit = messages.Edit(
                f"e{i}", state_module.ANY_VERSION, "o", (row,)
            )
            entry = messages.Entry(i, 1, "Edit", messages.encode(edit))
            log.append([entry])
        log.set_commit(size)
        log.sync()
        start = time.perf_counter()
        replica = replica_module.Replica(
            "a/1", log_module.Log(medium), random.Random(1), 0, 10**9
        )
        took = (time.perf_counter() - start) * 1000
        assert replica.state.version == size
        rows.append(Row("log opened and applied", size, took, "ms"))
    return rows


# -- real daemons ----------------------------------------------------------


class Node(NamedTuple):
    """One node's counters at a moment."""

    cpu_s: float
    bytes_sent: float
    messages_sent: float


def _metrics(address: str) -> dict[str, float]:
    with httpcore.ConnectionPool() as pool:
        text = pool.request("GET", f"http://{address}/metrics").content
    pairs = (line.split(" ") for line in text.decode().splitlines())
    return {p[0]: float(p[1]) for p in pairs if len(p) == 2}


def _snapshot(fleet: fleet_module.Fleet, name: str) -> Node:
    found = _metrics(fleet.http[name])
    return Node(
        procfs.cpu_s(fleet.processes[name].pid),
        found["primrosehitch_link_bytes"],
        found["primrosehitch_link_messages"],
    )


def describe(nodes: int) -> Any:
    """Return a deployment of cells; the first has the replicas."""
    return {
        "instances": [
            {
                "name": f"g{i}",
                "domain": f"z{i % 3}",
                "cell": f"cell{i // CELL}",
                "replica": i < REPLICAS,
            }
            for i in range(nodes)
        ],
        "endpoints": [],
        "settings": {"usage_window_s": 60},
    }


def _fleet_rows(nodes: int) -> list[Row]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_module.Fleet(describe(nodes), pathlib.Path(folder), PORT)
        try:
            document = {
                "classes": {
                    "c": {"tier": 0, "max_wait_ms": 1, "first_token_ms": 1}
                },
                "customers": {"a": {}},
                "grants": [],
                "models": {},
            }
            fleet.bring_up(document)
            time.sleep(SETTLE_S)
            rows = _quiet_rows(fleet, nodes)
            rows += _edit_time_rows(fleet, nodes)
            if nodes == min(NODES):
                rows.append(_announce_http_row(fleet, list(fleet.http)[-1]))
            return rows
        finally:
            fleet.stop()


def _announce_http_row(fleet: fleet_module.Fleet, name: str) -> Row:
    """Return what one announcement over HTTP costs a gateway."""
    head = {"authorization": f"Bearer {fleet_module.TOKEN}"}
    pid = fleet.processes[name].pid
    with httpcore.ConnectionPool() as pool:
        before = procfs.cpu_s(pid)
        for i in range(HTTP_ANNOUNCEMENTS):
            value = announcement(0, i + 1)._asdict()
            body = json.dumps({**value, "age_ms": 0}).encode()
            response = pool.request(
                "POST",
                f"http://{fleet.http[name]}/endpoints/announce",
                headers={**head, "content-length": str(len(body))},
                content=body,
            )
            assert response.status == 200, response.content
        took = (procfs.cpu_s(pid) - before) / HTTP_ANNOUNCEMENTS * 1e6
    return Row("announcement over HTTP", 1, took, "us")


def _snapshot_rows() -> list[Row]:
    rows = []
    for size in (1000, 5000, 21000):
        state = state_module.State()
        edit = messages.Edit("base", 0, "op", declaration_rows(size))
        _apply(state, edit)
        start = time.perf_counter()
        image = state.encode_image()
        took = (time.perf_counter() - start) * 1000
        rows.append(Row("snapshot made, by customers", size, took, "ms"))
        megabytes = len(image) / 1e6
        rows.append(Row("snapshot's size", size, megabytes, "MB"))
    return rows


def _heartbeat_rows() -> list[Row]:
    rows = []
    router = make_router(200)
    for size in (0, 50, 200):
        counts = tuple(
            messages.EndpointCount(f"engine-{i}", 1, 0) for i in range(size)
        )
        heartbeat = messages.Heartbeat(1 << 50, 1 << 20, 1 << 14, 9, 1 << 60)
        full = heartbeat._replace(leader="g0", term=9, counts=counts)
        value = float(len(messages.encode(full)))
        rows.append(Row("heartbeat by engines named", size, value, "bytes"))
        data = messages.encode(full)

        def hear(i: int, data: bytes = data) -> None:
            told = messages.decode(messages.Heartbeat, data)
            router.apply_counts("g2", told.counts, i, complete=False)

        took = time_each(hear, 400)
        rows.append(Row("heartbeat heard, by engines", size, took, "us"))
    return rows


def _quiet_rows(fleet: fleet_module.Fleet, nodes: int) -> list[Row]:
    leader = fleet.leader()
    last = list(fleet.http)[-1]
    before = {n: _snapshot(fleet, n) for n in (leader, last)}
    start = time.monotonic()
    time.sleep(QUIET_S)
    spent = time.monotonic() - start
    rows = []
    for role, name in (("leader", leader), ("gateway", last)):
        now = _snapshot(fleet, name)
        then = before[name]
        cpu = 100 * (now.cpu_s - then.cpu_s) / spent
        sent = (now.bytes_sent - then.bytes_sent) / spent / 1000
        count = (now.messages_sent - then.messages_sent) / spent
        resident = procfs.resident_kb(fleet.processes[name].pid) / 1024
        rows += [
            Row(f"{role}: processor", nodes, cpu, "% of a core"),
            Row(f"{role}: sent", nodes, sent, "KB/s"),
            Row(f"{role}: messages sent", nodes, count, "1/s"),
            Row(f"{role}: resident", nodes, resident, "MB"),
        ]
    return rows


def _edit_time_rows(fleet: fleet_module.Fleet, nodes: int) -> list[Row]:
    times = []
    target = fleet.target("g0")
    for i in range(EDITS):
        start = time.monotonic()
        porcelain.create_key(target, "a")
        times.append((time.monotonic() - start) * 1000)
    return [
        Row(
            "edit in force at all nodes, median",
            nodes,
            statistics.median(times),
            "ms",
        ),
        Row("edit in force at all nodes, worst", nodes, max(times), "ms"),
    ]


def run(nodes: tuple[int, ...] = NODES) -> list[Row]:
    """Measure all slopes and return the rows."""
    rows = _time_rows() + _catch_up_rows() + _snapshot_rows()
    rows += _heartbeat_rows() + _memory_rows()
    for count in nodes:
        rows += _fleet_rows(count)
    return rows


__all__ = ["Row", "memory_of", "run"]
