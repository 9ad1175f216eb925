"""Test of the demand that edges tell each other with their load reports."""

import anyio
import instances
import routed


# Guards against: an edge takes its own demand for that of all edges, or
# refused callers vanish from the demand by which endpoints are ordered.
def test_edges_learn_the_demand_of_others(tmp_path):
    async def body():
        async with instances.serving_fleet(tmp_path, edges=(7, 8)) as fleet:
            one, other = fleet.edges.values()
            demand = one.forwarder.overload.demand
            for number in range(40):
                now = routed.clock.now_ms()
                demand.tier("svc", 3).arrivals.add(1, now)
                demand.record_end("svc", 3, 400, 0, now)
                demand.record_refusal("svc", 2000, now)
                one.forwarder.gate.in_flight.setdefault("svc", 0)
                if number == 0:
                    demand.record_sent("svc", 3, now)
                await anyio.sleep(0.02)
            known = other.forwarder.overload.demand
            await instances.wait_until(
                lambda: 3 in known.totals.get("svc", {})
            )
            assert known.has_totals(routed.clock.now_ms())
            total = known.totals["svc"][3]
            assert total.work > 0 and total.unanswered == 1
            await instances.wait_until(
                lambda: any(
                    control.in_flight_by_service().get("svc", 0) > 0
                    for control in fleet.controls.values()
                )
            )

    instances.run_test(body)
