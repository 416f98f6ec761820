#include "DispatcherHarness.h"
#include "Property.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const char *const Names[] = {"n1", "n2", "r1", "r2", "f1", "f2"};
const char *const Domains[] = {"a1", "a1", "a2", "a2", "b1", "b2"};
constexpr std::size_t TargetCount = 6;

/// A request as the test issued it.
struct IssuedRequest {
  RequestAttributes Attributes;
  bool IsDisconnected = false;
};

/// Runs a dispatcher while targets, operators and callers behave at random.
class RandomizedRun {
public:
  explicit RandomizedRun(std::uint64_t Seed) : Harness(Seed), Random(Seed + 1) {
    for (std::size_t Index = 0; Index < TargetCount; ++Index) {
      this->Harness.addTarget(Names[Index], Domains[Index]);
    }
    this->Harness.TestedDispatcher.setRemoteEntries({{RegionName("b"), {{"10.2.0.1", 7200}}}});
    this->Harness.OnProbe = [this](const TargetName &) { return this->randomProbeBehavior(); };
    this->Harness.OnSend = [this](const SendAttempt &Send) {
      this->checkSend(Send);
      return this->randomAttemptBehavior();
    };
  }

  void step() {
    const double RandomValue = this->Random.uniform();
    if (RandomValue < 0.7) {
      this->issueRequest();
    } else if (RandomValue < 0.8) {
      this->publishRandomChange();
    } else if (RandomValue < 0.85 && !this->Requests.empty()) {
      const RequestNumber Number = this->randomIndex(this->Harness.sent().size() + 1) + 1;
      if (this->Requests.contains(Number) && !this->Harness.completionOf(Number)) {
        this->Requests[Number].IsDisconnected = true;
        this->Harness.disconnect(Number);
      }
    } else if (RandomValue < 0.87) {
      // Simulates a pause of the process.
      this->Harness.Now += 700ms;
    }
    this->Harness.run(Duration(static_cast<std::int64_t>(this->Random.uniform() * 40'000)));
  }

  void finishAndCheck() {
    this->Harness.run(10s);
    for (const auto &[Number, Each] : this->Requests) {
      this->checkCompletion(Number, Each);
    }
    RC_ASSERT(this->Harness.TestedDispatcher.requestCount() == 0U);
    RC_ASSERT(this->Harness.Violations.empty());
    for (const auto &[Name, State] : this->Harness.TestedDispatcher.targets().all()) {
      RC_ASSERT(State.InFlight == 0U);
    }
  }

private:
  std::size_t randomIndex(std::size_t Count) {
    return static_cast<std::size_t>(this->Random.uniform() * static_cast<double>(Count));
  }

  void issueRequest() {
    RequestAttributes Attributes = this->Harness.attributes(this->Random.uniform() < 0.5);
    Attributes.CameFromOtherEntry = this->Random.uniform() < 0.2;
    Attributes.MayQueue = !Attributes.CameFromOtherEntry || this->Random.uniform() < 0.5;
    Attributes.MaxTargets = 1 + static_cast<std::uint32_t>(this->randomIndex(3));
    Attributes.Priority = static_cast<std::uint32_t>(this->randomIndex(3));
    if (this->Random.uniform() < 0.3) {
      Attributes.HomeRegions = {RegionName(this->Random.uniform() < 0.5 ? "a" : "b")};
    }
    const RequestNumber Expected = this->Requests.size() + 1;
    this->Requests[Expected] = {Attributes, false};
    RC_ASSERT(this->Harness.request(Attributes) == Expected);
  }

  void publishRandomChange() {
    const std::size_t Index = this->randomIndex(TargetCount);
    const double RandomValue = this->Random.uniform();
    if (RandomValue < 0.3) {
      this->Harness.publish(TargetRemoved{TargetName(Names[Index])});
    } else if (RandomValue < 0.8) {
      this->Harness.addTarget(Names[Index], Domains[Index], RandomValue < 0.5);
    } else {
      this->Harness.publish(DomainEvacuation{FailureDomainName(Domains[Index]), RandomValue < 0.9});
    }
  }

  DispatcherHarness::ProbeBehavior randomProbeBehavior() {
    const double RandomValue = this->Random.uniform();
    if (RandomValue < 0.05) {
      return std::monostate();
    }
    if (RandomValue < 0.15) {
      return RandomValue < 0.1 ? ProbeFailure::Unreachable : ProbeFailure::WrongTarget;
    }
    ProbeReport Result;
    Result.HasLoad = RandomValue < 0.95;
    Result.Load = {static_cast<std::uint32_t>(this->randomIndex(5)),
                   static_cast<std::uint32_t>(this->randomIndex(4)), 3,
                   1 + 4 * this->Random.uniform()};
    Result.Healthy = this->Random.uniform() < 0.9;
    Result.ColdFor = this->Random.uniform() < 0.1 ? 1s : 0s;
    return Result;
  }

  DispatcherHarness::AttemptBehavior randomAttemptBehavior() {
    using enum AttemptOutcome;
    constexpr AttemptOutcome Outcomes[] = {Succeeded,   Succeeded, Succeeded,  TargetError,
                                           NotExecuted, NotSent,   Interrupted};
    return {Duration(static_cast<std::int64_t>(this->Random.uniform() * 400'000)),
            Outcomes[this->randomIndex(std::size(Outcomes))]};
  }

  /// Checks the invariants at the time of a send.
  void checkSend(const SendAttempt &Send) {
    const IssuedRequest &Each = this->Requests.at(Send.Request);
    RC_ASSERT(!Each.IsDisconnected);
    RC_ASSERT(this->Harness.Now < Each.Attributes.Deadline);
    const RegionName Region = this->regionOf(Send);
    const std::set<RegionName> &HomeRegions = Each.Attributes.HomeRegions;
    RC_ASSERT(HomeRegions.empty() || HomeRegions.contains(Region));
    RC_ASSERT(!Each.Attributes.CameFromOtherEntry || Region == RegionName("a"));
    std::set<TargetName> UsedTargets;
    std::size_t ReservedTargets = 0;
    for (const auto &Sent : this->Harness.sentOf(Send.Request)) {
      RC_ASSERT(UsedTargets.insert(Sent.Send.Target).second);
      const bool WasNotExecuted =
          Sent.Outcome == AttemptOutcome::NotExecuted || Sent.Outcome == AttemptOutcome::NotSent;
      const bool IsThisAttempt = Sent.Send.Attempt == Send.Attempt;
      const std::size_t Targets = Sent.Send.Forward ? Sent.Send.Forward->MaxTargets : 1;
      ReservedTargets += Sent.Send.Forward && WasNotExecuted ? 0 : Targets;
      RC_ASSERT(Each.Attributes.Idempotent || WasNotExecuted || IsThisAttempt);
    }
    RC_ASSERT(ReservedTargets <= Each.Attributes.MaxTargets);
  }

  /// Returns the region to which a request is sent; checks that its target may get new requests.
  RegionName regionOf(const SendAttempt &Send) {
    if (Send.Forward) {
      return RegionName("b");
    }
    RC_ASSERT(this->Harness.TestedDispatcher.targets().isUsable(Send.Target));
    const TargetState &State = *this->Harness.TestedDispatcher.targets().find(Send.Target);
    return RegionName(State.Registration.Domain.str().substr(0, 1));
  }

  /// Checks that the request ended once, in time, and with a correct result.
  void checkCompletion(RequestNumber Number, const IssuedRequest &Each) {
    const DispatcherHarness::Completion *End = this->Harness.completionOf(Number);
    RC_ASSERT((End != nullptr) == !Each.IsDisconnected);
    if (!End) {
      return;
    }
    // A simulated pause of the process adds to the deadline.
    RC_ASSERT(End->Time <= Each.Attributes.Deadline + 710ms);
    if (!End->Refusal || End->Refusal->Kind != RefusalKind::NotExecuted) {
      return;
    }
    for (const auto &Sent : this->Harness.sentOf(Number)) {
      RC_ASSERT(Sent.Outcome == AttemptOutcome::NotExecuted ||
                Sent.Outcome == AttemptOutcome::NotSent);
    }
  }

  DispatcherHarness Harness;
  SeededRandom Random;
  std::map<RequestNumber, IssuedRequest> Requests;
};

} // namespace

class DispatchPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchPropertyTest);
  CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a request that is executed twice although it is not idempotent, a wrong "not
  /// executed" result, requests outside their home regions or at unusable targets, too many targets
  /// for a request, requests sent for callers that disconnected, and requests that never end.
  void invariantsHoldUnderRandomFaults() {
    checkProperty("invariants hold", [] {
      RandomizedRun Run(*rc::gen::arbitrary<std::uint32_t>());
      const int Steps = *rc::gen::inRange(1, 120);
      for (int Index = 0; Index < Steps; ++Index) {
        Run.step();
      }
      Run.finishAndCheck();
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchPropertyTest);
