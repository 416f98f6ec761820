#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/ExchangeProtocol.h"
#include "transport/DeferredDeletion.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

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

  TargetConnections &Connections;
  const ExchangeProtocol &Protocol;
  Listener Events;
  std::map<TargetName, std::unique_ptr<Run>> Runs;
  /// Ended runs whose functions may still be running.
  DeferredDeletion<Run> Ended;
};

} // namespace anvilsaddle
