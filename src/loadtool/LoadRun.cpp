#include "loadtool/LoadRun.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr Duration PreparePatience = std::chrono::seconds(15);
constexpr guint PreparePauseMicroseconds = 50'000;

TimePoint now() { return TimePoint(Duration(g_get_monotonic_time())); }

std::string addressOf(const Vm &Machine) {
  return Machine.Address + ":" + std::to_string(Machine.Port);
}

HttpCall entriesCall(const std::string &Address, const std::string &Credential) {
  HttpCall Result;
  Result.Url = "http://" + Address + "/v1/entries";
  Result.Credential = Credential;
  return Result;
}

} // namespace

struct LoadRun::Call {
  const RequestKind *Kind = nullptr;
  ScheduledRequest Scheduled;
  TimePoint Due;
  TimePoint FirstSent;
  std::string Address;
  std::string Key;
  unsigned Follows = 0;
};

LoadRun::LoadRun(const Scenario &Plan, const LoadOptions &Options)
    : Plan(Plan), Options(Options), Due(Plan), Timer([this] { this->onDue(); }), Report(Plan),
      Engine(Plan.Seed) {
  for (const RequestKind &Kind : Plan.Kinds) {
    if (!Options.Direct) {
      this->Answers.emplace(Kind.Credential, AnswerCache(Options.Entries));
    }
  }
}

std::string LoadRun::prepare() {
  const TimePoint GivesUpAt = now() + PreparePatience;
  for (auto &[Credential, Cache] : this->Answers) {
    while (!Cache.hasAnswer()) {
      const std::string Address = Cache.beginAsk();
      const HttpAnswer Answer = this->Http.sendAndWait(entriesCall(Address, Credential));
      const auto Parsed = Answer.Status == SOUP_STATUS_OK ? parseAddressAnswer(Answer.Body)
                                                          : std::optional<AddressAnswer>();
      if (Parsed) {
        Cache.onAnswer(*Parsed, now());
        continue;
      }
      Cache.onAskFailed(now());
      if (now() > GivesUpAt) {
        return "no address answer from " + Address + ", last status " +
               std::to_string(Answer.Status);
      }
      g_usleep(PreparePauseMicroseconds);
    }
  }
  const auto Before = this->readCounts();
  if (!Before) {
    return "a target does not answer GET /standin/counts";
  }
  for (const RunCounts &Each : *Before) {
    this->Keys.addRunsBefore(Each);
  }
  return {};
}

