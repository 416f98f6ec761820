#include "Property.h"
#include "loadtool/CallOutcome.h"
#include "loadtool/KeyAudit.h"
#include "loadtool/LoadReport.h"
#include "loadtool/Quantiles.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class LoadReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportTest);
  CPPUNIT_TEST(quantilesAreNearestRanks);
  CPPUNIT_TEST(quantileProperty);
  CPPUNIT_TEST(judgesAnswers);
  CPPUNIT_TEST(measuresFromDueTime);
  CPPUNIT_TEST(findsKeyViolations);
  CPPUNIT_TEST(ignoresRunsBefore);
  CPPUNIT_TEST(printsRows);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against tail figures that are off by one rank.
  void quantilesAreNearestRanks() {
    std::vector<Duration> Thousand;
    for (int Value = 1; Value <= 1000; ++Value) {
      Thousand.emplace_back(Value);
    }
    CPPUNIT_ASSERT(quantile(Thousand, 0.5) == 500us);
    CPPUNIT_ASSERT(quantile(Thousand, 0.99) == 990us);
    CPPUNIT_ASSERT(quantile(Thousand, 0.999) == 999us);
    CPPUNIT_ASSERT(quantile(Thousand, 1) == 1000us);
    CPPUNIT_ASSERT(quantile({5us}, 0.001) == 5us);
    CPPUNIT_ASSERT(quantile({}, 0.5) == 0us);
  }

  /// Guards against a quantile that too few values reach.
  void quantileProperty() {
    checkProperty("at least the fraction of values is not above the quantile, fewer are below it",
                  [](const std::vector<std::uint16_t> &Values) {
                    RC_PRE(!Values.empty());
                    std::vector<Duration> Sorted(Values.begin(), Values.end());
                    std::ranges::sort(Sorted);
                    const auto Size = static_cast<double>(Sorted.size());
                    for (const double Fraction : {0.01, 0.5, 0.9, 0.99}) {
                      const Duration Value = quantile(Sorted, Fraction);
                      const auto Above = std::ranges::upper_bound(Sorted, Value);
                      const auto Below = std::ranges::lower_bound(Sorted, Value);
                      RC_ASSERT(static_cast<double>(Above - Sorted.begin()) >=
                                Fraction * Size - 1e-6);
                      RC_ASSERT(static_cast<double>(Below - Sorted.begin()) < Fraction * Size);
                    }
                  });
  }

  /// Guards against a lost answer that counts as one of the two sure outcomes.
  void judgesAnswers() {
    struct Case {
      unsigned Status;
      const char *Header;
      RunKnowledge Expected;
    };
    const Case Table[] = {
        {200, "", RunKnowledge::Ran},           {500, "", RunKnowledge::Ran},
        {503, "not-run", RunKnowledge::NotRun}, {409, "unknown", RunKnowledge::Unknown},
        {0, "", RunKnowledge::Unknown},         {200, "other", RunKnowledge::Unknown},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT(judgeAnswer(Each.Status, Each.Header) == Each.Expected);
    }
  }

  /// Guards against a late tool that is taken for a slow system, and the reverse.
  void measuresFromDueTime() {
    CPPUNIT_ASSERT(measuredFrom(1000us, 1000us) == 1000us);
    CPPUNIT_ASSERT(measuredFrom(1000us, 1200us) == 1000us);
    CPPUNIT_ASSERT(measuredFrom(1000us, 1201us) == 1201us);
  }

  /// Guards against a check that overlooks a double run or a run after "not run".
  void findsKeyViolations() {
    struct Case {
      const char *Name;
      std::vector<RunKnowledge> Answers;
      std::uint64_t Runs;
      bool Holds;
      std::size_t WithoutRun;
    };
    const Case Table[] = {
        {"ran once", {RunKnowledge::Ran}, 1, true, 0},
        {"ran twice", {RunKnowledge::Ran}, 2, false, 0},
        {"refused", {RunKnowledge::NotRun}, 0, true, 0},
        {"refused but ran", {RunKnowledge::NotRun}, 1, false, 0},
        {"refused, then ran", {RunKnowledge::NotRun, RunKnowledge::Ran}, 1, true, 0},
        {"refused twice but ran", {RunKnowledge::NotRun, RunKnowledge::NotRun}, 1, false, 0},
        {"refused, then ran twice", {RunKnowledge::NotRun, RunKnowledge::Ran}, 2, false, 0},
        {"unknown, ran", {RunKnowledge::Unknown}, 1, true, 0},
        {"unknown, then refused, ran", {RunKnowledge::Unknown, RunKnowledge::NotRun}, 1, true, 0},
        {"unknown, did not run", {RunKnowledge::Unknown}, 0, true, 0},
        {"answer without run", {RunKnowledge::Ran}, 0, true, 1},
    };
    for (const Case &Each : Table) {
      KeyAudit Audit;
      for (const RunKnowledge Answer : Each.Answers) {
        Audit.onAnswer("k", Answer);
      }
      // Two targets, so that the sum counts.
      Audit.addRuns({{"k", Each.Runs / 2}});
      Audit.addRuns({{"k", Each.Runs - Each.Runs / 2}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Holds, Audit.check().holds());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.WithoutRun,
                                   Audit.check().AnsweredWithoutRun.size());
    }
  }

  /// Guards against a false alarm about a key that ran in an earlier run and is refused in this
  /// one.
  void ignoresRunsBefore() {
    KeyAudit Audit;
    Audit.onAnswer("k", RunKnowledge::NotRun);
    Audit.addRunsBefore({{"k", 1}});
    Audit.addRuns({{"k", 1}});
    CPPUNIT_ASSERT(Audit.check().holds());
    Audit.addRuns({{"k", 1}});
    CPPUNIT_ASSERT(!Audit.check().holds());
  }

  /// Guards against rows that mix kinds or outcomes.
  void printsRows() {
    Scenario Plan;
    Plan.Kinds.resize(2);
    Plan.Kinds[0].Name = "read";
    Plan.Kinds[1].Name = "write";
    LoadReport Report(Plan);
    Report.add({0, 200, RunKnowledge::Ran, 2000us, 0us, 0});
    Report.add({0, 503, RunKnowledge::NotRun, 1000us, 0us, 1});
    Report.add({1, 200, RunKnowledge::Ran, 4000us, 300us, 0});
    const std::string Expected =
        "kind\tclass\tstatus\toutcome\tcount\tp50_ms\tp99_ms\tp99.9_ms\tper_s\n"
        "read\tinteractive\t200\tran\t1\t2.000\t2.000\t2.000\t0.5\n"
        "read\tinteractive\t503\tnot-run\t1\t1.000\t1.000\t1.000\t0.5\n"
        "read\tinteractive\tall\tall\t2\t1.000\t2.000\t2.000\t1.0\n"
        "write\tinteractive\t200\tran\t1\t4.000\t4.000\t4.000\t0.5\n"
        "write\tinteractive\tall\tall\t1\t4.000\t4.000\t4.000\t0.5\n";
    CPPUNIT_ASSERT_EQUAL(Expected, Report.tsv(2s));
    CPPUNIT_ASSERT(Report.table(2s).find("1 of 3 latencies counted from the send; refusals "
                                         "followed: 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);
