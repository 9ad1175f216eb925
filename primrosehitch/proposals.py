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

ATTEMPT_S = 1.0
RETRY_S = 0.1
NOT_LEADER = "not-leader"
APPLIED = "applied"
LOST = "lost"


class Result(NamedTuple):
    """How one attempt ended; the answer where it was applied."""

    outcome: str
    answer: Any
    leader: str


class Leadership(Protocol):
    """Finds the leader and proposes to it."""

    def leader(self) -> str:
        """Return the leader's instance name, empty if not known."""

    async def propose_locally(self, kind: str, body: bytes) -> Result:
        """Propose to the replica of this process."""

    def send(self, target: str, message: tuple) -> bool:
        """Send a message to a peer."""


class Proposer:
    """Proposes commands on behalf of one instance.

    Args:
        name: the instance's name.
        leadership: the way to the leader.
    """

    def __init__(self, name: str, leadership: Leadership):
        self.name = name
        self.leadership = leadership
        self.numbers = itertools.count(1)
        self.waiting: dict[int, tuple[anyio.Event, list[Result]]] = {}

    async def propose(self, command: tuple, limit_s: float) -> Any:
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
        with anyio.move_on_after(limit_s):
            while True:
                leader = self.leadership.leader()
                result = await self._attempt(leader, kind, body)
                attempts += result.outcome != NOT_LEADER
                if result.outcome == APPLIED:
                    return result.answer
                await anyio.sleep(RETRY_S)
        raise errors.ProposalError(
            "no quorum answered in time",
            self.leadership.leader(),
            maybe_applied=attempts > 0,
        )

    def hear(self, reply: messages.ProposalReply) -> None:
        """Take in the leader's answer."""
        waiting = self.waiting.get(reply.proposal_id)
        if waiting is None:
            return
        answer = None
        if reply.kind:
            kind = messages.BY_NAME[reply.kind]
            answer = messages.decode(kind, reply.body)
        event, results = waiting
        results.append(Result(reply.outcome, answer, reply.leader))
        event.set()

    async def _attempt(self, leader: str, kind: str, body: bytes) -> Result:
        if not leader:
            return Result(NOT_LEADER, None, "")
        if leader == self.name:
            return await self.leadership.propose_locally(kind, body)
        number = next(self.numbers)
        event, results = anyio.Event(), []
        self.waiting[number] = (event, results)
        try:
            proposal = messages.Proposal(number, kind, body)
            if not self.leadership.send(leader, proposal):
                return Result(NOT_LEADER, None, "")
            with anyio.move_on_after(ATTEMPT_S):
                await event.wait()
            return results[0] if results else Result(LOST, None, "")
        finally:
            del self.waiting[number]


__all__ = ["APPLIED", "LOST", "Leadership", "Proposer", "Result"]
