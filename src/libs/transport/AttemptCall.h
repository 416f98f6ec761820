#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/MetadataProtocol.h"
#include "transport/HttpCall.h"

#include <memory>
#include <string>

namespace anvilsaddle {

class AttemptCall;
class ConnectionPool;

/// Receives the course of an attempt. Each function may destroy the attempt. Not thread-safe.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// Nothing follows. The answer, if any, is complete and stays with the attempt.
  virtual void onAttemptEnd(AttemptCall &Attempt, const AttemptResult &End,
                            const std::string &Detail) = 0;
  /// The answer is too large to be kept; it is usable as far as it came. Its parts follow after
  /// streamOn().
  virtual void onAttemptStreaming(AttemptCall &Attempt) = 0;
  /// A part of a large answer, answering streamOn().
  virtual void onAttemptData(AttemptCall &Attempt, std::string Bytes, bool IsEnd) = 0;
  /// A large answer broke off.
  virtual void onAttemptTruncated(AttemptCall &Attempt, const std::string &Detail) = 0;
};

/// One request to one target. Keeps the whole answer, so that only a complete one is passed on;
/// larger answers are passed on in parts. Decides whether the answer is usable. Not thread-safe.
class AttemptCall final : public HttpCallListener {
public:
  /// Precondition: all references outlive the attempt.
  AttemptCall(ConnectionPool &Pool, const MetadataProtocol &Protocol, AttemptListener &Listener,
              SendAttempt Command);

  /// Precondition: called once. `Head` is the caller's request.
  void start(const RequestHead &Head, const std::string &Body, const std::string &RequestId,
             Duration Remaining);
  const SendAttempt &command() const { return this->Command; }
  /// Precondition: the head of the answer arrived.
  const ResponseHead &head() const { return this->Head; }
  /// What arrived of the body so far.
  const std::string &body() const { return this->Body; }
  /// Asks for the next part of a large answer.
  void continueStreaming() { this->Call->readMore(); }

  void onResponseHead(const ResponseHead &Response) override;
  void onResponseBody(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  void evaluateResponse();
  void reportEnd(AttemptOutcome Outcome, const std::string &Detail);

  ConnectionPool &Pool;
  const MetadataProtocol &Protocol;
  AttemptListener &Listener;
  SendAttempt Command;
  std::unique_ptr<HttpCall> Call;
  std::string RequestId;
  ResponseHead Head;
  std::string Body;
  ResponseMetadata ResponseHeaders;
  bool IsStreaming = false;
};

} // namespace anvilsaddle
