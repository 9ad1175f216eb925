"""Stand-ins for the scripts of the second review.

Starts the project's own processes with the command of the deploy file, on
loopback addresses of their own, and plays engines, the operator and clients
as the platform's pages describe them. Needs the standard library only.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "grace_s": 8,
    "lease_ms": 3000,
    "machines_lost": 1,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Record:
    """The file that says what was sent, answered and run.

    Args:
        folder: the folder of the case.
    """

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


class Answer:
    """What a client got: a status, or None for a closed connection."""

    def __init__(self, status, headers, body, text=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.text = text


async def read_head(reader):
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body that has a length or comes in chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return b""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


class Client:
    """One connection of a client, which it keeps for further requests."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = self.writer = None

    async def send(self, method, path, headers, body=b""):
        """Send one request; return its answer."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port
                )
            self.writer.write(head + body)
            await self.writer.drain()
            line, answered = await read_head(self.reader)
            content = await read_body(self.reader, answered)
        except (OSError, EOFError, asyncio.IncompleteReadError) as exc:
            self.close()
            return Answer(None, {}, b"", type(exc).__name__)
        if answered.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split()[1]), answered, content)

    def close(self):
        """Close the connection at once."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def call(host, port, method, path, body=b"", timeout_s=4.0):
    """Make one call on a connection of its own; None without an answer."""
    client = Client(host, port)
    headers = {"Host": f"{host}:{port}", "Connection": "close"}
    if body:
        headers["Content-Type"] = "application/json"
    try:
        return await asyncio.wait_for(
            client.send(method, path, headers, body), timeout_s
        )
    except asyncio.TimeoutError:
        return None
    finally:
        client.close()


