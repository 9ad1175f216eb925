"""Tests of the decisions on hedged requests, without network."""

import random

import hedges
from hypothesis import given
from hypothesis import strategies
import instances
import pytest

from primrosehitch import balancer as balancer_module
from primrosehitch import budget
from primrosehitch import coldstarts
from primrosehitch import edge as edge_module
from primrosehitch import hedging as hedging_module
from primrosehitch import instance
from primrosehitch import latencies
from primrosehitch import messages
from primrosehitch import quarantine as quarantine_module
from primrosehitch.platform import tables

NOW = 1_000_000
RequestProfile = balancer_module.RequestProfile
Denied = hedging_module.Denied
REQUEST = hedging_module.HedgeRequest(
    profile=RequestProfile(hedges.SERVICE),
    suspects=("part", "request/1"),
    tried=("e0",),
    is_repeatable=True,
    attempts_left=1,
    remaining_ms=500,
    is_waited_for=False,
)


def make_record(number, **fields):
    values = {
        "id": f"e{number}",
        "born": 1,
        "service": hedges.SERVICE,
        "address": f"10.0.0.{number}:80",
        "domain": "za",
        "slots": 4,
        "state": "ready",
        **fields,
    }
    return messages.EndpointRecord(**values)


class Site:
    """An edge's balancer with endpoints e0, e1, ..., and its hedging.

    The first attempt is at e0, so that a hedge goes to one of the others.
    """

    def __init__(self, count=2, kv_tokens=0, **options):
        self.balancer = balancer_module.Balancer("za", random.Random(1))
        for number in range(count):
            self.balancer.update_endpoint(make_record(number), kv_tokens)
        self.quarantine = quarantine_module.Quarantine()
        self.retry_budget = budget.SharedRetryBudget(0.2, 10, 10_000)
        self.hedging = hedges.make_hedging(**options)
        hedges.warm_up(self.hedging, NOW)

    def endpoint(self, number):
        return self.balancer.endpoints[f"e{number}"]

    def plan(self, request=REQUEST, now=NOW):
        return self.hedging.plan(
            request, self.balancer, self.quarantine, self.retry_budget, now
        )

    def spent(self):
        """Return what was taken from the share and the retry budget."""
        return [
            len(times.get(hedges.SERVICE, ()))
            for times in (
                self.hedging.share.retries,
                self.retry_budget.retries,
            )
        ]


def test_slow_request_is_hedged_at_another_endpoint():
    site = Site()
    assert site.plan().endpoint is site.endpoint(1)
    assert site.spent() == [1, 1]


# -- requests that must not be hedged --------------------------------------


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"is_repeatable": False}, "not-repeatable"),
        ({"attempts_left": 0}, "attempts"),
        ({"remaining_ms": 5}, "deadline"),
        ({"is_waited_for": True}, "scarce"),
        ({"tried": ("e0", "e1")}, "no-endpoint"),
        ({"profile": RequestProfile("other")}, "no-endpoint"),
    ],
)
def test_request_that_must_not_be_hedged(change, reason):
    """Guards against a hedge that the request itself rules out.

    A denied one takes nothing from either budget.
    """
    site = Site()
    assert site.plan(REQUEST._replace(**change)) == Denied(reason)
    assert site.spent() == [0, 0]


def report_crash(quarantine, number, parts, at=NOW):
    quarantine.report_crash(
        quarantine_module.Incarnation(f"e{number}", 1),
        parts,
        quarantine_module.Interval(at - 100, at),
        at,
    )


@pytest.mark.parametrize("part", REQUEST.suspects)
def test_suspect_of_a_crash_is_not_hedged(part):
    """Guards against a hedge that ends two endpoints instead of one."""
    site = Site(count=3)
    report_crash(site.quarantine, 9, (part,))
    assert site.plan() == Denied("suspect-request")
    site.quarantine.report_sound((part,), NOW)
    assert not isinstance(site.plan(), Denied)


def test_quarantined_request_is_not_hedged():
    site = Site(count=3)
    finding = messages.PartFinding(
        quarantine_module.QUARANTINED, parts=("request/1",)
    )
    site.quarantine.apply_finding(finding, NOW)
    assert site.plan() == Denied("suspect-request")


