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
  /// there is none. Silent means that it has no unread data.
  GObjectPointer<GSocket> takeIdle(const Endpoint &Destination, Duration MaxIdle);
  /// Keeps a connection for `Lifetime`. Precondition: the response on it was read to its end.
  void addIdle(const Endpoint &Destination, GObjectPointer<GSocket> Connection, Duration Lifetime);
  /// Closes all idle connections to a destination, because one of them turned out to be broken.
  void closeAll(const Endpoint &Destination);
  std::size_t size() const;

private:
  struct IdleConnection {
    GObjectPointer<GSocket> Connection;
    TimePoint Since;
    TimePoint ExpiresAt;
  };

  static gboolean onSweep(gpointer Data);
  bool isUsable(const IdleConnection &Each) const;

  const Clock &Time;
  std::map<Endpoint, std::vector<IdleConnection>> Connections;
  guint SweepTimer;
};

} // namespace anvilsaddle
