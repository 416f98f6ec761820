#pragma once

#include "transport/GlibPointers.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// HTTP server in place of the configuration service and the VM list. Serves the files of a
/// directory: `platform.toml`, `teams/<team>.toml` and `vms.json`; a changed file gets the next
/// revision. Counts calls. Not thread-safe.
class StandinConfigService {
public:
  StandinConfigService(std::filesystem::path Directory, std::string Address, std::uint16_t Port);
  ~StandinConfigService();
  StandinConfigService(const StandinConfigService &) = delete;
  StandinConfigService &operator=(const StandinConfigService &) = delete;

  /// Returns an error text, empty on success.
  std::string start();

private:
  struct Entry {
    std::string Text;
    std::uint64_t Revision = 0;
  };
  struct Waiter {
    GObjectPointer<SoupServerMessage> Message;
    bool Vms = false;
    std::uint64_t After = 0;
    gint64 GivesUpAt = 0;
  };

  static void onRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  static gboolean onPoll(gpointer Data);

  void readFiles();
  void readFile(const std::string &Path, const std::filesystem::path &File);
  std::string indexJson() const;
  std::string vmsJson() const;
  void answer(SoupServerMessage *Message, const std::string &Text) const;

  std::filesystem::path Directory;
  std::string Address;
  std::uint16_t Port;
  GObjectPointer<SoupServer> Server;
  std::map<std::string, Entry> Entries;
  Entry Vms;
  std::uint64_t Revision = 0;
  std::uint64_t Calls = 0;
  std::vector<Waiter> Waiters;
  guint PollTimer = 0;
};

} // namespace anvilsaddle
