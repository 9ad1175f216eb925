"""Permits for requests to endpoints that named a rate limit or are cold.

Does no I/O; the caller passes the current time in ms. Edges ask their
control instance for permits, and that instance asks the leader for the sum
of what they want. Only the leader issues permits, at the rate that the
endpoint named, so that the sum over all edges keeps the limit however many
there are and whichever of them has the load. For an endpoint that is cold
the rate is the one of its service, if that is lower.

Permits for cold endpoints carry the time at which the receiver asked for
them, by its own clock. They were issued after that, and are void a fixed
time after it, however long they are under way.
"""

import random
from typing import Callable
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch.endpoint import Incarnation
from primrosehitch.endpointlimits import limited_incarnation
from primrosehitch.endpointlimits import PERMIT_TTL_MS

# A request for permits is void after this time. Edges repeat theirs while
# they have requests.
REQUEST_TTL_MS = 500
# Permits that were not asked for are kept up to the rate times this time,
# but one permit can always be kept: else none would be issued at all.
MAX_SAVED_MS = 250
# A limit that nobody asked permits for in this time is forgotten.
IDLE_TTL_MS = 60_000

# Returns the permits for a cold endpoint, in thousandths a second.
ColdRate = Callable[[Incarnation], int]


class Want(NamedTuple):
    """What one sender wants of permits for one endpoint.

    Attributes:
        count: the number of permits.
        at: when the request arrived, in ms.
        asked_ms: when it was sent, by the sender's clock.
    """

    count: int
    at: int
    asked_ms: int


