"""Endpoints that are cold, or presumed cold, as one edge knows them.

Does no I/O. An endpoint is cold while its heartbeats say so; the edge counts
the time down by itself. It is presumed cold if its process may have started
again since its last heartbeat: until a later heartbeat says otherwise, until
it has answered for as long as an endpoint stays cold, or, if the edge gets
neither heartbeats nor permits, for that time and a margin. Only services
with a policy are concerned.

Two clocks are used: true time in ms, by which heartbeats and evidence are
ordered across processes, and the local monotonic clock in ms (``now``).
"""

from typing import Callable
from typing import Mapping
from typing import NamedTuple

from primrosehitch import events
from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch import registry
from primrosehitch.endpoint import Incarnation

# Why an endpoint counts as cold, for the log.
REPORTED = "reported"
NEW = "new"
SILENT = "silent"
REFUSED = "refused"
RESET = "reset"
EJECTED = "ejected"
EVACUATED = "evacuated"
TOLD = "told"

# Evidence is batched for this long before it is sent.
EVIDENCE_DELAY_S = 0.01
# An edge repeats evidence on an endpoint no sooner than this.
EVIDENCE_PERIOD_MS = 500
# A heartbeat counts as later than evidence if it is later by this much:
# clocks differ, and one may have been under way when the process ended.
HEARD_MARGIN_MS = 300
# When a process ends, all of its connections break within this time. A
# single broken connection is no evidence.
RESET_WINDOW_MS = 100
# A process that sent bytes to this edge within this time has not started
# again since.
MIN_RESTART_MS = 1000
# A presumed-cold endpoint is presumed so for this much longer than an
# endpoint stays cold, as it may not have started yet when the evidence came.
PRESUMED_MARGIN_MS = 3000
# For this long after a permit arrived, the edge gets permits and so answers,
# which tell when the endpoint is warm.
GRANT_TTL_MS = 2000
# An edge that has just started gets to know endpoints that run already.
FIRST_VIEW_MS = 5000
# Control instances remember evidence for this long, for edges that join.
EVIDENCE_TTL_MS = 5000
MAX_EVIDENCE = 2000

Evidence = gathering.UpdateBatcher[Incarnation, messages.EndpointLimit]


def make_evidence() -> Evidence:
    """Return a batcher of evidence, keyed by incarnation."""
    return gathering.UpdateBatcher(EVIDENCE_DELAY_S)


class ColdPolicy(NamedTuple):
    """How cold endpoints of a service are treated.

    Attributes:
        start_ms: how long an endpoint is cold after a start, 0 for none.
        milli_per_s: permits that are issued for a cold endpoint, in
            thousandths a second; 0 if it gets no request.
    """

    start_ms: int
    milli_per_s: int


class Presumption(NamedTuple):
    """Why an endpoint is presumed cold, and since when.

    Attributes:
        cause: the kind of evidence.
        since_ms: time of the evidence, as true time.
        found_at: when this edge found it or was told, in ms.
    """

    cause: str
    since_ms: int
    found_at: int


class ColdState:
    """What an edge knows of the coldness of one incarnation.

    Attributes:
        service: the endpoint's service.
        sequence: number of its newest heartbeat that arrived here.
        heard_ms: when a control instance received that one, as true time.
        reports: whether that heartbeat said how long the endpoint is cold.
        is_silent: whether a control instance took it for silent since then.
        cold_until: until when it is cold by its heartbeats, in ms.
        presumption: why it is presumed cold, or None.
        answered_at: when it first answered since it is presumed cold, in
            ms, or -1.
        granted_at: when a permit for it last arrived, in ms.
        broken_at: when a connection to it last broke, in ms.
        told_at: when this edge last told of evidence, in ms.
        logged_at: since when the log says that it is cold, in ms, or -1.
        sent: this edge's requests to it while it counts as cold.
    """

    def __init__(self, service: str):
        self.service = service
        self.sequence = -1
        self.heard_ms = 0
        self.reports = False
        self.is_silent = False
        self.cold_until = 0
        self.presumption: Presumption | None = None
        self.answered_at = -1
        self.granted_at = -GRANT_TTL_MS
        self.broken_at = -RESET_WINDOW_MS - 1
        self.told_at = -EVIDENCE_PERIOD_MS
        self.logged_at = -1
        self.sent = 0

    def presume(self, presumption: Presumption) -> None:
        """Presume it cold from now on."""
        self.presumption = presumption
        self.answered_at = -1

    def is_refuted(self, since_ms: int) -> bool:
        """Return whether its last heartbeat is later than evidence."""
        return self.reports and self.heard_ms >= since_ms + HEARD_MARGIN_MS

    def is_cold(self, policy: ColdPolicy, now: int) -> bool:
        """Return whether it is cold or presumed cold."""
        if now < self.cold_until:
            return True
        if self.presumption is None:
            return False
        if self._is_over(policy, now):
            self.presumption = None
            return False
        return True

    def _is_over(self, policy: ColdPolicy, now: int) -> bool:
        """Return whether it need not be presumed cold any longer."""
        assert self.presumption is not None
        if not policy.start_ms:
            return True
        most_ms = policy.start_ms + PRESUMED_MARGIN_MS
        if 0 <= self.answered_at <= now - most_ms:
            return True
        if now - self.presumption.found_at < most_ms:
            return False
        return now - self.granted_at >= GRANT_TTL_MS


