"""News gathered for a moment and passed on together.

Many edges tell small news at once. Passed on one by one, the messages
would grow with the square of the edges; gathered, each control instance
sends as many as it has neighbours, however many tell it something.
"""

from typing import Generic
from typing import Hashable
from typing import TypeVar

import anyio

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class UpdateBatcher(Generic[Key, Value]):
    """Holds the newest value of each key until they are taken.

    Args:
        delay_s: how long the first value waits for others, in seconds.
    """

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.pending: dict[Key, Value] = {}
        self.has_pending = anyio.Event()

    def put(self, key: Key, value: Value) -> None:
        """Add a value, in the place of an older one of its key."""
        self.pending[key] = value
        self.has_pending.set()

    async def take(self) -> tuple[Value, ...]:
        """Wait for a value, then for others, and return them all."""
        await self.has_pending.wait()
        await anyio.sleep(self.delay_s)
        return self.drain()

    def drain(self) -> tuple[Value, ...]:
        """Return the values there are, without waiting."""
        pending, self.pending = self.pending, {}
        self.has_pending = anyio.Event()
        return tuple(pending.values())


__all__ = ["UpdateBatcher"]
