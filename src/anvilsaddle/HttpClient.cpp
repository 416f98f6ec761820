#include "HttpClient.h"

#include "transport/GlibPointers.h"

#include <libsoup/soup.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

struct PendingCall {
  GObjectPointer<GCancellable> Cancellable{g_cancellable_new()};
  GBytesPointer Body;
  GErrorPointer RequestError;
  bool IsTimedOut = false;
  bool IsDone = false;
};

void onResponse(GObject *Source, GAsyncResult *Result, gpointer Data) {
  auto &Pending = *static_cast<PendingCall *>(Data);
  GError *Error = nullptr;
  Pending.Body.reset(soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, &Error));
  Pending.RequestError.reset(Error);
  Pending.IsDone = true;
}

gboolean onTimeout(gpointer Data) {
  auto &Pending = *static_cast<PendingCall *>(Data);
  Pending.IsTimedOut = true;
  g_cancellable_cancel(Pending.Cancellable.get());
  return G_SOURCE_REMOVE;
}

leaf::error_id unreachableError(const std::string &Message) {
  return leaf::new_error(ToolError{ExitCode::Unreachable, Message});
}

} // namespace

leaf::result<HttpResponse> httpGet(const std::string &Url,
                                   const std::map<std::string, std::string> &Headers,
                                   std::chrono::milliseconds Timeout) {
  const GObjectPointer<SoupMessage> Message(soup_message_new("GET", Url.c_str()));
  if (!Message) {
    return leaf::new_error(ToolError{ExitCode::Usage, "'" + Url + "' is not a valid URL"});
  }
  for (const auto &[Name, Value] : Headers) {
    soup_message_headers_replace(soup_message_get_request_headers(Message.get()), Name.c_str(),
                                 Value.c_str());
  }
  const GObjectPointer<SoupSession> Session(
      soup_session_new_with_options("proxy-resolver", nullptr, nullptr));
  PendingCall Pending;
  GMainContext *Context = g_main_context_get_thread_default();
  GSource *Timer = g_timeout_source_new(static_cast<guint>(Timeout.count()));
  g_source_set_callback(Timer, onTimeout, &Pending, nullptr);
  g_source_attach(Timer, Context);
  soup_session_send_and_read_async(Session.get(), Message.get(), G_PRIORITY_DEFAULT,
                                   Pending.Cancellable.get(), onResponse, &Pending);
  while (!Pending.IsDone) {
    g_main_context_iteration(Context, TRUE);
  }
  g_source_destroy(Timer);
  g_source_unref(Timer);
  if (Pending.IsTimedOut) {
    return unreachableError("no response from " + Url + " within " +
                            std::to_string(Timeout.count()) + " ms");
  }
  if (Pending.RequestError) {
    return unreachableError("cannot reach " + Url + ": " + Pending.RequestError->message);
  }
  gsize Size = 0;
  const auto *Text = static_cast<const char *>(g_bytes_get_data(Pending.Body.get(), &Size));
  return HttpResponse{static_cast<int>(soup_message_get_status(Message.get())),
                      std::string(Text ? Text : "", Size)};
}

} // namespace anvilsaddle
