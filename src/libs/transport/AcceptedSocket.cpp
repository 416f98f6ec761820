#include "transport/AcceptedSocket.h"

#include "state/Endpoint.h"

#include <algorithm>
#include <memory>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace anvilsaddle {

std::string AcceptedSocket::callerAddress() const {
  const GObjectPointer<GSocketAddress> Remote(
      g_socket_get_remote_address(this->Socket.get(), nullptr));
  if (!Remote) {
    return {};
  }
  auto *const Internet = G_INET_SOCKET_ADDRESS(Remote.get());
  const std::unique_ptr<char, GFree> Address(
      g_inet_address_to_string(g_inet_socket_address_get_address(Internet)));
  return toString(Endpoint{Address.get(), g_inet_socket_address_get_port(Internet)});
}

std::size_t AcceptedSocket::unreadBytes() const {
  int Bytes = 0;
  ioctl(this->descriptor(), FIONREAD, &Bytes);
  return static_cast<std::size_t>(std::max(0, Bytes));
}

bool AcceptedSocket::hasUnreadBytes() const {
  char Byte = 0;
  return recv(this->descriptor(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::size_t AcceptedSocket::undeliveredBytes() const {
  int Bytes = 0;
  ioctl(this->descriptor(), SIOCOUTQ, &Bytes);
  return static_cast<std::size_t>(std::max(0, Bytes));
}

void AcceptedSocket::resetOnClose() {
  const linger ZeroLinger = {1, 0};
  setsockopt(this->descriptor(), SOL_SOCKET, SO_LINGER, &ZeroLinger, sizeof(ZeroLinger));
}

} // namespace anvilsaddle
