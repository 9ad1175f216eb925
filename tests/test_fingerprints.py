"""Tests of the fingerprints of requests."""

import hashlib

from hypothesis import given
from hypothesis import strategies as st

from primrosehitch import fingerprints
from primrosehitch import httpserver


def fingerprint(method="POST", target=b"/a/x", caller="ana", body=b"b"):
    body_hash = hashlib.blake2b(body, digest_size=16).digest()
    request = httpserver.Request(method, target, [], b"", 0, body_hash)
    return fingerprints.request_fingerprint(request, caller)


def test_repeats_have_one_fingerprint_and_others_another():
    variants = [
        fingerprint(),
        fingerprint(method="PUT"),
        fingerprint(target=b"/a/x?q=1"),
        fingerprint(caller="bea"),
        fingerprint(caller=""),
        fingerprint(body=b"c"),
    ]
    assert len(set(variants)) == len(variants)
    assert fingerprint() == variants[0]


FIELDS = st.tuples(st.text(max_size=4), st.binary(max_size=4))


@given(FIELDS, FIELDS)
def test_fields_that_join_alike_are_told_apart(one, other):
    is_same = one == other
    assert (
        fingerprint(caller=one[0], target=one[1])
        == fingerprint(caller=other[0], target=other[1])
    ) == is_same


def test_fingerprint_is_no_prompt_part():
    assert fingerprints.is_fingerprint(fingerprint())
    assert not fingerprints.is_fingerprint("9c41d07be2a35f68")
