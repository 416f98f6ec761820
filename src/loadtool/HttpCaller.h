#pragma once

#include "transport/GlibPointers.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Value type.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  /// Credential without the word Bearer; empty for none.
  std::string Credential;
  std::string IdempotencyKey;
  std::uint32_t BodyBytes = 0;

  auto operator<=>(const HttpCall &) const = default;
};

/// Value type. The status is 0 if no complete answer arrived.
struct HttpAnswer {
  unsigned Status = 0;
  std::string Body;
  std::string Outcome;
  std::string Entries;
  std::string Ticket;
  /// Seconds; 0 if absent.
  unsigned RetryAfter = 0;

  auto operator<=>(const HttpAnswer &) const = default;
};

/// Sends HTTP requests on the default GLib main context. Not thread-safe.
class HttpCaller {
public:
  using Callback = std::function<void(const HttpAnswer &)>;

  HttpCaller();

  void send(const HttpCall &Call, Callback Done);
  /// Sends a request and runs the main context until its answer.
  HttpAnswer sendAndWait(const HttpCall &Call);

private:
  GObjectPointer<SoupSession> Session;
};

} // namespace anvilsaddle
