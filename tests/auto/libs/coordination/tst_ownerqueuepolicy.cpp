#include "Property.h"
#include "coordination/OwnerQueuePolicy.h"

#include <algorithm>

using namespace anvilsaddle;

namespace {
constexpr std::uint32_t Slots = 3;

TargetName targetName(std::uint32_t Index) {
  return TargetName("vm" + std::to_string(Index) + "/s");
}

/// What a policy may do next, checked against a plain record of what it did.
struct Model {
  enum class Phase { Waiting, Running, Ended };
  struct Known {
    Phase State = Phase::Waiting;
    TargetName Target;
    TimePoint Sent;
    TimePoint Deadline;
    std::set<TargetName> Excluded;
  };

  OwnerQueuePolicy Policy;
  TimePoint Now{std::chrono::seconds(1)};
  std::map<RequestNumber, Known> Requests;
  std::set<TargetName> Usable;
  std::uint32_t Widest = 0;
  /// Good answers of each target since it appeared or last failed.
  std::map<TargetName, std::uint32_t> Proof;

  void setTargets(std::uint32_t Mask) {
    std::vector<DispatchTarget> Targets;
    std::set<TargetName> Next;
    for (std::uint32_t Index = 0; Index < 4; ++Index) {
      if ((Mask >> Index & 1U) == 0) {
        continue;
      }
      const TargetName Name = targetName(Index);
      Targets.push_back({Name, Slots});
      Next.insert(Name);
      if (!this->Usable.contains(Name)) {
        this->Proof[Name] = 0;
      }
    }
    this->Usable = Next;
    this->Policy.setTargets(Targets, this->Now);
  }

  void enqueue(RequestNumber Number, std::uint32_t Draw) {
    QueuedRequest Next;
    Next.Number = Number;
    Next.Customer = CustomerName("t.c" + std::to_string(Draw % 3));
    Next.Weight = 1 + Draw % 3;
    Next.Class = Draw % 4 == 0 ? RequestClass::Bulk : RequestClass::Interactive;
    Next.Deadline = this->Now + std::chrono::milliseconds(50 + Draw % 1000);
    if (Draw % 5 == 0) {
      Next.Excluded.insert(targetName(Draw % 4));
    }
    if (this->Policy.enqueue(Next, this->Now) == EnqueueOutcome::Queued) {
      this->Requests.emplace(
          Number, Known{Phase::Waiting, TargetName(), this->Now, Next.Deadline, Next.Excluded});
    }
  }

  std::map<TargetName, std::uint32_t> limits() const {
    std::map<TargetName, std::uint32_t> Result;
    for (const TargetStatus &Each : this->Policy.status()) {
      Result[Each.Target] = Each.Limit;
    }
    return Result;
  }

  void assign() {
    this->Policy.cancel(~RequestNumber{0}, this->Now);
    const auto Limits = this->limits();
    for (const Assignment &Each : this->Policy.assign(this->Now)) {
      Known &Subject = this->Requests.at(Each.Request);
      RC_ASSERT(Subject.State == Phase::Waiting);
      RC_ASSERT(this->Usable.contains(Each.Target));
      RC_ASSERT(!Subject.Excluded.contains(Each.Target));
      RC_ASSERT(Subject.Deadline > this->Now);
      Subject.State = Phase::Running;
      Subject.Target = Each.Target;
      Subject.Sent = this->Now;
      const std::uint32_t Running = this->running(Each.Target);
      this->Widest = std::max(this->Widest, Running);
      RC_ASSERT(Running <= Slots);
      RC_ASSERT(Running <= Limits.at(Each.Target));
      RC_ASSERT(Running == 1 || this->Proof[Each.Target] >= ConcurrencyLimiter::GrowthRun);
    }
    for (std::uint32_t Index = 0; Index < 4; ++Index) {
      RC_ASSERT(this->Policy.inFlight(targetName(Index)) == this->running(targetName(Index)));
    }
  }

  std::uint32_t running(const TargetName &Target) const {
    return static_cast<std::uint32_t>(
        std::count_if(this->Requests.begin(), this->Requests.end(), [&](const auto &Each) {
          return Each.second.State == Phase::Running && Each.second.Target == Target;
        }));
  }

  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(
        std::count_if(this->Requests.begin(), this->Requests.end(),
                      [](const auto &Each) { return Each.second.State == Phase::Waiting; }));
  }

