"""Tests of the balancer: loads, prefix caches, slow and failed endpoints."""

import random

import pytest

from primrosehitch import balancer as balancer_module
from primrosehitch import coldstarts
from primrosehitch import messages

RequestProfile = balancer_module.RequestProfile
PromptPart = balancer_module.PromptPart
KV_TOKENS = 400_000


def make_record(number, domain="za", slots=64, **fields):
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


def make_balancer(
    count=6, slots=64, domains=("za",), kv_tokens=KV_TOKENS, seed=1
):
    balancer = balancer_module.Balancer("za", random.Random(seed))
    for number in range(count):
        domain = domains[number % len(domains)]
        balancer.update_endpoint(make_record(number, domain, slots), kv_tokens)
    return balancer


def send_request(balancer, profile, now=0, took_ms=None):
    choice = balancer.choose(profile, (), now)
    balancer.record_start(choice, profile, now)
    if took_ms is not None:
        balancer.record_first_byte(choice, profile, took_ms)
        balancer.record_finish(choice, profile, True)
    return choice


def make_profile(subject, own="own", shared=13_000):
    parts = (PromptPart(subject, shared), PromptPart(own, 3000))
    return RequestProfile("s", parts, shared + 3000, 100, 2000)


def test_calls_are_spread_by_load():
    balancer = make_balancer(4, slots=6, kv_tokens=0)
    for _ in range(8):
        send_request(balancer, RequestProfile("s"))
    assert [e.inflight for e in balancer.endpoints.values()] == [2] * 4


def test_own_domain_is_preferred_until_busy():
    balancer = make_balancer(
        3, slots=6, domains=("za", "zb", "zc"), kv_tokens=0
    )
    first = [
        send_request(balancer, RequestProfile("s")).endpoint.record.domain
        for _ in range(2)
    ]
    assert first[0] == "za"
    for _ in range(12):
        send_request(balancer, RequestProfile("s"))
    assert all(e.inflight >= 3 for e in balancer.endpoints.values())


def test_edges_send_a_new_shared_part_to_the_same_engine():
    """The edges agree by rendezvous hashing, without any part updates."""
    chosen = {
        send_request(
            make_balancer(seed=seed), make_profile("p1")
        ).endpoint.record.id
        for seed in range(5)
    }
    assert len(chosen) == 1


def test_steady_load_keeps_a_part_on_its_engine():
    balancer = make_balancer()
    rng = random.Random(3)
    engines_by_subject = {}
    for i in range(300):
        subject = f"p{rng.randrange(40)}"
        profile = make_profile(subject, own=f"o{i}")
        choice = send_request(balancer, profile, now=i * 100, took_ms=150)
        engines_by_subject.setdefault(subject, set()).add(
            choice.endpoint.record.id
        )
    assert all(len(engines) == 1 for engines in engines_by_subject.values())


def test_hot_part_spreads_when_its_engine_is_overloaded():
    """Many requests share one part at the same time (scenario hot_key)."""
    balancer = make_balancer()
    for i in range(30):
        send_request(balancer, make_profile("hot", own=f"o{i}"))
    assert sum(e.inflight > 0 for e in balancer.endpoints.values()) > 1


def test_part_cached_by_another_edge_is_used():
    """With more engines, rendezvous hashing alone selects another one."""
    first_edge, other = make_balancer(4), make_balancer(12, seed=2)
    holder = send_request(first_edge, make_profile("p1")).endpoint.record.id
    other.apply_part_updates(
        messages.PartsRead(first_edge.part_updates.drain())
    )
    assert first_edge.part_updates.drain() == ()
    for i in range(3):
        choice = send_request(other, make_profile("p1", f"o{i}"), took_ms=90)
        assert choice.endpoint.record.id == holder


def test_prefill_load_of_other_edges_counts():
    balancer = make_balancer()
    favourite = send_request(
        balancer, make_profile("p1"), took_ms=100
    ).endpoint
    loads = tuple(
        messages.EndpointLoad(e.record.id, 30, 200_000)
        for e in balancer.endpoints.values()
        if e is favourite
    )
    balancer.apply_load_totals(messages.LoadReport(1, (), loads))
    assert send_request(balancer, make_profile("p1")).endpoint is not favourite


def test_own_load_in_totals_is_not_counted_twice():
    balancer = make_balancer(2)
    choice = send_request(balancer, make_profile("p1"))
    published_loads = balancer.publish_loads()
    balancer.apply_load_totals(messages.LoadReport(1, (), published_loads))
    assert choice.endpoint.remote_inflight == 0
    assert choice.endpoint.remote_prefill_tokens == 0


