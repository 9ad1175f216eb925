"""Tests of the operator and endpoint API against real processes."""

import copy
import json

import callers
import conftest
import pytest

from primrosehitch import errors
from primrosehitch import porcelain
from primrosehitch_lab import fleet as fleet_module

OPERATOR = fleet_module.OPERATOR_KEY
VALID_DECLARATION = conftest.DECLARATION


def with_item(path, value):
    """Return a copy of the declaration with the item at a path replaced."""
    document = copy.deepcopy(VALID_DECLARATION)
    container = document
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return document


BAD_DECLARATIONS = [
    (with_item(["clases"], {}), "$", "clases"),
    (with_item(["classes", "desk", "tier"], "0"), "$.classes.desk.tier", "0"),
    (with_item(["classes", "desk", "tier"], -1), "$.classes.desk.tier", "-1"),
    (with_item(["grants", 0, "customer"], "zoe"), "$.grants[0]", "zoe"),
    (with_item(["grants", 1, "class"], "desk"), "$.grants[1]", "twice"),
    (with_item(["routes", "status", "class"], "x"), "$.routes.status", "x"),
    (with_item(["grants", 0, "weight"], 0), "$.grants[0].weight", "0"),
]


@pytest.mark.parametrize("document,path,text", BAD_DECLARATIONS)
def test_a_bad_declaration_names_its_path(shared, document, path, text):
    before = porcelain.current_declaration(shared.target("g1"))
    with pytest.raises(errors.RequestError) as caught:
        porcelain.apply(shared.target("g4"), document)
    error = caught.value.body["error"]
    assert caught.value.status == 400
    assert error["outcome"] == "not-run"
    assert path in error["message"] and text in error["message"]
    assert porcelain.current_declaration(shared.target("g1")) == before


BAD_CALLS = [
    ("POST", "/admin/declaration", b"{", 400),
    ("POST", "/admin/declaration", b"{}", 400),
    ("POST", "/admin/keys", b'{"customer": "nobody"}', 404),
    ("POST", "/admin/keys", b'{"customer": "ana", "x": 1}', 400),
    ("POST", "/admin/keys", b'{"customer":"ana","key_hash":"ff"}', 400),
    ("POST", "/admin/keys/withdraw", b'{"key_id": "none"}', 404),
    ("POST", "/admin/init", b"{}", 409),
    ("GET", "/admin/nothing", b"", 404),
]


@pytest.mark.parametrize("method,path,body,status", BAD_CALLS)
def test_bad_operator_calls(shared, method, path, body, status):
    answer = callers.send(shared.http["g2"], method, path, OPERATOR, body)
    assert answer.status == status
    assert answer.error["outcome"] == "not-run"


def test_operators_need_their_key(shared):
    for key in ("", "wrong", shared.key):
        answer = callers.send(shared.http["g1"], "GET", "/admin/status", key)
        assert answer.status == 401


def announcement(**more):
    value = {
        "name": "e9",
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:1",
        "domain": "za",
        "kind": "engine",
        "models": ["other"],
        "slots": 1,
    }
    value.update(more)
    return value


BAD_ANNOUNCEMENTS = [
    ({"slots": "1"}, 400),
    ({"sequence": -1}, 400),
    ({"sequence": True}, 400),
    ({"models": "m"}, 400),
    ({"models": [1]}, 400),
    ({"address": "nowhere"}, 400),
    ({"incarnation": 2**70}, 400),
    ({"period_ms": 0}, 400),
    ({"kind": "unheard-of"}, 401),
]


@pytest.mark.parametrize("change,status", BAD_ANNOUNCEMENTS)
def test_bad_announcements(shared, change, status):
    answer = callers.send(
        shared.http["g1"],
        "POST",
        "/endpoints/announce",
        fleet_module.TOKEN,
        announcement(**change),
    )
    assert answer.status == status
    assert answer.error["outcome"] == "not-run"


def test_an_announcement_reaches_every_gateway(shared):
    answer = callers.send(
        shared.http["g1"],
        "POST",
        "/endpoints/announce",
        fleet_module.TOKEN,
        announcement(name="e8", some_new_field=1),
    )
    assert answer.status == 200

    def is_known_everywhere():
        return all(
            any(
                e["name"] == "e8"
                for e in porcelain.endpoints(shared.target(g))
            )
            for g in shared.http
        )

    assert (
        shared.wait_for(
            is_known_everywhere, "every gateway to know the endpoint", 2
        )
        < 2
    )


def test_equal_numbers_have_one_winner(shared):
    base = porcelain.current_declaration(shared.target("g1"))["version"]
    first = with_item(["grants", 2, "concurrency"], 3)
    second = with_item(["grants", 2, "concurrency"], 4)
    won = porcelain.apply(shared.target("g2"), first, base, "race-1")
    with pytest.raises(errors.RequestError) as caught:
        porcelain.apply(shared.target("g5"), second, base, "race-2")
    assert won["accepted"] and caught.value.status == 409
    conflicts = caught.value.body["conflicts"]
    assert [c["key"] for c in conflicts] == ["bea/quote"]
    assert conflicts[0]["value"]["concurrency"] == 3
    again = porcelain.apply(shared.target("g3"), first, base, "race-1")
    assert again["version"] == won["version"]
    porcelain.apply(shared.target("g1"), VALID_DECLARATION)


def test_an_accepted_edit_is_in_force_everywhere_at_the_answer(shared):
    document = with_item(["grants", 2, "concurrency"], 5)
    answer = porcelain.apply(shared.target("g4"), document)
    assert sorted(answer["in_force"]) == sorted(shared.http)
    assert answer["unconfirmed"] == []
    for name in shared.http:
        found = porcelain.current_declaration(shared.target(name))
        assert found["version"] >= answer["version"]
        assert found["declaration"]["grants"][2]["concurrency"] == 5
    porcelain.apply(shared.target("g1"), VALID_DECLARATION)


def test_plan_shows_what_would_change(shared):
    document = with_item(["grants", 2, "concurrency"], 9)
    changes = porcelain.plan(shared.target("g1"), document)["changes"]
    assert [c["key"] for c in changes] == ["bea/quote"]
    assert json.loads(changes[0]["to"])["concurrency"] == 9


def test_a_withdrawn_key_stops_everywhere(shared):
    made = porcelain.create_key(shared.target("g1"), "ana")
    for name in shared.http:
        assert callers.chat(shared.http[name], made["key"]).status == 200
    answer = porcelain.withdraw_key(shared.target("g5"), made["key_id"])
    assert sorted(answer["in_force"]) == sorted(shared.http)
    assert answer["durable"]
    for name in shared.http:
        assert callers.chat(shared.http[name], made["key"]).status == 401


def test_a_granted_key_is_the_same_for_a_resend(shared):
    hashed = "ab" * 32
    value = {"customer": "ana", "key_hash": hashed, "edit_id": "grant-1"}
    target = shared.target("g1")
    first = porcelain.request(target, "POST", "/admin/keys", value)
    again = porcelain.request(
        shared.target("g4"), "POST", "/admin/keys", value
    )
    assert first["version"] == again["version"]
    assert first["key_id"] == again["key_id"]


def test_burn_merges_all_gateways(shared):
    for name in shared.http:
        callers.chat(shared.http[name], shared.key)
    rows = {r["class_name"]: r for r in porcelain.burn(shared.target("g1"))}
    assert rows["desk"]["requests"] >= len(shared.http)
    assert rows["desk"]["worst_customer"] == "ana"
