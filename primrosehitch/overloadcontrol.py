"""Refusal of requests that endpoints cannot answer in time.

Does no I/O; the caller passes the current time in ms. A request that finds a
queue at the best endpoint, while places are scarce at all of them, waits for
the requests that are no less urgent. The time is predicted from the queue,
from how long requests hold a place, and from the part of the places that the
demand of more urgent tiers leaves. A request whose prediction exceeds its
limit is refused, if times measured lately at this edge agree.

No tier is starved: after a request of a tier was admitted here, the next one
is admitted that arrives after ``MAX_REFUSAL_MS``, or after ``MAX_ENDS``
answers of the service ended here if it can be answered before its deadline.
Refused requests that return do not count, so that the part of the places
which this takes does not grow with them.
"""

import random
from typing import Callable
from typing import NamedTuple

from primrosehitch import customershares
from primrosehitch import demand as demand_module
from primrosehitch import returnplan
from primrosehitch import room as room_module
from primrosehitch.endpoint import Choice

# A request is refused if its first event is predicted later than this
# fraction of the time that is left to it for the first event.
DEADLINE_FRACTION = 0.8
# Of the measured time from the first event to the end, this fraction has to
# remain after the first event; outputs differ in length.
REST_FRACTION = 0.5
# A request is also refused if its first event is predicted later than so
# many times its objective, but not if that is a small part of its time.
OBJECTIVE_FACTOR = 2.0
MIN_LIMIT_FRACTION = 0.1
# The mean of the measured times must be at least this fraction of the limit,
# over so many events.
EVIDENCE_FRACTION = 0.5
MIN_EVIDENCE = 3.0
# A tier that is refused is admitted again below this fraction of its limit.
RELEASE_FRACTION = 0.7
# Where endpoints serve their queue in the order of arrival, a tier's limit is
# at most this fraction of that of each more urgent tier which had a request
# without room lately.
TIER_FRACTION = 0.7
LIMIT_TTL_MS = 3000
# The demand exceeds the places if its work is at least this part of them.
OVERLOAD_WORK = 0.95
# Customers above their share are refused before others of their tier, at this
# fraction of the limit.
ABOVE_SHARE_FRACTION = 0.25
# A tier sees at least this part of the places, however much the more urgent
# ones demand; an edge that does not know the demand of others sees more, as
# its own may not be like theirs.
MIN_ROOM = 0.1
MIN_ROOM_ALONE = 0.5
MAX_ENDS = 10
MAX_REFUSAL_MS = 5000
# No request is refused that has been here for longer than this fraction of
# its objective.
REFUSAL_TIME_FRACTION = 0.2


class Arrival(NamedTuple):
    """A request about which is decided.

    Attributes:
        service: the service.
        tier: its tier, 0 is the most urgent.
        customer: the customer, empty on public routes.
        arrived_at: when it arrived, in ms.
        deadline_at: when the caller gives up, in ms.
        objective_ms: objective for its first event or answer.
        is_ordered: whether endpoints serve their queue in the order of
            tiers; engines do.
        is_exempt: whether it is sent in any case.
    """

    service: str
    tier: int
    customer: str
    arrived_at: int
    deadline_at: int
    objective_ms: float
    is_ordered: bool = False
    is_exempt: bool = False


class Forecast(NamedTuple):
    """What is predicted for a request.

    Attributes:
        wait_ms: wait for a place.
        first_ms: time to the first event, the wait included.
        queued_ms: as first_ms, but without what more urgent requests take
            where they do not overtake it in the queue.
        limit_ms: latest time at which the first event is of use.
        measured_ms: mean time to first events measured lately.
        left: part of the places that more urgent tiers leave.
        queue: requests ahead at the best endpoint, of all tiers.
        places: places of that endpoint.
    """

    wait_ms: float
    first_ms: float
    queued_ms: float
    limit_ms: float
    measured_ms: float
    left: float
    queue: float
    places: float

    def is_beyond(self, limit_ms: float) -> bool:
        """Return whether the first event is predicted and measured later."""
        return (
            self.first_ms > limit_ms
            and self.measured_ms >= EVIDENCE_FRACTION * limit_ms
        )


class Refusal(NamedTuple):
    """Refusal of a request, which has not run.

    Attributes:
        cause: "deadline" or "objective", whichever limit is exceeded, or
            "share" if the customer got more than its share.
        retry_after_s: when the caller may return.
        forecast: what was predicted.
        taken: the demand that took the room: the part of all places by
            tier, the most urgent first, as text.
        share: what the customer got of the tier and its share, as text.
    """

    cause: str
    retry_after_s: float
    forecast: Forecast
    taken: str
    share: str


