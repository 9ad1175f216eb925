"""Header filters and API key checks between callers and endpoints.

Headers are forwarded by an allow list. With ``contains_key`` a gateway
refuses requests that have the caller's key anywhere else, in the path, the
query or the body, plain or percent-encoded.
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
# Compared in lower case.
BEARER_PREFIX = "bearer "
# Number of times that a text may have been percent-encoded.
MAX_DECODE_ROUNDS = 3


def extract_key(headers: Iterable[Header]) -> str:
    """Return the API key in a caller's headers, or an empty string.

    Args:
        headers: headers with lower-case names.
    """
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
    """Return the headers that may be forwarded to an endpoint.

    Args:
        headers: the caller's headers, with lower-case names.
        key: the caller's key; a header whose value contains it is dropped.
    """
    return [
        (name, value)
        for name, value in headers
        if name in ALLOWED_REQUEST_HEADERS and not contains_key(value, key)
    ]


def filter_response_headers(headers: Iterable[Header]) -> list[Header]:
    """Return an endpoint's headers that may be returned to the caller."""
    return [
        (n.lower(), v)
        for n, v in headers
        if n.lower() in ALLOWED_RESPONSE_HEADERS
    ]


def contains_key(data: bytes, key: str) -> bool:
    """Return whether bytes contain a key, plain or percent-encoded."""
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
