"""An emulated model engine with an OpenAI-compatible interface.

Tokens are a pure function of the request identifier-free prompt, so a
stream resumed on another engine goes on with the same text. Faults are
set through ``/control`` by the tests and experiments.
"""

import asyncio
import contextlib
import json
import random
from typing import Any

from primrosehitch_lab import model as model_module
from primrosehitch_lab import standin

DEFAULT_MAX_TOKENS = 64
REPORT_LAG_S = 0.0


class Engine:
    """One emulated engine.

    Args:
        name: the endpoint's name.
        slots: sequences served at once.
        announcer: announces it.
        lag_s: how old its load reports are.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        announcer: standin.Announcer,
        lag_s: float = REPORT_LAG_S,
    ):
        self.name = name
        self.model = model_module.EngineModel(slots)
        self.announcer = announcer
        self.lag_s = lag_s
        self.queues: dict[str, asyncio.Queue[int]] = {}
        self.work = asyncio.Event()
        self.seen: list[Any] = []
        self.faults: dict[str, Any] = {}
        self.leaving = False
        self.reclaimed = False
        self.cancelled = 0
        self.numbers = 0

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application."""
        if scope["type"] != "http":
            return
        body = await standin.read_body(receive)
        if scope["path"].startswith("/control"):
            await self._control(scope, body, send)
        elif self.faults.get("refuse"):
            await standin.answer(send, 503, {"error": "refusing"})
        else:
            await self._complete(scope, body, receive, send)

    async def run_steps(self) -> None:
        """Run the engine's steps for ever."""
        while True:
            if not self.model.sequences or self.faults.get("stall"):
                self.work.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.work.wait(), 0.5)
                continue
            cost_ms, emitted = self.model.step()
            await asyncio.sleep(cost_ms / 1000)
            for item in emitted:
                queue = self.queues.get(item.sequence.identifier)
                if queue is not None:
                    queue.put_nowait(item.sequence.emitted)

    async def run_announcements(self) -> None:
        """Announce for ever."""
        while True:
            await self._announce()
            await asyncio.sleep(self.announcer.period_s)

    async def _announce(self) -> None:
        current = {
            "running": self.model.running,
            "waiting": self.model.waiting,
            "leaving": self.leaving,
            "reclaimed": self.reclaimed,
            "prefixes": self.model.new_blocks[-64:],
        }
        self.model.new_blocks.clear()
        if self.lag_s:
            await asyncio.sleep(self.lag_s)
        await self.announcer.announce(current)

    async def _control(self, scope: Any, body: bytes, send: Any) -> None:
        if scope["method"] == "POST":
            value = json.loads(body)
            self.faults.update(value)
            self.model.slow = float(self.faults.get("slow", 1.0))
            self.leaving = bool(self.faults.get("leaving"))
            self.reclaimed = bool(self.faults.get("reclaimed"))
            self.announcer.silent = bool(self.faults.get("silent"))
            if self.leaving or self.reclaimed:
                await self._announce()
        value = {
            "name": self.name,
            "seen": self.seen,
            "running": len(self.model.sequences),
            "prefill": self.model.prefill_total,
            "cancelled": self.cancelled,
        }
        await standin.answer(send, 200, value)

    async def _complete(
        self, scope: Any, body: bytes, receive: Any, send: Any
    ) -> None:
        standin.remember(self.seen, scope, body)
        value = json.loads(body)
        sequence = self._sequence(scope, value)
        queue = self.queues[sequence.identifier] = asyncio.Queue()
        first = sequence.emitted
        self.model.submit(sequence)
        self.work.set()
        watch = asyncio.create_task(self._watch(receive, sequence))
        try:
            if value.get("stream"):
                await self._stream(scope, sequence, queue, send, first)
            else:
                await self._whole(scope, sequence, queue, send)
        finally:
            watch.cancel()
            self.model.cancel(sequence.identifier)
            self.queues.pop(sequence.identifier, None)

    def _sequence(self, scope: Any, value: Any) -> model_module.Sequence:
        self.numbers += 1
        prompt = json.dumps(value.get("messages") or value.get("prompt"))
        wanted = value.get("max_tokens") or DEFAULT_MAX_TOKENS
        priority = int(standin.header(scope, b"x-priority") or 0)
        offset = int(standin.header(scope, b"x-resume-offset") or 0)
        return model_module.read_prompt(
            f"{self.numbers}", prompt, wanted, priority, offset
        )

    async def _watch(self, receive: Any, sequence: Any) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.cancelled += sequence.identifier in self.model.sequences
                self.model.cancel(sequence.identifier)
                queue = self.queues.get(sequence.identifier)
                if queue is not None:
                    queue.put_nowait(-1)
                return

    async def _stream(
        self,
        scope: Any,
        sequence: Any,
        queue: asyncio.Queue[int],
        send: Any,
        first: int,
    ) -> None:
        request_id = standin.header(scope, b"x-request-id")
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    (b"x-request-id", request_id.encode()),
                ],
            }
        )
        sent = first
        while sent < sequence.output_tokens:
            upto = await queue.get()
            if upto < 0:
                return
            while sent < upto:
                if self._breaks(sent):
                    raise ConnectionError("stream broken on purpose")
                data = self._event(request_id, sequence, sent)
                sent += 1
                await send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": True,
                    }
                )
        await send(
            {
                "type": "http.response.body",
                "body": b"data: [DONE]\n\n",
                "more_body": False,
            }
        )

    def _breaks(self, sent: int) -> bool:
        after = self.faults.get("break_after")
        return after is not None and sent >= after

    def _event(self, request_id: str, sequence: Any, number: int) -> bytes:
        identifier = f"chatcmpl-{request_id}"
        if self.faults.get("crossed") and number == 2:
            identifier = "chatcmpl-of-another"
        event: dict[str, Any] = {
            "id": identifier,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": f"t{number} "}}],
        }
        if number + 1 == sequence.output_tokens:
            event["choices"][0]["finish_reason"] = "stop"
            event["usage"] = self._usage(sequence)
        text = json.dumps(event, separators=(",", ":"))
        return b"data: " + text.encode() + b"\n\n"

    def _usage(self, sequence: Any) -> Any:
        return {
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": sequence.output_tokens,
        }

    async def _whole(
        self, scope: Any, sequence: Any, queue: asyncio.Queue[int], send: Any
    ) -> None:
        done = 0
        while done < sequence.output_tokens:
            done = await queue.get()
            if done < 0:
                return
        request_id = standin.header(scope, b"x-request-id")
        text = "".join(f"t{i} " for i in range(sequence.output_tokens))
        value = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": self._usage(sequence),
        }
        given = standin.header(scope, b"x-request-id").encode()
        await standin.answer(send, 200, value, [(b"x-request-id", given)])


async def run(settings: Any) -> None:
    """Run an engine as its settings say until stopped."""
    fixed = {
        "name": settings["name"],
        "address": settings["address"],
        "domain": settings["domain"],
        "kind": settings.get("kind", "engine"),
        "models": settings["models"],
        "slots": settings.get("slots", 8),
        "cheap": settings.get("cheap", False),
        "resumes": settings.get("resumes", True),
    }
    announcer = standin.Announcer(
        settings["gateways"], settings["token"], fixed
    )
    engine = Engine(
        settings["name"],
        fixed["slots"],
        announcer,
        settings.get("lag_s", REPORT_LAG_S),
    )
    random.seed(settings["name"])
    await standin.serve(
        engine.app,
        settings["address"],
        engine.run_steps(),
        engine.run_announcements(),
    )


__all__ = ["Engine", "run"]
