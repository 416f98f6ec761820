#include "transport/HttpServer.h"

#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/HttpConnection.h"
#include "transport/ReceiveBuffer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace anvilsaddle {

namespace {

/// Connections that are accepted before other event sources run.
constexpr int MaxAcceptsPerWakeup = 32;
constexpr guint TimeoutCheckMilliseconds = 250;
/// Time after which connections that wait for memory look for it again.
constexpr Duration MemoryCheckInterval = std::chrono::milliseconds(20);
/// Freed bytes that the heap may keep.
constexpr std::size_t MaxFreedBytes = std::size_t{4} << 20;
/// A reader that takes nothing for this time may be ended when the memory is nearly used up, or
/// exceeded. Both are many round trips to the most distant callers (60 ms).
constexpr Duration MaxStallNearLimit = std::chrono::seconds(3);
constexpr Duration MaxStallOverLimit = std::chrono::milliseconds(500);

} // namespace

HttpServer::HttpServer(HttpHandler &Handler, const Clock &Time, std::size_t MaxConnections,
                       std::shared_ptr<MemoryAccount> Memory)
    : Handler(Handler), Time(Time), MaxConnections(MaxConnections),
      Memory(Memory ? std::move(Memory) : std::make_shared<MemoryAccount>(MemoryLimits())),
      SharedCount(std::make_shared<SharedConnectionCount>(
          SharedConnectionCount{0, std::numeric_limits<std::size_t>::max()})),
      TimeoutTimer(g_timeout_add(TimeoutCheckMilliseconds, onTimeoutTimer, this)) {}

HttpServer::~HttpServer() {
  g_source_remove(this->TimeoutTimer);
  this->SharedCount->Open -= this->Connections.size();
}

TimePoint HttpServer::now() const { return this->Time.now(); }

std::string HttpServer::listen(const Endpoint &ListenAddress, int Backlog) {
  const GObjectPointer<GSocketAddress> Address(
      g_inet_socket_address_new_from_string(ListenAddress.Address.c_str(), ListenAddress.Port));
  if (!Address) {
    return "'" + ListenAddress.Address + "' is not an IP address";
  }
  GError *Error = nullptr;
  this->Listener.reset(g_socket_new(g_socket_address_get_family(Address.get()),
                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &Error));
  if (this->Listener) {
    g_socket_set_blocking(this->Listener.get(), FALSE);
    g_socket_set_listen_backlog(this->Listener.get(), Backlog);
    setReceiveBuffer(this->Listener.get(), ReceiveBuffer::Small);
    if (g_socket_bind(this->Listener.get(), Address.get(), TRUE, &Error)) {
      g_socket_listen(this->Listener.get(), &Error);
    }
  }
  const GErrorPointer Failure(Error);
  if (Failure) {
    return "cannot listen on " + toString(ListenAddress) + ": " + Failure->message;
  }
  const GObjectPointer<GSocketAddress> Bound(
      g_socket_get_local_address(this->Listener.get(), nullptr));
  this->BoundPort = Bound ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Bound.get()))
                          : ListenAddress.Port;
  this->Watch =
      std::make_unique<SocketWatch>(g_socket_get_fd(this->Listener.get()), [this](GIOCondition) {
        this->acceptPending(MaxAcceptsPerWakeup);
      });
  this->Watch->setConditions(G_IO_IN);
  return {};
}

void HttpServer::acceptPending(int MaxCount) {
  for (int Count = 0; Count < MaxCount && this->acceptOne(); ++Count) {
  }
}

void HttpServer::pauseAccepting() {
  if (this->Watch) {
    this->IsAcceptingPaused = true;
    this->Watch->setConditions(static_cast<GIOCondition>(0));
  }
}

void HttpServer::resumeAccepting() {
  if (this->Watch && !this->isFull() && std::exchange(this->IsAcceptingPaused, false)) {
    this->Watch->setConditions(G_IO_IN);
  }
}

