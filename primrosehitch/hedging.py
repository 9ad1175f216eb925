"""Decisions on hedged requests: when a second attempt is sent, and where to.

Does no I/O; the caller passes the current time in ms. A hedge is work that a
sound service does not need. It is therefore sent only if nothing else speaks
against it: the operator's share of extra work and the retry budget both have
to allow it, free places have to be plenty, and the endpoint has to be one
without any sign of trouble. docs/design/hedging.md weighs the alternatives.
"""

from collections import OrderedDict
from typing import Callable
from typing import NamedTuple

from primrosehitch import balancer as balancer_module
from primrosehitch import budget as budget_module
from primrosehitch import events
from primrosehitch import instance
from primrosehitch import latencies
from primrosehitch import metrics
from primrosehitch import quarantine as quarantine_module
from primrosehitch import registry

# The window of the share of extra work. It is longer than that of the retry
# budget, since an edge with few requests would otherwise never reach one
# whole hedge. The retry budget bounds how many come close together.
SHARE_WINDOW_MS = 60_000
# Places are scarce if more than this fraction is taken at the endpoints that
# could take the hedge. At the largest share of extra work that the settings
# allow, hedges then fill no more than 0.9 of the places.
MAX_UTILISATION = 0.7
# No hedge is sent with less time than this remaining.
MIN_REMAINING_MS = 20
# Routes whose times are kept; the ones that were added first go first.
MAX_DISTRIBUTIONS = 500
# Denials are logged at most this often, by reason.
DENIAL_LOG_PERIOD_MS = 10_000

# Reasons for which no hedge is sent.
NOT_REPEATABLE = "not-repeatable"
NO_ATTEMPT_LEFT = "attempts"
NO_TIME_LEFT = "deadline"
SUSPECT_REQUEST = "suspect-request"
CUT_OFF = "cut-off"
NO_ENDPOINT = "no-endpoint"
SCARCE = "scarce"
OVER_SHARE = "share"
OVER_RETRY_BUDGET = "retry-budget"


class HedgeRequest(NamedTuple):
    """A request whose first attempt is slow.

    Attributes:
        profile: what the balancer chooses an endpoint by.
        suspects: what may be at fault if an endpoint crashes under it.
        tried: identifiers of the endpoints chosen so far.
        is_repeatable: whether endpoints may run it more than once.
        attempts_left: how often it may still be sent.
        remaining_ms: time until its deadline.
        is_waited_for: whether other requests wait for an endpoint that it
            could use.
    """

    profile: balancer_module.RequestProfile
    suspects: tuple[str, ...]
    tried: tuple[str, ...]
    is_repeatable: bool
    attempts_left: int
    remaining_ms: float
    is_waited_for: bool


class Denied(NamedTuple):
    """No hedge is sent.

    Attributes:
        reason: one word for metrics and logs.
    """

    reason: str


def _is_sound(
    endpoint: balancer_module.Endpoint,
    balancer: balancer_module.Balancer,
    quarantine: quarantine_module.Quarantine,
    now: int,
) -> bool:
    """Return whether nothing speaks against an endpoint."""
    incarnation = endpoint.incarnation
    return (
        endpoint.record.state == registry.READY
        and not endpoint.is_departing
        and endpoint.ejected_until <= now
        and endpoint.paused_until <= now
        and endpoint.full_until <= now
        and not endpoint.consecutive_failures
        and not endpoint.is_suspect(now)
        and not balancer.limits.table.milli_per_s(incarnation)
        and not balancer.cold.is_cold(incarnation, now)
        and not balancer.is_in_unreachable_domain(endpoint, now)
        and incarnation not in quarantine.crashes
    )


def sound_endpoints(
    request: HedgeRequest,
    balancer: balancer_module.Balancer,
    quarantine: quarantine_module.Quarantine,
    now: int,
) -> list[balancer_module.Endpoint]:
    """Return the endpoints that could take a hedge.

    These are fewer than the balancer's usable ones: no silent, ejected,
    full, limited or suspect endpoint is a last resort for a hedge, nor one
    whose last request failed.

    Args:
        request: the request.
        balancer: the edge's balancer.
        quarantine: knows which endpoints have crashed.
        now: the current time in ms.
    """
    profile = request.profile
    usable = balancer.usable_endpoints(
        profile.service, request.tried, now, profile.version
    )
    return [e for e in usable if _is_sound(e, balancer, quarantine, now)]


def _slots(endpoint: balancer_module.Endpoint) -> int:
    return max(1, endpoint.record.slots)


def _has_place(
    endpoint: balancer_module.Endpoint,
    profile: balancer_module.RequestProfile,
    now: int,
) -> bool:
    """Return whether an endpoint could start on a request at once."""
    if endpoint.estimated_load(now) + 1 > _slots(endpoint):
        return False
    tokens = profile.prompt_tokens + profile.output_tokens
    limit = balancer_module.KV_CACHE_FRACTION * endpoint.kv_tokens
    return not endpoint.kv_tokens or endpoint.inflight_tokens + tokens <= limit


def with_free_places(
    endpoints: list[balancer_module.Endpoint],
    profile: balancer_module.RequestProfile,
    now: int,
) -> list[balancer_module.Endpoint]:
    """Return the endpoints with a free place, or none if places are scarce.

    Args:
        endpoints: those that could take the hedge.
        profile: the request.
        now: the current time in ms.
    """
    places = sum(_slots(e) for e in endpoints)
    taken = sum(e.estimated_load(now) for e in endpoints)
    if taken > MAX_UTILISATION * places:
        return []
    return [e for e in endpoints if _has_place(e, profile, now)]


