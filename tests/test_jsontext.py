"""Tests of the strict decoding of JSON from outside."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import jsontext

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**12), 10**12)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(JSON_VALUES, st.booleans())
def test_valid_documents_are_read_as_the_standard_library_does(value, escape):
    data = json.dumps(value, ensure_ascii=escape).encode()
    assert jsontext.loads(data) == value


@pytest.mark.parametrize(
    "data",
    [
        b'"\xed\xa0\xbd"',
        b'"\xff"',
        b'"\\ud83d"',
        b'["\\uDE00"]',
        b'{"a": 1, "a": 2}',
        b'{"\\ud83d": 1}',
        b"NaN",
        b"[-Infinity]",
        b"1e999",
        b"9" * 5000,
        b"[" * 100_000,
        b"\xef\xbb\xbf{}",
        "{}".encode("utf-16"),
        b"",
        b"{}{}",
    ],
)
def test_unreadable_documents_are_refused(data):
    with pytest.raises(jsontext.JsonError):
        jsontext.loads(data)


def test_whole_pairs_and_escaped_backslashes_are_text():
    assert jsontext.loads(b'"\\ud83d\\ude00"') == "\U0001f600"
    assert jsontext.loads(b'"\\\\ud83d"') == "\\ud83d"


# Guards against: values from outside that our messages cannot carry.
@given(st.binary(max_size=60))
def test_whatever_is_read_can_be_encoded(data):
    try:
        value = jsontext.loads(data)
    except jsontext.JsonError:
        return
    json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
