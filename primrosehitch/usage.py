"""Usage metering at a gateway, in batches with sequence numbers.

Does no I/O. A gateway collects rows and sends them in batches numbered
without gaps. It keeps a batch, and resends it unchanged, until the
replicated log has counted it. A gateway that crashes loses the usage since
its last acknowledged batch: at most the flush interval plus the time for
which the log was unreachable.
"""

from typing import NamedTuple

from primrosehitch import messages


class RequestUsage(NamedTuple):
    """Usage of one request, in tokens."""

    customer: str
    class_name: str
    prompt_tokens: int
    output_tokens: int


def window_number(wall_s: float, window_s: float) -> int:
    """Return the number of the usage window that contains a time."""
    return int(wall_s // window_s)


class UsageMeter:
    """Counts usage at one gateway.

    Args:
        gateway: the instance's name.
        incarnation: number of this start of the instance.

    Attributes:
        sequence: number of the last batch.
        rows_by_window: rows not yet in a batch, by window number and by
            customer and class.
        pending_batch: batch that has not been acknowledged.
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
        """Add a request's usage to a window."""
        rows = self.rows_by_window.setdefault(window, {})
        key = (usage.customer, usage.class_name)
        row = rows.get(key, messages.UsageRow(*key))
        rows[key] = row._replace(
            requests=row.requests + 1,
            prompt_tokens=row.prompt_tokens + usage.prompt_tokens,
            output_tokens=row.output_tokens + usage.output_tokens,
        )

    def next_batch(self) -> messages.UsageBatch | None:
        """Return the batch to send, the same one until acknowledged.

        Returns:
            The pending batch, or None if there is no usage to send.
        """
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
        """Record that the log has counted the batches up to a number."""
        if (
            self.pending_batch is not None
            and sequence >= self.pending_batch.sequence
        ):
            self.pending_batch = None

    @property
    def is_empty(self) -> bool:
        """Whether all usage has been sent and acknowledged."""
        return not self.rows_by_window and self.pending_batch is None


__all__ = ["RequestUsage", "UsageMeter", "window_number"]
