#include "coordination/publications/PublicationDistributor.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// After its start, an entry discovers the others for this time before it determines the designated
/// reader. Until then it reads the source itself, but not for the longer MinReadingTime: otherwise
/// all entries of a fleet that starts at once would read the source for a long time.
constexpr Duration DiscoveryTime = 800ms;
/// An entry that replaced a reader reads for at least this time, so that a lost notice does not
/// make it start and stop repeatedly.
constexpr Duration MinReadingTime = 3s;
constexpr Duration FetchRetryDelay = 200ms;
/// Rendezvous hash item by which the reader of a failure domain is chosen.
constexpr const char *ReaderHashItem = "publications";

} // namespace

PublicationDistributor::PublicationDistributor(std::string Self, Topology FleetTopology,
                                               TimePoint Now)
    : Self(std::move(Self)), FleetTopology(std::move(FleetTopology)), StartTime(Now), Pauses(Now),
      Requester(this->Self) {}

bool PublicationDistributor::isDesignatedReader(const std::string &Address,
                                                const FailureDomainName &Domain) const {
  const std::uint64_t Score = rendezvousScore(ReaderHashItem, Address);
  return std::none_of(this->Entries.begin(), this->Entries.end(), [&](const EntryRecord &Each) {
    return Each.Domain == Domain && Each.State != EntryState::Leaving &&
           rendezvousScore(ReaderHashItem, Each.Address) > Score;
  });
}

bool PublicationDistributor::hasPrecedence(const std::string &Sender) const {
  if (rendezvousScore(ReaderHashItem, Sender) > rendezvousScore(ReaderHashItem, this->Self)) {
    return true;
  }
  return std::any_of(this->Entries.begin(), this->Entries.end(), [&](const EntryRecord &Each) {
    return Each.Address == Sender && this->isDesignatedReader(Each.Address, Each.Domain);
  });
}

bool PublicationDistributor::isStale(TimePoint Now) const {
  return !this->KnownAsOf || Now - *this->KnownAsOf >= MaxStaleness;
}

void PublicationDistributor::confirm(const Confirmation &Added) {
  this->PendingConfirmations.push_back(Added);
  if (this->PendingConfirmations.size() > MaxPendingConfirmations) {
    this->PendingConfirmations.pop_front();
  }
  this->applyConfirmations();
}

void PublicationDistributor::applyConfirmations() {
  std::erase_if(this->PendingConfirmations, [this](const Confirmation &Each) {
    const bool IsReached = Each.Position <= this->Position;
    if (IsReached) {
      this->KnownAsOf = std::max(this->KnownAsOf, std::optional(Each.AsOf));
    }
    if (IsReached && !Each.IsFromOwnRegion) {
      this->ExternalAsOf = std::max(this->ExternalAsOf, std::optional(Each.AsOf));
    }
    return IsReached;
  });
}

void PublicationDistributor::onSourceResponse(const SourcePosition &Known,
                                              std::optional<TimePoint> AsOf, TimePoint Now) {
  const bool HasChanged = Known > this->Position || !this->IsSourceAvailable;
  this->IsSourceAvailable = true;
  this->Position = std::max(this->Position, Known);
  this->applyConfirmations();
  if (AsOf) {
    this->confirm({Known, *AsOf, false});
  }
  if (this->IsReading && HasChanged) {
    this->sendNotice(Now);
  }
}

void PublicationDistributor::sendNotice(TimePoint Now) {
  this->LastNoticeSent = Now;
  SendNotice Result;
  Result.Notice.Position = this->Position;
  if (this->ExternalAsOf) {
    Result.Notice.Staleness = Now - *this->ExternalAsOf;
  }
  for (const EntryRecord &Each : this->Entries) {
    if (Each.Address != this->Self &&
        this->FleetTopology.distanceTo(Each.Domain) != Distance::OtherRegion) {
      Result.Receivers.push_back(Each.Address);
    }
  }
  if (!Result.Receivers.empty()) {
    this->Effects.emplace_back(std::move(Result));
  }
}

bool PublicationDistributor::isPassingOn(TimePoint Now) const {
  const bool HearsOtherRegions =
      this->LastReplyReceived && Now - *this->LastReplyReceived < MaxStaleness;
  return this->IsReading && (this->IsSourceAvailable || HearsOtherRegions);
}

void PublicationDistributor::considerFetching(const std::string &Sender,
                                              const SourcePosition &Announced) {
  if (Announced > std::max(this->Position, this->AheadPosition) || !this->IsFetching) {
    this->AheadEntry = Sender;
    this->AheadPosition = Announced;
  }
}

void PublicationDistributor::onNotice(const std::string &Sender, const RevisionNotice &Notice,
                                      TimePoint Now) {
  const TimePoint AsOf =
      this->Pauses.earliestArrival(Now) - Notice.Staleness.value_or(MaxStaleness);
  if (Notice.Staleness) {
    this->confirm({Notice.Position, AsOf, true});
  }
  const bool IsSenderStale = Now - AsOf >= MaxStaleness;
  if (!IsSenderStale) {
    this->LastNoticeReceived = Now;
  }
  if (!IsSenderStale && this->hasPrecedence(Sender)) {
    this->LastPrecedingNotice = Now;
  }
  this->considerFetching(Sender, Notice.Position);
  this->fetchIfBehind(Now);
}

