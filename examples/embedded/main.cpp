// Embeds the decisions of anvilsaddle in a program of its own: jobs with idempotency keys run on
// the targets of one group, in virtual time. Nothing here opens a socket or reads a clock. Exits
// with 1 if a job ran twice or was lost.
#include "coordination/GroupMap.h"
#include "coordination/KeyLedger.h"
#include "coordination/OwnerQueuePolicy.h"
#include "protocol/TomlSettingsParser.h"
#include "state/SettingsStore.h"
#include "state/VmList.h"

#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr const char *Platform = R"(
[[region]]
name = "north"
[[failure_domain]]
name = "north-a"
region = "north"
[[failure_domain]]
name = "north-b"
region = "north"
taken_out = true
[[service]]
name = "print"
slots = 2
)";

VmList makeTargets() {
  VmList Result;
  Result.Revision = 1;
  for (int Number = 1; Number <= 4; ++Number) {
    Vm Machine;
    Machine.Name = VmName("printer-" + std::to_string(Number));
    Machine.Address = "127.0.0.1";
    Machine.Port = static_cast<std::uint16_t>(9000 + Number);
    Machine.Domain = FailureDomainName(Number == 4 ? "north-b" : "north-a");
    Machine.Service = ServiceName("print");
    Result.Vms.push_back(Machine);
  }
  return Result;
}

/// Runs jobs on the targets that the policy chooses, each for the same time.
class JobRunner {
public:
  JobRunner(DispatchPolicy &Policy, KeyLedger &Ledger) : Policy(Policy), Ledger(Ledger) {}

  /// Returns false if the key was used before or the queue is full.
  bool submit(const std::string &Key) {
    const KeyAdmission Admission =
        this->Ledger.begin(this->Owner, Key, this->Now + 10min, this->Now);
    if (Admission != KeyAdmission::Admitted) {
      return false;
    }
    QueuedRequest Job;
    Job.Number = ++this->LastNumber;
    Job.Customer = this->Owner;
    Job.Deadline = this->Now + 1min;
    if (this->Policy.enqueue(Job, this->Now) != EnqueueOutcome::Queued) {
      this->Ledger.finish(this->Owner, Key, KeyState::NotRun, 0);
      return false;
    }
    this->Keys.emplace(Job.Number, Key);
    return true;
  }

  /// Lets virtual time pass until no job waits or runs.
  void runAll() {
    constexpr Duration JobTime = 10ms;
    constexpr int MostSteps = 10'000;
    for (int Step = 0; Step < MostSteps && !this->Keys.empty(); ++Step) {
      for (const Assignment &Next : this->Policy.assign(this->Now)) {
        this->Ends.emplace(this->Now + JobTime, Next);
      }
      for (const RequestNumber Expired : this->Policy.expire(this->Now)) {
        this->Ledger.finish(this->Owner, this->Keys.at(Expired), KeyState::NotRun, 0);
        this->Keys.erase(Expired);
      }
      this->Now += 1ms;
      while (!this->Ends.empty() && this->Ends.begin()->first <= this->Now) {
        const Assignment Ended = this->Ends.begin()->second;
        this->Ends.erase(this->Ends.begin());
        this->Policy.onAttemptEnd(Ended.Request, {AttemptOutcome::Succeeded, JobTime, JobTime},
                                  this->Now);
        this->Ledger.finish(this->Owner, this->Keys.at(Ended.Request), KeyState::Ran, 200);
        this->Keys.erase(Ended.Request);
        ++this->Runs[Ended.Target];
      }
    }
  }

  const std::map<TargetName, int> &runs() const { return this->Runs; }
  TimePoint now() const { return this->Now; }

private:
  DispatchPolicy &Policy;
  KeyLedger &Ledger;
  const CustomerName Owner{"office.printing"};
  TimePoint Now{};
  RequestNumber LastNumber = 0;
  /// Jobs that wait or run.
  std::map<RequestNumber, std::string> Keys;
  std::multimap<TimePoint, Assignment> Ends;
  std::map<TargetName, int> Runs;
};

} // namespace

int main() {
  const TomlSettingsParser Parser;
  SettingsStore Settings(Parser);
  const OfferResult Offered = Settings.offer("platform", 1, Platform);
  for (const Finding &Problem : Offered.Problems) {
    std::cerr << toString(Problem) << '\n';
  }
  const GroupMap Groups = computeGroups(Settings.snapshot(), makeTargets());
  if (Groups.size() != 1) {
    std::cerr << "expected one group\n";
    return 1;
  }
  std::vector<DispatchTarget> Targets;
  for (const GroupTarget &Each : Groups.begin()->second) {
    Targets.push_back({Each.Target, Each.Slots});
  }
  const std::unique_ptr<DispatchPolicy> Policy = std::make_unique<OwnerQueuePolicy>();
  Policy->setTargets(Targets, TimePoint());

  constexpr int Jobs = 60;
  KeyLedger Ledger(1000);
  JobRunner Runner(*Policy, Ledger);
  int Repeated = 0;
  for (int Job = 0; Job < Jobs; ++Job) {
    const std::string Key = "ticket." + std::to_string(Job);
    Runner.submit(Key);
    Repeated += Runner.submit(Key) ? 1 : 0;
  }
  Runner.runAll();

  int Total = 0;
  std::cout << "group " << toString(Groups.begin()->first) << '\n';
  for (const auto &[Target, Count] : Runner.runs()) {
    std::cout << Target.str() << ": " << Count << " jobs\n";
    Total += Count;
  }
  std::cout << Total << " of " << Jobs << " jobs ran in "
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                   Runner.now().time_since_epoch())
                   .count()
            << " ms of virtual time; repeated keys admitted: " << Repeated << '\n';
  return Total == Jobs && Repeated == 0 ? 0 : 1;
}
