#pragma once

#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

class RequestServer;
class Sealer;
class SettingsStore;

/// Serves the accepted settings to other entries: `GET /peer/settings` lists (path, revision), `GET
/// /peer/settings/<path>` gives one subtree. Requests and answers are sealed with the fleet key.
/// Not thread-safe.
class PeerSettingsServer {
public:
  /// Precondition: store and sealer outlive the object.
  PeerSettingsServer(const SettingsStore &Settings, const Sealer &Seals)
      : Settings(Settings), Seals(Seals) {}

  /// Adds the handlers. Precondition: this object outlives the server.
  void attach(RequestServer &Server);

private:
  static void onRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  std::string answerTo(const std::string &UrlPath) const;

  const SettingsStore &Settings;
  const Sealer &Seals;
};

/// Header that carries the seal of a request or an answer.
inline constexpr const char *PeerSealHeader = "Anvilsaddle-Seal";
inline constexpr const char *PeerSettingsPath = "/peer/settings";

/// Text under the seal of a request and of its answer.
std::string sealedSettingsRequest(const std::string &UrlPath);
std::string sealedSettingsAnswer(const std::string &UrlPath, const std::string &Body);

} // namespace anvilsaddle
