"""Orders for endpoints: spread, reclaims, bursts, no flapping."""

import math

from primrosehitch import messages
from primrosehitch import routes
from primrosehitch import scaling

DOMAINS = ("za", "zb", "zc")
SCALING = routes.Scaling(1, 5, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))


class Fleet:
    """A platform that carries out orders after some seconds."""

    def __init__(self, steady=2, found=SCALING):
        self.found = found
        self.counts = {(d, False): steady for d in DOMAINS}
        self.counts |= {(d, True): 0 for d in DOMAINS}
        self.booting = []
        self.reclaimed = {}
        self.scaler = scaling.Scaler("s")
        self.orders = []
        self.now = 0

    def records(self):
        found = []
        for (domain, spot), count in self.counts.items():
            gone = spot and self.now < self.reclaimed.get(domain, 0)
            for i in range(count):
                found.append(
                    messages.EndpointRecord(
                        id=f"{domain}{spot}{i}",
                        service="s",
                        domain=domain,
                        state="draining" if gone else "ready",
                        leaves_ms=1000 if gone else 0,
                        spot=spot,
                    )
                )
        return found

    def serving(self):
        return sum(r.state == "ready" for r in self.records())

    def run(self, ms, running=0):
        for _ in range(ms // 500):
            self.now += 500
            for item in [b for b in self.booting if b[0] <= self.now]:
                self.booting.remove(item)
                self.counts[item[1]] = item[2]
            self.scaler.record_demand(running, self.now)
            wants = self.scaler.plan_orders(
                self.found, DOMAINS, self.records(), self.now
            )
            for want in wants:
                self.take(want)

    def take(self, want):
        domain = want.domain
        if want.spot and self.now < self.reclaimed.get(domain, 0):
            self.scaler.mark_spot_unavailable(domain, self.now)
            return
        self.orders.append((self.now, want))
        self.scaler.record_accepted(want, self.now)
        key = (domain, want.spot)
        if want.count < self.counts[key]:
            self.counts[key] = want.count
        else:
            self.booting.append((self.now + 4000, key, want.count))


def kinds(fleet):
    steady = sum(n for (_, spot), n in fleet.counts.items() if not spot)
    return steady, sum(n for (_, spot), n in fleet.counts.items() if spot)


def test_reclaimable_ones_replace_the_others():
    fleet = Fleet(steady=2)
    fleet.run(10_000)
    assert kinds(fleet) == (0, 12)


def test_something_serves_all_the_while():
    fleet = Fleet(steady=2)
    for _ in range(20):
        fleet.run(500)
        assert fleet.serving() >= 6


def test_the_limit_holds_for_both_kinds_together():
    fleet = Fleet(steady=4)
    for _ in range(30):
        fleet.run(500)
        for domain in DOMAINS:
            both = sum(fleet.counts[domain, spot] for spot in (0, 1))
            assert both <= SCALING.max_endpoints


def test_a_calm_day_has_few_orders():
    fleet = Fleet()
    fleet.run(20_000)
    orders = len(fleet.orders)
    for i in range(60):
        fleet.run(1000, running=5 + i % 7)
    assert len(fleet.orders) == orders


def test_a_burst_raises_the_number_and_a_lull_keeps_it():
    fleet = Fleet(steady=1)
    fleet.run(10_000)
    assert kinds(fleet) == (0, 6)
    fleet.run(5000, running=80)
    fleet.run(5000)
    assert kinds(fleet) == (0, 15)


def test_a_reclaimed_domain_is_made_up_for_elsewhere():
    fleet = Fleet(steady=1)
    fleet.run(10_000)
    fleet.reclaimed["zb"] = fleet.now + 8000
    fleet.run(6000)
    assert fleet.counts["za", True] == fleet.counts["zc", True] == 3
    fleet.counts["zb", True] = 0
    fleet.run(12_000)
    assert fleet.counts["zb", True] >= 2


def test_with_no_reclaimable_ones_others_are_ordered():
    fleet = Fleet(steady=2)
    fleet.run(12_000, running=90)
    for domain in DOMAINS:
        fleet.reclaimed[domain] = fleet.now + 30_000
    fleet.run(8000, running=90)
    steady, _ = kinds(fleet)
    assert steady == 6


def test_others_are_ordered_only_for_what_is_missing():
    """reclaim dry: two domains of three go, and no more are to be had."""
    fleet = Fleet(steady=2)
    fleet.run(12_000, running=30)
    fleet.reclaimed["zb"] = fleet.now + 30_000
    fleet.run(8000, running=30)
    assert kinds(fleet)[0] == 0
    fleet.reclaimed["zc"] = fleet.now + 30_000
    fleet.run(8000, running=30)
    assert kinds(fleet)[0] == 6 - SCALING.max_endpoints
    fleet.run(8000, running=110)
    assert (
        kinds(fleet)[0]
        == math.ceil(110 / scaling.MAX_REQUESTS_PER_ENGINE)
        - SCALING.max_endpoints
    )
    fleet.run(90_000)
    assert kinds(fleet) == (0, 12)


def test_a_domain_full_of_others_changes_back():
    """After a dry spell one domain holds as many as it may, all dear."""
    fleet = Fleet(steady=2)
    fleet.run(12_000, running=150)
    for domain in DOMAINS:
        fleet.reclaimed[domain] = fleet.now + 20_000
    fleet.run(2500, running=150)
    for domain in DOMAINS:
        fleet.counts[domain, True] = 0
    fleet.run(17_000, running=150)
    assert kinds(fleet)[0] == 10
    fleet.run(90_000, running=20)
    assert kinds(fleet) == (0, 12)


def test_reclaimable_ones_are_back_soon_after_they_can_be():
    fleet = Fleet(steady=2)
    fleet.run(12_000)
    fleet.reclaimed["zb"] = fleet.now + 9200
    fleet.run(2500)
    fleet.counts["zb", True] = 0
    fleet.run(6700 + 2000 + 4000)
    assert fleet.counts["zb", True] == 4


def test_without_a_spot_price_nothing_is_reclaimable():
    fleet = Fleet(steady=2, found=SCALING._replace(spot_price=0.0))
    fleet.run(10_000, running=40)
    steady, spot = kinds(fleet)
    assert spot == 0
    assert steady >= 6


def test_an_order_that_did_not_show_is_sent_again():
    fleet = Fleet(steady=1)
    fleet.run(10_000)
    fleet.counts["za", True] = 0
    before = len(fleet.orders)
    fleet.run(scaling.RESEND_MS + 1000)
    assert fleet.counts["za", True] == 2
    assert len(fleet.orders) == before + 1


def test_asking_again_for_reclaimable_ones_does_not_stop_others():
    """The reclaimed are gone, and a domain is asked every other second."""
    fleet = Fleet(steady=2)
    fleet.run(12_000)
    for domain in ("zb", "zc"):
        fleet.reclaimed[domain] = fleet.now + 16_000
    fleet.run(2500, running=100)
    fleet.counts["zb", True] = fleet.counts["zc", True] = 0
    before = len(fleet.orders)
    fleet.run(13_000, running=100)
    counts = {}
    for _, want in fleet.orders[before:]:
        if not want.spot:
            counts.setdefault(want.domain, []).append(want.count)
    assert kinds(fleet)[0] > 0
    for found in counts.values():
        assert found == sorted(found)
