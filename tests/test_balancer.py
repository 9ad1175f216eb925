"""Choosing endpoints: loads, prompts' parts, slow and dead ones."""

import random

from primrosehitch import balancer as balancer_module
from primrosehitch import messages

RequestProfile = balancer_module.RequestProfile
PromptPart = balancer_module.PromptPart
KV_TOKENS = 400_000


def record(number, domain="za", slots=64, **fields):
    return messages.EndpointRecord(
        id=f"e{number}",
        born=1,
        service="s",
        address=f"10.0.0.{number}:80",
        domain=domain,
        slots=slots,
        state="ready",
        **fields,
    )


def make(count=6, slots=64, domains=("za",), kv_tokens=KV_TOKENS, seed=1):
    found = balancer_module.Balancer("za", random.Random(seed))
    for number in range(count):
        domain = domains[number % len(domains)]
        found.update_endpoint(record(number, domain, slots), kv_tokens)
    return found


def send(found, ask, now=0, took_ms=None):
    choice = found.choose(ask, (), now)
    found.record_start(choice, ask, now)
    if took_ms is not None:
        found.record_first_byte(choice, ask, took_ms)
        found.record_finish(choice, ask, True)
    return choice


def prompt(subject, own="own", shared=13_000):
    parts = (PromptPart(subject, shared), PromptPart(own, 3000))
    return RequestProfile("s", parts, shared + 3000, 100, 2000)


def test_calls_are_spread_by_load():
    found = make(4, slots=6, kv_tokens=0)
    for _ in range(8):
        send(found, RequestProfile("s"))
    assert [e.inflight for e in found.endpoints.values()] == [2] * 4


def test_the_own_domain_first_until_it_is_busy():
    found = make(3, slots=6, domains=("za", "zb", "zc"), kv_tokens=0)
    first = [
        send(found, RequestProfile("s")).endpoint.record.domain
        for _ in range(2)
    ]
    assert first[0] == "za"
    for _ in range(12):
        send(found, RequestProfile("s"))
    assert all(e.inflight >= 3 for e in found.endpoints.values())


def test_edges_read_a_shared_part_at_the_same_engine():
    """No edge has told another; the common order does it."""
    chosen = {
        send(make(seed=seed), prompt("p1")).endpoint.record.id
        for seed in range(5)
    }
    assert len(chosen) == 1


def test_a_part_stays_where_it_was_read_in_a_steady_load():
    found = make()
    rng = random.Random(3)
    read = {}
    for i in range(300):
        subject = f"p{rng.randrange(40)}"
        ask = prompt(subject, own=f"o{i}")
        choice = send(found, ask, now=i * 100, took_ms=150)
        read.setdefault(subject, set()).add(choice.endpoint.record.id)
    assert all(len(engines) == 1 for engines in read.values())


def test_a_hot_part_spills_when_its_engine_is_far_behind():
    """Many requests about one thing at once: hot_key."""
    found = make()
    for i in range(30):
        send(found, prompt("hot", own=f"o{i}"))
    assert sum(e.inflight > 0 for e in found.endpoints.values()) > 1


def test_a_part_is_found_where_another_edge_had_it_read():
    """New engines came since: the common order points elsewhere."""
    one, other = make(4), make(12, seed=2)
    holder = send(one, prompt("p1")).endpoint.record.id
    other.apply_part_updates(messages.PartsRead(one.part_updates.drain()))
    assert one.part_updates.drain() == ()
    for i in range(3):
        choice = send(other, prompt("p1", f"o{i}"), took_ms=90)
        assert choice.endpoint.record.id == holder


def test_what_other_edges_read_counts():
    found = make()
    favourite = send(found, prompt("p1"), took_ms=100).endpoint
    loads = tuple(
        messages.EndpointLoad(e.record.id, 30, 200_000)
        for e in found.endpoints.values()
        if e is favourite
    )
    found.apply_load_totals(messages.LoadReport(1, (), loads))
    assert send(found, prompt("p1")).endpoint is not favourite


