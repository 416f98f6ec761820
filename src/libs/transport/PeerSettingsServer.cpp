#include "transport/PeerSettingsServer.h"

#include "coordination/Sealer.h"
#include "state/SettingsStore.h"
#include "transport/RequestServer.h"

#include <nlohmann/json.hpp>

namespace anvilsaddle {

void PeerSettingsServer::attach(RequestServer &Server) {
  Server.addHandler(PeerSettingsPath, onRequest, this);
}

void PeerSettingsServer::onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                                   GHashTable *, gpointer Data) {
  const auto &Self = *static_cast<PeerSettingsServer *>(Data);
  const char *Seal = soup_message_headers_get_one(soup_server_message_get_request_headers(Message),
                                                  PeerSealHeader);
  if (!Seal || !Self.Seals.equals(Seal, Self.Seals.seal(sealedSettingsRequest(Path)))) {
    soup_server_message_set_status(Message, SOUP_STATUS_UNAUTHORIZED, nullptr);
    return;
  }
  const std::string Body = Self.answerTo(Path);
  if (Body.empty()) {
    soup_server_message_set_status(Message, SOUP_STATUS_NOT_FOUND, nullptr);
    return;
  }
  const std::string AnswerSeal = Self.Seals.seal(sealedSettingsAnswer(Path, Body));
  soup_message_headers_replace(soup_server_message_get_response_headers(Message), PeerSealHeader,
                               AnswerSeal.c_str());
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Body.data(),
                                   Body.size());
}

std::string PeerSettingsServer::answerTo(const std::string &UrlPath) const {
  using nlohmann::json;
  const std::string Prefix(PeerSettingsPath);
  if (UrlPath == Prefix) {
    json Paths = json::object();
    for (const PathRevision &Each : this->Settings.revisions()) {
      Paths[Each.Path] = Each.Revision;
    }
    return json{{"paths", Paths}}.dump();
  }
  if (!UrlPath.starts_with(Prefix + "/")) {
    return {};
  }
  const std::string Wanted = UrlPath.substr(Prefix.size() + 1);
  for (const PathRevision &Each : this->Settings.revisions()) {
    if (Each.Path == Wanted) {
      return json{{"revision", Each.Revision}, {"text", *this->Settings.text(Wanted)}}.dump();
    }
  }
  return {};
}

std::string sealedSettingsRequest(const std::string &UrlPath) { return "settings-get:" + UrlPath; }

std::string sealedSettingsAnswer(const std::string &UrlPath, const std::string &Body) {
  return "settings-answer:" + UrlPath + ":" + Body;
}

} // namespace anvilsaddle
