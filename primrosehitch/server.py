"""The uvicorn HTTP server of the daemon and the simulated back ends.

The caller runs the server and stops it by setting ``should_exit``.
"""

import contextlib
from typing import Any
from typing import Iterator

import uvicorn

from primrosehitch import settings as settings_module

KEEP_ALIVE_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its caller."""

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
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        server_header=False,
        ws="none",
        backlog=LISTEN_BACKLOG,
    )
    return Server(config)


__all__ = ["Server", "make_server"]
