#pragma once

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Publications exchanged with other entries since the start of the process. Byte counts are
/// response bodies. Value type.
struct PublicationTraffic {
  /// Responses that contained everything that is published.
  std::uint64_t SnapshotsOut = 0;
  /// Responses that contained the changes after a revision.
  std::uint64_t ChangesOut = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t FailedFetches = 0;
  std::uint64_t BytesIn = 0;
  /// Requests for notices to entries of other regions, and replies to them.
  std::uint64_t NoticeRequests = 0;
  std::uint64_t NoticeReplies = 0;

  auto operator<=>(const PublicationTraffic &) const = default;
};

} // namespace anvilsaddle
