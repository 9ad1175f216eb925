"""Run-time assertions of the routed services.

Each test puts an object into a state that must not occur, and expects an
``InvariantError``.
"""

import types

import instances
import pytest
import routed

from primrosehitch import duties
from primrosehitch import errors
from primrosehitch import forwarding
from primrosehitch.platform import tables


def _make_forwarding(repeatable, in_flight, maybe_ran):
    forwarding_call = forwarding.ForwardedRequest.__new__(
        forwarding.ForwardedRequest
    )
    forwarding_call.route = types.SimpleNamespace(repeatable=repeatable)
    forwarding_call.current = tuple(
        types.SimpleNamespace(in_flight=flag) for flag in in_flight
    )
    forwarding_call.earlier_may_have_run = maybe_ran
    return forwarding_call


# Whether each attempt under way is in flight, and whether an earlier one may
# have run the request.
MAY_HAVE_RUN = [
    ((True,), False),
    ((False,), True),
    ((True, False), False),
    ((False, True), False),
]


@pytest.mark.parametrize("state", MAY_HAVE_RUN)
def test_non_repeatable_request_is_never_resent(state):
    with pytest.raises(errors.InvariantError, match="sent again"):
        _make_forwarding(False, *state)._send_on(None, None, [])


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("state", MAY_HAVE_RUN)
def test_request_that_may_have_run_gets_no_not_run_status(status, state):
    with pytest.raises(errors.InvariantError, match="answered as not run"):
        _make_forwarding(True, *state)._send_local_reply(status, "full", 1.0)


def test_fencing_token_never_decreases(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            control = fleet.controls[fleet.leaders()[0]]
            leader_duties = duties.Duties(control, None, tables.decode)
            await instances.wait_until(leader_duties.current_lease)
            leader_duties.last_fencing_token += 1
            with pytest.raises(errors.InvariantError, match="never decreases"):
                leader_duties.current_lease()

    instances.run_test(body)


def test_confirmed_read_never_goes_back(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            await instances.wait_until(lambda: len(fleet.leaders()) == 1)
            assert (
                await instances.put_table(2, routed.table_document(7)) == 200
            )
            control = fleet.controls[2]
            assert (await control.read_confirmed_table()).version == 7
            control.confirmed_version = 8
            with pytest.raises(errors.InvariantError, match="goes back"):
                await control.read_confirmed_table()

    instances.run_test(body)
