#include "coordination/configuration/ConfigurationCheck.h"

#include "coordination/dispatch/RouteTable.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

using Severity = FindingSeverity;
using Part = ConfigurationPart;
using Regions = std::set<RegionName>;

bool areDisjoint(const Regions &Left, const Regions &Right) {
  return std::none_of(Left.begin(), Left.end(),
                      [&Right](const RegionName &Each) { return Right.contains(Each); });
}

/// Collects the findings about one configuration.
class Checker {
public:
  Checker(const Configuration &Config, const ConfigurationCheckContext &Context)
      : Config(Config), Context(Context), Table(Config) {}

  std::vector<ConfigurationFinding> run() {
    this->checkWhole();
    std::set<RouteName> Names;
    for (const Route &Each : this->Config.Routes) {
      if (!Names.insert(Each.Name).second) {
        this->addRoute(Each, Severity::Error, "route_name_repeated",
                       "another route has the same name");
      }
      this->checkMatching(Each);
      this->checkRouteServices(Each);
      this->checkRouteTimes(Each);
      this->checkAttempts(Each);
      this->checkRegions(Part::Route, Each.Name.str(), Each.HomeRegions);
    }
    this->checkServices();
    this->checkCustomers();
    return std::move(this->Findings);
  }

private:
  void add(Part Place, std::string Name, Severity Level, std::string Kind, std::string Message) {
    this->Findings.push_back({Place, std::move(Name), Level, std::move(Kind), std::move(Message)});
  }
  void addRoute(const Route &Place, Severity Level, std::string Kind, std::string Message) {
    this->add(Part::Route, Place.Name.str(), Level, std::move(Kind), std::move(Message));
  }

  void checkWhole() {
    if (this->Config.Routes.empty()) {
      this->add(Part::Whole, "", Severity::Error, "no_routes",
                "there is no route, so that all requests get 404");
    }
    const CallerLimits &Limits = this->Config.Limits;
    const std::pair<const char *, bool> Zeros[] = {
        {"headerBytes", Limits.HeadBytes == 0},
        {"headerTimeoutS", Limits.HeadTimeout.count() == 0},
        {"idleTimeoutS", Limits.IdleTimeout.count() == 0}};
    for (const auto &[Name, IsZero] : Zeros) {
      if (IsZero) {
        this->add(Part::CallerLimits, "", Severity::Error, "limit_zero",
                  std::string(Name) + " is 0, so that no request is read");
      }
    }
    if (Limits.BodyBytes == 0) {
      this->add(Part::CallerLimits, "", Severity::Warning, "body_limit_zero",
                "bodyBytes is 0, so that requests with a body are refused");
    }
    const auto IsHedgeable = [](const Route &Each) {
      return Each.Idempotent && Each.MaxTargets > 1;
    };
    if (this->Context.HedgeShare.value_or(0) > 0 &&
        std::none_of(this->Config.Routes.begin(), this->Config.Routes.end(), IsHedgeable)) {
      this->add(Part::Whole, "", Severity::Warning, "hedges_without_routes",
                "hedge_share allows hedges, but no idempotent route allows a second attempt");
    }
  }