def test_part_on_probation_is_not_hedged():
    """Guards against a hedge of a part that one more crash convicts."""
    site = Site()
    site.quarantine.on_probation.add("part")
    assert site.plan() == Denied("suspect-request")


def test_edge_that_is_cut_off_sends_no_hedge():
    site = Site()
    site.balancer.reachability.cut_since[hedges.SERVICE] = NOW
    assert site.plan() == Denied("cut-off")


# -- endpoints that must not get a hedge -----------------------------------


def limit(site, permits):
    incarnation = site.endpoint(1).incarnation
    site.balancer.limits.record_answer(incarnation, 5.0, NOW, NOW)
    grant = messages.EndpointLimit(*incarnation, 5000, NOW, permits)
    site.balancer.limits.add_permits((grant,), NOW)


def announce(site, **fields):
    site.balancer.update_endpoint(make_record(1, **fields), 0)


def fail_domain(site):
    for number in (7, 8):
        site.balancer.update_endpoint(make_record(number), 0)
        endpoint = site.endpoint(number)
        site.balancer.record_unreachable(endpoint, NOW)
        site.balancer.remove_endpoint(endpoint.record.id)


def stay_silent(site):
    """Keep a request at e1 for long without a byte of an answer."""
    choice = balancer_module.Choice(site.endpoint(1), 0, 0)
    site.balancer.record_start(choice, REQUEST.profile, NOW - 5000)


def be_cold(site):
    """Let e1 say that it is cold, and get permits for it."""
    policy = coldstarts.ColdPolicy(start_ms=3000, milli_per_s=5000)
    site.balancer.cold.set_policies({hedges.SERVICE: policy})
    endpoint = site.endpoint(1)
    record = endpoint.record._replace(
        sequence=endpoint.record.sequence + 1,
        reports_cold=True,
        cold_left_ms=2000,
    )
    site.balancer.record_heartbeat(record, NOW)
    grant = messages.EndpointLimit(
        *endpoint.incarnation, 5000, NOW, 1, cold=True
    )
    site.balancer.limits.add_permits((grant,), NOW)


ENDPOINTS_IN_TROUBLE = {
    "cold": be_cold,
    "evacuated": lambda site: site.balancer.set_evacuated({"zc"}),
    "limited": lambda site: limit(site, 0),
    "limited with a permit": lambda site: limit(site, 1),
    "leaving": lambda site: site.balancer.record_leaving(site.endpoint(1)),
    "draining": lambda site: announce(site, state="draining"),
    "silent": lambda site: announce(site, state="silent"),
    "paused": lambda site: site.balancer.record_rejection(
        site.endpoint(1), NOW, 500
    ),
    "full": lambda site: site.balancer.record_rejection(
        site.endpoint(1), NOW, 0
    ),
    "ejected": lambda site: site.balancer.record_unreachable(
        site.endpoint(1), NOW
    ),
    "failed once": lambda site: site.balancer.record_failure(
        site.endpoint(1), NOW
    ),
    "silent with a request": stay_silent,
    "crashed": lambda site: report_crash(site.quarantine, 1, ("other",)),
    "unreachable domain": fail_domain,
    "other version": lambda site: announce(site, version="v2"),
}


@pytest.mark.parametrize("trouble", ENDPOINTS_IN_TROUBLE)
def test_endpoint_in_trouble_gets_no_hedge(trouble):
    """Guards against a hedge that adds to an endpoint's trouble.

    The same hedge goes to a sound endpoint, if there is one.
    """
    site = Site()
    request = REQUEST
    if trouble == "other version":
        version = site.endpoint(0).record.version
        profile = RequestProfile(hedges.SERVICE, version=version)
        request = REQUEST._replace(profile=profile)
    if trouble == "evacuated":
        announce(site, domain="zc")
    ENDPOINTS_IN_TROUBLE[trouble](site)
    assert site.plan(request) == Denied("no-endpoint")
    assert site.spent() == [0, 0]
    domain = "zb" if trouble == "unreachable domain" else "za"
    site.balancer.update_endpoint(make_record(2, domain=domain), 0)
    assert site.plan(request).endpoint is site.endpoint(2)


