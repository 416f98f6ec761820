#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/memory/MemoryAccount.h"
#include "protocol/RequestMetadataProtocol.h"
#include "transport/HttpCall.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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

/// What all attempts of an entry share.
struct AttemptResources {
  /// Precondition: pool and protocol outlive all attempts.
  ConnectionPool &Pool;
  const RequestMetadataProtocol &Protocol;
  /// Account of the memory that responses take. Without one it is not limited.
  std::shared_ptr<MemoryAccount> Memory;
};

/// One attempt at a request: sends it to one target or entry and decides whether the response is
/// usable. Buffers the response, so that only a complete one is forwarded; a response above the
/// buffer limit is streamed. Nothing of a long response is read without memory for it, and it is
/// streamed earlier if there is none to buffer it. Not thread-safe.
class RequestAttempt final : public HttpCallListener {
public:
  /// Precondition: the resources and the listener outlive the attempt.
  RequestAttempt(const AttemptResources &Resources, AttemptListener &Listener, SendAttempt Command);

  /// Precondition: called once. `Head` and `Body` are the caller's request, and `Body` is not null;
  /// `RemainingTime` is the time until its deadline. `AddedFields` replace fields of the caller's
  /// request with the same names.
  void start(const RequestHead &Head, std::shared_ptr<const std::string> Body,
             const std::string &RequestId, Duration RemainingTime,
             const FieldList &AddedFields = {});
  /// Closes the connection, which cancels the request. The listener is not called any more; a
  /// response that has arrived can still be read. May be called from the listener's functions.
  /// Precondition: start() was called.
  void cancel();
  const SendAttempt &command() const { return this->Command; }
  /// Precondition: the response head has arrived.
  const ResponseHead &head() const { return this->Head; }
  /// What the target demands with the response; nothing that another target at the same address
  /// may have sent. Precondition: the response head has arrived.
  TargetConditions conditions() const;
  /// The part of the response body that has been buffered.
  const std::string &body() const { return this->Body; }
  /// Moves out what was buffered before the response is streamed.
  std::string takeBody() { return std::exchange(this->Body, {}); }
  /// True if more of a streamed response may be read while the caller has not taken this many
  /// bytes.
  bool mayReadAhead(std::size_t UnsentBytes) const;
  /// Requests the next bytes of a streamed response.
  void continueStreaming() { this->Call->readMore(); }

  void onResponseHead(const ResponseHead &Response) override;
  void onResponseBody(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  /// Decides which responses on the connection can be the one to this request.
  bool belongsToRequest() const;
  /// Reserves memory for the response and reads it once there is some.
  void reserveMemory();
  void onMemoryDecision();
  /// Reads the response, faster if there is memory for that.
  void startReading();
  /// Memory of the response on its way, without what is buffered.
  std::size_t transferBytes() const;
  /// Reserves memory to buffer more of the response. Returns false if it can't be buffered.
  bool reserveBuffer();
  void fail(AttemptOutcome Outcome, const std::string &Detail);
  void evaluateResponse();
  void reportEnd(AttemptOutcome Outcome, const std::string &Detail);

  const AttemptResources &Resources;
  std::shared_ptr<MemoryAccount> Memory;
  AttemptListener &Listener;
  SendAttempt Command;
  std::unique_ptr<HttpCall> Call;
  std::string RequestId;
  ResponseHead Head;
  std::string Body;
  /// Of a short response.
  MemoryCharge Charge;
  /// Of a long response.
  std::unique_ptr<BodyReservation> Reservation;
  /// Bytes of the response body that have arrived.
  std::size_t ReceivedBytes = 0;
  ResponseMetadata Metadata;
  /// Time for which the target asks to wait, whether or not the rest of its response arrives.
  std::optional<Duration> RetryAfter;
  bool IsReceivingFaster = false;
  bool IsStreaming = false;
};

} // namespace anvilsaddle
