"""Tests of the callers' API against real processes."""

import callers
import pytest


def chat_body(**more):
    return {"model": "m", "messages": [], "max_tokens": 2, **more}


CHAT = "/v1/chat/completions"
BAD_CALLS = [
    ("POST", CHAT, b"{", 400, "bad-json"),
    ("POST", CHAT, b"[1]", 400, "bad-json"),
    ("POST", CHAT, b"[" * 100_000, 400, "bad-json"),
    ("POST", CHAT, b'{"model": "nope"}', 404, "unknown-model"),
    ("POST", CHAT, b'{"model": 7}', 404, "unknown-model"),
    ("POST", CHAT, b" " * (5 << 20), 413, "body-too-large"),
    ("GET", CHAT, b"", 405, "bad-method"),
    ("GET", "/nowhere", b"", 404, "no-such-path"),
    ("GET", "/services/nothing", b"", 404, "unknown-route"),
]


@pytest.mark.parametrize("method,path,body,status,reason", BAD_CALLS)
def test_bad_request_gets_an_error_with_its_reason(
    shared, method, path, body, status, reason
):
    answer = callers.send(shared.http["g4"], method, path, shared.key, body)
    assert answer.status == status
    error = answer.error
    assert error["outcome"] == "not-run"
    assert error["reason"] == reason
    assert error["step"] and error["message"]
    assert error["request_id"] == answer.headers["x-request-id"]


@pytest.mark.parametrize("key", ["", "ph-wrong", "\u00e9\u00e9"])
def test_request_needs_a_known_key(shared, key):
    for path in (CHAT, "/services/booking", "/services/status"):
        answer = callers.send(
            shared.http["g1"], "POST", path, key, chat_body()
        )
        assert answer.status == 401
        assert answer.error["outcome"] == "not-run"


def test_class_must_be_granted(shared):
    headers = [("x-class", "desk")]
    answer = callers.chat(shared.http["g1"], shared.other_key, headers=headers)
    assert (answer.status, answer.error["reason"]) == (
        403,
        "class-not-granted",
    )


@pytest.mark.parametrize("gateway", ["g1", "g2", "g3", "g4", "g5"])
def test_every_gateway_serves_complete_streams(shared, gateway):
    answer = callers.chat(shared.http[gateway], shared.key, tokens=30)
    assert answer.status == 200
    assert answer.whole
    assert answer.words == callers.words(30)


def test_buffered_response_is_complete(shared):
    answer = callers.chat(
        shared.http["g5"], shared.key, tokens=9, stream=False
    )
    assert answer.status == 200
    assert callers.words(9).encode() in answer.body


def test_open_route_needs_no_key(shared):
    assert (
        callers.send(shared.http["g2"], "GET", "/services/hours").status == 200
    )


HEADERS_WITH_KEY = [
    [("x-api-key", "{key}")],
    [("cookie", "session={key}")],
    [("x-forwarded-authorization", "Bearer {key}")],
    [("proxy-authorization", "Bearer {key}")],
    [("x-custom", "{key}")],
    [("user-agent", "agent/{key}")],
    [("accept", "text/{key}")],
    [("connection", "x-secret"), ("x-secret", "{key}")],
    [("referer", "http://h/?k={key}")],
    [("te", "trailers"), ("trailer", "authorization")],
]


@pytest.mark.parametrize("headers", HEADERS_WITH_KEY)
def test_headers_with_the_key_are_not_forwarded(shared, headers):
    key = shared.key
    given = [(n, v.format(key=key)) for n, v in headers]
    assert callers.chat(shared.http["g1"], key, headers=given).whole
    callers.send(shared.http["g1"], "GET", "/services/status", key, b"", given)
    assert_key_not_forwarded(shared, key)


def assert_key_not_forwarded(shared, key):
    seen = 0
    for name in ("e1", "e2", "e3", "s1"):
        found = shared.control(name)["seen"]
        seen += len(found)
        assert key not in str(found)
        for item in found:
            assert "authorization" not in dict(item["headers"])
    assert seen


@pytest.mark.parametrize(
    "path",
    [
        "/services/status?key={key}",
        "/services/status?k={quoted}",
        "/services/status/{key}",
        "/services/status?a=1&b={twice}",
    ],
)
def test_key_in_path_or_query_is_refused(shared, path):
    key = shared.key
    quoted = "".join(f"%{ord(c):02x}" for c in key)
    path = path.format(
        key=key, quoted=quoted, twice=quoted.replace("%", "%25")
    )
    answer = callers.send(shared.http["g1"], "GET", path, key)
    assert answer.error["reason"] == "key-in-request"
    assert_key_not_forwarded(shared, key)


def test_key_in_the_body_is_refused(shared):
    answer = callers.chat(shared.http["g1"], shared.key, prompt=shared.key)
    assert answer.error["reason"] == "key-in-request"


def test_logs_do_not_contain_keys(shared):
    callers.chat(shared.http["g1"], shared.key)
    for path in shared.folder.glob("*.log"):
        text = path.read_text()
        assert shared.key not in text
        assert "operator-key" not in text


def test_a_booking_runs_once_at_whichever_gateway(shared):
    before = len(shared.control("s1")["runs"])
    answers = [
        callers.book(shared.http[g], shared.key, "same-booking")
        for g in ("g1", "g4", "g2", "g5", "g3")
    ]
    assert len(shared.control("s1")["runs"]) == before + 1
    # The bodies say why one was refused.
    assert [(a.status, a.body) for a in answers] == [
        (201, answers[0].body)
    ] * 5
    assert [a.headers.get("x-replayed") for a in answers[1:]] == ["true"] * 4


def test_idempotency_key_cannot_be_reused_for_another_request(shared):
    callers.book(shared.http["g1"], shared.key, "reused", b"first")
    answer = callers.book(shared.http["g2"], shared.key, "reused", b"second")
    assert (answer.status, answer.error["reason"]) == (
        422,
        "idempotency-key-reused",
    )


def test_models_health_and_metrics(shared):
    address = shared.http["g3"]
    assert b'"m"' in callers.send(address, "GET", "/v1/models").body
    assert callers.send(address, "GET", "/healthz").status == 200
    assert callers.send(address, "GET", "/readyz").status == 200
    metrics = callers.send(address, "GET", "/metrics").body
    assert b"primrosehitch_requests_total" in metrics


def test_request_is_cancelled_when_its_caller_disconnects(shared):
    import socket

    body = b'{"model":"m","stream":true,"max_tokens":5000,"messages":[]}'
    head = (
        f"POST {CHAT} HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {shared.key}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    host, port = shared.http["g4"].split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(head.encode() + body)
        caller.recv(200)

    def idle():
        return not any(
            shared.control(e)["running"] for e in ("e1", "e2", "e3")
        )

    assert shared.wait_for(idle, "engines to be idle", 3) < 3
