"""Tests of the sums of load reports."""

from primrosehitch import loads
from primrosehitch import messages


# Guards against: a sum that no message carries silences all load reports.
def test_sums_are_bounded_by_what_a_report_carries():
    aggregator = loads.LoadAggregator()
    report = messages.LoadReport(
        1,
        (messages.ServiceDemand("svc", loads.MAX_LOAD),),
        (messages.EndpointLoad("i-0", 3, loads.MAX_LOAD),),
    )
    for edge in ("one", "other"):
        aggregator.add_report(edge, report, 0)
    total = aggregator.total()
    assert messages.decode(type(total), messages.encode(total)) == total
    assert total.demands[0].running == loads.MAX_LOAD
    assert total.loads[0] == messages.EndpointLoad("i-0", 6, loads.MAX_LOAD)
