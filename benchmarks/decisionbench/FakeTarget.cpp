#include "FakeTarget.h"

#include <algorithm>

namespace anvilsaddle::bench {

FakeTarget::Reception FakeTarget::receive(RequestNumber Request, TimePoint Now) {
  if (this->down(Now)) {
    return Reception::Refused;
  }
  if (this->cold() && !this->Serving.empty()) {
    this->DownUntil = Now + DownTime;
    this->WarmUpLeft = WarmUpAnswers;
    return Reception::FailedOver;
  }
  if (this->Serving.size() < TargetSlots) {
    this->Serving.push_back(Request);
    return Reception::Started;
  }
  this->Waiting.push_back(Request);
  return Reception::Queued;
}

std::optional<RequestNumber> FakeTarget::remove(RequestNumber Request) {
  std::erase(this->Waiting, Request);
  if (std::erase(this->Serving, Request) == 0 || this->Waiting.empty()) {
    return std::nullopt;
  }
  const RequestNumber Next = this->Waiting.front();
  this->Waiting.pop_front();
  this->Serving.push_back(Next);
  return Next;
}

void FakeTarget::onAnswer() { this->WarmUpLeft -= this->WarmUpLeft > 0 ? 1 : 0; }

std::vector<RequestNumber> FakeTarget::takeAll() {
  std::vector<RequestNumber> Result = std::move(this->Serving);
  Result.insert(Result.end(), this->Waiting.begin(), this->Waiting.end());
  this->Serving.clear();
  this->Waiting.clear();
  return Result;
}

} // namespace anvilsaddle::bench
