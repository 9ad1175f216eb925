"""Listening sockets that outlast a shortage of addresses or descriptors.

Another process can hold an address for a moment: one that is about to end,
or the local end of a connection that it opened. Descriptors run out while
callers open more connections than a process may have. Neither ends a server.
Connections are turned away before the last descriptor is taken: uvloop
closes a caller's connection unanswered when there is none left.
"""

import errno
import resource
import socket
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterable
from typing import TypeVar

import anyio
import anyio.abc

from primrosehitch import errors
from primrosehitch import events
from primrosehitch import settings as settings_module

# An address that is in use for longer belongs to another process.
BIND_TIMEOUT_S = 10.0
BIND_RETRY_S = 0.1
ACCEPT_RETRY_S = 0.1
# The shares of the process's descriptors that connections of callers, and of
# peers, may reach. Connections to endpoints and files keep the rest.
CALLER_DESCRIPTOR_SHARE = 0.75
PEER_DESCRIPTOR_SHARE = 0.875

# From linux/tcp.h; the socket module does not define it on all systems.
TCP_NOTSENT_LOWAT = 25

Listener = TypeVar("Listener")


class ListenError(errors.PrimrosehitchError):
    """An address cannot be listened on."""


async def bind(
    address: settings_module.Address,
    open_listener: Callable[[], Awaitable[Listener]],
    timeout_s: float = BIND_TIMEOUT_S,
) -> Listener:
    """Open a listener; wait while its address is in use.

    Args:
        address: the address, for errors and the log.
        open_listener: opens the listener.
        timeout_s: how long to wait, in seconds.

    Raises:
        ListenError: the address is still in use then, or cannot be listened
            on for another reason.
    """
    gives_up_at = anyio.current_time() + timeout_s
    is_reported = False
    while True:
        try:
            return await open_listener()
        except OSError as exc:
            is_in_use = exc.errno == errno.EADDRINUSE
            if not is_in_use or anyio.current_time() >= gives_up_at:
                raise ListenError(str(exc), "listen", str(address)) from exc
        if not is_reported:
            events.emit(events.ADDRESS_IN_USE, address=str(address))
            is_reported = True
        await anyio.sleep(BIND_RETRY_S)


def exceeds_share(descriptor: int, share: float) -> bool:
    """Return whether a new connection exceeds a share of the descriptors.

    A new descriptor has the lowest free number, so that its number says how
    many are open at least.

    Args:
        descriptor: the connection's descriptor, just opened.
        share: the share of RLIMIT_NOFILE, 0 to 1.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit != resource.RLIM_INFINITY and descriptor >= share * limit


def set_buffer_sizes(listeners: Iterable[Any], size: int) -> None:
    """Bound the kernel's buffers of the connections of listening sockets.

    Accepted connections inherit the bounds. Without them the kernel grows
    the buffers of a connection to several MB. Of the send buffer only what
    is not sent yet is bounded, since a fixed size of it would make each
    large response wait for delayed acknowledgements.

    Args:
        listeners: the listening sockets.
        size: the bound on each of the two buffers, in bytes. The kernel
            uses up to twice as much.
    """
    for listener in listeners:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        listener.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, size)


async def serve(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    handler: Callable[[anyio.abc.SocketStream], Awaitable[Any]],
    group: anyio.abc.TaskGroup,
) -> None:
    """Handle the connections of a listener until cancelled.

    Args:
        listener: accepts one connection after the other.
        handler: handles one connection.
        group: runs the handlers.
    """
    while True:
        try:
            await listener.serve(handler, group)
        except* OSError as failures:
            # The connections that wait are accepted later.
            events.emit(events.ACCEPT_FAILED, error=repr(failures.exceptions))
        await anyio.sleep(ACCEPT_RETRY_S)


__all__ = [
    "CALLER_DESCRIPTOR_SHARE",
    "ListenError",
    "PEER_DESCRIPTOR_SHARE",
    "bind",
    "exceeds_share",
    "serve",
    "set_buffer_sizes",
]
