"""Service-level accounting: attainment, burn rate, goodput, wasted work.

Each gateway counts its finished requests in buckets of ten seconds. The
buckets of several gateways are merged by adding their counts, and the
report is computed from the merged buckets.

A request attains its service level when its time to first token and its
mean gap between tokens meet the targets of its class. A request that the
system refused or failed to complete does not attain it. The caller leaves
out requests refused because of the customer's own limit and requests with
invalid input.

Does no I/O; the caller passes the current time.
"""

from typing import Iterable
from typing import TypedDict

from primrosehitch import catalog

BUCKET_S = 10
MAX_BUCKETS = 400  # 4000 s, which covers the long window
SHORT_WINDOW_S = 300
LONG_WINDOW_S = 3600
FIRST_TOKEN_BOUNDS_MS = (
    10,
    25,
    50,
    100,
    200,
    400,
    700,
    980,
    1500,
    3000,
    6000,
    15000,
)


class Counts(TypedDict):
    """The counts of one customer and class in one bucket.

    ``first_token_ms`` is a histogram over ``FIRST_TOKEN_BOUNDS_MS``; its
    last element counts the values above all bounds.
    """

    customer: str
    class_name: str
    requests: int
    attained: int
    refused: int
    incomplete: int
    output_tokens: int
    good_tokens: int
    wasted_tokens: int
    first_token_ms: list[int]


class Bucket(TypedDict):
    """The counts of one interval of ``BUCKET_S`` seconds.

    ``start`` is in seconds since the epoch.
    """

    start: int
    counts: list[Counts]


class Ended(TypedDict):
    """The result of one request.

    Times are in ms; -1 means that the request had no such time.
    """

    customer: str
    class_name: str
    outcome: str
    first_token_ms: float
    token_gap_ms: float
    output_tokens: int
    wasted_tokens: int


def zero_counts(customer: str, class_name: str) -> Counts:
    """Return counts that are all zero."""
    return Counts(
        customer=customer,
        class_name=class_name,
        requests=0,
        attained=0,
        refused=0,
        incomplete=0,
        output_tokens=0,
        good_tokens=0,
        wasted_tokens=0,
        first_token_ms=[0] * (len(FIRST_TOKEN_BOUNDS_MS) + 1),
    )


class ServiceLevelRecorder:
    """Counts the finished requests of one gateway in buckets."""

    def __init__(self) -> None:
        self.buckets: dict[int, dict[tuple[str, str], Counts]] = {}

    def record(
        self, ended: Ended, spec: catalog.ServiceClass, wall_s: float
    ) -> bool:
        """Count one request.

        Args:
            ended: the result of the request.
            spec: the service class of the request.
            wall_s: seconds since the epoch.

        Returns:
            Whether the request attained its service level.
        """
        start = int(wall_s) // BUCKET_S * BUCKET_S
        bucket = self.buckets.get(start)
        if bucket is None:
            bucket = self.buckets[start] = {}
            while len(self.buckets) > MAX_BUCKETS:
                del self.buckets[min(self.buckets)]
        key = (ended["customer"], ended["class_name"])
        counts = bucket.get(key)
        if counts is None:
            counts = bucket[key] = zero_counts(*key)
        attained = meets_targets(ended, spec)
        _count_request(counts, ended, attained)
        return attained

    def export(self, since: float) -> list[Bucket]:
        """Return the buckets that start at or after a time.

        Args:
            since: seconds since the epoch.
        """
        return [
            Bucket(start=start, counts=list(counts.values()))
            for start, counts in sorted(self.buckets.items())
            if start >= since
        ]


def meets_targets(ended: Ended, spec: catalog.ServiceClass) -> bool:
    """Return whether a request succeeded and met its class's targets."""
    if ended["outcome"] != "ok":
        return False
    if ended["first_token_ms"] > spec.first_token_ms:
        return False
    return not spec.token_gap_ms or ended["token_gap_ms"] <= spec.token_gap_ms


def _count_request(counts: Counts, ended: Ended, attained: bool) -> None:
    counts["requests"] += 1
    counts["attained"] += attained
    counts["refused"] += ended["outcome"] == "not-run"
    counts["incomplete"] += ended["outcome"] in ("incomplete", "unknown")
    counts["output_tokens"] += ended["output_tokens"]
    counts["wasted_tokens"] += ended["wasted_tokens"]
    if attained:
        counts["good_tokens"] += ended["output_tokens"]
    if ended["first_token_ms"] >= 0:
        counts["first_token_ms"][_bound_index(ended["first_token_ms"])] += 1


def _bound_index(value_ms: float) -> int:
    for i, bound in enumerate(FIRST_TOKEN_BOUNDS_MS):
        if value_ms <= bound:
            return i
    return len(FIRST_TOKEN_BOUNDS_MS)


