#pragma once

#include "Simulation.h"

#include <ostream>

namespace anvilsaddle::bench {

/// One line of the result.
struct ReportRow {
  Scenario Case;
  PolicyChoice Choice;
  /// "all", "interactive" or "bulk".
  std::string ClassName;
  std::array<double, 3> WaitMs{};
  std::array<double, 3> ResponseMs{};
  /// Good answers per second over capacity.
  double Goodput = 0;
  std::uint64_t Offered = 0;
  std::uint64_t Overloaded = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Late = 0;
  std::uint64_t SlotViolations = 0;
  std::uint64_t ColdViolations = 0;
};

std::vector<ReportRow> makeRows(const Scenario &Case, const PolicyChoice &Choice,
                                RunFigures &&Figures);
void writeTsv(const std::vector<ReportRow> &Rows, std::ostream &Out);
void printTable(const std::vector<ReportRow> &Rows, std::ostream &Out);
/// Prints each performance target of section 1.4 that the bench covers, with met or missed.
void printTargets(const std::vector<ReportRow> &Rows, std::ostream &Out);

} // namespace anvilsaddle::bench
