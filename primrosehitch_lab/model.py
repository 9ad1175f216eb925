"""The emulated engine: continuous batching, prefix cache, priorities.

Pure. One step serves the best sequences by priority up to the slots:
those that still prefill share a token budget, the others emit one
token each. A step's time grows with the prefill tokens and with the
sequences that decode. docs/EMULATOR.md states the model.
"""

import collections
from typing import NamedTuple

import xxhash

STEP_BASE_MS = 4.0
PREFILL_MS_PER_TOKEN = 0.05
DECODE_MS = 0.25
PREFILL_BUDGET_TOKENS = 2048
BLOCK_CHARS = 1024
CHARS_PER_TOKEN = 4
CACHE_BLOCKS = 400
KV_TOKENS = 200_000


class Emitted(NamedTuple):
    """Tokens that a sequence got in a step."""

    sequence: "Sequence"
    count: int
    finished: bool


class Sequence:
    """One request at an engine."""

    def __init__(
        self,
        identifier: str,
        prompt_tokens: int,
        blocks: tuple[str, ...],
        output_tokens: int,
        priority: int,
        offset: int = 0,
    ):
        self.identifier = identifier
        self.prompt_tokens = prompt_tokens
        self.blocks = blocks
        self.output_tokens = output_tokens
        self.priority = priority
        self.arrival = 0
        self.emitted = offset
        self.to_prefill = -1.0


def read_prompt(
    identifier: str,
    prompt: str,
    output_tokens: int,
    priority: int,
    offset: int,
) -> Sequence:
    """Return the sequence of a prompt's text."""
    return Sequence(
        identifier,
        1 + len(prompt) // CHARS_PER_TOKEN,
        block_hashes(prompt),
        output_tokens,
        priority,
        offset,
    )


def block_hashes(prompt: str) -> tuple[str, ...]:
    """Return a hash for each leading block of a prompt."""
    state = xxhash.xxh64()
    found = []
    for at in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        state.update(prompt[at : at + BLOCK_CHARS].encode())
        found.append(state.hexdigest())
    return tuple(found)


class EngineModel:
    """An engine's sequences, cache and cost of a step.

    Args:
        slots: sequences served in one step.
        slow: factor on the time of a step.
    """

    def __init__(self, slots: int, slow: float = 1.0):
        self.slots = slots
        self.slow = slow
        self.sequences: dict[str, Sequence] = {}
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.prefill_total = 0.0
        self.arrivals = 0
        self.new_blocks: list[str] = []

    def submit(self, sequence: Sequence) -> None:
        """Take in a sequence."""
        sequence.arrival = self.arrivals
        self.arrivals += 1
        self.sequences[sequence.identifier] = sequence

    def cancel(self, identifier: str) -> None:
        """Drop a sequence, if it is there."""
        self.sequences.pop(identifier, None)

    @property
    def running(self) -> int:
        """Sequences that get steps."""
        return min(len(self.sequences), self.slots)

    @property
    def waiting(self) -> int:
        """Sequences that wait for a slot."""
        return max(0, len(self.sequences) - self.slots)

    def step(self) -> tuple[float, list[Emitted]]:
        """Run one step; return its time in ms and the tokens."""
        batch = self._batch()
        budget = float(PREFILL_BUDGET_TOKENS)
        used = 0.0
        emitted = []
        for sequence in batch:
            if sequence.to_prefill < 0:
                self._look_up(sequence)
            part = min(budget - used, sequence.to_prefill)
            used += part
            sequence.to_prefill -= part
            if sequence.to_prefill <= 0:
                sequence.emitted += 1
                done = sequence.emitted >= sequence.output_tokens
                emitted.append(Emitted(sequence, 1, done))
        for item in emitted:
            if item.finished:
                del self.sequences[item.sequence.identifier]
        self.prefill_total += used
        cost = STEP_BASE_MS + used * PREFILL_MS_PER_TOKEN
        cost += len(emitted) * DECODE_MS
        return cost * self.slow, emitted

    def _batch(self) -> list[Sequence]:
        ordered = sorted(
            self.sequences.values(), key=lambda s: (s.priority, s.arrival)
        )
        batch = []
        kv = 0
        for sequence in ordered:
            kv += sequence.prompt_tokens + sequence.emitted
            if len(batch) == self.slots or kv > KV_TOKENS:
                break
            batch.append(sequence)
        return batch

    def _look_up(self, sequence: Sequence) -> None:
        hit = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            hit += 1
        block_tokens = BLOCK_CHARS // CHARS_PER_TOKEN
        uncached = sequence.prompt_tokens - hit * block_tokens
        sequence.to_prefill = float(max(1, uncached))
        for block in sequence.blocks:
            if block not in self.cache:
                self.new_blocks.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)


__all__ = ["Emitted", "EngineModel", "Sequence", "block_hashes", "read_prompt"]
