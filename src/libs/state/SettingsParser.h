#pragma once

#include "state/Finding.h"
#include "state/PlatformSettings.h"
#include "state/TeamSettings.h"

#include <string_view>
#include <variant>

namespace anvilsaddle {

/// Reads one published subtree. Implementations are pure functions of path and text, so that all
/// entries accept or refuse the same revision.
class SettingsParser {
public:
  using Result = std::variant<PlatformSettings, TeamSettings, Findings>;

  virtual ~SettingsParser() = default;

  /// Returns findings, at least one, if the subtree must be refused as a whole.
  virtual Result parse(std::string_view Path, std::string_view Text) const = 0;
};

} // namespace anvilsaddle
