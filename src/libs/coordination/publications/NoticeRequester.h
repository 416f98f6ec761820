#pragma once

#include "coordination/publications/PublicationMessages.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Send a request for a notice to other entries.
struct SendNoticeRequest {
  std::vector<std::string> Receivers;
  NoticeRequest Request;

  auto operator<=>(const SendNoticeRequest &) const = default;
};

/// Asks entries of other regions for notices, and dates their replies.
///
/// A reply is dated by the time at which its request was sent, not by its arrival. Otherwise two
/// regions that ask each other would take the travel time for progress, and confirm each other's
/// old knowledge for good.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class NoticeRequester {
public:
  explicit NoticeRequester(const std::string &Self);

  /// True if the next request may be sent. `Staleness` is the age of what this entry knows.
  bool isDue(Duration Staleness, TimePoint Now) const;
  /// Returns the next request, to one of the entries of each region.
  SendNoticeRequest next(const std::map<RegionName, std::vector<std::string>> &EntriesByRegion,
                         TimePoint Now);
  /// Time for which the sender of the reply was known to have everything up to its position;
  /// nothing if the reply belongs to none of the last requests.
  std::optional<TimePoint> asOf(const NoticeReply &Reply) const;

private:
  struct SentRequest {
    std::uint32_t Number = 0;
    TimePoint Time{};
  };

  /// Entries ask different ones first.
  std::uint64_t FirstChoice;
  std::uint32_t LastNumber = 0;
  /// The last requests, oldest first.
  std::deque<SentRequest> Sent;
};

} // namespace anvilsaddle
