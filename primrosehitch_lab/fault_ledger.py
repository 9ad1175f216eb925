"""What callers, endpoints and operators saw in a fault soak, and whether
the promises held.

Pure. Times are in seconds since the soak began.
"""

import re
from typing import NamedTuple

from primrosehitch_lab import platform_caller

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# Promises with a bound in time hold for processes that were left alone,
# as were all control instances, for this long.
CONTACT_S = 3.0
# An acknowledged table is in force within this time.
CONFIG_S = 2.0
# A final answer comes within the route's time-out and this.
ANSWER_SLACK_S = 0.5
STREAM_EVENTS = 8
# A limited endpoint gets at most this in a window, and so many more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5
# The request that crashes endpoints; after FREE_CRASHES of them and the time
# for contact it reaches at most MAX_LATE_SENDS more.
CRASH_PATH = "/a/crash"
FREE_CRASHES = 3
MAX_LATE_SENDS = 3


_VERSION_AT_END = re.compile(rb" v\d$")
_EVENT_VERSION = re.compile(rb"data: \S+ (v\d)$", re.MULTILINE)


class Fault(NamedTuple):
    """Something that was done to a process, an endpoint or its path.

    Attributes:
        planned: whether it is work that must cut nothing.
    """

    kind: str
    target: str
    begin: float
    end: float
    planned: bool


class Try(NamedTuple):
    """One request of a caller.

    Attributes:
        status: of the answer, 0 where the connection ended before it.
        whole: whether the answer was complete.
        timeout_s: the route's.
        stream: the attempt that began the stream which it resumes, or its
            own identifier.
        events_before: events of that stream that the caller had.
    """

    identifier: str
    path: str
    edge: str
    begin: float
    end: float
    status: int
    body: bytes
    whole: bool
    timeout_s: float
    stream: str = ""
    events_before: int = 0


class Run(NamedTuple):
    """A request that an endpoint began to work on."""

    identifier: str
    path: str
    endpoint: str
    at: float


