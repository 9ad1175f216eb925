"""Route tables of a control instance, in pieces that edges ask for.

Does no I/O; the caller passes the current time in ms. A table is compressed
once for all edges. An edge asks for one piece at a time, so that little of a
table waits for a slow link, and statuses pass between the pieces.
"""

from typing import NamedTuple
import zlib

import xxhash

from primrosehitch import messages

# Small, so that statuses do not wait long behind a piece on a slow link.
PIECE_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
# A table that was replaced is kept while edges ask for its pieces, so that
# transfers end however often the table changes.
KEEP_MS = 2000
MAX_KEPT_TABLES = 8
# An edge of an older release is sent a table again after this time.
PUSH_AGAIN_MS = 5000


class EncodedTable(NamedTuple):
    """A route table as it is sent to edges.

    Attributes:
        version: its version.
        checksum: the XXH64 of ``data``.
        size: the length of the table's body in bytes.
        data: the zlib stream of the body.
    """

    version: int
    checksum: int
    size: int
    data: bytes


def encode(table: messages.Table) -> EncodedTable:
    """Return a route table as it is sent to edges."""
    data = zlib.compress(table.body, COMPRESSION_LEVEL)
    checksum = xxhash.xxh64_intdigest(data)
    return EncodedTable(table.version, checksum, len(table.body), data)


class TableServer:
    """Answers the requests of edges for pieces of tables.

    Attributes:
        table: the newest table.
        encoded: the encoded tables by version, the newest one last.
        asked_ms: when each of them was last asked for.
    """

    def __init__(self) -> None:
        self.table = messages.Table()
        self.encoded: dict[int, EncodedTable] = {}
        self.asked_ms: dict[int, int] = {}

    def put(self, table: messages.Table) -> None:
        """Offer a newer table from now on."""
        self.table = table

    def answer(
        self, request: messages.TableRequest, now: int
    ) -> messages.TablePiece | None:
        """Return the piece that an edge asks for.

        If this instance does not have that table, it is the first piece of
        the newest one.

        Args:
            request: what the edge asks for.
            now: the current time in ms.

        Returns:
            None if there is no table yet.
        """
        if not self.table.version:
            return None
        encoded = self._encoded(request.version)
        offset = request.offset
        if (
            encoded is None
            or encoded.checksum != request.checksum
            or offset >= len(encoded.data)
        ):
            encoded, offset = self._encoded(self.table.version), 0
            assert encoded is not None
        self.asked_ms[encoded.version] = now
        self._forget(now)
        return messages.TablePiece(
            encoded.version,
            encoded.checksum,
            offset,
            len(encoded.data),
            encoded.size,
            encoded.data[offset : offset + PIECE_BYTES],
        )

    def _encoded(self, version: int) -> EncodedTable | None:
        """Return an encoded table, None if it is not known any more."""
        if version == self.table.version and version not in self.encoded:
            self.encoded[version] = encode(self.table)
        return self.encoded.get(version)

    def _forget(self, now: int) -> None:
        """Forget tables that were replaced and not asked for lately."""
        replaced = [v for v in self.encoded if v != self.table.version]
        excess = len(replaced) - MAX_KEPT_TABLES
        for position, version in enumerate(replaced):
            if position < excess or now - self.asked_ms[version] > KEEP_MS:
                del self.encoded[version], self.asked_ms[version]


class TablePushes:
    """Which tables edges of older releases were sent without asking.

    Their subscriptions name an older version until the table has arrived,
    and must not be answered by the same table again.
    """

    def __init__(self) -> None:
        self.pushed: dict[str, tuple[int, int]] = {}

    def is_due(self, edge: str, version: int, now: int) -> bool:
        """Return whether an edge that lacks a version is to be sent it."""
        pushed = self.pushed.get(edge)
        return (
            pushed is None
            or pushed[0] < version
            or now - pushed[1] >= PUSH_AGAIN_MS
        )

    def record(self, edge: str, version: int, now: int) -> None:
        """Record that a version was queued for an edge."""
        self.pushed[edge] = (version, now)

    def forget(self, edge: str) -> None:
        """Forget an edge: it is gone, or what it was sent may be lost."""
        self.pushed.pop(edge, None)


__all__ = ["EncodedTable", "TablePushes", "TableServer", "encode"]
