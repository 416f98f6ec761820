#include "Property.h"
#include "state/SettingsParser.h"
#include "state/SettingsSnapshot.h"
#include "state/SettingsStore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace anvilsaddle;

namespace {

const std::vector<std::string> Paths = {"/", "/a", "/a/b", "/ab", "/a/b/c", "/c"};
const std::vector<std::string> Methods = {"GET", "POST"};

/// Customers and routes from few names, so that most lookups hit.
TeamSettings makeTeam(const std::string &Name, const std::vector<std::uint8_t> &Draws) {
  TeamSettings Result;
  Result.Name = TeamName(Name);
  for (const std::uint8_t Draw : Draws) {
    const CustomerName Customer(Name + "." + std::to_string(Draw % 3));
    if (Draw % 2 == 0) {
      anvilsaddle::Customer Next;
      Next.Name = Customer;
      Next.Weight = Draw;
      Result.Customers.push_back(Next);
    }
    Route Path;
    Path.Name = RouteName(std::to_string(Result.Routes.size()));
    Path.Customer = Customer;
    Path.PathPrefix = Paths[Draw / 3 % Paths.size()];
    Path.Methods = {Methods[Draw / 18 % Methods.size()]};
    Result.Routes.push_back(Path);
  }
  return Result;
}

bool matches(const std::string &UrlPath, const std::string &Prefix) {
  return UrlPath == Prefix || UrlPath.starts_with(Prefix.ends_with('/') ? Prefix : Prefix + "/");
}

/// Definition of the match, as a search through all routes.
const Route *expectedRoute(const TeamSettings &Team, const CustomerName &Name,
                           const std::string &Method, const std::string &UrlPath) {
  const Route *Best = nullptr;
  for (const Route &Each : Team.Routes) {
    if (Each.Customer == Name && Each.Methods.front() == Method &&
        matches(UrlPath, Each.PathPrefix) &&
        (!Best || Each.PathPrefix.size() > Best->PathPrefix.size())) {
      Best = &Each;
    }
  }
  return Best;
}

void checkTeam(const SettingsSnapshot &Snapshot, const TeamSettings &Team) {
  for (const char *Number : {"0", "1", "2", "3"}) {
    const CustomerName Name(Team.Name.str() + "." + Number);
    const Customer *Expected = nullptr;
    for (const Customer &Each : Team.Customers) {
      if (Each.Name == Name && !Expected) {
        Expected = &Each;
      }
    }
    const Customer *Found = Snapshot.findCustomer(Name);
    RC_ASSERT((Found != nullptr) == (Expected != nullptr));
    RC_ASSERT((!Found || *Found == *Expected)); // RC_ASSERT itself does not short-circuit.
    for (const std::string &Path : Paths) {
      for (const std::string &Method : Methods) {
        const Route *Wanted = expectedRoute(Team, Name, Method, Path);
        const Route *Route = Snapshot.findRoute(Name, Method, Path);
        RC_ASSERT((Route != nullptr) == (Wanted != nullptr));
        RC_ASSERT((!Route || *Route == *Wanted));
      }
    }
  }
}

/// Reads each character as one draw of makeTeam(), and the path `platform` as one service for each
/// character.
class DrawParser final : public SettingsParser {
public:
  Result parse(std::string_view Path, std::string_view Text) const override {
    if (Path == "platform") {
      PlatformSettings Platform;
      for (const char Name : Text) {
        Service Next;
        Next.Name = ServiceName(std::string(1, Name));
        Platform.Services.push_back(Next);
        FailureDomain Domain;
        Domain.Name = FailureDomainName(std::string(1, Name));
        Platform.FailureDomains.push_back(Domain);
      }
      return Platform;
    }
    return makeTeam("t", {Text.begin(), Text.end()});
  }
};

} // namespace

class SettingsSnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsSnapshotTest);
  CPPUNIT_TEST(lookupsMatchTheDefinition);
  CPPUNIT_TEST(replacedParts);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an index that sends a request along another route than the settings say.
  void lookupsMatchTheDefinition() {
    checkProperty(
        "indexed lookups find what a search through all elements finds",
        [](const std::vector<std::uint8_t> &First, const std::vector<std::uint8_t> &Second) {
          const TeamSettings T = makeTeam("t", First);
          const TeamSettings U = makeTeam("u", Second);
          const std::map<TeamName, TeamSettings> Teams{{T.Name, T}, {U.Name, U}};
          auto Original = std::make_unique<SettingsSnapshot>(PlatformSettings(), Teams);
          const SettingsSnapshot Copy = *Original;
          RC_ASSERT(Copy == *Original);
          // The index of a copy must not refer to the original.
          Original.reset();
          checkTeam(Copy, T);
          checkTeam(Copy, U);
        });
  }

  /// Guards against lookups that still find what a newer revision removed.
  void replacedParts() {
    checkProperty(
        "after each accepted revision only its content is found",
        [](const std::vector<std::string> &Texts) {
          const DrawParser Parser;
          SettingsStore Store(Parser);
          std::uint64_t Revision = 0;
          for (const std::string &Text : Texts) {
            Store.offer("teams/t", ++Revision, Text);
            Store.offer("platform", Revision, Text);
            checkTeam(Store.snapshot(), makeTeam("t", {Text.begin(), Text.end()}));
            for (char Name = 'a'; Name < 'z'; ++Name) {
              const std::string Wanted(1, Name);
              const bool Present = Text.find(Name) != std::string::npos;
              RC_ASSERT(Present == (Store.snapshot().findService(ServiceName(Wanted)) != nullptr));
              RC_ASSERT(Present ==
                        (Store.snapshot().findDomain(FailureDomainName(Wanted)) != nullptr));
            }
          }
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsSnapshotTest);
