#include "Property.h"
#include "protocol/DaemonSettings.h"

#include <string>
#include <variant>

using namespace anvilsaddle;

namespace {

constexpr const char *Valid = R"(vm = "entry-1"
region = "n"
failure_domain = "n-a"
[listen]
port = 1
peer_port = 2
admin_port = 65535
[platform]
configuration_service = "http://127.0.0.1:5"
vm_list = "http://[::1]:6"
[fleet]
key_file = "/k"
[limits]
stop_wait_ms = 1000
max_body_bytes = 1073741824
audit_entries = 1
)";

std::string replaced(const std::string &Old, const std::string &New) {
  std::string Result = Valid;
  return Result.replace(Result.find(Old), Old.size(), New);
}

} // namespace

class DaemonSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSettingsTest);
  CPPUNIT_TEST(validSettings);
  CPPUNIT_TEST(findingsHaveTheirPlace);
  CPPUNIT_TEST(missingKeysAreReportedTogether);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against limits that refuse their own bounds.
  void validSettings() {
    const auto Parsed = readDaemonSettings(Valid, "d");
    const auto &Local = std::get<DaemonSettings>(Parsed);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{65535}, Local.AdminPort);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1} << 30, Local.MaxBodyBytes);
    CPPUNIT_ASSERT(Local.StopWait == std::chrono::seconds(1));
  }

  /// Guards against a daemon that starts with settings it can't work with, and against findings at
  /// the wrong place.
  void findingsHaveTheirPlace() {
    struct Case {
      std::string Text;
      std::string Expected;
    };
    const Case Table[] = {
        {replaced("vm = \"entry-1\"", "vm = 1"), "d:1:6: 'vm' must be a string"},
        {replaced("entry-1", "Entry 1"), "d:1:6: 'vm' must be 1 to 63 lower-case"},
        {replaced("[listen]", "[listen]\naddress = \"localhost\""),
         "d:5:11: 'address' must be an IP number"},
        {replaced("port = 1", "port = 0"), "d:5:8: 'port' must be 1 to 65535"},
        {replaced("65535", "65536"), "d:7:14: 'admin_port' must be 1 to 65535"},
        {replaced("peer_port = 2", "peer_port = 1"), "d:6:13: 'peer_port' must differ from 'port'"},
        {replaced("65535", "2"), "d:7:14: 'admin_port' must differ"},
        {replaced("[listen]", "[listen]\ncolour = 1"), "d:5:1: unknown key 'colour'"},
        {replaced("http://127.0.0.1:5", "http://name:5"),
         "d:9:25: 'configuration_service' must be"},
        {replaced("http://127.0.0.1:5", "http://127.0.0.1"), "d:9:25: "},
        {replaced("http://127.0.0.1:5", "https://127.0.0.1:5"), "d:9:25: "},
        {replaced("http://127.0.0.1:5", "http://127.0.0.1:5/"), "d:9:25: "},
        {replaced("http://127.0.0.1:5", "http://u@127.0.0.1:5"), "d:9:25: "},
        {replaced("http://127.0.0.1:5", "http:x"), "d:9:25: "},
        {replaced("http://127.0.0.1:5", ""), "d:9:25: 'configuration_service' must not be empty"},
        {replaced("/k", ""), "d:12:12: 'key_file' must not be empty"},
        {replaced("= 1000\n", "= 999\n"), "d:14:16: 'stop_wait_ms' must be 1000 to 3600000"},
        {replaced("1073741824", "1073741825"), "d:15:18: 'max_body_bytes' must be 1 to 1073741824"},
        {replaced("audit_entries = 1", "audit_entries = true"), "d:16:17: "},
        {replaced("[limits]", "[log]\nlevel = \"loud\"\n[limits]"),
         "d:14:9: 'level' must be one of"},
        {replaced("[fleet]", "fleet = 1\n[fleet]"), "d:11:"},
    };
    for (const Case &Each : Table) {
      const auto Parsed = readDaemonSettings(Each.Text, "d");
      const auto *Problems = std::get_if<Findings>(&Parsed);
      CPPUNIT_ASSERT_MESSAGE(Each.Text, Problems);
      const std::string Text = toString(Problems->front());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::size_t{1}, Problems->size());
      CPPUNIT_ASSERT_MESSAGE(Text + " instead of " + Each.Expected,
                             Text.starts_with(Each.Expected));
    }
  }

  /// Guards against an operator who has to start the daemon once for each mistake.
  void missingKeysAreReportedTogether() {
    const auto Parsed = readDaemonSettings("", "d");
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, std::get<Findings>(Parsed).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);
