#pragma once

#include "coordination/dispatch/Dispatcher.h"
#include "coordination/dispatch/ShutdownSchedule.h"
#include "coordination/limits/BudgetEntries.h"
#include "coordination/limits/CustomerQuotas.h"
#include "coordination/membership/Incarnation.h"
#include "coordination/membership/Membership.h"
#include "coordination/publications/PublicationDistributor.h"
#include "coordination/publications/PublicationLog.h"
#include "coordination/publications/PublicationSource.h"
#include "protocol/DaemonSettings.h"
#include "protocol/GlibMessageAuthenticator.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/ChangeRecorder.h"
#include "transport/ConnectionPool.h"
#include "transport/EntryPageHandler.h"
#include "transport/ForwardHandler.h"
#include "transport/HttpServer.h"
#include "transport/OperatorPages.h"
#include "transport/PeerSocket.h"
#include "transport/ProbeRunner.h"
#include "transport/ProxyHandler.h"
#include "transport/PublicationExchange.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <glib.h>

namespace anvilsaddle {

class Clock;
class EntryQueryProtocol;
class RequestMetadataProtocol;
class RandomSource;

/// Runs one entry: connects the decision logic with the network and the clock. Not thread-safe;
/// uses the thread-default main context.
class EntryRuntime final : public PublicationListener {
public:
  /// Objects that the embedding program supplies. Precondition: they outlive the runtime.
  struct Dependencies {
    PublicationSource &Source;
    const RequestMetadataProtocol &Protocol;
    const EntryQueryProtocol &Queries;
    const Clock &Time;
    RandomSource &Random;
  };

  EntryRuntime(DaemonSettings Settings, const Dependencies &Deps);
  ~EntryRuntime() override;
  EntryRuntime(const EntryRuntime &) = delete;
  EntryRuntime &operator=(const EntryRuntime &) = delete;

  /// Opens all sockets. Returns an error message, empty on success.
  std::string start();
  /// Applies the settings that can change while the process runs, which are only the seeds.
  void reload(const DaemonSettings &Newer);
  /// Starts a graceful shutdown. `OnStopped` is called when no request and no connection is left,
  /// or when the grace period is over. Precondition: called at most once.
  void stop(std::function<void()> OnStopped);

  void onPublications(const PublicationBatch &Batch, std::optional<TimePoint> AsOf) override;
  void onSourceUpToDate(const SourcePosition &Position, TimePoint AsOf) override;
  void onInvalidPublication(const Diagnostic &Problem) override;
  void onSourceUnavailable(const std::string &Reason) override;
  void onSourceRecovered(Duration Outage) override;

private:
  static gboolean onTimer(gpointer Data);
  static gboolean onHousekeeping(gpointer Data);

  TimePoint now() const;
  void applyEffects();
  void applyEffect(const ProbeTarget &Probe) { this->Probes.start(Probe); }
  template <typename EffectType> void applyEffect(const EffectType &Each) {
    this->Proxy.apply(Each);
  }
  void scheduleTimer();
  /// Adds a part of the dispatcher's sums to each message.
  std::vector<OutgoingGossip> withSaturation(std::vector<OutgoingGossip> Messages);
  void sendGossip(const std::vector<OutgoingGossip> &Messages);
  void sendQuotaMessages();
  void onPeerMessage(const std::string &Sender, const PeerMessage &Message);
  void applyDistributionEffects();
  /// `Source` is the origin of the publications, for the log: an entry's address, or the store.
  void applyBatch(const PublicationBatch &Batch, const std::string &Source);
  void logRestore(const SourcePosition &Before, const std::string &Source);
  void applyConfiguration(const Configuration &Newer, const std::string &Source);
  void onSourceResponse(const SourcePosition &Position, std::optional<TimePoint> AsOf);
  void updateReadiness();
  void updateLiveMembers();
  void updateRetryShare();
  void advanceShutdown();

  DaemonSettings Settings;
  Dependencies Deps;
  Incarnation OwnIncarnation;
  GlibMessageAuthenticator Authenticator;
  AuditTrail Audit;
  Metrics EntryMetrics;
  /// Shared by all servers.
  std::shared_ptr<MemoryAccount> Memory;
  Dispatcher RequestDispatcher;
  CustomerQuotas Quotas;
  BudgetEntries RetryEntries;
  ChangeRecorder Changes;
  Membership Members;
  PublicationLog Publications;
  PublicationDistributor Distributor;
  ConnectionPool Connections;
  ProbeRunner Probes;
  PublicationExchange PublicationTransfer;
  ProxyHandler Proxy;
  ForwardHandler ForwardedRequests;
  EntryPageHandler PageHandler;
  OperatorPages OperatorPageHandler;
  HttpServer CallerServer;
  /// Accepts requests that entries of other regions forward.
  HttpServer ForwardServer;
  HttpServer ReadinessServer;
  HttpServer DirectoryServer;
  HttpServer ControlServer;
  HttpServer OperatorServer;
  PeerSocket Peers;
  GSource *Timer = nullptr;
  guint HousekeepingSource = 0;
  bool IsApplyingEffects = false;
  /// All publications have been received at least once.
  bool HasSnapshot = false;
  bool IsListening = true;
  std::vector<EntryRecord> LastLiveMembers;
  /// Set once the shutdown has begun.
  std::optional<ShutdownSchedule> Shutdown;
  std::function<void()> OnStopped;
};

} // namespace anvilsaddle
