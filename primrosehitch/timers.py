"""A timer service that sends periodic ticks to its subscribers.

One task watches the clock and sends each subscriber a ``Tick`` per period.
At most one tick is queued for a subscriber: while it is behind, further
ticks are skipped. A tick carries the time since the service last ran, so
that subscribers can detect that the process was frozen.
"""

from typing import NamedTuple

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

from primrosehitch import clock

TICK_GRID_MS = 50
# After a longer interval between two runs the process counts as frozen.
FREEZE_THRESHOLD_MS = 1000
# Limits how long a subscriber added while the service sleeps waits for its
# first tick.
MAX_SLEEP_MS = 250


class Tick(NamedTuple):
    """One tick of the timer service.

    Attributes:
        now: the current time in ms.
        elapsed_ms: the longest interval between two runs of the service
            since the subscriber's previous tick.
    """

    now: int
    elapsed_ms: int


class Subscription:
    """One subscriber of the timer service.

    Args:
        period_ms: time between ticks in ms.
        sender: the sending end of the subscriber's stream.
        now: the current time in ms; the first tick is due at once.
    """

    def __init__(
        self, period_ms: int, sender: MemoryObjectSendStream, now: int
    ):
        self.period_ms = period_ms
        self.sender = sender
        self.due_ms = now
        self.elapsed_ms = 0


class TimerService:
    """Sends periodic ticks to its subscribers from one task."""

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []
        self.last_run_ms = clock.now_ms()

    def subscribe(self, period_ms: int) -> MemoryObjectReceiveStream[Tick]:
        """Return the receiving end of a new stream of ticks.

        Args:
            period_ms: time between ticks in ms.
        """
        sender, receiver = anyio.create_memory_object_stream[Tick](1)
        self.subscriptions.append(
            Subscription(period_ms, sender, clock.now_ms())
        )
        return receiver

    async def run(self) -> None:
        """Send ticks until cancelled."""
        while True:
            now = clock.now_ms()
            elapsed_ms = now - self.last_run_ms
            self.last_run_ms = now
            for subscription in self.subscriptions:
                self._deliver(subscription, now, elapsed_ms)
            await anyio.sleep(self._sleep_ms(now) / 1000)

    def _sleep_ms(self, now: int) -> int:
        """Return how long to sleep until the next tick is due, in ms.

        Ticks are aligned to multiples of ``TICK_GRID_MS``, so that one
        wake-up serves several subscribers.
        """
        due_ms = min((s.due_ms for s in self.subscriptions), default=now)
        wake_ms = -(-max(due_ms, now + 1) // TICK_GRID_MS) * TICK_GRID_MS
        return min(wake_ms - now, MAX_SLEEP_MS)

    def _deliver(
        self, subscription: Subscription, now: int, elapsed_ms: int
    ) -> None:
        """Send a tick if one is due or the process was frozen."""
        subscription.elapsed_ms = max(subscription.elapsed_ms, elapsed_ms)
        if now < subscription.due_ms and elapsed_ms < FREEZE_THRESHOLD_MS:
            return
        try:
            subscription.sender.send_nowait(Tick(now, subscription.elapsed_ms))
        except anyio.WouldBlock:
            return
        subscription.elapsed_ms = 0
        next_due_ms = now + subscription.period_ms
        subscription.due_ms = next_due_ms // TICK_GRID_MS * TICK_GRID_MS


__all__ = ["Tick", "TimerService"]
