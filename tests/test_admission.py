"""Tests of admission control and of fair queueing within a class.

They do no I/O and pass the current time in ms.
"""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import admission as admission_module
from primrosehitch import catalog
from primrosehitch import errors
from primrosehitch import fairqueue


def make_class(name, tier, floor=0.05, max_wait_ms=10_000):
    return catalog.ServiceClass(
        name, tier, 1.0, floor, max_wait_ms, 1000, 0, 0.95, False
    )


CLASSES = [
    make_class("desk", 0),
    make_class("quote", 1),
    make_class("notes", 2),
]


def ticket(service_class, customer="ana", now=0, tokens=10.0, weight=1.0):
    return fairqueue.Ticket("r", service_class, customer, weight, tokens, now)


def start_up_to(admission, now, limit):
    """Start up to ``limit`` tickets and return them."""
    remaining = [limit]

    def choose_endpoint(_):
        if not remaining[0]:
            return None
        remaining[0] -= 1
        return "e1"

    return [s.ticket for s in admission.start_tickets(now, choose_endpoint)]


def test_higher_tiers_start_first():
    admission = admission_module.Admission(100)
    for service_class in reversed(CLASSES):
        admission.offer(ticket(service_class), 0)
    started = start_up_to(admission, 1, 3)
    assert [t.tier for t in started] == [0, 1, 2]


def test_lower_tier_gets_no_capacity_denied_to_a_higher_one():
    admission = admission_module.Admission(100)
    high, low = ticket(CLASSES[0]), ticket(CLASSES[2])
    for item in (high, low):
        admission.offer(item, 0)
    started = admission.start_tickets(1, lambda t: None if t is high else "e1")
    assert list(started) == []
    high.excluded = frozenset(["e1"])
    started = admission.start_tickets(1, lambda t: None if t is high else "e1")
    assert [s.ticket for s in started] == [low]


def test_every_class_starts_within_5_s_during_a_burst():
    admission = admission_module.Admission(50)
    starts = collections.defaultdict(list)
    for now in range(0, 60_000, 100):
        for _ in range(3):
            admission.offer(ticket(CLASSES[0], now=now), now)
        for service_class in CLASSES[1:]:
            admission.offer(ticket(service_class, now=now), now)
        admission.refuse_expired(now)
        for item in start_up_to(admission, now, 1):
            starts[item.service_class.name].append(now)
    for service_class in CLASSES:
        times = [0, *starts[service_class.name], 60_000]
        assert max(b - a for a, b in zip(times, times[1:])) <= 5000


def test_full_queue_displaces_the_lowest_tier_first():
    admission = admission_module.Admission(4)
    low = [ticket(CLASSES[2]) for _ in range(2)]
    middle = [ticket(CLASSES[1]) for _ in range(2)]
    for item in low + middle:
        assert admission.offer(item, 0) == []
    assert admission.offer(ticket(CLASSES[0]), 0) == []
    refused = admission.offer(ticket(CLASSES[0]), 0)
    assert [r.ticket for r in refused] == [low[1]]
    assert refused[0].refusal.outcome == "not-run"
    assert refused[0].refusal.retry_after_s > 0


def test_arrival_is_refused_if_no_lower_tier_waits():
    admission = admission_module.Admission(3)
    for _ in range(3):
        admission.offer(ticket(CLASSES[0]), 0)
    assert admission.offer(ticket(CLASSES[2]), 0) == []
    arrival = ticket(CLASSES[2])
    refused = admission.offer(arrival, 0)
    assert [r.ticket for r in refused] == [arrival]


def test_flooding_customer_is_displaced_by_its_class():
    admission = admission_module.Admission(10)
    for _ in range(10):
        admission.offer(ticket(CLASSES[1], "flood"), 0)
    arrival = ticket(CLASSES[1], "small")
    refused = admission.offer(arrival, 0)
    assert [r.ticket.customer for r in refused] == ["flood"]


def test_refusing_a_higher_tier_while_a_lower_one_waits_raises():
    admission = admission_module.Admission(100)
    for _ in range(3):
        admission.offer(ticket(CLASSES[2]), 0)
    with pytest.raises(errors.InvariantError):
        admission._refuse(ticket(CLASSES[0]), "queue-full")


