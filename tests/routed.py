"""Test helpers: an edge's data path on loopback and stand-in engines.

``running_edge`` runs the data path in front of engines;
``connected_caller`` and ``send_request`` call it.
"""

import contextlib
import json
import random
import socket

import anyio

from primrosehitch import balancer
from primrosehitch import budget
from primrosehitch import clock
from primrosehitch import controlcontact
from primrosehitch import forwarder
from primrosehitch import helpers
from primrosehitch import httpserver
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import overload
from primrosehitch import quarantine
from primrosehitch import settings
from primrosehitch import streamorigins
from primrosehitch import truetime
from primrosehitch.platform import dialect
from primrosehitch.platform import tables
from primrosehitch_lab import platform_engine
from primrosehitch_lab.platform_caller import Caller
from primrosehitch_lab.platform_caller import DEADLINE_MS
from primrosehitch_lab.platform_caller import KEY
from primrosehitch_lab.platform_caller import request
from primrosehitch_lab.platform_caller import table_document

WINDOW_MS = 5000


__all__ = [
    "Caller",
    "DEADLINE_MS",
    "KEY",
    "clock",
    "platform_engine",
    "request",
    "table_document",
]


def decode_table(**changes):
    return tables.decode(json.dumps(table_document(**changes)).encode())


def endpoint_record(engine, number=0):
    """Return the endpoint record of a stand-in engine."""
    return messages.EndpointRecord(
        id=f"i-{number}",
        born=1,
        sequence=1,
        service="svc",
        address=engine.address,
        domain="za",
        slots=8,
        state="ready",
    )


class ConfirmedContact(controlcontact.ControlContact):
    """Contact that a control instance confirms all the time."""

    def knows_table(self, now):
        return True


class EdgeDataPath:
    """The request path of an edge: an HTTP server and a forwarder."""

    def __init__(self, table, port):
        now = clock.now_ms()
        self.port = port
        self.balancer = balancer.Balancer("za", random.Random(1))
        self.meter = metering.WindowMeter("edge", 1, WINDOW_MS)
        self.budget = budget.SharedRetryBudget(0.2, 50, 10_000)
        self.forwarder = forwarder.Forwarder(
            dialect.PlatformDialect(),
            self.balancer,
            self.budget,
            self.meter,
            truetime.TrueTime(clock.wall_ms(), now),
            overload.AdmissionGate(),
            quarantine.Quarantine(),
            streamorigins.StreamOrigins(),
            random.Random(1),
            helpers.HelperDirectory("", "za", random.Random(1)),
            ConfirmedContact(now),
        )
        self.forwarder.table = table
        self.server = httpserver.Server(self.forwarder.serve, table.limits)

    def counted_requests(self):
        """Return the number of counted requests by customer."""
        sums = {}
        for counts in self.meter.totals.values():
            for name, number in counts.items():
                sums[name] = sums.get(name, 0) + number
        return sums


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@contextlib.asynccontextmanager
async def running_edge(*engines, table=None):
    """Run an edge that forwards to the given engines."""
    edge = EdgeDataPath(table or decode_table(), free_port())
    address = settings.Address("127.0.0.1", edge.port)
    async with anyio.create_task_group() as group:
        for number, engine in enumerate(engines):
            await group.start(engine.run)
            edge.balancer.update_endpoint(endpoint_record(engine, number), 0)
        await group.start(edge.server.run, address)
        yield edge
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def connected_caller(edge):
    """Open a caller's connection to an edge."""
    async with await anyio.connect_tcp("127.0.0.1", edge.port) as stream:
        yield Caller(stream)


async def send_request(edge, data):
    """Send a request on a new connection and return its response."""
    async with connected_caller(edge) as caller:
        await caller.send(data)
        return await caller.answer()
