"""Tests of real processes under kills, freezes, partitions, lost disks."""

import concurrent.futures
import json
import shutil
import signal
import threading
import time

import callers
import conftest
import pytest

from primrosehitch import errors
from primrosehitch import porcelain

NEW_LEADER_LIMIT_S = 5.0
IN_FORCE_LIMIT_S = 2.0
IN_FORCE_AFTER_LOSS_LIMIT_S = 5.0
LEAVING_LIMIT_S = 2.0
REPAIR_LIMIT_S = 20.0


def others(fleet, *names):
    return [n for n in fleet.http if n not in names]


def versions(fleet, names):
    return {
        n: porcelain.current_declaration(fleet.target(n))["version"]
        for n in names
    }


def wait_version(fleet, names, version, limit_s):
    fleet.wait_for(
        lambda: min(versions(fleet, names).values()) >= version,
        f"version {version}",
        limit_s,
    )


def with_concurrency(number):
    document = json.loads(json.dumps(conftest.DECLARATION))
    document["grants"][2]["concurrency"] = number
    return document


def retry_until_answered(action, limit_s):
    """Retry an action until it gets an answer or the limit has passed."""
    end = time.monotonic() + limit_s
    while True:
        try:
            return action()
        except errors.PrimrosehitchError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


def test_kill_of_the_leader_in_the_middle_of_edits(fleet):
    leader = fleet.leader()
    target = fleet.target("g4")
    base = porcelain.current_declaration(target)["version"]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        job = pool.submit(
            lambda: retry_until_answered(
                lambda: porcelain.apply(
                    target, with_concurrency(7), base, "edit-7"
                ),
                10,
            )
        )
        start = time.monotonic()
        fleet.kill(leader)
        answer = job.result()
    assert answer["version"] == base + 1
    rest = others(fleet, leader)
    left = IN_FORCE_AFTER_LOSS_LIMIT_S - (time.monotonic() - start)
    wait_version(fleet, rest, base + 1, left)
    again = porcelain.apply(target, with_concurrency(7), base, "edit-7")
    assert again["version"] == base + 1
    assert [u["instance"] for u in again["unconfirmed"]] == [leader]
    fleet.start_instance(leader)
    wait_version(fleet, [leader], base + 1, 10)


def test_a_new_leader_within_five_seconds_of_a_kill(fleet):
    old = fleet.leader()
    fleet.kill(old)
    took = fleet.wait_for(
        lambda: fleet.leader() not in ("", old),
        "a new leader",
        NEW_LEADER_LIMIT_S,
    )
    assert took < NEW_LEADER_LIMIT_S


def test_bookings_across_a_kill_run_at_most_once(fleet):
    leader = fleet.leader()
    fleet.control("s1", {"delay_s": 0.3})

    def book(number):
        body = f"booking-{number}".encode()
        answers = []
        for gateway in ("g4", "g5", "g4", "g5"):
            try:
                answers.append(
                    callers.book(
                        fleet.http[gateway],
                        fleet.key,
                        f"booking-{number}",
                        body,
                    )
                )
            except Exception as exc:
                answers.append(exc)
            time.sleep(0.4)
        return answers

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        jobs = [pool.submit(book, n) for n in range(20)]
        time.sleep(0.1)
        fleet.kill(leader)
        answers = [job.result() for job in jobs]
    runs = fleet.control("s1")["runs"]
    assert len(runs) == len(set(runs))
    for number, found in enumerate(answers):
        ran = f"booking-{number}" in runs
        statuses = [a.status for a in found if isinstance(a, callers.Answer)]
        tags = [
            a.error["outcome"]
            for a in found
            if isinstance(a, callers.Answer) and a.status != 201
        ]
        assert ran or 201 not in statuses
        assert ran or "unknown" not in tags or "not-run" in tags


