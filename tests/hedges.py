"""Test helpers: hedging with exact quantiles, warmed up or not."""

import math

from primrosehitch import hedging
from primrosehitch import instance

ROUTE, SERVICE = "r", "svc"
USUAL_MS = 20
MIN_DELAY_MS = 40


class ExactSketch:
    """A sketch that keeps all samples."""

    def __init__(self):
        self.samples = []

    @property
    def count(self):
        return len(self.samples)

    def add(self, val):
        self.samples.append(val)

    def get_quantile_value(self, quantile):
        if not self.samples:
            return None
        rank = math.floor(quantile * (len(self.samples) - 1))
        return sorted(self.samples)[rank]


def make_hedging(
    share=0.25, quantile=0.95, min_delay_ms=MIN_DELAY_MS, **options
):
    settings = instance.HedgingSettings(share, quantile, min_delay_ms)
    return hedging.Hedging(settings, options.get("make_sketch", ExactSketch))


def warm_up(hedges, now, route=ROUTE, service=SERVICE, took_ms=USUAL_MS):
    """Record so many answers and requests that hedges are allowed."""
    for _ in range(50):
        hedges.record_time(route, service, took_ms, now)
    for _ in range(40):
        hedges.share.record_request(service, now)
