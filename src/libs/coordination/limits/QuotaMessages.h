#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Requests of one customer at one entry. All counts are totals, so that a lost or repeated report
/// needs no repair. Value type.
struct QuotaUsage {
  CustomerName Customer;
  /// Since the start of the entry.
  std::uint32_t Admitted = 0;
  std::uint32_t Requested = 0;
  /// Within the last window.
  std::uint32_t RecentlyAdmitted = 0;
  std::uint32_t RecentlyRequested = 0;
  /// Part of the recent ones that no earlier report contained.
  std::uint32_t NewlyAdmitted = 0;
  std::uint32_t NewlyRequested = 0;
  /// Admitted share of the requests at the entry, in thousandths.
  std::uint32_t AdmittedShare = 1000;

  auto operator<=>(const QuotaUsage &) const = default;
};

/// Report of an entry to a coordinator. Value type.
struct QuotaReport {
  /// Start time of the entry, which distinguishes it from earlier runs.
  std::int64_t Run = 0;
  /// Increases with each report of a run.
  std::uint32_t Sequence = 0;
  /// The entry admits many requests and needs a confirmation that the coordinator counts them.
  bool NeedsReply = false;
  /// Time that the recent requests cover: the window, or the time since the start if it is shorter.
  std::uint32_t RecentMilliseconds = 0;
  std::vector<QuotaUsage> Usages{};

  auto operator<=>(const QuotaReport &) const = default;
};

/// What the entries that report to one coordinator have admitted and received. Value type.
struct QuotaSum {
  CustomerName Customer;
  /// Tenths of requests by age, newest first; an element covers QuotaTally::SlotLength.
  std::vector<std::uint32_t> Admitted{};
  std::vector<std::uint32_t> Requested{};
  /// Number of entries that the coordinator hears from; 0 if it does not know.
  std::uint32_t HeardEntries = 0;

  auto operator<=>(const QuotaSum &) const = default;
};

/// Message to the other coordinator of a customer. Value type.
struct QuotaSums {
  bool NeedsReply = false;
  std::vector<QuotaSum> Sums{};

  auto operator<=>(const QuotaSums &) const = default;
};

/// Share of a customer's requests that entries may admit. Value type.
struct QuotaShare {
  CustomerName Customer;
  /// In thousandths; 1000 if the customer is not restricted.
  std::uint32_t AdmittedShare = 1000;
  /// The entry reports at once, also if it has had no request, so that the coordinator learns which
  /// entries it can hear.
  bool NeedsReport = false;

  auto operator<=>(const QuotaShare &) const = default;
};

/// Instruction of a coordinator to an entry. Value type.
struct QuotaShares {
  std::vector<QuotaShare> Shares{};

  auto operator<=>(const QuotaShares &) const = default;
};

using QuotaMessage = std::variant<QuotaReport, QuotaSums, QuotaShares>;

/// A message and the address of its receiver.
struct OutgoingQuotaMessage {
  std::string Receiver;
  QuotaMessage Message;

  auto operator<=>(const OutgoingQuotaMessage &) const = default;
};

/// Bounds that the platform sets for the quotas of all customers. Value type.
struct QuotaBounds {
  Duration Window = std::chrono::seconds(5);
  /// Requests beyond the limit of a window, as a share of it.
  double Overshoot = 0.25;
  /// Requests beyond the limit of a window that do not depend on it.
  double Slack = 20;

  auto operator<=>(const QuotaBounds &) const = default;
};

} // namespace anvilsaddle
