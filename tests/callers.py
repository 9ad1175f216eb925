"""Callers' requests for tests that run real processes."""

import json
from typing import Any
from typing import NamedTuple

import httpcore

TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), 20.0)
DONE = b"data: [DONE]\n\n"


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> Any:
        return json.loads(self.body)["error"]

    @property
    def whole(self) -> bool:
        return self.body.endswith(DONE)

    @property
    def words(self) -> str:
        words = []
        for line in self.body.split(b"\n\n"):
            if line.startswith(b"data: {"):
                event = json.loads(line[6:])
                for choice in event.get("choices", ()):
                    words.append(choice["delta"].get("content", ""))
        return "".join(words)


def words(count):
    return "".join(f"t{i} " for i in range(count))


def send(address, method, path, key="", body=b"", headers=()):
    """Send one request and return the complete response."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    given = [("content-length", str(len(body))), *headers]
    if key:
        given.append(("authorization", f"Bearer {key}".encode("latin-1")))
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            method,
            f"http://{address}{path}",
            headers=given,
            content=body,
            extensions={"timeout": TIMEOUT},
        )
    found = {
        n.decode().lower(): v.decode("latin-1") for n, v in response.headers
    }
    return Answer(response.status, found, response.content)


def chat(address, key, tokens=5, prompt="hello", stream=True, headers=()):
    """Send one chat completion request."""
    value = {
        "model": "m",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return send(address, "POST", "/v1/chat/completions", key, value, headers)


def book(address, key, idempotency_key="", body=b'{"bay":1}'):
    """Send one request to the non-repeatable booking service."""
    headers = []
    if idempotency_key:
        headers.append(("idempotency-key", idempotency_key))
    return send(address, "POST", "/services/booking", key, body, headers)
