#pragma once

#include <functional>

#include <glib.h>

namespace anvilsaddle {

/// Combines two sets of conditions. Thread-safe.
inline GIOCondition operator|(GIOCondition Left, GIOCondition Right) {
  return static_cast<GIOCondition>(static_cast<int>(Left) | static_cast<int>(Right));
}

/// Calls a function when a file descriptor is ready. The conditions can change at any time without
/// creating a new event source. The function may destroy the watch. Not thread-safe; uses the
/// thread-default main context.
class SocketWatch {
public:
  /// Watches for no condition until setConditions() is called. Precondition: the descriptor stays
  /// open while the watch exists.
  SocketWatch(int Descriptor, std::function<void(GIOCondition)> OnReady);
  ~SocketWatch();
  SocketWatch(const SocketWatch &) = delete;
  SocketWatch &operator=(const SocketWatch &) = delete;

  /// Replaces the conditions. Errors and hang-ups are reported in addition to any of them, and not
  /// without any.
  void setConditions(GIOCondition Conditions);

private:
  struct Source;

  static gboolean dispatch(GSource *Base, GSourceFunc Callback, gpointer Data);

  int Descriptor;
  std::function<void(GIOCondition)> OnReady;
  Source *WatchSource;
  GIOCondition ActiveConditions = static_cast<GIOCondition>(0);
};

} // namespace anvilsaddle
