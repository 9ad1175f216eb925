"""The examples as two real processes: the whole path, then SIGTERM."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time

import httpcore
import pytest
import routed

ROOT = pathlib.Path(__file__).parent.parent
CONTROL, FRONT = "127.0.0.2:27102", "127.0.0.3:27104"
READY, METRICS = "127.0.0.3:27105", "127.0.0.3:27103"
LIMIT_S = 20


@contextlib.contextmanager
def process(name, folder):
    file = ROOT / "examples" / "routed" / f"{name}.json"
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


def call(method, address, path, body=b"", headers=()):
    with contextlib.suppress(httpcore.NetworkError):
        answer = httpcore.request(
            method,
            f"http://{address}{path}",
            content=body,
            headers=list(headers),
        )
        return answer.status
    return 0


def until(status, *arguments, **fields):
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        if call(*arguments, **fields) == status:
            return
        time.sleep(0.1)
    pytest.fail(f"{arguments[:3]} did not answer {status}")


def test_the_examples_run(tmp_path):
    table = json.dumps(routed.table_document(3)).encode()
    with process("control", tmp_path), process("edge", tmp_path) as edge:
        until(503, "GET", READY, "/-/ready")
        until(200, "POST", CONTROL, "/-/Config.Put", table)
        until(200, "GET", READY, "/-/ready")
        assert call("GET", CONTROL, "/-/Config.Get") == 200
        assert call("GET", METRICS, "/metrics") == 200
        host = [("Host", "other.example")]
        assert call("GET", FRONT, "/a/x", headers=host) == 404
        edge.terminate()
        output, _ = edge.communicate(timeout=LIMIT_S)
        assert edge.returncode == 0
    names = [json.loads(line)["message_type"] for line in output.splitlines()]
    assert names[-1] == "stopped"
    assert "version-in-force" in names
