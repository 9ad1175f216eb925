"""Quarantine of prompt parts that crash the endpoints that answer them.

Does no I/O; the caller passes the current time in ms. A part is suspect if
requests that hold it were under way at several endpoints that crashed, and
none of them has been answered since. Parts that sound requests hold as
well, such as a common system prompt, are cleared by those requests' answers
within moments; the part that remains is quarantined. All edges exchange
what they find, since requests with the part arrive at any of them.
"""

from collections import OrderedDict
from typing import Iterable
from typing import NamedTuple

from primrosehitch import events
from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch.endpoint import Incarnation

# What an edge can find of a part: it was under way at an endpoint that
# crashed, a request with it was answered, or it was quarantined.
CRASH = "crash"
SOUND = "sound"
QUARANTINED = "quarantined"

# A part is suspect from this many crashes on, if so many of their requests
# followed one another: a request and its retry may meet two by chance, and
# an outage ends many endpoints at once, with all requests that they have.
MIN_CRASHES = 4
MIN_SUCCESSIVE_CRASHES = 2
# So many endpoints that end within so short a time have a common cause
# other than what they were sent.
MIN_OUTAGE_ENDPOINTS = 3
OUTAGE_MS = 10
# A connection that breaks sooner than this was broken before the request.
MIN_ANSWER_MS = 10
# Answers have this long to clear a suspect part, and as long again if it
# shares all its crashes with another suspect.
CONFIRMATION_MS = 1000
# An answer under way for this long shows that its request crashes nothing:
# a crash follows the first token within a few steps of an engine.
SOUND_ANSWER_MS = 2000
# How long a crash is remembered, and a part is kept from endpoints. What
# ends the fault is a release of the endpoints' software, not time, so a
# trial is not repeated often: it costs endpoints with all that they serve.
CRASH_TTL_MS = 600_000
QUARANTINE_MS = 600_000
MAX_CRASHES = 500
MAX_QUARANTINED = 1000
# Findings are batched for this long; a crash follows a request within some
# hundred ms.
FINDINGS_DELAY_S = 0.03

FindingKey = tuple[str, str, int, tuple[str, ...]]
Findings = gathering.UpdateBatcher[FindingKey, messages.PartFinding]


def make_findings() -> Findings:
    """Return a batcher of findings, keyed by ``finding_key``."""
    return gathering.UpdateBatcher(FINDINGS_DELAY_S)


def finding_key(finding: messages.PartFinding) -> FindingKey:
    """Return the key under which a finding is batched."""
    return (finding.finding, finding.endpoint, finding.born, finding.parts)


class Interval(NamedTuple):
    """When a request was sent and its connection broke, as true time in ms."""

    sent_ms: int
    broken_ms: int


class Suspicion(NamedTuple):
    """A part's presence at a crash.

    Attributes:
        depth: its position in the prompt.
        interval: the shortest one of the requests that held it.
    """

    depth: int
    interval: Interval


class Crash:
    """A crash, and the parts that may have caused it.

    Attributes:
        recorded_at: when it was first recorded, in ms.
        parts: the parts under suspicion.
        broken_ms: when it was first noticed, as true time.
        is_explained: whether it was part of an outage or a quarantined
            part was under way there, so that no other part is suspected.
    """

    def __init__(self, recorded_at: int, broken_ms: int):
        self.recorded_at = recorded_at
        self.broken_ms = broken_ms
        self.parts: set[str] = set()
        self.is_explained = False


