#include "coordination/limits/CustomerQuotas.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Delay of a report of a single request. Reports of several customers seldom share a datagram, as
/// each customer has another coordinator.
constexpr Duration SingleReportDelay = 80ms;
/// Delay of a report of a single request of a large customer. In a flood its entries get several
/// requests within a quarter of a second.
constexpr Duration LargeSingleReportDelay = 1s;
constexpr double LargeEntryRate = 0.8;
/// Delay of a report of several requests.
constexpr Duration ReportDelay = 40ms;
/// Delay of the reports of a customer whose requests are restricted. They change the share only.
constexpr Duration RestrictedReportDelay = 350ms;
/// A share is no longer applied when it was last confirmed this long ago. Announcements are
/// repeated every 3 s, and the entries replace a dead coordinator within 4 s.
constexpr Duration ShareLifetime = 10s;
/// Only the coordinator that announced a share may raise it for this long. It covers the interval
/// of announcements.
constexpr Duration SourceLifetime = 3500ms;
/// An entry needs confirmations from this part of the customer's limit in a window on, but not for
/// few requests.
constexpr double ConfirmedPart = 0.05;
constexpr double MinConfirmedRequests = 4;
/// An entry that admits few requests asks for a confirmation of one report in this interval. It
/// thus notices that it is cut off before the membership does.
constexpr Duration SampleInterval = 2500ms;
constexpr Duration ReplyInterval = 150ms;
/// Covers two lost replies; coordinators are in the same region.
constexpr Duration ConfirmationTimeout = 450ms;
/// Number of entries that an entry assumes until it has found the others.
constexpr double StartEntries = 64;
/// Time to find the others. An entry that has found none is alone.
constexpr Duration StartTime = 2s;
/// Time until the membership replaces a coordinator that does not reply.
constexpr Duration CoordinatorReplacementTime = 4s;
/// As in QuotaFleet: within the tolerated overshoot if all entries do so.
constexpr double LonePart = 1.15;
/// Part of the slack that one entry may use. The same part as in QuotaCoordinator.
constexpr double UsableSlack = 0.3;
/// Announcements take this long to take effect after the limit has room.
constexpr Duration AnnouncementDelay = 800ms;
constexpr std::uint32_t FullShare = 1000;

double seconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

/// A value from 0 to 1 that differs between entries, so that they do not all admit their first
/// request, nor all refuse it.
double phase(const CustomerName &Name, const std::string &Entry) {
  return static_cast<double>(rendezvousScore(Name.str(), Entry) % 1000) / 1000;
}

} // namespace

const char *toString(QuotaReason Reason) {
  switch (Reason) {
  case QuotaReason::WithinLimit:
    return "within the limit";
  case QuotaReason::FleetLimit:
    return "limit of all entries";
  case QuotaReason::EntryLimit:
    return "limit of this entry";
  case QuotaReason::NotConfirmed:
    return "limit of this entry without a coordinator";
  }
  return "unknown";
}

CustomerQuotas::CustomerQuotas(std::string Self, std::int64_t Run, const QuotaBounds &Bounds,
                               TimePoint Now)
    : Self(std::move(Self)), Run(Run), Bounds(Bounds), Started(Now), Fleet(this->Self),
      Coordinator(this->Fleet, this->Configured, this->Bounds, Now) {
  this->Fleet.setEntries({{this->Self, RegionName(), false}}, Now);
}

void CustomerQuotas::setCustomers(const std::map<CustomerName, Customer> &Customers,
                                  TimePoint Now) {
  this->Configured = Customers;
  std::erase_if(this->Usages,
                [this](const auto &Each) { return !this->Configured.contains(Each.first); });
  this->Coordinator.onFleetChanged();
  this->Coordinator.onTick(Now);
}

void CustomerQuotas::setEntries(std::vector<QuotaEntry> Entries, TimePoint Now) {
  this->Fleet.setEntries(std::move(Entries), Now);
  this->Coordinator.onFleetChanged();
  // A new coordinator learns from the totals what was admitted in the last window.
  for (auto &[Name, Each] : this->Usages) {
    Each.IsRedirected = false;
    if (!Each.Coordinator.empty() &&
        Each.Coordinator != this->Fleet.coordinatorOf(Name, this->Self) &&
        Each.RequestedTally.sum(this->Bounds.Window, Now) > 0) {
      Each.Unconfirmed.reset();
      this->scheduleReport(this->Configured.at(Name), Each, Now);
    }
  }
  this->takeCoordinatorMessages(Now);
}

