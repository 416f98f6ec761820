#include "transport/PeerSettingsClient.h"

#include "coordination/Sealer.h"
#include "state/SettingsStore.h"
#include "transport/PeerSettingsServer.h"

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {
/// A peer that does not answer in this time is left for another one.
constexpr guint TimeoutSeconds = 2;
} // namespace

struct PeerSettingsClient::Call {
  GObjectPointer<GCancellable> Cancel;
  GObjectPointer<SoupMessage> Message;
  const Sealer &Seals;
  std::string UrlPath;
  std::function<void(const std::string &Body, bool Ok)> Done;
};

/// Subtrees that one fetch still waits for.
struct PeerSettingsClient::Round {
  OnSettings Deliver;
  OnDone Done;
  std::size_t Open = 0;
  bool Ok = true;

  void end(bool CallOk) {
    this->Ok = this->Ok && CallOk;
    if (--this->Open == 0) {
      this->Done(this->Ok);
    }
  }
};

PeerSettingsClient::PeerSettingsClient(const SettingsStore &Settings, const Sealer &Seals)
    : Settings(Settings), Seals(Seals),
      Session(soup_session_new_with_options("timeout", TimeoutSeconds, nullptr)) {}

PeerSettingsClient::~PeerSettingsClient() { g_cancellable_cancel(this->Cancel.get()); }

void PeerSettingsClient::fetch(const Endpoint &Source, OnSettings Deliver, OnDone Done) {
  auto Next = std::make_shared<Round>(Round{std::move(Deliver), std::move(Done), 1, true});
  this->get(Source, PeerSettingsPath, [this, Source, Next](const std::string &Body, bool Ok) {
    const auto List = nlohmann::json::parse(Body, nullptr, false);
    if (!Ok || !List.is_object() || !List.contains("paths") || !List["paths"].is_object()) {
      Next->end(false);
      return;
    }
    for (const auto &[Path, Value] : List["paths"].items()) {
      const auto Revision = Value.is_number_unsigned() ? Value.get<std::uint64_t>() : 0;
      if (!this->Settings.isNewer({Path, Revision, 0})) {
        continue;
      }
      ++Next->Open;
      this->get(Source, std::string(PeerSettingsPath) + "/" + Path,
                [Next, Path = Path](const std::string &Answer, bool AnswerOk) {
                  const auto Entry = nlohmann::json::parse(Answer, nullptr, false);
                  const bool Valid = AnswerOk && Entry.is_object() && Entry.contains("revision") &&
                                     Entry["revision"].is_number_unsigned() &&
                                     Entry.contains("text") && Entry["text"].is_string();
                  if (Valid) {
                    Next->Deliver(Path, Entry["revision"].get<std::uint64_t>(),
                                  Entry["text"].get<std::string>());
                  }
                  Next->end(Valid);
                });
    }
    Next->end(true);
  });
}

void PeerSettingsClient::get(const Endpoint &Source, const std::string &UrlPath,
                             std::function<void(const std::string &Body, bool Ok)> Done) {
  const std::string Url = "http://" + Source.Address + ":" + std::to_string(Source.Port) + UrlPath;
  auto Next =
      std::make_unique<Call>(Call{shareObject(this->Cancel.get()),
                                  GObjectPointer<SoupMessage>(soup_message_new("GET", Url.c_str())),
                                  this->Seals, UrlPath, std::move(Done)});
  SoupMessage *Message = Next->Message.get();
  const std::string Seal = this->Seals.seal(sealedSettingsRequest(UrlPath));
  soup_message_headers_append(soup_message_get_request_headers(Message), PeerSealHeader,
                              Seal.c_str());
  soup_session_send_and_read_async(
      this->Session.get(), Message, G_PRIORITY_DEFAULT, this->Cancel.get(),
      [](GObject *Session, GAsyncResult *Result, gpointer Data) {
        const std::unique_ptr<Call> Ended(static_cast<Call *>(Data));
        GError *Error = nullptr;
        const GBytesPointer Bytes(
            soup_session_send_and_read_finish(SOUP_SESSION(Session), Result, &Error));
        const GErrorPointer Failure(Error);
        if (g_cancellable_is_cancelled(Ended->Cancel.get())) {
          return;
        }
        if (!Bytes || soup_message_get_status(Ended->Message.get()) != SOUP_STATUS_OK) {
          Ended->Done({}, false);
          return;
        }
        gsize Size = 0;
        const auto *Text = static_cast<const char *>(g_bytes_get_data(Bytes.get(), &Size));
        const std::string Body(Text, Size);
        const char *AnswerSeal = soup_message_headers_get_one(
            soup_message_get_response_headers(Ended->Message.get()), PeerSealHeader);
        const bool Sealed =
            AnswerSeal &&
            Ended->Seals.equals(AnswerSeal,
                                Ended->Seals.seal(sealedSettingsAnswer(Ended->UrlPath, Body)));
        Ended->Done(Body, Sealed);
      },
      Next.release());
}

} // namespace anvilsaddle
