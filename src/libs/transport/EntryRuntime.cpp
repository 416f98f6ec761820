#include "transport/EntryRuntime.h"

#include "coordination/RandomSource.h"
#include "protocol/ForwardHeader.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr guint HousekeepingIntervalMs = 100;
/// Bounds what the sums add to a gossip message, whatever the number of services.
constexpr std::size_t MaxSaturationRecords = 4;
/// Limit for each of the servers that serve readiness checks, the directory, other entries and
/// operators.
constexpr std::size_t MaxInternalConnections = 256;
/// Far more than needed: each entry forwards to two entries of every other region, so that a few
/// dozen entries connect to this one.
constexpr std::size_t MaxForwardConnections = 1024;

/// Connections of other entries, the platform and operators that may wait to be accepted. What has
/// arrived on them counts as memory of the VM.
constexpr int InternalBacklog = static_cast<int>(MaxInternalConnections);

/// Descriptors of the VM that are for files.
constexpr std::int64_t FileDescriptors = 200;
/// Largest parts of the other descriptors that each kind of connection may use, and all accepted
/// ones together; the rest is for connections to targets. The smallest VM (2,870) has 2,002 for
/// callers.
constexpr double AcceptedConnectionShare = 0.9375;
constexpr double CallerConnectionShare = 0.75;
constexpr double ForwardConnectionShare = 0.125;
constexpr double InternalConnectionShare = 0.0625;

std::size_t maxConnections(const DaemonSettings &Settings, double Share, std::size_t Limit) {
  const auto Available = static_cast<double>(Settings.Resources.Descriptors - FileDescriptors);
  return std::min(Limit, static_cast<std::size_t>(Available * Share));
}

std::set<std::string> toSet(const std::vector<std::string> &Values) {
  return {Values.begin(), Values.end()};
}

EntryRecord makeOwnRecord(const DaemonSettings &Settings, std::int64_t StartTime) {
  EntryRecord Result;
  Result.Address = Settings.CallerEndpoint.Address;
  Result.Domain = Settings.FleetTopology.OwnDomain;
  Result.Incarnation = StartTime;
  return Result;
}

} // namespace

