#include "transport/TargetConnections.h"

#include "transport/Clock.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include <sys/socket.h>

namespace anvilsaddle {

namespace {

/// Shorter than the keep-alive timeout of common servers (5 s), so that few requests meet a
/// connection that the target is about to close.
constexpr Duration MaxIdle = std::chrono::seconds(4);
/// A target has about 260 connections for all entries together.
constexpr std::size_t MaxIdlePerTarget = 12;
constexpr guint SweepSeconds = 1;

} // namespace

TargetConnections::TargetConnections(const Clock &Time)
    : Time(Time), SweepTimer(g_timeout_add_seconds(SweepSeconds, onSweep, this)) {}

TargetConnections::~TargetConnections() { g_source_remove(this->SweepTimer); }

GObjectPointer<GSocket> TargetConnections::take(const Endpoint &Destination) {
  const auto Found = this->Connections.find(Destination);
  while (Found != this->Connections.end() && !Found->second.empty()) {
    Idle Last = std::move(Found->second.back());
    Found->second.pop_back();
    if (this->isUsable(Last)) {
      return std::move(Last.Connection);
    }
  }
  return nullptr;
}

void TargetConnections::keep(const Endpoint &Destination, GObjectPointer<GSocket> Connection) {
  std::vector<Idle> &Waiting = this->Connections[Destination];
  if (Waiting.size() < MaxIdlePerTarget) {
    Waiting.push_back({std::move(Connection), this->Time.now()});
  }
}

std::size_t TargetConnections::size() const {
  std::size_t Result = 0;
  for (const auto &[Destination, Waiting] : this->Connections) {
    Result += Waiting.size();
  }
  return Result;
}

bool TargetConnections::isUsable(const Idle &Each) const {
  char Byte = 0;
  // Neither the end of the stream nor bytes that belong to no request may be waiting.
  const ssize_t Count =
      recv(g_socket_get_fd(Each.Connection.get()), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
         this->Time.now() - Each.Since < MaxIdle;
}

gboolean TargetConnections::onSweep(gpointer Data) {
  auto &Self = *static_cast<TargetConnections *>(Data);
  for (auto Next = Self.Connections.begin(); Next != Self.Connections.end();) {
    std::vector<Idle> &Waiting = Next->second;
    Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(),
                                 [&Self](const Idle &Each) { return !Self.isUsable(Each); }),
                  Waiting.end());
    Next = Waiting.empty() ? Self.Connections.erase(Next) : std::next(Next);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
