#pragma once

#include "coordination/membership/Membership.h"
#include "protocol/RequestMetadataProtocol.h"
#include "state/Endpoint.h"
#include "transport/HttpExchange.h"

#include <cstdint>

namespace anvilsaddle {

class ProxyHandler;

/// Responds to readiness checks and to queries for the entries that a caller should use. Not
/// thread-safe.
class EntryPageHandler final : public HttpHandler {
public:
  /// Precondition: all references outlive the handler.
  EntryPageHandler(const EntryQueryProtocol &Queries, const Membership &Members,
                   const Topology &FleetTopology, const ProxyHandler &Proxy,
                   std::uint16_t CallerPort, Duration AddressLifetime);

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &, CloseReason) override {}

private:
  void respondWithAddresses(HttpExchange &Exchange, const AddressQuery &Query) const;

  const EntryQueryProtocol &Queries;
  const Membership &Members;
  const Topology &FleetTopology;
  const ProxyHandler &Proxy;
  std::uint16_t CallerPort;
  Duration AddressLifetime;
};

} // namespace anvilsaddle
