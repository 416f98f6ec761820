#include "transport/ConnectionPool.h"

#include "transport/Clock.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include <sys/socket.h>

namespace anvilsaddle {

namespace {

/// A target supports about 260 connections, which all entries share.
constexpr std::size_t MaxIdlePerTarget = 8;
constexpr guint SweepSeconds = 1;

} // namespace

ConnectionPool::ConnectionPool(const Clock &Time)
    : Time(Time), SweepTimer(g_timeout_add_seconds(SweepSeconds, onSweep, this)) {}

ConnectionPool::~ConnectionPool() { g_source_remove(this->SweepTimer); }

GObjectPointer<GSocket> ConnectionPool::takeIdle(const Endpoint &Destination, Duration MaxIdle) {
  const auto Found = this->Connections.find(Destination);
  while (Found != this->Connections.end() && !Found->second.empty()) {
    IdleConnection &Last = Found->second.back();
    if (!this->isUsable(Last)) {
      Found->second.pop_back();
      continue;
    }
    if (this->Time.now() - Last.Since > MaxIdle) {
      return nullptr;
    }
    GObjectPointer<GSocket> Result = std::move(Last.Connection);
    Found->second.pop_back();
    return Result;
  }
  return nullptr;
}

void ConnectionPool::addIdle(const Endpoint &Destination, GObjectPointer<GSocket> Connection,
                             Duration Lifetime) {
  std::vector<IdleConnection> &Idle = this->Connections[Destination];
  if (Idle.size() < MaxIdlePerTarget) {
    const TimePoint Now = this->Time.now();
    Idle.push_back({std::move(Connection), Now, Now + Lifetime});
  }
}

void ConnectionPool::closeAll(const Endpoint &Destination) { this->Connections.erase(Destination); }

std::size_t ConnectionPool::size() const {
  std::size_t Result = 0;
  for (const auto &[Destination, Idle] : this->Connections) {
    Result += Idle.size();
  }
  return Result;
}

bool ConnectionPool::isUsable(const IdleConnection &Each) const {
  char Byte = 0;
  // An idle connection must have neither the end of the stream nor unexpected bytes to read.
  const ssize_t Count =
      recv(g_socket_get_fd(Each.Connection.get()), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
         this->Time.now() < Each.ExpiresAt;
}

gboolean ConnectionPool::onSweep(gpointer Data) {
  auto &Self = *static_cast<ConnectionPool *>(Data);
  for (auto Next = Self.Connections.begin(); Next != Self.Connections.end();) {
    std::vector<IdleConnection> &Idle = Next->second;
    std::erase_if(Idle, [&Self](const IdleConnection &Each) { return !Self.isUsable(Each); });
    Next = Idle.empty() ? Self.Connections.erase(Next) : std::next(Next);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