EntryRuntime::EntryRuntime(DaemonSettings InitialSettings, const Dependencies &Deps)
    : Settings(std::move(InitialSettings)),
      Deps(Deps), OwnIncarnation{Deps.Time.unixMilliseconds(), Deps.Random.bits()},
      Authenticator(this->Settings.FleetKey),
      Audit(static_cast<std::size_t>(this->Settings.MaxAuditRecords)),
      Memory(
          std::make_shared<MemoryAccount>(MemoryLimits::forVm(this->Settings.Resources.MemoryMb))),
      RequestDispatcher(this->Settings.FleetTopology, this->Settings.Dispatch,
                        this->Settings.CallerEndpoint.Address, Deps.Random),
      Quotas(this->Settings.CallerEndpoint.Address, this->OwnIncarnation.StartedUnixMilliseconds,
             this->Settings.Quotas, Deps.Time.now()),
      RetryEntries(this->Settings.FleetTopology, this->Settings.Dispatch.Retries.Window),
      Changes(this->Audit, this->RequestDispatcher.targets(), Deps.Time),
      Members(makeOwnRecord(this->Settings, this->OwnIncarnation.StartedUnixMilliseconds),
              this->Settings.FleetTopology, toSet(this->Settings.Seeds), Deps.Random,
              Deps.Time.now()),
      Connections(Deps.Time),
      Probes(
          this->Connections, Deps.Protocol,
          {[this](const TargetName &Name, const ProbeReport &Report) {
             this->EntryMetrics.onProbe(false);
             this->RequestDispatcher.onProbe(Name, Report, this->now());
             this->applyEffects();
           },
           [this](const TargetName &Name, ProbeFailure Reason, const std::string &Text) {
             this->EntryMetrics.onProbe(true);
             logEvent(LogLevel::Info, "probe_failed", {{"target", Name.str()}, {"reason", Text}});
             this->RequestDispatcher.onProbeFailed(Name, Reason, this->now());
             this->applyEffects();
           }}),
      Publications({this->Settings.CallerEndpoint.Address, this->Settings.FleetTopology,
                    this->Settings.ControlEndpoint.Port},
                   {Deps.Source, this->Connections, Deps.Time, this->RequestDispatcher.targets(),
                    this->Changes, *this}),
      Proxy({this->RequestDispatcher, this->Connections, Deps.Protocol, this->EntryMetrics,
             Deps.Time, Deps.Random, this->Quotas, [this] { this->applyEffects(); },
             this->Authenticator, this->Memory}),
      ForwardedRequests(this->Proxy),
      PageHandler(Deps.Queries, this->Members, this->Settings.FleetTopology, this->Proxy,
                  this->Settings.CallerEndpoint.Port, this->Settings.AddressTtl),
      OperatorPageHandler({this->RequestDispatcher, this->Members, this->Proxy, this->Audit,
                           this->EntryMetrics, Deps.Time}),
      CallerServer(this->Proxy, Deps.Time,
                   maxConnections(this->Settings, CallerConnectionShare,
                                  static_cast<std::size_t>(this->Settings.MaxConnections)),
                   this->Memory),
      ForwardServer(this->ForwardedRequests, Deps.Time,
                    maxConnections(this->Settings, ForwardConnectionShare, MaxForwardConnections),
                    this->Memory),
      ReadinessServer(
          this->PageHandler, Deps.Time,
          maxConnections(this->Settings, InternalConnectionShare, MaxInternalConnections),
          this->Memory),
      DirectoryServer(
          this->PageHandler, Deps.Time,
          maxConnections(this->Settings, InternalConnectionShare, MaxInternalConnections),
          this->Memory),
      ControlServer(this->Publications.requestHandler(), Deps.Time,
                    maxConnections(this->Settings, InternalConnectionShare, MaxInternalConnections),
                    this->Memory),
      OperatorServer(
          this->OperatorPageHandler, Deps.Time,
          maxConnections(this->Settings, InternalConnectionShare, MaxInternalConnections),
          this->Memory),
      Peers(VmName(this->Settings.CallerEndpoint.Address), this->OwnIncarnation,
            this->Authenticator,
            {[this](const PeerEnvelope &Envelope, const PeerMessage &Message) {
               this->onPeerMessage(Envelope.Sender.str(), Message);
             },
             [](const PeerError &Error, const std::string &From) {
               logEvent(LogLevel::Warning, "peer_message_rejected",
                        {{"from", From}, {"reason", Error.Message}});
             }}) {}

EntryRuntime::~EntryRuntime() {
  if (this->Timer) {
    g_source_destroy(this->Timer);
    g_source_unref(this->Timer);
  }
  g_clear_handle_id(&this->HousekeepingSource, g_source_remove);
}

TimePoint EntryRuntime::now() const { return this->Deps.Time.now(); }

std::string EntryRuntime::start() {
  const auto Accepted = std::make_shared<SharedConnectionCount>(SharedConnectionCount{
      0, maxConnections(this->Settings, AcceptedConnectionShare,
                        static_cast<std::size_t>(this->Settings.Resources.Descriptors))});
  Endpoint ForwardEndpoint{this->Settings.CallerEndpoint.Address, this->Settings.PeerPort};
  for (const auto &[Server, Address] :
       {std::pair(&this->CallerServer, &this->Settings.CallerEndpoint),
        {&this->ForwardServer, &ForwardEndpoint},
        {&this->ReadinessServer, &this->Settings.ReadinessEndpoint},
        {&this->DirectoryServer, &this->Settings.DirectoryEndpoint},
        {&this->ControlServer, &this->Settings.ControlEndpoint},
        {&this->OperatorServer, &this->Settings.OperatorEndpoint}}) {
    Server->shareConnectionLimit(Accepted);
    const bool ServesCallers = Server == &this->CallerServer || Server == &this->DirectoryServer;
    const int Backlog = ServesCallers ? HttpServer::CallerBacklog : InternalBacklog;
    if (std::string Error = Server->listen(*Address, Backlog); !Error.empty()) {
      return Error;
    }
  }
  if (std::string Error =
          this->Peers.start(this->Settings.CallerEndpoint.Address, this->Settings.PeerPort);
      !Error.empty()) {
    return Error;
  }
  static GSourceFuncs TimerFunctions = {nullptr,
                                        nullptr,
                                        [](GSource *, GSourceFunc Callback, gpointer Data) { return Callback(Data); },
                                        nullptr,
                                        nullptr,
                                        nullptr};
  this->Timer = g_source_new(&TimerFunctions, sizeof(GSource));
  g_source_set_callback(this->Timer, onTimer, this, nullptr);
  g_source_attach(this->Timer, g_main_context_get_thread_default());
  this->HousekeepingSource = g_timeout_add(HousekeepingIntervalMs, onHousekeeping, this);
  this->scheduleTimer();
  return {};
}

