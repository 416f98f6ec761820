#include "Property.h"
#include "coordination/configuration/ConfigurationCheck.h"
#include "coordination/configuration/ConfigurationComparison.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const RegionName North("north");
const RegionName South("south");
const RegionName East("east");
const ServiceName Board("board");
const ServiceName Search("search");
const CustomerName Acme("acme");
const CustomerName Blue("blue");

ApiKeyDigest key(std::uint8_t Number) {
  ApiKeyDigest Result{};
  Result[0] = Number;
  return Result;
}

Route makeRoute(const std::string &Name, const std::string &Prefix) {
  Route Result;
  Result.Name = RouteName(Name);
  Result.Host = "h.example";
  Result.PathPrefix = Prefix;
  Result.Idempotent = true;
  Result.Timeout = 2s;
  Result.LatencyObjective = 500ms;
  Result.Priority = 1;
  Result.MaxTargets = 2;
  Result.Services = {{Board, 1}};
  return Result;
}

/// A configuration without any finding.
Configuration makeConfiguration() {
  Configuration Result;
  Result.Version = 7;
  Result.Routes = {makeRoute("r-1", "/"), makeRoute("r-2", "/x/")};
  Result.Routes[1].Services = {{Board, 90}, {Search, 10}};
  Result.Routes[1].HomeRegions = {North, South};
  Result.Services[Board] = {Board, "/health", 4};
  Result.Services[Search] = {Search, "/health", 0};
  Result.Customers[Acme] = {Acme, {key(1), key(2)}, 1, {North, South}, 90, 90};
  Result.Customers[Blue] = {Blue, {key(3)}, std::nullopt, {}, 0, 0};
  return Result;
}

ConfigurationCheckContext makeContext() {
  ConfigurationCheckContext Result;
  Result.Regions = {North, South, East};
  Result.TargetRegions = {{Board, {North}}, {Search, {South}}};
  Result.AllowsRetries = true;
  Result.HedgeShare = 0.03;
  return Result;
}

std::string text(const std::vector<ConfigurationFinding> &Findings) {
  std::string Result;
  for (const ConfigurationFinding &Each : Findings) {
    Result += "\n" + std::string(toString(Each.Severity)) + " " + Each.Name + " " + Each.Kind +
              ": " + Each.Message;
  }
  return Result;
}

bool contains(const std::vector<ConfigurationFinding> &Findings, const std::string &Kind,
              const std::string &Name, FindingSeverity Severity, const std::string &Message) {
  return std::any_of(Findings.begin(), Findings.end(), [&](const ConfigurationFinding &Each) {
    return Each.Kind == Kind && Each.Name == Name && Each.Severity == Severity &&
           Each.Message.find(Message) != std::string::npos;
  });
}

constexpr FindingSeverity Note = FindingSeverity::Note;
constexpr FindingSeverity Warning = FindingSeverity::Warning;
constexpr FindingSeverity Error = FindingSeverity::Error;

} // namespace

class ConfigurationCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationCheckTest);
  CPPUNIT_TEST(findsEachFault);
  CPPUNIT_TEST(findsNothingWithoutFault);
  CPPUNIT_TEST(findsEachChange);
  CPPUNIT_TEST(handlesManyRoutes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a fault that is published because the check does not see it, and against
  /// findings that come along without a cause: each row has one fault and one finding.
  void findsEachFault() {
    struct Case {
      const char *Kind;
      const char *Name;
      FindingSeverity Severity;
      const char *Message;
      std::function<void(Configuration &, ConfigurationCheckContext &)> Change;
    };
    const Case Table[] = {
        {"no_routes", "", Error, "404",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config = Configuration();
           Config.Version = 7;
         }},
        {"limit_zero", "", Error, "headerBytes",
         [](Configuration &Config, ConfigurationCheckContext &) { Config.Limits.HeadBytes = 0; }},
        {"limit_zero", "", Error, "headerTimeoutS",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Limits.HeadTimeout = 0s;
         }},
        {"limit_zero", "", Error, "idleTimeoutS",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Limits.IdleTimeout = 0s;
         }},
        {"body_limit_zero", "", Warning, "bodyBytes",
         [](Configuration &Config, ConfigurationCheckContext &) { Config.Limits.BodyBytes = 0; }},
        {"hedges_without_routes", "", Warning, "hedge_share",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].Idempotent = false;
           Config.Routes[1].MaxTargets = 1;
         }},
        {"route_name_repeated", "r-1", Error, "same name",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].Name = Config.Routes[0].Name;
         }},
        {"route_host_empty", "r-1", Error, "host",
         [](Configuration &Config, ConfigurationCheckContext &) { Config.Routes[0].Host = ""; }},
        {"route_host_port", "r-1", Warning, "h.example:80",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].Host = "h.example:80";
         }},
        {"route_path_invalid", "r-2", Error, "'/x'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].PathPrefix = "/x";
         }},
        {"route_path_invalid", "r-2", Error, "'x/'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].PathPrefix = "x/";
         }},
        {"route_path_invalid", "r-2", Error, "query",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].PathPrefix = "/x?y/";
         }},
        {"route_path_invalid", "r-2", Error, "''",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].PathPrefix = "";
         }},
        // Hosts are case-insensitive, and the last route of a host and path is used.
        {"route_shadowed", "r-1", Error, "route 'r-2'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].PathPrefix = "/";
           Config.Routes[1].Host = "H.Example";
         }},
        {"route_service_unknown", "r-1", Error, "service 'none'",
         [](Configuration &Config, ConfigurationCheckContext &Context) {
           Config.Routes[0].Services = {{ServiceName("none"), 1}};
           Context.TargetRegions = std::nullopt;
         }},
        {"route_service_repeated", "r-1", Warning, "service 'board'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].Services.push_back({Board, 1});
         }},
        {"route_weight_zero", "r-2", Warning, "service 'search'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].Services[1].Weight = 0;
         }},
        {"route_weights_zero", "r-1", Error, "all weights",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].Services[0].Weight = 0;
         }},
        {"route_no_service", "r-1", Error, "ignored",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].Services.clear();
         }},
        {"route_without_targets", "r-2", Error, "home regions",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].HomeRegions = {East};
           Config.Customers[Acme].HomeRegions = {};
         }},
        {"route_timeout_zero", "r-1", Error, "refused",
         [](Configuration &Config, ConfigurationCheckContext &) { Config.Routes[0].Timeout = 0s; }},
        {"route_objective_above_timeout", "r-1", Error, "3000 ms",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].LatencyObjective = 3s;
         }},
        {"route_objective_zero", "r-1", Warning, "late",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].LatencyObjective = 0s;
         }},
        {"route_attempts_zero", "r-1", Warning, "taken for 1",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].MaxTargets = 0;
         }},
        {"route_attempts_without_budget", "r-1", Warning, "2 attempts",
         [](Configuration &Config, ConfigurationCheckContext &Context) {
           Config.Routes[1].MaxTargets = 1;
           Context.AllowsRetries = false;
         }},
        {"home_region_unknown", "r-2", Error, "'west'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[1].HomeRegions.insert(RegionName("west"));
         }},
        {"home_region_unknown", "acme", Error, "'west'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Acme].HomeRegions.insert(RegionName("west"));
         }},
        {"service_unused", "spare", Warning, "no route",
         [](Configuration &Config, ConfigurationCheckContext &) {
           const ServiceName Spare("spare");
           Config.Services[Spare] = {Spare, "/", 0};
         }},
        {"service_without_targets", "search", Warning, "registered",
         [](Configuration &, ConfigurationCheckContext &Context) {
           Context.TargetRegions->erase(Search);
         }},
        {"service_health_path_invalid", "board", Error, "'health'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Services[Board].HealthPath = "health";
         }},
        {"customer_without_keys", "acme", Warning, "no API key",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Acme].Keys.clear();
         }},
        {"customer_key_shared", "blue", Error, "customer 'acme'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Blue].Keys.insert(key(1));
         }},
        {"customer_route_regions_disjoint", "acme", Warning, "route 'r-2'",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Acme].HomeRegions = {East};
         }},
        {"customer_burst_without_rate", "blue", Warning, "no effect",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Blue].Burst = 5;
         }},
        {"customer_burst_below_one", "acme", Warning, "less than one",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Customers[Acme].Burst = 0.5;
         }},
        {"keys_never_required", "", Warning, "public",
         [](Configuration &Config, ConfigurationCheckContext &) {
           Config.Routes[0].IsPublic = true;
           Config.Routes[1].IsPublic = true;
         }},
    };
    for (const Case &Each : Table) {
      Configuration Config = makeConfiguration();
      ConfigurationCheckContext Context = makeContext();
      Each.Change(Config, Context);
      if (Config.Routes.empty()) {
        Context.HedgeShare = 0;
      }
      const auto Findings = checkConfiguration(Config, Context);
      const std::string Text = std::string(Each.Kind) + text(Findings);
      CPPUNIT_ASSERT_MESSAGE(Text,
                             contains(Findings, Each.Kind, Each.Name, Each.Severity, Each.Message));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::size_t{1}, Findings.size());
    }
  }

  /// Guards against warnings about a configuration that is in order, after which operators ignore
  /// warnings, and against checks that guess what the call does not tell.
  void findsNothingWithoutFault() {
    const auto WithContext = checkConfiguration(makeConfiguration(), makeContext());
    CPPUNIT_ASSERT_MESSAGE(text(WithContext), WithContext.empty());
    Configuration Config = makeConfiguration();
    Config.Routes[1].HomeRegions = {RegionName("west")};
    Config.Customers.clear();
    const auto WithoutContext = checkConfiguration(Config, {});
    CPPUNIT_ASSERT_MESSAGE(text(WithoutContext), WithoutContext.empty());
    const Configuration Same = makeConfiguration();
    Configuration Newer = Same;
    ++Newer.Version;
    CPPUNIT_ASSERT(compareConfigurations(Same, Newer).empty());
  }

  /// Guards against a change at the expense of callers that is reported as harmless or not at all.
  /// Each row has one change and one difference; reverting it gives the second one.
  void findsEachChange() {
    struct Case {
      const char *Kind;
      const char *Name;
      FindingSeverity Severity;
      const char *Message;
      const char *RevertedKind;
      FindingSeverity RevertedSeverity;
      std::function<void(Configuration &)> Change;
    };
    const Case Table[] = {
        {"head_limit_lowered", "", Warning, "from 16384 to 9", "head_limit_raised", Note,
         [](Configuration &Config) { Config.Limits.HeadBytes = 9; }},
        {"body_limit_lowered", "", Warning, "from 67108864 to 9", "body_limit_raised", Note,
         [](Configuration &Config) { Config.Limits.BodyBytes = 9; }},
        {"head_timeout_lowered", "", Warning, "from 3000 ms to 1000 ms", "head_timeout_raised",
         Note, [](Configuration &Config) { Config.Limits.HeadTimeout = 1s; }},
        {"idle_timeout_raised", "", Note, "from 15000 ms to 20000 ms", "idle_timeout_lowered",
         Warning, [](Configuration &Config) { Config.Limits.IdleTimeout = 20s; }},
        {"route_dropped", "r-2", Warning, "h.example/x/ are served by route 'r-1'", "route_added",
         Note, [](Configuration &Config) { Config.Routes.pop_back(); }},
        {"route_dropped", "r-1", Warning, "h.example/ get 404", "route_added", Note,
         [](Configuration &Config) { Config.Routes.erase(Config.Routes.begin()); }},
        {"route_moved", "r-2", Warning, "h.example/y/", "route_moved", Warning,
         [](Configuration &Config) { Config.Routes[1].PathPrefix = "/y/"; }},
        {"route_services_changed", "r-2", Note,
         "from board 90%, search 10% to board 50%, search 50%", "route_services_changed", Note,
         [](Configuration &Config) { Config.Routes[1].Services[1].Weight = 90; }},
        {"route_idempotence_changed", "r-1", Warning, "no longer", "route_idempotence_changed",
         Warning, [](Configuration &Config) { Config.Routes[0].Idempotent = false; }},
        {"route_timeout_lowered", "r-1", Warning, "from 2000 ms to 1000 ms", "route_timeout_raised",
         Note, [](Configuration &Config) { Config.Routes[0].Timeout = 1s; }},
        {"route_objective_changed", "r-1", Note, "from 500 ms to 100 ms", "route_objective_changed",
         Note, [](Configuration &Config) { Config.Routes[0].LatencyObjective = 100ms; }},
        {"route_attempts_lowered", "r-1", Warning, "from 2 to 1", "route_attempts_raised", Note,
         [](Configuration &Config) { Config.Routes[0].MaxTargets = 1; }},
        {"route_priority_changed", "r-1", Warning, "from 1 to 2", "route_priority_changed", Note,
         [](Configuration &Config) { Config.Routes[0].Priority = 2; }},
        {"home_regions_narrowed", "r-2", Warning,
         "from north, south to north; requests are refused", "home_regions_widened", Note,
         [](Configuration &Config) { Config.Routes[1].HomeRegions = {North}; }},
        {"home_regions_narrowed", "r-1", Warning, "from all to north", "home_regions_widened", Note,
         [](Configuration &Config) { Config.Routes[0].HomeRegions = {North}; }},
        {"home_regions_narrowed", "r-2", Warning, "from north, south to east, north",
         "home_regions_narrowed", Warning,
         [](Configuration &Config) {
           Config.Routes[1].HomeRegions = {North, East};
         }},
        {"route_public_changed", "r-1", Note, "no longer need", "route_public_changed", Warning,
         [](Configuration &Config) { Config.Routes[0].IsPublic = true; }},
        {"service_dropped", "search", Note, "dropped", "service_added", Note,
         [](Configuration &Config) { Config.Services.erase(Search); }},
        {"service_health_path_changed", "board", Note, "from /health to /up",
         "service_health_path_changed", Note,
         [](Configuration &Config) { Config.Services[Board].HealthPath = "/up"; }},
        {"service_cold_rate_changed", "board", Note, "from 4 to 2.5", "service_cold_rate_changed",
         Note, [](Configuration &Config) { Config.Services[Board].ColdRequestsPerSecond = 2.5; }},
        {"keys_revoked", "acme", Warning, "1 of 2 API keys", "keys_added", Note,
         [](Configuration &Config) { Config.Customers[Acme].Keys.erase(key(1)); }},
        {"customer_rate_lowered", "acme", Warning, "from 90 to 10 requests", "customer_rate_raised",
         Note, [](Configuration &Config) { Config.Customers[Acme].RequestsPerSecond = 10; }},
        {"customer_rate_lowered", "blue", Warning, "from 0 to 10 requests", "customer_rate_raised",
         Note, [](Configuration &Config) { Config.Customers[Blue].RequestsPerSecond = 10; }},
        {"customer_burst_lowered", "acme", Warning, "from 90 to 10", "customer_burst_raised", Note,
         [](Configuration &Config) { Config.Customers[Acme].Burst = 10; }},
        {"customer_priority_changed", "acme", Warning, "from 1 to 5", "customer_priority_changed",
         Note, [](Configuration &Config) { Config.Customers[Acme].Priority = 5; }},
        {"home_regions_narrowed", "acme", Warning, "from north, south to north",
         "home_regions_widened", Note,
         [](Configuration &Config) { Config.Customers[Acme].HomeRegions = {North}; }},
    };
    for (const Case &Each : Table) {
      const Configuration Current = makeConfiguration();
      Configuration Next = Current;
      Each.Change(Next);
      ++Next.Version;
      const auto Findings = compareConfigurations(Current, Next);
      const std::string Text = std::string(Each.Kind) + text(Findings);
      CPPUNIT_ASSERT_MESSAGE(Text,
                             contains(Findings, Each.Kind, Each.Name, Each.Severity, Each.Message));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::size_t{1}, Findings.size());
      Configuration Reverted = Current;
      Reverted.Version = Next.Version + 1;
      const auto Reversed = compareConfigurations(Next, Reverted);
      const std::string ReversedText = "reverted " + std::string(Each.Kind) + text(Reversed);
      CPPUNIT_ASSERT_MESSAGE(ReversedText, contains(Reversed, Each.RevertedKind, Each.Name,
                                                    Each.RevertedSeverity, ""));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(ReversedText, std::size_t{1}, Reversed.size());
    }
    this->findsChangesOfCustomers();
  }

  /// Guards against a check whose time grows with the square of the configuration. The bound is the
  /// time limit of the test; before, 10,000 customers on 5,000 routes are 50 million pairs.
  void handlesManyRoutes() {
    Configuration Config = makeConfiguration();
    for (int Index = 0; Index < 5000; ++Index) {
      Route Added = makeRoute("m-" + std::to_string(Index), "/m/" + std::to_string(Index) + "/");
      Added.HomeRegions = {Index % 2 == 0 ? North : South};
      Added.Services = {{Index % 2 == 0 ? Board : Search, 1}};
      Config.Routes.push_back(std::move(Added));
    }
    for (int Index = 0; Index < 10'000; ++Index) {
      const CustomerName Name("c-" + std::to_string(Index));
      ApiKeyDigest Key = key(9);
      Key[1] = static_cast<std::uint8_t>(Index);
      Key[2] = static_cast<std::uint8_t>(Index / 256);
      Config.Customers[Name] = {Name, {Key}, 1, {}, 5, 5};
    }
    const auto Findings = checkConfiguration(Config, makeContext());
    CPPUNIT_ASSERT_MESSAGE(text(Findings), Findings.empty());
    Configuration Next = Config;
    ++Next.Version;
    Next.Routes.resize(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, compareConfigurations(Config, Next).size());
  }

