#include "loadtool/Scenario.h"

#include "protocol/TomlTable.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr std::int64_t MaxRate = 1'000'000;
constexpr std::int64_t MaxCount = 100'000'000;
constexpr std::int64_t MaxBodyBytes = 64 << 20;

RequestKind readKind(TomlTable &Table) {
  RequestKind Result;
  Result.Name = Table.requiredName("name");
  Result.Method = Table.stringOr("method", Result.Method);
  Result.Path = Table.requiredString("path");
  if (!Result.Path.starts_with('/')) {
    Table.addFinding("path", "'path' must start with '/'");
  }
  Result.Weight =
      static_cast<std::uint32_t>(Table.integerOr("weight", Result.Weight, 1, 1'000'000));
  Result.Class = Table.choiceOr("class", Result.Class, {"interactive", "bulk"});
  Result.Credential = Table.requiredString("credential");
  Result.Keyed = Table.booleanOr("key", Result.Keyed);
  Result.BodyBytes =
      static_cast<std::uint32_t>(Table.integerOr("body_bytes", Result.BodyBytes, 0, MaxBodyBytes));
  Result.Service = Table.stringOr("service", Result.Service);
  Table.reportUnknownKeys();
  return Result;
}

} // namespace

std::variant<Scenario, Findings> readScenario(std::string_view Text, const std::string &Path) {
  Findings Problems;
  const auto Parsed = parseToml(Text, Path, Problems);
  if (!Parsed) {
    return Problems;
  }
  TomlTable Root(*Parsed, Path, Problems);
  Scenario Result;
  Result.Rate = static_cast<std::uint32_t>(Root.integerOr("rate", Result.Rate, 1, MaxRate));
  Result.Count = static_cast<std::uint32_t>(Root.integerOr("count", Result.Count, 1, MaxCount));
  Result.Seed = static_cast<std::uint64_t>(Root.integerOr("seed", 1, 0, 1'000'000'000));
  for (TomlTable &Each : Root.tables("kind")) {
    Result.Kinds.push_back(readKind(Each));
  }
  if (Result.Kinds.empty()) {
    Root.addFinding("kind", "at least one [[kind]] is required");
  }
  Root.reportUnknownKeys();
  if (Problems.empty()) {
    return Result;
  }
  std::ranges::stable_sort(Problems);
  return Problems;
}

} // namespace anvilsaddle
