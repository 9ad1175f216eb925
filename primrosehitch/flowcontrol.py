"""Write flow control for asyncio protocols.

A transport whose write buffer is full pauses the protocol. Writers wait
here until it resumes, so that a slow peer bounds what is buffered for it.
"""

import fcntl
import struct
import termios
from typing import Any

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


def outstanding_bytes(transport: Any) -> int:
    """Return the bytes written that the peer has not acknowledged.

    The kernel's part counts as well: the transport can write again only once
    a good part of the kernel's buffer is free.

    Args:
        transport: a transport; 0 is returned for one that is closing.
    """
    if transport.is_closing():
        return 0
    outstanding = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is not None:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        outstanding += struct.unpack("i", answer)[0]
    return outstanding


__all__ = ["FlowControlMixin", "outstanding_bytes"]
