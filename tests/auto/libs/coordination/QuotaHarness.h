#pragma once

#include "coordination/limits/CustomerQuotas.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilsaddle {

/// A fleet of entries with their quotas on a virtual clock. Messages take 1 ms within a region and
/// 30 ms between regions; they may be lost, repeated and delayed. Live entries are learned with the
/// delays of Membership.
class QuotaHarness {
public:
  static constexpr Duration Step = std::chrono::milliseconds(5);
  /// FailureTimeout of Membership and its next round.
  static constexpr Duration DeathDelay = std::chrono::milliseconds(4000);
  static constexpr Duration DiscoveryDelay = std::chrono::milliseconds(800);

  struct Network {
    double Loss = 0;
    double Repetition = 0;
    Duration MaxExtraDelay{0};
  };

  /// Load of one customer.
  struct Load {
    double RequestsPerSecond = 0;
    /// Entries that receive the requests; empty means all.
    std::vector<std::size_t> Entries{};
  };

  struct Counts {
    std::vector<TimePoint> Admitted;
    std::vector<TimePoint> Refused;
  };

  QuotaHarness(std::size_t EntryCount, std::size_t Regions, unsigned Seed)
      : Regions(Regions), Random(Seed) {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      this->addEntry();
    }
  }

  std::size_t size() const { return this->Entries.size(); }
  TimePoint now() const { return this->Now; }
  std::size_t regionOf(std::size_t Entry) const { return Entry % this->Regions; }
  static std::string addressOf(std::size_t Entry) {
    return "10.0." + std::to_string(Entry / 200) + "." + std::to_string(Entry % 200 + 1);
  }
  CustomerQuotas &quotas(std::size_t Entry) { return *this->Entries[Entry].Quotas; }

  void addEntry() {
    this->Entries.emplace_back();
    this->start(this->Entries.size() - 1);
  }
  /// Starts an entry, or starts it again without what it knew.
  void start(std::size_t Index) {
    Entry &Started = this->Entries[Index];
    Started.Quotas = std::make_unique<CustomerQuotas>(
        addressOf(Index), this->Now.time_since_epoch().count() + 1, this->Bounds, this->Now);
    Started.Quotas->setCustomers(this->Customers, this->Now);
    Started.IsRunning = true;
    Started.StartedAt = this->Now;
    Started.Known.clear();
    Started.Heard.clear();
  }
  void kill(std::size_t Index) {
    this->Entries[Index].IsRunning = false;
    this->Entries[Index].Inbox.clear();
  }
  void pause(std::size_t Index) { this->Entries[Index].IsPaused = true; }
  void resume(std::size_t Index) { this->Entries[Index].IsPaused = false; }
  /// Starts all entries again after a time without any.
  void restartAll(Duration Downtime) {
    for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
      this->kill(Index);
    }
    this->run(Downtime);
    for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
      this->start(Index);
    }
  }
  bool isRunning(std::size_t Index) const { return this->Entries[Index].IsRunning; }
  /// Entries of different parts can't hear each other.
  void setParts(std::function<std::size_t(std::size_t)> Part) { this->PartOf = std::move(Part); }
  void setCustomer(const std::string &Name, double Rate, double Burst) {
    Customer Each;
    Each.Name = CustomerName(Name);
    Each.RequestsPerSecond = Rate;
    Each.Burst = Burst;
    this->Customers[Each.Name] = Each;
    for (Entry &Other : this->Entries) {
      Other.Quotas->setCustomers(this->Customers, this->Now);
    }
  }
  void setLoad(const std::string &Name, Load Value) {
    this->Loads[CustomerName(Name)] = std::move(Value);
  }

  void run(Duration Time) {
    const TimePoint End = this->Now + Time;
    while (this->Now < End) {
      this->Now += Step;
      if (this->Now >= this->NextMembership) {
        this->updateMembership();
        this->NextMembership = this->Now + std::chrono::milliseconds(100);
      }
      this->deliver();
      this->request();
      for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
        this->tick(Index);
      }
    }
  }

  QuotaDecision request(const CustomerName &Name, std::size_t Index) {
    QuotaDecision Result = this->Entries[Index].Quotas->admit(Name, this->Now);
    (Result.IsAdmitted ? this->Results[Name].Admitted : this->Results[Name].Refused)
        .push_back(this->Now);
    return Result;
  }

  std::size_t indexOf(const std::string &Address) {
    if (this->Indexes.size() != this->Entries.size()) {
      for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
        this->Indexes[addressOf(Index)] = Index;
      }
    }
    return this->Indexes.at(Address);
  }

  /// Largest number of admitted requests in any window.
  std::size_t maxInWindow(const std::string &Name) const {
    const auto Found = this->Results.find(CustomerName(Name));
    if (Found == this->Results.end()) {
      return 0;
    }
    const std::vector<TimePoint> &Times = Found->second.Admitted;
    std::size_t Result = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Times.size(); ++Last) {
      while (Times[Last] - Times[First] > this->Bounds.Window) {
        ++First;
      }
      Result = std::max(Result, Last - First + 1);
    }
    return Result;
  }
  double bound(const std::string &Name) const {
    const Customer &Each = this->Customers.at(CustomerName(Name));
    const double Seconds = std::chrono::duration<double>(this->Bounds.Window).count();
    return (Each.RequestsPerSecond * Seconds + Each.Burst) * (1 + this->Bounds.Overshoot) +
           this->Bounds.Slack;
  }
  std::size_t admittedSince(const std::string &Name, TimePoint From) {
    const auto &Times = this->Results[CustomerName(Name)].Admitted;
    return static_cast<std::size_t>(Times.end() -
                                    std::lower_bound(Times.begin(), Times.end(), From));
  }
  std::size_t refusedSince(const std::string &Name, TimePoint From) {
    const auto &Times = this->Results[CustomerName(Name)].Refused;
    return static_cast<std::size_t>(Times.end() -
                                    std::lower_bound(Times.begin(), Times.end(), From));
  }
  std::size_t refusedSince(TimePoint From) {
    std::size_t Result = 0;
    for (const auto &[Name, Each] : this->Customers) {
      Result += this->refusedSince(Name.str(), From);
    }
    return Result;
  }
  std::size_t requests() const {
    std::size_t Result = 0;
    for (const auto &[Name, Each] : this->Results) {
      Result += Each.Admitted.size() + Each.Refused.size();
    }
    return Result;
  }
  std::vector<std::string> customerNames() const {
    std::vector<std::string> Result;
    for (const auto &[Name, Each] : this->Customers) {
      Result.push_back(Name.str());
    }
    return Result;
  }

  Network Link;
  QuotaBounds Bounds;
  std::size_t MessageCount = 0;
  std::size_t RemoteMessageCount = 0;
  /// Called for each message that is sent; may be empty.
  std::function<void(std::size_t Sender, const OutgoingQuotaMessage &Message)> OnSent;

