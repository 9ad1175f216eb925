"""The HTTP entry points under arbitrary input.

They must neither crash nor hang, and must answer with a reason and a step.
"""

import json
import socket

import callers
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosehitch_lab import fleet as fleet_module

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=6), x, max_size=3)
    ),
    max_leaves=6,
)
FUZZ_SETTINGS = settings(
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
ENTRY_POINTS = [
    ("/v1/chat/completions", "caller", ["model", "messages", "max_tokens"]),
    ("/admin/declaration", "operator", ["declaration", "base_version"]),
    ("/admin/keys", "operator", ["customer", "key_hash", "edit_id"]),
    ("/admin/keys/withdraw", "operator", ["key_id", "key_hash"]),
    ("/endpoints/announce", "endpoint", ["name", "slots", "models"]),
]


@pytest.mark.parametrize("path,role,names", ENTRY_POINTS)
def test_any_json_body_gets_a_structured_answer(shared, path, role, names):
    keys = {
        "caller": shared.key,
        "operator": fleet_module.OPERATOR_KEY,
        "endpoint": fleet_module.TOKEN,
    }

    @FUZZ_SETTINGS
    @given(JSON_VALUES | st.dictionaries(st.sampled_from(names), JSON_VALUES))
    def send(value):
        answer = callers.send(
            shared.http["g5"], "POST", path, keys[role], value
        )
        assert answer.status != 500
        if answer.status >= 300:
            body = json.loads(answer.body)
            assert body["error"]["reason"] and body["error"]["step"]

    send()


LONE_SURROGATE = b"\\ud800"
SURROGATE_BODIES = [
    ("/v1/chat/completions", b'{"model":"m","prompt":"%s"}'),
    ("/v1/chat/completions", b'{"model":"%s"}'),
    ("/admin/keys", b'{"customer":"ana","edit_id":"%s"}'),
    ("/admin/keys/withdraw", b'{"key":"%s"}'),
]


@pytest.mark.parametrize("path,body", SURROGATE_BODIES)
def test_lone_surrogate_is_not_an_internal_error(shared, path, body):
    key = shared.key
    if path.startswith("/admin"):
        key = fleet_module.OPERATOR_KEY
    text = body.replace(b"%s", LONE_SURROGATE * 1200)
    answer = callers.send(shared.http["g5"], "POST", path, key, text)
    assert answer.status in (200, 400, 404)


# Guards against: a booking runs without the body that came with it.
def test_request_to_upgrade_with_a_body_runs_nowhere(shared):
    headers = [("connection", "Upgrade"), ("upgrade", "h2c")]
    address, path = shared.http["g5"], "/services/booking"
    answer = callers.send(
        address, "POST", path, shared.key, b'{"bay":1}', headers
    )
    assert answer.status == 400
    assert answer.error["reason"] == "upgrade-with-body"


def test_arbitrary_bytes_are_answered_or_closed(shared):
    host, port = shared.http["g5"].split(":")

    @FUZZ_SETTINGS
    @given(st.binary(min_size=1, max_size=200))
    def send(data):
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            caller.sendall(data + b"\r\n\r\n")
            caller.shutdown(socket.SHUT_WR)
            while caller.recv(4096):
                pass

    send()
    assert callers.chat(shared.http["g5"], shared.key).whole
