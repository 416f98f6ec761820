#include "Property.h"
#include "coordination/LeaseHolder.h"
#include "coordination/LeaseTerms.h"
#include "coordination/Lessor.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace anvilsaddle;
using std::chrono::milliseconds;

namespace {

const TargetName T("t/s");
const VmName A("a"); // The lessor under test.
const VmName B("b"); // Ranked after A.
constexpr Duration MaxDeadline = std::chrono::seconds(2);

EntryIdentity identity(const VmName &Name, std::int64_t Start = 1) {
  return {Name, RegionName("r"), FailureDomainName("d"), {Start, 0}};
}

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

LessorMap ranked(std::vector<VmName> Entries) {
  return {{T, TargetLessors{std::move(Entries), 3, MaxDeadline}}};
}

LeaseRequest ask(const char *Owner, std::int64_t Run, std::uint64_t Id) {
  return {VmName(Owner), {Run, 0}, Id, {{T, 0}}};
}

LeaseRelease give(const char *Owner, std::int64_t Run, std::uint64_t Id, std::uint32_t InFlight) {
  return {VmName(Owner), {Run, 0}, Id, {{T, InFlight}}};
}

/// `granted/<reserved>`, `refused` or `none` if there was no reply.
std::string answer(Lessor &Grants, const PeerMessage &Message, TimePoint Now) {
  for (const OutgoingMessage &Out : Grants.onMessage(Message, Now)) {
    if (const auto *Reply = std::get_if<LeaseReply>(&Out.Message)) {
      const LeaseGrant &Grant = Reply->Grants.at(0);
      return Grant.Granted ? "granted/" + std::to_string(Grant.Reserved) : "refused";
    }
  }
  return "none";
}

struct Step {
  int At;
  PeerMessage Message;
  std::string Expected;
};

} // namespace

