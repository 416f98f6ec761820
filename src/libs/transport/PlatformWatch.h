#pragma once

#include "state/VmList.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Reads and watches the configuration service and the VM list over HTTP. A watch is a long poll
/// `GET /v1/index?after=<revision>` that answers with the newest revision of each path; changed
/// paths are then read by `GET /v1/settings/<path>`. The VM list is `GET /v1/vms?after=<revision>`.
/// Failed calls are repeated after a pause. Not thread-safe.
class PlatformWatch {
public:
  struct Listener {
    std::function<void(const std::string &Path, std::uint64_t Revision, const std::string &Text)>
        OnSettings;
    std::function<void(const VmList &List)> OnVmList;
  };

  PlatformWatch(std::string ConfigurationService, std::string VmListService, Listener Events);
  ~PlatformWatch();
  PlatformWatch(const PlatformWatch &) = delete;
  PlatformWatch &operator=(const PlatformWatch &) = delete;

  /// Starts to watch the VM list.
  void start();
  /// Starts or stops the watch on the configuration service.
  void watchSettings(bool Active);

private:
  void get(const std::string &Url, GCancellable *Cancelled,
           std::function<void(const std::string &Body, bool Ok)> Done);
  void watchIndex();
  void watchVms();
  void onIndex(const std::string &Body);
  void later(GCancellable *Cancelled, std::function<void()> Action);

  std::string ConfigurationService;
  std::string VmListService;
  Listener Events;
  GObjectPointer<SoupSession> Session;
  GObjectPointer<GCancellable> Cancel{g_cancellable_new()};
  GObjectPointer<GCancellable> IndexCancel;
  std::uint64_t IndexRevision = 0;
  std::uint64_t VmRevision = 0;
  std::map<std::string, std::uint64_t> Read;
};

} // namespace anvilsaddle
