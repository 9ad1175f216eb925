"""Header format of the platform's callers and engines.

Decodes the headers of requests and answers into the types of
``primrosehitch.dialect``, and encodes them for the next hop. Header names
must be in lower case.
"""

import math
import re
from typing import NamedTuple

from primrosehitch import balancer
from primrosehitch import dialect as dialect_module
from primrosehitch import httpclient
from primrosehitch import httpserver

Header = dialect_module.Header

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
CREDENTIAL = b"credential"
TENANT = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
PREFIX_HASH = b"prefix-hash"
TOKEN_COUNT = b"token-count"
REQUEST_PRIORITY = b"request-priority"
RESPONSE_STAMP = b"response-stamp"
NOT_RUN = b"not-run"
RETRY_AFTER = b"retry-after"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_LOAD = b"server-load"
# Sent by edges to each other only.
EDGE_TOKEN = b"edge-token"
EDGE_ATTEMPTS = b"edge-attempts"
LOWEST_PRIORITY = 9
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# A longer pause is taken for a malformed value.
MAX_PAUSE_S = 3600
DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
MAX_LOGGED_LIMIT_BYTES = 40
# A number with more digits is malformed: none of our messages carries it.
COUNT = re.compile(rb"[0-9]{1,9}")
MAX_DEADLINE_MS = 10**9
# Work takes its usual time at this pace. A larger pace than the maximum is
# taken for a malformed one.
USUAL_PACE_PERCENT = 100.0
MAX_PACE_PERCENT = 100_000.0

