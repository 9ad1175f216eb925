"""Tests of a gateway's claims with a proposer that needs no cluster."""

import time

import anyio
import pytest

from primrosehitch import claims as claims_module
from primrosehitch import errors
from primrosehitch import messages
from primrosehitch import state as state_module
from primrosehitch import web


class FakeProposer:
    """Applies commands to a state machine unless it is unreachable."""

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


def make_claims(proposer, name="g1", alive=True):
    return claims_module.Claims(name, 1, proposer, lambda *holder: alive)


def acquire(claims, key="k", content=b"x"):
    async def run():
        return await claims.acquire("ana", key, content)

    return anyio.run(run)


def refusal_of(claims, **more):
    with pytest.raises(web.RefusedError) as caught:
        acquire(claims, **more)
    return caught.value.refusal


def test_claim_is_granted_once_and_a_resend_gets_its_outcome():
    proposer = FakeProposer()
    first_gateway, second_gateway = (
        make_claims(proposer),
        make_claims(proposer, "g2"),
    )
    first = acquire(first_gateway)
    assert first_gateway.is_granted_here(first)
    first_gateway.record_outcome(first.claim_id, 201, "a/b", b"body")
    anyio.run(first_gateway.flush)
    again = acquire(second_gateway)
    assert not second_gateway.is_granted_here(again)
    assert (again.status, again.body) == (201, b"body")


RESEND_REFUSALS = [
    ("open", True, "in-progress", "unknown"),
    ("open", False, "outcome-unknown", "unknown"),
    ("unknown", True, "outcome-unknown", "unknown"),
]


@pytest.mark.parametrize("state,alive,reason,outcome", RESEND_REFUSALS)
def test_resend_is_refused_while_the_outcome_is_unknown(
    state, alive, reason, outcome
):
    proposer = FakeProposer()
    first_gateway, second_gateway = (
        make_claims(proposer),
        make_claims(proposer, "g2", alive),
    )
    first = acquire(first_gateway)
    if state == "unknown":
        first_gateway.record_unknown_outcome(first.claim_id)
        anyio.run(first_gateway.flush)
    refusal = refusal_of(second_gateway)
    assert (refusal.reason, refusal.outcome) == (reason, outcome)


def test_resend_during_the_call_waits_for_its_outcome():
    proposer = FakeProposer()
    first_gateway, second_gateway = (
        make_claims(proposer),
        make_claims(proposer, "g2"),
    )
    first = acquire(first_gateway)

    async def run():
        found = []

        async def resend():
            found.append(await second_gateway.acquire("ana", "k", b"x"))

        async with anyio.create_task_group() as group:
            group.start_soon(resend)
            await anyio.sleep(0.2)
            first_gateway.record_outcome(first.claim_id, 201, "", b"late")
            await first_gateway.flush()
        return found[0]

    assert anyio.run(run).body == b"late"


def test_other_call_with_the_same_key_is_refused_at_once():
    proposer = FakeProposer()
    acquire(make_claims(proposer))
    start = time.monotonic()
    refusal = refusal_of(make_claims(proposer, "g2"), content=b"other")
    assert refusal.status == 422
    assert time.monotonic() - start < claims_module.MAX_IN_PROGRESS_WAIT_S


def test_claim_without_a_quorum_is_refused_and_later_released():
    proposer = FakeProposer()
    claims = make_claims(proposer)
    proposer.reachable = False
    refusal = refusal_of(claims)
    assert (refusal.outcome, refusal.reason) == ("not-run", "no-quorum")
    assert refusal.retry_after_s > 0
    proposer.reachable = True
    anyio.run(claims.flush)
    assert not claims.pending_commands
    assert len(proposer.state.released_claim_ids) == 1
    assert claims.is_granted_here(acquire(claims))


def test_release_does_not_wait_for_the_log():
    proposer = FakeProposer()
    claims = make_claims(proposer)
    granted = acquire(claims)
    proposer.reachable = False
    start = time.monotonic()
    claims.release(granted.claim_id)
    assert time.monotonic() - start < 0.05
    assert claims.commands_added.is_set()


def test_pending_outcome_is_recorded_once_the_log_is_reachable_again():
    proposer = FakeProposer()
    claims = make_claims(proposer)
    granted = acquire(claims)
    proposer.reachable = False

    async def run():
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as group:
                group.start_soon(claims.run)
                claims.record_outcome(granted.claim_id, 201, "", b"kept")
                await anyio.sleep(0.1)
                proposer.reachable = True
                claims.release("another")

    anyio.run(run)
    assert proposer.state.claims["ana", "k"].state == state_module.DONE
