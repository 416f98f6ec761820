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

class TargetConnections;

/// Receives the answer of a call. Each function may destroy the call.
class TargetCallListener {
public:
  virtual ~TargetCallListener() = default;

  virtual void onCallHead(const ResponseHead &Head) = 0;
  /// One part of the body, answering readMore(); `IsEnd` is set with the last part, which may be
  /// empty, of a complete body.
  virtual void onCallBytes(std::string Bytes, bool IsEnd) = 0;
  /// The connection failed or the answer is not complete. Nothing follows.
  virtual void onCallFailed(const std::string &Reason) = 0;
};

/// A request as it is sent.
struct TargetRequest {
  Endpoint Destination;
  /// Request line and headers up to the empty line; framing headers match the body.
  std::string Head;
  /// True for the method HEAD.
  bool IsHead = false;
  std::string Body;
  /// An open connection is taken only if it was used within this time.
  Duration MaxIdle{0};
  /// A new connection whose other end falls silent is given up within seconds, also while an answer
  /// is awaited that may take long.
  bool DetectSilence = false;
  /// A new connection that takes longer is given up; zero if there is no limit.
  Duration ConnectLimit{0};
};

/// One HTTP/1.1 request on an idle or new connection. Puts the request on one connection only and
/// never repeats it. Destroying the call closes the connection, which cancels the request. Not
/// thread-safe.
class TargetCall {
public:
  /// Precondition: connections and listener outlive the call.
  TargetCall(TargetConnections &Connections, TargetRequest Request, TargetCallListener &Listener);
  ~TargetCall();
  TargetCall(const TargetCall &) = delete;
  TargetCall &operator=(const TargetCall &) = delete;

  /// Reports come in later iterations of the main loop.
  void send();
  /// Asks for the next part of the body. Precondition: onCallHead() came, and no part is pending.
  /// May report at once.
  void readMore();
  /// Passes over an answer that belongs to another request and waits for the next one.
  /// Precondition: called from onCallHead() for an answer whose end its framing tells; readMore()
  /// must not follow.
  void skipAnswer();
  /// False only if no byte of the request left this process.
  bool isSent() const { return this->Sent; }
  /// The connection had served other requests before.
  bool isReused() const { return this->Reused; }

private:
  enum class State { Connecting, AwaitingHead, Idle, AwaitingBody, Skipping, Ended };

  static gboolean onFailureLater(gpointer Data);
  static gboolean onConnectLimit(gpointer Data);

  std::string connect();
  void startWatch();
  void failLater(std::string Reason);
  void fail(const std::string &Reason);
  void onReady(GIOCondition Condition);
  void write();
  void read();
  void parse();
  void deliverBody();
  void skipBody();
  void updateWatch();
  Duration idleLifetime() const;

  TargetConnections &Connections;
  TargetRequest Request;
  TargetCallListener &Listener;
  std::unique_ptr<ResponseParser> Parser;
  GObjectPointer<GSocket> Socket;
  std::unique_ptr<SocketWatch> Watch;
  guint FailureTimer = 0;
  guint ConnectTimer = 0;
  std::string FailureReason;
  State Now = State::Connecting;
  std::string Output;
  std::size_t Written = 0;
  bool WriteFailed = false;
  bool Sent = false;
  bool Reused = false;
  int Skipped = 0;
};

} // namespace anvilsaddle
