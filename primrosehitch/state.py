"""The replicated state machine: rows, keys, claims, usage and orders.

``State.apply`` takes committed entries in log order and returns the
result for the proposer. It reads no clock and draws no random numbers, so
every replica computes the same state. Each row of the operators' table
carries the version that last changed it; the delta since a version
consists of the rows with a later version.
"""

from typing import Any

from primrosehitch import catalog
from primrosehitch import errors
from primrosehitch import messages

# Base version of an edit that applies whatever the current version is.
ANY_VERSION = (1 << 64) - 1
# Bounds the results of edits and the released claims that are kept for
# commands that are sent again.
MAX_REMEMBERED_IDS = 20_000
CLAIM_RETENTION_WINDOWS = 1_440
MAX_KEPT_ORDERS = 1_000
REPORTED_RETENTION_WINDOWS = 60
MAX_INCARNATIONS_PER_GATEWAY = 4
MAX_SEALED_WINDOWS = 720
MAX_QUARANTINED_PARTS = 1_000
KEY_TABLE = "key"

OPEN = "open"
DONE = "done"
UNKNOWN = "unknown"
RELEASED = "released"
PENDING = "pending"
CLOSED = "closed"
REPORTED = "reported"

RowKey = tuple[str, str]


class State:
    """All durable state, changed only by committed entries.

    Attributes:
        version: version of the operators' table.
        rows: its rows by table and key, deletions included, with the last
            changed row at the end.
        edit_results: the result of each recent edit by its identifier.
        withdrawals: withdrawn keys by key hash.
        claims: claims by customer and idempotency key.
        claim_keys: the key in ``claims`` by claim identifier.
        released_claim_ids: identifiers that are never granted, oldest
            first.
        windows: closed and reported usage windows by number.
        open_usage: usage not yet closed, by window, customer, class and
            the window that it corrects (0 for none).
        reported_customers: pairs of window and customer that were
            reported.
        batch_sequences: the last usage batch counted, by gateway and
            incarnation.
        orders: scaling orders by identifier.
        closed_through: number of the last closed window.
        table: the route table.
        sealed_windows: the fixed request counts of windows by number.
        acknowledged_windows: sealed windows that the platform accepted.
        quarantined_parts: ends of the quarantines of prompt parts, as true
            time in ms, by part.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[RowKey, messages.Row] = {}
        self.edit_results: dict[str, messages.EditResult] = {}
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.claims: dict[tuple[str, str], messages.Claim] = {}
        self.claim_keys: dict[str, tuple[str, str]] = {}
        self.released_claim_ids: dict[str, None] = {}
        self.windows: dict[int, messages.Window] = {}
        self.open_usage: dict[tuple, messages.UsageRow] = {}
        self.reported_customers: set[tuple[int, str]] = set()
        self.batch_sequences: dict[tuple[str, int], int] = {}
        self.orders: dict[str, messages.Order] = {}
        self.closed_through = 0
        self.table = messages.Table()
        self.sealed_windows: dict[int, messages.SealWindow] = {}
        self.acknowledged_windows: set[int] = set()
        self.quarantined_parts: dict[str, int] = {}

    def apply(self, entry: messages.Entry) -> Any:
        """Apply one committed entry.

        Args:
            entry: the next entry of the log.

        Returns:
            The result for the proposer: a message, or None for commands
            without one.
        """
        handler = self._HANDLERS.get(entry.kind)
        if handler is None:
            return None
        kind = messages.BY_NAME[entry.kind]
        return handler(self, messages.decode(kind, entry.body))

    def rows_since(self, version: int) -> list[messages.Row]:
        """Return the rows changed after a version, deletions included."""
        return catalog.rows_newer_than(self.rows, version)

    def _apply_edit(self, edit: messages.Edit) -> messages.EditResult:
        previous_result = self.edit_results.get(edit.edit_id)
        if previous_result is not None:
            return previous_result
        expects_version = edit.base_version != ANY_VERSION
        if expects_version and edit.base_version != self.version:
            newer_rows = self.rows_since(edit.base_version)
            result = messages.EditResult(
                edit.edit_id, False, self.version, tuple(newer_rows)
            )
        else:
            result = self._accept_edit(edit)
        self.edit_results[edit.edit_id] = result
        while len(self.edit_results) > MAX_REMEMBERED_IDS:
            del self.edit_results[next(iter(self.edit_results))]
        return result

    def _accept_edit(self, edit: messages.Edit) -> messages.EditResult:
        previous_version = self.version
        self.version += 1
        for row in edit.rows:
            withdrawn = row.key in self.withdrawals
            if row.table == KEY_TABLE and withdrawn and not row.deleted:
                continue
            # Insert at the end: rows are kept in the order of their version.
            self.rows.pop((row.table, row.key), None)
            self.rows[row.table, row.key] = row._replace(version=self.version)
        errors.require(
            self.version == previous_version + 1,
            "an edit did not raise the version by one",
            "state.edit",
        )
        return messages.EditResult(edit.edit_id, True, self.version, ())

    def _apply_withdrawals(self, batch: messages.WithdrawalBatch) -> None:
        for withdrawal in batch.withdrawals:
            self.withdrawals.setdefault(withdrawal.key_hash, withdrawal)

    def _apply_claim(self, claim: messages.Claim) -> messages.Claim:
        if claim.claim_id in self.released_claim_ids:
            return claim._replace(state=RELEASED)
        key = (claim.customer, claim.idempotency_key)
        # A claim identifier belongs to one claim, whatever its key.
        key = self.claim_keys.get(claim.claim_id, key)
        existing_claim = self.claims.get(key)
        if existing_claim is not None:
            return existing_claim
        granted = claim._replace(state=OPEN, index=self.closed_through)
        self.claims[key] = granted
        self.claim_keys[claim.claim_id] = key
        return granted

    def _apply_claim_release(self, release: messages.ClaimRelease) -> None:
        key = self.claim_keys.get(release.claim_id)
        if key is None:
            self.released_claim_ids[release.claim_id] = None
            while len(self.released_claim_ids) > MAX_REMEMBERED_IDS:
                del self.released_claim_ids[
                    next(iter(self.released_claim_ids))
                ]
            return
        if self.claims[key].state == OPEN:
            self._remove_claim(key)
            self.released_claim_ids[release.claim_id] = None

    def _apply_claim_outcome(self, outcome: messages.ClaimOutcome) -> None:
        key = self.claim_keys.get(outcome.claim_id)
        if key is None:
            return
        claim = self.claims[key]
        if claim.state == DONE or (
            claim.state == UNKNOWN and not outcome.known
        ):
            return
        self.claims[key] = claim._replace(
            state=DONE if outcome.known else UNKNOWN,
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
        )

    def _remove_claim(self, key: tuple[str, str]) -> None:
        claim = self.claims.pop(key)
        del self.claim_keys[claim.claim_id]

    def _expire_claims(self) -> None:
        oldest = self.closed_through - CLAIM_RETENTION_WINDOWS
        expired_keys = [
            k
            for k, c in self.claims.items()
            if c.index < oldest and c.index > 0 and c.state != OPEN
        ]
        for key in expired_keys:
            self._remove_claim(key)

    def _apply_usage_batch(
        self, batch: messages.UsageBatch
    ) -> messages.BatchMark:
        source = (batch.gateway, batch.incarnation)
        mark = self.batch_sequences.get(source, 0)
        if batch.sequence > mark:
            if source not in self.batch_sequences:
                self._expire_incarnations(batch.gateway)
            self.batch_sequences[source] = batch.sequence
            for row in batch.rows:
                self._add_usage(batch.window, row)
        return messages.BatchMark(*source, self.batch_sequences.get(source, 0))

    def _expire_incarnations(self, gateway: str) -> None:
        incarnations = sorted(
            i for g, i in self.batch_sequences if g == gateway
        )
        for incarnation in incarnations[: 1 - MAX_INCARNATIONS_PER_GATEWAY]:
            del self.batch_sequences[gateway, incarnation]

    def _add_usage(self, window: int, row: messages.UsageRow) -> None:
        corrected_window = 0
        # A closed window never changes; late usage is a correction in the
        # next window.
        if window <= self.closed_through:
            corrected_window = window
            window = self.closed_through + 1
        key = (window, row.customer, row.class_name, corrected_window)
        existing_row = self.open_usage.get(key)
        if existing_row is not None:
            row = row._replace(
                requests=row.requests + existing_row.requests,
                prompt_tokens=row.prompt_tokens + existing_row.prompt_tokens,
                output_tokens=row.output_tokens + existing_row.output_tokens,
            )
        self.open_usage[key] = row._replace(corrects_window=corrected_window)

    def _apply_close_window(self, close: messages.CloseWindow) -> None:
        if close.window <= self.closed_through:
            return
        by_window: dict[int, list[messages.UsageRow]] = {}
        for key in sorted(self.open_usage):
            if key[0] <= close.window:
                row = self.open_usage.pop(key)
                by_window.setdefault(key[0], []).append(row)
        for window, rows in by_window.items():
            errors.require(
                window not in self.windows,
                "a window would be closed twice",
                "state.window",
            )
            self.windows[window] = messages.Window(window, CLOSED, tuple(rows))
        self.closed_through = close.window
        self._expire_claims()
        self._expire_windows()

    def _expire_windows(self) -> None:
        oldest = self.closed_through - REPORTED_RETENTION_WINDOWS
        expired_windows = [
            number
            for number, window in self.windows.items()
            if number < oldest and window.state == REPORTED
        ]
        for number in expired_windows:
            for row in self.windows.pop(number).rows:
                self.reported_customers.discard((number, row.customer))

    def _apply_window_reported(self, report: messages.WindowReported) -> None:
        self.reported_customers.add((report.window, report.customer))
        window = self.windows.get(report.window)
        if window is None:
            return
        customers = {row.customer for row in window.rows}
        if all(
            (report.window, c) in self.reported_customers for c in customers
        ):
            self.windows[report.window] = window._replace(state=REPORTED)

    def _apply_table(self, table: messages.Table) -> messages.TableResult:
        accepted = table.version > self.table.version
        if accepted:
            self.table = table
        return messages.TableResult(accepted, self.table.version)

    def _apply_seal_window(
        self, seal: messages.SealWindow
    ) -> messages.SealWindow:
        """Fix a window's counts; later proposals get the first ones."""
        first_seal = self.sealed_windows.setdefault(seal.window, seal)
        for window in sorted(self.sealed_windows)[:-MAX_SEALED_WINDOWS]:
            del self.sealed_windows[window]
            self.acknowledged_windows.discard(window)
        return first_seal

    def _apply_window_done(self, done: messages.WindowDone) -> None:
        if done.window in self.sealed_windows:
            self.acknowledged_windows.add(done.window)

    def _apply_part_verdict(self, verdict: messages.PartVerdict) -> None:
        self.quarantined_parts.pop(verdict.part, None)
        if verdict.until_ms:
            self.quarantined_parts[verdict.part] = verdict.until_ms
        current = [
            (part, until_ms)
            for part, until_ms in self.quarantined_parts.items()
            if until_ms > verdict.decided_ms
        ]
        self.quarantined_parts = dict(current[-MAX_QUARANTINED_PARTS:])

    def _apply_order(self, order: messages.Order) -> messages.Order:
        existing_order = self.orders.get(order.order_id)
        if existing_order is None:
            existing_order = self.orders[order.order_id] = order._replace(
                state=PENDING
            )
        return existing_order

    def _apply_order_done(self, done: messages.OrderDone) -> None:
        order = self.orders.get(done.order_id)
        if order is not None:
            self.orders[done.order_id] = order._replace(state=done.state)
        for order_id in list(self.orders)[: -MAX_KEPT_ORDERS or None]:
            if self.orders[order_id].state != PENDING:
                del self.orders[order_id]

    # By name of the command's message type, as stored in the log.
    _HANDLERS = {
        "Edit": _apply_edit,
        "WithdrawalBatch": _apply_withdrawals,
        "Claim": _apply_claim,
        "ClaimRelease": _apply_claim_release,
        "ClaimOutcome": _apply_claim_outcome,
        "UsageBatch": _apply_usage_batch,
        "CloseWindow": _apply_close_window,
        "WindowReported": _apply_window_reported,
        "Order": _apply_order,
        "OrderDone": _apply_order_done,
        "Table": _apply_table,
        "SealWindow": _apply_seal_window,
        "WindowDone": _apply_window_done,
        "PartVerdict": _apply_part_verdict,
    }

    def encode_image(self) -> bytes:
        """Return the whole state, encoded for a snapshot."""
        open_windows: dict[int, list[messages.UsageRow]] = {}
        for key in sorted(self.open_usage):
            open_windows.setdefault(key[0], []).append(self.open_usage[key])
        windows = list(self.windows.values())
        windows += [
            messages.Window(w, OPEN, tuple(rows))
            for w, rows in open_windows.items()
        ]
        image = messages.StateImage(
            version=self.version,
            rows=tuple(self.rows.values()),
            edits=tuple(self.edit_results.values()),
            withdrawals=tuple(self.withdrawals.values()),
            claims=tuple(self.claims.values()),
            released=tuple(self.released_claim_ids),
            windows=tuple(windows),
            reported=tuple(
                messages.WindowReported(w, c)
                for w, c in sorted(self.reported_customers)
            ),
            marks=tuple(
                messages.BatchMark(g, i, s)
                for (g, i), s in self.batch_sequences.items()
            ),
            orders=tuple(self.orders.values()),
            closed_through=self.closed_through,
            table_version=self.table.version,
            table_body=self.table.body,
            sealed=tuple(self.sealed_windows.values()),
            done=tuple(
                messages.WindowDone(w)
                for w in sorted(self.acknowledged_windows)
            ),
            quarantined=tuple(
                messages.PartVerdict(part, until_ms)
                for part, until_ms in self.quarantined_parts.items()
            ),
        )
        return messages.encode(image)


