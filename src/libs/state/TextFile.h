#pragma once

#include <optional>
#include <string>

namespace anvilsaddle {

/// Returns the content of a file, or nothing if it cannot be opened. Thread-safe.
std::optional<std::string> readTextFile(const std::string &Path);

} // namespace anvilsaddle
