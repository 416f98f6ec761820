#include "transport/EntryPageHandler.h"

#include "coordination/dispatch/RouteTable.h"
#include "coordination/membership/AddressDirectory.h"
#include "transport/ProxyHandler.h"

#include <utility>
#include <vector>

namespace anvilsaddle {

EntryPageHandler::EntryPageHandler(const EntryQueryProtocol &Queries, const Membership &Members,
                                   const Topology &FleetTopology, const ProxyHandler &Proxy,
                                   std::uint16_t CallerPort, Duration AddressLifetime)
    : Queries(Queries), Members(Members), FleetTopology(FleetTopology), Proxy(Proxy),
      CallerPort(CallerPort), AddressLifetime(AddressLifetime) {}

void EntryPageHandler::onRequest(HttpExchange &Exchange) {
  if (this->Queries.isReadinessCheck(Exchange.head())) {
    const bool IsReady = this->Members.state() == EntryState::Ready;
    Exchange.respondText(IsReady ? 200 : 503, "text/plain", toString(this->Members.state()));
    return;
  }
  if (const auto Query = this->Queries.readAddressQuery(Exchange.head())) {
    this->respondWithAddresses(Exchange, *Query);
    return;
  }
  Exchange.respondText(404, "text/plain", "no such page\n");
}

void EntryPageHandler::respondWithAddresses(HttpExchange &Exchange,
                                            const AddressQuery &Query) const {
  std::vector<const Route *> Routes;
  if (const RouteTable *Table = this->Proxy.routes()) {
    Routes = Table->routesForHost(Query.Host);
  }
  std::vector<Endpoint> Entries;
  for (std::string &Address : chooseEntryAddresses(this->Members.liveEntries(), this->FleetTopology,
                                                   Query.Region, Query.Domain, Routes)) {
    Entries.push_back({std::move(Address), this->CallerPort});
  }
  if (Entries.empty()) {
    Exchange.respondText(503, "text/plain", "no entry is ready\n");
    return;
  }
  Exchange.respondText(200, "application/json",
                       this->Queries.writeAddressResponse(Entries, this->AddressLifetime));
}

} // namespace anvilsaddle
