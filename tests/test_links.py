"""Tests of links: authentication, framing and reconnection."""

import random
import socket
import struct

import anyio
from hypothesis import given
from hypothesis import strategies as st
import instances
import pytest
import slowlinks

from primrosehitch import controlselector
from primrosehitch import errors
from primrosehitch import links as links_module
from primrosehitch import messages
from primrosehitch import settings as settings_module

HOST = "127.0.0.1"


def create_links(name, port, other, other_port, secret=b"s" * 16):
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


async def send_five_messages(secret_b=b"s" * 16):
    """Send five messages from a to b and return what b received."""
    links_a, _ = create_links("a", 25901, "b", 25902)
    links_b, source = create_links("b", 25902, "a", 25901, secret_b)
    received = []
    async with anyio.create_task_group() as group:
        group.start_soon(links_a.run)
        group.start_soon(links_b.run)
        with anyio.move_on_after(2):
            while not links_a.connected["b"]:
                await anyio.sleep(0.02)
            for number in range(5):
                links_a.send("b", messages.Refresh(number))
            while len(received) < 5:
                received.append(await source.receive())
        group.cancel_scope.cancel()
    return received


def test_messages_arrive_in_order_with_their_sender():
    received = anyio.run(send_five_messages)
    assert [g.sender for g in received] == ["a"] * 5
    assert [g.message.nonce for g in received] == list(range(5))


def test_wrong_secret_is_rejected():
    assert anyio.run(send_five_messages, b"t" * 16) == []


async def send_raw_bytes(build_bytes):
    """Send raw bytes to a listener; return the message it accepts, if any.

    Args:
        build_bytes: returns the bytes to send in answer to a challenge.
    """
    links_b, source = create_links("b", 25903, "a", 25904)
    async with anyio.create_task_group() as group:
        group.start_soon(links_b.run)
        await anyio.sleep(0.1)
        stream = await anyio.connect_tcp(HOST, 25903)
        challenge = await links_module.MessageReader(stream).read_one()
        await stream.send(build_bytes(challenge))
        received = None
        with anyio.move_on_after(0.5):
            received = await source.receive()
        await stream.aclose()
        group.cancel_scope.cancel()
    return received


def hello_then_message(secret, sender, role=b"dial"):
    def build(challenge):
        nonce = b"n" * 16
        mac = links_module.compute_proof(
            secret, role, challenge.nonce, nonce, sender.encode(), b"b"
        )
        frame = links_module.encode_frame(
            messages.Hello(sender, 1, 1, nonce, mac)
        )
        return frame + links_module.encode_frame(messages.Refresh(7))

    return build


def test_authenticated_peer_is_accepted():
    received = anyio.run(send_raw_bytes, hello_then_message(b"s" * 16, "a"))
    assert received.message.nonce == 7


FORGED_HANDSHAKES = [
    hello_then_message(b"wrong", "a"),
    hello_then_message(b"s" * 16, "stranger"),
    hello_then_message(b"s" * 16, "a", b"accept"),
    lambda challenge: links_module.encode_frame(messages.Refresh(7)) * 2,
    lambda challenge: b"\xff" * 64,
    lambda challenge: struct.pack("<IH", 1 << 31, 1),
]


@pytest.mark.parametrize("data", FORGED_HANDSHAKES)
def test_forged_handshake_is_rejected(data):
    assert anyio.run(send_raw_bytes, data) is None


@given(
    st.lists(st.integers(0, 2**60), max_size=6),
    st.lists(st.integers(1, 30), max_size=40),
)
def test_read_boundaries_do_not_affect_decoding(numbers, read_sizes):
    sent = [messages.Refresh(n) for n in numbers]
    data = b"".join(links_module.encode_frame(m) for m in sent)
    decoder = links_module.FrameDecoder()
    decoded = []
    while data:
        size = read_sizes.pop() if read_sizes else len(data)
        decoded += decoder.feed(data[:size])
        data = data[size:]
    assert decoded == sent


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_link_error(data):
    try:
        links_module.FrameDecoder().feed(data)
    except errors.LinkError:
        return


# Guards against: a client that is no peer makes a process keep frames of up
# to 64 MB.
def test_large_frame_before_authentication_ends_the_connection():
    def build(challenge):
        size = links_module.MAX_HANDSHAKE_FRAME_BYTES + 1
        return links_module.FRAME_HEADER.pack(size, 1)

    assert anyio.run(send_raw_bytes, build) is None


async def open_more_handshakes_than_allowed():
    links_b, _ = create_links("b", 25903, "a", 25904)
    async with anyio.create_task_group() as group:
        group.start_soon(links_b.run)
        await anyio.sleep(0.1)
        streams = []
        for _ in range(4):
            streams.append(await anyio.connect_tcp(HOST, 25903))
            await streams[-1].receive()
        with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
            while True:
                await streams[0].receive()
        count = len(links_b.handshakes)
        with anyio.move_on_after(0.1) as still_open:
            await streams[3].receive()
        for stream in streams:
            await stream.aclose()
        group.cancel_scope.cancel()
    return count, still_open.cancelled_caught


