"""Messages and log records, generated from schema/messages.capnp.

Do not edit: run ``make messages``. Each message is a ``NamedTuple``;
``encode`` and ``decode`` turn one into packed Cap'n Proto bytes and back.
"""

import pathlib
from typing import Any
from typing import NamedTuple

import capnp

from primrosehitch import errors

_SCHEMA = pathlib.Path(__file__).parent / "schema" / "messages.capnp"
_capnp: Any = capnp.load(str(_SCHEMA))
_READ_LIMIT_WORDS = 1 << 28


class Hello(NamedTuple):
    """Message ``Hello`` of the schema."""

    sender: str = ""
    incarnation: int = 0
    version: int = 0
    nonce: bytes = b""
    proof: bytes = b""
    cluster: str = ""


def _write_hello(b: Any, m: Hello) -> None:
    b.sender = m.sender
    b.incarnation = m.incarnation
    b.version = m.version
    b.nonce = m.nonce
    b.proof = m.proof
    b.cluster = m.cluster


def _read_hello(r: Any) -> Hello:
    return Hello(
        r.sender,
        r.incarnation,
        r.version,
        bytes(r.nonce),
        bytes(r.proof),
        r.cluster,
    )


class Challenge(NamedTuple):
    """Message ``Challenge`` of the schema."""

    nonce: bytes = b""


def _write_challenge(b: Any, m: Challenge) -> None:
    b.nonce = m.nonce


def _read_challenge(r: Any) -> Challenge:
    return Challenge(
        bytes(r.nonce),
    )


class Welcome(NamedTuple):
    """Message ``Welcome`` of the schema."""

    proof: bytes = b""
    version: int = 0


def _write_welcome(b: Any, m: Welcome) -> None:
    b.proof = m.proof
    b.version = m.version


def _read_welcome(r: Any) -> Welcome:
    return Welcome(
        bytes(r.proof),
        r.version,
    )


class Entry(NamedTuple):
    """Message ``Entry`` of the schema."""

    index: int = 0
    term: int = 0
    kind: str = ""
    body: bytes = b""


def _write_entry(b: Any, m: Entry) -> None:
    b.index = m.index
    b.term = m.term
    b.kind = m.kind
    b.body = m.body


def _read_entry(r: Any) -> Entry:
    return Entry(
        r.index,
        r.term,
        r.kind,
        bytes(r.body),
    )


class HardState(NamedTuple):
    """Message ``HardState`` of the schema."""

    term: int = 0
    voted_for: str = ""
    commit: int = 0


def _write_hard_state(b: Any, m: HardState) -> None:
    b.term = m.term
    b.votedFor = m.voted_for
    b.commit = m.commit


def _read_hard_state(r: Any) -> HardState:
    return HardState(
        r.term,
        r.votedFor,
        r.commit,
    )


class Identity(NamedTuple):
    """Message ``Identity`` of the schema."""

    cluster: str = ""
    name: str = ""
    replica: str = ""


def _write_identity(b: Any, m: Identity) -> None:
    b.cluster = m.cluster
    b.name = m.name
    b.replica = m.replica


def _read_identity(r: Any) -> Identity:
    return Identity(
        r.cluster,
        r.name,
        r.replica,
    )


