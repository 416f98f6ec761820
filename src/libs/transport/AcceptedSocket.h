#pragma once

#include "transport/GlibPointers.h"

#include <cstddef>
#include <string>
#include <utility>

#include <gio/gio.h>

namespace anvilsaddle {

/// Socket of a connection that a server has accepted, and what the kernel holds for it. Not
/// thread-safe.
class AcceptedSocket {
public:
  /// Precondition: the socket is connected and does not block.
  explicit AcceptedSocket(GObjectPointer<GSocket> Socket) : Socket(std::move(Socket)) {}

  GSocket *get() const { return this->Socket.get(); }
  int descriptor() const { return g_socket_get_fd(this->Socket.get()); }
  /// Address and port of the caller; empty if the caller has disconnected.
  std::string callerAddress() const;
  /// Bytes that have arrived and were not read.
  std::size_t unreadBytes() const;
  bool hasUnreadBytes() const;
  /// Bytes that were written and that the caller's host has not acknowledged.
  std::size_t undeliveredBytes() const;
  /// Closing the socket from now on resets the connection.
  void resetOnClose();

private:
  GObjectPointer<GSocket> Socket;
};

} // namespace anvilsaddle
