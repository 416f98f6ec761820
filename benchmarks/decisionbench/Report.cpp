#include "Report.h"

#include <algorithm>
#include <iomanip>

namespace anvilsaddle::bench {

namespace {
constexpr std::array<double, 3> Quantiles{0.5, 0.99, 0.999};

std::array<double, 3> percentiles(std::vector<double> Values) {
  std::array<double, 3> Result{};
  if (Values.empty()) {
    return Result;
  }
  std::sort(Values.begin(), Values.end());
  for (std::size_t Index = 0; Index < Quantiles.size(); ++Index) {
    const double Position = Quantiles.at(Index) * static_cast<double>(Values.size());
    Result.at(Index) = Values[std::min(static_cast<std::size_t>(Position), Values.size() - 1)];
  }
  return Result;
}

void append(std::vector<double> &To, const std::vector<double> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

ClassFigures combine(const ClassFigures &A, const ClassFigures &B) {
  ClassFigures Result = A;
  append(Result.Waits, B.Waits);
  append(Result.Responses, B.Responses);
  for (const auto Counter : {&ClassFigures::Offered, &ClassFigures::Good, &ClassFigures::Overloaded,
                             &ClassFigures::Expired, &ClassFigures::Failed, &ClassFigures::Late}) {
    Result.*Counter += B.*Counter;
  }
  return Result;
}

const ReportRow *find(const std::vector<ReportRow> &Rows, const std::string &Case,
                      const std::string &Policy, std::uint32_t Entries) {
  const auto Found = std::find_if(Rows.begin(), Rows.end(), [&](const ReportRow &Each) {
    return Each.Case.Name == Case && Each.Choice.Name == Policy && Each.Choice.Entries == Entries &&
           Each.ClassName == "all";
  });
  return Found == Rows.end() ? nullptr : &*Found;
}

/// Prints a comparison of a measured value with its bound.
void judge(std::ostream &Out, const std::string &What, double Value, double Bound, bool AtLeast) {
  const bool Met = AtLeast ? Value >= Bound : Value <= Bound;
  Out << (Met ? "met     " : "MISSED  ") << What << ": " << Value
      << (AtLeast ? " (at least " : " (at most ") << Bound << ")\n";
}
} // namespace

std::vector<ReportRow> makeRows(const Scenario &Case, const PolicyChoice &Choice,
                                RunFigures &&Figures) {
  const std::array<std::pair<const char *, ClassFigures>, 3> Parts{
      {{"all", combine(Figures.Classes[0], Figures.Classes[1])},
       {"interactive", Figures.Classes[0]},
       {"bulk", Figures.Classes[1]}}};
  std::vector<ReportRow> Result;
  for (const auto &[Name, Part] : Parts) {
    const double Rate = static_cast<double>(Part.Good) / Figures.MeasuredSeconds;
    Result.push_back({Case, Choice, Name, percentiles(Part.Waits), percentiles(Part.Responses),
                      Rate / Figures.Capacity, Part.Offered, Part.Overloaded, Part.Expired,
                      Part.Failed, Part.Late, Figures.SlotViolations, Figures.ColdViolations});
  }
  return Result;
}

void writeTsv(const std::vector<ReportRow> &Rows, std::ostream &Out) {
  Out << "scenario\tpolicy\tentries\tclass\twait_p50_ms\twait_p99_ms\twait_p999_ms\t"
         "response_p50_ms\tresponse_p99_ms\tresponse_p999_ms\tgoodput\toffered\toverloaded\t"
         "expired\tfailed\tlate\tslot_violations\tcold_violations\n";
  for (const ReportRow &Each : Rows) {
    Out << Each.Case.Name << '\t' << Each.Choice.Name << '\t' << Each.Choice.Entries << '\t'
        << Each.ClassName;
    for (const double Value : Each.WaitMs) {
      Out << '\t' << Value;
    }
    for (const double Value : Each.ResponseMs) {
      Out << '\t' << Value;
    }
    Out << '\t' << Each.Goodput << '\t' << Each.Offered << '\t' << Each.Overloaded << '\t'
        << Each.Expired << '\t' << Each.Failed << '\t' << Each.Late << '\t' << Each.SlotViolations
        << '\t' << Each.ColdViolations << '\n';
  }
}

void printTable(const std::vector<ReportRow> &Rows, std::ostream &Out) {
  Out << std::fixed << std::setprecision(1);
  Out << "scenario          policy          entries  class        wait ms p50/p99/p99.9     "
         "answer ms p50/p99/p99.9   goodput  refused (overload expired failed late)  violations "
         "(slots cold)\n";
  for (const ReportRow &Each : Rows) {
    Out << std::left << std::setw(18) << Each.Case.Name << std::setw(16) << Each.Choice.Name
        << std::setw(9) << Each.Choice.Entries << std::setw(12) << Each.ClassName << std::right;
    for (const auto &Part : {Each.WaitMs, Each.ResponseMs}) {
      for (const double Value : Part) {
        Out << std::setw(8) << Value;
      }
      Out << "  ";
    }
    Out << std::setw(6) << 100 * Each.Goodput << "%" << std::setw(8) << Each.Overloaded
        << std::setw(7) << Each.Expired << std::setw(7) << Each.Failed << std::setw(7) << Each.Late
        << std::setw(9) << Each.SlotViolations << std::setw(7) << Each.ColdViolations << '\n';
  }
}

void printTargets(const std::vector<ReportRow> &Rows, std::ostream &Out) {
  Out << std::fixed << std::setprecision(3);
  for (const Scenario &Case : allScenarios()) {
    const ReportRow *Owner = find(Rows, Case.Name, "owner-queue", 1);
    const ReportRow *Ideal = find(Rows, Case.Name, "ideal", 1);
    const ReportRow *TwoChoices = find(Rows, Case.Name, "two-choices", 6);
    if (!Owner || !Ideal || !TwoChoices) {
      continue;
    }
    if (Case.Kind == Fault::SlowTarget || Case.Kind == Fault::ColdTarget) {
      judge(Out, Case.Name + " p99 answer over ideal", Owner->ResponseMs[1] / Ideal->ResponseMs[1],
            1.15, false);
    } else if (Case.Kind == Fault::DomainOut && Case.Domains == 6) {
      const auto Refused = Owner->Overloaded + Owner->Expired + Owner->Failed + Owner->Late;
      judge(Out, Case.Name + " refused part",
            static_cast<double>(Refused) / static_cast<double>(Owner->Offered), 0.01, false);
    } else if (Case.Kind == Fault::None && Case.Load > 1) {
      judge(Out, Case.Name + " goodput over capacity", Owner->Goodput, 0.95, true);
    } else if (Case.Kind == Fault::None && Case.Load >= 0.8) {
      judge(Out, Case.Name + " p99 wait over ideal", Owner->WaitMs[1] / Ideal->WaitMs[1], 1.25,
            false);
      if (Case.Load < 0.9) {
        judge(Out, Case.Name + " p99 wait over two-choices",
              Owner->WaitMs[1] / TwoChoices->WaitMs[1], 0.5, false);
      }
    }
  }
}

} // namespace anvilsaddle::bench
