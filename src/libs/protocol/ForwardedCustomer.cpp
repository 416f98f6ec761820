#include "protocol/ForwardedCustomer.h"

#include "coordination/MessageAuthenticator.h"

#include <string>
#include <utility>

namespace anvilsaddle {

namespace {

/// The value is the name of the customer.
constexpr std::string_view CustomerFieldName = "Anvilsaddle-Forwarded-Customer";
/// The value is an HMAC in hexadecimal.
constexpr std::string_view SignatureFieldName = "Anvilsaddle-Forwarded-Signature";

/// The first line keeps the signatures apart from those of peer messages, which use the same key.
/// The parts contain no line breaks, as they come from a message head.
std::string signedText(const RequestHead &Head, std::string_view RequestId, std::string_view Name) {
  std::string Result = "anvilsaddle forwarded customer";
  for (const std::string_view Part :
       {std::string_view(Head.Method), std::string_view(Head.RequestTarget),
        findField(Head.Fields, "Host"), RequestId, Name}) {
    Result += '\n';
    Result += Part;
  }
  return Result;
}

bool isCustomerField(const FieldList::value_type &Field) {
  return equalsIgnoreCase(Field.first, CustomerFieldName) ||
         equalsIgnoreCase(Field.first, SignatureFieldName);
}

} // namespace

FieldList forwardedCustomerFields(const RequestHead &Head, std::string_view RequestId,
                                  const CustomerName &Name,
                                  const MessageAuthenticator &Authenticator) {
  // An empty name replaces a field that the caller sent.
  return {{std::string(CustomerFieldName), Name.str()},
          {std::string(SignatureFieldName),
           Authenticator.hmac(signedText(Head, RequestId, Name.str()))}};
}

ForwardedCustomer takeForwardedCustomer(RequestHead &Head, std::string_view RequestId,
                                        const MessageAuthenticator &Authenticator) {
  ForwardedCustomer Result;
  Result.Name = CustomerName(std::string(findField(Head.Fields, CustomerFieldName)));
  const std::string Signature(findField(Head.Fields, SignatureFieldName));
  std::erase_if(Head.Fields, isCustomerField);
  if (Signature.empty()) {
    return {};
  }
  const std::string Expected = Authenticator.hmac(signedText(Head, RequestId, Result.Name.str()));
  if (!Authenticator.constantTimeEquals(Signature, Expected)) {
    return {ForwardedCustomer::Proof::Invalid, {}};
  }
  Result.Signature = ForwardedCustomer::Proof::Valid;
  return Result;
}

} // namespace anvilsaddle