bool CustomerQuotas::isHeavy(const Customer &Limit, const Usage &Of, TimePoint Now) const {
  const double WindowLimit = Limit.RequestsPerSecond * seconds(this->Bounds.Window);
  return Of.AdmittedTally.sum(this->Bounds.Window, Now) >=
         std::max(MinConfirmedRequests, ConfirmedPart * WindowLimit);
}

CustomerQuotas::EntryLimit CustomerQuotas::entryLimit(const Customer &Limit, const Usage &Of,
                                                      TimePoint Now) const {
  EntryLimit Result;
  double Part = this->Fleet.liveShare();
  if (Of.Unconfirmed && Now - *Of.Unconfirmed >= ConfirmationTimeout) {
    Result.IsConfirmed = false;
    Part = std::min(Part, LonePart / static_cast<double>(this->Fleet.assumedCount()));
    Result.MaxWait = CoordinatorReplacementTime;
  }
  if (Now - this->Started < StartTime && this->Fleet.live().size() < 2) {
    Part = std::min(Part, LonePart / StartEntries);
    Result.MaxWait = this->Started + StartTime - Now;
  }
  Result.RequestsPerSecond = Limit.RequestsPerSecond * Part;
  Result.Capacity = std::max(1.0, (Limit.Burst + UsableSlack * this->Bounds.Slack) * Part);
  return Result;
}

QuotaDecision CustomerQuotas::admit(const CustomerName &Name, TimePoint Now) {
  QuotaDecision Result;
  const auto Found = this->Configured.find(Name);
  if (Found == this->Configured.end() || Found->second.RequestsPerSecond <= 0) {
    return Result;
  }
  const Customer &Limit = Found->second;
  Usage &Of = this->Usages[Name];
  if (Of.Share < FullShare && Now - Of.ShareReceived >= ShareLifetime) {
    Of.Share = FullShare;
  }
  const EntryLimit Local = this->entryLimit(Limit, Of, Now);
  Of.Level = std::max(0.0, std::min(Of.Level, Local.Capacity) -
                               Local.RequestsPerSecond * seconds(Now - Of.LevelTime));
  Of.LevelTime = Now;
  Of.RequestedTally.removeOlderThan(this->Bounds.Window, Now);
  Of.AdmittedTally.removeOlderThan(this->Bounds.Window, Now);
  ++Of.Requested;
  Of.RequestedTally.add(1, Now);
  if (Of.Share < FullShare) {
    Of.Credit = std::min(2.0, Of.Credit + Of.Share / static_cast<double>(FullShare));
  }
  if (Of.Share < FullShare && Of.Credit < 1) {
    Result.IsAdmitted = false;
    Result.Reason = QuotaReason::FleetLimit;
    // The requests beyond the limit leave the window at this time, if no more arrive.
    Result.RetryAfter = scaled(this->Bounds.Window, 1 - Of.Share / static_cast<double>(FullShare)) +
                        AnnouncementDelay;
  } else if (Of.Level + 1 > Local.Capacity) {
    Result.IsAdmitted = false;
    Result.Reason = Local.IsConfirmed ? QuotaReason::EntryLimit : QuotaReason::NotConfirmed;
    const Duration Wait = scaled(1s, (Of.Level + 1 - Local.Capacity) / Local.RequestsPerSecond);
    Result.RetryAfter = std::min(Wait, Local.MaxWait) + 1ms;
  } else {
    Of.Level += 1;
    Of.Credit -= Of.Share < FullShare ? 1 : 0;
    ++Of.Admitted;
    Of.AdmittedTally.add(1, Now);
  }
  this->scheduleReport(Limit, Of, Now);
  Result.RequestsPerSecond = Limit.RequestsPerSecond;
  Result.Burst = Limit.Burst;
  Result.AdmittedShare = Of.Share;
  Result.RecentlyAdmitted = Of.AdmittedTally.sum(this->Bounds.Window, Now);
  Result.RecentlyRequested = Of.RequestedTally.sum(this->Bounds.Window, Now);
  Result.LiveEntries = this->Fleet.live().size();
  Result.AssumedEntries = this->Fleet.assumedCount();
  Result.Coordinator = this->receiverOf(Name, Of);
  return Result;
}