class SnapshotMeta(NamedTuple):
    """Message ``SnapshotMeta`` of the schema."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    body: bytes = b""


def _write_snapshot_meta(b: Any, m: SnapshotMeta) -> None:
    b.index = m.index
    b.term = m.term
    b.voters = list(m.voters)
    b.learners = list(m.learners)
    b.body = m.body


def _read_snapshot_meta(r: Any) -> SnapshotMeta:
    return SnapshotMeta(
        r.index,
        r.term,
        tuple(r.voters),
        tuple(r.learners),
        bytes(r.body),
    )


class VoteRequest(NamedTuple):
    """Message ``VoteRequest`` of the schema."""

    term: int = 0
    last_index: int = 0
    last_term: int = 0
    pre: bool = False
    hand_over: bool = False


def _write_vote_request(b: Any, m: VoteRequest) -> None:
    b.term = m.term
    b.lastIndex = m.last_index
    b.lastTerm = m.last_term
    b.pre = m.pre
    b.handOver = m.hand_over


def _read_vote_request(r: Any) -> VoteRequest:
    return VoteRequest(
        r.term,
        r.lastIndex,
        r.lastTerm,
        r.pre,
        r.handOver,
    )


class VoteReply(NamedTuple):
    """Message ``VoteReply`` of the schema."""

    term: int = 0
    granted: bool = False
    pre: bool = False


def _write_vote_reply(b: Any, m: VoteReply) -> None:
    b.term = m.term
    b.granted = m.granted
    b.pre = m.pre


def _read_vote_reply(r: Any) -> VoteReply:
    return VoteReply(
        r.term,
        r.granted,
        r.pre,
    )


class Append(NamedTuple):
    """Message ``Append`` of the schema."""

    term: int = 0
    prev_index: int = 0
    prev_term: int = 0
    commit: int = 0
    sent_ms: int = 0
    entries: tuple["Entry", ...] = ()


def _write_append(b: Any, m: Append) -> None:
    b.term = m.term
    b.prevIndex = m.prev_index
    b.prevTerm = m.prev_term
    b.commit = m.commit
    b.sentMs = m.sent_ms
    items = b.init("entries", len(m.entries))
    for i, item in enumerate(m.entries):
        _write_entry(items[i], item)


def _read_append(r: Any) -> Append:
    return Append(
        r.term,
        r.prevIndex,
        r.prevTerm,
        r.commit,
        r.sentMs,
        tuple(_read_entry(x) for x in r.entries),
    )


class AppendReply(NamedTuple):
    """Message ``AppendReply`` of the schema."""

    term: int = 0
    success: bool = False
    match_index: int = 0
    sent_ms: int = 0


def _write_append_reply(b: Any, m: AppendReply) -> None:
    b.term = m.term
    b.success = m.success
    b.matchIndex = m.match_index
    b.sentMs = m.sent_ms


def _read_append_reply(r: Any) -> AppendReply:
    return AppendReply(
        r.term,
        r.success,
        r.matchIndex,
        r.sentMs,
    )


class SnapshotChunk(NamedTuple):
    """Message ``SnapshotChunk`` of the schema."""

    term: int = 0
    index: int = 0
    last_term: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""
    sent_ms: int = 0


def _write_snapshot_chunk(b: Any, m: SnapshotChunk) -> None:
    b.term = m.term
    b.index = m.index
    b.lastTerm = m.last_term
    b.offset = m.offset
    b.total = m.total
    b.data = m.data
    b.sentMs = m.sent_ms


def _read_snapshot_chunk(r: Any) -> SnapshotChunk:
    return SnapshotChunk(
        r.term,
        r.index,
        r.lastTerm,
        r.offset,
        r.total,
        bytes(r.data),
        r.sentMs,
    )


class SnapshotReply(NamedTuple):
    """Message ``SnapshotReply`` of the schema."""

    term: int = 0
    index: int = 0
    received: int = 0
    sent_ms: int = 0


def _write_snapshot_reply(b: Any, m: SnapshotReply) -> None:
    b.term = m.term
    b.index = m.index
    b.received = m.received
    b.sentMs = m.sent_ms


def _read_snapshot_reply(r: Any) -> SnapshotReply:
    return SnapshotReply(
        r.term,
        r.index,
        r.received,
        r.sentMs,
    )


class HandOver(NamedTuple):
    """Message ``HandOver`` of the schema."""

    term: int = 0


def _write_hand_over(b: Any, m: HandOver) -> None:
    b.term = m.term


def _read_hand_over(r: Any) -> HandOver:
    return HandOver(
        r.term,
    )


class ReplicaMessage(NamedTuple):
    """Message ``ReplicaMessage`` of the schema."""

    cluster: str = ""
    sender: str = ""
    target: str = ""
    kind: int = 0
    body: bytes = b""


def _write_replica_message(b: Any, m: ReplicaMessage) -> None:
    b.cluster = m.cluster
    b.sender = m.sender
    b.target = m.target
    b.kind = m.kind
    b.body = m.body


def _read_replica_message(r: Any) -> ReplicaMessage:
    return ReplicaMessage(
        r.cluster,
        r.sender,
        r.target,
        r.kind,
        bytes(r.body),
    )


class Row(NamedTuple):
    """Message ``Row`` of the schema."""

    table: str = ""
    key: str = ""
    value: str = ""
    version: int = 0
    deleted: bool = False


def _write_row(b: Any, m: Row) -> None:
    b.table = m.table
    b.key = m.key
    b.value = m.value
    b.version = m.version
    b.deleted = m.deleted


def _read_row(r: Any) -> Row:
    return Row(
        r.table,
        r.key,
        r.value,
        r.version,
        r.deleted,
    )


class Edit(NamedTuple):
    """Message ``Edit`` of the schema."""

    edit_id: str = ""
    base_version: int = 0
    operator: str = ""
    rows: tuple["Row", ...] = ()


def _write_edit(b: Any, m: Edit) -> None:
    b.editId = m.edit_id
    b.baseVersion = m.base_version
    b.operator = m.operator
    items = b.init("rows", len(m.rows))
    for i, item in enumerate(m.rows):
        _write_row(items[i], item)


def _read_edit(r: Any) -> Edit:
    return Edit(
        r.editId,
        r.baseVersion,
        r.operator,
        tuple(_read_row(x) for x in r.rows),
    )


class EditResult(NamedTuple):
    """Message ``EditResult`` of the schema."""

    edit_id: str = ""
    accepted: bool = False
    version: int = 0
    conflicts: tuple["Row", ...] = ()


def _write_edit_result(b: Any, m: EditResult) -> None:
    b.editId = m.edit_id
    b.accepted = m.accepted
    b.version = m.version
    items = b.init("conflicts", len(m.conflicts))
    for i, item in enumerate(m.conflicts):
        _write_row(items[i], item)


def _read_edit_result(r: Any) -> EditResult:
    return EditResult(
        r.editId,
        r.accepted,
        r.version,
        tuple(_read_row(x) for x in r.conflicts),
    )


class Withdrawal(NamedTuple):
    """Message ``Withdrawal`` of the schema."""

    key_hash: str = ""
    operator: str = ""
    at_ms: int = 0


def _write_withdrawal(b: Any, m: Withdrawal) -> None:
    b.keyHash = m.key_hash
    b.operator = m.operator
    b.atMs = m.at_ms


def _read_withdrawal(r: Any) -> Withdrawal:
    return Withdrawal(
        r.keyHash,
        r.operator,
        r.atMs,
    )


class WithdrawalBatch(NamedTuple):
    """Message ``WithdrawalBatch`` of the schema."""

    withdrawals: tuple["Withdrawal", ...] = ()


def _write_withdrawal_batch(b: Any, m: WithdrawalBatch) -> None:
    items = b.init("withdrawals", len(m.withdrawals))
    for i, item in enumerate(m.withdrawals):
        _write_withdrawal(items[i], item)


def _read_withdrawal_batch(r: Any) -> WithdrawalBatch:
    return WithdrawalBatch(
        tuple(_read_withdrawal(x) for x in r.withdrawals),
    )


class Claim(NamedTuple):
    """Message ``Claim`` of the schema."""

    claim_id: str = ""
    customer: str = ""
    idempotency_key: str = ""
    fingerprint: str = ""
    holder: str = ""
    incarnation: int = 0
    state: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    index: int = 0


def _write_claim(b: Any, m: Claim) -> None:
    b.claimId = m.claim_id
    b.customer = m.customer
    b.idempotencyKey = m.idempotency_key
    b.fingerprint = m.fingerprint
    b.holder = m.holder
    b.incarnation = m.incarnation
    b.state = m.state
    b.status = m.status
    b.contentType = m.content_type
    b.body = m.body
    b.index = m.index


def _read_claim(r: Any) -> Claim:
    return Claim(
        r.claimId,
        r.customer,
        r.idempotencyKey,
        r.fingerprint,
        r.holder,
        r.incarnation,
        r.state,
        r.status,
        r.contentType,
        bytes(r.body),
        r.index,
    )


class ClaimRelease(NamedTuple):
    """Message ``ClaimRelease`` of the schema."""

    claim_id: str = ""


def _write_claim_release(b: Any, m: ClaimRelease) -> None:
    b.claimId = m.claim_id


def _read_claim_release(r: Any) -> ClaimRelease:
    return ClaimRelease(
        r.claimId,
    )


class ClaimOutcome(NamedTuple):
    """Message ``ClaimOutcome`` of the schema."""

    claim_id: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    known: bool = False


def _write_claim_outcome(b: Any, m: ClaimOutcome) -> None:
    b.claimId = m.claim_id
    b.status = m.status
    b.contentType = m.content_type
    b.body = m.body
    b.known = m.known


def _read_claim_outcome(r: Any) -> ClaimOutcome:
    return ClaimOutcome(
        r.claimId,
        r.status,
        r.contentType,
        bytes(r.body),
        r.known,
    )


class UsageRow(NamedTuple):
    """Message ``UsageRow`` of the schema."""

    customer: str = ""
    class_name: str = ""
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    corrects_window: int = 0


def _write_usage_row(b: Any, m: UsageRow) -> None:
    b.customer = m.customer
    b.className = m.class_name
    b.requests = m.requests
    b.promptTokens = m.prompt_tokens
    b.outputTokens = m.output_tokens
    b.correctsWindow = m.corrects_window


def _read_usage_row(r: Any) -> UsageRow:
    return UsageRow(
        r.customer,
        r.className,
        r.requests,
        r.promptTokens,
        r.outputTokens,
        r.correctsWindow,
    )


class UsageBatch(NamedTuple):
    """Message ``UsageBatch`` of the schema."""

    gateway: str = ""
    incarnation: int = 0
    sequence: int = 0
    window: int = 0
    rows: tuple["UsageRow", ...] = ()


def _write_usage_batch(b: Any, m: UsageBatch) -> None:
    b.gateway = m.gateway
    b.incarnation = m.incarnation
    b.sequence = m.sequence
    b.window = m.window
    items = b.init("rows", len(m.rows))
    for i, item in enumerate(m.rows):
        _write_usage_row(items[i], item)


def _read_usage_batch(r: Any) -> UsageBatch:
    return UsageBatch(
        r.gateway,
        r.incarnation,
        r.sequence,
        r.window,
        tuple(_read_usage_row(x) for x in r.rows),
    )


class CloseWindow(NamedTuple):
    """Message ``CloseWindow`` of the schema."""

    window: int = 0


def _write_close_window(b: Any, m: CloseWindow) -> None:
    b.window = m.window


def _read_close_window(r: Any) -> CloseWindow:
    return CloseWindow(
        r.window,
    )


class Window(NamedTuple):
    """Message ``Window`` of the schema."""

    window: int = 0
    state: str = ""
    rows: tuple["UsageRow", ...] = ()


def _write_window(b: Any, m: Window) -> None:
    b.window = m.window
    b.state = m.state
    items = b.init("rows", len(m.rows))
    for i, item in enumerate(m.rows):
        _write_usage_row(items[i], item)


def _read_window(r: Any) -> Window:
    return Window(
        r.window,
        r.state,
        tuple(_read_usage_row(x) for x in r.rows),
    )


class WindowReported(NamedTuple):
    """Message ``WindowReported`` of the schema."""

    window: int = 0
    customer: str = ""


def _write_window_reported(b: Any, m: WindowReported) -> None:
    b.window = m.window
    b.customer = m.customer


def _read_window_reported(r: Any) -> WindowReported:
    return WindowReported(
        r.window,
        r.customer,
    )


class Order(NamedTuple):
    """Message ``Order`` of the schema."""

    order_id: str = ""
    domain: str = ""
    verb: str = ""
    kind: str = ""
    cheap: bool = False
    count: int = 0
    target: str = ""
    term: int = 0
    state: str = ""


def _write_order(b: Any, m: Order) -> None:
    b.orderId = m.order_id
    b.domain = m.domain
    b.verb = m.verb
    b.kind = m.kind
    b.cheap = m.cheap
    b.count = m.count
    b.target = m.target
    b.term = m.term
    b.state = m.state


def _read_order(r: Any) -> Order:
    return Order(
        r.orderId,
        r.domain,
        r.verb,
        r.kind,
        r.cheap,
        r.count,
        r.target,
        r.term,
        r.state,
    )


class OrderDone(NamedTuple):
    """Message ``OrderDone`` of the schema."""

    order_id: str = ""
    state: str = ""
    detail: str = ""


def _write_order_done(b: Any, m: OrderDone) -> None:
    b.orderId = m.order_id
    b.state = m.state
    b.detail = m.detail


def _read_order_done(r: Any) -> OrderDone:
    return OrderDone(
        r.orderId,
        r.state,
        r.detail,
    )


class Membership(NamedTuple):
    """Message ``Membership`` of the schema."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


