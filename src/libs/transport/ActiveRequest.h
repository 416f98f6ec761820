#pragma once

#include "coordination/DispatchTypes.h"
#include "transport/RequestAttempt.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvilsaddle {

class HttpExchange;

/// One request of a caller with its attempts at targets. Not thread-safe.
class ActiveRequest final : public AttemptListener {
public:
  /// What the flow reports; each function may destroy the flow.
  struct Events {
    std::function<void(ActiveRequest &, AttemptNumber, const AttemptEnd &,
                       const std::string &Detail)>
        OnAttemptEnd;
    /// The answer of the attempt begins to go to the caller.
    std::function<void(ActiveRequest &, AttemptNumber)> OnCommitted;
    /// The answer is out; `Complete` is false if it broke off.
    std::function<void(ActiveRequest &, int Status, bool Complete)> OnDone;
  };

  /// Precondition: the exchange is pending, and the events outlive the flow.
  ActiveRequest(RequestNumber Number, HttpExchange &Exchange, RequestTerms Terms, std::string Id,
                const Events &Reports);

  RequestNumber number() const { return this->Number; }
  const RequestTerms &terms() const { return this->Terms; }
  /// The request's id as the caller gave it.
  const std::string &id() const { return this->Id; }
  HttpExchange &exchange() { return this->Exchange; }

  void startAttempt(ConnectionPool &Connections, const ExchangeProtocol &Protocol,
                    const SendAttempt &Order, Duration Remaining);
  /// Closes the connection of an attempt.
  void cancelAttempt(AttemptNumber Attempt);
  /// Passes on the whole answer of an attempt. Precondition: the attempt ended with an answer.
  void deliver(AttemptNumber Attempt);
  /// Answers the request without a target.
  void refuse(AnswerHead Head, const std::string &Text);
  /// The answer of an attempt goes out in parts.
  bool isCommitted() const { return this->Committed; }

  void onAttemptEnd(RequestAttempt &Attempt, const AttemptEnd &End,
                    const std::string &Detail) override;
  void onAttemptLarge(RequestAttempt &Attempt) override;
  void onAttemptPart(RequestAttempt &Attempt, std::string Bytes, bool IsEnd) override;
  void onAttemptCut(RequestAttempt &Attempt, const std::string &Detail) override;

private:
  RequestNumber Number;
  HttpExchange &Exchange;
  RequestTerms Terms;
  std::string Id;
  const Events &Reports;
  std::map<AttemptNumber, std::unique_ptr<RequestAttempt>> Attempts;
  bool Committed = false;
};

} // namespace anvilsaddle
