"""Endpoints of a failure domain whose evacuation ends count as cold."""

import random

from primrosehitch import balancer
from primrosehitch import coldstarts
from primrosehitch import messages

POLICY = coldstarts.ColdPolicy(start_ms=3000, milli_per_s=5000)


# Guards against: all edges send their usual load to endpoints that became
# cold while their failure domain was evacuated.
def test_endpoints_count_as_cold_after_an_evacuation():
    subject = balancer.Balancer("za", random.Random(1))
    subject.cold.set_policies({"svc": POLICY})
    for number, domain in enumerate(("za", "zb")):
        record = messages.EndpointRecord(
            f"i-{number}",
            born=1,
            sequence=1,
            service="svc",
            address=f"127.0.0.{number}:80",
            domain=domain,
            slots=8,
            state="ready",
            reports_cold=True,
        )
        subject.update_endpoint(record, 0)
        subject.record_heartbeat(record, 0)
    subject.set_evacuated({"zb"})
    assert [e.record.id for e in subject.usable_endpoints("svc", (), 9)] == [
        "i-0"
    ]
    subject.presume_cold(subject.set_evacuated(()), 10_000)
    cold = [
        endpoint.record.id
        for endpoint in subject.endpoints.values()
        if subject.cold.is_cold(endpoint.incarnation, 10_000)
    ]
    assert cold == ["i-1"]
    # Without a permit it gets nothing.
    usable = subject.usable_endpoints("svc", (), 10_000)
    assert [e.record.id for e in usable] == ["i-0"]
