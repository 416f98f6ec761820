#pragma once

#include "coordination/Membership.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// An entry that reads the source tells how far it got. Value type.
struct RevisionNotice {
  std::int64_t Revision = 0;

  auto operator<=>(const RevisionNotice &) const = default;
};

/// Begin or stop reading the source.
struct SetSourceReading {
  bool Active = false;

  auto operator<=>(const SetSourceReading &) const = default;
};

/// Send a notice to other entries.
struct SendNotice {
  std::vector<std::string> Receivers;
  RevisionNotice Notice;

  auto operator<=>(const SendNotice &) const = default;
};

/// Get the publications after this entry's revision from another entry.
struct FetchPublications {
  std::string Entry;

  auto operator<=>(const FetchPublications &) const = default;
};

using DistributionEffect = std::variant<SetSourceReading, SendNotice, FetchPublications>;

/// Decides which entries read the source of publications, and spreads what they read.
///
/// In each failure domain one live entry reads the source and tells all others of the region how
/// far it got, at each change and about three times a second. The others fetch from it what they
/// lack. An entry that hears no notice, as after its start, reads the source itself, so that dead
/// readers and readers that the source turns away are replaced without an agreement. Each region
/// reads on its own, because links between regions are paid by volume.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class PublicationDistributor {
public:
  /// Interval of the notices of a reader.
  static constexpr Duration NoticeInterval = std::chrono::milliseconds(300);
  /// Without a notice for this time, an entry reads the source itself. Configurations must be in
  /// force within 2.5 s.
  static constexpr Duration NoticeTimeout = std::chrono::milliseconds(900);

  PublicationDistributor(std::string Self, Topology Places, TimePoint Now);

  /// Live entries of the fleet with this one.
  void setMembers(std::vector<MemberRecord> Live) { this->Members = std::move(Live); }
  /// The source answered; this entry knows all up to the revision.
  void onSourceResponse(std::int64_t Revision, TimePoint Now);
  void onSourceUnavailable() { this->IsSourceAlive = false; }
  void onNotice(const std::string &Sender, const RevisionNotice &Notice, TimePoint Now);
  /// A fetch ended; `Revision` is what this entry knows now.
  void onFetched(std::int64_t Revision, TimePoint Now);
  void onFetchFailed(TimePoint Now);
  void onTick(TimePoint Now);

  /// Decisions since the last call, in their order.
  std::vector<DistributionEffect> takeEffects() { return std::exchange(this->Effects, {}); }

private:
  /// The entry is the one of its failure domain that reads the source.
  bool isDesignated(const std::string &Address, const FailureDomainName &Domain) const;
  /// This entry need not read the source while the sender does.
  bool precedes(const std::string &Sender) const;
  void notify(TimePoint Now);
  void fetchIfBehind(TimePoint Now);

  std::string Self;
  Topology Places;
  TimePoint Started;
  std::vector<MemberRecord> Members;
  std::int64_t Revision = 0;
  bool Active = false;
  /// This entry has read the source since its start without a break.
  bool IsFirstReading = true;
  bool IsSourceAlive = false;
  TimePoint ActiveSince{};
  TimePoint LastNoticeSent{};
  std::optional<TimePoint> LastNoticeHeard;
  /// Latest notice of an entry that reads the source in place of this one.
  TimePoint LastPrecedence{};
  /// Entry that knows more, and how far it got.
  std::string AheadEntry;
  std::int64_t AheadRevision = 0;
  bool Fetching = false;
  TimePoint NextFetch{};
  std::vector<DistributionEffect> Effects;
};

} // namespace anvilsaddle
