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

CLAIM_S = 2.0
RETRY_S = 1.0
POLL_S = 0.1
IN_PROGRESS_WAIT_S = 1.0
KEPT_BODY_BYTES = 256 << 10
IN_PROGRESS_RETRY_S = 1.0
NO_QUORUM_RETRY_S = 2.0
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
        holder_alive: Callable[[str, int], bool],
    ):
        self.gateway = gateway
        self.incarnation = incarnation
        self.proposer = proposer
        self.holder_alive = holder_alive
        self.backlog: dict[str, tuple] = {}
        self.work = anyio.Event()

    async def claim(
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
        known = await self._propose(claim)
        with anyio.move_on_after(IN_PROGRESS_WAIT_S):
            while self._runs_elsewhere(claim, known):
                await anyio.sleep(POLL_S)
                known = await self._propose(claim)
        if known.claim_id == claim_id and known.state == state_module.OPEN:
            return known
        self._check_earlier(claim, known)
        return known

    async def _propose(self, claim: messages.Claim) -> messages.Claim:
        try:
            return await self.proposer.propose(claim, CLAIM_S)
        except errors.ProposalError as exc:
            if exc.maybe_applied:
                self.release(claim.claim_id)
            raise web.RefusedError(_no_quorum()) from exc
        except BaseException:
            self.release(claim.claim_id)
            raise

    def _runs_elsewhere(
        self, wanted: messages.Claim, known: messages.Claim
    ) -> bool:
        """Return whether the same call has just begun under its key."""
        return (
            known.state == state_module.OPEN
            and known.claim_id != wanted.claim_id
            and known.fingerprint == wanted.fingerprint
            and self.holder_alive(known.holder, known.incarnation)
        )

    def is_ours(self, claim: messages.Claim) -> bool:
        """Return whether a claim is granted and still to be run here."""
        own = (claim.holder, claim.incarnation)
        ours = own == (self.gateway, self.incarnation)
        return ours and claim.state == state_module.OPEN

    def release(self, claim_id: str) -> None:
        """Give up a claim of which nothing was sent."""
        self._keep(claim_id, messages.ClaimRelease(claim_id))

    def record(
        self, claim_id: str, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the outcome of a call, durably as soon as possible."""
        if len(body) > KEPT_BODY_BYTES:
            body = b""
        self._keep(
            claim_id,
            messages.ClaimOutcome(claim_id, status, content_type, body, True),
        )

    def record_unknown(self, claim_id: str) -> None:
        """Record that a call may have run and its outcome is not known."""
        self._keep(claim_id, messages.ClaimOutcome(claim_id, known=False))

    async def run(self) -> None:
        """Hand over what is kept, at once and until it is in the log.

        No caller waits for it: an answer, or a refusal, goes out first.
        """
        while True:
            with anyio.move_on_after(RETRY_S):
                await self.work.wait()
            self.work = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Hand over what is in the backlog, oldest first."""
        for claim_id in list(self.backlog):
            await self._hand_over(claim_id)

    def _keep(self, claim_id: str, command: tuple) -> None:
        self.backlog[claim_id] = command
        self.work.set()

    async def _hand_over(self, claim_id: str) -> None:
        command = self.backlog.get(claim_id)
        if command is None:
            return
        try:
            await self.proposer.propose(command, CLAIM_S)
        except errors.ProposalError:
            return
        if self.backlog.get(claim_id) is command:
            del self.backlog[claim_id]

    def _check_earlier(
        self, wanted: messages.Claim, known: messages.Claim
    ) -> None:
        if known.state == state_module.RELEASED:
            raise web.RefusedError(_no_quorum())
        if known.fingerprint != wanted.fingerprint:
            raise web.RefusedError(
                web.bad_input(
                    "idempotency-key-reused",
                    "the idempotency key was used for another call",
                    422,
                )
            )
        if known.state == state_module.DONE:
            return
        alive = self.holder_alive(known.holder, known.incarnation)
        if known.state == state_module.OPEN and alive:
            raise web.RefusedError(
                outcomes.Refusal(
                    "unknown",
                    "in-progress",
                    "the first call under this key is still running",
                    STEP,
                    409,
                    IN_PROGRESS_RETRY_S,
                )
            )
        raise web.RefusedError(unknown_outcome())


def unknown_outcome() -> outcomes.Refusal:
    """Return the answer for a call that may have run."""
    return outcomes.Refusal(
        "unknown",
        "outcome-unknown",
        "the call may have run; it is not sent again",
        STEP,
        502,
    )


def _no_quorum() -> outcomes.Refusal:
    return outcomes.not_run(
        "no-quorum",
        "the call could not be claimed, so it was not sent",
        STEP,
        503,
        NO_QUORUM_RETRY_S,
    )


__all__ = ["Claims", "unknown_outcome"]