class PermitQueue:
    """Those who want permits for one endpoint.

    Attributes:
        limit: what the endpoint named, as the last request said.
        wanted: what each sender wants.
        asked_at: time of the last request, in ms.
        cold_asked_at: time of the last request by which the endpoint is
            cold, in ms.
        milli_permits: permits that can be issued, in thousandths; only
            the leader counts them.
        counted_at: until when they are counted, in ms, or -1.
    """

    def __init__(self, limit: messages.EndpointLimit):
        self.limit = limit
        self.wanted: dict[str, Want] = {}
        self.asked_at = 0
        self.cold_asked_at = -REQUEST_TTL_MS - 1
        self.milli_permits = 0.0
        self.counted_at = -1

    def ask(
        self, sender: str, request: messages.EndpointLimit, now: int
    ) -> None:
        """Store what a sender wants in place of what it wanted before."""
        if request.said_ms >= self.limit.said_ms:
            self.limit = request
        self.wanted[sender] = Want(request.permits, now, request.asked_ms)
        self.asked_at = now
        if request.cold:
            self.cold_asked_at = now

    def is_cold(self, now: int) -> bool:
        """Return whether somebody who wants permits takes it for cold."""
        return now - self.cold_asked_at <= REQUEST_TTL_MS

    def total(self, now: int) -> int:
        """Return the number of permits that are wanted."""
        self.wanted = {
            sender: want
            for sender, want in self.wanted.items()
            if want.count > 0 and now - want.at <= REQUEST_TTL_MS
        }
        return sum(want.count for want in self.wanted.values())

    def hand_out(
        self, count: int, rng: random.Random, now: int
    ) -> dict[str, int]:
        """Return how many permits each sender gets of those available.

        Each goes to a sender drawn in proportion to what it wants.
        """
        shares: dict[str, int] = {}
        for _ in range(min(count, self.total(now))):
            senders = list(self.wanted)
            weights = [self.wanted[s].count for s in senders]
            (sender,) = rng.choices(senders, weights)
            want = self.wanted[sender]
            self.wanted[sender] = want._replace(count=want.count - 1)
            shares[sender] = shares.get(sender, 0) + 1
        return shares

    def accrue(self, now: int, cold_milli_per_s: int) -> int:
        """Count the permits that can be issued until now.

        Args:
            now: the current time in ms.
            cold_milli_per_s: the rate while the endpoint is cold.

        Returns:
            The number of whole permits that can be issued.
        """
        rate = self.limit.milli_per_s
        if self.is_cold(now):
            rate = min(rate or cold_milli_per_s, cold_milli_per_s)
        if not rate:
            self.milli_permits = 0.0
        if self.counted_at >= 0:
            elapsed_ms = now - self.counted_at
            most = max(1000.0, rate * MAX_SAVED_MS / 1000)
            gained = rate * elapsed_ms / 1000
            self.milli_permits = min(most, self.milli_permits + gained)
        self.counted_at = now
        return int(self.milli_permits // 1000)


class PermitDesk:
    """Passes on requests for permits, and issues permits while leading.

    Args:
        rng: draws who gets a permit.

    Attributes:
        queues: requests for permits, by incarnation.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.queues: dict[Incarnation, PermitQueue] = {}

    def ask(
        self,
        sender: str,
        requests: tuple[messages.EndpointLimit, ...],
        now: int,
    ) -> None:
        """Record a request for permits of an edge or another instance."""
        for request in requests:
            incarnation = limited_incarnation(request)
            if incarnation not in self.queues:
                self.queues[incarnation] = PermitQueue(request)
            self.queues[incarnation].ask(sender, request, now)

    def totals(self, now: int) -> tuple[messages.EndpointLimit, ...]:
        """Return the sums of what is wanted, to ask the leader for."""
        self._expire(now)
        sums = ((q, q.total(now)) for q in self.queues.values())
        return tuple(
            queue.limit._replace(
                permits=count,
                cold=queue.is_cold(now),
                cold_since_ms=0,
                asked_ms=now,
            )
            for queue, count in sums
            if count
        )

    def issue(
        self, now: int, cold_rate: ColdRate = lambda incarnation: 0
    ) -> dict[str, messages.PermitGrant]:
        """Issue the permits that are due, as the leader.

        Args:
            now: the current time in ms.
            cold_rate: returns the rate for an endpoint while it is cold.

        Returns:
            A grant for each sender that gets permits.
        """
        self._expire(now)
        shares = {}
        cold_ages = {}
        for incarnation, queue in self.queues.items():
            due = queue.accrue(now, cold_rate(incarnation))
            given = queue.hand_out(due, self.rng, now)
            queue.milli_permits -= 1000 * sum(given.values())
            shares[incarnation] = given
            if queue.is_cold(now):
                cold_ages[incarnation] = 0
        return self._make_grants(shares, cold_ages)

    def stop_issuing(self) -> None:
        """Drop all permits that could be issued; another instance leads."""
        for queue in self.queues.values():
            queue.milli_permits = 0.0
            queue.counted_at = -1

    def pass_on(
        self, grant: messages.PermitGrant, now: int
    ) -> dict[str, messages.PermitGrant]:
        """Return how permits from the leader go to this one's edges.

        Permits for cold endpoints that may be void by now are dropped.
        """
        shares = {}
        cold_ages = {}
        for limit in grant.limits:
            incarnation = limited_incarnation(limit)
            queue = self.queues.get(incarnation)
            if queue is None:
                continue
            if limit.cold:
                age_ms = now - limit.asked_ms + limit.age_ms
                if not 0 <= age_ms < PERMIT_TTL_MS:
                    continue
                cold_ages[incarnation] = age_ms
            shares[incarnation] = queue.hand_out(limit.permits, self.rng, now)
        return self._make_grants(shares, cold_ages)

    def _make_grants(
        self,
        shares: dict[Incarnation, dict[str, int]],
        cold_ages: dict[Incarnation, int],
    ) -> dict[str, messages.PermitGrant]:
        """Return the grants for each sender.

        Args:
            shares: the permits for each endpoint, by sender.
            cold_ages: how long ago the permits for cold endpoints may have
                been issued, in ms.
        """
        by_sender: dict[str, list[messages.EndpointLimit]] = {}
        for incarnation, given in shares.items():
            queue = self.queues[incarnation]
            limit = queue.limit._replace(
                cold=incarnation in cold_ages,
                cold_since_ms=0,
                age_ms=cold_ages.get(incarnation, 0),
            )
            for sender, count in given.items():
                by_sender.setdefault(sender, []).append(
                    limit._replace(
                        permits=count, asked_ms=queue.wanted[sender].asked_ms
                    )
                )
        return {
            sender: messages.PermitGrant(tuple(limits))
            for sender, limits in by_sender.items()
        }

    def _expire(self, now: int) -> None:
        for incarnation, queue in list(self.queues.items()):
            if now - queue.asked_at > IDLE_TTL_MS:
                del self.queues[incarnation]


__all__ = ["PermitDesk", "PermitQueue"]
