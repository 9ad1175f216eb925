"""The transfer of a newer route table to an edge.

Does no I/O; the caller passes the current time in ms, sends the requests that
the methods return and hands in the pieces that come. One piece is on its way
at a time. A transfer goes on where it was when a piece is lost or the edge
changes its control instance.
"""

from typing import NamedTuple
import zlib

import xxhash

from primrosehitch import errors
from primrosehitch import messages

# A piece that does not come within this time is asked for again.
PIECE_TIMEOUT_MS = 500
# A larger encoded or decoded table is refused.
MAX_TABLE_BYTES = 64 << 20


class Step(NamedTuple):
    """What follows from a piece.

    Attributes:
        request: what to ask for next, if anything.
        table: the table, once it is complete.
    """

    request: messages.TableRequest | None = None
    table: messages.Table | None = None


class TableFetch:
    """The transfer of one table.

    Attributes:
        control: the control instance that was last asked, empty if no
            transfer is under way.
        version: the version of the table that is transferred, 0 before the
            first piece.
        checksum: the checksum of its encoding.
        received: its encoding as far as it has come.
        asked_ms: when the control instance was last asked.
    """

    def __init__(self) -> None:
        self.control = ""
        self.asked_ms = 0
        self._restart()

    def _restart(self) -> None:
        self.version = 0
        self.checksum = 0
        self.received = bytearray()

    def stop(self) -> None:
        """End the transfer: no newer table is known."""
        self.control = ""
        self._restart()

    def offer(self, control: str, now: int) -> messages.TableRequest | None:
        """Handle that a control instance has a newer table than the edge.

        Returns:
            What to ask it for, None while an earlier request is open.
        """
        is_open = now - self.asked_ms < PIECE_TIMEOUT_MS
        if control == self.control and is_open:
            return None
        return self._ask(control, now)

    def _ask(self, control: str, now: int) -> messages.TableRequest:
        self.control = control
        self.asked_ms = now
        return messages.TableRequest(
            self.version, self.checksum, len(self.received)
        )

    def apply(self, piece: messages.TablePiece, now: int) -> Step:
        """Add a piece.

        Raises:
            TransferError: the encoding is damaged or too large; the transfer
                begins anew with the next offer.
        """
        if not self.control:
            return Step()
        if (piece.version, piece.checksum) != (self.version, self.checksum):
            if piece.offset:
                return Step()
            self._restart()
            self.version = piece.version
            self.checksum = piece.checksum
        if piece.offset != len(self.received) or not piece.data:
            # It was asked for twice, and came twice.
            return Step()
        if max(piece.total, piece.size) > MAX_TABLE_BYTES:
            self.stop()
            raise errors.TransferError(
                f"a table of {piece.size} bytes is too large", "table.fetch"
            )
        self.received += piece.data
        if len(self.received) < piece.total:
            return Step(request=self._ask(self.control, now))
        encoded = bytes(self.received)
        self.stop()
        return Step(table=_decode(encoded, piece))


def _decode(encoded: bytes, piece: messages.TablePiece) -> messages.Table:
    if xxhash.xxh64_intdigest(encoded) != piece.checksum:
        raise errors.TransferError(
            f"the checksum of version {piece.version} differs", "table.fetch"
        )
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(encoded, piece.size + 1)
    except zlib.error as exc:
        raise errors.TransferError(str(exc), "table.fetch") from exc
    if len(body) != piece.size:
        raise errors.TransferError(
            f"version {piece.version} has not {piece.size} bytes",
            "table.fetch",
        )
    return messages.Table(piece.version, body)


__all__ = ["PIECE_TIMEOUT_MS", "Step", "TableFetch"]
