#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/ExchangeProtocol.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>

namespace anvilsaddle {

class TargetConnections;

/// Asks targets for their load. Not thread-safe.
class ProbeRunner {
public:
  struct Listener {
    std::function<void(const TargetName &, const ProbeReport &)> OnReport;
    std::function<void(const TargetName &, ProbeFailure, const std::string &Reason)> OnFailure;
  };

  /// Precondition: connections and protocol outlive the runner.
  ProbeRunner(TargetConnections &Connections, const ExchangeProtocol &Protocol, Listener Events);
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner &) = delete;
  ProbeRunner &operator=(const ProbeRunner &) = delete;

  /// A probe of the same target that still runs is given up.
  void start(const ProbeTarget &Probe);

private:
  class Run;

  void finish(const TargetName &Name);
  static gboolean onDispose(gpointer Data);

  TargetConnections &Connections;
  const ExchangeProtocol &Protocol;
  Listener Events;
  std::map<TargetName, std::unique_ptr<Run>> Runs;
  /// Ended runs whose functions may still be running.
  std::vector<std::unique_ptr<Run>> Ended;
  guint DisposeTimer = 0;
};

} // namespace anvilsaddle
