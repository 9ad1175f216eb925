"""The state machine against a sequential model."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from primrosehitch import messages
from primrosehitch import state as state_module

EDIT_IDS = st.sampled_from([f"e{i}" for i in range(12)])
KEYS = st.sampled_from(["k1", "k2", "k3"])
CLAIM_IDS = st.sampled_from([f"c{i}" for i in range(9)])


def run(state, command):
    kind = type(command).__name__
    return state.apply(messages.Entry(1, 1, kind, messages.encode(command)))


class StateModel(stateful.RuleBasedStateMachine):
    """Runs commands and looks at what must hold after each."""

    def __init__(self):
        super().__init__()
        self.state = state_module.State()
        self.answers = {}
        self.owners = {}
        self.closed = {}
        self.sent = 0
        self.sequence = 0

    @stateful.rule(edit_id=EDIT_IDS, key=KEYS, behind=st.integers(0, 2))
    def edit(self, edit_id, key, behind):
        base = max(0, self.state.version - behind)
        before = self.state.version
        row = messages.Row("customer", key, edit_id)
        result = run(self.state, messages.Edit(edit_id, base, "op", (row,)))
        if edit_id in self.answers:
            assert result == self.answers[edit_id]
            assert self.state.version == before
            return
        self.answers[edit_id] = result
        assert result.accepted == (behind == 0 or before == base)
        assert self.state.version == before + result.accepted
        if not result.accepted:
            assert {r.version for r in result.conflicts} <= set(
                range(base + 1, before + 1)
            )

    @stateful.rule(claim_id=CLAIM_IDS, key=KEYS)
    def claim(self, claim_id, key):
        known = run(
            self.state,
            messages.Claim(claim_id, "ana", key, holder="g1"),
        )
        if known.state == state_module.OPEN and known.claim_id == claim_id:
            owner = self.owners.setdefault(known.idempotency_key, claim_id)
            assert owner == claim_id

    @stateful.rule(claim_id=CLAIM_IDS)
    def release(self, claim_id):
        run(self.state, messages.ClaimRelease(claim_id))
        if claim_id in self.state.released_claim_ids:
            self.owners = {
                k: o for k, o in self.owners.items() if o != claim_id
            }
            again = run(self.state, messages.Claim(claim_id, "ana", "again"))
            assert again.state == state_module.RELEASED

    @stateful.rule(claim_id=CLAIM_IDS, known=st.booleans())
    def outcome(self, claim_id, known):
        key = self.state.claim_keys.get(claim_id)
        before = self.state.claims.get(key)
        run(
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
        self.sent += 1
        run(self.state, batch)
        if again:
            mark = run(self.state, batch)
            assert mark.sequence == self.sequence

    @stateful.rule(window=st.integers(1, 6))
    def close(self, window):
        run(self.state, messages.CloseWindow(window))

    @stateful.rule()
    def restore(self):
        before = self.state
        self.state = state_module.restore_state(before.encode_image())
        assert vars(self.state) == vars(before)

    @stateful.invariant()
    def closed_windows_never_change(self):
        for number, window in self.state.windows.items():
            assert self.closed.setdefault(number, window.rows) == window.rows

    @stateful.invariant()
    def every_batch_counts_once(self):
        rows = list(self.state.open_usage.values())
        for window in self.state.windows.values():
            rows.extend(window.rows)
        assert sum(r.requests for r in rows) == self.sent


TestStateModel = StateModel.TestCase
TestStateModel.settings = settings(max_examples=300, stateful_step_count=40)


def test_a_claim_identifier_belongs_to_one_claim():
    state = state_module.State()
    first = run(state, messages.Claim("c0", "ana", "k1"))
    again = run(state, messages.Claim("c0", "ana", "k2"))
    assert again == first
    run(state, messages.ClaimRelease("c0"))
    assert not state.claims and not state.claim_keys


def test_late_usage_becomes_a_named_correction():
    state = state_module.State()
    row = messages.UsageRow("ana", "desk", 1, 2, 3)
    run(state, messages.CloseWindow(5))
    run(state, messages.UsageBatch("g1", 1, 1, 4, (row,)))
    run(state, messages.CloseWindow(6))
    assert state.windows[6].rows == (row._replace(corrects_window=4),)


def test_a_withdrawn_key_is_never_granted_again():
    state = state_module.State()
    withdrawal = messages.Withdrawal("ff", "op", 1)
    run(state, messages.WithdrawalBatch((withdrawal,)))
    row = messages.Row("key", "ff", "{}")
    run(state, messages.Edit("e", state_module.ANY_VERSION, "op", (row,)))
    assert ("key", "ff") not in state.rows


def test_claims_are_forgotten_only_after_their_time():
    state = state_module.State()
    run(state, messages.CloseWindow(10))
    run(state, messages.Claim("c1", "ana", "k"))
    run(state, messages.ClaimOutcome("c1", 201, "", b"", True))
    kept = 10 + state_module.CLAIM_RETENTION_WINDOWS
    run(state, messages.CloseWindow(kept))
    assert ("ana", "k") in state.claims
    run(state, messages.CloseWindow(kept + 1))
    assert ("ana", "k") not in state.claims


@pytest.mark.parametrize("state_name", ["done", "unavailable", "failed"])
def test_an_order_settles(state_name):
    state = state_module.State()
    order = messages.Order("o1", "za", "start", "engine", True, 1)
    assert run(state, order).state == state_module.PENDING
    run(state, messages.OrderDone("o1", state_name))
    assert run(state, order).state == state_name


def apply(state, index, command):
    kind = type(command).__name__
    body = messages.encode(command)
    return state.apply(messages.Entry(index, 1, kind, body))


def test_the_first_figures_of_a_window_stand():
    state = state_module.State()
    first = messages.SealWindow(7, (messages.CustomerCount("ana", 3),))
    other = messages.SealWindow(7, (messages.CustomerCount("ana", 4),))
    assert apply(state, 1, first) == first
    assert apply(state, 2, other) == first
    apply(state, 3, messages.WindowDone(7))
    again = state_module.restore_state(state.encode_image())
    assert again.sealed_windows == {7: first}
    assert again.acknowledged_windows == {7}


def test_the_highest_table_stands():
    state = state_module.State()
    seven = messages.Table(7, b"seven")
    assert apply(state, 1, seven) == messages.TableResult(True, 7)
    for index, table in enumerate(
        (messages.Table(7, b"other"), messages.Table(6, b"six")), 2
    ):
        assert apply(state, index, table) == messages.TableResult(False, 7)
    assert state.table == seven
    assert state_module.restore_state(state.encode_image()).table == seven
