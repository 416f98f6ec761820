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
  // Time since the revision was known to be the current one; missing if it never was.
  3: optional i32 stalenessMilliseconds
}

struct NoticeRequest {
  1: required i32 number
}

struct NoticeReply {
  // Number of the request.
  1: required i32 number
  2: required RevisionNotice notice
}

// Requests of one customer at the sender.
struct QuotaUsage {
  1: required string customer
  // Since the start of the sender, modulo 2^32.
  2: required i32 admitted
  3: required i32 requested
  // Recent ones that no earlier report contained.
  4: required i32 newlyAdmitted
  5: required i32 newlyRequested
  // Recent ones; as many as the new ones if the field is missing.
  6: optional i32 recentlyAdmitted
  7: optional i32 recentlyRequested
  // In thousandths; all requests are admitted if the field is missing.
  8: optional i32 admittedShare
}

struct QuotaReport {
  1: required i64 run
  2: required i32 sequence
  3: required i32 recentMilliseconds
  4: required list<QuotaUsage> usages
  // Missing means false.
  5: optional bool needsReply
}

// Requests of one customer at the entries that report to the sender.
struct QuotaSum {
  1: required string customer
  // Tenths of requests in slots of 250 ms, newest first.
  2: required list<i32> admitted
  3: required list<i32> requested
  // 0 if the sender does not know it.
  4: required i32 heardEntries
}

struct QuotaSums {
  1: required list<QuotaSum> sums
  // Missing means false.
  2: optional bool needsReply
}

struct QuotaShare {
  1: required string customer
  // In thousandths.
  2: required i32 admittedShare
  // Missing means false.
  3: optional bool needsReport
}

struct QuotaShares {
  1: required list<QuotaShare> shares
}

// Exactly one field is set.
union PeerMessage {
  8: RevisionNotice notice
  9: Gossip gossip
  10: QuotaReport quotaReport
  11: QuotaSums quotaSums
  12: QuotaShares quotaShares
  13: NoticeRequest noticeRequest
  14: NoticeReply noticeReply
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
  // Missing means false, also for the next field.
  11: optional bool isPublic
  12: optional bool hasLargeResponses
}

struct Service {
  1: required string name
  2: required string healthPath
  3: required double coldRate
}

struct Customer {
  1: required string name
  // SHA-256 digests of the API keys, 32 bytes each, one after the other.
  2: required binary keyDigests
  // Missing if the priority of the route applies.
  3: optional i32 priority
  4: optional list<string> homeRegions
  5: optional double requestsPerSecond
  6: optional double burst
}

struct Configuration {
  1: required i64 version
  2: required list<Route> routes
  3: required list<Service> services
  4: required i64 headBytes
  5: required i64 bodyBytes
  6: required i64 headTimeoutMicroseconds
  7: required i64 idleTimeoutMicroseconds
  // Missing if callers need no API keys.
  8: optional list<Customer> customers
}

// Difference of a configuration to an earlier version.
struct ConfigurationDelta {
  1: required i64 baseVersion
  // The newer version, with only the routes and customers that are new or have changed.
  2: required Configuration changes
  3: required list<string> removedRoutes
  4: optional list<string> removedCustomers
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
