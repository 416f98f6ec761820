#include "Property.h"
#include "platform/ConfigurationFile.h"

#include <string>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

namespace {

const std::string Good = R"({
  "version": "0000001f",
  "routes": {
    "columns": ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "service"],
    "rows": [
      ["r-1", "h.example", "/x/", "unsafe", 2.5, 0.5, "board"],
      ["r-\"2", "h.example", "/[{,:/", "safe", 2.5, 0.5, "board"]
    ]
  },
  "services": {"columns": ["name", "healthCheckPath"], "rows": [
    ["board", "/health"]]},
  "limits": {"headerBytes": 16384}
}
)";

std::string replaced(std::string Text, const std::string &Old, const std::string &New) {
  const std::size_t Position = Text.find(Old);
  CPPUNIT_ASSERT_MESSAGE(Old, Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

} // namespace

class ConfigurationFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationFileTest);
  CPPUNIT_TEST(locatesRows);
  CPPUNIT_TEST(locatesErrors);
  CPPUNIT_TEST(arbitraryTextIsHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against findings that point at the wrong row, for example behind a name with a quote.
  void locatesRows() {
    const ConfigurationFile File = readConfigurationFile(Good, "c.json");
    CPPUNIT_ASSERT(File.Value && File.Errors.empty() && File.Ignored.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{31}, File.Value->Version);
    CPPUNIT_ASSERT(File.locate(ConfigurationPart::Route, "r-1") == (FileLocation{6, 7}));
    CPPUNIT_ASSERT(File.locate(ConfigurationPart::Route, "r-\"2") == (FileLocation{7, 7}));
    CPPUNIT_ASSERT(File.locate(ConfigurationPart::Service, "board") == (FileLocation{11, 5}));
    CPPUNIT_ASSERT(File.locate(ConfigurationPart::Service, "r-1") == FileLocation());
    const ConfigurationFile Without =
        readConfigurationFile(replaced(Good, "0.5, \"board\"]", "0.5]"), "c.json");
    CPPUNIT_ASSERT(Without.Value && Without.Ignored.size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r-1"), Without.Ignored[0].Name);
  }

  /// Guards against errors without their location, and against errors that are reported one at a
  /// time.
  void locatesErrors() {
    struct Case {
      std::string Text;
      std::string Expected;
    };
    const Case Table[] = {
        {replaced(Good, "\"rows\"", "rows"), "c.json:5:5: the file is not valid JSON"},
        {"", "c.json:1:1: the file is not valid JSON"},
        {"[]", "c.json:0:0: the file is not a JSON object"},
        {std::string(40, '[') + std::string(40, ']'), "c.json:0:0: the file is nested too deeply"},
        {replaced(Good, "0000001f", "x"), "c.json:0:0: field 'version'"},
        {replaced(Good, "16384", "-1"), "c.json:0:0: field 'headerBytes'"},
        {replaced(Good, "\"services\": {", "\"services\": {}, \"x\": {"), "c.json:0:0: "},
        {replaced(Good, "2.5, 0.5, \"board\"]\n", "-1, 0.5, \"board\"]\n"),
         "c.json:7:7: routes row 2 'r-\"2': field 'timeoutS'"},
        {replaced(Good, "\"/health\"", "5"), "c.json:11:5: services row 1 'board': "},
        {replaced(Good, "\"/health\"", "\"/health\", 5"),
         "c.json:11:5: services row 1 'board': the row has 3 values for 2 columns"},
        {replaced(Good, "\"r-1\", ", "7, "), "c.json:6:7: routes row 1: "},
    };
    for (const Case &Each : Table) {
      const ConfigurationFile File = readConfigurationFile(Each.Text, "c.json");
      CPPUNIT_ASSERT_MESSAGE(Each.Expected, !File.Value);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Expected, std::size_t{1}, File.Errors.size());
      const std::string Found = toString(File.Errors[0]);
      CPPUNIT_ASSERT_MESSAGE(Each.Expected + " in " + Found, Found.rfind(Each.Expected, 0) == 0);
    }
    const std::string Several = replaced(replaced(Good, "\"/health\"", "5"), "\"r-1\", ", "7, ");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readConfigurationFile(Several, "c.json").Errors.size());
  }

  /// Guards against text that crashes the reader, and against rejections without an error.
  void arbitraryTextIsHandled() {
    checkProperty("any text gives a configuration or errors", [] {
      std::string Text = Good;
      const int Changes = *rc::gen::inRange(1, 6);
      for (int Index = 0; Index < Changes; ++Index) {
        Text.replace(*rc::gen::inRange<std::size_t>(0, Text.size()),
                     *rc::gen::inRange<std::size_t>(0, 9),
                     *rc::gen::element<std::string>("[", "]", "{", "}", "\"", "\\", ",", ":",
                                                    "null", "-1", "[]", "{}", "", "\n", "\xff"));
      }
      const ConfigurationFile File = readConfigurationFile(Text, "f");
      const bool IsDescribed = File.Value.has_value() != !File.Errors.empty();
      RC_ASSERT(IsDescribed);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFileTest);
