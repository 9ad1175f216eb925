"""Shares of customers in places that are scarce.

Does no I/O; the caller passes the current time in ms. One instance covers the
requests of one tier for a service at one edge. A customer's share of what is
admitted is in proportion to its usual traffic. What a customer does not use
goes to the others: with the demand of the last seconds, a level is found at
which all demands, each cut at its share of the level, sum to what is admitted.

No customer is starved: one without an admitted request for ``MAX_REFUSAL_MS``
is never above its share, nor is one whose admitted requests are below
``MIN_USE``.
"""

from collections import OrderedDict
import math

from primrosehitch import demand as demand_module

# Customers that are remembered; the one that sent a request longest ago is
# forgotten first.
MAX_CUSTOMERS = 2048
# Requests of this age count half in what a customer uses and demands.
USE_HALF_LIFE_MS = demand_module.HALF_LIFE_MS
# Requests of this age count half in its usual traffic, which is measured only
# while places are not scarce.
USUAL_HALF_LIFE_MS = 60_000.0
# A customer without usual traffic gets the share of one with this part of the
# mean, and none less than that.
MIN_USUAL_FRACTION = 0.25
# A customer is above its share if it uses more than so many times as much. One
# that demands less than its share cannot be.
EXCESS_FACTOR = 1.1
# Only a customer whose demand exceeds its usual traffic by this factor more
# than that of the median customer is above its share. If all send more than
# usual, tiers decide and not shares.
SURGE_FACTOR = 2.0
# All demand counts as admitted if it exceeds what is admitted by no more than
# this part and this number of requests.
DEMAND_TOLERANCE = 0.05
REQUEST_TOLERANCE = 1.0
# Answers end later than requests are admitted. While both grow, what ended
# does not count for less than this part of what was admitted.
MIN_ENDED_FRACTION = 0.5
# Use of fewer requests lately says nothing.
MIN_USE = 2.0
MAX_REFUSAL_MS = 2000
# The level is found again after this time.
LEVEL_PERIOD_MS = 250


class CustomerUse:
    """What one customer sent and got.

    Attributes:
        demand: requests that it sent lately, each counted by its age.
        used: requests of it that were admitted lately, likewise.
        usual: requests that it sent while places were not scarce, likewise,
            over a longer time.
        updated_at: when the sums were brought up to date, in ms.
        refused_since: when its first request after the last admitted one
            was refused, in ms, or -1.
    """

    __slots__ = ("demand", "refused_since", "updated_at", "used", "usual")

    def __init__(self, now: int):
        self.demand = 0.0
        self.used = 0.0
        self.usual = 0.0
        self.updated_at = now
        self.refused_since = -1

    def age(self, now: int) -> None:
        """Bring the sums up to date."""
        elapsed_ms = now - self.updated_at
        if elapsed_ms <= 0:
            return
        kept = 0.5 ** (elapsed_ms / USE_HALF_LIFE_MS)
        self.demand *= kept
        self.used *= kept
        self.usual *= 0.5 ** (elapsed_ms / USUAL_HALF_LIFE_MS)
        self.updated_at = now


