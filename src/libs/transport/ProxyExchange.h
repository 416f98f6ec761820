#pragma once

#include "coordination/Effect.h"
#include "coordination/EntryNode.h"
#include "coordination/Refusal.h"
#include "transport/CallerBody.h"
#include "transport/CallerWatch.h"
#include "transport/GlibPointers.h"
#include "transport/ProxyHeaders.h"
#include "transport/TargetCall.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <libsoup/soup.h>

namespace anvilsaddle {

class Clock;
class ForwardHeaders;
class TargetConnections;

/// What an exchange reports of its request.
class ExchangeListener {
public:
  virtual ~ExchangeListener() = default;

  /// True if the answer shall go to the caller.
  virtual bool onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter) = 0;
  virtual void onAttemptEnd(RequestNumber Request, const AttemptReport &Report) = 0;
  /// The caller left, or its request turned out to be invalid, while no attempt was running.
  virtual void onCallerGone(RequestNumber Request) = 0;
  /// The exchange is over and may be destroyed.
  virtual void onExchangeDone(RequestNumber Request) = 0;
};

/// One request of a caller: sends it to targets or another entry as told and streams the answer
/// back. Not thread-safe.
class ProxyExchange final : private TargetCallListener {
public:
  /// `RequestId` goes to the target. With `BodyFollows` the body has not arrived
  /// yet and is passed on while it arrives; otherwise the whole body has been read.
  /// Precondition: connections, clock, forward headers and listener outlive the exchange.
  ProxyExchange(RequestNumber Number, std::string RequestId, SoupServerMessage *Caller,
                RequestHead Head, bool BodyFollows, std::int64_t MaxBodyBytes,
                TargetConnections &Connections, const ForwardHeaders &Forwarding, const Clock &Time,
                ExchangeListener &Listener);
  ~ProxyExchange() override;
  ProxyExchange(const ProxyExchange &) = delete;
  ProxyExchange &operator=(const ProxyExchange &) = delete;

  /// Precondition: no attempt is running and no answer has started.
  void startAttempt(const StartAttempt &Attempt);
  /// Precondition: as startAttempt().
  void startForward(const StartForward &Forward);
  /// Precondition: no attempt is running and no answer has started.
  void refuse(const Refusal &Answer);

private:
  static void onChunkWritten(SoupServerMessage *Message, gpointer Data);
  static void onCallerFinished(SoupServerMessage *Message, gpointer Data);
  static void onBodyRead(SoupServerMessage *Message, gpointer Data);
  static gboolean onDeadline(gpointer Data);

  void onCallHead(const AnswerHead &Head) override;
  void onCallBytes(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

  void startCall(const Endpoint &Destination, TimePoint Deadline, std::vector<HeaderField> Added);
  void setBody(TargetRequest &Next) const;
  bool keepsAnswer() const;
  void setAnswerHead();
  void setAnswerEncoding();
  void finishKeptAnswer();
  void endAttempt(AttemptOutcome Outcome);
  void streamBody();
  void watchCaller();
  void onBodyProblem(CallerBody::Problem What);
  void endExchange();

  GObjectPointer<SoupServerMessage> Caller;
  RequestHead Head;
  std::int64_t MaxBodyBytes;
  TargetConnections &Connections;
  const ForwardHeaders &Forwarding;
  const Clock &Time;
  ExchangeListener &Listener;
  RequestNumber Number;
  std::string RequestId;
  std::unique_ptr<CallerBody> Body;
  std::unique_ptr<CallerWatch> Watch;

  std::unique_ptr<TargetCall> Call;
  guint DeadlineTimer = 0;
  TimePoint Started;
  Duration FirstByte{0};
  bool DeadlinePassed = false;
  bool Forwarded = false;
  AnswerHead Answer;
  bool ResetOnFailure = false;
  std::optional<RunOutcome> PeerOutcome;
  /// A short answer, kept until it is complete.
  std::string Kept;

  bool AnswerStarted = false;
  bool Answered = false;
  bool Done = false;
};

} // namespace anvilsaddle
