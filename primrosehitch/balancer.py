"""Load balancer that chooses the endpoint for each request.

Does no I/O; the caller passes the current time in ms. The balancer
predicts each endpoint's time to first byte from this edge's in-flight
requests, the load that the endpoint reported with its last answer, the
in-flight requests of other edges, and the prompt parts expected in the
endpoint's prefix cache. Endpoints that fail repeatedly are ejected for a
time that doubles with each further failure.
"""

import random
import statistics
from typing import Callable
from typing import Iterable
from typing import NamedTuple

import xxhash

from primrosehitch import coldstarts
from primrosehitch import endpointlimits
from primrosehitch import gathering
from primrosehitch import loads as loads_module
from primrosehitch import messages
from primrosehitch import pace as pace_module
from primrosehitch import reachability
from primrosehitch import registry
from primrosehitch.endpoint import Choice
from primrosehitch.endpoint import Endpoint
from primrosehitch.endpoint import KV_CACHE_FRACTION
from primrosehitch.endpoint import PromptPart
from primrosehitch.endpoint import ReportedLoad
from primrosehitch.endpoint import RequestProfile
from primrosehitch.endpoint import STREAM_SILENCE_MS

# Prefilling a prompt part again also delays the requests queued behind it.
# At a steady load that delay is this many times the prefill time.
PREFILL_DELAY_FACTOR = 1.0
# An engine counts as slow if its slowness is at least SLOW_RATIO times the
# median. One answer counts as at most MAX_SLOW_RATIO.
SLOW_RATIO = 2.0
MAX_SLOW_RATIO = 8.0
# Only answers to prompts with at least this many uncached tokens update the
# prefill rate.
MIN_RATE_SAMPLE_TOKENS = 2000
# EWMA weights of the prefill rate. It follows the fastest answers, so that a
# sample above the current rate weighs more than one below it.
RATE_INCREASE_WEIGHT = 0.1
RATE_DECREASE_WEIGHT = 0.01
# EWMA weight of one answer in an endpoint's mean call time and slowness.
EWMA_WEIGHT = 0.2
# EWMA weight of one answer in the mean call time of a service, which covers
# the endpoints that state their pace. While such an endpoint does not answer,
# the excess of its own mean over that of the service halves in this time. A
# smaller excess than the tolerance is taken for chance.
SERVICE_EWMA_WEIGHT = 0.05
CALL_HALF_LIFE_MS = 1000.0
CALL_TOLERANCE = 0.5
# Time for which part updates are batched before they are sent. It is short
# beside the prefill of a shared part, which takes some hundred ms.
PART_UPDATES_DELAY_S = 0.03
# Prefill rate of an engine before the first sample.
INITIAL_PREFILL_TOKENS_PER_MS = 40.0
# Estimated time to the first event of a stream, apart from the prefill.
FIRST_EVENT_BASE_MS = 40.0
# Delay that one running request adds to another one on the same engine.
RUNNING_REQUEST_MS = 1.0
# Additional round-trip time to another failure domain.
CROSS_DOMAIN_MS = 2.0
# Cost of an endpoint to which no connection is kept: the handshake, and
# the slot that a new connection holds for a moment. For a plain call it is
# a fraction of the mean call time.
NEW_CONNECTION_MS = 25.0
NEW_CONNECTION_CALL_FRACTION = 0.1
# After EJECTION_FAILURES consecutive failures an endpoint is ejected for
# MIN_EJECTION_MS. Each further failure doubles the time.
MIN_EJECTION_MS = 400
MAX_EJECTION_MS = 8000
EJECTION_FAILURES = 2
# A failure domain counts as unreachable if this many of its endpoints were
# unreachable or silent within UNREACHABLE_DOMAIN_MS and no endpoint of the
# domain has answered since.
UNREACHABLE_DOMAIN_ENDPOINTS = 2
UNREACHABLE_DOMAIN_MS = 1500
# Cost of choosing a cold endpoint, in ms of waiting. For a plain call it is a
# fraction of the mean call time. Warm endpoints come first, but what permits
# allow is worth sending: a cache gets warm by requests.
COLD_PENALTY_MS = 100.0
COLD_CALL_FRACTION = 1.0
# Cost of choosing a suspect endpoint, in ms of waiting.
SUSPECT_PENALTY_MS = 4000.0
# EWMA weight of one answer in an endpoint's error rate, and the cost of an
# error rate of 1, in ms of waiting.
ERROR_EWMA_WEIGHT = 0.1
ERROR_RATE_PENALTY_MS = 100.0
# Cost of placing a gap-sensitive stream on an engine that is not reserved
# for such streams, and of placing another request on a reserved engine, in
# ms of waiting: one late event loses most of the value of a stream.
GAP_SENSITIVE_MISPLACED_MS = 1500.0
OTHER_MISPLACED_MS = 3000.0
# Engine time of one output token in a batch of common size.
OUTPUT_TOKEN_MS = 0.65
# EWMA weight in the gap-sensitive share of a request that takes
# FIRST_EVENT_BASE_MS of engine time; longer ones weigh more.
SHARE_EWMA_WEIGHT = 0.02
# Time for which an endpoint counts as full after it rejected a request, and
# the cost of choosing it meanwhile.
REJECTION_BACKOFF_MS = 150


