#pragma once

#include "coordination/Dispatcher.h"
#include "coordination/Incarnation.h"
#include "coordination/Membership.h"
#include "coordination/PublicationLog.h"
#include "coordination/PublicationSource.h"
#include "coordination/PublicationSpread.h"
#include "protocol/DaemonSettings.h"
#include "protocol/GlibSealer.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/EntryPageHandler.h"
#include "transport/ForwardHandler.h"
#include "transport/HttpServer.h"
#include "transport/OperatorPages.h"
#include "transport/PeerSocket.h"
#include "transport/ProbeRunner.h"
#include "transport/PublicationExchange.h"
#include "transport/RequestFlows.h"
#include "transport/TargetConnections.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <glib.h>

namespace anvilsaddle {

class Clock;
class EntryPages;
class ExchangeProtocol;
class RandomSource;

/// One entry: connects the decisions with the network and the clock. Not thread-safe; uses the
/// thread-default main context.
class EntryRuntime final : public PublicationListener {
public:
  /// What the embedding program supplies; all of it outlives the runtime.
  struct Parts {
    PublicationSource &Source;
    const ExchangeProtocol &Protocol;
    const EntryPages &Pages;
    const Clock &Time;
    RandomSource &Random;
  };

  EntryRuntime(DaemonSettings Settings, const Parts &Uses);
  ~EntryRuntime() override;
  EntryRuntime(const EntryRuntime &) = delete;
  EntryRuntime &operator=(const EntryRuntime &) = delete;

  /// Opens all sockets. Returns an error text, empty on success.
  std::string start();
  /// Takes over the settings that can change while the process runs: the seeds.
  void reload(const DaemonSettings &Newer);
  /// Begins a graceful shutdown; `OnStopped` is called when no request is left, or when the time
  /// for it is over. Precondition: called once.
  void stop(std::function<void()> OnStopped);

  void onPublications(const PublicationBatch &Batch) override;
  void onUnchanged(std::int64_t Revision) override;
  void onInvalidPublication(const Diagnostic &Problem) override;
  void onSourceUnavailable(const std::string &Reason) override;
  void onSourceRecovered() override;

private:
  static gboolean onTimer(gpointer Data);
  static gboolean onHousekeeping(gpointer Data);

  TimePoint now() const;
  void settle();
  void carryOut(const ProbeTarget &Order) { this->Probes.start(Order); }
  template <typename Order> void carryOut(const Order &Each) { this->Flows.apply(Each); }
  void armTimer();
  void send(const std::vector<OutgoingGossip> &Messages);
  void onPeerMessage(const std::string &Sender, const PeerMessage &Message);
  void settleSpread();
  void takeBatch(const PublicationBatch &Batch);
  void takeConfiguration(const Configuration &Newer);
  void recordChange(const Publication &Change);
  void recordAudit(std::string Subject, std::string OldValue, std::string NewValue,
                   std::uint64_t Revision, std::string Reason);
  void becomeReady();
  void updateEntries();
  void advanceStop();

  DaemonSettings Settings;
  Parts Uses;
  Incarnation Run;
  GlibSealer Seals;
  AuditTrail Audit;
  Metrics Counters;
  Dispatcher Decisions;
  Membership Members;
  PublicationLog Published;
  PublicationSpread Spread;
  TargetConnections Connections;
  ProbeRunner Probes;
  PublicationExchange Exchange;
  RequestFlows Flows;
  ForwardHandler Forwards;
  EntryPageHandler Pages;
  OperatorPages Operators;
  HttpServer CallerServer;
  /// Requests that entries of other regions pass on.
  HttpServer ForwardServer;
  HttpServer ReadinessServer;
  HttpServer DirectoryServer;
  HttpServer ControlServer;
  HttpServer OperatorServer;
  PeerSocket Peers;
  GSource *Timer = nullptr;
  guint Housekeeping = 0;
  bool Settling = false;
  bool HasTargets = false;
  bool Listening = true;
  std::vector<MemberRecord> LastLive;
  std::optional<TimePoint> StopStarted;
  std::function<void()> OnStopped;
};

} // namespace anvilsaddle
