"""Tests of what an edge knows of control instances."""

import random

from hypothesis import given
from hypothesis import strategies as st

from primrosehitch import controldirectory

SEEDS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


def make_directory():
    return controldirectory.ControlDirectory(SEEDS, random.Random(1))


def name(number):
    return f"10.1.{number // 250}.{number % 250}:1"


# Guards against: an edge forgets instances that its current one doesn't see.
def test_narrow_view_takes_nothing_away():
    directory = make_directory()
    directory.apply_view({name(5): "za", name(6): "zb"}, 100)
    directory.apply_view({name(5): "za"}, 200)
    assert directory.by_last_seen()[:2] == [name(5), name(6)]
    assert set(directory.known) == {*SEEDS, name(5), name(6)}


def test_instances_seen_last_come_first_and_unseen_seeds_last():
    directory = make_directory()
    for now, number in enumerate((7, 5, 6)):
        directory.record_seen(name(number), now)
    assert directory.by_last_seen()[:3] == [name(6), name(5), name(7)]


def test_domain_is_kept_where_a_later_view_does_not_tell_it():
    directory = make_directory()
    directory.apply_view({name(5): "za"}, 100)
    directory.record_seen(name(5), 200)
    assert directory.domain_of(name(5)) == "za"


def test_name_that_is_no_address_is_passed_over():
    directory = make_directory()
    directory.apply_view({"": "za", "x": "zb"}, 100)
    assert set(directory.known) == set(SEEDS)


def test_earlier_seeds_stay_known():
    directory = make_directory()
    directory.set_seeds([name(9)])
    assert set(directory.known) == {*SEEDS, name(9)}


# Guards against: hundreds of replacements fill the memory, or push out what
# is alive.
@given(
    st.lists(
        st.lists(st.integers(0, 500), min_size=1, max_size=9), max_size=60
    )
)
def test_bounded_and_keeps_the_newest_view_and_the_seeds(views):
    directory = make_directory()
    for now, view in enumerate(views):
        domains = dict.fromkeys(map(name, view), "za")
        directory.apply_view(domains, now)
        assert domains.keys() <= directory.known.keys()
        assert set(SEEDS) <= directory.known.keys()
        assert len(directory.known) <= controldirectory.MAX_KNOWN
