#include "transport/EntryRuntime.h"

#include "coordination/RandomSource.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr guint HousekeepingMilliseconds = 100;
/// Callers learn within the lifetime of a directory answer, or three of them, that this entry ends;
/// until then it serves as usual.
constexpr Duration ServeWhileLeaving = 2500ms;
/// Answers of requests that are still under way go out this long before the process is killed.
constexpr Duration LastAnswers = 900ms;
/// The last answers need a moment to leave.
constexpr Duration FlushTime = 200ms;
constexpr std::size_t PageConnections = 256;
/// Each entry uses two of another region, so that a few dozen others use this one.
constexpr std::size_t ForwardConnections = 1024;

std::set<std::string> toSet(const std::vector<std::string> &Values) {
  return {Values.begin(), Values.end()};
}

MemberRecord makeSelf(const DaemonSettings &Settings, std::int64_t Started) {
  MemberRecord Result;
  Result.Address = Settings.Callers.Address;
  Result.Domain = Settings.Places.OwnDomain;
  Result.Incarnation = Started;
  return Result;
}

} // namespace

EntryRuntime::EntryRuntime(DaemonSettings Given, const Parts &Uses)
    : Settings(std::move(Given)), Uses(Uses), Run{Uses.Time.unixMilliseconds(), Uses.Random.bits()},
      Seals(this->Settings.FleetKey), Audit(static_cast<std::size_t>(this->Settings.AuditEntries)),
      Decisions(this->Settings.Places, this->Settings.Dispatch, this->Settings.Callers.Address,
                Uses.Random),
      Members(makeSelf(this->Settings, this->Run.StartedUnixMilliseconds), this->Settings.Places,
              toSet(this->Settings.Seeds), Uses.Random, Uses.Time.now()),
      Spread(this->Settings.Callers.Address, this->Settings.Places, Uses.Time.now()),
      Connections(Uses.Time),
      Probes(
          this->Connections, Uses.Protocol,
          {[this](const TargetName &Name, const ProbeReport &Report) {
             this->Counters.onProbe(false);
             this->Decisions.onProbe(Name, Report, this->now());
             this->settle();
           },
           [this](const TargetName &Name, ProbeFailure Reason, const std::string &Text) {
             this->Counters.onProbe(true);
             logEvent(LogLevel::Info, "probe_failed", {{"target", Name.str()}, {"reason", Text}});
             this->Decisions.onProbeFailed(Name, Reason, this->now());
             this->settle();
           }}),
      Exchange(this->Published, this->Connections,
               {[this](const PublicationBatch &Batch) {
                  this->takeBatch(Batch);
                  this->Spread.onFetched(this->Published.revision(), this->now());
                  this->settleSpread();
                },
                [this](const std::string &Reason) {
                  logEvent(LogLevel::Info, "fetch_failed", {{"reason", Reason}});
                  this->Spread.onFetchFailed(this->now());
                },
                [this] { return this->Decisions.targets().removalsWait(this->now()); }}),
      Flows({this->Decisions, this->Connections, Uses.Protocol, this->Counters, Uses.Time,
             Uses.Random, [this] { this->settle(); }}),
      Forwards(this->Flows), Pages(Uses.Pages, this->Members, this->Settings.Places, this->Flows,
                                   this->Settings.Callers.Port, this->Settings.AddressLifetime),
      Operators(
          {this->Decisions, this->Members, this->Flows, this->Audit, this->Counters, Uses.Time}),
      CallerServer(this->Flows, Uses.Time, static_cast<std::size_t>(this->Settings.MaxConnections)),
      ForwardServer(this->Forwards, Uses.Time, ForwardConnections),
      ReadinessServer(this->Pages, Uses.Time, PageConnections),
      DirectoryServer(this->Pages, Uses.Time, PageConnections),
      ControlServer(this->Exchange, Uses.Time, PageConnections),
      OperatorServer(this->Operators, Uses.Time, PageConnections),
      Peers(VmName(this->Settings.Callers.Address), this->Run, this->Seals,
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
  g_clear_handle_id(&this->Housekeeping, g_source_remove);
}

TimePoint EntryRuntime::now() const { return this->Uses.Time.now(); }

