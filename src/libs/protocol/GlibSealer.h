#pragma once

#include "coordination/Sealer.h"

#include <string>
#include <utility>

namespace anvilsaddle {

/// Sealer implemented with the HMAC functions of GLib. Thread-safe.
class GlibSealer final : public Sealer {
public:
  explicit GlibSealer(std::string FleetKey) : FleetKey(std::move(FleetKey)) {}

  std::string hmac(std::string_view Text) const override;
  bool constantTimeEquals(std::string_view Left, std::string_view Right) const override;

private:
  std::string FleetKey;
};

} // namespace anvilsaddle
