"""Helpers for ASGI handlers: calls, request bodies and answers.

Handlers get a ``Call`` and raise ``RefusedError`` to end it with a
refusal; the function that runs them sends the refusal.
"""

import json
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import NamedTuple
from urllib import parse

from primrosehitch import headers as headers_module
from primrosehitch import jsontext
from primrosehitch import outcomes

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]

JSON_TYPE = (b"content-type", b"application/json")


class Call(NamedTuple):
    """One HTTP call.

    Attributes:
        method: the HTTP method.
        path: the path without the query.
        query: the undecoded query string.
        headers: the request headers, names in lower case.
        receive: returns the next ASGI message of the request.
        send: sends an ASGI message of the answer.
        request_id: the request identifier, returned in ``x-request-id``.
    """

    method: str
    path: str
    query: bytes
    headers: list[headers_module.Header]
    receive: Receive
    send: Send
    request_id: str

    def header(self, name: bytes) -> str:
        """Return the value of a header, or "" if it is missing.

        Args:
            name: the header's name in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1")
        return ""

    def parameters(self) -> dict[str, str]:
        """Return the decoded parameters of the query string."""
        return dict(parse.parse_qsl(self.query.decode("latin-1")))


class RefusedError(Exception):
    """Raised by a handler to end its call with a refusal.

    Args:
        refusal: the refusal to send.
    """

    def __init__(self, refusal: outcomes.Refusal):
        self.refusal = refusal
        super().__init__(refusal.reason)


class CallerGoneError(Exception):
    """The caller closed its connection before the call ended."""


def make_call(
    scope: dict[str, Any], receive: Receive, send: Send, request_id: str
) -> Call:
    """Return the call of an ASGI HTTP scope."""
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
    """Return the whole body of a call.

    Args:
        call: the call.
        limit: the largest accepted body size in bytes.

    Raises:
        RefusedError: the body exceeds the limit.
        CallerGoneError: the caller disconnected before the end of the
            body.
    """
    length = call.header(b"content-length")
    if call.header(b"upgrade") and (
        length.strip("0") or call.header(b"transfer-encoding")
    ):
        # The server does not pass on the body of such a request.
        raise RefusedError(
            bad_input(
                "upgrade-with-body", "a request to upgrade must have no body"
            )
        )
    if length.isdigit() and int(length) > limit:
        raise RefusedError(body_too_large(limit))
    parts = []
    size = 0
    while True:
        message = await call.receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise RefusedError(body_too_large(limit))
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


def body_too_large(limit: int) -> outcomes.Refusal:
    """Return the refusal of a body larger than a limit in bytes."""
    return bad_input(
        "body-too-large", f"the body is larger than {limit} bytes", 413
    )


def bad_input(
    reason: str, message: str, status: int = 400
) -> outcomes.Refusal:
    """Return the refusal of a call that fails again if repeated as is."""
    return outcomes.not_run(reason, message, "request", status)


def parse_json(body: bytes) -> Any:
    """Return the JSON object that a body holds.

    Raises:
        RefusedError: the body is not a JSON object.
    """
    try:
        value = jsontext.loads(body)
    except jsontext.JsonError as exc:
        text = f"the body is not valid JSON: {exc.text[:100]}"
        raise RefusedError(bad_input("bad-json", text)) from None
    if not isinstance(value, dict):
        raise RefusedError(
            bad_input("bad-json", "the body is not a JSON object")
        )
    return value


def check_type(value: Any, expected_type: type, name: str) -> None:
    """Check the type of a value from a JSON body.

    Python's bool is a subclass of int, but is refused as an integer.

    Args:
        value: the value.
        expected_type: the type that it must have.
        name: the field's name, for the message.

    Raises:
        RefusedError: the value has another type.
    """
    is_bool_for_int = expected_type is int and isinstance(value, bool)
    if not isinstance(value, expected_type) or is_bool_for_int:
        raise RefusedError(
            bad_input(
                "bad-request",
                f"field {name} is not of type {expected_type.__name__}",
            )
        )


async def answer_json(
    call: Call,
    status: int,
    value: Any,
    extra: list[headers_module.Header] | None = None,
) -> None:
    """Answer a call with a JSON value."""
    data = json.dumps(value).encode()
    await answer(call, status, data, [JSON_TYPE, *(extra or [])])


async def answer(
    call: Call,
    status: int,
    body: bytes,
    headers: list[headers_module.Header],
) -> None:
    """Answer a call with a complete body in one message."""
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
    """Answer a call with a refusal.

    ``retry-after`` holds whole seconds: at least the delay, and at least 1.
    """
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
