"""Whole events of a stream, with the identifier to resume behind.

Pure. An endpoint may stop in the middle of an event; only whole events
are passed on, so that another run can go on behind the last of them.
Events that a resumed run repeats are dropped by their identifiers.
"""

import re

MAX_EVENT_BYTES = 1 << 20

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventTooLargeError(Exception):
    """An event is larger than is kept."""


class EventSplitter:
    """Cuts a stream into whole events.

    Args:
        last_id: identifier of the last event the caller holds, or b"".
    """

    def __init__(self, last_id: bytes = b""):
        self.last_id = last_id
        self.partial = b""
        self.event_count = 0
        self.is_resumed = False

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no half event is kept."""
        return not self.partial

    def feed(self, data: bytes) -> bytes:
        """Return the whole new events that bytes complete.

        Raises:
            EventTooLargeError: an event does not end.
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
        """Drop a half event before another run goes on."""
        self.partial = b""
        self.is_resumed = True

    def _is_new(self, event: bytes) -> bool:
        match = _ID_FIELD.search(event)
        if match is None:
            return True
        identifier = match.group(1)
        if self.is_resumed and not _is_after(identifier, self.last_id):
            return False
        self.last_id = identifier
        return True


def _is_after(identifier: bytes, last: bytes) -> bool:
    if not (identifier.isdigit() and last.isdigit()):
        return identifier != last
    return int(identifier) > int(last)


__all__ = ["EventSplitter", "EventTooLargeError"]