class SampledWork(NamedTuple):
    """Work by tier, with the time of the sample to which it belongs."""

    sampled_at: int
    by_tier: dict[int, float]


class TierState:
    """Refusals of one tier for a service at this edge.

    Args:
        hopeless_factor: see ``returnplan.ReturnPlan``.

    Attributes:
        is_refusing: whether the last request without room was refused.
        admitted_at: when a request was last admitted, in ms, or -1.
        ended: answers of the service that had ended here by then.
        within_share: planned returns of refused callers.
        above_share: likewise, of customers above their share, so that they
            do not delay the others.
        shares: the shares of the tier's customers.
        limit_ms: the last limit on the predicted time to the first event.
        shared_ms: as limit_ms, with regard to more urgent tiers.
        limit_at: when the limits were set, in ms, or -1.
    """

    __slots__ = (
        "admitted_at",
        "ended",
        "is_refusing",
        "limit_at",
        "limit_ms",
        "above_share",
        "shared_ms",
        "shares",
        "within_share",
    )

    def __init__(self, hopeless_factor: float = returnplan.HOPELESS_FACTOR):
        self.is_refusing = False
        self.admitted_at = -1
        self.ended = 0
        self.within_share = returnplan.ReturnPlan(hopeless_factor)
        self.above_share = returnplan.ReturnPlan(
            min(hopeless_factor, returnplan.ABOVE_SHARE_HOPELESS)
        )
        self.shares = customershares.CustomerShares()
        self.limit_ms = 0.0
        self.shared_ms = 0.0
        self.limit_at = -1

    def record_admission(self, ended: int, now: int) -> None:
        """Record that a request is admitted."""
        self.ended = ended
        self.admitted_at = now

    def is_floor_due(self, ended: int, is_passed: bool, now: int) -> bool:
        """Return whether the next request must not be refused.

        Args:
            ended: answers of the service that have ended here.
            is_passed: whether another request is better sent, since the
                first event is predicted after the deadline of this one, or
                its customer is above its share.
            now: the current time in ms.
        """
        return (
            self.admitted_at < 0
            or (ended - self.ended >= MAX_ENDS and not is_passed)
            or now - self.admitted_at >= MAX_REFUSAL_MS
        )


MeasureRoom = Callable[[str, int, bool], room_module.Room]


