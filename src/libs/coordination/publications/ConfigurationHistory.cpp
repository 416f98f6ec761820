#include "coordination/publications/ConfigurationHistory.h"

#include <algorithm>
#include <map>
#include <utility>

namespace anvilsaddle {

namespace {

using RoutesByName = std::map<RouteName, const Route *>;

/// Returns nothing if two routes have the same name.
std::optional<RoutesByName> indexRoutes(const Configuration &Value) {
  RoutesByName Result;
  for (const Route &Each : Value.Routes) {
    if (!Result.emplace(Each.Name, &Each).second) {
      return std::nullopt;
    }
  }
  return Result;
}

std::set<RouteName> changedRoutes(const RoutesByName &Old, const RoutesByName &Newer) {
  std::set<RouteName> Result;
  for (const auto &[Name, Each] : Newer) {
    const auto Known = Old.find(Name);
    if (Known == Old.end() || *Known->second != *Each) {
      Result.insert(Name);
    }
  }
  for (const auto &[Name, Each] : Old) {
    if (!Newer.contains(Name)) {
      Result.insert(Name);
    }
  }
  return Result;
}

std::set<CustomerName> changedCustomers(const std::map<CustomerName, Customer> &Old,
                                        const std::map<CustomerName, Customer> &Newer) {
  std::set<CustomerName> Result;
  for (const auto &[Name, Each] : Newer) {
    const auto Known = Old.find(Name);
    if (Known == Old.end() || Known->second != Each) {
      Result.insert(Name);
    }
  }
  for (const auto &[Name, Each] : Old) {
    if (!Newer.contains(Name)) {
      Result.insert(Name);
    }
  }
  return Result;
}

} // namespace

void ConfigurationHistory::onConfiguration(const Configuration *Old, const Configuration &Newer) {
  if (!Old) {
    return;
  }
  const auto OldRoutes = indexRoutes(*Old);
  const auto NewerRoutes = indexRoutes(Newer);
  if (!OldRoutes || !NewerRoutes) {
    this->Changes.clear();
    return;
  }
  this->Changes.push_back({Old->Version, changedRoutes(*OldRoutes, *NewerRoutes),
                           changedCustomers(Old->Customers, Newer.Customers)});
  if (this->Changes.size() > MaxRetainedChanges) {
    this->Changes.pop_front();
  }
}

std::optional<ConfigurationDelta>
ConfigurationHistory::deltaSince(std::uint64_t BaseVersion, const Configuration &Current) const {
  const auto First =
      std::find_if(this->Changes.begin(), this->Changes.end(),
                   [BaseVersion](const Change &Each) { return Each.BaseVersion == BaseVersion; });
  if (First == this->Changes.end() && BaseVersion != Current.Version) {
    return std::nullopt;
  }
  std::set<RouteName> Names;
  std::set<CustomerName> Customers;
  for (auto Each = First; Each != this->Changes.end(); ++Each) {
    Names.insert(Each->Routes.begin(), Each->Routes.end());
    Customers.insert(Each->Customers.begin(), Each->Customers.end());
  }
  ConfigurationDelta Result;
  Result.BaseVersion = BaseVersion;
  Result.Version = Current.Version;
  Result.Services = Current.Services;
  Result.Limits = Current.Limits;
  for (const Route &Each : Current.Routes) {
    if (Names.erase(Each.Name) > 0) {
      Result.ChangedRoutes.push_back(Each);
    }
  }
  Result.RemovedRoutes.assign(Names.begin(), Names.end());
  for (const CustomerName &Each : Customers) {
    const auto Found = Current.Customers.find(Each);
    if (Found == Current.Customers.end()) {
      Result.RemovedCustomers.push_back(Each);
    } else {
      Result.ChangedCustomers.insert(*Found);
    }
  }
  return Result;
}

} // namespace anvilsaddle
