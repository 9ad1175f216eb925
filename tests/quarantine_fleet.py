"""A simulated fleet of edges and engines, which one part of a prompt or one
request crashes.

Simulated time only; the edges' quarantines are the product's own.
"""

import heapq
import itertools
import random

from primrosehitch import quarantine

EDGES, ENGINES = 6, 14
ROUTES, CALLERS, DOCUMENTS = 3, 10, 40
SOUND_PER_S = 24
RESTART_MS = 3000
FIRST_TOKEN_MS = (60, 800)
CRASH_MS = (30, 320)
ANSWER_MS = (300, 3000)
RELAY_MS = (40, 120)
RETRY_MS = 5
MAX_ATTEMPTS = 2
TICK_MS = 250
# A caller repeats a request that failed.
MAX_TRIES = 3
TRY_AGAIN_MS = (50, 400)
# Requests that are the same each time, such as polls.
POLLS = 4
BAD = "bad"
BAD_REQUEST = "request/bad"


class Engine:
    """One engine's present incarnation; ``running`` holds its attempts."""

    def __init__(self):
        self.born = 1
        self.is_up = True
        # In the order of arrival, so that a seed repeats.
        self.running = {}


class Attempt:
    """One request at one engine.

    ``parts`` ends with its fingerprint.
    """

    def __init__(self, edge, engine, parts, number, tries, now):
        self.edge = edge
        self.engine = engine
        self.born = engine.born
        self.parts = parts
        self.number = number
        self.tries = tries
        self.sent_ms = now
        self.answer_ms = None


class Fleet:
    """Runs requests from a seed on.

    Args:
        seed: of everything that is drawn.

    Attributes:
        crashes: when an engine crashed, in ms.
        bad_sends: when a request that crashes engines was sent.
        sound: (time, part that it was refused for or None) of each sound
            request.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.events = []
        self.order = itertools.count()
        self.edges = [quarantine.Quarantine() for _ in range(EDGES)]
        self.engines = [Engine() for _ in range(ENGINES)]
        self.crashes = []
        self.bad_sends = []
        self.sound = []

    def at(self, delay_ms, action, *args):
        heapq.heappush(
            self.events,
            (self.now + delay_ms, next(self.order), action, args),
        )

    def run(self, until_ms):
        self.at(0, self._arrive)
        self.at(0, self._tick)
        while self.events and self.events[0][0] <= until_ms:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)

    def send_bad(self):
        """Send a request with the crashing part from any edge."""
        self._call(self._draw_parts(BAD))

    def send_bad_request(self):
        """Send the crashing request, which shares its parts with others."""
        self._call(("route0", "caller0", "doc0", BAD_REQUEST))

    def _call(self, parts, tries=1):
        """Send a request from any edge; return what it was refused for."""
        edge = self.rng.choice(self.edges)
        refused_for = edge.quarantined_part(parts, self.now)
        if refused_for is None:
            self._send(edge, parts, 1, tries)
        return refused_for

    def _draw_fingerprint(self):
        if self.rng.random() < 0.1:
            return f"request/poll{self.rng.randrange(POLLS)}"
        return f"request/{next(self.order)}"

    def end_engines(self, count):
        """End several engines at once."""
        for engine in self.rng.sample(self.engines, count):
            self._crash(engine)

    def _draw_parts(self, last):
        route = f"route{self.rng.randrange(ROUTES)}"
        # Few callers and documents have most of the requests.
        caller = f"caller{min(self.rng.randrange(CALLERS) for _ in 'ab')}"
        return route, caller, last, self._draw_fingerprint()

    def _arrive(self):
        document = min(self.rng.randrange(DOCUMENTS) for _ in "ab")
        parts = self._draw_parts(f"doc{document}")
        self.sound.append((self.now, self._call(parts)))
        self.at(self.rng.expovariate(SOUND_PER_S / 1000), self._arrive)

    def _send(self, edge, parts, number, tries):
        up = [e for e in self.engines if e.is_up]
        if not up or edge.quarantined_part(parts, self.now) is not None:
            return
        if self._is_bad(parts):
            self.bad_sends.append(self.now)
        engine = self.rng.choice(up)
        attempt = Attempt(edge, engine, parts, number, tries, self.now)
        engine.running[attempt] = None
        self.at(self.rng.uniform(*FIRST_TOKEN_MS), self._answer, attempt)

    def _is_bad(self, parts):
        return BAD in parts or BAD_REQUEST in parts

    def _answer(self, attempt):
        if attempt not in attempt.engine.running:
            return
        attempt.answer_ms = self.now
        if self._is_bad(attempt.parts):
            self.at(
                self.rng.uniform(*CRASH_MS),
                self._crash_from,
                attempt,
            )
            return
        took_ms = self.rng.uniform(*ANSWER_MS)
        self.at(took_ms, self._finish, attempt)
        if took_ms > quarantine.SOUND_ANSWER_MS:
            self.at(quarantine.SOUND_ANSWER_MS, self._clear, attempt)

    def _clear(self, attempt):
        if attempt in attempt.engine.running:
            attempt.edge.report_sound(attempt.parts, int(self.now))
            self._relay(attempt.edge)

    def _finish(self, attempt):
        self._clear(attempt)
        attempt.engine.running.pop(attempt, None)

    def _crash_from(self, attempt):
        if attempt in attempt.engine.running:
            self._crash(attempt.engine)

    def _crash(self, engine):
        if not engine.is_up:
            return
        self.crashes.append(self.now)
        engine.is_up = False
        running, engine.running = engine.running, {}
        crashed = quarantine.Incarnation(
            f"e{self.engines.index(engine)}", engine.born
        )
        for attempt in running:
            self._break(attempt, crashed)
        self.at(RESTART_MS, self._restart, engine)

    def _break(self, attempt, crashed):
        began = attempt.answer_ms
        if began is None or self.now - began < quarantine.SOUND_ANSWER_MS:
            interval = quarantine.Interval(int(attempt.sent_ms), int(self.now))
            attempt.edge.report_crash(
                crashed, attempt.parts, interval, int(self.now)
            )
            self._relay(attempt.edge)
        if attempt.number < MAX_ATTEMPTS:
            self.at(
                RETRY_MS,
                self._send,
                attempt.edge,
                attempt.parts,
                attempt.number + 1,
                attempt.tries,
            )
        elif attempt.tries < MAX_TRIES:
            delay_ms = self.rng.uniform(*TRY_AGAIN_MS)
            self.at(delay_ms, self._call, attempt.parts, attempt.tries + 1)

    def _restart(self, engine):
        engine.born += 1
        engine.is_up = True

    def _relay(self, edge):
        for finding in edge.findings.drain():
            for other in self.edges:
                if other is not edge:
                    delay_ms = self.rng.uniform(*RELAY_MS)
                    self.at(delay_ms, self._apply, other, finding)

    def _apply(self, edge, finding):
        edge.apply_finding(finding, int(self.now))

    def _tick(self):
        for edge in self.edges:
            edge.judge(int(self.now))
            self._relay(edge)
        self.at(TICK_MS, self._tick)
