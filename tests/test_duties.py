"""The leader's duties against a platform that accepts, refuses or fails.

Also tests the drain of an edge.
"""

import json

import anyio
import instances
import pytest
import routed

from primrosehitch import duties as duties_module
from primrosehitch import httpserver
from primrosehitch import messages
from primrosehitch import metering
from primrosehitch import routes
from primrosehitch import scaling
from primrosehitch import settings
from primrosehitch.platform import api
from primrosehitch.platform import tables

CallResult = duties_module.CallResult
SEAL = messages.SealWindow(7, (messages.CustomerCount("ana", 3),))
WANT = scaling.CapacityOrder("svc", "za", True, 2)


def make_lease(is_valid=True):
    return duties_module.Lease("n2", 5, lambda: is_valid)


class FakeApi:
    """A platform API that answers every call with one status.

    Args:
        status: the HTTP status; None closes the connection instead.
        delay_s: time before the answer.
    """

    def __init__(self, status, delay_s=0.0):
        self.status = status
        self.delay_s = delay_s
        self.calls = []

    async def serve(self, request, responder):
        self.calls.append(request)
        await anyio.sleep(self.delay_s)
        if self.status is None:
            responder.abort()
        else:
            responder.respond(self.status, [])


async def run_with_api(fake_api, call):
    """Return the result of ``call`` with a client of a served fake API."""
    port = routed.free_port()
    address = settings.Address("127.0.0.1", port)
    server = httpserver.Server(fake_api.serve, routes.ClientLimits())
    async with anyio.create_task_group() as group:
        await group.start(server.run, address)
        result = await call(api.PlatformApi(address))
        group.cancel_scope.cancel()
    return result


@pytest.mark.parametrize(
    "status,expected",
    [
        (200, CallResult.ACCEPTED),
        (204, CallResult.ACCEPTED),
        (409, CallResult.UNAVAILABLE),
        (429, CallResult.UNKNOWN),
        (500, CallResult.UNKNOWN),
        (None, CallResult.UNKNOWN),
    ],
)
def test_platform_status_maps_to_call_result(status, expected):
    async def body():
        fake_api = FakeApi(status)
        for method in ("order_endpoints", "report_usage"):
            argument = WANT if method == "order_endpoints" else SEAL

            async def call(client, method=method, argument=argument):
                return await getattr(client, method)(make_lease(), argument)

            assert await run_with_api(fake_api, call) is expected
        assert len(fake_api.calls) == 2

    instances.run_test(body)


def test_calls_carry_figures_holder_and_fencing_token():
    async def body():
        fake_api = FakeApi(200)

        async def call(client):
            await client.report_usage(make_lease(), SEAL)
            await client.order_endpoints(make_lease(), WANT)
            await client.order_endpoints(
                make_lease(), WANT._replace(spot=False)
            )

        await run_with_api(fake_api, call)
        usage, spot, other = fake_api.calls
        assert usage.path == "/usage"
        assert json.loads(usage.body) == {"window": 7, "counts": {"ana": 3}}
        assert usage.header(b"duty-holder") == "n2"
        assert usage.header(b"fence-token") == "5"
        assert json.loads(spot.body) == {
            "service": "svc",
            "zone": "za",
            "desired": 2,
            "spot": True,
        }
        assert "spot" not in json.loads(other.body)

    instances.run_test(body)


def test_no_call_is_sent_after_the_lease_ends():
    async def body():
        fake_api = FakeApi(200)

        async def call(client):
            return await client.report_usage(make_lease(is_valid=False), SEAL)

        assert await run_with_api(fake_api, call) is CallResult.WITHHELD
        assert fake_api.calls == []

    instances.run_test(body)


def test_slow_platform_call_times_out(monkeypatch):
    async def body():
        monkeypatch.setattr(api, "CALL_TIMEOUT_S", 0.2)
        fake_api = FakeApi(200, delay_s=5)

        async def call(client):
            with anyio.fail_after(1):
                return await client.report_usage(make_lease(), SEAL)

        assert await run_with_api(fake_api, call) is CallResult.UNKNOWN

    instances.run_test(body)


class RecordingPlatform:
    """Records calls, fails the first reports and raises on every order."""

    def __init__(self, fail_first=0):
        self.reports = []
        self.orders = []
        self.fail_first = fail_first

    async def report_usage(self, lease, seal):
        self.reports.append((lease.fencing_token, seal))
        if len(self.reports) <= self.fail_first:
            return CallResult.UNKNOWN
        return CallResult.ACCEPTED

    async def order_endpoints(self, lease, want):
        self.orders.append(want)
        raise ValueError("order failed")


