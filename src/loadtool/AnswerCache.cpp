#include "loadtool/AnswerCache.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {
/// Bounds the questions of a caller whose entries don't answer.
constexpr Duration AskPause = std::chrono::milliseconds(100);
} // namespace

AnswerCache::AnswerCache(std::vector<std::string> FirstAddresses)
    : Addresses(std::move(FirstAddresses)) {}

bool AnswerCache::shouldAsk(TimePoint Now) const { return !this->Open && Now >= this->AskAgain; }

std::string AnswerCache::beginAsk() {
  this->Open = true;
  this->Asking = this->Addresses[this->NextAddress % this->Addresses.size()];
  return this->Asking;
}

void AnswerCache::onAnswer(AddressAnswer Answer, TimePoint Now) {
  this->Open = false;
  this->Asked = this->Asking;
  this->AskAgain = Now + Answer.TimeToKeep * 3 / 4;
  this->Expiry = Now + Answer.TimeToKeep;
  this->Known = std::move(Answer);
  for (const std::string &Entry : this->Known.Entries) {
    if (std::ranges::find(this->Addresses, Entry) == this->Addresses.end()) {
      this->Addresses.push_back(Entry);
    }
  }
}

void AnswerCache::onAskFailed(TimePoint Now) {
  this->Open = false;
  ++this->NextAddress;
  this->AskAgain = Now + AskPause;
}

std::string AnswerCache::alternative(const std::string &Used) const {
  const auto Found = std::ranges::find_if(
      this->Known.Entries, [&Used](const std::string &Entry) { return Entry != Used; });
  return Found == this->Known.Entries.end() ? std::string() : *Found;
}

} // namespace anvilsaddle