# Up to this many endpoints, each one's cost is estimated. Among more, only
# the likely cache holders and two random samples are compared: one of
# matching endpoints, in the edge's own failure domain if there are any
# there, and one of all usable endpoints.
FULL_SCAN_ENDPOINTS = 32
LOCAL_SAMPLE_ENDPOINTS = 12
GLOBAL_SAMPLE_ENDPOINTS = 6

# Seeds the endpoint order by which all edges select the same reserved
# engines. All edges must hash the same text.
RESERVED_ORDER_KEY = PromptPart("calm", 0)
# An endpoint's rank for a prompt part is a product modulo 2**64.
HASH_MASK = (1 << 64) - 1
ZERO_LOAD = messages.EndpointLoad()


class Availability(NamedTuple):
    """Endpoints of a service by what rules them out, for the log.

    Attributes:
        known: all endpoints that have not left.
        ready: those that take new requests.
        silent: those that the control instance does not hear.
        ejected: ready ones put aside after failures.
        paused: ready ones that asked for a pause.
        at_connection_limit: ready ones to which this edge may open no
            further connection.
        at_rate_limit: ready ones that named a limit on requests or are
            cold, and for which this edge has no permit.
        cold: ready ones that are cold or presumed cold.
        evacuated: those in evacuated failure domains; only ``known`` counts
            them as well.
    """

    known: int
    ready: int
    silent: int
    ejected: int
    paused: int
    at_connection_limit: int
    at_rate_limit: int
    cold: int
    evacuated: int


PartUpdates = gathering.UpdateBatcher[tuple[str, str], messages.PartRead]


def make_part_updates() -> PartUpdates:
    """Return a batcher of cached prompt parts, keyed by endpoint and part."""
    return gathering.UpdateBatcher(PART_UPDATES_DELAY_S)


