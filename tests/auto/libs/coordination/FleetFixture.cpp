#include "FleetFixture.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr Duration MessageDelay = 1ms;
constexpr Duration TickInterval = 5ms;
/// Bound of the requirement for changes of settings and for departing targets.
constexpr Duration InForce = 3s;
const ServiceName TheService("work");
const RegionName TheRegion("north");
const CustomerName TheCustomer("team.customer");
const std::string Credential = "Bearer team.customer.secret";

VmName entryName(std::size_t Index) { return VmName("entry-" + std::to_string(Index)); }

PlatformSettings firstPlatform() {
  PlatformSettings Result;
  Result.Regions = {TheRegion};
  Result.FailureDomains = {{FailureDomainName("a"), TheRegion, false},
                           {FailureDomainName("b"), TheRegion, false}};
  Service Work;
  Work.Name = TheService;
  Work.Slots = FleetFixture::Slots;
  Work.MaxDeadline = FleetFixture::MaxDeadline;
  Work.ShedIsNotRun = true;
  Result.Services = {Work};
  return Result;
}

TeamSettings firstTeam() {
  TeamSettings Result;
  Result.Name = TeamName("team");
  Customer Caller;
  Caller.Name = TheCustomer;
  Caller.KeyHashes = {"#secret"};
  Result.Customers = {Caller};
  Route Read;
  Read.Name = RouteName("read");
  Read.Customer = TheCustomer;
  Read.PathPrefix = "/read";
  Read.Methods = {"GET"};
  Read.Service = TheService;
  Read.Repeatable = true;
  Read.Deadline = FleetFixture::MaxDeadline;
  Route Write = Read;
  Write.Name = RouteName("write");
  Write.PathPrefix = "/write";
  Write.Repeatable = false;
  Result.Routes = {Read, Write};
  return Result;
}

} // namespace

SettingsParser::Result PreparedSettings::parse(std::string_view Path, std::string_view Text) const {
  const std::size_t Index = std::stoul(std::string(Text));
  if (Path == "platform") {
    return this->Platforms.at(Index);
  }
  return this->Teams.at(Index);
}

std::string PlainSealer::seal(std::string_view Text) const {
  return std::to_string(std::hash<std::string_view>{}(Text)) + std::string(32, '0');
}

FleetFixture::FleetFixture(std::size_t EntryCount, std::size_t TargetCount, std::uint64_t Seed)
    : Engine(Seed), Entries(EntryCount) {
  this->Vms.Revision = 1;
  const auto Add = [this](Vm Machine, std::size_t Index) {
    Machine.Address = "10.0.0.1";
    Machine.Port = static_cast<std::uint16_t>(1000 + Index);
    Machine.PeerPort = static_cast<std::uint16_t>(2000 + Index);
    Machine.Domain = FailureDomainName(Index % 2 == 0 ? "a" : "b");
    this->Vms.Vms.push_back(std::move(Machine));
  };
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    Vm Machine;
    Machine.Name = entryName(Index);
    Machine.Role = VmRole::Entry;
    Add(std::move(Machine), Index);
  }
  for (std::size_t Index = 0; Index < TargetCount; ++Index) {
    Vm Machine;
    Machine.Name = VmName("target-" + std::to_string(Index));
    Machine.Service = TheService;
    Add(std::move(Machine), Index);
  }
  this->Parser.Platforms = {firstPlatform()};
  this->Parser.Teams = {firstTeam()};
  this->Published["platform"] = {++this->Revision, "0"};
  this->Published["teams/team"] = {++this->Revision, "0"};
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    this->restart(Index);
  }
}

FleetFixture::~FleetFixture() = default;

void FleetFixture::advance(Duration Period) {
  const TimePoint End = this->Now + Period;
  while (!this->Events.empty() && this->Events.top().Due <= End) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Now = std::max(this->Now, Next.Due);
    Next.Action();
  }
  this->Now = End;
}

