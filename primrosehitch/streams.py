"""Checks on an engine's event stream, so that answers are whole.

Pure. Only whole events are passed on, so that the number passed on is
the offset at which a broken stream resumes. All events of a stream must
carry one identifier, and ``[DONE]`` must end it.
"""

import json
import re
from typing import NamedTuple

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
MAX_PARTIAL_BYTES = 1 << 20

_ID = re.compile(rb'"id"\s*:\s*"([^"]*)"')


class StreamError(Exception):
    """The stream is not a whole answer to this request."""


class Passed(NamedTuple):
    """Whole events to pass on."""

    data: bytes
    events: int
    done: bool


class StreamCheck:
    """Checks one answer's stream, across resumptions.

    Args:
        request_id: the identifier sent along. An engine that builds it
            into its own identifier must do so after a resumption too.
    """

    def __init__(self, request_id: str = "") -> None:
        self.request_id = request_id.encode()
        self.partial = b""
        self.identifier = b""
        self.events = 0
        self.done = False
        self.usage_event = b""

    def feed(self, chunk: bytes) -> Passed:
        """Take in bytes and return the whole events they complete.

        Raises:
            StreamError: an event belongs to another answer, comes after
                the end, or is too large.
        """
        data = self.partial + chunk if self.partial else chunk
        if data.endswith(EVENT_END) and not self.done:
            self.partial = b""
            return self._check(data)
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep_partial(data)
            return Passed(b"", 0, False)
        whole, partial = data[: end + 2], data[end + 2 :]
        self._keep_partial(partial)
        if self.done:
            raise StreamError("an event after the end")
        return self._check(whole)

    def restart(self) -> None:
        """Forget a half event before resuming elsewhere."""
        self.partial = b""
        echoed = self.request_id and self.request_id in self.identifier
        if not echoed:
            self.identifier = b""

    def usage(self) -> tuple[int, int] | None:
        """Return (prompt, output) tokens that the engine stated."""
        if not self.usage_event:
            return None
        try:
            event = json.loads(self.usage_event.split(b":", 1)[1])
            usage = event["usage"]
            return int(usage["prompt_tokens"]), int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError, IndexError):
            return None

    def _keep_partial(self, data: bytes) -> None:
        if len(data) > MAX_PARTIAL_BYTES:
            raise StreamError("an event is too large")
        self.partial = data

    def _check(self, whole: bytes) -> Passed:
        count = whole.count(EVENT_END)
        done = whole.rfind(DONE)
        if done >= 0:
            self.done = True
            count -= 1
        if count:
            self._check_identifiers(whole, count)
            self._note_usage(whole)
        self.events += count
        return Passed(whole, count, self.done)

    def _check_identifiers(self, whole: bytes, count: int) -> None:
        if not self.identifier:
            match = _ID.search(whole)
            if match is None:
                return
            self.identifier = match.group(0)
        if whole.count(self.identifier) == count:
            return
        for found in _ID.finditer(whole):
            if found.group(0) != self.identifier:
                raise StreamError("an event of another answer")

    def _note_usage(self, whole: bytes) -> None:
        if b'"usage"' not in whole:
            return
        for event in whole.split(EVENT_END):
            if b'"usage":{' in event or b'"usage": {' in event:
                self.usage_event = event


__all__ = ["DONE", "Passed", "StreamCheck", "StreamError"]
