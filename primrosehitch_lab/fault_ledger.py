"""What callers, endpoints and operators saw in a fault soak, and whether
the promises held.

Pure. Times are in seconds since the soak began.
"""

from typing import NamedTuple

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
    """

    def __init__(self) -> None:
        self.tries: list[Try] = []
        self.runs: dict[str, list[Run]] = {}
        self.faults: list[Fault] = []
        self.acknowledged: list[tuple[int, float]] = []
        self.in_force: dict[tuple[str, int], int] = {}
        self.findings: list[str] = []

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
        return self.findings

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
        events = [e for e in item.body.split(b"\n\n") if b"\ndata: " in e]
        wanted = [
            b"id: %d\ndata: %s" % (n, item.identifier.encode())
            for n in range(1, STREAM_EVENTS + 1)
        ]
        count = len(wanted) if item.whole else min(len(events), len(wanted))
        if not item.whole and events and events[-1] != wanted[count - 1]:
            # The connection ended inside the last event.
            events, count = events[:-1], count - 1
        if events != wanted[:count]:
            self._find(f"{item.identifier} got {len(events)} events, torn")

    def _check_cut(self, item: Try) -> None:
        """Nothing is cut while only planned work goes on."""
        cut = not item.status or not item.whole
        passed_on = item.identifier in self.runs
        if (
            cut
            and passed_on
            and not self.disturbed(
                item.edge, item.begin - CONTACT_S, item.end, True
            )
        ):
            self._find(f"{item.identifier} was cut by {item.edge}")


__all__ = ["Fault", "Ledger", "Run", "STREAM_EVENTS", "Try"]