bool HttpServer::acceptOne() {
  this->endLargestInputs();
  if (this->isFull()) {
    this->pauseAccepting();
    return false;
  }
  GError *Error = nullptr;
  GObjectPointer<GSocket> Accepted(g_socket_accept(this->Listener.get(), nullptr, &Error));
  const GErrorPointer Failure(Error);
  if (!Accepted) {
    if (!g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      logEvent(LogLevel::Warning, "accept_failed", {{"reason", Failure->message}});
      // Without a free descriptor the listener stays ready, so it is tried again a little later.
      this->pauseAccepting();
    }
    return false;
  }
  this->enforceConnectionLimit();
  g_socket_set_blocking(Accepted.get(), FALSE);
  g_socket_set_option(Accepted.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  ++this->SharedCount->Open;
  this->Connections.insert(
      std::make_unique<HttpConnection>(*this, std::move(Accepted), this->now()));
  return true;
}

void HttpServer::enforceConnectionLimit() {
  if (this->Connections.size() < this->MaxConnections) {
    return;
  }
  HttpConnection *Oldest = nullptr;
  for (const auto &Each : this->Connections) {
    if (Each->isIdle() && (!Oldest || Each->lastActivity() < Oldest->lastActivity())) {
      Oldest = Each.get();
    }
  }
  if (Oldest) {
    Oldest->closeIfIdle(CloseReason::ConnectionLimit);
  }
}

void HttpServer::stopListening() {
  this->StoppedListening = true;
  this->Watch.reset();
  if (this->Listener) {
    // Closing the listener resets the connections that have not been accepted.
    this->acceptPending(CallerBacklog);
    g_socket_close(this->Listener.get(), nullptr);
  }
  for (HttpConnection *Each : this->connections()) {
    Each->closeIfIdle(CloseReason::Shutdown);
  }
}

std::vector<HttpConnection *> HttpServer::connections() const {
  std::vector<HttpConnection *> Result;
  Result.reserve(this->Connections.size());
  for (const auto &Each : this->Connections) {
    Result.push_back(Each.get());
  }
  return Result;
}

void HttpServer::remove(HttpConnection &Connection) {
  const auto Found =
      std::find_if(this->Connections.begin(), this->Connections.end(),
                   [&Connection](const auto &Each) { return Each.get() == &Connection; });
  if (Found == this->Connections.end()) {
    return;
  }
  --this->SharedCount->Open;
  this->Removed.add(std::move(this->Connections.extract(Found).value()));
}

gboolean HttpServer::onTimeoutTimer(gpointer Data) {
  static_cast<HttpServer *>(Data)->checkTimeouts();
  return G_SOURCE_CONTINUE;
}

void HttpServer::checkTimeouts() {
  const TimePoint Now = this->now();
  this->Memory->onTick(Now);
  this->Memory->notifyDecided();
  for (HttpConnection *Each : this->connections()) {
    Each->checkTimeouts(Now);
  }
  this->endSlowReaders(Now);
  this->endLargestInputs();
  this->returnFreedMemory();
  this->resumeAccepting();
}

void HttpServer::returnFreedMemory() {
  if (this->Memory->hasFallenBy(MaxFreedBytes)) {
    malloc_trim(0);
  }
}

void HttpServer::scheduleMemoryDecisions() {
  if (this->MemoryDecisions.isPending()) {
    return;
  }
  this->MemoryDecisions.callAfter(MemoryCheckInterval, [this] {
    this->Memory->notifyDecided();
    if (this->Memory->waitingCount() > 0) {
      this->scheduleMemoryDecisions();
    }
  });
}

void HttpServer::endLargestInputs() {
  while (this->Memory->isOverLimit()) {
    HttpConnection *Largest = nullptr;
    for (const auto &Each : this->Connections) {
      if (Each->heldInput() > (Largest ? Largest->heldInput() : 0)) {
        Largest = Each.get();
      }
    }
    if (!Largest) {
      return;
    }
    Largest->refuseInput();
  }
}

void HttpServer::endSlowReaders(TimePoint Now) {
  while (this->Memory->isNearLimit()) {
    const Duration MaxStall = this->Memory->isOverLimit() ? MaxStallOverLimit : MaxStallNearLimit;
    HttpConnection *Largest = nullptr;
    for (const auto &Each : this->Connections) {
      if (Each->outputStalledFor(Now) >= MaxStall &&
          (!Largest || Each->heldOutput() > Largest->heldOutput())) {
        Largest = Each.get();
      }
    }
    if (!Largest) {
      return;
    }
    Largest->resetSlowReader();
  }
}

} // namespace anvilsaddle
