"""Authenticated one-way message links between instances over TCP.

An instance dials every peer and sends only on the connections it dialed;
it receives only on the connections that peers dialed. In the handshake
both ends prove that they know the deployment secret by an HMAC over both
nonces. Sending never blocks: a message for a full queue is dropped, so
every protocol on top of links must tolerate message loss.

The dialing end sends a ping at a fixed interval and closes the connection
if no pong arrives in time, because a network path can fail silently,
without a TCP reset.

The peers are either listed in the settings or join dynamically. With
dynamic peers, an instance's name is the address its links listen on, and
any instance that dials and proves knowledge of the secret becomes a peer.
"""

import hashlib
import hmac
import os
import socket
import struct
from typing import Callable
from typing import Iterable
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

from primrosehitch import clock
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import instance as instance_module
from primrosehitch import listening
from primrosehitch import messages
from primrosehitch import metrics
from primrosehitch import settings as settings_module

PROTOCOL_VERSION = 1
FRAME_HEADER = struct.Struct("<IH")
MAX_FRAME_BYTES = 64 << 20
# Until a peer has proved that it knows the secret, its frames and each read
# are at most this large, and at most so many connections are kept: 194 edges
# may dial a control instance that has just started.
MAX_HANDSHAKE_FRAME_BYTES = 4096
MAX_HANDSHAKES = 256
MAX_READ_BYTES = 65536
MAX_QUEUED_MESSAGES = 4096
# Room for several route tables, which replicas send each other whole.
MAX_QUEUED_BYTES = 8 << 20
HANDSHAKE_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 5.0
RECONNECT_DELAY_S = 0.1
MAX_BATCH_MESSAGES = 64
# A write that makes progress is no sign of a broken link, however large the
# message is: the time limit holds for each part of this size.
MAX_WRITE_BYTES = 65536
# The kernel holds no more for a link, so that writes show its progress.
SEND_BUFFER_BYTES = 131072
PING_INTERVAL_S = 0.6
# Shorter than the election timeout, so that a broken link is replaced
# before an election starts.
PONG_TIMEOUT_S = 1.4
# TCP handshakes within a deployment take less than this. A machine without
# power does not answer a SYN, and the kernel retransmits it only after one
# second. Giving up early and dialing again reaches the machine sooner after
# it restarts.
CONNECT_TIMEOUT_S = 0.3
EXCESS_REPORT_PERIOD_MS = 1000


FrameQueue = tuple[
    MemoryObjectSendStream[bytes], MemoryObjectReceiveStream[bytes]
]


class Received(NamedTuple):
    """A received message and the name of the instance that sent it."""

    sender: str
    message: tuple


def encode_frame(message: tuple) -> bytes:
    """Return a message as a frame: body length, kind number, body."""
    body = messages.encode(message)
    return FRAME_HEADER.pack(len(body), messages.NUMBERS[type(message)]) + body


def _encode_or_drop(message: tuple) -> bytes | None:
    """Return a message as a frame, or None if it cannot be encoded."""
    try:
        return encode_frame(message)
    except errors.MessageError as exc:
        events.emit(events.MESSAGE_DROPPED, kind=exc.kind, error=str(exc))
        return None


class LinkPeer(NamedTuple):
    """The name of a peer and the address its links listen on."""

    name: str
    address: settings_module.Address


PONG_FRAME = encode_frame(messages.Pong())