# Guards against: clients that are no peers keep any number of connections
# with unread bytes.
def test_oldest_handshake_ends_if_there_are_too_many(monkeypatch):
    monkeypatch.setattr(links_module, "MAX_HANDSHAKES", 3)
    assert anyio.run(open_more_handshakes_than_allowed) == (3, True)


def test_message_of_unknown_kind_is_skipped():
    unknown = links_module.FRAME_HEADER.pack(3, 60000) + b"abc"
    known = links_module.encode_frame(messages.Refresh(4))
    decoder = links_module.FrameDecoder()
    assert decoder.feed(unknown + known) == [messages.Refresh(4)]


def test_link_reconnects_soon_after_peer_regains_power():
    """Checks that a dial to a machine without power is retried early.

    The failure occurs when all machines lose power and restart one by one.
    A listener whose accept queue is full stands in for such a machine: both
    leave a SYN unanswered, and the kernel retransmits it only after a
    second.
    """
    port = 25903

    async def body():
        links_a, _ = create_links("a", 25901, "b", port)
        links_b, _ = create_links("b", port, "a", 25901)
        full_listener = socket.socket()
        full_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full_listener.bind((HOST, port))
        full_listener.listen(0)
        queue_fillers = [socket.socket() for _ in range(4)]
        for item in queue_fillers:
            item.setblocking(False)
            item.connect_ex((HOST, port))
        async with anyio.create_task_group() as group:
            group.start_soon(links_a.run)
            await anyio.sleep(0.1)
            assert not links_a.connected["b"]
            for item in (*queue_fillers, full_listener):
                item.close()
            group.start_soon(links_b.run)
            started_at = anyio.current_time()
            with anyio.fail_after(5):
                while not links_a.connected["b"]:
                    await anyio.sleep(0.01)
            elapsed_s = anyio.current_time() - started_at
            group.cancel_scope.cancel()
        return elapsed_s

    # The link must be up before an edge abandons a silent control instance.
    assert anyio.run(body) < controlselector.CONTROL_TIMEOUT_MS / 1000


def test_possible_loss_of_messages_is_reported():
    """A full queue drops messages, a broken connection what it had taken."""
    lost = []

    async def body():
        links_a, _ = create_links("a", 25911, "b", 25912)
        links_b, _ = create_links("b", 25912, "a", 25911)
        # Who is told of a broken connection finds the link down.
        links_a.on_loss = lambda peer: lost.append(
            (peer, links_a.is_connected(peer))
        )
        async with anyio.create_task_group() as group:
            group.start_soon(links_a.run)
            async with anyio.create_task_group() as group_b:
                group_b.start_soon(links_b.run)
                await instances.wait_until(
                    lambda: links_a.is_connected("b"), 2
                )
                while links_a.send("b", messages.Refresh(1)):
                    assert lost == []
                assert lost == [("b", True)]
                group_b.cancel_scope.cancel()
            await instances.wait_until(lambda: len(lost) > 1, 2)
            assert lost == [("b", True), ("b", False)]
            assert not links_a.is_connected("b")
            group.cancel_scope.cancel()

    anyio.run(body)


# Guards against: a peer that was removed at once was dialed all the same,
# and the connection ended the instance.
def test_peer_can_be_removed_as_soon_as_it_is_added():
    async def body():
        links_a, _ = create_links("a", 25921, "b", 25922)
        links_b, source = create_links("b", 25922, "a", 25921)
        peer = links_a.peers["b"]
        async with anyio.create_task_group() as group:
            group.start_soon(links_b.run)
            group.start_soon(links_a.run)
            await anyio.sleep(0.2)
            links_a.remove("b")
            links_a.add(peer)
            links_a.remove("b")
            await anyio.sleep(0.3)
            assert not links_a.is_connected("b")
            links_a.add(peer)
            await instances.wait_until(
                lambda: links_a.send("b", messages.Refresh(7)), 2
            )
            with anyio.fail_after(2):
                assert (await source.receive()).message.nonce == 7
            group.cancel_scope.cancel()

    anyio.run(body)


def test_message_for_a_peer_without_a_link_is_not_encoded():
    links_a, _ = create_links("a", 25931, "b", 25932)
    assert not links_a.send("b", ("no message of the schema",))


# Guards against: one message that no schema carries ends the instance.
def test_message_that_cannot_be_encoded_costs_only_itself():
    unreadable = messages.EndpointRecord(id="\ud83d")
    update = messages.EndpointUpdate((unreadable,), False)

    async def body():
        links_a, _ = create_links("a", 25941, "b", 25942)
        links_b, source = create_links("b", 25942, "a", 25941)
        async with anyio.create_task_group() as group:
            group.start_soon(links_b.run)
            group.start_soon(links_a.run)
            await instances.wait_until(lambda: links_a.is_connected("b"), 2)
            # No repetition helps, so none is asked for.
            assert links_a.send("b", update)
            links_a.multicast(["b"], update)
            links_a.broadcast(update)
            links_a.broadcast(messages.Refresh(7), update)
            assert links_a.send("b", messages.Refresh(8))
            with anyio.fail_after(2):
                assert (await source.receive()).message.nonce == 8
            group.cancel_scope.cancel()

    anyio.run(body)


