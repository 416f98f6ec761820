#pragma once

#include "coordination/Messages.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

class Sealer;

/// Right of a customer to form idempotency keys at one incarnation of one entry. Value type.
struct Ticket {
  VmName Issuer;
  Incarnation IssuerIncarnation;
  CustomerName Customer;
  /// On the issuer's monotonic clock; only the issuer can judge it.
  TimePoint Expiry;

  auto operator<=>(const Ticket &) const = default;
};

/// Text form that callers get: issuer, incarnation, expiry and HMAC, joined by dots.
std::string formatTicket(const Ticket &Value, const Sealer &Seals);

/// Reads the ticket of an idempotency key `<ticket>.<suffix>`. Returns nothing if the key is
/// malformed or its HMAC does not fit the customer.
std::optional<Ticket> parseKeyTicket(std::string_view Key, const CustomerName &Customer,
                                     const Sealer &Seals);

} // namespace anvilsaddle
