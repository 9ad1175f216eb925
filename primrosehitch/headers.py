"""What of a caller's request may reach an endpoint.

Headers pass by an allow list. A caller's key is refused wherever else
it stands: in the path, the query or the body, plain or percent-encoded.
"""

from typing import Iterable
from urllib import parse

Header = tuple[bytes, bytes]

ALLOWED_REQUEST_HEADERS = frozenset(
    (
        b"accept",
        b"accept-language",
        b"content-type",
        b"traceparent",
        b"user-agent",
    )
)
ALLOWED_RESPONSE_HEADERS = frozenset(
    (
        b"cache-control",
        b"content-type",
        b"content-language",
        b"etag",
        b"last-modified",
        b"location",
    )
)
BEARER_PREFIX = "bearer "
MAX_DECODE_ROUNDS = 3


def extract_key(headers: Iterable[Header]) -> str:
    """Return the key a caller sent, or an empty string."""
    for name, value in headers:
        text = value.decode("latin-1").strip()
        if name == b"authorization" and text.lower().startswith(BEARER_PREFIX):
            return text[len(BEARER_PREFIX) :].strip()
        if name == b"x-api-key":
            return text
    return ""


def filter_request_headers(
    headers: Iterable[Header], key: str
) -> list[Header]:
    """Return the headers that may go to an endpoint.

    Args:
        headers: the caller's, with lower-case names.
        key: the caller's key; no value that holds it passes.
    """
    return [
        (name, value)
        for name, value in headers
        if name in ALLOWED_REQUEST_HEADERS and not contains_key(value, key)
    ]


def filter_response_headers(headers: Iterable[Header]) -> list[Header]:
    """Return an endpoint's headers that may go to the caller."""
    return [
        (n.lower(), v)
        for n, v in headers
        if n.lower() in ALLOWED_RESPONSE_HEADERS
    ]


def contains_key(data: bytes, key: str) -> bool:
    """Return whether bytes hold a key, plain or percent-encoded."""
    if not key:
        return False
    encoded_key = key.encode()
    for _ in range(MAX_DECODE_ROUNDS):
        if encoded_key in data:
            return True
        decoded = parse.unquote_to_bytes(data.replace(b"+", b" "))
        if decoded == data:
            return False
        data = decoded
    return encoded_key in data


__all__ = [
    "contains_key",
    "extract_key",
    "filter_request_headers",
    "filter_response_headers",
]
