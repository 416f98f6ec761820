#pragma once

#include "coordination/Membership.h"
#include "protocol/ExchangeProtocol.h"
#include "state/Endpoint.h"
#include "transport/HttpExchange.h"

#include <cstdint>

namespace anvilsaddle {

class RequestFlows;

/// Answers whether the entry is ready, and which entries a caller should use. Not thread-safe.
class EntryPageHandler final : public HttpHandler {
public:
  /// Precondition: all references outlive the handler.
  EntryPageHandler(const EntryQueryProtocol &Pages, const Membership &Members,
                   const Topology &Places, const RequestFlows &Flows, std::uint16_t CallerPort,
                   Duration AddressLifetime);

  void onRequest(HttpExchange &Exchange) override;
  void onCallerGone(HttpExchange &) override {}

private:
  void answerAddresses(HttpExchange &Exchange, const AddressQuery &Question) const;

  const EntryQueryProtocol &Pages;
  const Membership &Members;
  const Topology &Places;
  const RequestFlows &Flows;
  std::uint16_t CallerPort;
  Duration AddressLifetime;
};

} // namespace anvilsaddle
