"""Proposals: sends commands to the leader and waits for their results.

Each command carries an identifier that makes it idempotent, so a proposal
whose result was lost is sent again unchanged.
"""

import itertools
from typing import Any
from typing import NamedTuple
from typing import Protocol

import anyio

from primrosehitch import errors
from primrosehitch import messages

ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
NOT_LEADER = "not-leader"
APPLIED = "applied"
LOST = "lost"


class ProposalResult(NamedTuple):
    """The result of one attempt to propose a command.

    Attributes:
        outcome: ``applied``, ``not-leader`` if the command was not
            appended to the log, or ``lost`` if it may still be applied.
        value: the state machine's result if the command was applied.
        leader: name of the leader's instance as known to the replica
            that answered; empty if unknown.
    """

    outcome: str
    value: Any
    leader: str


class LeaderTransport(Protocol):
    """Access to the leader and to the replica of this process."""

    def leader(self) -> str:
        """Return the name of the leader's instance; empty if unknown."""

    async def propose_locally(self, kind: str, body: bytes) -> ProposalResult:
        """Propose to the replica of this process."""

    def send(self, target: str, message: tuple) -> bool:
        """Queue a message for a peer; return False if it was dropped."""


class Proposer:
    """Proposes the commands of one instance to the leader.

    Args:
        instance: the instance's name.
        transport: access to the leader.
    """

    def __init__(self, instance: str, transport: LeaderTransport):
        self.instance = instance
        self.transport = transport
        self.proposal_ids = itertools.count(1)
        self.pending: dict[int, tuple[anyio.Event, list[ProposalResult]]] = {}

    async def propose(self, command: tuple, timeout_s: float) -> Any:
        """Propose a command until it is applied; return its result.

        Args:
            command: one of the command messages.
            timeout_s: how long to go on trying, in seconds.

        Raises:
            ProposalError: the command was not known to be applied within
                the timeout; it may still be applied later.
        """
        kind = type(command).__name__
        body = messages.encode(command)
        attempts = 0
        with anyio.move_on_after(timeout_s):
            while True:
                leader = self.transport.leader()
                result = await self._attempt(leader, kind, body)
                attempts += result.outcome != NOT_LEADER
                if result.outcome == APPLIED:
                    return result.value
                await anyio.sleep(RETRY_DELAY_S)
        raise errors.ProposalError(
            "no quorum answered in time",
            self.transport.leader(),
            maybe_applied=attempts > 0,
        )

    def handle_reply(self, reply: messages.ProposalReply) -> None:
        """Process the leader's reply to a proposal."""
        pending_proposal = self.pending.get(reply.proposal_id)
        if pending_proposal is None:
            return
        value = None
        if reply.kind:
            kind = messages.BY_NAME[reply.kind]
            value = messages.decode(kind, reply.body)
        event, results = pending_proposal
        results.append(ProposalResult(reply.outcome, value, reply.leader))
        event.set()

    async def _attempt(
        self, leader: str, kind: str, body: bytes
    ) -> ProposalResult:
        if not leader:
            return ProposalResult(NOT_LEADER, None, "")
        if leader == self.instance:
            return await self.transport.propose_locally(kind, body)
        new_id = next(self.proposal_ids)
        event, results = anyio.Event(), []
        self.pending[new_id] = (event, results)
        try:
            proposal = messages.Proposal(new_id, kind, body)
            if not self.transport.send(leader, proposal):
                return ProposalResult(NOT_LEADER, None, "")
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                await event.wait()
            return results[0] if results else ProposalResult(LOST, None, "")
        finally:
            del self.pending[new_id]


__all__ = ["APPLIED", "LOST", "LeaderTransport", "ProposalResult", "Proposer"]
