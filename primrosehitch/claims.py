"""Claims: a call that may not be repeated runs at most once.

Before its first byte leaves, the call is claimed in the replicated log
under the customer and an idempotency key; its outcome is recorded
after. A resend at any gateway gets the recorded outcome, or is told
that the call is in progress or that its outcome is unknown.
"""

import hashlib
from typing import Callable
import uuid

import anyio

from primrosehitch import errors
from primrosehitch import messages
from primrosehitch import outcomes
from primrosehitch import proposals
from primrosehitch import state as state_module
from primrosehitch import web

PROPOSE_TIMEOUT_S = 2.0
FLUSH_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.1
MAX_IN_PROGRESS_WAIT_S = 1.0
MAX_RECORDED_BODY_BYTES = 256 << 10
IN_PROGRESS_RETRY_AFTER_S = 1.0
NO_QUORUM_RETRY_AFTER_S = 2.0
STEP = "claim"


class Claims:
    """Claims made by one gateway.

    Args:
        gateway: the instance's name.
        incarnation: number of this start of the instance.
        proposer: the way into the log.
        holder_alive: whether a gateway's incarnation still runs.
    """

    def __init__(
        self,
        gateway: str,
        incarnation: int,
        proposer: proposals.Proposer,
        is_holder_alive: Callable[[str, int], bool],
    ):
        self.gateway = gateway
        self.incarnation = incarnation
        self.proposer = proposer
        self.is_holder_alive = is_holder_alive
        self.pending_commands: dict[str, tuple] = {}
        self.commands_added = anyio.Event()

    async def acquire(
        self, customer: str, idempotency_key: str, request: bytes
    ) -> messages.Claim:
        """Return a granted claim, or an earlier one with its outcome.

        Args:
            customer: whose call it is.
            idempotency_key: the caller's; a fresh one where it is empty.
            request: what identifies the call's content.

        Raises:
            RefusedError: no quorum, in progress, unknown, or the key was
                used for another call.
        """
        claim_id = uuid.uuid4().hex
        claim = messages.Claim(
            claim_id=claim_id,
            customer=customer,
            idempotency_key=idempotency_key or f"minted-{claim_id}",
            fingerprint=hashlib.sha256(request).hexdigest(),
            holder=self.gateway,
            incarnation=self.incarnation,
        )
        existing = await self._propose(claim)
        with anyio.move_on_after(MAX_IN_PROGRESS_WAIT_S):
            while self._is_in_progress(claim, existing):
                await anyio.sleep(POLL_INTERVAL_S)
                existing = await self._propose(claim)
        if (
            existing.claim_id == claim_id
            and existing.state == state_module.OPEN
        ):
            return existing
        self._refuse_unless_done(claim, existing)
        return existing

    async def _propose(self, claim: messages.Claim) -> messages.Claim:
        try:
            return await self.proposer.propose(claim, PROPOSE_TIMEOUT_S)
        except errors.ProposalError as exc:
            if exc.maybe_applied:
                self.release(claim.claim_id)
            raise web.RefusedError(_no_quorum_refusal()) from exc
        except BaseException:
            self.release(claim.claim_id)
            raise

    def _is_in_progress(
        self, wanted: messages.Claim, existing: messages.Claim
    ) -> bool:
        """Return whether the same call has just begun under its key."""
        return (
            existing.state == state_module.OPEN
            and existing.claim_id != wanted.claim_id
            and existing.fingerprint == wanted.fingerprint
            and self.is_holder_alive(existing.holder, existing.incarnation)
        )

    def is_granted_here(self, claim: messages.Claim) -> bool:
        """Return whether a claim is granted and still to be run here."""
        own = (claim.holder, claim.incarnation)
        made_here = own == (self.gateway, self.incarnation)
        return made_here and claim.state == state_module.OPEN

    def release(self, claim_id: str) -> None:
        """Give up a claim of which nothing was sent."""
        self._enqueue(claim_id, messages.ClaimRelease(claim_id))

    def record_outcome(
        self, claim_id: str, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the outcome of a call, durably as soon as possible."""
        if len(body) > MAX_RECORDED_BODY_BYTES:
            body = b""
        self._enqueue(
            claim_id,
            messages.ClaimOutcome(claim_id, status, content_type, body, True),
        )

    def record_unknown_outcome(self, claim_id: str) -> None:
        """Record that a call may have run and its outcome is not known."""
        self._enqueue(claim_id, messages.ClaimOutcome(claim_id, known=False))

    async def run(self) -> None:
        """Hand over what is kept, at once and until it is in the log.

        No caller waits for it: an answer, or a refusal, goes out first.
        """
        while True:
            with anyio.move_on_after(FLUSH_INTERVAL_S):
                await self.commands_added.wait()
            self.commands_added = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Hand over what is in the backlog, oldest first."""
        for claim_id in list(self.pending_commands):
            await self._propose_pending(claim_id)

    def _enqueue(self, claim_id: str, command: tuple) -> None:
        self.pending_commands[claim_id] = command
        self.commands_added.set()

    async def _propose_pending(self, claim_id: str) -> None:
        command = self.pending_commands.get(claim_id)
        if command is None:
            return
        try:
            await self.proposer.propose(command, PROPOSE_TIMEOUT_S)
        except errors.ProposalError:
            return
        if self.pending_commands.get(claim_id) is command:
            del self.pending_commands[claim_id]

    def _refuse_unless_done(
        self, wanted: messages.Claim, existing: messages.Claim
    ) -> None:
        if existing.state == state_module.RELEASED:
            raise web.RefusedError(_no_quorum_refusal())
        if existing.fingerprint != wanted.fingerprint:
            raise web.RefusedError(
                web.bad_input(
                    "idempotency-key-reused",
                    "the idempotency key was used for another call",
                    422,
                )
            )
        if existing.state == state_module.DONE:
            return
        alive = self.is_holder_alive(existing.holder, existing.incarnation)
        if existing.state == state_module.OPEN and alive:
            raise web.RefusedError(
                outcomes.Refusal(
                    "unknown",
                    "in-progress",
                    "the first call under this key is still running",
                    STEP,
                    409,
                    IN_PROGRESS_RETRY_AFTER_S,
                )
            )
        raise web.RefusedError(unknown_outcome_refusal())


def unknown_outcome_refusal() -> outcomes.Refusal:
    """Return the answer for a call that may have run."""
    return outcomes.Refusal(
        "unknown",
        "outcome-unknown",
        "the call may have run; it is not sent again",
        STEP,
        502,
    )


def _no_quorum_refusal() -> outcomes.Refusal:
    return outcomes.not_run(
        "no-quorum",
        "the call could not be claimed, so it was not sent",
        STEP,
        503,
        NO_QUORUM_RETRY_AFTER_S,
    )


__all__ = ["Claims", "unknown_outcome_refusal"]
