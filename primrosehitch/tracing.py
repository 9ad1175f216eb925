"""From a request's id to its cause, by the logs of all instances.

Pure. A request's own lines come first; then what the same logs say of
the endpoints it was sent to, and of links and leaders, around that time.
"""

import json
from typing import Any
from typing import Iterable
from typing import NamedTuple

from primrosehitch import events

# What happened this long before and after a request may explain it.
CONTEXT_S = 3.0
ENDPOINT_EVENTS = frozenset(
    (
        events.ENDPOINT_FAILED.number,
        events.ENDPOINT_CHANGED.number,
    )
)
SYSTEM_EVENTS = frozenset(
    (
        events.LINK_DOWN.number,
        events.LEADER_CHANGED.number,
        events.CONTROL_CHANGED.number,
        events.DRAINING.number,
        events.STARTED.number,
    )
)


class LogLine(NamedTuple):
    """One log line, and the file it stands in."""

    source: str
    record: dict[str, Any]

    @property
    def time_s(self) -> float:
        """When it was written, in seconds since 1970."""
        return float(self.record.get("timestamp", 0.0))


class Trace(NamedTuple):
    """What the logs say of one request.

    Attributes:
        own: the request's lines.
        around: lines of its endpoints, links and leaders at the time.
    """

    request_lines: list[LogLine]
    context_lines: list[LogLine]


def parse(source: str, text: str) -> list[LogLine]:
    """Return the lines of a log; what is no record is passed over."""
    lines = []
    for text_line in text.splitlines():
        start = text_line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(text_line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "event" in record:
            lines.append(LogLine(source, record))
    return lines


def trace(request_id: str, lines: Iterable[LogLine]) -> Trace:
    """Return what the lines say of a request."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        r for r in ordered if r.record.get("request_id") == request_id
    ]
    if not request_lines:
        return Trace([], [])
    endpoints = _endpoint_names(request_lines)
    first, last = (
        request_lines[0].time_s - CONTEXT_S,
        request_lines[-1].time_s + CONTEXT_S,
    )
    context_lines = [
        line
        for line in ordered
        if first <= line.time_s <= last
        and line not in request_lines
        and _is_context(line.record, endpoints)
    ]
    return Trace(request_lines, context_lines)


def _endpoint_names(request_lines: list[LogLine]) -> set[str]:
    endpoints = set()
    for line in request_lines:
        endpoints.add(line.record.get("endpoint", ""))
        for item in line.record.get("endpoints", "").split():
            endpoints.add(item.partition(":")[0])
    return endpoints - {""}


def _is_context(record: dict[str, Any], endpoints: set[str]) -> bool:
    if record["event"] in SYSTEM_EVENTS:
        return True
    return (
        record["event"] in ENDPOINT_EVENTS
        and record.get("endpoint") in endpoints
    )


def render(result: Trace) -> str:
    """Return a trace as text, one line each, oldest first."""
    if not result.request_lines:
        return "no line names this request"
    end_s = result.request_lines[-1].time_s
    rows = ["the request:"]
    rows += [_format_line(line, end_s) for line in result.request_lines]
    rows.append("around it, seconds from its end:")
    rows += [_format_line(line, end_s) for line in result.context_lines]
    return "\n".join(rows)


def _format_line(line: LogLine, end_s: float) -> str:
    hidden = ("timestamp", "task_uuid", "task_level", "message_type", "event")
    fields = [f"{k}={v}" for k, v in line.record.items() if k not in hidden]
    name = line.record.get("message_type", line.record["event"])
    return (
        f"{line.time_s - end_s:+8.3f} {line.source} {name} {' '.join(fields)}"
    )


__all__ = ["LogLine", "Trace", "parse", "render", "trace"]
