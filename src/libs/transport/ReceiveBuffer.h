#pragma once

#include <gio/gio.h>

namespace anvilsaddle {

/// Size of a socket's receive buffer. Bytes that have arrived and are not read count as memory of
/// the VM, so that a connection has the small buffer until memory for more is granted. The kernel
/// takes up to twice the size in unread bytes.
enum class ReceiveBuffer {
  /// Holds an ordinary request or response.
  Small = 8 * 1024,
  /// Enough for 1 MB/s over the longest round trips between regions (60 ms).
  Large = 64 * 1024,
};

/// Precondition: the socket is open. A listening socket passes its buffer size on to the
/// connections that it accepts, also before they are accepted. Not thread-safe.
void setReceiveBuffer(GSocket *Socket, ReceiveBuffer Size);

} // namespace anvilsaddle
