"""One attempt to get a request answered, at an endpoint or another edge."""

from typing import Any

import anyio

from primrosehitch import balancer as balancer_module
from primrosehitch import errors
from primrosehitch import eventframes
from primrosehitch import racing


class Attempt:
    """State of one attempt; a hedged request has two at a time.

    Args:
        choice: the chosen endpoint, or None for an attempt at another edge.
        event_frames: splits the stream that the attempt relays into events.

    Attributes:
        in_flight: whether it was sent and its endpoint has not said that it
            did not run it.
        sent_at_ms: when it was sent, by ``clock.now_ms``, -1 before that.
        counted_at_ms: when it was counted as demand, -1 before that.
        answer_began_at_ms: when the first byte of its answer came, -1
            before that.
        is_hedge: whether it was sent while another one was under way.
        race: the race that it takes part in, if it may be hedged.
        is_lost: whether another attempt answered first.
        scope: cancelled when it loses; used in races only.
        outcome: how it ended, None while it is under way.
    """

    def __init__(
        self,
        choice: balancer_module.Choice | None,
        event_frames: eventframes.EventSplitter,
    ):
        self.choice = choice
        self.event_frames = event_frames
        self.in_flight = False
        self.sent_at_ms = -1
        self.counted_at_ms = -1
        self.answer_began_at_ms = -1
        self.is_hedge = False
        self.race: racing.Race | None = None
        self.is_lost = False
        self.scope = anyio.CancelScope()
        self.outcome: Any = None

    @property
    def chosen(self) -> balancer_module.Choice:
        """The chosen endpoint and its estimated cost."""
        choice = self.choice
        if choice is None:
            raise errors.InvariantError(
                "an attempt at another edge has no endpoint", "forward.attempt"
            )
        return choice

    @property
    def endpoint(self) -> balancer_module.Endpoint:
        """The chosen endpoint."""
        return self.chosen.endpoint

    @property
    def has_answer_begun(self) -> bool:
        """Whether the first byte of its answer has come."""
        return self.answer_began_at_ms >= 0

    def lose(self) -> None:
        """End the attempt at once, since another one answered first."""
        if self.outcome is None:
            self.is_lost = True
            self.scope.cancel()

    def claim(self) -> bool:
        """Return whether this is the attempt that answers the caller."""
        return self.race is None or self.race.claim(self)


__all__ = ["Attempt"]
