// Messages between entries. The sender and its incarnation are in the envelope, not in the messages.
// After a change: thrift --gen cpp:no_skeleton -out gen-cpp peer.thrift
// Field numbers are never reused; new fields are optional, so that two versions can run together.

namespace cpp anvilsaddle.wire

struct Incarnation {
  1: required i64 startedUnixMilliseconds
  2: required i64 random
}

struct GroupLoad {
  1: required string serviceName
  2: required string regionName
  3: required i32 shard
  4: required i32 spareSlots
  5: required i32 queued
}

struct Heartbeat {
  1: required Incarnation receiver
  2: required i32 state
  3: required i64 settingsDigest
  4: required i64 vmListRevision
  5: required list<GroupLoad> groups
}

struct LeaseClaim {
  1: required string target
  2: required i32 inFlight
}

struct LeaseRequest {
  1: required i64 requestId
  2: required list<LeaseClaim> claims
}

struct LeaseGrant {
  1: required string target
  2: required bool granted
  3: required i32 reserved
}

struct LeaseReply {
  1: required i64 requestId
  2: required list<LeaseGrant> grants
}

struct LeaseRelease {
  1: required list<LeaseClaim> claims
  2: required i64 requestId
}

struct LessorInquiry {
  1: required list<string> targets
  2: required i64 vmListRevision
}

struct CededTarget {
  1: required string target
  2: required i64 remainingUseMicroseconds
}

struct LessorCession {
  1: required list<CededTarget> targets
  2: required Incarnation lessor
}

// Exactly one field is set.
union PeerMessage {
  1: Heartbeat heartbeat
  2: LeaseRequest leaseRequest
  3: LeaseReply leaseReply
  4: LeaseRelease leaseRelease
  5: LessorInquiry lessorInquiry
  6: LessorCession lessorCession
}
