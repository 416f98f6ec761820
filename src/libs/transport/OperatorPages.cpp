#include "transport/OperatorPages.h"

#include "coordination/dispatch/Dispatcher.h"
#include "coordination/membership/Membership.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/Clock.h"
#include "transport/ProxyHandler.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using Json = nlohmann::ordered_json;

std::string toText(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

Json toArray(const std::set<RegionName> &Regions) {
  Json Result = Json::array();
  for (const RegionName &Each : Regions) {
    Result.push_back(Each.str());
  }
  return Result;
}

const char *stateName(const TargetState &View, bool IsUsable, TimePoint PauseEnd, TimePoint Now) {
  if (View.Registration.Draining) {
    return "draining";
  }
  if (View.Conditions.IsLeaving) {
    return "leaving";
  }
  if (!IsUsable) {
    return "taken_out";
  }
  if (Now < View.BackoffUntil) {
    return "unreachable";
  }
  if (Now < PauseEnd) {
    return "paused";
  }
  if (View.isCold(Now)) {
    return "cold";
  }
  return View.Healthy ? "ready" : "unwell";
}

} // namespace

void OperatorPages::onRequest(HttpExchange &Exchange) {
  const std::string_view RequestTarget = Exchange.head().RequestTarget;
  const std::string_view Path = pathWithoutQuery(RequestTarget);
  if (Path == "/metrics") {
    Exchange.respondText(200, "text/plain; version=0.0.4", this->renderMetrics());
  } else if (Path == "/status") {
    Exchange.respondText(200, "application/json", this->renderStatus());
  } else if (Path == "/targets") {
    Exchange.respondText(200, "application/json", this->renderTargets());
  } else if (Path == "/customers") {
    Exchange.respondText(200, "application/json", this->renderCustomers());
  } else if (Path == "/audit") {
    Exchange.respondText(200, "application/json", this->renderAudit(RequestTarget));
  } else if (Path == "/explain") {
    Exchange.respondText(200, "application/json", this->renderExplanation(RequestTarget));
  } else {
    Exchange.respondText(404, "text/plain", "no such page\n");
  }
}

std::string OperatorPages::renderMetrics() const {
  const TimePoint Now = this->Deps.Time.now();
  const Dispatcher &Requests = this->Deps.RequestDispatcher;
  this->Deps.EntryMetrics.setRetryBudget(
      {Requests.retryShare().EntryCount, Requests.baseRetryShare(), Requests.retryUsages(Now)});
  return this->Deps.EntryMetrics.render(Now);
}

std::string OperatorPages::renderStatus() const {
  const Configuration *Current = this->Deps.Proxy.configuration();
  Json Result;
  Result["state"] = toString(this->Deps.Members.state());
  Result["configuration"] = Current ? Json(Current->Version) : Json(nullptr);
  Result["routes"] = Current ? Current->Routes.size() : 0;
  Result["customers"] = Current ? Current->Customers.size() : 0;
  Result["requests"] = this->Deps.Proxy.size();
  Result["queued"] = this->Deps.RequestDispatcher.queueLength();
  Result["entries"] = Json::array();
  for (const EntryRecord &Each : this->Deps.Members.liveEntries()) {
    Result["entries"].push_back({{"address", Each.Address},
                                 {"failure_domain", Each.Domain.str()},
                                 {"state", toString(Each.State)}});
  }
  Result["taken_out"] = Json::array();
  for (const FailureDomainName &Each : this->Deps.RequestDispatcher.targets().evacuatedDomains()) {
    Result["taken_out"].push_back(Each.str());
  }
  return toText(Result);
}

std::string OperatorPages::renderTargets() const {
  const TimePoint Now = this->Deps.Time.now();
  const TargetTable &Table = this->Deps.RequestDispatcher.targets();
  Json Result = Json::array();
  for (const auto &[Name, View] : Table.all()) {
    Json Row = {{"target", Name.str()},
                {"service", View.Registration.Service.str()},
                {"failure_domain", View.Registration.Domain.str()},
                {"address", toString(View.Registration.Address)},
                {"state", stateName(View, Table.isUsable(Name), Table.pauseEnd(View), Now)},
                {"in_flight", View.InFlight}};
    if (View.Load) {
      Row["running"] = View.Load->Running;
      Row["waiting"] = View.Load->Waiting;
      Row["slots"] = View.Load->Slots;
      Row["slowdown"] = View.Load->Slowdown;
      Row["report_age_s"] = toSeconds(Now - View.LoadTime);
    }
    if (View.Conditions.RequestLimit) {
      Row["limit_per_s"] = *View.Conditions.RequestLimit;
    }
    if (Now < Table.pauseEnd(View)) {
      Row["pause_left_s"] = toSeconds(Table.pauseEnd(View) - Now);
    }
    Result.push_back(std::move(Row));
  }
  return toText(Result);
}