class Process:
    """One of the project's processes, with its settings file."""

    def __init__(self, folder, settings):
        self.name = settings["name"]
        self.folder = folder
        self.settings = settings
        self.path = folder / f"{self.name}.json"
        self.process = None

    def write_settings(self):
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PRIMROSEHITCH_NODE_FILE": str(self.path),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "primrosehitch.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    @property
    def code(self):
        """How the process ended, None while it runs."""
        return self.process.poll()

    def end(self):
        """Kill the process, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Fleet:
    """Control instances and edges on loopback addresses of their own.

    Args:
        controls: how many control instances.
        edges: how many edges.
        platform: address of the platform's API, or None.
    """

    def __init__(self, controls=3, edges=1, platform=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rig2-"))
        net = f"127.{random.randint(64, 127)}.{random.randint(1, 250)}"
        self.net = net
        base = random.randint(20000, 30000)
        self.ports = {
            "link": base,
            "last": base + 15,
            "control": base + 20,
            "front": base + 21,
            "ready": base + 22,
            "metrics": base + 23,
            "engine": base + 30,
        }
        self.platform = platform
        self.seeds = [
            f"{net}.{10 + i}:{self.ports['control']}" for i in range(3)
        ]
        self.seeds = self.seeds[:controls]
        self.controls = [self._control(i) for i in range(controls)]
        self.edges = [self._edge(i) for i in range(edges)]

    def _settings(self, name, host, index):
        return {
            "name": name,
            "domain": f"zone-{'abc'[index % 3]}",
            "host": host,
            "ports": [self.ports["link"], self.ports["last"]],
            "seeds": self.seeds,
            "bootstrap": True,
            "data_folder": None,
            "platform": self.platform,
            "metrics_port": self.ports["metrics"],
            "memory_mb": 300,
            "bounds": dict(BOUNDS),
        }

    def _control(self, index):
        host = f"{self.net}.{10 + index}"
        settings = self._settings(f"core-{index}", host, index)
        settings["memory_mb"] = 296
        settings["data_folder"] = str(self.folder / f"data-{index}")
        settings["listen"] = {"control": f"{host}:{self.ports['control']}"}
        return Process(self.folder, settings)

    def _edge(self, index):
        host = f"{self.net}.{30 + index}"
        settings = self._settings(f"front-{index}", host, index)
        settings["listen"] = {
            "front": f"{host}:{self.ports['front']}",
            "ready": f"{host}:{self.ports['ready']}",
        }
        return Process(self.folder, settings)

    def host(self, process):
        """Return the address of a process."""
        return process.settings["host"]

    def start(self):
        """Start all processes."""
        for process in self.controls + self.edges:
            process.start()

    def client(self, edge=0):
        """Return a client of an edge."""
        return Client(self.host(self.edges[edge]), self.ports["front"])

    async def control_call(self, index, method, path, body=b"", timeout_s=4.0):
        """Make a call to a control instance."""
        host = self.host(self.controls[index])
        port = self.ports["control"]
        return await call(host, port, method, path, body, timeout_s)

    async def put(self, table, limit_s=25.0):
        """Send a table until it is acknowledged; return if it was."""
        body = json.dumps(table).encode()
        until = time.monotonic() + limit_s
        index = 0
        while time.monotonic() < until:
            answer = await self.control_call(
                index % len(self.controls), "POST", "/-/Config.Put", body
            )
            if answer is not None and answer.status == 200:
                return True
            index += 1
            await asyncio.sleep(0.2)
        return False

    async def ready(self, edge=0, limit_s=25.0):
        """Wait until an edge says that it is ready."""
        until = time.monotonic() + limit_s
        host = self.host(self.edges[edge])
        while time.monotonic() < until:
            answer = await call(host, self.ports["ready"], "GET", "/-/ready")
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        """Kill all processes and remove their files."""
        for process in self.controls + self.edges:
            process.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Engine:
    """A sound engine: registers itself, runs requests, answers them.

    Args:
        fleet: the fleet whose control instances it reports to.
        index: its number, which is part of its address.
        service: its service.
        work_ms: how long it works on a request.
        record: where it writes what it runs, or None.

    Attributes:
        runs: the identifiers of the requests that it began to run.
        ended: the identifiers of those that it answered.
    """

    def __init__(self, fleet, index, service, work_ms=20, record=None):
        self.fleet = fleet
        self.host = f"{fleet.net}.{100 + index}"
        self.port = fleet.ports["engine"]
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.work_ms = work_ms
        self.record = record
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = 64
        self.running = 0
        self.runs = []
        self.ended = []
        self.tasks = []
        self.server = None
        self.acknowledged = 0

    def note(self, text):
        """Write a line to the record."""
        if self.record is not None:
            self.record.write(f"engine {self.id} {text}")

    def beat(self):
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def start(self):
        """Listen and report to the control instances from now on."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 20
        )
        self.tasks.append(asyncio.create_task(self.report()))

    async def report(self):
        """Send heartbeats; try the next control instance after a failure."""
        index = 0
        while True:
            body = json.dumps(self.beat()).encode()
            for _ in self.fleet.controls:
                answer = await self.fleet.control_call(
                    index,
                    "POST",
                    f"/-/Instances.Heartbeat/{self.id}",
                    body,
                    1.0,
                )
                if answer is not None and answer.status == 200:
                    self.acknowledged += 1
                    break
                index = (index + 1) % len(self.fleet.controls)
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, line, headers, body, reader, writer):
        """Run a request and answer it."""
        identifier = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.respond(writer, 421, identifier, b"", {"Not-Run": "1"})
            return
        self.running += 1
        self.runs.append(identifier)
        self.note(f"runs {identifier}, {len(body)} bytes")
        try:
            await self.work(headers, reader)
        except EOFError:
            self.note(f"drops {identifier}, its connection closed")
            raise
        finally:
            self.running -= 1
        self.ended.append(identifier)
        self.respond(writer, 200, identifier, f"done {identifier}".encode())
        await writer.drain()

    async def work(self, headers, reader):
        """Work for the time that a request takes."""
        until = time.monotonic() + self.work_ms / 1000
        while time.monotonic() < until:
            if reader.at_eof():
                raise EOFError
            await asyncio.sleep(0.01)

    def respond(self, writer, status, identifier, body, extra=None):
        """Write an answer."""
        headers = {
            "Request-Id": identifier,
            "Content-Length": len(body),
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        headers.update(extra or {"Response-Stamp": f"{self.id}.1"})
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def stop(self):
        """Stop to listen and to report."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()


def make_table(version, routes, services, **more):
    """Return a configuration in the form of the platform's pages."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 360}
            for name in services
        ],
        "limits": dict(LIMITS),
        **more,
    }


def make_route(name, service, kind, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 12000,
        "slo_ms": 2000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": True,
        "sticky": False,
        "resumable": False,
        **more,
    }


def run(main, folder):
    """Run a case; exit with 0, 1 or 2.

    Args:
        main: takes a record and returns 0, 1 or 2.
        folder: the folder of the case.
    """
    record = Record(folder)

    async def limited():
        return await asyncio.wait_for(main(record), 115)

    try:
        code = asyncio.run(limited())
    except Exception as exc:
        record.write(f"the case could not run: {exc!r}")
        code = NOT_RUN
    record.write(f"trouble {TROUBLE}, exit {code}")
    sys.exit(code)
