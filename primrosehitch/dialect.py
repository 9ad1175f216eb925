"""What the forwarder needs to know of the callers' and endpoints' wire.

An adapter decodes each request and answer once into these types and
encodes them the other way; the forwarder decides by them alone.
"""

from typing import NamedTuple
from typing import Protocol

from primrosehitch import balancer
from primrosehitch import httpclient
from primrosehitch import httpserver

Header = tuple[bytes, bytes]

# Headers that concern one connection only, or are worked out anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class CallInfo(NamedTuple):
    """What a caller said of its request.

    Attributes:
        identifier: of this attempt of the caller, b"" where it sent none.
        deadline_ms: how long the caller waits, None where not said.
        key: the caller's key, empty without one.
        last_event_id: the event behind which a stream goes on, or b"".
        parts: of the prompt, in order.
        prompt_tokens: size of the prompt, 0 for plain calls.
        output_tokens: how many the caller expects, 0 for plain calls.
        headers: those that every endpoint gets unchanged.
    """

    identifier: bytes
    deadline_ms: int | None
    key: str
    last_event_id: bytes
    parts: tuple[balancer.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    headers: list[Header]


class ForwardInfo(NamedTuple):
    """What differs from one endpoint to the next.

    Attributes:
        endpoint: identifier of the endpoint that must serve it.
        left_ms: how long the caller still waits.
        customer: whose request it is, empty on public routes.
        priority: rank at the endpoint, 0 first.
        last_event_id: the event behind which a stream goes on, or b"".
    """

    endpoint: str
    remaining_ms: int
    customer: str
    priority: int
    last_event_id: bytes


class AnswerInfo(NamedTuple):
    """What an endpoint said with its answer.

    Attributes:
        not_run: it states that it did not run the request.
        elsewhere: another endpoint has the address now.
        genuine: it carries the endpoint's signature.
        running: requests under way there, -1 where not said.
        waiting: requests queued there.
        slots: requests it runs at once.
    """

    not_run: bool
    address_reassigned: bool
    is_authentic: bool
    running: int
    waiting: int
    slots: int


class Dialect(Protocol):
    """Translates one wire."""

    echo_header: bytes

    def read_call(self, request: httpserver.Request) -> CallInfo:
        """Return what a request says of itself."""

    def endpoint_headers(
        self, call: CallInfo, sending: ForwardInfo
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    def read_answer(self, head: httpclient.ResponseHead) -> AnswerInfo:
        """Return what an answer says of the endpoint."""

    def returned_headers(self, head: httpclient.ResponseHead) -> list[Header]:
        """Return an endpoint's headers that go to the caller."""

    def own_headers(self, identifier: bytes) -> list[Header]:
        """Return the headers of an answer of our own."""


__all__ = [
    "AnswerInfo",
    "CallInfo",
    "Dialect",
    "HOP_BY_HOP",
    "Header",
    "ForwardInfo",
]
