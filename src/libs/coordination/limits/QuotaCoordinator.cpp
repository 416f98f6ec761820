#include "coordination/limits/QuotaCoordinator.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickInterval = 100ms;
/// A customer is watched from this share of its limit on. Usual loads are at half of it; a flood
/// takes longer from here to the limit than the other coordinators to answer.
constexpr double WatchedUse = 0.75;
constexpr double WatchedSlack = 0.5;
/// Time in which the other coordinators answer when a customer comes near its limit.
constexpr Duration AnswerTimeout = 250ms;
/// Time in which the entries of a group send the reports for which they were asked.
constexpr Duration ReportsTime = 300ms;
/// The reports are no longer used at this age, at which the membership knows the live entries.
constexpr Duration ReportsLifetime = 4500ms;
/// Lets one report in eight be lost without an effect.
constexpr double HeardAllowance = 1.15;
/// Interval of the sums that the coordinators of a watched customer exchange.
constexpr Duration SumsInterval = 200ms;
/// A coordinator of another group is not heard from when its sums are older. Covers one lost
/// message at 30 ms one way.
constexpr Duration GroupTimeout = 450ms;
/// A restriction is announced again in this interval, because announcements may be lost.
constexpr Duration RefreshInterval = 3s;
constexpr Duration MinAnnouncementInterval = 200ms;
/// Leaves half of the control traffic of an entry to others in a large flood.
constexpr Duration LastingAnnouncementInterval = 1s;
constexpr Duration MaxAnnouncementInterval = 2500ms;
/// In a flood that has just begun, the share is reduced without regard to the number of datagrams.
constexpr Duration OnsetTime = 2s;
/// Changes of the share below this ratio are not announced at once.
constexpr double SignificantChange = 0.15;
/// The end of a restriction is announced early, as refused requests were told when to return.
constexpr Duration EndInterval = 500ms;
constexpr int EndRepeats = 2;
/// Requests from which the rate of requests is estimated when a flood begins, and later. Few give
/// an estimate that is off by a fifth, many follow the beginning too late.
constexpr double OnsetEstimateRequests = 25;
constexpr double EstimateRequests = 100;
constexpr std::size_t MinEstimateSlots = 2;
/// Admitted rate in a lasting flood as a part of the limit. Estimates that are too high by chance
/// count more than those that are too low, so that less than this is admitted.
constexpr double TargetPart = 1.06;
/// Part of the limit that is admitted in any case, also after an excess.
constexpr double MinRatePart = 0.4;
/// Part of the burst that remains usable in a restriction.
constexpr double MinBurstPart = 0.25;
/// Entries no longer apply a share of this coordinator that is older. It is the lifetime of shares
/// in CustomerQuotas.
constexpr Duration ForeignShareAge = 10s;
/// Time in which the entries report to a new coordinator.
constexpr Duration SettleTime = 1500ms;
/// Time within which the admitted requests return to the limit.
constexpr double CorrectionSeconds = 1;
/// Part of the slack that the sum may use before the customer is restricted, so that the randomness
/// of few requests does not count as a flood. The rest is left for the delay of messages.
constexpr double UsableSlack = 0.3;
constexpr std::uint32_t FullShare = 1000;
constexpr double TenthsPerRequest = 10;

double seconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

std::vector<std::uint32_t> toTenths(const std::vector<double> &Values) {
  std::vector<std::uint32_t> Result;
  Result.reserve(Values.size());
  for (const double Each : Values) {
    Result.push_back(
        static_cast<std::uint32_t>(std::llround(std::max(0.0, Each) * TenthsPerRequest)));
  }
  return Result;
}

void addTenths(std::vector<double> &Sum, const std::vector<std::uint32_t> &Tenths) {
  for (std::size_t Index = 0; Index < std::min(Sum.size(), Tenths.size()); ++Index) {
    Sum[Index] += Tenths[Index] / TenthsPerRequest;
  }
}

