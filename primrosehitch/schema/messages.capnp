@0xd1f6a3b87c5e9021;
# All messages between processes and all log records. Times are in
# milliseconds unless a name says otherwise.
#
# The number of a message on a link and in the log is the position of its
# struct in this file. Structs therefore keep their order and new ones go at
# the end; fields are added and never removed.

# Handshake of a link: the accepting side sends Challenge, the connecting
# side answers with Hello and the accepting side with Welcome. Each proof is
# an HMAC over both nonces with the deployment's secret.

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

# Records of the durable log.

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;
  body @3 :Data;
}

# The hard state of a replica: its term, its vote and a durable commit index.
struct HardState {
  term @0 :UInt64;
  votedFor @1 :Text;
  commit @2 :UInt64;
}

# The owner of a data folder.
struct Identity {
  cluster @0 :Text;
  name @1 :Text;
  replica @2 :Text;
}

# A snapshot that replaces the log up to an index. The body is an encoded
# StateImage.
struct SnapshotMeta {
  index @0 :UInt64;
  term @1 :UInt64;
  voters @2 :List(Text);
  learners @3 :List(Text);
  body @4 :Data;
}

# Consensus. A reply echoes the sentMs of the message that it answers.

# Asks for a vote. pre marks the pre-vote round; handOver marks an election
# that the leader itself asked for.
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

# Sends the entries after prevIndex; without entries it is a heartbeat.
struct Append {
  term @0 :UInt64;
  prevIndex @1 :UInt64;
  prevTerm @2 :UInt64;
  commit @3 :UInt64;
  sentMs @4 :UInt64;
  entries @5 :List(Entry);
}

# Answers Append. matchIndex is the last matching entry or, without success,
# the index after which the leader tries again.
struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  sentMs @3 :UInt64;
}

# Part of an encoded SnapshotMeta. term is the leader's term; index and
# lastTerm are those of the snapshot, offset and total are in bytes.
struct SnapshotChunk {
  term @0 :UInt64;
  index @1 :UInt64;
  lastTerm @2 :UInt64;
  offset @3 :UInt64;
  total @4 :UInt64;
  data @5 :Data;
  sentMs @6 :UInt64;
}

# Answers SnapshotChunk with the number of bytes received so far.
struct SnapshotReply {
  term @0 :UInt64;
  index @1 :UInt64;
  received @2 :UInt64;
  sentMs @3 :UInt64;
}

# Transfers leadership: the receiver starts an election at once.
struct HandOver {
  term @0 :UInt64;
}

# Carries a message between replicas; kind is the number of its struct.
struct ReplicaMessage {
  cluster @0 :Text;
  sender @1 :Text;
  target @2 :Text;
  kind @3 :UInt16;
  body @4 :Data;
}

# Commands: the bodies of log entries, and the results of applying them.

# A row of an operators' table with the version that last changed it.
struct Row {
  table @0 :Text;
  key @1 :Text;
  value @2 :Text;
  version @3 :UInt64;
  deleted @4 :Bool;
}

# Replaces rows if the current version is baseVersion; the largest UInt64
# stands for any version.
struct Edit {
  editId @0 :Text;
  baseVersion @1 :UInt64;
  operator @2 :Text;
  rows @3 :List(Row);
}

# The result of an edit. conflicts holds the rows that changed after the base
# version if the edit was not accepted.
struct EditResult {
  editId @0 :Text;
  accepted @1 :Bool;
  version @2 :UInt64;
  conflicts @3 :List(Row);
}

# A key that must not be accepted again.
struct Withdrawal {
  keyHash @0 :Text;
  operator @1 :Text;
  atMs @2 :UInt64;
}

struct WithdrawalBatch {
  withdrawals @0 :List(Withdrawal);
}

# A call that may run at most once. holder and incarnation name the gateway
# that runs it; index is the last closed window when it was granted.
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

# Gives up a claim of which nothing was sent.
struct ClaimRelease {
  claimId @0 :Text;
}

