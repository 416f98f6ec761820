// Messages between entries. The sender and its incarnation are part of the envelope, not of the
// messages.
// After a change run: thrift --gen cpp:no_skeleton -out gen-cpp peer.thrift
// Field numbers are never reused, and new fields are optional, so that entries of two versions can
// communicate.

namespace cpp anvilsaddle.wire

// Sums over responses of a service's targets. The numbers are in thousandths.
struct SaturationRecord {
  1: required string serviceName
  // True if the targets had no free slot left, false if they had few.
  2: required bool full
  3: required i32 responses
  4: required i32 slowResponses
  5: required i32 ratioSum
}

// Membership records of entries. All lists except domains have one element per record, in the same
// order.
struct Gossip {
  // Names of the failure domains, without duplicates.
  1: required list<string> domains
  // IPv4 address as an integer, delta-coded against the previous record.
  2: required list<i32> addressSteps
  // Index into domains, multiplied by 4, plus the state.
  3: required list<i16> domainsAndStates
  // Start time of the process, delta-coded against the previous record.
  4: required list<i64> incarnationSteps
  5: required list<i32> beats
  6: optional list<SaturationRecord> saturation
}

struct RevisionNotice {
  1: required i64 revision
  // Epoch of the source to which the revision belongs; 0 if it is missing.
  2: optional i64 epoch
}

// Exactly one field is set.
union PeerMessage {
  8: RevisionNotice notice
  9: Gossip gossip
}

struct WeightedService {
  1: required string serviceName
  2: required double weight
}

struct Route {
  1: required string name
  2: required string host
  3: required string prefix
  4: required bool idempotent
  5: required i64 timeoutMicroseconds
  6: required i64 objectiveMicroseconds
  7: required i32 priority
  8: required i32 maxTargets
  9: required list<WeightedService> services
  10: required list<string> homeRegions
  // Missing means false.
  12: optional bool hasLargeResponses
}

struct Service {
  1: required string name
  2: required string healthPath
  3: required double coldRate
}

struct Configuration {
  1: required i64 version
  2: required list<Route> routes
  3: required list<Service> services
  4: required i64 headBytes
  5: required i64 bodyBytes
  6: required i64 headTimeoutMicroseconds
  7: required i64 idleTimeoutMicroseconds
}

// Difference of a configuration to an earlier version.
struct ConfigurationDelta {
  1: required i64 baseVersion
  // The newer version, with the routes only that are new or have changed.
  2: required Configuration changes
  3: required list<string> removedRoutes
}

struct Target {
  1: required string name
  2: required string serviceName
  3: required string address
  4: required i32 port
  5: required string domain
  6: required i32 slots
  7: required bool draining
  8: required i64 coldMicroseconds
  9: required i64 startedUnixMilliseconds
  10: optional i64 sequence
}

struct Evacuation {
  1: required string domain
  2: required bool active
}

// Exactly one field is set.
union Publication {
  1: Configuration configuration
  2: Target registered
  3: string removed
  4: Evacuation evacuation
  // Only in responses to entries that name the version of their configuration.
  5: ConfigurationDelta configurationDelta
}

struct RevisionGap {
  1: required i64 first
  2: required i64 last
  // Epochs to which the revisions belong; 0 if they are missing.
  3: optional i64 firstEpoch
  4: optional i64 lastEpoch
}

// Response to an entry that requests the publications after a revision.
struct PublicationBatch {
  1: required bool complete
  2: required i64 since
  3: required i64 revision
  4: required i64 removalsWaitMicroseconds
  5: required list<Publication> changes
  6: optional list<RevisionGap> gaps
  // Epochs of the source to which revision and since belong; 0 if they are missing.
  7: optional i64 epoch
  8: optional i64 sinceEpoch
}