void PublicationDistributor::requestNotices(TimePoint Now) {
  const Duration MinStaleness = this->IsSourceAvailable ? MaxStaleness : MinStalenessForRequests;
  const Duration Staleness = this->KnownAsOf ? Now - *this->KnownAsOf : Duration::max();
  if (!this->IsReading || Staleness < MinStaleness || !this->Requester.isDue(Staleness, Now)) {
    return;
  }
  SendNoticeRequest Request = this->Requester.next(this->readersOfOtherRegions(), Now);
  if (!Request.Receivers.empty()) {
    this->Effects.emplace_back(std::move(Request));
  }
}

std::map<RegionName, std::vector<std::string>>
PublicationDistributor::readersOfOtherRegions() const {
  std::map<RegionName, std::vector<std::string>> Result;
  for (const EntryRecord &Each : this->Entries) {
    if (this->FleetTopology.distanceTo(Each.Domain) == Distance::OtherRegion &&
        this->isDesignatedReader(Each.Address, Each.Domain)) {
      Result[this->FleetTopology.regionOf(Each.Domain)].push_back(Each.Address);
    }
  }
  return Result;
}

void PublicationDistributor::onNoticeRequest(const std::string &Sender,
                                             const NoticeRequest &Request, TimePoint Now) {
  if (this->isStale(Now)) {
    return;
  }
  const RevisionNotice Notice{this->Position, Now - *this->KnownAsOf};
  this->Effects.emplace_back(SendNoticeReply{Sender, {Request.Number, Notice}});
}

void PublicationDistributor::onNoticeReply(const std::string &Sender, const NoticeReply &Reply,
                                           TimePoint Now) {
  const auto AsOf = this->Requester.asOf(Reply);
  if (!AsOf) {
    return;
  }
  this->LastReplyReceived = Now;
  this->confirm({Reply.Notice.Position, *AsOf, false});
  if (this->IsReading) {
    this->sendNotice(Now);
  }
  this->considerFetching(Sender, Reply.Notice.Position);
  this->fetchIfBehind(Now);
}

void PublicationDistributor::fetchIfBehind(TimePoint Now) {
  // A reader receives the same changes from the source, unless it is stale or has not reached the
  // source since the source entered a newer epoch.
  const bool IsReadingEpoch = this->IsReading && this->IsSourceAvailable && !this->isStale(Now) &&
                              this->AheadPosition.Epoch <= this->Position.Epoch;
  if (this->IsFetching || IsReadingEpoch || this->AheadPosition <= this->Position ||
      Now < this->NextFetchTime) {
    return;
  }
  this->IsFetching = true;
  this->Effects.emplace_back(FetchPublications{this->AheadEntry});
}

void PublicationDistributor::onFetched(const SourcePosition &Known, TimePoint Now) {
  this->IsFetching = false;
  if (Known <= this->Position) {
    // The other entry has announced more than it has now, for example before a restart.
    this->NextFetchTime = Now + FetchRetryDelay;
  }
  const bool IsNewer = Known > this->Position;
  this->Position = std::max(this->Position, Known);
  this->applyConfirmations();
  if (IsNewer && !this->IsSourceAvailable && this->isPassingOn(Now)) {
    this->sendNotice(Now);
  }
  this->fetchIfBehind(Now);
}

void PublicationDistributor::onFetchFailed(TimePoint Now) {
  this->IsFetching = false;
  this->AheadPosition = {};
  this->NextFetchTime = Now + FetchRetryDelay;
}

void PublicationDistributor::onTick(TimePoint Now) {
  this->Pauses.onTick(Now);
  const bool IsDiscovering = Now - this->StartTime < DiscoveryTime;
  // A new entry reads the source immediately. After a failure of all entries, no other entry could
  // provide the publications.
  const bool IsNoticeOverdue =
      !this->LastNoticeReceived || Now - *this->LastNoticeReceived >= NoticeTimeout;
  const bool IsDesignated =
      !IsDiscovering && this->isDesignatedReader(this->Self, this->FleetTopology.OwnDomain);
  // If several entries replaced a reader, only the one with precedence over the others continues.
  const bool HasPrecedingReader = Now - this->LastPrecedingNotice < NoticeTimeout;
  if ((IsNoticeOverdue || IsDesignated || this->isStale(Now)) && !this->IsReading) {
    this->IsReading = true;
    this->ReadingSince = Now;
    this->IsSourceAvailable = false;
    this->Effects.emplace_back(SetSourceReading{true});
  } else if (this->IsReading && !IsDesignated && HasPrecedingReader && !this->isStale(Now) &&
             Now - this->ReadingSince >=
                 (this->IsInitialReading ? DiscoveryTime : MinReadingTime)) {
    this->IsReading = false;
    this->IsInitialReading = false;
    this->IsSourceAvailable = false;
    this->Effects.emplace_back(SetSourceReading{false});
  }
  if (this->isPassingOn(Now) && Now - this->LastNoticeSent >= NoticeInterval) {
    this->sendNotice(Now);
  }
  if (!IsDiscovering) {
    this->requestNotices(Now);
  }
  this->fetchIfBehind(Now);
}

} // namespace anvilsaddle
