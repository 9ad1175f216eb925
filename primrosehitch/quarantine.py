"""Quarantine of what crashes the endpoints that run or answer it.

Does no I/O; the caller passes the current time in ms. A crash may be the
fault of one prompt part, whichever request holds it, or of one request,
known by its fingerprint when it comes again. Both are suspects of the
crashes under which they were under way, until an endpoint has answered
them. What sound requests hold as well, such as a common system prompt, is
cleared by those requests' answers within moments; the suspect that remains
is quarantined. All edges exchange what they find, since such requests
arrive at any of them.
"""

from collections import OrderedDict
from typing import Iterable
from typing import NamedTuple

from primrosehitch import events
from primrosehitch import fingerprints
from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch.endpoint import Incarnation

# What an edge can find of a suspect: it was under way at an endpoint that
# crashed, it was answered, or it was quarantined; and of an endpoint, that it
# answers and so has not crashed.
CRASH = "crash"
SOUND = "sound"
ALIVE = "alive"
QUARANTINED = "quarantined"

# A part is suspect from this many crashes on, if so many of their requests
# followed one another: a request and its retry may meet two by chance, and
# an outage ends many endpoints at once, with all requests that they have.
MIN_CRASHES = 4
MIN_SUCCESSIVE_CRASHES = 2
# A request is suspect from this many crashes on. It is the narrower
# explanation: sound requests are answered before they come so often.
MIN_REQUEST_CRASHES = 3
# So many endpoints that end within so short a time have a common cause
# other than what they were sent.
MIN_OUTAGE_ENDPOINTS = 3
OUTAGE_MS = 10
# A connection that breaks sooner than this was broken before the request.
MIN_ANSWER_MS = 10
# Answers have this long to clear a suspect part, and as long again if it
# shares all its crashes with another suspect.
CONFIRMATION_MS = 1000
# Within this time all edges have told of what they had at a crash.
SETTLING_MS = 300
# An answer under way for this long shows that its request crashes nothing:
# a crash follows the first token within a few steps of an engine.
SOUND_ANSWER_MS = 2000
# A request that was answered within this time is sound, whatever endpoints
# end under its repeats.
ANSWERED_TTL_MS = 60_000
MAX_ANSWERED = 2000
# An endpoint that ends this soon after an edge has given it up for its
# silence crashed under the request that it was silent about.
ABANDONED_TTL_MS = 1000
MAX_ABANDONED = 500
# No endpoint starts again sooner than this. A later answer may be one of its
# next start, which it has not reported yet.
MIN_RESTART_MS = 1000
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
    """A suspect's presence at a crash.

    Attributes:
        depth: a part's position in the prompt; a request comes after all
            of its parts.
        interval: the shortest one of the requests that held it.
        parts: the parts of a request, empty for a part.
    """

    depth: int
    interval: Interval
    parts: tuple[str, ...] = ()


class Abandoned(NamedTuple):
    """A request that an edge took from an endpoint that was silent.

    Attributes:
        suspects: its shared parts and its fingerprint.
        sent_ms: when it was sent, as true time.
        left_ms: when the edge gave the endpoint up, as true time.
    """

    suspects: tuple[str, ...]
    sent_ms: int
    left_ms: int


class Crash:
    """A crash, and what may have caused it.

    Attributes:
        recorded_at: when it was first recorded, in ms.
        parts: the parts and requests under suspicion.
        broken_ms: when it was first noticed, as true time.
        is_explained: whether it was part of an outage or something
            quarantined was under way there, so that nothing else is
            suspected.
    """

    def __init__(self, recorded_at: int, broken_ms: int):
        self.recorded_at = recorded_at
        self.broken_ms = broken_ms
        self.parts: set[str] = set()
        self.is_explained = False


