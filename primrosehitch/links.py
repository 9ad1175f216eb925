"""Links between instances: framed messages over TCP, one way each.

An instance dials every peer and sends on that connection; it receives
on the connections that peers dial. Both ends prove knowledge of the
deployment secret by an HMAC over both nonces. Sending never waits: a
full queue drops the message, and all protocols above tolerate loss.

The dialing end sends a ping now and then and breaks the connection when
the pong stays out, since a path can fall silent without a reset.

Peers are listed in the settings, or come and go: then an instance's
name is the address of its links, and one that proves knowledge of the
secret becomes a peer by dialing.
"""

import hashlib
import hmac
import os
import struct
from typing import Iterable
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

from primrosehitch import errors
from primrosehitch import events
from primrosehitch import instance as instance_module
from primrosehitch import messages
from primrosehitch import settings as settings_module

VERSION = 1
FRAME = struct.Struct("<IH")
MAX_FRAME_BYTES = 64 << 20
QUEUE_MESSAGES = 4096
HANDSHAKE_S = 2.0
WRITE_LIMIT_S = 2.0
IDLE_LIMIT_S = 5.0
# Pause between two attempts to reach a peer, in seconds.
RETRY_S = 0.1
BATCH_MESSAGES = 64
# A path that answers no ping for this long is taken to be cut. It is
# shorter than an election, so that a link is back before one starts.
PING_S = 0.6
SILENT_S = 1.4
# A handshake within a deployment takes less than this. A machine that was
# without power answers none; the kernel repeats its own only after a
# second, a new one finds the machine sooner.
CONNECT_S = 0.3


Queue = tuple[MemoryObjectSendStream[bytes], MemoryObjectReceiveStream[bytes]]


class Received(NamedTuple):
    """A message and the instance that sent it."""

    sender: str
    message: tuple


def pack(message: tuple) -> bytes:
    """Return a message as a frame: length, kind, packed bytes."""
    body = messages.encode(message)
    return FRAME.pack(len(body), messages.NUMBERS[type(message)]) + body


class LinkPeer(NamedTuple):
    """The other end of a link."""

    name: str
    address: settings_module.Address


PONG = pack(messages.Pong())


class FrameDecoder:
    """Finds whole messages in the bytes of a link."""

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, data: bytes) -> list[tuple]:
        """Take in bytes and return the messages they complete.

        A message of a kind not known here is passed over.

        Raises:
            LinkError: a frame is too large or damaged.
        """
        data = self.partial + data if self.partial else data
        at = 0
        found = []
        while at + FRAME.size <= len(data):
            size, number = FRAME.unpack_from(data, at)
            if size > MAX_FRAME_BYTES:
                raise errors.LinkError(f"frame of {size} bytes", "link.read")
            end = at + FRAME.size + size
            if end > len(data):
                break
            kind = messages.KINDS.get(number)
            if kind is not None:
                found.append(_decode(kind, data[at + FRAME.size : end]))
            at = end
        self.partial = data[at:]
        return found


def _decode(kind: type, body: bytes) -> tuple:
    try:
        return messages.decode(kind, body)
    except ValueError as exc:
        raise errors.LinkError(str(exc), "link.read") from exc


class MessageReader:
    """Reads the messages of one link, several at a time.

    Args:
        stream: the connection.
    """

    def __init__(self, stream: anyio.abc.SocketStream):
        self.stream = stream
        self.decoder = FrameDecoder()
        self.ready: list[tuple] = []

    async def some(self) -> list[tuple]:
        """Return the messages that have come, at least one read's worth.

        Raises:
            LinkError: a frame is too large or damaged.
            EndOfStream: the peer closed.
        """
        ready, self.ready = self.ready, []
        if ready:
            return ready
        return self.decoder.feed(await self.stream.receive())

    async def one(self) -> tuple:
        """Return the next message and keep what came with it."""
        while not self.ready:
            self.ready = await self.some()
        return self.ready.pop(0)


def proof(secret: bytes, role: bytes, *parts: bytes) -> bytes:
    """Return the HMAC by which one end proves that it has the secret."""
    mac = hmac.new(secret, role, hashlib.sha256)
    for part in parts:
        mac.update(struct.pack("<I", len(part)) + part)
    return mac.digest()


