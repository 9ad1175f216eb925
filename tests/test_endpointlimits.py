"""Tests of the rate limits that endpoints name in their answers."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import endpoint
from primrosehitch import endpointlimits
from primrosehitch import events
from primrosehitch import httpclient
from primrosehitch import messages
from primrosehitch.platform import dialect

ENDPOINT = endpoint.Incarnation("i-0", 5)


def limit(milli_per_s=2500, said_ms=100, permits=0):
    return messages.EndpointLimit(*ENDPOINT, milli_per_s, said_ms, permits)


def read_limit(*values):
    """Return how the adapter decodes an answer's headers of that name."""
    headers = [(b"server-limit", value) for value in values]
    head = httpclient.ResponseHead(200, headers, 0)
    info = dialect.PlatformDialect().read_answer(head)
    return info.limit_per_s, info.malformed_limit


@pytest.mark.parametrize(
    "value,per_s", [(b"1", 1.0), (b" 12.5 ", 12.5), (b"0.25", 0.25)]
)
def test_limit_is_decoded(value, per_s):
    assert read_limit(value) == (per_s, "")


def test_answer_without_a_limit_names_none():
    assert read_limit() == (0.0, "")


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"0",),
        (b"0.0",),
        (b"nan",),
        (b"inf",),
        (b"1e300",),
        (b"1_0",),
        (b"9" * 400,),
        (b"1", b"2"),
        (b"1, 2",),
        (b"\xff\x00",),
    ],
)
def test_malformed_limit_is_reported_as_such(values):
    per_s, malformed = read_limit(*values)
    assert per_s == 0.0
    assert 0 < len(malformed) <= 40


@given(st.lists(st.binary(max_size=12), min_size=1, max_size=3))
def test_any_value_is_a_finite_limit_or_malformed(values):
    per_s, malformed = read_limit(*values)
    assert (0 < per_s < 1e9) != bool(malformed)


def test_limit_and_its_end_are_logged_once(log_lines):
    limits = endpointlimits.EndpointLimits()
    for now in (100, 200, 300):
        limits.record_answer(ENDPOINT, 2.5, now - 50, now)
        limits.add_permits((limit(permits=1),), now)
        assert limits.take(ENDPOINT, now)
    limits.record_answer(ENDPOINT, 4.0, 350, 400)
    limits.record_answer(ENDPOINT, 0.0, 450, 500)
    limits.record_answer(ENDPOINT, 0.0, 550, 600)
    lines = [
        (line["event"], line["per_s"], line.get("before"), line.get("sent"))
        for line in log_lines
    ]
    assert lines == [
        (events.LIMIT_IN_FORCE.number, 2.5, 0, None),
        (events.LIMIT_IN_FORCE.number, 4.0, 2.5, None),
        (events.LIMIT_ENDED.number, 4.0, None, 3),
    ]


def test_answer_to_an_earlier_request_does_not_end_a_limit():
    limits = endpointlimits.EndpointLimits()
    limits.record_answer(ENDPOINT, 2.5, 100, 200)
    limits.record_answer(ENDPOINT, 0.0, 150, 300)
    assert limits.table.milli_per_s(ENDPOINT) == 2500
