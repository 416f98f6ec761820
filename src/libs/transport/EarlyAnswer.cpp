#include "transport/EarlyAnswer.h"

#include "transport/GlibPointers.h"
#include "transport/ProxyHeaders.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include <sys/socket.h>

namespace anvilsaddle {

namespace {

/// Bounds for what is discarded after the answer.
constexpr guint LingerSeconds = 2;
constexpr std::int64_t LingerBytes = 4 << 20;

std::string formatAnswer(SoupServerMessage *Caller) {
  const guint Status = soup_server_message_get_status(Caller);
  std::string Result =
      "HTTP/1.1 " + std::to_string(Status) + " " + soup_status_get_phrase(Status) + "\r\n";
  SoupMessageHeadersIter Next;
  soup_message_headers_iter_init(&Next, soup_server_message_get_response_headers(Caller));
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Next, &Name, &Value)) {
    if (g_ascii_strcasecmp(Name, "Content-Length") != 0 &&
        g_ascii_strcasecmp(Name, "Connection") != 0) {
      Result += std::string(Name) + ": " + Value + "\r\n";
    }
  }
  const GBytesPointer Body(
      soup_message_body_flatten(soup_server_message_get_response_body(Caller)));
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Body.get(), &Size));
  Result += "Content-Length: " + std::to_string(Size) + "\r\nConnection: close\r\n\r\n";
  return Data ? Result.append(Data, Size) : Result;
}

/// Sends the answer on the connection, then discards input until the caller closes. Owns itself.
class ClosingConnection {
public:
  ClosingConnection(GObjectPointer<GIOStream> Stream, GObjectPointer<GSocket> Socket,
                    std::string Text)
      : Stream(std::move(Stream)), Socket(std::move(Socket)), Text(std::move(Text)) {
    this->Timer = g_timeout_add_seconds(LingerSeconds, onTimeout, this);
    g_output_stream_write_all_async(g_io_stream_get_output_stream(this->Stream.get()),
                                    this->Text.data(), this->Text.size(), G_PRIORITY_DEFAULT,
                                    this->Cancel.get(), onWritten, this);
  }

  ~ClosingConnection() {
    g_clear_handle_id(&this->Timer, g_source_remove);
    g_io_stream_close(this->Stream.get(), nullptr, nullptr);
  }

private:
  static void onWritten(GObject *Source, GAsyncResult *Result, gpointer Data) {
    auto *Self = static_cast<ClosingConnection *>(Data);
    if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(Source), Result, nullptr, nullptr)) {
      delete Self;
      return;
    }
    g_socket_shutdown(Self->Socket.get(), FALSE, TRUE, nullptr);
    Self->discard();
  }

  void discard() {
    g_input_stream_read_async(g_io_stream_get_input_stream(this->Stream.get()), this->Buffer.data(),
                              this->Buffer.size(), G_PRIORITY_DEFAULT, this->Cancel.get(),
                              onDiscarded, this);
  }

  static void onDiscarded(GObject *Source, GAsyncResult *Result, gpointer Data) {
    auto *Self = static_cast<ClosingConnection *>(Data);
    const gssize Count = g_input_stream_read_finish(G_INPUT_STREAM(Source), Result, nullptr);
    Self->Discarded += Count;
    if (Count <= 0 || Self->Discarded > LingerBytes) {
      delete Self;
      return;
    }
    Self->discard();
  }

  static gboolean onTimeout(gpointer Data) {
    auto *Self = static_cast<ClosingConnection *>(Data);
    Self->Timer = 0;
    g_cancellable_cancel(Self->Cancel.get());
    return G_SOURCE_REMOVE;
  }

  GObjectPointer<GIOStream> Stream;
  GObjectPointer<GSocket> Socket;
  GObjectPointer<GCancellable> Cancel{g_cancellable_new()};
  std::string Text;
  std::array<char, 65536> Buffer{};
  std::int64_t Discarded = 0;
  guint Timer = 0;
};

/// An answer that waits for the next iteration of the main loop, because a connection cannot be
/// taken from the library inside its own callbacks.
struct PendingAnswer {
  GObjectPointer<SoupServerMessage> Caller;
  guint Idle = 0;

  static gboolean onIdle(gpointer Data) {
    const std::unique_ptr<PendingAnswer> Self(static_cast<PendingAnswer *>(Data));
    SoupServerMessage *Caller = Self->Caller.get();
    g_signal_handlers_disconnect_by_data(Caller, Self.get());
    std::string Text = formatAnswer(Caller);
    GObjectPointer<GSocket> Socket = shareObject(soup_server_message_get_socket(Caller));
    GObjectPointer<GIOStream> Stream(soup_server_message_steal_connection(Caller));
    if (Stream) {
      new ClosingConnection(std::move(Stream), std::move(Socket), std::move(Text));
    }
    return G_SOURCE_REMOVE;
  }

  static void onFinished(SoupServerMessage *Caller, gpointer Data) {
    const std::unique_ptr<PendingAnswer> Self(static_cast<PendingAnswer *>(Data));
    g_signal_handlers_disconnect_by_data(Caller, Self.get());
    g_source_remove(Self->Idle);
  }
};

} // namespace

void answerEarly(SoupServerMessage *Caller, const Refusal &Answer) {
  writeRefusal(Caller, Answer);
  soup_server_message_pause(Caller);
  auto *Pending = new PendingAnswer{shareObject(Caller)};
  Pending->Idle = g_idle_add_full(G_PRIORITY_DEFAULT, PendingAnswer::onIdle, Pending, nullptr);
  g_signal_connect(Caller, "finished", G_CALLBACK(PendingAnswer::onFinished), Pending);
}

void closeWithoutAnswer(SoupServerMessage *Caller, bool Reset) {
  GSocket *Socket = soup_server_message_get_socket(Caller);
  if (Socket) {
    if (Reset) {
      const linger Now = {1, 0};
      setsockopt(g_socket_get_fd(Socket), SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    // The library looks these up once, and warns if it cannot.
    soup_server_message_get_local_address(Caller);
    soup_server_message_get_remote_address(Caller);
    // Closed first, because the library writes the last chunk of a chunked answer when it gives the
    // connection away.
    g_socket_close(Socket, nullptr);
  }
  const GObjectPointer<GIOStream> Connection(soup_server_message_steal_connection(Caller));
}

} // namespace anvilsaddle
