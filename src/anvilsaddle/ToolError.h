#pragma once

#include <string>

namespace anvilsaddle {

/// Exit codes of the command-line tool, documented in its --help.
enum class ExitCode {
  Success = 0,
  /// `check` found errors.
  Diagnostics = 1,
  Usage = 2,
  /// No response from the daemon, or one in an unexpected format.
  Unreachable = 3,
  /// The daemon responded with an error status.
  Refused = 4,
  /// `check` found no errors, but what is probably not intended or at the expense of callers.
  Warnings = 5,
};

/// Error that ends a command, for Boost.LEAF.
struct ToolError {
  ExitCode Code = ExitCode::Usage;
  std::string Message;
};

} // namespace anvilsaddle
