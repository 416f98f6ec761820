#include "transport/ActiveRequest.h"

#include "transport/HttpExchange.h"

#include <utility>

namespace anvilsaddle {

namespace {

ResponseHead forwardedHead(const ResponseHead &Head) {
  ResponseHead Result = Head;
  Result.Fields = endToEndFields(Head.Fields);
  return Result;
}

} // namespace

ActiveRequest::ActiveRequest(RequestNumber Number, HttpExchange &Exchange,
                             RequestAttributes Attributes, std::string Id, const Callbacks &Notify)
    : Number(Number), Exchange(&Exchange), Attributes(std::move(Attributes)), Id(std::move(Id)),
      Notify(Notify) {}

const RequestHead &ActiveRequest::head() const { return this->Exchange->head(); }

void ActiveRequest::startAttempt(const AttemptResources &Resources, const SendAttempt &Command,
                                 Duration RemainingTime, const FieldList &AddedFields) {
  auto New = std::make_unique<RequestAttempt>(Resources, *this, Command);
  RequestAttempt &Started = *New;
  this->Attempts[Command.Attempt] = std::move(New);
  Started.start(this->Exchange->head(), this->Exchange->body(), this->Id, RemainingTime,
                AddedFields);
}

void ActiveRequest::cancelAttempt(AttemptNumber Attempt) { this->Attempts.erase(Attempt); }

HttpExchange &ActiveRequest::releaseExchange() {
  HttpExchange &Released = *std::exchange(this->Exchange, nullptr);
  for (const auto &[AttemptIndex, Each] : this->Attempts) {
    Each->cancel();
  }
  Released.setDrainedCallback(nullptr);
  this->Notify.OnExchangeReleased(*this, Released);
  return Released;
}

void ActiveRequest::deliver(AttemptNumber Attempt) {
  const RequestAttempt &Completed = *this->Attempts.at(Attempt);
  const int Status = Completed.head().Status;
  this->releaseExchange().respond(forwardedHead(Completed.head()), Completed.body());
  this->Notify.OnResponseEnd(*this, Status, true);
}

bool ActiveRequest::abort(ResponseHead Head, const std::string &Text) {
  const int Status = Head.Status;
  const bool IsReplaced = this->releaseExchange().abort(std::move(Head), Text);
  this->Notify.OnResponseEnd(*this, IsReplaced ? Status : this->StreamedStatus, IsReplaced);
  return IsReplaced;
}

void ActiveRequest::reject(ResponseHead Head, const std::string &Text) {
  const int Status = Head.Status;
  this->releaseExchange().respond(std::move(Head), Text);
  this->Notify.OnResponseEnd(*this, Status, true);
}

void ActiveRequest::onAttemptEnd(RequestAttempt &Attempt, const AttemptResult &End,
                                 const std::string &Detail) {
  this->Notify.OnAttemptEnd(*this, Attempt.command().Attempt, End, Detail);
}

void ActiveRequest::onAttemptStreaming(RequestAttempt &Attempt) {
  this->StreamedAttempt = Attempt.command().Attempt;
  this->StreamedStatus = Attempt.head().Status;
  const bool MayBegin = this->Notify.OnCommitted(*this, Attempt);
  if (!MayBegin || !this->hasExchange()) {
    return;
  }
  this->Exchange->begin(forwardedHead(Attempt.head()));
  // Writing to the caller may show that it has disconnected.
  if (this->hasExchange()) {
    this->Exchange->addBody(Attempt.takeBody());
  }
  if (this->hasExchange()) {
    this->readAhead(Attempt);
  }
}

void ActiveRequest::onAttemptData(RequestAttempt &Attempt, std::string Bytes, bool IsEnd) {
  this->Exchange->addBody(Bytes);
  if (!this->hasExchange()) {
    return;
  }
  if (IsEnd) {
    this->releaseExchange().end();
    this->Notify.OnResponseEnd(*this, this->StreamedStatus, true);
    return;
  }
  this->readAhead(Attempt);
}

void ActiveRequest::readAhead(RequestAttempt &Attempt) {
  if (Attempt.mayReadAhead(this->Exchange->unsentBytes())) {
    Attempt.continueStreaming();
    return;
  }
  this->Exchange->setDrainedCallback([this] { this->continueStreaming(); });
}

void ActiveRequest::continueStreaming() {
  const auto Found = this->Attempts.find(*this->StreamedAttempt);
  if (Found != this->Attempts.end()) {
    Found->second->continueStreaming();
  }
}

void ActiveRequest::onAttemptTruncated(RequestAttempt &, const std::string &Detail) {
  this->Notify.OnTruncated(*this, Detail);
}

} // namespace anvilsaddle
