"""Links: proof, framing, faults."""

import struct

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream
import pytest

from primrosehitch import links as links_module
from primrosehitch import messages
from primrosehitch import settings as settings_module

HOST = "127.0.0.1"


def make(name, port, other, other_port, secret=b"s" * 16):
    address = settings_module.Address(HOST, port)
    document = {
        "name": name,
        "domain": "za",
        "http": f"{HOST}:1",
        "peer": str(address),
        "secret": secret.decode(),
        "operator_keys": ["0" * 64],
        "peers": [
            {
                "name": other,
                "domain": "zb",
                "address": f"{HOST}:{other_port}",
                "http": f"{HOST}:1",
            }
        ],
    }
    settings = settings_module.parse(document, name)
    send, source = anyio.create_memory_object_stream(100)
    return links_module.Links(settings, 1, send), source


async def exchange(secret_b=b"s" * 16):
    """Send from a to b; return what b got."""
    one, _ = make("a", 25901, "b", 25902)
    two, source = make("b", 25902, "a", 25901, secret_b)
    got = []
    async with anyio.create_task_group() as group:
        group.start_soon(one.run)
        group.start_soon(two.run)
        with anyio.move_on_after(2):
            while not one.up["b"]:
                await anyio.sleep(0.02)
            for number in range(5):
                one.send("b", messages.Refresh(number))
            while len(got) < 5:
                got.append(await source.receive())
        group.cancel_scope.cancel()
    return got


def test_messages_come_in_order_with_their_sender():
    got = anyio.run(exchange)
    assert [g.sender for g in got] == ["a"] * 5
    assert [g.message.nonce for g in got] == list(range(5))


def test_a_wrong_secret_opens_no_link():
    assert anyio.run(exchange, b"t" * 16) == []


async def raw(data):
    """Send raw bytes to a listener; return whether a message came."""
    two, source = make("b", 25903, "a", 25904)
    async with anyio.create_task_group() as group:
        group.start_soon(two.run)
        await anyio.sleep(0.1)
        stream = await anyio.connect_tcp(HOST, 25903)
        reader = BufferedByteReceiveStream(stream)
        challenge = await links_module.read_message(reader)
        await stream.send(data(challenge))
        got = None
        with anyio.move_on_after(0.5):
            got = await source.receive()
        await stream.aclose()
        group.cancel_scope.cancel()
    return got


def hello(secret, sender, role=b"dial"):
    def build(challenge):
        nonce = b"n" * 16
        mac = links_module.proof(
            secret, role, challenge.nonce, nonce, sender.encode(), b"b"
        )
        frame = links_module.pack(messages.Hello(sender, 1, 1, nonce, mac))
        return frame + links_module.pack(messages.Refresh(7))

    return build


def test_a_proven_peer_is_heard():
    got = anyio.run(raw, hello(b"s" * 16, "a"))
    assert got.message.nonce == 7


FORGED = [
    hello(b"wrong", "a"),
    hello(b"s" * 16, "stranger"),
    hello(b"s" * 16, "a", b"accept"),
    lambda challenge: links_module.pack(messages.Refresh(7)) * 2,
    lambda challenge: b"\xff" * 64,
    lambda challenge: struct.pack("<IH", 1 << 31, 1),
]


@pytest.mark.parametrize("data", FORGED)
def test_a_forged_greeting_is_not_heard(data):
    assert anyio.run(raw, data) is None
