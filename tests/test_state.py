"""Tests of the state machine: random commands against a model."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from primrosehitch import messages
from primrosehitch import state as state_module

EDIT_IDS = st.sampled_from([f"e{i}" for i in range(12)])
KEYS = st.sampled_from(["k1", "k2", "k3"])
CLAIM_IDS = st.sampled_from([f"c{i}" for i in range(9)])


def apply_command(state, command):
    kind = type(command).__name__
    return state.apply(messages.Entry(1, 1, kind, messages.encode(command)))


class StateModel(stateful.RuleBasedStateMachine):
    """Applies random commands and checks the invariants after each."""

    def __init__(self):
        super().__init__()
        self.state = state_module.State()
        self.first_results = {}
        self.claim_owners = {}
        self.closed_rows = {}
        self.sent_batches = 0
        self.sequence = 0

    @stateful.rule(edit_id=EDIT_IDS, key=KEYS, behind=st.integers(0, 2))
    def edit(self, edit_id, key, behind):
        base = max(0, self.state.version - behind)
        before = self.state.version
        row = messages.Row("customer", key, edit_id)
        result = apply_command(
            self.state, messages.Edit(edit_id, base, "op", (row,))
        )
        if edit_id in self.first_results:
            assert result == self.first_results[edit_id]
            assert self.state.version == before
            return
        self.first_results[edit_id] = result
        assert result.accepted == (behind == 0 or before == base)
        assert self.state.version == before + result.accepted
        if not result.accepted:
            assert {r.version for r in result.conflicts} <= set(
                range(base + 1, before + 1)
            )

    @stateful.rule(claim_id=CLAIM_IDS, key=KEYS)
    def claim(self, claim_id, key):
        known = apply_command(
            self.state,
            messages.Claim(claim_id, "ana", key, holder="g1"),
        )
        if known.state == state_module.OPEN and known.claim_id == claim_id:
            owner = self.claim_owners.setdefault(
                known.idempotency_key, claim_id
            )
            assert owner == claim_id

    @stateful.rule(claim_id=CLAIM_IDS)
    def release(self, claim_id):
        apply_command(self.state, messages.ClaimRelease(claim_id))
        if claim_id in self.state.released_claim_ids:
            self.claim_owners = {
                k: o for k, o in self.claim_owners.items() if o != claim_id
            }
            again = apply_command(
                self.state, messages.Claim(claim_id, "ana", "again")
            )
            assert again.state == state_module.RELEASED

    @stateful.rule(claim_id=CLAIM_IDS, known=st.booleans())
    def outcome(self, claim_id, known):
        key = self.state.claim_keys.get(claim_id)
        before = self.state.claims.get(key)
        apply_command(
            self.state,
            messages.ClaimOutcome(claim_id, 201, "", b"one", known),
        )
        if before is not None and before.state == state_module.DONE:
            assert self.state.claims[key] == before

    @stateful.rule(window=st.integers(1, 6), again=st.booleans())
    def usage(self, window, again):
        row = messages.UsageRow("ana", "desk", 1, 2, 3)
        self.sequence += 1
        batch = messages.UsageBatch("g1", 7, self.sequence, window, (row,))
        self.sent_batches += 1
        apply_command(self.state, batch)
        if again:
            mark = apply_command(self.state, batch)
            assert mark.sequence == self.sequence

    @stateful.rule(window=st.integers(1, 6))
    def close(self, window):
        apply_command(self.state, messages.CloseWindow(window))

    @stateful.rule()
    def restore(self):
        before = self.state
        self.state = state_module.restore_state(before.encode_image())
        assert vars(self.state) == vars(before)

    @stateful.invariant()
    def closed_windows_never_change(self):
        for number, window in self.state.windows.items():
            assert (
                self.closed_rows.setdefault(number, window.rows) == window.rows
            )

    @stateful.invariant()
    def every_batch_counts_once(self):
        rows = list(self.state.open_usage.values())
        for window in self.state.windows.values():
            rows.extend(window.rows)
        assert sum(r.requests for r in rows) == self.sent_batches


TestStateModel = StateModel.TestCase
TestStateModel.settings = settings(max_examples=300, stateful_step_count=40)


def test_claim_identifier_belongs_to_one_claim():
    state = state_module.State()
    first = apply_command(state, messages.Claim("c0", "ana", "k1"))
    again = apply_command(state, messages.Claim("c0", "ana", "k2"))
    assert again == first
    apply_command(state, messages.ClaimRelease("c0"))
    assert not state.claims and not state.claim_keys


def test_late_usage_becomes_a_correction_of_its_window():
    state = state_module.State()
    row = messages.UsageRow("ana", "desk", 1, 2, 3)
    apply_command(state, messages.CloseWindow(5))
    apply_command(state, messages.UsageBatch("g1", 1, 1, 4, (row,)))
    apply_command(state, messages.CloseWindow(6))
    assert state.windows[6].rows == (row._replace(corrects_window=4),)


def test_withdrawn_key_cannot_be_added_again():
    state = state_module.State()
    withdrawal = messages.Withdrawal("ff", "op", 1)
    apply_command(state, messages.WithdrawalBatch((withdrawal,)))
    row = messages.Row("key", "ff", "{}")
    apply_command(
        state, messages.Edit("e", state_module.ANY_VERSION, "op", (row,))
    )
    assert ("key", "ff") not in state.rows


def test_claims_expire_after_their_retention_windows():
    state = state_module.State()
    apply_command(state, messages.CloseWindow(10))
    apply_command(state, messages.Claim("c1", "ana", "k"))
    apply_command(state, messages.ClaimOutcome("c1", 201, "", b"", True))
    kept = 10 + state_module.CLAIM_RETENTION_WINDOWS
    apply_command(state, messages.CloseWindow(kept))
    assert ("ana", "k") in state.claims
    apply_command(state, messages.CloseWindow(kept + 1))
    assert ("ana", "k") not in state.claims


@pytest.mark.parametrize("state_name", ["done", "unavailable", "failed"])
def test_finished_order_keeps_its_state(state_name):
    state = state_module.State()
    order = messages.Order("o1", "za", "start", "engine", True, 1)
    assert apply_command(state, order).state == state_module.PENDING
    apply_command(state, messages.OrderDone("o1", state_name))
    assert apply_command(state, order).state == state_name


def apply_at(state, index, command):
    kind = type(command).__name__
    body = messages.encode(command)
    return state.apply(messages.Entry(index, 1, kind, body))


def test_window_keeps_its_first_sealed_counts():
    state = state_module.State()
    first = messages.SealWindow(7, (messages.CustomerCount("ana", 3),))
    other = messages.SealWindow(7, (messages.CustomerCount("ana", 4),))
    assert apply_at(state, 1, first) == first
    assert apply_at(state, 2, other) == first
    apply_at(state, 3, messages.WindowDone(7))
    again = state_module.restore_state(state.encode_image())
    assert again.sealed_windows == {7: first}
    assert again.acknowledged_windows == {7}


def test_only_a_table_with_a_higher_version_is_accepted():
    state = state_module.State()
    seven = messages.Table(7, b"seven")
    assert apply_at(state, 1, seven) == messages.TableResult(True, 7)
    for index, table in enumerate(
        (messages.Table(7, b"other"), messages.Table(6, b"six")), 2
    ):
        assert apply_at(state, index, table) == messages.TableResult(False, 7)
    assert state.table == seven
    assert state_module.restore_state(state.encode_image()).table == seven


def test_quarantined_parts_end_are_released_and_restored():
    state = state_module.State()
    for verdict in (
        messages.PartVerdict("a", 100, 0),
        messages.PartVerdict("b", 300, 0),
        messages.PartVerdict("c", 400, 0),
        messages.PartVerdict("d", 500, 100),
        messages.PartVerdict("b", 0, 110),
    ):
        apply_command(state, verdict)
    restored = state_module.restore_state(state.encode_image())
    assert restored.quarantined_parts == {"c": 400, "d": 500}


def test_quarantined_parts_are_bounded():
    state = state_module.State()
    limit = state_module.MAX_QUARANTINED_PARTS
    for number in range(limit + 5):
        apply_command(state, messages.PartVerdict(str(number), 1000, 0))
    assert list(state.quarantined_parts) == [
        str(n) for n in range(5, limit + 5)
    ]