def _write_membership(b: Any, m: Membership) -> None:
    b.voters = list(m.voters)
    b.learners = list(m.learners)


def _read_membership(r: Any) -> Membership:
    return Membership(
        tuple(r.voters),
        tuple(r.learners),
    )


class BatchMark(NamedTuple):
    """Message ``BatchMark`` of the schema."""

    gateway: str = ""
    incarnation: int = 0
    sequence: int = 0


def _write_batch_mark(b: Any, m: BatchMark) -> None:
    b.gateway = m.gateway
    b.incarnation = m.incarnation
    b.sequence = m.sequence


def _read_batch_mark(r: Any) -> BatchMark:
    return BatchMark(
        r.gateway,
        r.incarnation,
        r.sequence,
    )


class StateImage(NamedTuple):
    """Message ``StateImage`` of the schema."""

    version: int = 0
    rows: tuple["Row", ...] = ()
    edits: tuple["EditResult", ...] = ()
    withdrawals: tuple["Withdrawal", ...] = ()
    claims: tuple["Claim", ...] = ()
    released: tuple[str, ...] = ()
    windows: tuple["Window", ...] = ()
    reported: tuple["WindowReported", ...] = ()
    marks: tuple["BatchMark", ...] = ()
    orders: tuple["Order", ...] = ()
    closed_through: int = 0
    table_version: int = 0
    table_body: bytes = b""
    sealed: tuple["SealWindow", ...] = ()
    done: tuple["WindowDone", ...] = ()
    quarantined: tuple["PartVerdict", ...] = ()


def _write_state_image(b: Any, m: StateImage) -> None:
    b.version = m.version
    items = b.init("rows", len(m.rows))
    for i, item in enumerate(m.rows):
        _write_row(items[i], item)
    items = b.init("edits", len(m.edits))
    for i, item in enumerate(m.edits):
        _write_edit_result(items[i], item)
    items = b.init("withdrawals", len(m.withdrawals))
    for i, item in enumerate(m.withdrawals):
        _write_withdrawal(items[i], item)
    items = b.init("claims", len(m.claims))
    for i, item in enumerate(m.claims):
        _write_claim(items[i], item)
    b.released = list(m.released)
    items = b.init("windows", len(m.windows))
    for i, item in enumerate(m.windows):
        _write_window(items[i], item)
    items = b.init("reported", len(m.reported))
    for i, item in enumerate(m.reported):
        _write_window_reported(items[i], item)
    items = b.init("marks", len(m.marks))
    for i, item in enumerate(m.marks):
        _write_batch_mark(items[i], item)
    items = b.init("orders", len(m.orders))
    for i, item in enumerate(m.orders):
        _write_order(items[i], item)
    b.closedThrough = m.closed_through
    b.tableVersion = m.table_version
    b.tableBody = m.table_body
    items = b.init("sealed", len(m.sealed))
    for i, item in enumerate(m.sealed):
        _write_seal_window(items[i], item)
    items = b.init("done", len(m.done))
    for i, item in enumerate(m.done):
        _write_window_done(items[i], item)
    items = b.init("quarantined", len(m.quarantined))
    for i, item in enumerate(m.quarantined):
        _write_part_verdict(items[i], item)


def _read_state_image(r: Any) -> StateImage:
    return StateImage(
        r.version,
        tuple(_read_row(x) for x in r.rows),
        tuple(_read_edit_result(x) for x in r.edits),
        tuple(_read_withdrawal(x) for x in r.withdrawals),
        tuple(_read_claim(x) for x in r.claims),
        tuple(r.released),
        tuple(_read_window(x) for x in r.windows),
        tuple(_read_window_reported(x) for x in r.reported),
        tuple(_read_batch_mark(x) for x in r.marks),
        tuple(_read_order(x) for x in r.orders),
        r.closedThrough,
        r.tableVersion,
        bytes(r.tableBody),
        tuple(_read_seal_window(x) for x in r.sealed),
        tuple(_read_window_done(x) for x in r.done),
        tuple(_read_part_verdict(x) for x in r.quarantined),
    )


class Proposal(NamedTuple):
    """Message ``Proposal`` of the schema."""

    proposal_id: int = 0
    kind: str = ""
    body: bytes = b""


def _write_proposal(b: Any, m: Proposal) -> None:
    b.proposalId = m.proposal_id
    b.kind = m.kind
    b.body = m.body


def _read_proposal(r: Any) -> Proposal:
    return Proposal(
        r.proposalId,
        r.kind,
        bytes(r.body),
    )


class ProposalReply(NamedTuple):
    """Message ``ProposalReply`` of the schema."""

    proposal_id: int = 0
    outcome: str = ""
    kind: str = ""
    body: bytes = b""
    leader: str = ""


def _write_proposal_reply(b: Any, m: ProposalReply) -> None:
    b.proposalId = m.proposal_id
    b.outcome = m.outcome
    b.kind = m.kind
    b.body = m.body
    b.leader = m.leader


def _read_proposal_reply(r: Any) -> ProposalReply:
    return ProposalReply(
        r.proposalId,
        r.outcome,
        r.kind,
        bytes(r.body),
        r.leader,
    )


class EndpointCount(NamedTuple):
    """Message ``EndpointCount`` of the schema."""

    endpoint: str = ""
    running: int = 0
    tier: int = 0


def _write_endpoint_count(b: Any, m: EndpointCount) -> None:
    b.endpoint = m.endpoint
    b.running = m.running
    b.tier = m.tier


def _read_endpoint_count(r: Any) -> EndpointCount:
    return EndpointCount(
        r.endpoint,
        r.running,
        r.tier,
    )


class Demand(NamedTuple):
    """Message ``Demand`` of the schema."""

    customer: str = ""
    requests: float = 0.0


def _write_demand(b: Any, m: Demand) -> None:
    b.customer = m.customer
    b.requests = m.requests


def _read_demand(r: Any) -> Demand:
    return Demand(
        r.customer,
        r.requests,
    )


class Heartbeat(NamedTuple):
    """Message ``Heartbeat`` of the schema."""

    incarnation: int = 0
    sequence: int = 0
    version: int = 0
    withdrawals: int = 0
    withdrawals_digest: int = 0
    leader: str = ""
    term: int = 0
    leaving: bool = False
    counts: tuple["EndpointCount", ...] = ()
    demand: tuple["Demand", ...] = ()
    echo: int = 0
    replica_state: str = ""
    replica_id: str = ""
    waiting: tuple["WaitingCount", ...] = ()
    all_counts: bool = False


def _write_heartbeat(b: Any, m: Heartbeat) -> None:
    b.incarnation = m.incarnation
    b.sequence = m.sequence
    b.version = m.version
    b.withdrawals = m.withdrawals
    b.withdrawalsDigest = m.withdrawals_digest
    b.leader = m.leader
    b.term = m.term
    b.leaving = m.leaving
    items = b.init("counts", len(m.counts))
    for i, item in enumerate(m.counts):
        _write_endpoint_count(items[i], item)
    items = b.init("demand", len(m.demand))
    for i, item in enumerate(m.demand):
        _write_demand(items[i], item)
    b.echo = m.echo
    b.replicaState = m.replica_state
    b.replicaId = m.replica_id
    items = b.init("waiting", len(m.waiting))
    for i, item in enumerate(m.waiting):
        _write_waiting_count(items[i], item)
    b.allCounts = m.all_counts


def _read_heartbeat(r: Any) -> Heartbeat:
    return Heartbeat(
        r.incarnation,
        r.sequence,
        r.version,
        r.withdrawals,
        r.withdrawalsDigest,
        r.leader,
        r.term,
        r.leaving,
        tuple(_read_endpoint_count(x) for x in r.counts),
        tuple(_read_demand(x) for x in r.demand),
        r.echo,
        r.replicaState,
        r.replicaId,
        tuple(_read_waiting_count(x) for x in r.waiting),
        r.allCounts,
    )


class Announcement(NamedTuple):
    """Message ``Announcement`` of the schema."""

    name: str = ""
    incarnation: int = 0
    sequence: int = 0
    address: str = ""
    domain: str = ""
    kind: str = ""
    models: tuple[str, ...] = ()
    slots: int = 0
    cheap: bool = False
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    reclaimed: bool = False
    prefixes: tuple[str, ...] = ()
    fenced: bool = False
    age_ms: int = 0
    resumes: bool = False
    period_ms: int = 1000