# Guards against: a peer that answers with what is no message ends the
# instance that dialed it.
def test_malformed_answer_of_a_peer_ends_only_the_link():
    async def body():
        links_a, _ = create_links("a", 25951, "b", 25952)
        links_b, _ = create_links("b", 25952, "a", 25951)
        sound, garbage = (
            links_module.PONG_FRAME,
            b"\xff" * links_module.FRAME_HEADER.size,
        )
        losses = []
        links_a.on_loss = losses.append
        async with anyio.create_task_group() as group:
            group.start_soon(links_b.run)
            links_module.PONG_FRAME = garbage
            try:
                group.start_soon(links_a.run)
                await instances.wait_until(lambda: losses, 3)
            finally:
                links_module.PONG_FRAME = sound
            await instances.wait_until(lambda: links_a.is_connected("b"), 3)
            group.cancel_scope.cancel()

    anyio.run(body)


class SilentStream:
    """A connection on which nothing ever comes."""

    def __init__(self):
        self.socket = socket.socket()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self.socket.close()

    def extra(self, attribute):
        assert attribute is anyio.abc.SocketAttribute.raw_socket
        return self.socket

    async def receive(self, max_bytes=1):
        await anyio.sleep_forever()

    async def send(self, data):
        pass


# Guards against: an edge that a control instance dials, and that uses another
# one, removes the link back as it comes up, which ended the process.
def test_peer_that_is_removed_as_its_link_comes_up_ends_no_task(monkeypatch):
    async def connect_tcp(*address):
        await anyio.sleep(0)
        return SilentStream()

    async def authenticate(links, *arguments):
        await anyio.sleep(0)

    monkeypatch.setattr(links_module.anyio, "connect_tcp", connect_tcp)
    monkeypatch.setattr(
        links_module.Links, "_authenticate_to_peer", authenticate
    )

    async def body():
        send, _ = anyio.create_memory_object_stream(1)
        own = settings_module.Address(HOST, 1)
        links = links_module.Links(str(own), own, b"", 1, send, True)
        removed = []

        def remove(peer):
            removed.append(peer)
            links.remove(peer)

        links.on_up = remove
        async with anyio.create_task_group() as group:
            links.task_group = group
            address = settings_module.Address(HOST, 2)
            links.add(links_module.LinkPeer(str(address), address))
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        assert removed == [str(address)]
        assert not links.peers and not links.connected

    instances.run_test(body)


def large_message(size):
    """Return a message that takes about so many bytes on a link."""
    return messages.Table(1, random.Random(1).randbytes(size))


# Guards against: a message that takes longer to write than a link may stay
# silent ends the link, and again after each attempt.
def test_large_message_arrives_over_a_slow_link():
    size = 1 << 20

    async def body():
        near = settings_module.Address(HOST, 25942)
        far = settings_module.Address(HOST, 25943)
        slow = slowlinks.SlowLink(size / (2 * links_module.WRITE_TIMEOUT_S))
        links_a, _ = create_links("a", 25941, "b", near.port)
        links_b, source = create_links("b", far.port, "a", 25941)
        async with anyio.create_task_group() as group:
            await group.start(slowlinks.serve, slow, near, far)
            group.start_soon(links_b.run)
            group.start_soon(links_a.run)
            await instances.wait_until(lambda: links_a.is_connected("b"), 2)
            links_a.on_loss = lambda peer: pytest.fail("the link ended")
            assert links_a.send("b", large_message(size))
            with anyio.fail_after(4 * links_module.WRITE_TIMEOUT_S):
                received = await source.receive()
            assert received.message == large_message(size)
            links_a.on_loss = lambda peer: None
            group.cancel_scope.cancel()

    anyio.run(body)


# Guards against: messages that wait for a peer fill the memory, as a queue is
# bounded in their number only.
def test_messages_that_wait_for_a_peer_are_bounded_in_bytes():
    lost = []

    async def body():
        links_a, _ = create_links("a", 25951, "b", 25952)
        links_b, _ = create_links("b", 25952, "a", 25951)
        links_a.on_loss = lost.append
        async with anyio.create_task_group() as group:
            group.start_soon(links_b.run)
            group.start_soon(links_a.run)
            await instances.wait_until(lambda: links_a.is_connected("b"), 2)
            while links_a.send("b", large_message(1 << 20)):
                assert not lost
            assert lost == ["b"]
            queued_bytes = links_a.queued_bytes["b"]
            assert queued_bytes <= links_module.MAX_QUEUED_BYTES
            # One that exceeds the limit by itself is sent alone.
            await instances.wait_until(lambda: not links_a.queued_bytes["b"])
            assert links_a.send("b", large_message(16 << 20))
            await instances.wait_until(lambda: not links_a.queued_bytes["b"])
            group.cancel_scope.cancel()

    anyio.run(body)