std::size_t heardOf(std::size_t Heard, std::size_t EntryCount) {
  const auto Scaled = static_cast<std::size_t>(HeardAllowance * static_cast<double>(Heard));
  return Heard == 0 ? EntryCount : std::min(Scaled, EntryCount);
}

/// Adds a list by age that was made some time ago.
void addShifted(std::vector<double> &Sum, const std::vector<double> &ByAge, Duration Age) {
  const auto Offset = static_cast<std::size_t>(Age / QuotaTally::SlotLength);
  for (std::size_t Index = 0; Index + Offset < Sum.size() && Index < ByAge.size(); ++Index) {
    Sum[Index + Offset] += ByAge[Index];
  }
}

} // namespace

void QuotaCoordinator::countUsage(Reporter &From, const QuotaReport &Report,
                                  const QuotaUsage &Usage, const QuotaBounds &Bounds,
                                  TimePoint Now) {
  From.AdmittedTally.removeOlderThan(Bounds.Window, Now);
  From.RequestedTally.removeOlderThan(Bounds.Window, Now);
  const bool IsKnown = From.Run == Report.Run && From.LastReport != TimePoint{} &&
                       Now - From.LastReport < Bounds.Window;
  if (IsKnown) {
    if (Report.Sequence <= From.Sequence) {
      return;
    }
    From.AdmittedTally.add(static_cast<std::int32_t>(Usage.Admitted - From.Admitted), Now);
    From.RequestedTally.add(static_cast<std::int32_t>(Usage.Requested - From.Requested), Now);
  } else {
    From.AdmittedTally.add(Usage.NewlyAdmitted, Now);
    From.RequestedTally.add(Usage.NewlyRequested, Now);
    // Of those reported to another coordinator, or in a message that was lost, only the window is
    // known.
    const Duration Span = std::clamp<Duration>(std::chrono::milliseconds(Report.RecentMilliseconds),
                                               QuotaTally::SlotLength, Bounds.Window);
    if (Usage.RecentlyRequested > Usage.NewlyRequested) {
      From.RequestedTally.addEvenly(Usage.RecentlyRequested - Usage.NewlyRequested, Span, Now);
    }
    if (Usage.RecentlyAdmitted > Usage.NewlyAdmitted) {
      From.AdmittedTally.addEvenly(Usage.RecentlyAdmitted - Usage.NewlyAdmitted, Span, Now);
    }
  }
  From.Run = Report.Run;
  From.Sequence = Report.Sequence;
  From.Admitted = Usage.Admitted;
  From.Requested = Usage.Requested;
  From.LastReport = Now;
}

void QuotaCoordinator::onReport(const std::string &Sender, const QuotaReport &Report,
                                TimePoint Now) {
  for (const QuotaUsage &Each : Report.Usages) {
    if (!this->Configured.contains(Each.Customer)) {
      continue;
    }
    State &Of = this->findOrAddState(Each.Customer, Now);
    // Another coordinator has restricted the customer, and this one is new or was paused.
    if (Each.AdmittedShare < Of.AnnouncedShare &&
        (!Of.Announced || Now - *Of.Announced >= ForeignShareAge)) {
      Of.InheritedShare = Each.AdmittedShare;
      Of.AnnouncedShare = Each.AdmittedShare;
      Of.Inherited = Now;
      Of.Announced = Now;
    }
    countUsage(Of.Reporters[Sender], Report, Each, this->Bounds, Now);
    this->evaluate(Each.Customer, Of, Now);
    // Entries that missed an announcement, or that are new, learn it here.
    if (Report.NeedsReply || Each.AdmittedShare != Of.AnnouncedShare) {
      this->addShare(Sender, {Each.Customer, Of.AnnouncedShare});
    }
  }
}

QuotaCoordinator::State &QuotaCoordinator::findOrAddState(const CustomerName &Name, TimePoint Now) {
  const auto [Position, IsNew] = this->States.try_emplace(Name);
  State &Result = Position->second;
  if (IsNew) {
    Result.BurstPartTime = Now;
    // After a restart of all entries nobody knows what was admitted before it.
    if (Now - this->Started < this->Bounds.Window) {
      Result.BurstPart = MinBurstPart;
    }
  }
  return Result;
}

