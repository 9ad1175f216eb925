"""The leader's duties: before a platform that refuses, and without it."""

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

Reply = duties_module.Reply
SEAL = messages.SealWindow(7, (messages.CustomerCount("ana", 3),))
WANT = scaling.Want("svc", "za", True, 2)


def charge(holds=True):
    return duties_module.Charge("n2", 5, lambda: holds)


class Api:
    """A stand-in for the platform's API that answers as told."""

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
            responder.answer(self.status, [])


async def with_api(stand_in, use):
    port = routed.free_port()
    address = settings.Address("127.0.0.1", port)
    server = httpserver.Server(stand_in.serve, routes.ClientLimits())
    async with anyio.create_task_group() as group:
        await group.start(server.run, address)
        result = await use(api.PlatformApi(address))
        group.cancel_scope.cancel()
    return result


@pytest.mark.parametrize(
    "status,reply",
    [
        (200, Reply.ACCEPTED),
        (204, Reply.ACCEPTED),
        (409, Reply.UNAVAILABLE),
        (429, Reply.UNKNOWN),
        (500, Reply.UNKNOWN),
        (None, Reply.UNKNOWN),
    ],
)
def test_what_the_platform_says(status, reply):
    async def body():
        stand_in = Api(status)
        for call in ("order_endpoints", "report_usage"):
            argument = WANT if call == "order_endpoints" else SEAL

            async def use(client, call=call, argument=argument):
                return await getattr(client, call)(charge(), argument)

            assert await with_api(stand_in, use) is reply
        assert len(stand_in.calls) == 2

    instances.run(body)


def test_what_the_platform_gets():
    async def body():
        stand_in = Api(200)

        async def use(client):
            await client.report_usage(charge(), SEAL)
            await client.order_endpoints(charge(), WANT)
            await client.order_endpoints(charge(), WANT._replace(spot=False))

        await with_api(stand_in, use)
        usage, spot, other = stand_in.calls
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

    instances.run(body)


def test_nothing_leaves_without_the_lease():
    async def body():
        stand_in = Api(200)

        async def use(client):
            return await client.report_usage(charge(holds=False), SEAL)

        assert await with_api(stand_in, use) is Reply.WITHHELD
        assert stand_in.calls == []

    instances.run(body)


def test_a_slow_platform_is_not_waited_for(monkeypatch):
    async def body():
        monkeypatch.setattr(api, "CALL_S", 0.2)
        stand_in = Api(200, delay_s=5)

        async def use(client):
            with anyio.fail_after(1):
                return await client.report_usage(charge(), SEAL)

        assert await with_api(stand_in, use) is Reply.UNKNOWN

    instances.run(body)


class Recorder:
    """A platform that records calls and fails the first of each kind."""

    def __init__(self, fail_first=0):
        self.reports = []
        self.orders = []
        self.fail_first = fail_first

    async def report_usage(self, held, seal):
        self.reports.append((held.token, seal))
        if len(self.reports) <= self.fail_first:
            return Reply.UNKNOWN
        return Reply.ACCEPTED

    async def order_endpoints(self, held, want):
        self.orders.append(want)
        raise ValueError("a fault of the planner")


async def start_duties(found, fail_first=0):
    """Start the duties at whoever leads."""
    await instances.until(lambda: len(found.leaders()) == 1)
    control = found.controls[found.leaders()[0]]
    platform = Recorder(fail_first)
    duties = duties_module.Duties(control, platform, tables.decode)
    found.group.start_soon(duties.run)
    return control, platform


def test_a_window_is_reported_with_the_same_figures(tmp_path, monkeypatch):
    """The first report is lost, and counts change after the seal."""
    monkeypatch.setattr(duties_module, "SETTLED_MS", 500)
    monkeypatch.setattr(duties_module, "SEAL_AFTER_MS", 500)
    monkeypatch.setattr(duties_module, "RETRY_MS", 200)

    async def body():
        async with instances.fleet(tmp_path) as found:
            control, platform = await start_duties(found, fail_first=1)
            now = control.true_time.at(routed.clock.now_ms())
            meter = metering.WindowMeter("e", 1, 1000)
            meter.count("ana", now)
            window = now // 1000
            control.tallies.hear(meter.all_totals())
            await instances.until(lambda: platform.reports)
            meter.count("ana", now)
            control.tallies.hear(meter.all_totals())
            state = control.replicator.replica.state
            await instances.until(lambda: window in state.acknowledged_windows)
            sent = [s for _, s in platform.reports if s.window == window]
            assert len(sent) == 2
            assert sent[0] == sent[1]
            assert sent[0].counts == (messages.CustomerCount("ana", 1),)

    instances.run(body)


def test_an_error_of_one_duty_leaves_the_other(tmp_path, monkeypatch):
    monkeypatch.setattr(duties_module, "SETTLED_MS", 500)
    monkeypatch.setattr(duties_module, "SEAL_AFTER_MS", 500)

    async def body():
        async with instances.fleet(tmp_path) as found:
            control, platform = await start_duties(found)
            document = routed.table_document(7)
            document["services"][0]["scaling"] = {
                "min": 1,
                "max": 4,
                "spot_price": 0.2,
                "zone_prices": {"za": 1.0},
            }
            assert await instances.put(2, document) == 200
            await instances.until(lambda: len(platform.orders) > 1)
            meter = metering.WindowMeter("e", 1, 1000)
            meter.count("ana", control.true_time.at(routed.clock.now_ms()))
            control.tallies.hear(meter.all_totals())
            await instances.until(lambda: platform.reports)

    instances.run(body)


def test_a_drain_finishes_what_was_taken(tmp_path):
    """SIGTERM: not ready at once, a slow answer comes, then it ends."""

    async def body():
        engine = routed.platform_engine.StandInEngine(["slow"])
        async with instances.fleet(tmp_path, edges=(9,)) as found:
            await found.group.start(engine.run)
            edge = found.edges[9]
            await instances.until(lambda: len(found.leaders()) == 1)
            assert await instances.put(2, routed.table_document(7)) == 200
            await instances.beat(2, engine)
            await instances.until(
                lambda: edge.is_ready and edge.balancer.endpoints
            )
            host = instances.host(9)
            port = instances.FRONT_PORT
            async with await anyio.connect_tcp(host, port) as stream:
                caller = routed.Caller(stream)
                await caller.send(routed.request("/once/x"))
                await anyio.sleep(0.1)
                found.stops[9].set()
                await anyio.sleep(0.05)
                assert not edge.is_ready
                got = await caller.answer()
                assert got[0] == 200
                assert got[1]["connection"] == "close"
            began = anyio.current_time()
            await instances.until(lambda: 9 in found.ended)
            assert anyio.current_time() - began < 1.5

    instances.run(body)
