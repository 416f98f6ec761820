#include "Property.h"
#include "transport/LogLine.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

using namespace anvilsaddle;

namespace {

constexpr std::int64_t UnixMicroseconds = 1'700'000'000'012'345;

} // namespace

class LogLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogLineTest);
  CPPUNIT_TEST(valuesAreEscaped);
  CPPUNIT_TEST(fieldsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against lines that are not valid JSON, because a value from external input contains
  /// quotes, control characters or invalid UTF-8.
  void valuesAreEscaped() {
    struct Row {
      std::string Value;
      std::string Escaped;
    };
    const std::vector<Row> Rows = {
        {"plain", "plain"}, {"a\"b\\c", "a\\\"b\\\\c"}, {"two\nlines", "two\\nlines"},
        {"", ""},           {"\xff", "\xef\xbf\xbd"},   {"\xc3\xa9", "\xc3\xa9"}};
    for (const Row &Each : Rows) {
      const std::string Expected = R"({"time":"2023-11-14T22:13:20.012345Z","level":"warning",)"
                                   R"("event":"refused","reason":")" +
                                   Each.Escaped + "\"}";
      CPPUNIT_ASSERT_EQUAL(Expected, formatLogLine(UnixMicroseconds, LogLevel::Warning, "refused",
                                                   {{"reason", Each.Value}}));
    }
  }

  /// Guards against lost fields, and against a cached time that is reused for another second.
  void fieldsRoundTrip() {
    checkProperty("fields can be read back", [](std::uint32_t Seconds, std::uint32_t Fraction,
                                                std::string Value) {
      const std::int64_t Time = std::int64_t{Seconds} * 1'000'000 + Fraction % 1'000'000;
      const std::string Line =
          formatLogLine(Time, LogLevel::Info, "sent", {{"request", Value}, {"target", "t"}});
      RC_ASSERT(Line.find('\n') == std::string::npos);
      const nlohmann::json Parsed = nlohmann::json::parse(Line);
      RC_ASSERT(Parsed.at("target") == "t");
      const bool IsAscii = std::all_of(Value.begin(), Value.end(), [](char Byte) {
        return static_cast<unsigned char>(Byte) < 128;
      });
      RC_ASSERT(!IsAscii || Parsed.at("request") == Value);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLineTest);
