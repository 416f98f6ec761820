#pragma once

#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"

#include <cstddef>
#include <map>
#include <vector>

#include <gio/gio.h>

namespace anvilsaddle {

class Clock;

/// Open connections to targets that no request uses. Not thread-safe.
class ConnectionPool {
public:
  /// Precondition: the clock outlives this object.
  explicit ConnectionPool(const Clock &Time);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// The connection used last that is still open and silent, and was used within `MaxIdle`; null if
  /// there is none.
  GObjectPointer<GSocket> take(const Endpoint &Destination, Duration MaxIdle);
  /// Keeps a connection for `Lifetime`. Precondition: the answer on it was read to its end.
  void keep(const Endpoint &Destination, GObjectPointer<GSocket> Connection, Duration Lifetime);
  /// Closes all connections to a place, after one of them turned out to be broken.
  void drop(const Endpoint &Destination);
  std::size_t size() const;

private:
  struct Idle {
    GObjectPointer<GSocket> Connection;
    TimePoint Since;
    TimePoint Until;
  };

  static gboolean onSweep(gpointer Data);
  bool isUsable(const Idle &Each) const;

  const Clock &Time;
  std::map<Endpoint, std::vector<Idle>> Connections;
  guint SweepTimer;
};

} // namespace anvilsaddle