# The response to a claimed call; known is false if it may have run without
# a known outcome.
struct ClaimOutcome {
  claimId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  known @4 :Bool;
}

# Usage of a customer and class in a window. correctsWindow is the closed
# window that late usage belongs to, or 0.
struct UsageRow {
  customer @0 :Text;
  className @1 :Text;
  requests @2 :UInt64;
  promptTokens @3 :UInt64;
  outputTokens @4 :UInt64;
  correctsWindow @5 :UInt64;
}

# Usage of one window as counted by a gateway. Batches of one incarnation
# are numbered, so that each is counted once.
struct UsageBatch {
  gateway @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  window @3 :UInt64;
  rows @4 :List(UsageRow);
}

# Closes all usage windows up to and including a number.
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

# A scaling order. term is the term of the leader that made it.
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

# The last usage batch counted from one incarnation of a gateway.
struct BatchMark {
  gateway @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

# The whole state machine, as stored in a snapshot.
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
  quarantined @15 :List(PartVerdict);
}

# Proposals to the leader and its replies.

struct Proposal {
  proposalId @0 :UInt64;
  kind @1 :Text;
  body @2 :Data;
}

# Answers Proposal. kind names the message type of the body; it is empty if
# there is no result.
struct ProposalReply {
  proposalId @0 :UInt64;
  outcome @1 :Text;
  kind @2 :Text;
  body @3 :Data;
  leader @4 :Text;
}

# Heartbeats, endpoint announcements and operator tables between instances.

# Requests of one tier that a gateway is running at an endpoint.
struct EndpointCount {
  endpoint @0 :Text;
  running @1 :UInt32;
  tier @2 :UInt16;
}

struct Demand {
  customer @0 :Text;
  requests @1 :Float32;
}

# The state that an instance sends to its peers at each heartbeat. allCounts
# is set if counts holds all endpoints and not only those that changed.
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

# The state that an endpoint announces; it announces itself every periodMs.
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

# Asks for the rows changed after a version.
struct RowsRequest {
  since @0 :UInt64;
  afterKey @1 :Text;
}

# Rows changed after the version in since, up to the version in through. done
# marks the last part of a reply.
struct RowsReply {
  since @0 :UInt64;
  through @1 :UInt64;
  rows @2 :List(Row);
  done @3 :Bool;
  afterKey @4 :Text;
}

# Asks for all withdrawn keys; known is the number that the sender has.
struct WithdrawalsRequest {
  known @0 :UInt64;
}

# Asks a peer for its version and for withdrawn keys that the sender lacks.
struct Refresh {
  nonce @0 :UInt64;
  withdrawals @1 :UInt64;
  withdrawalsDigest @2 :UInt64;
}

struct RefreshReply {
  nonce @0 :UInt64;
  version @1 :UInt64;
}

# Requests of a customer that wait at a gateway.
struct WaitingCount {
  pool @0 :Text;
  tier @1 :UInt16;
  customer @2 :Text;
  weight @3 :Float32;
  count @4 :UInt32;
}

# Routed services: control instances, edges and endpoints share one route
# table, whose version only increases.

struct Ping {
  sentMs @0 :UInt64;
}

struct Pong {
  sentMs @0 :UInt64;
}

# The state that a control instance sends to its peers. Addresses have the
# form "ip:port".
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
  # Digest of the sender's endpoint registry; 0 if it has none.
  registry @12 :UInt64;
  # Some of its edges that can help others.
  helpers @13 :List(HelperEdge);
  # The sender tells the names of its edges in KnownEdges.
  namesEdges @14 :Bool;
  # The sender tells its edges which failure domains are evacuated.
  evacuates @15 :Bool;
}