def _write_announcement(b: Any, m: Announcement) -> None:
    b.name = m.name
    b.incarnation = m.incarnation
    b.sequence = m.sequence
    b.address = m.address
    b.domain = m.domain
    b.kind = m.kind
    b.models = list(m.models)
    b.slots = m.slots
    b.cheap = m.cheap
    b.running = m.running
    b.waiting = m.waiting
    b.leaving = m.leaving
    b.reclaimed = m.reclaimed
    b.prefixes = list(m.prefixes)
    b.fenced = m.fenced
    b.ageMs = m.age_ms
    b.resumes = m.resumes
    b.periodMs = m.period_ms


def _read_announcement(r: Any) -> Announcement:
    return Announcement(
        r.name,
        r.incarnation,
        r.sequence,
        r.address,
        r.domain,
        r.kind,
        tuple(r.models),
        r.slots,
        r.cheap,
        r.running,
        r.waiting,
        r.leaving,
        r.reclaimed,
        tuple(r.prefixes),
        r.fenced,
        r.ageMs,
        r.resumes,
        r.periodMs,
    )


class AnnouncementBatch(NamedTuple):
    """Message ``AnnouncementBatch`` of the schema."""

    announcements: tuple["Announcement", ...] = ()


def _write_announcement_batch(b: Any, m: AnnouncementBatch) -> None:
    items = b.init("announcements", len(m.announcements))
    for i, item in enumerate(m.announcements):
        _write_announcement(items[i], item)


def _read_announcement_batch(r: Any) -> AnnouncementBatch:
    return AnnouncementBatch(
        tuple(_read_announcement(x) for x in r.announcements),
    )


class RowsRequest(NamedTuple):
    """Message ``RowsRequest`` of the schema."""

    since: int = 0
    after_key: str = ""


def _write_rows_request(b: Any, m: RowsRequest) -> None:
    b.since = m.since
    b.afterKey = m.after_key


def _read_rows_request(r: Any) -> RowsRequest:
    return RowsRequest(
        r.since,
        r.afterKey,
    )


class RowsReply(NamedTuple):
    """Message ``RowsReply`` of the schema."""

    since: int = 0
    through: int = 0
    rows: tuple["Row", ...] = ()
    done: bool = False
    after_key: str = ""


def _write_rows_reply(b: Any, m: RowsReply) -> None:
    b.since = m.since
    b.through = m.through
    items = b.init("rows", len(m.rows))
    for i, item in enumerate(m.rows):
        _write_row(items[i], item)
    b.done = m.done
    b.afterKey = m.after_key


def _read_rows_reply(r: Any) -> RowsReply:
    return RowsReply(
        r.since,
        r.through,
        tuple(_read_row(x) for x in r.rows),
        r.done,
        r.afterKey,
    )


class WithdrawalsRequest(NamedTuple):
    """Message ``WithdrawalsRequest`` of the schema."""

    known: int = 0


def _write_withdrawals_request(b: Any, m: WithdrawalsRequest) -> None:
    b.known = m.known


def _read_withdrawals_request(r: Any) -> WithdrawalsRequest:
    return WithdrawalsRequest(
        r.known,
    )


class Refresh(NamedTuple):
    """Message ``Refresh`` of the schema."""

    nonce: int = 0
    withdrawals: int = 0
    withdrawals_digest: int = 0


def _write_refresh(b: Any, m: Refresh) -> None:
    b.nonce = m.nonce
    b.withdrawals = m.withdrawals
    b.withdrawalsDigest = m.withdrawals_digest


def _read_refresh(r: Any) -> Refresh:
    return Refresh(
        r.nonce,
        r.withdrawals,
        r.withdrawalsDigest,
    )


class RefreshReply(NamedTuple):
    """Message ``RefreshReply`` of the schema."""

    nonce: int = 0
    version: int = 0


def _write_refresh_reply(b: Any, m: RefreshReply) -> None:
    b.nonce = m.nonce
    b.version = m.version


def _read_refresh_reply(r: Any) -> RefreshReply:
    return RefreshReply(
        r.nonce,
        r.version,
    )


class WaitingCount(NamedTuple):
    """Message ``WaitingCount`` of the schema."""

    pool: str = ""
    tier: int = 0
    customer: str = ""
    weight: float = 0.0
    count: int = 0


def _write_waiting_count(b: Any, m: WaitingCount) -> None:
    b.pool = m.pool
    b.tier = m.tier
    b.customer = m.customer
    b.weight = m.weight
    b.count = m.count


def _read_waiting_count(r: Any) -> WaitingCount:
    return WaitingCount(
        r.pool,
        r.tier,
        r.customer,
        r.weight,
        r.count,
    )


class Ping(NamedTuple):
    """Message ``Ping`` of the schema."""

    sent_ms: int = 0


def _write_ping(b: Any, m: Ping) -> None:
    b.sentMs = m.sent_ms


def _read_ping(r: Any) -> Ping:
    return Ping(
        r.sentMs,
    )


class Pong(NamedTuple):
    """Message ``Pong`` of the schema."""

    sent_ms: int = 0


def _write_pong(b: Any, m: Pong) -> None:
    b.sentMs = m.sent_ms


def _read_pong(r: Any) -> Pong:
    return Pong(
        r.sentMs,
    )


class Presence(NamedTuple):
    """Message ``Presence`` of the schema."""

    name: str = ""
    link: str = ""
    control: str = ""
    domain: str = ""
    replica: str = ""
    incarnation: int = 0
    sequence: int = 0
    wall_ms: int = 0
    edge: bool = False
    peers: tuple[str, ...] = ()
    edges: int = 0
    leaving: bool = False
    registry: int = 0
    helpers: tuple["HelperEdge", ...] = ()
    names_edges: bool = False
    evacuates: bool = False


def _write_presence(b: Any, m: Presence) -> None:
    b.name = m.name
    b.link = m.link
    b.control = m.control
    b.domain = m.domain
    b.replica = m.replica
    b.incarnation = m.incarnation
    b.sequence = m.sequence
    b.wallMs = m.wall_ms
    b.edge = m.edge
    b.peers = list(m.peers)
    b.edges = m.edges
    b.leaving = m.leaving
    b.registry = m.registry
    items = b.init("helpers", len(m.helpers))
    for i, item in enumerate(m.helpers):
        _write_helper_edge(items[i], item)
    b.namesEdges = m.names_edges
    b.evacuates = m.evacuates


def _read_presence(r: Any) -> Presence:
    return Presence(
        r.name,
        r.link,
        r.control,
        r.domain,
        r.replica,
        r.incarnation,
        r.sequence,
        r.wallMs,
        r.edge,
        tuple(r.peers),
        r.edges,
        r.leaving,
        r.registry,
        tuple(_read_helper_edge(x) for x in r.helpers),
        r.namesEdges,
        r.evacuates,
    )


class ControlStatus(NamedTuple):
    """Message ``ControlStatus`` of the schema."""

    version: int = 0
    fresh: bool = False
    true_ms: int = 0
    edges: int = 0
    peers: tuple[str, ...] = ()
    registry: int = 0
    domains: tuple[str, ...] = ()
    incarnation: int = 0
    catalog: int = 0
    evacuated: tuple[str, ...] = ()


def _write_control_status(b: Any, m: ControlStatus) -> None:
    b.version = m.version
    b.fresh = m.fresh
    b.trueMs = m.true_ms
    b.edges = m.edges
    b.peers = list(m.peers)
    b.registry = m.registry
    b.domains = list(m.domains)
    b.incarnation = m.incarnation
    b.catalog = m.catalog
    b.evacuated = list(m.evacuated)


def _read_control_status(r: Any) -> ControlStatus:
    return ControlStatus(
        r.version,
        r.fresh,
        r.trueMs,
        r.edges,
        tuple(r.peers),
        r.registry,
        tuple(r.domains),
        r.incarnation,
        r.catalog,
        tuple(r.evacuated),
    )


class Subscribe(NamedTuple):
    """Message ``Subscribe`` of the schema."""

    version: int = 0
    registry: int = 0
    wall_ms: int = 0
    helpers: tuple["HelperEdge", ...] = ()
    requests_tables: bool = False


