"""The HTTP server: uvicorn as the daemon and the stand-ins use it."""

import contextlib
from typing import Any
from typing import Iterator

import uvicorn

from primrosehitch import settings as settings_module

KEEP_ALIVE_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Take no signals."""
        yield


def make_server(app: Any, address: settings_module.Address) -> Server:
    """Return a server of an ASGI application, not yet started.

    Args:
        app: the application.
        address: where it listens.
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
