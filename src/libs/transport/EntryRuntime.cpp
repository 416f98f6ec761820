#include "transport/EntryRuntime.h"

#include "coordination/RandomSource.h"
#include "coordination/Sealer.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/PeerLink.h"
#include "transport/PlatformWatch.h"
#include "transport/ProxyHeaders.h"

#include <chrono>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using nlohmann::json;

constexpr guint TickMilliseconds = 5;
void answerJson(SoupServerMessage *Message, const json &Body) {
  const std::string Text = Body.dump() + "\n";
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

RequestServerLimits serverLimits(const DaemonSettings &Local) {
  RequestServerLimits Limits;
  Limits.MaxBodyBytes = Local.MaxBodyBytes;
  return Limits;
}

EntryIdentity makeIdentity(const DaemonSettings &Local, const Clock &Time, RandomSource &Random) {
  return {Local.Vm, Local.Region, Local.Domain, {Time.unixMilliseconds(), Random.bits()}};
}

} // namespace

EntryRuntime::EntryRuntime(const DaemonSettings &Local, const Clock &Time,
                           const SettingsParser &Parser, const Sealer &Seals, RandomSource &Random)
    : Local(Local), Time(Time), Identity(makeIdentity(Local, Time, Random)),
      Node(this->Identity, Parser, Seals, Random, Time.now()),
      Audit(static_cast<std::size_t>(Local.AuditEntries)), Connections(Time), Forwarding(Seals),
      Admin(this->Node, this->Audit, this->Counters, Time),
      CallerServer(serverLimits(Local), nullptr, Time, static_cast<RequestHandler &>(*this)),
      PeerServer(serverLimits(Local), &this->Forwarding, Time,
                 static_cast<RequestHandler &>(*this)) {
  PeerLink::Listener PeerEvents;
  PeerEvents.OnMessage = [this](const PeerMessage &Message) {
    this->Node.onPeerMessage(Message, this->Time.now());
    this->carryOutEffects();
  };
  PeerEvents.OnSettings = [this](const VmName &Entry, const std::string &Path,
                                 std::uint64_t Revision, const std::string &Text) {
    this->Node.onSettings(Path, Revision, Text, Entry, this->Time.now());
  };
  PeerEvents.OnFetched = [this](const VmName &Entry, bool Complete) {
    this->Node.onSettingsFetched(Entry, Complete, this->Time.now());
    this->carryOutEffects();
  };
  this->Peers = std::make_unique<PeerLink>(this->Identity, Seals, this->Node.settings(),
                                           std::move(PeerEvents));
}

EntryRuntime::~EntryRuntime() { g_clear_handle_id(&this->TickTimer, g_source_remove); }

std::string EntryRuntime::start() {
  this->Peers->attach(this->PeerServer);
  this->CallerServer.addHandler("/v1/entries", onEntriesRequest, this);
  if (std::string Error = this->CallerServer.listen(this->Local.Address, this->Local.Port);
      !Error.empty()) {
    return Error;
  }
  if (std::string Error = this->PeerServer.listen(this->Local.Address, this->Local.PeerPort);
      !Error.empty()) {
    return Error;
  }
  if (std::string Error = this->Peers->start(this->Local.Address, this->Local.PeerPort);
      !Error.empty()) {
    return Error;
  }
  if (std::string Error = this->Admin.listen(this->Local.AdminPort); !Error.empty()) {
    return Error;
  }

  PlatformWatch::Listener Events;
  Events.OnSettings = [this](const std::string &Path, std::uint64_t Revision,
                             const std::string &Text) {
    this->Node.onSettings(Path, Revision, Text, std::nullopt, this->Time.now());
    this->carryOutEffects();
  };
  Events.OnVmList = [this](const VmList &List) {
    this->Node.onVmList(List, this->Time.now());
    this->carryOutEffects();
  };
  this->Platform = std::make_unique<PlatformWatch>(this->Local.ConfigurationService,
                                                   this->Local.VmListService, std::move(Events));
  this->Platform->start();
  this->TickTimer = g_timeout_add(TickMilliseconds, onTick, this);
  return {};
}

void EntryRuntime::stop(std::function<void()> Drained) {
  if (this->Node.isStopping()) {
    return;
  }
  this->OnDrained = std::move(Drained);
  this->CallerServer.closeConnections();
  this->PeerServer.closeConnections();
  this->Node.beginStop(this->Time.now());
}

std::optional<Refusal> EntryRuntime::checkHead(const RequestHead &Head) {
  return this->Node.checkHead(Head, this->Time.now());
}

std::optional<Refusal> EntryRuntime::onRequest(SoupServerMessage *Message, RequestHead Head,
                                               bool BodyFollows) {
  auto Admission = this->Node.onRequest(Head, this->Time.now());
  if (auto *Refused = std::get_if<Refusal>(&Admission)) {
    this->Counters.onRefused(*Refused);
    return std::move(*Refused);
  }
  const RequestNumber Number = std::get<RequestNumber>(Admission);
  auto Exchange = std::make_unique<ProxyExchange>(
      Number, this->Local.Vm.str() + "-" + std::to_string(Number), Message, std::move(Head),
      BodyFollows, this->Local.MaxBodyBytes, this->Connections, this->Forwarding, this->Time,
      static_cast<ExchangeListener &>(*this));
  this->Exchanges.emplace(Number, std::move(Exchange));
  this->carryOutEffects();
  return std::nullopt;
}

