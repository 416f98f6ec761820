#include "coordination/RequestRouter.h"

#include "coordination/Sealer.h"
#include "state/SettingsSnapshot.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

RequestRouter::RequestRouter(RegionName OwnRegion, const Sealer &Seals)
    : OwnRegion(std::move(OwnRegion)), Seals(Seals) {}

const Customer *RequestRouter::authenticate(const SettingsSnapshot &Settings,
                                            const std::string &Authorization) const {
  const std::string_view Text(Authorization);
  if (!Text.starts_with(BearerPrefix)) {
    return nullptr;
  }
  const std::string_view Credential = Text.substr(BearerPrefix.size());
  const std::size_t TeamEnd = Credential.find('.');
  const std::size_t NameEnd =
      TeamEnd == std::string_view::npos ? TeamEnd : Credential.find('.', TeamEnd + 1);
  if (NameEnd == std::string_view::npos) {
    return nullptr;
  }
  const std::string Hash = this->Seals.sha256Hex(Credential.substr(NameEnd + 1));
  const Customer *Known =
      Settings.findCustomer(CustomerName(std::string(Credential.substr(0, NameEnd))));
  if (!Known) {
    return nullptr;
  }
  bool Valid = false;
  for (const std::string &Expected : Known->KeyHashes) {
    Valid |= this->Seals.equals(Hash, Expected);
  }
  return Valid ? Known : nullptr;
}

std::variant<RoutedRequest, Refusal> RequestRouter::route(const SettingsSnapshot &Settings,
                                                          const RequestHead &Head) const {
  const Customer *Caller = Head.Forwarded ? Settings.findCustomer(Head.Forwarded->Customer)
                                          : this->authenticate(Settings, Head.Authorization);
  if (!Caller) {
    return makeRefusal(401, RunOutcome::NotRun, "unknown caller or wrong key");
  }
  const Route *Path = Settings.findRoute(Caller->Name, Head.Method, Head.Path);
  if (!Path) {
    return makeRefusal(404, RunOutcome::NotRun,
                       "no route of this customer matches method and path");
  }
  const Service *Destination = Settings.findService(Path->Service);
  if (!Destination) {
    return makeRefusal(404, RunOutcome::NotRun,
                       "route " + Path->Name.str() + " names an unknown service");
  }
  RoutedRequest Result{*Caller, *Path, *Destination, this->allowedRegions(Settings, *Caller)};
  if (Result.Regions.empty() || Result.Regions.front() != this->OwnRegion) {
    return makeRefusal(403, RunOutcome::NotRun, "this region is not a home region of the customer");
  }
  return Result;
}

std::vector<RegionName> RequestRouter::allowedRegions(const SettingsSnapshot &Settings,
                                                      const Customer &Caller) const {
  std::vector<RegionName> Result;
  for (const RegionName &Region : Settings.platform().Regions) {
    const bool Home = Caller.HomeRegions.empty() ||
                      std::ranges::find(Caller.HomeRegions, Region) != Caller.HomeRegions.end();
    if (Home) {
      Result.push_back(Region);
    }
  }
  std::stable_partition(Result.begin(), Result.end(),
                        [this](const RegionName &Region) { return Region == this->OwnRegion; });
  return Result;
}

} // namespace anvilsaddle