def test_gap_sensitive_streams_are_kept_apart_from_long_prompts():
    """Prefill of long prompts makes the events of such streams late.

    The routes owner-note and manual-digest together are an example.
    """
    balancer = make_balancer(8)
    tight = RequestProfile(
        "s", (PromptPart("a", 200), PromptPart("o", 1000)), 1200, 150, 500
    )
    rng = random.Random(4)
    engines = {True: set(), False: set()}
    for i in range(400):
        profile = (
            tight if i % 2 else make_profile(f"p{rng.randrange(30)}", f"o{i}")
        )
        choice = send_request(balancer, profile, now=i * 50, took_ms=100)
        if i > 50:
            engines[profile.is_gap_sensitive].add(choice.endpoint.record.id)
    assert engines[True] and engines[False]
    assert not engines[True] & engines[False]


def test_slow_engine_is_avoided():
    """One engine of six takes five times as long (scenario srv_slow)."""
    balancer = make_balancer()
    slow = balancer.endpoints["e0"]
    for i in range(200):
        profile = RequestProfile(
            "s", (PromptPart(f"x{i}", 1000),), 1000, 50, 2000
        )
        choice = balancer.choose(profile, (), i * 100)
        balancer.record_start(choice, profile, i * 100)
        latency_ms = 400 if choice.endpoint is slow else 70
        balancer.record_first_byte(choice, profile, latency_ms)
        balancer.record_finish(choice, profile, True)
    measured_slowness = slow.slowness
    chosen = [
        balancer.choose(
            RequestProfile("s", (PromptPart(f"y{i}", 1000),), 1000, 50, 2000),
            (),
            30_000,
        ).endpoint
        for i in range(50)
    ]
    assert measured_slowness > balancer_module.SLOW_RATIO
    assert slow not in chosen


def test_unreachable_endpoint_is_ejected_and_retried():
    balancer = make_balancer(2, kv_tokens=0)
    dead, other = balancer.endpoints.values()
    balancer.record_unreachable(dead, 0)
    for _ in range(5):
        assert balancer.choose(RequestProfile("s"), (), 1).endpoint is other
    ejection_end = dead.ejected_until
    assert dead in balancer.usable_endpoints("s", (), ejection_end)
    balancer.record_unreachable(dead, ejection_end)
    assert dead.ejected_until - ejection_end > ejection_end
    assert balancer.usable_endpoints("s", ("e1",), ejection_end + 1) == [dead]


def test_one_failure_does_not_eject():
    balancer = make_balancer(2)
    endpoint = balancer.endpoints["e0"]
    balancer.record_failure(endpoint, 0)
    assert endpoint.ejected_until == 0


def test_draining_and_left_endpoints_are_not_chosen():
    balancer = make_balancer(2)
    balancer.update_endpoint(
        make_record(0)._replace(state="draining", sequence=2), 0
    )
    balancer.update_endpoint(make_record(1)._replace(state="left"), 0)
    assert balancer.choose(RequestProfile("s"), (), 0) is None


def test_new_incarnation_starts_with_an_empty_cache():
    balancer = make_balancer(1)
    send_request(balancer, make_profile("p1"), took_ms=100)
    balancer.update_endpoint(make_record(0)._replace(born=2), KV_TOKENS)
    assert not balancer.endpoints["e0"].cached_parts


def test_parts_beyond_the_kv_cache_are_evicted():
    balancer = make_balancer(1, kv_tokens=100_000)
    for i in range(40):
        send_request(balancer, make_profile(f"p{i}", own=f"o{i}"), took_ms=100)
    endpoint = balancer.endpoints["e0"]
    assert (
        endpoint.cached_tokens <= balancer_module.KV_CACHE_FRACTION * 100_000
    )
    assert "p39" in endpoint.cached_parts and "p0" not in endpoint.cached_parts


def test_counters_return_to_zero():
    balancer = make_balancer()
    for i in range(50):
        profile = make_profile(f"p{i}")
        choice = balancer.choose(profile, (), 0)
        balancer.record_start(choice, profile, 0)
        began = i % 2 == 0
        if began:
            balancer.record_first_byte(choice, profile, 50)
        balancer.record_finish(choice, profile, began)
    for endpoint in balancer.endpoints.values():
        assert endpoint.inflight == 0
        assert endpoint.pending_prefill_tokens == 0
        assert endpoint.inflight_tokens == 0


def test_prefill_rate_of_a_faster_engine_is_learnt():
    balancer = make_balancer(1)
    for i in range(200):
        profile = RequestProfile(
            "s", (PromptPart(f"x{i}", 6000),), 6000, 50, 2000
        )
        send_request(balancer, profile, now=i, took_ms=40 + 6000 / 110)
    assert 80 < balancer.prefill_tokens_per_ms["s"] < 130


