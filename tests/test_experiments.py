"""The targets of the experiments, each beside its baseline.

Bounds are the stated targets; arrivals come from a fixed seed and time
is virtual, so the figures are the same at every run.
"""

import pytest

from primrosehitch_lab import experiments

FIRST_START_S = 5.0


def by_policy(rows, **wanted):
    return [r for r in rows if all(r[k] == v for k, v in wanted.items())]


def ours(rows):
    return by_policy(rows, policy="primrosehitch")


def test_a_burst_of_the_lowest_class_harms_no_higher_one():
    rows = ours(experiments.burst_low())
    for row in rows:
        if row["class"] != "notes":
            assert row["attainment"] >= 0.95
            assert row["shed"] == 0


def test_every_class_starts_in_every_five_seconds_of_a_high_burst():
    rows = ours(experiments.burst_high())
    assert len(rows) == 3
    for row in rows:
        assert row["longest_gap_s"] <= FIRST_START_S


def test_a_flood_of_one_customer_leaves_the_others_their_goodput():
    rows = experiments.flood()
    assert ours(rows)[0]["worst_other_kept"] >= 0.9
    baseline = by_policy(rows, policy="round-robin")[0]
    assert baseline["worst_other_kept"] < 0.9


def test_a_reclaimed_zone_loses_nothing():
    row = ours(experiments.reclaim())[0]
    assert row["worst_attainment"] >= 0.95
    assert row["lost"] == 0


def test_lagging_reports_and_a_slow_engine():
    rows = {r["policy"]: r for r in experiments.lag()}
    own = rows.pop("primrosehitch")["first_token_p95_ms"]
    assert own <= 0.6 * rows["round-robin"]["first_token_p95_ms"]
    assert own <= min(r["first_token_p95_ms"] for r in rows.values())


def test_shared_prefixes_save_prefill_at_no_worse_latency():
    own, blind = experiments.prefix()
    assert own["prefill_tokens"] <= 0.6 * blind["prefill_tokens"]
    assert own["first_token_p95_ms"] <= blind["first_token_p95_ms"]


@pytest.mark.parametrize("name", list(experiments.EXPERIMENTS))
def test_every_experiment_is_named(name):
    assert experiments.EXPERIMENTS[name].__doc__
