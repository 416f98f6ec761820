#pragma once

#include "coordination/DispatchTypes.h"
#include "transport/AttemptCall.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvilsaddle {

class HttpExchange;

/// One request of a caller with its attempts at targets. Not thread-safe.
class RequestFlow final : public AttemptListener {
public:
  /// What the flow reports; each function may destroy the flow.
  struct Events {
    std::function<void(RequestFlow &, AttemptNumber, const AttemptEnd &, const std::string &Detail)>
        OnAttemptEnd;
    /// The answer of the attempt begins to go to the caller.
    std::function<void(RequestFlow &, AttemptNumber)> OnCommitted;
    /// The answer is out; `Complete` is false if it broke off.
    std::function<void(RequestFlow &, int Status, bool Complete)> OnDone;
  };

  /// Precondition: the exchange is pending, and the events outlive the flow.
  RequestFlow(RequestNumber Number, HttpExchange &Exchange, RequestTerms Terms, std::string Id,
              const Events &Reports);

  RequestNumber number() const { return this->Number; }
  const RequestTerms &terms() const { return this->Terms; }
  /// The request's id as the caller gave it.
  const std::string &id() const { return this->Id; }
  HttpExchange &exchange() { return this->Exchange; }

  void startAttempt(TargetConnections &Connections, const ExchangeProtocol &Protocol,
                    const SendAttempt &Order, Duration Remaining);
  /// Closes the connection of an attempt.
  void cancelAttempt(AttemptNumber Attempt);
  /// Passes on the whole answer of an attempt. Precondition: the attempt ended with an answer.
  void deliver(AttemptNumber Attempt);
  /// Answers the request without a target.
  void refuse(ResponseHead Head, const std::string &Text);
  /// The answer of an attempt goes out in parts.
  bool isCommitted() const { return this->Committed; }

  void onAttemptEnd(AttemptCall &Attempt, const AttemptEnd &End,
                    const std::string &Detail) override;
  void onAttemptLarge(AttemptCall &Attempt) override;
  void onAttemptPart(AttemptCall &Attempt, std::string Bytes, bool IsEnd) override;
  void onAttemptCut(AttemptCall &Attempt, const std::string &Detail) override;

private:
  RequestNumber Number;
  HttpExchange &Exchange;
  RequestTerms Terms;
  std::string Id;
  const Events &Reports;
  std::map<AttemptNumber, std::unique_ptr<AttemptCall>> Attempts;
  bool Committed = false;
};

} // namespace anvilsaddle
