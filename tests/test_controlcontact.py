"""Tests of how old an edge's view of the route table is."""

from primrosehitch import controlcontact

LOST_AFTER_MS = controlcontact.LOST_AFTER_MS


def test_nothing_is_known_before_the_first_confirmation():
    contact = controlcontact.ControlContact(1000)
    assert contact.age_ms(1000) == -1
    assert not contact.knows_table(1000)


def test_knowledge_ends_some_time_after_the_last_confirmation():
    contact = controlcontact.ControlContact(1000)
    contact.confirm("c", 2000)
    last_ms = 2000 + controlcontact.KNOWS_TABLE_MS
    assert contact.knows_table(last_ms)
    assert not contact.knows_table(last_ms + 1)
    assert (contact.control, contact.age_ms(2300)) == ("c", 300)


def test_loss_and_return_are_reported_once():
    contact = controlcontact.ControlContact(1000)
    contact.confirm("c", 2000)
    at_ms = 2001 + LOST_AFTER_MS
    assert not contact.detect_loss(at_ms - 1)
    assert contact.detect_loss(at_ms)
    assert not contact.detect_loss(at_ms + 1)
    assert contact.confirm("d", 9000) == 7000
    assert contact.confirm("d", 9100) is None


def test_start_without_control_instance_is_reported():
    contact = controlcontact.ControlContact(1000)
    assert contact.detect_loss(1001 + LOST_AFTER_MS)


def test_table_that_was_announced_and_did_not_come_is_late_once():
    contact = controlcontact.ControlContact(1000)
    assert not contact.detect_late(90_000)
    contact.announce("c", 7, 2000)
    contact.announce("c", 8, 2500)
    at_ms = 2001 + controlcontact.LATE_AFTER_MS
    assert not contact.detect_late(at_ms - 1)
    assert contact.detect_late(at_ms)
    assert not contact.detect_late(at_ms + 1)
    assert contact.record_version(7, 4000) == 2000
    assert contact.late_ms(4300) == 300
    assert contact.record_version(8, 4400) == 400
    assert contact.late_ms(5000) == 0
    assert contact.record_version(9, 6000) == -1


# Guards against: an edge that has its first table cannot say which routes do
# not exist until the next status comes.
def test_status_that_announced_a_version_confirms_it_once_in_force():
    contact = controlcontact.ControlContact(1000)
    assert contact.announced_by(7) is None
    contact.announce("c", 7, 2000)
    contact.announce("d", 7, 2100)
    contact.announce("c", 6, 2200)
    assert contact.announced_by(6) is None
    assert contact.announced_by(7) == ("d", 2100)
    contact.confirm(*contact.announced_by(7))
    contact.record_version(7, 2300)
    assert contact.age_ms(2300) == 200
    assert contact.knows_table(2300)
    assert contact.announced_by(7) is None