def test_the_own_part_of_the_sum_is_not_counted_twice():
    found = make(2)
    choice = send(found, prompt("p1"))
    said = found.publish_loads()
    found.apply_load_totals(messages.LoadReport(1, (), said))
    assert choice.endpoint.remote_inflight == 0
    assert choice.endpoint.remote_prefill_tokens == 0


def test_streams_with_short_pauses_keep_away_from_long_prompts():
    """owner-note beside manual-digest: a late pause loses the worth."""
    found = make(8)
    tight = RequestProfile(
        "s", (PromptPart("a", 200), PromptPart("o", 1000)), 1200, 150, 500
    )
    rng = random.Random(4)
    engines = {True: set(), False: set()}
    for i in range(400):
        ask = tight if i % 2 else prompt(f"p{rng.randrange(30)}", f"o{i}")
        choice = send(found, ask, now=i * 50, took_ms=100)
        if i > 50:
            engines[ask.is_gap_sensitive].add(choice.endpoint.record.id)
    assert engines[True] and engines[False]
    assert not engines[True] & engines[False]


def test_a_slow_engine_gets_less():
    """srv_slow: one of six works five times as long."""
    found = make()
    slow = found.endpoints["e0"]
    for i in range(200):
        ask = RequestProfile("s", (PromptPart(f"x{i}", 1000),), 1000, 50, 2000)
        choice = found.choose(ask, (), i * 100)
        found.record_start(choice, ask, i * 100)
        took = 400 if choice.endpoint is slow else 70
        found.record_first_byte(choice, ask, took)
        found.record_finish(choice, ask, True)
    before = slow.slowness
    chosen = [
        found.choose(
            RequestProfile("s", (PromptPart(f"y{i}", 1000),), 1000, 50, 2000),
            (),
            30_000,
        ).endpoint
        for i in range(50)
    ]
    assert before > balancer_module.SLOW_RATIO
    assert slow not in chosen


def test_the_unreachable_are_put_aside_and_tried_again():
    found = make(2, kv_tokens=0)
    dead, other = found.endpoints.values()
    found.record_unreachable(dead, 0)
    for _ in range(5):
        assert found.choose(RequestProfile("s"), (), 1).endpoint is other
    pause = dead.ejected_until
    assert dead in found.usable_endpoints("s", (), pause)
    found.record_unreachable(dead, pause)
    assert dead.ejected_until - pause > pause
    assert found.usable_endpoints("s", ("e1",), pause + 1) == [dead]


def test_one_failure_does_not_put_aside():
    found = make(2)
    endpoint = found.endpoints["e0"]
    found.record_failure(endpoint, 0)
    assert endpoint.ejected_until == 0


def test_draining_and_left_get_nothing():
    found = make(2)
    found.update_endpoint(record(0)._replace(state="draining", sequence=2), 0)
    found.update_endpoint(record(1)._replace(state="left"), 0)
    assert found.choose(RequestProfile("s"), (), 0) is None


def test_a_new_start_forgets_what_the_old_one_held():
    found = make(1)
    send(found, prompt("p1"), took_ms=100)
    found.update_endpoint(record(0)._replace(born=2), KV_TOKENS)
    assert not found.endpoints["e0"].cached_parts


def test_parts_beyond_an_engines_memory_are_forgotten():
    found = make(1, kv_tokens=100_000)
    for i in range(40):
        send(found, prompt(f"p{i}", own=f"o{i}"), took_ms=100)
    endpoint = found.endpoints["e0"]
    assert (
        endpoint.cached_tokens <= balancer_module.KV_CACHE_FRACTION * 100_000
    )
    assert "p39" in endpoint.cached_parts and "p0" not in endpoint.cached_parts


def test_counts_come_back_to_nothing():
    found = make()
    for i in range(50):
        ask = prompt(f"p{i}")
        choice = found.choose(ask, (), 0)
        found.record_start(choice, ask, 0)
        began = i % 2 == 0
        if began:
            found.record_first_byte(choice, ask, 50)
        found.record_finish(choice, ask, began)
    for endpoint in found.endpoints.values():
        assert endpoint.inflight == 0
        assert endpoint.pending_prefill_tokens == 0
        assert endpoint.inflight_tokens == 0


