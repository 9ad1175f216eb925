"""A bounded log sink that never blocks on a slow reader.

Lines are written to a non-blocking descriptor. Lines that it does not
accept are buffered up to a limit. Lines beyond that limit, or beyond a
rate limit, are dropped and counted.
"""

from collections import deque
import os
from typing import Callable

KEPT_BYTES = 1 << 20
LINES_PER_S = 200
BURST_LINES = 2000


class LogSink:
    """A file-like object for log lines.

    Args:
        descriptor: the descriptor to write to; made non-blocking.
        clock_ms: returns the time of a monotonic clock in ms.
    """

    def __init__(self, descriptor: int, clock_ms: Callable[[], int]):
        self.descriptor = descriptor
        self.clock_ms = clock_ms
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.allowance = float(BURST_LINES)
        self.at = clock_ms()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write or buffer one line, or drop it beyond the limits.

        Returns:
            The length of the line, also if it was dropped.
        """
        if not data:
            return 0
        full = self.waiting_bytes + len(data) > KEPT_BYTES
        if full or not self._allowed():
            self.dropped += 1
            return len(data)
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block.

        After any other error of the descriptor all buffered lines are
        dropped.
        """
        while self.waiting:
            data = self.waiting[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(data):
                self.waiting[0] = data[written:]
                return
            self.waiting.popleft()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _allowed(self) -> bool:
        now = self.clock_ms()
        earned = (now - self.at) * LINES_PER_S / 1000
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.at = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


__all__ = ["LogSink"]
