#include "Property.h"
#include "SettingsChecker.h"
#include "TemporaryDirectory.h"

#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

constexpr const char *Platform = "[[region]]\nname = \"n\"\n[[failure_domain]]\nname = \"n-a\"\n"
                                 "region = \"n\"\n[[service]]\nname = \"s\"\n";
constexpr const char *Team = "[[customer]]\nname = \"c\"\nhome_regions = [\"n\"]\n[[route]]\n"
                             "name = \"r\"\ncustomer = \"c\"\npath_prefix = \"/x\"\n"
                             "service = \"s\"\n";

std::string text(const Findings &Found, const TemporaryDirectory &Directory) {
  std::string Result;
  for (const Finding &Each : Found) {
    Result += toString(Each).substr(Directory.path().size()) + "\n";
  }
  return Result;
}

} // namespace

class SettingsCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsCheckerTest);
  CPPUNIT_TEST(directories);
  CPPUNIT_TEST(daemonSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against findings that are missed or lack their file and place, and against references
  /// between files that nobody checks before a rollout.
  void directories() {
    struct Case {
      const char *Name;
      std::vector<std::pair<std::string, std::string>> Files;
      std::string Problems;
      std::string Warnings;
    };
    const std::string LateTeam = std::string(Team) + "deadline_ms = 3000\n";
    const Case Table[] = {
        {"valid", {{"platform.toml", Platform}, {"teams/t.toml", Team}}, "", ""},
        {"empty",
         {{"readme", ""}},
         ":0:0: the directory has no platform.toml and no "
         "teams/<team>.toml\n",
         ""},
        {"two bad files",
         {{"platform.toml", "a = 1\n"}, {"teams/t.toml", "\nb = 1\n"}},
         "/platform.toml:1:1: unknown key 'a'\n/teams/t.toml:2:1: unknown key 'b'\n",
         ""},
        {"dangling references",
         {{"platform.toml", "[[region]]\nname = \"m\"\n"}, {"teams/t.toml", Team}},
         "",
         "/teams/t.toml:3:16: unknown region 'n'\n/teams/t.toml:8:11: unknown service 's'\n"},
        {"deadline beyond the service's",
         {{"platform.toml", Platform}, {"teams/t.toml", LateTeam}},
         "",
         "/teams/t.toml:9:15: the deadline exceeds the longest deadline of service 's'\n"},
        {"team without platform", {{"teams/t.toml", Team}}, "", ""},
        {"VM list",
         {{"platform.toml", Platform},
          {"vms.json", R"({"vms":[{"name":"a","address":"127.0.0.1","port":1,)"
                       R"("failure_domain":"x","role":"target","service":"y"}]})"}},
         "",
         "/vms.json:0:0: VM 'a': unknown failure domain 'x'\n"
         "/vms.json:0:0: VM 'a': unknown service 'y'\n"},
        {"VM list that is no list",
         {{"platform.toml", Platform}, {"vms.json", "{"}},
         "/vms.json:0:0: expected an object with 'revision' and an array 'vms'\n",
         ""},
    };
    for (const Case &Each : Table) {
      const TemporaryDirectory Directory;
      for (const auto &[Name, Text] : Each.Files) {
        Directory.write(Name, Text);
      }
      SettingsChecker Checker;
      Checker.checkPublished(Directory.path());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Problems, text(Checker.problems(), Directory));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Warnings, text(Checker.warnings(), Directory));
    }
  }

  /// Guards against local settings that are read as published ones, and against unreadable files
  /// that pass.
  void daemonSettings() {
    const TemporaryDirectory Directory;
    SettingsChecker Checker;
    Checker.checkDaemonSettings(Directory.write("d.toml", "vm = 1\n"));
    CPPUNIT_ASSERT(text(Checker.problems(), Directory).find("'vm' must be a string") !=
                   std::string::npos);
    SettingsChecker Unreadable;
    Unreadable.checkDaemonSettings(Directory.path());
    Unreadable.checkPublished(Directory.path("missing.toml"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Unreadable.problems().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsCheckerTest);