def _write_subscribe(b: Any, m: Subscribe) -> None:
    b.version = m.version
    b.registry = m.registry
    b.wallMs = m.wall_ms
    items = b.init("helpers", len(m.helpers))
    for i, item in enumerate(m.helpers):
        _write_helper_edge(items[i], item)
    b.requestsTables = m.requests_tables


def _read_subscribe(r: Any) -> Subscribe:
    return Subscribe(
        r.version,
        r.registry,
        r.wallMs,
        tuple(_read_helper_edge(x) for x in r.helpers),
        r.requestsTables,
    )


class Table(NamedTuple):
    """Message ``Table`` of the schema."""

    version: int = 0
    body: bytes = b""


def _write_table(b: Any, m: Table) -> None:
    b.version = m.version
    b.body = m.body


def _read_table(r: Any) -> Table:
    return Table(
        r.version,
        bytes(r.body),
    )


class TableResult(NamedTuple):
    """Message ``TableResult`` of the schema."""

    accepted: bool = False
    version: int = 0


def _write_table_result(b: Any, m: TableResult) -> None:
    b.accepted = m.accepted
    b.version = m.version


def _read_table_result(r: Any) -> TableResult:
    return TableResult(
        r.accepted,
        r.version,
    )


class ReadRequest(NamedTuple):
    """Message ``ReadRequest`` of the schema."""

    number: int = 0


def _write_read_request(b: Any, m: ReadRequest) -> None:
    b.number = m.number


def _read_read_request(r: Any) -> ReadRequest:
    return ReadRequest(
        r.number,
    )


class ReadReply(NamedTuple):
    """Message ``ReadReply`` of the schema."""

    number: int = 0
    confirmed: bool = False
    index: int = 0


def _write_read_reply(b: Any, m: ReadReply) -> None:
    b.number = m.number
    b.confirmed = m.confirmed
    b.index = m.index


def _read_read_reply(r: Any) -> ReadReply:
    return ReadReply(
        r.number,
        r.confirmed,
        r.index,
    )


class EndpointRecord(NamedTuple):
    """Message ``EndpointRecord`` of the schema."""

    id: str = ""
    born: int = 0
    sequence: int = 0
    service: str = ""
    address: str = ""
    domain: str = ""
    slots: int = 0
    state: str = ""
    spot: bool = False
    leaves_ms: int = 0
    version: str = ""
    cold_left_ms: int = 0
    reports_cold: bool = False
    heard_ms: int = 0


def _write_endpoint_record(b: Any, m: EndpointRecord) -> None:
    b.id = m.id
    b.born = m.born
    b.sequence = m.sequence
    b.service = m.service
    b.address = m.address
    b.domain = m.domain
    b.slots = m.slots
    b.state = m.state
    b.spot = m.spot
    b.leavesMs = m.leaves_ms
    b.version = m.version
    b.coldLeftMs = m.cold_left_ms
    b.reportsCold = m.reports_cold
    b.heardMs = m.heard_ms


def _read_endpoint_record(r: Any) -> EndpointRecord:
    return EndpointRecord(
        r.id,
        r.born,
        r.sequence,
        r.service,
        r.address,
        r.domain,
        r.slots,
        r.state,
        r.spot,
        r.leavesMs,
        r.version,
        r.coldLeftMs,
        r.reportsCold,
        r.heardMs,
    )


class EndpointUpdate(NamedTuple):
    """Message ``EndpointUpdate`` of the schema."""

    records: tuple["EndpointRecord", ...] = ()
    whole: bool = False


def _write_endpoint_update(b: Any, m: EndpointUpdate) -> None:
    items = b.init("records", len(m.records))
    for i, item in enumerate(m.records):
        _write_endpoint_record(items[i], item)
    b.whole = m.whole


def _read_endpoint_update(r: Any) -> EndpointUpdate:
    return EndpointUpdate(
        tuple(_read_endpoint_record(x) for x in r.records),
        r.whole,
    )


class CustomerCount(NamedTuple):
    """Message ``CustomerCount`` of the schema."""

    customer: str = ""
    requests: int = 0


def _write_customer_count(b: Any, m: CustomerCount) -> None:
    b.customer = m.customer
    b.requests = m.requests


def _read_customer_count(r: Any) -> CustomerCount:
    return CustomerCount(
        r.customer,
        r.requests,
    )


class WindowTally(NamedTuple):
    """Message ``WindowTally`` of the schema."""

    edge: str = ""
    incarnation: int = 0
    window: int = 0
    counts: tuple["CustomerCount", ...] = ()


def _write_window_tally(b: Any, m: WindowTally) -> None:
    b.edge = m.edge
    b.incarnation = m.incarnation
    b.window = m.window
    items = b.init("counts", len(m.counts))
    for i, item in enumerate(m.counts):
        _write_customer_count(items[i], item)


def _read_window_tally(r: Any) -> WindowTally:
    return WindowTally(
        r.edge,
        r.incarnation,
        r.window,
        tuple(_read_customer_count(x) for x in r.counts),
    )


class TallyBatch(NamedTuple):
    """Message ``TallyBatch`` of the schema."""

    tallies: tuple["WindowTally", ...] = ()


def _write_tally_batch(b: Any, m: TallyBatch) -> None:
    items = b.init("tallies", len(m.tallies))
    for i, item in enumerate(m.tallies):
        _write_window_tally(items[i], item)


def _read_tally_batch(r: Any) -> TallyBatch:
    return TallyBatch(
        tuple(_read_window_tally(x) for x in r.tallies),
    )


class SealWindow(NamedTuple):
    """Message ``SealWindow`` of the schema."""

    window: int = 0
    counts: tuple["CustomerCount", ...] = ()


def _write_seal_window(b: Any, m: SealWindow) -> None:
    b.window = m.window
    items = b.init("counts", len(m.counts))
    for i, item in enumerate(m.counts):
        _write_customer_count(items[i], item)


def _read_seal_window(r: Any) -> SealWindow:
    return SealWindow(
        r.window,
        tuple(_read_customer_count(x) for x in r.counts),
    )


class WindowDone(NamedTuple):
    """Message ``WindowDone`` of the schema."""

    window: int = 0


def _write_window_done(b: Any, m: WindowDone) -> None:
    b.window = m.window


def _read_window_done(r: Any) -> WindowDone:
    return WindowDone(
        r.window,
    )


class ServiceDemand(NamedTuple):
    """Message ``ServiceDemand`` of the schema."""

    service: str = ""
    running: int = 0


def _write_service_demand(b: Any, m: ServiceDemand) -> None:
    b.service = m.service
    b.running = m.running


def _read_service_demand(r: Any) -> ServiceDemand:
    return ServiceDemand(
        r.service,
        r.running,
    )


class EndpointLoad(NamedTuple):
    """Message ``EndpointLoad`` of the schema."""

    id: str = ""
    running: int = 0
    reading: int = 0


def _write_endpoint_load(b: Any, m: EndpointLoad) -> None:
    b.id = m.id
    b.running = m.running
    b.reading = m.reading


def _read_endpoint_load(r: Any) -> EndpointLoad:
    return EndpointLoad(
        r.id,
        r.running,
        r.reading,
    )


class PartRead(NamedTuple):
    """Message ``PartRead`` of the schema."""

    endpoint: str = ""
    part: str = ""
    tokens: int = 0


def _write_part_read(b: Any, m: PartRead) -> None:
    b.endpoint = m.endpoint
    b.part = m.part
    b.tokens = m.tokens


def _read_part_read(r: Any) -> PartRead:
    return PartRead(
        r.endpoint,
        r.part,
        r.tokens,
    )


class PartsRead(NamedTuple):
    """Message ``PartsRead`` of the schema."""

    parts: tuple["PartRead", ...] = ()


def _write_parts_read(b: Any, m: PartsRead) -> None:
    items = b.init("parts", len(m.parts))
    for i, item in enumerate(m.parts):
        _write_part_read(items[i], item)


def _read_parts_read(r: Any) -> PartsRead:
    return PartsRead(
        tuple(_read_part_read(x) for x in r.parts),
    )


class LoadReport(NamedTuple):
    """Message ``LoadReport`` of the schema."""

    sequence: int = 0
    demands: tuple["ServiceDemand", ...] = ()
    loads: tuple["EndpointLoad", ...] = ()
    tiers: tuple["TierDemand", ...] = ()