std::size_t FleetFixture::send(std::size_t Index, const std::string &Path, const std::string &Key) {
  const std::size_t Request = this->Answers.size();
  this->Answers.emplace_back();
  this->RunsOfRequest[Request] = 0;
  Entry &To = this->Entries[Index];
  if (!To.Node) {
    return Request;
  }
  To.Arriving.insert(Request);
  this->onEntry(Index, To.Run, [this, Index, Request, Path, Key] {
    this->Entries[Index].Arriving.erase(Request);
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = Path;
    Head.Authorization = Credential;
    Head.IdempotencyKey = Key;
    Head.Replayable = true;
    auto Admission = this->Entries[Index].Node->onRequest(Head, this->Now);
    if (const auto *Refused = std::get_if<Refusal>(&Admission)) {
      this->Answers[Request] = FixtureAnswer{Refused->Status, Refused->Outcome};
      return;
    }
    const auto Number = std::get<RequestNumber>(Admission);
    this->Entries[Index].Origins[Number] = Origin{Request, std::nullopt, 0, Head};
    this->carryOut(Index);
  });
  return Request;
}

std::string FleetFixture::ticket(std::size_t Index) {
  Entry &To = this->Entries[Index];
  if (!To.Node || To.Paused) {
    return {};
  }
  const auto Result = To.Node->entriesFor(Credential, this->Now);
  const auto *Answer = std::get_if<EntryAnswer>(&Result);
  return Answer ? Answer->Ticket : std::string();
}

void FleetFixture::setPaused(std::size_t Index, bool Paused) {
  Entry &Each = this->Entries[Index];
  Each.Paused = Paused;
  if (Paused) {
    return;
  }
  // What arrived during the pause is handled on waking, before the loop's timers.
  const auto Held = std::exchange(Each.Held, {});
  for (const auto &Action : Held) {
    Action();
  }
}

void FleetFixture::setCut(std::size_t Index, bool Cut) { this->Entries[Index].Cut = Cut; }

void FleetFixture::kill(std::size_t Index) {
  Entry &Each = this->Entries[Index];
  Each.Node.reset();
  Each.Held.clear();
  Each.Paused = false;
  Each.Watching = false;
  for (const std::size_t Request : std::exchange(Each.Arriving, {})) {
    this->Answers[Request] = FixtureAnswer{0, RunOutcome::Unknown};
  }
  // Callers of a killed entry, and entries that forwarded to it, see a closed connection.
  for (const auto &[Number, From] : std::exchange(Each.Origins, {})) {
    if (!From.Forwarder) {
      this->Answers[From.Caller] = FixtureAnswer{0, RunOutcome::Unknown};
      continue;
    }
    const std::size_t Forwarder = From.Forwarder->first;
    const RequestNumber ForwarderNumber = From.Forwarder->second;
    this->onEntry(Forwarder, From.ForwarderRun, [this, Forwarder, ForwarderNumber] {
      AttemptReport Report;
      Report.Outcome = AttemptOutcome::Failed;
      this->Entries[Forwarder].Node->onAttemptEnd(ForwarderNumber, Report, this->Now);
      this->carryOut(Forwarder);
    });
  }
}

void FleetFixture::restart(std::size_t Index) {
  if (this->Entries[Index].Node) {
    this->kill(Index);
  }
  Entry &Each = this->Entries[Index];
  Each.Run = ++this->RunCounter;
  Each.Random = std::make_unique<SeededRandom>(this->Engine());
  EntryIdentity Identity;
  Identity.Vm = entryName(Index);
  Identity.Region = TheRegion;
  Identity.Domain = FailureDomainName(Index % 2 == 0 ? "a" : "b");
  Identity.Run = {static_cast<std::int64_t>(Each.Run), Each.Random->bits()};
  Each.Node =
      std::make_unique<EntryNode>(Identity, this->Parser, this->Seals, *Each.Random, this->Now);
  Each.Node->onVmList(this->Vms, this->Now);
  this->tick(Index, Each.Run);
}

