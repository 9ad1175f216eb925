"""Starts a deployment on loopback from its description.

A development program: it writes the settings files and runs the daemons
and stand-ins as separate processes, which it ends by process id.
"""

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
from typing import Callable

from primrosehitch import errors
from primrosehitch import jsonc
from primrosehitch import porcelain
from primrosehitch import settings as settings_module

OPERATOR_KEY = "operator-key-for-loopback"
SECRET = "deployment-secret-for-loopback"
TOKEN = "announce-token-for-loopback"
HOST = "127.0.0.1"
START_LIMIT_S = 20.0
POLL_S = 0.05


class Fleet:
    """The processes of one deployment.

    Args:
        description: instances, endpoints and options.
        folder: where settings, data and logs go.
        base_port: first of the ports used.
    """

    def __init__(self, description: Any, folder: pathlib.Path, base_port: int):
        self.description = description
        self.folder = folder
        self.next_port = base_port
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http: dict[str, str] = {}
        self.peer: dict[str, str] = {}
        self.address: dict[str, str] = {}
        self.via: dict[tuple[str, str], str] = {}
        self.overrides: dict[str, dict[str, Any]] = {}
        folder.mkdir(parents=True, exist_ok=True)
        for instance in description["instances"]:
            self.http[instance["name"]] = self._port()
            self.peer[instance["name"]] = self._port()
        for endpoint in description.get("endpoints", ()):
            self.address[endpoint["name"]] = self._port()
        self.address["platform"] = self._port()

    def _port(self) -> str:
        self.next_port += 1
        return f"{HOST}:{self.next_port}"

    # -- settings ----------------------------------------------------------

    def instance_settings(self, instance: Any) -> dict[str, Any]:
        """Return the settings document of one instance."""
        name = instance["name"]
        outside = {"address": self.address["platform"]}
        value: dict[str, Any] = {
            "name": name,
            "domain": instance["domain"],
            "cell": instance.get("cell", ""),
            "http": self.http[name],
            "peer": self.peer[name],
            "secret": SECRET,
            "operator_keys": [settings_module.hash_key(OPERATOR_KEY)],
            "announce_tokens": {"engine": TOKEN, "service": TOKEN},
            "peers": [
                self._peer_of(name, other)
                for other in self.description["instances"]
                if other["name"] != name
            ],
            "platform": outside,
            "usage": outside,
            "log_file": str(self.folder / f"{name}.log"),
        }
        if instance.get("replica"):
            value["data_folder"] = str(self.folder / f"{name}.data")
        value.update(self.description.get("settings", {}))
        value.update(self.overrides.get(name, {}))
        return value

    def _peer_of(self, own: str, other: Any) -> dict[str, Any]:
        name = other["name"]
        return {
            "name": name,
            "domain": other["domain"],
            "address": self.via.get((own, name), self.peer[name]),
            "http": self.http[name],
            "replica": bool(other.get("replica")),
            "cell": other.get("cell", ""),
        }

    def endpoint_settings(self, endpoint: Any) -> dict[str, Any]:
        """Return the settings of one emulated endpoint."""
        near = [
            self.http[i["name"]]
            for i in self.description["instances"]
            if i["domain"] == endpoint["domain"]
            and i.get("cell", "") == endpoint.get("cell", "")
        ]
        return {
            **endpoint,
            "address": self.address[endpoint["name"]],
            "gateways": near or list(self.http.values()),
            "token": TOKEN,
        }

    # -- processes ---------------------------------------------------------

    def start_instance(self, name: str) -> None:
        """Start one daemon."""
        instance = next(
            i for i in self.description["instances"] if i["name"] == name
        )
        path = self._write(name, self.instance_settings(instance))
        self._start(name, ["primrosehitch.daemon", str(path)])

    def start_endpoint(self, name: str) -> None:
        """Start one emulated endpoint."""
        endpoint = next(
            e for e in self.description["endpoints"] if e["name"] == name
        )
        path = self._write(name, self.endpoint_settings(endpoint))
        role = endpoint.get("kind", "engine")
        self._start(name, ["primrosehitch_lab.cli", role, str(path)])

    def start_platform(self) -> None:
        """Start the platform and usage stand-in."""
        value = {
            "address": self.address["platform"],
            "fenced": self.description.get("fenced", True),
        }
        path = self._write("platform", value)
        self._start(
            "platform", ["primrosehitch_lab.cli", "platform", str(path)]
        )

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.start_platform()
        for instance in self.description["instances"]:
            self.start_instance(instance["name"])
        for endpoint in self.description.get("endpoints", ()):
            self.start_endpoint(endpoint["name"])

    def bring_up(self, declaration: Any) -> None:
        """Start all, found the cluster and apply a declaration."""
        self.start()
        self.wait_for(self._all_linked, "links between all instances")
        first = next(
            i["name"] for i in self.description["instances"] if i["replica"]
        )
        porcelain.init(self.target(first))
        wanted = sum(
            bool(i.get("replica")) for i in self.description["instances"]
        )
        self.wait_for(
            lambda: self.repaired(first, wanted), "all replicas to be voters"
        )
        porcelain.apply(self.target(first), declaration)
        self.wait_for(self._all_ready, "all gateways to be ready")
        self.wait_for(self._all_endpoints, "all endpoints to be known")

    def repaired(self, name: str, wanted: int) -> bool:
        """Return whether a leader says one more loss is survivable."""
        replica = self.status(name)["replica"] or {}
        return bool(replica.get("repaired")) and (
            len(replica["voters"]) == wanted
        )

    def _all_linked(self) -> bool:
        return all(
            m["status"] == "alive"
            for n in self.http
            for m in self.status(n)["members"]
        )

    def _all_ready(self) -> bool:
        return all(self.status(n)["ready"] for n in self.http)

    def _all_endpoints(self) -> bool:
        wanted = len(self.description.get("endpoints", ()))
        for name in self.http:
            found = porcelain.endpoints(self.target(name))
            if sum(e["status"] == "ready" for e in found) < wanted:
                return False
        return True

    def status(self, name: str) -> Any:
        """Return an instance's status."""
        return porcelain.status(self.target(name))

    def target(self, name: str) -> porcelain.Target:
        """Return an instance's address with the operator's key."""
        return porcelain.Target(self.http[name], OPERATOR_KEY)

    def control(self, name: str, value: Any = None) -> Any:
        """Read, or change, an emulated endpoint's or platform's state."""
        target = porcelain.Target(self.address[name], "none")
        method = "GET" if value is None else "POST"
        return porcelain.request(target, method, "/control", value)

    def leader(self) -> str:
        """Return the instance that leads, empty where none is known."""
        for name, process in self.processes.items():
            if name not in self.http or process.poll() is not None:
                continue
            try:
                replica = self.status(name)["replica"]
            except errors.PrimrosehitchError:
                continue
            if replica and replica["role"] == "leader":
                return name
        return ""

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        limit_s: float = START_LIMIT_S,
    ) -> float:
        """Wait until a condition holds and return the seconds it took.

        Raises:
            TimeoutError: it did not hold in time.
        """
        start = time.monotonic()
        while time.monotonic() - start < limit_s:
            try:
                if condition():
                    return time.monotonic() - start
            except errors.PrimrosehitchError:
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"waited {limit_s} s for {what}")

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _write(self, name: str, value: Any) -> pathlib.Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(value, indent=2))
        return path

    def _start(self, name: str, arguments: list[str]) -> None:
        errors_file = self.folder / f"{name}.err"
        with errors_file.open("ab") as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=out, stderr=out
            )


def load_example(folder: pathlib.Path) -> tuple[Any, Any]:
    """Return the deployment and declaration of an example folder."""
    deployment = jsonc.read(folder / "deployment.json")
    declaration = porcelain.read_declaration(folder / "declaration.json")
    return deployment, declaration


__all__ = ["Fleet", "load_example"]
