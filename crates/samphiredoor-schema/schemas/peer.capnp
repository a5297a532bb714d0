@0xd6a1c7e05f2b9a43;
# Messages between gateways. Every field is a hint: correctness does not depend on any.
#
# `Gate` and `Door` are the calls between `samphiredoor serve` processes, `GatewayDatagram` and `FollowedNews` the
# messages between `samphiredoor gateway` processes.

interface Gate {
  # The first capability on a connection.

  enter @0 (token :Data, self :Member, door :Door) -> (self :Member, door :Door);
  # Both sides pass a `Door`, so that one connection serves calls in both directions.
}

interface Door {
  # Calls that a process offers to its peers once they have shown the token.

  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  # Shows both sides that the other one is live, and which revisions it holds.

  manifest @1 (aboveRevision :UInt64) -> (content :Data);
  # Record of the manifest as JSON if the called process has a higher revision; otherwise empty.

  tell @2 (news :List(News)) -> ();
  # Hints that are sent without waiting for the next heartbeat.

  members @3 (after :Text) -> (members :List(Member));
  # One page of the members that the called process knows, in order of their names.

  hold @4 (content :Data) -> (held :Bool);
  # Offers the record of a manifest; returns whether it, or the change that follows it directly, is active there.
}

struct Heartbeat {
  incarnation @0 :UInt64;
  renewals @1 :UInt64;
  # Renewals of the sender's lease; peers need not read the lease while they receive heartbeats.
  manifestRevision @2 :UInt64;
  membersDigest @3 :UInt64;
  # Equal for two processes that know the same members.
  changes @4 :List(Member);
  # Gossip: members that have changed recently.
}

struct Member {
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  counter @3 :UInt64;
  # Incremented when the member refutes a report of its death.
  state @4 :MemberState;
  zone @5 :Text;
  region @6 :Text;
}

enum MemberState {
  live @0;
  stopping @1;
  dead @2;
}

struct TargetLoad {
  # Requests of one process at one target.
  target @0 :Text;
  onlineInFlight @1 :UInt32;
  onlineEnvelope @2 :UInt32;
  batchInFlight @3 :UInt32;
  batchWanted @4 :UInt32;
}

struct News {
  union {
    cancelled @0 :Text;        # job ID: its header says that it was cancelled
    suspect @1 :Suspect;       # a request that may crash targets
    leaving @2 :Text;          # target: it refused connections or reported that it leaves
    recall @3 :SlotChange;     # slot allocator to leaseholder: the batch slots that it may use
    need @4 :TargetLoad;       # leaseholder to slot allocator: its own requests at the target
    revision @5 :UInt64;       # a newer manifest is active
    handedOver @6 :Text;       # job ID: it can be taken over now
    lapsed @9 :Lapse;          # the lease of a process has expired: its jobs can be taken over
  }
  origin @7 :Text;
  # Process that sent the hint to all; empty if it is for the receiver alone.
  number @8 :UInt64;
  # Sequence number of the hint at its origin, so that each process passes it on once.
}

struct Suspect {
  fingerprint @0 :UInt64;
  deaths @1 :UInt32;
  lifted @2 :Bool;
}

struct Lapse {
  process @0 :Text;
  incarnation @1 :UInt64;
}

struct SlotChange {
  target @0 :Text;
  batchSlots @1 :UInt32;
  epoch @2 :UInt64;
}

struct GatewayDatagram {
  # All datagrams between gateways.

  union {
    status @0 :GatewayStatus;
    summary @1 :CellSummary;
    runReport @2 :RunReport;
    runGrant @3 :RunGrant;
    crashReport @4 :CrashReport;
    crashVerdict @5 :CrashVerdict;
    streamOrigin @6 :StreamOrigin;
    originQuestion @7 :OriginQuestion;
    originAnswer @8 :OriginAnswer;
    trialQuestion @9 :TrialQuestion;
    trialAnswer @10 :TrialAnswer;
  }
}

struct StreamOrigin {
  # At which software version a stream was begun; for the holders of its record.

  stream @0 :UInt64;
  # Hash of the request id of the caller's attempt that brought its first event.
  service @1 :UInt64;
  # Hash of the service's name.
  version @2 :Text;
  target @3 :UInt64;
  # Hash of the target's name.
  targetStartedUnixMs @4 :UInt64;
  keepMs @5 :UInt32;
  # How long its caller may take it up.
}

struct OriginQuestion {
  # Asks a holder at which software version a stream was begun.

  stream @0 :UInt64;
  service @1 :UInt64;
  withinMs @2 :UInt32;
  # How long ago it may have begun.
}

struct OriginAnswer {
  # What a gateway knows of a stream.