void FleetFixture::changePlatform(const std::function<void(PlatformSettings &)> &Change) {
  PlatformSettings Next = this->Parser.Platforms.back();
  Change(Next);
  for (const FailureDomain &Domain : Next.FailureDomains) {
    for (const Vm &Machine : this->Vms.Vms) {
      if (Machine.Role != VmRole::Target || Machine.Domain != Domain.Name) {
        continue;
      }
      if (Domain.TakenOut) {
        this->ClosedFrom.emplace(targetName(Machine), this->Now + InForce);
      } else {
        this->ClosedFrom.erase(targetName(Machine));
      }
    }
  }
  this->Published["platform"] = {++this->Revision, std::to_string(this->Parser.Platforms.size())};
  this->Parser.Platforms.push_back(std::move(Next));
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    this->deliverSettings(Index);
  }
}

void FleetFixture::changeTeam(const std::function<void(TeamSettings &)> &Change) {
  TeamSettings Next = this->Parser.Teams.back();
  Change(Next);
  this->Published["teams/team"] = {++this->Revision, std::to_string(this->Parser.Teams.size())};
  this->Parser.Teams.push_back(std::move(Next));
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    this->deliverSettings(Index);
  }
}

void FleetFixture::setDeparting(std::size_t Target) {
  const VmName Name("target-" + std::to_string(Target));
  ++this->Vms.Revision;
  for (Vm &Machine : this->Vms.Vms) {
    if (Machine.Name == Name) {
      Machine.State = VmState::Departing;
      this->ClosedFrom.emplace(targetName(Machine), this->Now + InForce);
    }
  }
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    if (this->Entries[Index].Node) {
      this->onEntry(Index, this->Entries[Index].Run, [this, Index, List = this->Vms] {
        this->Entries[Index].Node->onVmList(List, this->Now);
        this->carryOut(Index);
      });
    }
  }
}

int FleetFixture::runsOfKey(const std::string &Key) const {
  const auto Found = this->RunsOfKey.find(Key);
  return Found == this->RunsOfKey.end() ? 0 : Found->second;
}

void FleetFixture::at(TimePoint Due, std::function<void()> Action) {
  this->Events.push({Due, ++this->NextOrder, std::move(Action)});
}

void FleetFixture::onEntry(std::size_t Index, std::uint64_t Run,
                           const std::function<void()> &Action) {
  Entry &Each = this->Entries[Index];
  if (!Each.Node || Each.Run != Run) {
    return;
  }
  if (Each.Paused) {
    Each.Held.push_back([this, Index, Run, Action] { this->onEntry(Index, Run, Action); });
    return;
  }
  Action();
}

void FleetFixture::tick(std::size_t Index, std::uint64_t Run) {
  Entry &Each = this->Entries[Index];
  if (!Each.Node || Each.Run != Run) {
    return;
  }
  if (!Each.Paused) {
    Each.Node->onTick(this->Now);
    this->carryOut(Index);
  }
  this->at(this->Now + TickInterval, [this, Index, Run] { this->tick(Index, Run); });
}

void FleetFixture::carryOut(std::size_t Index) {
  for (const Effect &Next : this->Entries[Index].Node->takeEffects()) {
    if (const auto *Attempt = std::get_if<StartAttempt>(&Next)) {
      this->startWork(Index, *Attempt);
    } else if (const auto *Forward = std::get_if<StartForward>(&Next)) {
      this->forward(Index, *Forward);
    } else if (const auto *Refused = std::get_if<RefuseRequest>(&Next)) {
      this->endRequest(Index, Refused->Request, {Refused->Answer.Status, Refused->Answer.Outcome});
    } else if (const auto *Fetch = std::get_if<FetchSettings>(&Next)) {
      this->fetch(Index, Fetch->Entry);
    } else if (const auto *Watch = std::get_if<SetWatch>(&Next)) {
      this->Entries[Index].Watching = Watch->Active;
      this->deliverSettings(Index);
    } else if (const auto *Message = std::get_if<SendPeerMessage>(&Next)) {
      const auto To = this->indexOf(Message->Receiver);
      if (!To || !this->connected(Index, *To)) {
        continue;
      }
      this->at(this->Now + MessageDelay, [this, To = *To, Content = Message->Message] {
        this->onEntry(To, this->Entries[To].Run, [this, To, Content] {
          this->Entries[To].Node->onPeerMessage(Content, this->Now);
          this->carryOut(To);
        });
      });
    }
  }
}

