#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "protocol/RequestMetadataProtocol.h"
#include "transport/HttpCall.h"

#include <memory>
#include <string>

namespace anvilsaddle {

class RequestAttempt;
class ConnectionPool;

/// Receives the events of an attempt. Each function may destroy the attempt. Not thread-safe.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// The last event. The response, if there is one, is complete and can be read from the attempt.
  virtual void onAttemptEnd(RequestAttempt &Attempt, const AttemptResult &End,
                            const std::string &Detail) = 0;
  /// The response is too large to be buffered; what arrived so far is usable and can be read from
  /// the attempt. The rest follows after calls of continueStreaming().
  virtual void onAttemptStreaming(RequestAttempt &Attempt) = 0;
  /// The next bytes of a streamed response, requested with continueStreaming().
  virtual void onAttemptData(RequestAttempt &Attempt, std::string Bytes, bool IsEnd) = 0;
  /// A streamed response ended before it was complete.
  virtual void onAttemptTruncated(RequestAttempt &Attempt, const std::string &Detail) = 0;
};

/// One attempt at a request: sends it to one target or entry and decides whether the response is
/// usable. Buffers the response, so that only a complete one is forwarded; a response above the
/// buffer limit is streamed. Not thread-safe.
class RequestAttempt final : public HttpCallListener {
public:
  /// Precondition: all references outlive the attempt.
  RequestAttempt(ConnectionPool &Pool, const RequestMetadataProtocol &Protocol,
                 AttemptListener &Listener, SendAttempt Command);

  /// Precondition: called once. `Head` and `Body` are the caller's request, and `Body` is not null;
  /// `RemainingTime` is the time until its deadline.
  void start(const RequestHead &Head, std::shared_ptr<const std::string> Body,
             const std::string &RequestId, Duration RemainingTime);
  /// Closes the connection, which cancels the request. The listener is not called any more; a
  /// response that has arrived can still be read. May be called from the listener's functions.
  /// Precondition: start() was called.
  void cancel() { this->Call->cancel(); }
  const SendAttempt &command() const { return this->Command; }
  /// Precondition: the response head has arrived.
  const ResponseHead &head() const { return this->Head; }
  /// What the target demands with the response; nothing that another target at the same address
  /// may have sent. Precondition: the response head has arrived.
  TargetConditions conditions() const;
  /// The part of the response body that has been buffered.
  const std::string &body() const { return this->Body; }
  /// Requests the next bytes of a streamed response.
  void continueStreaming() { this->Call->readMore(); }

  void onResponseHead(const ResponseHead &Response) override;
  void onResponseBody(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  /// Decides which responses on the connection can be the one to this request.
  bool belongsToRequest() const;
  void evaluateResponse();
  void reportEnd(AttemptOutcome Outcome, const std::string &Detail);

  ConnectionPool &Pool;
  const RequestMetadataProtocol &Protocol;
  AttemptListener &Listener;
  SendAttempt Command;
  std::unique_ptr<HttpCall> Call;
  std::string RequestId;
  ResponseHead Head;
  std::string Body;
  ResponseMetadata Metadata;
  bool IsStreaming = false;
};

} // namespace anvilsaddle
