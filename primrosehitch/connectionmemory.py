"""Bounds on the memory that the connections of a process hold.

Does no I/O; the caller passes the current time in ms. Each connection adds
and subtracts the bytes that it holds: bodies being received or forwarded,
requests that wait for their turn, responses that the client has not read,
and the kernel's buffers of a connection that is not read or written. When
the sum exceeds the limit, ``choose_victims`` decides which connections
close: those whose loss harms callers least.
"""

import enum
from typing import Iterable
from typing import NamedTuple
from typing import Protocol

# Connections are closed until this share of the limit is held, so that the
# next bytes do not exceed the limit again.
RELIEF_SHARE = 0.875
# A connection that holds less than this share of the mean is closed last.
SMALL_SHARE_OF_MEAN = 0.125
DEFAULT_MEMORY_BYTES = 64 << 20
EXCESS_REPORT_PERIOD_MS = 1000


class ConnectionBounds(NamedTuple):
    """Bounds on what clients may make a process hold.

    Attributes:
        memory_bytes: the sum over all connections of the process.
        unread_timeout_ms: how long a client may read nothing of a response
            that waits to be sent.
        backlog_bytes: requests sent ahead that are held for a connection;
            it is not read while it has more.
        write_buffer_bytes: responses held for a connection; while it has
            more, its next request is not parsed.
        socket_buffer_bytes: size of each of the kernel's two buffers of a
            connection. The kernel may use twice as much.
    """

    memory_bytes: int = DEFAULT_MEMORY_BYTES
    unread_timeout_ms: int = 15_000
    backlog_bytes: int = 16_384
    write_buffer_bytes: int = 16_384
    socket_buffer_bytes: int = 65_536


class Phase(enum.IntEnum):
    """What a connection is doing, in the order in which it is closed."""

    UNREAD = 0
    RECEIVING = 1
    SERVED_UNREAD = 2
    SERVED = 3


class HeldConnection(Protocol):
    """A connection as the decision sees it."""

    held_bytes: int

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    @property
    def progress_ms(self) -> int:
        """When the client last sent or read something that was awaited."""

    def close_for_memory(self) -> None:
        """Close at once and hold nothing any more."""


class ConnectionMemory:
    """The bytes held by the connections of one process.

    Args:
        bounds: the bounds in force.

    Attributes:
        limit_bytes: the limit on the sum.
        held_bytes: the sum over all connections.
        closed: connections closed for the limit.
        holders: the connections that hold bytes.
    """

    def __init__(self, bounds: ConnectionBounds = ConnectionBounds()):
        self.bounds = bounds
        self.limit_bytes = bounds.memory_bytes
        self.held_bytes = 0
        self.closed = 0
        self.holders: set[HeldConnection] = set()
        self.reported_closed = 0
        self.next_report_ms = 0

    def change(self, connection: HeldConnection, size: int) -> None:
        """Change what a connection holds.

        Args:
            connection: the connection.
            size: the bytes added, or subtracted if negative.
        """
        connection.held_bytes += size
        self.held_bytes += size
        if connection.held_bytes:
            self.holders.add(connection)
        else:
            self.holders.discard(connection)

    @property
    def is_exceeded(self) -> bool:
        """Whether connections have to be closed."""
        return self.held_bytes > self.limit_bytes

    def take_victims(self) -> list[HeldConnection]:
        """Return the connections to close now.

        The caller has to close them and to subtract what they hold.
        """
        if not self.is_exceeded:
            return []
        excess = self.held_bytes - int(RELIEF_SHARE * self.limit_bytes)
        victims = choose_victims(self.holders, excess)
        self.closed += len(victims)
        return victims

    def take_report(self, now: int) -> int:
        """Return how many closed connections to report now, 0 for none.

        Args:
            now: the current time in ms.
        """
        unreported = self.closed - self.reported_closed
        if not unreported or now < self.next_report_ms:
            return 0
        self.next_report_ms = now + EXCESS_REPORT_PERIOD_MS
        self.reported_closed = self.closed
        return unreported


def choose_victims(
    holders: Iterable[HeldConnection], excess: int
) -> list[HeldConnection]:
    """Return the connections to close, so that an amount is freed.

    The phase decides, then the time without progress. Connections that hold
    far less than the mean come last: closing them harms callers and frees
    next to nothing. One connection is always left, because what it holds is
    within the limits on a single request.

    Args:
        holders: the connections that hold bytes.
        excess: the bytes to free.
    """
    connections = list(holders)
    if not connections:
        return []
    mean = sum(c.held_bytes for c in connections) / len(connections)

    def order(connection: HeldConnection) -> tuple[bool, int, int, int]:
        held = connection.held_bytes
        return (
            held < SMALL_SHARE_OF_MEAN * mean,
            connection.phase,
            connection.progress_ms,
            -held,
        )

    victims: list[HeldConnection] = []
    for connection in sorted(connections, key=order)[:-1]:
        if excess <= 0:
            break
        victims.append(connection)
        excess -= connection.held_bytes
    return victims


__all__ = [
    "ConnectionBounds",
    "ConnectionMemory",
    "HeldConnection",
    "Phase",
    "choose_victims",
]
