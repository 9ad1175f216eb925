"""A test bed for policies: the product's decisions before fake engines.

Gateways are the product's admission, router and directory; engines are
the emulated model; time is virtual. It has no network and no faults but
those an experiment asks for. Baselines replace the routing, or the
admission, and leave the rest as it is.
"""

import heapq
import itertools
import random
from typing import Callable
from typing import Protocol

from primrosehitch import admission as admission_module
from primrosehitch import burn as burn_module
from primrosehitch import catalog
from primrosehitch import directory as directory_module
from primrosehitch import fairqueue
from primrosehitch import fairshare
from primrosehitch import messages
from primrosehitch import routing
from primrosehitch_lab import load as load_module
from primrosehitch_lab import model as model_module

POOL = "m"
TICK_MS = 100
HEARTBEAT_MS = 500
REPORT_MS = 1000
HOP_MS = 1


class Policy(Protocol):
    """Chooses an engine for a ticket, or None to let it wait."""

    def choose(
        self, gateway: "Gateway", ticket: fairqueue.Ticket, now: int
    ) -> str | None:
        """Return an engine's name."""


class Routed:
    """The product's router."""

    def choose(
        self, gateway: "Gateway", ticket: fairqueue.Ticket, now: int
    ) -> str | None:
        """Return the router's choice within the gateway's part."""
        if not ticket.boosted and not gateway.share.may_start(
            POOL, ticket.tier, gateway.admission, now
        ):
            return None
        return gateway.router.choose(POOL, ticket, now)


class LocalityBlind(Routed):
    """The product's router without prompt prefixes."""

    def choose(
        self, gateway: "Gateway", ticket: fairqueue.Ticket, now: int
    ) -> str | None:
        """Return the router's choice for a prompt of its own."""
        ticket.prefixes = ()
        return super().choose(gateway, ticket, now)


