"""Operators' orders to start or end the evacuation of a failure domain.

An order is an ``Edit`` that applies only to the version of the rows on which
it was decided. A copy that arrives late, after another order was
acknowledged, therefore changes nothing. An order that finds what it asks for
in force proposes an edit without rows, which proves that no other order came
in between and voids the edits of earlier orders that are still under way.
"""

import enum
from typing import Callable
import uuid

import anyio

from primrosehitch import errors
from primrosehitch import evacuations
from primrosehitch import events
from primrosehitch import proposals
from primrosehitch import state as state_module

# Operators send an order to another control instance if this one does not
# confirm it. An instance that is cut off costs them less than a second.
ORDER_TIMEOUT_S = 0.9
APPLY_POLL_PERIOD_S = 0.01


class Outcome(enum.Enum):
    """What became of an order.

    Attributes:
        CONFIRMED: a quorum has it on disk.
        UNCERTAIN: no quorum confirmed it in time; it may come into force.
        TOO_MANY: it was refused, as too many domains are evacuated.
    """

    CONFIRMED = "confirmed"
    UNCERTAIN = "uncertain"
    TOO_MANY = "too-many"


class EvacuationOrders:
    """Places the orders that operators send to one control instance.

    Args:
        instance: the name of the instance.
        proposer: proposes edits to the leader.
        current_state: returns the state of the instance's replica.
    """

    def __init__(
        self,
        instance: str,
        proposer: proposals.Proposer,
        current_state: Callable[[], state_module.State],
    ):
        self.instance = instance
        self.proposer = proposer
        self.current_state = current_state

    async def place(self, domain: str, evacuated: bool) -> Outcome:
        """Place an order and wait until a quorum has confirmed it.

        Args:
            domain: the failure domain.
            evacuated: whether to start or to end its evacuation.
        """
        began = anyio.current_time()
        fields = {"domain": domain, "evacuated": evacuated}
        try:
            outcome, version = await self._edit(
                domain, evacuated, began + ORDER_TIMEOUT_S
            )
        except errors.ProposalError as exc:
            events.emit(events.EVACUATION_UNCERTAIN, error=str(exc), **fields)
            return Outcome.UNCERTAIN
        if outcome is Outcome.TOO_MANY:
            events.emit(events.EVACUATION_REFUSED, version=version, **fields)
            return outcome
        events.emit(
            events.EVACUATION_CONFIRMED,
            version=version,
            took_ms=round(1000 * (anyio.current_time() - began)),
            **fields,
        )
        return outcome

    async def _edit(
        self, domain: str, evacuated: bool, ends_at: float
    ) -> tuple[Outcome, int]:
        """Propose edits until one is accepted.

        Returns:
            The outcome and the version of the rows that confirms it.

        Raises:
            ProposalError: no quorum answered in time, or the replica of
                this instance lags behind.
        """
        while True:
            state = self.current_state()
            decision = evacuations.decide(
                state.rows, state.version, domain, evacuated
            )
            result = await self.proposer.propose(
                decision.edit(uuid.uuid4().hex, self.instance),
                max(0.0, ends_at - anyio.current_time()),
            )
            if result.accepted:
                if decision.verdict is evacuations.Verdict.TOO_MANY:
                    return Outcome.TOO_MANY, result.version
                return Outcome.CONFIRMED, result.version
            while self.current_state().version < result.version:
                if anyio.current_time() >= ends_at:
                    raise errors.ProposalError("the replica lags behind")
                await anyio.sleep(APPLY_POLL_PERIOD_S)


__all__ = ["EvacuationOrders", "ORDER_TIMEOUT_S", "Outcome"]
