"""How many endpoints to order, where, and of which kind.

Pure. Reclaimable endpoints cost a part of the others' price and may go a
failure domain at a time, so they are spread over the domains, with room
for the loss of one. Others are ordered only where reclaimable ones are
not to be had. Endpoints are added at once and let go slowly.
"""

from collections import deque
import math
from typing import Iterable
from typing import NamedTuple

from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import routes

# Requests under way at one model engine at which a prompt read beside
# them still meets common objectives.
COMFORT = 8.0
# Demand counts by its peak over this time, so that a lull between two
# bursts lets no endpoint go.
PEAK_MS = 20_000
# A domain without reclaimable endpoints is asked again after this time.
UNAVAILABLE_MS = 6_000
# An order that did not show in the endpoints' reports is sent again.
REPEAT_MS = 10_000
# Fewest reclaimable endpoints in a domain.
LEAST_SPOT = 1


class Want(NamedTuple):
    """A number of endpoints to order.

    Attributes:
        service: the service.
        domain: the failure domain.
        spot: whether reclaimable ones.
        count: how many.
    """

    service: str
    domain: str
    spot: bool
    count: int


class Present(NamedTuple):
    """Endpoints of a domain that take new work."""

    steady: int
    spot: int


class Demand:
    """The peak of the requests under way, over a time.

    Args:
        window_ms: the time.
    """

    def __init__(self, window_ms: int = PEAK_MS):
        self.window_ms = window_ms
        self.samples: deque[tuple[int, float]] = deque()

    def note(self, running: float, now: int) -> None:
        """Take in how many are under way now."""
        while self.samples and self.samples[-1][1] <= running:
            self.samples.pop()
        self.samples.append((now, running))

    def peak(self, now: int) -> float:
        """Return the highest number noted lately."""
        while self.samples and now - self.samples[0][0] > self.window_ms:
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0.0


class Scaler:
    """Decides the orders for one service.

    Args:
        service: its name.
    """

    def __init__(self, service: str):
        self.service = service
        self.demand = Demand()
        self.unavailable: dict[str, int] = {}
        self.sent: dict[tuple[str, bool], tuple[int, int]] = {}

    def unavailable_at(self, domain: str, now: int) -> None:
        """Note that a domain has no reclaimable endpoints now."""
        self.unavailable[domain] = now + UNAVAILABLE_MS

    def accepted(self, want: Want, now: int) -> None:
        """Note that the platform took an order."""
        self.sent[want.domain, want.spot] = (want.count, now)

    def plan(
        self,
        scaling: routes.Scaling,
        domains: Iterable[str],
        records: Iterable[messages.EndpointRecord],
        now: int,
    ) -> list[Want]:
        """Return the orders to send now.

        Args:
            scaling: the service's limits and prices.
            domains: the failure domains of the deployment.
            records: all endpoints known.
            now: the current time in ms.
        """
        names = sorted(domains, key=lambda d: (scaling.prices.get(d, 1.0), d))
        present = self._present(names, records, now)
        wanted = self._targets(scaling, names, now)
        orders: list[Want] = []
        for domain in names:
            orders += self._orders(scaling, domain, wanted, present, now)
        return [order for order in orders if self._is_due(order, present, now)]

    # -- how many ----------------------------------------------------------

    def _targets(
        self, scaling: routes.Scaling, names: list[str], now: int
    ) -> dict[str, Present]:
        """Return how many of each kind each domain should have."""
        spots = [d for d in names if self._spot_at(scaling, d, now)]
        need = max(1, math.ceil(self.demand.peak(now) / COMFORT))
        if len(names) > 1:
            need = math.ceil(need * len(names) / (len(names) - 1))
        targets = dict.fromkeys(names, 0)
        order = spots or names
        for i in range(need):
            domain = order[i % len(order)]
            targets[domain] = min(scaling.most, targets[domain] + 1)
        result = {}
        for domain in names:
            if domain in spots:
                count = max(targets[domain], scaling.least, LEAST_SPOT)
                result[domain] = Present(0, min(count, scaling.most))
            else:
                count = max(targets[domain], scaling.least)
                result[domain] = Present(count, 0)
        return result

    def _spot_at(self, scaling: routes.Scaling, domain: str, now: int) -> bool:
        if not 0 < scaling.spot_price < 1:
            return False
        return self.unavailable.get(domain, 0) <= now

    def _present(
        self,
        names: list[str],
        records: Iterable[messages.EndpointRecord],
        now: int,
    ) -> dict[str, Present]:
        present = {domain: Present(0, 0) for domain in names}
        for record in records:
            if record.service != self.service or record.domain not in present:
                continue
            if record.state == registry.DRAINING and record.spot:
                self.unavailable_at(record.domain, now)
            if record.state != registry.READY:
                continue
            steady, spot = present[record.domain]
            present[record.domain] = Present(
                steady + (not record.spot), spot + record.spot
            )
        return present

    # -- orders ------------------------------------------------------------

    def _orders(
        self,
        scaling: routes.Scaling,
        domain: str,
        wanted: dict[str, Present],
        present: dict[str, Present],
        now: int,
    ) -> list[Want]:
        """Return a domain's orders; what serves goes last."""
        want, have = wanted[domain], present[domain]
        room = scaling.most - have.steady
        spot = min(want.spot, max(room, have.spot))
        orders = [Want(self.service, domain, True, spot)]
        steady = want.steady
        if steady < have.steady and have.spot + steady < sum(want):
            steady = self._kept(scaling, have, want)
        orders.append(Want(self.service, domain, False, steady))
        if not 0 < scaling.spot_price < 1:
            return orders[1:]
        return orders

    def _kept(
        self, scaling: routes.Scaling, have: Present, want: Present
    ) -> int:
        """Return how many others stay until reclaimable ones serve."""
        missing = sum(want) - have.spot
        room = scaling.most - want.spot
        return max(0, min(have.steady, max(missing, 1), room))

    def _is_due(
        self, order: Want, present: dict[str, Present], now: int
    ) -> bool:
        have = present[order.domain]
        count = have.spot if order.spot else have.steady
        sent = self.sent.get((order.domain, order.spot))
        if sent is None:
            return order.count != count
        if sent[0] != order.count:
            return True
        return count != order.count and now - sent[1] > REPEAT_MS


__all__ = ["Demand", "Present", "Scaler", "Want"]
