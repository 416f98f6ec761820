#include "transport/RequestFlow.h"

#include "transport/HttpExchange.h"

#include <utility>

namespace anvilsaddle {

namespace {

/// Bytes of a large answer that wait for a slow caller.
constexpr std::size_t MaxBacklog = std::size_t{256} * 1024;

ResponseHead passedHead(const ResponseHead &Head) {
  ResponseHead Result = Head;
  Result.Fields = endToEndFields(Head.Fields);
  return Result;
}

} // namespace

RequestFlow::RequestFlow(RequestNumber Number, HttpExchange &Exchange, RequestTerms Terms,
                         std::string Id, const Events &Reports)
    : Number(Number), Exchange(Exchange), Terms(std::move(Terms)), Id(std::move(Id)),
      Reports(Reports) {}

void RequestFlow::startAttempt(TargetConnections &Connections, const ExchangeProtocol &Protocol,
                               const SendAttempt &Order, Duration Remaining) {
  auto Added = std::make_unique<AttemptCall>(Connections, Protocol, *this, Order);
  AttemptCall &Started = *Added;
  this->Attempts[Order.Attempt] = std::move(Added);
  Started.start(this->Exchange.head(), this->Exchange.body(), this->Id, Remaining);
}

void RequestFlow::cancelAttempt(AttemptNumber Attempt) { this->Attempts.erase(Attempt); }

void RequestFlow::deliver(AttemptNumber Attempt) {
  const AttemptCall &Answered = *this->Attempts.at(Attempt);
  const int Status = Answered.head().Status;
  this->Exchange.respond(passedHead(Answered.head()), Answered.body());
  this->Reports.OnDone(*this, Status, true);
}

void RequestFlow::refuse(ResponseHead Head, const std::string &Text) {
  const int Status = Head.Status;
  this->Exchange.respond(std::move(Head), Text);
  this->Reports.OnDone(*this, Status, true);
}

void RequestFlow::onAttemptEnd(AttemptCall &Attempt, const AttemptEnd &End,
                               const std::string &Detail) {
  this->Reports.OnAttemptEnd(*this, Attempt.order().Attempt, End, Detail);
}

void RequestFlow::onAttemptLarge(AttemptCall &Attempt) {
  this->Committed = true;
  this->Reports.OnCommitted(*this, Attempt.order().Attempt);
  this->Exchange.begin(passedHead(Attempt.head()));
  this->Exchange.addBody(Attempt.body());
  Attempt.streamOn();
}

void RequestFlow::onAttemptPart(AttemptCall &Attempt, std::string Bytes, bool IsEnd) {
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

void RequestFlow::onAttemptCut(AttemptCall &Attempt, const std::string &) {
  const int Status = Attempt.head().Status;
  this->Exchange.abort();
  this->Reports.OnDone(*this, Status, false);
}

} // namespace anvilsaddle
