#pragma once

#include "protocol/ForwardMark.h"
#include "protocol/HttpMessage.h"
#include "state/Time.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

class HttpConnection;

/// One request of a caller and its answer. It belongs to its connection and ends with end(),
/// respond() or abort(), or when the handler is told that the caller left; the handler must not use
/// it after that. Answers of one connection go out in the order of the requests. Not thread-safe.
class HttpExchange {
public:
  HttpExchange(HttpConnection &Owner, RequestHead Head, std::string Body, TimePoint Received);
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const RequestHead &head() const { return this->Request; }
  /// Takes the terms of an entry that passed the request on out of the head; nothing if there are
  /// none, or none that can be read.
  std::optional<ForwardTerms> takeForwardTerms() { return takeForwardMark(this->Request.Fields); }
  const std::string &body() const { return this->RequestBody; }
  /// Time at which the whole request had arrived.
  TimePoint received() const { return this->Time; }

  /// Sends a whole answer.
  void respond(ResponseHead Head, std::string_view Body);
  /// Sends a whole answer of this entry's own.
  void respondText(int Status, const char *ContentType, std::string_view Text);
  /// Begins an answer whose body follows in parts.
  void begin(ResponseHead Head);
  /// Precondition: begin() was called.
  void addBody(std::string_view Text);
  /// Completes the answer. Precondition: begin() was called.
  void end();
  /// Closes the connection in such a way that the answer can't look complete.
  void abort();
  /// Bytes that the caller has not taken yet.
  std::size_t backlog() const { return this->Output.size(); }
  /// Is called once, when all bytes so far have been handed to the network.
  void setDrained(std::function<void()> Callback) { this->Drained = std::move(Callback); }

private:
  friend class HttpConnection;

  void appendHead(ResponseHead Head);
  void appendBody(std::string_view Text);

  HttpConnection &Owner;
  RequestHead Request;
  std::string RequestBody;
  TimePoint Time;
  std::string Output;
  BodyFraming Framing = BodyFraming::Length;
  /// The handler may still use the exchange.
  bool Pending = true;
  bool Complete = false;
  bool CloseAfter = false;
  std::function<void()> Drained;
};

/// Receives the requests of an HttpServer. Each function may answer at once. Not thread-safe.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// The whole request has arrived. The exchange must be ended at some time.
  virtual void onRequest(HttpExchange &Exchange) = 0;
  /// The caller left before the answer was complete; the exchange must not be used any more.
  virtual void onCallerGone(HttpExchange &Exchange) = 0;
};

} // namespace anvilsaddle
