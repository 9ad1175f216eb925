"""Which services an edge cannot reach, as after a network partition.

Does no I/O; the caller passes the current time in ms. One endpoint that
cannot be reached says nothing of the others. If several cannot, and none of
the service was heard meanwhile, the edge itself counts as cut off from the
service, until an endpoint is heard or a connection to one opens.
"""

# How many endpoints of a service must fail.
CUT_ENDPOINTS = 2
# How long none of the service must have been heard. A partition may cut off
# some endpoints only.
QUIET_MS = 300
# Failures further apart are not of one partition.
FAILURE_TTL_MS = 2000


class Reachability:
    """The services of one edge that it may be cut off from.

    Attributes:
        failed_at: time of the last failure in ms, by service and endpoint,
            since an endpoint of the service was last heard.
        heard_at: when an endpoint of a service was heard after a failure,
            in ms.
        cut_since: when the edge was cut off from a service, in ms.
    """

    def __init__(self) -> None:
        self.failed_at: dict[str, dict[str, int]] = {}
        self.heard_at: dict[str, int] = {}
        self.cut_since: dict[str, int] = {}

    def record_failure(self, service: str, endpoint: str, now: int) -> bool:
        """Record that an endpoint did not answer, or was not reached.

        Returns:
            Whether the edge counts as cut off from the service from now on.
        """
        failed = self.failed_at.setdefault(service, {})
        failed[endpoint] = now
        for identifier, at in list(failed.items()):
            if now - at > FAILURE_TTL_MS:
                del failed[identifier]
        quiet_ms = now - self.heard_at.get(service, now - QUIET_MS)
        if (
            service in self.cut_since
            or len(failed) < CUT_ENDPOINTS
            or quiet_ms < QUIET_MS
        ):
            return False
        self.cut_since[service] = now
        return True

    def record_heard(self, service: str, now: int) -> int:
        """Record that an endpoint of a service was heard or reached.

        Returns:
            Since when the edge was cut off from the service, in ms, or -1.
        """
        self.failed_at.pop(service, None)
        self.heard_at[service] = now
        return self.cut_since.pop(service, -1)

    def is_cut_off(self, service: str) -> bool:
        """Return whether the edge counts as cut off from a service."""
        return service in self.cut_since


__all__ = ["CUT_ENDPOINTS", "Reachability"]
