"""Limits of a customer in a class, shared among gateways by demand.

Each gateway enforces a part of each limit: a small fixed part, and the
rest in proportion to the demand that the gateways tell each other in
heartbeats. In a cut the last known demands keep dividing the limit. The
parts sum to the limit while views agree; whole numbers are rounded up,
so that concurrency may exceed its limit by one less than the gateways.
"""

import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import catalog
from primrosehitch import outcomes

FIXED_PART = 0.1
DEMAND_HALF_LIFE_MS = 4000
BURST_S = 2.0
MINUTE_S = 60.0
MIN_RETRY_S = 0.05
FORGET_DEMAND = 0.01


class Bucket:
    """A token bucket; amounts per second, times in ms."""

    def __init__(self, now: int):
        self.level = math.inf
        self.at = now

    def refill(self, rate: float, burst: float, now: int) -> None:
        """Add what has come since the last call, up to a burst."""
        level = self.level + rate * (now - self.at) / 1000
        self.level = min(level, burst)
        self.at = now

    def wait_s(self, amount: float, rate: float) -> float:
        """Return seconds until an amount is there."""
        return max(0.0, (amount - self.level) / rate)


class Use:
    """A customer's use of a class at this gateway."""

    def __init__(self, now: int):
        self.requests = Bucket(now)
        self.tokens = Bucket(now)
        self.running = 0
        self.demand = 0.0
        self.demand_at = now

    def demand_now(self, now: int) -> float:
        """Return requests lately asked for, decayed."""
        age = now - self.demand_at
        return self.demand * 0.5 ** (age / DEMAND_HALF_LIFE_MS)


class PeerDemand(NamedTuple):
    """What one gateway said it is asked for."""

    gateway: str
    requests: float


class Limits:
    """All limits at one gateway.

    Args:
        gateways: how many gateways the deployment has.
    """

    def __init__(self, gateways: int):
        self.gateways = gateways
        self.uses: dict[str, Use] = {}
        self.peers: dict[str, dict[str, float]] = {}

    def admit(self, grant: catalog.Grant, now: int) -> outcomes.Refusal | None:
        """Count a request in, or say why it is refused.

        Args:
            grant: the customer's grant for the class.
            now: the current time in ms.
        """
        use = self._use(grant, now)
        use.demand = use.demand_now(now) + 1
        use.demand_at = now
        part = self.part(grant, now)
        refusal = self._check(grant, use, part, now)
        if refusal is None:
            use.running += 1
            use.requests.level -= 1
        return refusal

    def finish(self, grant: catalog.Grant, tokens: float, now: int) -> None:
        """Count a request out and charge the tokens it used."""
        use = self._use(grant, now)
        use.running -= 1
        use.tokens.level -= tokens

    def part(self, grant: catalog.Grant, now: int) -> float:
        """Return this gateway's part, 0 to 1, of a grant's limits."""
        name = f"{grant.customer}/{grant.class_name}"
        own = self._use(grant, now).demand_now(now)
        others = sum(p.get(name, 0.0) for p in self.peers.values())
        total = own + others
        share = own / total if total > 0 else 1 / self.gateways
        return FIXED_PART / self.gateways + (1 - FIXED_PART) * share

    def hear(self, gateway: str, demand: dict[str, float]) -> None:
        """Note what another gateway is asked for, by grant."""
        self.peers[gateway] = demand

    def demands(self, now: int) -> Iterable[tuple[str, float]]:
        """Return this gateway's demand by grant, for its peers."""
        for name, use in list(self.uses.items()):
            demand = use.demand_now(now)
            if demand >= FORGET_DEMAND:
                yield name, demand
            elif not use.running and use.tokens.level >= 0:
                del self.uses[name]

    def _use(self, grant: catalog.Grant, now: int) -> Use:
        name = f"{grant.customer}/{grant.class_name}"
        use = self.uses.get(name)
        if use is None:
            use = self.uses[name] = Use(now)
        return use

    def _check(
        self, grant: catalog.Grant, use: Use, part: float, now: int
    ) -> outcomes.Refusal | None:
        if grant.concurrency:
            if use.running >= math.ceil(grant.concurrency * part):
                return _refusal("concurrency-limit", 1.0)
        if grant.requests_per_s:
            rate = grant.requests_per_s * part
            burst = max(1.0, rate * BURST_S)
            use.requests.refill(rate, burst, now)
            if use.requests.level < 1:
                return _refusal("rate-limit", use.requests.wait_s(1, rate))
        if grant.tokens_per_min:
            rate = grant.tokens_per_min / MINUTE_S * part
            use.tokens.refill(rate, rate * MINUTE_S, now)
            if use.tokens.level <= 0:
                return _refusal("token-limit", use.tokens.wait_s(0, rate))
        return None


def _refusal(reason: str, wait_s: float) -> outcomes.Refusal:
    retry = round(max(MIN_RETRY_S, wait_s), 2)
    return outcomes.not_run(
        reason, "the customer's limit is used up", "limits", 429, retry
    )


__all__ = ["Limits"]
