// Messages between entries. The sender and its incarnation are in the envelope, not in the messages.
// After a change: thrift --gen cpp:no_skeleton -out gen-cpp peer.thrift
// Field numbers are never reused; new fields are optional, so that two versions can run together.

namespace cpp anvilsaddle.wire

struct Member {
  // IPv4 number in network order.
  1: required i32 address
  // Index into Gossip.domains.
  2: required i16 domain
  3: required i64 incarnation
  4: required i32 beat
  5: required i8 state
}

struct Gossip {
  // Failure domains, once each.
  1: required list<string> domains
  2: required list<Member> members
}

// Exactly one field is set.
union PeerMessage {
  7: Gossip gossip
}