class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(grants);
  CPPUNIT_TEST(views);
  CPPUNIT_TEST(cession);
  CPPUNIT_TEST(cessionIsWithheld);
  CPPUNIT_TEST(lessorPause);
  CPPUNIT_TEST(olderListOfStartingLessor);
  CPPUNIT_TEST(holder);
  CPPUNIT_TEST(releaseIsRepeated);
  CPPUNIT_TEST(requestsAreBatched);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a second owner while an earlier one may use its lease or has work in flight.
  /// The sole lessor starts at 0 and first grants at 3150: 1 s and 2 s, each with 5% for drift.
  void grants() {
    struct Case {
      const char *Name;
      std::vector<Step> Steps;
    };
    const Case Table[] = {
        {"waits after the start",
         {{3149, ask("x", 1, 1), "refused"}, {3150, ask("x", 1, 2), "granted/0"}}},
        {"one owner at a time, renewed at once",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, ask("y", 1, 1), "refused"},
          {4300, ask("x", 1, 2), "granted/0"}}},
        {"unreleased lease: 1.05 s and 2.1 s after the last grant",
         {{4000, ask("x", 1, 1), "granted/0"},
          {7149, ask("y", 1, 1), "refused"},
          {7150, ask("y", 1, 2), "granted/0"}}},
        {"an expired lease that nobody else got is renewed",
         {{4000, ask("x", 1, 1), "granted/0"}, {6000, ask("x", 1, 2), "granted/0"}}},
        {"a new incarnation is another owner",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4500, ask("x", 2, 1), "refused"},
          {7150, ask("x", 2, 2), "granted/0"}}},
        {"an older incarnation is ignored",
         {{4000, ask("x", 2, 1), "granted/0"},
          {4100, give("x", 1, 9, 0), "none"},
          {4200, ask("x", 1, 9), "none"},
          {4300, ask("y", 1, 1), "refused"}}},
        {"released work is reserved until it is reported as done",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, give("x", 1, 2, 2), "none"},
          {4200, ask("y", 1, 1), "granted/2"},
          {4300, give("x", 1, 3, 1), "none"},
          {4400, ask("y", 1, 2), "granted/1"},
          {4500, give("x", 1, 4, 0), "none"},
          {4600, ask("y", 1, 3), "granted/0"}}},
        {"released work is reserved for the maximum deadline if reports stop",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, give("x", 1, 2, 2), "none"},
          {6199, ask("y", 1, 1), "granted/2"},
          {6200, ask("y", 1, 2), "granted/0"}}},
        {"late release after expiry counts from the expiry",
         {{4000, ask("x", 1, 1), "granted/0"},
          {7000, give("x", 1, 2, 2), "none"},
          {7149, ask("y", 1, 1), "granted/2"},
          {7150, ask("y", 1, 2), "granted/0"}}},
        {"a release that was overtaken by a new request is void",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, ask("x", 1, 3), "granted/0"},
          {4200, give("x", 1, 2, 0), "none"},
          {4300, ask("y", 1, 1), "refused"}}},
        {"a request that was overtaken by a later one does not make an older release valid",
         {{4000, ask("x", 1, 3), "granted/0"},
          {4100, ask("x", 1, 1), "refused"},
          {4200, give("x", 1, 2, 0), "none"},
          {4300, ask("y", 1, 1), "refused"}}},
        {"a request that was overtaken by its release is refused",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, give("x", 1, 3, 1), "none"},
          {4200, ask("x", 1, 2), "refused"},
          {4300, ask("y", 1, 1), "granted/1"}}},
        {"reports in the wrong order never raise the count",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, give("x", 1, 2, 3), "none"},
          {4200, give("x", 1, 4, 1), "none"},
          {4300, give("x", 1, 3, 2), "none"},
          {4400, ask("y", 1, 1), "granted/1"}}},
        {"the owner's own earlier work is not reserved against it",
         {{4000, ask("x", 1, 1), "granted/0"},
          {4100, give("x", 1, 2, 2), "none"},
          {4200, ask("x", 1, 3), "granted/0"}}},
    };
    for (const Case &Each : Table) {
      Lessor Grants(identity(A), at(0));
      Grants.setView(ranked({A}), 1, at(0));
      for (const Step &Next : Each.Steps) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name + std::string(" at ") + std::to_string(Next.At),
                                     Next.Expected, answer(Grants, Next.Message, at(Next.At)));
      }
    }
  }

  /// Guards against two lessors of a target after a list change.
  void views() {
    Lessor Grants(identity(A), at(0));
    Grants.setView(ranked({A}), 1, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Grants, ask("x", 1, 1), at(4000)));
    Grants.setView(ranked({B, A}), 2, at(4100));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), answer(Grants, ask("x", 1, 2), at(4200)));
    Grants.setView(ranked({A}), 1, at(4300));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("older list", std::string("refused"),
                                 answer(Grants, ask("x", 1, 3), at(9000)));
    Grants.setView(ranked({A}), 3, at(10000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("grants of the lessor that left are waited out",
                                 std::string("refused"), answer(Grants, ask("x", 1, 4), at(13149)));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Grants, ask("x", 1, 5), at(13150)));
  }

  /// Guards against grants of a new lessor while the earlier one still grants, because its list
  /// is older.
  void cession() {
    Lessor New(identity(A), at(0));
    New.setView(ranked({A, B}), 2, at(0));
    const auto Inquiry = New.onTick(at(0));
    CPPUNIT_ASSERT(Inquiry.size() == 1 && Inquiry[0].Receiver == B);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no grant while the next entry is silent", std::string("refused"),
                                 answer(New, ask("x", 1, 1), at(60000)));
    CPPUNIT_ASSERT_MESSAGE("the inquiry is repeated", New.onTick(at(60300)).size() == 1);

    Lessor Old(identity(B), at(0));
    Old.setView(ranked({B}), 1, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Old, ask("x", 1, 2), at(60000)));
    const auto Cession = Old.onMessage(Inquiry[0].Message, at(60300));
    CPPUNIT_ASSERT(Cession.size() == 1);
    const auto &Ceded = std::get<LessorCession>(Cession[0].Message);
    CPPUNIT_ASSERT_MESSAGE("1.05 s and 2.1 s after the last grant at 60000",
                           Ceded.Targets.at(0).RemainingUse == milliseconds(2850));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), answer(Old, ask("x", 1, 3), at(60400)));
    Old.setView(ranked({B}), 1, at(60500));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the same older list is no proof that the new lessor is gone",
                                 std::string("refused"), answer(Old, ask("x", 1, 4), at(90000)));

    LessorCession Earlier = Ceded;
    Earlier.LessorIncarnation = {0, 0};
    New.onMessage(Earlier, at(60400));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("cession to an earlier run", std::string("refused"),
                                 answer(New, ask("x", 1, 5), at(90000)));
    New.onMessage(Ceded, at(90000));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), answer(New, ask("x", 1, 6), at(92992)));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(New, ask("x", 1, 7), at(92993)));
  }

  /// Guards against a cession by an entry that does not know whether another one still grants.
  void cessionIsWithheld() {
    const VmName C("c");
    const LessorInquiry FromC{C, {1, 0}, 2, {T}};
    Lessor Unsure(identity(A), at(0));
    Unsure.setView(ranked({A, B}), 1, at(0));
    Unsure.onTick(at(0));
    CPPUNIT_ASSERT_MESSAGE("B has not ceded to A", Unsure.onMessage(FromC, at(100)).empty());
    Unsure.onMessage(LessorCession{B, {1, 0}, {1, 0}, {{T, Duration{0}}}}, at(200));
    CPPUNIT_ASSERT(Unsure.onMessage(FromC, at(300)).size() == 1);

    Lessor Newer(identity(A), at(0));
    Newer.setView(ranked({A}), 3, at(0));
    CPPUNIT_ASSERT_MESSAGE("C has the older list", Newer.onMessage(FromC, at(100)).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Newer, ask("x", 1, 1), at(4000)));

    Lessor Relisted(identity(A), at(0));
    Relisted.setView(ranked({A}), 1, at(0));
    const LessorInquiry Later{C, {1, 0}, 4, {T}};
    CPPUNIT_ASSERT(Relisted.onMessage(Later, at(100)).size() == 1);
    Relisted.setView({}, 2, at(200));
    Relisted.setView(ranked({A}), 3, at(300));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the target was unlisted for a while", std::string("refused"),
                                 answer(Relisted, ask("x", 1, 1), at(9000)));

    Lessor Waiting(identity(A), at(0));
    Waiting.setView(ranked({A, B}), 1, at(0));
    Waiting.setView(ranked({A}), 2, at(9000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("B may have granted until it left the list",
                                 std::string("refused"),
                                 answer(Waiting, ask("x", 1, 1), at(12149)));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Waiting, ask("x", 1, 2), at(12150)));
  }

  /// Guards against a lessor that trusts its records after a pause of the process.
  void lessorPause() {
    Lessor Grants(identity(A), at(0));
    Grants.setView(ranked({A}), 1, at(0));
    Grants.onTick(at(4000));
    Grants.onTick(at(5001));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), answer(Grants, ask("x", 1, 1), at(8150)));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Grants, ask("x", 1, 2), at(8151)));
  }

  /// Guards against a restarted lessor whose list does not name the entry that it ceded to.
  void olderListOfStartingLessor() {
    Lessor Grants(identity(A), at(0));
    Grants.setView(ranked({A}), 1, at(0));
    Heartbeat Beat;
    Beat.VmListRevision = 2;
    Grants.onMessage(Beat, at(500));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), answer(Grants, ask("x", 1, 1), at(9000)));
    Grants.setView(ranked({A}), 2, at(9000));
    CPPUNIT_ASSERT_EQUAL(std::string("granted/0"), answer(Grants, ask("x", 1, 2), at(9000)));
  }

  /// Guards against use of a target without a lease or past its end.
  void holder() {
    LeaseHolder Leases(identity(A, 7), at(0));
    const std::map<TargetName, VmName> Wanted{{T, B}};
    Leases.setWanted(Wanted, at(0));
    const auto Reply = [&](const std::vector<OutgoingMessage> &Sent, std::uint32_t Reserved) {
      const auto &Request = std::get<LeaseRequest>(Sent.at(0).Message);
      return LeaseReply{B, {1, 0}, Request.RequestId, {{T, true, Reserved}}};
    };
    const auto First = Leases.onTick(at(0), {});
    CPPUNIT_ASSERT_MESSAGE("a new target is asked for at once", First.size() == 1);
    CPPUNIT_ASSERT(Leases.onTick(at(299), {}).empty());
    const auto Second = Leases.onTick(at(300), {});
    Leases.onMessage(Reply(Second, 1), at(400));
    CPPUNIT_ASSERT(Leases.usable(at(1299)).at(0).Reserved == 1);
    CPPUNIT_ASSERT_MESSAGE("the lease counts from the request", Leases.usable(at(1300)).empty());
    Leases.onMessage(Reply(First, 0), at(500));
    CPPUNIT_ASSERT_MESSAGE("an older reply changes nothing",
                           Leases.usable(at(600)).at(0).Reserved == 1);

    const auto Third = Leases.onTick(at(600), {});
    Leases.setWanted({}, at(700));
    CPPUNIT_ASSERT_MESSAGE("a target given up is not used", Leases.usable(at(700)).empty());
    Leases.setWanted(Wanted, at(710));
    Leases.onMessage(Reply(Third, 0), at(720));
    CPPUNIT_ASSERT_MESSAGE("a reply to a request before the release",
                           Leases.usable(at(720)).empty());

    const auto Fourth = Leases.onTick(at(800), {});
    Leases.onMessage(Reply(Fourth, 0), at(900));
    CPPUNIT_ASSERT(Leases.usable(at(900)).size() == 1);
    LeaseHolder Restarted(identity(A, 8), at(900));
    Restarted.setWanted(Wanted, at(900));
    Restarted.onTick(at(900), {});
    Restarted.onMessage(Reply(First, 0), at(910));
    CPPUNIT_ASSERT_MESSAGE("a reply to an earlier run", Restarted.usable(at(910)).empty());

    Leases.setWanted({}, at(950));
    Leases.onTick(at(950), {});
    Leases.setWanted(Wanted, at(960));
    const auto Unwanted = Leases.onTick(at(960), {});
    Leases.setWanted({}, at(970));
    for (int Now = 970; Now <= 1570; Now += 300) {
      Leases.onTick(at(Now), {});
    }
    Leases.onMessage(Reply(Unwanted, 0), at(1580));
    CPPUNIT_ASSERT_MESSAGE(
        "a grant of an unwanted target is released",
        std::holds_alternative<LeaseRelease>(Leases.onTick(at(1580), {}).at(0).Message));
    Leases.setWanted(Wanted, at(1600));
    const auto Fifth = Leases.onTick(at(1600), {});
    Leases.onTick(at(2601), {});
    Leases.onMessage(Reply(Fifth, 0), at(2601));
    CPPUNIT_ASSERT_MESSAGE("a reply from before a pause", Leases.usable(at(1601)).empty());
  }

  /// Guards against slots that stay reserved because one report was lost.
  void releaseIsRepeated() {
    LeaseHolder Leases(identity(A), at(0));
    Leases.setWanted({{T, B}}, at(0));
    Leases.onTick(at(0), {});
    Leases.setWanted({}, at(100));
    struct Case {
      int At;
      std::uint32_t InFlight;
      std::optional<std::uint32_t> Reported;
    };
    const Case Table[] = {{100, 2, 2},  {200, 2, {}}, {400, 1, 1},  {500, 0, 0},
                          {600, 0, {}}, {800, 0, 0},  {1100, 0, 0}, {1400, 0, {}}};
    for (const Case &Each : Table) {
      const auto Sent = Leases.onTick(at(Each.At), {{T, Each.InFlight}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Each.At), Each.Reported.has_value(),
                                   !Sent.empty());
      if (Each.Reported) {
        CPPUNIT_ASSERT(std::get<LeaseRelease>(Sent[0].Message).Claims.at(0).InFlight ==
                       *Each.Reported);
      }
    }
  }

  /// Guards against one message per target.
  void requestsAreBatched() {
    LeaseHolder Leases(identity(A), at(0));
    std::map<TargetName, VmName> Wanted;
    for (int Index = 0; Index < 12; ++Index) {
      Wanted.emplace(TargetName(std::to_string(Index)), Index % 3 ? B : A);
    }
    Leases.setWanted(Wanted, at(0));
    CPPUNIT_ASSERT(Leases.onTick(at(0), {}).size() == 2);
    Wanted.emplace(TargetName("new"), B);
    Leases.setWanted(Wanted, at(100));
    const auto Sent = Leases.onTick(at(100), {});
    CPPUNIT_ASSERT_MESSAGE("a new target renews the others of its lessor",
                           Sent.size() == 1 &&
                               std::get<LeaseRequest>(Sent[0].Message).Claims.size() == 9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);
