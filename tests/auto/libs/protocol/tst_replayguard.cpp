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
  CPPUNIT_TEST(eachNumberOnce);
  CPPUNIT_TEST(reorderingWithinTheWindow);
  CPPUNIT_TEST(incarnations);
  CPPUNIT_TEST(boundedSenders);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a datagram that is accepted twice, in any order of arrival.
  void eachNumberOnce() {
    checkProperty("no sequence number is accepted twice, and a new highest one always is", [] {
      ReplayGuard Guard;
      std::set<std::uint64_t> Accepted;
      const auto Numbers = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::weightedOneOf<std::uint64_t>({{8, rc::gen::inRange<std::uint64_t>(1, 600)},
                                                 {1, rc::gen::arbitrary<std::uint64_t>()}}));
      for (const std::uint64_t Number : Numbers) {
        const bool Fresh = !Guard.check(Sender, {1, 1}, Number);
        const bool Highest = Accepted.empty() || Number > *Accepted.rbegin();
        const bool InWindow = !Highest && *Accepted.rbegin() - Number < ReplayGuard::WindowSize;
        RC_ASSERT(Fresh == (Highest || (InWindow && !Accepted.contains(Number))));
        if (Fresh) {
          Accepted.insert(Number);
        }
      }
    });
  }

  /// Guards against reordered datagrams that are lost although the network delivered them.
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

  /// Guards against messages of an earlier run that are accepted after a restart of the sender.
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

  /// Guards against memory that grows with each VM ever heard of.
  void boundedSenders() {
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
