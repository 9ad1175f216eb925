"""Stand-ins for the scripts of this review, with the standard library only.

``Fleet`` starts the project's own programs as the deploy file does, with
settings like those of a small deployment, on loopback addresses and free
ports. Engines, the platform, the operator and clients are stand-ins that
speak what PROTOCOL.md says.
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
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ("python3", "-m", "primrosehitch.platform")
BEAT_S = 1.2
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """What was sent, answered and run, for ``record.txt``.

    Args:
        path: where the record is written.
    """

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.lines = []

    def note(self, text):
        """Add a line with the time since the start."""
        at = time.monotonic() - self.began
        self.lines.append(f"{at:8.3f} {text}")

    def write(self):
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_ports(count, hosts):
    """Return ports that are free at all of some loopback addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_message(reader):
    """Return the start line, headers and body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def call(address, method, path, body=b"", headers=(), timeout_s=1.0):
    """Make one call on a new connection.

    Returns:
        The status, the headers and the body; status 0 if no whole answer
        came in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                lines.append(f"Host: {address}")
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            start, answer_headers, answer = await read_message(reader)
            return int(start.split()[1]), answer_headers, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One of the project's processes, started again as the platform does.

    Args:
        fleet: the fleet that it belongs to.
        name: the machine's name.
        settings: its settings, as the template renders them.
    """

    def __init__(self, fleet, name, settings):
        self.fleet = fleet
        self.name = name
        self.settings = settings
        self.running = None
        self.own_ends = 0
        self.wanted = True
        self.expected_end = False
        self.task = None

    @property
    def pid(self):
        """The process's id, or None while it does not run."""
        return self.running.pid if self.running else None

    async def keep_running(self):
        """Start the process, and again after each end."""
        folder = self.fleet.folder
        file = folder / f"{self.name}.json"
        first = True
        while self.wanted:
            settings = dict(self.settings)
            if not first:
                settings["bootstrap"] = False
            file.write_text(json.dumps(settings))
            path = f"{ROOT}:{ROOT / 'target' / 'deps'}"
            with open(folder / f"{self.name}.log", "ab") as log:
                self.running = await asyncio.create_subprocess_exec(
                    *COMMAND,
                    cwd=ROOT,
                    env={
                        "PATH": os.environ["PATH"],
                        "PRIMROSEHITCH_NODE_FILE": str(file),
                        "PYTHONPATH": path,
                        "PYTHONDONTWRITEBYTECODE": "1",
                    },
                    stdout=log,
                    stderr=log,
                )
            self.fleet.record.note(f"{self.name} starts, pid {self.pid}")
            code = await self.running.wait()
            self.running = None
            first = False
            if not self.wanted:
                return
            if self.expected_end:
                self.fleet.record.note(f"{self.name} was ended")
            else:
                self.own_ends += 1
                self.fleet.record.note(
                    f"{self.name} ended by itself with code {code}"
                )
            self.expected_end = False
            await asyncio.sleep(0.5)

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_end = True
            self.fleet.record.note(
                f"{self.name} gets {signal.Signals(number).name}"
            )
            self.running.send_signal(number)

    async def end(self):
        """End the process for good."""
        self.wanted = False
        if self.running:
            self.running.send_signal(signal.SIGKILL)
            with contextlib.suppress(ProcessLookupError):
                self.running.send_signal(signal.SIGCONT)
        if self.task:
            await self.task