class OverloadControl:
    """Decides which requests are refused for lack of room.

    Args:
        rng: spreads the returns of refused callers.
        measure_room: returns the room at a service's endpoints at a time in
            ms, with or without the loads of other edges.
        enabled: whether requests are refused at all.
        objective_factor: refuse if the first event is predicted later than
            so many times the objective; infinity for the deadline only.
        hopeless_factor: see ``returnplan.ReturnPlan``.
        shares_enabled: whether customers above their share are refused first.

    Attributes:
        demand: the measured demand.
        scarcity: whether places are scarce, by service.
        states: refusals by service and tier.
        works: the part of the places that each tier's demand takes, by
            service.
        on_scarcity: called with the service when scarcity begins or ends.
    """

    def __init__(
        self,
        rng: random.Random,
        measure_room: MeasureRoom,
        enabled: bool = True,
        objective_factor: float = OBJECTIVE_FACTOR,
        hopeless_factor: float = returnplan.HOPELESS_FACTOR,
        shares_enabled: bool = True,
    ):
        self.rng = rng
        self.measure_room = measure_room
        self.enabled = enabled
        self.objective_factor = objective_factor
        self.hopeless_factor = hopeless_factor
        self.shares_enabled = shares_enabled
        self.demand = demand_module.Demand()
        self.scarcity: dict[str, room_module.Scarcity] = {}
        self.states: dict[tuple[str, int], TierState] = {}
        self.works: dict[str, SampledWork] = {}
        self.on_scarcity: Callable[[str, int], None] = lambda service, now: (
            None
        )

    def decide(
        self, arrival: Arrival, choice: Choice, now: int
    ) -> Refusal | None:
        """Count a request; return its refusal, or None to send it.

        One that is sent while a queue exists waits in that of the endpoint.
        It has to be called once for a request, with the balancer's choice
        for the first attempt.

        Args:
            arrival: the request.
            choice: the best endpoint.
            now: the current time in ms.
        """
        demand = self.demand.tier(arrival.service, arrival.tier)
        demand.arrivals.add(1, now)
        state = self._state(arrival.service, arrival.tier)
        customer = arrival.customer
        if customer:
            scarcity = self.scarcity.get(arrival.service)
            is_scarce = scarcity is not None and scarcity.is_scarce_at(now)
            state.shares.record_arrival(customer, is_scarce, now)
        refusal = None
        if self.enabled and not arrival.is_exempt:
            refusal = self._find_refusal(arrival, choice, state, now)
        if refusal is None:
            ended = self.demand.ended.get(arrival.service, 0)
            state.record_admission(ended, now)
        else:
            self._record_away(arrival, refusal, now)
        if customer:
            state.shares.record_decision(customer, refusal is None, now)
        return refusal

    def _record_away(
        self, arrival: Arrival, refusal: Refusal, now: int
    ) -> None:
        """Record for how long a refused caller stays away at most."""
        remaining_ms = max(0, arrival.deadline_at - now)
        away_ms = min(
            1000 * refusal.retry_after_s,
            returnplan.RETRY_FRACTION * remaining_ms,
        )
        self.demand.record_refusal(arrival.service, away_ms, now)

    def _find_refusal(
        self, arrival: Arrival, choice: Choice, state: TierState, now: int
    ) -> Refusal | None:
        queue = room_module.queue_at(choice, now)
        known = self.scarcity.get(arrival.service)
        if queue.length <= 0 and (known is None or not known.is_scarce):
            return None
        # Also with a free place, so that the end of scarcity is noticed.
        scarcity = self._sample_scarcity(arrival.service, now)
        if not scarcity.allows_refusals:
            state.is_refusing = False
        waited_ms = now - arrival.arrived_at
        if (
            queue.length <= 0
            or not scarcity.allows_refusals
            or waited_ms > REFUSAL_TIME_FRACTION * arrival.objective_ms
        ):
            return None
        forecast = self._forecast(arrival, choice, queue, scarcity, now)
        state.limit_ms = forecast.limit_ms
        state.limit_at = now
        limit_ms = self._shared_limit_ms(arrival, forecast, now)
        forecast = forecast._replace(limit_ms=limit_ms)
        if state.is_refusing:
            limit_ms *= RELEASE_FRACTION
        state.is_refusing = forecast.is_beyond(limit_ms)
        is_above = self._is_overloaded(
            arrival.service, scarcity, now
        ) and self._is_above_share(arrival, state, now)
        is_refused = state.is_refusing
        if is_above:
            is_refused = forecast.is_beyond(ABOVE_SHARE_FRACTION * limit_ms)
        remaining_ms = arrival.deadline_at - now
        is_doomed = forecast.queued_ms > DEADLINE_FRACTION * remaining_ms
        ended = self.demand.ended.get(arrival.service, 0)
        if not is_refused or state.is_floor_due(
            ended, is_doomed or is_above, now
        ):
            return None
        cause = "deadline" if is_doomed else "objective"
        if is_above:
            cause = "share"
        plan = state.within_share
        ends = self.demand.ends.get(arrival.service)
        per_s = forecast.left * (ends.per_second(now) if ends else 0.0)
        if is_above:
            plan = state.above_share
            per_s = state.shares.share_per_s(arrival.customer, now)
        room_in_ms = forecast.queued_ms - (
            RELEASE_FRACTION * forecast.limit_ms
        )
        retry_after_ms = plan.next_delay_ms(
            room_in_ms, per_s, remaining_ms, self.rng, now
        )
        return Refusal(
            cause,
            retry_after_ms / 1000,
            forecast,
            self._describe_demand(arrival.service, scarcity, now),
            state.shares.describe(arrival.customer, now),
        )

    def _is_above_share(
        self, arrival: Arrival, state: TierState, now: int
    ) -> bool:
        """Return whether the customer got more than its share lately."""
        if not self.shares_enabled or not arrival.customer:
            return False
        demand = self.demand.tier(arrival.service, arrival.tier)
        ended = demand.holds.count_at(now)
        return state.shares.is_above_share(arrival.customer, now, ended)

    def _shared_limit_ms(
        self, arrival: Arrival, forecast: Forecast, now: int
    ) -> float:
        """Return the limit of a request with regard to more urgent ones.

        Where all wait in one queue, a less urgent request must not make it
        longer than more urgent ones can wait.
        """
        own = self._state(arrival.service, arrival.tier)
        limit_ms = own.limit_ms
        own.shared_ms = limit_ms
        if arrival.is_ordered or forecast.left >= 1:
            return limit_ms
        tiers = self.demand.tiers[arrival.service]
        for tier in sorted(t for t in tiers if t < arrival.tier):
            state = self._state(arrival.service, tier)
            if state.limit_at >= 0 and now - state.limit_at <= LIMIT_TTL_MS:
                limit_ms = min(limit_ms, TIER_FRACTION * state.shared_ms)
        own.shared_ms = limit_ms
        return limit_ms

    def _forecast(
        self,
        arrival: Arrival,
        choice: Choice,
        queue: room_module.Queue,
        scarcity: room_module.Scarcity,
        now: int,
    ) -> Forecast:
        """Predict the time to the first event, and set its limit."""
        demand = self.demand
        service, tier = arrival.service, arrival.tier
        ends = demand.ends.get(service)
        hold_ms = ends.mean if ends else 0.0
        if ends is None or ends.count_at(now) < MIN_EVIDENCE:
            hold_ms = 0.0
        left = self._room_left(service, tier, scarcity, now)
        share = 1.0
        if arrival.is_ordered:
            share = demand.unanswered_share(service, tier, now)
        wait_ms = share * queue.length * hold_ms / queue.places / left
        unqueued_ms = max(0.0, choice.expected_ms - choice.queue_ms)
        if not arrival.is_ordered:
            # The balancer's mean of plain calls includes their waits.
            unqueued_ms = min(unqueued_ms, hold_ms)
        remaining_ms = arrival.deadline_at - now
        rest_ms = demand.tier(service, tier).rests.mean
        deadline_ms = DEADLINE_FRACTION * (
            remaining_ms - REST_FRACTION * rest_ms
        )
        objective_ms = max(
            self.objective_factor * arrival.objective_ms,
            MIN_LIMIT_FRACTION * remaining_ms,
        )
        return Forecast(
            wait_ms,
            wait_ms + unqueued_ms,
            wait_ms * (1 if arrival.is_ordered else left) + unqueued_ms,
            max(0.0, min(deadline_ms, objective_ms)),
            demand.measured_first(service, tier, MIN_EVIDENCE, now),
            left,
            queue.length,
            queue.places,
        )

    def _room_left(
        self,
        service: str,
        tier: int,
        scarcity: room_module.Scarcity,
        now: int,
    ) -> float:
        """Return the part of the places that more urgent tiers leave.

        Places may be scarce for a moment although the demand does not exceed
        them. More urgent tiers then leave enough.
        """
        if not self._is_overloaded(service, scarcity, now):
            return 1.0
        works = self._works(service, scarcity, now)
        taken = sum(work for t, work in works.items() if t < tier)
        shared = self.demand.has_totals(now)
        return max(MIN_ROOM if shared else MIN_ROOM_ALONE, 1 - taken)

    def _describe_demand(
        self, service: str, scarcity: room_module.Scarcity, now: int
    ) -> str:
        works = self._works(service, scarcity, now)
        return " ".join(
            f"{tier}:{work:.2f}" for tier, work in sorted(works.items())
        )

    def _is_overloaded(
        self, service: str, scarcity: room_module.Scarcity, now: int
    ) -> bool:
        """Return whether the demand exceeds the places."""
        works = self._works(service, scarcity, now)
        return sum(works.values()) >= OVERLOAD_WORK

    def _works(
        self, service: str, scarcity: room_module.Scarcity, now: int
    ) -> dict[int, float]:
        """Return the work by tier, as of the last sample of the room."""
        known = self.works.get(service)
        if known is None or known.sampled_at != scarcity.sampled_at:
            places = scarcity.room.places if scarcity.room else 0
            works = self.demand.work_by_tier(service, places, now)
            known = SampledWork(scarcity.sampled_at, works)
            self.works[service] = known
        return known.by_tier

    def _sample_scarcity(self, service: str, now: int) -> room_module.Scarcity:
        """Return whether places are scarce, counted a moment ago."""
        scarcity = self.scarcity.get(service)
        if scarcity is None:
            scarcity = self.scarcity[service] = room_module.Scarcity()
        if scarcity.is_due(now):
            has_totals = self.demand.has_totals(now)
            room = self.measure_room(service, now, has_totals)
            if scarcity.update(room, now):
                self.on_scarcity(service, now)
        return scarcity

    def _state(self, service: str, tier: int) -> TierState:
        state = self.states.get((service, tier))
        if state is None:
            state = self.states[service, tier] = TierState(
                self.hopeless_factor
            )
        return state


__all__ = [
    "Arrival",
    "Forecast",
    "MAX_ENDS",
    "MAX_REFUSAL_MS",
    "OverloadControl",
    "Refusal",
    "TierState",
]
