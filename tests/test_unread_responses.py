"""Clients that send requests ahead and read no response, on real processes.

A crowd of connections sends what its client may send and more, and reads
nothing. The tests check what does not depend on the machine's speed: that the
process lives, its peak memory, its descriptors, and that an ordinary request
is answered afterwards.
"""

import contextlib
import itertools
import json
import os
import pathlib
import resource
import selectors
import socket
import subprocess
import sys
import time

import anyio.from_thread
import httpcore
import pytest
import routed

from primrosehitch_lab import procfs

ROOT = pathlib.Path(__file__).parent.parent
CONTROL_HOST, EDGE_HOST = "127.0.41.2", "127.0.41.3"
METRICS_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 27203, 27202, 27204, 27205
TIMEOUT_S = 30

# A connection of the crowd sends at most so much.
CROWD_CONNECTIONS = 40
SENT_BYTES = 4 << 20
RECEIVE_BUFFER_BYTES = 4096
# The crowd ends once none of its connections accepts a byte for so long while
# the process takes less than a tenth of this of processor time: a process that
# is only slow would go on reading.
BLOCKED_S = 1.0
# The memory of the smallest VM.
VM_MEMORY_BYTES = 160 << 20
# Descriptors of a process beside the crowd's, and beside one for each request
# of the crowd that is forwarded.
OWN_DESCRIPTORS = 60

MANY_HEADERS = "".join(f"X-{n}: {'v' * 60}\r\n" for n in range(40))
BODY = b"b" * 60_000
CHUNKED_BODY = b"40\r\n" + b"c" * 64 + b"\r\n0\r\n\r\n"
HEARTBEAT = json.dumps(
    {
        "service": "other",
        "address": "127.0.41.9:80",
        "zone": "z0",
        "slots": 1,
        "state": "ready",
        "seq": 1,
        "born": 1,
    }
).encode()


def request_bytes(target, method="GET", body=b"", headers=""):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {target} HTTP/1.1\r\n{headers}{length}\r\n"
    return head.encode() + body


# What the crowd sends again and again, by pattern: the port and the request.
EDGE_PATTERNS = {
    "without-headers": (FRONT_PORT, request_bytes("/a/x")),
    "ready-at-front": (FRONT_PORT, request_bytes("/-/ready")),
    "ready": (READY_PORT, request_bytes("/-/ready")),
    "no-route": (FRONT_PORT, routed.request("/nowhere/x")),
    "valid": (FRONT_PORT, routed.request("/a/x")),
    "bodies": (FRONT_PORT, request_bytes("/nowhere/x", "POST", BODY)),
    "long-heads": (
        FRONT_PORT,
        request_bytes("/nowhere/x", headers=MANY_HEADERS),
    ),
    "chunked": (
        FRONT_PORT,
        request_bytes(
            "/nowhere/x", "POST", headers="Transfer-Encoding: chunked\r\n"
        )
        + CHUNKED_BODY,
    ),
    "metrics": (METRICS_PORT, request_bytes("/metrics")),
}
CONTROL_PATTERNS = {
    "unknown-call": (CONTROL_PORT, request_bytes("/")),
    "heartbeats": (
        CONTROL_PORT,
        request_bytes("/-/Instances.Heartbeat/i-9", "POST", HEARTBEAT),
    ),
    "reads": (CONTROL_PORT, request_bytes("/-/Config.Get")),
    "metrics": (METRICS_PORT, request_bytes("/metrics")),
}


def write_settings(folder):
    common = {
        "domain": "z0",
        "ports": [27201, 27210],
        "seeds": [f"{CONTROL_HOST}:{CONTROL_PORT}"],
        "metrics_port": METRICS_PORT,
    }
    documents = {
        "control": {
            "name": "control-1",
            "host": CONTROL_HOST,
            "listen": {"control": f"{CONTROL_HOST}:{CONTROL_PORT}"},
            "data_folder": str(folder / "data"),
            "bootstrap": True,
        },
        "edge": {
            "name": "edge-1",
            "host": EDGE_HOST,
            "listen": {
                "front": f"{EDGE_HOST}:{FRONT_PORT}",
                "ready": f"{EDGE_HOST}:{READY_PORT}",
            },
        },
    }
    for name, document in documents.items():
        text = json.dumps({**common, **document})
        (folder / f"{name}.json").write_text(text)


