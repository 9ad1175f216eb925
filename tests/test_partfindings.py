"""Tests of what control instances keep of crashing prompt parts."""

from primrosehitch import messages
from primrosehitch import partfindings
from primrosehitch import quarantine

WALL_MS = 1_700_000_000_000
QUARANTINED = messages.PartFinding("quarantined", parts=("bad",))
SOUND = messages.PartFinding("sound", parts=("bad",))


def make_relay(*findings, is_from_edge=False):
    relay = partfindings.FindingRelay()
    for finding in findings:
        relay.apply(finding, is_from_edge, 0)
    return relay


def listed_parts(relay, recorded):
    findings = relay.findings_to_join(recorded, 1, WALL_MS)
    return [p for finding in findings for p in finding.parts]


def test_findings_of_edges_go_to_peers_too():
    for is_from_edge in (True, False):
        relay = make_relay(QUARANTINED, is_from_edge=is_from_edge)
        assert relay.to_edges.drain() == (QUARANTINED,)
        assert relay.to_peers.drain() == (QUARANTINED,) * is_from_edge


def test_joining_edges_get_recorded_and_newly_quarantined_parts():
    recorded = {"old": WALL_MS + 1, "over": WALL_MS}
    assert listed_parts(make_relay(QUARANTINED), recorded) == ["bad", "old"]
    assert listed_parts(make_relay(), {}) == []


def test_a_cleared_part_is_listed_no_more_and_released():
    recorded = {"bad": WALL_MS + 60_000}
    relay = make_relay(QUARANTINED, SOUND)
    assert listed_parts(relay, recorded) == []
    (command,) = relay.commands(recorded, 1, WALL_MS)
    assert command == messages.PartVerdict("bad", 0, WALL_MS)
    assert not list(relay.commands({}, 1, WALL_MS))


def test_quarantine_is_recorded_once():
    relay = make_relay(QUARANTINED)
    (command,) = relay.commands({}, 1, WALL_MS)
    assert command.until_ms == WALL_MS + 600_000
    recorded = {command.part: command.until_ms}
    assert not list(relay.commands(recorded, 1, WALL_MS))


# Guards against: a control instance that has not heard of a sound answer yet
# quarantines the part again at the leader, and its record stays.
def test_record_that_a_peer_repeats_does_not_undo_a_sound_answer():
    recorded = {"bad": WALL_MS + 60_000}
    leader, peer = make_relay(), make_relay()
    leader.apply(SOUND, True, 0)
    for finding in peer.findings_to_join(recorded, 1, WALL_MS):
        leader.apply(finding, False, 1)
    peer.apply(SOUND, False, 2)
    (command,) = leader.commands(recorded, 2, WALL_MS)
    assert command == messages.PartVerdict("bad", 0, WALL_MS)


# Guards against: an instance that was cut off while a part was cleared keeps
# its quarantine, and one that was while it came back does not have it.
def test_instance_that_joins_gets_the_latest_verdicts():
    peer, joining = make_relay(QUARANTINED), make_relay(QUARANTINED)
    peer.apply(SOUND, True, 10)
    for finding in peer.sound_findings(20):
        joining.apply(finding, False, 25)
    assert not joining.findings_to_join({}, 30, WALL_MS)
    peer.apply(QUARANTINED, True, 40)
    assert not peer.sound_findings(50)
    for finding in peer.findings_to_join({}, 50, WALL_MS):
        joining.apply(finding, False, 55)
    assert joining.findings_to_join({}, 60, WALL_MS)


# Guards against: what is kept of parts grows with each new one.
def test_verdicts_are_bounded(monkeypatch):
    monkeypatch.setattr(quarantine, "MAX_QUARANTINED", 2)
    relay = make_relay()
    for number in range(9):
        finding = messages.PartFinding("quarantined", parts=(f"p{number}",))
        relay.apply(finding, True, number)
    assert set(relay.verdicts) == {"p5", "p6", "p7", "p8"}
    assert not relay.findings_to_join(
        {}, 9 + quarantine.QUARANTINE_MS, WALL_MS
    )
