"""Links: proof, framing, faults."""

import socket
import struct

import anyio
from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import edge
from primrosehitch import errors
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
    return links_module.make_links(settings, 1, send), source


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
        challenge = await links_module.MessageReader(stream).one()
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


@given(
    st.lists(st.integers(0, 2**60), max_size=6),
    st.lists(st.integers(1, 30), max_size=40),
)
def test_any_split_gives_the_same_messages(numbers, cuts):
    sent = [messages.Refresh(n) for n in numbers]
    data = b"".join(links_module.pack(m) for m in sent)
    decoder = links_module.FrameDecoder()
    got = []
    while data:
        size = cuts.pop() if cuts else len(data)
        got += decoder.feed(data[:size])
        data = data[size:]
    assert got == sent


@given(st.binary(max_size=200))
def test_any_bytes_are_messages_or_a_link_error(data):
    try:
        links_module.FrameDecoder().feed(data)
    except errors.LinkError:
        return


def test_a_message_of_a_newer_release_is_passed_over():
    newer = links_module.FRAME.pack(3, 60000) + b"abc"
    known = links_module.pack(messages.Refresh(4))
    decoder = links_module.FrameDecoder()
    assert decoder.feed(newer + known) == [messages.Refresh(4)]


def test_a_link_is_up_soon_after_a_machine_without_power_is_back():
    """Pattern: all machines lose power and come back one by one.

    A listener with a full queue answers no handshake, as a machine
    without power does; the kernel would repeat its own after a second.
    """
    port = 25903

    async def body():
        one, _ = make("a", 25901, "b", port)
        two, _ = make("b", port, "a", 25901)
        dark = socket.socket()
        dark.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        dark.bind((HOST, port))
        dark.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for item in waiting:
            item.setblocking(False)
            item.connect_ex((HOST, port))
        async with anyio.create_task_group() as group:
            group.start_soon(one.run)
            await anyio.sleep(0.1)
            assert not one.up["b"]
            for item in (*waiting, dark):
                item.close()
            group.start_soon(two.run)
            began = anyio.current_time()
            with anyio.fail_after(5):
                while not one.up["b"]:
                    await anyio.sleep(0.01)
            took = anyio.current_time() - began
            group.cancel_scope.cancel()
        return took

    # Sooner than an edge gives up a control instance that is silent.
    assert anyio.run(body) < edge.CONTROL_TIMEOUT_MS / 1000
