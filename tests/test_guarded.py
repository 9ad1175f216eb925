"""An order leaves in one write, and only while the lease holds."""

import anyio
import pytest

from primrosehitch import errors
from primrosehitch import guarded

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def exchange(guard, answer=ANSWER):
    """Make one call to a listener; return the reply and its reads."""
    reads = []

    async def serve(stream):
        async with stream:
            try:
                reads.append(await stream.receive(100_000))
                await stream.send(answer)
            except anyio.EndOfStream:
                return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        try:
            reply = await guarded.call(
                guard, "POST", f"127.0.0.1:{port}", "/orders", {}, b"body"
            )
        except errors.PrimrosehitchError as exc:
            reply = exc
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    return reply, reads


def test_an_order_is_one_write_after_asking_the_guard():
    asked = []

    def guard():
        asked.append(True)
        return True

    reply, reads = anyio.run(exchange, guard)
    assert (reply.status, reply.body) == (200, b"ok")
    assert len(asked) == len(reads) == 1
    assert reads[0].startswith(b"POST /orders")
    assert reads[0].endswith(b"body")


def test_nothing_leaves_when_the_guard_says_no():
    reply, reads = anyio.run(exchange, lambda: False)
    assert isinstance(reply, guarded.NotInChargeError)
    assert reads == []


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\n", b"junk\r\n"])
def test_a_lost_answer_is_an_error_that_names_the_peer(answer):
    reply, reads = anyio.run(exchange, lambda: True, answer)
    assert isinstance(reply, errors.LinkError)
    assert reply.peer.startswith("127.0.0.1:")