async def start_duties(fleet, fail_first=0):
    """Start the duties on the leader; return it and its platform."""
    await instances.wait_until(lambda: len(fleet.leaders()) == 1)
    control = fleet.controls[fleet.leaders()[0]]
    platform = RecordingPlatform(fail_first)
    duties = duties_module.Duties(control, platform, tables.decode)
    fleet.group.start_soon(duties.run)
    return control, platform


def test_repeated_report_has_the_same_figures(tmp_path, monkeypatch):
    """The first report fails, and the counts change after the seal."""
    monkeypatch.setattr(duties_module, "WARM_UP_MS", 500)
    monkeypatch.setattr(duties_module, "SEAL_DELAY_MS", 500)
    monkeypatch.setattr(duties_module, "RETRY_DELAY_MS", 200)

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            control, platform = await start_duties(fleet, fail_first=1)
            now = control.true_time.wall_ms_at(routed.clock.now_ms())
            meter = metering.WindowMeter("e", 1, 1000)
            meter.count_request("ana", now)
            window = now // 1000
            control.tallies.apply_batch(meter.all_totals())
            await instances.wait_until(lambda: platform.reports)
            meter.count_request("ana", now)
            control.tallies.apply_batch(meter.all_totals())
            state = control.replicator.replica.state
            await instances.wait_until(
                lambda: window in state.acknowledged_windows
            )
            sent = [s for _, s in platform.reports if s.window == window]
            assert len(sent) == 2
            assert sent[0] == sent[1]
            assert sent[0].counts == (messages.CustomerCount("ana", 1),)

    instances.run_test(body)


def test_scaling_error_does_not_stop_usage_reports(tmp_path, monkeypatch):
    monkeypatch.setattr(duties_module, "WARM_UP_MS", 500)
    monkeypatch.setattr(duties_module, "SEAL_DELAY_MS", 500)

    async def body():
        async with instances.running_fleet(tmp_path) as fleet:
            control, platform = await start_duties(fleet)
            document = routed.table_document(7)
            document["services"][0]["scaling"] = {
                "min": 1,
                "max": 4,
                "spot_price": 0.2,
                "zone_prices": {"za": 1.0},
            }
            assert await instances.put_table(2, document) == 200
            await instances.wait_until(lambda: len(platform.orders) > 1)
            meter = metering.WindowMeter("e", 1, 1000)
            meter.count_request(
                "ana", control.true_time.wall_ms_at(routed.clock.now_ms())
            )
            control.tallies.apply_batch(meter.all_totals())
            await instances.wait_until(lambda: platform.reports)

    instances.run_test(body)


def test_drain_finishes_in_flight_requests(tmp_path):
    """A draining edge is not ready, but completes a slow answer, then ends.

    Its connection is closed, and the edge ends within its grace period.
    """

    async def body():
        engine = routed.platform_engine.StandInEngine(["slow"])
        async with instances.running_fleet(tmp_path, edges=(9,)) as fleet:
            await instances.serve_from(fleet, engine)
            edge = fleet.edges[9]
            host = instances.host(9)
            port = instances.FRONT_PORT
            async with await anyio.connect_tcp(host, port) as stream:
                caller = routed.Caller(stream)
                await caller.send(routed.request("/once/x"))
                await anyio.sleep(0.1)
                fleet.stops[9].set()
                await anyio.sleep(0.05)
                assert not edge.is_ready
                got = await caller.answer()
                assert got[0] == 200
                assert got[1]["connection"] == "close"
            began = anyio.current_time()
            await instances.wait_until(lambda: 9 in fleet.stopped)
            assert anyio.current_time() - began < 1.5

    instances.run_test(body)


def test_limited_endpoints_of_a_service_are_counted(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path) as fleet:
            (leader,) = fleet.leaders()
            control = fleet.controls[leader]
            duties = duties_module.Duties(control, None, tables.decode)
            await instances.wait_until(lambda: control.registry.live_records())
            limit = messages.EndpointLimit("i-0", 5, 2000, 1)
            control.limits.merge(limit)
            control.limits.merge(limit._replace(endpoint="gone"))
            assert duties._count_limited("svc") == 1
            assert duties._count_limited("other") == 0
            control.limits.merge(limit._replace(milli_per_s=0, said_ms=2))
            assert duties._count_limited("svc") == 0

    instances.run_test(body)
