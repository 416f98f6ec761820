#include "Property.h"
#include "protocol/DaemonSettings.h"
#include "protocol/TomlKeyDepth.h"

#include <string>
#include <variant>

using namespace anvilsaddle;

class TomlKeyDepthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TomlKeyDepthTest);
  CPPUNIT_TEST(keyDepth);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a key with many parts that crashes every entry, and against values with dots
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
    std::string ManyParts;
    for (int Number = 0; Number < 400'000; ++Number) {
      ManyParts += ".a";
    }
    struct Case {
      std::string Text;
      bool IsTooDeep;
    };
    const Case Table[] = {
        {"a" + ManyParts + " = 1", true},
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
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text.substr(0, 200), Each.IsTooDeep,
                                   findDeepTomlKey(Each.Text).has_value());
      CPPUNIT_ASSERT(std::holds_alternative<Diagnostics>(readDaemonSettings(Each.Text, "f")));
    }
    const auto Position = findDeepTomlKey("a = 1\na.b.c.d.e.f.g.h.i = 1\n");
    CPPUNIT_ASSERT(Position && Position->Line == 2 && Position->Column == 16);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TomlKeyDepthTest);
