"""Splits received bytes so that a parser gets one request at a time.

Does no I/O. The parser takes all bytes that it is given, and its callbacks
cannot stop it. A client that sends many small requests in one segment would
have all of them parsed at once. ``RequestSplitter`` returns where the next
message may end, so that the caller can stop there.
"""

from typing import Iterable
from typing import Sequence

EMPTY_LINE = b"\r\n\r\n"
MAX_TAIL_BYTES = len(EMPTY_LINE) - 1
# A chunked body may consist of empty lines. Parsing at least this many bytes
# at a time bounds the processor time that such a body costs; at most a few
# short requests fit into so many bytes.
MIN_CHUNKED_STEP_BYTES = 64


class RequestSplitter:
    """Follows the framing of the messages of one connection.

    Attributes:
        in_body: whether ``begin_body`` was called for the current message.
        body_left: bytes of a body of known length that are still to come.
        is_chunked: whether the parser is in a body of unknown length.
        tail: the last bytes of a read without an empty line, which may begin
            with them.
    """

    def __init__(self) -> None:
        self.in_body = False
        self.body_left = 0
        self.is_chunked = False
        self.tail = b""

    def begin_body(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Record the framing of a body.

        Args:
            headers: the (name, value) pairs of a head that the parser has
                accepted, names in lower case.
        """
        self.in_body = True
        self.body_left = announced_length(headers)
        self.is_chunked = any(n == b"transfer-encoding" for n, _ in headers)

    def record_body(self, size: int) -> None:
        """Record that the parser has passed on bytes of a body."""
        if self.body_left:
            self.body_left = max(0, self.body_left - size)

    def end_message(self) -> None:
        """Record that a message is complete."""
        self.in_body = False
        self.body_left = 0
        self.is_chunked = False

    def next_end(self, data: bytes | bytearray, start: int, end: int) -> int:
        """Return up to where the parser may be fed next.

        Args:
            data: received bytes.
            start: the first byte that was not fed yet.
            end: the end of the received bytes.
        """
        if self.body_left:
            return min(end, start + self.body_left)
        if self.tail:
            joint = self.tail + data[start : min(end, start + MAX_TAIL_BYTES)]
            found = joint.find(EMPTY_LINE)
            if found >= 0:
                stop = start + found + len(EMPTY_LINE) - len(self.tail)
                self.tail = b""
                return stop
        search_start = start
        if self.is_chunked:
            search_start += MIN_CHUNKED_STEP_BYTES - len(EMPTY_LINE)
        found = data.find(EMPTY_LINE, search_start, end)
        if found >= 0:
            self.tail = b""
            return found + len(EMPTY_LINE)
        last = bytes(data[max(start, end - MAX_TAIL_BYTES) : end])
        self.tail = (self.tail + last)[-MAX_TAIL_BYTES:]
        return end


def announced_length(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length in bytes that a head gives for its body, or 0.

    Args:
        headers: the (name, value) pairs of a head that the parser has
            accepted, names in lower case.
    """
    for name, value in headers:
        digits = value.strip()
        if name == b"content-length" and digits.isdigit():
            return int(digits)
    return 0


__all__ = ["RequestSplitter", "announced_length"]
