#pragma once

#include "protocol/ResponseParser.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"
#include "transport/ReceiveBuffer.h"
#include "transport/ScheduledCall.h"
#include "transport/SocketWatch.h"

#include <cstddef>
#include <memory>
#include <string>

#include <gio/gio.h>

namespace anvilsaddle {

class ConnectionPool;

/// Receives the response of a call. Each function may destroy the call. Nothing is reported after
/// the last event.
class HttpCallListener {
public:
  virtual ~HttpCallListener() = default;

  virtual void onResponseHead(const ResponseHead &Head) = 0;
  /// The next bytes of the body, requested with readMore(). `IsEnd` is set with the last bytes of a
  /// complete body, which may be empty.
  virtual void onResponseBody(std::string Bytes, bool IsEnd) = 0;
  /// The connection failed or the response is incomplete. This is the last event.
  virtual void onCallFailed(const std::string &Reason) = 0;
};

/// A request in the form in which it is sent.
struct OutgoingRequest {
  Endpoint Destination;
  /// Request line and headers up to and including the empty line; the framing headers must match
  /// the body.
  std::string Head;
  /// True for the method HEAD, whose response has no body.
  bool IsHead = false;
  /// Null if the request has no body. Shared, because a large body must not be in memory once for
  /// each attempt that sends it.
  std::shared_ptr<const std::string> Body;
  /// An idle connection is reused only if its last use is not longer ago than this.
  Duration MaxIdleTime{0};
  /// Closes a new connection within seconds if the peer stops acknowledging, even while waiting for
  /// a response that may take long.
  bool DetectDeadPeer = false;
  /// Time limit for establishing a new connection; zero means no limit.
  Duration ConnectTimeout{0};
};

/// One HTTP/1.1 request to a target, an entry or the store, on an idle or a new connection. Sends
/// the request on one connection only and never retries. Destroying the call closes the connection,
/// which cancels the request. Not thread-safe.
class HttpCall {
public:
  /// Precondition: pool and listener outlive the call.
  HttpCall(ConnectionPool &Pool, OutgoingRequest Request, HttpCallListener &Listener);
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;

  /// The listener is called in later iterations of the main loop.
  void send();
  /// Lets more bytes of a long response arrive before they are read. Without this, the connection
  /// has a small receive buffer.
  void receiveFaster() { this->resizeReceiveBuffer(ReceiveBuffer::Large); }
  /// Requests the next bytes of the body. Precondition:
  /// onResponseHead() has been called, and no earlier request for bytes is pending. May call the
  /// listener immediately.
  void readMore();
  /// Discards a response that belongs to another request and waits for the next one. Precondition:
  /// called from onResponseHead() for a response whose framing marks its end; readMore() must not
  /// follow.
  void skipResponse();
  /// Closes the connection, which cancels the request. The listener is not called any more. May be
  /// called from the listener's functions and more than once.
  void cancel() { this->end(); }
  /// False only if no byte of the request left this process.
  bool hasStartedSending() const { return this->StartedSending; }
  /// The connection has carried other requests before.
  bool isReused() const { return this->Reused; }

private:
  enum class State { Connecting, AwaitingHead, Paused, AwaitingBody, Skipping, Ended };

  std::string connect();
  void resizeReceiveBuffer(ReceiveBuffer Size);
  void startWatch();
  /// Ends the call; the listener is told in the next iteration of the main loop, because its
  /// function may be on the call stack.
  void failLater(std::string Reason);
  /// Closes the connection. From now on, no source of the main loop calls this object.
  void end();
  void fail(const std::string &Reason);
  void onReady(GIOCondition Condition);
  void write();
  std::size_t bodySize() const { return this->Request.Body ? this->Request.Body->size() : 0; }
  /// True if the head and the body have been written completely.
  bool hasWrittenAll() const;
  /// Returns the number of bytes that the socket has accepted, or -1 and an error.
  gssize sendUnwritten(GError **Error);
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
  ScheduledCall PendingFailure;
  ScheduledCall ConnectTimer;
  State CurrentState = State::Connecting;
  /// Of the head and the body together.
  std::size_t BytesWritten = 0;
  ReceiveBuffer CurrentReceiveBuffer = ReceiveBuffer::Small;
  bool WriteFailed = false;
  bool StartedSending = false;
  bool Reused = false;
  int SkippedResponses = 0;
};

} // namespace anvilsaddle
