#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle {

/// One problem in an input and its place. Line and column count from 1; 0 means the whole input.
struct Diagnostic {
  std::string Path;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Message;

  auto operator<=>(const Diagnostic &) const = default;
};

/// All problems of one input, in the order of their place.
using Diagnostics = std::vector<Diagnostic>;

/// Formats as `path:line:column: message`.
std::string toString(const Diagnostic &Problem);

} // namespace anvilsaddle