void QuotaCoordinator::updateBurstPart(State &Of, TimePoint Now) const {
  const double Change = seconds(Now - Of.BurstPartTime) / seconds(this->Bounds.Window);
  Of.BurstPartTime = Now;
  Of.BurstPart = Of.AnnouncedShare < FullShare ? std::max(MinBurstPart, Of.BurstPart - Change)
                                               : std::min(1.0, Of.BurstPart + Change);
}

void QuotaCoordinator::onSums(const std::string &Sender, const QuotaSums &Message, TimePoint Now) {
  for (const QuotaSum &Each : Message.Sums) {
    if (!this->Configured.contains(Each.Customer) || !this->Fleet.isCoordinator(Each.Customer)) {
      continue;
    }
    State &Of = this->findOrAddState(Each.Customer, Now);
    GroupSums &From = Of.OtherGroups[Sender];
    From.Counts = {std::vector<double>(this->slots(), 0), std::vector<double>(this->slots(), 0)};
    addTenths(From.Counts.Admitted, Each.Admitted);
    addTenths(From.Counts.Requested, Each.Requested);
    From.HeardEntries = Each.HeardEntries;
    From.Received = Now;
    if (Message.NeedsReply && (!Of.SumsSent || Now - *Of.SumsSent >= SumsInterval / 2)) {
      this->sendSums(Sender, Each.Customer, Of, false, Now);
    }
    this->evaluate(Each.Customer, Of, Now);
  }
}

QuotaCoordinator::Sums QuotaCoordinator::ownSums(const State &Of, TimePoint Now) const {
  Sums Result{std::vector<double>(this->slots(), 0), std::vector<double>(this->slots(), 0)};
  for (const auto &[Entry, Each] : Of.Reporters) {
    Each.AdmittedTally.addTo(Result.Admitted, Now);
    Each.RequestedTally.addTo(Result.Requested, Now);
  }
  return Result;
}

std::size_t QuotaCoordinator::heardEntries(const State &Of, TimePoint Now) const {
  if (!Of.ReportsRequested || Now - *Of.ReportsRequested < ReportsTime ||
      Now - *Of.ReportsRequested > ReportsLifetime) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(Of.Reporters.begin(), Of.Reporters.end(),
                                                [this, &Of](const auto &Each) {
                                                  return Each.first != this->Fleet.self() &&
                                                         Each.second.LastReport >=
                                                             *Of.ReportsRequested;
                                                })) +
         1;
}

bool QuotaCoordinator::isHeard(const State &Of, const std::string &Coordinator,
                               TimePoint Now) const {
  const auto Found = Of.OtherGroups.find(Coordinator);
  return Found != Of.OtherGroups.end() && Now - Found->second.Received < GroupTimeout;
}

QuotaCoordinator::Sums QuotaCoordinator::heardSums(const State &Of, const CustomerName &Name,
                                                   TimePoint Now, double &MissingRatio) const {
  Sums Result = this->ownSums(Of, Now);
  std::size_t AllEntries = 0;
  std::size_t HeardEntries = 0;
  for (const QuotaFleet::CoordinatedGroup &Each : this->Fleet.groups(Name)) {
    AllEntries += Each.EntryCount;
    if (Each.Coordinator == this->Fleet.self()) {
      HeardEntries += heardOf(this->heardEntries(Of, Now), Each.EntryCount);
    } else if (this->isHeard(Of, Each.Coordinator, Now)) {
      const GroupSums &Other = Of.OtherGroups.at(Each.Coordinator);
      HeardEntries += heardOf(Other.HeardEntries, Each.EntryCount);
      addShifted(Result.Admitted, Other.Counts.Admitted, Now - Other.Received);
      addShifted(Result.Requested, Other.Counts.Requested, Now - Other.Received);
    }
  }
  MissingRatio = static_cast<double>(std::max<std::size_t>(1, AllEntries)) /
                 static_cast<double>(std::max<std::size_t>(1, HeardEntries));
  return Result;
}

