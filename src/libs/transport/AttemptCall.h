#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/ExchangeProtocol.h"
#include "transport/TargetCall.h"

#include <memory>
#include <string>

namespace anvilsaddle {

class AttemptCall;
class TargetConnections;

/// Receives the course of an attempt. Each function may destroy the attempt. Not thread-safe.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// Nothing follows. The answer, if any, is complete and stays with the attempt.
  virtual void onAttemptEnd(AttemptCall &Attempt, const AttemptEnd &End,
                            const std::string &Detail) = 0;
  /// The answer is too large to be kept; it is usable as far as it came. Its parts follow after
  /// streamOn().
  virtual void onAttemptLarge(AttemptCall &Attempt) = 0;
  /// A part of a large answer, answering streamOn().
  virtual void onAttemptPart(AttemptCall &Attempt, std::string Bytes, bool IsEnd) = 0;
  /// A large answer broke off.
  virtual void onAttemptCut(AttemptCall &Attempt, const std::string &Detail) = 0;
};

/// One request to one target. Keeps the whole answer, so that only a complete one is passed on;
/// larger answers are passed on in parts. Decides whether the answer is usable. Not thread-safe.
class AttemptCall final : public TargetCallListener {
public:
  /// Precondition: all references outlive the attempt.
  AttemptCall(TargetConnections &Connections, const ExchangeProtocol &Protocol,
              AttemptListener &Listener, SendAttempt Order);

  /// Precondition: called once. `Head` is the caller's request.
  void start(const RequestHead &Head, const std::string &Body, const std::string &RequestId,
             Duration Remaining);
  const SendAttempt &order() const { return this->Order; }
  /// Precondition: the head of the answer arrived.
  const ResponseHead &head() const { return this->Head; }
  /// What arrived of the body so far.
  const std::string &body() const { return this->Body; }
  /// Asks for the next part of a large answer.
  void streamOn() { this->Sent->readMore(); }

  void onCallHead(const ResponseHead &Answer) override;
  void onCallBytes(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  void finish();
  void end(AttemptOutcome Outcome, const std::string &Detail);

  TargetConnections &Connections;
  const ExchangeProtocol &Protocol;
  AttemptListener &Listener;
  SendAttempt Order;
  std::unique_ptr<TargetCall> Sent;
  std::string RequestId;
  ResponseHead Head;
  std::string Body;
  ResponseMetadata Statement;
  bool IsLarge = false;
};

} // namespace anvilsaddle