std::string EntryRuntime::start() {
  Endpoint Forwarding{this->Settings.Callers.Address, this->Settings.PeerPort};
  for (const auto &[Server, Place] : {std::pair(&this->CallerServer, &this->Settings.Callers),
                                      {&this->ForwardServer, &Forwarding},
                                      {&this->ReadinessServer, &this->Settings.Readiness},
                                      {&this->DirectoryServer, &this->Settings.Directory},
                                      {&this->ControlServer, &this->Settings.Control},
                                      {&this->OperatorServer, &this->Settings.Operators}}) {
    if (std::string Error = Server->listen(*Place); !Error.empty()) {
      return Error;
    }
  }
  if (std::string Error =
          this->Peers.start(this->Settings.Callers.Address, this->Settings.PeerPort);
      !Error.empty()) {
    return Error;
  }
  static GSourceFuncs Functions = {nullptr,
                                   nullptr,
                                   [](GSource *, GSourceFunc Callback, gpointer Data) { return Callback(Data); },
                                   nullptr,
                                   nullptr,
                                   nullptr};
  this->Timer = g_source_new(&Functions, sizeof(GSource));
  g_source_set_callback(this->Timer, onTimer, this, nullptr);
  g_source_attach(this->Timer, g_main_context_get_thread_default());
  this->Housekeeping = g_timeout_add(HousekeepingMilliseconds, onHousekeeping, this);
  this->armTimer();
  return {};
}

void EntryRuntime::reload(const DaemonSettings &Newer) {
  this->Members.setSeeds(toSet(Newer.Seeds));
  this->recordAudit("settings/seeds", std::to_string(this->Settings.Seeds.size()),
                    std::to_string(Newer.Seeds.size()), 0, "the settings file changed");
  this->Settings.Seeds = Newer.Seeds;
}

// Decisions and time

void EntryRuntime::settle() {
  // Carrying out a decision may lead to the next one.
  if (std::exchange(this->Settling, true)) {
    return;
  }
  while (true) {
    const std::vector<Effect> Next = this->Decisions.takeEffects();
    if (Next.empty()) {
      break;
    }
    for (const Effect &Each : Next) {
      std::visit([this](const auto &Order) { this->carryOut(Order); }, Each);
    }
  }
  this->Settling = false;
  this->armTimer();
}

void EntryRuntime::armTimer() {
  if (!this->Timer) {
    return;
  }
  TimePoint Next = this->Members.nextWakeup();
  if (const auto Decision = this->Decisions.nextWakeup()) {
    Next = std::min(Next, *Decision);
  }
  const Duration Wait = std::max(Duration(0), Next - this->now());
  g_source_set_ready_time(this->Timer, g_get_monotonic_time() + Wait.count());
}

gboolean EntryRuntime::onTimer(gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  Self.send(Self.Members.onTick(Self.now()));
  Self.Decisions.onTick(Self.now());
  Self.settle();
  return G_SOURCE_CONTINUE;
}

gboolean EntryRuntime::onHousekeeping(gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  Self.updateEntries();
  Self.Spread.onTick(Self.now());
  Self.settleSpread();
  Self.Counters.setPeerTraffic(Self.Peers.traffic());
  Self.Counters.onLogLinesDropped(droppedLogLines());
  const Configuration *Current = Self.Flows.configuration();
  Self.Counters.setGauges({Self.Flows.size(), Self.Decisions.queueLength(),
                           Self.CallerServer.connectionCount(), Self.LastLive.size(),
                           Self.Decisions.targets().all().size(), Current ? Current->Version : 0});
  Self.Decisions.onTick(Self.now());
  Self.settle();
  flushLog();
  if (Self.StopStarted) {
    Self.advanceStop();
  }
  return G_SOURCE_CONTINUE;
}

// Other entries

void EntryRuntime::send(const std::vector<OutgoingGossip> &Messages) {
  for (const OutgoingGossip &Each : Messages) {
    this->Peers.send(VmName(Each.Receiver), Each.Receiver, this->Settings.PeerPort, Each.Message);
  }
}

void EntryRuntime::onPeerMessage(const std::string &Sender, const PeerMessage &Message) {
  if (const auto *Notice = std::get_if<RevisionNotice>(&Message)) {
    this->Spread.onNotice(Sender, *Notice, this->now());
    this->settleSpread();
    return;
  }
  const auto Replies = this->Members.onMessage(Sender, std::get<Gossip>(Message), this->now());
  this->Peers.raiseIncarnation(this->Members.incarnation());
  this->send(Replies);
}

