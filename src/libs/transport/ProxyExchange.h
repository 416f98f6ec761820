#pragma once

#include "coordination/Effect.h"
#include "coordination/EntryNode.h"
#include "coordination/Refusal.h"
#include "transport/GlibPointers.h"

#include <functional>
#include <memory>

#include <libsoup/soup.h>

namespace anvilsaddle {

class Clock;

/// What an exchange reports of its request.
class ExchangeListener {
public:
  virtual ~ExchangeListener() = default;

  /// True if the answer shall go to the caller.
  virtual bool onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter) = 0;
  virtual void onAttemptEnd(RequestNumber Request, const AttemptReport &Report) = 0;
  virtual void onCallerGone(RequestNumber Request) = 0;
  /// The exchange is over and may be destroyed.
  virtual void onExchangeDone(RequestNumber Request) = 0;
};

/// One request of a caller: sends it to targets as told and streams the answer back. Not
/// thread-safe.
class ProxyExchange {
public:
  /// Precondition: session, clock and listener outlive the exchange; the request body is complete.
  ProxyExchange(SoupServerMessage *Caller, SoupSession *Session, const Clock &Time,
                ExchangeListener &Listener);
  ~ProxyExchange();
  ProxyExchange(const ProxyExchange &) = delete;
  ProxyExchange &operator=(const ProxyExchange &) = delete;

  void setNumber(RequestNumber Request) { this->Number = Request; }
  /// Precondition: no attempt is running and no answer has started.
  void startAttempt(const StartAttempt &Attempt);
  /// Precondition: no answer has started.
  void refuse(const Refusal &Answer);

private:
  struct Attempt;

  static void onSent(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onRead(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onChunkWritten(SoupServerMessage *Message, gpointer Data);
  static void onCallerFinished(SoupServerMessage *Message, gpointer Data);
  static gboolean onDeadline(gpointer Data);

  void readMore();
  void relayHead();
  void endAttempt(AttemptOutcome Outcome);
  void abortAnswer();

  GObjectPointer<SoupServerMessage> Caller;
  SoupSession *Session;
  const Clock &Time;
  ExchangeListener &Listener;
  RequestNumber Number = 0;
  std::shared_ptr<Attempt> Current;
  bool CallerGone = false;
  bool Answered = false;
};

/// Writes a refusal as the answer to a caller.
void writeRefusal(SoupServerMessage *Caller, const Refusal &Answer);

} // namespace anvilsaddle
