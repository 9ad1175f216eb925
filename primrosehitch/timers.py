"""A timer service that parts subscribe to.

One task watches the clock and sends each subscriber a ``Tick`` per
period. A subscriber that lags gets the newest tick only. A tick tells
how long the service itself stood still, so that parts can tell that the
process was frozen.
"""

from typing import NamedTuple

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

from primrosehitch import clock

STEP_MS = 50
FREEZE_MS = 1000
# Subscribers that come while the service sleeps are served within this.
PAUSE_MS = 250


class Tick(NamedTuple):
    """One tick: the time, and the time since the service last ran."""

    now: int
    gap: int


class Subscription:
    """One subscriber's period and stream."""

    def __init__(self, period_ms: int, sink: MemoryObjectSendStream, now: int):
        self.period_ms = period_ms
        self.sink = sink
        self.due = now
        self.gap = 0


class TimerService:
    """Sends ticks to its subscribers."""

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []
        self.last = clock.now_ms()

    def subscribe(self, period_ms: int) -> MemoryObjectReceiveStream[Tick]:
        """Return a stream of ticks.

        Args:
            period_ms: time between ticks in ms.
        """
        sink, source = anyio.create_memory_object_stream[Tick](1)
        self.subscriptions.append(
            Subscription(period_ms, sink, clock.now_ms())
        )
        return source

    async def run(self) -> None:
        """Send ticks until cancelled."""
        while True:
            now = clock.now_ms()
            gap = now - self.last
            self.last = now
            for subscription in self.subscriptions:
                self._serve(subscription, now, gap)
            await anyio.sleep(self._pause_ms(now) / 1000)

    def _pause_ms(self, now: int) -> int:
        """Return the time until the next tick is due.

        Ticks fall on a common grid, so that one wake-up serves several
        subscribers.
        """
        due = min((s.due for s in self.subscriptions), default=now)
        at = -(-max(due, now + 1) // STEP_MS) * STEP_MS
        return min(at - now, PAUSE_MS)

    def _serve(self, subscription: Subscription, now: int, gap: int) -> None:
        subscription.gap = max(subscription.gap, gap)
        if now < subscription.due and gap < FREEZE_MS:
            return
        try:
            subscription.sink.send_nowait(Tick(now, subscription.gap))
        except anyio.WouldBlock:
            return
        subscription.gap = 0
        ahead = now + subscription.period_ms
        subscription.due = ahead // STEP_MS * STEP_MS


__all__ = ["Tick", "TimerService"]