class Quarantine:
    """Crashes of endpoints, suspects and what is quarantined.

    A part below is a prompt part or the fingerprint of a request.

    Attributes:
        crashes: crashes by incarnation, oldest first.
        suspicions: how a part was present at its crashes, by part and
            incarnation; the parts are those of all crashes.
        suspect_since: when a part became suspect, in ms, by part.
        on_probation: parts of quarantined requests that have not been
            answered since.
        released_at: end of each part's quarantine in ms, by part.
        answered: requests that were answered lately, by fingerprint.
        abandoned: requests taken from silent endpoints lately.
        findings: findings of this edge, to be sent to the others.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self.suspicions: dict[str, dict[Incarnation, Suspicion]] = {}
        self.suspect_since: dict[str, int] = {}
        self.on_probation: set[str] = set()
        self.released_at: OrderedDict[str, int] = OrderedDict()
        self.answered: gathering.RecentUpdates[str, str] = (
            gathering.RecentUpdates(ANSWERED_TTL_MS, MAX_ANSWERED)
        )
        self.abandoned: gathering.RecentUpdates[
            tuple[Incarnation, tuple[str, ...]], Abandoned
        ] = gathering.RecentUpdates(ABANDONED_TTL_MS, MAX_ABANDONED)
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
            parts: the request's shared parts, in order, then its
                fingerprint.
            interval: when it was under way.
            now: the current time in ms.
        """
        accused = tuple(p for p in parts if not self._is_sound(p, now))
        if accused and interval.broken_ms - interval.sent_ms >= MIN_ANSWER_MS:
            finding = messages.PartFinding(CRASH, *crashed, accused, *interval)
            self._report(finding, now)

    def report_answering(
        self, endpoint: Incarnation, sent_ms: int, now: int
    ) -> None:
        """Record that an endpoint answers a request of this edge.

        Args:
            endpoint: the endpoint.
            sent_ms: when the request was sent, as true time.
            now: the current time in ms.
        """
        if self._has_survived(endpoint, sent_ms):
            finding = messages.PartFinding(ALIVE, *endpoint, sent_ms=sent_ms)
            self._report(finding, now)

    def _has_survived(self, endpoint: Incarnation, sent_ms: int) -> bool:
        """Return whether an answer shows that an endpoint has not crashed.

        Args:
            endpoint: the endpoint that is thought to have crashed.
            sent_ms: when the answered request was sent, as true time.
        """
        crash = self.crashes.get(endpoint)
        return (
            crash is not None
            and 0 < sent_ms - crash.broken_ms < MIN_RESTART_MS
        )

    def report_abandoned(
        self,
        endpoint: Incarnation,
        parts: tuple[str, ...],
        interval: Interval,
        now: int,
    ) -> None:
        """Record a request of this edge that it took from an endpoint.

        If the endpoint is found to have ended by then or soon after, it
        crashed under that request.

        Args:
            endpoint: the endpoint, which had sent nothing.
            parts: as for ``report_crash``.
            interval: when the request was sent there and taken away.
            now: the current time in ms.
        """
        crash = self.crashes.get(endpoint)
        if crash is not None:
            self.report_crash(endpoint, parts, interval, now)
            return
        self.abandoned.put((endpoint, parts), Abandoned(parts, *interval), now)

    def report_ended(
        self, crashed: Incarnation, broken_ms: int, now: int
    ) -> None:
        """Report a crash for the requests taken from an endpoint before.

        Args:
            crashed: an endpoint that crashed, or that should serve and
                refuses connections.
            broken_ms: when that was noticed, as true time.
            now: the current time in ms.
        """
        for left in self.abandoned.values(now):
            key = (crashed, left.suspects)
            if key in self.abandoned.items:
                self.abandoned.discard(key)
                interval = Interval(left.sent_ms, max(left.left_ms, broken_ms))
                self.report_crash(crashed, left.suspects, interval, now)

    def _is_sound(self, part: str, now: int) -> bool:
        """Return whether this is a request that was answered lately."""
        known = self.answered.items.get(part)
        return known is not None and now - known[1] <= ANSWERED_TTL_MS

    def report_sound(self, parts: tuple[str, ...], now: int) -> None:
        """Record that an endpoint answered a request of this edge.

        Args:
            parts: the request's shared parts and its fingerprint.
            now: the current time in ms.
        """
        for part in parts:
            if fingerprints.is_fingerprint(part):
                self.answered.put(part, part, now)
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
            sound = tuple(p for p in finding.parts if self._is_sound(p, now))
            if sound:
                # Another edge had no answer to this request as yet.
                self._report(messages.PartFinding(SOUND, parts=sound), now)
        elif finding.finding == SOUND:
            self._clear(finding.parts)
        elif finding.finding == ALIVE:
            endpoint = Incarnation(finding.endpoint, finding.born)
            if self._has_survived(endpoint, finding.sent_ms):
                self._forget(endpoint)
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

    def is_doubted(self, parts: Iterable[str], now: int) -> bool:
        """Return whether any of the parts may be what crashes endpoints.

        These are the quarantined parts and those that were under way at a
        crash, until an answer clears them.
        """
        return self.quarantined_part(parts, now) is not None or any(
            part in self.suspicions or part in self.on_probation
            for part in parts
        )

    def retry_after_s(self, part: str, now: int) -> float:
        """Return how long a part stays in quarantine, in seconds."""
        return max(0, self.released_at.get(part, now) - now) / 1000

    def judge(self, now: int) -> None:
        """Quarantine the suspects that no answer has cleared in time."""
        self._expire(now)
        while True:
            suspects = [
                part
                for part in self.suspect_since
                if not self._is_covered(part, now)
            ]
            if not suspects:
                return
            # Of parts with as many crashes the one that comes last in the
            # prompt is in the fewest sound requests. The others wait for
            # it, since it may explain their crashes.
            worst = max(
                suspects, key=lambda p: (self._count(p), self._depth(p))
            )
            if not self._is_due(worst, suspects, now):
                return
            self._quarantine(worst, now)
            finding = messages.PartFinding(QUARANTINED, parts=(worst,))
            self.findings.put(finding_key(finding), finding)

    def _is_covered(self, part: str, now: int) -> bool:
        """Return whether one suspect request explains a part's crashes.

        The request holds the part, and was at all of its crashes but the
        latest, of which another edge may not have told yet.
        """
        settled = {
            crashed
            for crashed in self.suspicions[part]
            if now - self.crashes[crashed].recorded_at >= SETTLING_MS
        }
        return any(
            settled <= self.suspicions[request].keys()
            and self._holds(request, part)
            for request in self.suspect_since
        )

    def _holds(self, request: str, part: str) -> bool:
        """Return whether this is a request that holds a part."""
        by_crash = self.suspicions[request]
        return any(part in s.parts for s in by_crash.values())

    def _is_due(self, part: str, suspects: list[str], now: int) -> bool:
        """Return whether a suspect's time to be cleared is over.

        Args:
            part: the suspect.
            suspects: all that no other suspect covers.
            now: the current time in ms.
        """
        doubted_ms = now - self.suspect_since[part]
        if doubted_ms < CONFIRMATION_MS:
            return False
        has_rival = any(
            other != part and self._count(other) >= self._count(part)
            for other in suspects
        )
        return not has_rival or doubted_ms >= 2 * CONFIRMATION_MS

    def _record_crash(self, finding: messages.PartFinding, now: int) -> None:
        """Add the parts of a request that was under way at a crash.

        A quarantined part among them explains the crash.
        """
        crashed = Incarnation(finding.endpoint, finding.born)
        interval = Interval(finding.sent_ms, finding.broken_ms)
        # This may forget the crash, if it was reported long ago.
        is_explained = self.quarantined_part(finding.parts, now) is not None
        crash = self.crashes.get(crashed)
        if crash is None:
            crash = self.crashes[crashed] = Crash(now, interval.broken_ms)
            self._explain_outage(interval.broken_ms)
            while len(self.crashes) > MAX_CRASHES:
                self._forget(next(iter(self.crashes)))
            self.report_ended(crashed, interval.broken_ms, now)
        if is_explained:
            self._explain(crashed)
        if crash.is_explained:
            return
        for depth, part in enumerate(finding.parts):
            crash.parts.add(part)
            by_crash = self.suspicions.setdefault(part, {})
            known = by_crash.get(crashed)
            if known is None or known.interval.sent_ms < interval.sent_ms:
                is_request = fingerprints.is_fingerprint(part)
                parts = finding.parts[:depth] if is_request else ()
                by_crash[crashed] = Suspicion(depth, interval, parts)
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

    def _explain(
        self, crashed: Incarnation, kept: tuple[str, ...] = ()
    ) -> None:
        """End the suspicion of all parts that were at a crash.

        Args:
            crashed: the crash.
            kept: parts that stay under suspicion.
        """
        crash = self.crashes[crashed]
        crash.is_explained = True
        for part in crash.parts.difference(kept):
            self.suspicions[part].pop(crashed)
            self._update_suspect(part, 0)
            if not self.suspicions[part]:
                del self.suspicions[part]
                self.on_probation.discard(part)
        crash.parts.intersection_update(kept)

    def _update_suspect(self, part: str, now: int) -> None:
        """Make a part suspect from now on, or end that."""
        intervals = [s.interval for s in self.suspicions[part].values()]
        if fingerprints.is_fingerprint(part):
            is_suspect = len(intervals) >= MIN_REQUEST_CRASHES
        else:
            is_suspect = (
                len(intervals) >= MIN_CRASHES
                and _count_successive(intervals) >= MIN_SUCCESSIVE_CRASHES
            )
        if is_suspect:
            since = now
            if part in self.on_probation:
                since -= CONFIRMATION_MS - SETTLING_MS
            self.suspect_since.setdefault(part, since)
        else:
            self.suspect_since.pop(part, None)

    def _clear(self, parts: tuple[str, ...]) -> None:
        """End the suspicion and the quarantine of parts."""
        for part in parts:
            for crashed in self.suspicions.pop(part, ()):
                self.crashes[crashed].parts.discard(part)
            self.suspect_since.pop(part, None)
            self.on_probation.discard(part)
            if self.released_at.pop(part, None) is not None:
                events.emit(events.PART_RELEASED, part=part)
        self._count_quarantined()

    def _count_quarantined(self) -> None:
        requests = sum(map(fingerprints.is_fingerprint, self.released_at))
        metrics.QUARANTINED_REQUESTS.set(requests)
        metrics.QUARANTINED_PARTS.set(len(self.released_at) - requests)

    def _quarantine(self, part: str, now: int) -> None:
        """Quarantine a part, which explains the crashes that it was at.

        Of a request, one part may still be what crashes endpoints. Its
        parts are on probation until they are answered: one more crash, of
        another request, is enough to quarantine them.
        """
        by_crash = self.suspicions.get(part, {})
        explained = sorted(by_crash, key=lambda c: (by_crash[c].interval, c))
        parts = by_crash[explained[0]].parts if explained else ()
        self.on_probation.update(p for p in parts if p in self.suspicions)
        for number, crashed in enumerate(explained):
            kept = parts if number < MIN_CRASHES - 1 else ()
            self._explain(crashed, kept)
        if part not in self.released_at:
            events.emit(
                events.PART_QUARANTINED,
                part=part,
                endpoints=" ".join(c.endpoint for c in explained),
            )
        self.released_at[part] = now + QUARANTINE_MS
        while len(self.released_at) > MAX_QUARANTINED:
            self.released_at.popitem(last=False)
        self._count_quarantined()

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
    "ALIVE",
    "CRASH",
    "FindingKey",
    "Findings",
    "Incarnation",
    "Interval",
    "MAX_CRASHES",
    "MAX_QUARANTINED",
    "QUARANTINED",
    "QUARANTINE_MS",
    "Quarantine",
    "SOUND",
    "SOUND_ANSWER_MS",
    "finding_key",
    "make_findings",
]
