#include "coordination/dispatch/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace anvilsaddle {

namespace {

std::string normalizedHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::transform(Result.begin(), Result.end(), Result.begin(), [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  });
  return Result;
}

} // namespace

RouteTable::RouteTable(const Configuration &Config) {
  for (const Route &Each : Config.Routes) {
    this->RoutesByHost[normalizedHost(Each.Host)][Each.PathPrefix] = &Each;
  }
}

const Route *RouteTable::find(std::string_view Host, std::string_view Path) const {
  const auto Routes = this->RoutesByHost.find(normalizedHost(Host));
  if (Routes == this->RoutesByHost.end()) {
    return nullptr;
  }
  std::string_view Prefix = Path.substr(0, Path.find('?'));
  // Each step shortens the prefix to the previous slash, so the first match is the longest.
  while (true) {
    const std::size_t LastSlash = Prefix.rfind('/');
    if (LastSlash == std::string_view::npos) {
      return nullptr;
    }
    Prefix = Prefix.substr(0, LastSlash + 1);
    const auto Found = Routes->second.find(Prefix);
    if (Found != Routes->second.end()) {
      return Found->second;
    }
    Prefix.remove_suffix(1);
  }
}

std::vector<const Route *> RouteTable::routesForHost(std::string_view Host) const {
  std::vector<const Route *> Result;
  const auto Routes = this->RoutesByHost.find(normalizedHost(Host));
  if (Routes == this->RoutesByHost.end()) {
    return Result;
  }
  for (const auto &[Prefix, Each] : Routes->second) {
    Result.push_back(Each);
  }
  return Result;
}

} // namespace anvilsaddle
