#pragma once

#include "coordination/customers/CustomerTable.h"
#include "protocol/HttpMessage.h"

#include <string>

namespace anvilsaddle {

class MessageAuthenticator;
class RequestMetadataProtocol;

/// Decides for which customer a request is accepted, and keeps what only entries may set or read
/// out of the requests that are passed on. Not thread-safe.
class RequestAuthentication {
public:
  /// Precondition: both outlive this object.
  RequestAuthentication(const RequestMetadataProtocol &Protocol,
                        const MessageAuthenticator &Authenticator)
      : Protocol(Protocol), Authenticator(Authenticator) {}

  /// Decides from the API key of a caller's request. `IsPublic` tells that the route of the request
  /// needs no key.
  static AuthenticationDecision check(const RequestHead &Head, const CustomerTable &Customers,
                                      bool IsPublic);
  /// The same; also removes API keys and the customer field from the head.
  AuthenticationDecision accept(RequestHead &Head, const CustomerTable &Customers,
                                bool IsPublic) const;
  /// The same for a request that another entry has authenticated. `Id` is the request id.
  AuthenticationDecision acceptForwarded(RequestHead &Head, const CustomerTable &Customers,
                                         const std::string &Id) const;

private:
  /// Removes API keys, and the header field by which entries tell targets the customer.
  void removeEntryFields(RequestHead &Head, const CustomerTable &Customers) const;

  const RequestMetadataProtocol &Protocol;
  const MessageAuthenticator &Authenticator;
};

} // namespace anvilsaddle
