#include "state/SettingsSnapshot.h"

#include <algorithm>
#include <functional>
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
                                   const std::map<TeamName, TeamSettings> &Teams) {
  this->setPlatform(std::move(Platform));
  for (const auto &[Name, Team] : Teams) {
    this->setTeam(Team);
  }
}

const Service *SettingsSnapshot::findService(const ServiceName &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &this->Platform.Services[Found->second];
}

const FailureDomain *SettingsSnapshot::findDomain(const FailureDomainName &Name) const {
  const auto Found = this->Domains.find(Name);
  return Found == this->Domains.end() ? nullptr : &this->Platform.FailureDomains[Found->second];
}

const Customer *SettingsSnapshot::findCustomer(const CustomerName &Name) const {
  const auto Team = this->TeamIndexes.find(teamOf(Name));
  if (Team == this->TeamIndexes.end()) {
    return nullptr;
  }
  const auto Found = Team->second.find(Name);
  if (Found == Team->second.end() || Found->second.Position == NoPosition) {
    return nullptr;
  }
  return &this->Teams.at(Team->first).Customers[Found->second.Position];
}

const Route *SettingsSnapshot::findRoute(const CustomerName &Name, std::string_view Method,
                                         std::string_view UrlPath) const {
  const auto Team = this->TeamIndexes.find(teamOf(Name));
  if (Team == this->TeamIndexes.end()) {
    return nullptr;
  }
  const auto Found = Team->second.find(Name);
  if (Found == Team->second.end()) {
    return nullptr;
  }
  const std::vector<Route> &Routes = this->Teams.at(Team->first).Routes;
  for (const std::size_t Position : Found->second.Routes) {
    const Route &Candidate = Routes[Position];
    if (matchesPrefix(UrlPath, Candidate.PathPrefix) &&
        std::ranges::find(Candidate.Methods, Method) != Candidate.Methods.end()) {
      return &Candidate;
    }
  }
  return nullptr;
}

void SettingsSnapshot::setPlatform(PlatformSettings NewPlatform) {
  this->Platform = std::move(NewPlatform);
  this->Services.clear();
  for (std::size_t Position = 0; Position < this->Platform.Services.size(); ++Position) {
    this->Services.emplace(this->Platform.Services[Position].Name, Position);
  }
  this->Domains.clear();
  for (std::size_t Position = 0; Position < this->Platform.FailureDomains.size(); ++Position) {
    this->Domains.emplace(this->Platform.FailureDomains[Position].Name, Position);
  }
}

void SettingsSnapshot::setTeam(TeamSettings NewTeam) {
  const TeamName Name = NewTeam.Name;
  TeamIndex &Index = this->TeamIndexes[Name];
  Index.clear();
  for (std::size_t Position = 0; Position < NewTeam.Customers.size(); ++Position) {
    Index.try_emplace(NewTeam.Customers[Position].Name, CustomerIndex{Position, {}});
  }
  for (std::size_t Position = 0; Position < NewTeam.Routes.size(); ++Position) {
    Index[NewTeam.Routes[Position].Customer].Routes.push_back(Position);
  }
  for (auto &[Customer, Known] : Index) {
    // Stable, so that the first of several routes with equal prefixes wins.
    std::ranges::stable_sort(Known.Routes, std::greater(), [&NewTeam](std::size_t Position) {
      return NewTeam.Routes[Position].PathPrefix.size();
    });
  }
  this->Teams.insert_or_assign(Name, std::move(NewTeam));
}

TeamName teamOf(const CustomerName &Name) {
  return TeamName(Name.str().substr(0, Name.str().find('.')));
}

} // namespace anvilsaddle
