#include "protocol/TomlSettingsParser.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <variant>

#include <CLI/CLI.hpp>

using namespace anvilsaddle;

namespace {

constexpr int ExitFindings = 1;

/// Checks one file as the published settings path that its name stands for.
std::size_t checkFile(const std::filesystem::path &File) {
  std::ifstream Stream(File, std::ios::binary);
  const std::string Text(std::istreambuf_iterator<char>(Stream), {});
  const std::string Stem = File.stem().string();
  const std::string Path = Stem == "platform" ? Stem : "teams/" + Stem;
  const auto Parsed = TomlSettingsParser().parse(Path, Text);
  const auto *Problems = std::get_if<Findings>(&Parsed);
  if (!Problems) {
    return 0;
  }
  for (Finding Each : *Problems) {
    Each.Path = File.string();
    std::cout << toString(Each) << '\n';
  }
  return Problems->size();
}

int checkSettings(const std::filesystem::path &Root) {
  std::size_t Count = 0;
  if (!std::filesystem::is_directory(Root)) {
    Count = checkFile(Root);
  } else {
    for (const auto &Entry : std::filesystem::recursive_directory_iterator(Root)) {
      if (Entry.path().extension() == ".toml") {
        Count += checkFile(Entry.path());
      }
    }
  }
  return Count == 0 ? 0 : ExitFindings;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("anvilsaddle command-line tool");
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  App.require_subcommand(1);
  std::string Root;
  CLI::App *Check = App.add_subcommand("check", "Check published settings offline");
  Check->add_option("path", Root, "File or directory")->required()->check(CLI::ExistingPath);
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return checkSettings(Root);
}
