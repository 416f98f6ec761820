#include "transport/TargetCall.h"

#include <utility>

namespace anvilsaddle {

namespace {

constexpr gsize ReadSize = 65536;
constexpr guint MaxConnectionsPerTarget = 260;
constexpr int MaxConnections = 20'000;
/// Shorter than the keep-alive timeout of common servers (5 s), so that few requests meet a
/// connection that the target is about to close.
constexpr guint IdleSeconds = 4;
constexpr guint FirstFinalStatus = 200;

} // namespace

/// Asynchronous calls hold a reference, so that it outlives the call.
struct TargetCall::State {
  /// Null once the call is destroyed.
  TargetCall *Call = nullptr;
  TargetCallListener *Listener = nullptr;
  GObjectPointer<GCancellable> Cancel{g_cancellable_new()};
  GObjectPointer<GInputStream> Body;
  bool Started = false;

  static void onStarting(SoupMessage *, gpointer Data) {
    auto &Self = *static_cast<State *>(Data);
    if (std::exchange(Self.Started, true)) {
      g_cancellable_cancel(Self.Cancel.get());
    }
  }
  /// The library is about to send the request again, because a reused connection closed.
  static void onRestarted(SoupMessage *Message, gpointer Data) {
    soup_message_add_flags(Message, SOUP_MESSAGE_NEW_CONNECTION);
    g_cancellable_cancel(static_cast<State *>(Data)->Cancel.get());
  }
};

TargetCall::TargetCall(SoupSession *Session, GObjectPointer<SoupMessage> Message,
                       TargetCallListener &Listener)
    : Session(Session), Message(std::move(Message)), Shared(std::make_shared<State>()) {
  this->Shared->Call = this;
  this->Shared->Listener = &Listener;
  // The flag lets the library reuse a connection for any method. It does not allow a resend, which
  // depends on the method alone and which onRestarted() stops.
  soup_message_add_flags(this->Message.get(),
                         static_cast<SoupMessageFlags>(soup_message_get_flags(this->Message.get()) |
                                                       SOUP_MESSAGE_NO_REDIRECT |
                                                       SOUP_MESSAGE_IDEMPOTENT));
  g_signal_connect(this->Message.get(), "starting", G_CALLBACK(State::onStarting),
                   this->Shared.get());
  g_signal_connect(this->Message.get(), "restarted", G_CALLBACK(State::onRestarted),
                   this->Shared.get());
}

TargetCall::~TargetCall() {
  // The signal handlers stay connected and guard the cancelled message until the library ends it;
  // onSent() holds the state until then.
  this->Shared->Call = nullptr;
  g_cancellable_cancel(this->Shared->Cancel.get());
}

void TargetCall::send() {
  soup_session_send_async(this->Session, this->Message.get(), G_PRIORITY_DEFAULT,
                          this->Shared->Cancel.get(), onSent,
                          new std::shared_ptr<State>(this->Shared));
}

void TargetCall::readMore() {
  g_input_stream_read_bytes_async(this->Shared->Body.get(), ReadSize, G_PRIORITY_DEFAULT,
                                  this->Shared->Cancel.get(), onRead,
                                  new std::shared_ptr<State>(this->Shared));
}

void TargetCall::cancel() { g_cancellable_cancel(this->Shared->Cancel.get()); }

bool TargetCall::isSent() const { return this->Shared->Started; }

void TargetCall::onSent(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<std::shared_ptr<State>> Reference(
      static_cast<std::shared_ptr<State> *>(Data));
  State &Self = **Reference;
  GError *Error = nullptr;
  SoupMessage *Ended = soup_session_get_async_result_message(SOUP_SESSION(Source), Result);
  Self.Body.reset(soup_session_send_finish(SOUP_SESSION(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  if (Ended) {
    g_signal_handlers_disconnect_by_data(Ended, &Self);
  }
  if (!Self.Call) {
    return;
  }
  if (!Self.Body) {
    Self.Listener->onCallFailed(Failure->message);
    return;
  }
  if (soup_message_get_status(Self.Call->message()) < FirstFinalStatus) {
    Self.Listener->onCallFailed("the answer has no final status");
    return;
  }
  Self.Listener->onCallHead();
}

void TargetCall::onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<std::shared_ptr<State>> Reference(
      static_cast<std::shared_ptr<State> *>(Data));
  State &Self = **Reference;
  GError *Error = nullptr;
  const GBytesPointer Bytes(
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  if (!Self.Call) {
    return;
  }
  if (!Bytes) {
    Self.Listener->onCallFailed(Failure->message);
    return;
  }
  Self.Listener->onCallBytes(Bytes.get());
}

GObjectPointer<SoupSession> newTargetSession() {
  GObjectPointer<SoupSession> Session(soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host", MaxConnectionsPerTarget, "idle-timeout",
      IdleSeconds, "proxy-resolver", nullptr, nullptr));
  // A proxy passes bodies and credentials on as they are.
  soup_session_remove_feature_by_type(Session.get(), SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(Session.get(), SOUP_TYPE_AUTH_MANAGER);
  return Session;
}

} // namespace anvilsaddle
