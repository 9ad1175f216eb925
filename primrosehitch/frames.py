"""Checksummed frames of log records, with detection of corruption.

A file is a sequence of frames, each synced to disk before the next one is
written. A crash can therefore truncate only the last frame (a torn tail);
an invalid frame followed by an intact one is corruption.
"""

import struct
from typing import Iterator
from typing import NamedTuple
import zlib

import xxhash

from primrosehitch import errors

MAGIC = b"PHL1"
# Magic, payload length, CRC-32 of the length, XXH64 of the payload.
FRAME_HEADER = struct.Struct("<4sIIQ")
# Kind of the record and length of its body.
RECORD_HEADER = struct.Struct("<HI")


class Frame(NamedTuple):
    """An intact frame in a file.

    Attributes:
        payload: the frame's records.
        end: offset of the first byte after the frame.
    """

    payload: bytes
    end: int


def pack_frame(payload: bytes) -> bytes:
    """Return a frame with a payload.

    Args:
        payload: records made by ``pack_record``.

    Returns:
        The frame's header and the payload.
    """
    size = len(payload)
    length_checksum = zlib.crc32(struct.pack("<I", size))
    payload_checksum = xxhash.xxh64_intdigest(payload)
    return (
        FRAME_HEADER.pack(MAGIC, size, length_checksum, payload_checksum)
        + payload
    )


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at an offset, or None if it is not intact."""
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
    """Return the payloads of all frames of a file.

    Args:
        data: the content of the file.
        location: the file's name, for errors.

    Returns:
        The payloads in order, and the offset at which a torn tail begins
        (the file's size if there is none).

    Raises:
        LogDamagedError: an intact frame follows an invalid one.
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
    """Return a record: its kind, its length and its body."""
    return RECORD_HEADER.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the (kind, body) of each record in a frame's payload."""
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
