#include "Property.h"
#include "model/ModelScenario.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

class ModelScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelScenarioTest);
  CPPUNIT_TEST(reads);
  CPPUNIT_TEST(findings);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against figures that are read into the wrong place.
  void reads() {
    const auto Read = readModelScenario(
        "seed = 7\n[fleet]\nregions = 2\n[targets]\nwork_s = 0.25\n[load]\nper_second = 12.5\n",
        "f");
    const auto &Scenario = std::get<ModelScenario>(Read);
    CPPUNIT_ASSERT(Scenario.Seed == 7 && Scenario.Regions == 2 && Scenario.Work == 250ms);
    CPPUNIT_ASSERT(Scenario.PerSecond == 12.5 && Scenario.Slots == ModelScenario{}.Slots);
  }

  /// Guards against experiments with other figures than the file says.
  void findings() {
    const std::pair<const char *, const char *> Table[] = {
        {"seed = -1\n", "f:1:8: 'seed'"},
        {"[fleet]\nentries = 3\n", "f:2:1: unknown key 'entries'"},
        {"[targets]\nnoise_share = 2\n", "'noise_share' must be a number from 0 to 1"},
        {"[load]\nlength_s = \"x\"\n", "'length_s'"},
        {"load = 1\n", "'load' must be a table"},
        {"[load", "f:1:"},
    };
    for (const auto &[Text, Expected] : Table) {
      const auto Read = readModelScenario(Text, "f");
      const auto *Problems = std::get_if<Diagnostics>(&Read);
      CPPUNIT_ASSERT_MESSAGE(Text, Problems && !Problems->empty());
      CPPUNIT_ASSERT_MESSAGE(toString(Problems->front()),
                             toString(Problems->front()).find(Expected) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelScenarioTest);
