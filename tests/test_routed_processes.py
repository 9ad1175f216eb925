"""The example settings run as two real processes until SIGTERM."""

import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time

import httpcore
import pytest
import routed

ROOT = pathlib.Path(__file__).parent.parent
CONTROL_ADDRESS, FRONT_ADDRESS = "127.0.0.2:27102", "127.0.0.3:27104"
READY_ADDRESS, METRICS_ADDRESS = "127.0.0.3:27105", "127.0.0.3:27103"
TIMEOUT_S = 20


@contextlib.contextmanager
def running_process(name, folder, file=None):
    """Run the instance of a settings file, or of an example, in a folder."""
    file = file or ROOT / "examples" / "routed" / f"{name}.json"
    started = subprocess.Popen(
        [sys.executable, "-m", "primrosehitch.platform"],
        cwd=folder,
        env=dict(
            os.environ,
            PRIMROSEHITCH_NODE_FILE=str(file),
            PYTHONPATH=str(ROOT),
        ),
        stdout=subprocess.PIPE,
    )
    try:
        yield started
    finally:
        started.kill()
        started.communicate()


def request_status(method, address, path, body=b"", headers=()):
    """Return the status of one request, or 0 after a network error."""
    with contextlib.suppress(httpcore.NetworkError):
        answer = httpcore.request(
            method,
            f"http://{address}{path}",
            content=body,
            headers=list(headers),
        )
        return answer.status
    return 0


def wait_for_status(status, *arguments, **fields):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if request_status(*arguments, **fields) == status:
            return
        time.sleep(0.1)
    pytest.fail(f"{arguments[:3]} did not answer {status}")


def test_example_processes_serve_and_stop(tmp_path):
    table = json.dumps(routed.table_document(3)).encode()
    with (
        running_process("control", tmp_path),
        running_process("edge", tmp_path) as edge,
    ):
        wait_for_status(503, "GET", READY_ADDRESS, "/-/ready")
        wait_for_status(200, "POST", CONTROL_ADDRESS, "/-/Config.Put", table)
        wait_for_status(200, "GET", READY_ADDRESS, "/-/ready")
        assert request_status("GET", CONTROL_ADDRESS, "/-/Config.Get") == 200
        assert request_status("GET", METRICS_ADDRESS, "/metrics") == 200
        host = [("Host", "other.example")]
        assert (
            request_status("GET", FRONT_ADDRESS, "/a/x", headers=host) == 404
        )
        edge.terminate()
        output, _ = edge.communicate(timeout=TIMEOUT_S)
        assert edge.returncode == 0
    names = [json.loads(line)["message_type"] for line in output.splitlines()]
    assert names[-1] == "stopped"
    assert "version-in-force" in names


def wait_until_importing(process):
    """Wait until a process runs and imports its libraries."""
    end = time.monotonic() + TIMEOUT_S
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    while "capnp" not in maps.read_text():
        assert process.poll() is None and time.monotonic() < end


# Guards against: a change of the settings while a process starts ends it.
@pytest.mark.parametrize("name", ["control", "edge"])
def test_signal_of_changed_settings_does_not_end_a_start(tmp_path, name):
    with running_process(name, tmp_path) as process:
        wait_until_importing(process)
        address = CONTROL_ADDRESS if name == "control" else READY_ADDRESS
        path = "/-/Config.Get" if name == "control" else "/-/ready"
        end = time.monotonic() + TIMEOUT_S
        while request_status("GET", address, path) != 503:
            process.send_signal(signal.SIGHUP)
            assert time.monotonic() < end
            assert process.poll() is None
            time.sleep(0.005)
        process.send_signal(signal.SIGHUP)
        process.terminate()
        # The last steps of an end are not cut short either.
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
        assert process.returncode == 0


