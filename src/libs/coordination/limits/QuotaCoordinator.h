#pragma once

#include "coordination/limits/QuotaFleet.h"
#include "coordination/limits/QuotaMessages.h"
#include "coordination/limits/QuotaTally.h"
#include "state/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Counts the requests of the customers that this entry coordinates, and tells entries which share
/// of a customer's requests they may admit. A customer far below its limit causes no messages.
/// Not thread-safe; times must not decrease.
class QuotaCoordinator {
public:
  using Customers = std::map<CustomerName, Customer>;

  /// Precondition: the references outlive this object.
  QuotaCoordinator(const QuotaFleet &Fleet, const Customers &Configured, const QuotaBounds &Bounds,
                   TimePoint Now)
      : Fleet(Fleet), Configured(Configured), Bounds(Bounds), Started(Now) {}

  void onReport(const std::string &Sender, const QuotaReport &Report, TimePoint Now);
  void onSums(const std::string &Sender, const QuotaSums &Message, TimePoint Now);
  void onTick(TimePoint Now);
  /// Removes the state of customers and entries that other coordinators now count.
  void onFleetChanged();
  /// Nothing while all customers are far below their limits.
  std::optional<TimePoint> nextTick() const;
  std::vector<OutgoingQuotaMessage> takeMessages();

private:
  /// Requests that one entry has reported.
  struct Reporter {
    std::int64_t Run = 0;
    std::uint32_t Sequence = 0;
    std::uint32_t Admitted = 0;
    std::uint32_t Requested = 0;
    TimePoint LastReport{};
    QuotaTally AdmittedTally;
    QuotaTally RequestedTally;
  };

  /// Requests by age, newest first, as in QuotaSum.
  struct Sums {
    std::vector<double> Admitted;
    std::vector<double> Requested;
  };

  struct GroupSums {
    Sums Counts;
    /// 0 if it is not known.
    std::size_t HeardEntries = 0;
    TimePoint Received{};
  };

  struct State {
    std::map<std::string, Reporter> Reporters;
    /// By coordinator of another group.
    std::map<std::string, GroupSums> OtherGroups;
    std::optional<TimePoint> SumsSent;
    /// Set while the customer is near its limit or beyond it.
    std::optional<TimePoint> WatchedSince;
    std::uint32_t Share = 1000;
    /// What the entries were told last.
    std::uint32_t AnnouncedShare = 1000;
    std::optional<TimePoint> Announced;
    /// Start of the last restriction.
    std::optional<TimePoint> Restricted;
    /// Time when all entries of the group were asked for a report.
    std::optional<TimePoint> ReportsRequested;
    /// Share that entries apply by the announcement of an earlier coordinator.
    std::uint32_t InheritedShare = 1000;
    std::optional<TimePoint> Inherited;
    /// Part of the burst that may be used. Decreases during a restriction and increases after it,
    /// so that the admitted rate returns to the limit.
    double BurstPart = 1;
    TimePoint BurstPartTime{};
    /// Announcements of the end of a restriction that are still to be repeated.
    int RepeatsLeft = 0;
  };

  std::size_t slots() const { return slotCount(this->Bounds.Window); }
  static void countUsage(Reporter &From, const QuotaReport &Report, const QuotaUsage &Usage,
                         const QuotaBounds &Bounds, TimePoint Now);
  Sums ownSums(const State &Of, TimePoint Now) const;
  /// Sums of the groups that are heard from. `MissingRatio` is the number of all entries divided by
  /// that of the entries in these groups.
  Sums heardSums(const State &Of, const CustomerName &Name, TimePoint Now,
                 double &MissingRatio) const;
  /// Number of entries of this group that have reported since they were asked; 0 if it is not
  /// known.
  std::size_t heardEntries(const State &Of, TimePoint Now) const;
  bool isHeard(const State &Of, const std::string &Coordinator, TimePoint Now) const;
  void evaluate(const CustomerName &Name, State &Of, TimePoint Now);
  double windowLimit(const Customer &Limit) const;
  /// Exchanges sums with the other coordinators and evaluates the customer in each tick.
  void watch(const CustomerName &Name, State &Of, TimePoint Now);
  /// Asks all entries of the group for a report, so that a flood at entries that are cut off, but
  /// still taken for live ones, is noticed by their number.
  void requestReports(const CustomerName &Name, State &Of, TimePoint Now);
  bool isAnnouncementDue(const State &Of, double RequestRate, TimePoint Now) const;
  std::uint32_t shareFor(const Customer &Limit, const Sums &Total, double BurstPart,
                         bool IsOnset) const;
  State &findOrAddState(const CustomerName &Name, TimePoint Now);
  void updateBurstPart(State &Of, TimePoint Now) const;
  void sendSums(const std::string &Receiver, const CustomerName &Name, const State &Of,
                bool NeedsReply, TimePoint Now);
  void announce(const CustomerName &Name, State &Of, TimePoint Now);
  void addShare(const std::string &Receiver, const QuotaShare &Share);

  const QuotaFleet &Fleet;
  const Customers &Configured;
  const QuotaBounds &Bounds;
  TimePoint Started;
  std::map<CustomerName, State> States;
  std::optional<TimePoint> NextTick;
  /// Live entries at the last change, which have got all announcements since.
  std::set<std::string> InformedEntries;
  /// Messages of one tick, by receiver, so that those about several customers share a datagram.
  std::map<std::string, QuotaShares> PendingShares;
  std::map<std::string, QuotaSums> PendingSums;
};

} // namespace anvilsaddle
