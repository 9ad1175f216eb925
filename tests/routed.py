"""An edge's data path on loopback, before stand-in engines."""

import contextlib
import json
import random
import socket

import anyio

from primrosehitch import balancer
from primrosehitch import budget
from primrosehitch import clock
from primrosehitch import forwarder
from primrosehitch import httpserver
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import overload
from primrosehitch import settings
from primrosehitch import truetime
from primrosehitch.platform import dialect
from primrosehitch.platform import tables
from primrosehitch_lab import platform_engine

KEY = "k" * 20
WINDOW_MS = 5000


__all__ = ["clock", "platform_engine"]


def table_document(version=1, **changes):
    """Return a configuration as the operators send it."""
    route = {
        "name": "r",
        "host": "shop.example",
        "path_prefix": "/a/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "slo_ms": 500,
        "priority": 1,
        "service": "svc",
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    document = {
        "version": version,
        "routes": [
            route,
            {
                **route,
                "path_prefix": "/once/",
                "kind": "non_idempotent",
            },
            {
                **route,
                "path_prefix": "/stream/",
                "kind": "streaming",
                "gap_slo_ms": 500,
            },
            {
                **route,
                "path_prefix": "/resume/",
                "kind": "streaming",
                "resumable": True,
                "gap_slo_ms": 500,
            },
            {**route, "path_prefix": "/open/", "public": True},
            {**route, "path_prefix": "/brief/", "timeout_ms": 150},
        ],
        "services": [{"name": "svc", "max_conns": 50}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 1000,
        },
        "tenants": [{"name": "ana", "api_keys": [KEY]}],
    }
    document.update(changes)
    return document


def read_table(**changes):
    return tables.decode(json.dumps(table_document(**changes)).encode())


def record(engine, number=0):
    """Return the record of a stand-in engine."""
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


class Path:
    """A forwarder behind a server."""

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
            overload.Gate(self.balancer),
            random.Random(1),
        )
        self.forwarder.table = table
        self.server = httpserver.Server(self.forwarder.serve, table.limits)

    def counted(self):
        """Return all requests counted, by customer."""
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
async def serving(*engines, table=None):
    """Run a path before engines."""
    path = Path(table or read_table(), free_port())
    address = settings.Address("127.0.0.1", path.port)
    async with anyio.create_task_group() as group:
        for number, engine in enumerate(engines):
            await group.start(engine.run)
            path.balancer.update(record(engine, number), 0)
        await group.start(path.server.run, address)
        yield path
        group.cancel_scope.cancel()


def request(target="/a/x", method="GET", body=b"", identifier="77", **headers):
    """Return the bytes of a caller's request."""
    fields = {
        "Host": "shop.example",
        "Request-Id": identifier,
        "Deadline-Ms": "1500",
        "Credential": KEY,
    }
    if body:
        fields["Content-Length"] = str(len(body))
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    fields.update(names)
    lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value]
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(lines) + "\r\n"
    return head.encode() + body


class Caller:
    """A caller's connection."""

    def __init__(self, stream):
        self.stream = stream
        self.data = b""

    async def send(self, data):
        await self.stream.send(data)

    async def answer(self, limit_s=5):
        """Return (status, headers, body, whole) of the next answer."""
        with anyio.fail_after(limit_s):
            while b"\r\n\r\n" not in self.data:
                self.data += await self.stream.receive()
            head, _, self.data = self.data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body, whole = await self._body(headers)
        return int(lines[0].split()[1]), headers, body, whole

    async def _body(self, headers):
        try:
            if "content-length" in headers:
                size = int(headers["content-length"])
                while len(self.data) < size:
                    self.data += await self.stream.receive()
                body, self.data = self.data[:size], self.data[size:]
                return body, True
            return await self._chunks()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return self.data, False

    async def _chunks(self):
        body = b""
        while True:
            while b"\r\n" not in self.data:
                self.data += await self.stream.receive()
            size, _, rest = self.data.partition(b"\r\n")
            length = int(size, 16)
            while len(rest) < length + 2:
                rest += await self.stream.receive()
            body, self.data = body + rest[:length], rest[length + 2 :]
            if not length:
                return body, True


@contextlib.asynccontextmanager
async def calling(path):
    """Open a caller's connection."""
    async with await anyio.connect_tcp("127.0.0.1", path.port) as stream:
        yield Caller(stream)


async def ask(path, data):
    """Send one request on a connection of its own; return the answer."""
    async with calling(path) as caller:
        await caller.send(data)
        return await caller.answer()
