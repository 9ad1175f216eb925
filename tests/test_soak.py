"""Fixed seeds of the long randomised run."""

import pytest

from primrosehitch_lab import soak


@pytest.mark.parametrize("seed", range(1, 41))
def test_seed(seed):
    counters = soak.run_seed(seed)
    assert counters.claims > 100
    assert counters.freezes and counters.cuts and counters.crashes
