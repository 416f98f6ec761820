#pragma once

#include "coordination/limits/QuotaCoordinator.h"
#include "coordination/limits/QuotaFleet.h"
#include "coordination/limits/QuotaMessages.h"
#include "coordination/limits/QuotaTally.h"
#include "state/Configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

enum class QuotaReason {
  /// The customer has no limit, or the request is within it.
  WithinLimit,
  /// The entries together receive more requests than the limit.
  FleetLimit,
  /// This entry alone has used what it may admit.
  EntryLimit,
  /// As EntryLimit, with a small part only because no coordinator has confirmed its reports.
  NotConfirmed,
};

const char *toString(QuotaReason Reason);

/// Decision on one request with the inputs that led to it. Value type.
struct QuotaDecision {
  bool IsAdmitted = true;
  /// Time after which the customer is within its limit if it does not exceed the limit further.
  Duration RetryAfter{0};
  QuotaReason Reason = QuotaReason::WithinLimit;
  /// 0 means no limit.
  double RequestsPerSecond = 0;
  double Burst = 0;
  /// Share of the requests that the entries admit, in thousandths.
  std::uint32_t AdmittedShare = 1000;
  /// Requests at this entry in the last window.
  double RecentlyAdmitted = 0;
  double RecentlyRequested = 0;
  std::size_t LiveEntries = 0;
  std::size_t AssumedEntries = 0;
  std::string Coordinator{};

  auto operator<=>(const QuotaDecision &) const = default;
};

/// Limits the requests of each customer at all entries together. One object per entry, which admits
/// requests and coordinates some of the customers.
///
/// Each request is decided at once from what the entry was told last: all are admitted until a
/// coordinator announces a share for the customer. docs/design/quotas.md describes the exchange.
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class CustomerQuotas {
public:
  /// `Run` is the start time of the entry and distinguishes it from earlier runs.
  CustomerQuotas(std::string Self, std::int64_t Run, const QuotaBounds &Bounds, TimePoint Now);
  CustomerQuotas(const CustomerQuotas &) = delete;
  CustomerQuotas &operator=(const CustomerQuotas &) = delete;

  void setCustomers(const std::map<CustomerName, Customer> &Customers, TimePoint Now);
  /// Sets the live entries, including this one.
  void setEntries(std::vector<QuotaEntry> Entries, TimePoint Now);
  QuotaDecision admit(const CustomerName &Name, TimePoint Now);
  /// Takes back an admitted request that no target will run.
  void refund(const CustomerName &Name, TimePoint Now);
  void onMessage(const std::string &Sender, const QuotaMessage &Message, TimePoint Now);
  void onTick(TimePoint Now);
  std::vector<OutgoingQuotaMessage> takeMessages();
  /// Nothing if no message is due.
  std::optional<TimePoint> nextTick() const;

private:
  /// Requests of one customer at this entry.
  struct Usage {
    QuotaTally AdmittedTally;
    QuotaTally RequestedTally;
    std::uint32_t Admitted = 0;
    std::uint32_t Requested = 0;
    std::uint32_t ReportedAdmitted = 0;
    std::uint32_t ReportedRequested = 0;
    std::uint32_t Share = 1000;
    TimePoint ShareReceived{};
    /// Coordinator that announced the share.
    std::string ShareSource{};
    /// Sum of the shares of the requests less those admitted; a request is admitted at 1.
    double Credit = 0;
    /// Fill level of the leaky bucket that limits this entry.
    double Level = 0;
    TimePoint LevelTime{};
    /// Time of the first report without the confirmation that it needs.
    std::optional<TimePoint> Unconfirmed;
    std::optional<TimePoint> LastReplyRequest;
    std::optional<TimePoint> ReportDue;
    /// The coordinator of this entry's group does not confirm, so that another one gets the
    /// reports.
    bool IsRedirected = false;
    /// Coordinator that got the last report; empty if none has.
    std::string Coordinator{};
  };

  /// Limit of a leaky bucket.
  struct EntryLimit {
    double RequestsPerSecond = 0;
    double Capacity = 1;
    bool IsConfirmed = true;
    /// Time after which another limit applies.
    Duration MaxWait = Duration::max() / 2;
  };

  EntryLimit entryLimit(const Customer &Limit, const Usage &Of, TimePoint Now) const;
  bool isHeavy(const Customer &Limit, const Usage &Of, TimePoint Now) const;
  void scheduleReport(const Customer &Limit, Usage &Of, TimePoint Now);
  QuotaUsage makeUsage(const CustomerName &Name, Usage &Of, TimePoint Now) const;
  /// Decides whether a report that is sent now needs a reply.
  bool needsReply(const CustomerName &Name, const Usage &Of, TimePoint Now);
  void sendReports(TimePoint Now);
  void setReportDue(Usage &Of, TimePoint Due);
  /// The coordinator that gets the reports about a customer.
  const std::string &receiverOf(const CustomerName &Name, const Usage &Of) const;
  void applyShares(const std::string &Sender, const QuotaShares &Shares, TimePoint Now);
  void takeCoordinatorMessages(TimePoint Now);

  std::string Self;
  std::int64_t Run;
  QuotaBounds Bounds;
  TimePoint Started;
  std::map<CustomerName, Customer> Configured;
  QuotaFleet Fleet;
  QuotaCoordinator Coordinator;
  std::map<CustomerName, Usage> Usages;
  std::uint32_t Sequence = 0;
  std::optional<TimePoint> NextReport;
  /// Next report for which this entry asks for a confirmation although it has admitted few
  /// requests.
  TimePoint NextSample{};
  std::vector<OutgoingQuotaMessage> Messages;
};

} // namespace anvilsaddle
