"""What a control instance passes on of prompt parts that crash endpoints.

Does no I/O; the caller passes the current time in ms. Findings of edges go
to all other edges. Quarantined parts are kept for edges that join, and the
leader records them in the replicated state, so that they stay quarantined
when all processes have ended at once.
"""

from typing import Iterator
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch import quarantine

VERDICTS = (quarantine.QUARANTINED, quarantine.SOUND)


class Verdict(NamedTuple):
    """What was found of a part last.

    Attributes:
        finding: ``QUARANTINED`` or ``SOUND``.
        reached_ms: when it was found, in ms.
    """

    finding: str
    reached_ms: int


class FindingRelay:
    """Findings to pass on, and the verdicts that they leave.

    A verdict that is repeated, by an instance that joins or an edge that
    lost its link, does not undo a later one.

    Attributes:
        to_peers: findings of this instance's edges for the other instances.
        to_edges: findings for this instance's edges.
        verdicts: the latest verdict by part, as known since the start.
    """

    def __init__(self) -> None:
        self.to_peers = quarantine.make_findings()
        self.to_edges = quarantine.make_findings()
        self.verdicts: dict[str, Verdict] = {}

    def apply(
        self, finding: messages.PartFinding, is_from_edge: bool, now: int
    ) -> None:
        """Apply and queue a finding of an edge or of another instance.

        A verdict that is older than the latest one is not queued.
        """
        if finding.finding in VERDICTS:
            verdict = Verdict(finding.finding, now - finding.age_ms)
            parts = tuple(
                part
                for part in finding.parts
                if self._apply_verdict(part, verdict)
            )
            if not parts:
                return
            finding = finding._replace(parts=parts)
        key = quarantine.finding_key(finding)
        self.to_edges.put(key, finding)
        if is_from_edge:
            self.to_peers.put(key, finding)

    def _apply_verdict(self, part: str, verdict: Verdict) -> bool:
        """Store a verdict unless a later one is known."""
        latest = self.verdicts.get(part)
        if latest is not None and latest.reached_ms > verdict.reached_ms:
            return False
        self.verdicts[part] = verdict
        if len(self.verdicts) > 2 * quarantine.MAX_QUARANTINED:
            oldest = min(self.verdicts, key=self._reached_ms)
            del self.verdicts[oldest]
        return True

    def _reached_ms(self, part: str) -> int:
        return self.verdicts[part].reached_ms

    def _parts(self, finding: str, now: int) -> dict[str, int]:
        """Return the parts with a verdict, and the verdicts' ages in ms."""
        self.verdicts = {
            part: verdict
            for part, verdict in self.verdicts.items()
            if now - verdict.reached_ms <= quarantine.QUARANTINE_MS
        }
        return {
            part: max(0, now - verdict.reached_ms)
            for part, verdict in self.verdicts.items()
            if verdict.finding == finding
        }

    def findings_to_join(
        self, recorded: dict[str, int], now: int, wall_ms: int
    ) -> tuple[messages.PartFinding, ...]:
        """Return the quarantines, for an edge or an instance that joins.

        Args:
            recorded: ends of quarantines in the replicated state, as true
                time in ms, by part.
            now: the current time in ms.
            wall_ms: the true time in ms.
        """
        cleared = self._parts(quarantine.SOUND, now)
        ages = {
            part: max(0, wall_ms - (end - quarantine.QUARANTINE_MS))
            for part, end in recorded.items()
            if end > wall_ms and part not in cleared
        }
        ages.update(self._parts(quarantine.QUARANTINED, now))
        return _make_findings(quarantine.QUARANTINED, ages)

    def sound_findings(self, now: int) -> tuple[messages.PartFinding, ...]:
        """Return what answers have cleared, for an instance that joins."""
        return _make_findings(
            quarantine.SOUND, self._parts(quarantine.SOUND, now)
        )

    def commands(
        self, recorded: dict[str, int], now: int, wall_ms: int
    ) -> Iterator[messages.PartVerdict]:
        """Yield the commands that bring the replicated state up to date.

        Args:
            recorded: as for ``findings_to_join``.
            now: the current time in ms.
            wall_ms: the true time in ms.
        """
        end = wall_ms + quarantine.QUARANTINE_MS
        for part in self._parts(quarantine.QUARANTINED, now):
            if recorded.get(part, 0) <= wall_ms:
                yield messages.PartVerdict(part, end, wall_ms)
        for part in self._parts(quarantine.SOUND, now):
            if recorded.get(part, 0) > wall_ms:
                yield messages.PartVerdict(part, 0, wall_ms)


def _make_findings(
    finding: str, ages: dict[str, int]
) -> tuple[messages.PartFinding, ...]:
    return tuple(
        messages.PartFinding(finding, parts=(part,), age_ms=age_ms)
        for part, age_ms in sorted(ages.items())
    )


__all__ = ["FindingRelay"]