private:
  /// Changes that have more than one effect.
  static void findsChangesOfCustomers() {
    const Configuration Current = makeConfiguration();
    Configuration Moved = Current;
    ++Moved.Version;
    Moved.Customers[Acme].Keys.erase(key(1));
    Moved.Customers[Blue].Keys.insert(key(1));
    const auto Moves = compareConfigurations(Current, Moved);
    CPPUNIT_ASSERT_MESSAGE(text(Moves), contains(Moves, "keys_moved", "acme", Warning, "'blue'"));
    CPPUNIT_ASSERT_MESSAGE(text(Moves), contains(Moves, "keys_added", "blue", Note, "1 API keys"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Moves.size());
    Configuration Without = Current;
    ++Without.Version;
    Without.Customers.erase(Acme);
    const auto Drops = compareConfigurations(Current, Without);
    CPPUNIT_ASSERT_MESSAGE(text(Drops), contains(Drops, "customer_dropped", "acme", Warning, ""));
    CPPUNIT_ASSERT_MESSAGE(text(Drops),
                           contains(Drops, "keys_revoked", "acme", Warning, "2 of 2 API keys"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Drops.size());
    Without.Customers.clear();
    const auto Opened = compareConfigurations(Current, Without);
    CPPUNIT_ASSERT_MESSAGE(text(Opened), contains(Opened, "keys_not_required", "", Note, ""));
    Configuration First = Current;
    First.Version = Without.Version + 1;
    const auto Closed = compareConfigurations(Without, First);
    CPPUNIT_ASSERT_MESSAGE(text(Closed), contains(Closed, "keys_required", "", Warning, "401"));
    CPPUNIT_ASSERT_MESSAGE(text(Closed), contains(Closed, "customer_added", "acme", Note, "2"));
    const auto Same = compareConfigurations(Current, Current);
    CPPUNIT_ASSERT_MESSAGE(text(Same), contains(Same, "version_not_newer", "", Error, "ignore"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Same.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCheckTest);
