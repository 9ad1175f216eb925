"""Tests of which control instance an edge uses and which ones it dials."""

import random

import pytest

from primrosehitch import controldirectory
from primrosehitch import controlselector

TICK_MS = 250
HANDSHAKE_MS = 20
# A changed table must be in force within this time.
CONFIG_MS = 2000


def name(number):
    return f"10.0.0.{number}:1"


class Deployment:
    """Control instances, and one edge that selects among them.

    Args:
        seeds: numbers of the edge's seeds.
        live: numbers of the instances that answer dials.
        quorum: numbers of the live ones that are in touch with a quorum.

    Attributes:
        used: the instances used so far, in order.
    """

    def __init__(self, seeds, live, quorum=None):
        self.now = 1000
        self.live = set(map(name, live))
        self.quorum = set(map(name, live if quorum is None else quorum))
        self.silent = set()
        rng = random.Random(1)
        self.directory = controldirectory.ControlDirectory(
            map(name, seeds), rng
        )
        self.selector = controlselector.ControlSelector(
            self.directory, "za", rng, self.now
        )
        self.dialed_at = {}
        self.used = []
        self.listed = {}

    def is_connected(self, control):
        dialed_at = self.dialed_at.get(control)
        return (
            control in self.live
            and dialed_at is not None
            and self.now - dialed_at >= HANDSHAKE_MS
        )

    def choose(self):
        choice = self.selector.choose(self.now, self.is_connected)
        if choice is not None:
            self.selector.use(choice.name, self.now)
            self.used.append(choice.name)
        dialed = self.selector.dialed
        self.dialed_at = {n: self.dialed_at.get(n, self.now) for n in dialed}

    def run(self, ms):
        """Run for a time; links come up and statuses at once."""
        for _ in range(ms // 10):
            self.now += 10
            just_up = any(
                self.now - at == HANDSHAKE_MS and n in self.live
                for n, at in self.dialed_at.items()
            )
            if self.now % TICK_MS < 10 or just_up:
                self.choose()
            current = self.selector.current
            if (
                self.now % TICK_MS < 10
                and self.is_connected(current)
                and current not in self.silent
            ):
                has_quorum = current in self.quorum
                self.selector.record_status(current, has_quorum, self.now)
                self.directory.apply_view(self.listed, self.now)
                if has_quorum:
                    self.selector.consider_return(self.listed, self.now)
                self.choose()

    def is_served(self):
        return (
            self.selector.current in self.quorum
            and self.now - self.selector.confirmed_ms <= TICK_MS
        )


def test_one_link_is_kept_while_all_is_well():
    deployment = Deployment(range(1, 4), range(1, 4))
    deployment.run(3000)
    assert deployment.is_served()
    assert deployment.selector.dialed == {deployment.selector.current}
    assert len(deployment.used) == 1


# Guards against: dead addresses are tried one after the other, for longer
# than a new table may take.
@pytest.mark.parametrize("controls", [3, 5, 9])
def test_finds_one_of_many_dead_addresses_in_time(controls):
    deployment = Deployment(range(1, 4), range(1, 4))
    deployment.run(3000)
    view = {name(n): "za" for n in range(10, 10 + controls)}
    deployment.directory.apply_view(view, deployment.now)
    # All that it knew are gone; of the others one is left.
    deployment.live = deployment.quorum = {name(10)}
    deployment.run(CONFIG_MS)
    assert deployment.is_served()


# Guards against: an edge asks one instance after the other of the side of a
# cut that has no quorum, for longer than a new table may take.
@pytest.mark.parametrize("controls", [3, 5, 9])
def test_finds_the_side_of_a_cut_that_has_a_quorum_in_time(controls):
    everyone = range(1, controls + 1)
    minority = range(1, controls // 2 + 1)
    for _ in range(20):
        deployment = Deployment(everyone, everyone)
        deployment.run(3000)
        deployment.quorum -= set(map(name, minority))
        deployment.run(CONFIG_MS)
        assert deployment.is_served()


def test_lost_link_is_replaced_at_once():
    deployment = Deployment(range(1, 4), range(1, 4))
    deployment.run(3000)
    lost = deployment.selector.current
    deployment.live.discard(lost)
    deployment.selector.record_loss(lost)
    deployment.choose()
    deployment.run(300)
    assert deployment.is_served()


def test_silent_instance_is_left():
    deployment = Deployment(range(1, 4), range(1, 4))
    deployment.run(3000)
    deployment.silent.add(deployment.selector.current)
    deployment.run(CONFIG_MS)
    assert deployment.is_served()


def test_instances_without_a_quorum_are_not_asked_all_the_time():
    deployment = Deployment(range(1, 4), range(1, 4), quorum=())
    deployment.run(5000)
    asked = len(deployment.used)
    assert asked <= 3 * 5000 / controlselector.ASK_AGAIN_MS
    deployment.run(10_000)
    later = len(deployment.used) - asked
    assert later <= 3 * (1 + 10_000 / controlselector.MAX_ASK_AGAIN_MS)
    deployment.quorum = set(deployment.live)
    deployment.run(2 * TICK_MS)
    assert deployment.is_served()


def test_returns_to_its_own_domain_and_not_too_often():
    deployment = Deployment([1], [1, 2, 3])
    deployment.directory.apply_view({name(1): "zb"}, deployment.now)
    deployment.listed = {name(1): "zb", name(2): "za"}
    deployment.run(3000)
    assert deployment.used == [name(1), name(2)]
    deployment.live.discard(name(2))
    deployment.selector.record_loss(name(2))
    deployment.run(controlselector.MIN_RETURN_INTERVAL_MS // 2)
    assert deployment.selector.current == name(1)


# Guards against: an edge leaves a sound control instance for one of its own
# domain that it cannot reach.
def test_stays_where_the_own_domain_cannot_be_reached():
    deployment = Deployment([1], [1])
    deployment.listed = {name(1): "zb", name(2): "za"}
    deployment.run(5000)
    assert deployment.used == [name(1)]
    assert deployment.selector.dialed == {name(1)}


# Guards against: a name that is no address, told by a control instance, ends
# the edge that dials it.
def test_returns_to_no_name_that_is_no_address():
    deployment = Deployment([1], [1])
    deployment.listed = {name(1): "zb", "no address": "za"}
    dialed = set()
    for _ in range(30):
        deployment.run(100)
        dialed |= deployment.selector.dialed
    assert dialed == {name(1)}
