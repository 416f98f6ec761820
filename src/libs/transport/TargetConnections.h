#pragma once

#include "coordination/Effect.h"
#include "state/Time.h"
#include "transport/GlibPointers.h"

#include <cstddef>
#include <map>
#include <vector>

#include <gio/gio.h>

namespace anvilsaddle {

class Clock;

/// Open connections to targets and other entries that no request uses. Not thread-safe.
class TargetConnections {
public:
  /// Precondition: the clock outlives this object.
  explicit TargetConnections(const Clock &Time);
  ~TargetConnections();
  TargetConnections(const TargetConnections &) = delete;
  TargetConnections &operator=(const TargetConnections &) = delete;

  /// The connection used last that is still open and silent; null if there is none.
  GObjectPointer<GSocket> take(const Endpoint &Destination);
  /// Precondition: the answer on the connection was read to its end.
  void keep(const Endpoint &Destination, GObjectPointer<GSocket> Connection);
  std::size_t size() const;

private:
  struct Idle {
    GObjectPointer<GSocket> Connection;
    TimePoint Since;
  };

  static gboolean onSweep(gpointer Data);
  bool isUsable(const Idle &Each) const;

  const Clock &Time;
  std::map<Endpoint, std::vector<Idle>> Connections;
  guint SweepTimer;
};

} // namespace anvilsaddle