class Balancer:
    """The endpoints of one edge, and the choice among them.

    Args:
        domain: the edge's own failure domain.
        rng: draws samples and breaks ties.

    Attributes:
        edge_count: number of edges, this one among them.
        endpoints: all known endpoints by identifier.
        evacuated: failure domains whose endpoints get no request.
        ready_by_service: endpoints in the ready state by service, without
            those in evacuated domains.
        silent_by_service: endpoints in the silent state by service, without
            those in evacuated domains.
        prefill_tokens_per_ms: prefill rate of an engine by service.
        usual_call_ms: mean time of plain calls at the usual pace, by
            service, over the endpoints that state their pace.
        gap_sensitive_share: fraction of the engine time that
            gap-sensitive streams take, by service.
        recent_failures: time of the last failure by failure domain and
            endpoint.
        limits: rate limits that endpoints have named, and permits.
        cold: which endpoints are cold.
        reachability: the services that this edge may be cut off from.
        part_updates: prompt parts that this edge's requests put into the
            endpoints' prefix caches, to be sent to the other edges.
        has_kept_connection: returns whether an idle connection to an
            address (``host:port``) is kept.
    """

    def __init__(self, domain: str, rng: random.Random):
        self.domain = domain
        self.rng = rng
        self.edge_count = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.ready_by_service: dict[str, list[Endpoint]] = {}
        self.silent_by_service: dict[str, list[Endpoint]] = {}
        self.prefill_tokens_per_ms: dict[str, float] = {}
        self.usual_call_ms: dict[str, float] = {}
        self.gap_sensitive_share: dict[str, float] = {}
        self.recent_failures: dict[str, dict[str, int]] = {}
        self.limits = endpointlimits.EndpointLimits()
        self.cold = self.limits.cold
        self.reachability = reachability.Reachability()
        self.part_updates = make_part_updates()
        self.has_kept_connection: Callable[[str], bool] = lambda address: False

    def update_endpoint(
        self,
        record: messages.EndpointRecord,
        kv_tokens: int,
        connections: int = 0,
    ) -> None:
        """Add, update or remove an endpoint according to its newest record.

        A record with another start time (``born``) replaces the endpoint
        together with everything that was observed of it.

        Args:
            record: the newest record.
            kv_tokens: size of an engine's KV cache in tokens, 0 for
                services that are not model engines.
            connections: connections that the endpoint accepts from all
                edges together, 0 for no limit.
        """
        known = self.endpoints.get(record.id)
        if known is not None and known.record.born == record.born:
            known.record = record
            known.connections = connections
        elif record.state != registry.LEFT:
            self._drop(record.id)
            self.endpoints[record.id] = Endpoint(
                record, kv_tokens, connections
            )
        if record.state == registry.LEFT:
            self._drop(record.id)
        self._index_by_state()

    def record_heartbeat(
        self, record: messages.EndpointRecord, now: int
    ) -> None:
        """Record what a heartbeat says of the coldness of an endpoint."""
        endpoint = self.endpoints.get(record.id)
        if endpoint is not None and endpoint.record.born == record.born:
            self.cold.record_heartbeat(record, now)

    def presume_cold(self, domains: Iterable[str], now: int) -> None:
        """Presume endpoints cold that got no requests for some time.

        Args:
            domains: failure domains whose evacuation has ended.
            now: the current time in ms.
        """
        chosen = set(domains)
        for endpoint in self.endpoints.values():
            if endpoint.record.domain in chosen:
                self.cold.presume(
                    endpoint.incarnation, coldstarts.EVACUATED, now
                )

    def remove_endpoint(self, identifier: str) -> None:
        """Remove an endpoint, if it is known."""
        self._drop(identifier)
        self._index_by_state()

    def _drop(self, identifier: str) -> None:
        """Forget an endpoint, and the limit that it had named."""
        endpoint = self.endpoints.pop(identifier, None)
        if endpoint is not None:
            self.limits.forget(endpoint.incarnation)

    def _index_by_state(self) -> None:
        self.ready_by_service = {}
        self.silent_by_service = {}
        for endpoint in self.endpoints.values():
            service = endpoint.record.service
            if self.is_evacuated(endpoint):
                continue
            if endpoint.record.state == registry.READY:
                self.ready_by_service.setdefault(service, []).append(endpoint)
            elif endpoint.record.state == registry.SILENT:
                self.silent_by_service.setdefault(service, []).append(endpoint)

    def set_evacuated(self, domains: Iterable[str]) -> frozenset[str]:
        """Send no request to the endpoints of some failure domains.

        Args:
            domains: all evacuated failure domains.

        Returns:
            The domains whose evacuation ended.
        """
        earlier, self.evacuated = self.evacuated, frozenset(domains)
        self._index_by_state()
        return earlier - self.evacuated

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's failure domain is evacuated."""
        return endpoint.record.domain in self.evacuated

    def has_only_evacuated(
        self, service: str, version: str | None = None
    ) -> bool:
        """Return whether evacuations leave a service without an endpoint.

        Args:
            service: the service.
            version: the software version that must serve the request, or
                None for any.
        """
        if not self.evacuated:
            return False
        serving = [
            e
            for e in self.endpoints.values()
            if e.record.service == service and not e.is_departing
        ]
        if version is not None:
            serving = [e for e in serving if e.record.version == version]
        return bool(serving) and all(map(self.is_evacuated, serving))

    def usable_endpoints(
        self,
        service: str,
        tried: Iterable[str],
        now: int,
        version: str | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints to which a request may be sent.

        An endpoint that the control instance does not hear counts as ready
        while it answers this edge. Other silent endpoints, and then
        ejected ones, are returned only if there are no others.

        Args:
            service: the service.
            tried: identifiers of endpoints to leave out.
            now: the current time in ms.
            version: the software version that must serve the request, or
                None for any.
        """
        excluded = set(tried)
        ready = self._connectable(
            self.ready_by_service.get(service, ()), excluded, now, version
        )
        silent = self._connectable(
            self.silent_by_service.get(service, ()), excluded, now, version
        )
        ready += [e for e in silent if e.is_answering(now)]
        return (
            [e for e in ready if e.ejected_until <= now]
            or [e for e in silent if e.ejected_until <= now]
            or ready
        )

    def _connectable(
        self,
        endpoints: Iterable[Endpoint],
        excluded: set[str],
        now: int,
        version: str | None,
    ) -> list[Endpoint]:
        """Return the endpoints that take requests from this edge."""
        return [
            e
            for e in endpoints
            if e.record.id not in excluded
            and not self.is_evacuated(e)
            and version in (None, e.record.version)
            and not e.is_leaving
            and e.paused_until <= now
            and self.limits.is_open(e.incarnation, now)
            and e.has_free_connection(self.edge_count)
        ]

    def next_available_at(
        self, service: str, now: int, version: str | None = None
    ) -> int:
        """Return when the first endpoint that asked for a pause is back.

        For one whose limit is used up, that is when a permit is due.

        Args:
            service: the service.
            now: the current time in ms; returned unless all endpoints of
                the service that take requests have asked for a pause or
                are at their limit.
            version: the software version that must serve the request, or
                None for any.
        """
        ends = [
            max(e.paused_until, self._permit_due_at(e, now))
            for e in self.ready_by_service.get(service, ())
            if not e.is_leaving and version in (None, e.record.version)
        ]
        return max(now, min(ends, default=now))

    def _permit_due_at(self, endpoint: Endpoint, now: int) -> int:
        """Return when a request may be sent to a limited endpoint."""
        incarnation = endpoint.incarnation
        if self.limits.is_open(incarnation, now):
            return now
        return now + self.limits.next_permit_ms(incarnation, now)

    def availability(self, service: str, now: int) -> Availability:
        """Return how many endpoints of a service are in which state.

        Args:
            service: the service.
            now: the current time in ms.
        """
        known = [
            e for e in self.endpoints.values() if e.record.service == service
        ]
        ready = self.ready_by_service.get(service, ())
        return Availability(
            known=len(known),
            ready=len(ready),
            silent=len(self.silent_by_service.get(service, ())),
            ejected=sum(e.ejected_until > now for e in ready),
            paused=sum(e.paused_until > now for e in ready),
            at_connection_limit=sum(
                not e.has_free_connection(self.edge_count) for e in ready
            ),
            at_rate_limit=sum(
                not self.limits.is_open(e.incarnation, now) for e in ready
            ),
            evacuated=sum(map(self.is_evacuated, known)),
            cold=sum(self.cold.is_cold(e.incarnation, now) for e in ready),
        )

    def choose(
        self, profile: RequestProfile, tried: Iterable[str], now: int
    ) -> Choice | None:
        """Return the endpoint of the lowest estimated cost, or None.

        Args:
            profile: the request.
            tried: identifiers of endpoints to leave out.
            now: the current time in ms.
        """
        self._want_permits(profile.service, now)
        usable = self.usable_endpoints(
            profile.service, tried, now, profile.version
        )
        reserved = self._reserved_engines(profile, usable)
        matching = [
            e
            for e in usable
            if (e.record.id in reserved) == profile.is_gap_sensitive
        ]
        presumed_depths = self._presumed_depths(profile, matching or usable)
        best: Choice | None = None
        for endpoint in self._candidates(
            profile, usable, matching, presumed_depths
        ):
            presumed_depth = presumed_depths.get(endpoint.record.id, 0)
            choice = self._estimate_cost(
                endpoint, profile, presumed_depth, now
            )
            if (
                reserved
                and (endpoint.record.id in reserved)
                != profile.is_gap_sensitive
            ):
                misplaced_ms = (
                    GAP_SENSITIVE_MISPLACED_MS
                    if profile.is_gap_sensitive
                    else OTHER_MISPLACED_MS
                )
                choice = choice._replace(cost_ms=choice.cost_ms + misplaced_ms)
            if best is None or choice.cost_ms < best.cost_ms:
                best = choice
        return best

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether its identifier belongs to a later incarnation."""
        known = self.endpoints.get(endpoint.record.id, endpoint)
        return known is not endpoint

    def _want_permits(self, service: str, now: int) -> None:
        """Ask for permits where a service's endpoints are at their limit."""
        for endpoint in self.ready_by_service.get(service, ()):
            if not self.limits.is_open(endpoint.incarnation, now):
                self.limits.want(endpoint.incarnation)

    def _candidates(
        self,
        profile: RequestProfile,
        usable: list[Endpoint],
        matching: list[Endpoint],
        presumed_depths: dict[str, int],
    ) -> list[Endpoint]:
        """Return the endpoints to compare.

        Among many endpoints these are the ones that hold or are presumed
        to hold a shared part of the prompt, the ones to which a connection
        is kept, and random samples of the rest. This bounds the time of a
        choice; the best endpoint of a sample is close to the best of all.

        Args:
            profile: the request.
            usable: all endpoints to which it may be sent.
            matching: of these, the reserved engines for a gap-sensitive
                stream, and the others for any other request.
            presumed_depths: leading parts presumed to be cached, by
                endpoint.
        """
        if len(usable) <= FULL_SCAN_ENDPOINTS:
            return usable
        shared_parts = profile.shared_parts
        candidates = [
            e
            for e in usable
            if e.record.id in presumed_depths
            or (shared_parts and e.cached_depth(shared_parts))
            or self.has_kept_connection(e.record.address)
        ]
        local = [e for e in matching if e.record.domain == self.domain]
        for group, count in (
            (local or matching, LOCAL_SAMPLE_ENDPOINTS),
            (usable, GLOBAL_SAMPLE_ENDPOINTS),
        ):
            candidates += self.rng.sample(group, min(count, len(group)))
        return candidates

    def _reserved_engines(
        self, profile: RequestProfile, usable: list[Endpoint]
    ) -> set[str]:
        """Return the engines reserved for gap-sensitive streams.

        Their number is proportional to the share of engine time that
        gap-sensitive streams take. All edges rank the engines by the same
        hash, and so reserve the same ones without communicating.
        """
        share = self.gap_sensitive_share.get(profile.service, 0.0)
        if not profile.prompt_tokens or len(usable) < 2 or not 0 < share < 1:
            return set()
        count = min(len(usable) - 1, max(1, round(share * len(usable))))
        order_hash = _hash_part(RESERVED_ORDER_KEY)
        ranked = sorted(
            usable, key=lambda e: order_hash * e.hash_multiplier & HASH_MASK
        )
        return {e.record.id for e in ranked[:count]}

    def _update_gap_sensitive_share(
        self, choice: Choice, profile: RequestProfile
    ) -> None:
        """Update the gap-sensitive share with a request's engine time."""
        prefill_rate = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        work_ms = (
            choice.prefill_tokens / prefill_rate
            + profile.output_tokens * OUTPUT_TOKEN_MS
        )
        weight = min(0.5, SHARE_EWMA_WEIGHT * work_ms / FIRST_EVENT_BASE_MS)
        current_share = self.gap_sensitive_share.get(
            profile.service, float(profile.is_gap_sensitive)
        )
        current_share += weight * (
            float(profile.is_gap_sensitive) - current_share
        )
        self.gap_sensitive_share[profile.service] = current_share

    def _presumed_depths(
        self, profile: RequestProfile, usable: list[Endpoint]
    ) -> dict[str, int]:
        """Return how many leading parts each endpoint is presumed to hold.

        For a part that no endpoint is known to hold, all edges select the
        same endpoint by rendezvous hashing. They prefill the part on that
        one endpoint even before they have exchanged part updates.

        Returns:
            Number of leading parts by identifier, for the selected
            endpoints only.
        """
        depths: dict[str, int] = {}
        if not usable:
            return depths
        shared_parts = profile.shared_parts
        max_cached_depth = max(e.cached_depth(shared_parts) for e in usable)
        for i, part in enumerate(shared_parts):
            if i < max_cached_depth:
                continue
            part_hash = _hash_part(part)
            selected = max(
                usable,
                key=lambda e: part_hash * e.hash_multiplier & HASH_MASK,
            )
            depths[selected.record.id] = i + 1
        return depths

    def _estimate_cost(
        self,
        endpoint: Endpoint,
        profile: RequestProfile,
        presumed_depth: int,
        now: int,
    ) -> Choice:
        """Return a choice with the endpoint's estimated cost."""
        load = endpoint.estimated_load(now)
        slots = max(1, endpoint.record.slots)
        penalty_ms = ERROR_RATE_PENALTY_MS * endpoint.error_rate
        if endpoint.full_until > now:
            penalty_ms += REJECTION_BACKOFF_MS
        if endpoint.is_suspect(now) or self._is_domain_unreachable(
            endpoint.record.domain, now
        ):
            penalty_ms += SUSPECT_PENALTY_MS
        if self.cold.is_cold(endpoint.incarnation, now):
            penalty_ms += (
                COLD_PENALTY_MS
                if profile.prompt_tokens
                else COLD_CALL_FRACTION * endpoint.mean_call_ms
            )
        if endpoint.record.domain != self.domain:
            penalty_ms += CROSS_DOMAIN_MS
        if not self.has_kept_connection(endpoint.record.address):
            penalty_ms += (
                NEW_CONNECTION_MS
                if profile.prompt_tokens
                else NEW_CONNECTION_CALL_FRACTION * endpoint.mean_call_ms
            )
        pace = endpoint.pace_factor(now)
        if not profile.prompt_tokens:
            queue_ratio = max(0.0, load + 1 - slots) / slots
            utilisation = load / slots
            call_ms = self._expected_call_ms(endpoint, now)
            wait_ms = call_ms * (1 + queue_ratio + 0.5 * utilisation)
            jitter_ms = self.rng.random()
            cost_ms = wait_ms + penalty_ms + jitter_ms
            queue_ms = call_ms * queue_ratio
            return Choice(endpoint, cost_ms, 0, wait_ms, pace, load, queue_ms)
        cached_tokens = endpoint.expected_cached_tokens(
            profile.parts, presumed_depth
        )
        uncached_tokens = max(0.0, profile.prompt_tokens - cached_tokens)
        prefill_rate = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        queued_tokens = (
            endpoint.pending_prefill_tokens + endpoint.remote_prefill_tokens
        )
        prefill_ms = (uncached_tokens + queued_tokens) / prefill_rate
        slot_wait_ms = max(0.0, load + 1 - slots) * FIRST_EVENT_BASE_MS
        contention_ms = load * RUNNING_REQUEST_MS
        first_byte_ms = pace * (
            FIRST_EVENT_BASE_MS + prefill_ms + contention_ms + slot_wait_ms
        )
        total_cost_ms = first_byte_ms * self._relative_slowness(endpoint)
        total_cost_ms += (
            pace * uncached_tokens / prefill_rate * PREFILL_DELAY_FACTOR
        )
        total_cost_ms += penalty_ms + self._memory_wait_ms(endpoint, profile)
        return Choice(
            endpoint,
            total_cost_ms,
            int(uncached_tokens),
            first_byte_ms,
            pace,
            load,
            pace * slot_wait_ms,
        )

    def _memory_wait_ms(
        self, endpoint: Endpoint, profile: RequestProfile
    ) -> float:
        """Return the expected wait for KV cache memory of an engine."""
        if not endpoint.kv_tokens:
            return 0.0
        needed_tokens = (
            endpoint.inflight_tokens
            + profile.prompt_tokens
            + profile.output_tokens
        )
        # An excess as large as the whole KV cache costs 2000 ms of waiting.
        excess = needed_tokens / endpoint.kv_tokens - KV_CACHE_FRACTION
        return max(0.0, excess) * 2000.0

    def publish_loads(self) -> tuple[messages.EndpointLoad, ...]:
        """Return this edge's load by endpoint, to be sent to other edges.

        The published figures are kept, so that ``apply_load_totals`` can
        subtract them from the totals over all edges.
        """
        loads = []
        for endpoint in self.endpoints.values():
            endpoint.published_inflight = endpoint.inflight
            endpoint.published_prefill_tokens = min(
                max(0, endpoint.pending_prefill_tokens), loads_module.MAX_LOAD
            )
            if endpoint.inflight:
                loads.append(
                    messages.EndpointLoad(
                        endpoint.record.id,
                        endpoint.published_inflight,
                        endpoint.published_prefill_tokens,
                    )
                )
        return tuple(loads)

    def apply_load_totals(self, total: messages.LoadReport) -> None:
        """Update the loads of other edges.

        Args:
            total: sums over all edges, this one included.
        """
        sums = {load.id: load for load in total.loads}
        for identifier, endpoint in self.endpoints.items():
            load = sums.get(identifier, ZERO_LOAD)
            endpoint.remote_inflight = max(
                0, load.running - endpoint.published_inflight
            )
            endpoint.remote_prefill_tokens = max(
                0, load.reading - endpoint.published_prefill_tokens
            )

    def apply_part_updates(self, update: messages.PartsRead) -> None:
        """Record the parts that other edges sent to engines."""
        for item in update.parts:
            endpoint = self.endpoints.get(item.endpoint)
            if endpoint is not None:
                endpoint.record_parts((PromptPart(item.part, item.tokens),))

    def _queue_part_updates(
        self, endpoint: Endpoint, profile: RequestProfile
    ) -> None:
        for part in profile.shared_parts:
            key = (endpoint.record.id, part.identifier)
            update = messages.PartRead(
                endpoint.record.id, part.identifier, part.tokens
            )
            self.part_updates.put(key, update)

    def record_start(
        self, choice: Choice, profile: RequestProfile, now: int
    ) -> None:
        """Record that a request is sent."""
        endpoint = choice.endpoint
        if not endpoint.inflight:
            endpoint.busy_since = now
        endpoint.inflight += 1
        endpoint.pending_prefill_tokens += choice.prefill_tokens
        endpoint.inflight_tokens += (
            profile.prompt_tokens + profile.output_tokens
        )
        if profile.parts:
            endpoint.record_parts(profile.parts)
            self._queue_part_updates(endpoint, profile)
        if profile.prompt_tokens:
            self._update_gap_sensitive_share(choice, profile)

    def record_first_byte(
        self, choice: Choice, profile: RequestProfile, took_ms: float
    ) -> None:
        """Record the first byte of an answer, after ``took_ms``."""
        endpoint = choice.endpoint
        endpoint.pending_prefill_tokens -= choice.prefill_tokens
        endpoint.open_streams += profile.prompt_tokens > 0
        endpoint.consecutive_failures = 0
        endpoint.error_rate -= ERROR_EWMA_WEIGHT * endpoint.error_rate
        if not profile.prompt_tokens:
            self._record_call(choice, profile.service, took_ms)
            return
        first_byte_ms = max(FIRST_EVENT_BASE_MS, choice.expected_ms)
        ratio = min(MAX_SLOW_RATIO, max(0.25, took_ms / first_byte_ms))
        endpoint.slowness += EWMA_WEIGHT * (ratio - endpoint.slowness)
        self._update_prefill_rate(choice, profile, took_ms)

    def _record_call(
        self, choice: Choice, service: str, took_ms: float
    ) -> None:
        """Update the mean call time of an endpoint and of its service."""
        endpoint = choice.endpoint
        usual_ms = took_ms / max(choice.pace, endpoint.stated_pace)
        endpoint.mean_call_ms += EWMA_WEIGHT * (
            usual_ms - endpoint.mean_call_ms
        )
        if endpoint.pace is not None:
            mean_ms = self.usual_call_ms.get(service, endpoint.mean_call_ms)
            self.usual_call_ms[service] = mean_ms + SERVICE_EWMA_WEIGHT * (
                usual_ms - mean_ms
            )

    def _expected_call_ms(self, endpoint: Endpoint, now: int) -> float:
        """Return the expected time of a plain call without a queue.

        The mean of an endpoint that states its pace returns to that of its
        service while no answer comes, so that an endpoint which was slow is
        tried again.
        """
        mean_ms = endpoint.mean_call_ms
        if endpoint.pace is None or not pace_module.PACE_ENABLED:
            return mean_ms
        usual_ms = self.usual_call_ms.get(endpoint.record.service, mean_ms)
        age_ms = max(0, now - endpoint.pace.updated_at)
        excess_ms = (mean_ms - usual_ms) * 0.5 ** (age_ms / CALL_HALF_LIFE_MS)
        if excess_ms < CALL_TOLERANCE * usual_ms:
            excess_ms = 0.0
        return (usual_ms + excess_ms) * endpoint.pace_factor(now)

    def _update_prefill_rate(
        self, choice: Choice, profile: RequestProfile, took_ms: float
    ) -> None:
        """Update the prefill rate, mainly from the fastest answers."""
        if choice.prefill_tokens < MIN_RATE_SAMPLE_TOKENS:
            return
        observed = choice.prefill_tokens / max(
            1.0, took_ms - FIRST_EVENT_BASE_MS
        )
        current = self.prefill_tokens_per_ms.get(
            profile.service, INITIAL_PREFILL_TOKENS_PER_MS
        )
        weight = (
            RATE_INCREASE_WEIGHT
            if observed > current
            else RATE_DECREASE_WEIGHT
        )
        observed = min(observed, 2 * current)
        self.prefill_tokens_per_ms[profile.service] = current + weight * (
            observed - current
        )

    def _relative_slowness(self, endpoint: Endpoint) -> float:
        """Return an engine's slowness relative to its service's median.

        Queueing makes every engine appear slow at times, so only an
        engine far behind the median counts as slow. Others return 1.0.
        """
        if endpoint.slowness < SLOW_RATIO:
            return 1.0
        peers = self.ready_by_service.get(endpoint.record.service, ())
        if len(peers) < 2:
            return 1.0
        median = statistics.median_low([e.slowness for e in peers])
        relative = endpoint.slowness / max(median, 0.25)
        return relative if relative >= SLOW_RATIO else 1.0

    def record_finish(
        self, choice: Choice, profile: RequestProfile, got_first_byte: bool
    ) -> None:
        """Record the end of a request, whatever its outcome.

        Args:
            choice: the choice with which the request was sent.
            profile: the request.
            got_first_byte: whether ``record_first_byte`` was called.
        """
        endpoint = choice.endpoint
        endpoint.inflight -= 1
        endpoint.inflight_tokens -= (
            profile.prompt_tokens + profile.output_tokens
        )
        if not got_first_byte:
            endpoint.pending_prefill_tokens -= choice.prefill_tokens
        else:
            endpoint.open_streams -= profile.prompt_tokens > 0

    def record_failure(self, endpoint: Endpoint, now: int) -> None:
        """Record a failure, and eject the endpoint after several."""
        endpoint.consecutive_failures += 1
        if endpoint.last_heard_at < now - UNREACHABLE_DOMAIN_MS:
            self._record_domain_failure(endpoint, now)
        doublings = endpoint.consecutive_failures - EJECTION_FAILURES
        if doublings >= 0:
            ejection_ms = min(
                MAX_EJECTION_MS, MIN_EJECTION_MS << min(doublings, 8)
            )
            endpoint.ejected_until = now + ejection_ms
            self.cold.record_ejection(
                endpoint.incarnation, endpoint.last_heard_at, now
            )

    def record_activity(self, endpoint: Endpoint, now: int) -> None:
        """Record that bytes of an answer arrived from an endpoint."""
        endpoint.last_heard_at = now
        if self.recent_failures:
            self.recent_failures.pop(endpoint.record.domain, None)

    def _record_domain_failure(self, endpoint: Endpoint, now: int) -> None:
        """Record a sign that the endpoint's domain may be unreachable."""
        domain = endpoint.record.domain
        failed_at = self.recent_failures.setdefault(domain, {})
        failed_at[endpoint.record.id] = now

    def end_ejections(self, service: str) -> None:
        """Give the endpoints of a service another chance."""
        for endpoint in self.endpoints.values():
            if endpoint.record.service == service:
                endpoint.ejected_until = 0
                endpoint.consecutive_failures = 0

    def is_in_unreachable_domain(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether an endpoint's domain counts as unreachable."""
        return self._is_domain_unreachable(endpoint.record.domain, now)

    def _is_domain_unreachable(self, domain: str, now: int) -> bool:
        """Return whether several endpoints of a domain failed recently.

        One failed endpoint says nothing of its domain. Several at once
        mean that a network partition or an outage affects the domain as a
        whole.
        """
        failed_at = self.recent_failures.get(domain)
        if not failed_at:
            return False
        for identifier, at in list(failed_at.items()):
            if now - at > UNREACHABLE_DOMAIN_MS:
                del failed_at[identifier]
        return len(failed_at) >= UNREACHABLE_DOMAIN_ENDPOINTS

    def record_error_answer(self, endpoint: Endpoint) -> None:
        """Record an answer with a server error (5xx) of the endpoint."""
        endpoint.error_rate += ERROR_EWMA_WEIGHT * (1 - endpoint.error_rate)

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint said with an answer that it is leaving.

        Its announcement reaches this edge later, or not at all.
        """
        endpoint.is_leaving = True

    def record_rejection(
        self, endpoint: Endpoint, now: int, pause_ms: int
    ) -> None:
        """Record that an endpoint rejected a request because it is full.

        Args:
            endpoint: the endpoint.
            now: the current time in ms.
            pause_ms: how long it wants no request, 0 if it did not say.
        """
        endpoint.full_until = now + REJECTION_BACKOFF_MS
        endpoint.paused_until = max(endpoint.paused_until, now + pause_ms)

    def record_unreachable(self, endpoint: Endpoint, now: int) -> None:
        """Record that no connection opened, and eject the endpoint."""
        endpoint.consecutive_failures = max(
            endpoint.consecutive_failures, EJECTION_FAILURES - 1
        )
        self._record_domain_failure(endpoint, now)
        self.record_failure(endpoint, now)

    def record_reported_load(
        self, endpoint: Endpoint, reported_load: ReportedLoad
    ) -> None:
        """Store the load that an endpoint reported with an answer."""
        endpoint.record_reported_load(reported_load)


def _hash_part(part: PromptPart) -> int:
    """Return a hash of a part that is the same on all edges."""
    return xxhash.xxh64_intdigest(part.identifier.encode())


__all__ = [
    "Availability",
    "Balancer",
    "Choice",
    "Endpoint",
    "KV_CACHE_FRACTION",
    "PartUpdates",
    "PromptPart",
    "ReportedLoad",
    "RequestProfile",
    "STREAM_SILENCE_MS",
    "make_part_updates",
]
