#pragma once

#include "state/Configuration.h"
#include "state/Identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace anvilsaddle {

/// What a request presents to authenticate itself. Value type.
struct PresentedCredential {
  enum class Form {
    None,
    /// The request has one credential in a known form.
    ApiKey,
    Malformed,
    /// The request has several credentials, so that it is not clear which one applies.
    Repeated,
  };

  Form Kind = Form::None;
  /// Valid for an API key.
  ApiKeyDigest Digest{};

  auto operator<=>(const PresentedCredential &) const = default;
};

/// Decision whether a request is accepted, and for which customer. Value type.
struct AuthenticationDecision {
  bool IsAccepted = false;
  /// Empty if the request belongs to no customer.
  CustomerName Customer;
  /// Reason of a rejection, from a fixed set of texts, for logs and metrics.
  std::string Reason;

  auto operator<=>(const AuthenticationDecision &) const = default;
};

/// The customers of one version of the configuration, found by API key or name. Immutable; safe to
/// read from several threads.
class CustomerTable {
public:
  /// A key that several customers have belongs to the first of them in the order of names, so that
  /// all entries decide alike. Precondition: the configuration outlives the table.
  explicit CustomerTable(const Configuration &Config);

  /// True if callers need no API keys.
  bool empty() const { return this->Config.Customers.empty(); }
  /// Returns null if there is no such customer.
  const Customer *find(const CustomerName &Name) const;
  /// `IsPublic` tells that the route of the request needs no API key. A presented key must be valid
  /// also then, so that its owner learns that it is not.
  AuthenticationDecision authenticate(const PresentedCredential &Presented, bool IsPublic) const;

private:
  const Customer *findByKey(const ApiKeyDigest &Digest) const;

  const Configuration &Config;
  /// Customers by the first bytes of the digests of their keys. Only digests with the same first
  /// bytes are compared as a whole, in constant time.
  std::unordered_multimap<std::uint64_t, std::pair<const ApiKeyDigest *, const Customer *>>
      CustomersByPrefix;
};

/// Returns the regions that both the route and the customer allow, where an empty set allows all
/// regions; nothing if no region is left. Thread-safe.
std::optional<std::set<RegionName>> commonHomeRegions(const std::set<RegionName> &OfRoute,
                                                      const std::set<RegionName> &OfCustomer);

} // namespace anvilsaddle
