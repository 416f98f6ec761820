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
  struct Callbacks {
    std::function<void(RequestFlow &, AttemptNumber, const AttemptResult &,
                       const std::string &Detail)>
        OnAttemptEnd;
    /// The answer of the attempt begins to go to the caller.
    std::function<void(RequestFlow &, AttemptNumber)> OnCommitted;
    /// The answer is out; `Complete` is false if it broke off.
    std::function<void(RequestFlow &, int Status, bool Complete)> OnResponseEnd;
  };

  /// Precondition: the exchange is pending, and the events outlive the flow.
  RequestFlow(RequestNumber Number, HttpExchange &Exchange, RequestAttributes Attributes, std::string Id,
              const Callbacks &Notify);

  RequestNumber number() const { return this->Number; }
  const RequestAttributes &attributes() const { return this->Attributes; }
  /// The request's id as the caller gave it.
  const std::string &id() const { return this->Id; }
  HttpExchange &exchange() { return this->Exchange; }

  void startAttempt(ConnectionPool &Pool, const MetadataProtocol &Protocol,
                    const SendAttempt &Command, Duration Remaining);
  /// Closes the connection of an attempt.
  void cancelAttempt(AttemptNumber Attempt);
  /// Passes on the whole answer of an attempt. Precondition: the attempt ended with an answer.
  void deliver(AttemptNumber Attempt);
  /// Answers the request without a target.
  void reject(ResponseHead Head, const std::string &Text);
  /// The answer of an attempt goes out in parts.
  bool isCommitted() const { return this->Committed; }

  void onAttemptEnd(AttemptCall &Attempt, const AttemptResult &End,
                    const std::string &Detail) override;
  void onAttemptStreaming(AttemptCall &Attempt) override;
  void onAttemptData(AttemptCall &Attempt, std::string Bytes, bool IsEnd) override;
  void onAttemptTruncated(AttemptCall &Attempt, const std::string &Detail) override;

private:
  RequestNumber Number;
  HttpExchange &Exchange;
  RequestAttributes Attributes;
  std::string Id;
  const Callbacks &Notify;
  std::map<AttemptNumber, std::unique_ptr<AttemptCall>> Attempts;
  bool Committed = false;
};

} // namespace anvilsaddle
