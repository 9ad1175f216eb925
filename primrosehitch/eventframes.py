"""Splitter of server-sent event streams, with support for resumption.

Does no I/O. An endpoint may fail in the middle of an event. Only complete
events are passed on, so that another endpoint can continue after the last
one. Events that a resumed stream repeats are dropped by their identifiers.
"""

import re

MAX_EVENT_BYTES = 1 << 20

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventTooLargeError(Exception):
    """An event is larger than MAX_EVENT_BYTES."""


class EventSplitter:
    """Splits a byte stream into complete events.

    Args:
        last_id: identifier of the last event that the caller has, or b"".

    Attributes:
        partial: bytes after the last complete event.
        event_count: number of events returned.
        is_resumed: whether another endpoint continues the stream.
    """

    def __init__(self, last_id: bytes = b""):
        self.last_id = last_id
        self.partial = b""
        self.event_count = 0
        self.is_resumed = False

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self.partial

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the new events that are now complete.

        Raises:
            EventTooLargeError: an event does not end within
                MAX_EVENT_BYTES.
        """
        data = self.partial + data if self.partial else data
        new_events = []
        start = 0
        for match in _EVENT_END.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._is_new(event):
                new_events.append(event)
        self.partial = data[start:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"{len(self.partial)} bytes")
        self.event_count += len(new_events)
        return b"".join(new_events)

    def prepare_resume(self) -> None:
        """Drop a partial event before another endpoint continues."""
        self.partial = b""
        self.is_resumed = True

    def _is_new(self, event: bytes) -> bool:
        """Return whether a resumed stream does not repeat an event."""
        match = _ID_FIELD.search(event)
        if match is None:
            return True
        identifier = match.group(1)
        if self.is_resumed and not _is_after(identifier, self.last_id):
            return False
        self.last_id = identifier
        return True


def _is_after(identifier: bytes, last: bytes) -> bool:
    """Return whether an identifier is after the last one.

    Identifiers that are not numbers have no order; they only differ.
    """
    if not (identifier.isdigit() and last.isdigit()):
        return identifier != last
    return int(identifier) > int(last)


__all__ = ["EventSplitter", "EventTooLargeError"]