  stream @0 :UInt64;
  holder @1 :UInt64;
  # Hash of the gateway's name.
  union {
    noRecord @2 :Void;
    # It has no record of it, and does not know of all versions in that time.
    soleVersion @3 :Text;
    # It has no record of it, and all targets of the service have been of this version for as long.
    ambiguous @4 :Void;
    # It is uncertain which version has begun it.
    recorded @5 :StreamOrigin;
    severalVersions @6 :Void;
    # It has no record of it, and targets of the service have been of several versions in that time.
  }
}

struct CrashReport {
  # A request that was lost together with its target, or a whole answer to one that is suspected or has a suspected part in
  # its prompt; for the coordinators of its service.

  fingerprint @0 :UInt64;
  sentAgoMs @1 :UInt32;
  lostAgoMs @2 :UInt32;
  isAnswered @3 :Bool;
  # Whether it got a whole answer; the times and the target are 0 then.
  target @4 :UInt64;
  # Hash of the target's address.
  service @5 :UInt64;
  # Hash of the service's name.
  parts @6 :List(UInt64);
  # Hashes of parts of its prompt that may be to blame, in order; of an answer, those that are suspected. The fingerprint
  # of an answer is 0 if the request itself is not suspected.
  hasFirstPart @7 :Bool;
  # Whether the first of these parts is the first of the prompt.
  ranMs @8 :UInt32;
  # Time for which it ran, as far as its gateway can tell. With isAnswered: the longest run of these suspects that its target
  # survived; 0 if there was a whole answer.
  totalRanMs @9 :UInt32;
  # With isAnswered: time without a crash at each target, added up over all of them.
  periodMs @10 :UInt32;
  # Time up to now to which totalRanMs belongs.
}

struct CrashVerdict {
  # What a coordinator tells all gateways of a request, or a part of prompts, that crashes targets.

  fingerprint @0 :UInt64;
  # Of the request, or the hash of the part.
  crashes @1 :UInt32;
  # Number of targets that it has crashed; 0 if it is cleared.
  ageMs @2 :UInt32;
  # Time since this was judged.
  service @3 :UInt64;
  # Hash of the service's name.
  isPart @4 :Bool;
  trialVersion @5 :UInt16;
  # Grows with each change of the next three fields.
  trials @6 :UInt8;
  # Number of trials that were granted, or that its quarantine began without.
  trialInMs @7 :UInt32;
  # Time until the next trial may be granted.
}

struct TrialQuestion {
  # Asks a coordinator whether a request may be sent although it, or parts of its prompt, are quarantined.

  id @0 :UInt64;
  service @1 :UInt64;
  # Hash of the service's name.
  fingerprint @2 :UInt64;
  # Of the request, if it is quarantined; 0 if not.
  parts @3 :List(UInt64);
  # Hashes of the parts that are quarantined.
  isReturned @4 :Bool;
  # Whether a granted trial is given back, as no target has run the request.
}

struct TrialAnswer {
  # A coordinator's answer to a question.

  id @0 :UInt64;
  outcome @1 :TrialOutcome;
}

enum TrialOutcome {
  denied @0;
  # Another trial is under way, or the pause after it is not over.
  granted @1;
  unknown @2;
  # The coordinator does not know of the quarantine.
}

struct RunReport {
  # Runs of one workspace at one gateway, for the coordinators of its rate limit.

  workspace @0 :UInt64;
  # Hash of the workspace's name.
  gateway @1 :UInt64;
  # Hash of the gateway's name.
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  # Sequence number of the report, for this gateway and workspace.
  used @4 :UInt32;
  # Runs since the gateway started.
  wanted @5 :UInt32;
  # Runs that it has used, and those that requests wait for.
  ratePerS @6 :Float64;
  burst @7 :Float64;
  limitVersion @8 :UInt64;
  # Version of the routes that the limit belongs to.
}

struct RunGrant {
  # A coordinator's answer to a report.

  workspace @0 :UInt64;
  coordinator @1 :UInt64;
  # Hash of the coordinator's name.
  incarnation @2 :UInt64;
  # Incarnation of the gateway that sent the report.
  sequence @3 :UInt32;
  # Sequence number of the report.
  granted @4 :UInt32;
  # Runs that the gateway may have used in total.
  retryAfterMs @5 :UInt32;
  isNew @6 :Bool;
  # Whether the coordinator may not know all runs of the last window.
}

struct CellSummary {
  # Summary that a cell sends to each other cell: sums of the statuses of its gateways.

  cell @0 :Text;
  # Name of the cell.
  forward @1 :Bool;
  # Whether the receiver passes it on to the other gateways of its own cell.
  members @2 :List(CellMember);
  # Gateways of the cell that are live.
  loads @3 :List(RequestsAtTarget);
  # Their requests at targets, without those at the targets of the receiver's cell, which gets their statuses.
  waiting @4 :List(WaitingItems);
  jobs @5 :List(JobOfMember);
  # Jobs that they have recently become the owners of.
  seen @6 :SeenChanges;
  # Newest changes that one of them has seen in the store.
  storeSilentMs @7 :UInt32;
  # Shortest time since the store last answered one of them.
  overload @8 :OverloadNews;
  # Sums and newest reports of its gateways; absent where they have none.
}

