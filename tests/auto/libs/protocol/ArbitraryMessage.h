#pragma once

#include "coordination/Messages.h"

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

inline std::uint32_t arbitraryCount() { return *rc::gen::arbitrary<std::uint32_t>(); }

inline TargetName arbitraryTarget() { return TargetName(*shortText()); }

template <typename Function> auto arbitraryList(std::size_t MaxSize, Function &&Make) {
  std::vector<decltype(Make())> Result;
  const auto Size = *rc::gen::inRange<std::size_t>(0, MaxSize + 1);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Result.push_back(Make());
  }
  return Result;
}

/// A message of any kind with arbitrary content, its list up to `MaxList` long. Call it inside a
/// property.
inline PeerMessage arbitraryMessage(const VmName &Sender, const Incarnation &Run,
                                    std::size_t MaxList) {
  const auto Claim = [] { return LeaseClaim{arbitraryTarget(), arbitraryCount()}; };
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return Heartbeat{
        Sender,
        Run,
        arbitraryIncarnation(),
        *rc::gen::element(EntryState::Starting, EntryState::Serving, EntryState::Departing),
        *rc::gen::arbitrary<std::uint64_t>(),
        *rc::gen::arbitrary<std::uint64_t>(),
        arbitraryList(MaxList, [] {
          return GroupLoad{{ServiceName(*shortText()), RegionName(*shortText()), arbitraryCount()},
                           arbitraryCount(),
                           arbitraryCount()};
        })};
  case 1:
    return LeaseRequest{Sender, Run, *rc::gen::arbitrary<std::uint64_t>(),
                        arbitraryList(MaxList, Claim)};
  case 2:
    return LeaseReply{
        Sender, Run, *rc::gen::arbitrary<std::uint64_t>(), arbitraryList(MaxList, [] {
          return LeaseGrant{arbitraryTarget(), *rc::gen::arbitrary<bool>(), arbitraryCount()};
        })};
  case 3:
    return LeaseRelease{Sender, Run, *rc::gen::arbitrary<std::uint64_t>(),
                        arbitraryList(MaxList, Claim)};
  case 4:
    return LessorInquiry{Sender, Run, *rc::gen::arbitrary<std::uint64_t>(),
                         arbitraryList(MaxList, arbitraryTarget)};
  default:
    return LessorCession{Sender, Run, arbitraryIncarnation(), arbitraryList(MaxList, [] {
                           return CededTarget{
                               arbitraryTarget(),
                               Duration(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 62))};
                         })};
  }
}

} // namespace anvilsaddle
