"""Batching of small updates that are forwarded together.

Many edges send small updates at the same time. Forwarded one by one, the
number of messages would grow with the square of the number of edges. In
batches, a control instance sends one message to each of its neighbours
however many updates it received meanwhile.
"""

from typing import Generic
from typing import Hashable
from typing import TypeVar

import anyio

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class UpdateBatcher(Generic[Key, Value]):
    """Collects the newest value of each key until the values are taken.

    Args:
        delay_s: time for which the first value of a batch waits for more.

    Attributes:
        pending: values by key that have not been taken.
        has_pending: event that is set while pending is not empty.
    """

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.pending: dict[Key, Value] = {}
        self.has_pending = anyio.Event()

    def put(self, key: Key, value: Value) -> None:
        """Add a value, which replaces an older value of the same key."""
        self.pending[key] = value
        self.has_pending.set()

    async def take(self) -> tuple[Value, ...]:
        """Wait for a value, then for the delay, and return the batch."""
        await self.has_pending.wait()
        await anyio.sleep(self.delay_s)
        return self.drain()

    def drain(self) -> tuple[Value, ...]:
        """Return the pending values without waiting."""
        pending, self.pending = self.pending, {}
        self.has_pending = anyio.Event()
        return tuple(pending.values())


__all__ = ["UpdateBatcher"]
