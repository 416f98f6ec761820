#pragma once

#include "coordination/memory/MemoryAccount.h"
#include "protocol/UnansweredRequest.h"
#include "state/Configuration.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/DeferredDeletion.h"
#include "transport/GlibPointers.h"
#include "transport/HttpExchange.h"
#include "transport/ScheduledCall.h"
#include "transport/SocketWatch.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gio/gio.h>

namespace anvilsaddle {

class Clock;
class HttpConnection;

/// Open connections of several servers together, and their limit.
struct SharedConnectionCount {
  std::size_t Open = 0;
  std::size_t Max = 0;
};

/// HTTP/1.1 server on one address. Not thread-safe.
class HttpServer {
public:
  /// Precondition: handler and clock outlive the server. Without an account, memory is not limited.
  HttpServer(HttpHandler &Handler, const Clock &Time, std::size_t MaxConnections,
             std::shared_ptr<MemoryAccount> Memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Holds the connections of all callers that reconnect at the same time after another entry
  /// failed. With a full queue, each further caller waits a second for its connection.
  static constexpr int CallerBacklog = 1024;

  /// Returns an error message, or an empty string on success. Port 0 selects any free port.
  /// `Backlog` is the number of connections that may wait to be accepted.
  std::string listen(const Endpoint &ListenAddress, int Backlog = CallerBacklog);
  /// The bound port; 0 before listen().
  std::uint16_t port() const { return this->BoundPort; }
  /// Sets the limits. The sizes apply to connections that are accepted from now on, the idle
  /// timeout to open ones from their next response on.
  void setLimits(const CallerLimits &Limits) { this->ConnectionLimits = Limits; }
  /// Limits the connections of all servers with the same count together. Precondition: the server
  /// has no connections.
  void shareConnectionLimit(std::shared_ptr<SharedConnectionCount> Count) {
    this->SharedCount = std::move(Count);
  }
  /// From now on each connection is closed after the response to its last request.
  void disableKeepAlive() { this->KeepAliveDisabled = true; }
  /// Accepts the connections that are already established, then stops accepting and closes the idle
  /// ones. Requests that have already arrived are read first.
  void stopListening();
  /// Applies the timeouts of all connections, which otherwise happens a few times per second.
  void checkTimeouts();
  std::size_t connectionCount() const { return this->Connections.size(); }
  /// Requests whose connection ended before the response was complete.
  const UnansweredCounts &unanswered() const { return this->Unanswered; }

private:
  friend class HttpConnection;

  static gboolean onTimeoutTimer(gpointer Data);

  const CallerLimits &limits() const { return this->ConnectionLimits; }
  HttpHandler &handler() { return this->Handler; }
  void countUnanswered(CloseReason Reason, RequestStage Stage) {
    this->Unanswered.add(Reason, Stage);
  }
  const std::shared_ptr<MemoryAccount> &memory() const { return this->Memory; }
  /// Connections that make no progress are ended earlier.
  bool isNearConnectionLimit() const {
    return this->Connections.size() * 4 >= this->MaxConnections * 3;
  }
  bool isKeepAliveDisabled() const { return this->KeepAliveDisabled; }
  bool hasStoppedListening() const { return this->StoppedListening; }
  TimePoint now() const;
  void acceptPending(int MaxCount);
  bool acceptOne();
  void enforceConnectionLimit();
  /// True if no connection may be accepted. Those that are closing may exceed the limit by a few,
  /// so that a caller does not wait for the end of an idle one.
  bool isFull() const {
    return this->Memory->isOverLimit() || this->SharedCount->Open >= this->SharedCount->Max ||
           this->Connections.size() >=
               this->MaxConnections + std::max<std::size_t>(8, this->MaxConnections / 8);
  }
  /// Returns freed memory to the system, because the heap keeps it while large bodies are allocated
  /// outside of the heap.
  void returnFreedMemory();
  /// Tells the connections soon what was decided about the memory that they wait for.
  void scheduleMemoryDecisions();
  void pauseAccepting();
  void resumeAccepting();
  /// Refuses what connections have sent, those that hold most first, until the limit of the memory
  /// is kept.
  void endLargestInputs();
  /// Ends readers that take nothing, as long as their memory is needed.
  void endSlowReaders(TimePoint Now);
  /// The connections at the time of the call; a later removal does not invalidate the pointers
  /// before control returns to the main loop.
  std::vector<HttpConnection *> connections() const;
  void remove(HttpConnection &Connection);

  HttpHandler &Handler;
  const Clock &Time;
  std::size_t MaxConnections;
  std::shared_ptr<MemoryAccount> Memory;
  std::shared_ptr<SharedConnectionCount> SharedCount;
  CallerLimits ConnectionLimits;
  std::uint16_t BoundPort = 0;
  bool KeepAliveDisabled = false;
  bool StoppedListening = false;
  bool IsAcceptingPaused = false;
  UnansweredCounts Unanswered;
  GObjectPointer<GSocket> Listener;
  std::unique_ptr<SocketWatch> Watch;
  std::set<std::unique_ptr<HttpConnection>> Connections;
  /// Closed connections that may still have functions on the call stack.
  DeferredDeletion<HttpConnection> Removed;
  guint TimeoutTimer;
  ScheduledCall MemoryDecisions;
};

} // namespace anvilsaddle