void EntryRuntime::settleSpread() {
  for (const SpreadEffect &Each : this->Spread.takeEffects()) {
    if (const auto *Use = std::get_if<SetSourceReading>(&Each)) {
      logEvent(LogLevel::Info, Use->Active ? "store_reading_started" : "store_reading_stopped",
               {{"revision", std::to_string(this->Published.revision())}});
      if (Use->Active) {
        this->Uses.Source.activate(*this, this->Published.revision());
      } else {
        this->Uses.Source.deactivate();
      }
    } else if (const auto *Send = std::get_if<SendNotice>(&Each)) {
      for (const std::string &Receiver : Send->Receivers) {
        this->Peers.send(VmName(Receiver), Receiver, this->Settings.PeerPort, Send->Notice);
      }
    } else {
      const auto &Fetch = std::get<FetchPublications>(Each);
      this->Exchange.fetch({Fetch.Entry, this->Settings.Control.Port});
    }
  }
}

void EntryRuntime::updateEntries() {
  std::vector<MemberRecord> Live = this->Members.liveMembers();
  // Beats rise all the time; only who lives and in what state matters here.
  for (MemberRecord &Each : Live) {
    Each.Heartbeat = 0;
  }
  if (Live == this->LastLive) {
    return;
  }
  std::vector<std::string> Region;
  RemoteEntries::EntriesByRegion Remote;
  std::set<VmName> Senders;
  for (const MemberRecord &Each : Live) {
    Senders.insert(VmName(Each.Address));
    const RegionName Place = this->Settings.Places.regionOf(Each.Domain);
    if (Place == this->Settings.Places.OwnRegion) {
      Region.push_back(Each.Address);
    } else if (Each.State == EntryState::Ready) {
      Remote[Place].push_back({Each.Address, this->Settings.PeerPort});
    }
  }
  logEvent(LogLevel::Info, "entries_changed",
           {{"live", std::to_string(Live.size())}, {"in_region", std::to_string(Region.size())}});
  this->recordAudit("entries", std::to_string(this->LastLive.size()), std::to_string(Live.size()),
                    0, "membership");
  this->Decisions.setEntries(std::move(Region), Live.size());
  this->Decisions.setRemoteEntries(std::move(Remote));
  this->Spread.setMembers(Live);
  // A dead entry may start again with a clock that went back.
  this->Peers.retainSenders(Senders);
  this->LastLive = std::move(Live);
}

// Publications

void EntryRuntime::onPublications(const PublicationBatch &Batch) {
  this->takeBatch(Batch);
  this->onUnchanged(this->Published.revision());
}

void EntryRuntime::onUnchanged(std::int64_t Revision) {
  this->Spread.onSourceResponse(Revision, this->now());
  this->settleSpread();
}

void EntryRuntime::takeBatch(const PublicationBatch &Batch) {
  if (!this->Published.apply(Batch)) {
    logEvent(LogLevel::Info, "publications_passed_over",
             {{"since", std::to_string(Batch.Since)},
              {"revision", std::to_string(Batch.Revision)},
              {"known", std::to_string(this->Published.revision())}});
    return;
  }
  if (Batch.RemovalDelay > Duration(0)) {
    this->Decisions.targets().deferRemovals(Batch.RemovalDelay, this->now());
  }
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Newer = std::get_if<Configuration>(&Each)) {
      this->takeConfiguration(*Newer);
    } else {
      this->recordChange(Each);
    }
  }
  this->Decisions.targets().apply(Batch, this->now());
  this->HasTargets = this->HasTargets || Batch.IsSnapshot;
  this->becomeReady();
}

void EntryRuntime::takeConfiguration(const Configuration &Newer) {
  const Configuration *Current = this->Flows.configuration();
  const std::string From = Current ? std::to_string(Current->Version) : "none";
  if (Current && Newer.Version <= Current->Version) {
    logEvent(LogLevel::Info, "configuration_passed_over",
             {{"version", std::to_string(Newer.Version)}, {"in_force", From}});
    return;
  }
  logEvent(LogLevel::Info, "configuration_in_force",
           {{"version", std::to_string(Newer.Version)}, {"from", From}});
  this->recordAudit("configuration", From, std::to_string(Newer.Version), Newer.Version,
                    "published");
  this->Decisions.setServices(Newer.Services);
  for (HttpServer *Each : {&this->CallerServer, &this->ForwardServer, &this->DirectoryServer}) {
    Each->setLimits(Newer.Limits);
  }
  this->Flows.setConfiguration(Newer);
}

