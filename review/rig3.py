"""A small deployment on loopback for the scripts of the third review.

It starts the programs of the deploy file as processes of their own, and
stands in for engines, clients and the operator. Only the standard library
is used. Nothing here decides if a rule was broken.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
SETTLE_S = 15.0
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_slack": 54,
    "retry_window_s": 10,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "grace_s": 8,
    "lease_ms": 3000,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class NotRunnableError(Exception):
    """The case could not run, which says nothing of the rule."""


def trouble():
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.lines = []
        self.path = pathlib.Path(folder) / "record.txt"
        self.began = time.monotonic()

    def now(self):
        """Return the time since the start in seconds."""
        return time.monotonic() - self.began

    def add(self, text):
        """Add one line."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_ports(hosts, count):
    """Return ports that are free on all of some addresses."""
    for _ in range(200):
        first = random.randrange(20000, 31000)
        ports = range(first, first + count)
        try:
            for host in hosts:
                for port in ports:
                    with socket.socket() as sock:
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        sock.bind((host, port))
        except OSError:
            continue
        return list(ports)
    raise NotRunnableError("no free ports")


class Machine:
    """One machine of the system, with one process."""

    def __init__(self, fleet, name, host, zone, is_control):
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.is_control = is_control
        self.process = None
        self.starts = 0
        self.data = fleet.folder / name

    @property
    def control(self):
        """The address for engines and the operator."""
        return (self.host, self.fleet.control_port)

    @property
    def front(self):
        """The address for clients."""
        return (self.host, self.fleet.front_port)

    def settings(self):
        """Return the settings file, as the template gives it."""
        fleet = self.fleet
        if self.is_control:
            listen = {"control": "%s:%d" % self.control}
        else:
            listen = {
                "front": "%s:%d" % self.front,
                "ready": f"{self.host}:{fleet.ready_port}",
            }
        platform = "%s:%d" % fleet.platform if fleet.platform else None
        return {
            "name": self.name,
            "domain": self.zone,
            "host": self.host,
            "ports": [fleet.link_port, fleet.link_port],
            "seeds": ["%s:%d" % m.control for m in fleet.controls[:3]],
            "listen": listen,
            "bootstrap": self.starts == 0,
            "data_folder": str(self.data) if self.is_control else None,
            "platform": platform,
            "metrics_port": fleet.metrics_port,
            "memory_mb": 296 if self.is_control else 300,
            "bounds": BOUNDS,
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.fleet.folder / (self.name + ".json")
        path.write_text(json.dumps(self.settings()))
        if self.is_control:
            self.data.mkdir(exist_ok=True)
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["PRIMROSEHITCH_NODE_FILE"] = str(path)
        log = open(self.fleet.folder / (self.name + ".log"), "ab")
        with log:
            self.process = subprocess.Popen(
                ["python3", "-m", "primrosehitch.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    def send(self, number):
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def kill(self):
        """End the process at once, as a crash does."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def stop(self):
        """End the process if it runs, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.kill()

    def log_text(self):
        """Return what the process has written."""
        path = self.fleet.folder / (self.name + ".log")
        return path.read_text(errors="replace") if path.exists() else ""


class Fleet:
    """The machines of a small deployment."""

    def __init__(self, controls=3, edges=3, platform=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.platform = platform
        base = f"127.{random.randrange(30, 200)}"
        control_hosts = [f"{base}.1.{n + 1}" for n in range(controls)]
        edge_hosts = [f"{base}.2.{n + 1}" for n in range(edges)]
        self.engine_base = f"{base}.3"
        ports = free_ports(control_hosts + edge_hosts, 5)
        self.link_port, self.control_port, self.front_port = ports[:3]
        self.ready_port, self.metrics_port = ports[3:]
        zones = ["ie-south-a", "ie-south-b", "ie-south-c"]
        self.controls = [
            Machine(self, f"core-{n + 1}", host, zones[n % 3], True)
            for n, host in enumerate(control_hosts)
        ]
        self.edges = [
            Machine(self, f"front-{n + 1}", host, zones[n % 3], False)
            for n, host in enumerate(edge_hosts)
        ]

    @property
    def machines(self):
        """All machines."""
        return self.controls + self.edges

    def start(self):
        """Start all processes."""
        for machine in self.machines:
            machine.start()

    def close(self):
        """End all processes and remove the temporary folder."""
        for machine in self.machines:
            machine.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An answer, or how the connection ended without one.

    Attributes:
        status: the status, 0 if none came.
        whole: whether the whole answer came.
    """

    def __init__(self, status=0, headers=None, body=b"", whole=False, end=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole
        self.end = end


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
    """Return the body of a message that has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Client:
    """One connection of a client."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            *self.address, limit=1 << 20
        )

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def ask(self, method, path, headers, body=b"", timeout=10.0):
        """Send one request and return its answer."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    await self.open()
                self.writer.write(head + body)
                await self.writer.drain()
                line, answer.headers = await read_head(self.reader)
                answer.status = int(line.split()[1])
                answer.body = await read_body(self.reader, answer.headers)
                answer.whole = True
        except TimeoutError:
            answer.end = "timeout"
        except (OSError, asyncio.IncompleteReadError) as exc:
            answer.end = type(exc).__name__
        return answer


async def call(address, method, path, document=None, timeout=1.0):
    """Make one call of an engine or the operator."""
    client = Client(address)
    body = b"" if document is None else json.dumps(document).encode()
    headers = {
        "Host": "%s:%d" % address,
        "Content-Type": "application/json",
        "Connection": "close",
    }
    try:
        return await client.ask(method, path, headers, body, timeout)
    finally:
        client.close()


class Engine:
    """A sound engine of the desk: it runs a call and answers it.

    It sends a heartbeat about every 1.2 s. Work takes ``work_ms``.
    """

    def __init__(self, record, number, host, service, controls, work_ms=20):
        self.record = record
        self.id = f"i-{number:04d}{random.randrange(1 << 24):06x}"
        self.host = host
        self.service = service
        self.controls = controls
        self.work_ms = work_ms
        self.slots = 6
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.running = 0
        self.server = None
        self.port = 0
        self.beats = None
        self.zone = "ie-south-a"

    async def start(self):
        """Listen, and begin to send heartbeats."""
        self.server = await asyncio.start_server(
            self.serve, self.host, 0, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat_on())

    async def beat_on(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    def next_beat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "born": self.born,
            "seq": self.sequence,
        }

    async def beat(self):
        """Send one heartbeat, to the first control that takes it."""
        for machine in random.sample(self.controls, len(self.controls)):
            path = "/-/Instances.Heartbeat/" + self.id
            document = self.next_beat()
            answer = await call(machine.control, "POST", path, document)
            if 200 <= answer.status < 300:
                return

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        writer.close()

    async def answer(self, line, headers, body, writer):
        """Answer one request."""
        path = line.split()[1]
        if path == "/health":
            self.write(writer, 200, {"Instance-Id": self.id}, b"{}")
            return
        identifier = headers.get("request-id", "")
        own = {"Request-Id": identifier}
        if headers.get("expect-instance", self.id) != self.id:
            self.write(writer, 421, {**own, "Not-Run": "1"}, b"{}")
            return
        self.runs.append((self.record.now(), identifier, len(body)))
        self.record.add(f"run {identifier} at {self.id} {len(body)} B")
        self.running += 1
        load = f"{self.running},0,{self.slots}"
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        own["Response-Stamp"] = "3e1b.07.5a2.600.0.c9f2a4d1"
        own["Server-Load"] = load
        self.write(writer, 200, own, b"x" * 800)

    def write(self, writer, status, headers, body):
        """Write one answer."""
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Keep-Alive: timeout=30", f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def close(self):
        """End at once."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()


def table(version, service, **changes):
    """Return a configuration with one route for bookings."""
    route = {
        "name": "r-booking",
        "host": HOST,
        "path_prefix": "/lohu930/",
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "slo_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
    }
    route.update(changes)
    return {
        "version": version,
        "routes": [route],
        "services": [
            {"name": service, "health_path": "/health", "max_conns": 96}
        ],
        "limits": LIMITS,
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def request_headers(identifier, deadline_ms):
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": identifier,
        "Deadline-Ms": str(deadline_ms),
        "Credential": KEY,
    }


def new_id():
    """Return an identifier of a request."""
    return f"{random.getrandbits(64):016x}"


async def put_table(fleet, document, timeout=30.0):
    """Send a configuration until it is acknowledged."""
    ends = time.monotonic() + timeout
    while time.monotonic() < ends:
        for machine in fleet.controls:
            answer = await call(
                machine.control, "POST", "/-/Config.Put", document
            )
            if answer.status == 200:
                return
        await asyncio.sleep(0.2)
    raise NotRunnableError("no configuration was acknowledged")


async def wait_ready(fleet, timeout=30.0):
    """Wait until all edges say that they are ready."""
    ends = time.monotonic() + timeout
    waiting = list(fleet.edges)
    while waiting and time.monotonic() < ends:
        machine = waiting[0]
        address = (machine.host, fleet.ready_port)
        answer = await call(address, "GET", "/-/ready")
        if answer.status == 200:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.1)
    if waiting:
        raise NotRunnableError("an edge was not ready in time")


def main(folder, case):
    """Run a case; exit with 1 if it says that the rule was broken."""
    record = Record(folder)
    try:
        broken = asyncio.run(case(record))
    except NotRunnableError as exc:
        record.add(f"could not run: {exc}")
        record.write()
        print(f"could not run: {exc}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        record.write()
        sys.exit(2)
    record.add("rule broken" if broken else "rule held")
    record.write()
    print(record.lines[-1])
    sys.exit(1 if broken else 0)
