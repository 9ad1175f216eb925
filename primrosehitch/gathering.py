"""Batching of small updates that are forwarded together.

Many edges send small updates at the same time. Forwarded one by one, the
number of messages would grow with the square of the number of edges. In
batches, a control instance sends one message to each of its neighbours
however many updates it received meanwhile.
"""

from collections import OrderedDict
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


class RecentUpdates(Generic[Key, Value]):
    """The newest value of each key, for receivers that join later.

    Does no I/O; the caller passes the current time in ms.

    Args:
        ttl_ms: how long a value is kept after its last update.
        max_items: the least recently updated values beyond this number
            are dropped.

    Attributes:
        items: values and times of the last update in ms, by key, least
            recently updated first.
    """

    def __init__(self, ttl_ms: int, max_items: int):
        self.ttl_ms = ttl_ms
        self.max_items = max_items
        self.items: OrderedDict[Key, tuple[Value, int]] = OrderedDict()

    def put(self, key: Key, value: Value, now: int) -> None:
        """Store a value, which replaces an older value of the same key."""
        self.items[key] = (value, now)
        self.items.move_to_end(key)
        while len(self.items) > self.max_items:
            self.items.popitem(last=False)

    def discard(self, key: Key) -> None:
        """Remove a value, if there is one."""
        self.items.pop(key, None)

    def values(self, now: int) -> tuple[Value, ...]:
        """Return the values updated within the time to live."""
        while self.items:
            key, (_, updated_at) = next(iter(self.items.items()))
            if now - updated_at <= self.ttl_ms:
                break
            del self.items[key]
        return tuple(value for value, _ in self.items.values())


__all__ = ["RecentUpdates", "UpdateBatcher"]
