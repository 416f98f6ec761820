#pragma once

#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

class Clock;
class ForwardHeaders;

/// Decides on the requests that a RequestServer receives.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;

  /// Refuses what the headers alone show to be impossible.
  virtual std::optional<Refusal> checkHead(const RequestHead &Head) = 0;
  /// Takes the request over or returns a refusal. `BodyFollows` is true if the body has not arrived
  /// yet; the handler must then take it over before it returns.
  virtual std::optional<Refusal> onRequest(SoupServerMessage *Message, RequestHead Head,
                                           bool BodyFollows) = 0;
};

/// Limits of a RequestServer. Value type.
struct RequestServerLimits {
  std::int64_t MaxBodyBytes = 16 << 20;
  /// Longest time without a complete request on an open connection.
  Duration HeadWait = std::chrono::seconds(60);
  /// Longest time for the body after the headers.
  Duration BodyWait = std::chrono::seconds(60);
  /// How often the waits are checked.
  Duration Sweep = std::chrono::seconds(1);

  auto operator<=>(const RequestServerLimits &) const = default;
};

/// HTTP server for requests to proxy. Refuses malformed and ambiguous requests, bounds sizes and
/// waits, reads short bodies before it hands a request on and hands longer ones on at once. Not
/// thread-safe.
class RequestServer {
public:
  /// With forward headers the server accepts only requests that another entry has sealed; without,
  /// it ignores such marks. Precondition: all references outlive the server.
  RequestServer(RequestServerLimits Limits, const ForwardHeaders *Peers, const Clock &Time,
                RequestHandler &Handler);
  ~RequestServer();
  RequestServer(const RequestServer &) = delete;
  RequestServer &operator=(const RequestServer &) = delete;

  /// Returns an error text, empty on success.
  std::string listen(const std::string &Address, std::uint16_t Port);
  /// From now on each answer closes its connection.
  void closeConnections();
  /// Adds a handler for requests without a body that this process answers itself.
  void addHandler(const char *Path, SoupServerCallback Callback, gpointer Data);

private:
  struct Active {
    /// When the connection is closed if the awaited part has not arrived; empty once it has.
    std::optional<TimePoint> Expiry;
    /// Set from the headers on, so that the decisions see one reading of them.
    std::optional<RequestHead> Head;
    bool Refused = false;
    bool Streamed = false;
  };

  static void onStarted(SoupServer *Server, SoupServerMessage *Message, gpointer Data);
  static void onFinished(SoupServerMessage *Message, gpointer Data);
  static void onDestroyed(gpointer Data, GObject *Message);
  static void onHeaders(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  static void onOwnHeaders(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                           GHashTable *Query, gpointer Data);
  static void onBody(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                     GHashTable *Query, gpointer Data);
  static gboolean onSweep(gpointer Data);

  Active &beginRequest(SoupServerMessage *Message);
  std::optional<Refusal> readHead(SoupServerMessage *Message, RequestHead &Head) const;
  void refuse(SoupServerMessage *Message, const Refusal &Answer) const;

  RequestServerLimits Limits;
  const ForwardHeaders *Peers;
  const Clock &Time;
  RequestHandler &Handler;
  GObjectPointer<SoupServer> Server;
  std::map<SoupServerMessage *, Active> Requests;
  guint SweepTimer = 0;
  bool Closing = false;
};

} // namespace anvilsaddle