class ColdStarts:
    """The endpoints of one edge that are cold or presumed cold.

    Attributes:
        policies: how cold endpoints are treated, by service.
        states: what is known of each endpoint, by incarnation.
        evidence: what this edge found, for the other edges.
        first_heard_at: when the first heartbeat arrived, in ms, or -1.
        wall_ms_at: returns the true time at a time of the local clock.
    """

    def __init__(self) -> None:
        self.policies: dict[str, ColdPolicy] = {}
        self.states: dict[Incarnation, ColdState] = {}
        self.evidence: Evidence = make_evidence()
        self.first_heard_at = -1
        self.wall_ms_at: Callable[[int], int] = lambda now: now

    def set_policies(self, policies: Mapping[str, ColdPolicy]) -> None:
        """Set the services whose cold endpoints are limited."""
        self.policies = dict(policies)

    def is_cold(self, incarnation: Incarnation, now: int) -> bool:
        """Return whether an endpoint is cold or presumed cold."""
        # Each choice asks this of all endpoints.
        if not self.policies:
            return False
        state = self.states.get(incarnation)
        if state is None:
            return False
        policy = self.policies.get(state.service)
        return policy is not None and state.is_cold(policy, now)

    def _policy(self, incarnation: Incarnation) -> ColdPolicy | None:
        """Return the policy of a known endpoint, if its service has one."""
        state = self.states.get(incarnation)
        return self.policies.get(state.service) if state else None

    def record_heartbeat(
        self, record: messages.EndpointRecord, now: int
    ) -> None:
        """Record what an endpoint's heartbeat says, unless it is known."""
        if self.first_heard_at < 0:
            self.first_heard_at = now
        incarnation = Incarnation(record.id, record.born)
        known = self.states.get(incarnation)
        if known is not None and record.sequence <= known.sequence:
            known.is_silent |= record.state == registry.SILENT
            return
        state = known or ColdState(record.service)
        self.states[incarnation] = state
        was_silent, state.is_silent = state.is_silent, False
        state.service = record.service
        state.sequence = record.sequence
        state.heard_ms = record.heard_ms
        state.reports = record.reports_cold
        if record.reports_cold:
            state.cold_until = now + record.cold_left_ms
            presumption = state.presumption
            if presumption and state.is_refuted(presumption.since_ms):
                state.presumption = None
        elif known is None and now - self.first_heard_at >= FIRST_VIEW_MS:
            self.presume(incarnation, NEW, now)
        elif was_silent:
            self.presume(incarnation, SILENT, now)
        self._log_change(incarnation, REPORTED, now)

    def presume(self, incarnation: Incarnation, cause: str, now: int) -> None:
        """Presume an endpoint cold, by evidence that this edge found."""
        policy = self._policy(incarnation)
        if policy is None or not policy.start_ms:
            return
        since_ms = self.wall_ms_at(now)
        self.states[incarnation].presume(Presumption(cause, since_ms, now))
        self._log_change(incarnation, cause, now)

    def record_ended(
        self, incarnation: Incarnation, cause: str, now: int
    ) -> None:
        """Record that an endpoint's process has ended; tell the others."""
        self.presume(incarnation, cause, now)
        state = self.states.get(incarnation)
        if (
            state is None
            or state.presumption is None
            or now - state.told_at < EVIDENCE_PERIOD_MS
        ):
            return
        state.told_at = now
        news = messages.EndpointLimit(
            *incarnation, cold=True, cold_since_ms=state.presumption.since_ms
        )
        self.evidence.put(incarnation, news)

    def record_break(self, incarnation: Incarnation, now: int) -> None:
        """Record that a connection broke with a request under way."""
        state = self.states.get(incarnation)
        if state is None:
            return
        broken_at, state.broken_at = state.broken_at, now
        if now - broken_at <= RESET_WINDOW_MS:
            self.record_ended(incarnation, RESET, now)

    def record_ejection(
        self, incarnation: Incarnation, last_heard_at: int, now: int
    ) -> None:
        """Record that this edge ejects an endpoint after failures.

        Args:
            incarnation: the endpoint.
            last_heard_at: when it last sent bytes to this edge, in ms.
            now: the current time in ms.
        """
        if now - last_heard_at >= MIN_RESTART_MS:
            self.presume(incarnation, EJECTED, now)

    def apply(self, news: messages.EndpointLimit, now: int) -> None:
        """Apply evidence that another edge found."""
        incarnation = Incarnation(news.endpoint, news.born)
        policy = self._policy(incarnation)
        if policy is None or not policy.start_ms:
            return
        state = self.states[incarnation]
        known = state.presumption
        if state.is_refuted(news.cold_since_ms) or (
            known is not None and known.since_ms >= news.cold_since_ms
        ):
            return
        state.presume(Presumption(TOLD, news.cold_since_ms, now))
        self._log_change(incarnation, TOLD, now)

    def record_answer(self, incarnation: Incarnation, now: int) -> None:
        """Record that an endpoint answers, and so its process runs."""
        state = self.states.get(incarnation)
        if state is not None and state.answered_at < 0:
            state.answered_at = now

    def record_grant(self, incarnation: Incarnation, now: int) -> None:
        """Record that permits for a cold endpoint arrived."""
        state = self.states.get(incarnation)
        if state is not None:
            state.granted_at = now

    def record_sent(self, incarnation: Incarnation) -> None:
        """Record that a request is sent to a cold endpoint."""
        self.states[incarnation].sent += 1
        metrics.COLD_REQUESTS.inc()

    def since_ms(self, incarnation: Incarnation) -> int:
        """Return the true time of the evidence on a presumed-cold endpoint.

        Returns:
            0 if the endpoint is cold by its heartbeats only.
        """
        presumption = self.states[incarnation].presumption
        return presumption.since_ms if presumption is not None else 0

    def next_request_ms(self, incarnation: Incarnation, now: int) -> int:
        """Return about when a cold endpoint can take one more request.

        That is when the next permit is issued, or when it is warm.
        """
        policy = self._policy(incarnation)
        if policy is None:
            return 0
        state = self.states[incarnation]
        left_ms = max(0, state.cold_until - now)
        if state.presumption is not None:
            most_ms = policy.start_ms + PRESUMED_MARGIN_MS
            since_ms = now - state.presumption.found_at
            left_ms = max(left_ms, most_ms - since_ms)
        if not policy.milli_per_s:
            return left_ms
        permit_ms = 1_000_000 // policy.milli_per_s
        # While permits arrive, it may be presumed cold for longer.
        return min(left_ms, permit_ms) if left_ms > 0 else permit_ms

    def forget(self, incarnation: Incarnation) -> None:
        """Forget an endpoint that is gone."""
        self.states.pop(incarnation, None)

    def review(self, now: int) -> None:
        """Log the endpoints that are warm by now, and count the others."""
        cold_count = 0
        for incarnation, state in self.states.items():
            if self.is_cold(incarnation, now):
                cold_count += 1
            elif state.logged_at >= 0:
                self._log_end(incarnation, state, now)
        metrics.COLD_ENDPOINTS.set(cold_count)

    def _log_change(
        self, incarnation: Incarnation, cause: str, now: int
    ) -> None:
        """Log that an endpoint counts as cold, or is warm, from now on."""
        state = self.states[incarnation]
        is_cold = self.is_cold(incarnation, now)
        if is_cold and state.logged_at < 0:
            state.logged_at = now
            state.sent = 0
            events.emit(
                events.COLD_BEGAN,
                endpoint=incarnation.endpoint,
                service=state.service,
                cause=cause,
                left_ms=max(0, state.cold_until - now),
            )
        elif state.logged_at >= 0 and not is_cold:
            self._log_end(incarnation, state, now)

    def _log_end(
        self, incarnation: Incarnation, state: ColdState, now: int
    ) -> None:
        events.emit(
            events.COLD_ENDED,
            endpoint=incarnation.endpoint,
            service=state.service,
            after_ms=now - state.logged_at,
            sent=state.sent,
        )
        state.logged_at = -1


