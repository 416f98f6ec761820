#include "transport/RequestLogFields.h"

#include "transport/ActiveRequest.h"

#include <array>
#include <chrono>

#include <glib.h>

namespace anvilsaddle {

namespace {

/// Shares are in thousandths.
constexpr double ShareRadix = 1000;

} // namespace

std::string formatDecimal(double Value) {
  std::array<char, G_ASCII_DTOSTR_BUF_SIZE> Text{};
  g_ascii_formatd(Text.data(), Text.size(), "%.3f", Value);
  return Text.data();
}

std::string formatStaleness(std::optional<TimePoint> KnownAsOf, TimePoint Now) {
  return KnownAsOf ? formatMilliseconds(Now - *KnownAsOf) : "unknown";
}

std::string formatSeconds(Duration Value) {
  return formatDecimal(std::chrono::duration<double>(Value).count());
}

std::string formatMilliseconds(Duration Value) { return std::to_string(toMilliseconds(Value)); }

LogFields withCustomer(LogFields Fields, const CustomerName &Customer) {
  if (!Customer.empty()) {
    Fields.emplace_back("customer", Customer.str());
  }
  return Fields;
}

LogFields forwardedLogFields(const ActiveRequest &Request, const SendAttempt &Command) {
  return {{"request", Request.id()},
          {"service", Request.attributes().Service.str()},
          {"version", std::to_string(Request.attributes().ConfigurationVersion)},
          {"attempt", std::to_string(Command.Attempt)},
          {"entry", Command.Target.str()},
          {"may_wait", Command.Forward->MayQueue ? "yes" : "no"},
          {"targets", std::to_string(Command.Forward->MaxTargets)},
          {"expected_ms", formatMilliseconds(Command.Details.ExpectedCost)},
          {"elapsed_ms", formatMilliseconds(Command.Forward->Elapsed)}};
}

void addHedgeInputs(LogFields &Fields, const HedgeInputs &Inputs) {
  Fields.emplace_back("hedge_after_ms", formatMilliseconds(Inputs.Elapsed));
  Fields.emplace_back("first_expected_ms", formatMilliseconds(Inputs.ExpectedTime));
  Fields.emplace_back("hedge_factor", formatDecimal(Inputs.Factor));
  Fields.emplace_back("hedge_credit", formatDecimal(Inputs.Credit));
}

LogFields sentLogFields(const std::string &RequestId, const SendAttempt &Command) {
  const PlacementDetails &Placement = Command.Details;
  LogFields Result{{"request", RequestId},
                   {"attempt", std::to_string(Command.Attempt)},
                   {"target", Command.Target.str()},
                   {"hedge", Placement.IsHedge ? "yes" : "no"},
                   {"running", std::to_string(Placement.Load.Running)},
                   {"waiting", std::to_string(Placement.Load.Waiting)},
                   {"slots", std::to_string(Placement.Load.Slots)},
                   {"slowdown", formatDecimal(Placement.Load.Slowdown)},
                   {"load_age_us", std::to_string(Placement.LoadAge.count())},
                   {"expected_ms", formatMilliseconds(Placement.ExpectedCost)},
                   {"candidates", std::to_string(Placement.CandidateCount)},
                   {"expected_time_ms", formatMilliseconds(Placement.ExpectedTime)},
                   {"slow_time_ms", formatMilliseconds(Placement.TimeIfSlowdownLasts)},
                   {"time_left_ms", formatMilliseconds(Placement.TimeLeft)},
                   {"deferrals", std::to_string(Placement.DeferralCount)},
                   {"reject_rate", formatDecimal(Placement.RejectRate)}};
  if (Placement.Hedge) {
    addHedgeInputs(Result, *Placement.Hedge);
  }
  return Result;
}

LogFields overQuotaLogFields(const std::string &RequestId, const CustomerName &Customer,
                             const QuotaDecision &Decision) {
  return {{"request", RequestId},
          {"kind", "over_quota"},
          {"reason", toString(Decision.Reason)},
          {"customer", Customer.str()},
          {"limit_per_s", formatDecimal(Decision.RequestsPerSecond)},
          {"burst", formatDecimal(Decision.Burst)},
          {"admitted_share", formatDecimal(Decision.AdmittedShare / ShareRadix)},
          {"entry_admitted", formatDecimal(Decision.RecentlyAdmitted)},
          {"entry_requested", formatDecimal(Decision.RecentlyRequested)},
          {"live_entries", std::to_string(Decision.LiveEntries)},
          {"assumed_entries", std::to_string(Decision.AssumedEntries)},
          {"coordinator", Decision.Coordinator},
          {"retry_after_s", formatSeconds(Decision.RetryAfter)}};
}

} // namespace anvilsaddle
