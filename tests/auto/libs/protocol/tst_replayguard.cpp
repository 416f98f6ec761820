#include "Property.h"
#include "protocol/ReplayGuard.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

const VmName Sender("entry-1");

} // namespace

class ReplayGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayGuardTest);
  CPPUNIT_TEST(eachNumberIsAcceptedOnce);
  CPPUNIT_TEST(reorderingWithinTheWindow);
  CPPUNIT_TEST(incarnations);
  CPPUNIT_TEST(senderCountIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a datagram that is accepted twice, whatever the order of arrival.
  void eachNumberIsAcceptedOnce() {
    checkProperty("no sequence number is accepted twice, and a new highest one always is", [] {
      ReplayGuard Guard;
      std::set<std::uint64_t> Accepted;
      const auto Numbers = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::weightedOneOf<std::uint64_t>({{8, rc::gen::inRange<std::uint64_t>(1, 600)},
                                                 {1, rc::gen::arbitrary<std::uint64_t>()}}));
      for (const std::uint64_t Number : Numbers) {
        const bool IsAccepted = !Guard.check(Sender, {1, 1}, Number);
        const bool IsHighest = Accepted.empty() || Number > *Accepted.rbegin();
        const bool IsInWindow = !IsHighest && *Accepted.rbegin() - Number < ReplayGuard::WindowSize;
        RC_ASSERT(IsAccepted == (IsHighest || (IsInWindow && !Accepted.contains(Number))));
        if (IsAccepted) {
          Accepted.insert(Number);
        }
      }
    });
  }

  /// Guards against the loss of datagrams that the network delivered out of order.
  void reorderingWithinTheWindow() {
    std::vector<std::uint64_t> Numbers;
    for (std::uint64_t Number = 1; Number <= ReplayGuard::WindowSize; ++Number) {
      Numbers.push_back(Number);
    }
    std::reverse(Numbers.begin(), Numbers.end());
    ReplayGuard Guard;
    for (const std::uint64_t Number : Numbers) {
      CPPUNIT_ASSERT(!Guard.check(Sender, {1, 1}, Number));
    }
    CPPUNIT_ASSERT(Guard.check(Sender, {1, 1}, 0) == PeerRejection::Replayed);
  }

  /// Guards against messages of a previous run that are accepted after the sender has restarted.
  void incarnations() {
    ReplayGuard Guard;
    CPPUNIT_ASSERT(!Guard.check(Sender, {5, 1}, 9));
    CPPUNIT_ASSERT(Guard.check(Sender, {4, 9}, 10) == PeerRejection::OlderIncarnation);
    CPPUNIT_ASSERT(Guard.check(Sender, {5, 0}, 10) == PeerRejection::OlderIncarnation);
    CPPUNIT_ASSERT(!Guard.check(Sender, {6, 0}, 1));
    CPPUNIT_ASSERT(Guard.check(Sender, {5, 1}, 10) == PeerRejection::OlderIncarnation);
    CPPUNIT_ASSERT(Guard.check(Sender, {6, 0}, 1) == PeerRejection::Replayed);
    CPPUNIT_ASSERT(!Guard.check(Sender, {6, 0}, 2));
    CPPUNIT_ASSERT(!Guard.check(VmName("entry-2"), {1, 1}, 1));
  }

  /// Guards against memory that grows with every VM ever seen.
  void senderCountIsBounded() {
    ReplayGuard Guard(2);
    CPPUNIT_ASSERT(!Guard.check(VmName("a"), {1, 1}, 1));
    CPPUNIT_ASSERT(!Guard.check(VmName("b"), {1, 1}, 1));
    CPPUNIT_ASSERT(Guard.check(VmName("c"), {1, 1}, 1) == PeerRejection::TooManySenders);
    Guard.retain({VmName("b")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Guard.senderCount());
    CPPUNIT_ASSERT(!Guard.check(VmName("c"), {1, 1}, 1));
    CPPUNIT_ASSERT(Guard.check(VmName("b"), {1, 1}, 1) == PeerRejection::Replayed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayGuardTest);