# Headers that are not copied from a caller's request to an engine: either
# only the edge may set them, or it replaces their value.
RESERVED_HEADERS = frozenset(
    (
        CREDENTIAL,
        EDGE_TOKEN,
        EDGE_ATTEMPTS,
        TENANT,
        EXPECT_INSTANCE,
        DEADLINE_MS,
        LAST_EVENT_ID,
        REQUEST_PRIORITY,
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)


# Headers of an engine's answer that are meant for the edges only.
INTERNAL_HEADERS = frozenset((SERVER_LEAVING, SERVER_LIMIT, SERVER_LOAD))


class ServerLoad(NamedTuple):
    """The figures of a load report; ``running`` is -1 without a report."""

    running: int
    waiting: int
    slots: int
    pace: float


NO_LOAD = ServerLoad(-1, 0, 0, 0.0)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    echo_header = REQUEST_ID

    def read_call(
        self, request: httpserver.Request
    ) -> dialect_module.CallInfo:
        """Return the decoded headers of a caller's request."""
        headers = {name: value for name, value in request.headers}
        prompt, output = _parse_token_count(headers.get(TOKEN_COUNT, b""))
        return dialect_module.CallInfo(
            identifier=headers.get(REQUEST_ID, b"").strip(),
            deadline_ms=_parse_deadline_ms(headers.get(DEADLINE_MS, b"")),
            key=headers.get(CREDENTIAL, b"").decode("latin-1").strip(),
            last_event_id=headers.get(LAST_EVENT_ID, b"").strip(),
            resumed_stream=_parse_resumes(request.headers),
            parts=_parse_prefix_parts(headers.get(PREFIX_HASH, b"")),
            prompt_tokens=prompt,
            output_tokens=output,
            edge_token=headers.get(EDGE_TOKEN, b"").strip(),
            attempts_left=_parse_count(headers.get(EDGE_ATTEMPTS, b"")),
            headers=_forwarded_headers(request.headers),
        )

    def endpoint_headers(
        self,
        call: dialect_module.CallInfo,
        forward_info: dialect_module.ForwardInfo,
    ) -> list[Header]:
        """Return the headers of a request to an engine."""
        headers = list(call.headers)
        headers.append((DEADLINE_MS, b"%d" % forward_info.remaining_ms))
        headers.append((EXPECT_INSTANCE, forward_info.endpoint.encode()))
        if forward_info.customer:
            headers.append((TENANT, forward_info.customer.encode()))
        if forward_info.last_event_id:
            headers.append((LAST_EVENT_ID, forward_info.last_event_id))
        if call.prompt_tokens:
            capped_priority = min(forward_info.priority, LOWEST_PRIORITY)
            headers.append((REQUEST_PRIORITY, b"%d" % capped_priority))
        return headers

    def helper_headers(
        self,
        call: dialect_module.CallInfo,
        help_info: dialect_module.HelpInfo,
    ) -> list[Header]:
        """Return the headers of a request to another edge."""
        headers = [h for h in call.headers if h[0] != RESUMES]
        headers.append((EDGE_TOKEN, help_info.token))
        headers.append((DEADLINE_MS, b"%d" % help_info.remaining_ms))
        headers.append((EDGE_ATTEMPTS, b"%d" % help_info.attempts_left))
        if call.key:
            headers.append((CREDENTIAL, call.key.encode("latin-1")))
        if help_info.last_event_id:
            headers.append((LAST_EVENT_ID, help_info.last_event_id))
        if help_info.resumed_stream:
            headers.append((RESUMES, help_info.resumed_stream))
        return headers

    def read_answer(
        self, head: httpclient.ResponseHead
    ) -> dialect_module.AnswerInfo:
        """Return the decoded headers of an engine's answer."""
        address_reassigned = head.status == MISDIRECTED_STATUS
        load, malformed_load = _parse_load(head)
        limit_per_s, malformed_limit = _parse_limit(head)
        return dialect_module.AnswerInfo(
            not_run=head.header(NOT_RUN) is not None,
            address_reassigned=address_reassigned,
            is_leaving=head.header(SERVER_LEAVING) is not None,
            is_authentic=head.header(RESPONSE_STAMP) is not None,
            pause_ms=_parse_pause_ms(head),
            limit_per_s=limit_per_s,
            malformed_limit=malformed_limit,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            pace=load.pace,
            malformed_load=malformed_load,
        )

    def returned_headers(self, head: httpclient.ResponseHead) -> list[Header]:
        """Return the headers of an engine's answer for the caller."""
        dropped = _hop_by_hop_names(head.headers)
        return [
            (name, value)
            for name, value in head.headers
            if name not in dropped and name not in INTERNAL_HEADERS
        ]

    def own_headers(self, identifier: bytes) -> list[Header]:
        """Return the headers of an answer that the edge itself gives."""
        return [(REQUEST_ID, identifier)] if identifier else []


def _forwarded_headers(headers: list[Header]) -> list[Header]:
    """Return the headers of a request that every engine gets unchanged."""
    dropped = _hop_by_hop_names(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in dropped and name not in RESERVED_HEADERS
    ]


def _hop_by_hop_names(headers: list[Header]) -> frozenset[bytes]:
    """Return the names of headers that must not be forwarded.

    These are the standard hop-by-hop headers and the ones that
    ``connection`` lists.
    """
    connection_values = [v for n, v in headers if n == b"connection"]
    if not connection_values:
        return dialect_module.HOP_BY_HOP
    extra = {
        p.strip().lower() for v in connection_values for p in v.split(b",")
    }
    return dialect_module.HOP_BY_HOP | extra


def _parse_prefix_parts(value: bytes) -> tuple[balancer.PromptPart, ...]:
    """Return the prompt's prefix parts, given as ``id:tokens,...``.

    Malformed items are skipped.
    """
    parts = []
    for item in value.split(b","):
        identifier, _, size = item.strip().partition(b":")
        tokens = _parse_count(size)
        if identifier and tokens is not None:
            parts.append(
                balancer.PromptPart(identifier.decode("latin-1"), tokens)
            )
    return tuple(parts)


def _parse_pause_ms(head: httpclient.ResponseHead) -> int:
    """Return how long an engine that is full wants no further request.

    The value is in seconds, which may be a fraction; a malformed one is 0.
    """
    if head.status != UNAVAILABLE_STATUS:
        return 0
    try:
        seconds = float(head.header(RETRY_AFTER) or b"0")
    except ValueError:
        return 0
    return math.ceil(1000 * seconds) if 0 < seconds < MAX_PAUSE_S else 0


def _parse_resumes(headers: list[Header]) -> bytes | None:
    """Return the attempt that began the stream which a request resumes.

    Returns:
        Its identifier, b"" if the header names not just one, or None if
        there is no such header.
    """
    values = {value.strip() for name, value in headers if name == RESUMES}
    if not values:
        return None
    return values.pop() if len(values) == 1 else b""


def _parse_limit(head: httpclient.ResponseHead) -> tuple[float, str]:
    """Return an engine's rate limit in requests a second, 0 for none.

    Anything but one positive decimal number is malformed; such a value is
    returned as the second item, shortened.
    """
    values = [value for name, value in head.headers if name == SERVER_LIMIT]
    if not values:
        return 0.0, ""
    text = b", ".join(values).strip()
    limit = float(text) if DECIMAL.fullmatch(text) else 0.0
    if limit > 0:
        return limit, ""
    shown = text[:MAX_LOGGED_LIMIT_BYTES].decode("latin-1")
    return 0.0, shown or "(empty)"


def _parse_load(head: httpclient.ResponseHead) -> tuple[ServerLoad, str]:
    """Return the load that an engine states with an answer.

    The value is ``running,waiting,slots`` or ``running,waiting,slots,pace``
    with a pace in percent. Any other is malformed as a whole; it is returned
    as the second item, shortened.
    """
    values = [value for name, value in head.headers if name == SERVER_LOAD]
    if not values:
        return NO_LOAD, ""
    text = b",".join(values).strip()
    figures = text.split(b",")
    counts = [_parse_count(value) for value in figures[:3]]
    pace_percent = USUAL_PACE_PERCENT
    if len(figures) == 4:
        percent = figures[3].strip()
        is_decimal = DECIMAL.fullmatch(percent)
        pace_percent = float(percent) if is_decimal else 0.0
    if (
        len(figures) not in (3, 4)
        or None in counts
        or not 0 < pace_percent <= MAX_PACE_PERCENT
    ):
        shown = text[:MAX_LOGGED_LIMIT_BYTES].decode("latin-1")
        return NO_LOAD, shown or "(empty)"
    running, waiting, slots = (n or 0 for n in counts)
    pace = pace_percent / 100 if len(figures) == 4 else 0.0
    return ServerLoad(running, waiting, slots, pace), ""


def _parse_token_count(value: bytes) -> tuple[int, int]:
    """Return the prompt's and the maximum output's length, in tokens.

    The value is ``prompt,output``; a missing or malformed number is 0.
    """
    prompt, _, output = value.partition(b",")
    prompt_tokens = _parse_count(prompt)
    if prompt_tokens is None:
        return 0, 0
    return prompt_tokens, _parse_count(output) or 0


def _parse_count(value: bytes) -> int | None:
    """Return a whole number of 0 or more, or None if it is malformed."""
    digits = value.strip()
    return int(digits) if COUNT.fullmatch(digits) else None


def _parse_deadline_ms(value: bytes) -> int | None:
    """Return how long a caller waits, or None if it does not say.

    A number that is too large to be read is a wait without end.
    """
    digits = value.strip()
    if not digits.isdigit():
        return None
    deadline_ms = _parse_count(digits)
    return MAX_DEADLINE_MS if deadline_ms is None else deadline_ms


__all__ = ["PlatformDialect"]
