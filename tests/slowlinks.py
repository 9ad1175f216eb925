"""Test helper: edges behind links of a given bandwidth.

An edge listens behind a proxy that carries a number of bytes a second from
all control instances together, and holds little of what it was sent.
"""

import socket

import anyio
import anyio.abc
import instances

PROXIED_PORT = 26005
CHUNK_BYTES = 16 * 1024
BUFFER_BYTES = 16 * 1024


class SlowLink:
    """The link of one edge, as control instances see it.

    Args:
        bytes_per_s: how much it carries to the edge.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.lock = anyio.Lock()

    async def carry(self, source, sink):
        """Pass bytes on at the rate that all connections share."""
        while True:
            data = await source.receive(CHUNK_BYTES)
            async with self.lock:
                await anyio.sleep(len(data) / self.bytes_per_s)
            await sink.send(data)

    async def join(self, near, address):
        """Pass bytes on between a control instance and the edge."""
        try:
            async with near, await anyio.connect_tcp(*address) as far:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.carry, near, far)
                    while True:
                        await near.send(await far.receive())
        except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            # Either end closed; the other one is closed with it.
            pass


async def serve(link, near, far, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Carry connections from one address to another until cancelled."""
    async with await anyio.create_tcp_listener(
        local_host=near.host, local_port=near.port
    ) as listener:
        raw_socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        task_status.started()
        await listener.serve(lambda stream: link.join(stream, far))


async def start_edge(fleet, number, bytes_per_s):
    """Start an edge of a fleet behind a link of some bytes a second."""
    near = instances.address(number, instances.LINK_PORT)
    far = instances.address(number, PROXIED_PORT)
    await fleet.group.start(serve, SlowLink(bytes_per_s), near, far)
    fleet.start_edge(number)
    fleet.edges[number].links.listen_address = far