# The state that a control instance sends to its subscribed edges.
struct ControlStatus {
  version @0 :UInt64;
  fresh @1 :Bool;
  trueMs @2 :UInt64;
  edges @3 :UInt32;
  peers @4 :List(Text);
  registry @5 :UInt64;
  domains @6 :List(Text);
  incarnation @7 :UInt64;
  # Version of the replicated rows, and the evacuated failure domains in it;
  # 0 from an older release, which says nothing of evacuations.
  catalog @8 :UInt64;
  evacuated @9 :List(Text);
}

# The table version and registry digest that an edge has.
struct Subscribe {
  version @0 :UInt64;
  registry @1 :UInt64;
  wallMs @2 :UInt64;
  # The sender, unless it is draining.
  helpers @3 :List(HelperEdge);
  # Whether it asks for newer tables. An edge of an older release is sent each
  # table without asking.
  requestsTables @4 :Bool;
}

# A route table with its version.
struct Table {
  version @0 :UInt64;
  body @1 :Data;
}

struct TableResult {
  accepted @0 :Bool;
  version @1 :UInt64;
}

# Asks the leader for the index of a linearizable read.
struct ReadRequest {
  number @0 :UInt64;
}

# Answers ReadRequest. If confirmed is set, a replica that has applied index
# may serve the read.
struct ReadReply {
  number @0 :UInt64;
  confirmed @1 :Bool;
  index @2 :UInt64;
}

# One start of an endpoint. born is its start in ms since 1970 by its own
# clock.
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
  # Of the endpoint's software; empty if it reports none.
  version @10 :Text;
  # How long it stays cold from this report on, if it reports that.
  coldLeftMs @11 :UInt32;
  reportsCold @12 :Bool;
  # True time at which a control instance received this report; 0 from an
  # older release.
  heardMs @13 :UInt64;
}

# whole is set if records holds every endpoint that the sender knows.
struct EndpointUpdate {
  records @0 :List(EndpointRecord);
  whole @1 :Bool;
}

struct CustomerCount {
  customer @0 :Text;
  requests @1 :UInt64;
}

# Requests that began in a window, as counted by one incarnation of an edge.
struct WindowTally {
  edge @0 :Text;
  incarnation @1 :UInt64;
  window @2 :UInt64;
  counts @3 :List(CustomerCount);
}

struct TallyBatch {
  tallies @0 :List(WindowTally);
}

# Fixes the request counts of a window; the first one proposed is kept.
struct SealWindow {
  window @0 :UInt64;
  counts @1 :List(CustomerCount);
}

# Records that the platform accepted a window's counts.
struct WindowDone {
  window @0 :UInt64;
}

# The number of in-flight requests of a service.
struct ServiceDemand {
  service @0 :Text;
  running @1 :UInt32;
}

# In-flight requests at an endpoint, and prompt tokens that it has not yet
# prefilled.
struct EndpointLoad {
  id @0 :Text;
  running @1 :UInt32;
  reading @2 :UInt32;
}

# A part of a prompt that an engine was given to prefill.
struct PartRead {
  endpoint @0 :Text;
  part @1 :Text;
  tokens @2 :UInt32;
}

struct PartsRead {
  parts @0 :List(PartRead);
}

# An edge sends its own load. A control instance sends the sum over its
# edges to other control instances, and the sum over all edges to an edge.
struct LoadReport {
  sequence @0 :UInt64;
  demands @1 :List(ServiceDemand);
  loads @2 :List(EndpointLoad);
  tiers @3 :List(TierDemand);
}

# What an edge found of prompt parts and of requests, known by a fingerprint
# that stands after their parts: "crash" if they were under way at an endpoint
# that crashed, "sound" if they were answered, or "quarantined"; or "alive" of
# an endpoint that answers a request sent after its presumed crash.
struct PartFinding {
  finding @0 :Text;
  # The endpoint, and its start time.
  endpoint @1 :Text;
  born @2 :UInt64;
  parts @3 :List(Text);
  # When the request was sent to it and broke, as true time.
  sentMs @4 :UInt64;
  brokenMs @5 :UInt64;
  # How long ago it was found, if it is repeated.
  ageMs @6 :UInt64;
}