class Fleet:
    """Control instances and edges of a small deployment on loopback.

    Args:
        record: gets what happens.
        controls: number of control instances.
        edges: number of edges.
        platform: whether the platform's API is there.
    """

    def __init__(self, record, controls=3, edges=2, platform=False):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        control_hosts = [f"{net}.{1 + i}" for i in range(controls)]
        edge_hosts = [f"{net}.{101 + i}" for i in range(edges)]
        self.engine_host = f"{net}.201"
        self.platform_host = f"{net}.202"
        hosts = control_hosts + edge_hosts
        hosts += [self.engine_host, self.platform_host]
        ports = free_ports(6, hosts)
        link, control, front, ready, metrics, api = ports
        self.control_addresses = [f"{h}:{control}" for h in control_hosts]
        self.front_addresses = [f"{h}:{front}" for h in edge_hosts]
        self.ready_addresses = [f"{h}:{ready}" for h in edge_hosts]
        self.link_port = link
        self.api_address = f"{self.platform_host}:{api}"
        self.zones = [f"cr-central-{'abcd'[i % 4]}" for i in range(8)]
        self.controls = [
            self._process(
                f"core-{i + 1}",
                self.zones[i],
                host,
                {"control": f"{host}:{control}"},
                metrics,
                platform,
            )
            for i, host in enumerate(control_hosts)
        ]
        self.edges = [
            self._process(
                f"front-{i + 1}",
                self.zones[i],
                host,
                {"front": f"{host}:{front}", "ready": f"{host}:{ready}"},
                metrics,
                platform,
            )
            for i, host in enumerate(edge_hosts)
        ]

    def _process(self, name, zone, host, listen, metrics, platform):
        is_control = "control" in listen
        data = self.folder / name
        settings = {
            "name": name,
            "domain": zone,
            "host": host,
            "ports": [self.link_port, self.link_port + 15],
            "seeds": self.control_addresses[:3],
            "listen": listen,
            "bootstrap": True,
            "data_folder": str(data) if is_control else None,
            "platform": self.api_address if platform else None,
            "metrics_port": metrics,
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 52,
                "retry_window_s": 10,
                "usage_window_s": 5,
                "usage_late_s": 10,
                "grace_s": 8,
                "lease_ms": 3000,
                "machines_lost": 1,
            },
        }
        return Process(self, name, settings)

    @property
    def processes(self):
        """All of the project's processes."""
        return self.controls + self.edges

    async def start(self, table):
        """Start all processes and put the first configuration.

        Raises:
            CannotRun: the deployment was not ready in time.
        """
        for process in self.processes:
            process.task = asyncio.create_task(process.keep_running())
        if not await self.put(table, 20):
            raise CannotRun("the first configuration was not acknowledged")
        end = time.monotonic() + 20
        for address in self.ready_addresses:
            while (await call(address, "GET", "/-/ready"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{address} is not ready")
                await asyncio.sleep(0.2)
        self.record.note("the deployment is ready")

    async def put(self, table, timeout_s):
        """Send a configuration until it is acknowledged.

        Returns:
            Whether it was.
        """
        end = time.monotonic() + timeout_s
        body = json.dumps(table).encode()
        headers = [("Content-Type", "application/json")]
        turn = 0
        while time.monotonic() < end:
            address = self.control_addresses[
                turn % len(self.control_addresses)
            ]
            turn += 1
            status, _, _ = await call(
                address, "POST", "/-/Config.Put", body, headers, 3
            )
            self.record.note(
                f"operator: version {table['version']} to {address}:"
                f" {status or 'no answer'}"
            )
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def end(self):
        """End all processes and remove the temporary folder."""
        for process in self.processes:
            await process.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Engine:
    """A sound engine of a service that is no model.

    Args:
        fleet: the deployment.
        service: the service's name.
        identifier: the engine's id.
        work_s: how long it works on a request.
    """

    def __init__(self, fleet, service, identifier, work_s=0.02, slots=6):
        self.fleet = fleet
        self.service = service
        self.identifier = identifier
        self.work_s = work_s
        self.slots = slots
        self.version = "v1"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.runs = []
        self.running = 0
        self.tasks = []
        self.server = None
        self.unacknowledged = 0

    async def start(self):
        """Listen and begin to send heartbeats."""
        self.server = await asyncio.start_server(
            self._serve, self.fleet.engine_host, 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.fleet.engine_host}:{port}"
        self.tasks.append(asyncio.create_task(self._beat()))

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "cr-central-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def send_heartbeat(self, body=None):
        """Send one heartbeat, to the next node until one acknowledges.

        Returns:
            The address that acknowledged it, or "".
        """
        if body is None:
            body = json.dumps(self.heartbeat()).encode()
        nodes = list(self.fleet.control_addresses)
        random.shuffle(nodes)
        for address in nodes:
            status, _, _ = await call(
                address,
                "POST",
                f"/-/Instances.Heartbeat/{self.identifier}",
                body,
                [("Content-Type", "application/json")],
            )
            if 200 <= status < 300:
                return address
        return ""

    async def _beat(self):
        while True:
            if not await self.send_heartbeat():
                self.unacknowledged += 1
                self.fleet.record.note(
                    f"{self.identifier}: no node acknowledged a heartbeat"
                )
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, path, _ = start.split(" ")
                await self.answer(method, path, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body, writer):
        """Answer one request."""
        if path == "/health":
            self.reply(writer, 200, [("Instance-Id", self.identifier)], b"")
            return
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.identifier) != self.identifier:
            echoed = [("Request-Id", request_id), ("Not-Run", "1")]
            self.reply(writer, 421, echoed, b"")
            return
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self.fleet.record.note(f"{self.identifier} runs {request_id}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        echoed = [
            ("Request-Id", request_id),
            ("Response-Stamp", f"1.{self.identifier}.{request_id}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=20"),
        ]
        self.reply(writer, 200, echoed, b"done " + request_id.encode())

    @staticmethod
    def reply(writer, status, headers, body):
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        writer.write(head.encode("latin-1") + body)

    async def end(self):
        """Stop listening and sending."""
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()


def route(name, prefix, kind, service, timeout_ms=1000, attempts=1, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": more.pop("slo_ms", 125),
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def table(version, routes, services):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def run(case):
    """Run a case and exit with its result.

    Args:
        case: a coroutine function that takes the record and whether the
            disruption comes, and returns whether the rule held.
    """
    folder = pathlib.Path(os.environ["CASE_FOLDER"])
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await case(record, trouble)

    code = 2
    try:
        held = asyncio.run(limited())
        code = 0 if held else 1
        record.note("the rule held" if held else "the rule was broken")
    except Exception as exc:
        record.note(f"the case could not run: {exc!r}")
    record.write()
    print(record.lines[-1].strip())
    raise SystemExit(code)
