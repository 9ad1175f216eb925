"""The catalogue of numbered log events, and ``emit`` to write one.

The log holds one JSON object per line, written by eliot.
``tools/generate_events.py`` generates docs/EVENTS.md from ``CATALOGUE``.
The numbers and names are stable, since operators' tools match them.
"""

from typing import Any
from typing import IO
from typing import NamedTuple

import eliot


class Event(NamedTuple):
    """One kind of log event.

    Attributes:
        number: stable number, never reused for another event.
        name: short name, written as the message type.
        meaning: what happened.
        action: what an operator should do about it.
    """

    number: int
    name: str
    meaning: str
    action: str


NO_ACTION = "None."
STARTED = Event(1001, "started", "The daemon is running.", NO_ACTION)
DRAINING = Event(
    1002,
    "draining",
    "The daemon was asked to stop; its readiness check now fails.",
    NO_ACTION,
)
STOPPED = Event(
    1003,
    "stopped",
    "The daemon stopped after draining its requests.",
    NO_ACTION,
)
FROZEN = Event(
    1004,
    "frozen",
    "The process was suspended; it refreshes its state before it serves"
    " requests again.",
    "If it recurs, check whether the VM is overloaded or paused.",
)
SETTINGS_READ = Event(
    1005,
    "settings-read",
    "A changed settings file was read and is valid. Its seeds are used from"
    " now on; the rest takes effect at the next start.",
    NO_ACTION,
)
SETTINGS_REFUSED = Event(
    1006,
    "settings-refused",
    "A changed settings file is not valid; the previous settings stay in use.",
    "Correct the file; the error text names the invalid path.",
)
LINK_UP = Event(1101, "link-up", "A link to a peer was opened.", NO_ACTION)
LINK_DOWN = Event(
    1102,
    "link-down",
    "A link to a peer was lost or could not be opened; `unsent_bytes` were"
    " waiting for it.",
    "If it persists, check the peer and the network.",
)
LINK_REFUSED = Event(
    1103,
    "link-refused",
    "A peer failed to authenticate with the deployment secret.",
    "Check that `secret` is the same in both settings files.",
)
MEMBER_CHANGED = Event(
    1104,
    "member-changed",
    "The state of an instance changed to alive, suspect, left or removed.",
    "If it is suspect or removed, check its VM and failure domain.",
)
MESSAGE_DROPPED = Event(
    1105,
    "message-dropped",
    "A message to other instances holds a value that no message can carry;"
    " it was not sent.",
    "Report it as a bug, with the error text.",
)
LEADER_CHANGED = Event(
    1201,
    "leader-changed",
    "Another replica became leader, or there is no leader; `why` is set at"
    " a replica that led until then.",
    NO_ACTION,
)
MEMBERSHIP_CHANGED = Event(
    1202,
    "membership-changed",
    "The set of voters or learners changed.",
    NO_ACTION,
)
REPLICA_FAILED = Event(
    1203,
    "replica-failed",
    "The replica stopped because its log could not be read or written.",
    "Free disk space or replace the disk, then restart the instance. With"
    " an empty data folder, it rejoins under a new identity.",
)
REPAIRED = Event(
    1204,
    "repaired",
    "The configured number of replicas hold all committed entries: the"
    " loss of one more replica can be tolerated.",
    NO_ACTION,
)
REPLICA_BEHIND = Event(
    1205,
    "replica-behind",
    "This replica hears its leader, but has not applied what the leader has"
    " committed for a while; what it tells edges may be out of date.",
    "If it persists, check the replica's disk and its link to the leader.",
)
VERSION_IN_FORCE = Event(
    1301,
    "version-in-force",
    "A configuration version came into force on this instance; at an edge"
    " `after_ms` is how long ago a control instance with a quorum had"
    " announced it, -1 if none had.",
    NO_ACTION,
)
TABLE_REFUSED = Event(
    1303,
    "table-refused",
    "A route table was rejected because it is not valid; the error text"
    " names the invalid path.",
    "Correct the route table and send it again.",
)
TABLE_UNCERTAIN = Event(
    1304,
    "table-uncertain",
    "A write or read of the route table was not confirmed in time.",
    "Check events 1201 and 1102 of the control instances.",
)
CONTROL_CHANGED = Event(
    1305,
    "control-changed",
    "An edge now gets its route table and endpoints from another control"
    " instance.",
    NO_ACTION,
)
CONTROL_LOST = Event(
    1306,
    "control-lost",
    "No control instance with a quorum has confirmed this edge's route table"
    " for a while; `known` lists the control instances that it knows.",
    "Check which of them run; if none does, check the seeds in the edge's"
    " settings.",
)
CONTROL_REGAINED = Event(
    1307,
    "control-regained",
    "A control instance with a quorum confirms this edge's route table again.",
    NO_ACTION,
)
TABLE_LATE = Event(
    1308,
    "table-late",
    "A control instance with a quorum announced a newer route table"
    " `after_ms` ago, and it is not in force on this edge yet.",
    "Check 1102 of `control`, and `primrosehitch_link_queued_bytes` there.",
)
KEY_WITHDRAWN = Event(
    1302,
    "key-withdrawn",
    "A withdrawn key is no longer accepted by this instance.",
    NO_ACTION,
)
REQUEST = Event(1401, "request", "A caller's request finished.", NO_ACTION)
REQUEST_REFUSED = Event(
    1402,
    "request-refused",
    "A caller's request was answered by the gateway itself, not by an"
    " endpoint.",
    "Look up the reason in docs/INTERFACES.md.",
)
FORWARDED = Event(
    1411,
    "forwarded",
    "A request on a route finished; the fields give its outcome, the"
    " endpoints tried and the times, and which stream it resumes after"
    " which event.",
    "For `no-answer` and `broken-off`, look for event 1511 with the same"
    " request id.",
)
FORWARD_REFUSED = Event(
    1412,
    "forward-refused",
    "A request on a route was rejected without being sent to an endpoint.",
    "Look up the reason in docs/OPERATIONS.md.",
)
NO_ENDPOINT = Event(
    1413,
    "no-endpoint",
    "No endpoint could take a request; the fields count the endpoints of"
    " the service by what ruled them out.",
    "If it persists, look for 1501 of the service's endpoints.",
)
LOAD_MALFORMED = Event(
    1421,
    "load-malformed",
    "An endpoint's answer states its load in a form that is not known; it"
    " changes nothing. `left_out` counts the like since the last line.",
    "Report it to the owners of the endpoint's software.",
)
OVERLOAD_REFUSED = Event(
    1422,
    "overload-refused",
    "A request was refused as not run, since its first event was predicted"
    " too late; `taken` gives the part of all places that the demand of each"
    " tier takes, as tier:part, and `share` the requests that the customer"
    " got of the tier at this edge lately, and how many are its share.",
    "If it recurs, the service needs more endpoints; see docs/OPERATIONS.md.",
)
SCARCITY_BEGAN = Event(
    1423,
    "scarcity-began",
    "More requests wait at a service's endpoints than places are free;"
    " requests that would be late are refused from now on.",
    "If it lasts, look at 1601 and 1602 at the leader.",
)
SCARCITY_ENDED = Event(
    1424,
    "scarcity-ended",
    "There is room again at a service's endpoints; `since_ms` says how long"
    " there was none.",
    NO_ACTION,
)
HEDGE_SENT = Event(
    1431,
    "hedge-sent",
    "The first attempt of a request was slow, and a second one was sent to"
    " another endpoint; `after_ms` is how long the first one had taken.",
    NO_ACTION,
)
HEDGE_ENDED = Event(
    1432,
    "hedge-ended",
    "A request with a second attempt has its answer, or both attempts"
    " failed; `winner` is the endpoint that answered, empty if none did.",
    NO_ACTION,
)
HEDGE_DENIED = Event(
    1433,
    "hedge-denied",
    "No second attempt was sent for slow requests; `count` says how many"
    " there were for this reason since its last line, at most one line in"
    " 10 s.",
    "Look up the reason in docs/OPERATIONS.md.",
)
ENDPOINT_CHANGED = Event(
    1501,
    "endpoint-changed",
    "An endpoint joined, is draining or left; `cause` says how this"
    " instance learned of it, `version` which software it runs.",
    NO_ACTION,
)
ENDPOINT_ASIDE = Event(
    1502,
    "endpoint-aside",
    "An endpoint failed repeatedly; it gets no requests until a probe"
    " succeeds.",
    "If it stays ejected, check the endpoint.",
)
CUT_OFF = Event(
    1503,
    "cut-off",
    "This edge reaches no endpoint of a service: several failed and none was"
    " heard since. Its requests go to other edges.",
    "Check the network between this edge and the endpoints that 1511 names.",
)
CUT_ENDED = Event(
    1504,
    "cut-ended",
    "This edge reaches endpoints of a service again.",
    NO_ACTION,
)
PROBE_FAILED = Event(
    1505,
    "probe-failed",
    "This edge is cut off from a service, and could not open a connection to"
    " one of its endpoints either.",
    "See 1503.",
)
HELPED = Event(
    1414,
    "helped",
    "A request was sent to another edge, as this one reaches no endpoint.",
    NO_ACTION,
)
HELPER_FAILED = Event(
    1415,
    "helper-failed",
    "Another edge did not serve a request that was sent to it.",
    "Look for the request's id in the logs of that edge.",
)
ENDPOINT_FAILED = Event(
    1511,
    "endpoint-failed",
    "A request to an endpoint failed; the fields say which prompt parts it"
    " shares, by which fingerprint its repeats are known, how long ago it"
    " was sent and its answer began, and what this edge had under way there.",
    "If it recurs, check the endpoint.",
)
CALL_REFUSED = Event(
    1512,
    "call-refused",
    "A call from an endpoint or an operator was rejected as invalid.",
    "Check the sender; the error text says what is wrong.",
)
EVACUATION_STARTED = Event(
    1311,
    "evacuation-started",
    "The evacuation of a failure domain is in force on this instance: edges"
    " send no request to the endpoints of the domain.",
    "None; it lasts until an operator ends it.",
)
EVACUATION_ENDED = Event(
    1312,
    "evacuation-ended",
    "The evacuation of a failure domain has ended on this instance.",
    NO_ACTION,
)
EVACUATION_CONFIRMED = Event(
    1313,
    "evacuation-confirmed",
    "An order to start or end an evacuation was confirmed by a quorum and"
    " acknowledged to the operator.",
    NO_ACTION,
)
EVACUATION_UNCERTAIN = Event(
    1314,
    "evacuation-uncertain",
    "An order to start or end an evacuation was not confirmed in time; it may"
    " still come into force.",
    "Send the order again, to another control instance. If that fails as"
    " well, check events 1201 and 1102 of the control instances.",
)
EVACUATION_REFUSED = Event(
    1315,
    "evacuation-refused",
    "A further failure domain cannot be evacuated, since too many are.",
    "End evacuations that are not needed any more.",
)
TABLE_HELD = Event(
    1316,
    "table-held",
    "An edge that has just started got its first route table from a control"
    " instance without a quorum. It serves once another one has confirmed"
    " which failure domains are evacuated, or after a short time.",
    "If it recurs, check events 1201 of the control instances.",
)
LIMIT_IN_FORCE = Event(
    1514,
    "limit-in-force",
    "An endpoint named the requests a second that it takes from all edges"
    " together, or another number than before.",
    "If it persists, check the endpoint, and whether the service needs more"
    " endpoints.",
)
LIMIT_ENDED = Event(
    1515,
    "limit-ended",
    "An endpoint no longer names a limit; `sent` counts this edge's"
    " requests to it since the limit was in force.",
    NO_ACTION,
)
LIMIT_MALFORMED = Event(
    1516,
    "limit-malformed",
    "An endpoint's answer names a limit that is no positive decimal number;"
    " it changes nothing.",
    "Report it to the owners of the endpoint's software.",
)
PART_QUARANTINED = Event(
    1521,
    "part-quarantined",
    "Endpoints crashed under requests that share a prompt part, or under"
    " repeats of one request (`part` is then its fingerprint, request/...);"
    " such requests are refused.",
    "Look for 1511 of the endpoints named; report the content to the owners"
    " of the endpoints' software.",
)
PART_RELEASED = Event(
    1522,
    "part-released",
    "A prompt part or a request is no longer quarantined: its time is over,"
    " or an endpoint answered it.",
    NO_ACTION,
)
VERDICT_UNRECORDED = Event(
    1523,
    "verdict-unrecorded",
    "The quarantine or release of a prompt part was not confirmed by a"
    " quorum in time; it is in force, and proposed again.",
    "Check events 1201 and 1102 of the control instances.",
)
COLD_BEGAN = Event(
    1531,
    "cold-began",
    "An endpoint counts as cold and gets requests only with permits; `cause`"
    " is its heartbeat (`reported`, for `left_ms`), or why its process may"
    " have started again since the last one.",
    "If it recurs without `reported`, look for 1511 of the endpoint.",
)
COLD_ENDED = Event(
    1532,
    "cold-ended",
    "An endpoint no longer counts as cold; `sent` counts this edge's requests"
    " to it meanwhile.",
    NO_ACTION,
)
COLD_MALFORMED = Event(
    1533,
    "cold-malformed",
    "A heartbeat's time for which the endpoint stays cold is negative; it is"
    " taken for a heartbeat that does not say.",
    "Report it to the owners of the endpoint's software.",
)
COLD_UNSERVED = Event(
    1534,
    "cold-unserved",
    "The bound on requests to a cold endpoint of a service is below one a"
    " second, so that its cold endpoints get none.",
    "Check `cold_per_s` of the service, and `cold_excess` and `cold_slack` in"
    " the settings.",
)
NUMBERING_CHANGED = Event(
    1541,
    "numbering-changed",
    "An edge takes the endpoints of a service to number the events of streams"
    " one by one (`dense`), to leave identifiers out (`sparse`), or neither.",
    "If it changes to and fro, endpoints of the service lose events; look for"
    " 1511 with identifiers.",
)
ORDER_SENT = Event(
    1601, "order-sent", "An order was sent to the platform.", NO_ACTION
)
ORDER_FAILED = Event(
    1602,
    "order-failed",
    "The platform did not accept an order; the order is sent again.",
    "If it persists, check the platform's interface.",
)
API_FAILED = Event(
    1603,
    "api-failed",
    "A call to the platform's API failed or returned an unexpected status.",
    "If it persists, check the platform's interface.",
)
WINDOW_CLOSED = Event(
    1701,
    "window-closed",
    "A usage window was closed; its figures no longer change.",
    NO_ACTION,
)
WINDOW_REPORTED = Event(
    1702,
    "window-reported",
    "A usage window was reported to the usage interface.",
    NO_ACTION,
)
REPORT_FAILED = Event(
    1703,
    "report-failed",
    "The usage interface did not accept a report; the report is sent again.",
    "If it persists, check the usage interface.",
)
LINES_DROPPED = Event(
    1902,
    "lines-dropped",
    "Log lines were dropped to bound the log volume.",
    NO_ACTION,
)
TASK_FAILED = Event(
    1901,
    "task-failed",
    "A task of the daemon failed and was restarted or stopped.",
    "Report it as a bug, with the error text.",
)
DRAIN_ENDING = Event(
    1007,
    "drain-ending",
    "The drain ends: no connection is accepted and no request is taken"
    " from now on; requests still under way are ended.",
    "If it reports requests, check what kept them until the grace's end.",
)

