#pragma once

#include "protocol/ResponseParser.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"
#include "transport/SocketWatch.h"

#include <cstddef>
#include <memory>
#include <string>

#include <gio/gio.h>

namespace anvilsaddle {

class ConnectionPool;

/// Receives the answer of a call. Each function may destroy the call.
class HttpCallListener {
public:
  virtual ~HttpCallListener() = default;

  virtual void onResponseHead(const ResponseHead &Head) = 0;
  /// One part of the body, answering readMore(); `IsEnd` is set with the last part, which may be
  /// empty, of a complete body.
  virtual void onResponseBody(std::string Bytes, bool IsEnd) = 0;
  /// The connection failed or the answer is not complete. Nothing follows.
  virtual void onCallFailed(const std::string &Reason) = 0;
};

/// A request as it is sent.
struct OutgoingRequest {
  Endpoint Destination;
  /// Request line and headers up to the empty line; framing headers match the body.
  std::string Head;
  /// True for the method HEAD.
  bool IsHead = false;
  std::string Body;
  /// An open connection is taken only if it was used within this time.
  Duration MaxIdleTime{0};
  /// A new connection whose other end falls silent is given up within seconds, also while an answer
  /// is awaited that may take long.
  bool DetectDeadPeer = false;
  /// A new connection that takes longer is given up; zero if there is no limit.
  Duration ConnectTimeout{0};
};

/// One HTTP/1.1 request on an idle or new connection. Puts the request on one connection only and
/// never repeats it. Destroying the call closes the connection, which cancels the request. Not
/// thread-safe.
class HttpCall {
public:
  /// Precondition: connections and listener outlive the call.
  HttpCall(ConnectionPool &Pool, OutgoingRequest Request, HttpCallListener &Listener);
  ~HttpCall();
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;

  /// Reports come in later iterations of the main loop.
  void send();
  /// Asks for the next part of the body. Precondition: onCallHead() came, and no part is pending.
  /// May report at once.
  void readMore();
  /// Passes over an answer that belongs to another request and waits for the next one.
  /// Precondition: called from onCallHead() for an answer whose end its framing tells; readMore()
  /// must not follow.
  void skipResponse();
  /// False only if no byte of the request left this process.
  bool hasStartedSending() const { return this->StartedSending; }
  /// The connection had served other requests before.
  bool isReused() const { return this->Reused; }

private:
  enum class State { Connecting, AwaitingHead, Paused, AwaitingBody, Skipping, Ended };

  static gboolean onScheduledFailure(gpointer Data);
  static gboolean onConnectTimeout(gpointer Data);

  std::string connect();
  void startWatch();
  void scheduleFailure(std::string Reason);
  void fail(const std::string &Reason);
  void onReady(GIOCondition Condition);
  void write();
  void read();
  void parse();
  void deliverBody();
  void discardBody();
  void updateWatch();
  Duration idleLifetime() const;

  ConnectionPool &Pool;
  OutgoingRequest Request;
  HttpCallListener &Listener;
  std::unique_ptr<ResponseParser> Parser;
  GObjectPointer<GSocket> Socket;
  std::unique_ptr<SocketWatch> Watch;
  guint FailureTimer = 0;
  guint ConnectTimer = 0;
  std::string FailureReason;
  State CurrentState = State::Connecting;
  std::string Output;
  std::size_t Written = 0;
  bool WriteFailed = false;
  bool StartedSending = false;
  bool Reused = false;
  int SkippedResponses = 0;
};

} // namespace anvilsaddle
