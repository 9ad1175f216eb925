"""Which control instance an edge uses, and which ones it dials meanwhile.

Does no I/O; the caller passes the current time in ms, keeps links to the
instances in ``dialed`` and asks ``choose`` again after each event.

An edge uses one control instance at a time. Once that one is gone, silent
or without a quorum, the edge dials several others at once, the ones seen
last first, so that dead addresses cost no time. It asks one after the other
of those that answer the dial.
"""

import random
from typing import Callable
from typing import Mapping
from typing import NamedTuple

from primrosehitch import controldirectory

# Time without a confirmation of the instance in use after which the edge
# looks for another one. Well below the time in which a configuration change
# must reach the edges.
CONTROL_TIMEOUT_MS = 700
# The same after this many statuses in a row that tell of no quorum.
MAX_UNCONFIRMED = 2
# An instance whose link is up answers within this time.
ANSWER_TIMEOUT_MS = 400
# An instance without a quorum is asked again after this time, and each time
# that all were asked in vain so much later, up to the second time.
ASK_AGAIN_MS = 500
MAX_ASK_AGAIN_MS = 2000
# So many more instances are dialed at once, each time this period is over.
SEARCH_WIDTH = 4
SEARCH_PERIOD_MS = 200
# Minimum time between returns to a control instance of the edge's own
# failure domain; an unreliable path would cause flapping otherwise.
MIN_RETURN_INTERVAL_MS = 10_000
# A return is given up if no link is up by then.
RETURN_TIMEOUT_MS = 2000


class Choice(NamedTuple):
    """An instance to use from now on, and the reason for the log."""

    name: str
    why: str


class ControlSelector:
    """Selects the control instance of one edge.

    Args:
        directory: the control instances that are known.
        domain: the edge's failure domain.
        rng: picks among equals.
        now: the current time in ms.

    Attributes:
        current: the instance in use, empty before the first one.
        dialed: the instances to keep links to.
        returning_to: an instance of the edge's own failure domain that
            is used once its link is up, or empty.
        last_return_ms: when such a return last began.
    """

    def __init__(
        self,
        directory: controldirectory.ControlDirectory,
        domain: str,
        rng: random.Random,
        now: int,
    ):
        self.directory = directory
        self.domain = domain
        self.rng = rng
        self.current = ""
        self.dialed: set[str] = set()
        self.returning_to = ""
        self.last_return_ms = now - MIN_RETURN_INTERVAL_MS
        self.is_searching = False
        self.widened_ms = now - SEARCH_PERIOD_MS
        self.asked_ms: dict[str, int] = {}
        self.asked_count = 0
        self.confirmed_ms = now
        self.unconfirmed = 0
        self.has_lost_link = True

    def use(self, name: str, now: int) -> None:
        """Use an instance from now on."""
        self.current = name
        self.dialed.add(name)
        self.returning_to = ""
        self.asked_ms[name] = now
        self.asked_count += 1
        self.confirmed_ms = now
        self.unconfirmed = 0
        self.has_lost_link = False

    def record_status(self, name: str, has_quorum: bool, now: int) -> None:
        """Record a status of an instance."""
        self.directory.record_seen(name, now)
        if name != self.current:
            return
        if has_quorum:
            self.confirmed_ms = now
            self.unconfirmed = 0
            self.is_searching = False
        else:
            self.unconfirmed += 1

    def record_loss(self, name: str) -> None:
        """Record that the link to an instance has ended."""
        if name == self.current:
            self.has_lost_link = True

    def choose(
        self, now: int, is_connected: Callable[[str], bool]
    ) -> Choice | None:
        """Return the instance to use from now on, None to keep the current.

        Args:
            now: the current time in ms.
            is_connected: returns whether the link to an instance is up.
        """
        why = self._reason_to_leave(now)
        if why:
            self.is_searching = True
        if not self.is_searching:
            self._end_search()
            return self._choose_return(now, is_connected)
        self._widen(now)
        if not why:
            return None
        candidates = [
            name
            for name in self.dialed
            if name != self.current
            and is_connected(name)
            and self._may_ask(name, now)
        ]
        if candidates:
            self.rng.shuffle(candidates)
            return Choice(min(candidates, key=self._preference), why)
        if self.has_lost_link and is_connected(self.current):
            # The link was up again before any other.
            return Choice(self.current, why)
        return None

    def _may_ask(self, name: str, now: int) -> bool:
        """Return whether an instance was not asked a short time ago."""
        rounds = self.asked_count // len(self.dialed)
        pause_ms = min(MAX_ASK_AGAIN_MS, ASK_AGAIN_MS * (1 + rounds))
        return now - self.asked_ms.get(name, now - pause_ms) >= pause_ms

    def _reason_to_leave(self, now: int) -> str:
        """Return why another instance is needed, empty if none is."""
        if not self.current:
            return "start"
        if self.has_lost_link:
            return "link lost"
        if now - self.confirmed_ms > CONTROL_TIMEOUT_MS:
            return "no status with a quorum in time"
        if self.unconfirmed >= MAX_UNCONFIRMED or (
            self.is_searching and self.unconfirmed
        ):
            return "no quorum"
        if (
            self.is_searching
            and now - self.asked_ms[self.current] > ANSWER_TIMEOUT_MS
        ):
            return "no answer"
        return ""

    def _preference(self, name: str) -> tuple[int, bool]:
        """Return a key that orders candidates, the first one lowest."""
        asked_ms = self.asked_ms.get(name, -1)
        return asked_ms, self.directory.domain_of(name) != self.domain

    def _widen(self, now: int) -> None:
        """Dial some more instances."""
        if now - self.widened_ms < SEARCH_PERIOD_MS:
            return
        self.widened_ms = now
        names = self.directory.by_last_seen()
        further = [name for name in names if name not in self.dialed]
        self.dialed.update(further[:SEARCH_WIDTH])

    def _end_search(self) -> None:
        self.dialed = {self.current}
        if self.returning_to:
            self.dialed.add(self.returning_to)
        self.asked_ms = {self.current: self.asked_ms[self.current]}
        self.asked_count = 0

    def consider_return(self, listed: Mapping[str, str], now: int) -> None:
        """Begin a return to the edge's own failure domain if that is due.

        Args:
            listed: failure domains by name of the instances that the one
                in use hears, while that has a quorum.
            now: the current time in ms.
        """
        same_domain = [
            name
            for name, domain in listed.items()
            if domain == self.domain and name in self.directory.known
        ]
        if (
            not same_domain
            or self.directory.domain_of(self.current) == self.domain
            or now - self.last_return_ms < MIN_RETURN_INTERVAL_MS
        ):
            return
        self.last_return_ms = now
        self.returning_to = self.rng.choice(same_domain)
        self.dialed.add(self.returning_to)

    def _choose_return(
        self, now: int, is_connected: Callable[[str], bool]
    ) -> Choice | None:
        if not self.returning_to:
            return None
        if is_connected(self.returning_to):
            return Choice(self.returning_to, "return to own failure domain")
        if now - self.last_return_ms > RETURN_TIMEOUT_MS:
            self.returning_to = ""
        return None


__all__ = [
    "CONTROL_TIMEOUT_MS",
    "Choice",
    "ControlSelector",
    "MIN_RETURN_INTERVAL_MS",
]