class Baseline:
    """Sends at once, to an engine picked by reported load or in turn.

    Args:
        kind: ``round-robin``, ``least-reported`` or ``two-choices``.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.turns: dict[str, int] = {}

    def choose(
        self, gateway: "Gateway", ticket: fairqueue.Ticket, now: int
    ) -> str | None:
        """Return an engine that is ready."""
        names = gateway.router.endpoints_by_pool.get(POOL, [])
        if not names:
            return None
        if self.kind == "round-robin":
            turn = self.turns.get(gateway.name, gateway.number)
            self.turns[gateway.name] = turn + 1
            return names[turn % len(names)]
        some = names
        if self.kind == "two-choices":
            some = gateway.bed.rng.sample(names, min(2, len(names)))
        else:
            some = gateway.bed.rng.sample(names, len(names))
        return min(some, key=gateway.reported)


class Engine:
    """An emulated engine in virtual time."""

    def __init__(self, bed: "Bed", name: str, domain: str, cheap: bool):
        self.bed = bed
        self.name = name
        self.domain = domain
        self.cheap = cheap
        self.model = model_module.EngineModel(bed.slots)
        self.stepping = False
        self.gone = False
        self.reclaimed = False
        self.sequence = 0

    def announcement(self) -> messages.Announcement:
        """Return the next announcement."""
        self.sequence += 1
        prefixes = tuple(self.model.new_blocks[-64:])
        self.model.new_blocks.clear()
        return messages.Announcement(
            self.name,
            1,
            self.sequence,
            "127.0.0.1:1",
            self.domain,
            "engine",
            (POOL,),
            self.bed.slots,
            self.cheap,
            self.model.running,
            self.model.waiting,
            False,
            self.reclaimed,
            prefixes,
        )

    def submit(self, run: "Run") -> None:
        """Take in a request."""
        if self.gone:
            run.broken()
            return
        arrival = run.arrival
        run.sequence = model_module.Sequence(
            run.ticket.request_id,
            arrival.prompt_tokens,
            arrival.blocks,
            arrival.output_tokens,
            run.ticket.effective_tier,
            run.tokens,
        )
        self.model.submit(run.sequence)
        self.bed.runs[self.name, run.ticket.request_id] = run
        self.wake()

    def wake(self) -> None:
        """Run steps while there is work."""
        if not self.stepping and self.model.sequences and not self.gone:
            self.stepping = True
            self.step()

    def step(self) -> None:
        """Run one step and deliver its tokens when it ends."""
        if self.gone or not self.model.sequences:
            self.stepping = False
            return
        cost_ms, emitted = self.model.step()
        self.bed.at(cost_ms, lambda: self._deliver(emitted))

    def _deliver(self, emitted: list[model_module.Emitted]) -> None:
        for item in emitted:
            key = (self.name, item.sequence.identifier)
            run = self.bed.runs.get(key)
            if run is None or self.gone:
                continue
            if item.finished:
                del self.bed.runs[key]
            run.got_token(item.finished)
        self.step()

    def vanish(self) -> None:
        """Go, breaking all streams."""
        self.gone = True
        broken = [k for k in self.bed.runs if k[0] == self.name]
        for key in broken:
            self.bed.runs.pop(key).broken()


class Run:
    """One request on its way."""

    def __init__(
        self, gateway: "Gateway", arrival: load_module.Arrival, number: int
    ):
        self.gateway = gateway
        self.arrival = arrival
        spec = gateway.bed.classes[arrival.class_name]
        estimate = float(arrival.prompt_tokens + 200)
        self.ticket = fairqueue.Ticket(
            f"r{number}", spec, arrival.customer, 1.0, estimate, arrival.at_ms
        )
        self.ticket.prompt_tokens = arrival.prompt_tokens
        self.ticket.prefixes = arrival.blocks
        self.sequence: model_module.Sequence | None = None
        self.endpoint = ""
        self.tokens = 0
        self.first_ms = -1.0
        self.last_ms = -1.0
        self.outcome = ""
        self.breaks = 0

    def got_token(self, finished: bool) -> None:
        """Note a token."""
        now = self.gateway.bed.now
        if self.first_ms < 0:
            self.first_ms = now - self.arrival.at_ms
            self.gateway.router.record_first_token(
                POOL, self.endpoint, self.ticket, int(now)
            )
        self.last_ms = now - self.arrival.at_ms
        self.tokens += 1
        if finished:
            self.gateway.ended(self, "ok")

    def broken(self) -> None:
        """Resume elsewhere from the tokens already passed on."""
        self.breaks += 1
        self.gateway.lost(self)


class Gateway:
    """The product's decisions at one gateway."""

    def __init__(self, bed: "Bed", number: int, domain: str):
        self.bed = bed
        self.number = number
        self.name = f"g{number}"
        self.directory = directory_module.Directory()
        self.router = routing.Router(
            domain, self.directory, random.Random(number)
        )
        self.admission = admission_module.Admission(bed.max_waiting)
        self.share = fairshare.FairShare(self.router)
        self.runs: dict[fairqueue.Ticket, Run] = {}
        self.reports: dict[str, int] = {}

    def reported(self, name: str) -> int:
        """Return the load an engine last reported."""
        return self.reports.get(name, 0)

    def hear(self, announcement: messages.Announcement) -> None:
        """Take in an announcement, however late."""
        now = int(self.bed.now)
        for change in self.directory.record_announcement(announcement, now):
            self.router.update_endpoint(change.endpoint)
        self.router.update_endpoint(announcement.name)
        self.reports[announcement.name] = (
            announcement.running + announcement.waiting
        )

    def arrive(self, run: Run) -> None:
        """Take in a caller's request."""
        now = int(self.bed.now)
        self.runs[run.ticket] = run
        if self.bed.admits:
            for refused in self.admission.offer(run.ticket, now):
                self.refuse(refused)
            self.pump()
        else:
            self._send(run, self.bed.policy.choose(self, run.ticket, now))

    def refuse(self, refused: admission_module.RefusedTicket) -> None:
        """End a refused request."""
        run = self.runs.pop(refused.ticket)
        outcome = "incomplete" if run.tokens else "not-run"
        self.bed.note_end(run, outcome, refused.refusal.reason)

    def pump(self) -> None:
        """Start what can be started."""
        now = int(self.bed.now)
        started = self.admission.start_tickets(
            now, lambda ticket: self.bed.policy.choose(self, ticket, now)
        )
        for item in started:
            self._send(self.runs[item.ticket], item.endpoint)

    def _send(self, run: Run, endpoint: str | None) -> None:
        if endpoint is None:
            self.runs.pop(run.ticket)
            self.bed.note_end(run, "not-run", "no-endpoint")
            return
        run.endpoint = endpoint
        self.bed.note_start(run)
        engine = self.bed.engines[endpoint]
        self.bed.at(HOP_MS, lambda: engine.submit(run))

    def ended(self, run: Run, outcome: str) -> None:
        """Account for a request that ended."""
        now = int(self.bed.now)
        self.runs.pop(run.ticket)
        self.bed.note_end(run, outcome, "")
        if self.bed.admits:
            self.router.record_end(run.endpoint, run.ticket, False, now)
            tokens = run.arrival.prompt_tokens + run.tokens
            self.admission.correct_charge(run.ticket, float(tokens))
            self.admission.record_completion(now)
            self.pump()

    def lost(self, run: Run) -> None:
        """Send a broken request on from its offset."""
        now = int(self.bed.now)
        run.ticket.excluded |= {run.endpoint}
        if not self.bed.admits:
            self._send(run, self.bed.policy.choose(self, run.ticket, now))
            return
        self.router.record_end(run.endpoint, run.ticket, True, now)
        self.admission.requeue(run.ticket, now)
        self.pump()

    def tick(self) -> None:
        """Expire and start."""
        now = int(self.bed.now)
        for change in self.directory.tick(now):
            self.router.update_endpoint(change.endpoint)
        if self.bed.admits:
            for refused in self.admission.refuse_expired(now):
                self.refuse(refused)
            self.pump()


