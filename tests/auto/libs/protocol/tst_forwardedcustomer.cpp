#include "Property.h"
#include "protocol/ForwardedCustomer.h"
#include "protocol/GlibMessageAuthenticator.h"

#include <functional>
#include <string>
#include <utility>

using namespace anvilsaddle;

namespace {

using Proof = ForwardedCustomer::Proof;

RequestHead makeHead() {
  RequestHead Result;
  Result.Method = "POST";
  Result.RequestTarget = "/x/1?y=z";
  Result.Fields = {{"Host", "h.example"}, {"Other", "kept"}};
  return Result;
}

/// Returns the head as an entry sends it to another one.
RequestHead makeForwarded(const CustomerName &Name, const MessageAuthenticator &Authenticator) {
  RequestHead Result = makeHead();
  for (const auto &Each : forwardedCustomerFields(Result, "7", Name, Authenticator)) {
    Result.Fields.push_back(Each);
  }
  return Result;
}

} // namespace

class ForwardedCustomerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardedCustomerTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(forgedFields);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against lost customers, and against a signature that reaches a target.
  void roundTrip() {
    const GlibMessageAuthenticator Authenticator("key");
    for (const CustomerName &Name : {CustomerName(), CustomerName("sese880")}) {
      RequestHead Head = makeForwarded(Name, Authenticator);
      CPPUNIT_ASSERT(takeForwardedCustomer(Head, "7", Authenticator) ==
                     (ForwardedCustomer{Proof::Valid, Name}));
      CPPUNIT_ASSERT(Head == makeHead());
    }
    RequestHead Unsigned = makeHead();
    CPPUNIT_ASSERT(takeForwardedCustomer(Unsigned, "7", Authenticator) == ForwardedCustomer{});
  }

  /// Guards against callers that take the part of an entry: fields with another key, and fields of
  /// one request that are used for another one.
  void forgedFields() {
    const GlibMessageAuthenticator Authenticator("key");
    const std::pair<const char *, std::function<void(RequestHead &)>> Table[] = {
        {"method", [](RequestHead &Head) { Head.Method = "GET"; }},
        {"path", [](RequestHead &Head) { Head.RequestTarget = "/x/2"; }},
        {"host", [](RequestHead &Head) { Head.Fields[0].second = "i.example"; }},
        {"customer", [](RequestHead &Head) { Head.Fields[2].second = "sese881"; }},
        {"no customer", [](RequestHead &Head) { Head.Fields.erase(Head.Fields.begin() + 2); }},
        {"signature", [](RequestHead &Head) { Head.Fields[3].second[5] ^= 1; }},
        {"short signature", [](RequestHead &Head) { Head.Fields[3].second.pop_back(); }},
    };
    for (const auto &[Name, Change] : Table) {
      RequestHead Head = makeForwarded(CustomerName("sese880"), Authenticator);
      Change(Head);
      CPPUNIT_ASSERT_MESSAGE(Name, takeForwardedCustomer(Head, "7", Authenticator) ==
                                       (ForwardedCustomer{Proof::Invalid, {}}));
    }
    RequestHead OtherId = makeForwarded(CustomerName("sese880"), Authenticator);
    CPPUNIT_ASSERT(takeForwardedCustomer(OtherId, "8", Authenticator).Signature == Proof::Invalid);
    RequestHead OtherKey =
        makeForwarded(CustomerName("sese880"), GlibMessageAuthenticator("other"));
    CPPUNIT_ASSERT(takeForwardedCustomer(OtherKey, "7", Authenticator).Signature == Proof::Invalid);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedCustomerTest);
