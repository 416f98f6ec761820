#include "model/ModelResult.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace anvilsaddle {

namespace {

constexpr int Width = 800;
constexpr int Height = 300;
constexpr int Margin = 40;
/// Line colours of the policies in order; they repeat if there are more policies.
constexpr std::array Colours = {"#1f77b4", "#2ca02c", "#d62728", "#9467bd"};

double share(std::uint32_t Part, std::uint32_t Whole) {
  return Whole == 0 ? 1 : static_cast<double>(Part) / Whole;
}

void writeLine(std::ostream &Out, const ModelResult &Result, const std::string &Second,
               const OutcomeCounts &Counts) {
  Out << Result.Policy << '\t' << Second << '\t' << Counts.Requests << '\t'
      << Counts.WithinObjective << '\t' << Counts.AfterObjective << '\t' << Counts.Refused << '\t'
      << Counts.Failed << '\t' << share(Counts.WithinObjective, Counts.Requests) << '\n';
}

std::string points(const ModelResult &Result) {
  std::ostringstream Out;
  const double Step = static_cast<double>(Width - 2 * Margin) /
                      static_cast<double>(std::max<std::size_t>(1, Result.CountsBySecond.size()));
  for (std::size_t Index = 0; Index < Result.CountsBySecond.size(); ++Index) {
    const OutcomeCounts &Each = Result.CountsBySecond[Index];
    const double Share = share(Each.WithinObjective, Each.Requests);
    Out << Margin + Step * (static_cast<double>(Index) + 0.5) << ','
        << Height - Margin - Share * (Height - 2 * Margin) << ' ';
  }
  return Out.str();
}

} // namespace

OutcomeCounts ModelResult::total() const {
  OutcomeCounts Result;
  for (const OutcomeCounts &Each : this->CountsBySecond) {
    Result.Requests += Each.Requests;
    Result.WithinObjective += Each.WithinObjective;
    Result.AfterObjective += Each.AfterObjective;
    Result.Refused += Each.Refused;
    Result.Failed += Each.Failed;
  }
  return Result;
}

std::string toTsv(const std::vector<ModelResult> &Results) {
  std::ostringstream Out;
  Out << "policy\tsecond\tasked\tin_time\tlate\trefused\tfailed\tshare_in_time\n";
  for (const ModelResult &Each : Results) {
    for (std::size_t Index = 0; Index < Each.CountsBySecond.size(); ++Index) {
      writeLine(Out, Each, std::to_string(Index), Each.CountsBySecond[Index]);
    }
  }
  for (const ModelResult &Each : Results) {
    writeLine(Out, Each, "all", Each.total());
  }
  return Out.str();
}

std::string toSvg(const std::vector<ModelResult> &Results) {
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << Margin << "\" y=\"20\">share of callers served in time, by second</text>\n"
      << "<path d=\"M" << Margin << ' ' << Margin << 'V' << Height - Margin << 'H' << Width - Margin
      << "\" fill=\"none\" stroke=\"black\"/>\n"
      << "<text x=\"8\" y=\"" << Margin + 4 << "\">100%</text>\n"
      << "<text x=\"16\" y=\"" << Height - Margin << "\">0%</text>\n";
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    const char *Colour = Colours.at(Index % Colours.size());
    Out << "<polyline fill=\"none\" stroke=\"" << Colour << "\" points=\"" << points(Results[Index])
        << "\"/>\n"
        << "<text fill=\"" << Colour << "\" x=\"" << Margin + 120 * static_cast<int>(Index)
        << "\" y=\"" << Height - 10 << "\">" << Results[Index].Policy << "</text>\n";
  }
  Out << "</svg>\n";
  return Out.str();
}

} // namespace anvilsaddle
