"""Tests that only complete events of one response are forwarded."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import streams


def event(number, identifier="a"):
    return f'data: {{"id":"{identifier}","n":{number}}}\n\n'.encode()


DONE = b"data: [DONE]\n\n"


@given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=30))
def test_split_of_chunks_does_not_change_the_forwarded_bytes(count, cuts):
    data = b"".join(event(i) for i in range(count)) + DONE
    check = streams.StreamValidator()
    passed, events = b"", 0
    while data:
        size = cuts.pop() if cuts else len(data)
        result = check.feed(data[:size])
        assert result.data.endswith(b"\n\n") or not result.data
        passed += result.data
        events += result.event_count
        data = data[size:]
    assert passed == b"".join(event(i) for i in range(count)) + DONE
    assert events == check.event_count == count
    assert check.done


def test_partial_event_is_held_back_and_dropped_on_resumption():
    check = streams.StreamValidator()
    check.feed(event(0) + event(1)[:9])
    assert check.event_count == 1
    check.prepare_resumption()
    assert check.feed(event(1)).data == event(1)


INVALID_STREAMS = [
    [event(0) + event(1, "b")],
    [event(0), event(1, "b")],
    [event(0), DONE, event(1)],
    [b"x" * (streams.MAX_PARTIAL_EVENT_BYTES + 1)],
]


@pytest.mark.parametrize("chunks", INVALID_STREAMS)
def test_invalid_streams_are_refused(chunks):
    check = streams.StreamValidator()
    with pytest.raises(streams.StreamError):
        for chunk in chunks:
            check.feed(chunk)


def test_echoed_identifier_must_stay_the_same_after_resumption():
    check = streams.StreamValidator("r1")
    check.feed(event(0, "chatcmpl-r1"))
    check.prepare_resumption()
    with pytest.raises(streams.StreamError):
        check.feed(event(1, "other"))


def test_identifier_of_an_engine_may_change_on_resumption():
    check = streams.StreamValidator("r1")
    check.feed(event(0, "abc"))
    check.prepare_resumption()
    assert check.feed(event(1, "def")).event_count == 1


def test_comments_are_forwarded_and_usage_is_read():
    check = streams.StreamValidator()
    check.feed(event(0) + b": still here\n\n")
    final = (
        b'data: {"id":"a","usage":{"prompt_tokens":7,'
        b'"completion_tokens":9}}\n\n'
    )
    check.feed(final + DONE)
    assert check.usage() == (7, 9)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_forwarded_or_refused(data):
    check = streams.StreamValidator()
    try:
        check.feed(data)
    except streams.StreamError:
        return
    assert check.event_count >= 0
