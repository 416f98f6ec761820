#include "Property.h"
#include "protocol/TomlKeyDepth.h"
#include "protocol/TomlSettingsParser.h"
#include "protocol/TomlTable.h"

#include <string>
#include <variant>
#include <vector>

using namespace anvilsaddle;

class TomlSettingsParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TomlSettingsParserTest);
  CPPUNIT_TEST(findingsHaveTheirPlace);
  CPPUNIT_TEST(edgeCases);
  CPPUNIT_TEST(largeSubtrees);
  CPPUNIT_TEST(keyDepth);
  CPPUNIT_TEST(anyTextIsHandled);
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

  /// Guards against subtrees that some entries refuse or crash on, and against misplaced findings.
  void edgeCases() {
    const std::string Customer = "[[customer]]\nname = \"c\"\n";
    const std::string Route =
        "[[route]]\nname = \"r\"\ncustomer = \"c\"\nservice = \"s\"\npath_prefix = \"/x\"\n";
    const std::string Twin =
        Customer + Route + "methods = [\"GET\", \"PUT\"]\n" +
        "[[route]]\nname = \"q\"\ncustomer = \"c\"\nservice = \"s\"\npath_prefix = \"/x\"\n";
    const std::string Service = "[[service]]\nname = \"s\"\n";
    const std::string Names = "1 to 63 lower-case letters, digits or hyphens";
    const auto Hash = [](std::size_t Size, char Digit) {
      return "\"" + std::string(Size, Digit) + "\"";
    };
    struct Case {
      std::string Path;
      std::string Text;
      /// Start of the only finding; empty if the subtree is valid.
      std::string Expected;
    };
    const Case Table[] = {
        {"teams/Bad", Customer, "teams/Bad:0:0: the team must be " + Names},
        {"teams/", Customer, "teams/:0:0: the team must be " + Names},
        {"teams/a/b", Customer, "teams/a/b:0:0: the team must be " + Names},
        {"platforms", "", "platforms:0:0: the path must be"},
        {"teams/t", Customer + "# \xff\n", "teams/t:3:2: Encountered invalid utf-8"},
        {"teams/t", "[[customer]]\nname = \"\xc3(\"\n", "teams/t:2:8: Encountered invalid utf-8"},
        {"platform", "name = \"\xc0\x80\"\n", "platform:1:8: Encountered invalid utf-8"},
        {"platform", std::string("a=\0", 3), "platform:1:3: "},
        {"platform", "\xef\xbb\xbf", ""},
        {"platform", "\r\ncolour = 1\r\n", "platform:2:1: unknown key 'colour'"},
        {"platform", "[[region]]\nname = \"a\"\nname = \"b\"\n", "platform:3:8: "},
        {"platform", "[[region]]\nname = \"a\"\n[[region]]\nname = \"a\"\n",
         "platform:4:8: 'a' is defined twice"},
        {"platform", "[region]\nname = \"a\"\n",
         "platform:1:1: 'region' must be an array of tables"},
        {"platform", Service + "slots = 99999999999999999999\n", "platform:3:29: "},
        {"platform", Service + "slots = 1000\n", ""},
        {"platform", Service + "slots = 1001\n", "platform:3:9: 'slots' must be 1 to 1000"},
        {"platform", Service + "slots = 3.0\n", "platform:3:9: 'slots' must be an integer"},
        {"platform", Service + "max_deadline_ms = 600000\n", ""},
        {"platform", Service + "max_deadline_ms = 600001\n",
         "platform:3:19: 'max_deadline_ms' must be 1 to 600000"},
        {"platform", Service + "shed_is_not_run = 1\n",
         "platform:3:19: 'shed_is_not_run' must be true or false"},
        {"platform", "[[region]]\nname = " + Hash(63, 'a'), ""},
        {"platform", "[[region]]\nname = " + Hash(64, 'a'),
         "platform:2:8: 'name' must be " + Names},
        {"platform", "[[region]]\nname = \"\"\n", "platform:2:8: 'name' must not be empty"},
        {"platform", "a = " + std::string(100'000, '['), "platform:1:261: "},
        {"teams/t", Customer + "key_sha256 = [" + Hash(64, 'a') + ",\n" + Hash(64, 'A') + "]\n",
         "teams/t:4:1: elements of 'key_sha256' must be SHA-256 values in lower-case hexadecimal"},
        {"teams/t", Customer + "key_sha256 = [" + Hash(63, 'a') + "]\n",
         "teams/t:3:15: elements of 'key_sha256'"},
        {"teams/t", Customer + "home_regions = [\"n\", \"N\"]\n",
         "teams/t:3:22: elements of 'home_regions' must be " + Names},
        {"teams/t", Customer + "home_regions = [\"n\", \"n\"]\n",
         "teams/t:3:22: elements of 'home_regions' must differ"},
        {"teams/t", Customer + "home_regions = [1]\n",
         "teams/t:3:17: elements of 'home_regions' must be strings"},
        {"teams/t", Twin, "teams/t:13:15: route 'r' has the prefix '/x' and method GET already"},
        {"teams/t", Twin + "methods = [\"POST\"]\n", ""},
        {"teams/t", Customer + Route + "methods = [\"get\"]\n",
         "teams/t:8:12: elements of 'methods' must be methods in upper-case letters"},
        {"teams/t", Customer + Route + "methods = []\n",
         "teams/t:8:11: 'methods' must not be empty"},
        {"teams/t",
         Customer +
             "[[route]]\nname = \"r\"\ncustomer = \"c\"\nservice = \"s\"\npath_prefix = \"/x?y\"\n",
         "teams/t:7:15: 'path_prefix' must not contain"},
    };
    for (const Case &Each : Table) {
      const auto Parsed = TomlSettingsParser().parse(Each.Path, Each.Text);
      const auto *Problems = std::get_if<Findings>(&Parsed);
      std::string Found;
      for (const Finding &Problem : Problems ? *Problems : Findings()) {
        Found += toString(Problem) + "\n";
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Found + Each.Text.substr(0, 200), !Each.Expected.empty(),
                                   Problems != nullptr);
      CPPUNIT_ASSERT_MESSAGE(Found + "instead of " + Each.Expected,
                             Found.starts_with(Each.Expected));
      CPPUNIT_ASSERT_MESSAGE(Found, !Problems || Problems->size() == 1);
    }
  }

  /// Guards against limits that refuse a subtree of the allowed size, and against findings without
  /// end.
  void largeSubtrees() {
    std::string Text = "[[customer]]\nname = \"c\"\n";
    for (int Number = 0; Text.size() < MaxTomlBytes - 200; ++Number) {
      const std::string Name = std::to_string(Number);
      Text.append("[[route]]\nname = \"r").append(Name);
      Text.append("\"\ncustomer = \"c\"\nservice = \"s\"\npath_prefix = \"/");
      Text.append(Name).append("\"\n");
    }
    Text.append(MaxTomlBytes - Text.size(), '\n');
    CPPUNIT_ASSERT(
        std::holds_alternative<TeamSettings>(TomlSettingsParser().parse("teams/t", Text)));
    const auto TooLarge = TomlSettingsParser().parse("teams/t", Text + "\n");
    CPPUNIT_ASSERT_EQUAL(
        std::string("teams/t:0:0: the text has 1048577 bytes, at most 1048576 are allowed"),
        toString(std::get<Findings>(TooLarge).at(0)));
    std::string Unknown;
    for (int Number = 0; Number < 1000; ++Number) {
      Unknown += "k" + std::to_string(Number) + " = 1\n";
    }
    const auto Many = std::get<Findings>(TomlSettingsParser().parse("platform", Unknown));
    CPPUNIT_ASSERT_EQUAL(MaxFindings + 1, Many.size());
    CPPUNIT_ASSERT_EQUAL(std::string("and 800 more findings"), Many.back().Message);
  }

  /// Guards against a crash of every entry by one key of many parts, and against values with dots
  /// that are taken for such keys.
  void keyDepth() {
    const auto Key = [](std::size_t Count) {
      std::string Result = "a";
      for (std::size_t Number = 1; Number < Count; ++Number) {
        Result += " . \"b.c\"";
      }
      return Result;
    };
    const std::string Longest = Key(MaxTomlKeyParts);
    const std::string TooLong = Key(MaxTomlKeyParts + 1);
    const std::string Dots = "1.2.3.4.5.6.7.8.9.10";
    std::string Repeated;
    for (int Number = 0; Number < 400'000; ++Number) {
      Repeated += ".a";
    }
    struct Case {
      std::string Text;
      bool Deep;
    };
    const Case Table[] = {
        {"a" + Repeated + " = 1", true},
        {"[" + TooLong + "]", true},
        {"x = {" + TooLong + " = 1}", true},
        {Longest + " = 1", false},
        {"[" + Longest + "]\n" + Longest + " = 1", false},
        {"a = \"" + Dots + "\"", false},
        {"a = \"\\\"" + Dots + "\"", false},
        {"a = '\\'\n" + TooLong + " = 1", true},
        {"a = \"\"\"\n\"" + Dots + "\"\"\"\"\"\n" + TooLong + " = 1", true},
        {"a = '''\n'" + Dots + "'''\n", false},
        {"x = {a = '\\', " + TooLong + " = 1}", true},
        {"x = {a = \"\"\"b\"\"\"\"\", " + Dots + " = 1}", true},
        {"# " + Dots + " \"\n" + TooLong + " = 1", true},
        {"a = [1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5]", false},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text.substr(0, 200), Each.Deep,
                                   findDeepTomlKey(Each.Text).has_value());
      CPPUNIT_ASSERT(
          std::holds_alternative<Findings>(TomlSettingsParser().parse("platform", Each.Text)));
    }
    const auto Place = findDeepTomlKey("a = 1\na.b.c.d.e.f.g.h.i = 1\n");
    CPPUNIT_ASSERT(Place && Place->Line == 2 && Place->Column == 16);
  }

  /// Guards against text that crashes the reader, and against refusals without findings.
  void anyTextIsHandled() {
    static const std::string Valid =
        "[[customer]]\nname = \"c\"\nhome_regions = [\"n\"]\nweight = 3\n[[route]]\nname = \"r\"\n"
        "customer = \"c\"\npath_prefix = \"/x\"\nservice = \"s\"\nclass = \"bulk\"\n";
    checkProperty("any text gives settings or findings", [] {
      std::string Text = *rc::gen::arbitrary<std::string>();
      if (*rc::gen::arbitrary<bool>()) {
        std::string Changed = Valid;
        for (const char Byte : Text) {
          Changed.replace(*rc::gen::inRange<std::size_t>(0, Changed.size()),
                          *rc::gen::inRange<std::size_t>(0, 3),
                          *rc::gen::element<std::string>(std::string(1, Byte), "[[", "{", "\"", ".",
                                                         "=", "\n", ""));
        }
        Text = Changed;
      }
      const auto Parsed =
          TomlSettingsParser().parse(*rc::gen::element<std::string>("platform", "teams/t"), Text);
      const auto *Problems = std::get_if<Findings>(&Parsed);
      const bool Described = !Problems || !Problems->empty();
      RC_ASSERT(Described);
    });
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