private:
  struct Entry {
    std::unique_ptr<CustomerQuotas> Quotas;
    bool IsRunning = false;
    bool IsPaused = false;
    TimePoint StartedAt{};
    /// By index of the other entry.
    std::vector<bool> Known;
    std::vector<TimePoint> Heard;
    /// Messages that arrived while the entry was paused.
    std::vector<std::pair<std::string, QuotaMessage>> Inbox;
  };

  struct Datagram {
    std::size_t Sender = 0;
    std::size_t Receiver = 0;
    QuotaMessage Message;
  };

  bool areConnected(std::size_t Left, std::size_t Right) const {
    return !this->PartOf || this->PartOf(Left) == this->PartOf(Right);
  }

  void updateMembership() {
    for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
      Entry &Each = this->Entries[Index];
      if (!Each.IsRunning || Each.IsPaused) {
        continue;
      }
      Each.Heard.resize(this->Entries.size());
      Each.Known.resize(this->Entries.size());
      std::vector<bool> Known(this->Entries.size());
      for (std::size_t Other = 0; Other < this->Entries.size(); ++Other) {
        const Entry &Candidate = this->Entries[Other];
        const bool IsReachable =
            Candidate.IsRunning && !Candidate.IsPaused && this->areConnected(Index, Other);
        if (IsReachable) {
          Each.Heard[Other] = this->Now;
        }
        const bool IsDiscovered =
            IsReachable &&
            this->Now - std::max(Each.StartedAt, Candidate.StartedAt) >= DiscoveryDelay;
        const bool IsRetained = Each.Known[Other] && this->Now - Each.Heard[Other] < DeathDelay;
        Known[Other] = Other == Index || IsDiscovered || IsRetained;
      }
      if (Known == Each.Known) {
        continue;
      }
      Each.Known = std::move(Known);
      std::vector<QuotaEntry> Live;
      Live.reserve(this->Entries.size());
      for (std::size_t Other = 0; Other < this->Entries.size(); ++Other) {
        if (Each.Known[Other]) {
          Live.push_back({addressOf(Other),
                          RegionName("region-" + std::to_string(this->regionOf(Other))), false});
        }
      }
      Each.Quotas->setEntries(std::move(Live), this->Now);
    }
  }

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->Random); }

  void tick(std::size_t Index) {
    Entry &Each = this->Entries[Index];
    if (!Each.IsRunning || Each.IsPaused) {
      return;
    }
    for (auto &[Sender, Message] : std::exchange(Each.Inbox, {})) {
      Each.Quotas->onMessage(Sender, Message, this->Now);
    }
    if (const auto Next = Each.Quotas->nextTick(); Next && *Next <= this->Now) {
      Each.Quotas->onTick(this->Now);
    }
    for (OutgoingQuotaMessage &Outgoing : Each.Quotas->takeMessages()) {
      this->send(Index, Outgoing);
    }
  }

  void send(std::size_t Sender, const OutgoingQuotaMessage &Outgoing) {
    const std::size_t Receiver = this->indexOf(Outgoing.Receiver);
    const bool IsRemote = this->regionOf(Sender) != this->regionOf(Receiver);
    ++this->MessageCount;
    this->RemoteMessageCount += IsRemote ? 1 : 0;
    if (this->OnSent) {
      this->OnSent(Sender, Outgoing);
    }
    for (int Copy = 0; Copy < 2; ++Copy) {
      if (Copy == 1 && this->uniform() >= this->Link.Repetition) {
        return;
      }
      if (this->uniform() < this->Link.Loss) {
        continue;
      }
      const Duration Latency = std::chrono::milliseconds(IsRemote ? 30 : 1);
      const Duration Extra = scaled(this->Link.MaxExtraDelay, this->uniform());
      this->InFlight.emplace(this->Now + Latency + Extra,
                             Datagram{Sender, Receiver, Outgoing.Message});
    }
  }

  void deliver() {
    while (!this->InFlight.empty() && this->InFlight.begin()->first <= this->Now) {
      const Datagram Each = this->InFlight.begin()->second;
      this->InFlight.erase(this->InFlight.begin());
      Entry &Receiver = this->Entries[Each.Receiver];
      if (Receiver.IsRunning && this->areConnected(Each.Sender, Each.Receiver)) {
        Receiver.Inbox.emplace_back(addressOf(Each.Sender), Each.Message);
      }
    }
  }

  void request() {
    for (const auto &[Name, Each] : this->Loads) {
      const double Mean = Each.RequestsPerSecond * std::chrono::duration<double>(Step).count();
      if (Mean <= 0) {
        continue;
      }
      const int Count = std::poisson_distribution<int>(Mean)(this->Random);
      for (int Number = 0; Number < Count; ++Number) {
        const std::size_t Target = this->pick(Each);
        if (Target < this->Entries.size()) {
          this->request(Name, Target);
        }
      }
    }
  }

  /// Callers choose among the entries that run. Returns an index beyond the last if none does.
  std::size_t pick(const Load &From) {
    for (int Try = 0; Try < 1000; ++Try) {
      const std::size_t Count = From.Entries.empty() ? this->Entries.size() : From.Entries.size();
      const auto Number = static_cast<std::size_t>(this->uniform() * static_cast<double>(Count));
      const std::size_t Index = From.Entries.empty() ? Number : From.Entries[Number];
      if (this->Entries[Index].IsRunning && !this->Entries[Index].IsPaused) {
        return Index;
      }
    }
    return this->Entries.size();
  }

  std::size_t Regions;
  std::mt19937 Random;
  TimePoint Now{std::chrono::seconds(1000)};
  TimePoint NextMembership{};
  std::vector<Entry> Entries;
  std::map<std::string, std::size_t> Indexes;
  std::map<CustomerName, Customer> Customers;
  std::map<CustomerName, Load> Loads;
  std::map<CustomerName, Counts> Results;
  std::multimap<TimePoint, Datagram> InFlight;
  std::function<std::size_t(std::size_t)> PartOf;
};

