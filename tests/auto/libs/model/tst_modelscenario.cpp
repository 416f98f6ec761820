#include "Property.h"
#include "model/ModelScenario.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

class ModelScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelScenarioTest);
  CPPUNIT_TEST(readsValues);
  CPPUNIT_TEST(reportsInvalidValues);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against values that are stored in the wrong parameter.
  void readsValues() {
    const auto Result = readModelScenario(
        "seed = 7\n[fleet]\nregions = 2\n[targets]\nwork_s = 0.25\n[load]\nper_second = 12.5\n",
        "f");
    const auto &Scenario = std::get<ModelScenario>(Result);
    CPPUNIT_ASSERT(Scenario.Seed == 7 && Scenario.Regions == 2 && Scenario.ProcessingTime == 250ms);
    CPPUNIT_ASSERT(Scenario.RequestsPerSecond == 12.5 && Scenario.Slots == ModelScenario{}.Slots);
  }

  /// Guards against simulations that silently use other values than those in the file.
  void reportsInvalidValues() {
    const std::pair<const char *, const char *> Table[] = {
        {"seed = -1\n", "f:1:8: 'seed'"},
        {"[fleet]\nentries = 3\n", "f:2:1: unknown key 'entries'"},
        {"[targets]\nnoise_share = 2\n", "'noise_share' must be a number from 0 to 1"},
        {"[load]\nlength_s = \"x\"\n", "'length_s'"},
        {"load = 1\n", "'load' must be a table"},
        {"[load", "f:1:"},
    };
    for (const auto &[Text, Expected] : Table) {
      const auto Result = readModelScenario(Text, "f");
      const auto *Errors = std::get_if<Diagnostics>(&Result);
      CPPUNIT_ASSERT_MESSAGE(Text, Errors && !Errors->empty());
      CPPUNIT_ASSERT_MESSAGE(toString(Errors->front()),
                             toString(Errors->front()).find(Expected) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelScenarioTest);