ADDRESS_IN_USE = Event(
    1008,
    "address-in-use",
    "An address to listen on is in use; it is tried again for some seconds.",
    "If the process ends, look which other process listens there.",
)
ACCEPT_FAILED = Event(
    1009,
    "accept-failed",
    "A connection could not be accepted, mostly since the process has no"
    " descriptor left; it is tried again.",
    "Raise the limit on descriptors, or look who opens connections.",
)
CONNECTION_REFUSED = Event(
    1010,
    "connection-refused",
    "A peer's connection was closed since too few descriptors are left, or"
    " since too many peers have not proved who they are.",
    "Raise the limit on descriptors, or look who opens connections.",
)

UNREAD_CLOSED = Event(
    1711,
    "unread-closed",
    "Connections ended whose callers had read nothing of a response for"
    " `unread_timeout_s`, or that broke off with a response unread.",
    "If it recurs, look which callers do not read their responses.",
)
MEMORY_CLOSED = Event(
    1712,
    "memory-closed",
    "Connections were closed since all connections together held more than"
    " their share of the memory.",
    "Look who sends many large requests or does not read responses; raise"
    " `memory_mb` if the VM has more memory.",
)
BODY_REFUSED = Event(
    1713,
    "body-refused",
    "A request was refused with 413, since its body is larger than allowed;"
    " `left_out` such lines before it were left out.",
    "Look who sends it. `calls` in the settings bounds calls to control"
    " instances, the table's `max_body_bytes` requests to edges.",
)

CATALOGUE = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


def emit(event: Event, **fields: Any) -> None:
    """Write one event to the log.

    Args:
        event: an event of the catalogue.
        fields: JSON-serializable values; they must never contain a key or
            a token.
    """
    eliot.log_message(message_type=event.name, event=event.number, **fields)


def open_log(stream: IO[Any]) -> None:
    """Write all further events to a stream, one JSON object per line."""
    eliot.to_file(stream)


__all__ = ["CATALOGUE", "Event", "emit", "open_log"]
