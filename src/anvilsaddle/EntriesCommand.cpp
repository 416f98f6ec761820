#include "EntriesCommand.h"

#include "TextTable.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

constexpr const char *CredentialVariable = "ANVILSADDLE_CREDENTIAL";

} // namespace

void EntriesCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand(
      "entries", "Ask for addresses as a caller, with a credential <team>.<customer>.<secret>");
  this->Daemon.addTo(*this->Declared, "caller-facing");
  auto *Direct =
      this->Declared
          ->add_option("--credential", this->Credential,
                       "The credential; visible to other users of this machine, so better use a "
                       "file or the variable ANVILSADDLE_CREDENTIAL")
          ->type_name("TEXT");
  this->Declared
      ->add_option("--credential-file", this->CredentialFile, "File that holds the credential")
      ->type_name("FILE")
      ->excludes(Direct);
}

leaf::result<ExitCode> EntriesCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Secret, this->readCredential());
  BOOST_LEAF_AUTO(Answer, this->Daemon.ask("/v1/entries", {{"Authorization", "Bearer " + Secret}}));
  if (this->Daemon.Json) {
    Out << Answer.dump(2) << '\n';
    return ExitCode::Fine;
  }
  TextTable Entries({"ENTRY"});
  for (const auto &Each : Answer.value("entries", nlohmann::json::array())) {
    Entries.add({Each.is_string() ? Each.get<std::string>() : Each.dump()});
  }
  Entries.write(Out);
  Out << '\n';
  TextTable Fields({"FIELD", "VALUE"});
  Fields.add({"keep_ms", fieldText(Answer, "keep_ms")});
  Fields.add({"ticket", fieldText(Answer, "ticket")});
  Fields.write(Out);
  return ExitCode::Fine;
}

leaf::result<std::string> EntriesCommand::readCredential() const {
  std::string Result = this->Credential;
  if (!this->CredentialFile.empty()) {
    std::ifstream Stream(this->CredentialFile, std::ios::binary);
    if (!Stream) {
      return leaf::new_error(
          ToolError{ExitCode::Usage, this->CredentialFile + ": cannot read the file"});
    }
    Result.assign(std::istreambuf_iterator<char>(Stream), {});
  } else if (Result.empty()) {
    const char *Value = std::getenv(CredentialVariable);
    Result = Value ? Value : "";
  }
  while (!Result.empty() && (Result.back() == '\n' || Result.back() == '\r')) {
    Result.pop_back();
  }
  if (Result.empty()) {
    return leaf::new_error(ToolError{
        ExitCode::Usage,
        std::string("give --credential, --credential-file or the variable ") + CredentialVariable});
  }
  if (Result.find_first_of("\r\n ") != std::string::npos) {
    return leaf::new_error(
        ToolError{ExitCode::Usage, "the credential must be one word without spaces"});
  }
  return Result;
}

} // namespace anvilsaddle
