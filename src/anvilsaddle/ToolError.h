#pragma once

#include <string>

namespace anvilsaddle {

/// Exit codes of the command-line tool; documented in its --help.
enum class ExitCode {
  Fine = 0,
  /// check: the settings have findings.
  Diagnostics = 1,
  Usage = 2,
  /// The daemon did not answer, or not in the expected form.
  Unreachable = 3,
  /// The daemon answered with an error status.
  Refused = 4,
};

/// Ends a command. Error object for Boost.LEAF.
struct ToolError {
  ExitCode Exit = ExitCode::Usage;
  std::string Message;
};

} // namespace anvilsaddle
