#pragma once

#include "state/Time.h"

#include <functional>

#include <glib.h>

namespace anvilsaddle {

/// Calls back on the default GLib main context once a due time is reached. GLib's own timeouts are
/// whole milliseconds, which is longer than many gaps between requests; timerfd counts in
/// nanoseconds. Not thread-safe.
class DueTimer {
public:
  explicit DueTimer(std::function<void()> OnDue);
  ~DueTimer();
  DueTimer(const DueTimer &) = delete;
  DueTimer &operator=(const DueTimer &) = delete;

  /// Replaces the due time. A time in the past is due at once.
  void set(TimePoint Due);

private:
  static gboolean onReadable(gint Descriptor, GIOCondition Condition, gpointer Data);

  std::function<void()> OnDue;
  int Descriptor;
  guint Source;
};

} // namespace anvilsaddle
