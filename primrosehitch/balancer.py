"""Which endpoint serves a request.

Pure. Each endpoint's predicted time to the answer's first byte is worked
out from what this edge has under way there, from the load that the
endpoint told in its last answer, from what other edges say they have
under way, and from the parts of the prompt it is thought to hold.
Endpoints that fail are put aside for a growing time.
"""

import random
import statistics
from typing import Iterable

import xxhash

from primrosehitch import gathering
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch.endpoint import Ask
from primrosehitch.endpoint import Choice
from primrosehitch.endpoint import Endpoint
from primrosehitch.endpoint import KEPT_PART
from primrosehitch.endpoint import Part
from primrosehitch.endpoint import QUIET_STREAM_MS
from primrosehitch.endpoint import Told

# Reading a part of a prompt again delays all that come after it; this
# many times its own delay, in a steady load.
AGAIN_COST = 1.0
# An engine is slow if it is this many times behind the median, and is
# never taken to be slower than the second figure.
SLOW_FROM = 2.0
SLOW_MOST = 8.0
# Prompts of this many unread tokens show how fast an engine reads.
LEARN_TOKENS = 2000
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.01
# Weight of a new observation in running means.
MEAN_WEIGHT = 0.2
# What was read waits this long for more before it is told, in seconds; a
# shared part takes some hundred ms to read.
PARTS_PAUSE_S = 0.03
# First guess of prompt tokens that an engine reads in a ms.
TOKENS_PER_MS = 40.0
# First guess of the time to a first event beside reading the prompt.
ENGINE_BASE_MS = 40.0
# How much one running request slows another at an engine, in ms.
RUNNING_MS = 1.0
# One way to another failure domain and back costs this much more, in ms.
OTHER_DOMAIN_MS = 2.0
# An endpoint that fails is put aside this long at first, then doubling.
ASIDE_MIN_MS = 400
ASIDE_MAX_MS = 8000
FAILURES_ASIDE = 2
# A failure domain is taken to be cut off while this many endpoints there
# were out of reach within this time, in ms, and none was heard since.
CUT_ENDPOINTS = 2
CUT_MS = 1500
# What choosing a suspect endpoint costs, in ms of waiting.
SUSPECT_MS = 4000.0
# Weight of one answer in an endpoint's share of failures, and what that
# share is worth beside the predicted time, in ms.
ERROR_WEIGHT = 0.1
ERRORS_MS = 100.0
# A request that goes to an engine kept for the other kind costs as much
# as this much waiting, in ms: a late pause loses most of a stream's worth.
TIGHT_CROSSING_MS = 1500.0
LOOSE_CROSSING_MS = 3000.0
# Engine time of one output token in a common batch, in ms.
TOKEN_MS = 0.65
# Weight of one request in the share of work that tight streams have.
SHARE_WEIGHT = 0.02
# How long an endpoint that rejected a request is taken to be full.
FULL_MS = 150


# Up to this many endpoints are all weighed against each other; of more,
# a sample of the lane in the own failure domain and of all.
SHORTLIST = 32
NEAR_SAMPLE = 12
SAMPLE = 6

CALM = Part("calm", 0)
# An endpoint's place in the order of a part: a product modulo 2**64.
RANK_BITS = (1 << 64) - 1
NO_LOAD = messages.EndpointLoad()


Parts = gathering.Gatherer[tuple[str, str], messages.PartRead]


def make_parts() -> Parts:
    """Return what holds news of parts read, by endpoint and part."""
    return gathering.Gatherer(PARTS_PAUSE_S)