std::string OperatorPages::renderCustomers() const {
  const Configuration *Current = this->Deps.Proxy.configuration();
  const auto &Counts = this->Deps.EntryMetrics.customers();
  Json Result = Json::array();
  if (!Current) {
    return toText(Result);
  }
  for (const auto &[Name, Each] : Current->Customers) {
    const auto Counted = Counts.find(Name);
    const Metrics::CustomerCounts Values =
        Counted == Counts.end() ? Metrics::CustomerCounts() : Counted->second;
    // The number of keys only: digests are of no use to operators.
    Result.push_back({{"customer", Name.str()},
                      {"keys", Each.Keys.size()},
                      {"priority", Each.Priority ? Json(*Each.Priority) : Json(nullptr)},
                      {"home_regions", toArray(Each.HomeRegions)},
                      {"limit_per_s", Each.RequestsPerSecond},
                      {"burst", Each.Burst},
                      {"admitted", Values.Admitted},
                      {"refused", Values.Refused}});
  }
  return toText(Result);
}

std::string OperatorPages::renderAudit(std::string_view RequestTarget) const {
  const std::string AfterText = queryParameter(RequestTarget, "after");
  std::uint64_t After = 0;
  std::from_chars(AfterText.data(), AfterText.data() + AfterText.size(), After);
  Json Result = Json::array();
  for (const AuditRecord &Each : this->Deps.Audit.recordsAfter(After)) {
    Result.push_back({{"sequence", Each.Sequence},
                      {"unix_ms", Each.UnixMilliseconds},
                      {"what", Each.Subject},
                      {"from", Each.OldValue},
                      {"to", Each.NewValue},
                      {"revision", Each.ConfigurationVersion},
                      {"why", Each.Reason}});
  }
  return toText(Result);
}

std::string OperatorPages::renderExplanation(std::string_view RequestTarget) const {
  const std::string Host = queryParameter(RequestTarget, "host");
  const std::string Path = queryParameter(RequestTarget, "path");
  const RouteTable *Routes = this->Deps.Proxy.routes();
  const Route *Matched = Routes ? Routes->find(Host, Path) : nullptr;
  Json Result = {{"host", Host}, {"path", Path}, {"route", nullptr}};
  if (!Matched) {
    Result["reason"] = Routes ? "no route matches" : "no configuration yet";
    return toText(Result);
  }
  Result["route"] = Matched->Name.str();
  Result["idempotent"] = Matched->Idempotent;
  Result["timeout_s"] = toSeconds(Matched->Timeout);
  Result["services"] = Json::array();
  for (const WeightedService &Each : Matched->Services) {
    Result["services"].push_back({{"service", Each.Service.str()}, {"weight", Each.Weight}});
  }
  Result["home_regions"] = toArray(Matched->HomeRegions);
  if (!this->Deps.Proxy.customers()->empty()) {
    Result["public"] = Matched->IsPublic;
  }
  const CustomerName Name(queryParameter(RequestTarget, "customer"));
  if (Name.empty()) {
    return toText(Result);
  }
  const Customer *Known = this->Deps.Proxy.customers()->find(Name);
  Result["customer"] = Known ? Json(Name.str()) : Json(nullptr);
  if (!Known) {
    Result["reason"] = "no such customer";
    return toText(Result);
  }
  Result["priority"] = Known->Priority.value_or(Matched->Priority);
  const auto HomeRegions = commonHomeRegions(Matched->HomeRegions, Known->HomeRegions);
  Result["home_regions"] = toArray(HomeRegions.value_or(std::set<RegionName>()));
  if (!HomeRegions) {
    Result["reason"] = "no region is home region of both route and customer";
  }
  return toText(Result);
}

} // namespace anvilsaddle