void EntryRuntime::reload(const DaemonSettings &Newer) {
  this->Members.setSeeds(toSet(Newer.Seeds));
  this->Changes.onSeedsChanged(this->Settings.Seeds.size(), Newer.Seeds.size());
  this->Settings.Seeds = Newer.Seeds;
}

// Effects and timers

void EntryRuntime::applyEffects() {
  // Applying an effect may cause further ones. This loop applies them too, so a call that is
  // made while effects are being applied returns at once.
  if (std::exchange(this->IsApplyingEffects, true)) {
    return;
  }
  while (true) {
    const std::vector<Effect> Pending = this->RequestDispatcher.takeEffects();
    if (Pending.empty()) {
      break;
    }
    for (const Effect &Each : Pending) {
      std::visit([this](const auto &Value) { this->applyEffect(Value); }, Each);
    }
  }
  this->IsApplyingEffects = false;
  this->Changes.recordChangedConditions();
  this->Changes.recordNewPauses();
  this->scheduleTimer();
}

void EntryRuntime::scheduleTimer() {
  if (!this->Timer) {
    return;
  }
  TimePoint Next = this->Members.nextTick();
  if (const auto DispatcherWakeup = this->RequestDispatcher.nextTick()) {
    Next = std::min(Next, *DispatcherWakeup);
  }
  if (const auto QuotaWakeup = this->Quotas.nextTick()) {
    Next = std::min(Next, *QuotaWakeup);
  }
  const Duration Wait = std::max(Duration(0), Next - this->now());
  g_source_set_ready_time(this->Timer, g_get_monotonic_time() + Wait.count());
}

gboolean EntryRuntime::onTimer(gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  Self.sendGossip(Self.withSaturation(Self.Members.onTick(Self.now())));
  Self.Quotas.onTick(Self.now());
  Self.sendQuotaMessages();
  Self.RequestDispatcher.onTick(Self.now());
  Self.applyEffects();
  return G_SOURCE_CONTINUE;
}

gboolean EntryRuntime::onHousekeeping(gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  Self.updateLiveMembers();
  Self.updateRetryShare();
  Self.Publications.onTick();
  Self.EntryMetrics.setPeerTraffic(Self.Peers.traffic());
  Self.EntryMetrics.setPublicationTraffic(Self.Publications.traffic());
  UnansweredCounts Unanswered = Self.CallerServer.unanswered();
  Unanswered += Self.ForwardServer.unanswered();
  Self.EntryMetrics.setUnansweredRequests(Unanswered);
  Self.EntryMetrics.setHedges(Self.RequestDispatcher.hedgeCounts());
  Self.EntryMetrics.setMemory(*Self.Memory);
  Self.EntryMetrics.setLogLinesDropped(droppedLogLines());
  const Configuration *Current = Self.Proxy.configuration();
  const auto KnownAsOf = Self.Publications.knownAsOf();
  Self.EntryMetrics.setGauges(
      {Self.Proxy.size(), Self.RequestDispatcher.queueLength(), Self.CallerServer.connectionCount(),
       Self.LastLiveMembers.size(), Self.RequestDispatcher.targets().all().size(),
       Current ? Current->Version : 0, Self.RequestDispatcher.targets().limitedCount(),
       Self.RequestDispatcher.targets().leavingCount(),
       Self.RequestDispatcher.targets().pausedCount(), Self.Publications.position(),
       KnownAsOf ? std::optional(Self.now() - *KnownAsOf) : std::nullopt});
  Self.EntryMetrics.setDispatchCounters(Self.RequestDispatcher.counters());
  Self.Changes.onSaturationChanged(Self.RequestDispatcher.saturation().takeChanges(Self.now()));
  Self.RequestDispatcher.onTick(Self.now());
  Self.applyEffects();
  flushLog();
  if (Self.Shutdown) {
    Self.advanceShutdown();
  }
  return G_SOURCE_CONTINUE;
}