def test_silent_endpoint_that_answers_gets_no_hedge():
    """One that only this edge hears is usable, but not for extra work."""
    site = Site()
    announce(site, state="silent")
    site.balancer.record_activity(site.endpoint(1), NOW)
    assert site.balancer.usable_endpoints(hedges.SERVICE, ("e0",), NOW)
    assert site.plan() == Denied("no-endpoint")


# -- scarce places ---------------------------------------------------------


def report_load(site, number, running, waiting):
    load = balancer_module.ReportedLoad(running, waiting, 4, NOW)
    site.balancer.record_reported_load(site.endpoint(number), load)


def test_no_hedge_while_reported_load_takes_the_places():
    site = Site(count=3)
    report_load(site, 1, 3, 0)
    report_load(site, 2, 2, 1)
    assert site.plan() == Denied("scarce")
    assert site.spent() == [0, 0]


def test_no_hedge_while_requests_in_flight_take_the_places():
    site = Site(count=3)
    site.endpoint(1).inflight = 2
    site.endpoint(1).busy_since = NOW
    site.endpoint(1).remote_inflight = 2
    site.endpoint(2).remote_inflight = 2
    assert site.plan() == Denied("scarce")


def test_hedge_goes_to_an_endpoint_with_a_free_place():
    """Guards against a hedge that waits behind others' requests.

    The full endpoint is the cheaper one by all other signs.
    """
    site = Site(count=4)
    report_load(site, 1, 4, 0)
    site.endpoint(1).mean_call_ms = 1
    for number in (2, 3):
        site.endpoint(number).mean_call_ms = 400
    assert site.plan().endpoint.record.id in ("e2", "e3")


def test_no_hedge_without_memory_for_its_prompt():
    """A free slot is of no use to a prompt that does not fit the cache."""
    site = Site(kv_tokens=10_000)
    profile = RequestProfile(hedges.SERVICE, (), 4000, 500)
    request = REQUEST._replace(profile=profile)
    site.endpoint(1).inflight_tokens = 3000
    assert site.plan(request) == Denied("scarce")
    site.endpoint(1).inflight_tokens = 0
    assert site.plan(request).endpoint is site.endpoint(1)


# -- budgets ---------------------------------------------------------------


def test_share_of_extra_work_bounds_hedges():
    site = Site(share=0.1)
    site.retry_budget.slack = 1000
    plans = [site.plan() for _ in range(20)]
    sent = [p for p in plans if not isinstance(p, Denied)]
    assert len(sent) <= 0.1 * 40
    assert plans[-1] == Denied("share")
    assert site.spent() == [len(sent), len(sent)]


def test_share_slides_with_time():
    """Guards against a share that is saved up over quiet hours."""
    site = Site(share=0.1)
    later = NOW + hedging_module.SHARE_WINDOW_MS
    assert site.plan(now=later) == Denied("share")


def test_retry_budget_bounds_hedges():
    site = Site()
    site.retry_budget.slack = 2
    plans = [site.plan() for _ in range(5)]
    assert plans[2:] == [Denied("retry-budget")] * 3
    assert site.spent() == [2, 2]


def test_hedges_leave_that_much_less_for_retries():
    site = Site()
    site.retry_budget.slack = 1
    site.plan()
    assert not site.retry_budget.try_spend(hedges.SERVICE, NOW)