def test_expired_ticket_is_refused_with_a_retry_after():
    admission = admission_module.Admission(10)
    item = ticket(make_class("quick", 0, max_wait_ms=100))
    admission.offer(item, 0)
    assert admission.refuse_expired(99) == []
    refused = admission.refuse_expired(100)
    assert [r.ticket for r in refused] == [item]
    assert refused[0].refusal.retry_after_s > 0
    assert admission.waiting == 0


def test_request_that_would_miss_its_deadline_is_refused():
    admission = admission_module.Admission(10_000)
    quick = make_class("quick", 0, max_wait_ms=1000)
    for now in range(0, 10_000, 100):
        admission.record_completion(now)
    waiting = 0
    refused = []
    while not refused and waiting < 1000:
        refused = admission.offer(ticket(quick, now=10_000), 10_000)
        waiting += 1
    assert 8 <= waiting <= 20
    assert refused[0].refusal.reason == "would-miss-deadline"


@given(st.integers(0, 10_000))
def test_random_load_keeps_invariants_and_loses_no_ticket(seed):
    rng = random.Random(seed)
    admission = admission_module.Admission(rng.choice((2, 5, 30)))
    offered, ended, running = set(), set(), []
    now = 0
    for _ in range(200):
        now += rng.randrange(200)
        item = ticket(
            rng.choice(CLASSES), rng.choice("abc"), now, rng.random() * 50
        )
        offered.add(item)
        ended.update(r.ticket for r in admission.offer(item, now))
        started = start_up_to(admission, now, rng.randrange(3))
        running.extend(started)
        ended.update(r.ticket for r in admission.refuse_expired(now))
        if running and rng.random() < 0.3:
            done = running.pop()
            if rng.random() < 0.3:
                admission.requeue(done, now)
            else:
                admission.correct_charge(done, rng.random() * 99)
                admission.record_completion(now)
                ended.add(done)
    left = {
        t
        for q in admission.class_queues.values()
        for w in q.tickets.tickets_by_customer.values()
        for t in w
    }
    assert admission.waiting == len(left)
    assert offered == ended | left | set(running)
    assert len(offered) == len(ended) + len(left) + len(running)


def served_tokens(weights, tokens, rounds=400):
    """Return the tokens served per customer while all have a backlog."""
    queue = fairqueue.FairQueue()
    served = collections.Counter()
    rng = random.Random(3)
    for customer in weights:
        for _ in range(rounds):
            queue.push(ticket(CLASSES[0], customer, weight=weights[customer]))
    for _ in range(rounds):
        item = queue.pop()
        used = tokens[item.customer] * rng.uniform(0.5, 1.5)
        queue.charge(item.customer, used - item.estimated_tokens, item.weight)
        served[item.customer] += used
    return served


def test_customers_share_by_tokens_served():
    served = served_tokens({"a": 1, "b": 1}, {"a": 10, "b": 200})
    assert 0.8 <= served["a"] / served["b"] <= 1.25


def test_tokens_are_divided_by_weight():
    served = served_tokens({"a": 3, "b": 1}, {"a": 50, "b": 50})
    assert 2.4 <= served["a"] / served["b"] <= 3.6


def test_credit_of_an_idle_customer_is_bounded():
    size = 512.0
    queue = fairqueue.FairQueue()
    for _ in range(400):
        queue.push(ticket(CLASSES[0], "old", tokens=size))
    for _ in range(200):
        queue.pop()
    for _ in range(100):
        queue.push(ticket(CLASSES[0], "new", tokens=size))
    head = int(fairqueue.MAX_CREDIT_TOKENS / size)
    first = [queue.pop().customer for _ in range(head)]
    assert first.count("new") >= head - 1
    later = [queue.pop().customer for _ in range(20)]
    assert 8 <= later.count("new") <= 12


def test_idle_customers_are_forgotten():
    queue = fairqueue.FairQueue()
    for i in range(5000):
        queue.push(ticket(CLASSES[0], f"c{i}"))
        queue.pop()
    assert len(queue.virtual_times) < 500
