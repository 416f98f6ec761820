#include "Property.h"
#include "protocol/TomlSettingsParser.h"

#include <string>
#include <variant>
#include <vector>

using namespace anvilsaddle;

class TomlSettingsParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TomlSettingsParserTest);
  CPPUNIT_TEST(findingsHaveTheirPlace);
  CPPUNIT_TEST(validSubtrees);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against bad settings that are accepted, and against findings without their place.
  void findingsHaveTheirPlace() {
    struct Case {
      const char *Path;
      const char *Text;
      std::vector<std::string> Expected;
    };
    const Case Table[] = {
        {"other", "", {"other:0:0: the path must be 'platform' or 'teams/<team>'"}},
        {"platform", "[[region]\n", {"platform:1:10: "}},
        {"platform", "colour = 1\n", {"platform:1:1: unknown key 'colour'"}},
        {"platform",
         "[[service]]\nname = \"a\"\nslots = 0\nhealth_path = \"x\"\n",
         {"platform:3:9: 'slots' must be 1 to 1000",
          "platform:4:15: 'health_path' must start with '/'"}},
        {"teams/t",
         "[[route]]\nname = \"r\"\ncustomer = \"c\"\npath_prefix = 7\nservice = \"S\"\n",
         {"teams/t:3:12: unknown customer 't.c'", "teams/t:4:15: 'path_prefix' must be a string",
          "teams/t:4:15: 'path_prefix' must start with '/'",
          "teams/t:5:11: 'service' must be 1 to 63 lower-case letters, digits or hyphens"}},
    };
    for (const Case &Each : Table) {
      const auto Parsed = TomlSettingsParser().parse(Each.Path, Each.Text);
      const auto *Problems = std::get_if<Findings>(&Parsed);
      CPPUNIT_ASSERT_MESSAGE(Each.Text, Problems);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text, Each.Expected.size(), Problems->size());
      for (std::size_t Index = 0; Index < Problems->size(); ++Index) {
        const std::string Text = toString((*Problems)[Index]);
        CPPUNIT_ASSERT_MESSAGE(Text, Text.starts_with(Each.Expected[Index]));
      }
    }
  }

  void validSubtrees() {
    const auto Platform = TomlSettingsParser().parse(
        "platform", "[[region]]\nname = \"n\"\n[[failure_domain]]\nname = \"n-a\"\nregion = \"n\"\n"
                    "taken_out = true\n[[service]]\nname = \"s\"\nmax_deadline_ms = 500\n");
    CPPUNIT_ASSERT(std::get<PlatformSettings>(Platform).FailureDomains.front().TakenOut);
    CPPUNIT_ASSERT(std::get<PlatformSettings>(Platform).Services.front().MaxDeadline ==
                   std::chrono::milliseconds(500));
    const auto Team = TomlSettingsParser().parse(
        "teams/t", "[[customer]]\nname = \"c\"\nhome_regions = [\"n\"]\n[[route]]\nname = \"r\"\n"
                   "customer = \"c\"\npath_prefix = \"/x\"\nservice = \"s\"\nclass = \"bulk\"\n");
    CPPUNIT_ASSERT(std::get<TeamSettings>(Team).Routes.front().Class == RequestClass::Bulk);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TomlSettingsParserTest);
