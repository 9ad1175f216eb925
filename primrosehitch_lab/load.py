"""Open-loop load from a seed, for the experiments.

Arrivals follow a Poisson process with a rate that may change over time;
output lengths are heavy-tailed; prompts may share leading blocks.
"""

import random
from typing import Callable
from typing import NamedTuple

BLOCK_TOKENS = 256
TAIL_SIGMA = 0.9
MAX_OUTPUT = 1200

Rate = Callable[[float], float]


class Stream(NamedTuple):
    """One kind of arrivals.

    Attributes:
        class_name: class of the requests.
        customers: who sends them, in equal parts.
        rate: arrivals per second at a time in seconds.
        prompt_tokens: mean size of prompts.
        output_tokens: mean size of outputs.
        histories: different leading histories that prompts share; 0
            for prompts of their own.
    """

    class_name: str
    customers: tuple[str, ...]
    rate: Rate
    prompt_tokens: int
    output_tokens: int
    histories: int = 0


class Arrival(NamedTuple):
    """One request to come."""

    at_ms: int
    class_name: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[str, ...]


def steady(rate: float) -> Rate:
    """Return a rate that does not change."""
    return lambda at_s: rate


def burst(base: float, high: float, start_s: float, end_s: float) -> Rate:
    """Return a rate that is high between two times."""
    return lambda at_s: high if start_s <= at_s < end_s else base


def arrivals(
    streams: list[Stream], duration_s: float, seed: int
) -> list[Arrival]:
    """Return all arrivals of some streams, in order."""
    found = []
    for number, stream in enumerate(streams):
        rng = random.Random(f"{seed}-{number}")
        found += _of_stream(stream, duration_s, rng)
    found.sort()
    return found


def _of_stream(
    stream: Stream, duration_s: float, rng: random.Random
) -> list[Arrival]:
    found = []
    now = 0.0
    while True:
        rate = max(stream.rate(now), 0.001)
        now += min(rng.expovariate(rate), 1.0 if rate < 1 else 10.0)
        if now >= duration_s:
            return found
        if stream.rate(now) > 0.001:
            found.append(_one(stream, now, rng))


def _one(stream: Stream, now: float, rng: random.Random) -> Arrival:
    mean = stream.output_tokens
    output = rng.lognormvariate(0, TAIL_SIGMA) * mean / 1.5
    prompt = int(stream.prompt_tokens * rng.uniform(0.5, 1.5)) + 1
    count = prompt // BLOCK_TOKENS
    if stream.histories:
        history = rng.randrange(stream.histories)
        shared = f"{stream.class_name}-h{history}"
        own = max(1, count // 8)
        blocks = [f"{shared}-{i}" for i in range(count - own)]
        blocks += [f"{rng.getrandbits(60):x}" for _ in range(own)]
    else:
        blocks = [f"{rng.getrandbits(60):x}" for _ in range(count)]
    return Arrival(
        int(now * 1000),
        stream.class_name,
        rng.choice(stream.customers),
        prompt,
        max(2, min(MAX_OUTPUT, int(output))),
        tuple(blocks),
    )


__all__ = ["Arrival", "Stream", "arrivals", "burst", "steady"]