def restore_state(body: bytes) -> State:
    """Return the state that ``State.encode_image`` encoded.

    Args:
        body: the encoded state; empty for a new state.
    """
    state = State()
    if not body:
        return state
    image = messages.decode(messages.StateImage, body)
    state.version = image.version
    state.rows = {(r.table, r.key): r for r in image.rows}
    state.edit_results = {e.edit_id: e for e in image.edits}
    state.withdrawals = {w.key_hash: w for w in image.withdrawals}
    for claim in image.claims:
        key = (claim.customer, claim.idempotency_key)
        state.claims[key] = claim
        state.claim_keys[claim.claim_id] = key
    state.released_claim_ids = dict.fromkeys(image.released)
    for window in image.windows:
        _restore_window(state, window)
    state.reported_customers = {(r.window, r.customer) for r in image.reported}
    state.batch_sequences = {
        (m.gateway, m.incarnation): m.sequence for m in image.marks
    }
    state.orders = {o.order_id: o for o in image.orders}
    state.closed_through = image.closed_through
    state.table = messages.Table(image.table_version, image.table_body)
    state.sealed_windows = {s.window: s for s in image.sealed}
    state.acknowledged_windows = {d.window for d in image.done}
    state.quarantined_parts = {v.part: v.until_ms for v in image.quarantined}
    return state


def _restore_window(state: State, window: messages.Window) -> None:
    if window.state != OPEN:
        state.windows[window.window] = window
        return
    for row in window.rows:
        key = (
            window.window,
            row.customer,
            row.class_name,
            row.corrects_window,
        )
        state.open_usage[key] = row


__all__ = ["ANY_VERSION", "State", "restore_state"]
