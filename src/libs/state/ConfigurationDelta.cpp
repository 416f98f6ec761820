#include "state/ConfigurationDelta.h"

#include <set>

namespace anvilsaddle {

std::optional<Configuration> applyDelta(const Configuration &Base,
                                        const ConfigurationDelta &Delta) {
  if (Base.Version != Delta.BaseVersion) {
    return std::nullopt;
  }
  const std::set<RouteName> Removed(Delta.RemovedRoutes.begin(), Delta.RemovedRoutes.end());
  std::map<RouteName, const Route *> Changed;
  for (const Route &Each : Delta.ChangedRoutes) {
    Changed[Each.Name] = &Each;
  }
  Configuration Result;
  Result.Version = Delta.Version;
  Result.Services = Delta.Services;
  Result.Limits = Delta.Limits;
  Result.Customers = Base.Customers;
  for (const CustomerName &Each : Delta.RemovedCustomers) {
    Result.Customers.erase(Each);
  }
  for (const auto &[Name, Each] : Delta.ChangedCustomers) {
    Result.Customers[Name] = Each;
  }
  for (const Route &Each : Base.Routes) {
    if (const auto Replacement = Changed.extract(Each.Name); !Replacement.empty()) {
      Result.Routes.push_back(*Replacement.mapped());
    } else if (!Removed.contains(Each.Name)) {
      Result.Routes.push_back(Each);
    }
  }
  for (const Route &Each : Delta.ChangedRoutes) {
    if (Changed.contains(Each.Name)) {
      Result.Routes.push_back(Each);
    }
  }
  return Result;
}

} // namespace anvilsaddle
