#include "transport/OperatorPages.h"

#include "coordination/Dispatcher.h"
#include "coordination/Membership.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/Clock.h"
#include "transport/RequestFlows.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using Json = nlohmann::ordered_json;

std::string text(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

double seconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

const char *stateOf(const TargetView &View, bool IsUsable, TimePoint Now) {
  if (View.Record.Draining) {
    return "draining";
  }
  if (!IsUsable) {
    return "taken_out";
  }
  if (Now < View.AvoidUntil) {
    return "unreachable";
  }
  if (View.isCold(Now)) {
    return "cold";
  }
  return View.Healthy ? "ready" : "unwell";
}

} // namespace

void OperatorPages::onRequest(HttpExchange &Exchange) {
  const std::string_view Target = Exchange.head().Target;
  const std::string_view Path = pathOf(Target);
  if (Path == "/metrics") {
    Exchange.respondText(200, "text/plain; version=0.0.4",
                         this->Uses.Counters.render(this->Uses.Time.now()));
  } else if (Path == "/status") {
    Exchange.respondText(200, "application/json", this->status());
  } else if (Path == "/targets") {
    Exchange.respondText(200, "application/json", this->targets());
  } else if (Path == "/audit") {
    Exchange.respondText(200, "application/json", this->audit(Target));
  } else if (Path == "/explain") {
    Exchange.respondText(200, "application/json", this->explain(Target));
  } else {
    Exchange.respondText(404, "text/plain", "no such page\n");
  }
}

std::string OperatorPages::status() const {
  const Configuration *Settings = this->Uses.Flows.configuration();
  Json Result;
  Result["state"] = toString(this->Uses.Members.state());
  Result["configuration"] = Settings ? Json(Settings->Version) : Json(nullptr);
  Result["routes"] = Settings ? Settings->Routes.size() : 0;
  Result["requests"] = this->Uses.Flows.size();
  Result["queued"] = this->Uses.Decisions.queueLength();
  Result["entries"] = Json::array();
  for (const MemberRecord &Each : this->Uses.Members.liveMembers()) {
    Result["entries"].push_back({{"address", Each.Address},
                                 {"failure_domain", Each.Domain.str()},
                                 {"state", toString(Each.State)}});
  }
  Result["taken_out"] = Json::array();
  for (const FailureDomainName &Each : this->Uses.Decisions.targets().evacuated()) {
    Result["taken_out"].push_back(Each.str());
  }
  return text(Result);
}

std::string OperatorPages::targets() const {
  const TimePoint Now = this->Uses.Time.now();
  const TargetTable &Table = this->Uses.Decisions.targets();
  Json Result = Json::array();
  for (const auto &[Name, View] : Table.all()) {
    Json Row = {{"target", Name.str()},
                {"service", View.Record.Service.str()},
                {"failure_domain", View.Record.Domain.str()},
                {"address", toString(View.Record.Address)},
                {"state", stateOf(View, Table.isUsable(Name), Now)},
                {"in_flight", View.InFlight}};
    if (View.Load) {
      Row["running"] = View.Load->Running;
      Row["waiting"] = View.Load->Waiting;
      Row["slots"] = View.Load->Slots;
      Row["slowdown"] = View.Load->Slowdown;
      Row["report_age_s"] = seconds(Now - View.LoadTime);
    }
    Result.push_back(std::move(Row));
  }
  return text(Result);
}

std::string OperatorPages::audit(std::string_view Target) const {
  const std::string After = queryParameter(Target, "after");
  std::uint64_t Number = 0;
  std::from_chars(After.data(), After.data() + After.size(), Number);
  Json Result = Json::array();
  for (const AuditRecord &Each : this->Uses.Audit.recordsAfter(Number)) {
    Result.push_back({{"sequence", Each.Sequence},
                      {"unix_ms", Each.UnixMilliseconds},
                      {"what", Each.Subject},
                      {"from", Each.OldValue},
                      {"to", Each.NewValue},
                      {"revision", Each.Revision},
                      {"why", Each.Reason}});
  }
  return text(Result);
}

std::string OperatorPages::explain(std::string_view Target) const {
  const std::string Host = queryParameter(Target, "host");
  const std::string Path = queryParameter(Target, "path");
  const RouteTable *Routes = this->Uses.Flows.routes();
  const Route *Found = Routes ? Routes->find(Host, Path) : nullptr;
  Json Result = {{"host", Host}, {"path", Path}, {"route", nullptr}};
  if (!Found) {
    Result["reason"] = Routes ? "no route matches" : "no configuration yet";
    return text(Result);
  }
  Result["route"] = Found->Name.str();
  Result["idempotent"] = Found->Idempotent;
  Result["timeout_s"] = seconds(Found->Timeout);
  Result["services"] = Json::array();
  for (const WeightedService &Each : Found->Services) {
    Result["services"].push_back({{"service", Each.Service.str()}, {"weight", Each.Weight}});
  }
  Result["home_regions"] = Json::array();
  for (const RegionName &Each : Found->HomeRegions) {
    Result["home_regions"].push_back(Each.str());
  }
  return text(Result);
}

} // namespace anvilsaddle
