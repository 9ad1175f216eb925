"""Tests of the shares of customers under scarcity, without network."""

import math
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import overload_fleet
import pytest

from primrosehitch import customershares

Shares = customershares.CustomerShares


def simulate(rates, admitted_per_s, seconds=20, seed=1, usual_rates=None):
    """Return the requests sent and admitted by customer under scarcity.

    Load: each customer sends at its rate, at random. A number a second is
    admitted, as far as shares allow: a request is admitted if its customer is
    not above its share and the number is not used up.
    """
    shares = Shares()
    rng = random.Random(seed)
    for now in range(0, 60_000, 10):
        for customer, rate in (usual_rates or rates).items():
            if rng.random() < rate / 100:
                shares.record_arrival(customer, False, now)
                shares.record_decision(customer, True, now)
    sent = dict.fromkeys(rates, 0)
    admitted = dict.fromkeys(rates, 0)
    tokens = 0.0
    for now in range(60_000, 60_000 + 1000 * seconds, 10):
        tokens = min(5.0, tokens + admitted_per_s / 100)
        arrivals = [c for c in rates if rng.random() < rates[c] / 100]
        rng.shuffle(arrivals)
        for customer in arrivals:
            shares.record_arrival(customer, True, now)
            sent[customer] += 1
            is_above = shares.is_above_share(customer, now)
            is_admitted = not is_above and tokens >= 1
            tokens -= is_admitted
            shares.record_decision(customer, is_admitted, now)
            admitted[customer] += is_admitted
    return sent, admitted


# Guards against: a customer that sends seven times its usual traffic takes
# the places of the others.
def test_surge_of_one_customer_costs_the_others_little():
    """Load: four customers of 8/s, one of them with 56/s; room for 40/s."""
    usual = dict.fromkeys("abcd", 8)
    sent, admitted = simulate({**usual, "d": 56}, 40, usual_rates=usual)
    for customer in "abc":
        assert admitted[customer] > 0.85 * sent[customer]
    assert admitted["d"] > 5 * 20


def test_unused_shares_are_lent_out():
    """Load: one customer of four sends alone, with room for all of it."""
    usual = dict.fromkeys("abcd", 8)
    rates = {"a": 0.5, "b": 0.5, "c": 0.5, "d": 60}
    sent, admitted = simulate(rates, 32, usual_rates=usual)
    assert admitted["d"] > 0.8 * 32 * 20


def test_shares_are_in_proportion_to_usual_traffic():
    """Load: a large and a small customer, both twice their usual traffic."""
    shares = Shares()
    # Three requests of one to one of the other.
    for now in range(0, 60_000, 25):
        customer = "small" if now % 100 == 0 else "large"
        shares.record_arrival(customer, False, now)
        shares.record_decision(customer, True, now)
    for step in range(1000):
        now = 60_000 + step * 12
        customer = "small" if step % 4 == 0 else "large"
        shares.record_arrival(customer, True, now)
        shares.record_decision(customer, step % 8 < 4, now)
    large, small = (shares.uses[name] for name in ("large", "small"))
    parts = [shares.share(use, 72_000) for use in (large, small)]
    # Usual traffic is not measured under scarcity.
    assert parts[0] / parts[1] == pytest.approx(
        large.usual / small.usual, rel=0.1
    )
    assert abs(sum(parts) - large.used - small.used) < 1


# Guards against: a customer stays above its share long after its surge.
def test_memory_of_a_surge_decays():
    """Load: one customer with ten times its share for 5 s."""
    shares = Shares()
    for now in range(0, 5000, 10):
        for customer in ("surge", f"other-{now % 40}"):
            shares.record_arrival(customer, True, now)
            shares.record_decision(customer, now % 20 == 0, now)
    assert shares.is_above_share("surge", 5000)
    for now in range(5000, 30_000, 100):
        customer = f"other-{now % 400}"
        shares.record_arrival(customer, True, now)
        shares.record_decision(customer, now % 200 == 0, now)
    shares.record_arrival("surge", True, 30_000)
    assert not shares.is_above_share("surge", 30_000)


