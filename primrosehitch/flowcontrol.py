"""Waiting until the peer of a connection has read what was written."""

import anyio


class FlowControlMixin:
    """The transport's flow control, to wait for.

    A part of an ``asyncio.Protocol``.
    """

    def __init__(self) -> None:
        self.writable_event: anyio.Event | None = None

    def pause_writing(self) -> None:
        """Note that the peer reads slowly."""
        self.writable_event = anyio.Event()

    def resume_writing(self) -> None:
        """Note that the peer caught up."""
        self.wake_writers()
        self.writable_event = None

    def wake_writers(self) -> None:
        """Let those go on who wait, when the connection is lost."""
        if self.writable_event is not None:
            self.writable_event.set()

    async def wait_until_writable(self) -> None:
        """Wait until little of what was written is left."""
        if self.writable_event is not None:
            await self.writable_event.wait()


__all__ = ["FlowControlMixin"]