  void end(std::uint32_t Draw, AttemptOutcome Outcome) {
    std::vector<RequestNumber> Running;
    for (const auto &[Number, Each] : this->Requests) {
      if (Each.State == Phase::Running) {
        Running.push_back(Number);
      }
    }
    if (Running.empty()) {
      return;
    }
    const RequestNumber Number = Running[Draw % Running.size()];
    Known &Subject = this->Requests.at(Number);
    const Duration Time = this->Now - Subject.Sent;
    Subject.State = Phase::Ended;
    if (Outcome == AttemptOutcome::Succeeded) {
      ++this->Proof[Subject.Target];
    } else if (Outcome == AttemptOutcome::Shed || Outcome == AttemptOutcome::Failed) {
      this->Proof[Subject.Target] = 0;
    }
    for (std::uint32_t Copy = 0; Copy < 1 + Draw % 2; ++Copy) {
      this->Policy.onAttemptEnd(Number, {Outcome, Time, Time, (Draw % 100) / 100.0}, this->Now);
    }
  }

  void expire() {
    for (const RequestNumber Number : this->Policy.expire(this->Now)) {
      RC_ASSERT(this->Requests.at(Number).State == Phase::Waiting);
      RC_ASSERT(this->Requests.at(Number).Deadline <= this->Now);
      this->Requests.at(Number).State = Phase::Ended;
    }
  }

  void step(std::uint32_t Kind, std::uint32_t Detail, RequestNumber &Next) {
    if (Kind == 0) {
      this->setTargets(Detail % 16);
    } else if (Kind == 1) {
      this->end(Detail, AttemptOutcome::Failed);
    } else if (Kind == 2) {
      this->end(Detail, AttemptOutcome::Shed);
    } else if (Kind == 3) {
      this->end(Detail, AttemptOutcome::DeadlineExceeded);
    } else if (Kind == 4) {
      this->cancel(Detail, Next);
    } else if (Kind < 36) {
      this->end(Detail, AttemptOutcome::Succeeded);
    } else {
      this->enqueue(Next++, Detail);
    }
  }

  void cancel(std::uint32_t Draw, RequestNumber Last) {
    const RequestNumber Number = Draw % (Last + 1);
    const auto Found = this->Requests.find(Number);
    const bool Waits = Found != this->Requests.end() && Found->second.State == Phase::Waiting;
    RC_ASSERT(this->Policy.cancel(Number, this->Now) == Waits);
    if (Waits) {
      Found->second.State = Phase::Ended;
    }
  }
};

