#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "protocol/RequestMetadataProtocol.h"
#include "transport/DeferredDeletion.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvilsaddle {

class ConnectionPool;

/// Sends health probes to targets and reports their health and load. Not thread-safe.
class ProbeRunner {
public:
  struct Callbacks {
    std::function<void(const TargetName &, const ProbeReport &)> OnReport;
    std::function<void(const TargetName &, ProbeFailure, const std::string &Reason)> OnFailure;
  };

  /// Precondition: pool and protocol outlive the runner.
  ProbeRunner(ConnectionPool &Pool, const RequestMetadataProtocol &Protocol, Callbacks Notify);
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner &) = delete;
  ProbeRunner &operator=(const ProbeRunner &) = delete;

  /// Cancels a probe of the same target that is still running.
  void start(const ProbeTarget &Probe);

private:
  class ActiveProbe;

  void remove(const TargetName &Name);

  ConnectionPool &Pool;
  const RequestMetadataProtocol &Protocol;
  Callbacks Notify;
  std::map<TargetName, std::unique_ptr<ActiveProbe>> ActiveProbes;
  /// Ended probes that may still have functions on the call stack.
  DeferredDeletion<ActiveProbe> Ended;
};

} // namespace anvilsaddle
