"""Tests that guarded requests are one write, made only under the lease."""

import anyio
import pytest

from primrosehitch import errors
from primrosehitch import guarded

HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def call_listener(guard, response=HTTP_RESPONSE):
    """Make one call to a listener.

    Returns:
        The reply or the error of the call, and the listener's reads.
    """
    reads = []

    async def serve_once(stream):
        async with stream:
            try:
                reads.append(await stream.receive(100_000))
                await stream.send(response)
            except anyio.EndOfStream:
                return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve_once)
        try:
            reply = await guarded.call(
                guard, "POST", f"127.0.0.1:{port}", "/orders", {}, b"body"
            )
        except errors.PrimrosehitchError as exc:
            reply = exc
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    return reply, reads


def test_request_is_a_single_write_after_one_guard_check():
    guard_calls = []

    def guard():
        guard_calls.append(True)
        return True

    reply, reads = anyio.run(call_listener, guard)
    assert (reply.status, reply.body) == (200, b"ok")
    assert len(guard_calls) == len(reads) == 1
    assert reads[0].startswith(b"POST /orders")
    assert reads[0].endswith(b"body")


def test_no_bytes_are_sent_when_guard_refuses():
    reply, reads = anyio.run(call_listener, lambda: False)
    assert isinstance(reply, guarded.NotInChargeError)
    assert reads == []


@pytest.mark.parametrize(
    "response", [b"", b"HTTP/1.1 200 OK\r\n", b"junk\r\n"]
)
def test_missing_response_raises_link_error_naming_the_peer(response):
    reply, reads = anyio.run(call_listener, lambda: True, response)
    assert isinstance(reply, errors.LinkError)
    assert reply.peer.startswith("127.0.0.1:")
