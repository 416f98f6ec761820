#include "Property.h"
#include "protocol/Metrics.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1h);

std::size_t lineCount(const std::string &Text) {
  return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
}

void assertHolds(const std::string &Text, const std::string &Line) {
  CPPUNIT_ASSERT_MESSAGE(Line + " is missing in\n" + Text,
                         Text.find(Line + "\n") != std::string::npos);
}

} // namespace

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(quantilesOfAnyLatencies);
  CPPUNIT_TEST(quantilesBeyondTheTail);
  CPPUNIT_TEST(quantilesFollowTheLoad);
  CPPUNIT_TEST(eventsAreCounted);
  CPPUNIT_TEST(seriesAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against upper quantiles that are off, in particular with few samples and equal values.
  void quantilesOfAnyLatencies() {
    checkProperty("p99 and p99.9 are exact within the tail", [] {
      auto Latencies = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
          rc::gen::inRange<std::int64_t>(0, 2'000'000)));
      LatencyQuantiles Quantiles;
      for (const std::int64_t Latency : Latencies) {
        Quantiles.add(Duration(Latency), Start);
      }
      std::sort(Latencies.begin(), Latencies.end());
      const auto Values = Quantiles.values(Start);
      const auto Exact = [&](double Probability) {
        const auto Rank = std::ceil(Probability * static_cast<double>(Latencies.size()) - 1e-9);
        return static_cast<double>(Latencies[static_cast<std::size_t>(Rank) - 1]) / 1e6;
      };
      RC_ASSERT(std::abs(Values.P99 - Exact(0.99)) < 1e-9);
      RC_ASSERT(std::abs(Values.P999 - Exact(0.999)) < 1e-9);
      RC_ASSERT(Quantiles.count() == Latencies.size());
    });
  }

  /// Guards against estimates that are useless once a window has more samples than the tail keeps.
  void quantilesBeyondTheTail() {
    std::mt19937_64 Random(20261204);
    std::lognormal_distribution<double> Draw(9, 0.5);
    std::vector<double> Latencies;
    LatencyQuantiles Quantiles;
    for (int Index = 0; Index < 50'000; ++Index) {
      const Duration Latency(static_cast<std::int64_t>(Draw(Random)));
      Latencies.push_back(std::chrono::duration<double>(Latency).count());
      Quantiles.add(Latency, Start);
    }
    std::sort(Latencies.begin(), Latencies.end());
    const auto Values = Quantiles.values(Start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Latencies[25'000], Values.P50, 0.05 * Latencies[25'000]);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Latencies[49'500], Values.P99, 0.05 * Latencies[49'500]);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Latencies[49'950], Values.P999, 0.01 * Latencies[49'950]);
  }

  /// Guards against quantiles that stay at the level of an earlier load.
  void quantilesFollowTheLoad() {
    LatencyQuantiles Quantiles;
    Quantiles.add(2s, Start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, Quantiles.values(Start).P99, 1e-9);
    Quantiles.add(1s, Start + 10s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, Quantiles.values(Start + 19s).P99, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Quantiles.values(Start + 20s).P99, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Quantiles.values(Start + 60s).P99, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, Quantiles.sum(), 1e-9);
    Quantiles.add(1s, Start + 70s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Quantiles.values(Start + 95s).P99, 1e-9);
  }

  /// Guards against events that are lost or counted in the wrong series, and against label values
  /// that break the format.
  void eventsAreCounted() {
    Metrics Counts;
    Counts.onAnswered(ServiceName("line-board"), RequestClass::Interactive, 200, 250ms, Start);
    Counts.onAnswered(ServiceName("line-board"), RequestClass::Bulk, 7, 1s, Start);
    Refusal Refused;
    Refused.Status = 409;
    Refused.Outcome = RunOutcome::Unknown;
    Refused.Reason = "a \"quoted\"\\\nreason";
    Counts.onRefused(Refused);
    Counts.onRefused(Refused);
    Counts.onRetry(ServiceName("line-board"));
    Counts.onMeasurement(120);
    Counts.onMeasurement(80);
    PeerTraffic Peers;
    Peers.BytesOut = 1'234'567'890'123;
    Peers.Rejected[3] = 5;
    Counts.setPeerTraffic(Peers);
    const std::string Text = Counts.render(Start);
    for (
        const char *Line : {
            "# TYPE anvilsaddle_request_duration_seconds summary",
            R"(anvilsaddle_request_duration_seconds{service="line-board",class="interactive",quantile="0.999"} 0.25)",
            R"(anvilsaddle_request_duration_seconds_count{service="line-board",class="bulk"} 1)",
            R"(anvilsaddle_requests_total{service="line-board",status="200"} 1)",
            R"(anvilsaddle_requests_total{service="line-board",status="other"} 1)",
            R"(anvilsaddle_refusals_total{outcome="unknown",status="409",reason="a \"quoted\"\\\nreason"} 2)",
            R"(anvilsaddle_retries_total{service="line-board"} 1)",
            "anvilsaddle_measurement_calls_total 2",
            "anvilsaddle_measurement_bytes_total 200",
            R"(anvilsaddle_peer_bytes_total{direction="out"} 1234567890123)",
            R"(anvilsaddle_peer_rejected_total{reason="bad_authentication"} 5)",
        }) {
      assertHolds(Text, Line);
    }
  }

  /// Guards against memory that grows with each name ever seen.
  void seriesAreBounded() {
    Metrics Counts;
    const auto Fill = [&Counts](int Names) {
      for (int Number = 0; Number < Names; ++Number) {
        const std::string Name = "s" + std::to_string(Number);
        Counts.onAnswered(ServiceName(Name), RequestClass::Bulk, Number, 1ms, Start);
        Counts.onRetry(ServiceName(Name));
        Refusal Refused;
        Refused.Reason = Name;
        Counts.onRefused(Refused);
      }
      return lineCount(Counts.render(Start));
    };
    const std::size_t Full = Fill(2000);
    CPPUNIT_ASSERT(Full < 10'000);
    CPPUNIT_ASSERT_EQUAL(Full, Fill(4000));
    assertHolds(Counts.render(Start), R"(anvilsaddle_retries_total{service="other"} 4800)");
    assertHolds(
        Counts.render(Start),
        R"(anvilsaddle_refusals_total{outcome="not-run",status="other",reason="other"} 5872)");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
