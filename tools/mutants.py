"""Remove each mechanism in turn and expect a test to fail.

Each mutant is a copy of the tree with one text replaced. A mutant that
its tests do not notice is printed as alive, and the exit code is 1.
``tools/mutants.py NAME`` runs just one.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("primrosehitch", "primrosehitch_lab", "tests", "tools", "examples")
LIMIT_S = 300


class Mutant(NamedTuple):
    """A mechanism to remove, and the tests that must notice."""

    name: str
    file: str
    old: str
    new: str
    tests: str


MUTANTS = [
    Mutant(
        "a place kept from a higher tier is kept from lower ones",
        "admission.py",
        "            if ticket is None or (below and not boosted):",
        "            if ticket is None:",
        "tests/test_admission.py",
    ),
    Mutant(
        "a resend right behind waits for the outcome",
        "claims.py",
        "            while self._runs_elsewhere(claim, known):",
        "            while False:",
        "tests/test_claims.py",
    ),
    Mutant(
        "gateways keep to their part of the places",
        "fairshare.py",
        "        return self.router.running(pool, tier) < part.places",
        "        return True",
        "tests/test_policy.py",
    ),
    Mutant(
        "sync before acknowledgement",
        "log.py",
        "        self.medium.sync(LOG_FILE)\n        self.size_bytes +=",
        "        self.size_bytes +=",
        "tests/test_log.py tests/test_soak.py",
    ),
    Mutant(
        "torn last frame is truncated",
        "log.py",
        "        if end < len(data):\n"
        "            self.medium.truncate(LOG_FILE, end)",
        "        pass",
        "tests/test_log.py",
    ),
    Mutant(
        "damage in the middle stops",
        "frames.py",
        "            _refuse_damage(data, start, peer)\n",
        "",
        "tests/test_log.py",
    ),
    Mutant(
        "lease in charge",
        "raft.py",
        "        if now >= self.lease_until() or "
        "now - self.last_tick > FREEZE_GAP_MS:\n            return False",
        "        if self.role != LEADER:\n            return False",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "lease counts from sending",
        "raft.py",
        "max(progress.acked_sent_ms, sent_ms)",
        "now",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "voter bound to its leader",
        "raft.py",
        "        if self._bound_to_leader(now) and not request.hand_over:\n"
        "            return False\n",
        "",
        "tests/test_raft.py",
    ),
    Mutant(
        "one vote a term",
        "raft.py",
        'return self.log.hard_state.voted_for in ("", sender)',
        "return True",
        "tests/test_soak.py tests/test_raft.py",
    ),
    Mutant(
        "vote needs an up-to-date log",
        "raft.py",
        "        if behind:\n            return False\n",
        "",
        "tests/test_soak.py",
    ),
    Mutant(
        "only entries of the own term commit",
        "raft.py",
        "if index > self.commit and self.log.term_at(index) == self.term:",
        "if index > self.commit:",
        "tests/test_soak.py tests/test_raft.py",
    ),
    Mutant(
        "leader counts itself only when synced",
        "raft.py",
        "            self.durable_index\n            if voter == self.name",
        "            self.log.last_index\n            if voter == self.name",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "version in force only when durable",
        "replica.py",
        "        if durable >= pending.index:",
        "        if True:",
        "tests/test_soak.py",
    ),
    Mutant(
        "edit needs its version",
        "state.py",
        "if checked and edit.base_version != self.version:",
        "if False:",
        "tests/test_state.py",
    ),
    Mutant(
        "resent edit gets its first answer",
        "state.py",
        "        if known is not None:\n            return known\n"
        "        checked",
        "        checked",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "claim is granted once",
        "state.py",
        "        if known is not None:\n            return known\n"
        "        granted",
        "        granted",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "released claim is never granted",
        "state.py",
        "        if claim.claim_id in self.released:\n",
        "        if False:\n",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "usage batch counts once",
        "state.py",
        "        if batch.sequence > mark:",
        "        if True:",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "closed window is fixed",
        "state.py",
        "        if window <= self.closed_through:\n"
        "            corrects = window",
        "        if False:\n            corrects = window",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "withdrawn key stays withdrawn",
        "catalog.py",
        "        if key_hash in self.withdrawals:\n            return None\n",
        "",
        "tests/test_settings.py",
    ),
    Mutant(
        "version never reverts",
        "catalog.py",
        "        if version <= self.version:\n            return False\n",
        "",
        "tests/test_settings.py",
    ),
    Mutant(
        "header filter",
        "headers.py",
        "        if name in FORWARDED and not holds_key(value, key)",
        "        if not holds_key(value, key)",
        "tests/test_headers.py",
    ),
    Mutant(
        "key in a listed header",
        "headers.py",
        "        if name in FORWARDED and not holds_key(value, key)",
        "        if name in FORWARDED",
        "tests/test_headers.py",
    ),
    Mutant(
        "encoded key",
        "headers.py",
        "        data = decoded\n",
        "        break\n",
        "tests/test_headers.py",
    ),
    Mutant(
        "one answer a stream",
        "streams.py",
        "            self._check_identifiers(whole, count)\n",
        "",
        "tests/test_streams.py",
    ),
    Mutant(
        "whole events only",
        "streams.py",
        "whole, partial = data[: end + 2], data[end + 2 :]",
        'whole, partial = data, b""',
        "tests/test_streams.py",
    ),
    Mutant(
        "leaving is final",
        "directory.py",
        "            if same and known.leaving:\n",
        "            if False:\n",
        "tests/test_policy.py",
    ),
    Mutant(
        "reclaim drains the domain",
        "directory.py",
        "        if announcement.cheap and now < held:\n"
        "            return LEAVING\n",
        "",
        "tests/test_policy.py",
    ),
    Mutant(
        "floor",
        "admission.py",
        "due = [q for q in waiting if self._floor_due(q, now)]",
        "due = []",
        "tests/test_admission.py",
    ),
    Mutant(
        "reserve at the door",
        "admission.py",
        "        if (crowded or late) and len(queue.queue) >= RESERVE:",
        "        if crowded or late:",
        "tests/test_admission.py",
    ),
    Mutant(
        "lowest tier is shed first",
        "admission.py",
        "        victim = self._lowest_below(ticket.tier)\n"
        "        if victim is None and",
        "        victim = None\n        if victim is None and",
        "tests/test_admission.py",
    ),
    Mutant(
        "fair turn among customers",
        "fairqueue.py",
        "        time = self.virtual.get(customer, oldest) + tokens / weight",
        "        time = self.virtual.get(customer, oldest)",
        "tests/test_admission.py",
    ),
    Mutant(
        "refresh after a freeze",
        "readiness.py",
        "            self.refreshing = True\n            self.refresh_from",
        "            self.refresh_from",
        "tests/test_policy.py",
    ),
    Mutant(
        "configuration behind is refused",
        "readiness.py",
        "        if behind and now - self.behind_since > BEHIND_LIMIT_MS:",
        "        if False:",
        "tests/test_policy.py",
    ),
    Mutant(
        "bound on unrefreshed keys",
        "readiness.py",
        "        if now - self.contact > self.key_freshness_ms:",
        "        if False:",
        "tests/test_policy.py",
    ),
    Mutant(
        "guard before the only write",
        "guarded.py",
        "            if not self.guard():",
        "            if False:",
        "tests/test_guarded.py",
    ),
    Mutant(
        "links are proven",
        "links.py",
        "        if not known or not hmac.compare_digest("
        "hello.proof, expected):",
        "        if False:",
        "tests/test_links.py",
    ),
    Mutant(
        "a non-repeatable request is not retried",
        "forwarding.py",
        "        if may_have_run and not self.route.repeatable:",
        "        if False:",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a request that may have run is not answered as not run",
        "forwarding.py",
        "        return self.in_flight or self.earlier_may_have_run",
        "        return False",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a request fails over from a silent endpoint",
        "forwarding.py",
        "            if self._can_fail_over():\n                return None",
        "            pass",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a successful response needs a valid signature",
        "forwarding.py",
        "        if head.status < 300 and not info.genuine:",
        "        if False:",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "responses are matched to requests",
        "httpclient.py",
        "        return echoed == self.correlation_id.value",
        "        return True",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a caller's disconnect cancels its request",
        "httpserver.py",
        "            self.handler_scope.cancel()",
        "            pass",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a resumed stream repeats nothing",
        "eventframes.py",
        "        if self.resumed and not _follows(identifier, self.last_id):",
        "        if False:",
        "tests/test_edge_parts.py",
    ),
    Mutant(
        "retries keep to the budget",
        "budget.py",
        "        return retries + 1 <= allowed",
        "        return True",
        "tests/test_edge_parts.py tests/test_forwarder.py",
    ),
    Mutant(
        "an endpoint that left stays away",
        "registry.py",
        "    if known.state == LEFT:\n        return False\n",
        "",
        "tests/test_registry.py",
    ),
    Mutant(
        "an address belongs to its newest start",
        "registry.py",
        "        elif holder.record.born <= record.born:",
        "        elif False:",
        "tests/test_registry.py",
    ),
    Mutant(
        "a window's first figures stand",
        "state.py",
        "        known = self.sealed.setdefault(seal.window, seal)",
        "        known = self.sealed[seal.window] = seal",
        "tests/test_state.py",
    ),
    Mutant(
        "the lease is checked before the bytes leave",
        "platform/api.py",
        "            if not charge.holds():",
        "            if False:",
        "tests/test_duties.py",
    ),
    Mutant(
        "an edge takes newer tables only",
        "edge.py",
        "        if known is not None and message.version <= known.version:",
        "        if False:",
        "tests/test_control.py",
    ),
    Mutant(
        "an engine never sees a caller's key",
        "platform/dialect.py",
        "        CREDENTIAL,\n        TENANT,",
        "        TENANT,",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "parts are found where other edges had them read",
        "balancer.py",
        "                endpoint.note_parts((Part(item.part, item.tokens),))",
        "                pass",
        "tests/test_balancer.py",
    ),
    Mutant(
        "a domain cut off is left as a whole",
        "balancer.py",
        "        return len(failed) >= CUT_ENDPOINTS",
        "        return False",
        "tests/test_balancer.py",
    ),
    Mutant(
        "a dial that is not answered is given up soon",
        "links.py",
        "CONNECT_S = 0.3",
        "CONNECT_S = 0.9",
        "tests/test_links.py",
    ),
    Mutant(
        "assertion: a non-repeatable request is not sent again",
        "forwarding.py",
        "            self.route.repeatable or not self._may_have_run(),",
        "            True,",
        "tests/test_assertions.py",
    ),
    Mutant(
        "assertion: what may have run is not answered as not run",
        "forwarding.py",
        "            status not in NOT_RUN_STATUSES "
        "or not self._may_have_run(),",
        "            True,",
        "tests/test_assertions.py",
    ),
    Mutant(
        "a fencing token never falls, as asserted",
        "duties.py",
        "            term >= self.token, ",
        "            True, ",
        "tests/test_assertions.py",
    ),
    Mutant(
        "a confirmed read never goes back, as asserted",
        "control.py",
        "                        table.version >= self.confirmed_version,",
        "                        True,",
        "tests/test_assertions.py",
    ),
    Mutant(
        "settings of an instance are checked",
        "instance.py",
        "        instance_check.validate(document)",
        "        pass",
        "tests/test_instance.py",
    ),
    Mutant(
        "only a failure to connect proves that nothing was sent",
        "upstream.py",
        '"upstream.connect", outgoing.address, False',
        '"upstream.connect", outgoing.address, True',
        "tests/test_upstream.py",
    ),
    Mutant(
        "a kept connection that is in use is not swept",
        "upstream.py",
        "            self._pool(outgoing.address).release(connection)",
        "            connection.abort()",
        "tests/test_upstream.py",
    ),
    Mutant(
        "a target that ends the request line is not sent",
        "upstream.py",
        "    if BLANK.search(outgoing.target):",
        "    if False:",
        "tests/test_upstream.py",
    ),
    Mutant(
        "a decoded path is encoded again",
        "upstream.py",
        "    target = parse.quote(path, safe=PATH_SAFE)",
        "    target = path",
        "tests/test_upstream.py",
    ),
]


def survives(mutant: Mutant) -> bool:
    """Return whether the tests pass in spite of the mutant."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / "pyproject.toml", copy)
        path = copy / "primrosehitch" / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            raise SystemExit(f"{mutant.name}: text not found once")
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q"]
        result = subprocess.run(
            [*command, *mutant.tests.split()],
            cwd=copy,
            capture_output=True,
            timeout=LIMIT_S,
        )
    return result.returncode == 0


def main() -> int:
    """Run all mutants, or the named one; return the exit code."""
    wanted = [m for m in MUTANTS if m.name in sys.argv[1:] or not sys.argv[1:]]
    alive = 0
    for mutant in wanted:
        lives = survives(mutant)
        alive += lives
        print(f"{'ALIVE ' if lives else 'killed'} {mutant.name}", flush=True)
    print(f"{len(wanted) - alive} killed, {alive} alive")
    return 1 if alive else 0


if __name__ == "__main__":
    sys.exit(main())
