"""Stand-ins for a plain service, and for the platform and usage systems.

They record all that reaches them, so that tests can look for doubled
actions, keys, and orders of two senders.
"""

import asyncio
import json
import time
from typing import Any

from primrosehitch_lab import standin


class PlainService:
    """Runs bookings and answers status checks."""

    def __init__(self, announcer: standin.Announcer):
        self.announcer = announcer
        self.runs: list[Any] = []
        self.seen: list[Any] = []
        self.faults: dict[str, Any] = {}

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application."""
        if scope["type"] != "http":
            return
        body = await standin.read_body(receive)
        if scope["path"] == "/control":
            if scope["method"] == "POST":
                self.faults.update(json.loads(body))
            value = {"runs": self.runs, "seen": self.seen}
            await standin.answer(send, 200, value)
            return
        standin.remember(self.seen, scope, body)
        if scope["method"] == "POST":
            await self._act(body, send)
        else:
            await standin.answer(send, 200, {"runs": len(self.runs)})

    async def run_announcements(self) -> None:
        """Announce for ever."""
        while True:
            current = {"leaving": bool(self.faults.get("leaving"))}
            await self.announcer.announce(current)
            await asyncio.sleep(self.announcer.period_s)

    async def _act(self, body: bytes, send: Any) -> None:
        number = len(self.runs) + 1
        self.runs.append(body.decode("latin-1"))
        await asyncio.sleep(float(self.faults.get("delay_s", 0)))
        if self.faults.get("drop"):
            await standin.drop(send)
        headers = []
        if self.faults.get("crossed"):
            headers.append((b"x-request-id", b"of-another"))
        await standin.answer(send, 201, {"number": number}, headers)


class Platform:
    """Takes start and stop orders and usage reports.

    Args:
        fenced: whether it refuses an old fencing number.
    """

    def __init__(self, fenced: bool):
        self.fenced = fenced
        self.highest = 0
        self.orders: list[Any] = []
        self.usage: dict[str, str] = {}
        self.usage_log: list[Any] = []
        self.different: list[str] = []
        self.faults: dict[str, Any] = {}

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application."""
        if scope["type"] != "http":
            return
        body = await standin.read_body(receive)
        path = scope["path"]
        if path == "/control":
            if scope["method"] == "POST":
                self.faults.update(json.loads(body))
            await standin.answer(send, 200, self._record())
            return
        fence = int(standin.header(scope, b"x-fencing") or 0)
        sender = standin.header(scope, b"x-sender")
        if self.fenced and fence < self.highest:
            await standin.answer(send, 412, {"state": "stale-fencing"})
            return
        self.highest = max(self.highest, fence)
        if path == "/orders":
            await self._order(json.loads(body), sender, fence, send)
        else:
            await self._report(path, body.decode(), sender, fence, send)

    def _record(self) -> Any:
        return {
            "orders": self.orders,
            "usage": self.usage,
            "usage_log": self.usage_log,
            "different": self.different,
        }

    async def _order(
        self, order: Any, sender: str, fence: int, send: Any
    ) -> None:
        entry = {"sender": sender, "fence": fence, "at": time.time()}
        self.orders.append({**order, **entry})
        if self.faults.get("drop_order"):
            await standin.drop(send)
        refused = order["cheap"] and self.faults.get("no_cheap")
        status = 503 if refused else 200
        state = "unavailable" if refused else "accepted"
        await standin.answer(send, status, {"state": state})

    async def _report(
        self, path: str, body: str, sender: str, fence: int, send: Any
    ) -> None:
        self.usage_log.append(
            {"path": path, "sender": sender, "fence": fence, "body": body}
        )
        known = self.usage.setdefault(path, body)
        if known != body:
            self.different.append(path)
            await standin.answer(send, 409, {"state": "different"})
            return
        if self.faults.get("drop_usage"):
            await standin.drop(send)
        await standin.answer(send, 200, {"state": "accepted"})


async def run_service(settings: Any) -> None:
    """Run a plain service as its settings say until stopped."""
    fixed = {
        "name": settings["name"],
        "address": settings["address"],
        "domain": settings["domain"],
        "kind": settings.get("kind", "service"),
        "models": settings["models"],
        "slots": settings.get("slots", 16),
        "cheap": settings.get("cheap", False),
    }
    announcer = standin.Announcer(
        settings["gateways"], settings["token"], fixed
    )
    service = PlainService(announcer)
    await standin.serve(
        service.app, settings["address"], service.run_announcements()
    )


async def run_platform(settings: Any) -> None:
    """Run the platform and usage stand-in until stopped."""
    platform = Platform(settings.get("fenced", True))
    await standin.serve(platform.app, settings["address"])


__all__ = ["PlainService", "Platform", "run_platform", "run_service"]
