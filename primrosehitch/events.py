"""Numbered events: the catalogue, and ``emit`` to write one.

The log is one JSON object a line, written by eliot. docs/EVENTS.md is
generated from ``CATALOGUE``.
"""

from typing import Any
from typing import IO
from typing import NamedTuple

import eliot


class Event(NamedTuple):
    """One kind of log event.

    Attributes:
        number: stable number, never used again for another event.
        name: short name.
        meaning: what happened.
        action: what an operator does about it.
    """

    number: int
    name: str
    meaning: str
    action: str


NO_ACTION = "None."
STARTED = Event(1001, "started", "The daemon is running.", NO_ACTION)
DRAINING = Event(
    1002, "draining", "A stop was asked for; readiness now fails.", NO_ACTION
)
STOPPED = Event(1003, "stopped", "The daemon ended after a drain.", NO_ACTION)
FROZEN = Event(
    1004,
    "frozen",
    "The process stood still; it refreshes before it serves.",
    "Look for an overloaded or paused VM if it recurs.",
)
SETTINGS_READ = Event(
    1005, "settings-read", "A changed settings file was read.", NO_ACTION
)
SETTINGS_REFUSED = Event(
    1006,
    "settings-refused",
    "A changed settings file is not acceptable; the old ones stay.",
    "Correct the file; the text names the path.",
)
LINK_UP = Event(1101, "link-up", "A link to a peer was opened.", NO_ACTION)
LINK_DOWN = Event(
    1102,
    "link-down",
    "A link to a peer broke or was refused.",
    "Check the peer and the network if it lasts.",
)
LINK_REFUSED = Event(
    1103,
    "link-refused",
    "A peer did not prove that it knows the deployment secret.",
    "Compare `secret` in both settings files.",
)
MEMBER_CHANGED = Event(
    1104,
    "member-changed",
    "An instance became alive, suspect, left or removed.",
    "For suspect or removed: check that VM and its failure domain.",
)
LEADER_CHANGED = Event(
    1201, "leader-changed", "Another replica leads, or none does.", NO_ACTION
)
MEMBERSHIP_CHANGED = Event(
    1202, "membership-changed", "Voters or learners changed.", NO_ACTION
)
REPLICA_FAILED = Event(
    1203,
    "replica-failed",
    "The replica stopped: its log could not be read or written.",
    "Free disk space or replace the disk, then restart. An emptied data"
    " folder rejoins under a new identity.",
)
REPAIRED = Event(
    1204,
    "repaired",
    "All wanted replicas hold all that is committed: one more loss is"
    " survivable.",
    NO_ACTION,
)
VERSION_IN_FORCE = Event(
    1301, "version-in-force", "A configuration version is in force.", NO_ACTION
)
TABLE_REFUSED = Event(
    1303,
    "table-refused",
    "A table of routes is not acceptable; the text names the path.",
    "Correct the table and send it again.",
)
TABLE_UNCERTAIN = Event(
    1304,
    "table-uncertain",
    "A change or read of the table could not be confirmed in time.",
    "Look at events 1201 and 1102 of the control instances.",
)
CONTROL_CHANGED = Event(
    1305,
    "control-changed",
    "An edge takes its table and endpoints from another instance.",
    NO_ACTION,
)
KEY_WITHDRAWN = Event(
    1302, "key-withdrawn", "A withdrawn key stopped working here.", NO_ACTION
)
REQUEST = Event(1401, "request", "A caller's request ended.", NO_ACTION)
REQUEST_REFUSED = Event(
    1402,
    "request-refused",
    "A caller's request got an answer of our own.",
    "See the reason in docs/INTERFACES.md.",
)
FORWARDED = Event(
    1411,
    "forwarded",
    "A request on a route ended: outcome, endpoints tried, times.",
    "For `no-answer` and `broken-off` look for 1511 with the same id.",
)
FORWARD_REFUSED = Event(
    1412,
    "forward-refused",
    "A request on a route was refused and was never sent.",
    "See the reason in docs/OPERATIONS.md.",
)
ENDPOINT_CHANGED = Event(
    1501,
    "endpoint-changed",
    "An endpoint came, is leaving or went.",
    NO_ACTION,
)
ENDPOINT_ASIDE = Event(
    1502,
    "endpoint-aside",
    "An endpoint failed repeatedly and gets no work until a probe passes.",
    "Look at that endpoint if it stays aside.",
)
ENDPOINT_FAILED = Event(
    1511,
    "endpoint-failed",
    "An exchange with an endpoint failed.",
    "Look at that endpoint if it recurs.",
)
CALL_REFUSED = Event(
    1512,
    "call-refused",
    "A call of an endpoint or an operator could not be read.",
    "Look at the sender; the text says what is wrong.",
)
ORDER_SENT = Event(1601, "order-sent", "The platform got an order.", NO_ACTION)
ORDER_FAILED = Event(
    1602,
    "order-failed",
    "The platform did not accept an order; it is sent again.",
    "Check the platform's interface if it lasts.",
)
API_FAILED = Event(
    1603,
    "api-failed",
    "A call to the platform's API failed or was answered otherwise.",
    "Check the platform's interface if it lasts.",
)
WINDOW_CLOSED = Event(
    1701, "window-closed", "A usage window's figures are fixed.", NO_ACTION
)
WINDOW_REPORTED = Event(
    1702, "window-reported", "A usage window was reported.", NO_ACTION
)
REPORT_FAILED = Event(
    1703,
    "report-failed",
    "The usage interface did not accept a report; it is sent again.",
    "Check the usage interface if it lasts.",
)
LINES_DROPPED = Event(
    1902,
    "lines-dropped",
    "Log lines were dropped to keep the volume bounded.",
    NO_ACTION,
)
TASK_FAILED = Event(
    1901,
    "task-failed",
    "A part of the daemon failed and was restarted or stopped.",
    "Report it with the text of the error.",
)

CATALOGUE = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


def emit(event: Event, **fields: Any) -> None:
    """Write one event with its fields.

    Args:
        event: an event of the catalogue.
        fields: values that JSON can carry; never a key or a token.
    """
    eliot.log_message(message_type=event.name, event=event.number, **fields)


def open_log(stream: IO[Any]) -> None:
    """Write all further events to a stream, one JSON object a line."""
    eliot.to_file(stream)


__all__ = ["CATALOGUE", "Event", "emit", "open_log"]
