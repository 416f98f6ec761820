#include "loadtool/DueTimer.h"

#include <algorithm>
#include <cstdint>
#include <system_error>
#include <utility>

#include <cerrno>
#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace anvilsaddle {

DueTimer::DueTimer(std::function<void()> OnDue)
    : OnDue(std::move(OnDue)),
      Descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)), Source(0) {
  if (this->Descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "timerfd_create");
  }
  this->Source = g_unix_fd_add(this->Descriptor, G_IO_IN, onReadable, this);
}

DueTimer::~DueTimer() {
  g_source_remove(this->Source);
  close(this->Descriptor);
}

void DueTimer::set(TimePoint Due) {
  constexpr std::int64_t NanosecondsPerMicrosecond = 1000;
  const std::int64_t Microseconds = std::max<std::int64_t>(1, Due.time_since_epoch().count());
  itimerspec Setting{};
  Setting.it_value.tv_sec = Microseconds / G_USEC_PER_SEC;
  Setting.it_value.tv_nsec = Microseconds % G_USEC_PER_SEC * NanosecondsPerMicrosecond;
  timerfd_settime(this->Descriptor, TFD_TIMER_ABSTIME, &Setting, nullptr);
}

gboolean DueTimer::onReadable(gint Descriptor, GIOCondition, gpointer Data) {
  std::uint64_t Expirations = 0;
  if (read(Descriptor, &Expirations, sizeof(Expirations)) == sizeof(Expirations)) {
    static_cast<DueTimer *>(Data)->OnDue();
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
