"""Listeners outlast an address in use and a lack of descriptors."""

import errno
import socket

import anyio
import pytest

from primrosehitch import httpserver
from primrosehitch import listening
from primrosehitch import routes
from primrosehitch import settings

HOST = "127.0.0.1"


async def answer(request, responder):
    responder.respond(200, [], b"")


# Guards against: a process that starts while its address is still in use
# ends by itself.
def test_server_waits_for_an_address_in_use():
    async def body():
        holder = socket.create_server((HOST, 0))
        address = settings.Address(HOST, holder.getsockname()[1])
        server = httpserver.Server(answer, routes.ClientLimits())
        async with anyio.create_task_group() as group:
            group.start_soon(server.run, address)
            await anyio.sleep(3 * listening.BIND_RETRY_S)
            assert server.listener is None
            holder.close()
            with anyio.fail_after(listening.BIND_TIMEOUT_S):
                while server.listener is None:
                    await anyio.sleep(0.01)
            stream = await anyio.connect_tcp(*address)
            await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(body)


def test_address_that_stays_in_use_is_an_error_with_the_address():
    async def body():
        with socket.create_server((HOST, 0)) as holder:
            address = settings.Address(HOST, holder.getsockname()[1])
            with pytest.raises(listening.ListenError) as caught:
                await listening.bind(
                    address,
                    lambda: anyio.create_tcp_listener(
                        local_host=address.host, local_port=address.port
                    ),
                    timeout_s=0.25,
                )
            assert caught.value.peer == str(address)
            elsewhere = settings.Address("192.0.2.1", 1)
            with pytest.raises(listening.ListenError):
                await listening.bind(
                    elsewhere,
                    lambda: anyio.create_tcp_listener(
                        local_host=elsewhere.host, local_port=elsewhere.port
                    ),
                )

    anyio.run(body)


class FailingListener:
    """Lacks descriptors for some connections, then accepts one."""

    def __init__(self):
        self.failures = 2

    async def serve(self, handler, group):
        while True:
            if not self.failures:
                group.start_soon(handler, "connection")
                await anyio.sleep_forever()
            self.failures -= 1
            lacking = OSError(errno.EMFILE, "Too many open files")
            raise ExceptionGroup("accept", [lacking])


# Guards against: a process that has no descriptor left ends by itself.
def test_listener_goes_on_after_a_lack_of_descriptors():
    served = []

    async def body():
        async def handle(stream):
            served.append(stream)
            group.cancel_scope.cancel()

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                await listening.serve(FailingListener(), handle, group)

    anyio.run(body)
    assert served == ["connection"]