def test_silent_engine_gets_no_new_requests():
    """Its streams stop without a connection error.

    This is the dark variant of the scenario srv_crash.
    """
    balancer = make_balancer(2)
    profile = make_profile("p1")
    choice = balancer.choose(profile, (), 0)
    balancer.record_start(choice, profile, 0)
    balancer.record_first_byte(choice, profile, 100)
    balancer.record_activity(choice.endpoint, 100)
    quiet = 100 + balancer_module.STREAM_SILENCE_MS
    assert balancer.choose(profile, (), quiet).endpoint is choice.endpoint
    assert (
        balancer.choose(profile, (), quiet + 1).endpoint is not choice.endpoint
    )
    balancer.record_activity(choice.endpoint, quiet + 1)
    assert balancer.choose(profile, (), quiet + 2).endpoint is choice.endpoint


def test_idle_engine_is_not_suspect():
    balancer = make_balancer(1)
    send_request(balancer, make_profile("p1"), now=0, took_ms=100)
    assert not balancer.endpoints["e0"].is_suspect(60_000)


def test_sampling_finds_cache_holders_and_balances_load():
    """Of 140 engines only a sample is compared, yet loads stay balanced."""
    balancer = make_balancer(140, domains=("za", "zb", "zc", "zd"))
    holder = send_request(balancer, make_profile("p1"), took_ms=100).endpoint
    for i in range(20):
        assert send_request(
            balancer, make_profile("p1", f"o{i}"), took_ms=90
        ).endpoint is (holder)
    for i in range(600):
        profile = RequestProfile(
            "s", (PromptPart(f"x{i}", 800),), 800, 50, 2000
        )
        choice = balancer.choose(profile, (), 0)
        balancer.record_start(choice, profile, 0)
        balancer.record_first_byte(choice, profile, 60)
    assert max(e.inflight for e in balancer.endpoints.values()) <= 20


def usable_ids(balancer, now):
    return [e.record.id for e in balancer.usable_endpoints("s", (), now)]


def test_silent_endpoints_are_used_while_they_answer_or_as_a_last_resort():
    """Pattern: control instances cut off from endpoints that edges reach."""
    balancer = make_balancer(3)
    for number in (1, 2):
        silent = make_record(number)._replace(state="silent")
        balancer.update_endpoint(silent, KV_TOKENS)
    assert usable_ids(balancer, 50_000) == ["e0"]
    balancer.record_activity(balancer.endpoints["e1"], 50_000)
    assert usable_ids(balancer, 50_000) == ["e0", "e1"]
    assert usable_ids(balancer, 90_000) == ["e0"]
    for name in ("e0", "e1"):
        balancer.endpoints[name].ejected_until = 95_000
    assert usable_ids(balancer, 90_000) == ["e2"]
    balancer.endpoints["e2"].ejected_until = 95_000
    assert usable_ids(balancer, 90_000) == ["e0"]


def test_unreachable_domain_is_avoided_as_a_whole():
    """In a partition the engines fail one by one, by timeouts.

    Without a rule for the domain, each of them costs a timeout (scenario
    zone_cut).
    """
    balancer = make_balancer(8, domains=("za", "zb"))
    remote = [
        e for e in balancer.endpoints.values() if e.record.domain == "zb"
    ]
    profile = make_profile("p1")
    for part in profile.parts[:-1]:
        remote[3].record_parts((part,))
    balancer.record_unreachable(remote[0], 1000)
    assert balancer.choose(profile, (), 1001).endpoint is remote[3]
    balancer.record_unreachable(remote[1], 1010)
    assert balancer.choose(profile, (), 1011).endpoint.record.domain == "za"
    balancer.record_activity(remote[2], 1200)
    assert balancer.choose(profile, (), 1201).endpoint is remote[3]


def test_long_prompt_is_not_gap_sensitive():
    """Short allowed gaps do not make a stream with a long prompt sensitive.

    The route complaint-digest has both, with prompts of 9k tokens.
    """
    assert RequestProfile("s", (), 1460, 100, 250).is_gap_sensitive
    assert not RequestProfile("s", (), 9190, 50, 400).is_gap_sensitive
    assert not RequestProfile("s", (), 1460, 100, 2000).is_gap_sensitive
    assert not RequestProfile("s").is_gap_sensitive


def test_edges_share_connections_of_an_endpoint():
    """The limit max_conns is for all edges; connections beyond are reset."""
    balancer = make_balancer(1, kv_tokens=0)
    balancer.update_endpoint(make_record(0), 0, connections=50)
    balancer.edge_count = 4
    for _ in range(10):
        assert balancer.choose(RequestProfile("s"), (), 0) is not None
        send_request(balancer, RequestProfile("s"))
    assert balancer.choose(RequestProfile("s"), (), 0) is None
    balancer.edge_count = 1
    assert balancer.choose(RequestProfile("s"), (), 0) is not None


