"""Named experiments on the decisions, each beside its baselines.

Every run of an experiment has the same seeded arrivals; only the policy
differs. Each returns rows for a table.
"""

from typing import Any

from primrosehitch import catalog
from primrosehitch_lab import bed as bed_module
from primrosehitch_lab import load

SEED = 7
ZONES = ("za", "zb", "zc", "zd")
CAPACITY = 40.0
TAIL_S = 30.0


def service_class(
    name: str, tier: int, first_token_ms: int, max_wait_ms: int
) -> catalog.ServiceClass:
    """Return a class with a floor of a twentieth."""
    return catalog.ServiceClass(
        name, tier, 1.0, 0.05, max_wait_ms, first_token_ms, 0, 0.95, True
    )


CLASSES = [
    service_class("desk", 0, 980, 900),
    service_class("quote", 1, 8000, 7500),
    service_class("notes", 2, 30_000, 29_000),
]
ENGINES = [(ZONES[i % 4], i % 2 == 1) for i in range(8)]
CUSTOMERS = tuple(f"shop-{i}" for i in range(10))


def _streams(desk: load.Rate, quote: load.Rate, notes: load.Rate) -> Any:
    return [
        load.Stream("desk", CUSTOMERS, desk, 300, 60),
        load.Stream("quote", CUSTOMERS, quote, 1500, 150),
        load.Stream("notes", CUSTOMERS, notes, 1500, 300),
    ]


def _shed(bed: bed_module.Bed, class_name: str) -> int:
    return sum(
        outcome == "not-run" and run.arrival.class_name == class_name
        for run, outcome, _ in bed.ended
    )


def _run(
    streams: Any,
    duration_s: float,
    policy: bed_module.Policy,
    **more: Any,
) -> bed_module.Bed:
    classes = more.pop("classes", CLASSES)
    engines = more.pop("engines", ENGINES)
    prepare = more.pop("prepare", None)
    bed = bed_module.Bed(classes, engines, policy, **more)
    if prepare is not None:
        prepare(bed)
    arrivals = load.arrivals(streams, duration_s, SEED)
    bed.run(arrivals, duration_s + TAIL_S)
    return bed


POLICIES: tuple[tuple[str, Any, bool], ...] = (
    ("primrosehitch", bed_module.Routed, True),
    ("round-robin", lambda: bed_module.Baseline("round-robin"), False),
    ("least-reported", lambda: bed_module.Baseline("least-reported"), False),
    ("two-choices", lambda: bed_module.Baseline("two-choices"), False),
)


def burst_low() -> list[Any]:
    """A burst of the lowest class at three times capacity for 60 s."""
    notes = load.burst(4, 3 * CAPACITY, 20, 80)
    streams = _streams(load.steady(10), load.steady(6), notes)
    return _class_rows("burst-low", streams, 100, 20, 80)


def burst_high() -> list[Any]:
    """A burst of the highest class at three times capacity for 60 s."""
    desk = load.burst(10, 9 * CAPACITY, 20, 80)
    streams = _streams(desk, load.steady(6), load.steady(4))
    return _class_rows("burst-high", streams, 100, 20, 80)


def _class_rows(
    name: str, streams: Any, duration_s: float, start_s: float, end_s: float
) -> list[Any]:
    rows = []
    for policy, make, admits in POLICIES[:2]:
        bed = _run(streams, duration_s, make(), admits=admits)
        for spec in CLASSES:
            rows.append(
                {
                    "experiment": name,
                    "policy": policy,
                    "class": spec.name,
                    "attainment": bed.attainment(spec.name, start_s, end_s),
                    "shed": _shed(bed, spec.name),
                    "longest_gap_s": _longest_gap(
                        bed.starts[spec.name], start_s, end_s
                    ),
                }
            )
    return rows


def _longest_gap(starts: list[float], start_s: float, end_s: float) -> float:
    inside = [t / 1000 for t in starts if start_s <= t / 1000 < end_s]
    points = [start_s, *inside, end_s]
    return max(b - a for a, b in zip(points, points[1:]))


def flood() -> list[Any]:
    """One customer floods at ten times its share."""
    others = CUSTOMERS[1:]
    base = [
        load.Stream("quote", others, load.steady(45), 1200, 120),
    ]
    quiet = load.Stream("quote", CUSTOMERS[:1], load.steady(5), 1200, 120)
    loud = load.Stream("quote", CUSTOMERS[:1], load.steady(50), 1200, 120)
    rows = []
    for policy, make, admits in POLICIES[:2]:
        good = []
        for extra in (quiet, loud):
            bed = _run([*base, extra], 60, make(), admits=admits)
            good.append(bed.good_tokens())
        kept = min(good[1].get(c, 0) / good[0][c] for c in others)
        rows.append(
            {
                "experiment": "flood",
                "policy": policy,
                "worst_other_kept": kept,
                "flooder_tokens": good[1].get(CUSTOMERS[0], 0),
            }
        )
    return rows


def reclaim() -> list[Any]:
    """A zone's cheap engines go with three seconds' notice."""
    engines = [(ZONES[i % 4], i >= 4) for i in range(12)]
    streams = _streams(load.steady(30), load.steady(22), load.steady(22))
    rows = []
    for policy, make, admits in POLICIES[:2]:

        def prepare(bed: bed_module.Bed) -> None:
            bed.at(30_000, lambda: bed.reclaim("zb", 3000))

        bed = _run(
            streams,
            60,
            make(),
            admits=admits,
            engines=engines,
            prepare=prepare,
        )
        lost = sum(outcome != "ok" for _, outcome, _ in bed.ended)
        lost += sum(len(g.runs) for g in bed.gateways)
        rows.append(
            {
                "experiment": "reclaim",
                "policy": policy,
                "worst_attainment": min(
                    bed.attainment(c.name) for c in CLASSES
                ),
                "lost": lost,
                "resumed": sum(run.breaks for run, _, _ in bed.ended),
            }
        )
    return rows


def lag() -> list[Any]:
    """Reports lag two seconds and one engine is slowed five times."""
    streams = _streams(load.steady(8), load.steady(8), load.steady(6))

    def prepare(bed: bed_module.Bed) -> None:
        bed.engines["e3"].model.slow = 5.0

    rows = []
    for policy, make, admits in POLICIES:
        bed = _run(
            streams, 60, make(), admits=admits, lag_ms=2000, prepare=prepare
        )
        rows.append(
            {
                "experiment": "lag",
                "policy": policy,
                "first_token_p95_ms": bed.first_token_p95(),
                "desk_p95_ms": bed.first_token_p95("desk"),
                "ended": len(bed.ended),
            }
        )
    return rows


def prefix() -> list[Any]:
    """Long order histories that many prompts begin with."""
    stream = load.Stream(
        "quote", CUSTOMERS, load.steady(14), 6000, 80, histories=40
    )
    rows = []
    for policy, make in (
        ("primrosehitch", bed_module.Routed),
        ("locality-blind", bed_module.LocalityBlind),
    ):
        bed = _run([stream], 60, make())
        rows.append(
            {
                "experiment": "prefix",
                "policy": policy,
                "prefill_tokens": bed.prefill_tokens(),
                "first_token_p95_ms": bed.first_token_p95(),
                "ended": len(bed.ended),
            }
        )
    return rows


EXPERIMENTS = {
    "burst-low": burst_low,
    "burst-high": burst_high,
    "flood": flood,
    "reclaim": reclaim,
    "lag": lag,
    "prefix": prefix,
}

__all__ = ["EXPERIMENTS"]
