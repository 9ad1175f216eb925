"""What the stand-ins share: serving ASGI, announcing, answering."""

import asyncio
import json
import random
import time
from typing import Any

import httpcore

from primrosehitch import server as server_module
from primrosehitch import settings as settings_module

ANNOUNCE_S = 1.0
KEPT_CALLS = 500
KEPT_BODY = 2000
CALL_TIMEOUT = {"connect": 1.0, "read": 5.0, "write": 1.0, "pool": 1.0}


async def read_body(receive: Any) -> bytes:
    """Return a request's body."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def answer(
    send: Any, status: int, value: Any, headers: Any = ()
) -> None:
    """Answer with JSON."""
    data = json.dumps(value).encode()
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(data)).encode()),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": data})


async def drop(send: Any) -> None:
    """Break the connection in the middle of the answer."""
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", b"1000")],
        }
    )
    raise ConnectionError("answer lost on purpose")


def header(scope: Any, name: bytes) -> str:
    """Return a header's value, empty where it is missing."""
    for known, value in scope["headers"]:
        if known == name:
            return value.decode("latin-1")
    return ""


def remember(seen: list[Any], scope: Any, body: bytes) -> None:
    """Note all that reached a stand-in, for tests to look through."""
    headers = [
        (n.decode("latin-1"), v.decode("latin-1")) for n, v in scope["headers"]
    ]
    seen.append(
        {
            "path": scope["path"],
            "query": scope["query_string"].decode("latin-1"),
            "headers": headers,
            "body": body.decode("latin-1")[:KEPT_BODY],
        }
    )
    del seen[:-KEPT_CALLS]


class Announcer:
    """Announces one endpoint to the gateways, in turn.

    Args:
        gateways: addresses of gateways.
        token: the token of the endpoint's kind.
        fixed: fields of the announcement that do not change.
    """

    def __init__(self, gateways: list[str], token: str, fixed: Any):
        self.gateways = gateways
        self.token = token
        self.fixed = dict(fixed)
        self.fixed["incarnation"] = time.time_ns() // 1000
        self.sequence = 0
        self.silent = False
        self.period_s = ANNOUNCE_S

    async def announce(self, current: Any) -> bool:
        """Announce once; return whether a gateway heard it."""
        if self.silent or not self.gateways:
            return False
        self.sequence += 1
        value = {**self.fixed, **current, "sequence": self.sequence}
        body = json.dumps(value).encode()
        start = random.randrange(len(self.gateways))
        async with httpcore.AsyncConnectionPool() as pool:
            for i in range(len(self.gateways)):
                gateway = self.gateways[(start + i) % len(self.gateways)]
                if await self._post(pool, gateway, body):
                    return True
        return False

    async def _post(self, pool: Any, gateway: str, body: bytes) -> bool:
        try:
            response = await pool.request(
                "POST",
                f"http://{gateway}/endpoints/announce",
                headers={
                    "authorization": f"Bearer {self.token}",
                    "content-length": str(len(body)),
                },
                content=body,
                extensions={"timeout": CALL_TIMEOUT},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ):
            return False
        if response.status == 200:
            next_ms = json.loads(response.content)["next_ms"]
            self.fixed["period_ms"] = next_ms
            self.period_s = next_ms / 1000
        return response.status == 200


async def serve(app: Any, address: str, *tasks: Any) -> None:
    """Serve an ASGI application and run tasks beside it."""
    server = server_module.make_server(
        app, settings_module.parse_address(address)
    )
    running = [asyncio.create_task(task) for task in tasks]
    await server.serve()
    for task in running:
        task.cancel()


__all__ = [
    "Announcer",
    "answer",
    "drop",
    "header",
    "read_body",
    "remember",
    "serve",
]
