#pragma once

#include "protocol/RequestParser.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"
#include "transport/HttpExchange.h"
#include "transport/SocketWatch.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <gio/gio.h>

namespace anvilsaddle {

class HttpServer;

/// One connection of a caller. Reads requests, hands them to the handler, and writes the answers in
/// the order of the requests. Requests that may be repeated are handed on before those ahead of
/// them are answered. Not thread-safe.
class HttpConnection {
public:
  /// Precondition: the server outlives the connection.
  HttpConnection(HttpServer &Server, GObjectPointer<GSocket> Socket, TimePoint Now);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// No request is pending and no bytes wait.
  bool isIdle() const;
  TimePoint lastActivity() const { return this->LastActivity; }
  /// Ends an idle connection, a request that arrives too slowly, and a close that takes too long.
  void checkTimeouts(TimePoint Now);
  /// Closes the connection in order once all answers are written.
  void closeIfIdle();

private:
  friend class HttpExchange;

  enum class State {
    Open,
    /// All is written; waits for the caller's end, so that a reset doesn't destroy the last answer.
    Lingering,
    Closed
  };

  bool shouldCloseAfter(const HttpExchange &Exchange) const;
  void flush();
  void reset();

  void onReady(GIOCondition Condition);
  /// Returns false if the caller left.
  bool readAvailable();
  void parse();
  void rejectRequest(int Status, const std::string &Text);
  void write();
  bool completeFrontExchange();
  void updateWatch();
  void startLingering();
  void close();

  HttpServer &Server;
  GObjectPointer<GSocket> Socket;
  SocketWatch Watch;
  RequestParser Parser;
  std::deque<std::unique_ptr<HttpExchange>> Exchanges;
  TimePoint LastActivity;
  /// Arrival of the first byte of a request that is not complete.
  TimePoint RequestStarted{};
  State CurrentState = State::Open;
  bool ParseFailed = false;
  bool IsFlushing = false;
  bool ContinueSent = false;
};

} // namespace anvilsaddle
