@0xd1f6a3b87c5e9021;
# Every message between processes and every log record. Times are in
# milliseconds unless a name says otherwise. Fields are only ever added.

# --- links ---------------------------------------------------------------

struct Hello {
  sender @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt16;
  nonce @3 :Data;
  proof @4 :Data;
  cluster @5 :Text;
}

struct Challenge {
  nonce @0 :Data;
}

struct Welcome {
  proof @0 :Data;
  version @1 :UInt16;
}

# --- log -----------------------------------------------------------------

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;
  body @3 :Data;
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :Text;
  commit @2 :UInt64;
}

struct Identity {
  cluster @0 :Text;
  name @1 :Text;
  replica @2 :Text;
}

struct SnapshotMeta {
  index @0 :UInt64;
  term @1 :UInt64;
  voters @2 :List(Text);
  learners @3 :List(Text);
  body @4 :Data;
}

# --- consensus -----------------------------------------------------------

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  pre @3 :Bool;
  handOver @4 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  pre @2 :Bool;
}

struct Append {
  term @0 :UInt64;
  prevIndex @1 :UInt64;
  prevTerm @2 :UInt64;
  commit @3 :UInt64;
  sentMs @4 :UInt64;
  entries @5 :List(Entry);
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  sentMs @3 :UInt64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  index @1 :UInt64;
  lastTerm @2 :UInt64;
  offset @3 :UInt64;
  total @4 :UInt64;
  data @5 :Data;
  sentMs @6 :UInt64;
}

struct SnapshotReply {
  term @0 :UInt64;
  index @1 :UInt64;
  received @2 :UInt64;
  sentMs @3 :UInt64;
}

struct HandOver {
  term @0 :UInt64;
}

struct ReplicaMessage {
  cluster @0 :Text;
  sender @1 :Text;
  target @2 :Text;
  kind @3 :UInt16;
  body @4 :Data;
}

# --- commands (log entry bodies) -----------------------------------------

struct Row {
  table @0 :Text;
  key @1 :Text;
  value @2 :Text;
  version @3 :UInt64;
  deleted @4 :Bool;
}

struct Edit {
  editId @0 :Text;
  baseVersion @1 :UInt64;
  operator @2 :Text;
  rows @3 :List(Row);
}

struct EditResult {
  editId @0 :Text;
  accepted @1 :Bool;
  version @2 :UInt64;
  conflicts @3 :List(Row);
}

struct Withdrawal {
  keyHash @0 :Text;
  operator @1 :Text;
  atMs @2 :UInt64;
}

struct WithdrawalBatch {
  withdrawals @0 :List(Withdrawal);
}

struct Claim {
  claimId @0 :Text;
  customer @1 :Text;
  idempotencyKey @2 :Text;
  fingerprint @3 :Text;
  holder @4 :Text;
  incarnation @5 :UInt64;
  state @6 :Text;
  status @7 :UInt16;
  contentType @8 :Text;
  body @9 :Data;
  index @10 :UInt64;
}

struct ClaimRelease {
  claimId @0 :Text;
}

struct ClaimOutcome {
  claimId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  known @4 :Bool;
}

struct UsageRow {
  customer @0 :Text;
  className @1 :Text;
  requests @2 :UInt64;
  promptTokens @3 :UInt64;
  outputTokens @4 :UInt64;
  correctsWindow @5 :UInt64;
}

struct UsageBatch {
  gateway @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  window @3 :UInt64;
  rows @4 :List(UsageRow);
}

struct CloseWindow {
  window @0 :UInt64;
}

struct Window {
  window @0 :UInt64;
  state @1 :Text;
  rows @2 :List(UsageRow);
}

struct WindowReported {
  window @0 :UInt64;
  customer @1 :Text;
}

struct Order {
  orderId @0 :Text;
  domain @1 :Text;
  verb @2 :Text;
  kind @3 :Text;
  cheap @4 :Bool;
  count @5 :UInt32;
  target @6 :Text;
  term @7 :UInt64;
  state @8 :Text;
}

struct OrderDone {
  orderId @0 :Text;
  state @1 :Text;
  detail @2 :Text;
}

struct Membership {
  voters @0 :List(Text);
  learners @1 :List(Text);
}

