#include "transport/RoutingRejections.h"

#include "coordination/publications/PropagationBound.h"
#include "protocol/Metrics.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/LocalResponse.h"
#include "transport/RequestLogFields.h"

#include <chrono>
#include <set>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;
/// An entry receives its configuration within about a second of its start, and what it has missed
/// within less after a disturbance. Other entries may know it already.
constexpr Duration RetryWhileOutdated = 300ms;

std::string joinNames(const std::set<RegionName> &Names) {
  std::string Result;
  for (const RegionName &Each : Names) {
    Result += (Result.empty() ? "" : ",") + Each.str();
  }
  return Result;
}

} // namespace

std::string RoutingRejections::versionText() const {
  return this->Version ? std::to_string(*this->Version) : "none";
}

std::string RoutingRejections::stalenessText() const {
  return formatStaleness(this->KnownAsOf, this->Time.now());
}

bool RoutingRejections::isOutdated() const {
  return anvilsaddle::isOutdated(this->KnownAsOf, this->Time.now());
}

HeadRejection RoutingRejections::unauthenticated(const std::string &Id, const std::string &Reason,
                                                 bool IsForwarded) {
  // The other entry tries elsewhere after 503. Its caller has been authenticated there.
  const bool IsFinal = !IsForwarded && !this->isOutdated();
  const int Status = IsFinal ? Unauthorized : Unavailable;
  this->RequestMetrics.onRefused(Reason, Status);
  logEvent(IsForwarded ? LogLevel::Warning : LogLevel::Info, "refused",
           {{"request", Id},
            {"reason", Reason},
            {"status", std::to_string(Status)},
            {"version", this->versionText()},
            {"staleness_ms", this->stalenessText()}});
  const bool MayComeBack = !IsForwarded && !IsFinal;
  ResponseHead Head = localResponse(Status, MayComeBack ? RetryWhileOutdated : Duration(0));
  if (IsFinal) {
    Head.Fields.emplace_back("WWW-Authenticate", "Bearer");
  }
  return {std::move(Head), Reason + "\n"};
}

HeadRejection RoutingRejections::unrouted(const std::string &Id) {
  const bool IsFinal = this->Version && !this->isOutdated();
  const int Status = IsFinal ? NotFound : Unavailable;
  const std::string Reason = this->Version ? "no route matches" : "no configuration yet";
  this->RequestMetrics.onRefused(Reason, Status);
  logEvent(LogLevel::Info, "refused",
           {{"request", Id},
            {"reason", Reason},
            {"status", std::to_string(Status)},
            {"version", this->versionText()},
            {"staleness_ms", this->stalenessText()}});
  return {localResponse(Status, IsFinal ? Duration(0) : RetryWhileOutdated), Reason + "\n"};
}

HeadRejection RoutingRejections::routedDifferently(const std::string &Id,
                                                   const ServiceName &Service) {
  const std::string Reason = "routed by another configuration";
  this->RequestMetrics.onRefused(Reason, Unavailable);
  logEvent(LogLevel::Info, "refused",
           {{"request", Id},
            {"reason", Reason},
            {"service", Service.str()},
            {"version", this->versionText()},
            {"staleness_ms", this->stalenessText()}});
  return {localResponse(Unavailable, RetryWhileOutdated), Reason + "\n"};
}

HeadRejection RoutingRejections::withoutRegion(const std::string &Id, const Route &MatchedRoute,
                                               const Customer &Refused) {
  const std::string Reason = "no region is home region of both route and customer";
  this->RequestMetrics.onRefused(Reason, Unavailable);
  logEvent(LogLevel::Info, "refused",
           {{"request", Id},
            {"reason", Reason},
            {"route", MatchedRoute.Name.str()},
            {"customer", Refused.Name.str()},
            {"route_regions", joinNames(MatchedRoute.HomeRegions)},
            {"customer_regions", joinNames(Refused.HomeRegions)},
            {"version", this->versionText()}});
  return {localResponse(Unavailable, Duration(0)), Reason + "\n"};
}

} // namespace anvilsaddle
