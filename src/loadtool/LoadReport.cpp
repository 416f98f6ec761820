#include "loadtool/LoadReport.h"

#include "loadtool/Quantiles.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr double Median = 0.5;
constexpr double P99 = 0.99;
constexpr double P999 = 0.999;

std::string fixed(double Value, int Digits) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%.*f", Digits, Value);
  return Text.data();
}

std::string milliseconds(Duration Time) {
  return fixed(std::chrono::duration<double, std::milli>(Time).count(), 3);
}

} // namespace

void LoadReport::add(const CallOutcome &Call) {
  this->Latencies[{Call.Kind, Call.Status, Call.Run}].push_back(Call.Latency);
  this->Lateness.push_back(Call.Lateness);
  ++this->Count;
  this->Follows += Call.Follows;
  this->CountedFromSend += measuredFrom(Duration(0), Call.Lateness) > Duration(0) ? 1 : 0;
}

std::string LoadReport::table(Duration Elapsed) const {
  const std::vector<Row> Rows = this->rows(Elapsed);
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &Each : Rows) {
    for (std::size_t Column = 0; Column < Each.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Each[Column].size());
    }
  }
  std::string Result;
  for (const Row &Each : Rows) {
    for (std::size_t Column = 0; Column < Each.size(); ++Column) {
      const std::string Padding(Widths[Column] - Each[Column].size(), ' ');
      // Names are aligned to the left, numbers to the right.
      Result += Column < 4 ? Each[Column] + Padding : Padding + Each[Column];
      Result += Column + 1 < Each.size() ? "  " : "\n";
    }
  }
  std::vector<Duration> Sorted = this->Lateness;
  std::ranges::sort(Sorted);
  Result +=
      "lateness of the tool: p50 " + milliseconds(quantile(Sorted, Median)) + " ms, p99 " +
      milliseconds(quantile(Sorted, P99)) + " ms, max " + milliseconds(quantile(Sorted, 1)) +
      " ms; " + std::to_string(this->CountedFromSend) + " of " + std::to_string(this->Count) +
      " latencies counted from the send; refusals followed: " + std::to_string(this->Follows) +
      "\n";
  return Result;
}

std::string LoadReport::tsv(Duration Elapsed) const {
  std::string Result;
  for (const Row &Each : this->rows(Elapsed)) {
    for (std::size_t Column = 0; Column < Each.size(); ++Column) {
      Result += Each[Column] + (Column + 1 < Each.size() ? "\t" : "\n");
    }
  }
  return Result;
}

std::vector<LoadReport::Row> LoadReport::rows(Duration Elapsed) const {
  std::vector<Row> Result = {
      {"kind", "class", "status", "outcome", "count", "p50_ms", "p99_ms", "p99.9_ms", "per_s"}};
  for (std::size_t Kind = 0; Kind < this->Plan.Kinds.size(); ++Kind) {
    std::vector<Duration> All;
    const RequestKind &Described = this->Plan.Kinds[Kind];
    for (const auto &[Key, Times] : this->Latencies) {
      if (std::get<0>(Key) != Kind) {
        continue;
      }
      All.insert(All.end(), Times.begin(), Times.end());
      Row Next = this->row(Described.Name, std::to_string(std::get<1>(Key)),
                           toString(std::get<2>(Key)), Times, Elapsed);
      Next.insert(Next.begin() + 1, Described.Class);
      Result.push_back(std::move(Next));
    }
    Row Total = this->row(Described.Name, "all", "all", std::move(All), Elapsed);
    Total.insert(Total.begin() + 1, Described.Class);
    Result.push_back(std::move(Total));
  }
  return Result;
}

LoadReport::Row LoadReport::row(const std::string &Kind, const std::string &Status,
                                const std::string &Outcome, std::vector<Duration> Times,
                                Duration Elapsed) const {
  std::ranges::sort(Times);
  const double Seconds = std::max(1e-6, std::chrono::duration<double>(Elapsed).count());
  return {Kind,
          Status,
          Outcome,
          std::to_string(Times.size()),
          milliseconds(quantile(Times, Median)),
          milliseconds(quantile(Times, P99)),
          milliseconds(quantile(Times, P999)),
          fixed(static_cast<double>(Times.size()) / Seconds, 1)};
}

} // namespace anvilsaddle