def test_a_call_without_an_answer_is_unknown_and_never_sent_again(fleet):
    fleet.control("s1", {"drop": True})
    first = callers.book(fleet.http["g1"], fleet.key, "lost")
    fleet.control("s1", {"drop": False})
    again = callers.book(fleet.http["g2"], fleet.key, "lost")
    assert first.error["outcome"] == again.error["outcome"] == "unknown"
    assert len(fleet.control("s1")["runs"]) == 1


# Guards against: a resent booking that ran was answered "not run", because
# no endpoint was available by then.
def test_a_resent_booking_gets_its_outcome_without_any_endpoint(fleet):
    first = callers.book(fleet.http["g1"], fleet.key, "kept")
    assert first.status == 201
    fleet.kill("s1")

    def is_known(gateway):
        answer = callers.book(fleet.http[gateway], fleet.key, "new")
        return answer.status == 503 and answer.error["reason"] == "no-endpoint"

    fleet.wait_for(
        lambda: is_known("g4") and is_known("g2"),
        "the loss of the only endpoint to be known",
        20,
    )
    for gateway in ("g4", "g2"):
        again = callers.book(fleet.http[gateway], fleet.key, "kept")
        assert (again.status, again.body) == (201, first.body)
        other = callers.book(fleet.http[gateway], fleet.key, "new")
        assert (other.status, other.error["reason"]) == (503, "no-endpoint")
    fleet.start_endpoint("s1")
    fleet.wait_for(
        lambda: callers.book(fleet.http["g4"], fleet.key, "new").status == 201,
        "a refused booking to run once an endpoint is back",
        20,
    )


def test_a_gateway_killed_in_a_call_leaves_it_unknown(fleet):
    fleet.control("s1", {"delay_s": 2})
    caller = threading.Thread(
        target=lambda: pytest.raises(
            Exception, callers.book, fleet.http["g4"], fleet.key, "k"
        )
    )
    caller.start()
    fleet.wait_for(lambda: fleet.control("s1")["runs"], "the call to run", 3)
    fleet.kill("g4")
    caller.join()

    def told():
        answer = callers.book(fleet.http["g5"], fleet.key, "k")
        return answer.error["reason"] == "outcome-unknown"

    fleet.wait_for(told, "the outcome to be unknown", 5)
    assert len(fleet.control("s1")["runs"]) == 1


def test_a_frozen_leader_sends_no_orders_when_it_wakes(fleet):
    old = fleet.leader()
    fleet.signal(old, signal.SIGSTOP)
    rest = others(fleet, old)
    fleet.wait_for(
        lambda: any(
            (fleet.status(n)["replica"] or {}).get("in_charge") for n in rest
        ),
        "another instance to take over the lease",
        8,
    )
    taken_over = len(fleet.control("platform")["usage_log"])
    callers.chat(fleet.http["g4"], fleet.key)
    fleet.signal(old, signal.SIGCONT)
    fleet.wait_for(
        lambda: len(fleet.control("platform")["usage_log"]) > taken_over,
        "usage to be reported after the freeze",
        15,
    )
    time.sleep(2)
    log = fleet.control("platform")["usage_log"][taken_over:]
    assert old not in {entry["sender"] for entry in log}
    fences = [e["fence"] for e in fleet.control("platform")["usage_log"]]
    assert fences == sorted(fences)
    assert not fleet.status(old)["replica"]["in_charge"]


def test_a_frozen_gateway_refreshes_before_it_serves(fleet):
    made = porcelain.create_key(fleet.target("g1"), "ana")
    assert callers.chat(fleet.http["g4"], made["key"]).whole
    fleet.signal("g4", signal.SIGSTOP)
    time.sleep(2)
    porcelain.withdraw_key(fleet.target("g1"), made["key_id"])
    fleet.signal("g4", signal.SIGCONT)
    answers = [callers.chat(fleet.http["g4"], made["key"]) for _ in range(20)]
    assert {a.status for a in answers} <= {401, 503}
    fleet.wait_for(
        lambda: callers.chat(fleet.http["g4"], fleet.key).status == 200,
        "the gateway to serve again",
        3,
    )


