#include "coordination/publications/NoticeRequester.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>
#include <chrono>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr Duration RequestInterval = 200ms;
/// Interval once the knowledge of this entry is older than LongOutage: then no region may be able
/// to read the source.
constexpr Duration LongOutageRequestInterval = 1s;
constexpr Duration LongOutage = 5s;
/// Replies to older requests are ignored.
constexpr std::size_t MaxSentRequests = 8;
constexpr const char *RequestHashItem = "notice requests";

} // namespace

NoticeRequester::NoticeRequester(const std::string &Self)
    : FirstChoice(rendezvousScore(RequestHashItem, Self)) {}

bool NoticeRequester::isDue(Duration Staleness, TimePoint Now) const {
  const Duration Interval = Staleness < LongOutage ? RequestInterval : LongOutageRequestInterval;
  return this->Sent.empty() || Now - this->Sent.back().Time >= Interval;
}

SendNoticeRequest
NoticeRequester::next(const std::map<RegionName, std::vector<std::string>> &EntriesByRegion,
                      TimePoint Now) {
  ++this->LastNumber;
  this->Sent.push_back({this->LastNumber, Now});
  if (this->Sent.size() > MaxSentRequests) {
    this->Sent.pop_front();
  }
  SendNoticeRequest Result{{}, {this->LastNumber}};
  for (const auto &[Region, Entries] : EntriesByRegion) {
    // Another one each time, as some may not respond.
    Result.Receivers.push_back(Entries[(this->FirstChoice + this->LastNumber) % Entries.size()]);
  }
  return Result;
}

std::optional<TimePoint> NoticeRequester::asOf(const NoticeReply &Reply) const {
  const auto Found =
      std::find_if(this->Sent.begin(), this->Sent.end(),
                   [&Reply](const SentRequest &Each) { return Each.Number == Reply.Number; });
  if (Found == this->Sent.end() || !Reply.Notice.Staleness) {
    return std::nullopt;
  }
  return Found->Time - *Reply.Notice.Staleness;
}

} // namespace anvilsaddle
