#pragma once

#include "coordination/limits/BudgetEntries.h"
#include "coordination/limits/RetryBudget.h"
#include "coordination/membership/Membership.h"

#include <algorithm>
#include <bitset>
#include <string>
#include <vector>

namespace anvilsaddle {

/// The retry budgets of 18 entries in 6 failure domains and 3 regions on a virtual clock. Every
/// entry takes all retries that it may, and each window is compared with the limit of the fleet.
class RetryFleet {
public:
  static constexpr std::size_t EntryCount = 18;
  static constexpr std::size_t RegionCount = 3;
  static constexpr std::size_t DomainCount = 6;
  static constexpr RetryBudgetLimits Limits = {0.2, 62, std::chrono::seconds(10)};
  /// Time until entries that reach each other are in each other's view.
  static constexpr Duration DiscoveryDelay = std::chrono::milliseconds(800);
  static constexpr Duration Step = std::chrono::milliseconds(250);

  RetryFleet() : Entries(EntryCount) {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      this->start(Index);
    }
    this->advance(std::chrono::seconds(30));
  }

  void advance(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;) {
      this->Now = std::min(End, this->Now + Step);
      this->updateViews();
      this->checkWindow();
    }
  }
  void request(std::size_t Index, int Count) {
    for (int Each = 0; this->Entries[Index].IsRunning && Each < Count; ++Each) {
      this->Entries[Index].Budget.onRequest(this->TestedService, this->Now);
      this->Requests.push_back(this->Now);
    }
  }
  void takeAll(std::size_t Index) {
    Entry &Self = this->Entries[Index];
    while (Self.IsRunning && Self.Budget.tryAcquire(this->TestedService, this->Now)) {
      this->Retries.push_back(this->Now);
    }
    this->checkWindow();
  }
  void takeAllEverywhere() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      this->takeAll(Index);
    }
  }
  void start(std::size_t Index) {
    if (!this->Entries[Index].IsRunning) {
      this->Entries[Index] = Entry();
      this->Entries[Index].IsRunning = true;
      this->Entries[Index].StartedAt = this->Now;
      this->updateViews();
    }
  }
  /// Ends the process of an entry. The others notice at once, sooner than Membership does.
  void kill(std::size_t Index) {
    this->Entries[Index].IsRunning = false;
    this->updateViews();
  }
  void restart(std::size_t Index) {
    this->kill(Index);
    this->start(Index);
  }
  void restartAll() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      this->restart(Index);
    }
  }
  void setRegionsParted(bool AreParted) {
    this->AreRegionsParted = AreParted;
    this->updateViews();
  }
  /// Divides the fleet into as many parts as there are regions, each with entries of all regions.
  void setPartedAcrossRegions() {
    this->AreRegionsDivided = true;
    this->updateViews();
  }
  /// Whether an entry gets no heartbeats of others.
  void setIsolated(std::size_t Index, bool IsIsolated) {
    this->Entries[Index].IsIsolated = IsIsolated;
    this->updateViews();
  }
  bool isIsolated(std::size_t Index) const { return this->Entries[Index].IsIsolated; }
  bool areRegionsParted() const { return this->AreRegionsParted; }
  std::size_t retryCount() const { return this->Retries.size(); }
  /// The window that exceeds the limit by the most retries; empty if none does.
  const std::string &exceeded() const { return this->Exceeded; }

private:
  struct Entry {
    RetryBudget Budget{Limits};
    BudgetEntries Counted{makeTopology(), Limits.Window};
    std::bitset<EntryCount> View;
    TimePoint StartedAt{};
    bool IsRunning = false;
    bool IsIsolated = false;
  };

  static std::size_t regionOf(std::size_t Index) { return Index * RegionCount / EntryCount; }
  static std::size_t domainOf(std::size_t Index) { return Index * DomainCount / EntryCount; }

  static FailureDomainName domainNameOf(std::size_t Index) {
    return FailureDomainName("d" + std::to_string(domainOf(Index)));
  }
  static Topology makeTopology() {
    Topology Result;
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      Result.RegionByDomain[domainNameOf(Index)] =
          RegionName("r" + std::to_string(regionOf(Index)));
    }
    return Result;
  }
  static EntryRecord recordOf(std::size_t Index) {
    EntryRecord Result;
    Result.Address = "10.0.0." + std::to_string(Index + 1);
    Result.Domain = domainNameOf(Index);
    Result.State = EntryState::Ready;
    return Result;
  }
  static std::vector<EntryRecord> recordsOf(const std::bitset<EntryCount> &View) {
    std::vector<EntryRecord> Result;
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      if (View.test(Index)) {
        Result.push_back(recordOf(Index));
      }
    }
    return Result;
  }
  bool sees(std::size_t Index, std::size_t Other) const {
    const Entry &Self = this->Entries[Index];
    const Entry &Seen = this->Entries[Other];
    if (Index == Other) {
      return true;
    }
    const bool IsParted = (this->AreRegionsParted && regionOf(Index) != regionOf(Other)) ||
                          (this->AreRegionsDivided && Index % RegionCount != Other % RegionCount);
    const bool IsReachable = !Self.IsIsolated && !IsParted;
    return Seen.IsRunning && IsReachable &&
           std::max(Self.StartedAt, Seen.StartedAt) + DiscoveryDelay <= this->Now;
  }
  void updateViews() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      std::bitset<EntryCount> View;
      for (std::size_t Other = 0; Other < EntryCount; ++Other) {
        View.set(Other, this->sees(Index, Other));
      }
      this->setView(this->Entries[Index], View);
    }
  }
  void setView(Entry &Self, const std::bitset<EntryCount> &View) {
    if (View != Self.View) {
      Self.View = View;
      Self.Counted.setLive(recordsOf(View), this->Now);
    }
    Self.Budget.setShare(Self.Counted.share(this->Now));
  }

  /// Number of times after `First` up to `Last`.
  static double countWithin(const std::vector<TimePoint> &Times, TimePoint First, TimePoint Last) {
    const auto Begin = std::upper_bound(Times.begin(), Times.end(), First);
    return static_cast<double>(std::upper_bound(Begin, Times.end(), Last) - Begin);
  }
  /// Compares the window that ends now with the limit, for which the window with the most requests
  /// counts: this one, the one before it, or the one half a window before it.
  void checkWindow() {
    double MaxRequests = 0;
    for (const Duration Offset : {Duration(0), Limits.Window / 2, Limits.Window}) {
      const TimePoint End = this->Now - Offset;
      MaxRequests = std::max(MaxRequests, countWithin(this->Requests, End - Limits.Window, End));
    }
    const double Allowed = Limits.Ratio * MaxRequests + Limits.BaseRetries;
    const double Used = countWithin(this->Retries, this->Now - Limits.Window, this->Now);
    if (Used - Allowed > this->MaxExcess) {
      this->MaxExcess = Used - Allowed;
      this->Exceeded = std::to_string(Used) + " retries of " + std::to_string(Allowed);
    }
  }

  const ServiceName TestedService{"board"};
  std::vector<Entry> Entries;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Retries;
  TimePoint Now{std::chrono::seconds(100)};
  bool AreRegionsParted = false;
  bool AreRegionsDivided = false;
  double MaxExcess = 0;
  std::string Exceeded;
};

} // namespace anvilsaddle
