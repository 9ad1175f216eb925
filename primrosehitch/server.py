"""The uvicorn HTTP server of the daemon and the simulated back ends.

The caller runs the server and stops it by setting ``should_exit``.
"""

import contextlib
import functools
import socket
from typing import Any
from typing import Iterator

import uvicorn

from primrosehitch import connectionmemory
from primrosehitch import listening
from primrosehitch import pacedprotocol
from primrosehitch import processmemory
from primrosehitch import settings as settings_module

KEEP_ALIVE_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its caller.

    Args:
        config: the configuration.
        memory: counts what the server's connections hold.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        memory: connectionmemory.ConnectionMemory,
    ):
        super().__init__(config)
        self.memory = memory

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Listen, with bounded buffers of the kernel."""
        await super().startup(sockets)
        for server in getattr(self, "servers", ()):
            listening.set_buffer_sizes(
                server.sockets, self.memory.bounds.socket_buffer_bytes
            )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the caller handles signals."""
        yield


def make_server(app: Any, address: settings_module.Address) -> Server:
    """Return a server for an ASGI application, not yet started.

    Args:
        app: the ASGI application.
        address: the address to listen on.
    """
    memory = processmemory.make_connection_memory()
    protocol_class: Any = functools.partial(
        pacedprotocol.PacedProtocol, memory
    )
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        log_config=None,
        access_log=False,
        lifespan="off",
        interface="asgi3",
        proxy_headers=False,
        http=protocol_class,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        server_header=False,
        ws="none",
        backlog=LISTEN_BACKLOG,
    )
    return Server(config, memory)


__all__ = ["Server", "make_server"]
