"""Tests of the quarantine of prompt parts that crash endpoints."""

import anyio
import routed

from primrosehitch_lab import platform_engine

# What the users' pages bound: requests sent on later than CONTACT_S after
# FREE_CRASHES endpoints have crashed.
FREE_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
ENGINES = 8


def stream_request(number, parts, target="/stream/x"):
    return routed.request(
        target,
        identifier=f"{number:x}",
        **{
            "Prefix-Hash": ",".join(
                f"{p}:100" for p in (*parts, f"own{number}")
            ),
            "Token-Count": f"{100 * len(parts) + 100},20",
        },
    )


class CrashingFleet:
    """An edge before engines that one part of a prompt crashes.

    Attributes:
        engines: the engines.
        crashes: when an engine crashed, in s.
    """

    def __init__(self, edge, engines):
        self.edge = edge
        self.engines = engines
        self.crashes = []

    @property
    def allowance_ends(self):
        """When no further request with the part may be sent, or None."""
        if len(self.crashes) < FREE_CRASHES:
            return None
        return self.crashes[FREE_CRASHES - 1] + CONTACT_S

    async def follow(self, number):
        """Announce each incarnation of an engine to the edge."""
        engine = self.engines[number]
        balancer = self.edge.balancer
        while True:
            await engine.crash.wait()
            self.crashes.append(anyio.current_time())
            incarnation = engine.incarnation
            while engine.incarnation == incarnation:
                await anyio.sleep(0.02)
            record = routed.endpoint_record(engine, number)
            balancer.update_endpoint(record._replace(state="left"), 0)
            name = f"i-{number}-{engine.incarnation}"
            record = record._replace(id=name, born=engine.incarnation)
            balancer.update_endpoint(record, 0)
            for old in list(balancer.endpoints):
                is_older = old.startswith(f"i-{number}-") and old != name
                if is_older:
                    balancer.remove_endpoint(old)

    def count_sent(self, part):
        """Return how many requests with a part the engines have seen."""
        return sum(
            part in seen.headers["prefix-hash"]
            for engine in self.engines
            for seen in engine.seen
        )


# Guards against: requests that share a crashing prompt part were sent to
# endpoint after endpoint (incident second1).
def test_crashing_part_is_kept_from_engines_and_sound_requests_are_not():
    """Pattern: every few requests one holds a part that crashes engines."""
    statuses = {"bad": [], "doc": []}

    async def call(edge, number, part):
        # All share the first part, and the crashing one a caller's others.
        request = stream_request(number, ("system", "caller", part))
        answer = await routed.send_request(edge, request)
        statuses[part].append((anyio.current_time(), answer[0], answer[3]))

    async def body():
        engines = [
            platform_engine.StandInEngine(["paced_stream"], 6, "bad")
            for _ in range(ENGINES)
        ]
        async with routed.running_edge(*engines) as edge:
            fleet = CrashingFleet(edge, engines)
            async with anyio.create_task_group() as group:
                for number in range(ENGINES):
                    group.start_soon(fleet.follow, number)
                sent_at_bound = None
                began = anyio.current_time()
                for number in range(1, 400):
                    part = "bad" if number % 4 == 0 else "doc"
                    group.start_soon(call, edge, number, part)
                    await anyio.sleep(0.03)
                    ends = fleet.allowance_ends
                    if sent_at_bound is None and ends is not None:
                        if anyio.current_time() > ends:
                            sent_at_bound = fleet.count_sent("bad")
                    if anyio.current_time() > began + 8:
                        break
                late = fleet.count_sent("bad") - (
                    sent_at_bound or fleet.count_sent("bad")
                )
                assert late <= MAX_LATE_REQUESTS
                last_crash = max(fleet.crashes)
                await anyio.sleep(0.6)
                group.cancel_scope.cancel()
            after = [
                whole and status == 200
                for at, status, whole in statuses["doc"]
                if at > last_crash + 1
            ]
            assert len(after) > 60 and sum(after) > 0.9 * len(after)
            refused = [
                s for at, s, _ in statuses["bad"] if at > last_crash + 1
            ]
            assert refused and set(refused) == {503}

    anyio.run(body, backend_options={"use_uvloop": True})