void FleetFixture::startWork(std::size_t Index, const StartAttempt &Attempt) {
  const Origin From = this->Entries[Index].Origins.at(Attempt.Request);
  ++this->RunsOfRequest[From.Caller];
  if (!From.Head.IdempotencyKey.empty()) {
    ++this->RunsOfKey[From.Head.IdempotencyKey];
  }
  this->MostInFlight = std::max(this->MostInFlight, ++this->Working[Attempt.Target]);
  this->ForbiddenStarts += this->mustGetNoWork(Attempt.Target) ? 1 : 0;
  std::uniform_int_distribution<Duration::rep> Draw(1, this->LongestService.count());
  const TimePoint Done = this->Now + Duration(Draw(this->Engine));
  const bool InTime = Done < Attempt.Deadline;
  const TimePoint Started = this->Now;
  const std::uint64_t Run = this->Entries[Index].Run;
  // The target itself ends the work at the deadline header, also if the entry is paused or gone.
  this->at(std::min(Done, Attempt.Deadline), [this, Index, Run, Attempt, InTime, Started] {
    --this->Working[Attempt.Target];
    this->onEntry(Index, Run, [this, Index, Attempt, InTime, Started] {
      AttemptReport Report;
      Report.Outcome = InTime ? AttemptOutcome::Succeeded : AttemptOutcome::DeadlineExceeded;
      Report.AnswerStarted = InTime;
      Report.Status = InTime ? 200 : 0;
      Report.FirstByte = this->Now - Started;
      Report.Total = Report.FirstByte;
      this->Entries[Index].Node->onAttemptEnd(Attempt.Request, Report, this->Now);
      if (InTime) {
        this->endRequest(Index, Attempt.Request, {200, std::nullopt});
      }
      this->carryOut(Index);
    });
  });
}

void FleetFixture::forward(std::size_t Index, const StartForward &Forward) {
  const auto To = this->indexOf(Forward.Entry);
  const Origin From = this->Entries[Index].Origins.at(Forward.Request);
  const std::uint64_t Run = this->Entries[Index].Run;
  const auto Fail = [this, Index, Run, Number = Forward.Request](AttemptOutcome Outcome,
                                                                 bool Sent) {
    this->onEntry(Index, Run, [this, Index, Number, Outcome, Sent] {
      AttemptReport Report;
      Report.Outcome = Outcome;
      Report.Sent = Sent;
      this->Entries[Index].Node->onAttemptEnd(Number, Report, this->Now);
      this->carryOut(Index);
    });
  };
  if (!To || !this->connected(Index, *To) || !this->Entries[*To].Node) {
    this->at(this->Now + MessageDelay, [Fail] { Fail(AttemptOutcome::Failed, false); });
    return;
  }
  const std::uint64_t ToRun = this->Entries[*To].Run;
  this->at(this->Now + MessageDelay, [=, this, To = *To] {
    this->onEntry(To, ToRun, [=, this] {
      RequestHead Head = From.Head;
      Head.Forwarded = Forward.Mark;
      auto Admission = this->Entries[To].Node->onRequest(Head, this->Now);
      const Origin Child{From.Caller, std::pair(Index, Forward.Request), Run, Head};
      if (const auto *Refused = std::get_if<Refusal>(&Admission)) {
        this->Entries[To].Origins[0] = Child;
        this->endRequest(To, 0, {Refused->Status, Refused->Outcome});
      } else {
        this->Entries[To].Origins[std::get<RequestNumber>(Admission)] = Child;
      }
      this->carryOut(To);
    });
  });
  this->at(Forward.Deadline, [Fail] { Fail(AttemptOutcome::DeadlineExceeded, true); });
}