# Guards against: settings that are replaced while a process starts end it.
def test_process_waits_for_settings_that_are_being_written(tmp_path):
    text = (ROOT / "examples" / "routed" / "edge.json").read_text()
    file = tmp_path / "edge.json"
    file.write_text(text[: len(text) // 2])
    with running_process("edge", tmp_path, file) as process:
        assert b"settings-refused" in process.stdout.readline()
        file.write_text(text)
        wait_for_status(503, "GET", READY_ADDRESS, "/-/ready")


def test_process_ends_where_the_settings_stay_invalid(tmp_path):
    file = tmp_path / "edge.json"
    file.write_text('{"name": ""}')
    with running_process("edge", tmp_path, file) as process:
        assert process.wait(TIMEOUT_S) == 1


def limit_soft(process, kind, limit):
    """Set a process's soft limit; None sets it to the hard limit."""
    _, hard = resource.prlimit(process.pid, kind)
    soft = hard if limit is None else limit
    resource.prlimit(process.pid, kind, (soft, hard))


def log_events(process, name):
    """Yield the log lines of a process with a name, as they are written."""
    for line in process.stdout:
        event = json.loads(line)
        if event["message_type"] == name:
            yield event


# Guards against: a control instance that starts on a full disk ends. No
# file may grow; that reads like a full disk.
def test_control_instance_waits_for_a_disk_with_space(tmp_path):
    with running_process("control", tmp_path) as process:
        limit_soft(process, resource.RLIMIT_FSIZE, 0)
        failures = log_events(process, "replica-failed")
        assert "no space left" in next(failures)["error"]
        assert "no space left" in next(failures)["error"]
        limit_soft(process, resource.RLIMIT_FSIZE, None)
        path = "/-/Config.Get"
        wait_for_status(503, "GET", CONTROL_ADDRESS, path)
        table = json.dumps(routed.table_document(3)).encode()
        path = "/-/Config.Put"
        wait_for_status(200, "POST", CONTROL_ADDRESS, path, table)


def test_instance_that_waits_for_its_disk_can_be_stopped(tmp_path):
    with running_process("control", tmp_path) as process:
        limit_soft(process, resource.RLIMIT_FSIZE, 0)
        next(log_events(process, "replica-failed"))
        process.terminate()
        assert process.wait(TIMEOUT_S) == 0


LINK_PORT, DESCRIPTORS = 27101, 60


# Guards against: more connections than a process may have end it.
@pytest.mark.parametrize("name", ["control", "edge"])
def test_lack_of_descriptors_does_not_end_a_process(tmp_path, name):
    link = "127.0.0.2" if name == "control" else "127.0.0.3"
    with running_process(name, tmp_path) as process:
        address = CONTROL_ADDRESS if name == "control" else READY_ADDRESS
        path = "/-/Config.Get" if name == "control" else "/-/ready"
        url = f"http://{address}{path}"
        wait_for_status(503, "GET", address, path)
        limit_soft(process, resource.RLIMIT_NOFILE, DESCRIPTORS)
        with contextlib.ExitStack() as stack:
            for _ in range(2 * DESCRIPTORS):
                with contextlib.suppress(OSError):
                    stack.enter_context(
                        socket.create_connection(
                            (link, LINK_PORT), timeout=0.2
                        )
                    )
            time.sleep(1)
            assert process.poll() is None
            # No network error is excused.
            for _ in range(10):
                assert httpcore.request("GET", url).status == 503
        assert httpcore.request("GET", url).status == 503
        assert process.poll() is None


def open_descriptors(process):
    time.sleep(0.01)
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def retry_after_s(sock):
    """Send a request; return the Retry-After of the 503 that answers it."""
    sock.sendall(b"GET /a/x HTTP/1.1\r\nHost: a.example\r\n\r\n")
    answer = b""
    # The connection closes after the answer.
    while received := sock.recv(4096):
        answer += received
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503"), answer
    assert b"too-many-connections" in body
    fields = dict(
        line.lower().split(b": ") for line in head.split(b"\r\n")[1:]
    )
    assert fields[b"connection"] == b"close"
    return float(fields[b"retry-after"])


# Guards against: the connections of callers take the last descriptors, and
# further ones are closed without an answer; peers are cut off.
def test_callers_beyond_their_share_are_told_when_to_return(tmp_path):
    host, port = FRONT_ADDRESS.split(":")
    with running_process("edge", tmp_path) as process:
        wait_for_status(503, "GET", READY_ADDRESS, "/-/ready")
        limit_soft(process, resource.RLIMIT_NOFILE, DESCRIPTORS)
        with contextlib.ExitStack() as stack:
            for _ in range(2 * DESCRIPTORS):
                stack.enter_context(
                    socket.create_connection((host, port), TIMEOUT_S)
                )
                if open_descriptors(process) > 0.75 * DESCRIPTORS:
                    break
            for _ in range(3):
                caller = stack.enter_context(
                    socket.create_connection((host, port), TIMEOUT_S)
                )
                assert 0 < retry_after_s(caller) < TIMEOUT_S
            link = socket.create_connection(("127.0.0.3", LINK_PORT), 1)
            stack.enter_context(link)
            assert link.recv(4096), "the peer's connection was closed"
        assert process.poll() is None