struct BatchMark {
  gateway @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct StateImage {
  version @0 :UInt64;
  rows @1 :List(Row);
  edits @2 :List(EditResult);
  withdrawals @3 :List(Withdrawal);
  claims @4 :List(Claim);
  released @5 :List(Text);
  windows @6 :List(Window);
  reported @7 :List(WindowReported);
  marks @8 :List(BatchMark);
  orders @9 :List(Order);
  closedThrough @10 :UInt64;
  tableVersion @11 :UInt64;
  tableBody @12 :Data;
  sealed @13 :List(SealWindow);
  done @14 :List(WindowDone);
}

# --- proposals -----------------------------------------------------------

struct Proposal {
  proposalId @0 :UInt64;
  kind @1 :Text;
  body @2 :Data;
}

struct ProposalReply {
  proposalId @0 :UInt64;
  outcome @1 :Text;
  kind @2 :Text;
  body @3 :Data;
  leader @4 :Text;
}

# --- membership and spread ------------------------------------------------

struct EndpointCount {
  endpoint @0 :Text;
  running @1 :UInt32;
  tier @2 :UInt16;
}

struct Demand {
  customer @0 :Text;
  requests @1 :Float32;
}

struct Heartbeat {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  version @2 :UInt64;
  withdrawals @3 :UInt64;
  withdrawalsDigest @4 :UInt64;
  leader @5 :Text;
  term @6 :UInt64;
  leaving @7 :Bool;
  counts @8 :List(EndpointCount);
  demand @9 :List(Demand);
  echo @10 :UInt64;
  replicaState @11 :Text;
  replicaId @12 :Text;
  waiting @13 :List(WaitingCount);
  allCounts @14 :Bool;
}

struct Announcement {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  address @3 :Text;
  domain @4 :Text;
  kind @5 :Text;
  models @6 :List(Text);
  slots @7 :UInt32;
  cheap @8 :Bool;
  running @9 :UInt32;
  waiting @10 :UInt32;
  leaving @11 :Bool;
  reclaimed @12 :Bool;
  prefixes @13 :List(Text);
  fenced @14 :Bool;
  ageMs @15 :UInt64;
  resumes @16 :Bool;
  periodMs @17 :UInt32 = 1000;
}

struct AnnouncementBatch {
  announcements @0 :List(Announcement);
}

struct RowsRequest {
  since @0 :UInt64;
  afterKey @1 :Text;
}

struct RowsReply {
  since @0 :UInt64;
  through @1 :UInt64;
  rows @2 :List(Row);
  done @3 :Bool;
  afterKey @4 :Text;
}

struct WithdrawalsRequest {
  known @0 :UInt64;
}

struct Refresh {
  nonce @0 :UInt64;
  withdrawals @1 :UInt64;
  withdrawalsDigest @2 :UInt64;
}

struct RefreshReply {
  nonce @0 :UInt64;
  version @1 :UInt64;
}

struct WaitingCount {
  pool @0 :Text;
  tier @1 :UInt16;
  customer @2 :Text;
  weight @3 :Float32;
  count @4 :UInt32;
}

# --- routed services: one table of routes under a rising version ----------

struct Ping {
  sentMs @0 :UInt64;
}

struct Pong {
  sentMs @0 :UInt64;
}

# What an instance tells its peers of itself; addresses are "ip:port".
struct Presence {
  name @0 :Text;
  link @1 :Text;
  control @2 :Text;
  domain @3 :Text;
  replica @4 :Text;
  incarnation @5 :UInt64;
  sequence @6 :UInt64;
  wallMs @7 :UInt64;
  edge @8 :Bool;
  peers @9 :List(Text);
  edges @10 :UInt32;
  leaving @11 :Bool;
}

# What a control instance tells the edges that subscribe to it.
struct ControlStatus {
  version @0 :UInt64;
  fresh @1 :Bool;
  trueMs @2 :UInt64;
  edges @3 :UInt32;
  peers @4 :List(Text);
  registry @5 :UInt64;
  domains @6 :List(Text);
  incarnation @7 :UInt64;
}

struct Subscribe {
  version @0 :UInt64;
  registry @1 :UInt64;
  wallMs @2 :UInt64;
}

struct Table {
  version @0 :UInt64;
  body @1 :Data;
}

struct TableResult {
  accepted @0 :Bool;
  version @1 :UInt64;
}

struct ReadRequest {
  number @0 :UInt64;
}

struct ReadReply {
  number @0 :UInt64;
  confirmed @1 :Bool;
  index @2 :UInt64;
}

# One start of an endpoint; ``born`` in ms since 1970 by its own clock.
struct EndpointRecord {
  id @0 :Text;
  born @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  address @4 :Text;
  domain @5 :Text;
  slots @6 :UInt32;
  state @7 :Text;
  spot @8 :Bool;
  leavesMs @9 :UInt64;
}

struct EndpointUpdate {
  records @0 :List(EndpointRecord);
  whole @1 :Bool;
}

struct CustomerCount {
  customer @0 :Text;
  requests @1 :UInt64;
}

# Requests begun in one window, as one start of an edge counted them.
struct WindowTally {
  edge @0 :Text;
  incarnation @1 :UInt64;
  window @2 :UInt64;
  counts @3 :List(CustomerCount);
}

struct TallyBatch {
  tallies @0 :List(WindowTally);
}

# A window's figures, fixed once.
struct SealWindow {
  window @0 :UInt64;
  counts @1 :List(CustomerCount);
}

struct WindowDone {
  window @0 :UInt64;
}

# How many requests of each service are under way.
struct ServiceDemand {
  service @0 :Text;
  running @1 :UInt32;
}

# What is under way at one endpoint, and prompt tokens not yet read there.
struct EndpointLoad {
  id @0 :Text;
  running @1 :UInt32;
  reading @2 :UInt32;
}

# A part of a prompt that an engine was given to read.
struct PartRead {
  endpoint @0 :Text;
  part @1 :Text;
  tokens @2 :UInt32;
}

struct PartsRead {
  parts @0 :List(PartRead);
}

# Sent by an edge: its own. Sent by a control instance to another: the sum
# over its edges; to an edge: the sum over all edges.
struct LoadReport {
  sequence @0 :UInt64;
  demands @1 :List(ServiceDemand);
  loads @2 :List(EndpointLoad);
}
