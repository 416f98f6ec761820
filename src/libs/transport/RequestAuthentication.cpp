#include "transport/RequestAuthentication.h"

#include "protocol/ApiKey.h"
#include "protocol/ForwardedCustomer.h"
#include "protocol/RequestMetadataProtocol.h"

namespace anvilsaddle {

AuthenticationDecision RequestAuthentication::check(const RequestHead &Head,
                                                    const CustomerTable &Customers, bool IsPublic) {
  return Customers.authenticate(readCredential(Head.Fields), IsPublic);
}

AuthenticationDecision RequestAuthentication::accept(RequestHead &Head,
                                                     const CustomerTable &Customers,
                                                     bool IsPublic) const {
  AuthenticationDecision Result = check(Head, Customers, IsPublic);
  this->removeEntryFields(Head, Customers);
  return Result;
}

AuthenticationDecision RequestAuthentication::acceptForwarded(RequestHead &Head,
                                                              const CustomerTable &Customers,
                                                              const std::string &Id) const {
  const ForwardedCustomer Stated = takeForwardedCustomer(Head, Id, this->Authenticator);
  this->removeEntryFields(Head, Customers);
  switch (Stated.Signature) {
  case ForwardedCustomer::Proof::Valid:
    // The decision of the first entry holds, also if the entries have different versions in force.
    return {true, Stated.Name, {}};
  case ForwardedCustomer::Proof::None:
    // Entries of a version without customers don't sign.
    if (Customers.empty()) {
      return {true, {}, {}};
    }
    return {false, {}, "forwarded without a customer signature"};
  case ForwardedCustomer::Proof::Invalid:
    break;
  }
  return {false, {}, "forwarded with an invalid customer signature"};
}

void RequestAuthentication::removeEntryFields(RequestHead &Head,
                                              const CustomerTable &Customers) const {
  // Without customers, both fields are those of an application behind the entry.
  if (Customers.empty()) {
    return;
  }
  removeCredentials(Head.Fields);
  std::erase_if(Head.Fields, [this](const auto &Each) {
    return equalsIgnoreCase(Each.first, this->Protocol.customerFieldName());
  });
}

} // namespace anvilsaddle