class Links:
    """All links of one instance.

    Args:
        name: the instance's name.
        listen: where peers dial.
        secret: the deployment's.
        incarnation: number of this start of the instance.
        inbox: where received messages go.
        open_to_new: whether whoever proves the secret becomes a peer.
    """

    def __init__(
        self,
        name: str,
        listen: settings_module.Address,
        secret: bytes,
        incarnation: int,
        inbox: MemoryObjectSendStream[Received],
        open_to_new: bool = False,
    ):
        self.name = name
        self.listen = listen
        self.secret = secret
        self.incarnation = incarnation
        self.inbox = inbox
        self.open_to_new = open_to_new
        self.sent_messages = 0
        self.sent_bytes = 0
        self.peers: dict[str, LinkPeer] = {}
        self.up: dict[str, bool] = {}
        self.queues: dict[str, Queue] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.group: anyio.abc.TaskGroup | None = None

    def add(self, peer: LinkPeer) -> None:
        """Keep a link with a peer from now on."""
        if peer.name in self.peers or peer.name == self.name:
            return
        self.peers[peer.name] = peer
        self.up[peer.name] = False
        self.queues[peer.name] = anyio.create_memory_object_stream[bytes](
            QUEUE_MESSAGES
        )
        if self.group is not None:
            self.group.start_soon(self._dial_forever, peer)

    def remove(self, name: str) -> None:
        """Give up the link with a peer."""
        self.peers.pop(name, None)
        self.up.pop(name, None)
        self.queues.pop(name, None)
        scope = self.scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def send(self, target: str, message: tuple) -> bool:
        """Queue a message for a peer.

        Returns:
            Whether it was queued; False drops it.
        """
        return self.send_frame(target, pack(message))

    def send_frame(self, target: str, frame: bytes) -> bool:
        """Queue a packed message for a peer."""
        queue = self.queues.get(target)
        if queue is None or not self.up.get(target):
            return False
        try:
            queue[0].send_nowait(frame)
        except anyio.WouldBlock:
            return False
        self.sent_messages += 1
        self.sent_bytes += len(frame)
        return True

    def send_all(self, targets: Iterable[str], message: tuple) -> None:
        """Queue a message, packed once, for several peers."""
        frame = pack(message)
        for target in targets:
            self.send_frame(target, frame)

    def broadcast(
        self,
        message: tuple,
        outside: tuple | None = None,
        cell: frozenset[str] | set[str] = frozenset(),
    ) -> None:
        """Queue a message for all peers.

        Args:
            message: the message.
            outside: another one for peers outside the cell.
            cell: the names of the peers in the cell.
        """
        frame = pack(message)
        other = frame if outside is None else pack(outside)
        for target in self.queues:
            inside = outside is None or target in cell
            self.send_frame(target, frame if inside else other)

    async def run(self) -> None:
        """Listen and dial until cancelled."""
        host, port = self.listen
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        async with listener, anyio.create_task_group() as group:
            self.group = group
            for peer in self.peers.values():
                group.start_soon(self._dial_forever, peer)
            await listener.serve(self._accept, group)

    # -- dialing -----------------------------------------------------------

    async def _dial_forever(self, peer: LinkPeer) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[peer.name] = scope
            while True:
                try:
                    await self._dial(peer)
                except (
                    OSError,
                    TimeoutError,
                    errors.LinkError,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                    anyio.EndOfStream,
                ) as exc:
                    self._note_down(peer, exc)
                await anyio.sleep(RETRY_S)

    def _note_down(self, peer: LinkPeer, exc: Exception) -> None:
        if self.up.get(peer.name):
            text = str(exc) or type(exc).__name__
            events.emit(events.LINK_DOWN, peer=peer.name, error=text)
            self.up[peer.name] = False

    async def _dial(self, peer: LinkPeer) -> None:
        with anyio.fail_after(CONNECT_S):
            stream = await anyio.connect_tcp(*peer.address)
        async with stream:
            reader = MessageReader(stream)
            with anyio.fail_after(HANDSHAKE_S):
                await self._introduce(stream, reader, peer.name)
            events.emit(events.LINK_UP, peer=peer.name)
            self.up[peer.name] = True
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._pump, stream, peer.name)
                    group.start_soon(self._ping, peer.name)
                    await self._await_pongs(reader, peer.name)
            except* (
                OSError,
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
            ) as found:
                text = "".join(repr(e) for e in found.exceptions)
                raise errors.LinkError(text, "link.pump", peer.name) from None
            finally:
                self._drain_queue(peer.name)

    async def _ping(self, peer: str) -> None:
        while True:
            self.send(peer, messages.Ping())
            await anyio.sleep(PING_S)

    async def _await_pongs(self, reader: MessageReader, peer: str) -> None:
        while True:
            with anyio.fail_after(SILENT_S):
                await reader.some()

    async def _introduce(
        self,
        stream: anyio.abc.SocketStream,
        reader: MessageReader,
        peer: str,
    ) -> None:
        challenge = await reader.one()
        if not isinstance(challenge, messages.Challenge):
            raise errors.LinkError("no challenge", "link.hello", peer)
        nonce = os.urandom(16)
        name = self.name
        mac = proof(
            self.secret,
            b"dial",
            challenge.nonce,
            nonce,
            name.encode(),
            peer.encode(),
        )
        hello = messages.Hello(name, self.incarnation, VERSION, nonce, mac)
        await stream.send(pack(hello))
        welcome = await reader.one()
        expected = proof(self.secret, b"accept", challenge.nonce, nonce)
        genuine = isinstance(
            welcome, messages.Welcome
        ) and hmac.compare_digest(welcome.proof, expected)
        if not genuine:
            raise errors.LinkError("not proven", "link.hello", peer)

    async def _pump(self, stream: anyio.abc.SocketStream, peer: str) -> None:
        source = self.queues[peer][1]
        while True:
            parts = [await source.receive()]
            while len(parts) < BATCH_MESSAGES:
                try:
                    parts.append(source.receive_nowait())
                except anyio.WouldBlock:
                    break
            with anyio.fail_after(WRITE_LIMIT_S):
                await stream.send(b"".join(parts))

    def _drain_queue(self, peer: str) -> None:
        if peer not in self.queues:
            return
        source = self.queues[peer][1]
        try:
            while True:
                source.receive_nowait()
        except anyio.WouldBlock:
            return

    # -- accepting ---------------------------------------------------------

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                await self._receive_all(stream)
            except (
                OSError,
                TimeoutError,
                errors.LinkError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
            ):
                return

    async def _receive_all(self, stream: anyio.abc.SocketStream) -> None:
        reader = MessageReader(stream)
        with anyio.fail_after(HANDSHAKE_S):
            sender = await self._greet(stream, reader)
        while True:
            with anyio.fail_after(IDLE_LIMIT_S):
                found = await reader.some()
            for message in found:
                if isinstance(message, messages.Ping):
                    await stream.send(PONG)
                else:
                    await self.inbox.send(Received(sender, message))

    async def _greet(
        self,
        stream: anyio.abc.SocketStream,
        reader: MessageReader,
    ) -> str:
        nonce = os.urandom(16)
        await stream.send(pack(messages.Challenge(nonce)))
        hello = await reader.one()
        if not isinstance(hello, messages.Hello):
            raise errors.LinkError("no hello", "link.greet")
        expected = proof(
            self.secret,
            b"dial",
            nonce,
            hello.nonce,
            hello.sender.encode(),
            self.name.encode(),
        )
        known = self.open_to_new or hello.sender in self.queues
        if not known or not hmac.compare_digest(hello.proof, expected):
            events.emit(events.LINK_REFUSED, peer=hello.sender)
            raise errors.LinkError("not proven", "link.greet", hello.sender)
        if hello.sender not in self.queues:
            self.add(_peer_by_address(hello.sender))
        mac = proof(self.secret, b"accept", nonce, hello.nonce)
        await stream.send(pack(messages.Welcome(mac, VERSION)))
        return hello.sender


