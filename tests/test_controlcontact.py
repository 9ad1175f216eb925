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
