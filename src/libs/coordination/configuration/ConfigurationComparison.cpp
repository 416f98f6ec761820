#include "coordination/configuration/ConfigurationComparison.h"

#include "coordination/dispatch/RouteTable.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace anvilsaddle {

namespace {

using Severity = FindingSeverity;
using Part = ConfigurationPart;
using Regions = std::set<RegionName>;

std::string formatNumber(double Value) {
  // The longest shortest representation of a double has 24 characters.
  char Text[32];
  const auto [End, ErrorCode] = std::to_chars(std::begin(Text), std::end(Text), Value);
  return ErrorCode == std::errc() ? std::string(Text, End) : std::string();
}

std::string formatTime(Duration Value) { return std::to_string(toMilliseconds(Value)) + " ms"; }

std::string formatRegions(const Regions &Value) {
  if (Value.empty()) {
    return "all";
  }
  std::string Result;
  for (const RegionName &Each : Value) {
    Result += (Result.empty() ? "" : ", ") + Each.str();
  }
  return Result;
}

std::string fromTo(const std::string &Old, const std::string &New) {
  return "from " + Old + " to " + New;
}

std::map<ServiceName, double> weightShares(const Route &Value) {
  std::map<ServiceName, double> Result;
  double Total = 0;
  for (const WeightedService &Each : Value.Services) {
    Result[Each.Service] += Each.Weight;
    Total += Each.Weight;
  }
  for (auto &[Name, Weight] : Result) {
    Weight = Total > 0 ? Weight / Total : 0;
  }
  return Result;
}

std::string formatServices(const Route &Value) {
  std::string Result;
  for (const auto &[Name, Share] : weightShares(Value)) {
    constexpr double Percent = 100;
    Result += (Result.empty() ? "" : ", ") + Name.str() + " " +
              std::to_string(std::lround(Share * Percent)) + "%";
  }
  return Result;
}

/// True if a caller is served in fewer regions than before.
bool isNarrowed(const Regions &Old, const Regions &New) {
  if (New.empty()) {
    return false;
  }
  return Old.empty() || !std::includes(New.begin(), New.end(), Old.begin(), Old.end());
}

/// Collects the differences between two configurations.
class Comparer {
public:
  Comparer(const Configuration &Old, const Configuration &New)
      : Old(Old), New(New), NewTable(New) {}

  std::vector<ConfigurationFinding> run() {
    this->compareWhole();
    this->compareRoutes();
    this->compareServices();
    this->compareCustomers();
    std::stable_sort(this->Findings.begin(), this->Findings.end(),
                     [](const ConfigurationFinding &Left, const ConfigurationFinding &Right) {
                       return std::tie(Right.Severity, Left.Kind) <
                              std::tie(Left.Severity, Right.Kind);
                     });
    return std::move(this->Findings);
  }

private:
  void add(Part Place, const std::string &Name, bool IsHarmful, std::string Kind,
           std::string Message) {
    this->Findings.push_back({Place, Name, IsHarmful ? Severity::Warning : Severity::Note,
                              std::move(Kind), std::move(Message)});
  }

  /// Adds a change of a number of which callers get less if it is lower.
  template <typename Number, typename Formatter>
  void addLimit(Part Place, const std::string &Name, Number Before, Number After,
                const std::string &Kind, const std::string &Text, const Formatter &Format) {
    if (Before != After) {
      const bool IsLower = After < Before;
      this->add(Place, Name, IsLower, Kind + (IsLower ? "_lowered" : "_raised"),
                Text + " changes " + fromTo(Format(Before), Format(After)));
    }
  }

  void addRegions(Part Place, const std::string &Name, const Regions &Before, const Regions &After,
                  const std::string &Effect) {
    if (Before != After) {
      const bool IsNarrower = isNarrowed(Before, After);
      this->add(Place, Name, IsNarrower,
                IsNarrower ? "home_regions_narrowed" : "home_regions_widened",
                "home regions change " + fromTo(formatRegions(Before), formatRegions(After)) +
                    (IsNarrower ? Effect : ""));
    }
  }

  void compareWhole() {
    if (this->New.Version <= this->Old.Version) {
      this->Findings.push_back(
          {Part::Whole, "", Severity::Error, "version_not_newer",
           "version " + std::to_string(this->New.Version) + " is not newer than version " +
               std::to_string(this->Old.Version) + ", so that entries ignore it"});
    }
    const auto Bytes = [](std::size_t Value) { return std::to_string(Value); };
    const CallerLimits &Before = this->Old.Limits;
    const CallerLimits &After = this->New.Limits;
    this->addLimit(Part::CallerLimits, "", Before.HeadBytes, After.HeadBytes, "head_limit",
                   "the size limit of heads", Bytes);
    this->addLimit(Part::CallerLimits, "", Before.BodyBytes, After.BodyBytes, "body_limit",
                   "the size limit of bodies", Bytes);
    this->addLimit(Part::CallerLimits, "", Before.HeadTimeout, After.HeadTimeout, "head_timeout",
                   "the timeout of heads", formatTime);
    this->addLimit(Part::CallerLimits, "", Before.IdleTimeout, After.IdleTimeout, "idle_timeout",
                   "the timeout of idle connections", formatTime);
  }