/// The size that the quotas are designed for: 82 customers, a few of them large, with 565 requests
/// per second; limits of 1.6 times the usual load and a burst of a second.
inline std::map<std::string, double> usualLoads() {
  std::map<std::string, double> Result;
  const std::vector<double> Large = {110, 80, 55, 30};
  double Rest = 565;
  for (const double Each : Large) {
    Result["customer-" + std::to_string(Result.size())] = Each;
    Rest -= Each;
  }
  constexpr std::size_t CustomerCount = 82;
  double Weights = 0;
  for (std::size_t Index = Large.size(); Index < CustomerCount; ++Index) {
    Weights += 1 / static_cast<double>(Index);
  }
  for (std::size_t Index = Large.size(); Index < CustomerCount; ++Index) {
    Result["customer-" + std::to_string(Index)] = Rest / Weights / static_cast<double>(Index);
  }
  return Result;
}

constexpr double LimitPerLoad = 1.6;
constexpr double FloodPerLoad = 7.5;

inline void addUsualCustomers(QuotaHarness &Fleet) {
  for (const auto &[Name, Load] : usualLoads()) {
    Fleet.setCustomer(Name, LimitPerLoad * Load, LimitPerLoad * Load);
    Fleet.setLoad(Name, {Load});
  }
}

} // namespace anvilsaddle