def _write_load_report(b: Any, m: LoadReport) -> None:
    b.sequence = m.sequence
    items = b.init("demands", len(m.demands))
    for i, item in enumerate(m.demands):
        _write_service_demand(items[i], item)
    items = b.init("loads", len(m.loads))
    for i, item in enumerate(m.loads):
        _write_endpoint_load(items[i], item)
    items = b.init("tiers", len(m.tiers))
    for i, item in enumerate(m.tiers):
        _write_tier_demand(items[i], item)


def _read_load_report(r: Any) -> LoadReport:
    return LoadReport(
        r.sequence,
        tuple(_read_service_demand(x) for x in r.demands),
        tuple(_read_endpoint_load(x) for x in r.loads),
        tuple(_read_tier_demand(x) for x in r.tiers),
    )


class PartFinding(NamedTuple):
    """Message ``PartFinding`` of the schema."""

    finding: str = ""
    endpoint: str = ""
    born: int = 0
    parts: tuple[str, ...] = ()
    sent_ms: int = 0
    broken_ms: int = 0
    age_ms: int = 0


def _write_part_finding(b: Any, m: PartFinding) -> None:
    b.finding = m.finding
    b.endpoint = m.endpoint
    b.born = m.born
    b.parts = list(m.parts)
    b.sentMs = m.sent_ms
    b.brokenMs = m.broken_ms
    b.ageMs = m.age_ms


def _read_part_finding(r: Any) -> PartFinding:
    return PartFinding(
        r.finding,
        r.endpoint,
        r.born,
        tuple(r.parts),
        r.sentMs,
        r.brokenMs,
        r.ageMs,
    )


class PartFindings(NamedTuple):
    """Message ``PartFindings`` of the schema."""

    findings: tuple["PartFinding", ...] = ()


def _write_part_findings(b: Any, m: PartFindings) -> None:
    items = b.init("findings", len(m.findings))
    for i, item in enumerate(m.findings):
        _write_part_finding(items[i], item)


def _read_part_findings(r: Any) -> PartFindings:
    return PartFindings(
        tuple(_read_part_finding(x) for x in r.findings),
    )


class PartVerdict(NamedTuple):
    """Message ``PartVerdict`` of the schema."""

    part: str = ""
    until_ms: int = 0
    decided_ms: int = 0


def _write_part_verdict(b: Any, m: PartVerdict) -> None:
    b.part = m.part
    b.untilMs = m.until_ms
    b.decidedMs = m.decided_ms


def _read_part_verdict(r: Any) -> PartVerdict:
    return PartVerdict(
        r.part,
        r.untilMs,
        r.decidedMs,
    )


class EndpointLimit(NamedTuple):
    """Message ``EndpointLimit`` of the schema."""

    endpoint: str = ""
    born: int = 0
    milli_per_s: int = 0
    said_ms: int = 0
    permits: int = 0
    cold: bool = False
    cold_since_ms: int = 0
    asked_ms: int = 0
    age_ms: int = 0


def _write_endpoint_limit(b: Any, m: EndpointLimit) -> None:
    b.endpoint = m.endpoint
    b.born = m.born
    b.milliPerS = m.milli_per_s
    b.saidMs = m.said_ms
    b.permits = m.permits
    b.cold = m.cold
    b.coldSinceMs = m.cold_since_ms
    b.askedMs = m.asked_ms
    b.ageMs = m.age_ms


def _read_endpoint_limit(r: Any) -> EndpointLimit:
    return EndpointLimit(
        r.endpoint,
        r.born,
        r.milliPerS,
        r.saidMs,
        r.permits,
        r.cold,
        r.coldSinceMs,
        r.askedMs,
        r.ageMs,
    )


class EndpointLimits(NamedTuple):
    """Message ``EndpointLimits`` of the schema."""

    limits: tuple["EndpointLimit", ...] = ()


def _write_endpoint_limits(b: Any, m: EndpointLimits) -> None:
    items = b.init("limits", len(m.limits))
    for i, item in enumerate(m.limits):
        _write_endpoint_limit(items[i], item)


def _read_endpoint_limits(r: Any) -> EndpointLimits:
    return EndpointLimits(
        tuple(_read_endpoint_limit(x) for x in r.limits),
    )


class PermitRequest(NamedTuple):
    """Message ``PermitRequest`` of the schema."""

    limits: tuple["EndpointLimit", ...] = ()


def _write_permit_request(b: Any, m: PermitRequest) -> None:
    items = b.init("limits", len(m.limits))
    for i, item in enumerate(m.limits):
        _write_endpoint_limit(items[i], item)


def _read_permit_request(r: Any) -> PermitRequest:
    return PermitRequest(
        tuple(_read_endpoint_limit(x) for x in r.limits),
    )


class PermitGrant(NamedTuple):
    """Message ``PermitGrant`` of the schema."""

    limits: tuple["EndpointLimit", ...] = ()


def _write_permit_grant(b: Any, m: PermitGrant) -> None:
    items = b.init("limits", len(m.limits))
    for i, item in enumerate(m.limits):
        _write_endpoint_limit(items[i], item)


def _read_permit_grant(r: Any) -> PermitGrant:
    return PermitGrant(
        tuple(_read_endpoint_limit(x) for x in r.limits),
    )


class StreamOrigin(NamedTuple):
    """Message ``StreamOrigin`` of the schema."""

    stream: str = ""
    service: str = ""
    version: str = ""
    ttl_ms: int = 0


def _write_stream_origin(b: Any, m: StreamOrigin) -> None:
    b.stream = m.stream
    b.service = m.service
    b.version = m.version
    b.ttlMs = m.ttl_ms


def _read_stream_origin(r: Any) -> StreamOrigin:
    return StreamOrigin(
        r.stream,
        r.service,
        r.version,
        r.ttlMs,
    )


class StreamOrigins(NamedTuple):
    """Message ``StreamOrigins`` of the schema."""

    origins: tuple["StreamOrigin", ...] = ()


def _write_stream_origins(b: Any, m: StreamOrigins) -> None:
    items = b.init("origins", len(m.origins))
    for i, item in enumerate(m.origins):
        _write_stream_origin(items[i], item)


def _read_stream_origins(r: Any) -> StreamOrigins:
    return StreamOrigins(
        tuple(_read_stream_origin(x) for x in r.origins),
    )


class OriginRequest(NamedTuple):
    """Message ``OriginRequest`` of the schema."""

    streams: tuple[str, ...] = ()


def _write_origin_request(b: Any, m: OriginRequest) -> None:
    b.streams = list(m.streams)


def _read_origin_request(r: Any) -> OriginRequest:
    return OriginRequest(
        tuple(r.streams),
    )


class HelperEdge(NamedTuple):
    """Message ``HelperEdge`` of the schema."""

    front: str = ""
    domain: str = ""
    token: str = ""
    unreachable: tuple[str, ...] = ()


def _write_helper_edge(b: Any, m: HelperEdge) -> None:
    b.front = m.front
    b.domain = m.domain
    b.token = m.token
    b.unreachable = list(m.unreachable)


def _read_helper_edge(r: Any) -> HelperEdge:
    return HelperEdge(
        r.front,
        r.domain,
        r.token,
        tuple(r.unreachable),
    )


class HelperRequest(NamedTuple):
    """Message ``HelperRequest`` of the schema."""

    domain: str = ""


def _write_helper_request(b: Any, m: HelperRequest) -> None:
    b.domain = m.domain


def _read_helper_request(r: Any) -> HelperRequest:
    return HelperRequest(
        r.domain,
    )


class HelperReply(NamedTuple):
    """Message ``HelperReply`` of the schema."""

    helpers: tuple["HelperEdge", ...] = ()


def _write_helper_reply(b: Any, m: HelperReply) -> None:
    items = b.init("helpers", len(m.helpers))
    for i, item in enumerate(m.helpers):
        _write_helper_edge(items[i], item)


def _read_helper_reply(r: Any) -> HelperReply:
    return HelperReply(
        tuple(_read_helper_edge(x) for x in r.helpers),
    )


class KnownEdge(NamedTuple):
    """Message ``KnownEdge`` of the schema."""

    name: str = ""
    silent_ms: int = 0


def _write_known_edge(b: Any, m: KnownEdge) -> None:
    b.name = m.name
    b.silentMs = m.silent_ms


def _read_known_edge(r: Any) -> KnownEdge:
    return KnownEdge(
        r.name,
        r.silentMs,
    )


