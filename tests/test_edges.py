"""The HTTP edges under arbitrary input: no crash, no hang, clear errors."""

import json
import socket

import callers
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosehitch_lab import fleet as fleet_module

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=6), x, max_size=3)
    ),
    max_leaves=6,
)
SHARED = settings(
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
EDGES = [
    ("/v1/chat/completions", "caller", ["model", "messages", "max_tokens"]),
    ("/admin/declaration", "operator", ["declaration", "base_version"]),
    ("/admin/keys", "operator", ["customer", "key_hash", "edit_id"]),
    ("/admin/keys/withdraw", "operator", ["key_id", "key_hash"]),
    ("/endpoints/announce", "endpoint", ["name", "slots", "models"]),
]


@pytest.mark.parametrize("path,who,names", EDGES)
def test_any_json_body_gets_a_documented_answer(shared, path, who, names):
    keys = {
        "caller": shared.key,
        "operator": fleet_module.OPERATOR_KEY,
        "endpoint": fleet_module.TOKEN,
    }

    @SHARED
    @given(JSON | st.dictionaries(st.sampled_from(names), JSON))
    def send(value):
        answer = callers.send(
            shared.http["g5"], "POST", path, keys[who], value
        )
        assert answer.status != 500
        if answer.status >= 300:
            body = json.loads(answer.body)
            assert body["error"]["reason"] and body["error"]["step"]

    send()


HALF = b"\\ud800"
HALVES = [
    ("/v1/chat/completions", b'{"model":"m","prompt":"%s"}'),
    ("/v1/chat/completions", b'{"model":"%s"}'),
    ("/admin/keys", b'{"customer":"ana","edit_id":"%s"}'),
    ("/admin/keys/withdraw", b'{"key":"%s"}'),
]


@pytest.mark.parametrize("path,body", HALVES)
def test_half_a_character_is_no_internal_error(shared, path, body):
    key = shared.key
    if path.startswith("/admin"):
        key = fleet_module.OPERATOR_KEY
    text = body.replace(b"%s", HALF * 1200)
    answer = callers.send(shared.http["g5"], "POST", path, key, text)
    assert answer.status in (200, 400, 404)


def test_any_bytes_are_answered_or_closed(shared):
    host, port = shared.http["g5"].split(":")

    @SHARED
    @given(st.binary(min_size=1, max_size=200))
    def send(data):
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            caller.sendall(data + b"\r\n\r\n")
            caller.shutdown(socket.SHUT_WR)
            while caller.recv(4096):
                pass

    send()
    assert callers.chat(shared.http["g5"], shared.key).whole
