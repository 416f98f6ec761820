#include "Batches.h"
#include "Property.h"
#include "coordination/dispatch/TargetTable.h"
#include "coordination/publications/PublicationLog.h"

#include <functional>
#include <optional>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1s};
const ServiceName Board("board");

Target makeTarget(const char *Name, const char *Domain = "d1", std::int64_t StartedUnixMs = 1) {
  Target Result;
  Result.Name = TargetName(Name);
  Result.Service = Board;
  Result.Address = {"10.0.0.1", 80};
  Result.Domain = FailureDomainName(Domain);
  Result.Slots = 3;
  Result.StartedUnixMilliseconds = StartedUnixMs;
  return Result;
}

Target draining(Target Value) {
  Value.Draining = true;
  return Value;
}

std::string usableNames(TargetTable &Table) {
  std::string Result;
  for (const TargetState *Each : Table.usableTargets(Board)) {
    Result += Each->Registration.Name.str();
  }
  return Result;
}

} // namespace

class TargetTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetTableTest);
  CPPUNIT_TEST(publications);
  CPPUNIT_TEST(removalsAfterOutage);
  CPPUNIT_TEST(removalsAfterALostConnection);
  CPPUNIT_TEST(restoredSource);
  CPPUNIT_TEST(restoredTwice);
  CPPUNIT_TEST(restartWithSameName);
  CPPUNIT_TEST(probes);
  CPPUNIT_TEST(failuresDecay);
  CPPUNIT_TEST(conditionsBelongToTheStart);
  CPPUNIT_TEST(leavingTargetsStayUnused);
  CPPUNIT_TEST(leavingTargetsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests to a target that has left, because the entry takes a lost connection
  /// to the source for an outage in which the registration expired.
  void removalsAfterALostConnection() {
    struct Case {
      const char *Name;
      Duration Outage;
      const char *UsableAfterRemoval;
    };
    const Case Table[] = {
        {"lost connection", 300ms, ""},
        {"unanswered check", 1200ms, ""},
        {"registrations may have expired", 2s, "a"},
        {"the source was never reached", Duration::max(), "a"},
    };
    for (const Case &Each : Table) {
      TargetTable Targets;
      Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}), Start);
      Targets.onSourceRecovered(Each.Outage, Start + 5s);
      Targets.apply(batch(false, {TargetRemoved{TargetName("a")}}), Start + 5s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.UsableAfterRemoval),
                                   usableNames(Targets));
      Targets.onTick(Start + 5s + TargetTable::ReregistrationTimeout);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(), usableNames(Targets));
    }
  }

  /// Guards against requests to targets that drain, are removed, or whose failure domain is
  /// evacuated.
  void publications() {
    const PublicationBatch All =
        batch(true, {TargetRegistered{makeTarget("a")}, TargetRegistered{makeTarget("b", "d2")}});
    struct Case {
      const char *Name;
      PublicationBatch Batch;
      const char *Usable;
    };
    const FailureDomainName Second("d2");
    const Case Table[] = {
        {"none", batch(false, {}), "ab"},
        {"draining", batch(false, {TargetRegistered{draining(makeTarget("a"))}}), "b"},
        {"removed", batch(false, {TargetRemoved{TargetName("b")}}), "a"},
        {"unknown removed", batch(false, {TargetRemoved{TargetName("x")}}), "ab"},
        {"evacuated", batch(false, {DomainEvacuation{Second, true}}), "a"},
        {"evacuation ended",
         batch(false, {DomainEvacuation{Second, true}, DomainEvacuation{Second, false}}), "ab"},
        {"snapshot without b", batch(true, {TargetRegistered{makeTarget("a")}}), "a"},
        {"snapshot with evacuated domain",
         batch(true, {TargetRegistered{makeTarget("a")}, TargetRegistered{makeTarget("b", "d2")},
                      DomainEvacuation{Second, true}}),
         "a"},
        {"moved to another service", batch(false, {TargetRegistered{[] {
                                             Target Value = makeTarget("b");
                                             Value.Service = ServiceName("book");
                                             return Value;
                                           }()}}),
         "a"},
    };
    for (const Case &Each : Table) {
      TargetTable Targets;
      Targets.apply(All, Start);
      Targets.apply(Each.Batch, Start);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.Usable), usableNames(Targets));
    }
  }

  /// Guards against the removal of targets whose registrations expired during an outage of the
  /// store, and against targets that are kept although their registration is not renewed.
  void removalsAfterOutage() {
    const PublicationBatch Removal = batch(false, {TargetRemoved{TargetName("a")}});
    TargetTable Targets;
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}), Start);
    Targets.deferRemovals(TargetTable::ReregistrationTimeout, Start + 5s);
    Targets.apply(Removal, Start + 5s);
    Targets.onTick(Start + 6s);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), usableNames(Targets));
    Targets.apply(batch(false, {TargetRegistered{makeTarget("a")}}), Start + 6s);
    Targets.onTick(Start + 8s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("registration renewed", std::string("a"), usableNames(Targets));
    Targets.deferRemovals(TargetTable::ReregistrationTimeout, Start + 10s);
    Targets.apply(Removal, Start + 10s);
    Targets.onTick(Start + 10s + TargetTable::ReregistrationTimeout);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("registration not renewed", std::string(), usableNames(Targets));
    Targets.apply(batch(false, {TargetRegistered{makeTarget("a")}}), Start + 15s);
    Targets.apply(Removal, Start + 15s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("long after the outage", std::string(), usableNames(Targets));
  }

  /// Guards against targets and evacuations that are lost, or that return, because the source of
  /// publications returned from an older copy and lists the state of then.
  void restoredSource() {
    using Publications = std::vector<Publication>;
    const auto Registered = [](const char *Name, std::int64_t Sequence, bool IsDraining = false) {
      Target Value = makeTarget(Name);
      Value.Sequence = Sequence;
      Value.Draining = IsDraining;
      return TargetRegistered{Value};
    };
    const auto Removed = [](const char *Name) { return TargetRemoved{TargetName(Name)}; };
    const DomainEvacuation Evacuated{FailureDomainName("d1"), true};
    const DomainEvacuation Returned{FailureDomainName("d1"), false};
    Target Restarted = makeTarget("a", "d1", 2);
    Restarted.Sequence = 1;
    struct Case {
      const char *Name;
      /// Changes before the restore, and what the copy lists.
      Publications Before;
      Publications Copy;
      /// Changes during the removal delay.
      Publications Later;
      const char *UsableAtOnce;
      const char *UsableAtEnd;
    };
    const Case Table[] = {
        {"missing target", {Registered("a", 1)}, {}, {}, "a", ""},
        {"missing target registers", {Registered("a", 1)}, {}, {Registered("a", 1)}, "a", "a"},
        {"announced shutdown", {Registered("a", 9, true)}, {Registered("a", 1)}, {}, "", ""},
        {"written again",
         {Registered("a", 9, true)},
         {Registered("a", 1)},
         {Registered("a", 10)},
         "",
         "a"},
        {"newer registration", {Registered("a", 9, true)}, {Registered("a", 12)}, {}, "a", "a"},
        {"restarted before the restore",
         {Registered("a", 9, true), TargetRegistered{Restarted}},
         {Registered("a", 9, true)},
         {},
         "a",
         "a"},
        {"restarted after the copy",
         {Registered("a", 9, true), Removed("a")},
         {TargetRegistered{Restarted}},
         {},
         "a",
         "a"},
        {"left", {Registered("a", 9, true), Removed("a")}, {Registered("a", 1)}, {}, "", ""},
        {"expired", {Registered("a", 1), Removed("a")}, {Registered("a", 1)}, {}, "", "a"},
        {"expired and removed again",
         {Registered("a", 1), Removed("a")},
         {Registered("a", 1)},
         {Removed("a")},
         "",
         ""},
        {"missing evacuation", {Registered("a", 1), Evacuated}, {Registered("a", 1)}, {}, "", "a"},
        {"missing evacuation is published again",
         {Registered("a", 1), Evacuated},
         {Registered("a", 1)},
         {Evacuated},
         "",
         ""},
        {"ended evacuation",
         {Registered("a", 1), Evacuated, Returned},
         {Registered("a", 1), Evacuated},
         {Returned},
         "a",
         "a"},
        {"ended evacuation is still listed",
         {Registered("a", 1), Evacuated, Returned},
         {Registered("a", 1), Evacuated},
         {},
         "a",
         ""},
        {"unknown evacuation", {Registered("a", 1)}, {Registered("a", 1), Evacuated}, {}, "", ""},
    };
    for (const Case &Each : Table) {
      // An entry gets the copy as a snapshot or, from another entry, as the changes that it makes.
      for (const bool IsFetched : {false, true}) {
        TargetTable Targets;
        PublicationLog Log;
        const auto Apply = [&](const PublicationBatch &Batch, TimePoint Now) {
          const SourcePosition Before = Log.position();
          CPPUNIT_ASSERT_MESSAGE(Each.Name, Log.apply(Batch));
          Targets.apply(IsFetched ? Log.batchSince(Before) : Batch, Now);
        };
        Apply(batch(true, {}, 0, 10, 1), Start);
        for (const Publication &Change : Each.Before) {
          const std::int64_t Revision = Log.position().Revision;
          Apply(batch(false, {Change}, Revision, Revision + 1, 1), Start);
        }
        const TimePoint Restore = Start + 5s;
        Apply(batch(true, Each.Copy, 0, 9, 2), Restore);
        Targets.onTick(Restore + 100ms);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.UsableAtOnce),
                                     usableNames(Targets));
        Apply(batch(true, Each.Copy, 0, 9, 2), Restore + 500ms);
        Targets.onTick(Restore + 500ms);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(Each.Name) + ", listed twice",
                                     std::string(Each.UsableAtOnce), usableNames(Targets));
        Apply(batch(false, Each.Later, 9, 10, 2), Restore + 1s);
        Targets.onTick(Restore + TargetTable::ReregistrationTimeout);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.UsableAtEnd),
                                     usableNames(Targets));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0},
                                     Targets.retainedCount() + Targets.postponedCount());
      }
    }
  }

  /// Guards against targets that are dropped or kept too long when the source returns from older
  /// copies several times in quick succession.
  void restoredTwice() {
    TargetTable Targets;
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}, 0, 10, 1), Start);
    for (const std::int64_t Epoch : {2, 3}) {
      const TimePoint Restore = Start + std::chrono::seconds(Epoch);
      Targets.apply(batch(true, {}, 0, 9, Epoch), Restore);
    }
    Targets.onTick(Start + 4900ms);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), usableNames(Targets));
    Targets.onTick(Start + 5s);
    CPPUNIT_ASSERT_EQUAL(std::string(), usableNames(Targets));
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}, 0, 9, 4), Start + 6s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("it was only missing in a copy", std::string("a"),
                                 usableNames(Targets));
  }

  /// Guards against load, failures and cold state of an earlier start that are taken for those of a
  /// restarted target.
  void restartWithSameName() {
    TargetTable Targets;
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a", "d1", 1)}}), Start);
    const TargetName Name("a");
    Targets.onLoad(Name, {1, 0, 3, 1.0}, Start);
    Targets.onAttemptEnd(Name, true, Start);
    Target Restarted = makeTarget("a", "d1", 2);
    Restarted.RemainingColdTime = 3s;
    Targets.apply(batch(false, {TargetRegistered{Restarted}}), Start + 1s);
    const TargetState &State = *Targets.find(Name);
    CPPUNIT_ASSERT(!State.Load);
    CPPUNIT_ASSERT_EQUAL(0.0, TargetTable::decayedFailureScore(State, Start + 1s));
    CPPUNIT_ASSERT(State.isCold(Start + 2s) && !State.isCold(Start + 4s));
    Targets.onLoad(Name, {1, 0, 3, 1.0}, Start + 2s);
    Targets.apply(batch(false, {TargetRegistered{Restarted}}), Start + 2s);
    CPPUNIT_ASSERT_MESSAGE("the same start keeps the load report", Targets.find(Name)->Load);
  }

  /// Guards against a failed target that is probed continuously, and against one that is never
  /// probed again.
  void probes() {
    TargetTable Targets;
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}), Start);
    const TargetName Name("a");
    const Duration Table[] = {200ms, 400ms, 800ms, 1600ms, 2s, 2s};
    TimePoint Now = Start;
    for (const Duration &Expected : Table) {
      Targets.onProbeFailed(Name, ProbeFailure::Unreachable, Now);
      CPPUNIT_ASSERT(Targets.find(Name)->BackoffUntil == Now + Expected);
      Now = Targets.find(Name)->BackoffUntil;
    }
    Targets.onProbe(Name, {true, {1, 0, 3, 2.0}, false, 500ms}, Now);
    const TargetState &State = *Targets.find(Name);
    CPPUNIT_ASSERT(State.BackoffUntil <= Now && !State.Healthy && State.isCold(Now + 400ms));
    CPPUNIT_ASSERT(State.Load && State.Load->Slowdown == 2.0);
    Targets.onProbeFailed(Name, ProbeFailure::WrongTarget, Now);
    CPPUNIT_ASSERT(Targets.find(Name)->BackoffUntil == Now + 2s);
    Targets.onProbe(TargetName("unknown"), {}, Now);
  }

  /// Guards against a target that gets no requests forever after a few failures.
  void failuresDecay() {
    TargetTable Targets;
    Targets.apply(batch(true, {TargetRegistered{makeTarget("a")}}), Start);
    const TargetName Name("a");
    Targets.onSent(Name);
    Targets.onSent(Name);
    Targets.onAttemptEnd(Name, true, Start);
    Targets.onAttemptEnd(Name, true, Start);
    Targets.onAttemptEnd(Name, false, Start);
    const TargetState &State = *Targets.find(Name);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, State.InFlight);
    const std::pair<Duration, double> Table[] = {{0s, 2.0}, {2s, 1.0}, {4s, 0.5}, {6s, 0.25}};
    for (const auto &[Age, Expected] : Table) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Expected, TargetTable::decayedFailureScore(State, Start + Age),
                                   1e-9);
    }
  }

  /// Guards against demands of a target that outlive it, are forgotten while the target repeats
  /// them, or are ended by a response that merely does not mention them.
  void conditionsBelongToTheStart() {
    const TargetName Name("t1");
    const TargetConditions Limited{4.5};
    ProbeReport LimitedReport;
    LimitedReport.Conditions = Limited;
    struct Case {
      const char *Name;
      std::function<void(TargetTable &)> Event;
      std::optional<double> Limit;
      bool IsChanged;
    };
    const Case Table[] = {
        {"repeated", [&](TargetTable &Each) { Each.onProbe(Name, LimitedReport, Start); }, 4.5,
         false},
        {"ended", [&](TargetTable &Each) { Each.onProbe(Name, ProbeReport{}, Start); }, {}, true},
        {"lowered", [&](TargetTable &Each) { Each.onConditions(Name, {2.0}, Start); }, 2.0, true},
        {"not mentioned", [&](TargetTable &Each) { Each.onConditions(Name, {}, Start); }, 4.5,
         false},
        {"probe failed",
         [&](TargetTable &Each) { Each.onProbeFailed(Name, ProbeFailure::Unreachable, Start); },
         4.5, false},
        {"registered again",
         [&](TargetTable &Each) {
           Each.apply(batch(false, {TargetRegistered{makeTarget("t1", "d1", 1)}}), Start);
         },
         4.5, false},
        {"started again",
         [&](TargetTable &Each) {
           Each.apply(batch(false, {TargetRegistered{makeTarget("t1", "d1", 2)}}), Start);
         },
         {},
         false},
    };
    for (const Case &Each : Table) {
      TargetTable Tested;
      Tested.apply(batch(false, {TargetRegistered{makeTarget("t1", "d1", 1)}}), Start);
      Tested.onProbe(Name, LimitedReport, Start);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{1},
                                   Tested.takeChangedConditions().size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{1}, Tested.limitedCount());
      Each.Event(Tested);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Tested.find(Name)->Conditions.RequestLimit == Each.Limit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsChanged,
                                   !Tested.takeChangedConditions().empty());
    }
  }

  /// Guards against using a target that has announced in a response that it leaves, whatever the
  /// source of publications says later, and against giving up one that started again since.
  void leavingTargetsStayUnused() {
    const TargetName Name("t1");
    const Publication Registered = TargetRegistered{makeTarget("t1", "d1", 1)};
    const Publication StartedAgain = TargetRegistered{makeTarget("t1", "d1", 2)};
    const Publication Removed = TargetRemoved{Name};
    const TargetConditions Leaving{std::nullopt, true};
    ProbeReport LeavingReport;
    LeavingReport.Conditions = Leaving;
    const auto Publish = [](const Publication &Change) {
      return [Change](TargetTable &Each) { Each.apply(batch(false, {Change}), Start); };
    };
    const auto Restore = [](const Publication &Listed) {
      return [Listed](TargetTable &Each) {
        Each.apply(batch(true, {Listed}, 0, 5, 1), Start);
        Each.onTick(Start + TargetTable::ReregistrationTimeout);
      };
    };
    using Event = std::function<void(TargetTable &)>;
    const Event Response = [&](TargetTable &Each) { Each.onConditions(Name, Leaving, Start); };
    const Event Probe = [&](TargetTable &Each) { Each.onProbe(Name, LeavingReport, Start); };
    struct Case {
      const char *Name;
      std::vector<Event> Events;
      bool IsUsable;
    };
    const Case Table[] = {
        {"not announced", {}, true},
        {"with a response", {Response}, false},
        {"with a probe", {Probe}, false},
        {"not repeated by a response",
         {Response,
          [&](TargetTable &Each) {
            Each.onConditions(Name, {4.5, false}, Start);
          }},
         false},
        {"not repeated by a probe",
         {Probe, [&](TargetTable &Each) { Each.onProbe(Name, ProbeReport{}, Start); }},
         false},
        {"registered again", {Response, Publish(Registered)}, false},
        {"removed and registered again", {Response, Publish(Removed), Publish(Registered)}, false},
        {"announced after the removal", {Publish(Removed), Response, Publish(Registered)}, false},
        {"source restored", {Response, Publish(Removed), Restore(Registered)}, false},
        {"source restored, announced after the removal",
         {Publish(Removed), Response, Restore(Registered)},
         false},
        {"source restored, not announced", {Publish(Removed), Restore(Registered)}, true},
        {"started again", {Response, Publish(StartedAgain)}, true},
        {"removed and started again", {Response, Publish(Removed), Publish(StartedAgain)}, true},
        {"started again, then leaves",
         {Publish(StartedAgain), Response, Publish(Removed), Publish(StartedAgain)},
         false},
    };
    for (const Case &Each : Table) {
      TargetTable Tested;
      Tested.apply(batch(true, {Registered}, 0, 1), Start);
      for (const Event &Next : Each.Events) {
        Next(Tested);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsUsable, Tested.isUsable(Name));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{Each.IsUsable ? 1U : 0U},
                                   Tested.usableTargets(Board).size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{Each.IsUsable ? 0U : 1U},
                                   Tested.leavingCount());
    }
  }

  /// Guards against memory that grows with each target that ever left.
  void leavingTargetsAreForgotten() {
    LeavingTargets Tested;
    const auto TargetNumber = [](std::size_t Index) {
      return makeTarget(("t" + std::to_string(Index)).c_str());
    };
    for (std::size_t Index = 0; Index <= LeavingTargets::MaxTargets; ++Index) {
      Tested.add(TargetNumber(Index), Start + Duration(Index));
    }
    CPPUNIT_ASSERT(!Tested.contains(TargetNumber(0)));
    CPPUNIT_ASSERT(Tested.contains(TargetNumber(1)));
    CPPUNIT_ASSERT(Tested.contains(TargetNumber(LeavingTargets::MaxTargets)));
    Tested.add(makeTarget("unknown start", "d1", 0), Start);
    CPPUNIT_ASSERT(!Tested.contains(makeTarget("unknown start", "d1", 0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTableTest);
