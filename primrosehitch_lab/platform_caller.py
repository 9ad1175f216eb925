"""Callers and operators of the users' platform, as stand-ins.

They speak the wire byte by byte, so that tests and the fault soak see
exactly what came on a connection.
"""

from typing import Any

import anyio
import anyio.abc

KEY = "k" * 20
HOST = "shop.example"
# How long a caller waits for a whole answer.
DEADLINE_MS = 1500


def table_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operators send it."""
    route = {
        "name": "r",
        "host": HOST,
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


def further_routes(count: int) -> list[dict[str, Any]]:
    """Return routes of other hosts, as different as those of operators."""
    route = table_document()["routes"][0]
    return [
        {
            **route,
            "name": f"r-{number:07x}",
            "host": f"h{number * 7919 % 9973:06x}.example",
            "path_prefix": f"/p{number * 104729 % 99991:07x}/",
            "split": [{"service": "svc", "weight": 90 + number % 10}],
        }
        for number in range(count)
    ]


def request(
    target: str = "/a/x",
    method: str = "GET",
    body: bytes = b"",
    identifier: str = "77",
    **headers: str,
) -> bytes:
    """Return the bytes of a caller's request."""
    fields = {
        "Host": HOST,
        "Request-Id": identifier,
        "Deadline-Ms": str(DEADLINE_MS),
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
    """A caller's connection.

    Args:
        stream: the connection, open.
    """

    def __init__(self, stream: anyio.abc.SocketStream):
        self.stream = stream
        self.data = b""
        self.chunks = b""

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await self.stream.send(data)

    async def answer(
        self, limit_s: float = 5
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Return (status, headers, body, whole) of the next answer.

        Raises:
            TimeoutError: no answer within the limit, in seconds.
            EndOfStream: the connection ended before an answer's head.
        """
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

    async def _body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        self.chunks = b""
        try:
            if "content-length" in headers:
                size = int(headers["content-length"])
                while len(self.data) < size:
                    self.data += await self.stream.receive()
                body, self.data = self.data[:size], self.data[size:]
                return body, True
            return await self._chunks()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return self.chunks + self.data, False

    async def _chunks(self) -> tuple[bytes, bool]:
        while True:
            while b"\r\n" not in self.data:
                self.data += await self.stream.receive()
            size, _, rest = self.data.partition(b"\r\n")
            length = int(size, 16)
            while len(rest) < length + 2:
                rest += await self.stream.receive()
            self.chunks += rest[:length]
            self.data = rest[length + 2 :]
            if not length:
                return self.chunks, True


__all__ = [
    "Caller",
    "HOST",
    "KEY",
    "further_routes",
    "request",
    "table_document",
]
