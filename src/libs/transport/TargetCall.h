#pragma once

#include "coordination/Effect.h"
#include "transport/AnswerParser.h"
#include "transport/GlibPointers.h"

#include <cstddef>
#include <string>

#include <gio/gio.h>

namespace anvilsaddle {

class BodySource;
class TargetConnections;

/// Receives the answer of a call. Each function may destroy the call.
class TargetCallListener {
public:
  virtual ~TargetCallListener() = default;

  virtual void onCallHead(const AnswerHead &Head) = 0;
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
  /// Follows `Body` if set; must outlive the call.
  BodySource *Rest = nullptr;
  /// True if `Rest` has no length and is sent in chunks.
  bool Chunked = false;
};

/// One HTTP/1.1 request to a target or another entry on an idle or new connection. Puts the request
/// on one connection only and never repeats it: the HTTP library of the server side is not used,
/// because it resends requests and takes truncated chunked answers for complete ones. Destroying
/// the call closes the connection. Not thread-safe.
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
  /// False only if no byte of the request left this process.
  bool isSent() const { return this->Sent; }
  /// Status of the answer; 0 if none arrived.
  int status() const { return this->Parser.head().Status; }

private:
  enum class State { Connecting, AwaitingHead, Idle, AwaitingBody, Ended };

  static gboolean onReady(GSocket *Socket, GIOCondition Condition, gpointer Data);
  static gboolean onFailureLater(gpointer Data);

  std::string connect();
  void failLater(std::string Reason);
  void fail(const std::string &Reason);
  void watch(GIOCondition Condition);
  void fillOutput();
  void write();
  void read();
  void parse();
  void deliverBody();
  void updateWatch();

  TargetConnections &Connections;
  TargetRequest Request;
  TargetCallListener &Listener;
  AnswerParser Parser;
  GObjectPointer<GSocket> Socket;
  GSource *Source = nullptr;
  GIOCondition Watched = static_cast<GIOCondition>(0);
  guint FailureTimer = 0;
  std::string FailureReason;
  State Now = State::Connecting;
  std::string Output;
  std::size_t Written = 0;
  bool BodyEnded = false;
  bool WriteFailed = false;
  bool Sent = false;
};

} // namespace anvilsaddle
