"""Containment of failures that data from outside can cause.

A task that ends with an exception ends its process. A loop that handles one
message or one period after the other contains the failure of each instead.
"""

import contextlib
from typing import Iterator

from primrosehitch import errors
from primrosehitch import events


@contextlib.contextmanager
def contain(
    task: str, ends_on_invariant: bool = True, **fields: str
) -> Iterator[None]:
    """Log an exception of one step of a loop instead of raising it.

    A violated invariant still ends the task, unless told otherwise: its
    state can't be trusted.

    Args:
        task: the loop's name in the log.
        ends_on_invariant: whether a violated invariant is raised.
        fields: what the step handled, for the log.
    """
    try:
        yield
    except Exception as exc:
        if ends_on_invariant and isinstance(exc, errors.InvariantError):
            raise
        events.emit(
            events.TASK_FAILED, task=task, error=repr(exc)[:500], **fields
        )


__all__ = ["contain"]