std::uint32_t QuotaCoordinator::shareFor(const Customer &Limit, const Sums &Total, double BurstPart,
                                         bool IsOnset) const {
  const double Rate = TargetPart * Limit.RequestsPerSecond * this->Fleet.liveShare();
  const double Allowance =
      BurstPart * (Limit.Burst + UsableSlack * this->Bounds.Slack) * this->Fleet.liveShare();
  const double SlotSeconds = seconds(QuotaTally::SlotLength);
  double Admitted = 0;
  double Excess = 0;
  double Requested = 0;
  double RequestedSeconds = 0;
  double RequestedWindow = 0;
  for (std::size_t Index = 0; Index < Total.Admitted.size(); ++Index) {
    Admitted += Total.Admitted[Index];
    Excess = std::max(Excess, Admitted - Rate * SlotSeconds * static_cast<double>(Index));
    RequestedWindow += Total.Requested[Index];
    if (Requested < (IsOnset ? OnsetEstimateRequests : EstimateRequests) ||
        Index < MinEstimateSlots) {
      Requested = RequestedWindow;
      // The newest slot is half over on average.
      RequestedSeconds = SlotSeconds * (static_cast<double>(Index) + 0.5);
    }
  }
  // A rate that falls counts with its mean over the window: it may fall only because entries are
  // cut off. The time that refused requests are told is derived from this.
  const double SlotTotal = SlotSeconds * static_cast<double>(Total.Requested.size());
  const double RequestRate = std::max(Requested / RequestedSeconds, RequestedWindow / SlotTotal);
  const double Allowed =
      std::max(MinRatePart * Rate, Rate + (Allowance - Excess) / CorrectionSeconds);
  if (RequestRate <= Allowed) {
    return FullShare;
  }
  return static_cast<std::uint32_t>(Allowed / RequestRate * FullShare);
}

void QuotaCoordinator::evaluate(const CustomerName &Name, State &Of, TimePoint Now) {
  // Entries disagree for a moment on the live ones. What they report meanwhile is kept.
  if (!this->Fleet.isCoordinator(Name)) {
    return;
  }
  const Customer &Limit = this->Configured.at(Name);
  double MissingRatio = 1;
  Sums Total = this->heardSums(Of, Name, Now, MissingRatio);
  double Requested = std::accumulate(Total.Requested.begin(), Total.Requested.end(), 0.0);
  const bool IsNearLimit = Limit.RequestsPerSecond > 0 &&
                           Requested * MissingRatio >= WatchedUse * this->windowLimit(Limit);
  if (IsNearLimit || Of.AnnouncedShare < FullShare || Of.RepeatsLeft > 0) {
    this->watch(Name, Of, Now);
  } else {
    Of.WatchedSince.reset();
  }
  if (Of.WatchedSince && Requested >= WatchedUse * this->windowLimit(Limit) &&
      (!Of.ReportsRequested || *Of.ReportsRequested < *Of.WatchedSince)) {
    this->requestReports(Name, Of, Now);
  }
  if (Of.WatchedSince && Now - *Of.WatchedSince >= AnswerTimeout) {
    // Callers choose entries at random, so groups that are not heard from receive as many requests
    // per entry. A part of the fleet that is cut off thus admits its share only.
    for (std::size_t Index = 0; Index < Total.Requested.size(); ++Index) {
      Total.Admitted[Index] *= MissingRatio;
      Total.Requested[Index] *= MissingRatio;
    }
    Requested *= MissingRatio;
  }
  // An entry that is alone limits itself without a coordinator.
  const bool IsLimited = Limit.RequestsPerSecond > 0 && this->Fleet.live().size() > 1;
  this->updateBurstPart(Of, Now);
  const bool IsOnset =
      Of.AnnouncedShare == FullShare || (Of.Restricted && Now - *Of.Restricted < OnsetTime);
  Of.Share = IsLimited ? this->shareFor(Limit, Total, Of.BurstPart, IsOnset) : FullShare;
  // Until all entries have reported, the sums of a new coordinator are too low.
  if (Of.Inherited && Now - *Of.Inherited < SettleTime) {
    Of.Share = std::min(Of.Share, Of.InheritedShare);
  }
  if (this->isAnnouncementDue(Of, Requested / seconds(this->Bounds.Window), Now)) {
    this->announce(Name, Of, Now);
    this->watch(Name, Of, Now);
  }
}

