#pragma once

#include "state/Time.h"

#include <functional>

#include <glib.h>

namespace anvilsaddle {

/// One pending call from the main loop. Owns the event source: destroying the object, or scheduling
/// another call, cancels the pending one, so that no source outlives the object that it calls. The
/// function may destroy this object. Not thread-safe; uses the default main context.
class ScheduledCall {
public:
  ScheduledCall() = default;
  ~ScheduledCall() { this->cancel(); }
  ScheduledCall(const ScheduledCall &) = delete;
  ScheduledCall &operator=(const ScheduledCall &) = delete;

  /// Calls the function in the next iteration of the main loop.
  void callNext(std::function<void()> NewFunction);
  /// Calls the function once, after the delay. Precondition: the delay is not negative.
  void callAfter(Duration Delay, std::function<void()> NewFunction);
  /// Does nothing if no call is pending.
  void cancel();
  bool isPending() const { return this->SourceId != 0; }

private:
  static gboolean dispatch(gpointer Data);

  std::function<void()> Function;
  /// Zero if no call is pending.
  guint SourceId = 0;
};

} // namespace anvilsaddle