void EntryRuntime::onEntriesRequest(SoupServer *, SoupServerMessage *Message, const char *,
                                    GHashTable *, gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  const auto Result = Self.Node.entriesFor(
      std::string(headerValue(soup_server_message_get_request_headers(Message), "Authorization")),
      Self.Time.now());
  if (const auto *Refused = std::get_if<Refusal>(&Result)) {
    writeRefusal(Message, *Refused);
    return;
  }
  const auto &Answer = std::get<EntryAnswer>(Result);
  answerJson(Message,
             {{"entries", Answer.Entries},
              {"keep_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(Answer.TimeToKeep).count()},
              {"ticket", Answer.Ticket}});
}

gboolean EntryRuntime::onTick(gpointer Data) {
  auto &Self = *static_cast<EntryRuntime *>(Data);
  Self.Node.onTick(Self.Time.now());
  Self.carryOutEffects();
  Self.Counters.setPeerTraffic(Self.Peers->traffic());
  if (Self.OnDrained && Self.Node.isDrained()) {
    std::exchange(Self.OnDrained, nullptr)();
  }
  return G_SOURCE_CONTINUE;
}

bool EntryRuntime::onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter) {
  return this->Node.onAnswerHead(Request, Status, HasRetryAfter, this->Time.now());
}

void EntryRuntime::onAttemptEnd(RequestNumber Request, const AttemptReport &Report) {
  const TimePoint Now = this->Time.now();
  const auto Summary = this->Node.summary(Request);
  if (Summary && Report.Outcome == AttemptOutcome::Succeeded && !Report.PeerOutcome) {
    this->Counters.onAnswered(Summary->Service, Summary->Class, Report.Status,
                              Now - Summary->Arrival, Now);
  }
  this->Node.onAttemptEnd(Request, Report, Now);
  this->carryOutEffects();
}

void EntryRuntime::onCallerGone(RequestNumber Request) {
  this->Node.onCallerGone(Request, this->Time.now());
  this->carryOutEffects();
}

void EntryRuntime::onExchangeDone(RequestNumber Request) { this->Exchanges.erase(Request); }

ProxyExchange *EntryRuntime::exchangeForAttempt(RequestNumber Request) {
  const auto Found = this->Exchanges.find(Request);
  if (Found != this->Exchanges.end()) {
    return Found->second.get();
  }
  AttemptReport Report;
  Report.Outcome = AttemptOutcome::Cancelled;
  Report.Sent = false;
  this->Node.onAttemptEnd(Request, Report, this->Time.now());
  return nullptr;
}

void EntryRuntime::carryOut(const Effect &Next) {
  if (const auto *Attempt = std::get_if<StartAttempt>(&Next)) {
    const auto Summary = this->Node.summary(Attempt->Request);
    if (Summary && Summary->Attempts > 1) {
      this->Counters.onRetry(Summary->Service);
    }
    if (ProxyExchange *Exchange = this->exchangeForAttempt(Attempt->Request)) {
      Exchange->startAttempt(*Attempt);
    }
    return;
  }
  if (const auto *Forward = std::get_if<StartForward>(&Next)) {
    if (ProxyExchange *Exchange = this->exchangeForAttempt(Forward->Request)) {
      Exchange->startForward(*Forward);
    }
    return;
  }
  if (const auto *Refused = std::get_if<RefuseRequest>(&Next)) {
    this->Counters.onRefused(Refused->Answer);
    const auto Found = this->Exchanges.find(Refused->Request);
    if (Found != this->Exchanges.end()) {
      Found->second->refuse(Refused->Answer);
    }
    return;
  }
  if (const auto *Message = std::get_if<SendPeerMessage>(&Next)) {
    this->Peers->send(*Message);
    return;
  }
  if (const auto *Fetch = std::get_if<FetchSettings>(&Next)) {
    this->Peers->fetch(*Fetch);
    return;
  }
  if (const auto *Watch = std::get_if<SetWatch>(&Next)) {
    this->Platform->watchSettings(Watch->Active);
    return;
  }
  if (const auto *Change = std::get_if<RecordChange>(&Next)) {
    this->record(Change->Entry);
  }
}

void EntryRuntime::carryOutEffects() {
  // An effect may cause events that call this again; the outer call carries out their effects.
  if (this->CarryingOut) {
    return;
  }
  this->CarryingOut = true;
  for (auto Effects = this->Node.takeEffects(); !Effects.empty();
       Effects = this->Node.takeEffects()) {
    for (const Effect &Next : Effects) {
      this->carryOut(Next);
    }
  }
  this->CarryingOut = false;
}

void EntryRuntime::record(AuditEntry Entry) {
  Entry.UnixMilliseconds = this->Time.unixMilliseconds();
  const AuditEntry &Stored = this->Audit.append(std::move(Entry));
  logEvent(LogLevel::Info, "change",
           {{"sequence", std::to_string(Stored.Sequence)},
            {"what", Stored.What},
            {"from", Stored.From},
            {"to", Stored.To},
            {"revision", std::to_string(Stored.Revision)},
            {"why", Stored.Why}});
}

} // namespace anvilsaddle