def make_links(
    settings: settings_module.Settings,
    incarnation: int,
    inbox: MemoryObjectSendStream[Received],
) -> Links:
    """Return the links of an instance whose settings list its peers."""
    links = Links(
        settings.name, settings.peer, settings.secret, incarnation, inbox
    )
    for peer in settings.peers:
        if settings.linked(peer):
            links.add(LinkPeer(peer.name, peer.address))
    return links


def make_open_links(
    settings: instance_module.InstanceSettings,
    incarnation: int,
    inbox: MemoryObjectSendStream[Received],
) -> Links:
    """Return the links of an instance whose peers come and go."""
    return Links(
        str(settings.link),
        settings.link,
        settings.secret,
        incarnation,
        inbox,
        open_to_new=True,
    )


def _peer_by_address(name: str) -> LinkPeer:
    """Return the peer whose name is its address.

    Raises:
        LinkError: the name is no address.
    """
    try:
        return LinkPeer(name, settings_module.parse_address(name))
    except ValueError as exc:
        raise errors.LinkError(
            "the name is no address", "link.greet", name
        ) from exc


__all__ = [
    "FrameDecoder",
    "LinkPeer",
    "Links",
    "make_links",
    "make_open_links",
    "MessageReader",
    "Received",
    "pack",
    "proof",
]
