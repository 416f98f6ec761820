#include "Property.h"
#include "coordination/memory/MemoryAccount.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kb = 1024;
constexpr std::size_t Mb = 1024 * Kb;
const TimePoint Start{1s};
using State = MemoryAccount::BodyState;

} // namespace

class MemoryAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryAccountTest);
  CPPUNIT_TEST(limitsFollowFromTheVm);
  CPPUNIT_TEST(largeBodiesWaitAndSmallOnesDoNot);
  CPPUNIT_TEST(waitingBodiesKeepTheirOrder);
  CPPUNIT_TEST(bodiesThatHoldMemoryGoFirst);
  CPPUNIT_TEST(bodiesThatBlockEachOtherAreResolved);
  CPPUNIT_TEST(waitsAreBounded);
  CPPUNIT_TEST(progressOfOthersProlongsTheWait);
  CPPUNIT_TEST(expectedWaitFollowsFromTheRate);
  CPPUNIT_TEST(decisionsAreReportedOnce);
  CPPUNIT_TEST(bodiesLeaveRoomForConnections);
  CPPUNIT_TEST(optionalReservationsDoNotWait);
  CPPUNIT_TEST(impossibleBodiesAreRefusedAtOnce);
  CPPUNIT_TEST(slowSendersEndOnlyForOthers);
  CPPUNIT_TEST(fallsOfTheHeldBytes);
  CPPUNIT_TEST(chargesAreReturned);
  CPPUNIT_TEST(limitIsKeptAndEveryBodyEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a budget that does not fit into the VM, or that does not admit the largest
  /// permitted body on the smallest one.
  void limitsFollowFromTheVm() {
    for (const std::int64_t MemoryMb : {64, 112, 260, 512, 4096}) {
      const MemoryLimits Limits = MemoryLimits::forVm(MemoryMb);
      CPPUNIT_ASSERT(Limits.TotalBytes <= (static_cast<std::size_t>(MemoryMb) - 32) * Mb);
      CPPUNIT_ASSERT(Limits.SmallReserveBytes >= Limits.TotalBytes / 8);
      const bool FitsLargest = Limits.TotalBytes - Limits.SmallReserveBytes >= 64 * Mb;
      CPPUNIT_ASSERT_EQUAL(MemoryMb >= 112, FitsLargest);
    }
  }

  /// Guards against large bodies that use up the memory, and against small ones that are held back
  /// because of large ones.
  void largeBodiesWaitAndSmallOnesDoNot() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber First = Account.addBody(Start);
    const BodyNumber Second = Account.addBody(Start);
    CPPUNIT_ASSERT(Account.reserve(First, 64 * Mb, Start) == State::Granted);
    CPPUNIT_ASSERT(Account.reserve(Second, 7 * Mb, Start) == State::Waiting);
    for (int Index = 0; Index < 160; ++Index) {
      const BodyNumber Small = Account.addBody(Start);
      CPPUNIT_ASSERT(Account.reserve(Small, 64 * Kb, Start) == State::Granted);
    }
    CPPUNIT_ASSERT(Account.used() <= 80 * Mb);
    Account.removeBody(First);
    CPPUNIT_ASSERT(Account.state(Second) == State::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Account.counts().Pauses);
  }

  /// Guards against a large body that waits without end because smaller ones overtake it.
  void waitingBodiesKeepTheirOrder() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber First = Account.addBody(Start);
    const BodyNumber Large = Account.addBody(Start);
    const BodyNumber Later = Account.addBody(Start);
    Account.reserve(First, 10 * Mb, Start);
    CPPUNIT_ASSERT(Account.reserve(Large, 64 * Mb, Start) == State::Waiting);
    CPPUNIT_ASSERT(Account.reserve(Later, 1 * Mb, Start) == State::Waiting);
    Account.removeBody(First);
    CPPUNIT_ASSERT(Account.state(Large) == State::Granted);
    CPPUNIT_ASSERT(Account.state(Later) == State::Granted);
  }

  /// Guards against a body that holds memory and waits behind bodies that hold none.
  void bodiesThatHoldMemoryGoFirst() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber Growing = Account.addBody(Start);
    const BodyNumber Other = Account.addBody(Start);
    const BodyNumber New = Account.addBody(Start);
    Account.reserve(Growing, 20 * Mb, Start);
    Account.reserve(Other, 45 * Mb, Start);
    CPPUNIT_ASSERT(Account.reserve(New, 30 * Mb, Start) == State::Waiting);
    CPPUNIT_ASSERT(Account.reserve(Growing, 45 * Mb, Start) == State::Waiting);
    Account.removeBody(Other);
    CPPUNIT_ASSERT(Account.state(Growing) == State::Granted);
    CPPUNIT_ASSERT(Account.state(New) == State::Waiting);
  }

  /// Guards against bodies of unknown length that hold all memory together and each wait for more.
  void bodiesThatBlockEachOtherAreResolved() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber Larger = Account.addBody(Start);
    const BodyNumber Smaller = Account.addBody(Start);
    Account.reserve(Larger, 40 * Mb, Start);
    Account.reserve(Smaller, 30 * Mb, Start);
    Account.reserve(Larger, 64 * Mb, Start);
    Account.onTick(Start);
    CPPUNIT_ASSERT(Account.state(Larger) == State::Waiting);
    Account.reserve(Smaller, 60 * Mb, Start);
    Account.onTick(Start);
    CPPUNIT_ASSERT(Account.state(Larger) == State::RefusedForMemory);
    Account.removeBody(Larger);
    CPPUNIT_ASSERT(Account.state(Smaller) == State::Granted);
  }

  /// Guards against callers that are held without an answer, and against a refusal before the
  /// memory of a sender that has stopped becomes free.
  void waitsAreBounded() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber Holder = Account.addBody(Start);
    const BodyNumber Waiting = Account.addBody(Start);
    Account.reserve(Holder, 64 * Mb, Start);
    Account.reserve(Waiting, 64 * Mb, Start);
    Account.onTick(Start + MemoryAccount::MaxWait);
    CPPUNIT_ASSERT(Account.state(Waiting) == State::Waiting);
    Account.onTick(Start + MemoryAccount::MaxWait + 1ms);
    CPPUNIT_ASSERT(Account.state(Waiting) == State::RefusedForMemory);
    CPPUNIT_ASSERT(Account.state(Holder) == State::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Account.counts().Refusals);
    // A refused body asks for nothing more.
    CPPUNIT_ASSERT(Account.reserve(Waiting, 65 * Mb, Start) == State::RefusedForMemory);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Account.waitingCount());
  }

  /// Guards against uploads that are refused although those ahead of them arrive, and against waits
  /// without end behind senders that only trickle.
  void progressOfOthersProlongsTheWait() {
    struct Case {
      std::size_t BytesPerSecond;
      Duration RefusedAfter;
    };
    const Case Table[] = {{2 * Mb, MemoryAccount::MaxWaitDuringProgress},
                          {MemoryAccount::MinBytesPerSecond / 2, MemoryAccount::MaxWait}};
    for (const Case &Each : Table) {
      MemoryAccount Account({80 * Mb, 10 * Mb});
      const BodyNumber Holder = Account.addBody(Start);
      const BodyNumber Waiting = Account.addBody(Start);
      Account.reserve(Holder, 64 * Mb, Start);
      Account.reserve(Waiting, 64 * Mb, Start);
      TimePoint Now = Start;
      for (std::size_t Second = 1; Account.state(Waiting) == State::Waiting && Second < 60;
           ++Second) {
        Now = Start + std::chrono::seconds(Second);
        Account.onBodyBytes(Holder, Second * Each.BytesPerSecond);
        Account.onTick(Now);
      }
      CPPUNIT_ASSERT(Account.state(Waiting) == State::RefusedForMemory);
      CPPUNIT_ASSERT(Now - Start > Each.RefusedAfter);
      CPPUNIT_ASSERT(Now - Start <= Each.RefusedAfter + 1s);
      CPPUNIT_ASSERT(Account.state(Holder) == State::Granted);
    }
  }

  /// Guards against a Retry-After that is too early because uploads ahead take longer.
  void expectedWaitFollowsFromTheRate() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    CPPUNIT_ASSERT(Account.expectedWait() == 3s);
    const BodyNumber Holder = Account.addBody(Start);
    const BodyNumber Waiting = Account.addBody(Start);
    Account.reserve(Holder, 40 * Mb, Start);
    Account.reserve(Waiting, 40 * Mb, Start);
    Account.onTick(Start);
    Account.onBodyBytes(Holder, 4 * Mb);
    Account.onTick(Start + 1s);
    // 36 MB of the first and 40 MB of the second at 4 MB/s.
    CPPUNIT_ASSERT(Account.expectedWait() == 19s);
  }

  /// Guards against bodies that are not resumed, and against calls for bodies that have ended.
  void decisionsAreReportedOnce() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    std::map<BodyNumber, int> Calls;
    const auto Add = [&](std::size_t Bytes) {
      const BodyNumber New = Account.addBody(Start);
      Account.setDecisionCallback(New, [&Calls, New] { ++Calls[New]; });
      Account.reserve(New, Bytes, Start);
      return New;
    };
    const BodyNumber Holder = Add(60 * Mb);
    const BodyNumber Waiting = Add(60 * Mb);
    const BodyNumber Ended = Add(1 * Mb);
    Account.notifyDecided();
    CPPUNIT_ASSERT(Calls.empty());
    Account.removeBody(Holder);
    Account.removeBody(Ended);
    Account.notifyDecided();
    Account.notifyDecided();
    CPPUNIT_ASSERT(Calls == (std::map<BodyNumber, int>{{Waiting, 1}}));
    Add(60 * Mb);
    Account.onTick(Start + MemoryAccount::MaxWait + 2s);
    Account.notifyDecided();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Calls.size());
  }

  /// Guards against small bodies that use up the memory, so that no further connection is accepted.
  void bodiesLeaveRoomForConnections() {
    MemoryAccount Account({16 * Mb, 2 * Mb, 1 * Mb});
    std::size_t Granted = 0;
    while (Account.reserve(Account.addBody(Start), 64 * Kb, Start) == State::Granted) {
      ++Granted;
    }
    CPPUNIT_ASSERT_EQUAL(15 * Mb / (64 * Kb), Granted);
    Account.change(MemoryKind::Connection, 0, 1 * Mb);
    CPPUNIT_ASSERT(!Account.isOverLimit());
  }

  /// Guards against memory for the convenience of one response that others wait for.
  void optionalReservationsDoNotWait() {
    MemoryAccount Account({16 * Mb, 2 * Mb});
    const BodyNumber Response = Account.addBody(Start, MemoryKind::Response);
    CPPUNIT_ASSERT(Account.tryReserve(Response, 12 * Mb));
    CPPUNIT_ASSERT(!Account.tryReserve(Response, 12 * Mb + 1));
    CPPUNIT_ASSERT_EQUAL(12 * Mb, Account.used(MemoryKind::Response));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Account.waitingCount());
    Account.shrinkBody(Response, 64 * Kb);
    CPPUNIT_ASSERT_EQUAL(64 * Kb, Account.used());
  }

  /// Guards against a body that waits although no free memory suffices for it.
  void impossibleBodiesAreRefusedAtOnce() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber Body = Account.addBody(Start);
    CPPUNIT_ASSERT(Account.reserve(Body, 70 * Mb + 1, Start) == State::RefusedAsTooLarge);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Account.used());
  }

  /// Guards against senders that hold memory with a few bytes now and then, and against ending a
  /// slow one whose memory nobody needs.
  void slowSendersEndOnlyForOthers() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    const BodyNumber SlowLarge = Account.addBody(Start);
    const BodyNumber SlowSmall = Account.addBody(Start);
    const BodyNumber Steady = Account.addBody(Start);
    Account.reserve(SlowLarge, 40 * Mb, Start);
    Account.reserve(SlowSmall, 10 * Mb, Start);
    Account.reserve(Steady, 20 * Mb, Start);
    Account.onBodyBytes(SlowLarge, 1000);
    Account.onBodyBytes(SlowSmall, 1000);
    Account.onBodyBytes(Steady, 1 * Mb);
    const TimePoint Late = Start + MemoryAccount::RateGraceTime + 1s;
    Account.onTick(Late);
    CPPUNIT_ASSERT(Account.state(SlowLarge) == State::Granted);
    const BodyNumber Waiting = Account.addBody(Late);
    Account.reserve(Waiting, 30 * Mb, Late);
    Account.onTick(Late);
    CPPUNIT_ASSERT(Account.state(SlowLarge) == State::RefusedAsSlow);
    CPPUNIT_ASSERT(Account.state(SlowSmall) == State::Granted);
    CPPUNIT_ASSERT(Account.state(Steady) == State::Granted);
    Account.removeBody(SlowLarge);
    CPPUNIT_ASSERT(Account.state(Waiting) == State::Granted);
    Account.onTick(Late);
    CPPUNIT_ASSERT(Account.state(SlowSmall) == State::Granted);
  }

  /// Guards against freed memory that the heap keeps, and against returning it again and again.
  void fallsOfTheHeldBytes() {
    MemoryAccount Account({80 * Mb, 10 * Mb});
    Account.change(MemoryKind::Output, 0, 10 * Mb);
    CPPUNIT_ASSERT(!Account.hasFallenBy(4 * Mb));
    Account.change(MemoryKind::Output, 10 * Mb, 6 * Mb + 1);
    CPPUNIT_ASSERT(!Account.hasFallenBy(4 * Mb));
    Account.change(MemoryKind::Output, 6 * Mb + 1, 6 * Mb);
    CPPUNIT_ASSERT(Account.hasFallenBy(4 * Mb));
    CPPUNIT_ASSERT(!Account.hasFallenBy(4 * Mb));
  }

  /// Guards against bytes that stay in the account after what holds them has ended.
  void chargesAreReturned() {
    const auto Account = std::make_shared<MemoryAccount>(MemoryLimits{8 * Mb, Mb});
    {
      MemoryCharge Output(Account, MemoryKind::Output);
      Output.set(5 * Mb);
      BodyReservation Body(Account, Start);
      CPPUNIT_ASSERT(Body.reserve(Mb, Start) == State::Granted);
      CPPUNIT_ASSERT_EQUAL(6 * Mb, Account->used());
      CPPUNIT_ASSERT(!Account->hasRoomFor(Mb));
      Output.set(7 * Mb + 1);
      CPPUNIT_ASSERT(Account->isOverLimit());
      Output.set(Mb);
      CPPUNIT_ASSERT(!Account->isNearLimit());
      Body.complete(100 * Kb);
      CPPUNIT_ASSERT_EQUAL(Mb + 100 * Kb, Account->used());
      CPPUNIT_ASSERT_EQUAL(100 * Kb, Account->used(MemoryKind::RequestBody));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Account->used());
  }

  /// Guards against a sequence of bodies after which more is reserved than the limit, the account
  /// differs from the sum of its bodies, or a body waits without end.
  void limitIsKeptAndEveryBodyEnds() {
    checkProperty("the limit is kept and every body ends", [] {
      MemoryAccount Account({80 * Mb, 10 * Mb});
      std::map<BodyNumber, TimePoint> Bodies;
      TimePoint Now = Start;
      const auto Steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
      for (const int Step : Steps) {
        Now += std::chrono::milliseconds(Step);
        if (Step % 4 < 2 || Bodies.empty()) {
          Bodies[Account.addBody(Now)] = Now;
        }
        auto Chosen = Bodies.begin();
        std::advance(Chosen, static_cast<std::size_t>(Step) % Bodies.size());
        if (Step % 4 == 3) {
          Account.removeBody(Chosen->first);
          Bodies.erase(Chosen);
        } else {
          Account.reserve(Chosen->first, static_cast<std::size_t>(Step) * 70 * Kb, Now);
        }
        Account.onTick(Now);
        std::size_t Sum = 0;
        for (const auto &[Number, Added] : Bodies) {
          Sum += Account.reserved(Number);
        }
        RC_ASSERT(Sum == Account.used());
        RC_ASSERT(Sum <= 80 * Mb);
      }
      for (int Tick = 0; Tick < 50; ++Tick) {
        Now += 250ms;
        Account.onTick(Now);
      }
      for (const auto &[Number, Added] : Bodies) {
        RC_ASSERT(Account.state(Number) != State::Waiting);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);
