#pragma once

#include "state/SettingsParser.h"

namespace anvilsaddle {

/// Reads published settings written in TOML: the path `platform` and paths `teams/<team>`.
/// Thread-safe.
class TomlSettingsParser final : public SettingsParser {
public:
  Result parse(std::string_view Path, std::string_view Text) const override;
};

} // namespace anvilsaddle
