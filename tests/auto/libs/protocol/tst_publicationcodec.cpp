#include "Batches.h"
#include "Property.h"
#include "protocol/PublicationCodec.h"

#include <functional>
#include <string>
#include <utility>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

PublicationBatch batchOfAllTypes() {
  Route RouteValue{RouteName("r"), "h", "/p/", true, 2s, 400ms, 2, 3, {}, {RegionName("a")}};
  RouteValue.Services = {{ServiceName("s"), 90}, {ServiceName("t"), 10}};
  Configuration Settings;
  Settings.Version = 12;
  Settings.Routes = {RouteValue};
  Settings.Services = {{ServiceName("s"), {ServiceName("s"), "/health", 4.5}}};
  Settings.Limits = {100, 200, 3s, 4s};
  RouteValue.Name = RouteName("public");
  RouteValue.IsPublic = true;
  Settings.Routes.push_back(RouteValue);
  const auto MakeKey = [](std::uint8_t Byte) {
    ApiKeyDigest Digest;
    Digest.fill(Byte);
    return Digest;
  };
  const CustomerName Full("full");
  const CustomerName Bare("bare");
  Settings.Customers[Full] = {Full, {MakeKey(0), MakeKey(10), MakeKey(255)},
                              0,    {RegionName("a"), RegionName("b")},
                              90.5, 7};
  Settings.Customers[Bare] = {Bare, {}, std::nullopt, {}, 0, 0};
  const Target TargetValue{TargetName("t1"),
                           ServiceName("s"),
                           {"10.0.0.1", 80},
                           FailureDomainName("d"),
                           3,
                           true,
                           5s,
                           1'700'000'000'000,
                           12};
  PublicationBatch Result =
      batch(true,
            {Settings, TargetRegistered{TargetValue}, TargetRemoved{TargetName("t2")},
             DomainEvacuation{FailureDomainName("d"), true}},
            3, 99);
  Result.RemovalDelay = 1500ms;
  Result.Gaps = {{{3, 2}, {3, 40}}, {{3, 55}, {4, 9}}};
  Result.Epoch = 4;
  Result.SinceEpoch = 3;
  return Result;
}

} // namespace

class PublicationCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationCodecTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(customerDeltas);
  CPPUNIT_TEST(invalidTexts);
  CPPUNIT_TEST(invalidTargetsAreRemoved);
  CPPUNIT_TEST(extremeDurationsAreLimited);
  CPPUNIT_TEST(deeplyNestedTextsAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against lost or modified fields.
  void roundTrip() {
    const PublicationBatch Sent = batchOfAllTypes();
    CPPUNIT_ASSERT(readBatch(writeBatch(Sent)) == Sent);
    CPPUNIT_ASSERT(readBatch(writeBatch({})) == PublicationBatch{});
  }

  /// Guards against a revoked key or a removed customer that stays valid in an entry which gets the
  /// difference between two versions.
  void customerDeltas() {
    PublicationBatch Sent = batchOfAllTypes();
    const auto Base = std::get<Configuration>(Sent.Changes.front());
    auto &Newer = std::get<Configuration>(Sent.Changes.front());
    Newer.Version = 13;
    Newer.Customers.at(CustomerName("full")).Keys.clear();
    Newer.Customers.erase(CustomerName("bare"));
    ConfigurationDelta Delta{12, 13, {}, {}, Newer.Services, Newer.Limits, {}, {}};
    Delta.ChangedCustomers = Newer.Customers;
    Delta.RemovedCustomers = {CustomerName("bare")};
    CPPUNIT_ASSERT(readBatch(writeBatch(Sent, Delta), &Base) == Sent);
  }

  /// Guards against crashes and partially decoded batches.
  void invalidTexts() {
    const std::string Good = writeBatch(batchOfAllTypes());
    for (std::size_t Size = 0; Size < Good.size(); ++Size) {
      CPPUNIT_ASSERT(!readBatch(Good.substr(0, Size)));
    }
    checkProperty("any modified text is decoded or rejected", [&Good] {
      std::string Changed = Good;
      Changed[*rc::gen::inRange<std::size_t>(0, Good.size())] = *rc::gen::arbitrary<char>();
      readBatch(Changed);
    });
  }

  /// Guards against an invalid registration that an older entry has accepted from the store and
  /// passes on: the target must not be used, and the other publications must hold.
  void invalidTargetsAreRemoved() {
    const Target Good{TargetName("t"),
                      ServiceName("s"),
                      {"10.0.0.1", 80},
                      FailureDomainName("d"),
                      3,
                      false,
                      5s,
                      1};
    const std::pair<const char *, std::function<void(Target &)>> Table[] = {
        {"port", [](Target &Value) { Value.Address.Port = 0; }},
        {"address", [](Target &Value) { Value.Address.Address = "nowhere"; }},
        {"no slots", [](Target &Value) { Value.Slots = 0; }},
        {"negative slots", [](Target &Value) { Value.Slots = 4'294'967'295; }},
        {"negative cold time", [](Target &Value) { Value.RemainingColdTime = -1us; }},
        {"shortest cold time", [](Target &Value) { Value.RemainingColdTime = Duration::min(); }},
        {"longest cold time", [](Target &Value) { Value.RemainingColdTime = Duration::max(); }},
        {"start time", [](Target &Value) { Value.StartedUnixMilliseconds = -1; }},
    };
    const TargetRemoved Other{TargetName("o")};
    for (const auto &[Name, Change] : Table) {
      Target Changed = Good;
      Change(Changed);
      const auto Read = readBatch(writeBatch(
          batch(false, {TargetRegistered{Good}, TargetRegistered{Changed}, Other}, 3, 99)));
      const PublicationBatch Expected =
          batch(false, {TargetRegistered{Good}, TargetRemoved{Good.Name}, Other}, 3, 99);
      CPPUNIT_ASSERT_MESSAGE(Name, Read == Expected);
    }
  }

  /// Guards against durations that overflow when they are added to a time.
  void extremeDurationsAreLimited() {
    const std::pair<Duration, Duration> Table[] = {
        {Duration::max(), 24h}, {Duration::min(), 0s}, {-1us, 0s}, {24h, 24h}};
    for (const auto &[Sent, Expected] : Table) {
      PublicationBatch Batch = batchOfAllTypes();
      Batch.RemovalDelay = Sent;
      auto &Settings = std::get<Configuration>(Batch.Changes.front());
      Settings.Limits.IdleTimeout = Sent;
      Settings.Routes.front().Timeout = Sent;
      const auto Read = readBatch(writeBatch(Batch));
      CPPUNIT_ASSERT(Read && Read->RemovalDelay == Expected);
      const auto &ReadSettings = std::get<Configuration>(Read->Changes.front());
      CPPUNIT_ASSERT(ReadSettings.Limits.IdleTimeout == Expected);
      CPPUNIT_ASSERT(ReadSettings.Routes.front().Timeout == Expected);
    }
  }

  /// Guards against a stack overflow by unknown fields that are nested deeply.
  void deeplyNestedTextsAreRejected() {
    constexpr std::size_t Levels = 1'000'000;
    // Compact protocol: the upper half is a field number or a length of 1, the lower half the type.
    for (const char Container : {'\x1c', '\x19', '\x1a', '\x1b'}) {
      CPPUNIT_ASSERT(!readBatch(std::string(Levels, Container)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationCodecTest);
