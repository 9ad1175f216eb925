"""How much memory the process may use.

The settings say it. Without a setting it is the machine's memory, or the
process's limit on data if that is smaller.
"""

import pathlib
import resource

from primrosehitch import connectionmemory
from primrosehitch import events
from primrosehitch import instance as instance_module
from primrosehitch import metrics

MEMINFO = pathlib.Path("/proc/meminfo")
MEGABYTE = 1_000_000
# Where neither the settings nor the system say how much memory there is.
FALLBACK_BYTES = 160 * MEGABYTE


def available_bytes(memory_mb: float) -> int:
    """Return the memory that the process may use, in bytes.

    Args:
        memory_mb: the setting in MB, 0 if there is none.
    """
    if memory_mb:
        return int(memory_mb * MEGABYTE)
    sizes = [_machine_bytes()]
    limit, _ = resource.getrlimit(resource.RLIMIT_DATA)
    if limit != resource.RLIM_INFINITY:
        sizes.append(limit)
    return min(sizes)


def _machine_bytes() -> int:
    """Return the memory of the machine in bytes."""
    try:
        for line in MEMINFO.read_text().splitlines():
            name, _, value = line.partition(":")
            if name == "MemTotal":
                return int(value.split()[0]) * 1024
    except (OSError, ValueError, IndexError) as exc:
        events.emit(events.TASK_FAILED, task="read meminfo", error=repr(exc))
    return FALLBACK_BYTES


def make_connection_memory(
    memory_mb: float = 0,
    clients: instance_module.ClientBounds = instance_module.ClientBounds(),
) -> connectionmemory.ConnectionMemory:
    """Return the count of what the connections of a process hold.

    Args:
        memory_mb: the memory of the VM in MB, 0 if the system tells it.
        clients: the bounds.
    """
    available = available_bytes(memory_mb)
    memory = connectionmemory.ConnectionMemory(
        connectionmemory.ConnectionBounds(
            memory_bytes=int(clients.memory_share * available),
            unread_timeout_ms=clients.unread_timeout_ms,
            backlog_bytes=clients.backlog_bytes,
            write_buffer_bytes=clients.write_buffer_bytes,
            socket_buffer_bytes=clients.socket_buffer_bytes,
        )
    )
    metrics.CONNECTION_LIMIT_BYTES.set(memory.limit_bytes)
    return memory


__all__ = ["available_bytes", "make_connection_memory"]