class Balancer:
    """All endpoints that this edge may send to.

    Args:
        domain: the edge's own failure domain.
        rng: breaks ties.
    """

    def __init__(self, domain: str, rng: random.Random):
        self.domain = domain
        self.rng = rng
        self.edges = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.tokens_per_ms: dict[str, float] = {}
        self.tight_share: dict[str, float] = {}
        self.out_of_reach: dict[str, dict[str, int]] = {}
        self.read = make_parts()

    # -- membership --------------------------------------------------------

    def update(
        self,
        record: messages.EndpointRecord,
        kv_tokens: int,
        connections: int = 0,
    ) -> None:
        """Take in an endpoint's newest record.

        Args:
            record: what it told of itself.
            kv_tokens: the size of an engine's memory, or 0.
            connections: how many it takes from all edges, 0 for any.
        """
        known = self.endpoints.get(record.id)
        if known is not None and known.record.born == record.born:
            known.record = record
            known.connections = connections
        elif record.state != registry.LEFT:
            self.endpoints[record.id] = Endpoint(
                record, kv_tokens, connections
            )
        if record.state == registry.LEFT:
            self.endpoints.pop(record.id, None)
        self._index()

    def _index(self) -> None:
        self.by_service = {}
        for endpoint in self.endpoints.values():
            if endpoint.record.state == registry.READY:
                self.by_service.setdefault(endpoint.record.service, []).append(
                    endpoint
                )

    # -- choice ------------------------------------------------------------

    def usable(
        self, service: str, tried: Iterable[str], now: int
    ) -> list[Endpoint]:
        """Return endpoints that may be sent to.

        Those put aside are returned only if there are no others.
        """
        skipped = set(tried)
        ready = [
            e
            for e in self.by_service.get(service, ())
            if e.record.id not in skipped and e.has_room(self.edges)
        ]
        return [e for e in ready if e.aside_until <= now] or ready

    def choose(
        self, ask: Ask, tried: Iterable[str], now: int
    ) -> Choice | None:
        """Return the endpoint predicted to answer first, or None."""
        usable = self.usable(ask.service, tried, now)
        calm = self._calm(ask, usable)
        lane = [e for e in usable if (e.record.id in calm) == ask.tight]
        favourites = self._favourites(ask, lane or usable)
        best: Choice | None = None
        for endpoint in self._shortlist(ask, usable, lane, favourites):
            presumed = favourites.get(endpoint.record.id, 0)
            choice = self._predict(endpoint, ask, presumed, now)
            if calm and (endpoint.record.id in calm) != ask.tight:
                crossing = (
                    TIGHT_CROSSING_MS if ask.tight else LOOSE_CROSSING_MS
                )
                choice = choice._replace(
                    predicted_ms=choice.predicted_ms + crossing
                )
            if best is None or choice.predicted_ms < best.predicted_ms:
                best = choice
        return best

    def _shortlist(
        self,
        ask: Ask,
        usable: list[Endpoint],
        lane: list[Endpoint],
        favourites: dict[str, int],
    ) -> list[Endpoint]:
        """Return those worth a prediction, so that its cost stays flat.

        Among many, those that hold or should hold a part of the prompt,
        and a sample of the rest; the best of a sample is close to the
        best of all.
        """
        if len(usable) <= SHORTLIST:
            return usable
        shared = ask.parts[:-1]
        chosen = [
            e
            for e in usable
            if e.record.id in favourites or (shared and e.depth(shared))
        ]
        near = [e for e in lane if e.record.domain == self.domain]
        for group, count in ((near or lane, NEAR_SAMPLE), (usable, SAMPLE)):
            chosen += self.rng.sample(group, min(count, len(group)))
        return chosen

    def _calm(self, ask: Ask, usable: list[Endpoint]) -> set[str]:
        """Return the engines kept for streams with short pauses.

        All edges take the first of the same order, as many as the tight
        streams' share of the work asks for.
        """
        share = self.tight_share.get(ask.service, 0.0)
        if not ask.prompt_tokens or len(usable) < 2 or not 0 < share < 1:
            return set()
        count = min(len(usable) - 1, max(1, round(share * len(usable))))
        mark = _mark(CALM)
        order = sorted(usable, key=lambda e: mark * e.salt & RANK_BITS)
        return {e.record.id for e in order[:count]}

    def _note_share(self, choice: Choice, ask: Ask) -> None:
        """Weigh a request's work in the tight streams' share."""
        rate = self.tokens_per_ms.get(ask.service, TOKENS_PER_MS)
        work = choice.reading_tokens / rate + ask.output_tokens * TOKEN_MS
        weight = min(0.5, SHARE_WEIGHT * work / ENGINE_BASE_MS)
        known = self.tight_share.get(ask.service, float(ask.tight))
        known += weight * (float(ask.tight) - known)
        self.tight_share[ask.service] = known

    def _favourites(self, ask: Ask, usable: list[Endpoint]) -> dict[str, int]:
        """Return how many leading parts each endpoint should hold.

        All edges order the endpoints alike for a part that no one is
        known to hold, so that they read it at the same one before they
        have told each other.
        """
        favourites: dict[str, int] = {}
        if not usable:
            return favourites
        shared = ask.parts[:-1]
        known = max(e.depth(shared) for e in usable)
        for i, part in enumerate(shared):
            if i < known:
                continue
            mark = _mark(part)
            first = max(
                usable,
                key=lambda e: mark * e.salt & RANK_BITS,
            )
            favourites[first.record.id] = i + 1
        return favourites

    def _predict(
        self, endpoint: Endpoint, ask: Ask, presumed: int, now: int
    ) -> Choice:
        load = endpoint.load(now)
        slots = max(1, endpoint.record.slots)
        away = ERRORS_MS * endpoint.errors
        if endpoint.full_until > now:
            away += FULL_MS
        if endpoint.suspect(now) or self._cut_off(endpoint.record.domain, now):
            away += SUSPECT_MS
        if endpoint.record.domain != self.domain:
            away += OTHER_DOMAIN_MS
        if not ask.prompt_tokens:
            queue = max(0.0, load + 1 - slots) / slots
            spread = load / slots
            wait = endpoint.call_ms * (1 + queue + 0.5 * spread)
            jitter = self.rng.random()
            return Choice(endpoint, wait + away + jitter, 0)
        held = endpoint.held(ask.parts, presumed)
        unread = max(0.0, ask.prompt_tokens - held)
        rate = self.tokens_per_ms.get(ask.service, TOKENS_PER_MS)
        ahead = endpoint.reading_tokens + endpoint.others_reading
        reading = (unread + ahead) / rate
        full = max(0.0, load + 1 - slots) * ENGINE_BASE_MS
        running = load * RUNNING_MS
        expected = ENGINE_BASE_MS + reading + running + full
        predicted = expected * self._slowness(endpoint)
        predicted += unread / rate * AGAIN_COST
        predicted += away + self._memory_ms(endpoint, ask)
        return Choice(endpoint, predicted, int(unread), expected)

    def _memory_ms(self, endpoint: Endpoint, ask: Ask) -> float:
        """Return the expected wait for memory at an engine."""
        if not endpoint.kv_tokens:
            return 0.0
        wanted = endpoint.held_tokens + ask.prompt_tokens + ask.output_tokens
        over = wanted / endpoint.kv_tokens - KEPT_PART
        return max(0.0, over) * 2000.0

    # -- other edges -------------------------------------------------------

    def own_loads(self) -> tuple[messages.EndpointLoad, ...]:
        """Return what this edge has under way, to be told to others."""
        loads = []
        for endpoint in self.endpoints.values():
            endpoint.said_running = endpoint.inflight
            endpoint.said_reading = max(0, endpoint.reading_tokens)
            if endpoint.inflight:
                loads.append(
                    messages.EndpointLoad(
                        endpoint.record.id,
                        endpoint.said_running,
                        endpoint.said_reading,
                    )
                )
        return tuple(loads)

    def hear_loads(self, total: messages.LoadReport) -> None:
        """Take in the sum over all edges, this one among them."""
        sums = {load.id: load for load in total.loads}
        for identifier, endpoint in self.endpoints.items():
            load = sums.get(identifier, NO_LOAD)
            endpoint.others = max(0, load.running - endpoint.said_running)
            endpoint.others_reading = max(
                0, load.reading - endpoint.said_reading
            )

    def hear_read(self, told: messages.PartsRead) -> None:
        """Take in which parts other edges gave to which engines."""
        for item in told.parts:
            endpoint = self.endpoints.get(item.endpoint)
            if endpoint is not None:
                endpoint.note_parts((Part(item.part, item.tokens),))

    def _note_read(self, endpoint: Endpoint, ask: Ask) -> None:
        for part in ask.parts[:-1]:
            key = (endpoint.record.id, part.identifier)
            told = messages.PartRead(
                endpoint.record.id, part.identifier, part.tokens
            )
            self.read.put(key, told)

    # -- observations ------------------------------------------------------

    def begin(self, choice: Choice, ask: Ask, now: int) -> None:
        """Note that a request is sent."""
        endpoint = choice.endpoint
        if not endpoint.inflight:
            endpoint.active_since = now
        endpoint.inflight += 1
        endpoint.reading_tokens += choice.reading_tokens
        endpoint.held_tokens += ask.prompt_tokens + ask.output_tokens
        if ask.parts:
            endpoint.note_parts(ask.parts)
            self._note_read(endpoint, ask)
        if ask.prompt_tokens:
            self._note_share(choice, ask)

    def first_byte(self, choice: Choice, ask: Ask, took_ms: float) -> None:
        """Note that an answer began."""
        endpoint = choice.endpoint
        endpoint.reading_tokens -= choice.reading_tokens
        endpoint.streaming += ask.prompt_tokens > 0
        endpoint.failures = 0
        endpoint.errors -= ERROR_WEIGHT * endpoint.errors
        if not ask.prompt_tokens:
            endpoint.call_ms += MEAN_WEIGHT * (took_ms - endpoint.call_ms)
            return
        expected = max(ENGINE_BASE_MS, choice.expected_ms)
        ratio = min(SLOW_MOST, max(0.25, took_ms / expected))
        endpoint.slow += MEAN_WEIGHT * (ratio - endpoint.slow)
        self._learn_rate(choice, ask, took_ms)

    def _learn_rate(self, choice: Choice, ask: Ask, took_ms: float) -> None:
        """Learn how fast an engine reads from its fastest answers."""
        if choice.reading_tokens < LEARN_TOKENS:
            return
        seen = choice.reading_tokens / max(1.0, took_ms - ENGINE_BASE_MS)
        known = self.tokens_per_ms.get(ask.service, TOKENS_PER_MS)
        weight = FASTER_WEIGHT if seen > known else SLOWER_WEIGHT
        seen = min(seen, 2 * known)
        self.tokens_per_ms[ask.service] = known + weight * (seen - known)

    def _slowness(self, endpoint: Endpoint) -> float:
        """Return how much slower than its like an engine is, from 1.

        Waiting makes all engines look slow now and then; only one that
        is far behind the median is treated as slow.
        """
        if endpoint.slow < SLOW_FROM:
            return 1.0
        alike = self.by_service.get(endpoint.record.service, ())
        if len(alike) < 2:
            return 1.0
        median = statistics.median_low([e.slow for e in alike])
        relative = endpoint.slow / max(median, 0.25)
        return relative if relative >= SLOW_FROM else 1.0

    def finish(self, choice: Choice, ask: Ask, began: bool) -> None:
        """Note that a request ended, however it did.

        Args:
            choice: what was chosen for it.
            ask: the request.
            began: whether ``first_byte`` was called.
        """
        endpoint = choice.endpoint
        endpoint.inflight -= 1
        endpoint.held_tokens -= ask.prompt_tokens + ask.output_tokens
        if not began:
            endpoint.reading_tokens -= choice.reading_tokens
        else:
            endpoint.streaming -= ask.prompt_tokens > 0

    def failed(self, endpoint: Endpoint, now: int) -> None:
        """Note a failure; repeated ones put the endpoint aside."""
        endpoint.failures += 1
        if endpoint.heard_at < now - CUT_MS:
            self._note_out_of_reach(endpoint, now)
        beyond = endpoint.failures - FAILURES_ASIDE
        if beyond >= 0:
            pause = min(ASIDE_MAX_MS, ASIDE_MIN_MS << min(beyond, 8))
            endpoint.aside_until = now + pause

    def heard(self, endpoint: Endpoint, now: int) -> None:
        """Note that bytes of an answer came from an endpoint."""
        endpoint.heard_at = now
        if self.out_of_reach:
            self.out_of_reach.pop(endpoint.record.domain, None)

    def _note_out_of_reach(self, endpoint: Endpoint, now: int) -> None:
        """Note that an endpoint's failure domain may be cut off."""
        domain = endpoint.record.domain
        failed = self.out_of_reach.setdefault(domain, {})
        failed[endpoint.record.id] = now

    def _cut_off(self, domain: str, now: int) -> bool:
        """Return whether several endpoints of a domain failed lately.

        One alone is an endpoint's own failure; a domain is cut off or
        lost as a whole.
        """
        failed = self.out_of_reach.get(domain)
        if not failed:
            return False
        for identifier, at in list(failed.items()):
            if now - at > CUT_MS:
                del failed[identifier]
        return len(failed) >= CUT_ENDPOINTS

    def erred(self, endpoint: Endpoint) -> None:
        """Note an answer that is a failure of the endpoint's own."""
        endpoint.errors += ERROR_WEIGHT * (1 - endpoint.errors)

    def rejected(self, endpoint: Endpoint, now: int) -> None:
        """Note that an endpoint was full a moment ago."""
        endpoint.full_until = now + FULL_MS

    def unreachable(self, endpoint: Endpoint, now: int) -> None:
        """Note that no connection opened: put aside at once."""
        endpoint.failures = max(endpoint.failures, FAILURES_ASIDE - 1)
        self._note_out_of_reach(endpoint, now)
        self.failed(endpoint, now)

    def note_told(self, endpoint: Endpoint, told: Told) -> None:
        """Take in the load that an endpoint told."""
        endpoint.told = told


def _mark(part: Part) -> int:
    """Return a number that stands for a part, alike at all edges."""
    return xxhash.xxh64_intdigest(part.identifier.encode())


__all__ = [
    "Ask",
    "Balancer",
    "Choice",
    "Endpoint",
    "KEPT_PART",
    "Part",
    "Parts",
    "QUIET_STREAM_MS",
    "Told",
    "make_parts",
]