  void compareRoutes() {
    std::map<RouteName, const Route *> OldByName;
    std::map<RouteName, const Route *> NewByName;
    for (const Route &Each : this->Old.Routes) {
      OldByName[Each.Name] = &Each;
    }
    for (const Route &Each : this->New.Routes) {
      NewByName[Each.Name] = &Each;
    }
    for (const auto &[Name, Each] : OldByName) {
      const auto Found = NewByName.find(Name);
      if (Found == NewByName.end()) {
        this->add(Part::Route, Name.str(), true, "route_dropped",
                  "the route is dropped; " + this->effectOfDrop(*Each));
      } else {
        this->compareRoute(*Each, *Found->second);
      }
    }
    const RouteTable OldTable(this->Old);
    for (const auto &[Name, Each] : NewByName) {
      if (OldByName.contains(Name)) {
        continue;
      }
      const Route *Before = OldTable.find(Each->Host, Each->PathPrefix);
      this->add(Part::Route, Name.str(), false, "route_added",
                "requests for " + Each->Host + Each->PathPrefix +
                    (Before ? ", so far of route '" + Before->Name.str() + "'," : "") +
                    " are served by " + formatServices(*Each));
    }
  }

  std::string effectOfDrop(const Route &Dropped) const {
    const Route *Next = this->NewTable.find(Dropped.Host, Dropped.PathPrefix);
    return "requests for " + Dropped.Host + Dropped.PathPrefix +
           (Next ? " are served by route '" + Next->Name.str() + "'" : " get 404");
  }

  void compareRoute(const Route &Before, const Route &After) {
    const std::string Name = After.Name.str();
    if (Before.Host != After.Host || Before.PathPrefix != After.PathPrefix) {
      this->add(Part::Route, Name, true, "route_moved",
                "the route moves to " + After.Host + After.PathPrefix + "; " +
                    this->effectOfDrop(Before));
    }
    if (weightShares(Before) != weightShares(After)) {
      this->add(Part::Route, Name, false, "route_services_changed",
                "requests change " + fromTo(formatServices(Before), formatServices(After)));
    }
    if (Before.Idempotent != After.Idempotent) {
      this->add(Part::Route, Name, true, "route_idempotence_changed",
                After.Idempotent
                    ? "requests become idempotent, so that they may run more than once"
                    : "requests are no longer idempotent, so that they are neither hedged nor "
                      "repeated after they may have run");
    }
    this->addLimit(Part::Route, Name, Before.Timeout, After.Timeout, "route_timeout", "the timeout",
                   formatTime);
    if (Before.LatencyObjective != After.LatencyObjective) {
      this->add(Part::Route, Name, false, "route_objective_changed",
                "the latency objective changes " + fromTo(formatTime(Before.LatencyObjective),
                                                          formatTime(After.LatencyObjective)));
    }
    const auto Count = [](std::uint32_t Value) { return std::to_string(Value); };
    this->addLimit(Part::Route, Name, Before.MaxTargets, After.MaxTargets, "route_attempts",
                   "the number of attempts", Count);
    if (Before.Priority != After.Priority) {
      this->add(Part::Route, Name, After.Priority > Before.Priority, "route_priority_changed",
                "the priority changes " + fromTo(Count(Before.Priority), Count(After.Priority)) +
                    " (0 is the most urgent)");
    }
    this->addRegions(Part::Route, Name, Before.HomeRegions, After.HomeRegions,
                     "; requests are refused if no target there has room");
    // Without customers, no route needs keys; compareCustomers() reports the first customers.
    if (Before.IsPublic != After.IsPublic && !this->New.Customers.empty()) {
      this->add(Part::Route, Name, Before.IsPublic, "route_public_changed",
                After.IsPublic ? "requests no longer need an API key"
                               : "requests without an API key get 401");
    }
  }

  void compareServices() {
    for (const auto &[Name, Before] : this->Old.Services) {
      const auto Found = this->New.Services.find(Name);
      if (Found == this->New.Services.end()) {
        this->add(Part::Service, Name.str(), false, "service_dropped", "the service is dropped");
        continue;
      }
      if (Before.HealthPath != Found->second.HealthPath) {
        this->add(Part::Service, Name.str(), false, "service_health_path_changed",
                  "the path of health checks changes " +
                      fromTo(Before.HealthPath, Found->second.HealthPath));
      }
      if (Before.ColdRequestsPerSecond != Found->second.ColdRequestsPerSecond) {
        this->add(Part::Service, Name.str(), false, "service_cold_rate_changed",
                  "the rate of requests to a cold target changes " +
                      fromTo(formatNumber(Before.ColdRequestsPerSecond),
                             formatNumber(Found->second.ColdRequestsPerSecond)) +
                      " per second (0 is no limit)");
      }
    }
    for (const auto &[Name, Added] : this->New.Services) {
      if (!this->Old.Services.contains(Name)) {
        this->add(Part::Service, Name.str(), false, "service_added", "the service is added");
      }
    }
  }

