"""Tests of the strict decoding of JSON from outside."""

import contextlib
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import jsontext

PARTS_BYTES = [8, 33, 1 << 18]
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


@contextlib.contextmanager
def decoded_in_parts(part_bytes):
    """Let all documents be decoded in parts of a size."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(jsontext, "MAX_UNDIVIDED_BYTES", 0)
        patch.setattr(jsontext, "PART_BYTES", part_bytes)
        yield


def short_values(part_bytes):
    return st.one_of(
        st.none(),
        st.integers(-9, 999),
        st.text(max_size=1),
        JSON_VALUES if part_bytes > 1000 else st.booleans(),
    )


# Guards against: a value at the end of a part is read as another one.
@pytest.mark.parametrize("part_bytes", PARTS_BYTES)
@given(st.data(), st.booleans(), st.sampled_from([None, 1]))
def test_documents_are_read_in_parts_as_at_once(
    part_bytes, data, escape, indent
):
    values = short_values(part_bytes)
    value = data.draw(
        st.dictionaries(
            st.text("abcö", max_size=2),
            values | st.lists(values, max_size=9),
            max_size=5,
        )
    )
    escape = escape and part_bytes > 8
    document = json.dumps(value, ensure_ascii=escape, indent=indent).encode()
    with decoded_in_parts(part_bytes):
        assert jsontext.loads_in_parts(document) == value


@pytest.mark.parametrize("part_bytes", PARTS_BYTES)
@pytest.mark.parametrize("number", ["1.25", "-3", "1e2", "1.5e+3", "12345"])
@pytest.mark.parametrize("padding", range(9))
def test_numbers_at_the_end_of_a_part_are_read_whole(
    part_bytes, number, padding
):
    document = f'{{"a":{" " * padding}[0,{number}, {number}]}}'
    with decoded_in_parts(part_bytes):
        read = jsontext.loads_in_parts(document.encode())
    assert read == json.loads(document)


@pytest.mark.parametrize("part_bytes", PARTS_BYTES)
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"1",
        b"{",
        b"{}{}",
        b"{}x",
        b'{"a"}',
        b'{"a":}',
        b'{"a":1,}',
        b'{"a":1 "b":2}',
        b"{a:1}",
        b'{"a":[1,]}',
        b'{"a":[1',
        b'{"a":[1 2]}',
        b'{"a":1,"a":2}',
        b'{"a":[{"b":1,"b":2}]}',
        b'{"a":"\xff"}',
        b'{"a":"\xc3',
        b'{"a":["\\ud83d"]}',
        b'{"\\ud83d":1}',
        b'{"a":[NaN]}',
        b'{"a":1e999}',
        b'{"a":[' + b"[" * 100_000,
        b"\xef\xbb\xbf{}",
    ],
)
def test_unreadable_documents_are_refused_in_parts(part_bytes, data):
    with decoded_in_parts(part_bytes), pytest.raises(jsontext.JsonError):
        jsontext.loads_in_parts(data)


@pytest.mark.parametrize(
    "data,text",
    [
        (b'{"a":[' + b"1," * (1 << 20) + b"1]}", "1048576 values"),
        (
            b"{%s}" % b",".join(b'"%d":1' % n for n in range(30_000)),
            "1000 fields",
        ),
        (
            b'{"a":["%s"]}' % (b"x" * 2_500_000),
            "char 6 is not valid, or longer than 1048576",
        ),
        (
            b'{"a":[%s 1 2]}' % (b"1, " * 100_000),
            "char 300009",
        ),
    ],
)
def test_large_documents_are_refused_with_the_limit_or_place(data, text):
    with pytest.raises(jsontext.JsonError, match=text):
        jsontext.loads_in_parts(data + b" " * jsontext.MAX_UNDIVIDED_BYTES)


def test_large_documents_that_were_accepted_are_read():
    data = b'{"a":"%s","b":[%s1]}' % (b"x" * 300_000, b"1," * (1 << 20))
    assert len(jsontext.loads_accepted(data)["b"]) == (1 << 20) + 1


# Guards against: a limit on parts of tables refuses a long message of a chat.
def test_other_large_documents_have_no_such_limits():
    data = b'{"a":"%s","b":[%s1]}' % (b"x" * 2_500_000, b"1," * (1 << 20))
    assert len(jsontext.loads(data)["a"]) == 2_500_000
