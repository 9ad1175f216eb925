"""What of a caller's request may reach an endpoint.

Headers pass by an allow list. A caller's key is refused wherever else
it stands: in the path, the query or the body, plain or percent-encoded.
"""

from typing import Iterable
from urllib import parse

Header = tuple[bytes, bytes]

FORWARDED = frozenset(
    (
        b"accept",
        b"accept-language",
        b"content-type",
        b"traceparent",
        b"user-agent",
    )
)
RETURNED = frozenset(
    (
        b"cache-control",
        b"content-type",
        b"content-language",
        b"etag",
        b"last-modified",
        b"location",
    )
)
BEARER = "bearer "
DECODE_ROUNDS = 3


def caller_key(headers: Iterable[Header]) -> str:
    """Return the key a caller sent, or an empty string."""
    for name, value in headers:
        text = value.decode("latin-1").strip()
        if name == b"authorization" and text.lower().startswith(BEARER):
            return text[len(BEARER) :].strip()
        if name == b"x-api-key":
            return text
    return ""


def forwarded(headers: Iterable[Header], key: str) -> list[Header]:
    """Return the headers that may go to an endpoint.

    Args:
        headers: the caller's, with lower-case names.
        key: the caller's key; no value that holds it passes.
    """
    return [
        (name, value)
        for name, value in headers
        if name in FORWARDED and not holds_key(value, key)
    ]


def returned(headers: Iterable[Header]) -> list[Header]:
    """Return an endpoint's headers that may go to the caller."""
    return [(n.lower(), v) for n, v in headers if n.lower() in RETURNED]


def holds_key(data: bytes, key: str) -> bool:
    """Return whether bytes hold a key, plain or percent-encoded."""
    if not key:
        return False
    wanted = key.encode()
    for _ in range(DECODE_ROUNDS):
        if wanted in data:
            return True
        decoded = parse.unquote_to_bytes(data.replace(b"+", b" "))
        if decoded == data:
            return False
        data = decoded
    return wanted in data


__all__ = ["caller_key", "forwarded", "holds_key", "returned"]