class FrameDecoder:
    """Splits the byte stream of a link into messages.

    Args:
        max_frame_bytes: the largest accepted message, without its header.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.partial = bytearray()

    def feed(self, data: bytes) -> list[tuple]:
        """Add received bytes and return the messages they complete.

        A message of an unknown kind is skipped, because a peer may run a
        newer release.

        Args:
            data: the bytes of one read.

        Raises:
            LinkError: A frame is too large or cannot be decoded.
        """
        received = self.partial
        received += data
        offset = 0
        decoded = []
        while offset + FRAME_HEADER.size <= len(received):
            size, kind_number = FRAME_HEADER.unpack_from(received, offset)
            if size > self.max_frame_bytes:
                raise errors.LinkError(
                    f"frame of {size} bytes is too large", "link.read"
                )
            end = offset + FRAME_HEADER.size + size
            if end > len(received):
                break
            kind = messages.KINDS.get(kind_number)
            if kind is not None:
                body = bytes(received[offset + FRAME_HEADER.size : end])
                decoded.append(_decode_body(kind, body))
            offset = end
        del received[:offset]
        return decoded


def _decode_body(kind: type, body: bytes) -> tuple:
    try:
        return messages.decode(kind, body)
    except ValueError as exc:
        raise errors.LinkError(str(exc), "link.read") from exc


class MessageReader:
    """Reads messages from one connection and buffers the excess.

    Args:
        stream: the connection, whose peer is not authenticated yet.
    """

    def __init__(self, stream: anyio.abc.SocketStream):
        self.stream = stream
        self.decoder = FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES)
        self.read_bytes = MAX_HANDSHAKE_FRAME_BYTES
        self.unread: list[tuple] = []

    def accept_large_frames(self) -> None:
        """Accept large messages; the peer is authenticated."""
        self.decoder.max_frame_bytes = MAX_FRAME_BYTES
        self.read_bytes = MAX_READ_BYTES

    async def read_available(self) -> list[tuple]:
        """Return the buffered messages, or else those of the next read.

        The list is empty if the read completes no message.

        Raises:
            LinkError: A frame is too large or cannot be decoded.
            EndOfStream: The peer closed the connection.
        """
        available, self.unread = self.unread, []
        if available:
            return available
        return self.decoder.feed(await self.stream.receive(self.read_bytes))

    async def read_one(self) -> tuple:
        """Return the next message; later ones of the read stay buffered."""
        while not self.unread:
            self.unread = await self.read_available()
        return self.unread.pop(0)


def compute_proof(secret: bytes, role: bytes, *parts: bytes) -> bytes:
    """Return the HMAC with which one end proves that it has the secret.

    Args:
        secret: the deployment secret.
        role: the end that computes the proof, ``dial`` or ``accept``, so
            that neither end can replay the other's proof.
        *parts: the nonces and names that the proof covers.
    """
    mac = hmac.new(secret, role, hashlib.sha256)
    for part in parts:
        mac.update(struct.pack("<I", len(part)) + part)
    return mac.digest()


class Links:
    """All links of one instance.

    Args:
        name: the instance's name.
        listen_address: the address that peers dial.
        secret: the deployment secret.
        incarnation: a number that rises with each start of the instance.
        inbox: the stream that receives the messages of all peers.
        accepts_new_peers: whether any instance that proves knowledge of the
            secret becomes a peer.

    Attributes:
        on_up: called with a peer's name when a link to it is up.
        handshakes: the dialed connections whose peers are not authenticated
            yet, by what cancels them, the oldest first.
        on_loss: called with a peer's name when messages for it may be
            lost, because its connection ended or its queue is full.
    """

    def __init__(
        self,
        name: str,
        listen_address: settings_module.Address,
        secret: bytes,
        incarnation: int,
        inbox: MemoryObjectSendStream[Received],
        accepts_new_peers: bool = False,
    ):
        self.name = name
        self.listen_address = listen_address
        self.secret = secret
        self.incarnation = incarnation
        self.inbox = inbox
        self.accepts_new_peers = accepts_new_peers
        self.sent_messages = 0
        self.sent_bytes = 0
        self.peers: dict[str, LinkPeer] = {}
        self.connected: dict[str, bool] = {}
        self.queues: dict[str, FrameQueue] = {}
        self.queued_bytes: dict[str, int] = {}
        # When a part of a large message was last written, by peer.
        self.part_written_ms: dict[str, int] = {}
        self.dial_scopes: dict[str, anyio.CancelScope] = {}
        self.on_up: Callable[[str], None] = _ignore
        self.on_loss: Callable[[str], None] = _ignore
        self.task_group: anyio.abc.TaskGroup | None = None
        self.handshakes: dict[anyio.CancelScope, None] = {}
        self.next_excess_report_ms = 0

    def add(self, peer: LinkPeer) -> None:
        """Add a peer and keep a link to it from now on."""
        if peer.name in self.peers or peer.name == self.name:
            return
        self.peers[peer.name] = peer
        self.connected[peer.name] = False
        self.queues[peer.name] = anyio.create_memory_object_stream[bytes](
            MAX_QUEUED_MESSAGES
        )
        self.queued_bytes[peer.name] = 0
        if self.task_group is not None:
            self._start_dialing(peer, self.task_group)

    def remove(self, name: str) -> None:
        """Remove a peer and close the link to it."""
        self.peers.pop(name, None)
        self.connected.pop(name, None)
        self.queues.pop(name, None)
        self._count_queued(name, -self.queued_bytes.get(name, 0))
        self.queued_bytes.pop(name, None)
        self.part_written_ms.pop(name, None)
        scope = self.dial_scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def is_connected(self, name: str) -> bool:
        """Return whether messages for a peer are sent at present."""
        return self.connected.get(name, False)

    def send(self, target: str, message: tuple) -> bool:
        """Queue a message for a peer.

        Returns:
            Whether it need not be sent again. It is dropped if the peer is
            unknown or disconnected, or if its queue is full. One that can't
            be encoded is dropped for good.
        """
        if not self.is_connected(target):
            return False
        frame = _encode_or_drop(message)
        return frame is None or self.send_frame(target, frame)

    def send_frame(self, target: str, frame: bytes) -> bool:
        """Queue an encoded message for a peer.

        Returns:
            Whether it was queued; see `send`.
        """
        queue = self.queues.get(target)
        if queue is None or not self.is_connected(target):
            return False
        queued_bytes = self.queued_bytes[target]
        if queued_bytes and queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.on_loss(target)
            return False
        try:
            queue[0].send_nowait(frame)
        except anyio.WouldBlock:
            self.on_loss(target)
            return False
        self.sent_messages += 1
        self.sent_bytes += len(frame)
        self._count_queued(target, len(frame))
        return True

    def _count_queued(self, peer: str, change: int) -> None:
        """Count bytes that wait for a link or are being written to it."""
        if peer in self.queued_bytes:
            self.queued_bytes[peer] += change
            metrics.LINK_QUEUED_BYTES.inc(change)

    def multicast(self, targets: Iterable[str], message: tuple) -> None:
        """Encode a message once and queue it for several peers."""
        frame = _encode_or_drop(message)
        if frame is None:
            return
        for target in targets:
            self.send_frame(target, frame)

    def broadcast(
        self,
        message: tuple,
        outside_message: tuple | None = None,
        cell: frozenset[str] | set[str] = frozenset(),
    ) -> None:
        """Queue a message for all peers.

        Args:
            message: the message.
            outside_message: the message that peers outside the cell get
                instead; None to send the same message to all.
            cell: the names of the peers in the cell.
        """
        frame = _encode_or_drop(message)
        outside_frame = (
            frame
            if outside_message is None
            else _encode_or_drop(outside_message)
        )
        if frame is None or outside_frame is None:
            return
        for target in self.queues:
            gets_message = outside_message is None or target in cell
            self.send_frame(target, frame if gets_message else outside_frame)

    async def run(self) -> None:
        """Accept connections and dial all peers until cancelled."""
        host, port = self.listen_address

        async def open_listener() -> anyio.abc.Listener[
            anyio.abc.SocketStream
        ]:
            return await anyio.create_tcp_listener(
                local_host=host, local_port=port
            )

        listener = await listening.bind(self.listen_address, open_listener)
        async with listener, anyio.create_task_group() as task_group:
            self.task_group = task_group
            for peer in self.peers.values():
                self._start_dialing(peer, task_group)
            await listening.serve(listener, self._serve_connection, task_group)

    def _start_dialing(
        self, peer: LinkPeer, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Start the task that keeps a link to a peer."""
        # A peer may be removed before the task has run for the first time.
        scope = self.dial_scopes[peer.name] = anyio.CancelScope()
        task_group.start_soon(self._keep_connected, peer, scope)

    async def _keep_connected(
        self, peer: LinkPeer, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                try:
                    await self._connect_and_send(peer)
                except (
                    OSError,
                    TimeoutError,
                    errors.LinkError,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                    anyio.EndOfStream,
                ):
                    # A link that was up has been reported as down; until
                    # then failures to connect are expected.
                    pass
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _connect_and_send(self, peer: LinkPeer) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(*peer.address)
        async with stream:
            _bound_send_buffer(stream)
            reader = MessageReader(stream)
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                await self._authenticate_to_peer(stream, reader, peer.name)
            reader.accept_large_frames()
            events.emit(events.LINK_UP, peer=peer.name)
            self.connected[peer.name] = True
            self.on_up(peer.name)
            if peer.name not in self.queues:
                # It was removed in the call: an edge keeps no link to a
                # control instance that it does not use.
                return
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(
                        self._write_queued_frames, stream, peer.name
                    )
                    group.start_soon(self._send_pings, peer.name)
                    await self._await_pongs(reader, peer.name)
            except* (
                OSError,
                TimeoutError,
                errors.LinkError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
            ) as failures:
                text = "".join(map(_describe, failures.exceptions))
                error = errors.LinkError(text, "link.pump", peer.name)
                events.emit(
                    events.LINK_DOWN,
                    peer=peer.name,
                    error=str(error),
                    unsent_bytes=self.queued_bytes.get(peer.name, 0),
                )
                # It is down before the connection is closed, which takes
                # a moment, and before its loss is reported.
                self._mark_down(peer.name)
                raise error from None
            finally:
                self._mark_down(peer.name)
                self._discard_queued_frames(peer.name)
                self.on_loss(peer.name)

    def _mark_down(self, peer: str) -> None:
        if peer in self.connected:
            self.connected[peer] = False

    async def _send_pings(self, peer: str) -> None:
        while True:
            self.send(peer, messages.Ping())
            await anyio.sleep(PING_INTERVAL_S)

    async def _await_pongs(self, reader: MessageReader, peer: str) -> None:
        while True:
            with anyio.move_on_after(PONG_TIMEOUT_S) as scope:
                await reader.read_available()
            if scope.cancelled_caught and not self._sends_large_message(peer):
                raise errors.LinkError(
                    f"no pong within {PONG_TIMEOUT_S} s", "link.read", peer
                )

    async def _authenticate_to_peer(
        self,
        stream: anyio.abc.SocketStream,
        reader: MessageReader,
        peer: str,
    ) -> None:
        challenge = await reader.read_one()
        if not isinstance(challenge, messages.Challenge):
            raise errors.LinkError(
                "the first message is not a challenge", "link.hello", peer
            )
        nonce = os.urandom(16)
        name = self.name
        mac = compute_proof(
            self.secret,
            b"dial",
            challenge.nonce,
            nonce,
            name.encode(),
            peer.encode(),
        )
        hello = messages.Hello(
            name, self.incarnation, PROTOCOL_VERSION, nonce, mac
        )
        await stream.send(encode_frame(hello))
        welcome = await reader.read_one()
        expected = compute_proof(
            self.secret, b"accept", challenge.nonce, nonce
        )
        is_proven = isinstance(
            welcome, messages.Welcome
        ) and hmac.compare_digest(welcome.proof, expected)
        if not is_proven:
            raise errors.LinkError(
                "the peer did not prove the deployment secret",
                "link.hello",
                peer,
            )

    async def _write_queued_frames(
        self, stream: anyio.abc.SocketStream, peer: str
    ) -> None:
        source = self.queues[peer][1]
        while True:
            frames = [await source.receive()]
            size = len(frames[0])
            while len(frames) < MAX_BATCH_MESSAGES and size < MAX_WRITE_BYTES:
                try:
                    frames.append(source.receive_nowait())
                except anyio.WouldBlock:
                    break
                size += len(frames[-1])
            await self._write(stream, peer, b"".join(frames))

    async def _write(
        self, stream: anyio.abc.SocketStream, peer: str, data: bytes
    ) -> None:
        for offset in range(0, len(data), MAX_WRITE_BYTES):
            part = data[offset : offset + MAX_WRITE_BYTES]
            with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await stream.send(part)
            if scope.cancelled_caught:
                raise errors.LinkError(
                    f"{len(part)} bytes not written within {WRITE_TIMEOUT_S}"
                    " s",
                    "link.write",
                    peer,
                )
            self._count_queued(peer, -len(part))
            if len(data) > MAX_WRITE_BYTES:
                self.part_written_ms[peer] = clock.now_ms()

    def _sends_large_message(self, peer: str) -> bool:
        """Return whether pings wait behind a message that makes progress."""
        written_ms = self.part_written_ms.get(peer)
        return (
            written_ms is not None
            and clock.now_ms() - written_ms < 1000 * PONG_TIMEOUT_S
        )

    def _discard_queued_frames(self, peer: str) -> None:
        if peer not in self.queues:
            return
        self._count_queued(peer, -self.queued_bytes[peer])
        source = self.queues[peer][1]
        try:
            while True:
                source.receive_nowait()
        except anyio.WouldBlock:
            return

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if _exceeds_descriptors(stream):
                self._report_excess_connection()
                return
            try:
                await self._receive_messages(stream)
            except (
                OSError,
                TimeoutError,
                errors.LinkError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
            ):
                return

    def _report_excess_connection(self) -> None:
        now = clock.now_ms()
        if now >= self.next_excess_report_ms:
            self.next_excess_report_ms = now + EXCESS_REPORT_PERIOD_MS
            events.emit(
                events.CONNECTION_REFUSED, address=str(self.listen_address)
            )

    async def _receive_messages(self, stream: anyio.abc.SocketStream) -> None:
        reader = MessageReader(stream)
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S) as handshake:
            self._bound_handshakes(handshake)
            try:
                sender = await self._authenticate_dialer(stream, reader)
            finally:
                self.handshakes.pop(handshake, None)
        if handshake.cancelled_caught:
            return
        reader.accept_large_frames()
        while True:
            with anyio.fail_after(IDLE_TIMEOUT_S):
                received = await reader.read_available()
            for message in received:
                if isinstance(message, messages.Ping):
                    await stream.send(PONG_FRAME)
                else:
                    await self.inbox.send(Received(sender, message))

    def _bound_handshakes(self, handshake: anyio.CancelScope) -> None:
        """End the oldest handshake if there are too many.

        A peer needs some ms for its own, and dials again.
        """
        self.handshakes[handshake] = None
        if len(self.handshakes) <= MAX_HANDSHAKES:
            return
        oldest = next(iter(self.handshakes))
        del self.handshakes[oldest]
        oldest.cancel()
        self._report_excess_connection()

    async def _authenticate_dialer(
        self,
        stream: anyio.abc.SocketStream,
        reader: MessageReader,
    ) -> str:
        nonce = os.urandom(16)
        await stream.send(encode_frame(messages.Challenge(nonce)))
        hello = await reader.read_one()
        if not isinstance(hello, messages.Hello):
            raise errors.LinkError(
                "the first message is not a hello", "link.greet"
            )
        expected = compute_proof(
            self.secret,
            b"dial",
            nonce,
            hello.nonce,
            hello.sender.encode(),
            self.name.encode(),
        )
        is_permitted = self.accepts_new_peers or hello.sender in self.queues
        if not is_permitted or not hmac.compare_digest(hello.proof, expected):
            events.emit(events.LINK_REFUSED, peer=hello.sender)
            raise errors.LinkError(
                "the sender is not permitted or did not prove the"
                " deployment secret",
                "link.greet",
                hello.sender,
            )
        if hello.sender not in self.queues:
            self.add(_peer_from_address(hello.sender))
        mac = compute_proof(self.secret, b"accept", nonce, hello.nonce)
        await stream.send(
            encode_frame(messages.Welcome(mac, PROTOCOL_VERSION))
        )
        return hello.sender


