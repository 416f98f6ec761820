#include "Property.h"
#include "state/SettingsParser.h"
#include "state/SettingsStore.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

using namespace anvilsaddle;

namespace {

/// Refuses the text "bad" and reads everything else as an empty subtree.
class FakeParser final : public SettingsParser {
public:
  Result parse(std::string_view Path, std::string_view Text) const override {
    if (Text == "bad") {
      return Findings{{std::string(Path), 1, 1, "bad text"}};
    }
    return TeamSettings{TeamName(std::string(Path)), {}, {}};
  }
};

} // namespace

class SettingsStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsStoreTest);
  CPPUNIT_TEST(offerOutcomes);
  CPPUNIT_TEST(orderOfOffersDoesNotMatter);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a revision that falls back, and against a bad subtree that replaces a good one.
  void offerOutcomes() {
    struct Case {
      const char *Name;
      std::uint64_t Revision;
      const char *Text;
      OfferOutcome Expected;
      std::uint64_t InForce;
    };
    const Case Table[] = {
        {"first", 3, "a", OfferOutcome::Accepted, 3},
        {"same again", 3, "a", OfferOutcome::Unchanged, 3},
        {"older", 2, "b", OfferOutcome::Older, 3},
        {"bad newer", 7, "bad", OfferOutcome::Refused, 3},
        {"between accepted and refused", 5, "c", OfferOutcome::Accepted, 5},
        {"refused again", 7, "bad", OfferOutcome::Unchanged, 5},
        {"newest", 8, "d", OfferOutcome::Accepted, 8},
    };
    const FakeParser Parser;
    SettingsStore Store(Parser);
    for (const Case &Each : Table) {
      const OfferResult Result = Store.offer("teams/x", Each.Revision, Each.Text);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Result.Outcome == Each.Expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.InForce, Store.revisions().front().Revision);
    }
    CPPUNIT_ASSERT(Store.pendingFindings().empty());
  }

  /// Guards against entries that disagree because they saw the same revisions in different orders.
  void orderOfOffersDoesNotMatter() {
    checkProperty("the highest valid revision is in force",
                  [](const std::vector<std::uint8_t> &Revisions) {
                    const FakeParser Parser;
                    SettingsStore Forward(Parser);
                    SettingsStore Backward(Parser);
                    const auto Text = [](std::uint8_t Revision) {
                      return Revision % 3 == 0 ? "bad" : "good";
                    };
                    std::uint64_t Highest = 0;
                    for (const std::uint8_t Revision : Revisions) {
                      Forward.offer("teams/x", Revision, Text(Revision));
                      if (Revision % 3 != 0) {
                        Highest = std::max<std::uint64_t>(Highest, Revision);
                      }
                    }
                    std::for_each(Revisions.rbegin(), Revisions.rend(), [&](std::uint8_t Revision) {
                      Backward.offer("teams/x", Revision, Text(Revision));
                    });
                    RC_ASSERT(Forward.digest() == Backward.digest());
                    const auto InForce = Forward.revisions();
                    RC_ASSERT((InForce.empty() ? 0 : InForce.front().Revision) == Highest);
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsStoreTest);
