#pragma once

#include "coordination/Effect.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <functional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

class Sealer;
class SettingsStore;

/// Fetches newer settings from another entry. Not thread-safe.
class PeerSettingsClient {
public:
  using OnSettings =
      std::function<void(const std::string &Path, std::uint64_t Revision, const std::string &Text)>;
  using OnDone = std::function<void(bool Ok)>;

  /// Precondition: store and sealer outlive the object.
  PeerSettingsClient(const SettingsStore &Settings, const Sealer &Seals);
  ~PeerSettingsClient();
  PeerSettingsClient(const PeerSettingsClient &) = delete;
  PeerSettingsClient &operator=(const PeerSettingsClient &) = delete;

  /// Lists the settings of the entry, reads each subtree that is newer than the own, and calls
  /// `Done` once at the end. `Done` gets false if any call failed.
  void fetch(const Endpoint &Source, OnSettings Deliver, OnDone Done);

private:
  struct Round;

  void get(const Endpoint &Source, const std::string &UrlPath,
           std::function<void(const std::string &Body, bool Ok)> Done);

  const SettingsStore &Settings;
  const Sealer &Seals;
  GObjectPointer<SoupSession> Session;
  GObjectPointer<GCancellable> Cancel{g_cancellable_new()};
};

} // namespace anvilsaddle
