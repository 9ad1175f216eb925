"""Whether a gateway may serve: a pure judgement on what it knows.

A gateway refuses with ``not-run`` rather than serve under a
configuration older than one it knows to exist, with keys it could not
refresh for too long, or right after a freeze, before it has asked a
peer what it missed.
"""

from primrosehitch import outcomes

MAX_BEHIND_MS = 3000
REFRESH_TIMEOUT_MS = 2000
RETRY_AFTER_S = 0.5


class Readiness:
    """What the judgement rests on; times in ms.

    Args:
        has_peers: whether the deployment has other instances.
        key_freshness_ms: how long keys may go without a refresh.
        now: the current time in ms.
    """

    def __init__(self, has_peers: bool, key_freshness_ms: int, now: int):
        self.has_peers = has_peers
        self.key_freshness_ms = key_freshness_ms
        self.version = 0
        self.known_version = 0
        self.behind_since = now
        self.refreshing = has_peers
        self.refresh_started = now
        self.last_contact = now
        self.draining = False

    def record_version(self, version: int) -> None:
        """Note the version in force here."""
        self.version = max(self.version, version)

    def record_known_version(self, version: int, now: int) -> None:
        """Note a version that some instance has in force."""
        if self.version >= self.known_version:
            self.behind_since = now
        self.known_version = max(self.known_version, version)

    def record_contact(self, now: int) -> None:
        """Note that a peer that can reach a leader was heard."""
        self.last_contact = now

    def record_freeze(self, now: int) -> None:
        """Note that the process stood still."""
        if self.has_peers:
            self.refreshing = True
            self.refresh_started = now

    def record_refresh(self, version: int) -> None:
        """Note a peer's answer to a question asked after the freeze."""
        if self.version >= version:
            self.refreshing = False

    def tick(self, any_alive: bool, now: int) -> None:
        """Give up refreshing where no peer can be reached."""
        waited = now - self.refresh_started >= REFRESH_TIMEOUT_MS
        if self.refreshing and waited and not any_alive:
            self.refreshing = False

    def refusal(self, now: int) -> outcomes.Refusal | None:
        """Return why nothing may be served now, or None."""
        if not self.version:
            return _refuse("no-configuration", "no configuration is in force")
        if self.refreshing:
            return _refuse("refreshing", "asking peers for what was missed")
        behind = self.version < self.known_version
        if behind and now - self.behind_since > MAX_BEHIND_MS:
            return _refuse("config-behind", "a newer configuration exists")
        if now - self.last_contact > self.key_freshness_ms:
            return _refuse("keys-stale", "keys could not be refreshed")
        return None

    def is_ready(self, now: int) -> bool:
        """Return whether the balancer should send callers here."""
        return not self.draining and self.refusal(now) is None


def _refuse(reason: str, message: str) -> outcomes.Refusal:
    return outcomes.not_run(reason, message, "readiness", 503, RETRY_AFTER_S)


__all__ = ["Readiness"]