  void checkMatching(const Route &Each) {
    const std::string &Prefix = Each.PathPrefix;
    if (Each.Host.empty()) {
      this->addRoute(Each, Severity::Error, "route_host_empty", "the host is empty");
    } else if (Each.Host.find(':') != std::string::npos) {
      this->addRoute(Each, Severity::Warning, "route_host_port",
                     "the port of host '" + Each.Host + "' is ignored");
    }
    if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/' ||
        Prefix.find('?') != std::string::npos) {
      this->addRoute(Each, Severity::Error, "route_path_invalid",
                     "no path matches the prefix '" + Prefix +
                         "', which must begin and end with a slash and contain no query");
      return;
    }
    const Route *Found = this->Table.find(Each.Host, Prefix);
    if (Found != &Each) {
      this->addRoute(Each, Severity::Error, "route_shadowed",
                     "no request matches, because route '" + (Found ? Found->Name.str() : "") +
                         "' has the same host and path");
    }
  }

  void checkRouteServices(const Route &Each) {
    double TotalWeight = 0;
    std::set<ServiceName> Names;
    bool HasTargets = false;
    for (const WeightedService &Weighted : Each.Services) {
      TotalWeight += Weighted.Weight;
      const std::string Quoted = "service '" + Weighted.Service.str() + "'";
      if (!this->Config.Services.contains(Weighted.Service)) {
        this->addRoute(Each, Severity::Error, "route_service_unknown",
                       Quoted + " is not in the list of services");
      }
      if (!Names.insert(Weighted.Service).second) {
        this->addRoute(Each, Severity::Warning, "route_service_repeated",
                       Quoted + " is listed twice; its weights add up");
      }
      if (Weighted.Weight <= 0 && Each.Services.size() > 1) {
        this->addRoute(Each, Severity::Warning, "route_weight_zero",
                       Quoted + " has the weight 0 and gets no requests");
      }
      HasTargets = this->hasTargets(Each, Weighted) || HasTargets;
    }
    if (Each.Services.empty()) {
      this->addRoute(Each, Severity::Error, "route_no_service",
                     "the route has no service, so that it is ignored");
    } else if (TotalWeight <= 0) {
      this->addRoute(Each, Severity::Error, "route_weights_zero",
                     "all weights are 0, so that the last service gets all requests");
    }
    if (this->Context.TargetRegions && !HasTargets && !Each.Services.empty()) {
      this->addRoute(Each, Severity::Error, "route_without_targets",
                     "no registered target in its home regions serves the route");
    }
  }

  bool hasTargets(const Route &Each, const WeightedService &Weighted) const {
    if (!this->Context.TargetRegions) {
      return false;
    }
    const auto Found = this->Context.TargetRegions->find(Weighted.Service);
    return Found != this->Context.TargetRegions->end() &&
           (Each.HomeRegions.empty() || !areDisjoint(Each.HomeRegions, Found->second));
  }

  void checkRouteTimes(const Route &Each) {
    if (Each.Timeout <= Duration(0)) {
      this->addRoute(Each, Severity::Error, "route_timeout_zero",
                     "the timeout is 0, so that all requests are refused");
    } else if (Each.LatencyObjective > Each.Timeout) {
      this->addRoute(Each, Severity::Error, "route_objective_above_timeout",
                     "the latency objective of " +
                         std::to_string(toMilliseconds(Each.LatencyObjective)) +
                         " ms is longer than the timeout of " +
                         std::to_string(toMilliseconds(Each.Timeout)) + " ms");
    }
    if (Each.LatencyObjective <= Duration(0)) {
      this->addRoute(Each, Severity::Warning, "route_objective_zero",
                     "the latency objective is 0, so that all responses are late");
    }
  }

  void checkAttempts(const Route &Each) {
    if (Each.MaxTargets == 0) {
      this->addRoute(Each, Severity::Warning, "route_attempts_zero", "0 attempts are taken for 1");
    }
    if (Each.MaxTargets > 1 && this->Context.AllowsRetries == false) {
      this->addRoute(Each, Severity::Warning, "route_attempts_without_budget",
                     "the route allows " + std::to_string(Each.MaxTargets) +
                         " attempts, but the entries' budget allows no repeats");
    }
  }

  void checkRegions(Part Place, const std::string &Name, const Regions &HomeRegions) {
    if (!this->Context.Regions) {
      return;
    }
    for (const RegionName &Each : HomeRegions) {
      if (!this->Context.Regions->contains(Each)) {
        this->add(Place, Name, Severity::Error, "home_region_unknown",
                  "home region '" + Each.str() + "' has no failure domain");
      }
    }
  }

  void checkServices() {
    std::set<ServiceName> Used;
    for (const Route &Each : this->Config.Routes) {
      for (const WeightedService &Weighted : Each.Services) {
        Used.insert(Weighted.Service);
      }
    }
    for (const auto &[Name, Each] : this->Config.Services) {
      if (!Used.contains(Name)) {
        this->add(Part::Service, Name.str(), Severity::Warning, "service_unused",
                  "no route uses the service");
      } else if (this->Context.TargetRegions && !this->Context.TargetRegions->contains(Name)) {
        this->add(Part::Service, Name.str(), Severity::Warning, "service_without_targets",
                  "no target of the service is registered");
      }
      if (Each.HealthPath.empty() || Each.HealthPath.front() != '/') {
        this->add(Part::Service, Name.str(), Severity::Error, "service_health_path_invalid",
                  "the path of health checks '" + Each.HealthPath +
                      "' does not begin with a slash");
      }
    }
  }

  void checkCustomers() {
    if (this->Config.Customers.empty()) {
      return;
    }
    std::map<ApiKeyDigest, CustomerName> Owners;
    // Routes with the same home regions are checked once, because there may be thousands of each.
    std::map<Regions, std::pair<RouteName, std::size_t>> RoutesByRegions;
    for (const Route &Each : this->Config.Routes) {
      if (!Each.HomeRegions.empty()) {
        auto &Entry = RoutesByRegions[Each.HomeRegions];
        Entry.first = Entry.second++ == 0 ? Each.Name : Entry.first;
      }
    }
    for (const auto &[Name, Each] : this->Config.Customers) {
      const std::string Text = Name.str();
      if (Each.Keys.empty()) {
        this->add(Part::Customer, Text, Severity::Warning, "customer_without_keys",
                  "the customer has no API key, so that none of its requests is accepted");
      }
      for (const ApiKeyDigest &Key : Each.Keys) {
        const auto [Found, IsNew] = Owners.emplace(Key, Name);
        if (!IsNew) {
          this->add(Part::Customer, Text, Severity::Error, "customer_key_shared",
                    "an API key also belongs to customer '" + Found->second.str() + "'");
        }
      }
      this->checkQuota(Each);
      this->checkRegions(Part::Customer, Text, Each.HomeRegions);
      for (const auto &[RouteRegions, Routes] : RoutesByRegions) {
        if (!Each.HomeRegions.empty() && areDisjoint(Each.HomeRegions, RouteRegions)) {
          this->add(
              Part::Customer, Text, Severity::Warning, "customer_route_regions_disjoint",
              "requests are always refused on route '" + Routes.first.str() + "'" +
                  (Routes.second > 1 ? " and " + std::to_string(Routes.second - 1) + " more" : "") +
                  ", which has no home region in common with the customer");
        }
      }
    }
    const auto IsPublic = [](const Route &Each) { return Each.IsPublic; };
    if (std::all_of(this->Config.Routes.begin(), this->Config.Routes.end(), IsPublic)) {
      this->add(Part::Whole, "", Severity::Warning, "keys_never_required",
                "there are customers, but all routes are public, so that no key is required");
    }
  }

  void checkQuota(const Customer &Each) {
    const std::string Name = Each.Name.str();
    if (Each.RequestsPerSecond <= 0 && Each.Burst > 0) {
      this->add(Part::Customer, Name, Severity::Warning, "customer_burst_without_rate",
                "the burst has no effect, because the rate has no limit");
    } else if (Each.RequestsPerSecond > 0 && Each.Burst < 1) {
      this->add(Part::Customer, Name, Severity::Warning, "customer_burst_below_one",
                "the burst is less than one request, so that requests that arrive together are "
                "refused although the rate is within the limit");
    }
  }

  const Configuration &Config;
  const ConfigurationCheckContext &Context;
  RouteTable Table;
  std::vector<ConfigurationFinding> Findings;
};

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const Configuration &Config,
                                                     const ConfigurationCheckContext &Context) {
  return Checker(Config, Context).run();
}

} // namespace anvilsaddle