@given(
    share=strategies.floats(0.01, 0.25),
    edges=strategies.lists(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(), strategies.integers(0, 400)
            ),
            max_size=60,
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_share_holds_for_the_sum_over_all_edges(share, edges):
    """Guards against a share that each edge could use up for itself.

    Each edge sees its own requests only. The hedges of any window are paid
    for by requests of that window or the one before it.
    """
    window_ms = 2000
    sent, requests = [], []
    for steps in edges:
        bound = budget.SharedRetryBudget(share, 0, window_ms)
        bound.set_edge_count(len(edges))
        now = 0
        for is_request, pause_ms in steps:
            now += pause_ms
            if is_request:
                bound.record_request("s", now)
                requests.append(now)
            elif bound.try_spend("s", now):
                sent.append(now)
    for end in sent:
        count = sum(end - window_ms < at <= end for at in sent)
        paid_by = sum(end - 2 * window_ms < at <= end for at in requests)
        assert count <= share * paid_by


# -- the delay -------------------------------------------------------------


def delay(hedges_of_edge, expected_ms=0.0, now=NOW):
    endpoint = balancer_module.Endpoint(make_record(0), 0)
    choice = balancer_module.Choice(endpoint, 0, 0, expected_ms)
    return hedges_of_edge.delay_ms(hedges.ROUTE, choice, now)


def test_too_few_samples_give_no_delay():
    hedging = hedges.make_hedging()
    assert delay(hedging) is None
    needed = round(latencies.MIN_SAMPLES_ABOVE / 0.05)
    for _ in range(needed - 1):
        hedging.record_time(hedges.ROUTE, hedges.SERVICE, 100, NOW)
    assert delay(hedging) is None
    hedging.record_time(hedges.ROUTE, hedges.SERVICE, 100, NOW)
    assert delay(hedging) == 100


def test_samples_of_other_routes_give_no_delay():
    hedging = hedges.make_hedging()
    hedges.warm_up(hedging, NOW, route="other")
    assert delay(hedging) is None


def test_delay_is_the_quantile():
    hedging = hedges.make_hedging(min_delay_ms=1)
    for took_ms in range(100):
        hedging.record_time(hedges.ROUTE, hedges.SERVICE, took_ms, NOW)
    assert 90 <= delay(hedging) <= 95


def test_delay_has_a_minimum():
    hedging = hedges.make_hedging(min_delay_ms=70)
    hedges.warm_up(hedging, NOW, took_ms=1)
    assert delay(hedging) == 70


def test_delay_is_no_shorter_than_the_predicted_time():
    """Guards against hedges of all long prompts, which take their time."""
    hedging = hedges.make_hedging()
    hedges.warm_up(hedging, NOW)
    assert delay(hedging, expected_ms=800) == 800


@pytest.mark.parametrize("before_ms, after_ms", [(20, 300), (300, 20)])
def test_delay_follows_a_change(before_ms, after_ms):
    """Guards against a delay of the past after a release or an outage."""
    hedging = hedges.make_hedging(min_delay_ms=1)
    for second in range(0, 300):
        took_ms = before_ms if second < 150 else after_ms
        for _ in range(5):
            hedging.record_time(
                hedges.ROUTE, hedges.SERVICE, took_ms, NOW + 1000 * second
            )
    changed_at = NOW + 150_000
    assert delay(hedging, now=NOW + 299_000) == after_ms
    assert 2 * latencies.PERIOD_MS < NOW + 299_000 - changed_at


def test_samples_of_long_ago_give_no_delay():
    hedging = hedges.make_hedging()
    hedges.warm_up(hedging, NOW)
    assert delay(hedging, now=NOW + 2 * latencies.PERIOD_MS) is None


def test_routes_whose_times_are_kept_are_bounded():
    hedging = hedges.make_hedging()
    for number in range(hedging_module.MAX_DISTRIBUTIONS + 50):
        hedging.record_time(f"r{number}", "s", 1, NOW)
    assert len(hedging.distributions) == hedging_module.MAX_DISTRIBUTIONS


def test_log_of_denials_is_bounded(log_lines):
    """Each reason has one line in 10 s, which counts the denials."""
    site = Site()
    request = REQUEST._replace(attempts_left=0)
    for number in range(100):
        site.plan(request, now=NOW + 150 * number)
    lines = [n for n in log_lines if n.get("event") == 1433]
    assert [line["count"] for line in lines] == [1, 67]


@pytest.mark.parametrize(
    "settings", [None, instance.HedgingSettings(0.1, 0.9, 70)]
)
def test_edge_hedges_as_its_settings_say(tmp_path, settings):
    """Guards against an edge that hedges unasked, or ignores the setting.

    The edge makes its sketches with the library.
    """
    made = instances.Fleet(tmp_path, None).make_settings(9, False, True)
    made = made._replace(hedging=settings)
    edge = edge_module.Edge(made, None, tables.decode_accepted)
    hedging = edge.forwarder.hedging
    if settings is None:
        assert hedging is None
        return
    assert hedging.settings == settings
    hedges.warm_up(hedging, NOW, took_ms=100)
    assert delay(hedging) == pytest.approx(100, rel=0.05)
