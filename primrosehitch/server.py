"""HTTP server for ASGI applications, based on uvicorn.

The daemon and the test endpoints use it with the same configuration.
"""

import contextlib
from typing import Any
from typing import Iterator

import uvicorn

from primrosehitch import settings as settings_module

KEEP_ALIVE_S = 30
BACKLOG = 2048


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_server(app: Any, address: settings_module.Address) -> Server:
    """Return a server for an ASGI application, not started yet.

    Args:
        app: the ASGI application.
        address: the address to listen on.
    """
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        log_config=None,
        access_log=False,
        lifespan="off",
        interface="asgi3",
        proxy_headers=False,
        http="httptools",
        timeout_keep_alive=KEEP_ALIVE_S,
        server_header=False,
        ws="none",
        backlog=BACKLOG,
    )
    return Server(config)


__all__ = ["Server", "make_server"]