class Bed:
    """Gateways, engines and one run of load.

    Args:
        classes: the classes of work.
        engines: (domain, cheap) of each engine.
        policy: how engines are chosen.
        admits: whether the product's admission is used.
        lag_ms: how late load reports come.
        gateways: how many gateways.
        seed: decides the rest.
    """

    def __init__(
        self,
        classes: list[catalog.ServiceClass],
        engines: list[tuple[str, bool]],
        policy: Policy,
        admits: bool = True,
        lag_ms: int = 300,
        gateways: int = 4,
        seed: int = 1,
        slots: int = 8,
        max_waiting: int = 512,
    ):
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in classes}
        self.policy = policy
        self.admits = admits
        self.lag_ms = lag_ms
        self.slots = slots
        self.max_waiting = max_waiting
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.runs: dict[tuple[str, str], Run] = {}
        self.burn = burn_module.ServiceLevelRecorder()
        self.ended: list[tuple[Run, str, str]] = []
        self.starts: dict[str, list[float]] = {c: [] for c in self.classes}
        self.engines = {
            f"e{i}": Engine(self, f"e{i}", domain, cheap)
            for i, (domain, cheap) in enumerate(engines)
        }
        domains = sorted({d for d, _ in engines})
        self.gateways = [
            Gateway(self, i, domains[i % len(domains)])
            for i in range(gateways)
        ]

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        entry = (self.now + delay_ms, next(self.order), action)
        heapq.heappush(self.events, entry)

    def run(
        self, arrivals: list[load_module.Arrival], duration_s: float
    ) -> None:
        """Run the load and let what started come to its end."""
        for engine in self.engines.values():
            first = engine.announcement()
            for gateway in self.gateways:
                gateway.hear(first)
            self.at(self.rng.uniform(0, REPORT_MS), self._reporter(engine))
        for gateway in self.gateways:
            self.at(self.rng.uniform(0, TICK_MS), self._ticker(gateway))
        self.at(HEARTBEAT_MS, self._heartbeats)
        for number, arrival in enumerate(arrivals):
            gateway = self.rng.choice(self.gateways)
            run = Run(gateway, arrival, number)
            self.at(arrival.at_ms, lambda g=gateway, r=run: g.arrive(r))
        end = duration_s * 1000
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def _reporter(self, engine: Engine) -> Callable[[], None]:
        def report() -> None:
            if engine.gone:
                return
            self.at(REPORT_MS, report)
            self.report(engine)

        return report

    def report(self, engine: Engine) -> None:
        """Tell all gateways an engine's state, after the lag."""
        announcement = engine.announcement()

        def arrive() -> None:
            for gateway in self.gateways:
                late = announcement._replace(age_ms=int(self.lag_ms))
                gateway.hear(late)

        self.at(self.lag_ms, arrive)

    def reclaim(self, domain: str, notice_ms: int) -> None:
        """Take a domain's cheap engines after a notice."""
        for engine in self.engines.values():
            if engine.cheap and engine.domain == domain:
                engine.reclaimed = True
                told = engine.announcement()
                for gateway in self.gateways:
                    gateway.hear(told)
                self.at(notice_ms, engine.vanish)

    def _ticker(self, gateway: Gateway) -> Callable[[], None]:
        def tick() -> None:
            self.at(TICK_MS, tick)
            gateway.tick()

        return tick

    def _heartbeats(self) -> None:
        self.at(HEARTBEAT_MS, self._heartbeats)
        for sender in self.gateways:
            counts = sender.router.inflight_counts(complete=True)
            waiting = tuple(fairshare.waiting_counts(POOL, sender.admission))
            for other in self.gateways:
                if other is not sender:
                    now = int(self.now)
                    other.router.apply_counts(sender.name, counts, now)
                    other.share.record_waiting(sender.name, waiting, now)

    # -- accounts ----------------------------------------------------------

    def note_start(self, run: Run) -> None:
        """Count a start of a class."""
        self.starts[run.arrival.class_name].append(self.now)

    def note_end(self, run: Run, outcome: str, reason: str) -> None:
        """Count an end."""
        self.ended.append((run, outcome, reason))
        gap = 0.0
        if run.tokens > 1:
            gap = (run.last_ms - run.first_ms) / (run.tokens - 1)
        wasted = 0 if outcome == "ok" else run.tokens
        ended = burn_module.Ended(
            customer=run.arrival.customer,
            class_name=run.arrival.class_name,
            outcome=outcome,
            first_token_ms=run.first_ms,
            token_gap_ms=gap,
            output_tokens=run.tokens,
            wasted_tokens=wasted,
        )
        spec = self.classes[run.arrival.class_name]
        self.burn.record(ended, spec, run.arrival.at_ms / 1000)

    def attainment(
        self, class_name: str, start_s: float = 0, end_s: float = 1e9
    ) -> float:
        """Return the share of a class's requests that met its level."""
        total = met = 0
        for bucket in self.burn.export(0):
            if not start_s <= bucket["start"] < end_s:
                continue
            for counts in bucket["counts"]:
                if counts["class_name"] == class_name:
                    total += counts["requests"]
                    met += counts["attained"]
        return met / total if total else 1.0

    def first_token_p95(self, class_name: str = "") -> float:
        """Return the 95th percentile time to the first token in ms."""
        times = sorted(
            run.first_ms
            for run, outcome, _ in self.ended
            if outcome == "ok" and class_name in ("", run.arrival.class_name)
        )
        return times[int(0.95 * len(times))] if times else -1.0

    def good_tokens(self) -> dict[str, int]:
        """Return output tokens of attained requests by customer."""
        found: dict[str, int] = {}
        for bucket in self.burn.export(0):
            for counts in bucket["counts"]:
                name = counts["customer"]
                found[name] = found.get(name, 0) + counts["good_tokens"]
        return found

    def prefill_tokens(self) -> float:
        """Return the prompt tokens that engines had to prefill."""
        return sum(e.model.prefill_total for e in self.engines.values())


__all__ = ["Baseline", "Bed", "LocalityBlind", "Routed"]
