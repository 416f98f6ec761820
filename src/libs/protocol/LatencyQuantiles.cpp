#include "protocol/LatencyQuantiles.h"

#include <array>
#include <cmath>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>

namespace anvilsaddle {

namespace {

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

using Tail =
    accumulators::accumulator_set<double,
                                  accumulators::stats<tag::count, tag::tail<accumulators::right>>>;
using PSquare = accumulators::accumulator_set<double, accumulators::stats<tag::extended_p_square>>;

constexpr std::array<double, 3> Probabilities = {0.5, 0.99, 0.999};

} // namespace

struct LatencyQuantiles::Samples {
  Tail HighestSamples{tag::tail<accumulators::right>::cache_size = TailSamples};
  PSquare AllSamples{tag::extended_p_square::probabilities = Probabilities};

  bool empty() const { return accumulators::count(this->HighestSamples) == 0; }

  void add(double Seconds) {
    this->HighestSamples(Seconds);
    this->AllSamples(Seconds);
  }

  /// Nearest-rank quantile. Precondition: not empty.
  double quantile(std::size_t Index) const {
    const auto Total = static_cast<double>(accumulators::count(this->HighestSamples));
    // The small term prevents a rounding error of the product from raising the rank by one.
    const double Rank = std::ceil(Probabilities.at(Index) * Total - 1e-6);
    const auto SamplesAbove = static_cast<std::ptrdiff_t>(Total - Rank);
    // Boost's own tail quantile returns no value for the lowest of the kept samples.
    const auto KeptSamples = accumulators::tail(this->HighestSamples);
    return SamplesAbove < static_cast<std::ptrdiff_t>(KeptSamples.size())
               ? *(KeptSamples.begin() + SamplesAbove)
               : accumulators::extended_p_square(
                     this->AllSamples)[static_cast<std::ptrdiff_t>(Index)];
  }
};

LatencyQuantiles::LatencyQuantiles()
    : Current(std::make_unique<Samples>()), Previous(std::make_unique<Samples>()) {}
LatencyQuantiles::~LatencyQuantiles() = default;
LatencyQuantiles::LatencyQuantiles(LatencyQuantiles &&) noexcept = default;
LatencyQuantiles &LatencyQuantiles::operator=(LatencyQuantiles &&) noexcept = default;

void LatencyQuantiles::add(Duration Latency, TimePoint Now) {
  this->rotate(Now);
  const double Seconds = std::chrono::duration<double>(Latency).count();
  this->Current->add(Seconds);
  this->Sum += Seconds;
  ++this->Count;
}

LatencyQuantiles::Values LatencyQuantiles::values(TimePoint Now) {
  this->rotate(Now);
  const Samples &Reported = this->Previous->empty() ? *this->Current : *this->Previous;
  if (Reported.empty()) {
    return {};
  }
  return {Reported.quantile(0), Reported.quantile(1), Reported.quantile(2)};
}

void LatencyQuantiles::rotate(TimePoint Now) {
  const Duration Age = Now - this->WindowStart;
  if (Age < Window) {
    return;
  }
  this->Previous = Age < 2 * Window ? std::move(this->Current) : std::make_unique<Samples>();
  this->Current = std::make_unique<Samples>();
  this->WindowStart = Now - Age % Window;
}

} // namespace anvilsaddle