void QuotaCoordinator::requestReports(const CustomerName &Name, State &Of, TimePoint Now) {
  Of.ReportsRequested = Now;
  for (const QuotaEntry &Each : this->Fleet.live()) {
    if (this->Fleet.coordinatorOf(Name, Each.Address) == this->Fleet.self()) {
      this->addShare(Each.Address, {Name, Of.AnnouncedShare, true});
    }
  }
}

double QuotaCoordinator::windowLimit(const Customer &Limit) const {
  return this->Fleet.liveShare() * (Limit.RequestsPerSecond * seconds(this->Bounds.Window) +
                                    Limit.Burst + WatchedSlack * this->Bounds.Slack);
}

void QuotaCoordinator::watch(const CustomerName &Name, State &Of, TimePoint Now) {
  if (!Of.WatchedSince) {
    Of.WatchedSince = Now;
  }
  if (!this->NextTick) {
    this->NextTick = Now + TickInterval;
  }
  if (Of.SumsSent && Now - *Of.SumsSent < SumsInterval) {
    return;
  }
  for (const QuotaFleet::CoordinatedGroup &Each : this->Fleet.groups(Name)) {
    if (Each.Coordinator != this->Fleet.self()) {
      this->sendSums(Each.Coordinator, Name, Of, true, Now);
    }
  }
  Of.SumsSent = Now;
}

bool QuotaCoordinator::isAnnouncementDue(const State &Of, double RequestRate, TimePoint Now) const {
  const Duration Elapsed = Of.Announced ? Now - *Of.Announced : RefreshInterval;
  if (Elapsed < MinAnnouncementInterval) {
    return false;
  }
  if (Of.AnnouncedShare == FullShare) {
    return Of.Share < FullShare || (Of.RepeatsLeft > 0 && Elapsed >= RefreshInterval);
  }
  // An announcement takes a datagram to each entry. The interval keeps their number near that of
  // the requests.
  const bool IsOnset =
      Of.Restricted && Now - *Of.Restricted < OnsetTime && Of.Share < Of.AnnouncedShare;
  const double Datagrams = static_cast<double>(this->Fleet.live().size());
  const Duration Interval = IsOnset
                                ? MinAnnouncementInterval
                                : std::clamp(scaled(1s, Datagrams / std::max(RequestRate, 1.0)),
                                             LastingAnnouncementInterval, MaxAnnouncementInterval);
  const double Old = Of.AnnouncedShare;
  const bool IsChanged = std::abs(Of.Share - Old) > SignificantChange * Old;
  const bool IsEnd = Of.Share == FullShare && Elapsed >= EndInterval;
  return IsEnd || (IsChanged && Elapsed >= Interval) || Elapsed >= RefreshInterval;
}

void QuotaCoordinator::announce(const CustomerName &Name, State &Of, TimePoint Now) {
  if (Of.Share < FullShare) {
    Of.RepeatsLeft = 0;
  } else {
    Of.RepeatsLeft = Of.AnnouncedShare < FullShare ? EndRepeats : Of.RepeatsLeft - 1;
  }
  if (Of.AnnouncedShare == FullShare && Of.Share < FullShare) {
    Of.Restricted = Now;
  }
  Of.AnnouncedShare = Of.Share;
  Of.Announced = Now;
  const std::vector<QuotaFleet::CoordinatedGroup> &Groups = this->Fleet.groups(Name);
  for (const QuotaEntry &Each : this->Fleet.live()) {
    const std::string &Coordinator = Groups[this->Fleet.groupOf(Name, Each.Address)].Coordinator;
    // Entries whose coordinator is dead or paused get no other announcement.
    if (Coordinator == this->Fleet.self() || !this->isHeard(Of, Coordinator, Now)) {
      this->addShare(Each.Address, {Name, Of.AnnouncedShare});
    }
  }
}