void EntryRuntime::recordChange(const Publication &Change) {
  if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    const Target &Value = Registered->Registration;
    const char *State = Value.Draining ? "draining" : "ready";
    logEvent(LogLevel::Info, "target_registered",
             {{"target", Value.Name.str()}, {"service", Value.Service.str()}, {"state", State}});
    this->recordAudit("target/" + Value.Name.str(), "", State, 0, "registered");
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    logEvent(LogLevel::Info, "target_removed", {{"target", Removed->Name.str()}});
    this->recordAudit("target/" + Removed->Name.str(), "", "removed", 0, "registration removed");
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    const char *To = Evacuation->Active ? "taken out" : "in service";
    logEvent(LogLevel::Info, "failure_domain_changed",
             {{"failure_domain", Evacuation->Domain.str()}, {"to", To}});
    this->recordAudit("failure_domain/" + Evacuation->Domain.str(), "", To, 0, "published");
  }
}

void EntryRuntime::recordAudit(std::string Subject, std::string OldValue, std::string NewValue,
                               std::uint64_t Revision, std::string Reason) {
  AuditRecord Record;
  Record.UnixMilliseconds = this->Uses.Time.unixMilliseconds();
  Record.Subject = std::move(Subject);
  Record.OldValue = std::move(OldValue);
  Record.NewValue = std::move(NewValue);
  Record.Revision = Revision;
  Record.Reason = std::move(Reason);
  this->Audit.append(std::move(Record));
}

void EntryRuntime::becomeReady() {
  const bool CanServe = this->HasTargets && this->Flows.configuration();
  if (!CanServe || this->Members.state() != EntryState::Starting) {
    return;
  }
  this->Members.setState(EntryState::Ready);
  logEvent(LogLevel::Info, "ready",
           {{"targets", std::to_string(this->Decisions.targets().all().size())}});
}

void EntryRuntime::onInvalidPublication(const Diagnostic &Problem) {
  logEvent(LogLevel::Warning, "publication_unreadable",
           {{"item", Problem.Path}, {"reason", Problem.Message}});
}

void EntryRuntime::onSourceUnavailable(const std::string &Reason) {
  logEvent(LogLevel::Warning, "store_lost", {{"reason", Reason}});
  this->Spread.onSourceUnavailable();
}

void EntryRuntime::onSourceRecovered() {
  logEvent(LogLevel::Info, "store_returned");
  this->Decisions.targets().deferRemovals(TargetTable::RegistrationReturn, this->now());
}

// Shutdown

void EntryRuntime::stop(std::function<void()> Stopped) {
  this->OnStopped = std::move(Stopped);
  this->StopStarted = this->now();
  this->Members.setState(EntryState::Leaving);
  this->send(this->Members.announce());
  this->CallerServer.setClosing();
  this->ForwardServer.setClosing();
  logEvent(LogLevel::Info, "leaving", {{"requests", std::to_string(this->Flows.size())}});
}

void EntryRuntime::advanceStop() {
  const Duration Elapsed = this->now() - *this->StopStarted;
  if (Elapsed < ServeWhileLeaving) {
    return;
  }
  if (std::exchange(this->Listening, false)) {
    this->Flows.setRefusing();
    this->CallerServer.stopListening();
    this->ForwardServer.stopListening();
  }
  if (Elapsed >= this->Settings.StopGrace - LastAnswers) {
    this->Flows.refuseAll();
  }
  const bool IsOver = Elapsed >= this->Settings.StopGrace - LastAnswers + FlushTime;
  const bool IsIdle = this->Flows.size() == 0 && this->CallerServer.connectionCount() == 0 &&
                      this->ForwardServer.connectionCount() == 0;
  if ((IsOver || IsIdle) && this->OnStopped) {
    std::exchange(this->OnStopped, nullptr)();
  }
}

} // namespace anvilsaddle