void CustomerQuotas::refund(const CustomerName &Name, TimePoint Now) {
  const auto Found = this->Usages.find(Name);
  if (Found == this->Usages.end()) {
    return;
  }
  Usage &Of = Found->second;
  --Of.Admitted;
  Of.AdmittedTally.add(-1, Now);
  Of.Level = std::max(0.0, Of.Level - 1);
  if (Of.Share < FullShare) {
    Of.Credit = std::min(2.0, Of.Credit + 1);
  }
  this->scheduleReport(this->Configured.at(Name), Of, Now);
}

void CustomerQuotas::scheduleReport(const Customer &Limit, Usage &Of, TimePoint Now) {
  const std::uint32_t Unreported = Of.Requested - Of.ReportedRequested;
  const double EntryRate = Limit.RequestsPerSecond / static_cast<double>(this->Fleet.live().size());
  const Duration SingleDelay =
      EntryRate >= LargeEntryRate ? LargeSingleReportDelay : SingleReportDelay;
  Duration Delay = Unreported > 1 ? ReportDelay : SingleDelay;
  if (Of.Share < FullShare) {
    Delay = RestrictedReportDelay;
  }
  this->setReportDue(Of, Now + Delay);
}

void CustomerQuotas::setReportDue(Usage &Of, TimePoint Due) {
  Of.ReportDue = Of.ReportDue ? std::min(*Of.ReportDue, Due) : Due;
  this->NextReport = this->NextReport ? std::min(*this->NextReport, Due) : Due;
}

QuotaUsage CustomerQuotas::makeUsage(const CustomerName &Name, Usage &Of, TimePoint Now) const {
  QuotaUsage Result;
  Result.Customer = Name;
  Result.Admitted = Of.Admitted;
  Result.Requested = Of.Requested;
  Result.RecentlyAdmitted =
      static_cast<std::uint32_t>(std::llround(Of.AdmittedTally.sum(this->Bounds.Window, Now)));
  Result.RecentlyRequested =
      static_cast<std::uint32_t>(std::llround(Of.RequestedTally.sum(this->Bounds.Window, Now)));
  Result.NewlyAdmitted = Of.Admitted > Of.ReportedAdmitted ? Of.Admitted - Of.ReportedAdmitted : 0;
  Result.NewlyRequested = Of.Requested - Of.ReportedRequested;
  Result.AdmittedShare = Of.Share;
  Of.ReportedAdmitted = Of.Admitted;
  Of.ReportedRequested = Of.Requested;
  Of.ReportDue.reset();
  return Result;
}

const std::string &CustomerQuotas::receiverOf(const CustomerName &Name, const Usage &Of) const {
  const std::vector<QuotaFleet::CoordinatedGroup> &Groups = this->Fleet.groups(Name);
  const QuotaFleet::Group Own = this->Fleet.groupOf(Name, this->Self);
  return Groups[(Own + (Of.IsRedirected ? 1 : 0)) % Groups.size()].Coordinator;
}

bool CustomerQuotas::needsReply(const CustomerName &Name, const Usage &Of, TimePoint Now) {
  const bool WasAskedRecently = Of.LastReplyRequest && Now - *Of.LastReplyRequest < ReplyInterval;
  if (Of.Unconfirmed || this->isHeavy(this->Configured.at(Name), Of, Now)) {
    return !WasAskedRecently;
  }
  if (Of.Share < FullShare || Now < this->NextSample) {
    return false;
  }
  this->NextSample = Now + SampleInterval;
  return true;
}

