#pragma once

#include "coordination/membership/Membership.h"
#include "coordination/publications/NoticeRequester.h"
#include "coordination/publications/PauseDetector.h"
#include "coordination/publications/PublicationMessages.h"
#include "state/SourcePosition.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Start or stop reading the source.
struct SetSourceReading {
  bool IsEnabled = false;

  auto operator<=>(const SetSourceReading &) const = default;
};

/// Send a revision notice to other entries.
struct SendNotice {
  std::vector<std::string> Receivers;
  RevisionNotice Notice;

  auto operator<=>(const SendNotice &) const = default;
};

/// Fetch the publications after this entry's position from another entry.
struct FetchPublications {
  std::string Entry;

  auto operator<=>(const FetchPublications &) const = default;
};

/// Answer the request of an entry of another region.
struct SendNoticeReply {
  std::string Receiver;
  NoticeReply Reply;

  auto operator<=>(const SendNoticeReply &) const = default;
};

using DistributionEffect = std::variant<SetSourceReading, SendNotice, SendNoticeRequest,
                                        SendNoticeReply, FetchPublications>;

/// Decides which entries read the source of publications, and distributes what they read.
///
/// In each failure domain one live entry reads the source. It sends a notice with its position to
/// all other entries of the region at each change and about three times per second, and the others
/// fetch the changes that they lack from it. An entry that receives no notices, for example after
/// its start, reads the source itself. Dead readers and readers that the source rejects are thus
/// replaced without consensus. Each region reads separately, because traffic between regions is
/// charged by volume. Only a reader that the source doesn't serve asks entries of other regions for
/// notices, fetches from them, and passes on to its own region what it learns.
///
/// Notices alone prove nothing: each names the time for which its sender knows its position to be
/// the current one, and an entry whose own knowledge is older than MaxStaleness reads the source
/// itself, whatever others announce.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class PublicationDistributor {
public:
  /// Interval at which a reader sends notices if nothing changes.
  static constexpr Duration NoticeInterval = std::chrono::milliseconds(300);
  /// An entry that has received no notice for this time reads the source itself, so that changes
  /// take effect within PropagationBound even if readers die.
  static constexpr Duration NoticeTimeout = std::chrono::milliseconds(900);
  /// An entry that has not known for this time that it has everything reads the source itself. The
  /// rest of PropagationBound is for two requests to the source. Longer than the interval of checks
  /// of the source, the duration of one and a notice interval together.
  static constexpr Duration MaxStaleness = std::chrono::milliseconds(1700);
  /// A reader that the source doesn't serve asks other regions once its knowledge is this old.
  /// Longer than the interval of checks of the source and a notice interval together, so that
  /// another reader of the region goes first.
  static constexpr Duration MinStalenessForRequests = std::chrono::milliseconds(1200);

  PublicationDistributor(std::string Self, Topology FleetTopology, TimePoint Now);

  /// Sets the live entries of the fleet, including this one.
  void setEntries(std::vector<EntryRecord> Live) { this->Entries = std::move(Live); }
  /// The source responded; this entry has all publications up to the position. `AsOf` is a time at
  /// which the position was the current one; nothing if the response may be stale.
  void onSourceResponse(const SourcePosition &Known, std::optional<TimePoint> AsOf, TimePoint Now);
  void onSourceUnavailable() { this->IsSourceAvailable = false; }
  void onNotice(const std::string &Sender, const RevisionNotice &Notice, TimePoint Now);
  /// An entry of another region asks what this one knows.
  void onNoticeRequest(const std::string &Sender, const NoticeRequest &Request, TimePoint Now);
  void onNoticeReply(const std::string &Sender, const NoticeReply &Reply, TimePoint Now);
  /// A fetch succeeded; `Known` is the position of this entry afterwards.
  void onFetched(const SourcePosition &Known, TimePoint Now);
  void onFetchFailed(TimePoint Now);
  void onTick(TimePoint Now);

  /// Latest time for which this entry is known to have everything that the source had acknowledged;
  /// nothing before the first confirmation.
  std::optional<TimePoint> knownAsOf() const { return this->KnownAsOf; }

  /// Returns the effects since the last call, in their order.
  std::vector<DistributionEffect> takeEffects() { return std::exchange(this->Effects, {}); }

private:
  /// Who has everything up to the position has everything that the source had acknowledged at a
  /// time.
  struct Confirmation {
    SourcePosition Position;
    TimePoint AsOf;
    /// Another entry of this region says so.
    bool IsFromOwnRegion = false;
  };

  /// Confirmations are kept until this entry has fetched the publications up to their position.
  static constexpr std::size_t MaxPendingConfirmations = 32;

  bool isStale(TimePoint Now) const;
  void confirm(const Confirmation &Added);
  /// Takes over the confirmations of positions that this entry has reached.
  void applyConfirmations();
  /// True if the entry is the designated reader of its failure domain.
  bool isDesignatedReader(const std::string &Address, const FailureDomainName &Domain) const;
  /// True if this entry need not read the source while the sender does.
  bool hasPrecedence(const std::string &Sender) const;
  /// True if this entry reads the source and passes on what it learns, from the source or from
  /// other regions.
  bool isPassingOn(TimePoint Now) const;
  void sendNotice(TimePoint Now);
  /// Asks an entry of each other region for a notice, if this entry needs one.
  void requestNotices(TimePoint Now);
  /// Designated readers of the other regions.
  std::map<RegionName, std::vector<std::string>> readersOfOtherRegions() const;
  /// Remembers an entry that may have a newer position than this one.
  void considerFetching(const std::string &Sender, const SourcePosition &Announced);
  void fetchIfBehind(TimePoint Now);

  std::string Self;
  Topology FleetTopology;
  TimePoint StartTime;
  PauseDetector Pauses;
  std::vector<EntryRecord> Entries;
  SourcePosition Position;
  bool IsReading = false;
  /// False once this entry has stopped reading the source for the first time.
  bool IsInitialReading = true;
  bool IsSourceAvailable = false;
  TimePoint ReadingSince{};
  TimePoint LastNoticeSent{};
  std::optional<TimePoint> KnownAsOf;
  /// The same, without what other entries of this region say.
  std::optional<TimePoint> ExternalAsOf;
  std::deque<Confirmation> PendingConfirmations;
  /// Time of the last notice whose sender was not stale.
  std::optional<TimePoint> LastNoticeReceived;
  /// The same for entries that have precedence over this one.
  TimePoint LastPrecedingNotice{};
  NoticeRequester Requester;
  /// Time of the last reply of another region.
  std::optional<TimePoint> LastReplyReceived;
  /// Entry with a newer position than this one, and that position.
  std::string AheadEntry;
  SourcePosition AheadPosition;
  bool IsFetching = false;
  TimePoint NextFetchTime{};
  std::vector<DistributionEffect> Effects;
};

} // namespace anvilsaddle
