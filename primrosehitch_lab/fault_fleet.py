"""Real processes of routed services on loopback, and what is done to them."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any

import anyio

from primrosehitch_lab import fault_calls

LINK_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 28101, 28102, 28104, 28105
CONTROLS = ("control-1", "control-2", "control-3")
EDGES = ("edge-1", "edge-2")
DOMAINS = ("za", "zb", "zc")
GRACE_S = 3.0
# A process that was asked to end is gone this long after its grace.
END_SLACK_S = 1.0
POLL_S = 0.02
# A library that the processes import early.
IMPORTED_LIBRARY = "capnp"
ROOT = pathlib.Path(__file__).parent.parent


class Process:
    """One instance: its settings file, and its process while it runs.

    Attributes:
        start: number of the newest start.
        began_at: time of the newest start, by ``time.monotonic``.
        is_ending: whether the process was killed or asked to end.
    """

    def __init__(self, name: str, host: str, folder: pathlib.Path):
        self.name = name
        self.host = host
        self.folder = folder
        self.start = 0
        self.began_at = 0.0
        self.is_ending = False
        self.popen: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether a process is there."""
        return self.popen is not None and self.popen.poll() is None

    def begin(self) -> None:
        """Start the process."""
        self.start += 1
        self.began_at = time.monotonic()
        self.is_ending = False
        log = (self.folder / f"{self.name}.log").open("ab")
        with log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "primrosehitch.platform"],
                cwd=self.folder,
                env=dict(
                    os.environ,
                    PRIMROSEHITCH_NODE_FILE=str(self.settings_file),
                    PYTHONPATH=str(ROOT),
                ),
                stdout=log,
                stderr=log,
            )

    @property
    def is_importing(self) -> bool:
        """Whether the process runs and has begun to import its libraries."""
        if not self.running:
            return False
        assert self.popen is not None
        maps = pathlib.Path(f"/proc/{self.popen.pid}/maps")
        try:
            return IMPORTED_LIBRARY in maps.read_text()
        except OSError:
            # It has just ended.
            return False

    @property
    def settings_file(self) -> pathlib.Path:
        """Where its settings are."""
        return self.folder / f"{self.name}.json"

    @property
    def data_folder(self) -> pathlib.Path:
        """Where a control instance keeps its log."""
        return self.folder / "data" / self.name

    def signal(self, number: int) -> None:
        """Send a signal, if the process is there."""
        if self.running:
            assert self.popen is not None
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.is_ending = True
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def own_end_status(self) -> int | None:
        """Return the exit status of a process that nobody has ended."""
        if self.popen is None or self.is_ending:
            return None
        return self.popen.poll()

    async def listens(self) -> bool:
        """Return whether the process takes connections."""
        try:
            with anyio.fail_after(0.5):
                stream = await anyio.connect_tcp(self.host, LINK_PORT)
        except (OSError, TimeoutError):
            return False
        await stream.aclose()
        return True

    async def stop(self) -> int | None:
        """Ask the process to end; return its exit status.

        Returns:
            None where it was still there after the time it has.
        """
        self.is_ending = True
        self.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S + END_SLACK_S
        while self.running and time.monotonic() < until:
            await anyio.sleep(POLL_S)
        assert self.popen is not None
        return self.popen.poll()


class FaultFleet:
    """The processes of one soak.

    Args:
        folder: where settings, data and logs go.
        net: third number of the loopback addresses, one a soak.

    Attributes:
        processes: all instances that are in service, by name.
        controls: names of the control instances that are in service.
        domains: the failure domain of each instance, by name.
    """

    def __init__(self, folder: pathlib.Path, net: int):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.net = net
        self.controls = list(CONTROLS)
        names = (*CONTROLS, *EDGES)
        self.processes = {
            name: Process(name, f"127.0.{net}.{number}", folder)
            for number, name in enumerate(names, 1)
        }
        # Also those that were replaced: addresses are not used twice.
        self.known = list(self.processes.values())
        self.domains = {
            name: DOMAINS[number % 3] for number, name in enumerate(names)
        }
        for process in self.processes.values():
            self._write(process, True)

    def address(self, name: str, port: int) -> str:
        """Return where an instance listens."""
        return f"{self.processes[name].host}:{port}"

    def _write(self, process: Process, bootstrap: bool) -> None:
        document: dict[str, Any] = {
            "name": process.name,
            "domain": self.domains[process.name],
            "host": process.host,
            "ports": [LINK_PORT, CONTROL_PORT],
            "seeds": [
                self.address(name, CONTROL_PORT) for name in self.controls
            ],
            "bounds": {"grace_s": GRACE_S, "machines_lost": 1},
        }
        if process.name in self.controls:
            document["listen"] = {
                "control": self.address(process.name, CONTROL_PORT)
            }
            document["data_folder"] = str(process.data_folder)
            document["bootstrap"] = bootstrap
        else:
            document["listen"] = {
                "front": self.address(process.name, FRONT_PORT),
                "ready": self.address(process.name, READY_PORT),
            }
        written = process.settings_file.with_suffix(".new")
        written.write_text(json.dumps(document))
        written.replace(process.settings_file)

    def begin(self) -> None:
        """Start all processes."""
        for process in self.processes.values():
            process.begin()

    def write_settings(self) -> None:
        """Write all settings files anew, with the seeds of now.

        From then on control instances with an empty disk join.
        """
        for process in self.processes.values():
            self._write(process, False)

    def replace_control(self, name: str) -> Process:
        """Remove a control instance for good, and start its successor.

        The successor has an empty disk and another address in the same
        failure domain. The settings files stay as they are.

        Returns:
            The successor's process.
        """
        self.processes.pop(name).kill()
        number = max(int(p.host.rpartition(".")[2]) for p in self.known)
        successor = f"control-{number + 1}"
        host = f"127.0.{self.net}.{number + 1}"
        process = Process(successor, host, self.folder)
        self.known.append(process)
        self.processes[successor] = process
        self.domains[successor] = self.domains[name]
        self.controls[self.controls.index(name)] = successor
        self._write(process, False)
        process.begin()
        return process

    async def control_call(
        self, method: str, path: str, document: Any = None
    ) -> tuple[int, bytes] | None:
        """Call one control instance after the other until one answers.

        Returns:
            (status, body), or None where none answered well.
        """
        body = b"" if document is None else json.dumps(document).encode()
        names = list(self.controls)
        random.shuffle(names)
        for name in names:
            url = self.address(name, CONTROL_PORT)
            got = await fault_calls.call(method, url, path, body, limit_s=3)
            if got is not None and got[0] < 500:
                return got
        return None

    def end(self) -> None:
        """Kill all that is left."""
        for process in self.processes.values():
            process.kill()


__all__ = [
    "CONTROLS",
    "CONTROL_PORT",
    "EDGES",
    "FRONT_PORT",
    "FaultFleet",
    "Process",
    "READY_PORT",
]