void FleetFixture::fetch(std::size_t Index, const VmName &Source) {
  const auto From = this->indexOf(Source);
  const std::uint64_t Run = this->Entries[Index].Run;
  this->at(this->Now + 2 * MessageDelay, [this, Index, Run, From, Source] {
    this->onEntry(Index, Run, [this, Index, From, Source] {
      const bool Reached = From && this->connected(Index, *From) && this->Entries[*From].Node &&
                           !this->Entries[*From].Paused;
      EntryNode &Node = *this->Entries[Index].Node;
      if (Reached) {
        const SettingsStore &Store = this->Entries[*From].Node->settings();
        for (const PathRevision &Each : Store.revisions()) {
          Node.onSettings(Each.Path, Each.Revision, *Store.text(Each.Path), Source, this->Now);
        }
      }
      Node.onSettingsFetched(Source, Reached, this->Now);
      this->carryOut(Index);
    });
  });
}

void FleetFixture::endRequest(std::size_t Index, RequestNumber Number,
                              const FixtureAnswer &Answer) {
  Entry &Each = this->Entries[Index];
  const auto Found = Each.Origins.find(Number);
  if (Found == Each.Origins.end()) {
    return;
  }
  const Origin From = Found->second;
  Each.Origins.erase(Found);
  if (!From.Forwarder) {
    this->Answers[From.Caller] = Answer;
    return;
  }
  const std::size_t Forwarder = From.Forwarder->first;
  const RequestNumber ForwarderNumber = From.Forwarder->second;
  if (!this->connected(Index, Forwarder)) {
    return;
  }
  this->at(this->Now + MessageDelay, [=, this] {
    this->onEntry(Forwarder, From.ForwarderRun, [=, this] {
      Entry &To = this->Entries[Forwarder];
      if (!To.Origins.contains(ForwarderNumber)) {
        return;
      }
      AttemptReport Report;
      Report.AnswerStarted = true;
      Report.Status = Answer.Status;
      Report.PeerOutcome = Answer.Outcome;
      To.Node->onAttemptEnd(ForwarderNumber, Report, this->Now);
      this->endRequest(Forwarder, ForwarderNumber, Answer);
      this->carryOut(Forwarder);
    });
  });
}

void FleetFixture::deliverSettings(std::size_t Index) {
  Entry &Each = this->Entries[Index];
  if (!Each.Node || !Each.Watching) {
    return;
  }
  ++this->ConfigurationReads;
  this->at(this->Now + MessageDelay, [this, Index, Run = Each.Run] {
    this->onEntry(Index, Run, [this, Index] {
      for (const auto &[Path, Value] : this->Published) {
        this->Entries[Index].Node->onSettings(Path, Value.first, Value.second, std::nullopt,
                                              this->Now);
      }
      this->carryOut(Index);
    });
  });
}

std::optional<std::size_t> FleetFixture::indexOf(const VmName &Name) const {
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    if (entryName(Index) == Name) {
      return Index;
    }
  }
  return std::nullopt;
}

bool FleetFixture::connected(std::size_t Left, std::size_t Right) const {
  return Left == Right || (!this->Entries[Left].Cut && !this->Entries[Right].Cut);
}

bool FleetFixture::mustGetNoWork(const TargetName &Target) const {
  const auto Found = this->ClosedFrom.find(Target);
  return Found != this->ClosedFrom.end() && Found->second <= this->Now;
}

} // namespace anvilsaddle
