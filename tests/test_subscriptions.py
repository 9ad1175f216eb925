"""Tests of what control instances send to edges that look for another one."""

import anyio
import instances
import pytest
import routed

from primrosehitch import control as control_module
from primrosehitch import messages

EDGE = str(instances.address(9, instances.LINK_PORT))
OTHER = str(instances.address(3, instances.LINK_PORT))


class SentMessages:
    """What a control instance, whose links are up, sends to one edge."""

    def __init__(self, control):
        self.messages = []
        control.links.is_connected = lambda name: True
        control.links.send = self._send
        control.links.multicast = self._multicast

    def _send(self, target, message):
        if target == EDGE:
            self.messages.append(message)
        return True

    def _multicast(self, targets, message):
        for target in targets:
            self._send(target, message)

    def take(self, kind):
        taken = [m for m in self.messages if isinstance(m, kind)]
        self.messages = [m for m in self.messages if m not in taken]
        return taken


def with_control(tmp_path, test):
    """Run a test with a control instance that nobody else hears."""

    async def body():
        async with anyio.create_task_group() as group:
            fleet = instances.Fleet(tmp_path, group)
            control = control_module.ControlInstance(
                fleet.make_settings(2, True, False), bytes, bytes
            )
            engine = routed.platform_engine.StandInEngine([])
            endpoint = routed.endpoint_record(engine)
            control.registry.set_services(["svc"])
            control.registry.apply_record(endpoint, routed.clock.now_ms())
            await test(control, SentMessages(control))

    instances.run_test(body)


def subscribe(control, digest=0):
    control._on_subscribe(EDGE, messages.Subscribe(registry=digest))


def complete_updates(sent):
    """Return the updates that hold a record."""
    return [u for u in sent.take(messages.EndpointUpdate) if u.records]


# Guards against: an edge that asks one control instance after the other gets
# all news from each of them, more than its link carries, and the answer of one
# with a quorum waits behind them (CONFIG).
def test_edge_that_has_left_gets_only_small_messages(tmp_path):
    async def test(control, sent):
        subscribe(control)
        assert control._served_edges() == [EDGE]
        control._on_unsubscribe(EDGE, messages.Unsubscribe(OTHER))
        assert control._served_edges() == []
        assert control._active_edges(routed.clock.now_ms()) == 0
        # Departures and limits still reach it, and the helpers know it.
        assert list(control.subscribers) == [EDGE]
        sent.messages.clear()
        control.record_departure("i-0", 0)
        assert len(complete_updates(sent)) == 1

    with_control(tmp_path, test)


# Guards against: an edge that comes back lacks what was not sent to it.
def test_edge_that_comes_back_gets_what_it_missed(tmp_path):
    async def test(control, sent):
        subscribe(control)
        control._on_unsubscribe(EDGE, messages.Unsubscribe(OTHER))
        sent.messages.clear()
        subscribe(control)
        assert control._served_edges() == [EDGE]
        assert sent.take(messages.PartFindings)
        assert complete_updates(sent)

    with_control(tmp_path, test)


def test_unknown_edge_may_leave(tmp_path):
    async def test(control, sent):
        control._on_unsubscribe(EDGE, messages.Unsubscribe(OTHER))
        assert not control.subscribers and not sent.messages

    with_control(tmp_path, test)


# Guards against: an edge gets all cached prompt parts from each instance
# without a quorum, with which it does not stay.
@pytest.mark.parametrize("has_quorum", [False, True])
def test_instance_without_a_quorum_sends_no_cached_parts(tmp_path, has_quorum):
    async def test(control, sent):
        control._has_quorum_contact = lambda now: has_quorum
        part = messages.PartRead(part="a", endpoint="i-0")
        now = routed.clock.now_ms()
        control.recent_parts.put("a", part, now)
        subscribe(control)
        (update,) = sent.take(messages.PartsRead)
        assert update.parts == ((part,) if has_quorum else ())

    with_control(tmp_path, test)


# Guards against: while endpoints change, each subscription of an edge is
# answered with the records of all of them.
def test_all_records_are_sent_again_only_if_a_difference_lasts(tmp_path):
    async def test(control, sent):
        subscribe(control, 1)
        assert complete_updates(sent)
        for digest in range(2, 6):
            subscribe(control, digest)
            assert not complete_updates(sent)
        subscribe(control, 5)
        assert complete_updates(sent)
        subscribe(control, control.registry.digest())
        assert not complete_updates(sent)

    with_control(tmp_path, test)


# Guards against: an edge whose records differ in another way each time never
# gets all of them.
def test_all_records_are_sent_again_after_some_time(tmp_path, monkeypatch):
    monkeypatch.setattr(control_module, "REGISTRY_AGAIN_MS", 50)

    async def test(control, sent):
        subscribe(control, 1)
        subscribe(control, 2)
        sent.messages.clear()
        await anyio.sleep(0.06)
        subscribe(control, 3)
        assert complete_updates(sent)

    with_control(tmp_path, test)


# Guards against: an edge goes on to another control instance without a word.
def test_edge_tells_the_control_instance_that_it_leaves(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            edge = fleet.edges[9]
            await instances.wait_until(lambda: edge.true_time.has_control_time)
            left, other = (
                next(
                    control
                    for control in fleet.controls.values()
                    if (control.name == edge.current_control) is is_current
                )
                for is_current in (True, False)
            )
            assert edge.links.name in left._served_edges()
            # As if the other one were in its own failure domain.
            edge.selector.last_return_ms = routed.clock.now_ms()
            edge.selector.returning_to = other.name
            edge.selector.dialed.add(other.name)
            await instances.wait_until(
                lambda: (
                    edge.links.name in other._served_edges()
                    and edge.links.name not in left._served_edges()
                ),
                1,
            )
            assert edge.links.name in left.subscribers

    instances.run_test(body)
