#include "transport/ReceiveBuffer.h"

#include <sys/socket.h>

namespace anvilsaddle {

void setReceiveBuffer(GSocket *Socket, ReceiveBuffer Size) {
  g_socket_set_option(Socket, SOL_SOCKET, SO_RCVBUF, static_cast<gint>(Size), nullptr);
}

} // namespace anvilsaddle
