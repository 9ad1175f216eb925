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

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("primrosehitch", "primrosehitch_lab", "tests", "tools", "examples")
COPIED_FILES = ("pyproject.toml", "KNOWN-RED.txt")
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
        "            if ticket is None or (is_blocked and not boosted):",
        "            if ticket is None:",
        "tests/test_admission.py",
    ),
    Mutant(
        "a resend waits for the outcome of the call in progress",
        "claims.py",
        "            while self._is_in_progress(claim, existing):",
        "            while False:",
        "tests/test_claims.py",
    ),
    Mutant(
        "gateways keep to their share of the capacity",
        "fairshare.py",
        "        return self.router.inflight(pool, tier) < limit.max_inflight",
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
        "            _raise_if_damaged(data, start, location)\n",
        "",
        "tests/test_log.py",
    ),
    Mutant(
        "an exclusive lease needs a valid lease",
        "raft.py",
        "            now >= self.lease_expiry_ms()\n"
        "            or now - self.last_tick_ms > MAX_TICK_GAP_MS\n"
        "        ):\n"
        "            return False",
        "            self.role != LEADER\n"
        "        ):\n"
        "            return False",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "the lease counts from the send time",
        "raft.py",
        "max(progress.acked_sent_ms, sent_ms)",
        "now",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "a voter with a live leader grants no vote",
        "raft.py",
        "        if self._has_live_leader(now) and not request.hand_over:\n"
        "            return False\n",
        "",
        "tests/test_raft.py",
    ),
    Mutant(
        "one vote per term",
        "raft.py",
        'return self.log.hard_state.voted_for in ("", sender)',
        "return True",
        "tests/test_soak.py tests/test_raft.py",
    ),
    Mutant(
        "a vote needs an up-to-date log",
        "raft.py",
        "        if candidate_is_behind:\n            return False\n",
        "",
        "tests/test_soak.py",
    ),
    Mutant(
        "only entries of the current term are counted",
        "raft.py",
        "if index > self.commit_index "
        "and self.log.term_at(index) == self.term:",
        "if index > self.commit_index:",
        "tests/test_soak.py tests/test_raft.py",
    ),
    Mutant(
        "a leader counts its own entry only after sync",
        "raft.py",
        "            self.durable_index\n            if voter == self.name",
        "            self.log.last_index\n            if voter == self.name",
        "tests/test_raft.py tests/test_soak.py",
    ),
    Mutant(
        "a version is published only when durable",
        "replica.py",
        "        if durable_commit >= pending.index:",
        "        if True:",
        "tests/test_soak.py",
    ),
    Mutant(
        "an edit needs the current version",
        "state.py",
        "if expects_version and edit.base_version != self.version:",
        "if False:",
        "tests/test_state.py",
    ),
    Mutant(
        "a resent edit gets its first result",
        "state.py",
        "        if previous_result is not None:\n"
        "            return previous_result\n"
        "        expects_version",
        "        expects_version",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "a claim is granted once",
        "state.py",
        "        if existing_claim is not None:\n"
        "            return existing_claim\n"
        "        granted",
        "        granted",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "a released claim is never granted",
        "state.py",
        "        if claim.claim_id in self.released_claim_ids:\n",
        "        if False:\n",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "a usage batch counts once",
        "state.py",
        "        if batch.sequence > mark:",
        "        if True:",
        "tests/test_state.py tests/test_soak.py",
    ),
    Mutant(
        "a closed window does not change",
        "state.py",
        "        if window <= self.closed_through:\n"
        "            corrected_window = window",
        "        if False:\n            corrected_window = window",
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
        "only allowed headers are forwarded",
        "headers.py",
        "        if name in ALLOWED_REQUEST_HEADERS "
        "and not contains_key(value, key)",
        "        if not contains_key(value, key)",
        "tests/test_headers.py",
    ),
    Mutant(
        "an allowed header with the key is not forwarded",
        "headers.py",
        "        if name in ALLOWED_REQUEST_HEADERS "
        "and not contains_key(value, key)",
        "        if name in ALLOWED_REQUEST_HEADERS",
        "tests/test_headers.py",
    ),
    Mutant(
        "a percent-encoded key is found",
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
        "        whole = bytes(self.partial[:end])\n",
        "        whole = bytes(self.partial)\n",
        "tests/test_streams.py",
    ),
    Mutant(
        "leaving is final",
        "directory.py",
        "            if same_incarnation and known.leaving:\n",
        "            if False:\n",
        "tests/test_policy.py",
    ),
    Mutant(
        "reclaim drains the domain",
        "directory.py",
        "        if announcement.cheap and now < reclaimed_until:\n"
        "            return LEAVING\n",
        "",
        "tests/test_policy.py",
    ),
    Mutant(
        "floor",
        "admission.py",
        "        due = [q for q in waiting if self._is_floor_due(q, now)]\n",
        "        due = []\n",
        "tests/test_admission.py",
    ),
    Mutant(
        "each class keeps its reserved ticket",
        "admission.py",
        "        if (is_full or misses_deadline) and len(\n"
        "            class_queue.tickets\n"
        "        ) >= RESERVED_TICKETS:",
        "        if is_full or misses_deadline:",
        "tests/test_admission.py",
    ),
    Mutant(
        "lowest tier is shed first",
        "admission.py",
        "        victim = self._lower_tier_victim(ticket.tier)\n"
        "        if victim is None and",
        "        victim = None\n        if victim is None and",
        "tests/test_admission.py",
    ),
    Mutant(
        "fair turn among customers",
        "fairqueue.py",
        "            self.virtual_times.get(customer, min_virtual_time)\n"
        "            + tokens / weight\n",
        "            self.virtual_times.get(customer, min_virtual_time)\n",
        "tests/test_admission.py",
    ),
    Mutant(
        "refresh after a freeze",
        "readiness.py",
        "            self.refreshing = True\n            self.refresh_started",
        "            self.refresh_started",
        "tests/test_policy.py",
    ),
    Mutant(
        "configuration behind is refused",
        "readiness.py",
        "        if behind and now - self.behind_since > MAX_BEHIND_MS:",
        "        if False:",
        "tests/test_policy.py",
    ),
    Mutant(
        "bound on unrefreshed keys",
        "readiness.py",
        "        if now - self.last_contact > self.key_freshness_ms:",
        "        if False:",
        "tests/test_policy.py",
    ),
    Mutant(
        "the guard is called before the only write",
        "guarded.py",
        "            if not self.guard():",
        "            if False:",
        "tests/test_guarded.py",
    ),
    Mutant(
        "a link requires proof of the secret",
        "links.py",
        "        if not is_permitted or not hmac.compare_digest("
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
        "        return self.earlier_may_have_run or any(\n"
        "            attempt.in_flight for attempt in self.current\n"
        "        )",
        "        return False",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "hedges stay within the operator's share",
        "hedging.py",
        "            if not self.share.allows(service, now):",
        "            if False:",
        "tests/test_hedging.py",
    ),
    Mutant(
        "hedges take from the retry budget",
        "hedging.py",
        "            elif not retry_budget.try_spend(service, now):",
        "            elif False:",
        "tests/test_hedging.py",
    ),
    Mutant(
        "no hedge is sent while places are scarce",
        "hedging.py",
        "    if taken > MAX_UTILISATION * places:",
        "    if False:",
        "tests/test_hedging.py",
    ),
    Mutant(
        "a limited endpoint gets no hedge",
        "hedging.py",
        "        and not balancer.limits.table.milli_per_s(incarnation)\n",
        "",
        "tests/test_hedging.py",
    ),
    Mutant(
        "a request suspected of crashes is not hedged",
        "hedging.py",
        "        if quarantine.is_doubted(request.suspects, now):",
        "        if False:",
        "tests/test_hedging.py",
    ),
    Mutant(
        "the loser of a race is cancelled",
        "racing.py",
        "                    other.lose()",
        "                    pass",
        "tests/test_hedged_requests.py",
    ),
    Mutant(
        "no third attempt is made during a race",
        "forwarding.py",
        "            and not self._is_racing()\n",
        "",
        "tests/test_hedged_requests.py",
    ),
    Mutant(
        "the loser of a race accuses nothing of a crash",
        "forwarding.py",
        "            and not attempt.is_lost\n"
        "            and not attempt.endpoint.is_departing\n"
        "        ):\n"
        "            self.shared.quarantine.report_abandoned(",
        "            and not attempt.endpoint.is_departing\n"
        "        ):\n"
        "            self.shared.quarantine.report_abandoned(",
        "tests/test_hedged_requests.py",
    ),
    Mutant(
        "each attempt of a race splits its own stream",
        "forwarding.py",
        "eventframes.EventSplitter(self.event_frames.last_id)\n        )",
        "self.event_frames\n        )",
        "tests/test_hedged_requests.py",
    ),
    Mutant(
        "assertion: a non-repeatable request is not hedged",
        "forwarding.py",
        "            self.route.repeatable,\n"
        '            "a non-repeatable request must not be hedged",',
        "            True,\n"
        '            "a non-repeatable request must not be hedged",',
        "tests/test_hedged_requests.py",
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
        "        if head.status < 300 and not info.is_authentic:\n"
        "            return self._record_broken(",
        "        if False:\n            return self._record_broken(",
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
        "a resumed stream repeats no event",
        "eventframes.py",
        "            if self.may_repeat:\n                return False",
        "            if self.may_repeat:\n                return True",
        "tests/test_edge_parts.py",
    ),
    Mutant(
        "text that is no Unicode is refused",
        "jsontext.py",
        '        text = data.decode("utf-8")',
        '        text = data.decode("utf-8", "surrogatepass")',
        "tests/test_jsontext.py",
    ),
    Mutant(
        "half of a surrogate pair is refused",
        "jsontext.py",
        "    if _SURROGATE_ESCAPE.search(text):",
        "    if False:",
        "tests/test_jsontext.py",
    ),
    Mutant(
        "a field that is given twice is refused",
        "jsontext.py",
        "    if len(value) < len(pairs):",
        "    if False:",
        "tests/test_jsontext.py",
    ),
    Mutant(
        "an empty list of customers admits nobody",
        "routes.py",
        "        self.needs_key = customers is not None",
        "        self.needs_key = bool(customers)",
        "tests/test_routes.py",
    ),
    Mutant(
        "a record of an unnamed service takes no address",
        "registry.py",
        "            or not self._is_named(record)",
        "            or False",
        "tests/test_registry.py",
    ),
    Mutant(
        "a record of an unnamed service takes no identifier",
        "registry.py",
        "        if self._is_named(entry.record) "
        "and not self._is_named(record):",
        "        if False:",
        "tests/test_registry.py",
    ),
    Mutant(
        "a table that names a service gives its endpoints addresses",
        "registry.py",
        "        for record in sorted(claims, key=lambda claim: claim.born):",
        "        for record in ():",
        "tests/test_registry.py",
    ),
    Mutant(
        "an address in use is waited for",
        "listening.py",
        "            is_in_use = exc.errno == errno.EADDRINUSE",
        "            is_in_use = False",
        "tests/test_listening.py",
    ),
    Mutant(
        "a start waits for space on the disk",
        "platform/process.py",
        "        except errors.LogFullError as exc:",
        "        except errors.LogDamagedError as exc:",
        "tests/test_routed_processes.py",
    ),
    Mutant(
        "callers beyond their share of the descriptors are refused",
        "edge.py",
        "refusal is None and responder.connection.is_excess",
        "refusal is None and False",
        "tests/test_routed_processes.py",
    ),
    Mutant(
        "peers do not take the last descriptors",
        "listening.py",
        "PEER_DESCRIPTOR_SHARE = 0.875",
        "PEER_DESCRIPTOR_SHARE = 2.0",
        "tests/test_routed_processes.py",
    ),
    Mutant(
        "connections are accepted after a lack of descriptors",
        "listening.py",
        "        except* OSError as failures:",
        "        except* ZeroDivisionError as failures:",
        "tests/test_listening.py",
    ),
    Mutant(
        "a message that cannot be encoded is dropped",
        "links.py",
        "    except errors.MessageError as exc:",
        "    except errors.ProposalError as exc:",
        "tests/test_links.py",
    ),
    Mutant(
        "a request to change the protocol is parsed whole",
        "httpserver.py",
        "        if self.discarding_input or self.parser.should_upgrade():",
        "        if self.discarding_input:",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "a helper keeps to the attempts that are left",
        "forwarding.py",
        "            self.max_attempts = "
        "min(self.max_attempts, call.attempts_left)",
        "            pass",
        "tests/test_cut_edges.py",
    ),
    Mutant(
        "an event without an identifier is not passed on",
        "eventframes.py",
        "        if len(identifiers) != 1:",
        "        if len(identifiers) > 1:",
        "tests/test_edge_parts.py",
    ),
    Mutant(
        "an identifier that goes back ends the attempt",
        "eventframes.py",
        '            raise self._id_error("an identifier that goes back")',
        "            return True",
        "tests/test_edge_parts.py",
    ),
    Mutant(
        "a gap in the identifiers ends the attempt",
        "eventframes.py",
        "        if has_gap and not self.allows_gaps:",
        "        if False:",
        "tests/test_event_gaps.py",
    ),
    Mutant(
        "a gap that another endpoint can explain is not passed on",
        "forwarding.py",
        "        is_refused = kind is eventnumbering.Numbering.DENSE or (",
        "        is_refused = kind is eventnumbering.Numbering.DENSE and (",
        "tests/test_event_gaps.py",
    ),
    Mutant(
        "a stream is not resumed after a doubtful identifier",
        "forwarding.py",
        "        if self._is_last_event_doubtful():",
        "        if False:",
        "tests/test_event_gaps.py",
    ),
    Mutant(
        "later streams revoke a confirmed gap",
        "eventnumbering.py",
        "        if _numbering_of(recent) is Numbering.DENSE:",
        "        if False:",
        "tests/test_event_gaps.py",
    ),
    Mutant(
        "parts of a body that wait are joined",
        "httpclient.py",
        "        if isinstance(last_item, bytearray):",
        "        if False:",
        "tests/test_chunked_answers.py",
    ),
    Mutant(
        "reading of an answer pauses until it is taken",
        "httpclient.py",
        "            self.reading_paused = True\n",
        "            return\n",
        "tests/test_chunked_answers.py",
    ),
    Mutant(
        "blocks without a field are skipped at once",
        "eventframes.py",
        "        blocks = _EMPTY_BLOCKS.match(self.partial, start)",
        "        blocks = None",
        "tests/test_chunked_answers.py",
    ),
    Mutant(
        "a large document has few enough values",
        "jsontext.py",
        " > MAX_VALUES:",
        " < 0:",
        "tests/test_jsontext.py",
    ),
    Mutant(
        "a body that is announced as too large is not read",
        "httpserver.py",
        "        if requestsplit.announced_length(self.headers) >",
        "        if -1 >",
        "tests/test_call_limits.py",
    ),
    Mutant(
        "a large table is checked in another thread",
        "platform/calls.py",
        "        if len(body) <= jsontext.MAX_UNDIVIDED_BYTES:",
        "        if body:",
        "tests/test_call_limits.py",
    ),
    Mutant(
        "an edge that has left gets no news",
        "control.py",
        "            if not subscriber.has_left\n",
        "",
        "tests/test_subscriptions.py",
    ),
    Mutant(
        "an edge says that it leaves",
        "edge.py",
        "            self._send(messages.Unsubscribe(choice.name))",
        "            pass",
        "tests/test_subscriptions.py",
    ),
    Mutant(
        "all records are not sent with each subscription",
        "control.py",
        "        if not lasts and now - self.registry_sent_ms <",
        "        if False and now - self.registry_sent_ms <",
        "tests/test_subscriptions.py",
    ),
    Mutant(
        "events of a replaced endpoint are not counted as passed on",
        "forwarding.py",
        "            if self.balancer.is_replaced(attempt.endpoint):",
        "            if False:",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "retries keep to the budget",
        "budget.py",
        "        return retries + 1 <= allowed",
        "        return True",
        "tests/test_edge_parts.py tests/test_forwarder.py",
    ),
    Mutant(
        "an endpoint that left does not come back",
        "registry.py",
        "    if known.state == LEFT:\n        return False\n",
        "",
        "tests/test_registry.py",
    ),
    Mutant(
        "an address belongs to its newest incarnation",
        "registry.py",
        "        elif owner.record.born <= record.born:",
        "        elif False:",
        "tests/test_registry.py",
    ),
    Mutant(
        "a window keeps its first sealed counts",
        "state.py",
        "        first_seal = self.sealed_windows.setdefault("
        "seal.window, seal)",
        "        first_seal = self.sealed_windows[seal.window] = seal",
        "tests/test_state.py",
    ),
    Mutant(
        "the lease is checked right before a call is sent",
        "platform/api.py",
        "            if not lease.is_valid():",
        "            if False:",
        "tests/test_duties.py",
    ),
    Mutant(
        "an edge ignores older tables",
        "edge.py",
        "        if current is not None and "
        "message.version <= current.version:",
        "        if False:",
        "tests/test_control.py",
    ),
    Mutant(
        "an engine never sees a caller's key",
        "platform/dialect.py",
        "        CREDENTIAL,\n        EDGE_TOKEN,",
        "        EDGE_TOKEN,",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "cached parts are known from other edges",
        "balancer.py",
        "                endpoint.record_parts("
        "(PromptPart(item.part, item.tokens),))",
        "                pass",
        "tests/test_balancer.py",
    ),
    Mutant(
        "an unreachable domain is avoided as a whole",
        "balancer.py",
        "        return len(failed_at) >= UNREACHABLE_DOMAIN_ENDPOINTS",
        "        return False",
        "tests/test_balancer.py",
    ),
    Mutant(
        "an unanswered dial is abandoned early",
        "links.py",
        "CONNECT_TIMEOUT_S = 0.3",
        "CONNECT_TIMEOUT_S = 0.9",
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
        "an assertion rejects a decreasing fencing token",
        "duties.py",
        "            term >= self.last_fencing_token,",
        "            True,",
        "tests/test_assertions.py",
    ),
    Mutant(
        "an assertion rejects a confirmed read of an older table",
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
        '"upstream.connect", request.address, False',
        '"upstream.connect", request.address, True',
        "tests/test_upstream.py",
    ),
    Mutant(
        "a kept connection that is in use is not swept",
        "upstream.py",
        "            self._connection_pool(request.address)"
        ".release(connection)",
        "            connection.abort()",
        "tests/test_upstream.py",
    ),
    Mutant(
        "a target that ends the request line is not sent",
        "upstream.py",
        "    if INVALID_TARGET_CHAR.search(request.target):",
        "    if False:",
        "tests/test_upstream.py",
    ),
    Mutant(
        "a decoded path is encoded again",
        "upstream.py",
        "    target = parse.quote(path, safe=UNESCAPED_PATH_CHARS)",
        "    target = path",
        "tests/test_upstream.py",
    ),
    Mutant(
        "silence is no departure",
        "registry.py",
        "        entry.record = previous._replace(state=SILENT)",
        "        entry.record = previous._replace(state=LEFT)",
        "tests/test_registry.py",
    ),
    Mutant(
        "told silence does not outdate a newer report",
        "registry.py",
        "        return record.sequence >= known.sequence",
        "        return True",
        "tests/test_registry.py",
    ),
    Mutant(
        "an answering endpoint is used though it is silent",
        "balancer.py",
        "        ready += [e for e in silent if e.is_answering(now)]\n",
        "",
        "tests/test_balancer.py",
    ),
    Mutant(
        "registries are reconciled after a cut",
        "control.py",
        "        if lasting:",
        "        if False:",
        "tests/test_control.py",
    ),
    Mutant(
        "what a broken link took is sent again",
        "links.py",
        "                self.on_loss(peer.name)\n",
        "",
        "tests/test_links.py",
    ),
    Mutant(
        "a receiver lacks updates until they are queued",
        "control.py",
        "        if all(self.links.send(receiver, message)"
        " for message in missed):",
        "        if [self.links.send(receiver, message)"
        " for message in missed]:",
        "tests/test_control.py",
    ),
    Mutant(
        "an edge that joins learns of silent endpoints",
        "control.py",
        "records = self.registry.inactive_records()",
        "records = self.registry.departed_records()",
        "tests/test_control.py",
    ),
    Mutant(
        "a message without a receiver is not encoded",
        "links.py",
        "        if not self.is_connected(target):\n            return False\n"
        "        frame = _encode_or_drop(message)",
        "        frame = _encode_or_drop(message)",
        "tests/test_links.py",
    ),
    Mutant(
        "an endpoint that says that it leaves gets nothing",
        "balancer.py",
        "            and not e.is_leaving\n            and e.paused_until",
        "            and e.paused_until",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "an endpoint gets nothing during the pause it asked for",
        "balancer.py",
        "            and e.paused_until <= now\n",
        "",
        "tests/test_forwarder.py",
    ),
    Mutant(
        "answers clear prompt parts",
        "quarantine.py",
        "            for crashed in self.suspicions.pop(part, ()):",
        "            for crashed in ():",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "endpoints that end together accuse no part",
        "quarantine.py",
        "        if len(together) >= MIN_OUTAGE_ENDPOINTS:",
        "        if False:",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "a quarantined part explains a crash for all reports",
        "quarantine.py",
        "        if crash.is_explained:",
        "        if False:",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "crashes follow one another before a part is suspect",
        "quarantine.py",
        "                and _count_successive(intervals)"
        " >= MIN_SUCCESSIVE_CRASHES\n",
        "",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "quarantines outlive a restart",
        "state.py",
        "    state.quarantined_parts = {v.part: v.until_ms"
        " for v in image.quarantined}\n",
        "",
        "tests/test_state.py",
    ),
    Mutant(
        "a repeated request is suspect after three crashes",
        "quarantine.py",
        "            is_suspect = len(intervals) >= MIN_REQUEST_CRASHES",
        "            is_suspect = False",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "a request explains the crashes of its parts",
        "quarantine.py",
        "                if not self._is_covered(part, now)",
        "                if True",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "parts of a quarantined request are on probation",
        "quarantine.py",
        "            kept = parts if number < MIN_CRASHES - 1 else ()",
        "            kept = ()",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "a request that was answered lately is sound",
        "quarantine.py",
        "        return known is not None and"
        " now - known[1] <= ANSWERED_TTL_MS",
        "        return False",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "an endpoint that answers has not crashed",
        "quarantine.py",
        "        if self._has_survived(endpoint, sent_ms):",
        "        if False:",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "a request taken from a silent endpoint is at its crash",
        "quarantine.py",
        "                self.report_crash(crashed, left.suspects,"
        " interval, now)",
        "                pass",
        "tests/test_quarantine.py",
    ),
    Mutant(
        "the leader issues permits at the rate of the limit",
        "permits.py",
        "            queue.milli_permits -= 1000 * sum(given.values())",
        "            pass",
        "tests/test_permits.py",
    ),
    Mutant(
        "a new leader has no permits saved up",
        "permits.py",
        "            queue.counted_at = -1",
        "            pass",
        "tests/test_permits.py",
    ),
    Mutant(
        "few permits are saved up",
        "permits.py",
        "            self.milli_permits = min(most, self.milli_permits"
        " + gained)",
        "            self.milli_permits += gained",
        "tests/test_permits.py",
    ),
    Mutant(
        "unused permits expire",
        "endpointlimits.py",
        "        while permits and permits[0] <= now:",
        "        while False:",
        "tests/test_permits.py",
    ),
    Mutant(
        "a request to a limited endpoint takes a permit",
        "forwarding.py",
        "        if not self.balancer.limits.take(",
        "        if False and not self.balancer.limits.take(",
        "tests/test_limited_endpoints.py",
    ),
    Mutant(
        "an ended limit is not revived by late news",
        "endpointlimits.py",
        "        if known is not None and known.said_ms >= limit.said_ms:",
        "        if False:",
        "tests/test_permits.py",
    ),
    Mutant(
        "permits for a cold endpoint are valid from their issue",
        "endpointlimits.py",
        "        expires_at = grant.asked_ms - grant.age_ms + PERMIT_TTL_MS",
        "        expires_at = now + PERMIT_TTL_MS",
        "tests/test_cold_permits.py",
    ),
    Mutant(
        "the time of permits at a control instance counts",
        "permits.py",
        "                cold_ages[incarnation] = age_ms",
        "                cold_ages[incarnation] = 0",
        "tests/test_cold_permits.py",
    ),
    Mutant(
        "permits for a limit are not used for a cold endpoint",
        "endpointlimits.py",
        "        for store in stores[:1] if is_cold else stores:",
        "        for store in stores:",
        "tests/test_cold_permits.py",
    ),
    Mutant(
        "one broken connection is no evidence",
        "coldstarts.py",
        "        if now - broken_at <= RESET_WINDOW_MS:",
        "        if True:",
        "tests/test_coldstarts.py",
    ),
    Mutant(
        "an endpoint is warm only by a later heartbeat",
        "coldstarts.py",
        "        return self.reports and self.heard_ms >= since_ms"
        " + HEARD_MARGIN_MS",
        "        return self.reports",
        "tests/test_coldstarts.py",
    ),
    Mutant(
        "a change of the countdown is passed on",
        "registry.py",
        "    if record.cold_left_ms and not previous.cold_left_ms:",
        "    if True:\n        return False\n    if record.cold_left_ms:",
        "tests/test_coldstarts.py",
    ),
    Mutant(
        "warm endpoints are chosen first",
        "balancer.py",
        "        if self.cold.is_cold(endpoint.incarnation, now):",
        "        if False:",
        "tests/test_balancer.py",
    ),
    Mutant(
        "limited endpoints are replaced",
        "scaling.py",
        "            + self.limited_count\n        )",
        "        )",
        "tests/test_scaling.py",
    ),
    Mutant(
        "a stream goes on at its software version only",
        "balancer.py",
        "            and version in (None, e.record.version)\n",
        "",
        "tests/test_stream_versions.py"
        "::test_failover_keeps_the_version_of_a_stream",
    ),
    Mutant(
        "a stream of unknown version is refused",
        "forwarding.py",
        "        if origin is None or origin.service not in services:\n"
        "            return False",
        "        if origin is None or origin.service not in services:\n"
        "            return True",
        "tests/test_stream_versions.py"
        "::test_stream_of_unknown_version_is_refused_as_not_run",
    ),
    Mutant(
        "the customer is a part of a stream's key",
        "streamorigins.py",
        '    hasher.update(customer.encode() + b"\\0" + attempt)',
        "    hasher.update(attempt)",
        "tests/test_stream_versions.py"
        "::test_stream_of_unknown_version_is_refused_as_not_run",
    ),
    Mutant(
        "an identifier of two versions has no origin",
        "streamorigins.py",
        "            origin = AMBIGUOUS\n",
        "            pass\n",
        "tests/test_stream_versions.py"
        "::test_identifier_used_for_two_versions_has_no_origin",
    ),
    Mutant(
        "no second answer follows in a stream",
        "forwarding.py",
        "        self._report_sound()\n        if self.responder.head_sent:",
        "        self._report_sound()\n        if False:",
        "tests/test_forwarder.py"
        "::test_no_other_answer_follows_in_the_middle_of_a_stream",
    ),
    Mutant(
        "the more urgent request gets an endpoint first",
        "waiting.py",
        "        ticket = Ticket(tier, next(self.numbers))",
        "        ticket = Ticket(0, next(self.numbers))",
        "tests/test_waiting.py",
    ),
    Mutant(
        "arrivals do not overtake those who wait",
        "waiting.py",
        "        return bool(line) and line[0].tier <= tier",
        "        return False",
        "tests/test_waiting.py",
    ),
    Mutant(
        "an edge keeps instances that a narrow view does not list",
        "controldirectory.py",
        "        for name, domain in domains.items():\n",
        "        self.known = {}\n"
        "        for name, domain in domains.items():\n",
        "tests/test_controldirectory.py",
    ),
    Mutant(
        "an edge dials several control instances at once",
        "controlselector.py",
        "        self.dialed.update(further[:SEARCH_WIDTH])",
        "        self.dialed.update(further[:1])",
        "tests/test_controlselector.py",
    ),
    Mutant(
        "an edge dials the instances seen last first",
        "controldirectory.py",
        "key=lambda name: -self.known[name].seen_ms",
        "key=lambda name: self.known[name].seen_ms",
        "tests/test_controldirectory.py tests/test_controlselector.py",
    ),
    Mutant(
        "an edge out of contact denies nothing",
        "controlcontact.py",
        "        return 0 <= self.age_ms(now) <= KNOWS_TABLE_MS",
        "        return True",
        "tests/test_controlcontact.py",
    ),
    Mutant(
        "a follower without the leader's commit is not current",
        "raft.py",
        "            self.applied_index >= commit\n            and",
        "            True\n            and",
        "tests/test_raft.py",
    ),
    Mutant(
        "a commit of an earlier term makes no follower current",
        "raft.py",
        "            and self.log.term_at(commit) == self.term\n        ):",
        "        ):",
        "tests/test_raft.py",
    ),
    Mutant(
        "a dead voter gives way to its successor",
        "replica.py",
        "            if lost:\n",
        "            if False:\n",
        "tests/test_raft.py",
    ),
    Mutant(
        "the leader introduces itself to edges that nobody serves",
        "control.py",
        "        if peer in self.subscribers or peer in self.introduced:",
        "        if peer in self.subscribers:",
        "tests/test_control_replacement.py",
    ),
    Mutant(
        "edges that a peer names do not count by its number, too",
        "peers.py",
        "            if not presence.names_edges\n",
        "",
        "tests/test_edge_parts.py",
    ),
    Mutant(
        "a new edge is named to the other instances at once",
        "control.py",
        "            self._send_known_edges((messages.KnownEdge(sender),))\n",
        "",
        "tests/test_control.py::"
        "test_new_edge_is_named_to_the_other_instances_at_once",
    ),
    Mutant(
        "a replica that is stopped beside enough others votes no more",
        "control.py",
        "                | self.peers.leaving_replicas()"
        ".intersection(members)\n",
        "",
        "tests/test_control.py::"
        "test_stopped_instance_beside_enough_others_votes_no_more",
    ),
    Mutant(
        "a repeated verdict does not undo a later one",
        "partfindings.py",
        "latest.reached_ms > verdict.reached_ms:",
        "False:",
        "tests/test_partfindings.py",
    ),
    Mutant(
        "verdicts lost with an edge's link are reported again",
        "edge.py",
        "            if finding.finding in RESENT_FINDINGS:",
        "            if False:",
        "tests/test_control.py::"
        "test_sound_answers_lost_with_an_edges_link_are_reported_again",
    ),
    Mutant(
        "seeds read before the instance runs are applied",
        "settingswatch.py",
        "        if self.seeds is not None:\n",
        "        if False:\n",
        "tests/test_settingswatch.py",
    ),
    Mutant(
        "a control instance closes links to edges that are gone",
        "control.py",
        "                    if name not in self._control_instances():\n"
        "                        self.links.remove(name)\n",
        "",
        "tests/test_control.py",
    ),
    Mutant(
        "seeds of a changed settings file are applied",
        "settingswatch.py",
        "            if self._read_signature() != self.signature:",
        "            if False:",
        "tests/test_settingswatch.py",
    ),
    Mutant(
        "a request is parsed once the response to the last one is read",
        "httpserver.py",
        "            or self.writable_event is not None\n",
        "",
        "tests/test_uncontrolled_clients.py",
    ),
    Mutant(
        "a connection with a full backlog is not read",
        "httpserver.py",
        "            self.reading_paused = True\n",
        "            return\n",
        "tests/test_uncontrolled_clients.py",
    ),
    Mutant(
        "the sum over all connections is bounded",
        "connectionmemory.py",
        "        return self.held_bytes > self.limit_bytes",
        "        return False",
        "tests/test_uncontrolled_clients.py",
    ),
    Mutant(
        "uvicorn takes the next request after the response",
        "pacedprotocol.py",
        "        if not self.message_ended:\n            return True\n"
        "        is_answered",
        "        return True\n        is_answered",
        "tests/test_pacedprotocol.py",
    ),
    Mutant(
        "an order applies only to the version on which it was decided",
        "evacuations.py",
        "messages.Edit(edit_id, self.version, operator, self.rows)",
        "messages.Edit(edit_id, (1 << 64) - 1, operator, self.rows)",
        "tests/test_evacuations.py",
    ),
    Mutant(
        "an older set of evacuated domains is not applied",
        "evacuations.py",
        "        if version <= self.version:",
        "        if not version:",
        "tests/test_evacuations.py",
    ),
    Mutant(
        "evacuated endpoints are in no index",
        "balancer.py",
        "            if self.is_evacuated(endpoint):\n"
        "                continue\n",
        "",
        "tests/test_evacuations.py",
    ),
    Mutant(
        "the domain is checked before a request is sent",
        "forwarding.py",
        "        if self.balancer.is_evacuated(choice.endpoint):",
        "        if False:",
        "tests/test_evacuated_forwarding.py",
    ),
    Mutant(
        "evacuated endpoints are no capacity",
        "scaling.py",
        "        by_price = [d for d in all_domains if d not in avoided]",
        "        by_price = all_domains",
        "tests/test_evacuations.py",
    ),
    Mutant(
        "the first table waits for a quorum",
        "firsttable.py",
        "        if self.is_confirmed or now",
        "        if True or now",
        "tests/test_evacuations.py",
    ),
    Mutant(
        "a table that is asked for is kept",
        "tableserver.py",
        "now - self.asked_ms[version] > KEEP_MS",
        "True",
        "tests/test_tableserver.py",
    ),
    Mutant(
        "a piece that is on its way is not asked for again",
        "tablefetch.py",
        "        if control == self.control and is_open:",
        "        if False:",
        "tests/test_tableserver.py",
    ),
    Mutant(
        "a transfer goes on at another control instance",
        "tablefetch.py",
        "        self.control = control\n        self.asked_ms = now",
        "        if control != self.control:\n"
        "            self._restart()\n"
        "        self.control = control\n"
        "        self.asked_ms = now",
        "tests/test_tableserver.py",
    ),
    Mutant(
        "an older edge is sent a table once",
        "control.py",
        "            self.table_pushes.record(edge, version, now)",
        "            pass",
        "tests/test_table_transfer.py",
    ),
    Mutant(
        "an edge asks for tables",
        "edge.py",
        "                requests_tables=True,",
        "                requests_tables=False,",
        "tests/test_table_transfer.py",
    ),
    Mutant(
        "the queue of a link is bounded in bytes",
        "links.py",
        "        if queued_bytes and queued_bytes + len(frame) > "
        "MAX_QUEUED_BYTES:",
        "        if queued_bytes > 64 * MAX_QUEUED_BYTES:",
        "tests/test_links.py",
    ),
    Mutant(
        "a large message that makes progress keeps its link",
        "links.py",
        "not self._sends_large_message(peer)",
        "True",
        "tests/test_links.py",
    ),
    Mutant(
        "a rejection of an earlier message sends no entries",
        "raft.py",
        "        elif reply.sent_ms < progress.rewound_ms:",
        "        elif False:",
        "tests/test_raft.py",
    ),
]


def survives(mutant: Mutant) -> bool:
    """Return whether the tests pass in spite of the mutant.

    Raises:
        SystemExit: its text was not found, or its tests could not run.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            shutil.copytree(ROOT / name, copy / name)
        for name in COPIED_FILES:
            shutil.copy(ROOT / name, copy)
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
    if result.returncode not in (
        pytest.ExitCode.OK,
        pytest.ExitCode.TESTS_FAILED,
    ):
        output = result.stdout.decode() + result.stderr.decode()
        raise SystemExit(
            f"{mutant.name}: {mutant.tests} could not run:\n{output}"
        )
    return result.returncode == pytest.ExitCode.OK


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
