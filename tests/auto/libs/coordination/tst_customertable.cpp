#include "Property.h"
#include "coordination/customers/CustomerTable.h"

using namespace anvilsaddle;

namespace {

using Form = PresentedCredential::Form;

ApiKeyDigest makeDigest(std::uint8_t First, std::uint8_t Last) {
  ApiKeyDigest Result{};
  Result.front() = First;
  Result.back() = Last;
  return Result;
}

Configuration makeConfiguration() {
  Configuration Result;
  const std::pair<const char *, std::set<ApiKeyDigest>> Table[] = {
      {"a", {makeDigest(1, 1), makeDigest(1, 2)}},
      {"b", {makeDigest(1, 3), makeDigest(1, 2)}},
      {"c", {}}};
  for (const auto &[Name, Keys] : Table) {
    Customer &Added = Result.Customers[CustomerName(Name)];
    Added.Name = CustomerName(Name);
    Added.Keys = Keys;
  }
  return Result;
}

std::set<RegionName> makeRegions(const std::string &Names) {
  std::set<RegionName> Result;
  for (const char Each : Names) {
    Result.insert(RegionName(std::string(1, Each)));
  }
  return Result;
}

} // namespace

class CustomerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerTableTest);
  CPPUNIT_TEST(authentication);
  CPPUNIT_TEST(withoutCustomers);
  CPPUNIT_TEST(homeRegions);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that are accepted without a valid key, that count for another
  /// customer, or that are refused with a valid key. Digests that agree in their first bytes must
  /// be told apart by the others.
  void authentication() {
    struct Case {
      const char *Name;
      PresentedCredential Presented;
      bool IsPublic;
      AuthenticationDecision Expected;
    };
    const auto Accepted = [](const char *Customer) {
      return AuthenticationDecision{true, CustomerName(Customer), ""};
    };
    const auto Rejected = [](const char *Reason) {
      return AuthenticationDecision{false, {}, Reason};
    };
    const Case Table[] = {
        {"first key", {Form::ApiKey, makeDigest(1, 1)}, false, Accepted("a")},
        {"shared key", {Form::ApiKey, makeDigest(1, 2)}, false, Accepted("a")},
        {"key of b", {Form::ApiKey, makeDigest(1, 3)}, false, Accepted("b")},
        {"key of b, public", {Form::ApiKey, makeDigest(1, 3)}, true, Accepted("b")},
        {"same prefix", {Form::ApiKey, makeDigest(1, 4)}, false, Rejected("unknown API key")},
        {"other prefix", {Form::ApiKey, makeDigest(2, 1)}, false, Rejected("unknown API key")},
        {"unknown, public", {Form::ApiKey, makeDigest(1, 4)}, true, Rejected("unknown API key")},
        {"none", {}, false, Rejected("no API key")},
        {"none, public", {}, true, Accepted("")},
        {"malformed", {Form::Malformed, makeDigest(1, 1)}, true, Rejected("malformed API key")},
        {"repeated", {Form::Repeated, makeDigest(1, 1)}, true, Rejected("more than one API key")},
    };
    const Configuration Config = makeConfiguration();
    const CustomerTable Customers(Config);
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Customers.authenticate(Each.Presented, Each.IsPublic) ==
                                            Each.Expected);
    }
    CPPUNIT_ASSERT(Customers.find(CustomerName("c")) && !Customers.find(CustomerName("")));
  }

  /// Guards against a deployment without customers whose callers are refused because of fields that
  /// their applications use.
  void withoutCustomers() {
    const Configuration Config;
    const CustomerTable Customers(Config);
    CPPUNIT_ASSERT(Customers.empty());
    for (const Form Each : {Form::None, Form::ApiKey, Form::Malformed, Form::Repeated}) {
      CPPUNIT_ASSERT(Customers.authenticate({Each, {}}, false) ==
                     (AuthenticationDecision{true, {}, {}}));
    }
  }

  /// Guards against requests that are served outside of the home regions of their route or
  /// customer, and against no region left being taken for no restriction.
  void homeRegions() {
    struct Case {
      const char *Route;
      const char *Customer;
      std::optional<std::string> Expected;
    };
    const Case Table[] = {{"", "", ""},       {"ab", "", "ab"}, {"", "ab", "ab"}, {"ab", "bc", "b"},
                          {"ab", "ab", "ab"}, {"a", "b", {}},   {"a", "bc", {}}};
    for (const Case &Each : Table) {
      const auto Expected =
          Each.Expected ? std::optional(makeRegions(*Each.Expected)) : std::nullopt;
      CPPUNIT_ASSERT_MESSAGE(
          std::string(Each.Route) + "/" + Each.Customer,
          commonHomeRegions(makeRegions(Each.Route), makeRegions(Each.Customer)) == Expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerTableTest);
