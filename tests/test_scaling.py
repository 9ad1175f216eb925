"""Tests of the autoscaler: spread, reclaims, bursts and no flapping."""

import math

from primrosehitch import messages
from primrosehitch import routes
from primrosehitch import scaling

DOMAINS = ("za", "zb", "zc")
SCALING = routes.Scaling(1, 5, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))


class SimulatedPlatform:
    """A platform that carries out larger orders after four seconds."""

    def __init__(self, on_demand=2, scaling_limits=SCALING):
        self.scaling_limits = scaling_limits
        self.counts = {(d, False): on_demand for d in DOMAINS}
        self.counts |= {(d, True): 0 for d in DOMAINS}
        self.pending_boots = []
        self.reclaimed_until = {}
        self.scaler = scaling.Scaler("s")
        self.orders = []
        self.now = 0

    def records(self):
        endpoint_records = []
        for (domain, spot), count in self.counts.items():
            is_reclaimed = spot and self.now < self.reclaimed_until.get(
                domain, 0
            )
            for i in range(count):
                endpoint_records.append(
                    messages.EndpointRecord(
                        id=f"{domain}{spot}{i}",
                        service="s",
                        domain=domain,
                        state="draining" if is_reclaimed else "ready",
                        leaves_ms=1000 if is_reclaimed else 0,
                        spot=spot,
                    )
                )
        return endpoint_records

    def ready_count(self):
        return sum(r.state == "ready" for r in self.records())

    def run(self, ms, running=0):
        for _ in range(ms // 500):
            self.now += 500
            for boot in [b for b in self.pending_boots if b[0] <= self.now]:
                self.pending_boots.remove(boot)
                self.counts[boot[1]] = boot[2]
            self.scaler.record_demand(running, self.now)
            self.scaler.observe(self.records(), True)
            planned_orders = self.scaler.plan_orders(
                self.scaling_limits, DOMAINS, self.records(), self.now
            )
            for order in planned_orders:
                self.handle_order(order)

    def handle_order(self, order):
        domain = order.domain
        if order.spot and self.now < self.reclaimed_until.get(domain, 0):
            self.scaler.mark_spot_unavailable(domain, self.now)
            return
        self.orders.append((self.now, order))
        self.scaler.record_accepted(order, self.now)
        key = (domain, order.spot)
        if order.count < self.counts[key]:
            self.counts[key] = order.count
        else:
            self.pending_boots.append((self.now + 4000, key, order.count))


def run_dry_spell(platform):
    """Run until just before spot endpoints return to any domain."""
    platform.run(12_000, running=150)
    for domain in DOMAINS:
        platform.reclaimed_until[domain] = platform.now + 20_000
    platform.run(2500, running=150)
    for domain in DOMAINS:
        platform.counts[domain, True] = 0
    platform.run(17_000, running=150)


def counts_by_kind(platform):
    on_demand = sum(n for (_, spot), n in platform.counts.items() if not spot)
    return on_demand, sum(
        n for (_, spot), n in platform.counts.items() if spot
    )


def test_spot_endpoints_replace_on_demand_ones():
    platform = SimulatedPlatform(on_demand=2)
    platform.run(10_000)
    assert counts_by_kind(platform) == (0, 12)


def test_replacement_keeps_enough_endpoints_ready():
    platform = SimulatedPlatform(on_demand=2)
    for _ in range(20):
        platform.run(500)
        assert platform.ready_count() >= 6


def test_limited_endpoints_are_replaced_while_their_limit_lasts():
    """What limited endpoints turn away is demand for others."""
    platform = SimulatedPlatform(on_demand=2)
    platform.run(10_000)
    platform.scaler.limited_count = 3
    platform.run(10_000)
    assert counts_by_kind(platform) == (0, 15)
    platform.scaler.limited_count = 0
    platform.run(60_000)
    assert counts_by_kind(platform) == (0, 12)


# Guards against: endpoints that serve are dismissed for ones that are cold.
def test_on_demand_endpoints_stay_while_spot_endpoints_are_cold():
    roomy = SCALING._replace(max_endpoints=8)
    platform = SimulatedPlatform(on_demand=2, scaling_limits=roomy)
    platform.scaler.cold_spot_count = 12
    platform.run(10_000)
    assert counts_by_kind(platform) == (6, 12)
    platform.scaler.cold_spot_count = 0
    platform.run(10_000)
    assert counts_by_kind(platform) == (0, 12)


def test_limit_covers_both_kinds_together():
    platform = SimulatedPlatform(on_demand=4)
    for _ in range(30):
        platform.run(500)
        for domain in DOMAINS:
            total = sum(platform.counts[domain, spot] for spot in (0, 1))
            assert total <= SCALING.max_endpoints


def test_steady_demand_causes_no_orders():
    platform = SimulatedPlatform()
    platform.run(20_000)
    orders = len(platform.orders)
    for i in range(60):
        platform.run(1000, running=5 + i % 7)
    assert len(platform.orders) == orders


def test_burst_scales_up_and_lull_does_not_scale_down():
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    assert counts_by_kind(platform) == (0, 6)
    platform.run(5000, running=80)
    platform.run(5000)
    assert counts_by_kind(platform) == (0, 15)


def test_reclaimed_domain_is_replaced_in_other_domains():
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    platform.reclaimed_until["zb"] = platform.now + 8000
    platform.run(6000)
    assert platform.counts["za", True] == platform.counts["zc", True] == 3
    platform.counts["zb", True] = 0
    platform.run(12_000)
    assert platform.counts["zb", True] >= 2


def test_without_spot_capacity_on_demand_endpoints_are_ordered():
    platform = SimulatedPlatform(on_demand=2)
    platform.run(12_000, running=90)
    for domain in DOMAINS:
        platform.reclaimed_until[domain] = platform.now + 30_000
    platform.run(8000, running=90)
    on_demand, _ = counts_by_kind(platform)
    assert on_demand == math.ceil(90 / scaling.TARGET_REQUESTS_PER_ENGINE)


def test_on_demand_endpoints_cover_only_what_is_missing():
    """Two domains of three lose their spot endpoints for a long time.

    This is the dry variant of the scenario reclaim.
    """
    platform = SimulatedPlatform(on_demand=2)
    platform.run(12_000, running=30)
    platform.reclaimed_until["zb"] = platform.now + 30_000
    platform.run(8000, running=30)
    assert counts_by_kind(platform)[0] == 0
    platform.reclaimed_until["zc"] = platform.now + 30_000
    platform.run(8000, running=30)
    assert counts_by_kind(platform)[0] == 6 - SCALING.max_endpoints
    platform.run(8000, running=110)
    assert (
        counts_by_kind(platform)[0]
        == math.ceil(110 / scaling.TARGET_REQUESTS_PER_ENGINE)
        - SCALING.max_endpoints
    )
    platform.run(90_000)
    assert counts_by_kind(platform) == (0, 12)


def test_domain_full_of_on_demand_endpoints_returns_to_spot():
    """After a time without spot capacity a domain may be full.

    All endpoints of it are then on-demand ones, and no room is left to
    order spot endpoints beside them.
    """
    platform = SimulatedPlatform(on_demand=2)
    run_dry_spell(platform)
    # All but the one place in which a spot endpoint is tried.
    assert counts_by_kind(platform)[0] == 14
    platform.run(90_000, running=20)
    assert counts_by_kind(platform) == (0, 12)


def test_spot_endpoints_return_soon_after_capacity_does():
    platform = SimulatedPlatform(on_demand=2)
    platform.run(12_000)
    platform.reclaimed_until["zb"] = platform.now + 9200
    platform.run(2500)
    platform.counts["zb", True] = 0
    platform.run(6700 + 2000 + 4000)
    assert platform.counts["zb", True] == 4


def test_without_a_spot_price_no_spot_endpoints_are_ordered():
    platform = SimulatedPlatform(
        on_demand=2, scaling_limits=SCALING._replace(spot_price=0.0)
    )
    platform.run(10_000, running=40)
    on_demand, spot = counts_by_kind(platform)
    assert spot == 0
    assert on_demand >= 6


def test_unconfirmed_order_is_resent():
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    platform.counts["za", True] = 0
    order_count = len(platform.orders)
    platform.run(scaling.RESEND_MS + 1000)
    assert platform.counts["za", True] == 2
    assert len(platform.orders) == order_count + 1


def test_spot_retries_do_not_cancel_on_demand_orders():
    """A domain without spot endpoints is retried every other second.

    A retry must not make the domain count as supplied again.
    """
    platform = SimulatedPlatform(on_demand=2)
    platform.run(12_000)
    for domain in ("zb", "zc"):
        platform.reclaimed_until[domain] = platform.now + 16_000
    platform.run(2500, running=100)
    platform.counts["zb", True] = platform.counts["zc", True] = 0
    order_count = len(platform.orders)
    platform.run(13_000, running=100)
    counts = {}
    for _, order in platform.orders[order_count:]:
        if not order.spot:
            counts.setdefault(order.domain, []).append(order.count)
    assert counts_by_kind(platform)[0] > 0
    for domain_counts in counts.values():
        assert domain_counts == sorted(domain_counts)


def test_new_leader_does_not_double_what_the_old_one_ordered():
    """Pattern: leaders change one after the other in one day.

    Each finds the standby endpoints of the one before.
    """
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    assert counts_by_kind(platform) == (0, 6)
    for _ in range(3):
        platform.scaler = scaling.Scaler("s")
        platform.run(12_000)
        assert counts_by_kind(platform) == (0, 6)


def test_follower_that_saw_the_start_leads_on_with_the_same_count():
    platform = SimulatedPlatform(on_demand=1)
    follower = scaling.Scaler("s")
    follower.observe(platform.records(), True)
    platform.run(10_000)
    follower.observe(platform.records(), True)
    platform.scaler = follower
    platform.run(40_000)
    assert counts_by_kind(platform) == (0, 6)


def test_restarted_leader_that_hears_endpoints_one_by_one_removes_none():
    """Pattern: all lost power; on-demand endpoints report first."""
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    platform.counts["za", False] = 1
    restarted = scaling.Scaler("s")
    records = sorted(platform.records(), key=lambda r: r.spot)
    for count in range(1, len(records)):
        restarted.observe(records[:count], False)
    restarted.observe(records, True)
    orders = restarted.plan_orders(SCALING, DOMAINS, records, platform.now)
    assert not [o for o in orders if o.spot and o.count < 2]
    assert restarted.initial_count >= 3


def test_domain_full_of_on_demand_endpoints_makes_room_for_spot_ones():
    """Pattern: a dry spell in which each domain was filled at full price."""
    limits = SCALING._replace(max_endpoints=3)
    platform = SimulatedPlatform(on_demand=2, scaling_limits=limits)
    run_dry_spell(platform)
    assert counts_by_kind(platform)[0] >= 8
    platform.run(60_000, running=150)
    assert counts_by_kind(platform) == (0, 9)


def test_overload_orders_spot_endpoints_where_there_are_any():
    """Pattern: a burst while spot endpoints are to be had everywhere.

    On-demand ones would serve no sooner, and take the room of spot ones.
    """
    platform = SimulatedPlatform(on_demand=1)
    platform.run(10_000)
    order_count = len(platform.orders)
    platform.run(6000, running=110)
    assert not [o for _, o in platform.orders[order_count:] if not o.spot]
    assert counts_by_kind(platform) == (0, 15)


def test_spot_orders_that_bring_nothing_are_not_counted_on():
    """Pattern: the platform accepts orders for spot endpoints, none come."""
    platform = SimulatedPlatform(on_demand=2)
    platform.run(10_000)
    order = platform.handle_order

    def accept_without_effect(placed):
        if placed.spot:
            platform.scaler.record_accepted(placed, platform.now)
        else:
            order(placed)

    platform.handle_order = accept_without_effect
    for domain in DOMAINS:
        platform.counts[domain, True] = 0
    platform.run(30_000, running=40)
    assert counts_by_kind(platform) == (6, 0)
