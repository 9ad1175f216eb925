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
AROUND_S = 3.0
NEARBY = frozenset(
    (
        events.ENDPOINT_FAILED.number,
        events.ENDPOINT_CHANGED.number,
    )
)
ANYWAY = frozenset(
    (
        events.LINK_DOWN.number,
        events.LEADER_CHANGED.number,
        events.CONTROL_CHANGED.number,
        events.DRAINING.number,
        events.STARTED.number,
    )
)


class Line(NamedTuple):
    """One log line, and the file it stands in."""

    source: str
    record: dict[str, Any]

    @property
    def at(self) -> float:
        """When it was written, in seconds since 1970."""
        return float(self.record.get("timestamp", 0.0))


class Trace(NamedTuple):
    """What the logs say of one request.

    Attributes:
        own: the request's lines.
        around: lines of its endpoints, links and leaders at the time.
    """

    own: list[Line]
    around: list[Line]


def parse(source: str, text: str) -> list[Line]:
    """Return the lines of a log; what is no record is passed over."""
    lines = []
    for row in text.splitlines():
        start = row.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(row[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "event" in record:
            lines.append(Line(source, record))
    return lines


def trace(request_id: str, lines: Iterable[Line]) -> Trace:
    """Return what the lines say of a request."""
    known = sorted(lines, key=lambda line: line.at)
    own = [r for r in known if r.record.get("request_id") == request_id]
    if not own:
        return Trace([], [])
    tried = _endpoints(own)
    first, last = own[0].at - AROUND_S, own[-1].at + AROUND_S
    around = [
        line
        for line in known
        if first <= line.at <= last
        and line not in own
        and _explains(line.record, tried)
    ]
    return Trace(own, around)


def _endpoints(own: list[Line]) -> set[str]:
    tried = set()
    for line in own:
        tried.add(line.record.get("endpoint", ""))
        for item in line.record.get("endpoints", "").split():
            tried.add(item.partition(":")[0])
    return tried - {""}


def _explains(record: dict[str, Any], tried: set[str]) -> bool:
    if record["event"] in ANYWAY:
        return True
    return record["event"] in NEARBY and record.get("endpoint") in tried


def render(found: Trace) -> str:
    """Return a trace as text, one line each, oldest first."""
    if not found.own:
        return "no line names this request"
    start = found.own[-1].at
    rows = ["the request:"]
    rows += [_row(line, start) for line in found.own]
    rows.append("around it, seconds from its end:")
    rows += [_row(line, start) for line in found.around]
    return "\n".join(rows)


def _row(line: Line, start: float) -> str:
    hidden = ("timestamp", "task_uuid", "task_level", "message_type", "event")
    fields = [f"{k}={v}" for k, v in line.record.items() if k not in hidden]
    name = line.record.get("message_type", line.record["event"])
    return f"{line.at - start:+8.3f} {line.source} {name} {' '.join(fields)}"


__all__ = ["Line", "Trace", "parse", "render", "trace"]