def test_a_connected_stream_of_a_withdrawn_key_ends(fleet):
    made = porcelain.create_key(fleet.target("g1"), "ana")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        job = pool.submit(
            callers.chat, fleet.http["g5"], made["key"], tokens=5000
        )
        fleet.wait_for(
            lambda: any(fleet.control(e)["running"] for e in ("e1", "e2")),
            "the stream to run",
            3,
        )
        time.sleep(0.3)
        start = time.monotonic()
        porcelain.withdraw_key(fleet.target("g1"), made["key_id"])
        answer = job.result()
    assert time.monotonic() - start < IN_FORCE_LIMIT_S
    assert not answer.whole
    assert b'"incomplete"' in answer.body


def is_repaired_without(fleet, replica):
    leader = fleet.leader()
    voters = fleet.status(leader)["replica"]["voters"] if leader else [replica]
    return replica not in voters and fleet.repaired(leader, 3)


def test_a_lost_disk_rejoins_as_new_and_two_losses_in_a_row(fleet):
    target = fleet.target("g4")
    for round_number, victim in enumerate(("g2", "g3")):
        before = fleet.status(victim)["replica"]["id"]
        answer = porcelain.apply(target, with_concurrency(3 + round_number))
        fleet.kill(victim)
        shutil.rmtree(fleet.folder / f"{victim}.data")
        fleet.start_instance(victim)
        fleet.wait_for(
            lambda b=before: is_repaired_without(fleet, b),
            "full replication without the lost disk",
            REPAIR_LIMIT_S,
        )
        found = fleet.status(victim)["replica"]
        assert found["id"] != before
        assert before not in found["voters"]
        wait_version(fleet, [victim], answer["version"], 5)
    fleet.kill("g1")
    last = retry_until_answered(
        lambda: porcelain.apply(target, with_concurrency(9)), 10
    )
    assert last["accepted"]


def test_a_cut_off_domain_serves_and_withdrawals_work_on_both_sides(fleet):
    inside, outside = ["g2", "g5"], ["g1", "g3", "g4"]
    made = porcelain.create_key(fleet.target("g1"), "ana")
    twin = porcelain.create_key(fleet.target("g1"), "ana")
    conftest.isolate(fleet, inside)
    fleet.wait_for(lambda: fleet.leader() in outside, "a leader outside", 10)
    time.sleep(2)
    for name in (*inside, *outside):
        assert callers.chat(fleet.http[name], fleet.key).whole, name
    answer = porcelain.withdraw_key(fleet.target("g5"), made["key_id"])
    assert sorted(answer["in_force"]) == inside
    silent = {u["instance"] for u in answer["unconfirmed"]}
    assert silent == set(outside)
    assert not answer["durable"]
    porcelain.withdraw_key(fleet.target("g3"), twin["key_id"])
    assert callers.chat(fleet.http["g2"], made["key"]).status == 401
    booking = callers.book(fleet.http["g5"], fleet.key, "cut")
    assert booking.error["outcome"] == "not-run"
    assert booking.error["retry_after_s"] > 0
    with pytest.raises(errors.RequestError) as caught:
        porcelain.apply(fleet.target("g5"), with_concurrency(8))
    assert caught.value.body["error"]["outcome"] in ("not-run", "unknown")
    accepted = porcelain.apply(fleet.target("g1"), with_concurrency(6))
    conftest.heal(fleet)
    wait_version(fleet, fleet.http, accepted["version"], 5)

    def denied():
        return all(
            callers.chat(fleet.http[n], key["key"]).status == 401
            for n in fleet.http
            for key in (made, twin)
        )

    fleet.wait_for(denied, "both keys denied everywhere", 3)

    def kept():
        leader = fleet.status(fleet.leader())["replica"]
        return leader["withdrawn_keys"] >= 2

    fleet.wait_for(kept, "the leader to hold both withdrawals", 5)


