#include "Tool.h"

#include "AuditCommand.h"
#include "CheckCommand.h"
#include "CustomersCommand.h"
#include "ExplainCommand.h"
#include "StatusCommand.h"
#include "TargetsCommand.h"
#include "TraceCommand.h"

#include <exception>
#include <memory>
#include <ostream>
#include <vector>

#include <CLI/CLI.hpp>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

constexpr const char *Footer =
    "Exit codes: 0 success, 1 errors found by check, 2 wrong usage, 3 daemon unreachable or its "
    "response invalid, 4 request refused by the daemon, 5 only warnings found by check.\n"
    "Examples:\n"
    "  anvilsaddle check entry.toml\n"
    "  anvilsaddle check next.json --against current.json --settings entry.toml\n"
    "  anvilsaddle status --address 127.0.0.1:9464\n"
    "  anvilsaddle explain shop.example /status/1 --address 127.0.0.1:9464\n"
    "  anvilsaddle trace 9c41d07be2a35f68 entry-1.log entry-2.log";

std::vector<std::unique_ptr<Command>> createCommands() {
  std::vector<std::unique_ptr<Command>> Result;
  Result.push_back(std::make_unique<CheckCommand>());
  Result.push_back(std::make_unique<StatusCommand>());
  Result.push_back(std::make_unique<TargetsCommand>());
  Result.push_back(std::make_unique<CustomersCommand>());
  Result.push_back(std::make_unique<AuditCommand>());
  Result.push_back(std::make_unique<ExplainCommand>());
  Result.push_back(std::make_unique<TraceCommand>());
  return Result;
}

/// Prints the error and returns the exit code.
int printError(std::ostream &ErrorOut, const ToolError &Error) {
  ErrorOut << "anvilsaddle: " << Error.Message << '\n';
  return static_cast<int>(Error.Code);
}

int runSelected(const std::vector<std::unique_ptr<Command>> &Commands, std::ostream &Out,
                std::ostream &ErrorOut) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        for (const auto &Each : Commands) {
          if (Each->isSelected()) {
            BOOST_LEAF_AUTO(Code, Each->run(Out));
            return static_cast<int>(Code);
          }
        }
        return leaf::new_error(ToolError{ExitCode::Usage, "no subcommand was given"});
      },
      [&](const ToolError &Error) { return printError(ErrorOut, Error); },
      [&] {
        return printError(ErrorOut,
                          {ExitCode::Unreachable, "the command failed for an unknown reason"});
      });
}

} // namespace

int runTool(int ArgumentCount, const char *const *Arguments, std::ostream &Out,
            std::ostream &ErrorOut) {
  CLI::App App("Checks the settings of anvilsaddle daemons and inspects running ones.",
               "anvilsaddle");
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  App.require_subcommand(1);
  App.footer(Footer);
  const auto Commands = createCommands();
  for (const auto &Each : Commands) {
    Each->addTo(App);
  }
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error, Out, ErrorOut) == 0 ? static_cast<int>(ExitCode::Success)
                                               : static_cast<int>(ExitCode::Usage);
  }
  try {
    return runSelected(Commands, Out, ErrorOut);
  } catch (const std::exception &Error) {
    // For example, a JSON response has fields of unexpected types.
    return printError(ErrorOut, {ExitCode::Unreachable, Error.what()});
  }
}

} // namespace anvilsaddle
