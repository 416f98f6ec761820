#include "protocol/TomlSettingsParser.h"

#include "protocol/TomlTable.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view PlatformPath = "platform";
constexpr std::string_view TeamPrefix = "teams/";
constexpr std::size_t Sha256HexLength = 64;
constexpr std::int64_t MaxSlots = 1000;
constexpr Duration MinDeadline = 1ms;
constexpr Duration MaxDeadline = 10min;

/// Reports a name that an earlier element of the same kind has.
class UniqueNames {
public:
  bool contains(const std::string &Name) const { return this->Seen.contains(Name); }

  void check(TomlTable &Table, std::string_view Key, const std::string &Name) {
    if (!Name.empty() && !this->Seen.insert(Name).second) {
      Table.addFinding(Key, "'" + Name + "' is defined twice");
    }
  }

private:
  std::set<std::string> Seen;
};

std::string checkSha256Hex(const std::string &Text) {
  const bool Valid = Text.size() == Sha256HexLength && std::ranges::all_of(Text, [](char Digit) {
                       return (Digit >= '0' && Digit <= '9') || (Digit >= 'a' && Digit <= 'f');
                     });
  return Valid ? "" : "must be SHA-256 values in lower-case hexadecimal";
}

std::string checkRegionName(const std::string &Text) {
  return isSettingsName(Text) ? "" : "must be 1 to 63 lower-case letters, digits or hyphens";
}

std::string checkMethod(const std::string &Text) {
  const bool Valid = !Text.empty() && std::ranges::all_of(Text, [](char Letter) {
    return Letter >= 'A' && Letter <= 'Z';
  });
  return Valid ? "" : "must be methods in upper-case letters";
}

/// Reports a route that another one of the same customer hides.
class UniqueRoutes {
public:
  void check(TomlTable &Table, const Route &Added) {
    for (const std::string &Method : Added.Methods) {
      const auto [Place, Fresh] =
          this->Seen.try_emplace({Added.Customer, Added.PathPrefix, Method}, Added.Name);
      if (!Fresh) {
        Table.addFinding("path_prefix", "route '" + Place->second.str() + "' has the prefix '" +
                                            Added.PathPrefix + "' and method " + Method +
                                            " already");
        return;
      }
    }
  }

private:
  std::map<std::tuple<CustomerName, std::string, std::string>, RouteName> Seen;
};

PlatformSettings readPlatform(TomlTable Root) {
  PlatformSettings Result;
  UniqueNames Regions;
  for (TomlTable &Each : Root.tables("region")) {
    const std::string Name = Each.requiredName("name");
    Regions.check(Each, "name", Name);
    Result.Regions.emplace_back(Name);
    Each.reportUnknownKeys();
  }
  UniqueNames Domains;
  for (TomlTable &Each : Root.tables("failure_domain")) {
    FailureDomain Domain;
    Domain.Name = FailureDomainName(Each.requiredName("name"));
    Domains.check(Each, "name", Domain.Name.str());
    Domain.Region = RegionName(Each.requiredName("region"));
    if (std::ranges::find(Result.Regions, Domain.Region) == Result.Regions.end()) {
      Each.addFinding("region", "unknown region '" + Domain.Region.str() + "'");
    }
    Domain.TakenOut = Each.booleanOr("taken_out", false);
    Each.reportUnknownKeys();
    Result.FailureDomains.push_back(std::move(Domain));
  }
  UniqueNames Services;
  for (TomlTable &Each : Root.tables("service")) {
    Service Entry;
    Entry.Name = ServiceName(Each.requiredName("name"));
    Services.check(Each, "name", Entry.Name.str());
    Entry.Slots = static_cast<std::uint32_t>(Each.integerOr("slots", Entry.Slots, 1, MaxSlots));
    Entry.MaxDeadline =
        Each.millisecondsOr("max_deadline_ms", Entry.MaxDeadline, MinDeadline, MaxDeadline);
    Entry.HealthPath = Each.stringOr("health_path", Entry.HealthPath);
    if (!Entry.HealthPath.starts_with('/')) {
      Each.addFinding("health_path", "'health_path' must start with '/'");
    }
    Entry.ShedIsNotRun = Each.booleanOr("shed_is_not_run", Entry.ShedIsNotRun);
    Entry.TargetsPerShard = static_cast<std::uint32_t>(
        Each.integerOr("targets_per_shard", Entry.TargetsPerShard, 1, MaxSlots));
    Each.reportUnknownKeys();
    Result.Services.push_back(std::move(Entry));
  }
  Root.reportUnknownKeys();
  return Result;
}

