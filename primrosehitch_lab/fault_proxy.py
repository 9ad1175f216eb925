"""A loopback proxy before an endpoint, for faults of the path to it."""

import enum
import socket
import struct

import anyio
import anyio.abc

# Closes a connection with a reset instead of an orderly end.
RESET = struct.pack("ii", 1, 0)
TORN = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Mode(enum.Enum):
    """What happens to bytes on the way."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"
    REFUSE = "refuse"


class FaultProxy:
    """Passes bytes on to an endpoint, or does not.

    Bytes that are held while the path is silent arrive once it heals, as
    they do where a network sends them again.

    Attributes:
        mode: what happens now.
        delay_s: how late bytes arrive in the mode of that name.
    """

    def __init__(self) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.target = ""
        self.port = 0
        self.changed = anyio.Event()
        self.scopes: set[anyio.CancelScope] = set()

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Let bytes fare otherwise from now on."""
        self.mode, self.delay_s = mode, delay_s
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for scope in list(self.scopes):
            scope.cancel()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        raw = near.extra(anyio.abc.SocketAttribute.raw_socket)
        with anyio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                if self.mode is not Mode.REFUSE:
                    await self._join(near)
            except* TORN:
                # Either end closed; the other one is closed with it.
                pass
            finally:
                self.scopes.discard(scope)
        resets = scope.cancelled_caught or self.mode is Mode.REFUSE
        # The socket is closed as soon as its client has reset it.
        if resets and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(near)

    async def _join(self, near: anyio.abc.SocketStream) -> None:
        host, _, port = self.target.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as far:
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, near, far, False)
                await self._pump(far, near, True)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        back: bool,
    ) -> None:
        while True:
            data = await source.receive()
            while self._holds(back):
                await self.changed.wait()
            if self.mode is Mode.DELAY:
                await anyio.sleep(self.delay_s)
            await sink.send(data)

    def _holds(self, back: bool) -> bool:
        lost = back and self.mode is Mode.ANSWERS_LOST
        return lost or self.mode is Mode.SILENT


__all__ = ["FaultProxy", "Mode"]