struct PartFindings {
  findings @0 :List(PartFinding);
}

# Quarantines a prompt part until a true time, or releases it if that is 0.
# decidedMs is the true time of the decision.
struct PartVerdict {
  part @0 :Text;
  untilMs @1 :UInt64;
  decidedMs @2 :UInt64;
}

# A limit on the requests that an endpoint takes from all edges together.
struct EndpointLimit {
  endpoint @0 :Text;
  born @1 :UInt64;
  # Thousandths of a request a second; 0 if the endpoint names none any more.
  milliPerS @2 :UInt64;
  # True time of the answer that says so.
  saidMs @3 :UInt64;
  # How many requests the sender asks for or permits.
  permits @4 :UInt32;
  # The endpoint counts as cold: the permits are asked for, or were issued, at
  # the rate of a cold endpoint. Without a limit, saidMs is 0.
  cold @5 :Bool;
  # True time since which it is presumed cold; 0 if its reports say so.
  coldSinceMs @6 :UInt64;
  # When the permits were asked for, by the clock of the process that asks.
  askedMs @7 :UInt64;
  # How long ago the granted permits may have been issued.
  ageMs @8 :UInt32;
}

# Limits that began, changed or ended.
struct EndpointLimits {
  limits @0 :List(EndpointLimit);
}

# An edge asks its control instance for permits to send requests to limited
# endpoints, and that instance the leader, which grants them.
struct PermitRequest {
  limits @0 :List(EndpointLimit);
}

struct PermitGrant {
  limits @0 :List(EndpointLimit);
}

# The service and software version that began a stream, which is known by a
# digest of its first attempt and the customer. A caller may resume it for
# ttlMs.
struct StreamOrigin {
  stream @0 :Text;
  service @1 :Text;
  version @2 :Text;
  ttlMs @3 :UInt64;
}

struct StreamOrigins {
  origins @0 :List(StreamOrigin);
}

# An edge asks its control instance for the origins of streams; the answer
# holds those that are known.
struct OriginRequest {
  streams @0 :List(Text);
}

# An edge that forwards requests for edges which are cut off from endpoints.
# They prove themselves to it by the token.
struct HelperEdge {
  front @0 :Text;
  domain @1 :Text;
  token @2 :Text;
  # The services that it does not reach itself.
  unreachable @3 :List(Text);
}

# An edge asks its control instance for edges that can help.
struct HelperRequest {
  domain @0 :Text;
}

struct HelperReply {
  helpers @0 :List(HelperEdge);
}

# An edge that control instances remember, and for how long none heard it.
struct KnownEdge {
  name @0 :Text;
  silentMs @1 :UInt64;
}

# Control instances tell each other which edges they serve, and those that
# join which ones they remember.
struct KnownEdges {
  edges @0 :List(KnownEdge);
}

# The demand of one tier for a service: the places of endpoints that its
# arrivals hold on average, in thousandths, and its requests without a first
# event.
struct TierDemand {
  service @0 :Text;
  tier @1 :UInt32;
  milliWork @2 :UInt32;
  unanswered @3 :UInt32;
}

# Asks a control instance for the part of an encoded route table that begins
# at an offset. version and checksum are those of the pieces that came before;
# 0 asks for the first piece of the newest table.
struct TableRequest {
  version @0 :UInt64;
  checksum @1 :UInt64;
  offset @2 :UInt64;
}

# Part of an encoded route table: the zlib stream of a Table's body. checksum
# is the XXH64 of the stream, total its length and size that of the body, both
# in bytes.
struct TablePiece {
  version @0 :UInt64;
  checksum @1 :UInt64;
  offset @2 :UInt64;
  total @3 :UInt64;
  size @4 :UInt64;
  data @5 :Data;
}

# An edge uses another control instance from now on. An older release keeps
# sending it all news until its subscription has expired.
struct Unsubscribe {
  control @0 :Text;
}
