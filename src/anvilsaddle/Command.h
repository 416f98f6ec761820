#pragma once

#include "ToolError.h"

#include <iosfwd>

#include <CLI/App.hpp>
#include <boost/leaf.hpp>

namespace anvilsaddle {

/// One subcommand of the tool.
class Command {
public:
  Command() = default;
  virtual ~Command() = default;
  Command(const Command &) = delete;
  Command &operator=(const Command &) = delete;

  /// Declares the subcommand and its options. Precondition: the command outlives the parsing.
  virtual void addTo(CLI::App &App) = 0;
  /// True if the parsed command line names this command.
  bool isChosen() const { return this->Declared && this->Declared->parsed(); }
  /// Runs with the parsed options. Fails with a ToolError.
  virtual boost::leaf::result<ExitCode> run(std::ostream &Out) = 0;

protected:
  CLI::App *Declared = nullptr;
};

} // namespace anvilsaddle
