"""What the routed services check of themselves while they run."""

import types

import instances
import pytest
import routed

from primrosehitch import duties
from primrosehitch import errors
from primrosehitch import forwarding
from primrosehitch.platform import tables


def _forwarding(repeatable, in_flight, maybe_ran):
    found = forwarding.ForwardedRequest.__new__(forwarding.ForwardedRequest)
    found.route = types.SimpleNamespace(repeatable=repeatable)
    found.in_flight = in_flight
    found.earlier_may_have_run = maybe_ran
    return found


@pytest.mark.parametrize("state", [(True, False), (False, True)])
def test_what_may_run_once_is_not_sent_again(state):
    with pytest.raises(errors.InvariantError, match="sent again"):
        _forwarding(False, *state)._send_request(None, None)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("state", [(True, False), (False, True)])
def test_what_may_have_run_is_not_called_not_run(status, state):
    with pytest.raises(errors.InvariantError, match="answered as not run"):
        _forwarding(True, *state)._send_local_reply(status, "full", 1.0)


def test_a_fencing_token_never_falls(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            control = found.controls[found.leaders()[0]]
            held = duties.Duties(control, None, tables.decode)
            await instances.until(held.charge)
            held.token += 1
            with pytest.raises(errors.InvariantError, match="never falls"):
                held.charge()

    instances.run(body)


def test_a_confirmed_read_never_goes_back(tmp_path):
    async def body():
        async with instances.fleet(tmp_path) as found:
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            control = found.controls[2]
            assert (await control.confirmed()).version == 7
            control.confirmed_version = 8
            with pytest.raises(errors.InvariantError, match="goes back"):
                await control.confirmed()

    instances.run(body)
