#include "DispatchWorld.h"
#include "Property.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const char *const Names[] = {"n1", "n2", "r1", "r2", "f1", "f2"};
const char *const Domains[] = {"a1", "a1", "a2", "a2", "b1", "b2"};
constexpr std::size_t TargetCount = 6;

/// What the test knows of each request.
struct Asked {
  RequestAttributes Terms;
  bool Left = false;
};

/// A world in which everything that a target, an operator or a caller may do happens at random.
class Chaos {
public:
  explicit Chaos(std::uint64_t Seed) : World(Seed), Random(Seed + 1) {
    for (std::size_t Index = 0; Index < TargetCount; ++Index) {
      this->World.addTarget(Names[Index], Domains[Index]);
    }
    this->World.Decisions.setRemoteEntries({{RegionName("b"), {{"10.2.0.1", 7200}}}});
    this->World.OnProbe = [this](const TargetName &) { return this->probePlan(); };
    this->World.OnSend = [this](const SendAttempt &Order) {
      this->checkSend(Order);
      return this->attemptPlan();
    };
  }

  void step() {
    const double Draw = this->Random.uniform();
    if (Draw < 0.7) {
      this->ask();
    } else if (Draw < 0.8) {
      this->publish();
    } else if (Draw < 0.85 && !this->Requests.empty()) {
      const RequestNumber Number = this->pick(this->World.sent().size() + 1) + 1;
      if (this->Requests.contains(Number) && !this->World.finalOf(Number)) {
        this->Requests[Number].Left = true;
        this->World.leave(Number);
      }
    } else if (Draw < 0.87) {
      // The process stood still.
      this->World.Now += 700ms;
    }
    this->World.run(Duration(static_cast<std::int64_t>(this->Random.uniform() * 40'000)));
  }

  void finish() {
    this->World.run(10s);
    for (const auto &[Number, Each] : this->Requests) {
      this->checkEnd(Number, Each);
    }
    RC_ASSERT(this->World.Decisions.requestCount() == 0U);
    RC_ASSERT(this->World.Faults.empty());
    for (const auto &[Name, View] : this->World.Decisions.targets().all()) {
      RC_ASSERT(View.InFlight == 0U);
    }
  }

private:
  std::size_t pick(std::size_t Count) {
    return static_cast<std::size_t>(this->Random.uniform() * static_cast<double>(Count));
  }

  void ask() {
    RequestAttributes Terms = this->World.terms(this->Random.uniform() < 0.5);
    Terms.IsForwarded = this->Random.uniform() < 0.2;
    Terms.MayQueue = !Terms.IsForwarded || this->Random.uniform() < 0.5;
    Terms.MaxTargets = 1 + static_cast<std::uint32_t>(this->pick(3));
    Terms.Priority = static_cast<std::uint32_t>(this->pick(3));
    if (this->Random.uniform() < 0.3) {
      Terms.HomeRegions = {RegionName(this->Random.uniform() < 0.5 ? "a" : "b")};
    }
    const RequestNumber Expected = this->Requests.size() + 1;
    this->Requests[Expected] = {Terms, false};
    RC_ASSERT(this->World.request(Terms) == Expected);
  }

  void publish() {
    const std::size_t Index = this->pick(TargetCount);
    const double Draw = this->Random.uniform();
    if (Draw < 0.3) {
      this->World.publish(TargetRemoved{TargetName(Names[Index])});
    } else if (Draw < 0.8) {
      this->World.addTarget(Names[Index], Domains[Index], Draw < 0.5);
    } else {
      this->World.publish(DomainEvacuation{FailureDomainName(Domains[Index]), Draw < 0.9});
    }
  }

  DispatchWorld::ProbePlan probePlan() {
    const double Draw = this->Random.uniform();
    if (Draw < 0.05) {
      return std::monostate();
    }
    if (Draw < 0.15) {
      return Draw < 0.1 ? ProbeFailure::Unreachable : ProbeFailure::WrongTarget;
    }
    ProbeReport Result;
    Result.HasLoad = Draw < 0.95;
    Result.Load = {static_cast<std::uint32_t>(this->pick(5)),
                   static_cast<std::uint32_t>(this->pick(4)), 3, 1 + 4 * this->Random.uniform()};
    Result.Healthy = this->Random.uniform() < 0.9;
    Result.ColdFor = this->Random.uniform() < 0.1 ? 1s : 0s;
    return Result;
  }

  DispatchWorld::AttemptPlan attemptPlan() {
    using enum AttemptOutcome;
    constexpr AttemptOutcome Outcomes[] = {Succeeded,   Succeeded, Succeeded,  TargetError,
                                           NotExecuted, NotSent,   Interrupted};
    return {Duration(static_cast<std::int64_t>(this->Random.uniform() * 400'000)),
            Outcomes[this->pick(std::size(Outcomes))]};
  }

  /// Checks what must hold at the moment of a send.
  void checkSend(const SendAttempt &Order) {
    const Asked &Each = this->Requests.at(Order.Request);
    RC_ASSERT(!Each.Left);
    RC_ASSERT(this->World.Now < Each.Terms.Deadline);
    const RegionName Region = this->regionOf(Order);
    const std::set<RegionName> &Home = Each.Terms.HomeRegions;
    RC_ASSERT(Home.empty() || Home.contains(Region));
    RC_ASSERT(!Each.Terms.IsForwarded || Region == RegionName("a"));
    std::set<TargetName> Used;
    std::size_t MayRun = 0;
    for (const auto &Sent : this->World.sentOf(Order.Request)) {
      RC_ASSERT(Used.insert(Sent.Order.Target).second);
      const bool DidNotRun =
          Sent.Outcome == AttemptOutcome::NotExecuted || Sent.Outcome == AttemptOutcome::NotSent;
      const bool IsThis = Sent.Order.Attempt == Order.Attempt;
      const std::size_t Targets = Sent.Order.Forward ? Sent.Order.Forward->MaxTargets : 1;
      MayRun += Sent.Order.Forward && DidNotRun ? 0 : Targets;
      RC_ASSERT(Each.Terms.Idempotent || DidNotRun || IsThis);
    }
    RC_ASSERT(MayRun <= Each.Terms.MaxTargets);
  }

  /// Where a send goes; checks that a target may get new work.
  RegionName regionOf(const SendAttempt &Order) {
    if (Order.Forward) {
      return RegionName("b");
    }
    RC_ASSERT(this->World.Decisions.targets().isUsable(Order.Target));
    const TargetState &View = *this->World.Decisions.targets().find(Order.Target);
    return RegionName(View.Registration.Domain.str().substr(0, 1));
  }

  /// Checks that the request ended once, in time, and with a true answer.
  void checkEnd(RequestNumber Number, const Asked &Each) {
    const DispatchWorld::Final *End = this->World.finalOf(Number);
    RC_ASSERT((End != nullptr) == !Each.Left);
    if (!End) {
      return;
    }
    // A pause of the process comes on top.
    RC_ASSERT(End->Time <= Each.Terms.Deadline + 710ms);
    if (!End->Refused || End->Refused->Kind != RefusalKind::NotExecuted) {
      return;
    }
    for (const auto &Sent : this->World.sentOf(Number)) {
      RC_ASSERT(Sent.Outcome == AttemptOutcome::NotExecuted ||
                Sent.Outcome == AttemptOutcome::NotSent);
    }
  }

  DispatchWorld World;
  SeededRandom Random;
  std::map<RequestNumber, Asked> Requests;
};

} // namespace

class DispatchPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchPropertyTest);
  CPPUNIT_TEST(promisesHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a request that runs twice though it must not, a false "not run", work outside
  /// home regions or at targets that leave, too many targets for a request, work for callers that
  /// left, and requests that never end.
  void promisesHoldUnderRandomFaults() {
    checkProperty("promises hold", [] {
      Chaos Run(*rc::gen::arbitrary<std::uint32_t>());
      const int Steps = *rc::gen::inRange(1, 120);
      for (int Index = 0; Index < Steps; ++Index) {
        Run.step();
      }
      Run.finish();
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchPropertyTest);