def _bound_send_buffer(stream: anyio.abc.SocketStream) -> None:
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )


def _exceeds_descriptors(stream: anyio.abc.SocketStream) -> bool:
    """Return whether an accepted connection exceeds the peers' share."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    return listening.exceeds_share(
        raw_socket.fileno(), listening.PEER_DESCRIPTOR_SHARE
    )


def _describe(failure: BaseException) -> str:
    """Return why a link ended, for the log."""
    if isinstance(failure, errors.LinkError):
        return failure.text
    return repr(failure)


def _ignore(peer: str) -> None:
    """Do nothing; the default of ``Links.on_up`` and ``Links.on_loss``."""


def make_links(
    settings: settings_module.Settings,
    incarnation: int,
    inbox: MemoryObjectSendStream[Received],
) -> Links:
    """Return the links of an instance whose settings list all its peers.

    Args:
        settings: the instance's settings.
        incarnation: a number that rises with each start of the instance.
        inbox: the stream that receives the messages of all peers.
    """
    links = Links(
        settings.name, settings.peer, settings.secret, incarnation, inbox
    )
    for peer in settings.peers:
        if settings.linked(peer):
            links.add(LinkPeer(peer.name, peer.address))
    return links


def make_dynamic_links(
    settings: instance_module.InstanceSettings,
    incarnation: int,
    inbox: MemoryObjectSendStream[Received],
) -> Links:
    """Return the links of an instance whose peers join and leave.

    The instance's name is the address that its links listen on.

    Args:
        settings: the instance's settings.
        incarnation: a number that rises with each start of the instance.
        inbox: the stream that receives the messages of all peers.
    """
    return Links(
        str(settings.link),
        settings.link,
        settings.secret,
        incarnation,
        inbox,
        accepts_new_peers=True,
    )


def _peer_from_address(name: str) -> LinkPeer:
    """Return the peer whose name is its address.

    Raises:
        LinkError: The name is not an address.
    """
    try:
        return LinkPeer(name, settings_module.parse_address(name))
    except ValueError as exc:
        raise errors.LinkError(
            "the sender's name is not an address", "link.greet", name
        ) from exc


__all__ = [
    "FrameDecoder",
    "LinkPeer",
    "Links",
    "make_links",
    "make_dynamic_links",
    "MessageReader",
    "Received",
    "encode_frame",
    "compute_proof",
]
