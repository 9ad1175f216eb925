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
FRAME_HEADER = struct.Struct("<4sIIQ")
RECORD_HEADER = struct.Struct("<HI")


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
    length_checksum = zlib.crc32(struct.pack("<I", size))
    payload_checksum = xxhash.xxh64_intdigest(payload)
    return (
        FRAME_HEADER.pack(MAGIC, size, length_checksum, payload_checksum)
        + payload
    )


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at an offset, or None where it is not whole."""
    if start + FRAME_HEADER.size > len(data):
        return None
    magic, size, length_checksum, payload_checksum = FRAME_HEADER.unpack_from(
        data, start
    )
    if magic != MAGIC or length_checksum != zlib.crc32(
        struct.pack("<I", size)
    ):
        return None
    payload_start = start + FRAME_HEADER.size
    payload = data[payload_start : payload_start + size]
    if (
        len(payload) != size
        or xxhash.xxh64_intdigest(payload) != payload_checksum
    ):
        return None
    return Frame(payload, payload_start + size)


def read_frames(data: bytes, location: str) -> tuple[list[bytes], int]:
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
            _raise_if_damaged(data, start, location)
            break
        payloads.append(frame.payload)
        start = frame.end
    return payloads, start


def _raise_if_damaged(data: bytes, start: int, location: str) -> None:
    offset = data.find(MAGIC, start + 1)
    while offset >= 0:
        if read_frame(data, offset) is not None:
            raise errors.LogDamagedError(
                f"corrupt frame at byte {start}, but an intact frame follows"
                f" at byte {offset}; restore the disk, or empty the folder"
                " to rejoin as a new replica",
                "log.open",
                location,
            )
        offset = data.find(MAGIC, offset + 1)


def pack_record(kind: int, body: bytes) -> bytes:
    """Return one record: kind, length and body."""
    return RECORD_HEADER.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the (kind, body) of each record of a frame."""
    offset = 0
    while offset < len(payload):
        kind, size = RECORD_HEADER.unpack_from(payload, offset)
        offset += RECORD_HEADER.size
        yield kind, payload[offset : offset + size]
        offset += size


__all__ = [
    "pack_frame",
    "pack_record",
    "read_frame",
    "read_frames",
    "unpack_records",
]
