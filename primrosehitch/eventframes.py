"""Splitter of server-sent event streams, with support for resumption.

Does no I/O. An endpoint may fail in the middle of an event. Only complete
events are passed on, so that another endpoint can continue after the last
one. Each event has one identifier, a whole number that is greater than that
of the event before. Whatever else stands in a stream was not written by the
run that the caller asked for, and ends the attempt. Events that a resumed
stream repeats are dropped by their identifiers. Whether identifiers may be
left out is the caller's decision.
"""

import re

from primrosehitch import errors
from primrosehitch import eventnumbering

MAX_EVENT_BYTES = 1 << 20

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
# Blocks without a field: comment lines, if any, and the blank line that ends
# each of them.
_EMPTY_BLOCKS = re.compile(rb"(?>(?::[^\r\n]*+\r?\n)*+(?:\r?\n)++)+")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_NUMBER = re.compile(rb"[0-9]{1,18}")


class EventError(errors.PrimrosehitchError):
    """A stream holds what is no event of it.

    Args:
        text: what is wrong.
        sound_events: the new events that came before it.
    """

    def __init__(self, text: str, sound_events: bytes = b""):
        self.sound_events = sound_events
        super().__init__(text, "read event")


class EventTooLargeError(EventError):
    """An event is larger than MAX_EVENT_BYTES."""


class EventIdError(EventError):
    """An event has no identifier, or one that does not follow the last."""


class EventGapError(EventIdError):
    """An event's identifier leaves out some after the one before.

    The splitter keeps the event and goes on with it if ``allows_gaps`` is
    set.

    Args:
        gap: what is left out.
    """

    def __init__(self, gap: eventnumbering.Gap):
        self.gap = gap
        super().__init__(
            f"the event after {gap.before} has the identifier {gap.after}"
        )


class EventSplitter:
    """Splits a byte stream into complete events.

    Args:
        last_id: identifier of the last event that the caller has, or b"".

    Attributes:
        last_number: that identifier as a number, -1 if there is none.
        partial: bytes after the last complete event.
        searched_bytes: how many of these hold no event's end.
        event_count: number of events returned.
        may_repeat: whether the next events may repeat earlier ones, as the
            stream has just been resumed.
        allows_gaps: whether identifiers may be left out.
        has_gaps: whether some were, in this attempt.
        ends_with_gap: whether some were just before the last event.
        is_doubtful: whether the last identifier may be wrong, so that the
            stream can't be resumed after it.
    """

    def __init__(self, last_id: bytes = b""):
        self.last_id = last_id
        self.last_number = _parse_number(last_id)
        self.partial = bytearray()
        self.searched_bytes = 0
        self.event_count = 0
        self.may_repeat = bool(last_id)
        self.allows_gaps = False
        self.has_gaps = False
        self.ends_with_gap = False
        self.is_doubtful = False

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self.partial

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the new events that are now complete.

        Raises:
            EventGapError: an event leaves out identifiers after the last
                one, and gaps are not allowed.
            EventIdError: an event has no identifier that follows the last
                one; the error has the sound events before it.
            EventTooLargeError: an event does not end within
                MAX_EVENT_BYTES.
        """
        begins_block = not self.partial
        self.partial += data
        new_events = []
        start = self._skip_empty_blocks(0) if begins_block else 0
        while match := _EVENT_END.search(self.partial, self.searched_bytes):
            event = bytes(self.partial[start : match.end()])
            try:
                is_new = self._is_new(event)
            except EventIdError as exc:
                exc.sound_events = b"".join(new_events)
                del self.partial[:start]
                self.searched_bytes = 0
                raise
            start = self._skip_empty_blocks(match.end())
            if is_new:
                new_events.append(event)
                self.event_count += 1
        del self.partial[:start]
        # The next event's end may have begun.
        self.searched_bytes = max(0, len(self.partial) - _MAX_END_BYTES + 1)
        sound_events = b"".join(new_events)
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"{len(self.partial)} bytes without an end", sound_events
            )
        return sound_events

    def _skip_empty_blocks(self, start: int) -> int:
        """Return where the next block with a field may begin.

        Args:
            start: where a block begins.
        """
        blocks = _EMPTY_BLOCKS.match(self.partial, start)
        self.searched_bytes = blocks.end() if blocks is not None else start
        return self.searched_bytes

    def prepare_resume(self) -> None:
        """Drop a partial event before another endpoint continues."""
        self.partial = bytearray()
        self.searched_bytes = 0
        self.may_repeat = True
        self.allows_gaps = False
        self.has_gaps = False

    def _is_new(self, event: bytes) -> bool:
        """Return whether this is an event that the caller does not have.

        Raises:
            EventIdError: it is no event of this stream.
        """
        identifiers = _ID_FIELD.findall(event)
        if not identifiers and _holds_no_field(event):
            return False
        if len(identifiers) != 1:
            raise self._id_error(f"{len(identifiers)} identifiers")
        number = _parse_number(identifiers[0])
        if number < 0:
            raise self._id_error("an identifier that is no number")
        if number <= self.last_number:
            if self.may_repeat:
                return False
            # After a gap, the last identifier may be the wrong one.
            self.is_doubtful = self.has_gaps
            raise self._id_error("an identifier that goes back")
        has_gap = number > max(1, self.last_number + 1)
        if has_gap and not self.allows_gaps:
            raise EventGapError(eventnumbering.Gap(self.last_number, number))
        self.ends_with_gap = has_gap
        self.has_gaps |= has_gap
        self.last_id, self.last_number = identifiers[0], number
        self.may_repeat = False
        return True

    def _id_error(self, text: str) -> EventIdError:
        # The event itself may be a customer's data, which is not logged.
        return EventIdError(f"the event after {self.last_number} has {text}")


def _holds_no_field(event: bytes) -> bool:
    """Return whether a reader of server-sent events skips all lines."""
    return all(
        not line or line.startswith(b":") for line in event.splitlines()
    )


def _parse_number(identifier: bytes) -> int:
    """Return an identifier as a number, or -1 if it is none."""
    return int(identifier) if _NUMBER.fullmatch(identifier) else -1


__all__ = [
    "EventError",
    "EventIdError",
    "EventSplitter",
    "EventTooLargeError",
]