void CustomerQuotas::sendReports(TimePoint Now) {
  std::map<std::string, QuotaReport> Reports;
  for (auto &[Name, Each] : this->Usages) {
    if (!Each.ReportDue || *Each.ReportDue > Now) {
      continue;
    }
    if (Each.Unconfirmed && !Each.IsRedirected && Now - *Each.Unconfirmed >= ConfirmationTimeout) {
      Each.IsRedirected = true;
    }
    Reports[this->receiverOf(Name, Each)];
  }
  this->NextReport.reset();
  for (auto &[Name, Each] : this->Usages) {
    if (!Each.ReportDue) {
      continue;
    }
    const std::string &Receiver = this->receiverOf(Name, Each);
    const auto Report = Reports.find(Receiver);
    if (Report == Reports.end()) {
      this->NextReport =
          this->NextReport ? std::min(*this->NextReport, *Each.ReportDue) : *Each.ReportDue;
      continue;
    }
    const bool NeedsReply = Receiver != this->Self && this->needsReply(Name, Each, Now);
    Report->second.Usages.push_back(this->makeUsage(Name, Each, Now));
    if (NeedsReply) {
      Report->second.NeedsReply = true;
      Each.LastReplyRequest = Now;
      Each.Unconfirmed = Each.Unconfirmed.value_or(Now);
      if (Now - *Each.Unconfirmed < ConfirmationTimeout) {
        this->setReportDue(Each, Now + ReplyInterval);
      }
    }
    Each.Coordinator = Receiver;
  }
  for (auto &[Receiver, Report] : Reports) {
    Report.Run = this->Run;
    Report.Sequence = ++this->Sequence;
    Report.RecentMilliseconds = static_cast<std::uint32_t>(
        toMilliseconds(std::min(this->Bounds.Window, Now - this->Started)));
    if (Receiver == this->Self) {
      this->Coordinator.onReport(this->Self, Report, Now);
    } else {
      this->Messages.push_back({Receiver, std::move(Report)});
    }
  }
}

void CustomerQuotas::onMessage(const std::string &Sender, const QuotaMessage &Message,
                               TimePoint Now) {
  if (const auto *Report = std::get_if<QuotaReport>(&Message)) {
    this->Coordinator.onReport(Sender, *Report, Now);
  } else if (const auto *Sums = std::get_if<QuotaSums>(&Message)) {
    this->Coordinator.onSums(Sender, *Sums, Now);
  } else {
    this->applyShares(Sender, std::get<QuotaShares>(Message), Now);
  }
  this->takeCoordinatorMessages(Now);
}

void CustomerQuotas::applyShares(const std::string &Sender, const QuotaShares &Shares,
                                 TimePoint Now) {
  for (const QuotaShare &Each : Shares.Shares) {
    if (!this->Configured.contains(Each.Customer)) {
      continue;
    }
    Usage &Of = this->Usages[Each.Customer];
    // A coordinator that was paused does not know of the restriction yet.
    const bool IsForeignIncrease = Each.AdmittedShare > Of.Share && Sender != Of.ShareSource &&
                                   Now - Of.ShareReceived < SourceLifetime;
    if (!IsForeignIncrease) {
      if (Of.Share == FullShare && Each.AdmittedShare < FullShare) {
        Of.Credit = phase(Each.Customer, this->Self);
      }
      Of.Share = std::min(FullShare, Each.AdmittedShare);
      Of.ShareReceived = Now;
      Of.ShareSource = Sender;
    }
    if (Each.NeedsReport) {
      this->setReportDue(Of, Now);
    }
    if (Sender != this->receiverOf(Each.Customer, Of)) {
      continue;
    }
    if (!Each.NeedsReport && Of.Unconfirmed && Of.Requested == Of.ReportedRequested) {
      Of.ReportDue.reset();
    }
    Of.Unconfirmed.reset();
  }
}

void CustomerQuotas::onTick(TimePoint Now) {
  if (this->NextReport && *this->NextReport <= Now) {
    this->sendReports(Now);
  }
  this->Coordinator.onTick(Now);
  this->takeCoordinatorMessages(Now);
}

void CustomerQuotas::takeCoordinatorMessages(TimePoint Now) {
  for (OutgoingQuotaMessage &Each : this->Coordinator.takeMessages()) {
    if (Each.Receiver != this->Self) {
      this->Messages.push_back(std::move(Each));
    } else if (const auto *Shares = std::get_if<QuotaShares>(&Each.Message)) {
      this->applyShares(this->Self, *Shares, Now);
    }
  }
}

std::vector<OutgoingQuotaMessage> CustomerQuotas::takeMessages() {
  return std::exchange(this->Messages, {});
}

std::optional<TimePoint> CustomerQuotas::nextTick() const {
  const std::optional<TimePoint> CoordinatorTick = this->Coordinator.nextTick();
  if (!this->NextReport || !CoordinatorTick) {
    return this->NextReport ? this->NextReport : CoordinatorTick;
  }
  return std::min(*this->NextReport, *CoordinatorTick);
}

} // namespace anvilsaddle