def test_nobody_is_above_its_share_while_all_demand_is_admitted():
    shares = Shares()
    for now in range(0, 10_000, 10):
        customer = "a" if now % 100 else "b"
        shares.record_arrival(customer, True, now)
        assert not shares.is_above_share(customer, now)
        shares.record_decision(customer, True, now)


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.integers(0, 400),
            st.booleans(),
            st.booleans(),
        ),
        max_size=300,
    )
)
def test_no_customer_is_starved_by_shares(steps):
    """The bound of customershares.py, for any sequence of requests.

    A customer is above its share for less than MAX_REFUSAL_MS after the
    first refusal since its last admitted request, and never with fewer than
    MIN_USE requests admitted lately.
    """
    shares = Shares()
    refused_since = {}
    now = 0
    for customer, pause_ms, has_room, is_scarce in steps:
        now += pause_ms
        name = str(customer)
        shares.record_arrival(name, is_scarce, now)
        is_above = shares.is_above_share(name, now)
        if is_above:
            assert shares.uses[name].used >= customershares.MIN_USE
            since = refused_since.get(name, now)
            assert now - since < customershares.MAX_REFUSAL_MS
        is_admitted = has_room and not is_above
        shares.record_decision(name, is_admitted, now)
        if is_admitted:
            refused_since.pop(name, None)
        else:
            refused_since.setdefault(name, now)


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 100), st.floats(0, 100), st.floats(0, 50)),
        min_size=1,
        max_size=30,
    )
)
def test_level_lends_what_is_not_used(customers):
    """The shares, each cut at the demand, sum to what is admitted."""
    shares = Shares()
    for number, (demand, usual, used) in enumerate(customers):
        use = customershares.CustomerUse(0)
        use.demand, use.usual = demand + 1, usual
        use.used = min(used, use.demand)
        shares.uses[str(number)] = use
    uses = list(shares.uses.values())
    room = sum(use.used for use in uses)
    given_out = sum(min(u.demand, shares.share(u, 0)) for u in uses)
    if math.isinf(shares.level) and len(uses) > 1:
        tolerance = customershares.DEMAND_TOLERANCE
        assert sum(u.demand for u in uses) <= (
            (1 + tolerance) * room + customershares.REQUEST_TOLERANCE
        )
    elif len(uses) > 1:
        assert abs(given_out - room) < 1e-3 * max(1.0, room)


# Guards against: callers with many keys fill the memory of an edge.
def test_memory_is_bounded_for_thousands_of_customers():
    shares = Shares(max_customers=500)
    for number in range(5000):
        shares.record_arrival(f"c{number}", False, number)
        shares.record_decision(f"c{number}", True, number)
    assert len(shares.uses) == 500
    shares.record_arrival("new", True, 6000)
    assert not shares.is_above_share("new", 6000)


def run_surge(surge_per_s=270, **options):
    """Load: five customers of 45 calls/s; one sends more from 3 to 13 s."""
    fleet = overload_fleet.Fleet(
        node_count=3, slots=6, is_ordered=False, **options
    )
    for customer in "abcde":
        kind = overload_fleet.Kind(1, customer, 60, 0, 250, 2500)
        fleet.offer(kind, 45, 0, 20_000)
    surge = overload_fleet.Kind(1, "e", 60, 0, 250, 2500)
    fleet.offer(surge, surge_per_s, 3000, 13_000)
    fleet.run(30_000)
    return fleet


def count_others(fleet):
    calls = [c for c in fleet.calls if c.kind.customer != "e"]
    return overload_fleet.count_states(calls)


# Guards against: a customer is refused for its share while there is room.
def test_surge_within_the_capacity_is_served():
    """Load: 225 calls/s and 45 more of one customer; room for 300/s."""
    fleet = run_surge(45)
    assert not [c for c in fleet.calls if c.refusals]


def test_refusal_says_what_the_customer_got():
    """Load: see ``run_surge``; the surge is 315/s."""
    refusals = [
        (call.kind.customer, refusal)
        for call in run_surge().calls
        for _, refusal in call.refusals
        if refusal.cause == "share"
    ]
    assert len(refusals) > 100
    # The traffic of others varies as well.
    surging = [customer for customer, _ in refusals if customer == "e"]
    assert len(surging) > 0.95 * len(refusals)
    for _, refusal in refusals:
        used, share = map(float, refusal.share.split(" of "))
        assert used > share


def test_fleet_protects_the_others_from_a_surge():
    """Load: see ``run_surge``; 18 places, room for 300 calls/s."""
    protected = count_others(run_surge())
    unprotected = count_others(run_surge(shares_enabled=False))
    lost = protected["late"] + protected["refused"]
    assert lost < 0.02 * protected["all"]
    assert protected["in_time"] > 1.1 * unprotected["in_time"]
