@0xd6a1c7e05f2b9a43;
# Messages between doors. Every field is a hint: safety never rests on one.

interface Door {
  # What a door offers to its peers once the token was accepted.

  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  # Liveness both ways, with the revisions that each side holds.

  manifest @1 (aboveRevision :UInt64) -> (revision :UInt64, content :Data);
  # The manifest as JSON if the answering door holds a higher revision; else empty content.

  tell @2 (news :List(News)) -> ();
  # Hints that are worth telling at once.
}

interface Gate {
  # The first capability on a connection.

  enter @0 (token :Data, name :Text) -> (door :Door);
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  manifestRevision @2 :UInt64;
  stopping @3 :Bool;
  load @4 :List(TargetLoad);
  members @5 :List(Member);
}

struct Member {
  # Gossip: the newest heartbeat that the sender knows of.
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  counter @3 :UInt64;
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
  # One door's own traffic at one target.
  target @0 :Text;
  onlineInFlight @1 :UInt32;
  onlineEnvelope @2 :UInt32;
  batchInFlight @3 :UInt32;
  batchWanted @4 :UInt32;
}

struct News {
  union {
    cancelled @0 :Text;        # job id: its header says so
    suspect @1 :Suspect;       # a request that may crash targets
    leaving @2 :Text;          # target: refused connections or said that it leaves
    recall @3 :SlotChange;     # lender to borrower: at most so many batch slots
    need @4 :TargetLoad;       # borrower to lender: online rose above its share
    revision @5 :UInt64;       # a newer manifest is in force
    handedOver @6 :Text;       # job id: free to be taken now
  }
}

struct Suspect {
  fingerprint @0 :UInt64;
  deaths @1 :UInt32;
  lifted @2 :Bool;
}

struct SlotChange {
  target @0 :Text;
  batchSlots @1 :UInt32;
  epoch @2 :UInt64;
}