def test_engines_of_a_faster_kind_are_learnt():
    found = make(1)
    for i in range(200):
        ask = RequestProfile("s", (PromptPart(f"x{i}", 6000),), 6000, 50, 2000)
        send(found, ask, now=i, took_ms=40 + 6000 / 110)
    assert 80 < found.prefill_tokens_per_ms["s"] < 130


def test_an_engine_that_falls_silent_gets_nothing_new():
    """srv_crash dark: its streams stop, no connection breaks."""
    found = make(2)
    ask = prompt("p1")
    choice = found.choose(ask, (), 0)
    found.record_start(choice, ask, 0)
    found.record_first_byte(choice, ask, 100)
    found.record_activity(choice.endpoint, 100)
    quiet = 100 + balancer_module.STREAM_SILENCE_MS
    assert found.choose(ask, (), quiet).endpoint is choice.endpoint
    assert found.choose(ask, (), quiet + 1).endpoint is not choice.endpoint
    found.record_activity(choice.endpoint, quiet + 1)
    assert found.choose(ask, (), quiet + 2).endpoint is choice.endpoint


def test_an_idle_engine_is_not_suspect():
    found = make(1)
    send(found, prompt("p1"), now=0, took_ms=100)
    assert not found.endpoints["e0"].is_suspect(60_000)


def test_among_many_the_holder_is_found_and_the_busy_are_passed_over():
    """140 engines: only some are weighed, the loads stay even."""
    found = make(140, domains=("za", "zb", "zc", "zd"))
    holder = send(found, prompt("p1"), took_ms=100).endpoint
    for i in range(20):
        assert send(found, prompt("p1", f"o{i}"), took_ms=90).endpoint is (
            holder
        )
    for i in range(600):
        ask = RequestProfile("s", (PromptPart(f"x{i}", 800),), 800, 50, 2000)
        choice = found.choose(ask, (), 0)
        found.record_start(choice, ask, 0)
        found.record_first_byte(choice, ask, 60)
    assert max(e.inflight for e in found.endpoints.values()) <= 20


def test_a_domain_that_is_cut_off_is_left_as_a_whole():
    """zone_cut: the engines there fail one by one, by time-outs."""
    found = make(8, domains=("za", "zb"))
    away = [e for e in found.endpoints.values() if e.record.domain == "zb"]
    ask = prompt("p1")
    for part in ask.parts[:-1]:
        away[3].record_parts((part,))
    found.record_unreachable(away[0], 1000)
    assert found.choose(ask, (), 1001).endpoint is away[3]
    found.record_unreachable(away[1], 1010)
    assert found.choose(ask, (), 1011).endpoint.record.domain == "za"
    found.record_activity(away[2], 1200)
    assert found.choose(ask, (), 1201).endpoint is away[3]


def test_a_long_prompt_is_not_kept_among_the_short_pauses():
    """complaint-digest has short pauses itself, and a prompt of 9k."""
    assert RequestProfile("s", (), 1460, 100, 250).is_gap_sensitive
    assert not RequestProfile("s", (), 9190, 50, 400).is_gap_sensitive
    assert not RequestProfile("s", (), 1460, 100, 2000).is_gap_sensitive
    assert not RequestProfile("s").is_gap_sensitive


def test_edges_share_an_endpoints_connections():
    """max_conns counts all callers; beyond it connections are reset."""
    found = make(1, kv_tokens=0)
    found.update_endpoint(record(0), 0, connections=50)
    found.edge_count = 4
    for _ in range(10):
        assert found.choose(RequestProfile("s"), (), 0) is not None
        send(found, RequestProfile("s"))
    assert found.choose(RequestProfile("s"), (), 0) is None
    found.edge_count = 1
    assert found.choose(RequestProfile("s"), (), 0) is not None
