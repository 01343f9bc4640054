# Messages between daemons. One frame on the wire is a little-endian 32-bit length and one Envelope.
@0xc6a2f4f1d9f0b7a3;

struct Envelope {
  id @0 :UInt64;          # pairs a reply with its request; 0 for messages without a reply
  wallMs @1 :UInt64;      # sender's hybrid logical clock, wall part
  counter @2 :UInt32;     # sender's hybrid logical clock, counter
  union {
    hello @3 :Hello;
    status @4 :Status;
    operation @5 :Operation;
    answer @6 :Answer;
    configurationRequest @7 :ConfigurationRequest;
    configurationReply @8 :ConfigurationReply;
    claim @9 :Claim;
    claimReply @10 :ClaimReply;
    seal @11 :Seal;
    sealReply @12 :SealReply;
  }
}

struct Hello {
  token @0 :Text;
  name @1 :Text;
  incarnation @2 :Text;
  wanted @3 :Text;        # incarnation that the sender expects to reach; empty for any
}

struct Load {
  runner @0 :Text;
  inFlight @1 :UInt16;
}

struct Holding {
  range @0 :UInt16;
  epoch @1 :UInt64;
}

struct Status {
  incarnation @0 :Text;
  sequence @1 :UInt64;
  configuration @2 :UInt64;
  checksum @3 :Text;
  loads @4 :List(Load);
  leaving @5 :List(Text);
  holdings @6 :List(Holding);
  stopping @7 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Operation {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  key @5 :Text;
  team @6 :Text;
  remainingS @7 :Float64;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  outcome @3 :Text;
  reason @4 :Text;
  retryAfterS @5 :Float64;
  key @7 :Text;           # key of the operation that is answered
  owner @6 :Bool;         # false: the receiver does not own the key's range and did nothing
}

struct ConfigurationRequest {
  known @0 :UInt64;
}

struct ConfigurationReply {
  value @0 :Data;         # record as encoded in the store; empty if the sender has none newer
}

struct Claim {
  range @0 :UInt16;
  epoch @1 :UInt64;
  keys @2 :List(UInt64);
  release @3 :Bool;       # the keys are recorded in the store; the witness drops them
}

struct ClaimReply {
  accepted @0 :Bool;
}

struct Seal {
  range @0 :UInt16;
  epoch @1 :UInt64;
}

struct SealReply {
  accepted @0 :Bool;
  keys @1 :List(UInt64);
}
