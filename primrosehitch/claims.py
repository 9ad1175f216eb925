"""Claims: run calls that are not idempotent at most once.

Before a gateway sends the first byte of such a call, it claims the call in
the replicated log under the customer and an idempotency key. Afterwards it
records the outcome. A resend at any gateway gets the recorded outcome or
is refused because the call is in progress or its outcome is unknown.
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
# How long a resend waits for the outcome of the call in progress.
MAX_IN_PROGRESS_WAIT_S = 1.0
MAX_RECORDED_BODY_BYTES = 256 << 10
IN_PROGRESS_RETRY_AFTER_S = 1.0
NO_QUORUM_RETRY_AFTER_S = 2.0
STEP = "claim"


class Claims:
    """The claims of one gateway.

    Args:
        gateway: the instance's name.
        incarnation: number of this start of the instance.
        proposer: proposes commands to the replicated log.
        is_holder_alive: returns whether an incarnation of a gateway is
            still running.

    Attributes:
        pending_commands: outcomes and releases that are not yet in the
            log, by claim identifier.
        commands_added: set when there are new pending commands.
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
        """Claim a call, or return the claim under which it already ran.

        Args:
            customer: the customer that makes the call.
            idempotency_key: the caller's key; empty to use a new one.
            request: bytes that identify the content of the call.

        Returns:
            A new open claim, or an earlier claim with its outcome.

        Raises:
            RefusedError: there is no quorum, the call is in progress, its
                outcome is unknown, or the key was used for another call.
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
        """Return whether the same call is running under another claim."""
        return (
            existing.state == state_module.OPEN
            and existing.claim_id != wanted.claim_id
            and existing.fingerprint == wanted.fingerprint
            and self.is_holder_alive(existing.holder, existing.incarnation)
        )

    def is_granted_here(self, claim: messages.Claim) -> bool:
        """Return whether a claim lets this incarnation run the call."""
        own = (claim.holder, claim.incarnation)
        made_here = own == (self.gateway, self.incarnation)
        return made_here and claim.state == state_module.OPEN

    def release(self, claim_id: str) -> None:
        """Release the claim of a call of which nothing was sent."""
        self._enqueue(claim_id, messages.ClaimRelease(claim_id))

    def record_outcome(
        self, claim_id: str, status: int, content_type: str, body: bytes
    ) -> None:
        """Queue the outcome of a call for the log.

        Args:
            claim_id: the claim's identifier.
            status: the HTTP status of the response.
            content_type: its content type.
            body: its body; not recorded if it is longer than
                ``MAX_RECORDED_BODY_BYTES``.
        """
        if len(body) > MAX_RECORDED_BODY_BYTES:
            body = b""
        self._enqueue(
            claim_id,
            messages.ClaimOutcome(claim_id, status, content_type, body, True),
        )

    def record_unknown_outcome(self, claim_id: str) -> None:
        """Record that a call may have run but its outcome is unknown."""
        self._enqueue(claim_id, messages.ClaimOutcome(claim_id, known=False))

    async def run(self) -> None:
        """Propose pending commands at once, and again until they succeed.

        This runs in a task of its own, so that no response or refusal has
        to wait for the log.
        """
        while True:
            with anyio.move_on_after(FLUSH_INTERVAL_S):
                await self.commands_added.wait()
            self.commands_added = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Propose each pending command once, oldest first."""
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
    """Return the refusal for a call that may have run."""
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