class EvidenceTable:
    """What edges found of endpoints that may have started again.

    Edges often find the same at the same time, so that a control instance
    passes on one of them.

    Attributes:
        evidence: the newest of each endpoint, with its time of arrival.
    """

    def __init__(self) -> None:
        self.evidence: gathering.RecentUpdates[
            Incarnation, messages.EndpointLimit
        ] = gathering.RecentUpdates(EVIDENCE_TTL_MS, MAX_EVIDENCE)

    def put(self, news: messages.EndpointLimit, now: int) -> bool:
        """Store evidence; return whether the others need to know it."""
        incarnation = Incarnation(news.endpoint, news.born)
        item = self.evidence.items.get(incarnation)
        if (
            item is not None
            and news.cold_since_ms < item[0].cold_since_ms + EVIDENCE_PERIOD_MS
        ):
            return False
        self.evidence.put(incarnation, news, now)
        return True

    def values(self, now: int) -> tuple[messages.EndpointLimit, ...]:
        """Return the evidence that an edge that joins may lack."""
        return self.evidence.values(now)


def refutes(
    record: messages.EndpointRecord, request: messages.EndpointLimit
) -> bool:
    """Return whether a heartbeat is later than the evidence of a request.

    Args:
        record: the endpoint's newest record.
        request: an edge's request for permits, or its evidence.
    """
    return (
        record.born == request.born
        and record.reports_cold
        and record.heard_ms >= request.cold_since_ms + HEARD_MARGIN_MS
    )


__all__ = [
    "ColdPolicy",
    "ColdStarts",
    "ColdState",
    "EJECTED",
    "EVACUATED",
    "EvidenceTable",
    "NEW",
    "PRESUMED_MARGIN_MS",
    "Presumption",
    "REFUSED",
    "REPORTED",
    "RESET",
    "SILENT",
    "TOLD",
    "make_evidence",
    "refutes",
]