class Ledger:
    """All that was seen.

    Attributes:
        acknowledged: (version, time of the acknowledgement).
        findings: promises broken so far.
        limited_since: since when endpoints of a slot name a limit, by the
            slot's name.
        limit_per_s: the limit that they name.
        crash_edges: where each crashing request was sent, by identifier.
    """

    def __init__(self) -> None:
        self.tries: list[Try] = []
        self.runs: dict[str, list[Run]] = {}
        self.faults: list[Fault] = []
        self.acknowledged: list[tuple[int, float]] = []
        self.in_force: dict[tuple[str, int], int] = {}
        self.findings: list[str] = []
        self.limited_since: dict[str, float] = {}
        self.limit_per_s = 1
        self.crash_edges: dict[str, str] = {}

    # -- while it runs -----------------------------------------------------

    def note_run(self, run: Run) -> None:
        """Take in that an endpoint began to work."""
        runs = self.runs.setdefault(run.identifier, [])
        runs.append(run)
        if len(runs) > 1 and run.path.startswith("/once/"):
            self._find(f"{run.identifier} ran twice, at {run.at:.3f}")

    def has_run_at(self, endpoint: str, since: float) -> bool:
        """Return whether an endpoint began to work since a time."""
        return any(
            run.endpoint == endpoint and run.at >= since
            for runs in self.runs.values()
            for run in runs
        )

    def newest(self, at: float) -> int:
        """Return the highest version acknowledged by a time, or 0."""
        return max(
            (v for v, when in self.acknowledged if when <= at), default=0
        )

    def note_read(self, version: int, sent: float, by: str) -> None:
        """Take in a version that a control instance answered with."""
        newest = self.newest(sent)
        if version < newest:
            self._find(f"{by} read {version} at {sent:.3f}, not {newest}")

    def note_probe(
        self, edge: str, start: int, version: int, known: bool, sent: float
    ) -> None:
        """Take in whether an edge obeys a version.

        Args:
            edge: its name.
            start: number of its start.
            version: the version asked for.
            known: whether it was in force.
            sent: when it was asked.
        """
        seen = self.in_force.get((edge, start), 0)
        if known:
            self.in_force[edge, start] = max(seen, version)
        elif version <= seen:
            self._find(f"{edge} went back from {seen} at {sent:.3f}")
        elif self._is_due(edge, version, sent):
            self._find(f"{edge} was behind {version} at {sent:.3f}")

    def _is_due(self, edge: str, version: int, sent: float) -> bool:
        due = version <= self.newest(sent - CONFIG_S)
        return due and not self.disturbed(edge, sent - CONTACT_S, sent, False)

    def disturbed(
        self, edge: str, begin: float, end: float, pass_planned: bool
    ) -> bool:
        """Return whether a fault touched an edge or what it talks to.

        Args:
            edge: its name.
            begin: first moment that counts.
            end: last one.
            pass_planned: whether planned work at the edge is passed over.
        """
        for fault in self.faults:
            if fault.end < begin or fault.begin > end:
                continue
            if fault.planned and pass_planned:
                continue
            if fault.target == edge or not fault.target.startswith("edge"):
                return True
        return False

    def _find(self, text: str) -> None:
        self.findings.append(text)

    # -- at the end --------------------------------------------------------

    def close(self) -> list[str]:
        """Return all promises that were broken."""
        for item in self.tries:
            self._check_promise(item)
            self._check_answer(item)
            self._check_stream(item)
            self._check_cut(item)
        for slot, since in self.limited_since.items():
            self._check_limit(slot, since)
        self._check_crashes()
        self._check_versions()
        return self.findings

    def _check_limit(self, slot: str, since: float) -> None:
        """An endpoint's limit holds for the sum over the edges.

        Edges that were stopped, paused or killed meanwhile do not count.
        """
        edges = {item.identifier: item.edge for item in self.tries}
        by_endpoint: dict[str, list[float]] = {}
        for run in (r for runs in self.runs.values() for r in runs):
            edge = edges.get(run.identifier)
            is_limited = run.endpoint.rpartition("-")[0] == slot
            if edge and is_limited and not self._touched(edge, since, run.at):
                by_endpoint.setdefault(run.endpoint, []).append(run.at)
        for endpoint, arrivals in by_endpoint.items():
            # Each start of an endpoint names its limit anew.
            counted_from = max(since, min(arrivals)) + CONTACT_S
            late = sorted(at for at in arrivals if at >= counted_from)
            most = LIMIT_FACTOR * LIMIT_WINDOW_S * self.limit_per_s
            for at in late:
                count = sum(at <= x < at + LIMIT_WINDOW_S for x in late)
                if count > most + LIMIT_EXCESS:
                    self._find(f"{endpoint} got {count} at {at:.3f}")
                    break

    def _touched(self, edge: str, begin: float, end: float) -> bool:
        """Return whether a fault touched an edge itself in a time."""
        return any(
            fault.target == edge and fault.begin <= end and fault.end >= begin
            for fault in self.faults
        )

    def _check_crashes(self) -> None:
        """A crashing request that comes again is kept from endpoints."""
        sends = sorted(
            (run.at, self.crash_edges[run.identifier])
            for runs in self.runs.values()
            for run in runs
            if run.identifier in self.crash_edges
        )
        if len(sends) < FREE_CRASHES:
            return
        third = sends[FREE_CRASHES - 1][0]
        late = [
            at
            for at, edge in sends
            if at > third + CONTACT_S
            and not self._out_of_touch(edge, at - CONTACT_S, at)
        ]
        if len(late) > MAX_LATE_SENDS:
            self._find(f"a crashing request was sent {len(late)} times more")

    def _out_of_touch(self, edge: str, begin: float, end: float) -> bool:
        """Return whether a fault touched an edge or a control instance."""
        return self._touched(edge, begin, end) or any(
            fault.target.startswith("control")
            and fault.begin <= end
            and fault.end >= begin
            for fault in self.faults
        )

    def _check_promise(self, item: Try) -> None:
        once = item.path.startswith("/once/")
        if once and item.status in NOT_RUN and item.identifier in self.runs:
            self._find(
                f"{item.identifier} ran, yet was answered {item.status}"
            )

    def _check_answer(self, item: Try) -> None:
        good = item.status == 200 and item.whole
        plain = not item.path.startswith("/resume/")
        if good and plain and item.body != item.identifier.encode():
            self._find(f"{item.identifier} got another answer")
        took = item.end - item.begin
        if took > item.timeout_s + ANSWER_SLACK_S and not self.disturbed(
            item.edge, item.begin - CONTACT_S, item.end, False
        ):
            self._find(f"{item.identifier} was answered after {took:.2f} s")

    def _check_stream(self, item: Try) -> None:
        if not item.path.startswith("/resume/") or item.status != 200:
            return
        *blocks, rest = item.body.split(b"\n\n")
        events = [_VERSION_AT_END.sub(b"", block) for block in blocks]
        wanted = [
            b"id: %d\ndata: %s" % (n, item.identifier.encode())
            for n in range(item.events_before + 1, STREAM_EVENTS + 1)
        ]
        # A connection may end inside an event, an answer may not.
        is_short = item.whole and (rest or len(events) < len(wanted))
        if is_short or events != wanted[: len(events)]:
            self._find(f"{item.identifier} got {len(events)} events, torn")

    def _check_versions(self) -> None:
        """A stream holds events of one software version of endpoints."""
        versions: dict[str, set[bytes]] = {}
        for item in self.tries:
            if item.path.startswith("/resume/") and item.status == 200:
                found = versions.setdefault(item.stream, set())
                found.update(_EVENT_VERSION.findall(item.body))
        for stream, found in versions.items():
            if len(found) > 1:
                self._find(f"{stream} was joined from {sorted(found)}")

    def _check_cut(self, item: Try) -> None:
        """Nothing is cut while only planned work goes on.

        An answer that has begun may end at the caller's deadline.
        """
        cut = not item.status or not item.whole
        passed_on = item.identifier in self.runs
        took = item.end - item.begin
        if item.status and took >= platform_caller.DEADLINE_MS / 1000:
            return
        if (
            cut
            and passed_on
            and not self.disturbed(
                item.edge, item.begin - CONTACT_S, item.end, True
            )
        ):
            self._find(f"{item.identifier} was cut by {item.edge}")


__all__ = ["Fault", "Ledger", "Run", "STREAM_EVENTS", "Try"]
