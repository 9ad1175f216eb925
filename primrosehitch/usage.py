"""Usage: counting what was delivered, in numbered batches.

Pure. A gateway gathers rows and hands them over in batches numbered
without gaps; a batch is kept until the log has counted it, and is sent
again unchanged. What a crashed gateway may lose is what it delivered
since its last accepted batch: at most the flush interval, plus the time
the log was out of reach.
"""

from typing import NamedTuple

from primrosehitch import messages


class RequestUsage(NamedTuple):
    """What one request used."""

    customer: str
    class_name: str
    prompt_tokens: int
    output_tokens: int


def window_number(wall_s: float, window_s: float) -> int:
    """Return the number of the usage window that a time falls in."""
    return int(wall_s // window_s)


class UsageMeter:
    """Counts usage at one gateway.

    Args:
        gateway: the instance's name.
        incarnation: number of this start of the instance.
    """

    def __init__(self, gateway: str, incarnation: int):
        self.gateway = gateway
        self.incarnation = incarnation
        self.sequence = 0
        self.rows_by_window: dict[
            int, dict[tuple[str, str], messages.UsageRow]
        ] = {}
        self.pending_batch: messages.UsageBatch | None = None

    def count_request(self, usage: RequestUsage, window: int) -> None:
        """Count a request's usage in a window."""
        rows = self.rows_by_window.setdefault(window, {})
        key = (usage.customer, usage.class_name)
        row = rows.get(key, messages.UsageRow(*key))
        rows[key] = row._replace(
            requests=row.requests + 1,
            prompt_tokens=row.prompt_tokens + usage.prompt_tokens,
            output_tokens=row.output_tokens + usage.output_tokens,
        )

    def next_batch(self) -> messages.UsageBatch | None:
        """Return the batch to hand over next, the same until accepted."""
        if self.pending_batch is None and self.rows_by_window:
            window = min(self.rows_by_window)
            rows = self.rows_by_window.pop(window)
            self.sequence += 1
            self.pending_batch = messages.UsageBatch(
                self.gateway,
                self.incarnation,
                self.sequence,
                window,
                tuple(rows.values()),
            )
        return self.pending_batch

    def acknowledge(self, sequence: int) -> None:
        """Note that the log counted batches up to a number."""
        if (
            self.pending_batch is not None
            and sequence >= self.pending_batch.sequence
        ):
            self.pending_batch = None

    @property
    def is_empty(self) -> bool:
        """Whether everything has been handed over."""
        return not self.rows_by_window and self.pending_batch is None


__all__ = ["RequestUsage", "UsageMeter", "window_number"]
