"""Rate limits that endpoints in need name in their answers.

Does no I/O. A limit holds for the sum of all edges, for as long as the
endpoint's answers name it. An edge that learns of one tells the others, and
sends a request to a limited endpoint only with a permit. Permits come from
the leader of the control instances (``permits.py``) and expire soon, so that
none are saved up.

Two clocks are used: true time in ms, by which what endpoints said is
ordered across edges, and the local monotonic clock in ms (``now``).
"""

from collections import deque
from collections import OrderedDict
from typing import Iterator

from primrosehitch import events
from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch.endpoint import Incarnation

# A limit that is learned or ends is batched for this long.
LIMITS_DELAY_S = 0.03
# An unused permit expires after this time.
PERMIT_TTL_MS = 1000
# A lower limit is taken for this one: without a request now and then no
# answer could say that the limit has ended.
MIN_MILLI_PER_S = 100
# Ended limits are remembered too, since news of them may arrive late.
MAX_LIMITS = 2000

LimitUpdates = gathering.UpdateBatcher[Incarnation, messages.EndpointLimit]


def make_limit_updates() -> LimitUpdates:
    """Return a batcher of limits, keyed by incarnation."""
    return gathering.UpdateBatcher(LIMITS_DELAY_S)


def limited_incarnation(limit: messages.EndpointLimit) -> Incarnation:
    """Return the endpoint that a limit is about."""
    return Incarnation(limit.endpoint, limit.born)


class LimitTable:
    """The newest that is known of each endpoint's limit.

    Attributes:
        entries: limits in force and ended ones, by incarnation.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[Incarnation, messages.EndpointLimit] = (
            OrderedDict()
        )

    def milli_per_s(self, incarnation: Incarnation) -> int:
        """Return an endpoint's limit in 1/1000 requests a second, or 0."""
        entry = self.entries.get(incarnation)
        return entry.milli_per_s if entry is not None else 0

    def in_force(self) -> Iterator[messages.EndpointLimit]:
        """Yield the limits that are in force."""
        return (e for e in self.entries.values() if e.milli_per_s)

    def merge(self, limit: messages.EndpointLimit) -> bool:
        """Store a limit unless a newer one is known.

        Returns:
            Whether the limit began, changed or ended.
        """
        incarnation = limited_incarnation(limit)
        known = self.entries.get(incarnation)
        if known is not None and known.said_ms >= limit.said_ms:
            return False
        before = known.milli_per_s if known is not None else 0
        self.entries[incarnation] = limit._replace(permits=0)
        while len(self.entries) > MAX_LIMITS:
            self.entries.popitem(last=False)
        return before != limit.milli_per_s


class EndpointLimits:
    """The limits of endpoints and the permits for them at one edge.

    Attributes:
        table: what is known of limits.
        sent: this edge's requests to limited endpoints since it knows of
            the limit.
        permits: when the unused permits for an endpoint expire, in ms.
        wanted: requests that could have used a permit since the last
            request for permits, by incarnation.
        updates: what this edge learned from answers, for the other edges.
    """

    def __init__(self) -> None:
        self.table = LimitTable()
        self.sent: dict[Incarnation, int] = {}
        self.permits: dict[Incarnation, deque[int]] = {}
        self.wanted: dict[Incarnation, int] = {}
        self.updates = make_limit_updates()

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
            per_s: the requests a second that it names, 0 for none.
            sent_ms: when the request was sent, as true time.
            received_ms: when the answer began, as true time.
        """
        if not per_s and not self.table.milli_per_s(incarnation):
            return
        milli_per_s = max(MIN_MILLI_PER_S, round(1000 * per_s)) if per_s else 0
        said_ms = received_ms if per_s else sent_ms
        limit = messages.EndpointLimit(*incarnation, milli_per_s, said_ms)
        if self.apply(limit):
            self.updates.put(incarnation, limit)

    def apply(self, limit: messages.EndpointLimit) -> bool:
        """Apply what this or another edge learned; return if it changed."""
        incarnation = limited_incarnation(limit)
        before = self.table.milli_per_s(incarnation)
        if not self.table.merge(limit):
            return False
        if limit.milli_per_s:
            self.sent.setdefault(incarnation, 0)
            events.emit(
                events.LIMIT_IN_FORCE,
                endpoint=incarnation.endpoint,
                per_s=limit.milli_per_s / 1000,
                before=before / 1000,
            )
        else:
            self._end(incarnation, before)
        self._count_limited()
        return True

    def _count_limited(self) -> None:
        metrics.LIMITED_ENDPOINTS.set(sum(1 for _ in self.table.in_force()))

    def _end(self, incarnation: Incarnation, before: int) -> None:
        """Drop the permits for an endpoint without a limit, and log it."""
        self.permits.pop(incarnation, None)
        self.wanted.pop(incarnation, None)
        events.emit(
            events.LIMIT_ENDED,
            endpoint=incarnation.endpoint,
            per_s=before / 1000,
            sent=self.sent.pop(incarnation, 0),
        )

    def forget(self, incarnation: Incarnation) -> None:
        """Forget the limit of an endpoint that is gone."""
        milli_per_s = self.table.milli_per_s(incarnation)
        self.table.entries.pop(incarnation, None)
        if milli_per_s:
            self._end(incarnation, milli_per_s)
            self._count_limited()

    def is_open(self, incarnation: Incarnation, now: int) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if not self.table.milli_per_s(incarnation):
            return True
        permits = self.permits.get(incarnation)
        while permits and permits[0] <= now:
            permits.popleft()
        return bool(permits)

    def take(self, incarnation: Incarnation, now: int) -> bool:
        """Use a permit for a request that is about to be sent.

        Returns:
            Whether the request may be sent.
        """
        if not self.table.milli_per_s(incarnation):
            return True
        if not self.is_open(incarnation, now):
            return False
        self.permits[incarnation].popleft()
        self.sent[incarnation] = self.sent.get(incarnation, 0) + 1
        metrics.LIMITED_REQUESTS.inc()
        return True

    def want(self, incarnation: Incarnation) -> None:
        """Note that a request could have been sent with one more permit."""
        if self.table.milli_per_s(incarnation):
            self.wanted[incarnation] = self.wanted.get(incarnation, 0) + 1

    def take_wanted(self) -> tuple[messages.EndpointLimit, ...]:
        """Return the permits to ask for, and begin to count anew."""
        wanted, self.wanted = self.wanted, {}
        return tuple(
            self.table.entries[incarnation]._replace(permits=count)
            for incarnation, count in wanted.items()
            if self.table.milli_per_s(incarnation)
        )

    def add_permits(
        self, grants: tuple[messages.EndpointLimit, ...], now: int
    ) -> None:
        """Store permits that the leader granted."""
        for grant in grants:
            incarnation = limited_incarnation(grant)
            if self.table.milli_per_s(incarnation):
                self.permits.setdefault(incarnation, deque()).extend(
                    [now + PERMIT_TTL_MS] * grant.permits
                )

    def next_permit_ms(self, incarnation: Incarnation) -> int:
        """Return about how long one more permit takes, 0 if none is due."""
        milli_per_s = self.table.milli_per_s(incarnation)
        return 1_000_000 // milli_per_s if milli_per_s else 0


__all__ = [
    "EndpointLimits",
    "LimitTable",
    "LimitUpdates",
    "limited_incarnation",
    "make_limit_updates",
]
