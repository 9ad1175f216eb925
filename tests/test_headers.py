"""Tests that no API key reaches an endpoint, in whichever header it is."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import headers

KEY = "ph-Secret_Key-123"
NAMES = [
    b"authorization",
    b"x-api-key",
    b"cookie",
    b"proxy-authorization",
    b"x-forwarded-authorization",
    b"x-anything",
    b"user-agent",
    b"accept",
    b"content-type",
    b"traceparent",
]


@pytest.mark.parametrize("name", NAMES)
def test_headers_containing_the_key_are_dropped(name):
    given_headers = [(name, f"a {KEY} b".encode()), (b"accept", b"*/*")]
    forwarded = headers.filter_request_headers(given_headers, KEY)
    assert forwarded == [(b"accept", b"*/*")]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(NAMES) | st.binary(min_size=1, max_size=12),
            st.binary(max_size=30),
        ),
        max_size=8,
    )
)
def test_only_allowed_headers_are_forwarded(header_items):
    for name, value in headers.filter_request_headers(header_items, KEY):
        assert name in headers.ALLOWED_REQUEST_HEADERS
        assert KEY.encode() not in value


@given(st.binary(max_size=10), st.binary(max_size=10), st.integers(0, 2))
def test_percent_encoded_key_is_found(before, after, rounds):
    data = before + KEY.encode() + after
    for _ in range(rounds):
        data = b"".join(b"%%%02x" % byte for byte in data)
    assert headers.contains_key(data, KEY)


@pytest.mark.parametrize(
    "given_headers,key",
    [
        ([(b"authorization", b"Bearer k1")], "k1"),
        ([(b"authorization", b"bearer  k1 ")], "k1"),
        ([(b"x-api-key", b"k2")], "k2"),
        ([(b"authorization", b"Basic k1")], ""),
        ([], ""),
    ],
)
def test_key_is_read_from_headers(given_headers, key):
    assert headers.extract_key(given_headers) == key