def test_a_leaving_endpoint_gets_nothing_new_after_two_seconds(fleet):
    fleet.control("e1", {"leaving": True})
    time.sleep(LEAVING_LIMIT_S)
    before = len(fleet.control("e1")["seen"])
    for name in fleet.http:
        for _ in range(4):
            assert callers.chat(fleet.http[name], fleet.key).whole
    assert len(fleet.control("e1")["seen"]) == before


def test_a_broken_stream_is_resumed_whole(fleet):
    for name in ("e1", "e2"):
        fleet.control(name, {"break_after": 7})
    for gateway in fleet.http:
        answer = callers.chat(fleet.http[gateway], fleet.key, tokens=40)
        assert answer.whole, answer
        assert answer.words == callers.words(40)


def test_a_crossed_answer_is_never_passed_on(fleet):
    for name in ("e1", "e2", "e3"):
        fleet.control(name, {"crossed": True})
    answer = callers.chat(fleet.http["g1"], fleet.key, tokens=6)
    assert b"chatcmpl-of-another" not in answer.body
    assert b'"incomplete"' in answer.body and not answer.whole


def test_a_rolling_restart_under_streams_cuts_no_request(fleet):
    stop = threading.Event()
    failures = []
    counts = []

    def stream(number):
        while not stop.is_set():
            for name in fleet.http:
                if number % 2 == 0 and not is_ready(fleet, name):
                    continue
                run_one(fleet, name, counts, failures)

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for name in list(fleet.http):
        fleet.signal(name, signal.SIGTERM)
        assert fleet.processes[name].wait(timeout=30) == 0
        fleet.start_instance(name)
        fleet.wait_for(lambda n=name: is_ready(fleet, n), "readiness", 15)
    stop.set()
    for thread in threads:
        thread.join()
    assert not failures, failures[:3]
    assert len(counts) > 20


# Guards against: a second signal ends a daemon at once that drains, and cuts
# the streams that it serves.
def test_second_signal_does_not_cut_a_drain_short(fleet):
    counts, failures = [], []
    streams = [
        threading.Thread(target=run_one, args=(fleet, "g1", counts, failures))
        for _ in range(4)
    ]
    for thread in streams:
        thread.start()
    time.sleep(0.2)
    process = fleet.processes["g1"]
    fleet.signal("g1", signal.SIGTERM)
    for _ in range(4):
        time.sleep(0.1)
        fleet.signal("g1", signal.SIGTERM)
    for thread in streams:
        thread.join()
    assert process.wait(timeout=30) == 0
    assert not failures, failures[:3]


def run_one(fleet, name, counts, failures):
    """Stream one chat and record a request that was cut.

    A refused connection does not count as a request.
    """
    try:
        answer = callers.chat(fleet.http[name], fleet.key, tokens=60)
    except callers.httpcore.ConnectError:
        time.sleep(0.05)
        return
    except Exception as exc:
        failures.append((name, repr(exc)))
        return
    counts.append(name)
    refused = answer.status == 503 and answer.error["outcome"] == "not-run"
    if not (answer.whole or refused):
        failures.append((name, answer.status, answer.body[-300:]))


def is_ready(fleet, name):
    try:
        return callers.send(fleet.http[name], "GET", "/readyz").status == 200
    except callers.httpcore.ConnectError:
        return False


def test_usage_reports_equal_what_was_delivered_across_a_kill(fleet):
    sent = 0
    for round_number in range(6):
        for name in ("g4", "g5"):
            sent += callers.chat(fleet.http[name], fleet.key, tokens=10).whole
        if round_number == 2:
            fleet.kill(fleet.leader())
        time.sleep(0.5)

    def reported():
        bodies = fleet.control("platform")["usage"].values()
        rows = [r for b in bodies for r in json.loads(b)["rows"]]
        return sum(r["requests"] for r in rows) == sent

    fleet.wait_for(reported, "all usage to be reported", 20)
    time.sleep(3)
    assert reported()
    found = fleet.control("platform")
    assert found["different"] == []
    rows = [r for b in found["usage"].values() for r in json.loads(b)["rows"]]
    assert sum(r["output_tokens"] for r in rows) == 10 * sent