class Hedging:
    """The hedges of one edge.

    Args:
        settings: the operator's settings.
        make_sketch: returns an empty sketch of response times.

    Attributes:
        share: bounds the hedges as a fraction of the requests. It has no
            constant part that edges would have to share out.
        distributions: response times by route and service.
        denials: number of denials since they were last logged, by reason.
        log_due_at: when they may be logged again, in ms, by reason.
    """

    def __init__(
        self,
        settings: instance.HedgingSettings,
        make_sketch: Callable[[], latencies.Sketch] = latencies.make_sketch,
    ):
        self.settings = settings
        self.make_sketch = make_sketch
        # Fails now rather than with the first answer if the library that
        # makes them is missing.
        make_sketch()
        self.share = budget_module.SharedRetryBudget(
            settings.share, 0, SHARE_WINDOW_MS
        )
        self.distributions: OrderedDict[
            tuple[str, str], latencies.DecayingQuantile
        ] = OrderedDict()
        self.denials: dict[str, int] = {}
        self.log_due_at: dict[str, int] = {}

    def record_time(
        self, route: str, service: str, took_ms: float, now: int
    ) -> None:
        """Record how long the first byte of an answer took.

        For an attempt that was given up this is how long it was waited for,
        which the answer would have taken at least. Without such attempts
        the distribution would hold only the fast ones, and the delay would
        become shorter and shorter.

        Args:
            route: the route's name.
            service: the service.
            took_ms: the time since the request was sent.
            now: the current time in ms.
        """
        key = (route, service)
        distribution = self.distributions.get(key)
        if distribution is None:
            distribution = self.distributions[key] = (
                latencies.DecayingQuantile(
                    self.settings.quantile, self.make_sketch, now
                )
            )
            while len(self.distributions) > MAX_DISTRIBUTIONS:
                self.distributions.popitem(last=False)
        distribution.add(took_ms, now)

    def delay_ms(
        self, route: str, choice: balancer_module.Choice, now: int
    ) -> float | None:
        """Return after which time an attempt counts as slow.

        An attempt is not slow before the time that the balancer predicted
        for it, as for a long prompt.

        Args:
            route: the route's name.
            choice: the endpoint of the attempt.
            now: the current time in ms.

        Returns:
            The time in ms, or None if too little is known to hedge.
        """
        key = (route, choice.endpoint.record.service)
        distribution = self.distributions.get(key)
        usual_ms = distribution.value(now) if distribution else None
        if usual_ms is None:
            return None
        return max(usual_ms, choice.expected_ms, self.settings.min_delay_ms)

    def plan(
        self,
        request: HedgeRequest,
        balancer: balancer_module.Balancer,
        quarantine: quarantine_module.Quarantine,
        retry_budget: budget_module.SharedRetryBudget,
        now: int,
    ) -> balancer_module.Choice | Denied:
        """Return the endpoint of a hedge, which is then to be sent.

        It is counted in the share of extra work and in the retry budget.

        Args:
            request: a request whose first attempt is slow.
            balancer: chooses the endpoint.
            quarantine: what is suspected of crashing endpoints.
            retry_budget: bounds retries and hedges together.
            now: the current time in ms.
        """
        decision = self._decide(request, balancer, quarantine, now)
        service = request.profile.service
        if not isinstance(decision, Denied):
            if not self.share.allows(service, now):
                decision = Denied(OVER_SHARE)
            elif not retry_budget.try_spend(service, now):
                decision = Denied(OVER_RETRY_BUDGET)
            else:
                self.share.try_spend(service, now)
        if isinstance(decision, Denied):
            self._record_denial(decision.reason, now)
        return decision

    def _decide(
        self,
        request: HedgeRequest,
        balancer: balancer_module.Balancer,
        quarantine: quarantine_module.Quarantine,
        now: int,
    ) -> balancer_module.Choice | Denied:
        """Return the best endpoint, whatever the budgets say."""
        profile = request.profile
        if not request.is_repeatable:
            return Denied(NOT_REPEATABLE)
        if request.attempts_left < 1:
            return Denied(NO_ATTEMPT_LEFT)
        if request.remaining_ms < MIN_REMAINING_MS:
            return Denied(NO_TIME_LEFT)
        if quarantine.is_doubted(request.suspects, now):
            return Denied(SUSPECT_REQUEST)
        if balancer.reachability.is_cut_off(profile.service):
            return Denied(CUT_OFF)
        sound = sound_endpoints(request, balancer, quarantine, now)
        if not sound:
            return Denied(NO_ENDPOINT)
        free = with_free_places(sound, profile, now)
        if not free or request.is_waited_for:
            return Denied(SCARCE)
        allowed = {e.record.id for e in free}
        excluded = [i for i in balancer.endpoints if i not in allowed]
        choice = balancer.choose(profile, excluded, now)
        return choice if choice is not None else Denied(NO_ENDPOINT)

    def _record_denial(self, reason: str, now: int) -> None:
        """Count a denial, and log each reason now and then."""
        metrics.HEDGES_DENIED.labels(reason).inc()
        self.denials[reason] = self.denials.get(reason, 0) + 1
        if now >= self.log_due_at.get(reason, now):
            self.log_due_at[reason] = now + DENIAL_LOG_PERIOD_MS
            events.emit(
                events.HEDGE_DENIED,
                reason=reason,
                count=self.denials.pop(reason),
            )


__all__ = [
    "Denied",
    "HedgeRequest",
    "Hedging",
    "sound_endpoints",
    "with_free_places",
]
