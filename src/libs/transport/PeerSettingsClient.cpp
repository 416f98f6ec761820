#include "transport/PeerSettingsClient.h"

#include "coordination/Sealer.h"
#include "state/SettingsStore.h"
#include "transport/PeerSettingsServer.h"
#include "transport/TextGet.h"

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
  GObjectPointer<SoupMessage> Message(soup_message_new("GET", Url.c_str()));
  const std::string Seal = this->Seals.seal(sealedSettingsRequest(UrlPath));
  soup_message_headers_append(soup_message_get_request_headers(Message.get()), PeerSealHeader,
                              Seal.c_str());
  getText(this->Session.get(), std::move(Message), this->Cancel.get(),
          [this, UrlPath, Done = std::move(Done)](SoupMessage *Answered, const std::string &Body,
                                                  bool Ok) {
            const char *AnswerSeal = soup_message_headers_get_one(
                soup_message_get_response_headers(Answered), PeerSealHeader);
            const bool Sealed =
                Ok && AnswerSeal &&
                this->Seals.equals(AnswerSeal,
                                   this->Seals.seal(sealedSettingsAnswer(UrlPath, Body)));
            Done(Body, Sealed);
          });
}

} // namespace anvilsaddle