class KnownEdges(NamedTuple):
    """Message ``KnownEdges`` of the schema."""

    edges: tuple["KnownEdge", ...] = ()


def _write_known_edges(b: Any, m: KnownEdges) -> None:
    items = b.init("edges", len(m.edges))
    for i, item in enumerate(m.edges):
        _write_known_edge(items[i], item)


def _read_known_edges(r: Any) -> KnownEdges:
    return KnownEdges(
        tuple(_read_known_edge(x) for x in r.edges),
    )


class TierDemand(NamedTuple):
    """Message ``TierDemand`` of the schema."""

    service: str = ""
    tier: int = 0
    milli_work: int = 0
    unanswered: int = 0


def _write_tier_demand(b: Any, m: TierDemand) -> None:
    b.service = m.service
    b.tier = m.tier
    b.milliWork = m.milli_work
    b.unanswered = m.unanswered


def _read_tier_demand(r: Any) -> TierDemand:
    return TierDemand(
        r.service,
        r.tier,
        r.milliWork,
        r.unanswered,
    )


class TableRequest(NamedTuple):
    """Message ``TableRequest`` of the schema."""

    version: int = 0
    checksum: int = 0
    offset: int = 0


def _write_table_request(b: Any, m: TableRequest) -> None:
    b.version = m.version
    b.checksum = m.checksum
    b.offset = m.offset


def _read_table_request(r: Any) -> TableRequest:
    return TableRequest(
        r.version,
        r.checksum,
        r.offset,
    )


class TablePiece(NamedTuple):
    """Message ``TablePiece`` of the schema."""

    version: int = 0
    checksum: int = 0
    offset: int = 0
    total: int = 0
    size: int = 0
    data: bytes = b""


def _write_table_piece(b: Any, m: TablePiece) -> None:
    b.version = m.version
    b.checksum = m.checksum
    b.offset = m.offset
    b.total = m.total
    b.size = m.size
    b.data = m.data


def _read_table_piece(r: Any) -> TablePiece:
    return TablePiece(
        r.version,
        r.checksum,
        r.offset,
        r.total,
        r.size,
        bytes(r.data),
    )


class Unsubscribe(NamedTuple):
    """Message ``Unsubscribe`` of the schema."""

    control: str = ""


def _write_unsubscribe(b: Any, m: Unsubscribe) -> None:
    b.control = m.control


def _read_unsubscribe(r: Any) -> Unsubscribe:
    return Unsubscribe(
        r.control,
    )


_CODECS: dict[type, tuple[Any, Any, Any]] = {
    Hello: (_capnp.Hello, _write_hello, _read_hello),
    Challenge: (_capnp.Challenge, _write_challenge, _read_challenge),
    Welcome: (_capnp.Welcome, _write_welcome, _read_welcome),
    Entry: (_capnp.Entry, _write_entry, _read_entry),
    HardState: (_capnp.HardState, _write_hard_state, _read_hard_state),
    Identity: (_capnp.Identity, _write_identity, _read_identity),
    SnapshotMeta: (
        _capnp.SnapshotMeta,
        _write_snapshot_meta,
        _read_snapshot_meta,
    ),
    VoteRequest: (_capnp.VoteRequest, _write_vote_request, _read_vote_request),
    VoteReply: (_capnp.VoteReply, _write_vote_reply, _read_vote_reply),
    Append: (_capnp.Append, _write_append, _read_append),
    AppendReply: (_capnp.AppendReply, _write_append_reply, _read_append_reply),
    SnapshotChunk: (
        _capnp.SnapshotChunk,
        _write_snapshot_chunk,
        _read_snapshot_chunk,
    ),
    SnapshotReply: (
        _capnp.SnapshotReply,
        _write_snapshot_reply,
        _read_snapshot_reply,
    ),
    HandOver: (_capnp.HandOver, _write_hand_over, _read_hand_over),
    ReplicaMessage: (
        _capnp.ReplicaMessage,
        _write_replica_message,
        _read_replica_message,
    ),
    Row: (_capnp.Row, _write_row, _read_row),
    Edit: (_capnp.Edit, _write_edit, _read_edit),
    EditResult: (_capnp.EditResult, _write_edit_result, _read_edit_result),
    Withdrawal: (_capnp.Withdrawal, _write_withdrawal, _read_withdrawal),
    WithdrawalBatch: (
        _capnp.WithdrawalBatch,
        _write_withdrawal_batch,
        _read_withdrawal_batch,
    ),
    Claim: (_capnp.Claim, _write_claim, _read_claim),
    ClaimRelease: (
        _capnp.ClaimRelease,
        _write_claim_release,
        _read_claim_release,
    ),
    ClaimOutcome: (
        _capnp.ClaimOutcome,
        _write_claim_outcome,
        _read_claim_outcome,
    ),
    UsageRow: (_capnp.UsageRow, _write_usage_row, _read_usage_row),
    UsageBatch: (_capnp.UsageBatch, _write_usage_batch, _read_usage_batch),
    CloseWindow: (_capnp.CloseWindow, _write_close_window, _read_close_window),
    Window: (_capnp.Window, _write_window, _read_window),
    WindowReported: (
        _capnp.WindowReported,
        _write_window_reported,
        _read_window_reported,
    ),
    Order: (_capnp.Order, _write_order, _read_order),
    OrderDone: (_capnp.OrderDone, _write_order_done, _read_order_done),
    Membership: (_capnp.Membership, _write_membership, _read_membership),
    BatchMark: (_capnp.BatchMark, _write_batch_mark, _read_batch_mark),
    StateImage: (_capnp.StateImage, _write_state_image, _read_state_image),
    Proposal: (_capnp.Proposal, _write_proposal, _read_proposal),
    ProposalReply: (
        _capnp.ProposalReply,
        _write_proposal_reply,
        _read_proposal_reply,
    ),
    EndpointCount: (
        _capnp.EndpointCount,
        _write_endpoint_count,
        _read_endpoint_count,
    ),
    Demand: (_capnp.Demand, _write_demand, _read_demand),
    Heartbeat: (_capnp.Heartbeat, _write_heartbeat, _read_heartbeat),
    Announcement: (
        _capnp.Announcement,
        _write_announcement,
        _read_announcement,
    ),
    AnnouncementBatch: (
        _capnp.AnnouncementBatch,
        _write_announcement_batch,
        _read_announcement_batch,
    ),
    RowsRequest: (_capnp.RowsRequest, _write_rows_request, _read_rows_request),
    RowsReply: (_capnp.RowsReply, _write_rows_reply, _read_rows_reply),
    WithdrawalsRequest: (
        _capnp.WithdrawalsRequest,
        _write_withdrawals_request,
        _read_withdrawals_request,
    ),
    Refresh: (_capnp.Refresh, _write_refresh, _read_refresh),
    RefreshReply: (
        _capnp.RefreshReply,
        _write_refresh_reply,
        _read_refresh_reply,
    ),
    WaitingCount: (
        _capnp.WaitingCount,
        _write_waiting_count,
        _read_waiting_count,
    ),
    Ping: (_capnp.Ping, _write_ping, _read_ping),
    Pong: (_capnp.Pong, _write_pong, _read_pong),
    Presence: (_capnp.Presence, _write_presence, _read_presence),
    ControlStatus: (
        _capnp.ControlStatus,
        _write_control_status,
        _read_control_status,
    ),
    Subscribe: (_capnp.Subscribe, _write_subscribe, _read_subscribe),
    Table: (_capnp.Table, _write_table, _read_table),
    TableResult: (_capnp.TableResult, _write_table_result, _read_table_result),
    ReadRequest: (_capnp.ReadRequest, _write_read_request, _read_read_request),
    ReadReply: (_capnp.ReadReply, _write_read_reply, _read_read_reply),
    EndpointRecord: (
        _capnp.EndpointRecord,
        _write_endpoint_record,
        _read_endpoint_record,
    ),
    EndpointUpdate: (
        _capnp.EndpointUpdate,
        _write_endpoint_update,
        _read_endpoint_update,
    ),
    CustomerCount: (
        _capnp.CustomerCount,
        _write_customer_count,
        _read_customer_count,
    ),
    WindowTally: (_capnp.WindowTally, _write_window_tally, _read_window_tally),
    TallyBatch: (_capnp.TallyBatch, _write_tally_batch, _read_tally_batch),
    SealWindow: (_capnp.SealWindow, _write_seal_window, _read_seal_window),
    WindowDone: (_capnp.WindowDone, _write_window_done, _read_window_done),
    ServiceDemand: (
        _capnp.ServiceDemand,
        _write_service_demand,
        _read_service_demand,
    ),
    EndpointLoad: (
        _capnp.EndpointLoad,
        _write_endpoint_load,
        _read_endpoint_load,
    ),
    PartRead: (_capnp.PartRead, _write_part_read, _read_part_read),
    PartsRead: (_capnp.PartsRead, _write_parts_read, _read_parts_read),
    LoadReport: (_capnp.LoadReport, _write_load_report, _read_load_report),
    PartFinding: (_capnp.PartFinding, _write_part_finding, _read_part_finding),
    PartFindings: (
        _capnp.PartFindings,
        _write_part_findings,
        _read_part_findings,
    ),
    PartVerdict: (_capnp.PartVerdict, _write_part_verdict, _read_part_verdict),
    EndpointLimit: (
        _capnp.EndpointLimit,
        _write_endpoint_limit,
        _read_endpoint_limit,
    ),
    EndpointLimits: (
        _capnp.EndpointLimits,
        _write_endpoint_limits,
        _read_endpoint_limits,
    ),
    PermitRequest: (
        _capnp.PermitRequest,
        _write_permit_request,
        _read_permit_request,
    ),
    PermitGrant: (_capnp.PermitGrant, _write_permit_grant, _read_permit_grant),
    StreamOrigin: (
        _capnp.StreamOrigin,
        _write_stream_origin,
        _read_stream_origin,
    ),
    StreamOrigins: (
        _capnp.StreamOrigins,
        _write_stream_origins,
        _read_stream_origins,
    ),
    OriginRequest: (
        _capnp.OriginRequest,
        _write_origin_request,
        _read_origin_request,
    ),
    HelperEdge: (_capnp.HelperEdge, _write_helper_edge, _read_helper_edge),
    HelperRequest: (
        _capnp.HelperRequest,
        _write_helper_request,
        _read_helper_request,
    ),
    HelperReply: (_capnp.HelperReply, _write_helper_reply, _read_helper_reply),
    KnownEdge: (_capnp.KnownEdge, _write_known_edge, _read_known_edge),
    KnownEdges: (_capnp.KnownEdges, _write_known_edges, _read_known_edges),
    TierDemand: (_capnp.TierDemand, _write_tier_demand, _read_tier_demand),
    TableRequest: (
        _capnp.TableRequest,
        _write_table_request,
        _read_table_request,
    ),
    TablePiece: (_capnp.TablePiece, _write_table_piece, _read_table_piece),
    Unsubscribe: (_capnp.Unsubscribe, _write_unsubscribe, _read_unsubscribe),
}