class Quarantine:
    """Crashes of endpoints, suspect prompt parts and quarantined ones.

    Attributes:
        crashes: crashes by incarnation, oldest first.
        suspicions: how a part was present at its crashes, by part and
            incarnation; the parts are those of all crashes.
        suspect_since: when a part became suspect, in ms, by part.
        released_at: end of each part's quarantine in ms, by part.
        findings: findings of this edge, to be sent to the others.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self.suspicions: dict[str, dict[Incarnation, Suspicion]] = {}
        self.suspect_since: dict[str, int] = {}
        self.released_at: OrderedDict[str, int] = OrderedDict()
        self.findings = make_findings()

    def report_crash(
        self,
        crashed: Incarnation,
        parts: tuple[str, ...],
        interval: Interval,
        now: int,
    ) -> None:
        """Record a request of this edge that was under way at a crash.

        Args:
            crashed: the endpoint that crashed.
            parts: the request's shared parts, in order.
            interval: when it was under way.
            now: the current time in ms.
        """
        if interval.broken_ms - interval.sent_ms >= MIN_ANSWER_MS:
            finding = messages.PartFinding(CRASH, *crashed, parts, *interval)
            self._report(finding, now)

    def report_sound(self, parts: tuple[str, ...], now: int) -> None:
        """Record that an endpoint answered a request of this edge.

        Args:
            parts: the request's shared parts.
            now: the current time in ms.
        """
        doubted = tuple(
            p for p in parts if p in self.suspicions or p in self.released_at
        )
        if doubted:
            self._report(messages.PartFinding(SOUND, parts=doubted), now)

    def _report(self, finding: messages.PartFinding, now: int) -> None:
        self.apply_finding(finding, now)
        self.findings.put(finding_key(finding), finding)

    def apply_finding(self, finding: messages.PartFinding, now: int) -> None:
        """Apply a finding of this edge or of another one."""
        if finding.finding == CRASH:
            self._record_crash(finding, now)
        elif finding.finding == SOUND:
            self._clear(finding.parts)
        elif finding.finding == QUARANTINED:
            for part in finding.parts:
                self._quarantine(part, now)

    def quarantined_part(self, parts: Iterable[str], now: int) -> str | None:
        """Return the first of the parts that is quarantined, if any is."""
        if self.suspect_since:
            self.judge(now)
        for part in parts:
            if self.released_at.get(part, now) > now:
                return part
        return None

    def retry_after_s(self, part: str, now: int) -> float:
        """Return how long a part stays in quarantine, in seconds."""
        return max(0, self.released_at.get(part, now) - now) / 1000

    def judge(self, now: int) -> None:
        """Quarantine the suspects that no answer has cleared in time."""
        self._expire(now)
        while self.suspect_since:
            # Of parts with as many crashes the one that comes last in the
            # prompt is in the fewest sound requests. The others wait for
            # it, since it may explain their crashes.
            worst = max(
                self.suspect_since,
                key=lambda p: (self._count(p), self._depth(p)),
            )
            if not self._is_due(worst, now):
                return
            self._quarantine(worst, now)
            finding = messages.PartFinding(QUARANTINED, parts=(worst,))
            self.findings.put(finding_key(finding), finding)

    def _is_due(self, part: str, now: int) -> bool:
        """Return whether a suspect's time to be cleared is over."""
        doubted_ms = now - self.suspect_since[part]
        if doubted_ms < CONFIRMATION_MS:
            return False
        has_rival = any(
            other != part and self._count(other) >= self._count(part)
            for other in self.suspect_since
        )
        return not has_rival or doubted_ms >= 2 * CONFIRMATION_MS

    def _record_crash(self, finding: messages.PartFinding, now: int) -> None:
        """Add the parts of a request that was under way at a crash.

        A quarantined part among them explains the crash.
        """
        crashed = Incarnation(finding.endpoint, finding.born)
        interval = Interval(finding.sent_ms, finding.broken_ms)
        crash = self.crashes.get(crashed)
        if crash is None:
            crash = self.crashes[crashed] = Crash(now, interval.broken_ms)
            self._explain_outage(interval.broken_ms)
            while len(self.crashes) > MAX_CRASHES:
                self._forget(next(iter(self.crashes)))
        if self.quarantined_part(finding.parts, now) is not None:
            self._explain(crashed)
        if crash.is_explained:
            return
        for depth, part in enumerate(finding.parts):
            crash.parts.add(part)
            by_crash = self.suspicions.setdefault(part, {})
            known = by_crash.get(crashed)
            if known is None or known.interval.sent_ms < interval.sent_ms:
                by_crash[crashed] = Suspicion(depth, interval)
            self._update_suspect(part, now)

    def _explain_outage(self, broken_ms: int) -> None:
        """End suspicions at crashes that happened together with others."""
        together = [
            crashed
            for crashed, crash in self.crashes.items()
            if abs(crash.broken_ms - broken_ms) <= OUTAGE_MS
        ]
        if len(together) >= MIN_OUTAGE_ENDPOINTS:
            for crashed in together:
                self._explain(crashed)

    def _forget(self, crashed: Incarnation) -> None:
        """Forget a crash."""
        self._explain(crashed)
        del self.crashes[crashed]

    def _explain(self, crashed: Incarnation) -> None:
        """End the suspicion of all parts that were at a crash."""
        crash = self.crashes[crashed]
        crash.is_explained = True
        for part in crash.parts:
            self.suspicions[part].pop(crashed)
            self._update_suspect(part, 0)
            if not self.suspicions[part]:
                del self.suspicions[part]
        crash.parts = set()

    def _update_suspect(self, part: str, now: int) -> None:
        """Make a part suspect from now on, or end that."""
        intervals = [s.interval for s in self.suspicions[part].values()]
        if (
            len(intervals) >= MIN_CRASHES
            and _count_successive(intervals) >= MIN_SUCCESSIVE_CRASHES
        ):
            self.suspect_since.setdefault(part, now)
        else:
            self.suspect_since.pop(part, None)

    def _clear(self, parts: tuple[str, ...]) -> None:
        """End the suspicion and the quarantine of parts."""
        for part in parts:
            for crashed in self.suspicions.pop(part, ()):
                self.crashes[crashed].parts.discard(part)
            self.suspect_since.pop(part, None)
            if self.released_at.pop(part, None) is not None:
                events.emit(events.PART_RELEASED, part=part)
        metrics.QUARANTINED_PARTS.set(len(self.released_at))

    def _quarantine(self, part: str, now: int) -> None:
        """Quarantine a part, which explains the crashes that it was at."""
        explained = list(self.suspicions.get(part, ()))
        for crashed in explained:
            self._explain(crashed)
        if part not in self.released_at:
            events.emit(
                events.PART_QUARANTINED,
                part=part,
                endpoints=" ".join(c.endpoint for c in explained),
            )
        self.released_at[part] = now + QUARANTINE_MS
        while len(self.released_at) > MAX_QUARANTINED:
            self.released_at.popitem(last=False)
        metrics.QUARANTINED_PARTS.set(len(self.released_at))

    def _expire(self, now: int) -> None:
        """Forget old crashes and end quarantines whose time is over."""
        while self.crashes:
            crashed, crash = next(iter(self.crashes.items()))
            if now - crash.recorded_at <= CRASH_TTL_MS:
                break
            self._forget(crashed)
        over = tuple(p for p, at in self.released_at.items() if at <= now)
        self._clear(over)

    def _count(self, part: str) -> int:
        """Return at how many crashes a part is under suspicion."""
        return len(self.suspicions.get(part, ()))

    def _depth(self, part: str) -> int:
        """Return a suspect's last position in a prompt."""
        return max(s.depth for s in self.suspicions[part].values())


def _count_successive(intervals: list[Interval]) -> int:
    """Return how many intervals at most follow one another."""
    count, free_at = 0, 0
    for interval in sorted(intervals, key=lambda i: i.broken_ms):
        if interval.sent_ms >= free_at:
            count += 1
            free_at = interval.broken_ms
    return count


__all__ = [
    "CRASH",
    "Findings",
    "Incarnation",
    "Interval",
    "MAX_QUARANTINED",
    "QUARANTINED",
    "QUARANTINE_MS",
    "Quarantine",
    "SOUND",
    "SOUND_ANSWER_MS",
    "finding_key",
    "make_findings",
]
