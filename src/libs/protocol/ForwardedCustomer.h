#pragma once

#include "protocol/HttpMessage.h"
#include "state/Identifiers.h"

#include <compare>
#include <string_view>

namespace anvilsaddle {

class MessageAuthenticator;

/// What a forwarded request states about the customer that the first entry authenticated. Value
/// type.
struct ForwardedCustomer {
  enum class Proof {
    /// The request has no signature.
    None,
    Valid,
    Invalid,
  };

  Proof Signature = Proof::None;
  /// Valid with a valid signature; empty if the request belongs to no customer.
  CustomerName Name;

  auto operator<=>(const ForwardedCustomer &) const = default;
};

/// Returns the header fields that tell another entry the customer of a request. They are signed
/// with the fleet key together with the request line, the host and the request id, so that they
/// are valid for this request only. A request without a customer is signed too, because it has
/// passed the authentication as well. Thread-safe.
FieldList forwardedCustomerFields(const RequestHead &Head, std::string_view RequestId,
                                  const CustomerName &Name,
                                  const MessageAuthenticator &Authenticator);

/// Removes the header fields from the head and returns their content. Thread-safe.
ForwardedCustomer takeForwardedCustomer(RequestHead &Head, std::string_view RequestId,
                                        const MessageAuthenticator &Authenticator);

} // namespace anvilsaddle
