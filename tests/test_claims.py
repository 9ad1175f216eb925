"""Claims at one gateway, over a fake way into the log."""

import time

import anyio
import pytest

from primrosehitch import claims as claims_module
from primrosehitch import errors
from primrosehitch import messages
from primrosehitch import state as state_module
from primrosehitch import web


class FakeProposer:
    """Applies commands to a state machine, unless it is out of reach."""

    def __init__(self):
        self.state = state_module.State()
        self.reachable = True
        self.maybe_applied = True

    async def propose(self, command, timeout_s):
        if not self.reachable:
            await anyio.sleep(0.01)
            raise errors.ProposalError("no quorum", "", self.maybe_applied)
        kind = type(command).__name__
        body = messages.encode(command)
        return self.state.apply(messages.Entry(1, 1, kind, body))


def make_claims(log, name="g1", alive=True):
    return claims_module.Claims(name, 1, log, lambda *holder: alive)


def acquire(claims, key="k", content=b"x"):
    async def run():
        return await claims.acquire("ana", key, content)

    return anyio.run(run)


def refusal_of(claims, **more):
    with pytest.raises(web.RefusedError) as caught:
        acquire(claims, **more)
    return caught.value.refusal


def test_a_claim_is_granted_once_and_its_outcome_replayed():
    log = FakeProposer()
    one, two = make_claims(log), make_claims(log, "g2")
    first = acquire(one)
    assert one.is_granted_here(first)
    one.record_outcome(first.claim_id, 201, "a/b", b"body")
    anyio.run(one.flush)
    again = acquire(two)
    assert not two.is_granted_here(again)
    assert (again.status, again.body) == (201, b"body")


RESEND_REFUSALS = [
    ("open", True, "in-progress", "unknown"),
    ("open", False, "outcome-unknown", "unknown"),
    ("unknown", True, "outcome-unknown", "unknown"),
]


@pytest.mark.parametrize("state,alive,reason,outcome", RESEND_REFUSALS)
def test_a_resend_is_told_what_is_known(state, alive, reason, outcome):
    log = FakeProposer()
    one, two = make_claims(log), make_claims(log, "g2", alive)
    first = acquire(one)
    if state == "unknown":
        one.record_unknown_outcome(first.claim_id)
        anyio.run(one.flush)
    refusal = refusal_of(two)
    assert (refusal.reason, refusal.outcome) == (reason, outcome)


def test_a_resend_right_behind_gets_the_outcome():
    log = FakeProposer()
    one, two = make_claims(log), make_claims(log, "g2")
    first = acquire(one)

    async def run():
        found = []

        async def resend():
            found.append(await two.acquire("ana", "k", b"x"))

        async with anyio.create_task_group() as group:
            group.start_soon(resend)
            await anyio.sleep(0.2)
            one.record_outcome(first.claim_id, 201, "", b"late")
            await one.flush()
        return found[0]

    assert anyio.run(run).body == b"late"


def test_another_call_under_the_same_key_is_refused_at_once():
    log = FakeProposer()
    acquire(make_claims(log))
    start = time.monotonic()
    refusal = refusal_of(make_claims(log, "g2"), content=b"other")
    assert refusal.status == 422
    assert time.monotonic() - start < claims_module.MAX_IN_PROGRESS_WAIT_S


def test_without_a_quorum_nothing_is_granted_and_the_claim_is_released():
    log = FakeProposer()
    claims = make_claims(log)
    log.reachable = False
    refusal = refusal_of(claims)
    assert (refusal.outcome, refusal.reason) == ("not-run", "no-quorum")
    assert refusal.retry_after_s > 0
    log.reachable = True
    anyio.run(claims.flush)
    assert not claims.pending_commands
    assert len(log.state.released_claim_ids) == 1
    assert claims.is_granted_here(acquire(claims))


def test_giving_up_a_claim_waits_for_nothing():
    log = FakeProposer()
    claims = make_claims(log)
    granted = acquire(claims)
    log.reachable = False
    start = time.monotonic()
    claims.release(granted.claim_id)
    assert time.monotonic() - start < 0.05
    assert claims.commands_added.is_set()


def test_what_is_kept_is_handed_over_once_the_log_is_back():
    log = FakeProposer()
    claims = make_claims(log)
    granted = acquire(claims)
    log.reachable = False

    async def run():
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as group:
                group.start_soon(claims.run)
                claims.record_outcome(granted.claim_id, 201, "", b"kept")
                await anyio.sleep(0.1)
                log.reachable = True
                claims.release("another")

    anyio.run(run)
    assert log.state.claims["ana", "k"].state == state_module.DONE