def merge_reports(reports: Iterable[list[Bucket]]) -> list[Bucket]:
    """Return the buckets of several gateways as one list, sorted by start.

    Args:
        reports: the exported buckets of each gateway.
    """
    merged: dict[int, dict[tuple[str, str], Counts]] = {}
    for report in reports:
        for bucket in report:
            merged_bucket = merged.setdefault(bucket["start"], {})
            for counts in bucket["counts"]:
                key = (counts["customer"], counts["class_name"])
                merged_bucket[key] = add_counts(
                    merged_bucket.get(key, zero_counts(*key)), counts
                )
    return [
        Bucket(start=start, counts=list(counts.values()))
        for start, counts in sorted(merged.items())
    ]


def add_counts(a: Counts, b: Counts) -> Counts:
    """Return the sum of two counts of the same customer and class."""
    total = dict(a)
    for name, value in b.items():
        if isinstance(value, int):
            total[name] = a[name] + value
    total["first_token_ms"] = [
        x + y for x, y in zip(a["first_token_ms"], b["first_token_ms"])
    ]
    return Counts(**total)


class ClassReport(TypedDict):
    """The service-level figures of one class.

    The burn rates cover the short and the long window; all other figures
    cover the long window. A burn rate is the share of requests that missed
    their service level, divided by the share that the objective allows.
    Above 1, the error budget is used up too fast.
    """

    class_name: str
    tier: int
    objective: float
    requests: int
    refused: int
    incomplete: int
    attainment: float
    burn_short: float
    burn_long: float
    goodput_tokens_s: float
    wasted_tokens: int
    first_token_p95_ms: float
    worst_customer: str
    worst_attainment: float


def build_report(
    buckets: list[Bucket],
    classes: dict[str, catalog.ServiceClass],
    now_s: float,
) -> list[ClassReport]:
    """Return the burn report, one row per class, sorted by tier.

    Args:
        buckets: the merged buckets of all gateways.
        classes: the classes in force, by name.
        now_s: the current time in seconds since the epoch.
    """
    rows = []
    for spec in sorted(classes.values(), key=lambda c: (c.tier, c.name)):
        short = _sum_by_customer(buckets, spec.name, now_s - SHORT_WINDOW_S)
        long = _sum_by_customer(buckets, spec.name, now_s - LONG_WINDOW_S)
        rows.append(_class_report(spec, short, long))
    return rows


def _sum_by_customer(
    buckets: list[Bucket], class_name: str, since: float
) -> dict[str, Counts]:
    sums: dict[str, Counts] = {}
    for bucket in buckets:
        if bucket["start"] < since - BUCKET_S:
            continue
        for counts in bucket["counts"]:
            if counts["class_name"] == class_name:
                name = counts["customer"]
                previous = sums.get(name, zero_counts(name, class_name))
                sums[name] = add_counts(previous, counts)
    return sums


def _class_report(
    spec: catalog.ServiceClass,
    short: dict[str, Counts],
    long: dict[str, Counts],
) -> ClassReport:
    total = _sum_counts(spec.name, long)
    worst = min(
        long.values(), key=_attainment, default=zero_counts("", spec.name)
    )
    return ClassReport(
        class_name=spec.name,
        tier=spec.tier,
        objective=spec.objective,
        requests=total["requests"],
        refused=total["refused"],
        incomplete=total["incomplete"],
        attainment=_attainment(total),
        burn_short=_burn_rate(_sum_counts(spec.name, short), spec.objective),
        burn_long=_burn_rate(total, spec.objective),
        goodput_tokens_s=total["good_tokens"] / LONG_WINDOW_S,
        wasted_tokens=total["wasted_tokens"],
        first_token_p95_ms=_quantile(total["first_token_ms"], 0.95),
        worst_customer=worst["customer"],
        worst_attainment=_attainment(worst),
    )


def _sum_counts(class_name: str, by_customer: dict[str, Counts]) -> Counts:
    total = zero_counts("", class_name)
    for counts in by_customer.values():
        total = add_counts(total, counts)
    return total


def _attainment(counts: Counts) -> float:
    if not counts["requests"]:
        return 1.0
    return counts["attained"] / counts["requests"]


def _burn_rate(counts: Counts, objective: float) -> float:
    return (1 - _attainment(counts)) / (1 - objective)


def _quantile(histogram: list[int], quantile: float) -> float:
    rank = quantile * sum(histogram)
    cumulative = 0
    for bound, count in zip((*FIRST_TOKEN_BOUNDS_MS, float("inf")), histogram):
        cumulative += count
        if cumulative >= rank and cumulative:
            return float(bound)
    return 0.0


__all__ = [
    "Bucket",
    "ClassReport",
    "Ended",
    "ServiceLevelRecorder",
    "build_report",
    "merge_reports",
]
