#include "Property.h"
#include "protocol/DaemonSettings.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const std::string Good = R"(vm = "front-1"
region = "north"
failure_domain = "n-a"
[listen]
callers = "10.1.0.9:8080"
readiness = "10.1.0.9:8081"
directory = "10.1.0.9:8082"
control = "10.1.0.9:8083"
operators = "10.1.0.9:9464"
peer_ports = [7200, 7215]
[store]
address = "10.200.1.7:8384"
[fleet]
seeds = ["10.1.0.9:8083", "10.2.0.9:8083"]
key = "a key of sixteen bytes"
[fleet.regions]
"n-a" = "north"
"s-a" = "south"
[limits]
repeat_ratio = 0.25
stop_grace_s = 2.5
quota_window_s = 4
quota_overshoot = 0.5
quota_slack = 7
memory_mb = 260
descriptors = 4096
)";

std::string replaced(std::string Text, const std::string &Old, const std::string &New) {
  const std::size_t Position = Text.find(Old);
  CPPUNIT_ASSERT_MESSAGE(Old, Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

} // namespace

class DaemonSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSettingsTest);
  CPPUNIT_TEST(validSettings);
  CPPUNIT_TEST(resourcesOfTheVm);
  CPPUNIT_TEST(hedgeShare);
  CPPUNIT_TEST(invalidSettings);
  CPPUNIT_TEST(allErrorsAreReported);
  CPPUNIT_TEST(arbitraryTextIsHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  void validSettings() {
    const auto Result = readDaemonSettings(Good, "entry.toml");
    CPPUNIT_ASSERT(std::holds_alternative<DaemonSettings>(Result));
    const auto &Settings = std::get<DaemonSettings>(Result);
    CPPUNIT_ASSERT(Settings.CallerEndpoint == (Endpoint{"10.1.0.9", 8080}));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7200}, Settings.PeerPort);
    CPPUNIT_ASSERT(Settings.Seeds == (std::vector<std::string>{"10.1.0.9", "10.2.0.9"}));
    CPPUNIT_ASSERT(Settings.FleetTopology.regionOf(FailureDomainName("s-a")) ==
                   RegionName("south"));
    CPPUNIT_ASSERT_EQUAL(0.25, Settings.Dispatch.Retries.Ratio);
    CPPUNIT_ASSERT(Settings.StopGracePeriod == 2500ms);
    CPPUNIT_ASSERT(!Settings.Dispatch.Hedges.Share);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{260}, Settings.Resources.MemoryMb);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4096}, Settings.Resources.Descriptors);
    CPPUNIT_ASSERT(Settings.Quotas == (QuotaBounds{4s, 0.5, 7}));
    // Deployments without quotas set no bounds.
    const auto Without = std::get<DaemonSettings>(readDaemonSettings(
        replaced(Good, "quota_window_s = 4\nquota_overshoot = 0.5\nquota_slack = 7\n", ""),
        "entry.toml"));
    CPPUNIT_ASSERT(Without.Quotas == QuotaBounds());
  }

  /// Guards against a VM's resources that replace those of the settings, or that are not used where
  /// the settings state none.
  void resourcesOfTheVm() {
    struct Case {
      const char *Removed;
      VmResources Expected;
    };
    const Case Table[] = {{"", {260, 4096}},
                          {"memory_mb = 260\n", {512, 4096}},
                          {"descriptors = 4096\n", {260, 8192}}};
    for (const Case &Each : Table) {
      const auto Result =
          readDaemonSettings(replaced(Good, Each.Removed, ""), "entry.toml", {512, 8192});
      CPPUNIT_ASSERT(std::get<DaemonSettings>(Result).Resources == Each.Expected);
    }
  }

  /// Guards against a limit on hedges of 0 that is taken for none, so that hedges are sent.
  void hedgeShare() {
    for (const double Share : {0.0, 0.03, 1.0}) {
      const auto Result =
          readDaemonSettings(Good + "hedge_share = " + std::to_string(Share) + "\n", "entry.toml");
      CPPUNIT_ASSERT(std::holds_alternative<DaemonSettings>(Result));
      CPPUNIT_ASSERT(std::get<DaemonSettings>(Result).Dispatch.Hedges.Share == Share);
    }
  }

  /// Guards against invalid settings with which a daemon starts and then behaves in an unintended
  /// way.
  void invalidSettings() {
    struct Case {
      std::string Text;
      std::string Expected;
    };
    const Case Table[] = {
        {replaced(Good, "vm = \"front-1\"\n", ""), "missing key 'vm'"},
        {replaced(Good, "10.1.0.9:8080", "host:8080"), "entry.toml:5:11: 'callers' must be"},
        {replaced(Good, "[7200, 7215]", "[]"), "'peer_ports' must contain at least one port"},
        {replaced(Good, "[7200, 7215]", "[0]"), "'peer_ports'"},
        {replaced(Good, "[7200, 7215]", "7200"), "must be an array of integers"},
        {replaced(Good, "a key of sixteen bytes", "short"), "at least 16 bytes"},
        {replaced(Good, "\"n-a\" = \"north\"\n", ""), "failure domain 'n-a'"},
        {replaced(Good, "= 0.25", "= -1"), "'repeat_ratio' must be a number from 0 to 10"},
        {replaced(Good, "= 0.25", "= \"x\""), "'repeat_ratio' must be a number"},
        {replaced(Good, "quota_window_s = 4", "quota_window_s = 60"), "'quota_window_s'"},
        {replaced(Good, "quota_overshoot = 0.5", "quota_overshoot = -1"), "'quota_overshoot'"},
        {replaced(Good, "quota_slack = 7", "quota_slack = \"x\""), "'quota_slack'"},
        {Good + "hedge_share = 1.01\n", "'hedge_share' must be a number from 0 to 1"},
        {Good + "hedge_share = -0.01\n", "'hedge_share' must be a number from 0 to 1"},
        {Good + "hedge_share = \"x\"\n", "'hedge_share' must be a number"},
        {replaced(Good, "stop_grace_s", "stop_grace"), "unknown key 'stop_grace'"},
        {replaced(Good, "memory_mb = 260", "memory_mb = 63"), "'memory_mb'"},
        {replaced(Good, "memory_mb = 260", "memory_mb = 1048577"), "'memory_mb'"},
        {replaced(Good, "memory_mb = 260", "memory_mb = \"260\""), "'memory_mb'"},
        {replaced(Good, "descriptors = 4096", "descriptors = 399"), "'descriptors'"},
        {replaced(Good, "descriptors = 4096", "descriptors = 1000001"), "'descriptors'"},
        {replaced(Good, "10.2.0.9:8083", "nowhere"), "elements of 'seeds'"},
        {Good + "[log]\nlevel = \"loud\"\n", "'level' must be one of"},
        {"vm = \n", "entry.toml:1:"},
    };
    for (const Case &Each : Table) {
      const auto Result = readDaemonSettings(Each.Text, "entry.toml");
      const auto *Errors = std::get_if<Diagnostics>(&Result);
      CPPUNIT_ASSERT_MESSAGE(Each.Expected, Errors && !Errors->empty());
      std::string All;
      for (const Diagnostic &Error : *Errors) {
        All += toString(Error) + "\n";
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Expected + " in " + All,
                             All.find(Each.Expected) != std::string::npos);
    }
  }

  /// Guards against errors that are reported only one at a time.
  void allErrorsAreReported() {
    const auto Result = readDaemonSettings("[listen]\n[limits]\nrepeat_ratio = 99\n", "e.toml");
    CPPUNIT_ASSERT(std::get<Diagnostics>(Result).size() >= 9);
  }

  /// Guards against text that crashes the parser, and against rejections without an error message.
  void arbitraryTextIsHandled() {
    checkProperty("any text gives settings or errors", [] {
      std::string Text = *rc::gen::arbitrary<std::string>();
      if (*rc::gen::arbitrary<bool>()) {
        std::string Changed = Good;
        for (const char Byte : Text) {
          Changed.replace(*rc::gen::inRange<std::size_t>(0, Changed.size()),
                          *rc::gen::inRange<std::size_t>(0, 3),
                          *rc::gen::element<std::string>(std::string(1, Byte), "[[", "{", "\"", ".",
                                                         "=", "\n", ""));
        }
        Text = Changed;
      }
      const auto Parsed = readDaemonSettings(Text, "f");
      const auto *Errors = std::get_if<Diagnostics>(&Parsed);
      const bool IsDescribed = !Errors || !Errors->empty();
      RC_ASSERT(IsDescribed);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);
