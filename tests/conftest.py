"""Fixtures that start deployments of real processes for tests."""

import gc
import os
import pathlib
import time

import eliot
from forwarder import LinkProxy
import hypothesis
import pytest

from primrosehitch import porcelain
from primrosehitch_lab import fleet as fleet_module

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "explore", max_examples=3000, deadline=None, database=None
)
hypothesis.settings.load_profile(os.environ.get("FUZZ", "fixed"))

ROOT = pathlib.Path(__file__).parent.parent


class PortAllocator:
    next_port = 24000


def allocate_ports(count):
    PortAllocator.next_port += count
    return PortAllocator.next_port - count


DECLARATION = {
    "classes": {
        "desk": {"tier": 0, "max_wait_ms": 3000, "first_token_ms": 2000},
        "quote": {
            "tier": 1,
            "max_wait_ms": 20000,
            "first_token_ms": 9000,
            "floor": 0.1,
        },
    },
    "customers": {"ana": {}, "bea": {}},
    "grants": [
        {"customer": "ana", "class": "desk"},
        {"customer": "ana", "class": "quote"},
        {"customer": "bea", "class": "quote", "concurrency": 2},
    ],
    "models": {"m": {}},
    "routes": {
        "booking": {
            "service": "booking",
            "repeatable": False,
            "class": "desk",
            "timeout_ms": 5000,
        },
        "status": {"service": "booking", "repeatable": True, "class": "desk"},
        "hours": {
            "service": "booking",
            "repeatable": True,
            "class": "desk",
            "open": True,
        },
    },
}


def make_description(instances, endpoints):
    return {
        "instances": instances,
        "endpoints": endpoints,
        "settings": {
            "usage_window_s": 2,
            "usage_flush_s": 0.2,
            "drain_grace_s": 0.5,
        },
    }


def instance(name, domain, replica):
    return {"name": name, "domain": domain, "replica": replica}


def engine(name, domain, **more):
    return {"name": name, "domain": domain, "models": ["m"], **more}


def service(name, domain):
    return {
        "name": name,
        "domain": domain,
        "kind": "service",
        "models": ["booking"],
    }


FIVE_GATEWAYS = make_description(
    [
        instance("g1", "za", True),
        instance("g2", "zb", True),
        instance("g3", "zc", True),
        instance("g4", "za", False),
        instance("g5", "zb", False),
    ],
    [
        engine("e1", "za"),
        engine("e2", "zb"),
        engine("e3", "zc"),
        service("s1", "za"),
    ],
)


def new_fleet(tmp_path, description):
    base = allocate_ports(2 * len(description["instances"]) + 30)
    fleet = fleet_module.Fleet(description, tmp_path, base)
    link_proxy = LinkProxy()
    names = list(fleet.peer)
    for own in names:
        for other in names:
            if own != other:
                port = allocate_ports(1)
                fleet.via[own, other] = f"127.0.0.1:{port}"
                link_proxy.add_link(
                    (own, other), fleet.via[own, other], fleet.peer[other]
                )
    fleet.link_proxy = link_proxy
    return fleet


def isolate(fleet, names):
    """Drop all messages between these instances and the others."""
    for own, other in fleet.via:
        if (own in names) != (other in names):
            fleet.link_proxy.cut_links.add((own, other))


def heal(fleet):
    fleet.link_proxy.cut_links.clear()


@pytest.fixture(scope="session")
def shared(tmp_path_factory):
    """A deployment shared by tests that inject no faults."""
    fleet = new_fleet(tmp_path_factory.mktemp("shared"), FIVE_GATEWAYS)
    try:
        fleet.bring_up(DECLARATION)
        fleet.key = porcelain.create_key(fleet.target("g1"), "ana")["key"]
        fleet.other_key = porcelain.create_key(fleet.target("g1"), "bea")[
            "key"
        ]
        yield fleet
    finally:
        fleet.stop()
        fleet.link_proxy.stop()


@pytest.fixture
def fleet(tmp_path):
    """A deployment for one test, which may inject faults."""
    fleet = new_fleet(tmp_path, FIVE_GATEWAYS)
    try:
        fleet.bring_up(DECLARATION)
        fleet.key = porcelain.create_key(fleet.target("g1"), "ana")["key"]
        yield fleet
    finally:
        fleet.stop()
        fleet.link_proxy.stop()


@pytest.fixture
def log_lines():
    """The events that this process logs during the test, as mappings."""
    lines = []
    eliot.add_destinations(lines.append)
    # The first destination gets what was logged before it.
    lines.clear()
    yield lines
    eliot.remove_destination(lines.append)


class CollectionLog:
    """Long garbage collections, which delay all that a test process runs.

    Attributes:
        lines: one line for each during the current test.
        began_at: when the current collection began, in seconds.
    """

    LONG_MS = 50

    def __init__(self):
        self.lines = []
        self.began_at = 0.0

    def record(self, phase, info):
        now = time.monotonic()
        if phase == "start":
            self.began_at = now
            return
        took_ms = 1000 * (now - self.began_at)
        if took_ms > self.LONG_MS:
            self.lines.append(
                f"generation {info['generation']}: {took_ms:.0f} ms"
            )


COLLECTIONS = CollectionLog()
gc.callbacks.append(COLLECTIONS.record)


@pytest.fixture(autouse=True, scope="module")
def short_collections():
    """Collect once before each module's tests, rather than during one.

    What earlier modules left behind is not looked at again meanwhile; a
    collection of the whole heap takes hundreds of ms on a busy machine.
    """
    gc.unfreeze()
    gc.collect()
    gc.freeze()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Show the long garbage collections of a test that failed."""
    report = yield
    if call.when == "setup":
        COLLECTIONS.lines.clear()
    if call.when == "call" and call.excinfo is not None:
        text = "\n".join(COLLECTIONS.lines) or "none"
        title = f"garbage collections over {COLLECTIONS.LONG_MS} ms"
        report.sections.append((title, text))
    return report


def pytest_collection_modifyitems(items):
    """Allow the tests that KNOWN-RED.txt lists to fail (non-strict xfail)."""
    text = (pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt").read_text()
    listed = {line.strip() for line in text.splitlines()}
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )
