"""Readiness of a gateway to serve requests.

Does no I/O; the caller passes the current time in ms.

A gateway refuses requests with ``not-run`` in three cases: it knows that a
newer configuration exists than the one in force here, it could not refresh
its keys for too long, or it was started or suspended and has not yet asked a
peer for the updates that it missed.
"""

from primrosehitch import outcomes

# Time for which an older configuration than the newest known one is used.
MAX_BEHIND_MS = 3000
# A refresh ends after this time if no peer is reachable.
REFRESH_TIMEOUT_MS = 2000
RETRY_AFTER_S = 0.5


class Readiness:
    """The state that decides whether a gateway may serve; times in ms.

    Args:
        has_peers: whether the deployment has other instances.
        key_freshness_ms: maximum age of the last key refresh.
        now: the current time in ms.

    Attributes:
        version: configuration version in force here.
        known_version: newest version known to be in force anywhere.
        behind_since: time at which ``known_version`` became newer than
            ``version``.
        refreshing: whether an answer of a peer is awaited after a start or
            a freeze.
        refresh_started: time at which the refresh started.
        last_contact: time at which a peer that reaches a leader was last
            heard.
        draining: whether the gateway is being drained.
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
        """Record the version in force here."""
        self.version = max(self.version, version)

    def record_known_version(self, version: int, now: int) -> None:
        """Record a version that is in force at some instance."""
        if self.version >= self.known_version:
            self.behind_since = now
        self.known_version = max(self.known_version, version)

    def record_contact(self, now: int) -> None:
        """Record a message from a peer that reaches a leader."""
        self.last_contact = now

    def record_freeze(self, now: int) -> None:
        """Start a refresh after the process was suspended."""
        if self.has_peers:
            self.refreshing = True
            self.refresh_started = now

    def record_refresh(self, version: int) -> None:
        """End the refresh if the version a peer answered is in force here.

        The peer must have been asked after the freeze.
        """
        if self.version >= version:
            self.refreshing = False

    def tick(self, any_alive: bool, now: int) -> None:
        """End a refresh that timed out if no peer is reachable."""
        waited = now - self.refresh_started >= REFRESH_TIMEOUT_MS
        if self.refreshing and waited and not any_alive:
            self.refreshing = False

    def refusal(self, now: int) -> outcomes.Refusal | None:
        """Return the refusal for all requests, or None if they are served."""
        if not self.version:
            return _refuse("no-configuration", "no configuration is in force")
        if self.refreshing:
            return _refuse(
                "refreshing", "waiting for missed updates from a peer"
            )
        behind = self.version < self.known_version
        if behind and now - self.behind_since > MAX_BEHIND_MS:
            return _refuse(
                "config-behind", "a newer configuration is in force elsewhere"
            )
        if now - self.last_contact > self.key_freshness_ms:
            return _refuse("keys-stale", "keys could not be refreshed")
        return None

    def is_ready(self, now: int) -> bool:
        """Return whether a load balancer should send requests here."""
        return not self.draining and self.refusal(now) is None


def _refuse(reason: str, message: str) -> outcomes.Refusal:
    return outcomes.not_run(reason, message, "readiness", 503, RETRY_AFTER_S)


__all__ = ["Readiness"]
