#include "SettingsChecker.h"

#include "protocol/DaemonSettings.h"
#include "protocol/TomlSettingsParser.h"
#include "protocol/VmListJson.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <variant>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

namespace anvilsaddle {

namespace {

namespace fs = std::filesystem;

bool hasService(const PlatformSettings &Platform, const ServiceName &Name) {
  return std::ranges::find(Platform.Services, Name, &Service::Name) != Platform.Services.end();
}

bool hasDomain(const PlatformSettings &Platform, const FailureDomainName &Name) {
  return std::ranges::find(Platform.FailureDomains, Name, &FailureDomain::Name) !=
         Platform.FailureDomains.end();
}

/// Place of a key in the element of an array of tables, or of the element if the key is absent.
toml::source_position placeOf(const toml::table &Root, const char *Array, std::size_t Index,
                              const char *Key) {
  const toml::node_view<const toml::node> Element = Root[Array][Index];
  const toml::node *Value = Element[Key].node();
  return (Value ? Value : Element.node())->source().begin;
}

} // namespace

void SettingsChecker::checkPublished(const fs::path &Path) {
  if (fs::is_directory(Path)) {
    this->checkDirectory(Path);
  } else if (Path.filename() == "vms.json") {
    this->checkVmList(Path, nullptr);
  } else if (Path.filename() == "platform.toml") {
    this->checkPlatform(Path);
  } else {
    this->checkTeam(Path);
  }
}

void SettingsChecker::checkDaemonSettings(const fs::path &File) {
  if (const auto Text = this->read(File)) {
    const auto Parsed = readDaemonSettings(*Text, File.string());
    if (const auto *Found = std::get_if<Findings>(&Parsed)) {
      this->add(*Found, File);
    }
  }
}

void SettingsChecker::checkDirectory(const fs::path &Directory) {
  std::vector<fs::path> TeamFiles;
  std::error_code Ignored;
  for (const auto &Entry : fs::directory_iterator(Directory / "teams", Ignored)) {
    if (Entry.path().extension() == ".toml") {
      TeamFiles.push_back(Entry.path());
    }
  }
  std::ranges::sort(TeamFiles);
  const bool HasPlatform = fs::exists(Directory / "platform.toml");
  if (!HasPlatform && TeamFiles.empty()) {
    this->Problems.push_back(
        {Directory.string(), 0, 0, "the directory has no platform.toml and no teams/<team>.toml"});
  }
  const auto Platform =
      HasPlatform ? this->checkPlatform(Directory / "platform.toml") : std::nullopt;
  for (const fs::path &File : TeamFiles) {
    const auto Checked = this->checkTeam(File);
    if (Checked && Platform) {
      this->checkReferences(*Checked, *Platform);
    }
  }
  if (fs::exists(Directory / "vms.json")) {
    this->checkVmList(Directory / "vms.json", Platform ? &*Platform : nullptr);
  }
}

std::optional<PlatformSettings> SettingsChecker::checkPlatform(const fs::path &File) {
  const auto Text = this->read(File);
  if (!Text) {
    return std::nullopt;
  }
  auto Parsed = TomlSettingsParser().parse("platform", *Text);
  if (const auto *Found = std::get_if<Findings>(&Parsed)) {
    this->add(*Found, File);
    return std::nullopt;
  }
  return std::get<PlatformSettings>(std::move(Parsed));
}

std::optional<SettingsChecker::Team> SettingsChecker::checkTeam(const fs::path &File) {
  auto Text = this->read(File);
  if (!Text) {
    return std::nullopt;
  }
  auto Parsed = TomlSettingsParser().parse("teams/" + File.stem().string(), *Text);
  if (const auto *Found = std::get_if<Findings>(&Parsed)) {
    this->add(*Found, File);
    return std::nullopt;
  }
  return Team{File.string(), std::move(*Text), std::get<TeamSettings>(std::move(Parsed))};
}

void SettingsChecker::checkVmList(const fs::path &File, const PlatformSettings *Platform) {
  const auto Text = this->read(File);
  if (!Text) {
    return;
  }
  auto Root = nlohmann::json::parse(*Text, nullptr, false);
  // The service that publishes the list adds the revision.
  if (Root.is_object() && !Root.contains("revision")) {
    Root["revision"] = 1U;
  }
  const auto Parsed = readVmList(Root.is_discarded() ? *Text : Root.dump(), File.string());
  if (const auto *Found = std::get_if<Findings>(&Parsed)) {
    this->add(*Found, File);
    return;
  }
  if (!Platform) {
    return;
  }
  for (const Vm &Each : std::get<VmList>(Parsed).Vms) {
    if (!hasDomain(*Platform, Each.Domain)) {
      this->Warnings.push_back(
          {File.string(), 0, 0,
           "VM '" + Each.Name.str() + "': unknown failure domain '" + Each.Domain.str() + "'"});
    }
    if (Each.Role == VmRole::Target && !hasService(*Platform, Each.Service)) {
      this->Warnings.push_back(
          {File.string(), 0, 0,
           "VM '" + Each.Name.str() + "': unknown service '" + Each.Service.str() + "'"});
    }
  }
}

void SettingsChecker::checkReferences(const Team &Checked, const PlatformSettings &Platform) {
  // Parsed once more for the places; the text is known to be valid.
  const toml::table Root = toml::parse(Checked.Text);
  const auto Warn = [&](const char *Array, std::size_t Index, const char *Key,
                        std::string Message) {
    const toml::source_position Place = placeOf(Root, Array, Index, Key);
    this->Warnings.push_back({Checked.File, Place.line, Place.column, std::move(Message)});
  };
  for (std::size_t Index = 0; Index < Checked.Settings.Customers.size(); ++Index) {
    for (const RegionName &Region : Checked.Settings.Customers[Index].HomeRegions) {
      if (std::ranges::find(Platform.Regions, Region) == Platform.Regions.end()) {
        Warn("customer", Index, "home_regions", "unknown region '" + Region.str() + "'");
      }
    }
  }
  for (std::size_t Index = 0; Index < Checked.Settings.Routes.size(); ++Index) {
    const Route &Each = Checked.Settings.Routes[Index];
    const auto Found = std::ranges::find(Platform.Services, Each.Service, &Service::Name);
    if (Found == Platform.Services.end()) {
      Warn("route", Index, "service", "unknown service '" + Each.Service.str() + "'");
    } else if (Each.Deadline > Found->MaxDeadline) {
      Warn("route", Index, "deadline_ms",
           "the deadline exceeds the longest deadline of service '" + Each.Service.str() + "'");
    }
  }
}

std::optional<std::string> SettingsChecker::read(const fs::path &File) {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream || fs::is_directory(File)) {
    this->Problems.push_back({File.string(), 0, 0, "cannot read the file"});
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

void SettingsChecker::add(const Findings &Found, const fs::path &File) {
  for (Finding Each : Found) {
    Each.Path = File.string();
    this->Problems.push_back(std::move(Each));
  }
}

} // namespace anvilsaddle
