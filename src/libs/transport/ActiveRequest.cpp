#include "transport/ActiveRequest.h"

#include "transport/HttpExchange.h"

#include <utility>

namespace anvilsaddle {

namespace {

/// Bytes of a large answer that wait for a slow caller.
constexpr std::size_t MaxBacklog = std::size_t{256} * 1024;

AnswerHead passedHead(const AnswerHead &Head) {
  AnswerHead Result = Head;
  Result.Fields = endToEndFields(Head.Fields);
  return Result;
}

} // namespace

ActiveRequest::ActiveRequest(RequestNumber Number, HttpExchange &Exchange, RequestTerms Terms,
                             std::string Id, const Events &Reports)
    : Number(Number), Exchange(Exchange), Terms(std::move(Terms)), Id(std::move(Id)),
      Reports(Reports) {}

void ActiveRequest::startAttempt(ConnectionPool &Connections, const ExchangeProtocol &Protocol,
                                 const SendAttempt &Order, Duration Remaining) {
  auto Added = std::make_unique<RequestAttempt>(Connections, Protocol, *this, Order);
  RequestAttempt &Started = *Added;
  this->Attempts[Order.Attempt] = std::move(Added);
  Started.start(this->Exchange.head(), this->Exchange.body(), this->Id, Remaining);
}

void ActiveRequest::cancelAttempt(AttemptNumber Attempt) { this->Attempts.erase(Attempt); }

void ActiveRequest::deliver(AttemptNumber Attempt) {
  const RequestAttempt &Answered = *this->Attempts.at(Attempt);
  const int Status = Answered.head().Status;
  this->Exchange.respond(passedHead(Answered.head()), Answered.body());
  this->Reports.OnDone(*this, Status, true);
}

void ActiveRequest::refuse(AnswerHead Head, const std::string &Text) {
  const int Status = Head.Status;
  this->Exchange.respond(std::move(Head), Text);
  this->Reports.OnDone(*this, Status, true);
}

void ActiveRequest::onAttemptEnd(RequestAttempt &Attempt, const AttemptEnd &End,
                                 const std::string &Detail) {
  this->Reports.OnAttemptEnd(*this, Attempt.order().Attempt, End, Detail);
}

void ActiveRequest::onAttemptLarge(RequestAttempt &Attempt) {
  this->Committed = true;
  this->Reports.OnCommitted(*this, Attempt.order().Attempt);
  this->Exchange.begin(passedHead(Attempt.head()));
  this->Exchange.addBody(Attempt.body());
  Attempt.streamOn();
}

void ActiveRequest::onAttemptPart(RequestAttempt &Attempt, std::string Bytes, bool IsEnd) {
  this->Exchange.addBody(Bytes);
  if (IsEnd) {
    const int Status = Attempt.head().Status;
    this->Exchange.end();
    this->Reports.OnDone(*this, Status, true);
    return;
  }
  if (this->Exchange.backlog() <= MaxBacklog) {
    Attempt.streamOn();
    return;
  }
  this->Exchange.setDrained([&Attempt] { Attempt.streamOn(); });
}

void ActiveRequest::onAttemptCut(RequestAttempt &Attempt, const std::string &) {
  const int Status = Attempt.head().Status;
  this->Exchange.abort();
  this->Reports.OnDone(*this, Status, false);
}

} // namespace anvilsaddle