// Communication with other entries

std::vector<OutgoingGossip> EntryRuntime::withSaturation(std::vector<OutgoingGossip> Messages) {
  for (OutgoingGossip &Each : Messages) {
    Each.Message.Saturation =
        this->RequestDispatcher.saturation().takeRecords(MaxSaturationRecords, this->now());
  }
  return Messages;
}

void EntryRuntime::sendGossip(const std::vector<OutgoingGossip> &Messages) {
  for (const OutgoingGossip &Each : Messages) {
    this->Peers.send(VmName(Each.Receiver), Each.Receiver, this->Settings.PeerPort, Each.Message);
  }
}

void EntryRuntime::sendQuotaMessages() {
  for (const OutgoingQuotaMessage &Each : this->Quotas.takeMessages()) {
    std::visit(
        [this, &Each](const auto &Message) {
          this->Peers.send(VmName(Each.Receiver), Each.Receiver, this->Settings.PeerPort, Message);
        },
        Each.Message);
  }
}

void EntryRuntime::onPeerMessage(const std::string &Sender, const PeerMessage &Message) {
  std::visit(
      [this, &Sender](const auto &Content) {
        using Type = std::decay_t<decltype(Content)>;
        if constexpr (std::is_constructible_v<PublicationMessage, Type>) {
          this->Publications.onMessage(Sender, Content);
        } else if constexpr (std::is_constructible_v<QuotaMessage, Type>) {
          this->Quotas.onMessage(Sender, Content, this->now());
          this->sendQuotaMessages();
          this->scheduleTimer();
        } else {
          this->onGossip(Sender, Content);
        }
      },
      Message);
}

void EntryRuntime::onGossip(const std::string &Sender, const Gossip &Received) {
  this->RequestDispatcher.saturation().add(Received.Saturation, this->now());
  auto Replies = this->Members.onMessage(Sender, Received, this->now());
  this->Peers.raiseIncarnation(this->Members.incarnation());
  this->sendGossip(this->withSaturation(std::move(Replies)));
}

void EntryRuntime::updateRetryShare() {
  this->RequestDispatcher.setRetryShare(this->RetryEntries.share(this->now()));
  this->Changes.onRetryShare(this->RequestDispatcher.retryShare(),
                             this->RequestDispatcher.baseRetryShare(),
                             this->LastLiveMembers.size());
}

