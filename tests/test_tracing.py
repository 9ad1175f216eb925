"""Tests of the search for the log lines that explain a request."""

import json

from primrosehitch import cli
from primrosehitch import events
from primrosehitch import tracing


def log_line(at, event, **fields):
    record = {
        "event": event.number,
        "message_type": event.name,
        "timestamp": at,
        **fields,
    }
    return json.dumps(record)


LOG = "\n".join(
    (
        log_line(10.0, events.ENDPOINT_FAILED, request_id="b", endpoint="e1"),
        log_line(11.0, events.ENDPOINT_FAILED, request_id="a", endpoint="e1"),
        "no record {",
        log_line(
            11.1, events.FORWARDED, request_id="a", endpoints="e1:Broken"
        ),
        log_line(11.5, events.ENDPOINT_FAILED, request_id="c", endpoint="e2"),
        log_line(12.0, events.LINK_DOWN, peer="p"),
        log_line(30.0, events.ENDPOINT_FAILED, request_id="d", endpoint="e1"),
    )
)


def test_trace_finds_request_lines_and_context():
    result = tracing.trace("a", tracing.parse("edge", LOG))
    assert [line.time_s for line in result.request_lines] == [11.0, 11.1]
    assert [line.time_s for line in result.context_lines] == [10.0, 12.0]


def test_unknown_request_has_no_lines():
    result = tracing.trace("z", tracing.parse("edge", LOG))
    assert tracing.render(result) == "no log line has this request id"


def test_trace_command(tmp_path):
    one, other = tmp_path / "one.log", tmp_path / "other.log"
    one.write_text(LOG)
    other.write_text(log_line(11.2, events.LEADER_CHANGED, leader="x"))
    text = cli.Commands().trace("a", str(one), str(other))
    assert "-0.100 one.log endpoint-failed request_id=a" in text
    assert "+0.100 other.log leader-changed leader=x" in text


def test_check_command_accepts_instance_settings(tmp_path):
    file = tmp_path / "settings.json"
    document = {
        "name": "n",
        "domain": "z",
        "host": "10.0.0.1",
        "ports": [7000, 7001],
        "seeds": ["10.0.0.2:80"],
        "listen": {"front": "10.0.0.1:81"},
    }
    file.write_text(json.dumps(document))
    assert cli.Commands().check(str(file)).endswith("ok")