  void compareCustomers() {
    const auto &Before = this->Old.Customers;
    const auto &After = this->New.Customers;
    if (Before.empty() != After.empty()) {
      this->add(Part::Whole, "", Before.empty(),
                Before.empty() ? "keys_required" : "keys_not_required",
                Before.empty()
                    ? "requests without an API key of a customer get 401, except on public routes"
                    : "requests no longer need an API key");
    }
    std::map<ApiKeyDigest, CustomerName> NewOwners;
    for (const auto &[Name, Each] : After) {
      for (const ApiKeyDigest &Key : Each.Keys) {
        NewOwners.emplace(Key, Name);
      }
    }
    for (const auto &[Name, Each] : Before) {
      const auto Found = After.find(Name);
      if (Found == After.end()) {
        this->add(Part::Customer, Name.str(), true, "customer_dropped", "the customer is dropped");
      }
      this->compareKeys(Each, Found == After.end() ? Customer() : Found->second, NewOwners);
      if (Found != After.end()) {
        this->compareCustomer(Each, Found->second);
      }
    }
    for (const auto &[Name, Each] : After) {
      if (!Before.contains(Name)) {
        this->add(Part::Customer, Name.str(), false, "customer_added",
                  "the customer is added with " + std::to_string(Each.Keys.size()) + " API keys");
      }
    }
  }

  void compareKeys(const Customer &Before, const Customer &After,
                   const std::map<ApiKeyDigest, CustomerName> &NewOwners) {
    const std::string Name = Before.Name.str();
    std::size_t Revoked = 0;
    std::map<CustomerName, std::size_t> Moved;
    for (const ApiKeyDigest &Key : Before.Keys) {
      if (After.Keys.contains(Key)) {
        continue;
      }
      const auto Owner = NewOwners.find(Key);
      if (Owner == NewOwners.end()) {
        ++Revoked;
      } else {
        ++Moved[Owner->second];
      }
    }
    if (Revoked > 0) {
      this->add(Part::Customer, Name, true, "keys_revoked",
                std::to_string(Revoked) + " of " + std::to_string(Before.Keys.size()) +
                    " API keys are revoked; requests with them get 401");
    }
    for (const auto &[Owner, Count] : Moved) {
      this->add(Part::Customer, Name, true, "keys_moved",
                std::to_string(Count) + " API keys move to customer '" + Owner.str() +
                    "', whose limits then apply");
    }
    const auto IsAdded = [&Before](const ApiKeyDigest &Key) { return !Before.Keys.contains(Key); };
    const auto Added = std::count_if(After.Keys.begin(), After.Keys.end(), IsAdded);
    if (Added > 0) {
      this->add(Part::Customer, Name, false, "keys_added",
                std::to_string(Added) + " API keys are added");
    }
  }

  void compareCustomer(const Customer &Before, const Customer &After) {
    const std::string Name = After.Name.str();
    if (Before.RequestsPerSecond != After.RequestsPerSecond) {
      const bool IsLower =
          After.RequestsPerSecond > 0 &&
          (Before.RequestsPerSecond <= 0 || After.RequestsPerSecond < Before.RequestsPerSecond);
      this->add(Part::Customer, Name, IsLower,
                IsLower ? "customer_rate_lowered" : "customer_rate_raised",
                "the limit changes " +
                    fromTo(formatNumber(Before.RequestsPerSecond),
                           formatNumber(After.RequestsPerSecond)) +
                    " requests per second (0 is no limit)" +
                    (IsLower ? "; requests beyond it get 429" : ""));
    }
    if (After.RequestsPerSecond > 0) {
      this->addLimit(Part::Customer, Name, Before.Burst, After.Burst, "customer_burst", "the burst",
                     formatNumber);
    }
    if (Before.Priority != After.Priority) {
      const auto Text = [](const std::optional<std::uint32_t> &Value) {
        return Value ? std::to_string(*Value) : std::string("that of the route");
      };
      const bool IsLessUrgent =
          Before.Priority && After.Priority && *After.Priority > *Before.Priority;
      this->add(Part::Customer, Name, IsLessUrgent, "customer_priority_changed",
                "the priority changes " + fromTo(Text(Before.Priority), Text(After.Priority)) +
                    " (0 is the most urgent)");
    }
    this->addRegions(Part::Customer, Name, Before.HomeRegions, After.HomeRegions,
                     "; requests are refused if no target there has room");
  }

  const Configuration &Old;
  const Configuration &New;
  RouteTable NewTable;
  std::vector<ConfigurationFinding> Findings;
};

} // namespace

std::vector<ConfigurationFinding> compareConfigurations(const Configuration &Current,
                                                        const Configuration &Next) {
  return Comparer(Current, Next).run();
}

} // namespace anvilsaddle