def count_new_connections(balancer, kept, profiles):
    """Send requests one after the other, each on its own connection."""
    opened = 0
    for profile in profiles:
        choice = send_request(balancer, profile, took_ms=60)
        address = choice.endpoint.record.address
        opened += address not in kept
        kept.add(address)
    return opened


def test_edge_with_few_requests_reuses_its_connections():
    """Pattern: hundreds of edges, each with a request a second.

    Without the preference nearly every request opens a connection.
    """
    opened = {}
    for prefers in (False, True):
        balancer = make_balancer(84, domains=("za", "zb", "zc"))
        kept = set()
        if prefers:
            balancer.has_kept_connection = kept.__contains__
        profiles = [
            RequestProfile("s", (PromptPart(f"own{n}", 900),), 900, 100, 500)
            for n in range(40)
        ]
        opened[prefers] = count_new_connections(balancer, kept, profiles)
    assert opened[True] * 4 < opened[False]


def test_kept_connection_does_not_outweigh_a_cached_prefix_or_load():
    balancer = make_balancer(6)
    holder = send_request(balancer, make_profile("a"), took_ms=400).endpoint
    other = next(e for e in balancer.endpoints.values() if e is not holder)
    balancer.has_kept_connection = other.record.address.__eq__
    assert balancer.choose(make_profile("a", "b"), (), 0).endpoint is holder
    for _ in range(40):
        balancer.record_start(
            balancer_module.Choice(other, 0.0, 0), RequestProfile("s"), 0
        )
    short = RequestProfile("s", (PromptPart("own", 900),), 900, 100, 2000)
    assert balancer.choose(short, (), 0).endpoint is not other


def make_cold(balancer, number, permits):
    """Make an endpoint cold for 3 s, and grant permits for it."""
    balancer.cold.set_policies({"s": coldstarts.ColdPolicy(3000, 5000)})
    record = make_record(
        number, sequence=1, cold_left_ms=3000, reports_cold=True
    )
    balancer.record_heartbeat(record, 0)
    grant = messages.EndpointLimit(
        f"e{number}", 1, permits=permits, cold=True, asked_ms=1
    )
    balancer.limits.add_permits((grant,), 1)


@pytest.mark.parametrize("kv_tokens", [0, KV_TOKENS])
def test_warm_endpoints_are_chosen_before_a_cold_one_with_permits(kv_tokens):
    balancer = make_balancer(2, slots=4, kv_tokens=kv_tokens)
    make_cold(balancer, 0, permits=3)
    tokens = 900 if kv_tokens else 0
    profile = RequestProfile("s", (), tokens, 0, 2000)
    first = balancer.choose(profile, (), 10).endpoint
    assert first.record.id == "e1"
    # Under load it gets what its permits allow.
    chosen = {
        send_request(balancer, profile, 10).endpoint.record.id
        for _ in range(30)
    }
    assert chosen == {"e0", "e1"}


def test_cold_endpoint_without_permits_gets_nothing():
    balancer = make_balancer(2, slots=4, kv_tokens=0)
    make_cold(balancer, 0, permits=0)
    for _ in range(30):
        send_request(balancer, RequestProfile("s"), 10)
    assert balancer.endpoints["e0"].inflight == 0
    assert [r.endpoint for r in balancer.limits.take_wanted(20)] == ["e0"]
    assert balancer.choose(RequestProfile("s"), ("e1",), 10) is None
    assert balancer.availability("s", 10).cold == 1
    # The next permit is due 200 ms after the last one, if not warm before.
    balancer.remove_endpoint("e1")
    assert balancer.next_available_at("s", 10) == 210
    assert balancer.next_available_at("s", 2900) == 3000


def test_endpoint_of_an_evacuated_domain_is_cold_after_the_evacuation():
    balancer = make_balancer(2, domains=("za", "zb"), kv_tokens=0)
    make_cold(balancer, 0, permits=0)
    balancer.record_heartbeat(make_record(1, "zb", sequence=1), 0)
    balancer.presume_cold({"zb"}, 4000)
    assert balancer.choose(RequestProfile("s"), ("e0",), 4000) is None
    assert balancer.choose(RequestProfile("s"), (), 4000) is not None


def test_next_start_of_an_endpoint_loses_the_permits_of_the_last_one():
    balancer = make_balancer(1, kv_tokens=0)
    make_cold(balancer, 0, permits=3)
    assert balancer.choose(RequestProfile("s"), (), 10) is not None
    again = make_record(0, cold_left_ms=3000, reports_cold=True)
    again = again._replace(born=2)
    balancer.update_endpoint(again, 0)
    balancer.record_heartbeat(again, 10)
    assert balancer.choose(RequestProfile("s"), (), 10) is None
    assert len(balancer.cold.states) == 1
