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
# Requests under way at one engine at which most come late; below that,
# waiting for reclaimable ones costs less than others do.
CROWDED = 16.0
# Endpoints that stand ready, relative to what the operators began with:
# with reclaimable ones at a fifth of the price, under half of the cost.
HEADROOM = 2.0
# Demand counts by its peak over this time, so that a lull between two
# bursts lets no endpoint go.
PEAK_MS = 30_000
# A crowd counts for this long after it was last seen.
CROWD_MS = 5_000
# A domain without reclaimable endpoints is asked again after this time:
# a call costs little, and every second without them much.
UNAVAILABLE_MS = 1_500
# A larger order stands at least this long: every endpoint that goes
# takes the prompts it has read with it.
HOLD_MS = 30_000
# An order that did not show in the endpoints' reports is sent again.
REPEAT_MS = 10_000


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
        self.demand = Demand(PEAK_MS)
        self.crowd = Demand(CROWD_MS)
        self.first = 0
        self.base: dict[str, int] = {}
        self.unavailable: dict[str, int] = {}
        self.sent: dict[tuple[str, bool], tuple[int, int]] = {}

    def note_demand(self, running: float, now: int) -> None:
        """Take in how many requests are under way now."""
        self.demand.note(running, now)
        self.crowd.note(running, now)

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
        total = sum(sum(have) for have in present.values())
        self.first = max(self.first, total if not self.sent else 0)
        spots = [d for d in names if self._spot_at(scaling, d, now)]
        targets = self._targets(scaling, names, spots, now)
        extra = self._extra(scaling, names, present, now)
        orders: list[Want] = []
        for domain in names:
            have = present[domain]
            base = self._base(scaling, domain, have)
            steady = min(max(base, extra[domain]), scaling.most)
            orders.append(Want(self.service, domain, False, steady))
            if domain in spots:
                room = scaling.most - max(have.steady, steady)
                spot = min(targets[domain], max(room, have.spot))
                orders.append(Want(self.service, domain, True, spot))
        return [o for o in orders if self._is_due(o, present, now)]

    def _base(
        self, scaling: routes.Scaling, domain: str, have: Present
    ) -> int:
        """Return how many of those there first stay for now.

        Each leaves once a reclaimable one serves in its place.
        """
        base = self.base.setdefault(domain, have.steady)
        if not 0 < scaling.spot_price < 1:
            return base
        if have.spot >= base:
            self.base[domain] = 0
        return max(0, base - have.spot)

    # -- how many ----------------------------------------------------------

    def need(self, domains: int, now: int) -> int:
        """Return how many endpoints the service should have.

        A multiple of what the operators began with stands ready, since
        reclaimable ones cost little beside what a burst without room
        loses, and a new one comes too late for it.
        """
        need = math.ceil(self.demand.peak(now) / COMFORT)
        if domains > 1:
            need = math.ceil(need * domains / (domains - 1))
        return max(1, need, math.ceil(HEADROOM * self.first))

    def _extra(
        self,
        scaling: routes.Scaling,
        names: list[str],
        present: dict[str, Present],
        now: int,
    ) -> dict[str, int]:
        """Return how many of the dear kind each domain needs besides.

        They make up for reclaimable ones that are not to be had, up to
        what the operators began with or a crowd needs, and go as soon
        as those are back; first where there are none of those.
        """
        extra = dict.fromkeys(names, 0)
        cheap = 0 < scaling.spot_price < 1
        if cheap:
            need = max(self.first, math.ceil(self.crowd.peak(now) / CROWDED))
            need -= sum(have.spot for have in present.values())
        else:
            need = self.need(len(names), now)
        without = {d for d in names if self._was_unavailable(d, now)}
        while need > 0:
            open_ = [
                d for d in names if extra[d] + present[d].spot < scaling.most
            ]
            if not open_:
                break
            least = min(open_, key=lambda d: (d not in without, extra[d]))
            extra[least] += 1
            need -= 1
        if not cheap:
            extra = {d: max(n, scaling.least) for d, n in extra.items()}
        return extra

    def _targets(
        self,
        scaling: routes.Scaling,
        names: list[str],
        spots: list[str],
        now: int,
    ) -> dict[str, int]:
        """Return how many each domain should have, cheap ones first."""
        need = self.need(len(names), now)
        takers = spots or names
        targets = dict.fromkeys(names, scaling.least)
        while sum(targets[d] for d in takers) < need:
            open_ = [d for d in takers if targets[d] < scaling.most]
            if not open_:
                break
            least = min(open_, key=lambda d: targets[d])
            targets[least] += 1
        return targets

    def _spot_at(self, scaling: routes.Scaling, domain: str, now: int) -> bool:
        if not 0 < scaling.spot_price < 1:
            return False
        return self.unavailable.get(domain, 0) <= now

    def _was_unavailable(self, domain: str, now: int) -> bool:
        """Return whether a domain lacked reclaimable ones lately."""
        return now < self.unavailable.get(domain, -CROWD_MS) + CROWD_MS

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
            leaving = record.spot and record.leaves_ms > 0
            if record.state == registry.DRAINING and leaving:
                self.unavailable_at(record.domain, now)
            if record.state != registry.READY:
                continue
            steady, spot = present[record.domain]
            present[record.domain] = Present(
                steady + (not record.spot), spot + record.spot
            )
        return present

    # -- orders ------------------------------------------------------------

    def _is_due(
        self, order: Want, present: dict[str, Present], now: int
    ) -> bool:
        have = present[order.domain]
        count = have.spot if order.spot else have.steady
        sent = self.sent.get((order.domain, order.spot))
        if sent is None:
            return order.count != count
        if order.count > sent[0] or not order.spot:
            return order.count != sent[0]
        if order.count < sent[0]:
            return now - sent[1] > HOLD_MS
        return count < order.count and now - sent[1] > REPEAT_MS


__all__ = ["Demand", "Present", "Scaler", "Want"]
