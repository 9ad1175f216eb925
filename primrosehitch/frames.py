"""Checksummed frames of records, and how a torn tail is told from damage.

A file is a row of frames, each synced before the next is written. A
crash can so tear only the last; a bad frame with a whole one behind it
is damage.
"""

import struct
from typing import Iterator
from typing import NamedTuple
import zlib

import xxhash

from primrosehitch import errors

MAGIC = b"PHL1"
HEADER = struct.Struct("<4sIIQ")
RECORD = struct.Struct("<HI")


class Frame(NamedTuple):
    """One frame found in a file, and where it ends."""

    payload: bytes
    end: int


def pack_frame(payload: bytes) -> bytes:
    """Return a payload with its header.

    Args:
        payload: records made by ``pack_record``.

    Returns:
        Magic, length, checksum of the length, checksum of the payload,
        payload.
    """
    size = len(payload)
    guard = zlib.crc32(struct.pack("<I", size))
    digest = xxhash.xxh64_intdigest(payload)
    return HEADER.pack(MAGIC, size, guard, digest) + payload


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at an offset, or None where it is not whole."""
    if start + HEADER.size > len(data):
        return None
    magic, size, guard, digest = HEADER.unpack_from(data, start)
    if magic != MAGIC or guard != zlib.crc32(struct.pack("<I", size)):
        return None
    body = start + HEADER.size
    payload = data[body : body + size]
    if len(payload) != size or xxhash.xxh64_intdigest(payload) != digest:
        return None
    return Frame(payload, body + size)


def read_frames(data: bytes, peer: str) -> tuple[list[bytes], int]:
    """Return the payloads of all frames and the size they take.

    Args:
        data: the whole file.
        peer: the file's name for errors.

    Returns:
        Payloads in order, and the offset at which a torn tail begins
        (the file's size where there is none).

    Raises:
        LogDamagedError: a bad frame has a whole one behind it.
    """
    payloads = []
    start = 0
    while start < len(data):
        frame = read_frame(data, start)
        if frame is None:
            _refuse_damage(data, start, peer)
            break
        payloads.append(frame.payload)
        start = frame.end
    return payloads, start


def _refuse_damage(data: bytes, start: int, peer: str) -> None:
    at = data.find(MAGIC, start + 1)
    while at >= 0:
        if read_frame(data, at) is not None:
            raise errors.LogDamagedError(
                f"bad frame at byte {start}, whole frame behind it at {at};"
                " restore the disk, or empty the folder to rejoin as new",
                "log.open",
                peer,
            )
        at = data.find(MAGIC, at + 1)


def pack_record(kind: int, body: bytes) -> bytes:
    """Return one record: kind, length and body."""
    return RECORD.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the (kind, body) of each record of a frame."""
    at = 0
    while at < len(payload):
        kind, size = RECORD.unpack_from(payload, at)
        at += RECORD.size
        yield kind, payload[at : at + size]
        at += size


__all__ = [
    "pack_frame",
    "pack_record",
    "read_frame",
    "read_frames",
    "unpack_records",
]
