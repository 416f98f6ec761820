#include "protocol/TomlSettingsParser.h"

#include "protocol/TomlTable.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string>
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

bool isSha256Hex(const std::string &Text) {
  return Text.size() == Sha256HexLength && std::ranges::all_of(Text, [](unsigned char Character) {
           return std::isdigit(Character) || (Character >= 'a' && Character <= 'f');
         });
}

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
  Result.KeyHashes = Each.stringsOr("key_sha256", {});
  if (!std::ranges::all_of(Result.KeyHashes, isSha256Hex)) {
    Each.addFinding("key_sha256",
                    "'key_sha256' must hold SHA-256 values in lower-case hexadecimal");
  }
  for (std::string &Region : Each.stringsOr("home_regions", {})) {
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
  Result.Customer = CustomerName(Team.str() + "." + Each.requiredName("customer"));
  if (!Customers.contains(Result.Customer.str())) {
    Each.addFinding("customer", "unknown customer '" + Result.Customer.str() + "'");
  }
  Result.PathPrefix = Each.requiredString("path_prefix");
  if (!Result.PathPrefix.starts_with('/')) {
    Each.addFinding("path_prefix", "'path_prefix' must start with '/'");
  }
  Result.Methods = Each.stringsOr("methods", {"GET"});
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
  for (TomlTable &Each : Root.tables("route")) {
    Result.Routes.push_back(readRoute(Each, Result.Name, Customers));
    Routes.check(Each, "name", Result.Routes.back().Name.str());
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
  const auto Root = parseToml(Text, PathText, Problems);
  if (!Root) {
    return Problems;
  }
  Result Parsed;
  if (Path == PlatformPath) {
    Parsed = readPlatform({*Root, PathText, Problems});
  } else {
    Parsed = readTeam({*Root, PathText, Problems},
                      TeamName(std::string(Path.substr(TeamPrefix.size()))));
  }
  if (Problems.empty()) {
    return Parsed;
  }
  std::ranges::stable_sort(Problems);
  return Problems;
}

} // namespace anvilsaddle
