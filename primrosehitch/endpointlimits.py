"""Rate limits that endpoints in need name in their answers.

Does no I/O; the caller passes true time in ms. A limit holds for the sum of
all edges, for as long as the endpoint's answers name it.
"""

from typing import NamedTuple

from primrosehitch import events
from primrosehitch import metrics
from primrosehitch.endpoint import Incarnation


class Limit(NamedTuple):
    """A limit in force.

    Attributes:
        per_s: requests a second from all edges together.
        named_ms: when an answer last named it, as true time.
    """

    per_s: float
    named_ms: int


class EndpointLimits:
    """The limits of endpoints, as one edge knows them.

    Attributes:
        limits: limits in force, by incarnation.
        sent: this edge's requests since the limit was in force.
    """

    def __init__(self) -> None:
        self.limits: dict[Incarnation, Limit] = {}
        self.sent: dict[Incarnation, int] = {}

    def record_answer(
        self,
        incarnation: Incarnation,
        per_s: float,
        sent_ms: int,
        received_ms: int,
    ) -> None:
        """Record what an answer says of the endpoint's limit.

        An answer without a limit ends it only if its request was sent
        after the limit was last named, because answers overtake each other.

        Args:
            incarnation: the endpoint that answered.
            per_s: the limit that the answer names, 0 for none.
            sent_ms: when the request was sent.
            received_ms: when the answer began.
        """
        limit = self.limits.get(incarnation)
        if per_s > 0:
            if limit is None or limit.per_s != per_s:
                self._emit_in_force(incarnation, per_s, limit)
            self.limits[incarnation] = Limit(per_s, received_ms)
            self.sent.setdefault(incarnation, 0)
            metrics.LIMITED_ENDPOINTS.set(len(self.limits))
        elif limit is not None and sent_ms > limit.named_ms:
            self.forget(incarnation)

    def _emit_in_force(
        self, incarnation: Incarnation, per_s: float, before: Limit | None
    ) -> None:
        events.emit(
            events.LIMIT_IN_FORCE,
            endpoint=incarnation.endpoint,
            per_s=per_s,
            before=before.per_s if before else 0,
        )

    def record_sent(self, incarnation: Incarnation) -> None:
        """Count a request that is sent to an endpoint."""
        if incarnation in self.limits:
            self.sent[incarnation] += 1
            metrics.LIMITED_REQUESTS.inc()

    def forget(self, incarnation: Incarnation) -> None:
        """End the limit of an endpoint, if it has one."""
        limit = self.limits.pop(incarnation, None)
        if limit is not None:
            events.emit(
                events.LIMIT_ENDED,
                endpoint=incarnation.endpoint,
                per_s=limit.per_s,
                sent=self.sent.pop(incarnation),
            )
            metrics.LIMITED_ENDPOINTS.set(len(self.limits))


__all__ = ["EndpointLimits", "Limit"]
