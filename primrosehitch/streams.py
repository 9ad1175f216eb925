"""Validation of an engine's event stream.

Only complete events are forwarded, so that their number is the offset at
which a broken stream is resumed. All events of a stream must have the same
identifier, and ``[DONE]`` must end it. Does no I/O.
"""

import json
import re
from typing import NamedTuple

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_PARTIAL_EVENT_BYTES = 1 << 20

ID_FIELD = re.compile(rb'"id"\s*:\s*"([^"]*)"')


class StreamError(Exception):
    """The stream is not a valid response to this request."""


class CompleteEvents(NamedTuple):
    """Complete events to forward.

    Attributes:
        data: the events' bytes, empty if no event is complete.
        event_count: number of events, without ``[DONE]``.
        done: whether ``[DONE]`` was received.
    """

    data: bytes
    event_count: int
    done: bool


class StreamValidator:
    """Validates the stream of one response, across resumptions.

    Args:
        request_id: the request's identifier. If an engine's events
            contain it, the events after a resumption must have the same
            identifier as before.

    Attributes:
        partial: the start of an event that is not complete yet.
        id_field: the events' ``id`` field as received, empty before it.
        event_count: number of complete events so far, without ``[DONE]``.
        done: whether ``[DONE]`` was received.
        usage_event: the last event with token counts, or empty.
    """

    def __init__(self, request_id: str = "") -> None:
        self.request_id = request_id.encode()
        self.partial = bytearray()
        self.id_field = b""
        self.event_count = 0
        self.done = False
        self.usage_event = b""

    def feed(self, chunk: bytes) -> CompleteEvents:
        """Return the events that received bytes complete.

        Args:
            chunk: bytes as received, split anywhere.

        Raises:
            StreamError: an event belongs to another response, follows
                ``[DONE]``, or is larger than
                ``MAX_PARTIAL_EVENT_BYTES``.
        """
        # The separator may have begun in the bytes before.
        searched_bytes = max(0, len(self.partial) - len(EVENT_SEPARATOR) + 1)
        self.partial += chunk
        end = self.partial.rfind(EVENT_SEPARATOR, searched_bytes)
        if end < 0:
            self._check_partial()
            return CompleteEvents(b"", 0, False)
        end += len(EVENT_SEPARATOR)
        whole = bytes(self.partial[:end])
        del self.partial[:end]
        self._check_partial()
        if self.done:
            raise StreamError("an event follows [DONE]")
        return self._validate_events(whole)

    def prepare_resumption(self) -> None:
        """Drop a partial event before another engine resumes the stream."""
        self.partial = bytearray()
        echoed = self.request_id and self.request_id in self.id_field
        if not echoed:
            self.id_field = b""

    def usage(self) -> tuple[int, int] | None:
        """Return the token counts that the engine reported.

        Returns:
            (prompt tokens, output tokens), or None without a valid report.
        """
        if not self.usage_event:
            return None
        try:
            event = json.loads(self.usage_event.split(b":", 1)[1])
            usage = event["usage"]
            return int(usage["prompt_tokens"]), int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError, IndexError):
            return None

    def _check_partial(self) -> None:
        if len(self.partial) > MAX_PARTIAL_EVENT_BYTES:
            raise StreamError("an event is too large")

    def _validate_events(self, whole: bytes) -> CompleteEvents:
        count = whole.count(EVENT_SEPARATOR)
        done = whole.rfind(DONE_EVENT)
        if done >= 0:
            self.done = True
            count -= 1
        if count:
            self._check_identifiers(whole, count)
            self._record_usage(whole)
        self.event_count += count
        return CompleteEvents(whole, count, self.done)

    def _check_identifiers(self, whole: bytes, count: int) -> None:
        if not self.id_field:
            match = ID_FIELD.search(whole)
            if match is None:
                return
            self.id_field = match.group(0)
        if whole.count(self.id_field) == count:
            return
        for found in ID_FIELD.finditer(whole):
            if found.group(0) != self.id_field:
                raise StreamError("an event belongs to another response")

    def _record_usage(self, whole: bytes) -> None:
        if b'"usage"' not in whole:
            return
        for event in whole.split(EVENT_SEPARATOR):
            if b'"usage":{' in event or b'"usage": {' in event:
                self.usage_event = event


__all__ = ["DONE_EVENT", "CompleteEvents", "StreamValidator", "StreamError"]
