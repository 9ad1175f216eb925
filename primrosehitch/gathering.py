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


class Gatherer(Generic[Key, Value]):
    """Holds the newest value of each key until they are taken.

    Args:
        pause_s: how long the first value waits for others, in seconds.
    """

    def __init__(self, pause_s: float):
        self.pause_s = pause_s
        self.values: dict[Key, Value] = {}
        self.filled = anyio.Event()

    def put(self, key: Key, value: Value) -> None:
        """Add a value, in the place of an older one of its key."""
        self.values[key] = value
        self.filled.set()

    async def take(self) -> tuple[Value, ...]:
        """Wait for a value, then for others, and return them all."""
        await self.filled.wait()
        await anyio.sleep(self.pause_s)
        return self.drain()

    def drain(self) -> tuple[Value, ...]:
        """Return the values there are, without waiting."""
        values, self.values = self.values, {}
        self.filled = anyio.Event()
        return tuple(values.values())


__all__ = ["Gatherer"]
