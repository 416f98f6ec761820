// Time of one idempotency key in a ledger of constant size: each new key lets an old one expire.
#include "coordination/KeyLedger.h"

#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

void beginAndFinish(benchmark::State &State) {
  const std::int64_t Size = State.range(0);
  KeyLedger Ledger(static_cast<std::size_t>(Size) + 1);
  const CustomerName Customer("press.line");
  const std::string Ticket = "entry-1.1764845000000.1234567890123456789.3600000000."
                             "0123456789abcdef0123456789abcdef.";
  TimePoint Now{};
  std::int64_t Number = 0;
  const auto RunOne = [&] {
    Now += 1ms;
    const std::string Key = Ticket + std::to_string(++Number);
    const KeyAdmission Admission = Ledger.begin(Customer, Key, Now + Size * 1ms, Now);
    Ledger.finish(Customer, Key, KeyState::Ran, 200);
    return Admission == KeyAdmission::Admitted;
  };
  for (std::int64_t Index = 0; Index < Size; ++Index) {
    RunOne();
  }
  while (State.KeepRunning()) {
    if (!RunOne()) {
      State.SkipWithError("not admitted");
    }
  }
  State.counters["keys"] = static_cast<double>(Ledger.size());
}
BENCHMARK(beginAndFinish)->ArgName("keys")->Arg(1'000)->Arg(10'000)->Arg(100'000);

} // namespace
