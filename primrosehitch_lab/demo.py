"""The embedded default: one replica, two engines, one plain service."""

import concurrent.futures
import json
import pathlib
import tempfile
import time
from typing import Any

import httpcore

from primrosehitch import porcelain
from primrosehitch_lab import fleet as fleet_module

PORT = 21000
CHATS = 12
TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), 20.0)

DEPLOYMENT = {
    "instances": [{"name": "g1", "domain": "zone-a", "replica": True}],
    "endpoints": [
        {"name": "engine-1", "domain": "zone-a", "models": ["demo-model"]},
        {"name": "engine-2", "domain": "zone-a", "models": ["demo-model"]},
        {
            "name": "booking-1",
            "domain": "zone-a",
            "kind": "service",
            "models": ["booking"],
        },
    ],
    "settings": {"usage_window_s": 2, "usage_flush_s": 0.2},
}
DECLARATION = {
    "classes": {
        "desk": {"tier": 0, "max_wait_ms": 2000, "first_token_ms": 500},
        "quote": {
            "tier": 2,
            "max_wait_ms": 20000,
            "first_token_ms": 5000,
            "floor": 0.1,
        },
    },
    "customers": {"sol": {}, "luna": {}},
    "grants": [
        {"customer": "sol", "class": "desk"},
        {"customer": "luna", "class": "quote"},
    ],
    "models": {"demo-model": {}},
    "routes": {
        "booking": {
            "service": "booking",
            "repeatable": False,
            "class": "desk",
        }
    },
}


def stream_chat(address: str, key: str, prompt: str, tokens: int) -> Any:
    """Send one streamed chat and return what came."""
    body = json.dumps(
        {
            "model": "demo-model",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
    ).encode()
    start = time.monotonic()
    first = 0.0
    data = b""
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers={
                "authorization": f"Bearer {key}",
                "content-length": str(len(body)),
            },
            content=body,
            extensions={"timeout": TIMEOUT},
        ) as response,
    ):
        for chunk in response.iter_stream():
            first = first or time.monotonic() - start
            data += chunk
    whole = data.endswith(b"data: [DONE]\n\n")
    return {
        "status": response.status,
        "whole": whole,
        "first_ms": round(first * 1000),
        "tokens": data.count(b'"content"'),
    }


def book(address: str, key: str, idempotency_key: str) -> Any:
    """Send one booking and return its status and body."""
    body = b'{"bay": 1}'
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST",
            f"http://{address}/services/booking",
            headers={
                "authorization": f"Bearer {key}",
                "content-type": "application/json",
                "content-length": str(len(body)),
                "idempotency-key": idempotency_key,
            },
            content=body,
            extensions={"timeout": TIMEOUT},
        )
    return {"status": response.status, "body": response.content.decode()}


def run() -> int:
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_module.Fleet(DEPLOYMENT, pathlib.Path(folder), PORT)
        try:
            fleet.bring_up(DECLARATION)
            return _show(fleet)
        finally:
            fleet.stop()


def _show(fleet: fleet_module.Fleet) -> int:
    target = fleet.target("g1")
    keys = {
        name: porcelain.create_key(target, name)["key"]
        for name in DECLARATION["customers"]
    }
    rows = _chats(fleet.http["g1"], keys)
    first = book(fleet.http["g1"], keys["sol"], "demo-booking")
    again = book(fleet.http["g1"], keys["sol"], "demo-booking")
    runs = len(fleet.control("booking-1")["runs"])
    print(porcelain.format_table(rows, tuple(rows[0])))
    print(
        f"booking: {first['status']}, resent: {again['status']}, ran {runs}x"
    )
    fleet.wait_for(lambda: _reported(fleet), "the usage reports")
    print("usage reported by window and customer:")
    for path, body in sorted(fleet.control("platform")["usage"].items()):
        print(f"  {path} {json.loads(body)['rows']}")
    good = all(r["whole"] == r["requests"] for r in rows)
    return 0 if good and runs == 1 else 1


def _reported(fleet: fleet_module.Fleet) -> bool:
    reported = fleet.control("platform")["usage"].values()
    rows = [row for body in reported for row in json.loads(body)["rows"]]
    return sum(row["requests"] for row in rows) >= 2 * CHATS + 1


def _chats(address: str, keys: dict[str, str]) -> list[Any]:
    rows = []
    plans = (("sol", "desk", 24), ("luna", "quote", 120))
    with concurrent.futures.ThreadPoolExecutor(2 * CHATS) as pool:
        jobs = {
            name: [
                pool.submit(
                    stream_chat, address, keys[name], f"order {i}", tokens
                )
                for i in range(CHATS)
            ]
            for name, _, tokens in plans
        }
        for name, class_name, _ in plans:
            results = [job.result() for job in jobs[name]]
            firsts = sorted(r["first_ms"] for r in results)
            rows.append(
                {
                    "customer": name,
                    "class": class_name,
                    "requests": len(results),
                    "whole": sum(r["whole"] for r in results),
                    "first_token_p50_ms": firsts[len(firsts) // 2],
                    "first_token_max_ms": firsts[-1],
                    "tokens": sum(r["tokens"] for r in results),
                }
            )
    return rows


__all__ = ["DECLARATION", "DEPLOYMENT", "book", "run", "stream_chat"]
