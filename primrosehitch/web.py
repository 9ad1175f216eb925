"""Helpers for ASGI requests: reading bodies and sending responses.

``make_call`` wraps an ASGI scope and its channels in a ``Call``. The
functions that read it raise ``RefusedError`` for invalid input.
"""

import json
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import NamedTuple
from urllib import parse

from primrosehitch import headers as headers_module
from primrosehitch import outcomes

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]

JSON_TYPE = (b"content-type", b"application/json")


class Call(NamedTuple):
    """An HTTP request and the ASGI channels to read and answer it.

    Attributes:
        method: the HTTP method.
        path: the path, percent-decoded.
        query: the query as received, without the question mark.
        headers: the headers, with names in lower case.
        receive: returns the next ASGI message from the caller.
        send: sends an ASGI message to the caller.
        request_id: the identifier that this gateway gave the request.
    """

    method: str
    path: str
    query: bytes
    headers: list[headers_module.Header]
    receive: Receive
    send: Send
    request_id: str

    def header(self, name: bytes) -> str:
        """Return the first value of a header, empty if it is missing."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""

    def parameters(self) -> dict[str, str]:
        """Return the query's parameters by name."""
        return dict(parse.parse_qsl(self.query.decode("latin-1")))


class RefusedError(Exception):
    """The request is answered with a refusal."""

    def __init__(self, refusal: outcomes.Refusal):
        self.refusal = refusal
        super().__init__(refusal.reason)


class CallerGoneError(Exception):
    """The caller disconnected."""


def make_call(
    scope: dict[str, Any], receive: Receive, send: Send, request_id: str
) -> Call:
    """Return the request that an ASGI scope describes."""
    return Call(
        scope["method"],
        scope["path"],
        scope["query_string"],
        scope["headers"],
        receive,
        send,
        request_id,
    )


async def read_body(call: Call, limit: int) -> bytes:
    """Return the complete body of a request.

    Args:
        call: the request.
        limit: the maximum size in bytes.

    Raises:
        RefusedError: the body is larger.
        CallerGoneError: the caller disconnected before the end.
    """
    length = call.header(b"content-length")
    if length.isdigit() and int(length) > limit:
        raise RefusedError(too_large(limit))
    parts = []
    size = 0
    while True:
        message = await call.receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise RefusedError(too_large(limit))
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


def too_large(limit: int) -> outcomes.Refusal:
    """Return the refusal of a body that is larger than a limit in bytes."""
    return bad_input(
        "body-too-large", f"the body is larger than {limit} bytes", 413
    )


def bad_input(
    reason: str, message: str, status: int = 400
) -> outcomes.Refusal:
    """Return the refusal of an invalid request."""
    return outcomes.not_run(reason, message, "request", status)


def parse_json(body: bytes) -> Any:
    """Parse a body that is a JSON object.

    Raises:
        RefusedError: the body is not a JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        text = f"the body is not JSON: {str(exc)[:100]}"
        raise RefusedError(bad_input("bad-json", text)) from None
    if not isinstance(value, dict):
        raise RefusedError(
            bad_input("bad-json", "the body is not a JSON object")
        )
    return value


def check_type(value: Any, kind: type, name: str) -> None:
    """Check the type of a value in a JSON body.

    Raises:
        RefusedError: the value has another type; a boolean is no int.
    """
    wrong_bool = kind is int and isinstance(value, bool)
    if not isinstance(value, kind) or wrong_bool:
        raise RefusedError(
            bad_input("bad-request", f"{name} is not of type {kind.__name__}")
        )


async def answer_json(
    call: Call,
    status: int,
    value: Any,
    extra: list[headers_module.Header] | None = None,
) -> None:
    """Send a JSON value as the response."""
    data = json.dumps(value).encode()
    await answer(call, status, data, [JSON_TYPE, *(extra or [])])


async def answer(
    call: Call,
    status: int,
    body: bytes,
    headers: list[headers_module.Header],
) -> None:
    """Send a complete response."""
    await call.send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"x-request-id", call.request_id.encode()),
            ],
        }
    )
    await call.send({"type": "http.response.body", "body": body})


async def answer_refusal(call: Call, refusal: outcomes.Refusal) -> None:
    """Send a refusal as the response."""
    extra = [(b"x-outcome", refusal.outcome.encode())]
    if refusal.retry_after_s is not None:
        seconds = max(1, round(refusal.retry_after_s + 0.5))
        extra.append((b"retry-after", str(seconds).encode()))
    body = refusal.body(call.request_id)
    await answer_json(call, refusal.status, body, extra)


__all__ = [
    "Call",
    "CallerGoneError",
    "RefusedError",
    "answer",
    "answer_json",
    "answer_refusal",
    "bad_input",
    "check_type",
    "make_call",
    "parse_json",
    "read_body",
]
