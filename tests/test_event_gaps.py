"""Tests of streams whose identifiers are wrong or leave some out."""

import re

import anyio
import pytest
import routed

from primrosehitch import eventnumbering
from primrosehitch import forwarding
from primrosehitch import httpserver
from primrosehitch_lab import platform_engine

Engine = platform_engine.StandInEngine
EVENTS = 10
ALL = list(range(1, EVENTS + 1))
# The identifiers that a faulty endpoint gives some events, by the event;
# None leaves the event out.
WRONG_IDS = {
    "first": {1: 8},
    "middle": {4: 8},
    "middle, far": {4: 4000},
    "middle, by one": {4: 5},
    "back": {4: 2},
    "last": {10: 50},
    "second last": {9: 50},
    "several": {4: 8, 5: 9, 6: 20},
    "lost": {4: None},
    "lost, first": {1: None},
    "lost, second last": {9: None},
    "lost, several": {4: None, 5: None},
}
# One that is lost at the end leaves nothing by which it could be missed.
RESUMED_WRONG_IDS = {
    "first": {4: 8},
    "first, back": {4: 2},
    "first, lost": {4: None},
    "second": {5: 9},
    "last": {10: 11},
}


def run(body):
    anyio.run(body, backend_options={"use_uvloop": True})


def tokens(body):
    return [int(number) for number in re.findall(rb"token-(\d+)", body)]


def misnumbering(shown_ids, cut_after=0):
    engine = Engine(["misnumbered"], EVENTS)
    engine.shown_ids = shown_ids
    engine.cut_after = cut_after
    return engine


def make_known(edge, has_gaps):
    """Let the edge have seen enough streams of the service."""
    for _ in range(eventnumbering.MIN_STREAMS):
        edge.forwarder.numbering.record_stream("svc", has_gaps)


def forwarded_request(edge):
    """Return a request to resume, which is not sent."""
    head, _, _ = routed.request("/resume/x").partition(b"\r\n\r\n")
    line, *lines = head.split(b"\r\n")
    headers = [tuple(item.split(b": ", 1)) for item in lines]
    request = httpserver.Request(
        "POST",
        line.split()[1],
        [(name.lower(), value) for name, value in headers],
        b"",
        routed.clock.now_ms(),
    )
    call = edge.forwarder.dialect.read_call(request)
    decision = edge.forwarder._match_request(request, call)
    return forwarding.ForwardedRequest(
        edge.forwarder, request, None, call, decision
    )


async def stream_of(engines, target, streams_with_gaps=None):
    """Return (tokens, whole) of a stream that the first endpoint begins.

    An answer that is not 200 is not whole.
    """
    async with routed.running_edge(*engines) as edge:
        for number in range(1, len(engines)):
            edge.balancer.endpoints[f"i-{number}"].mean_call_ms = 500
        if streams_with_gaps is not None:
            make_known(edge, streams_with_gaps)
        answer = await routed.send_request(edge, routed.request(target))
        return tokens(answer[2]), answer[0] == 200 and answer[3]


# Guards against: a stream goes on after an identifier that was wrong, and the
# events up to it are missing (review/9).
@pytest.mark.parametrize("known", [None, False])
@pytest.mark.parametrize("case", WRONG_IDS)
def test_stream_with_a_wrong_identifier_goes_on_whole(case, known):
    async def body():
        engines = misnumbering(WRONG_IDS[case]), misnumbering({})
        assert await stream_of(engines, "/resume/x", known) == (ALL, True)

    run(body)


# Guards against: such a stream looks complete where no endpoint goes on.
@pytest.mark.parametrize("target", ["/stream/x", "/resume/x"])
@pytest.mark.parametrize("case", WRONG_IDS)
def test_stream_with_a_wrong_identifier_is_not_complete(case, target):
    async def body():
        engines = [misnumbering(WRONG_IDS[case])]
        received, whole = await stream_of(engines, target, False)
        assert not whole and received == ALL[: len(received)]

    run(body)


# Guards against: a stream goes on after an identifier that was passed on and
# has turned out to be doubtful.
@pytest.mark.parametrize("cut_after", [0, 4])
def test_stream_does_not_go_on_after_a_doubtful_identifier(cut_after):
    async def body():
        faulty, sound = misnumbering({4: 8}, cut_after), misnumbering({})
        async with routed.running_edge(faulty, sound) as edge:
            edge.balancer.endpoints["i-1"].mean_call_ms = 500
            allows = edge.budget.allows
            asked = []

            def allows_later(service, now):
                # No retry is left at the gap.
                asked.append(now)
                return len(asked) > 1 and allows(service, now)

            edge.budget.allows = allows_later
            answer = await routed.send_request(
                edge, routed.request("/resume/x")
            )
            assert (tokens(answer[2]), answer[3]) == (ALL[:4], False)
            assert asked and not sound.seen

    run(body)


