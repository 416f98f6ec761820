#pragma once

#include "transport/GlibPointers.h"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gio/gio.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace anvilsaddle {

/// Runs the main loop until the condition holds; false if it does not within a bounded number of
/// iterations. A timer bounds each iteration.
inline bool runUntil(const std::function<bool()> &Condition) {
  constexpr int MaxIterations = 200'000;
  const guint TickTimer = g_timeout_add(
      1, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  int IterationsLeft = MaxIterations;
  // The time limit of ten seconds ends the loop if only ticks arrive.
  const gint64 Start = g_get_monotonic_time();
  while (!Condition() && --IterationsLeft > 0 && g_get_monotonic_time() - Start < 10'000'000) {
    g_main_context_iteration(nullptr, TRUE);
  }
  g_source_remove(TickTimer);
  return Condition();
}

/// Runs the main loop long enough to process events that are already pending.
inline void runPending() {
  for (int Round = 0; Round < 50; ++Round) {
    int Ticks = 0;
    g_idle_add(
        [](gpointer Data) -> gboolean {
          ++*static_cast<int *>(Data);
          return G_SOURCE_REMOVE;
        },
        &Ticks);
    while (Ticks == 0) {
      g_main_context_iteration(nullptr, TRUE);
    }
  }
}

/// One end of a TCP connection that sends and receives raw bytes.
class RawConnection {
public:
  explicit RawConnection(GObjectPointer<GSocketConnection> Connection)
      : Connection(std::move(Connection)) {
    this->read();
  }
  ~RawConnection() {
    *this->Alive = false;
    this->close();
  }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  static std::unique_ptr<RawConnection> connect(std::uint16_t Port) {
    const GObjectPointer<GSocketClient> Client(g_socket_client_new());
    g_socket_client_set_enable_proxy(Client.get(), FALSE);
    const GObjectPointer<GSocketAddress> Address(
        g_inet_socket_address_new_from_string("127.0.0.1", Port));
    GObjectPointer<GSocketConnection> Connected(g_socket_client_connect(
        Client.get(), G_SOCKET_CONNECTABLE(Address.get()), nullptr, nullptr));
    return Connected ? std::make_unique<RawConnection>(std::move(Connected)) : nullptr;
  }

  /// Sends as much as the socket accepts. Returns the number of bytes sent.
  std::size_t send(const std::string &Text) {
    GSocket *Socket = g_socket_connection_get_socket(this->Connection.get());
    g_socket_set_blocking(Socket, FALSE);
    const gssize Count = g_socket_send(Socket, Text.data(), Text.size(), nullptr, nullptr);
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }
  /// Waits until the socket of the peer has received all bytes, without running the main loop, so
  /// that several connections become readable in the same iteration.
  void waitUntilDelivered() const {
    const int Descriptor = g_socket_get_fd(g_socket_connection_get_socket(this->Connection.get()));
    int Undelivered = 1;
    while (Undelivered > 0 && ioctl(Descriptor, SIOCOUTQ, &Undelivered) == 0) {
    }
  }
  /// Lets few bytes arrive before they are read. Call it before the peer sends.
  void limitReceiveBuffer() {
    constexpr int SmallBuffer = 4096;
    setsockopt(g_socket_get_fd(g_socket_connection_get_socket(this->Connection.get())), SOL_SOCKET,
               SO_RCVBUF, &SmallBuffer, sizeof(SmallBuffer));
  }
  /// Stops reading, so that the socket buffers of the peer fill up.
  void pauseReading() { this->IsReadingPaused = true; }
  void resumeReading() {
    this->IsReadingPaused = false;
    if (std::exchange(this->IsReadDeferred, false)) {
      this->read();
    }
  }
  /// Closes with a reset.
  void reset() {
    const linger ZeroLinger = {1, 0};
    setsockopt(g_socket_get_fd(g_socket_connection_get_socket(this->Connection.get())), SOL_SOCKET,
               SO_LINGER, &ZeroLinger, sizeof(ZeroLinger));
    this->close();
  }
  /// Closes the socket, because the stream can't be closed while a read is pending.
  void close() { g_socket_close(g_socket_connection_get_socket(this->Connection.get()), nullptr); }

  std::string Received;
  /// True once the peer has closed or reset the connection.
  bool Closed = false;
  /// True if the peer reset the connection.
  bool Reset = false;
  std::function<void()> OnData;

private:
  struct ReadOperation {
    RawConnection *Owner;
    std::shared_ptr<bool> Alive;
    std::array<char, 65536> Buffer;
  };

  void read() {
    auto *Operation = new ReadOperation{this, this->Alive, {}};
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(this->Connection.get())),
                              Operation->Buffer.data(), Operation->Buffer.size(),
                              G_PRIORITY_DEFAULT, nullptr, onRead, Operation);
  }

  static void onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
    const std::unique_ptr<ReadOperation> Done(static_cast<ReadOperation *>(Data));
    const gssize Count = g_input_stream_read_finish(G_INPUT_STREAM(Source), Result, nullptr);
    if (!*Done->Alive) {
      return;
    }
    RawConnection &Self = *Done->Owner;
    if (Count <= 0) {
      Self.Closed = true;
      Self.Reset = Count < 0;
      return;
    }
    Self.Received.append(Done->Buffer.data(), static_cast<std::size_t>(Count));
    const std::shared_ptr<bool> Alive = Self.Alive;
    if (Self.OnData) {
      Self.OnData();
    }
    if (*Alive && Self.IsReadingPaused) {
      Self.IsReadDeferred = true;
      return;
    }
    if (*Alive && !g_socket_is_closed(g_socket_connection_get_socket(Self.Connection.get()))) {
      Self.read();
    }
  }

  GObjectPointer<GSocketConnection> Connection;
  bool IsReadingPaused = false;
  bool IsReadDeferred = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// Server whose responses the test writes as raw bytes. Records each request head.
class ScriptedServer {
public:
  /// `OnRequest` receives the connection and the number of its current request, counted from 1.
  explicit ScriptedServer(std::function<void(RawConnection &, int)> OnRequest)
      : OnRequest(std::move(OnRequest)), Service(g_socket_service_new()) {
    this->Port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(this->Service.get()),
                                                     nullptr, nullptr);
    g_signal_connect(this->Service.get(), "incoming", G_CALLBACK(onIncoming), this);
    g_socket_service_start(this->Service.get());
  }
  ~ScriptedServer() {
    g_signal_handlers_disconnect_by_data(this->Service.get(), this);
    g_socket_service_stop(this->Service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(this->Service.get()));
  }

  std::uint16_t Port = 0;
  std::list<std::unique_ptr<RawConnection>> Connections;
  /// Heads of all requests in order of arrival.
  std::vector<std::string> Requests;

private:
  static gboolean onIncoming(GSocketService *, GSocketConnection *Connection, GObject *,
                             gpointer Data) {
    auto &Self = *static_cast<ScriptedServer *>(Data);
    Self.Connections.push_back(std::make_unique<RawConnection>(shareObject(Connection)));
    RawConnection *Added = Self.Connections.back().get();
    Added->OnData = [&Self, Added, Count = 0]() mutable {
      const std::size_t End = Added->Received.find("\r\n\r\n");
      if (End == std::string::npos) {
        return;
      }
      Self.Requests.push_back(Added->Received.substr(0, End));
      Added->Received.erase(0, End + 4);
      Self.OnRequest(*Added, ++Count);
    };
    return TRUE;
  }

  std::function<void(RawConnection &, int)> OnRequest;
  GObjectPointer<GSocketService> Service;
};

} // namespace anvilsaddle