def limit_memory():
    """Run in the new process: give it the memory of a small VM."""
    limit = 2 * VM_MEMORY_BYTES
    resource.setrlimit(resource.RLIMIT_DATA, (limit, limit))


@contextlib.contextmanager
def running_process(name, folder):
    with (folder / f"{name}.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "primrosehitch.platform"],
            cwd=folder,
            env=dict(
                os.environ,
                PRIMROSEHITCH_NODE_FILE=str(folder / f"{name}.json"),
                PYTHONPATH=str(ROOT),
            ),
            stdout=log,
            stderr=log,
            preexec_fn=limit_memory,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def call(method, host, port, target, body=b"", headers=()):
    """Return the status of one request, or 0 if none came."""
    with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
        answer = httpcore.request(
            method,
            f"http://{host}:{port}{target}",
            content=body,
            headers=list(headers),
            extensions={"timeout": {"connect": 2, "read": 2, "write": 2}},
        )
        return answer.status
    return 0


class Deployment:
    """A control instance, an edge and an engine.

    Attributes:
        processes: the processes by name.
        engine: the stand-in engine.
    """

    def __init__(self, processes, engine):
        self.processes = processes
        self.engine = engine
        self.sequences = itertools.count(1)

    def wait_for(self, status, *arguments, **fields):
        end = time.monotonic() + TIMEOUT_S
        while True:
            got = call(*arguments, **fields)
            if got == status:
                return
            for name, process in self.processes.items():
                assert process.poll() is None, f"{name} ended"
            assert time.monotonic() < end, f"{arguments[:4]}: {got}"
            time.sleep(0.1)

    def send_heartbeat(self):
        heartbeat = {
            "service": "svc",
            "address": self.engine.address,
            "zone": "z0",
            "slots": 8,
            "state": "ready",
            "seq": next(self.sequences),
            "born": 5,
        }
        self.wait_for(
            200,
            "POST",
            CONTROL_HOST,
            CONTROL_PORT,
            "/-/Instances.Heartbeat/i-0",
            json.dumps(heartbeat).encode(),
        )

    def serve_ordinary_request(self):
        """Wait until one ordinary request is answered."""
        self.send_heartbeat()
        headers = [
            ("Host", "shop.example"),
            ("Request-Id", f"{next(self.sequences):016x}"),
            ("Deadline-Ms", "1500"),
            ("Credential", routed.KEY),
        ]
        self.wait_for(
            200, "GET", EDGE_HOST, FRONT_PORT, "/a/x", headers=headers
        )

    def check_process(self, name, connections):
        """Check that a process lives and stays within its bounds."""
        process = self.processes[name]
        assert process.poll() is None
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        assert "VmHWM:" in status, f"{name} has ended"
        peak_bytes = 1024 * int(status.split("VmHWM:")[1].split()[0])
        assert peak_bytes < VM_MEMORY_BYTES
        descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        assert descriptors <= 2 * connections + OWN_DESCRIPTORS


@contextlib.contextmanager
def running_deployment(folder):
    write_settings(folder)
    engine = routed.platform_engine.StandInEngine(["good"])
    with (
        running_process("control", folder) as control,
        running_process("edge", folder) as edge,
        anyio.from_thread.start_blocking_portal() as portal,
    ):
        future, _ = portal.start_task(engine.run)
        deployment = Deployment({"control": control, "edge": edge}, engine)
        table = json.dumps(routed.table_document(3)).encode()
        path = "/-/Config.Put"
        deployment.wait_for(
            200, "POST", CONTROL_HOST, CONTROL_PORT, path, table
        )
        deployment.wait_for(200, "GET", EDGE_HOST, READY_PORT, "/-/ready")
        deployment.serve_ordinary_request()
        try:
            yield deployment
        finally:
            future.cancel()


class CrowdConnection:
    """A connection that sends without end and reads nothing."""

    def __init__(self, host, port, data):
        self.data = memoryview(data)
        self.sent = 0
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.settimeout(TIMEOUT_S)
        self.sock.connect((host, port))
        self.sock.setblocking(False)

    def send_more(self):
        """Send what the socket takes; return whether more may be sent."""
        try:
            while self.sent < len(self.data):
                self.sent += self.sock.send(self.data[self.sent :])
        except BlockingIOError:
            return True
        except OSError:
            # The process has closed the connection.
            pass
        return False


@contextlib.contextmanager
def crowd(process, host, port, data, connections=CROWD_CONNECTIONS):
    """Send data on many connections until a process takes no more of it."""
    with contextlib.ExitStack() as stack:
        selector = stack.enter_context(selectors.DefaultSelector())
        sending = 0
        for _ in range(connections):
            connection = CrowdConnection(host, port, data)
            stack.enter_context(contextlib.closing(connection.sock))
            selector.register(
                connection.sock, selectors.EVENT_WRITE, connection
            )
            sending += 1
        end = time.monotonic() + TIMEOUT_S
        while sending and process.poll() is None:
            used_s = procfs.cpu_s(process.pid)
            ready = selector.select(BLOCKED_S)
            if not ready and process.poll() is None:
                used_s = procfs.cpu_s(process.pid) - used_s
                if used_s < BLOCKED_S / 10 or time.monotonic() > end:
                    break
            for key, _ in ready:
                if not key.data.send_more():
                    selector.unregister(key.fileobj)
                    sending -= 1
        yield


def repeated(data):
    return data * (SENT_BYTES // len(data) + 1)


def outlive_crowd(folder, name, host, port, data):
    """Check that one process outlives a crowd, and what the other one has."""
    (other,) = {"control", "edge"} - {name}
    with running_deployment(folder) as deployment:
        process = deployment.processes[name]
        with crowd(process, host, port, repeated(data)):
            deployment.check_process(name, CROWD_CONNECTIONS)
            deployment.serve_ordinary_request()
        deployment.check_process(name, CROWD_CONNECTIONS)
        deployment.check_process(other, 0)


# Guards against: an edge that keeps all requests which a client sends ahead,
# and all responses that it does not read, runs out of memory.
@pytest.mark.parametrize("pattern", EDGE_PATTERNS)
def test_edge_outlives_clients_that_read_no_response(tmp_path, pattern):
    port, data = EDGE_PATTERNS[pattern]
    outlive_crowd(tmp_path, "edge", EDGE_HOST, port, data)


# Guards against: a control instance that keeps all calls which a client sends
# ahead, and all responses that it does not read, runs out of memory.
@pytest.mark.parametrize("pattern", CONTROL_PATTERNS)
def test_control_outlives_clients_that_read_no_response(tmp_path, pattern):
    port, data = CONTROL_PATTERNS[pattern]
    outlive_crowd(tmp_path, "control", CONTROL_HOST, port, data)


# Guards against: bodies of which the end never comes add up without a bound.
@pytest.mark.parametrize(
    "host, port, length",
    [
        (EDGE_HOST, FRONT_PORT, 100_000),
        (EDGE_HOST, READY_PORT, 4 << 20),
        (CONTROL_HOST, CONTROL_PORT, 16 << 20),
    ],
)
def test_unfinished_bodies_stay_within_memory(tmp_path, host, port, length):
    head = f"POST /a/x HTTP/1.1\r\nContent-Length: {length}\r\n\r\n"
    data = head.encode() + b"u" * (length - 1)
    with running_deployment(tmp_path) as deployment:
        name = "edge" if host == EDGE_HOST else "control"
        with crowd(deployment.processes[name], host, port, data, 100):
            deployment.check_process(name, 100)
            deployment.serve_ordinary_request()
        deployment.check_process(name, 100)
