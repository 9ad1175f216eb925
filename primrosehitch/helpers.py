"""Edges that forward requests for an edge that reaches no endpoint.

A partition may cut an edge off from the endpoints of a service while callers
and the other edges still reach it. It then sends its requests to another
edge, which serves them like its own. The control instances know which edges
can help. An edge tells a fresh random token to them, and they tell it only to
edges, so that no caller can pass a request off as an edge's.
"""

import random
import secrets

import anyio

from primrosehitch import clock
from primrosehitch import messages

TOKEN_BYTES = 16
# Edges that one control instance names.
MAX_HELPERS = 8
# For how long an edge uses the helpers that it was told of.
HELPERS_TTL_MS = 1000
# While none is known, an edge asks again after this time.
NO_HELPERS_TTL_MS = 100
# How long a request waits to be told of helpers, in seconds.
HELPERS_WAIT_S = 0.25
# An edge that could not be reached, or refused, is left out for this long.
FAILED_HELPER_MS = 1000


def make_token() -> str:
    """Return a token by which an edge knows requests of other edges."""
    return secrets.token_hex(TOKEN_BYTES)


def select_helpers(
    known: list[messages.HelperEdge],
    domain: str,
    rng: random.Random,
) -> tuple[messages.HelperEdge, ...]:
    """Return some of the edges that can help, those of a domain first."""
    candidates = rng.sample(known, len(known))
    candidates.sort(key=lambda helper: helper.domain != domain)
    return tuple(candidates[:MAX_HELPERS])


class HelperDirectory:
    """The edges that can help, as the control instance told this edge.

    Args:
        own_front: address at which this edge serves callers.
        domain: this edge's failure domain.
        rng: draws a helper.

    Attributes:
        helpers: the edges that it was told of.
        told_at: when that was, in ms, or -1.
        failed_at: when a helper failed last, in ms, by address.
        wanted: set while a request waits to be told of helpers.
        told: set when helpers are told, then replaced by a new event.
    """

    def __init__(self, own_front: str, domain: str, rng: random.Random):
        self.own_front = own_front
        self.domain = domain
        self.rng = rng
        self.helpers: tuple[messages.HelperEdge, ...] = ()
        self.told_at = -1
        self.failed_at: dict[str, int] = {}
        self.wanted = anyio.Event()
        self.told = anyio.Event()

    def apply(self, helpers: tuple[messages.HelperEdge, ...]) -> None:
        """Replace the known helpers, and wake the requests that wait."""
        now = clock.now_ms()
        self.helpers, self.told_at = helpers, now
        self.failed_at = {
            front: at
            for front, at in self.failed_at.items()
            if now - at <= FAILED_HELPER_MS
        }
        event, self.told = self.told, anyio.Event()
        event.set()

    def record_failure(self, helper: messages.HelperEdge) -> None:
        """Leave a helper out for some time."""
        self.failed_at[helper.front] = clock.now_ms()

    async def choose(self, service: str) -> messages.HelperEdge | None:
        """Return an edge that reaches a service, or None.

        Edges of the own failure domain come first.
        """
        if not self._is_current():
            self.wanted.set()
            with anyio.move_on_after(HELPERS_WAIT_S):
                await self.told.wait()
        if not self._is_current():
            return None
        now = clock.now_ms()
        usable = [
            helper
            for helper in self.helpers
            if helper.front != self.own_front
            and service not in helper.unreachable
            and now - self.failed_at.get(helper.front, -FAILED_HELPER_MS)
            >= FAILED_HELPER_MS
        ]
        near = [h for h in usable if h.domain == self.domain]
        candidates = near or usable
        return self.rng.choice(candidates) if candidates else None

    def _is_current(self) -> bool:
        since = clock.now_ms() - self.told_at
        ttl_ms = HELPERS_TTL_MS if self.helpers else NO_HELPERS_TTL_MS
        return self.told_at >= 0 and since <= ttl_ms


__all__ = [
    "HelperDirectory",
    "MAX_HELPERS",
    "make_token",
    "select_helpers",
]
