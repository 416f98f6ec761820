#pragma once

#include "coordination/memory/MemoryAccount.h"
#include "protocol/RequestParser.h"
#include "protocol/UnansweredRequest.h"
#include "state/Time.h"
#include "transport/AcceptedSocket.h"
#include "transport/DeliveryProgress.h"
#include "transport/GlibPointers.h"
#include "transport/HttpExchange.h"
#include "transport/ReceiveBuffer.h"
#include "transport/SocketWatch.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <gio/gio.h>

namespace anvilsaddle {

class HttpServer;

/// One connection of a caller. Reads requests, passes them to the handler and writes the responses
/// in the order of the requests. Pipelined requests run concurrently as long as all requests ahead
/// of them have safe methods and no response ahead of them may be streamed. Not thread-safe.
class HttpConnection {
public:
  /// Precondition: the server outlives the connection.
  HttpConnection(HttpServer &Server, GObjectPointer<GSocket> Socket, TimePoint Now);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// No request is pending or partly received.
  bool isIdle() const;
  TimePoint lastActivity() const { return this->LastActivity; }
  /// Applies the timeouts of idle connections, of requests that arrive too slowly and of lingering
  /// closes.
  void checkTimeouts(TimePoint Now);
  /// Closes the connection if it is idle and no request has arrived. May remove the connection from
  /// its server.
  void closeIfIdle(CloseReason Reason);
  /// Time without progress of a response that waits to be written; zero if none waits.
  Duration outputStalledFor(TimePoint Now) const;
  /// Bytes of responses that the caller has not taken.
  std::size_t heldOutput() const { return this->OutputCharge.bytes(); }
  /// Ends a connection whose caller does not take its response.
  void resetSlowReader();
  /// Memory of what was received and not passed to the handler, without granted bodies. Zero if it
  /// can't be freed because nothing follows the last request that was passed on.
  std::size_t heldInput() const;
  /// Frees what was received and not passed to the handler. A request that is received gets status
  /// 503; behind requests in progress, the connection is closed after their responses instead.
  void refuseInput();

private:
  friend class HttpExchange;

  enum class State {
    Open,
    /// All responses are written and the sending side is shut down. Waits for the caller to close,
    /// because an earlier reset could destroy the last response.
    Lingering,
    /// The connection is reset once the caller has the responses before the one that broke off.
    Resetting,
    Closed
  };

  bool shouldCloseAfter(const HttpExchange &Exchange) const;
  /// Applies the current idle timeout and returns the time for which the caller may reuse the
  /// connection while it is idle.
  std::chrono::seconds renewReuseTime();
  void flush();
  /// Resets the connection, so that the response that is being written looks incomplete. Waits
  /// until the caller has the responses before it, which a reset would destroy.
  void reset();
  void resetWith(CloseReason Reason);

  void onReady(GIOCondition Condition);
  /// Returns the reason if the caller disconnected.
  std::optional<CloseReason> readAvailable();
  void parse();
  /// True if the parser may go on to the next request while earlier ones are pending.
  bool mayParseNext() const;
  /// The size limits in force. No body gets more address space than all bodies together may take.
  static RequestParser::Limits parserLimits(const HttpServer &Server);
  /// Parses by the size limits in force.
  RequestParser::State parseNext();
  /// True if the next request waits for earlier responses although it may be pipelined.
  bool isNextHeldBack() const;
  /// Parses what has arrived of a body and reserves memory for what follows. Returns false if
  /// reading has to pause.
  bool receiveBody();
  /// Returns false if the memory for the rest of the body is not reserved yet.
  bool reserveBody();
  /// Lets more bytes of a large body arrive before they are read, or no longer.
  void resizeReceiveBuffer(ReceiveBuffer Size);
  /// The memory for the rest of the body was granted or refused.
  void onMemoryDecision();
  /// Frees memory for the complete request if the limit is exceeded. Returns false if this request
  /// was refused for that.
  bool makeRoom();
  /// Rejects the request for lack of memory.
  void refuseRequest();
  void pass();
  /// Rejects the request that is being received and reads no further ones.
  void rejectRequest(int Status, const std::string &Text,
                     std::optional<std::chrono::seconds> RetryAfter = std::nullopt);
  void respondRejected(ResponseHead Head, const std::string &Text);
  bool isTooSlow(TimePoint Now) const;
  void updateCharges();
  void updateInputCharges();
  /// Input is left in the socket: without memory for the body, or behind requests in progress.
  bool isReadingPaused() const;
  /// Frees what has been received and not been passed on.
  void discardInput();
  void write();
  /// Returns true if there may be more to write.
  bool onFrontWritten();
  void updateWatch();
  void startLingering(CloseReason Reason);
  /// Reports what stays unanswered and processes nothing more; the socket stays open.
  void stopServing(State Next, CloseReason Reason);
  /// True if a reset would destroy no response but the one that is being written.
  bool hasDeliveredEarlierResponses() const {
    return this->Delivery.hasDeliveredEarlierResponses(this->Socket.undeliveredBytes());
  }
  void close(CloseReason Reason);
  /// Reports all requests that the end of the connection leaves without a complete response.
  void reportUnanswered(CloseReason Reason);
  /// Reports the requests that were received and not passed to the handler.
  void reportInput(CloseReason Reason);
  void report(CloseReason Reason, RequestStage Stage, const RequestHead &Head);
  void reportUnreadBytes(CloseReason Reason);
  /// True if the caller's host has not acknowledged all bytes that were written.
  bool hasUndeliveredBytes() const { return this->Socket.undeliveredBytes() > 0; }

  HttpServer &Server;
  AcceptedSocket Socket;
  SocketWatch Watch;
  RequestParser Parser;
  /// Of the body that is being received; null before its head is complete.
  std::shared_ptr<BodyReservation> Reservation;
  MemoryCharge ConnectionCharge;
  MemoryCharge ExpectedCharge;
  MemoryCharge OutputCharge;
  MemoryCharge UnreadCharge;
  std::deque<std::unique_ptr<HttpExchange>> Exchanges;
  TimePoint LastActivity;
  /// The idle timeout by which the last response announced how long the connection may be reused.
  Duration IdleTimeout;
  /// Time at which bytes of a request were read last.
  TimePoint LastRead;
  /// Time at which bytes of a response were sent; nothing before the first response.
  std::optional<TimePoint> LastWrite;
  DeliveryProgress Delivery;
  /// Arrival of the first byte of the request that is being received.
  TimePoint RequestStarted{};
  State CurrentState = State::Open;
  ReceiveBuffer CurrentReceiveBuffer = ReceiveBuffer::Small;
  /// Valid in the states Lingering and Resetting.
  CloseReason LingeringReason = CloseReason::CallerClosed;
  bool HasReportedUnread = false;
  /// A request was malformed or too slow; the connection reads no further ones.
  bool IsRejected = false;
  /// Nothing is read until memory for the body is granted.
  bool IsPaused = false;
  /// The next request is held back behind a response that may be streamed, or until the memory for
  /// its response is free, and keeps its deadline.
  bool IsHeldBack = false;
  bool IsFlushing = false;
  bool ContinueSent = false;
  /// The handler has been asked about the head of the request that is being received.
  bool HasCheckedHead = false;
};

} // namespace anvilsaddle
