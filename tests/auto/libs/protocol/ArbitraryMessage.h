#pragma once

#include "coordination/PeerMessage.h"
#include "coordination/membership/Incarnation.h"

#include <algorithm>
#include <string>
#include <utility>

#include <rapidcheck.h>

namespace anvilsaddle {

inline rc::Gen<std::string> shortText() {
  return rc::gen::map(rc::gen::arbitrary<std::string>(), [](std::string Text) {
    Text.resize(std::min<std::size_t>(Text.size(), 63));
    return Text;
  });
}

inline Incarnation arbitraryIncarnation() {
  return {*rc::gen::arbitrary<std::int64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
}

/// Returns a message with arbitrary content and a list of up to `MaxList` elements. Call it inside
/// a property.
inline PeerMessage arbitraryMessage(std::size_t MaxList) {
  Gossip Result;
  const auto Size = *rc::gen::inRange<std::size_t>(0, MaxList + 1);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    EntryRecord Each;
    Each.Address = "10." + std::to_string(*rc::gen::inRange(0, 256)) + ".0." +
                   std::to_string(*rc::gen::inRange(0, 256));
    Each.Domain = FailureDomainName(*shortText());
    Each.Incarnation = *rc::gen::arbitrary<std::int64_t>();
    Each.Heartbeat = *rc::gen::arbitrary<std::uint32_t>();
    Each.State = static_cast<EntryState>(*rc::gen::inRange(0, 3));
    Result.Entries.push_back(std::move(Each));
  }
  const auto SumCount = *rc::gen::inRange(0, 3);
  for (int Index = 0; Index < SumCount; ++Index) {
    const auto ArbitrarySum = [] { return *rc::gen::inRange(0, 1'000'000) / 1000.0; };
    Result.Saturation.push_back(
        {ServiceName((*shortText()).substr(0, 20)),
         *rc::gen::arbitrary<bool>() ? SlotOccupancy::Full : SlotOccupancy::NearlyFull,
         ArbitrarySum(), ArbitrarySum(), ArbitrarySum()});
  }
  return Result;
}

/// Returns an arbitrary message about quotas with up to `MaxList` elements. Call it inside a
/// property.
inline PeerMessage arbitraryQuotaMessage(std::size_t MaxList) {
  const auto Size = *rc::gen::inRange<std::size_t>(0, MaxList + 1);
  const auto Kind = *rc::gen::inRange(0, 3);
  const auto Name = [] { return CustomerName((*shortText()).substr(0, 20)); };
  const auto Count = [] { return *rc::gen::inRange<std::uint32_t>(0, 1u << 31); };
  const auto Share = [] { return *rc::gen::inRange<std::uint32_t>(0, 1001); };
  if (Kind == 0) {
    QuotaReport Result;
    Result.Run = *rc::gen::arbitrary<std::int64_t>();
    Result.Sequence = *rc::gen::arbitrary<std::uint32_t>();
    Result.NeedsReply = *rc::gen::arbitrary<bool>();
    Result.RecentMilliseconds = Count();
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Result.Usages.push_back({Name(), *rc::gen::arbitrary<std::uint32_t>(),
                               *rc::gen::arbitrary<std::uint32_t>(), Count(), Count(), Count(),
                               Count(), Share()});
    }
    return Result;
  }
  if (Kind == 1) {
    QuotaSums Result;
    Result.NeedsReply = *rc::gen::arbitrary<bool>();
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Result.Sums.push_back({Name(), {Count(), Count()}, {Count(), 0, Count()}, Count()});
    }
    return Result;
  }
  QuotaShares Result;
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Result.Shares.push_back({Name(), Share(), *rc::gen::arbitrary<bool>()});
  }
  return Result;
}

} // namespace anvilsaddle
