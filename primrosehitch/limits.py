"""Limits of a customer in a class, shared among the gateways by demand.

Does no I/O; the caller passes the current time in ms.

Each gateway enforces its share of each limit: a small fixed share, and the
rest in proportion to the demand that the gateways exchange in heartbeats.
During a network partition the last known demands still divide the limit.
The shares sum to the whole limit while all gateways know the same demands.
Each concurrency limit is rounded up, so that together the gateways may exceed
it by one less than their number.
"""

import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import outcomes

# Fraction of a limit that is divided equally among the gateways.
FIXED_SHARE = 0.1
DEMAND_HALF_LIFE_MS = 4000
# Time in which an unused request rate accumulates.
BURST_S = 2.0
MINUTE_S = 60.0
MIN_RETRY_AFTER_S = 0.05
# Grants with less demand are not sent to the peers.
MIN_DEMAND = 0.01


class Bucket:
    """A token bucket.

    Args:
        now: the current time in ms.

    Attributes:
        level: available amount; negative if more was used.
        updated: time of the last refill in ms.
    """

    def __init__(self, now: int):
        self.level = math.inf
        self.updated = now

    def refill(self, rate: float, burst: float, now: int) -> None:
        """Add the amount since the last refill.

        Args:
            rate: amount per second.
            burst: maximum level.
            now: the current time in ms.
        """
        level = self.level + rate * (now - self.updated) / 1000
        self.level = min(level, burst)
        self.updated = now

    def wait_s(self, amount: float, rate: float) -> float:
        """Return the seconds until an amount is available at a rate."""
        return max(0.0, (amount - self.level) / rate)


class Usage:
    """A customer's usage of a class at this gateway.

    Args:
        now: the current time in ms.

    Attributes:
        requests: bucket of the request rate.
        tokens: bucket of the token rate.
        inflight: number of in-flight requests.
        demand: decayed number of requests, as of ``demand_updated``.
        demand_updated: time of the last request in ms.
    """

    def __init__(self, now: int):
        self.requests = Bucket(now)
        self.tokens = Bucket(now)
        self.inflight = 0
        self.demand = 0.0
        self.demand_updated = now

    def decayed_demand(self, now: int) -> float:
        """Return the number of recent requests, decayed by their age."""
        age = now - self.demand_updated
        return self.demand * 0.5 ** (age / DEMAND_HALF_LIFE_MS)


class PeerDemand(NamedTuple):
    """The demand that one gateway reported."""

    gateway: str
    requests: float


class Limits:
    """The shares of all limits at one gateway.

    Args:
        gateways: number of gateways of the deployment.

    Attributes:
        usage_by_grant: usage at this gateway by customer and class.
        peer_demands: last known demands by gateway and grant.
    """

    def __init__(self, gateways: int):
        self.gateways = gateways
        self.usage_by_grant: dict[str, Usage] = {}
        self.peer_demands: dict[str, dict[str, float]] = {}

    def admit(self, grant: catalog.Grant, now: int) -> outcomes.Refusal | None:
        """Count a new request, or refuse it.

        Args:
            grant: the customer's grant for the class.
            now: the current time in ms.

        Returns:
            The refusal, or None if the request is within the limits.
        """
        usage = self._usage_of(grant, now)
        usage.demand = usage.decayed_demand(now) + 1
        usage.demand_updated = now
        share = self.share(grant, now)
        refusal = self._check(grant, usage, share, now)
        if refusal is None:
            usage.inflight += 1
            usage.requests.level -= 1
        return refusal

    def finish(self, grant: catalog.Grant, tokens: float, now: int) -> None:
        """Remove an ended request from the count and charge its tokens."""
        usage = self._usage_of(grant, now)
        usage.inflight -= 1
        usage.tokens.level -= tokens

    def share(self, grant: catalog.Grant, now: int) -> float:
        """Return this gateway's share, 0 to 1, of a grant's limits."""
        grant_name = f"{grant.customer}/{grant.class_name}"
        own = self._usage_of(grant, now).decayed_demand(now)
        others = sum(
            p.get(grant_name, 0.0) for p in self.peer_demands.values()
        )
        total = own + others
        demand_share = own / total if total > 0 else 1 / self.gateways
        return FIXED_SHARE / self.gateways + (1 - FIXED_SHARE) * demand_share

    def record_peer_demand(
        self, gateway: str, demand: dict[str, float]
    ) -> None:
        """Record the demand at another gateway, by grant."""
        self.peer_demands[gateway] = demand

    def demands(self, now: int) -> Iterable[tuple[str, float]]:
        """Yield this gateway's demand by grant, to be sent to its peers.

        Usage of grants without demand, in-flight requests and token debt
        is deleted.
        """
        for grant_name, usage in list(self.usage_by_grant.items()):
            demand = usage.decayed_demand(now)
            if demand >= MIN_DEMAND:
                yield grant_name, demand
            elif not usage.inflight and usage.tokens.level >= 0:
                del self.usage_by_grant[grant_name]

    def _usage_of(self, grant: catalog.Grant, now: int) -> Usage:
        grant_name = f"{grant.customer}/{grant.class_name}"
        usage = self.usage_by_grant.get(grant_name)
        if usage is None:
            usage = self.usage_by_grant[grant_name] = Usage(now)
        return usage

    def _check(
        self, grant: catalog.Grant, usage: Usage, share: float, now: int
    ) -> outcomes.Refusal | None:
        if grant.concurrency:
            if usage.inflight >= math.ceil(grant.concurrency * share):
                return _refusal("concurrency-limit", 1.0)
        if grant.requests_per_s:
            rate = grant.requests_per_s * share
            burst = max(1.0, rate * BURST_S)
            usage.requests.refill(rate, burst, now)
            if usage.requests.level < 1:
                return _refusal("rate-limit", usage.requests.wait_s(1, rate))
        if grant.tokens_per_min:
            rate = grant.tokens_per_min / MINUTE_S * share
            usage.tokens.refill(rate, rate * MINUTE_S, now)
            if usage.tokens.level <= 0:
                return _refusal("token-limit", usage.tokens.wait_s(0, rate))
        return None


def _refusal(reason: str, wait_s: float) -> outcomes.Refusal:
    retry_after_s = round(max(MIN_RETRY_AFTER_S, wait_s), 2)
    return outcomes.not_run(
        reason,
        "the customer has reached a limit of its grant",
        "limits",
        429,
        retry_after_s,
    )


__all__ = ["Limits"]