void QuotaCoordinator::sendSums(const std::string &Receiver, const CustomerName &Name,
                                const State &Of, bool NeedsReply, TimePoint Now) {
  const Sums Own = this->ownSums(Of, Now);
  QuotaSums &Message = this->PendingSums[Receiver];
  Message.NeedsReply = Message.NeedsReply || NeedsReply;
  std::erase_if(Message.Sums, [&Name](const QuotaSum &Each) { return Each.Customer == Name; });
  Message.Sums.push_back({Name, toTenths(Own.Admitted), toTenths(Own.Requested),
                          static_cast<std::uint32_t>(this->heardEntries(Of, Now))});
}

void QuotaCoordinator::addShare(const std::string &Receiver, const QuotaShare &Share) {
  std::vector<QuotaShare> &Shares = this->PendingShares[Receiver].Shares;
  const auto Found = std::find_if(Shares.begin(), Shares.end(), [&Share](const QuotaShare &Each) {
    return Each.Customer == Share.Customer;
  });
  if (Found == Shares.end()) {
    Shares.push_back(Share);
    return;
  }
  Found->AdmittedShare = Share.AdmittedShare;
  Found->NeedsReport = Found->NeedsReport || Share.NeedsReport;
}

void QuotaCoordinator::onTick(TimePoint Now) {
  if (!this->NextTick || Now < *this->NextTick) {
    return;
  }
  this->NextTick.reset();
  for (auto &[Name, Each] : this->States) {
    if (!this->Configured.contains(Name)) {
      continue;
    }
    std::erase_if(Each.Reporters, [this, Now](const auto &Reporter) {
      return Now - Reporter.second.LastReport > this->Bounds.Window * 2;
    });
    if (Each.WatchedSince) {
      this->evaluate(Name, Each, Now);
    }
  }
}

void QuotaCoordinator::onFleetChanged() {
  std::erase_if(this->States, [this](const auto &Each) {
    return !this->Configured.contains(Each.first) || !this->Fleet.isCoordinator(Each.first);
  });
  for (auto &[Name, Each] : this->States) {
    std::erase_if(Each.Reporters, [&Name = Name, this](const auto &Reporter) {
      return this->Fleet.coordinatorOf(Name, Reporter.first) != this->Fleet.self();
    });
  }
  std::set<std::string> Informed;
  for (const QuotaEntry &Entry : this->Fleet.live()) {
    Informed.insert(Entry.Address);
    if (this->InformedEntries.contains(Entry.Address)) {
      continue;
    }
    // Each new entry would otherwise admit its first request of a restricted customer.
    for (const auto &[Name, Each] : this->States) {
      if (Each.AnnouncedShare < FullShare &&
          this->Fleet.coordinatorOf(Name, Entry.Address) == this->Fleet.self()) {
        this->addShare(Entry.Address, {Name, Each.AnnouncedShare});
      }
    }
  }
  this->InformedEntries = std::move(Informed);
}

std::optional<TimePoint> QuotaCoordinator::nextTick() const { return this->NextTick; }

std::vector<OutgoingQuotaMessage> QuotaCoordinator::takeMessages() {
  std::vector<OutgoingQuotaMessage> Result;
  for (auto &[Receiver, Message] : std::exchange(this->PendingSums, {})) {
    Result.push_back({Receiver, std::move(Message)});
  }
  for (auto &[Receiver, Message] : std::exchange(this->PendingShares, {})) {
    Result.push_back({Receiver, std::move(Message)});
  }
  return Result;
}

} // namespace anvilsaddle
