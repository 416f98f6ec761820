#include "Property.h"
#include "coordination/Lessor.h"

#include <vector>

using namespace anvilsaddle;

namespace {

TimePoint at(int Milliseconds) { return TimePoint(std::chrono::milliseconds(Milliseconds)); }

LessorMap ranked(std::vector<VmName> Entries) {
  return {{TargetName("t/s"), TargetLessors{std::move(Entries), 3, std::chrono::seconds(2)}}};
}

EntryIdentity identity(const char *Name, std::int64_t Start) {
  return {VmName(Name), RegionName("r"), FailureDomainName("d"), {Start, 0}};
}

/// Passes messages between the entries a and b; others, such as c, are not reached.
void exchange(Lessor &A, Lessor &B, std::vector<OutgoingMessage> Messages, TimePoint Now) {
  while (!Messages.empty()) {
    const OutgoingMessage Next = Messages.back();
    Messages.pop_back();
    if (Next.Receiver == VmName("a") || Next.Receiver == VmName("b")) {
      Lessor &Receiver = Next.Receiver == VmName("a") ? A : B;
      for (OutgoingMessage &Out : Receiver.onMessage(Next.Message, Now)) {
        Messages.push_back(std::move(Out));
      }
    }
  }
}

} // namespace

class LessorRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LessorRestartTest);
  CPPUNIT_TEST(cessionSurvivesRestart);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a lessor that ceded a target to a new lessor c, restarts with its older list
  /// while c is unreachable, and grants the target again.
  void cessionSurvivesRestart() {
    const LessorMap Old = ranked({VmName("a"), VmName("b")});
    Lessor A(identity("a", 1), at(0));
    Lessor B(identity("b", 1), at(0));
    A.setView(Old, 1, at(0));
    B.setView(Old, 1, at(0));
    exchange(A, B, A.onTick(at(0)), at(0));
    const LessorInquiry Inquiry{VmName("c"), {1, 0}, 2, {TargetName("t/s")}};
    bool Ceded = false;
    for (int Now = 4000; Now < 6000; Now += 300) {
      std::vector<OutgoingMessage> Sent = A.onMessage(Inquiry, at(Now));
      for (const OutgoingMessage &Out : Sent) {
        Ceded = Ceded || Out.Receiver == VmName("c");
      }
      exchange(A, B, std::move(Sent), at(Now));
      exchange(A, B, A.onTick(at(Now)), at(Now));
      exchange(A, B, B.onTick(at(Now)), at(Now));
    }
    CPPUNIT_ASSERT(Ceded);

    Lessor Restarted(identity("a", 2), at(6000));
    Restarted.setView(Old, 1, at(6000));
    for (int Now = 6000; Now < 12'000; Now += 300) {
      exchange(Restarted, B, Restarted.onTick(at(Now)), at(Now));
      exchange(Restarted, B, B.onTick(at(Now)), at(Now));
    }
    const LeaseRequest Request{VmName("x"), {1, 0}, 1, {{TargetName("t/s"), 0}}};
    const auto Out = Restarted.onMessage(Request, at(12'000));
    CPPUNIT_ASSERT(!std::get<LeaseReply>(Out.at(0).Message).Grants.at(0).Granted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LessorRestartTest);
