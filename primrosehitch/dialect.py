"""Interface between the forwarder and the headers of a platform.

An adapter decodes the headers of each request and answer once into the
types of this module and encodes them for the endpoint and the caller.
The forwarder depends on these types only.
"""

from typing import NamedTuple
from typing import Protocol

from primrosehitch import balancer
from primrosehitch import httpclient
from primrosehitch import httpserver

Header = tuple[bytes, bytes]

# Headers that apply to a single connection or are computed for each hop.
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
        identifier: the identifier of this attempt of the caller, b"" if
            it sent none.
        deadline_ms: how long the caller waits, or None if it set no
            deadline.
        key: the caller's key, empty if it sent none.
        last_event_id: the event after which a stream resumes, or b"".
        resumed_stream: the identifier of the caller's attempt that began
            the stream which this one resumes; b"" if it is malformed, None
            if the caller names none.
        parts: the prompt parts, in order.
        prompt_tokens: the size of the prompt, 0 for plain calls.
        output_tokens: the expected output size, 0 for plain calls.
        edge_token: what proves that another edge sends the request for its
            caller, or b"".
        attempts_left: the endpoints to which that edge lets this one send
            it, or None if it does not say.
        headers: the headers that every endpoint gets unchanged.
    """

    identifier: bytes
    deadline_ms: int | None
    key: str
    last_event_id: bytes
    resumed_stream: bytes | None
    parts: tuple[balancer.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    edge_token: bytes
    attempts_left: int | None
    headers: list[Header]


class ForwardInfo(NamedTuple):
    """The values of one attempt to forward a request to an endpoint.

    Attributes:
        endpoint: the identifier of the endpoint that must serve it.
        remaining_ms: the time left until the caller's deadline.
        customer: the customer of the request, empty on public routes.
        priority: the rank at the endpoint; 0 is served first.
        last_event_id: the event after which a stream resumes, or b"".
    """

    endpoint: str
    remaining_ms: int
    customer: str
    priority: int
    last_event_id: bytes


class HelpInfo(NamedTuple):
    """The values of one attempt to send a request to another edge.

    Attributes:
        token: what proves to that edge that an edge sends it.
        remaining_ms: the time left until the caller's deadline.
        last_event_id: the event after which a stream resumes, or b"".
        resumed_stream: the identifier of the attempt that began it, or b"".
        attempts_left: the endpoints to which that edge may send it.
    """

    token: bytes
    remaining_ms: int
    last_event_id: bytes
    resumed_stream: bytes
    attempts_left: int


class AnswerInfo(NamedTuple):
    """The decoded headers of an endpoint's answer.

    Attributes:
        not_run: whether the endpoint did not run the request.
        address_reassigned: whether another endpoint now has the address.
        is_leaving: whether the endpoint is about to stop.
        is_authentic: whether the answer carries the endpoint's signature.
        pause_ms: how long the endpoint wants no request from this edge,
            0 if it did not say.
        limit_per_s: the requests a second that the endpoint takes from
            all edges together, 0 if the answer names no limit.
        malformed_limit: the limit that it names, if that is no positive
            decimal number; such an answer says nothing of the limit.
        running: the number of running requests at the endpoint, -1 if
            the answer has no load report.
        waiting: the number of requests queued at the endpoint.
        slots: the number of requests that it runs concurrently.
        pace: how long its work takes now, 1.0 is usual; 0 if it does not
            say.
        malformed_load: the load report, if it is malformed; such an answer
            says nothing of the load.
    """

    not_run: bool
    address_reassigned: bool
    is_leaving: bool
    is_authentic: bool
    pause_ms: int
    limit_per_s: float
    malformed_limit: str
    running: int
    waiting: int
    slots: int
    pace: float = 0.0
    malformed_load: str = ""


class Dialect(Protocol):
    """Decodes and encodes the headers of one platform.

    Attributes:
        echo_header: the name of the answer header that repeats the
            request identifier.
    """

    echo_header: bytes

    def read_call(self, request: httpserver.Request) -> CallInfo:
        """Return the decoded headers of a caller's request."""

    def endpoint_headers(
        self, call: CallInfo, forward_info: ForwardInfo
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    def helper_headers(
        self, call: CallInfo, help_info: HelpInfo
    ) -> list[Header]:
        """Return the headers of a request to another edge."""

    def read_answer(self, head: httpclient.ResponseHead) -> AnswerInfo:
        """Return the decoded headers of an endpoint's answer."""

    def returned_headers(self, head: httpclient.ResponseHead) -> list[Header]:
        """Return the headers of an endpoint's answer for the caller."""

    def own_headers(self, identifier: bytes) -> list[Header]:
        """Return the headers of an answer that the edge itself gives."""


__all__ = [
    "AnswerInfo",
    "CallInfo",
    "Dialect",
    "HOP_BY_HOP",
    "Header",
    "HelpInfo",
    "ForwardInfo",
]
