#pragma once

#include "coordination/MessageAuthenticator.h"

#include <string>
#include <utility>

namespace anvilsaddle {

/// MessageAuthenticator implemented with the HMAC functions of GLib. Thread-safe.
class GlibMessageAuthenticator final : public MessageAuthenticator {
public:
  explicit GlibMessageAuthenticator(std::string FleetKey) : FleetKey(std::move(FleetKey)) {}

  std::string hmac(std::string_view Text) const override;
  bool constantTimeEquals(std::string_view Left, std::string_view Right) const override;

private:
  std::string FleetKey;
};

} // namespace anvilsaddle
