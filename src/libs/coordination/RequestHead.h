#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace anvilsaddle {

/// Mark of a request that another entry passed on.
struct ForwardMark {
  VmName From;
  CustomerName Customer;
  /// True if the sender is the issuer of the idempotency key and has admitted the key.
  bool KeyAdmitted = false;
  /// True if the request comes to this entry as the owner of a group; it is not forwarded again.
  bool ToOwner = false;

  auto operator<=>(const ForwardMark &) const = default;
};

/// What the decisions need to know of a request before its body is read.
struct RequestHead {
  std::string Method;
  /// Decoded path without query.
  std::string Path;
  /// Value of the Authorization header.
  std::string Authorization;
  std::string IdempotencyKey;
  /// Time the caller is willing to wait; the route's deadline bounds it.
  std::optional<Duration> Patience;
  /// True if the body is small enough to be kept for a retry.
  bool Replayable = false;
  /// Set if an authenticated entry passed the request on; the credential was checked there.
  std::optional<ForwardMark> Forwarded;

  auto operator<=>(const RequestHead &) const = default;
};

} // namespace anvilsaddle