Customer readCustomer(TomlTable &Each, const TeamName &Team) {
  Customer Result;
  Result.Name = CustomerName(Team.str() + "." + Each.requiredName("name"));
  Result.KeyHashes = Each.stringsOr("key_sha256", {}, checkSha256Hex);
  for (std::string &Region : Each.stringsOr("home_regions", {}, checkRegionName)) {
    Result.HomeRegions.emplace_back(std::move(Region));
  }
  Result.Weight = static_cast<std::uint32_t>(Each.integerOr("weight", Result.Weight, 1, 1000));
  Result.MaxInFlight =
      static_cast<std::uint32_t>(Each.integerOr("max_in_flight", Result.MaxInFlight, 1, 100'000));
  Each.reportUnknownKeys();
  return Result;
}

Route readRoute(TomlTable &Each, const TeamName &Team, const UniqueNames &Customers) {
  Route Result;
  Result.Name = RouteName(Each.requiredName("name"));
  const std::string Owner = Each.requiredName("customer");
  Result.Customer = CustomerName(Team.str() + "." + Owner);
  if (!Owner.empty() && !Customers.contains(Result.Customer.str())) {
    Each.addFinding("customer", "unknown customer '" + Result.Customer.str() + "'");
  }
  Result.PathPrefix = Each.requiredString("path_prefix");
  if (!Result.PathPrefix.starts_with('/')) {
    Each.addFinding("path_prefix", "'path_prefix' must start with '/'");
  }
  // The decoded path of a request without its query is matched.
  if (Result.PathPrefix.find_first_of("?#") != std::string::npos) {
    Each.addFinding("path_prefix", "'path_prefix' must not contain '?' or '#'");
  }
  Result.Methods = Each.stringsOr("methods", {"GET"}, checkMethod);
  if (Result.Methods.empty()) {
    Each.addFinding("methods", "'methods' must not be empty");
  }
  Result.Service = ServiceName(Each.requiredName("service"));
  Result.Repeatable = Each.booleanOr("repeatable", false);
  Result.Class = Each.choiceOr("class", "interactive", {"interactive", "bulk"}) == "bulk"
                     ? RequestClass::Bulk
                     : RequestClass::Interactive;
  Result.Deadline = Each.millisecondsOr("deadline_ms", Result.Deadline, MinDeadline, MaxDeadline);
  Each.reportUnknownKeys();
  return Result;
}

TeamSettings readTeam(TomlTable Root, TeamName Name) {
  TeamSettings Result;
  Result.Name = std::move(Name);
  UniqueNames Customers;
  for (TomlTable &Each : Root.tables("customer")) {
    Result.Customers.push_back(readCustomer(Each, Result.Name));
    Customers.check(Each, "name", Result.Customers.back().Name.str());
  }
  UniqueNames Routes;
  UniqueRoutes Matches;
  for (TomlTable &Each : Root.tables("route")) {
    Result.Routes.push_back(readRoute(Each, Result.Name, Customers));
    Routes.check(Each, "name", Result.Routes.back().Name.str());
    Matches.check(Each, Result.Routes.back());
  }
  Root.reportUnknownKeys();
  return Result;
}

} // namespace

SettingsParser::Result TomlSettingsParser::parse(std::string_view Path,
                                                 std::string_view Text) const {
  Findings Problems;
  const std::string PathText(Path);
  if (Path != PlatformPath && !Path.starts_with(TeamPrefix)) {
    Problems.push_back({PathText, 0, 0, "the path must be 'platform' or 'teams/<team>'"});
    return Problems;
  }
  const std::string_view Team =
      Path == PlatformPath ? std::string_view() : Path.substr(TeamPrefix.size());
  if (Path != PlatformPath && !isSettingsName(Team)) {
    Problems.push_back(
        {PathText, 0, 0, "the team must be 1 to 63 lower-case letters, digits or hyphens"});
    return Problems;
  }
  const auto Root = parseToml(Text, PathText, Problems);
  if (!Root) {
    return Problems;
  }
  Result Parsed;
  if (Path == PlatformPath) {
    Parsed = readPlatform({*Root, PathText, Problems});
  } else {
    Parsed = readTeam({*Root, PathText, Problems}, TeamName(std::string(Team)));
  }
  if (Problems.empty()) {
    return Parsed;
  }
  return sortedFindings(std::move(Problems));
}

} // namespace anvilsaddle
