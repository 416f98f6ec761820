#include "../coordination/QuotaHarness.h"
#include "Property.h"
#include "protocol/GlibMessageAuthenticator.h"
#include "protocol/PeerCodec.h"
#include "protocol/PeerEnvelope.h"

#include <iostream>
#include <map>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 127;
constexpr std::size_t Regions = 3;
/// Half of the control traffic of an entry.
constexpr std::size_t MaxBytesPerSecond = 8192;

/// Bytes of UDP payload.
struct Traffic {
  std::size_t Datagrams = 0;
  std::size_t Bytes = 0;
  std::size_t RemoteBytes = 0;
  std::map<std::size_t, std::size_t> BytesBySender;
  std::size_t Requests = 0;

  double bytesPerRequest() const {
    return static_cast<double>(this->Bytes) / static_cast<double>(this->Requests);
  }
  std::size_t busiest() const {
    std::size_t Result = 0;
    for (const auto &[Sender, Each] : this->BytesBySender) {
      Result = std::max(Result, Each);
    }
    return Result;
  }
};

} // namespace

class QuotaTrafficTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTrafficTest);
  CPPUNIT_TEST(trafficIsSmall);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against control traffic that leaves no room for gossip in the 16 KB/s of an entry, and
  /// against datagrams that are not small.
  void trafficIsSmall() {
    const GlibMessageAuthenticator Authenticator("a key of sixteen bytes");
    QuotaHarness Fleet(FleetSize, Regions, 81);
    addUsualCustomers(Fleet);
    Traffic Current;
    Fleet.OnSent = [&](std::size_t Sender, const OutgoingQuotaMessage &Outgoing) {
      const VmName Self(QuotaHarness::addressOf(Sender));
      const PeerMessage Message =
          std::visit([](const auto &Each) { return PeerMessage(Each); }, Outgoing.Message);
      for (std::string &Payload : PeerCodec().encode(Message, PeerEnvelope::payloadLimit(Self))) {
        const std::size_t Bytes = PeerEnvelope{Self, {1'800'000'000'000, 1}, 1, std::move(Payload)}
                                      .seal(Authenticator, VmName(Outgoing.Receiver))
                                      .size();
        ++Current.Datagrams;
        Current.Bytes += Bytes;
        Current.BytesBySender[Sender] += Bytes;
        const std::size_t Receiver = Fleet.indexOf(Outgoing.Receiver);
        Current.RemoteBytes += Fleet.regionOf(Sender) == Fleet.regionOf(Receiver) ? 0 : Bytes;
      }
    };
    const auto Measure = [&](const std::string &Name, std::size_t Seconds) {
      Current = {};
      const std::size_t Before = Fleet.requests();
      Fleet.run(std::chrono::seconds(Seconds));
      Current.Requests = Fleet.requests() - Before;
      const auto Requests = static_cast<double>(Current.Requests);
      std::cout << '\n'
                << Name << ": " << static_cast<double>(Current.Datagrams) / Requests
                << " datagrams and " << Current.bytesPerRequest() << " bytes per request, "
                << static_cast<double>(Current.RemoteBytes) / Requests
                << " of them between regions; busiest entry " << Current.busiest() / Seconds
                << " bytes/s";
      CPPUNIT_ASSERT(Current.Bytes <= 130 * Current.Datagrams);
      CPPUNIT_ASSERT(Current.busiest() / Seconds <= MaxBytesPerSecond);
      return Current;
    };
    Fleet.run(5s);
    CPPUNIT_ASSERT(Measure("usual load", 30).bytesPerRequest() <= 130);
    for (const char *Each : {"customer-0", "customer-3", "customer-10", "customer-30"}) {
      Fleet.setLoad(Each, {FloodPerLoad * usualLoads().at(Each)});
    }
    CPPUNIT_ASSERT(Measure("flood of four customers", 30).bytesPerRequest() <= 200);
    Fleet.setParts([](std::size_t Index) { return Index % Regions; });
    Measure("flood in three regions that can't hear each other", 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTrafficTest);
