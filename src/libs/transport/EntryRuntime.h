#pragma once

#include "coordination/dispatch/Dispatcher.h"
#include "coordination/dispatch/ShutdownSchedule.h"
#include "coordination/limits/BudgetEntries.h"
#include "coordination/limits/CustomerQuotas.h"
#include "coordination/membership/Incarnation.h"
#include "coordination/membership/Membership.h"
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
#include "transport/PublicationConsumer.h"
#include "transport/PublicationFollower.h"

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
class EntryRuntime final : private PublicationConsumer {
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
  void onGossip(const std::string &Sender, const Gossip &Received);
  void updateLiveMembers();
  void updateRetryShare();
  void advanceShutdown();

  const Configuration *configuration() const override { return this->Proxy.configuration(); }
  void setConfiguration(const Configuration &Newer) override;
  void setKnownAsOf(std::optional<TimePoint> KnownAsOf) override {
    this->Proxy.setKnownAsOf(KnownAsOf);
  }
  /// The entry is ready once all publications, among them a configuration, are in force.
  void onPublicationsApplied() override;
  void send(const std::string &Receiver, const PublicationMessage &Message) override;

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
  ConnectionPool Connections;
  ProbeRunner Probes;
  PublicationFollower Publications;
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
  bool IsListening = true;
  std::vector<EntryRecord> LastLiveMembers;
  /// Set once the shutdown has begun.
  std::optional<ShutdownSchedule> Shutdown;
  std::function<void()> OnStopped;
};

} // namespace anvilsaddle
