"""Proposals: commands on their way to the leader and their answers.

Every command is idempotent by an identifier it carries, so that a
proposal whose answer was lost is sent again unchanged.
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
    """How one attempt ended; the answer where it was applied."""

    outcome: str
    value: Any
    leader: str


class LeaderTransport(Protocol):
    """Finds the leader and proposes to it."""

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""

    async def propose_locally(self, kind: str, body: bytes) -> ProposalResult:
        """Propose to the replica of this process."""

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""


class Proposer:
    """Proposes commands on behalf of one instance.

    Args:
        name: the instance's name.
        leadership: the way to the leader.
    """

    def __init__(self, name: str, transport: LeaderTransport):
        self.name = name
        self.transport = transport
        self.proposal_ids = itertools.count(1)
        self.pending: dict[int, tuple[anyio.Event, list[ProposalResult]]] = {}

    async def propose(self, command: tuple, timeout_s: float) -> Any:
        """Return the state machine's answer to a command.

        Args:
            command: one of the command messages.
            limit_s: how long to try, in seconds.

        Raises:
            ProposalError: it is not known to be applied in time.
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
        """Take in the leader's answer."""
        pending_proposal = self.pending.get(reply.proposal_id)
        if pending_proposal is None:
            return
        answer = None
        if reply.kind:
            kind = messages.BY_NAME[reply.kind]
            answer = messages.decode(kind, reply.body)
        event, results = pending_proposal
        results.append(ProposalResult(reply.outcome, answer, reply.leader))
        event.set()

    async def _attempt(
        self, leader: str, kind: str, body: bytes
    ) -> ProposalResult:
        if not leader:
            return ProposalResult(NOT_LEADER, None, "")
        if leader == self.name:
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


__all__ = ["APPLIED", "LOST", "LeaderTransport", "Proposer", "ProposalResult"]
