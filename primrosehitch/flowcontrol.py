"""Write flow control for asyncio protocols.

A transport whose write buffer is full pauses the protocol. Writers wait
here until it resumes, so that a slow peer bounds what is buffered for it.
"""

import anyio


class FlowControlMixin:
    """Mixin for ``asyncio.Protocol`` that lets writers wait.

    Attributes:
        writable_event: set when writing resumes or the connection is lost;
            None while writing is not paused.
    """

    def __init__(self) -> None:
        self.writable_event: anyio.Event | None = None

    def pause_writing(self) -> None:
        """Pause writers; called when the write buffer is full."""
        self.writable_event = anyio.Event()

    def resume_writing(self) -> None:
        """Resume writers; called when the write buffer has drained."""
        self.wake_writers()
        self.writable_event = None

    def wake_writers(self) -> None:
        """Wake waiting writers; also called when the connection is lost."""
        if self.writable_event is not None:
            self.writable_event.set()

    async def wait_until_writable(self) -> None:
        """Wait until writing is not paused."""
        if self.writable_event is not None:
            await self.writable_event.wait()


__all__ = ["FlowControlMixin"]
