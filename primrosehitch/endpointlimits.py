"""Rate limits that endpoints in need name in their answers.

Does no I/O. A limit holds for the sum of all edges, for as long as the
endpoint's answers name it. An edge that learns of one tells the others, and
sends a request to a limited endpoint only with a permit. Permits come from
the leader of the control instances (``permits.py``) and expire soon, so that
none are saved up. The same holds for endpoints that are cold
(``coldstarts.py``); one that is both gets permits at the lower rate.

Two clocks are used: true time in ms, by which what endpoints said is
ordered across edges, and the local monotonic clock in ms (``now``).
"""

from collections import deque
from collections import OrderedDict
from typing import Iterator

from primrosehitch import coldstarts
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
        cold: which endpoints are cold.
        sent: this edge's requests to limited endpoints since it knows of
            the limit.
        permits: when the unused permits for an endpoint expire, in ms.
        cold_permits: as permits, of those that were issued at the rate of a
            cold endpoint. They are valid for a time from the request for
            them on, so that no delay on the way prolongs it.
        wanted: requests that could have used a permit since the last
            request for permits, by incarnation.
        updates: what this edge learned from answers, for the other edges.
    """

    def __init__(self) -> None:
        self.table = LimitTable()
        self.cold = coldstarts.ColdStarts()
        self.sent: dict[Incarnation, int] = {}
        self.permits: dict[Incarnation, deque[int]] = {}
        self.cold_permits: dict[Incarnation, deque[int]] = {}
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
        self.cold.forget(incarnation)
        self.cold_permits.pop(incarnation, None)
        self.wanted.pop(incarnation, None)
        milli_per_s = self.table.milli_per_s(incarnation)
        self.table.entries.pop(incarnation, None)
        if milli_per_s:
            self._end(incarnation, milli_per_s)
            self._count_limited()

    def is_open(self, incarnation: Incarnation, now: int) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        is_cold = self.cold.is_cold(incarnation, now)
        if not is_cold and not self.table.milli_per_s(incarnation):
            return True
        return bool(self._valid_permits(incarnation, is_cold, now))

    def _valid_permits(
        self, incarnation: Incarnation, is_cold: bool, now: int
    ) -> deque[int] | None:
        """Return permits of which one can be used now, if there are any."""
        stores = (self.cold_permits, self.permits)
        for store in stores[:1] if is_cold else stores:
            permits = store.get(incarnation)
            while permits and permits[0] <= now:
                permits.popleft()
            if permits:
                return permits
        return None

    def take(self, incarnation: Incarnation, now: int) -> bool:
        """Use a permit for a request that is about to be sent.

        Returns:
            Whether the request may be sent.
        """
        is_limited = self.table.milli_per_s(incarnation) > 0
        is_cold = self.cold.is_cold(incarnation, now)
        if not is_limited and not is_cold:
            return True
        permits = self._valid_permits(incarnation, is_cold, now)
        if permits is None:
            return False
        permits.popleft()
        if is_cold:
            self.cold.record_sent(incarnation)
        if is_limited:
            self.sent[incarnation] = self.sent.get(incarnation, 0) + 1
            metrics.LIMITED_REQUESTS.inc()
        return True

    def want(self, incarnation: Incarnation) -> None:
        """Note that a request could have been sent with one more permit."""
        self.wanted[incarnation] = self.wanted.get(incarnation, 0) + 1

    def take_wanted(self, now: int) -> tuple[messages.EndpointLimit, ...]:
        """Return the permits to ask for, and begin to count anew."""
        wanted, self.wanted = self.wanted, {}
        requests = (
            self._make_request(incarnation, count, now)
            for incarnation, count in wanted.items()
        )
        return tuple(r for r in requests if r.milli_per_s or r.cold)

    def _make_request(
        self, incarnation: Incarnation, count: int, now: int
    ) -> messages.EndpointLimit:
        """Return a request for permits for one endpoint.

        An older control instance takes one without a limit for a limit of
        0, and issues none.
        """
        limit = messages.EndpointLimit(*incarnation)
        if self.table.milli_per_s(incarnation):
            limit = self.table.entries[incarnation]
        if self.cold.is_cold(incarnation, now):
            limit = limit._replace(
                cold=True,
                cold_since_ms=self.cold.since_ms(incarnation),
            )
        return limit._replace(permits=count, asked_ms=now)

    def add_permits(
        self, grants: tuple[messages.EndpointLimit, ...], now: int
    ) -> None:
        """Store permits that the leader granted."""
        for grant in grants:
            incarnation = limited_incarnation(grant)
            if grant.cold:
                self._add_cold_permits(incarnation, grant, now)
            elif self.table.milli_per_s(incarnation):
                self.permits.setdefault(incarnation, deque()).extend(
                    [now + PERMIT_TTL_MS] * grant.permits
                )

    def _add_cold_permits(
        self, incarnation: Incarnation, grant: messages.EndpointLimit, now: int
    ) -> None:
        """Store permits that were issued at the rate of a cold endpoint.

        They were issued after they had been asked for, and then were under
        way for at most as long as the grant says.
        """
        expires_at = grant.asked_ms - grant.age_ms + PERMIT_TTL_MS
        is_known = (
            self.table.milli_per_s(incarnation) > 0
            or incarnation in self.cold.states
        )
        if not is_known or not grant.asked_ms <= now < expires_at:
            return
        self.cold.record_grant(incarnation, now)
        permits = self.cold_permits.setdefault(incarnation, deque())
        permits.extend([expires_at] * grant.permits)

    def next_permit_ms(self, incarnation: Incarnation, now: int) -> int:
        """Return about how long one more permit takes, 0 if none is due."""
        milli_per_s = self.table.milli_per_s(incarnation)
        permit_ms = 1_000_000 // milli_per_s if milli_per_s else 0
        if self.cold.is_cold(incarnation, now):
            return max(permit_ms, self.cold.next_request_ms(incarnation, now))
        return permit_ms


__all__ = [
    "EndpointLimits",
    "LimitTable",
    "LimitUpdates",
    "limited_incarnation",
    "make_limit_updates",
]
