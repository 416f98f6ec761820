#pragma once

#include "transport/GlibPointers.h"

#include <functional>

#include <gio/gio.h>

namespace anvilsaddle {

/// True if the other side has closed its sending side and nothing more waits to be read.
bool isAtEnd(GSocket *Socket);

/// Notices that a caller closed its connection while the HTTP library does not read from it. A
/// caller that closes only its sending side counts as gone as well. Not thread-safe.
class CallerWatch {
public:
  /// `OnGone` is called at most once and may destroy the watch.
  CallerWatch(GSocket *Socket, std::function<void()> OnGone);
  ~CallerWatch();
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

private:
  static gboolean onReadable(GSocket *Socket, GIOCondition Condition, gpointer Data);

  std::function<void()> OnGone;
  GSource *Source;
};

} // namespace anvilsaddle