@pytest.mark.parametrize("case", RESUMED_WRONG_IDS)
def test_wrong_identifier_after_a_resumption_is_noticed(case):
    async def body():
        torn = misnumbering({}, cut_after=3)
        engines = torn, misnumbering(RESUMED_WRONG_IDS[case])
        received, whole = await stream_of(engines, "/resume/x", False)
        assert (received == ALL) if whole else received == ALL[: len(received)]

    run(body)


# Two endpoints agree that nothing is missing.
@pytest.mark.parametrize("target", ["/stream/x", "/resume/x"])
@pytest.mark.parametrize("known", [None, True])
def test_stream_of_endpoints_that_leave_identifiers_out_is_whole(
    target, known
):
    async def body():
        sparse = {number: 3 * number for number in ALL}
        engines = misnumbering(sparse), misnumbering(sparse)
        assert await stream_of(engines, target, known) == (ALL, True)

    run(body)


@pytest.mark.parametrize(
    "streams,expected",
    [
        ([], "unknown"),
        ([False] * 15, "unknown"),
        ([False] * 16, "dense"),
        ([False] * 14 + [True] * 2, "dense"),
        ([False] * 13 + [True] * 3, "unknown"),
        ([False] * 4 + [True] * 12, "sparse"),
        ([True] * 99 + [False] * 64, "dense"),
    ],
)
def test_numbering_is_taken_from_the_last_streams(streams, expected):
    record = eventnumbering.NumberingRecord()
    for has_gaps in streams:
        record.record_stream("svc", has_gaps)
    assert record.service_numbering("svc").value == expected
    assert record.service_numbering("other").value == "unknown"


def test_record_of_services_is_bounded():
    record = eventnumbering.NumberingRecord()
    record.confirm_gap("first")
    assert record.service_numbering("first") is eventnumbering.Numbering.SPARSE
    for number in range(eventnumbering.MAX_SERVICES):
        record.record_stream(f"s-{number}", False)
    assert (
        record.service_numbering("first") is eventnumbering.Numbering.UNKNOWN
    )
    assert len(record.had_gaps) == eventnumbering.MAX_SERVICES
    assert not record.sparse_services


def record_of_confirmed_gap():
    record = eventnumbering.NumberingRecord()
    for _ in range(eventnumbering.WINDOW_STREAMS):
        record.record_stream("svc", False)
    record.confirm_gap("svc")
    assert record.service_numbering("svc") is eventnumbering.Numbering.SPARSE
    return record


# Guards against: two faulty endpoints, or one that is asked twice, leave out
# the same identifier once, and events that are lost pass for good.
def test_confirmed_gap_is_revoked_by_later_streams():
    record = record_of_confirmed_gap()
    numberings = []
    for _ in range(eventnumbering.MIN_STREAMS):
        record.record_stream("svc", False)
        numberings.append(record.service_numbering("svc").value)
    assert numberings == ["sparse"] * 14 + ["dense"] * 2


def test_confirmed_gap_holds_as_long_as_streams_have_gaps():
    record = record_of_confirmed_gap()
    for number in range(200):
        record.record_stream("svc", number % 4 == 0)
        assert record.service_numbering("svc").value == "sparse"


def test_changes_of_numbering_are_reported_once():
    changes = []
    record = eventnumbering.NumberingRecord(
        lambda *change: changes.append(change)
    )
    for has_gaps in [False] * 20 + [True]:
        record.record_stream("svc", has_gaps)
    record.confirm_gap("svc")
    for _ in range(20):
        record.record_stream("svc", False)
    assert [(service, kind.value) for service, kind in changes] == [
        ("svc", "dense"),
        ("svc", "sparse"),
        ("svc", "dense"),
    ]


# Guards against: a gap that is seen again at the same endpoint, or at one that
# another edge chose, makes a service one that leaves identifiers out.
@pytest.mark.parametrize(
    "first,second,expected",
    [
        ("i-0", "i-1", "sparse"),
        ("i-0", "i-0", "unknown"),
        ("i-0", "", "unknown"),
        ("", "i-0", "unknown"),
        ("", "", "unknown"),
    ],
)
def test_only_another_endpoint_confirms_a_gap(first, second, expected):
    async def body():
        engines = misnumbering({}), misnumbering({})
        async with routed.running_edge(*engines) as edge:
            request = forwarded_request(edge)
            request._can_fail_over = lambda: True
            gap = eventnumbering.Gap(3, 8)
            assert not request._accepts_gap(gap, first)
            assert request._accepts_gap(gap, second) == (first != second)
            numbering = edge.forwarder.numbering.service_numbering("svc")
            assert numbering.value == expected

    run(body)
