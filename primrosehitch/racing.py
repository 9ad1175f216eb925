"""A race between an attempt and its hedge, which one of them may win.

The first attempt that has something to send to the caller claims the race.
The other one is cancelled, which aborts its connection, so that the endpoint
stops working on it. An attempt that fails lets the other one go on.
"""

from collections.abc import Awaitable
from typing import Any
from typing import Callable
from typing import Protocol

import anyio

from primrosehitch import clock


class Contestant(Protocol):
    """An attempt in a race; see ``attempts.Attempt``."""

    sent_at_ms: int
    race: "Race | None"
    is_lost: bool
    scope: anyio.CancelScope
    outcome: Any

    @property
    def has_answer_begun(self) -> bool:
        """Whether the first byte of its answer has come."""

    def lose(self) -> None:
        """End the attempt at once."""


class Race:
    """Runs an attempt, and a second one if the first one is slow.

    Args:
        send: makes an attempt and returns its outcome.
        plan_hedge: returns the second attempt, or None if there is to be
            none; called once, when the delay has passed without a byte of
            an answer.

    Attributes:
        contestants: the attempts that were started.
        winner: the attempt that answers the caller, if there is one yet.
        delay_scope: cancelled if the second attempt is no longer needed.
    """

    def __init__(
        self,
        send: Callable[[Any], Awaitable[Any]],
        plan_hedge: Callable[[], Contestant | None],
    ):
        self.send = send
        self.plan_hedge = plan_hedge
        self.contestants: list[Contestant] = []
        self.winner: Contestant | None = None
        self.delay_scope = anyio.CancelScope()

    def claim(self, contestant: Contestant) -> bool:
        """Return whether an attempt wins; the others are then cancelled."""
        if self.winner is None:
            self.winner = contestant
            self.delay_scope.cancel()
            for other in self.contestants:
                if other is not contestant:
                    other.lose()
        return self.winner is contestant

    async def run(self, first: Contestant, delay_ms: float) -> None:
        """Run both attempts until the caller has its answer or both ended.

        Args:
            first: the first attempt.
            delay_ms: how long after it was sent the second one is due.
        """
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_hedge, first, delay_ms)
                await self._run_contestant(first)
                self.delay_scope.cancel()
        except BaseExceptionGroup as group_error:
            # The callers of an attempt expect the error as such.
            raise group_error.exceptions[0] from group_error

    async def _run_contestant(self, contestant: Contestant) -> None:
        self.contestants.append(contestant)
        contestant.race = self
        with contestant.scope:
            contestant.outcome = await self.send(contestant)

    async def _run_hedge(self, first: Contestant, delay_ms: float) -> None:
        """Start the second attempt if it is still wanted when it is due."""
        with self.delay_scope:
            while True:
                now = clock.now_ms()
                sent_at = first.sent_at_ms if first.sent_at_ms >= 0 else now
                wait_ms = sent_at + delay_ms - now
                if wait_ms <= 0:
                    break
                await anyio.sleep(wait_ms / 1000)
        if self.delay_scope.cancel_called or first.has_answer_begun:
            return
        hedge = self.plan_hedge()
        if hedge is not None:
            await self._run_contestant(hedge)


__all__ = ["Contestant", "Race"]
