#include "transport/TextGet.h"

#include <memory>
#include <utility>

namespace anvilsaddle {

namespace {

struct OpenGet {
  GObjectPointer<GCancellable> Cancel;
  GObjectPointer<SoupMessage> Message;
  OnText Done;
};

void onAnswer(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<OpenGet> Ended(static_cast<OpenGet *>(Data));
  GError *Error = nullptr;
  const GBytesPointer Bytes(
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  if (g_cancellable_is_cancelled(Ended->Cancel.get())) {
    return;
  }
  if (!Bytes || soup_message_get_status(Ended->Message.get()) != SOUP_STATUS_OK) {
    Ended->Done(Ended->Message.get(), {}, false);
    return;
  }
  gsize Size = 0;
  const auto *Text = static_cast<const char *>(g_bytes_get_data(Bytes.get(), &Size));
  Ended->Done(Ended->Message.get(), Size > 0 ? std::string(Text, Size) : std::string(), true);
}

} // namespace

void getText(SoupSession *Session, GObjectPointer<SoupMessage> Message, GCancellable *Cancel,
             OnText Done) {
  auto Next =
      std::make_unique<OpenGet>(OpenGet{shareObject(Cancel), std::move(Message), std::move(Done)});
  SoupMessage *Sent = Next->Message.get();
  soup_session_send_and_read_async(Session, Sent, G_PRIORITY_DEFAULT, Cancel, onAnswer,
                                   Next.release());
}

} // namespace anvilsaddle