void EntryRuntime::updateLiveMembers() {
  std::vector<EntryRecord> Live = this->Members.liveEntries();
  // Heartbeats increase all the time. Only the set of live entries and their states matter here.
  for (EntryRecord &Each : Live) {
    Each.Heartbeat = 0;
  }
  if (Live == this->LastLiveMembers) {
    return;
  }
  std::vector<std::string> OwnRegionEntries;
  RemoteEntries::EntriesByRegion RemoteEntriesByRegion;
  std::set<VmName> Senders;
  for (const EntryRecord &Each : Live) {
    Senders.insert(VmName(Each.Address));
    const RegionName Region = this->Settings.FleetTopology.regionOf(Each.Domain);
    if (Region == this->Settings.FleetTopology.OwnRegion) {
      OwnRegionEntries.push_back(Each.Address);
    } else if (Each.State == EntryState::Ready) {
      RemoteEntriesByRegion[Region].push_back({Each.Address, this->Settings.PeerPort});
    }
  }
  this->Changes.onEntriesChanged(this->LastLiveMembers.size(), Live.size(),
                                 OwnRegionEntries.size());
  this->RequestDispatcher.setEntries(std::move(OwnRegionEntries), Live.size());
  this->RetryEntries.setLive(Live, this->now());
  this->RequestDispatcher.setRemoteEntries(std::move(RemoteEntriesByRegion));
  this->Publications.setEntries(Live);
  std::vector<QuotaEntry> QuotaEntries;
  QuotaEntries.reserve(Live.size());
  for (const EntryRecord &Each : Live) {
    QuotaEntries.push_back({Each.Address, this->Settings.FleetTopology.regionOf(Each.Domain),
                            Each.State == EntryState::Leaving});
  }
  this->Quotas.setEntries(std::move(QuotaEntries), this->now());
  this->sendQuotaMessages();
  this->scheduleTimer();
  // A dead entry may restart after its clock was set back. Its messages would then be rejected as
  // old ones, so the state of the replay protection is removed for all entries that are not live.
  this->Peers.retainSenders(Senders);
  this->LastLiveMembers = std::move(Live);
}

// Publications

void EntryRuntime::setConfiguration(const Configuration &Newer) {
  this->RequestDispatcher.setServices(Newer.Services);
  this->CallerServer.setLimits(Newer.Limits);
  this->DirectoryServer.setLimits(Newer.Limits);
  this->ForwardServer.setLimits(limitsOfForwardedRequests(Newer.Limits));
  this->Proxy.setConfiguration(Newer);
  this->Quotas.setCustomers(Newer.Customers, this->now());
}

void EntryRuntime::send(const std::string &Receiver, const PublicationMessage &Message) {
  std::visit(
      [this, &Receiver](const auto &Content) {
        this->Peers.send(VmName(Receiver), Receiver, this->Settings.PeerPort, Content);
      },
      Message);
}

void EntryRuntime::onPublicationsApplied() {
  const bool IsPrepared = this->Publications.hasSnapshot() && this->Proxy.configuration();
  if (!IsPrepared || this->Members.state() != EntryState::Starting) {
    return;
  }
  this->Members.setState(EntryState::Ready);
  logStateChange("ready",
                 {{"targets", std::to_string(this->RequestDispatcher.targets().all().size())}});
}

// Shutdown

void EntryRuntime::stop(std::function<void()> Callback) {
  this->OnStopped = std::move(Callback);
  this->Shutdown.emplace(this->now(), this->Settings.StopGracePeriod);
  this->Members.setState(EntryState::Leaving);
  this->sendGossip(this->Members.makeAnnouncements());
  this->CallerServer.disableKeepAlive();
  this->ForwardServer.disableKeepAlive();
  logStateChange("leaving", {{"requests", std::to_string(this->Proxy.size())}});
  this->RequestDispatcher.beginShutdown(this->Shutdown->finalResponseTime(), this->now());
  this->applyEffects();
}

void EntryRuntime::advanceShutdown() {
  const TimePoint Now = this->now();
  if (Now < this->Shutdown->serveUntil()) {
    return;
  }
  if (std::exchange(this->IsListening, false)) {
    this->Proxy.rejectNewRequests();
    this->CallerServer.stopListening();
    this->ForwardServer.stopListening();
  }
  if (Now >= this->Shutdown->finalResponseTime()) {
    this->Proxy.failPendingRequests();
  }
  const bool IsEndTimeReached = Now >= this->Shutdown->endTime();
  const bool IsIdle = this->Proxy.size() == 0 && this->CallerServer.connectionCount() == 0 &&
                      this->ForwardServer.connectionCount() == 0;
  if ((IsEndTimeReached || IsIdle) && this->OnStopped) {
    std::exchange(this->OnStopped, nullptr)();
  }
}

} // namespace anvilsaddle
