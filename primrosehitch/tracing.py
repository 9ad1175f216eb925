"""Finds the log lines that explain one request, in the logs of instances.

A trace has the lines of the request itself, and the lines about its
endpoints and about links, leaders and instances at that time. Does no
I/O; the caller reads the log files.
"""

import json
from typing import Any
from typing import Iterable
from typing import NamedTuple

from primrosehitch import events

# Context lines are searched this long before and after the request.
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
        events.CONTROL_LOST.number,
        events.CONTROL_REGAINED.number,
        events.REPLICA_BEHIND.number,
        events.DRAINING.number,
        events.STARTED.number,
    )
)


class LogLine(NamedTuple):
    """One log line.

    Attributes:
        source: the name of the log file.
        record: the decoded line.
    """

    source: str
    record: dict[str, Any]

    @property
    def time_s(self) -> float:
        """When the line was written, in seconds since 1970."""
        return float(self.record.get("timestamp", 0.0))


class Trace(NamedTuple):
    """The log lines that explain one request, each list oldest first.

    Attributes:
        request_lines: lines with the request's identifier.
        context_lines: other lines at that time, about the request's
            endpoints or the system.
    """

    request_lines: list[LogLine]
    context_lines: list[LogLine]


def parse(source: str, text: str) -> list[LogLine]:
    """Return the records of a log; text that is no record is skipped.

    Args:
        source: the name of the log file.
        text: its content, a JSON object per line; a prefix before the
            object is ignored.
    """
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
    """Return the trace of a request.

    Args:
        request_id: the request's identifier.
        lines: lines of all logs, in any order.

    Returns:
        The trace, which is empty if no line has the identifier.
    """
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
    """Return a trace as text, with times relative to the last line."""
    if not result.request_lines:
        return "no log line has this request id"
    end_s = result.request_lines[-1].time_s
    rows = ["lines of the request:"]
    rows += [_format_line(line, end_s) for line in result.request_lines]
    rows.append("context, in seconds from the request's last line:")
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
