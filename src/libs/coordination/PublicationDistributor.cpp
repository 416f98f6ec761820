#include "coordination/PublicationDistributor.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// After its start an entry gets to know the others before it decides who reads. Until then it
/// reads itself; a fleet that starts together would otherwise call the source for long.
constexpr Duration FirstLook = 800ms;
/// A reader that took over stays one for a while, so that a lost notice doesn't start and stop it.
constexpr Duration ShortestReading = 3s;
constexpr Duration FetchAgain = 200ms;
/// What the reader of a failure domain is chosen by.
constexpr const char *ReaderItem = "publications";

} // namespace

PublicationDistributor::PublicationDistributor(std::string Self, Topology Places, TimePoint Now)
    : Self(std::move(Self)), Places(std::move(Places)), Started(Now) {}

bool PublicationDistributor::isDesignated(const std::string &Address,
                                          const FailureDomainName &Domain) const {
  const std::uint64_t Own = rendezvousScore(ReaderItem, Address);
  return std::none_of(this->Members.begin(), this->Members.end(), [&](const MemberRecord &Each) {
    return Each.Domain == Domain && Each.State != EntryState::Leaving &&
           rendezvousScore(ReaderItem, Each.Address) > Own;
  });
}

bool PublicationDistributor::precedes(const std::string &Sender) const {
  if (rendezvousScore(ReaderItem, Sender) > rendezvousScore(ReaderItem, this->Self)) {
    return true;
  }
  return std::any_of(this->Members.begin(), this->Members.end(), [&](const MemberRecord &Each) {
    return Each.Address == Sender && this->isDesignated(Each.Address, Each.Domain);
  });
}

void PublicationDistributor::onSourceResponse(std::int64_t Known, TimePoint Now) {
  const bool IsNews = Known > this->Revision || !this->IsSourceAlive;
  this->IsSourceAlive = true;
  this->Revision = std::max(this->Revision, Known);
  if (this->Active && IsNews) {
    this->notify(Now);
  }
}

void PublicationDistributor::notify(TimePoint Now) {
  this->LastNoticeSent = Now;
  SendNotice Result;
  Result.Notice.Revision = this->Revision;
  for (const MemberRecord &Each : this->Members) {
    if (Each.Address != this->Self &&
        this->Places.regionOf(Each.Domain) == this->Places.OwnRegion) {
      Result.Receivers.push_back(Each.Address);
    }
  }
  if (!Result.Receivers.empty()) {
    this->Effects.emplace_back(std::move(Result));
  }
}

void PublicationDistributor::onNotice(const std::string &Sender, const RevisionNotice &Notice,
                                      TimePoint Now) {
  this->LastNoticeHeard = Now;
  if (this->precedes(Sender)) {
    this->LastPrecedence = Now;
  }
  if (Notice.Revision > std::max(this->Revision, this->AheadRevision) || !this->Fetching) {
    this->AheadEntry = Sender;
    this->AheadRevision = Notice.Revision;
  }
  this->fetchIfBehind(Now);
}

void PublicationDistributor::fetchIfBehind(TimePoint Now) {
  // A reader gets the same from the source.
  const bool ReadsItself = this->Active && this->IsSourceAlive;
  if (this->Fetching || ReadsItself || this->AheadRevision <= this->Revision ||
      Now < this->NextFetch) {
    return;
  }
  this->Fetching = true;
  this->Effects.emplace_back(FetchPublications{this->AheadEntry});
}

void PublicationDistributor::onFetched(std::int64_t Known, TimePoint Now) {
  this->Fetching = false;
  this->Revision = std::max(this->Revision, Known);
  this->fetchIfBehind(Now);
}

void PublicationDistributor::onFetchFailed(TimePoint Now) {
  this->Fetching = false;
  this->AheadRevision = 0;
  this->NextFetch = Now + FetchAgain;
}

void PublicationDistributor::onTick(TimePoint Now) {
  const bool IsNew = Now - this->Started < FirstLook;
  // A new entry reads the source at once: after a loss of all entries nobody else can tell it.
  const bool IsSilent = !this->LastNoticeHeard || Now - *this->LastNoticeHeard >= NoticeTimeout;
  const bool IsChosen = !IsNew && this->isDesignated(this->Self, this->Places.OwnDomain);
  // Of several entries that took over, the first in order stays.
  const bool IsPreceded = Now - this->LastPrecedence < NoticeTimeout;
  if ((IsSilent || IsChosen) && !this->Active) {
    this->Active = true;
    this->ActiveSince = Now;
    this->IsSourceAlive = false;
    this->Effects.emplace_back(SetSourceReading{true});
  } else if (this->Active && !IsChosen && IsPreceded &&
             Now - this->ActiveSince >= (this->IsFirstReading ? FirstLook : ShortestReading)) {
    this->Active = false;
    this->IsFirstReading = false;
    this->IsSourceAlive = false;
    this->Effects.emplace_back(SetSourceReading{false});
  }
  if (this->Active && this->IsSourceAlive && Now - this->LastNoticeSent >= NoticeInterval) {
    this->notify(Now);
  }
  this->fetchIfBehind(Now);
}

} // namespace anvilsaddle
