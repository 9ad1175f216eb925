"""Waiting until the peer of a connection has read what was written."""

import anyio


class WriteGate:
    """The transport's flow control, to wait for.

    A part of an ``asyncio.Protocol``.
    """

    def __init__(self) -> None:
        self.drained: anyio.Event | None = None

    def pause_writing(self) -> None:
        """Note that the peer reads slowly."""
        self.drained = anyio.Event()

    def resume_writing(self) -> None:
        """Note that the peer caught up."""
        self.release()
        self.drained = None

    def release(self) -> None:
        """Let those go on who wait, when the connection is lost."""
        if self.drained is not None:
            self.drained.set()

    async def until_drained(self) -> None:
        """Wait until little of what was written is left."""
        if self.drained is not None:
            await self.drained.wait()


__all__ = ["WriteGate"]