KINDS: dict[int, type] = {
    1: Hello,
    2: Challenge,
    3: Welcome,
    4: Entry,
    5: HardState,
    6: Identity,
    7: SnapshotMeta,
    8: VoteRequest,
    9: VoteReply,
    10: Append,
    11: AppendReply,
    12: SnapshotChunk,
    13: SnapshotReply,
    14: HandOver,
    15: ReplicaMessage,
    16: Row,
    17: Edit,
    18: EditResult,
    19: Withdrawal,
    20: WithdrawalBatch,
    21: Claim,
    22: ClaimRelease,
    23: ClaimOutcome,
    24: UsageRow,
    25: UsageBatch,
    26: CloseWindow,
    27: Window,
    28: WindowReported,
    29: Order,
    30: OrderDone,
    31: Membership,
    32: BatchMark,
    33: StateImage,
    34: Proposal,
    35: ProposalReply,
    36: EndpointCount,
    37: Demand,
    38: Heartbeat,
    39: Announcement,
    40: AnnouncementBatch,
    41: RowsRequest,
    42: RowsReply,
    43: WithdrawalsRequest,
    44: Refresh,
    45: RefreshReply,
    46: WaitingCount,
    47: Ping,
    48: Pong,
    49: Presence,
    50: ControlStatus,
    51: Subscribe,
    52: Table,
    53: TableResult,
    54: ReadRequest,
    55: ReadReply,
    56: EndpointRecord,
    57: EndpointUpdate,
    58: CustomerCount,
    59: WindowTally,
    60: TallyBatch,
    61: SealWindow,
    62: WindowDone,
    63: ServiceDemand,
    64: EndpointLoad,
    65: PartRead,
    66: PartsRead,
    67: LoadReport,
    68: PartFinding,
    69: PartFindings,
    70: PartVerdict,
    71: EndpointLimit,
    72: EndpointLimits,
    73: PermitRequest,
    74: PermitGrant,
    75: StreamOrigin,
    76: StreamOrigins,
    77: OriginRequest,
    78: HelperEdge,
    79: HelperRequest,
    80: HelperReply,
    81: KnownEdge,
    82: KnownEdges,
    83: TierDemand,
    84: TableRequest,
    85: TablePiece,
    86: Unsubscribe,
}

NUMBERS = {kind: n for n, kind in KINDS.items()}
BY_NAME = {kind.__name__: kind for kind in NUMBERS}


def encode(message: Any) -> bytes:
    """Return the packed bytes of a message.

    Args:
        message: one of the ``NamedTuple`` types of this module.

    Returns:
        Packed Cap'n Proto bytes, without a length or a kind.

    Raises:
        MessageError: a text is not Unicode, a number is out of its range,
            or a value has another type.
    """
    struct, write, _ = _CODECS[type(message)]
    builder = struct.new_message()
    try:
        write(builder, message)
    except (ValueError, TypeError, OverflowError, capnp.KjException) as exc:
        kind = type(message).__name__
        raise errors.MessageError(str(exc), kind) from exc
    return builder.to_bytes_packed()


def decode(kind: type, data: bytes) -> Any:
    """Return the message of a type that packed bytes hold.

    Args:
        kind: the ``NamedTuple`` type expected.
        data: packed bytes made by ``encode``.

    Returns:
        An instance of ``kind``.

    Raises:
        ValueError: the bytes do not hold such a message.
    """
    struct, _, read = _CODECS[kind]
    try:
        reader = struct.from_bytes_packed(
            data, traversal_limit_in_words=_READ_LIMIT_WORDS
        )
        return read(reader)
    except (capnp.KjException, UnicodeDecodeError) as exc:
        raise ValueError(f"not a {kind.__name__}: {exc}") from exc


__all__ = [
    "Announcement",
    "AnnouncementBatch",
    "Append",
    "AppendReply",
    "BatchMark",
    "Challenge",
    "Claim",
    "ClaimOutcome",
    "ClaimRelease",
    "CloseWindow",
    "ControlStatus",
    "CustomerCount",
    "Demand",
    "Edit",
    "EditResult",
    "EndpointCount",
    "EndpointLimit",
    "EndpointLimits",
    "EndpointLoad",
    "EndpointRecord",
    "EndpointUpdate",
    "Entry",
    "HandOver",
    "HardState",
    "Heartbeat",
    "Hello",
    "HelperEdge",
    "HelperReply",
    "HelperRequest",
    "Identity",
    "KINDS",
    "KnownEdge",
    "KnownEdges",
    "LoadReport",
    "Membership",
    "NUMBERS",
    "Order",
    "OrderDone",
    "OriginRequest",
    "PartFinding",
    "PartFindings",
    "PartRead",
    "PartVerdict",
    "PartsRead",
    "PermitGrant",
    "PermitRequest",
    "Ping",
    "Pong",
    "Presence",
    "Proposal",
    "ProposalReply",
    "ReadReply",
    "ReadRequest",
    "Refresh",
    "RefreshReply",
    "ReplicaMessage",
    "Row",
    "RowsReply",
    "RowsRequest",
    "SealWindow",
    "ServiceDemand",
    "SnapshotChunk",
    "SnapshotMeta",
    "SnapshotReply",
    "StateImage",
    "StreamOrigin",
    "StreamOrigins",
    "Subscribe",
    "Table",
    "TablePiece",
    "TableRequest",
    "TableResult",
    "TallyBatch",
    "TierDemand",
    "Unsubscribe",
    "UsageBatch",
    "UsageRow",
    "VoteReply",
    "VoteRequest",
    "WaitingCount",
    "Welcome",
    "Window",
    "WindowDone",
    "WindowReported",
    "WindowTally",
    "Withdrawal",
    "WithdrawalBatch",
    "WithdrawalsRequest",
    "decode",
    "encode",
    "BY_NAME",
]
