#pragma once

#include "transport/GlibPointers.h"

#include <memory>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Receives the answer of a call. Each function may destroy the call.
class TargetCallListener {
public:
  virtual ~TargetCallListener() = default;

  virtual void onCallHead() = 0;
  /// One part of the body, answering readMore(); empty at the end of a complete body.
  virtual void onCallBytes(GBytes *Bytes) = 0;
  /// The connection failed or the answer is not complete. Nothing follows.
  virtual void onCallFailed(const std::string &Reason) = 0;
};

/// One HTTP request to a target or another entry. Uses warm connections for every method, but puts
/// the request on at most one connection: the resends of the client library are stopped.
/// Destroying the call cancels it. Not thread-safe.
class TargetCall {
public:
  /// Precondition: session and listener outlive the call.
  TargetCall(SoupSession *Session, GObjectPointer<SoupMessage> Message,
             TargetCallListener &Listener);
  ~TargetCall();
  TargetCall(const TargetCall &) = delete;
  TargetCall &operator=(const TargetCall &) = delete;

  void send();
  /// Asks for the next part of the body. Precondition: onCallHead() came, and no part is pending.
  void readMore();
  /// Fails the call. The listener hears of it later.
  void cancel();
  /// False only if no byte of the request left this process.
  bool isSent() const;
  SoupMessage *message() const { return this->Message.get(); }

private:
  struct State;

  static void onSent(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onRead(GObject *Source, GAsyncResult *Result, gpointer Data);

  SoupSession *Session;
  GObjectPointer<SoupMessage> Message;
  std::shared_ptr<State> Shared;
};

/// Client session for calls: connects directly, decodes nothing, and answers no authentication
/// request.
GObjectPointer<SoupSession> newTargetSession();

} // namespace anvilsaddle
