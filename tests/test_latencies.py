"""Tests of quantiles in sketches of the ddsketch library."""

import pickle

import pytest

from primrosehitch import latencies

RATIO = 1 + 2 * latencies.RELATIVE_ERROR


@pytest.mark.parametrize("scale", [1, 50, 20_000])
def test_quantile_of_the_library_is_close(scale):
    quantile = latencies.DecayingQuantile(0.95, latencies.make_sketch, 0)
    for number in range(1, 1001):
        quantile.add(number / 1000 * scale, 0)
    assert 0.95 * scale / RATIO <= quantile.value(0) <= 0.95 * scale * RATIO


def test_quantile_of_times_of_zero():
    """Guards against an error of the library for an answer within 1 ms."""
    quantile = latencies.DecayingQuantile(0.5, latencies.make_sketch, 0)
    for _ in range(100):
        quantile.add(0, 0)
    assert quantile.value(0) == 0


def test_size_does_not_grow_with_the_samples():
    sketch = latencies.make_sketch()
    for number in range(1, 100_000):
        sketch.add(number)
    assert len(pickle.dumps(sketch)) < 20_000