struct CellMember {
  name @0 :UInt64;
  # Hash of its name.
  incarnation @1 :UInt64;
  routesVersion @2 :UInt64;
  heardMs @3 :UInt16;
  # Age of its newest status.
  storeReached @4 :Bool;
  stopping @5 :Bool;
}

struct JobOfMember {
  member @0 :UInt16;
  # Index of the owner in the list of members.
  name @1 :Text;
}

struct GatewayStatus {
  # State of one gateway, for those of its cell and for those whose targets it uses: sent when its requests at targets
  # change, and at least twice a second.

  name @0 :Text;
  incarnation @1 :UInt64;
  routesVersion @2 :UInt64;
  # Version of its active routes, so that a peer that missed a change can fetch them.
  storeReached @3 :Bool;
  # Whether its last calls to the store were answered.
  stopping @4 :Bool;
  loads @5 :List(RequestsAtTarget);
  # Its requests at targets: all for its own cell, those at a cell's targets for another one.
  jobs @6 :List(OwnedJob);
  # Jobs that it has recently become the owner of, so that peers need not read the owner from the store.
  waiting @7 :List(WaitingItems);
  # Items that wait at it for a slot: the slots of a target are shared in proportion to them.
  seen @8 :SeenChanges;
  # Newest changes that it has seen in the store, so that a peer whose watch is stalled notices it.
  storeSilentMs @9 :UInt32;
  # Time since the store last answered it, so that a peer can tell whether it alone has lost the store.
  overload @10 :OverloadNews;
  # What overload control shares; absent where it is off or has nothing to report.
}

struct OverloadNews {
  # What overload control shares between gateways. Ages are those at the time of sending.

  speeds @0 :List(SpeedReport);
  failing @1 :List(FailingTarget);
  usage @2 :List(WorkspaceUsage);
  returns @3 :List(ExpectedReturns);
  owed @4 :List(OwedItems);
  itemRuns @5 :List(ItemRunTime);
}

struct SpeedReport {
  # How long work takes at a target, as it last reported to the sender.

  target @0 :UInt64;
  # Hash of the target's name.
  percent @1 :UInt16;
  # Duration of work, in percent of the usual one.
  ageMs @2 :UInt16;
}

struct FailingTarget {
  # A target that has failed requests of the sender.

  target @0 :UInt64;
  failures @1 :UInt16;
  # Failed attempts since the last whole answer.
  ageMs @2 :UInt16;
  # Time since the last of them.
}

struct WorkspaceUsage {
  # Online requests of one workspace at the sender.

  workspace @0 :UInt64;
  # Hash of the workspace's name.
  running @1 :UInt16;
  rejected @2 :UInt16;
  # Rejected for lack of capacity in the last second.
}

struct ExpectedReturns {
  # Callers of one service that the sender has rejected and that are expected to retry.

  service @0 :UInt64;
  # Hash of the service's name.
  callers @1 :UInt16;
  lastInMs @2 :UInt16;
  # Time until the last of them is expected.
}

struct OwedItems {
  # Unfinished batch items at the sender that are due in the same interval.

  service @0 :UInt64;
  # Hash of the service's name.
  dueInMs @1 :UInt32;
  # Time until the end of the interval; 0 for items that are overdue.
  items @2 :UInt16;
}

struct ItemRunTime {
  # How long a whole batch item of one service runs, as the sender has observed it.

  service @0 :UInt64;
  # Hash of the service's name.
  runMs @1 :UInt32;
  weight @2 :UInt16;
  # Number of runs that the mean stands for.
}

struct FollowedNews {
  # Changes of one kind from a watch relay, for a gateway that watches the store through it.

  incarnation @0 :UInt64;
  # Incarnation of the watch relay.
  outages @1 :UInt64;
  # Number of interruptions of its watch: entries of targets may have expired meanwhile.
  version @2 :UInt64;
  # Version of the store up to which all changes are included; 0 if there are none.
  isWhole @3 :Bool;
  # Whether these are all objects of the kind, not only changed ones.
  objects @4 :List(FollowedObject);
}

struct FollowedObject {
  name @0 :Text;
  version @1 :UInt64;
  isGone @2 :Bool;
  value @3 :Data;
}

struct SeenChanges {
  # Newest version of the store that was seen for each kind.

  routes @0 :UInt64;
  targets @1 :UInt64;
  gateways @2 :UInt64;
}

struct WaitingItems {
  service @0 :UInt64;
  # Hash of the service's name.
  items @1 :UInt16;
}

struct OwnedJob {
  name @0 :Text;
  items @1 :UInt32;
}

struct RequestsAtTarget {
  target @0 :UInt64;
  # Hash of the target's name.
  online @1 :UInt16;
  batch @2 :UInt16;
}