void LoadRun::run() {
  this->Start = now();
  this->LastAnswer = this->Start;
  this->Next = this->Due.next();
  this->Timer.set(this->Start + this->Next.Due);
  while (this->Report.count() < this->Plan.Count) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

void LoadRun::onDue() {
  // One wakeup sends everything that is due, so that a late wakeup doesn't delay later requests.
  while (this->Next.Number <= this->Plan.Count && this->Start + this->Next.Due <= now()) {
    this->start(this->Next, now());
    this->Next = this->Due.next();
  }
  if (this->Next.Number <= this->Plan.Count) {
    this->Timer.set(this->Start + this->Next.Due);
  }
}

void LoadRun::start(const ScheduledRequest &Scheduled, TimePoint Now) {
  auto Started = std::make_shared<Call>();
  Started->Kind = &this->Plan.Kinds[Scheduled.Kind];
  Started->Scheduled = Scheduled;
  Started->Due = this->Start + Scheduled.Due;
  Started->FirstSent = Now;
  if (!this->Options.Direct) {
    this->refresh(Started->Kind->Credential, Now);
  }
  Started->Address = this->destinationOf(*Started->Kind);
  Started->Key = this->keyOf(*Started->Kind, Scheduled.Number);
  this->send(Started);
}

void LoadRun::send(const CallPointer &Started) {
  HttpCall Request;
  Request.Method = Started->Kind->Method;
  Request.Url = "http://" + Started->Address + Started->Kind->Path;
  Request.Credential = Started->Kind->Credential;
  Request.IdempotencyKey = Started->Key;
  Request.BodyBytes = Started->Kind->BodyBytes;
  this->Http.send(Request,
                  [this, Started](const HttpAnswer &Answer) { this->onAnswer(Started, Answer); });
}

void LoadRun::onAnswer(const CallPointer &Ended, const HttpAnswer &Answer) {
  const RunKnowledge Run = judgeAnswer(Answer.Status, Answer.Outcome);
  if (!Ended->Key.empty()) {
    this->Keys.onAnswer(Ended->Key, Run);
  }
  if (Run == RunKnowledge::NotRun && this->follow(Ended, Answer)) {
    return;
  }
  this->finish(*Ended, Answer.Status, Run);
}

bool LoadRun::follow(const CallPointer &Ended, const HttpAnswer &Answer) {
  // A repeat with the same credential, path and region can't succeed where the caller is unknown.
  const bool Final =
      Answer.Status == SOUP_STATUS_UNAUTHORIZED || Answer.Status == SOUP_STATUS_NOT_FOUND;
  if (this->Options.Direct || Final || Ended->Follows >= this->Options.MaxFollows) {
    return false;
  }
  ++Ended->Follows;
  AnswerCache &Cache = this->Answers.at(Ended->Kind->Credential);
  if (!Answer.Ticket.empty()) {
    Cache.replaceTicket(Answer.Ticket);
    Ended->Key = this->keyOf(*Ended->Kind, Ended->Scheduled.Number);
  }
  const std::vector<std::string> Offered = splitEntries(Answer.Entries);
  const auto Other = std::ranges::find_if(
      Offered, [&Ended](const std::string &Entry) { return Entry != Ended->Address; });
  if (Other != Offered.end()) {
    Ended->Address = *Other;
  }
  if (Answer.RetryAfter == 0) {
    this->send(Ended);
    return true;
  }
  struct Delayed {
    LoadRun *Owner;
    CallPointer Waiting;
  };
  g_timeout_add_seconds_full(
      G_PRIORITY_DEFAULT, Answer.RetryAfter,
      [](gpointer Data) -> gboolean {
        const auto *Waited = static_cast<Delayed *>(Data);
        Waited->Owner->send(Waited->Waiting);
        return G_SOURCE_REMOVE;
      },
      new Delayed{this, Ended}, [](gpointer Data) { delete static_cast<Delayed *>(Data); });
  return true;
}

void LoadRun::finish(const Call &Ended, unsigned Status, RunKnowledge Run) {
  this->LastAnswer = now();
  CallOutcome Result;
  Result.Kind = Ended.Scheduled.Kind;
  Result.Status = Status;
  Result.Run = Run;
  Result.Lateness = Ended.FirstSent - Ended.Due;
  const Duration From = measuredFrom(Ended.Due - this->Start, Ended.FirstSent - this->Start);
  Result.Latency = this->LastAnswer - this->Start - From;
  Result.Follows = Ended.Follows;
  this->Report.add(Result);
}

void LoadRun::refresh(const std::string &Credential, TimePoint Now) {
  AnswerCache &Cache = this->Answers.at(Credential);
  if (!Cache.shouldAsk(Now)) {
    return;
  }
  this->Http.send(entriesCall(Cache.beginAsk(), Credential), [&Cache](const HttpAnswer &Answer) {
    const auto Parsed = Answer.Status == SOUP_STATUS_OK ? parseAddressAnswer(Answer.Body)
                                                        : std::optional<AddressAnswer>();
    if (Parsed) {
      Cache.onAnswer(*Parsed, now());
    } else {
      Cache.onAskFailed(now());
    }
  });
}

std::string LoadRun::destinationOf(const RequestKind &Kind) {
  if (!this->Options.Direct) {
    const AnswerCache &Cache = this->Answers.at(Kind.Credential);
    return Kind.Keyed ? Cache.issuer() : Cache.best();
  }
  std::vector<const Vm *> Candidates;
  for (const Vm &Each : this->Options.Targets) {
    if (Kind.Service.empty() || Each.Service.str() == Kind.Service) {
      Candidates.push_back(&Each);
    }
  }
  if (Candidates.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
  return addressOf(*Candidates[Draw(this->Engine)]);
}

std::string LoadRun::keyOf(const RequestKind &Kind, std::uint32_t Number) const {
  if (!Kind.Keyed) {
    return {};
  }
  const auto Known = this->Answers.find(Kind.Credential);
  const std::string Issued = Known == this->Answers.end() ? "direct" : Known->second.ticket();
  return formKey(this->Options.Ticket.empty() ? Issued : this->Options.Ticket, this->Plan.Seed,
                 Number);
}

std::optional<KeyFindings> LoadRun::checkKeys() {
  const auto After = this->readCounts();
  if (!After) {
    return std::nullopt;
  }
  for (const RunCounts &Each : *After) {
    this->Keys.addRuns(Each);
  }
  return this->Keys.check();
}

std::optional<std::vector<LoadRun::RunCounts>> LoadRun::readCounts() {
  std::vector<RunCounts> Result;
  for (const Vm &Each : this->Options.Targets) {
    HttpCall Question;
    Question.Url = "http://" + addressOf(Each) + "/standin/counts";
    const HttpAnswer Answer = this->Http.sendAndWait(Question);
    const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (Answer.Status != SOUP_STATUS_OK || !Json.is_object() || !Json.contains("keys")) {
      return std::nullopt;
    }
    const auto &Counts = Json["keys"];
    Result.push_back(Counts.is_object() ? Counts.get<RunCounts>() : RunCounts());
  }
  return Result;
}

} // namespace anvilsaddle
