"""Room at the endpoints of a service, and whether places are scarce.

Does no I/O; the caller passes the current time in ms. A place is one slot of
an endpoint.
"""

from typing import Iterable
from typing import NamedTuple

from primrosehitch.endpoint import Choice
from primrosehitch.endpoint import Endpoint
from primrosehitch.endpoint import REPORTED_LOAD_TTL_MS

# Under overload some places are free for a moment between two requests.
# Samples show no room if more requests wait than places are free and no
# larger part than the first is free. Nothing is refused while a larger part
# than the second is free.
SCARCE_FREE_FRACTION = 0.05
AMPLE_FREE_FRACTION = 0.10
# Places are scarce once samples have shown no room for the first time, and
# until none has shown it for the second. Refusals that end with the first
# free place let in more at once than there is room for.
MIN_CONFIRMATION_MS = 150
LINGER_MS = 1000
# The endpoints are counted so often at most.
SAMPLE_PERIOD_MS = 100


class Room(NamedTuple):
    """The places of a service's endpoints.

    Attributes:
        places: number of all places.
        free: number of those that are free.
        waiting: requests at endpoints that wait for a place.
    """

    places: int
    free: float
    waiting: float


class Queue(NamedTuple):
    """What a request finds at an endpoint.

    Attributes:
        length: requests that have to end before it can start; 0 if a place
            is free.
        places: requests that the endpoint runs at a time.
    """

    length: float
    places: float


def measure_room(
    endpoints: Iterable[Endpoint], now: int, counts_remote: bool
) -> Room:
    """Return the room at endpoints that may be sent requests.

    Args:
        endpoints: the endpoints.
        now: the current time in ms.
        counts_remote: whether the loads of other edges are known.
    """
    places = 0
    free = waiting = 0.0
    for endpoint in endpoints:
        slots = max(1, endpoint.record.slots)
        places += slots
        known = endpoint.inflight
        if counts_remote:
            known += endpoint.remote_inflight
        reported = endpoint.reported_load
        if (
            reported is not None
            and now - reported.received_at <= REPORTED_LOAD_TTL_MS
        ):
            waiting += reported.waiting
            if not reported.waiting:
                free += max(0, slots - reported.running)
        else:
            waiting += max(0, known - slots)
            free += max(0, slots - known)
    return Room(places, free, waiting)


def queue_at(choice: Choice, now: int) -> Queue:
    """Return the queue that a request finds at the chosen endpoint.

    An engine whose memory is full queues requests while it has free slots.
    """
    endpoint = choice.endpoint
    slots = max(1, endpoint.record.slots)
    length = max(0.0, choice.load + 1 - slots)
    reported = endpoint.reported_load
    if (
        reported is None
        or not reported.waiting
        or now - reported.received_at > REPORTED_LOAD_TTL_MS
    ):
        return Queue(length, slots)
    places = min(slots, max(1, reported.running))
    return Queue(max(length, reported.waiting + 1), places)


def estimate_hold_ms(
    choice: Choice,
    queue: Queue,
    first_ms: float,
    rest_ms: float,
    is_engine: bool,
) -> float:
    """Return for how long a request held a place of its endpoint.

    A stream holds one while it goes on, and before its first event for no
    longer than predicted without a queue. In a queue of as many plain calls
    as an endpoint runs at a time, a call waits as long as it then takes.

    Args:
        choice: the choice with which it was sent.
        queue: the queue that it found.
        first_ms: time from sending to the first event or the answer.
        rest_ms: time from there to the end.
        is_engine: whether the endpoint is a model engine.
    """
    if is_engine:
        unqueued_ms = max(0.0, choice.expected_ms - choice.queue_ms)
        return min(first_ms, unqueued_ms) + rest_ms
    return first_ms / (1 + queue.length / queue.places) + rest_ms


class Scarcity:
    """Whether places of one service are scarce.

    Attributes:
        room: the last sample, None before the first.
        sampled_at: its time in ms.
        full_since: since when samples show no room, -1 if the last one
            showed some.
        full_at: time of the last sample without room, in ms.
        is_scarce: whether places are scarce.
        began_at: since when, in ms.
    """

    def __init__(self) -> None:
        self.room: Room | None = None
        self.sampled_at = -1
        self.full_since = -1
        self.full_at = -1
        self.is_scarce = False
        self.began_at = -1

    @property
    def allows_refusals(self) -> bool:
        """Whether places are scarce and requests waited a moment ago."""
        room = self.room
        return (
            self.is_scarce
            and room is not None
            and room.waiting > 0
            and room.free <= AMPLE_FREE_FRACTION * room.places
        )

    def is_scarce_at(self, now: int) -> bool:
        """Return whether places are scarce by a sample of late."""
        return self.is_scarce and now - self.sampled_at <= LINGER_MS

    def is_due(self, now: int) -> bool:
        """Return whether the endpoints are to be counted again."""
        return self.room is None or now - self.sampled_at >= SAMPLE_PERIOD_MS

    def update(self, room: Room, now: int) -> bool:
        """Include a sample; return whether scarcity began or ended."""
        was_scarce = self.is_scarce
        if now - self.sampled_at > LINGER_MS:
            self.full_since = -1
            self.is_scarce = False
        self.room = room
        self.sampled_at = now
        is_full = (
            room.waiting > room.free
            and room.free <= SCARCE_FREE_FRACTION * room.places
        )
        if not is_full:
            self.full_since = -1
            if now - self.full_at > LINGER_MS:
                self.is_scarce = False
        else:
            self.full_at = now
            if self.full_since < 0:
                self.full_since = now
            elif now - self.full_since >= MIN_CONFIRMATION_MS:
                self.is_scarce = True
        if self.is_scarce and not was_scarce:
            self.began_at = now
        return self.is_scarce != was_scarce


__all__ = [
    "Queue",
    "Room",
    "Scarcity",
    "estimate_hold_ms",
    "measure_room",
    "queue_at",
]