class CustomerShares:
    """Who uses more than its share of one tier's places at this edge.

    Args:
        max_customers: number of customers that are remembered.

    Attributes:
        uses: what each customer sent and got, the one that sent a request
            longest ago first.
        level: admitted requests for each request of usual traffic, infinite
            while all demand is admitted.
        level_at: when the level was found, in ms, or -1.
        median_ratio: demand for each request of usual traffic, of the
            median customer, at that time.
        mean_usual: mean usual traffic of the customers with demand then.
    """

    def __init__(self, max_customers: int = MAX_CUSTOMERS):
        self.max_customers = max_customers
        self.uses: OrderedDict[str, CustomerUse] = OrderedDict()
        self.level = math.inf
        self.level_at = -1
        self.median_ratio = 0.0
        self.mean_usual = 0.0

    def record_arrival(self, customer: str, is_scarce: bool, now: int) -> None:
        """Count a request of a customer.

        Args:
            customer: the customer.
            is_scarce: whether places are scarce; such traffic is not usual.
            now: the current time in ms.
        """
        use = self.uses.get(customer)
        if use is None:
            use = self.uses[customer] = CustomerUse(now)
            if len(self.uses) > self.max_customers:
                self.uses.popitem(last=False)
        else:
            self.uses.move_to_end(customer)
        use.age(now)
        use.demand += 1
        if not is_scarce:
            use.usual += 1

    def record_decision(
        self, customer: str, is_admitted: bool, now: int
    ) -> None:
        """Count an admitted or a refused request, after its arrival."""
        use = self.uses[customer]
        use.age(now)
        if is_admitted:
            use.used += 1
            use.refused_since = -1
        elif use.refused_since < 0:
            use.refused_since = now

    def describe(self, customer: str, now: int) -> str:
        """Return what a customer got lately and its share, for the log.

        Args:
            customer: the customer, after ``record_arrival``.
            now: the current time in ms.
        """
        use = self.uses.get(customer)
        if use is None:
            return ""
        share = self.share(use, now)
        text = "all" if math.isinf(share) else f"{share:.1f}"
        return f"{use.used:.1f} of {text}"

    def is_above_share(
        self, customer: str, now: int, ended: float = math.inf
    ) -> bool:
        """Return whether a customer got more than its share lately.

        Args:
            customer: the customer, after ``record_arrival``.
            now: the current time in ms.
            ended: the answers of the tier that ended lately, each counted by
                its age. Requests that were admitted beyond them made the
                queue longer, and are no measure of the places.
        """
        use = self.uses[customer]
        use.age(now)
        if use.refused_since >= 0 and (
            now - use.refused_since >= MAX_REFUSAL_MS
        ):
            return False
        share = self.share(use, now, ended)
        usual_demand = self.median_ratio * self._weight(use)
        return (
            use.used > max(MIN_USE, EXCESS_FACTOR * share)
            and use.demand > SURGE_FACTOR * usual_demand
        )

    def share(
        self, use: CustomerUse, now: int, ended: float = math.inf
    ) -> float:
        """Return the admitted requests that are a customer's share."""
        if self.level_at < 0 or now - self.level_at >= LEVEL_PERIOD_MS:
            self._find_level(ended, now)
        if math.isinf(self.level):
            return math.inf
        return self.level * self._weight(use)

    def share_per_s(self, customer: str, now: int) -> float:
        """Return a customer's share as requests a second."""
        share = self.share(self.uses[customer], now)
        return share * math.log(2) * 1000 / USE_HALF_LIFE_MS

    def _weight(self, use: CustomerUse) -> float:
        return max(use.usual, MIN_USUAL_FRACTION * self.mean_usual, 1e-9)

    def _find_level(self, ended: float, now: int) -> None:
        """Find the level at which the cut demands sum to what is admitted.

        Customers with the least demand for their weight get all of it.
        """
        self.level_at = now
        active = []
        for use in self.uses.values():
            use.age(now)
            if use.demand >= MIN_USE / 4:
                active.append(use)
        used = sum(use.used for use in active)
        room = min(used, max(ended, MIN_ENDED_FRACTION * used))
        demand = sum(use.demand for use in active)
        tolerated = (1 + DEMAND_TOLERANCE) * room + REQUEST_TOLERANCE
        if len(active) < 2 or demand <= tolerated:
            self.level = math.inf
            return
        self.mean_usual = sum(use.usual for use in active) / len(active)
        if not self.mean_usual:
            self.mean_usual = 1.0
        weighted = sorted(
            ((use.demand / self._weight(use), use) for use in active),
            key=lambda item: item[0],
        )
        self.median_ratio = weighted[(len(weighted) - 1) // 2][0]
        weights = sum(self._weight(use) for use in active)
        for ratio, use in weighted:
            if ratio * weights >= room:
                break
            room -= use.demand
            weights -= self._weight(use)
        self.level = max(0.0, room) / max(weights, 1e-9)


__all__ = ["CustomerShares", "CustomerUse", "MAX_CUSTOMERS", "MAX_REFUSAL_MS"]
