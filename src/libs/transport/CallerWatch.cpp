#include "transport/CallerWatch.h"

#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace anvilsaddle {

bool isAtEnd(GSocket *Socket) {
  char Byte = 0;
  const ssize_t Count = recv(g_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

CallerWatch::CallerWatch(GSocket *Socket, std::function<void()> OnGone)
    : OnGone(std::move(OnGone)), Source(g_socket_create_source(Socket, G_IO_IN, nullptr)) {
  g_source_set_callback(this->Source, G_SOURCE_FUNC(onReadable), this, nullptr);
  g_source_attach(this->Source, g_main_context_get_thread_default());
}

CallerWatch::~CallerWatch() {
  g_source_destroy(this->Source);
  g_source_unref(this->Source);
}

gboolean CallerWatch::onReadable(GSocket *Socket, GIOCondition, gpointer Data) {
  auto &Self = *static_cast<CallerWatch *>(Data);
  // A pipelined request hides the end of the stream; the next write then finds the closed socket.
  if (!isAtEnd(Socket)) {
    return G_SOURCE_REMOVE;
  }
  std::exchange(Self.OnGone, nullptr)();
  return G_SOURCE_REMOVE;
}

} // namespace anvilsaddle
