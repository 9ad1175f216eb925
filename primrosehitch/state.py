"""The replicated state machine: rows, keys, claims, usage and orders.

``apply`` takes committed entries in order and returns the answer for
the proposer. It reads no clock and no random numbers, so every replica
computes the same state. The operators' table is a set of rows, each
with the version that last changed it; a delta since a version is the
rows of later versions.
"""

from typing import Any

from primrosehitch import catalog
from primrosehitch import errors
from primrosehitch import messages

ANY_VERSION = (1 << 64) - 1
EDITS_KEPT = 20_000
CLAIMS_KEPT_WINDOWS = 1_440
ORDERS_KEPT = 1_000
WINDOWS_KEPT = 60
STARTS_KEPT = 4
SEALED_KEPT = 720
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
    """All durable state, changed by committed entries only."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[RowKey, messages.Row] = {}
        self.edits: dict[str, messages.EditResult] = {}
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.claims: dict[tuple[str, str], messages.Claim] = {}
        self.claim_keys: dict[str, tuple[str, str]] = {}
        self.released: dict[str, None] = {}
        self.windows: dict[int, messages.Window] = {}
        self.open_usage: dict[tuple, messages.UsageRow] = {}
        self.reported: set[tuple[int, str]] = set()
        self.marks: dict[tuple[str, int], int] = {}
        self.orders: dict[str, messages.Order] = {}
        self.closed_through = 0
        self.table = messages.Table()
        self.sealed: dict[int, messages.SealWindow] = {}
        self.done: set[int] = set()

    def apply(self, entry: messages.Entry) -> Any:
        """Apply one committed entry.

        Args:
            entry: the next entry of the log.

        Returns:
            The typed answer for the proposer, or None.
        """
        handler = self._HANDLERS.get(entry.kind)
        if handler is None:
            return None
        kind = messages.BY_NAME[entry.kind]
        return handler(self, messages.decode(kind, entry.body))

    def rows_since(self, version: int) -> list[messages.Row]:
        """Return rows changed after a version, deletions included."""
        return catalog.rows_newer_than(self.rows, version)

    # -- edits -------------------------------------------------------------

    def _edit(self, edit: messages.Edit) -> messages.EditResult:
        known = self.edits.get(edit.edit_id)
        if known is not None:
            return known
        checked = edit.base_version != ANY_VERSION
        if checked and edit.base_version != self.version:
            winner = self.rows_since(edit.base_version)
            result = messages.EditResult(
                edit.edit_id, False, self.version, tuple(winner)
            )
        else:
            result = self._accept_edit(edit)
        self.edits[edit.edit_id] = result
        while len(self.edits) > EDITS_KEPT:
            del self.edits[next(iter(self.edits))]
        return result

    def _accept_edit(self, edit: messages.Edit) -> messages.EditResult:
        before = self.version
        self.version += 1
        for row in edit.rows:
            withdrawn = row.key in self.withdrawals
            if row.table == KEY_TABLE and withdrawn and not row.deleted:
                continue
            self.rows.pop((row.table, row.key), None)
            self.rows[row.table, row.key] = row._replace(version=self.version)
        errors.require(
            self.version == before + 1, "versions in order", "state.edit"
        )
        return messages.EditResult(edit.edit_id, True, self.version, ())

    def _withdraw(self, batch: messages.WithdrawalBatch) -> None:
        for withdrawal in batch.withdrawals:
            self.withdrawals.setdefault(withdrawal.key_hash, withdrawal)

    # -- claims ------------------------------------------------------------

    def _claim(self, claim: messages.Claim) -> messages.Claim:
        if claim.claim_id in self.released:
            return claim._replace(state=RELEASED)
        key = (claim.customer, claim.idempotency_key)
        key = self.claim_keys.get(claim.claim_id, key)
        known = self.claims.get(key)
        if known is not None:
            return known
        granted = claim._replace(state=OPEN, index=self.closed_through)
        self.claims[key] = granted
        self.claim_keys[claim.claim_id] = key
        return granted

    def _release(self, release: messages.ClaimRelease) -> None:
        key = self.claim_keys.get(release.claim_id)
        if key is None:
            self.released[release.claim_id] = None
            while len(self.released) > EDITS_KEPT:
                del self.released[next(iter(self.released))]
            return
        if self.claims[key].state == OPEN:
            self._forget_claim(key)
            self.released[release.claim_id] = None

    def _claim_outcome(self, outcome: messages.ClaimOutcome) -> None:
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

    def _forget_claim(self, key: tuple[str, str]) -> None:
        claim = self.claims.pop(key)
        del self.claim_keys[claim.claim_id]

    def _expire_claims(self) -> None:
        oldest = self.closed_through - CLAIMS_KEPT_WINDOWS
        old = [
            k
            for k, c in self.claims.items()
            if c.index < oldest and c.index > 0 and c.state != OPEN
        ]
        for key in old:
            self._forget_claim(key)

    # -- usage -------------------------------------------------------------

    def _usage(self, batch: messages.UsageBatch) -> messages.BatchMark:
        source = (batch.gateway, batch.incarnation)
        mark = self.marks.get(source, 0)
        if batch.sequence > mark:
            if source not in self.marks:
                self._expire_marks(batch.gateway)
            self.marks[source] = batch.sequence
            for row in batch.rows:
                self._count(batch.window, row)
        return messages.BatchMark(*source, self.marks.get(source, 0))

    def _expire_marks(self, gateway: str) -> None:
        starts = sorted(i for g, i in self.marks if g == gateway)
        for incarnation in starts[: 1 - STARTS_KEPT]:
            del self.marks[gateway, incarnation]

    def _count(self, window: int, row: messages.UsageRow) -> None:
        corrects = 0
        if window <= self.closed_through:
            corrects = window
            window = self.closed_through + 1
        key = (window, row.customer, row.class_name, corrects)
        known = self.open_usage.get(key)
        if known is not None:
            row = row._replace(
                requests=row.requests + known.requests,
                prompt_tokens=row.prompt_tokens + known.prompt_tokens,
                output_tokens=row.output_tokens + known.output_tokens,
            )
        self.open_usage[key] = row._replace(corrects_window=corrects)

    def _close_window(self, close: messages.CloseWindow) -> None:
        if close.window <= self.closed_through:
            return
        by_window: dict[int, list[messages.UsageRow]] = {}
        for key in sorted(self.open_usage):
            if key[0] <= close.window:
                row = self.open_usage.pop(key)
                by_window.setdefault(key[0], []).append(row)
        for window, rows in by_window.items():
            errors.require(
                window not in self.windows, "closed once", "state.window"
            )
            self.windows[window] = messages.Window(window, CLOSED, tuple(rows))
        self.closed_through = close.window
        self._expire_claims()
        self._expire_windows()

    def _expire_windows(self) -> None:
        oldest = self.closed_through - WINDOWS_KEPT
        old = [
            number
            for number, window in self.windows.items()
            if number < oldest and window.state == REPORTED
        ]
        for number in old:
            for row in self.windows.pop(number).rows:
                self.reported.discard((number, row.customer))

    def _window_reported(self, report: messages.WindowReported) -> None:
        self.reported.add((report.window, report.customer))
        window = self.windows.get(report.window)
        if window is None:
            return
        customers = {row.customer for row in window.rows}
        if all((report.window, c) in self.reported for c in customers):
            self.windows[report.window] = window._replace(state=REPORTED)

    # -- the table of routes -----------------------------------------------

    def _table(self, table: messages.Table) -> messages.TableResult:
        accepted = table.version > self.table.version
        if accepted:
            self.table = table
        return messages.TableResult(accepted, self.table.version)

    def _seal_window(self, seal: messages.SealWindow) -> messages.SealWindow:
        """Fix a window's figures; the first proposal wins."""
        known = self.sealed.setdefault(seal.window, seal)
        for window in sorted(self.sealed)[:-SEALED_KEPT]:
            del self.sealed[window]
            self.done.discard(window)
        return known

    def _window_done(self, done: messages.WindowDone) -> None:
        if done.window in self.sealed:
            self.done.add(done.window)

    # -- orders ------------------------------------------------------------

    def _order(self, order: messages.Order) -> messages.Order:
        known = self.orders.get(order.order_id)
        if known is None:
            known = self.orders[order.order_id] = order._replace(state=PENDING)
        return known

    def _order_done(self, done: messages.OrderDone) -> None:
        order = self.orders.get(done.order_id)
        if order is not None:
            self.orders[done.order_id] = order._replace(state=done.state)
        for order_id in list(self.orders)[: -ORDERS_KEPT or None]:
            if self.orders[order_id].state != PENDING:
                del self.orders[order_id]

    _HANDLERS = {
        "Edit": _edit,
        "WithdrawalBatch": _withdraw,
        "Claim": _claim,
        "ClaimRelease": _release,
        "ClaimOutcome": _claim_outcome,
        "UsageBatch": _usage,
        "CloseWindow": _close_window,
        "WindowReported": _window_reported,
        "Order": _order,
        "OrderDone": _order_done,
        "Table": _table,
        "SealWindow": _seal_window,
        "WindowDone": _window_done,
    }

    # -- images ------------------------------------------------------------

    def image(self) -> bytes:
        """Return the whole state as bytes for a snapshot."""
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
            edits=tuple(self.edits.values()),
            withdrawals=tuple(self.withdrawals.values()),
            claims=tuple(self.claims.values()),
            released=tuple(self.released),
            windows=tuple(windows),
            reported=tuple(
                messages.WindowReported(w, c) for w, c in sorted(self.reported)
            ),
            marks=tuple(
                messages.BatchMark(g, i, s) for (g, i), s in self.marks.items()
            ),
            orders=tuple(self.orders.values()),
            closed_through=self.closed_through,
            table_version=self.table.version,
            table_body=self.table.body,
            sealed=tuple(self.sealed.values()),
            done=tuple(messages.WindowDone(w) for w in sorted(self.done)),
        )
        return messages.encode(image)


def restore_state(body: bytes) -> State:
    """Return the state that an image holds; an empty one for b''."""
    state = State()
    if not body:
        return state
    image = messages.decode(messages.StateImage, body)
    state.version = image.version
    state.rows = {(r.table, r.key): r for r in image.rows}
    state.edits = {e.edit_id: e for e in image.edits}
    state.withdrawals = {w.key_hash: w for w in image.withdrawals}
    for claim in image.claims:
        key = (claim.customer, claim.idempotency_key)
        state.claims[key] = claim
        state.claim_keys[claim.claim_id] = key
    state.released = dict.fromkeys(image.released)
    for window in image.windows:
        _restore_window(state, window)
    state.reported = {(r.window, r.customer) for r in image.reported}
    state.marks = {(m.gateway, m.incarnation): m.sequence for m in image.marks}
    state.orders = {o.order_id: o for o in image.orders}
    state.closed_through = image.closed_through
    state.table = messages.Table(image.table_version, image.table_body)
    state.sealed = {s.window: s for s in image.sealed}
    state.done = {d.window for d in image.done}
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
