#include "state/SettingsSnapshot.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

bool matchesPrefix(std::string_view UrlPath, std::string_view Prefix) {
  if (!UrlPath.starts_with(Prefix)) {
    return false;
  }
  return UrlPath.size() == Prefix.size() || Prefix.ends_with('/') || UrlPath[Prefix.size()] == '/';
}

} // namespace

SettingsSnapshot::SettingsSnapshot(PlatformSettings Platform,
                                   std::map<TeamName, TeamSettings> Teams)
    : Platform(std::move(Platform)), Teams(std::move(Teams)) {}

const Service *SettingsSnapshot::findService(const ServiceName &Name) const {
  const auto Found = std::ranges::find(this->Platform.Services, Name, &Service::Name);
  return Found == this->Platform.Services.end() ? nullptr : &*Found;
}

const FailureDomain *SettingsSnapshot::findDomain(const FailureDomainName &Name) const {
  const auto Found = std::ranges::find(this->Platform.FailureDomains, Name, &FailureDomain::Name);
  return Found == this->Platform.FailureDomains.end() ? nullptr : &*Found;
}

const Customer *SettingsSnapshot::findCustomer(const CustomerName &Name) const {
  const auto Team = this->Teams.find(teamOf(Name));
  if (Team == this->Teams.end()) {
    return nullptr;
  }
  const auto Found = std::ranges::find(Team->second.Customers, Name, &Customer::Name);
  return Found == Team->second.Customers.end() ? nullptr : &*Found;
}

const Route *SettingsSnapshot::findRoute(const CustomerName &Name, std::string_view Method,
                                         std::string_view UrlPath) const {
  const auto Team = this->Teams.find(teamOf(Name));
  if (Team == this->Teams.end()) {
    return nullptr;
  }
  const Route *Best = nullptr;
  for (const Route &Candidate : Team->second.Routes) {
    if (Candidate.Customer != Name || !matchesPrefix(UrlPath, Candidate.PathPrefix)) {
      continue;
    }
    if (std::ranges::find(Candidate.Methods, Method) == Candidate.Methods.end()) {
      continue;
    }
    if (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size()) {
      Best = &Candidate;
    }
  }
  return Best;
}

TeamName teamOf(const CustomerName &Name) {
  return TeamName(Name.str().substr(0, Name.str().find('.')));
}

} // namespace anvilsaddle
