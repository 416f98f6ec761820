#pragma once

#include "ToolError.h"

#include <iosfwd>

#include <CLI/App.hpp>
#include <boost/leaf.hpp>

namespace anvilsaddle {

/// Base class of the tool's subcommands.
class Command {
public:
  Command() = default;
  virtual ~Command() = default;
  Command(const Command &) = delete;
  Command &operator=(const Command &) = delete;

  /// Adds the subcommand and its options to the parser. Precondition: the command outlives the
  /// parsing.
  virtual void addTo(CLI::App &App) = 0;
  /// True if the parsed command line selects this subcommand.
  bool isSelected() const { return this->Subcommand && this->Subcommand->parsed(); }
  /// Runs the subcommand with the parsed options. Fails with a ToolError.
  virtual boost::leaf::result<ExitCode> run(std::ostream &Out) = 0;

protected:
  CLI::App *Subcommand = nullptr;
};

} // namespace anvilsaddle
