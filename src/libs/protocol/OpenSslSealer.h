#pragma once

#include "coordination/Sealer.h"

namespace anvilsaddle {

/// Sealer by OpenSSL under one fleet key. Thread-safe.
class OpenSslSealer final : public Sealer {
public:
  /// Precondition: the key is not empty.
  explicit OpenSslSealer(std::string FleetKey) : FleetKey(std::move(FleetKey)) {}

  std::string sha256Hex(std::string_view Text) const override;
  std::string seal(std::string_view Text) const override;
  bool equals(std::string_view Left, std::string_view Right) const override;

private:
  std::string FleetKey;
};

} // namespace anvilsaddle