def test_usage_reports_whose_answers_are_lost_are_sent_the_same(fleet):
    fleet.control("platform", {"drop_usage": True})
    callers.chat(fleet.http["g4"], fleet.key)
    fleet.wait_for(
        lambda: len(fleet.control("platform")["usage_log"]) >= 3,
        "reports sent again",
        15,
    )
    fleet.control("platform", {"drop_usage": False})
    found = fleet.control("platform")
    by_path = {}
    for entry in found["usage_log"]:
        by_path.setdefault(entry["path"], set()).add(entry["body"])
    assert all(len(bodies) == 1 for bodies in by_path.values())
    assert found["different"] == []


def with_pool(minimum):
    document = json.loads(json.dumps(conftest.DECLARATION))
    document["pools"] = {
        "p": {"kind": "engine", "minimum": minimum, "maximum": minimum + 4}
    }
    return document


def test_orders_across_a_kill_have_one_sender_at_a_time(fleet):
    fleet.control("platform", {"drop_order": True})
    porcelain.apply(fleet.target("g4"), with_pool(4))

    def orders():
        return fleet.control("platform")["orders"]

    fleet.wait_for(lambda: len(orders()) >= 2, "orders sent again", 15)
    old = fleet.leader()
    fleet.kill(old)
    fleet.wait_for(
        lambda: orders()[-1]["sender"] != old, "the new leader's orders", 15
    )
    fleet.control("platform", {"drop_order": False})
    time.sleep(2)
    found = orders()
    fences = [o["fence"] for o in found]
    assert fences == sorted(fences)
    senders = {}
    for order in found:
        senders.setdefault(order["fence"], set()).add(order["sender"])
    assert all(len(s) == 1 for s in senders.values())
    first, later = found[0], found[-1]
    assert first["order_id"] in {
        o["order_id"] for o in found if o["sender"] != old
    }, "an unanswered order must be sent again with its identifier"
    assert {o["verb"] for o in found} == {"start"}
    assert later["fence"] > first["fence"]


def test_cheap_endpoints_that_are_not_to_be_had_become_steady(fleet):
    fleet.control("platform", {"no_cheap": True})
    porcelain.apply(fleet.target("g4"), with_pool(5))

    def steady():
        return any(not o["cheap"] for o in fleet.control("platform")["orders"])

    fleet.wait_for(steady, "an order for a steady endpoint", 20)
    cheap = [o for o in fleet.control("platform")["orders"] if o["cheap"]]
    assert len(cheap) <= 12


def test_a_withdrawn_key_never_makes_a_sent_request_not_run(fleet):
    for name in ("e1", "e2", "e3"):
        fleet.control(name, {"stall": True})
    made = porcelain.create_key(fleet.target("g1"), "ana")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        job = pool.submit(
            callers.chat, fleet.http["g4"], made["key"], stream=False
        )
        fleet.wait_for(
            lambda: any(fleet.control(e)["running"] for e in ("e1", "e2")),
            "the request to reach an engine",
            3,
        )
        porcelain.withdraw_key(fleet.target("g1"), made["key_id"])
        answer = job.result()
    assert answer.status == 401
    assert answer.error["outcome"] == "incomplete"


def test_a_crossed_booking_answer_is_unknown_not_passed_on(fleet):
    fleet.control("s1", {"crossed": True})
    answer = callers.book(fleet.http["g1"], fleet.key, "crossed")
    assert answer.error["outcome"] == "unknown"
    assert b"number" not in answer.body
    assert len(fleet.control("s1")["runs"]) == 1