QueuedRequest plain(RequestNumber Number, RequestClass Class = RequestClass::Interactive) {
  return {Number, CustomerName("t.a"), 1, 100'000, Class, TimePoint(std::chrono::hours(1)), {}};
}

/// Serves requests on all targets for some rounds; returns the last number used.
void serve(OwnerQueuePolicy &Policy, TimePoint &Now, RequestNumber &Next, int Rounds) {
  for (int Round = 0; Round < Rounds; ++Round) {
    for (int Index = 0; Index < 12; ++Index) {
      Policy.enqueue(plain(Next++), Now);
    }
    const auto Started = Policy.assign(Now);
    Now += Duration(10'000);
    for (const Assignment &Each : Started) {
      Policy.onAttemptEnd(
          Each.Request, {AttemptOutcome::Succeeded, Duration(10'000), Duration(10'000), 0.5}, Now);
    }
  }
}
} // namespace

class OwnerQueuePolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerQueuePolicyTest);
  CPPUNIT_TEST(anySequence);
  CPPUNIT_TEST(returningTarget);
  CPPUNIT_TEST(coldTurn);
  CPPUNIT_TEST(allTargetsSlow);
  CPPUNIT_TEST(bulkProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against work beyond slots or limits, double assignment, and lost requests, when answers
  /// are late, lost or duplicated and the set of targets changes.
  void anySequence() {
    checkProperty("limits hold and no request is lost", [] {
      // Long sequences, so that limits grow and fall several times.
      const auto Draws = *rc::gen::container<std::vector<std::uint32_t>>(
          1'000, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
      Model Subject;
      Subject.setTargets(0xF);
      RequestNumber Next = 0;
      for (const std::uint32_t Draw : Draws) {
        Subject.Now += Duration(Draw % 10'007);
        Subject.step(Draw % 64, Draw / 64, Next);
        Subject.expire();
        Subject.assign();
        RC_ASSERT(Subject.Policy.load().Queued == Subject.waiting());
      }
      if (Subject.Widest >= 2) {
        RC_TAG("a limit grew");
      }
      Subject.Now += std::chrono::seconds(10);
      Subject.expire();
      RC_ASSERT(Subject.waiting() == 0U);
    });
  }

  /// Guards against a returning target that gets its old limit, or more than its slots because
  /// work from before is forgotten.
  void returningTarget() {
    OwnerQueuePolicy Policy;
    TimePoint Now{};
    RequestNumber Next = 0;
    const std::vector<DispatchTarget> One{{targetName(0), Slots}};
    Policy.setTargets(One, Now);
    serve(Policy, Now, Next, 60);
    Policy.enqueue(plain(Next++), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Policy.assign(Now).size());
    Policy.setTargets(One, Now);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a target that stays keeps its limit", 3U,
                                 Policy.status().front().Limit);
    Policy.setTargets({}, Now);
    CPPUNIT_ASSERT(Policy.assign(Now).empty());
    Policy.setTargets(One, Now);
    CPPUNIT_ASSERT_EQUAL(1U, Policy.status().front().Limit);
    CPPUNIT_ASSERT_EQUAL(3U, Policy.inFlight(targetName(0)));
    CPPUNIT_ASSERT(Policy.assign(Now).empty());
  }

  /// Guards against a target that turns cold and still gets several requests at once.
  void coldTurn() {
    OwnerQueuePolicy Policy;
    TimePoint Now{};
    RequestNumber Next = 0;
    Policy.setTargets({{targetName(0), Slots}, {targetName(1), Slots}}, Now);
    serve(Policy, Now, Next, 40);
    const auto Started = Policy.assign(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Started.size());
    for (const Assignment &Each : Started) {
      const bool Cold = Each.Target == targetName(0);
      Policy.onAttemptEnd(Each.Request,
                          {Cold ? AttemptOutcome::Shed : AttemptOutcome::Succeeded,
                           Duration(10'000), Duration(10'000), 0.5},
                          Now);
    }
    std::uint32_t OnCold = 0;
    for (const Assignment &Each : Policy.assign(Now)) {
      OnCold += Each.Target == targetName(0) ? 1 : 0;
    }
    CPPUNIT_ASSERT(OnCold <= 1);
  }

  /// Guards against a service that stops because every target became slow at once.
  void allTargetsSlow() {
    OwnerQueuePolicy Policy;
    TimePoint Now{};
    RequestNumber Next = 0;
    Policy.setTargets({{targetName(0), Slots}, {targetName(1), Slots}}, Now);
    serve(Policy, Now, Next, 40);
    std::size_t Answered = 0;
    std::map<RequestNumber, TimePoint> Sent;
    const TimePoint Begin = Now;
    while (Now < Begin + std::chrono::seconds(20)) {
      for (auto Each = Sent.begin(); Each != Sent.end();) {
        if (Now - Each->second < Duration(100'000)) {
          ++Each;
          continue;
        }
        Policy.onAttemptEnd(Each->first,
                            {AttemptOutcome::Succeeded, Duration(100'000), Duration(100'000), 0.5},
                            Now);
        ++Answered;
        Each = Sent.erase(Each);
      }
      Policy.enqueue(plain(Next++), Now);
      for (const Assignment &Each : Policy.assign(Now)) {
        Sent.emplace(Each.Request, Now);
      }
      Now += Duration(5'000);
    }
    // Two targets that answer one request at a time in 100 ms give 400; three slots each 1,200.
    CPPUNIT_ASSERT(Answered >= 400);
  }

  /// Guards against bulk that starves behind a steady stream of interactive requests.
  void bulkProgress() {
    OwnerQueuePolicy Policy;
    TimePoint Now{};
    RequestNumber Next = 0;
    Policy.setTargets({{targetName(0), Slots}}, Now);
    std::set<RequestNumber> Bulk;
    for (; Next < 50; ++Next) {
      Policy.enqueue(plain(Next, RequestClass::Bulk), Now);
      Bulk.insert(Next);
    }
    std::size_t Started = 0;
    for (int Round = 0; Round < 100; ++Round) {
      for (int Index = 0; Index < 4; ++Index) {
        Policy.enqueue(plain(Next++), Now);
      }
      const auto Assigned = Policy.assign(Now);
      Now += Duration(10'000);
      for (const Assignment &Each : Assigned) {
        Started += Bulk.contains(Each.Request) ? 1 : 0;
        Policy.onAttemptEnd(Each.Request,
                            {AttemptOutcome::Succeeded, Duration(10'000), Duration(10'000), 0.5},
                            Now);
      }
    }
    CPPUNIT_ASSERT(Started >= 20 && Started <= 40);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerQueuePolicyTest);
