"""What a control instance passes on of prompt parts that crash endpoints.

Does no I/O; the caller passes the current time in ms. Findings of edges go
to all other edges. Quarantined parts are kept for edges that join, and the
leader records them in the replicated state, so that they stay quarantined
when all processes have ended at once.
"""

from typing import Iterator

from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import quarantine


class FindingRelay:
    """Findings to pass on, and the quarantined parts that they leave.

    Attributes:
        to_peers: findings of this instance's edges for the other instances.
        to_edges: findings for this instance's edges.
        quarantined: parts that were quarantined since the start.
        cleared: parts that an answer has cleared since the start.
    """

    def __init__(self) -> None:
        self.to_peers = quarantine.make_findings()
        self.to_edges = quarantine.make_findings()
        self.quarantined = self._make_parts()
        self.cleared = self._make_parts()

    def _make_parts(self) -> gathering.RecentUpdates[str, str]:
        return gathering.RecentUpdates(
            quarantine.QUARANTINE_MS, quarantine.MAX_QUARANTINED
        )

    def apply(
        self, finding: messages.PartFinding, is_from_edge: bool, now: int
    ) -> None:
        """Apply and queue a finding of an edge or of another instance."""
        key = quarantine.finding_key(finding)
        self.to_edges.put(key, finding)
        if is_from_edge:
            self.to_peers.put(key, finding)
        for part in finding.parts:
            if finding.finding == quarantine.QUARANTINED:
                self.quarantined.put(part, part, now)
                self.cleared.discard(part)
            elif finding.finding == quarantine.SOUND:
                self.quarantined.discard(part)
                self.cleared.put(part, part, now)

    def findings_to_join(
        self, recorded: dict[str, int], now: int, wall_ms: int
    ) -> tuple[messages.PartFinding, ...]:
        """Return the finding that an edge needs when it joins, if any.

        Args:
            recorded: ends of quarantines in the replicated state, as true
                time in ms, by part.
            now: the current time in ms.
            wall_ms: the true time in ms.
        """
        cleared = set(self.cleared.values(now))
        parts = {p for p, end in recorded.items() if end > wall_ms}
        parts = (parts - cleared).union(self.quarantined.values(now))
        if not parts:
            return ()
        kind = quarantine.QUARANTINED
        return (messages.PartFinding(kind, parts=tuple(sorted(parts))),)

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
        for part in self.quarantined.values(now):
            if recorded.get(part, 0) <= wall_ms:
                yield messages.PartVerdict(part, end, wall_ms)
        for part in self.cleared.values(now):
            if recorded.get(part, 0) > wall_ms:
                yield messages.PartVerdict(part, 0, wall_ms)


__all__ = ["FindingRelay"]
