#pragma once

#include "Command.h"
#include "DaemonOptions.h"

#include <string>

namespace anvilsaddle {

/// `anvilsaddle entries`: the addresses that a caller gets.
class EntriesCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;

  boost::leaf::result<std::string> readCredential() const;

  std::string Credential;
  std::string CredentialFile;
};

} // namespace anvilsaddle
