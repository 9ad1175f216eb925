"""Interface between the forwarder and a platform's header format.

A ``Dialect`` decodes the headers of each request and response into these
types and encodes the headers of the next hop. The forwarder reads no
other headers.
"""

from typing import NamedTuple
from typing import Protocol

from primrosehitch import balancer
from primrosehitch import httpclient
from primrosehitch import httpserver

Header = tuple[bytes, bytes]

# Headers that apply to one connection only, or are generated for each hop.
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
    """The decoded headers of a caller's request.

    Attributes:
        identifier: the identifier of the caller's attempt, or b"".
        deadline_ms: how long the caller waits in ms, or None.
        key: the caller's API key, empty if it sent none.
        last_event_id: the event after which a stream resumes, or b"".
        parts: the parts of the prompt, in order.
        prompt_tokens: size of the prompt, 0 for service requests.
        output_tokens: number of output tokens that the caller expects, 0
            for service requests.
        headers: headers that every endpoint gets unchanged.
    """

    identifier: bytes
    deadline_ms: int | None
    key: str
    last_event_id: bytes
    parts: tuple[balancer.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    headers: list[Header]


class Sending(NamedTuple):
    """The fields of a request that differ between attempts.

    Attributes:
        endpoint: identifier of the endpoint that must serve it.
        left_ms: remaining time until the deadline, in ms.
        customer: the customer's name, empty on public routes.
        priority: priority at the endpoint; 0 is the highest.
        last_event_id: the event after which a stream resumes, or b"".
    """

    endpoint: str
    left_ms: int
    customer: str
    priority: int
    last_event_id: bytes


class AnswerInfo(NamedTuple):
    """The decoded headers of an endpoint's response.

    Attributes:
        not_run: whether it says that the request was not run.
        elsewhere: whether another endpoint has the address now.
        genuine: whether it has the endpoint's signature.
        running: requests in flight at the endpoint, -1 if not reported.
        waiting: requests queued at the endpoint.
        slots: requests that the endpoint runs concurrently.
    """

    not_run: bool
    elsewhere: bool
    genuine: bool
    running: int
    waiting: int
    slots: int


class Dialect(Protocol):
    """Decodes and encodes the headers of one platform."""

    echo_header: bytes

    def read_call(self, request: httpserver.Request) -> CallInfo:
        """Return the decoded headers of a caller's request."""

    def endpoint_headers(
        self, call: CallInfo, sending: Sending
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    def read_answer(self, head: httpclient.ResponseHead) -> AnswerInfo:
        """Return the decoded headers of an endpoint's response."""

    def returned_headers(self, head: httpclient.ResponseHead) -> list[Header]:
        """Return the headers of a response that go to the caller."""

    def own_headers(self, identifier: bytes) -> list[Header]:
        """Return the headers of a local reply."""


__all__ = [
    "AnswerInfo",
    "CallInfo",
    "Dialect",
    "HOP_BY_HOP",
    "Header",
    "Sending",
]
