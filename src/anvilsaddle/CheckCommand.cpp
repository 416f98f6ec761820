#include "CheckCommand.h"

#include "coordination/configuration/ConfigurationCheck.h"
#include "coordination/configuration/ConfigurationComparison.h"
#include "platform/ConfigurationFile.h"
#include "protocol/DaemonSettings.h"
#include "state/TextFile.h"

#include <algorithm>
#include <optional>
#include <ostream>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

/// A finding with its location.
struct LocatedFinding {
  Diagnostic Place;
  FindingSeverity Severity = FindingSeverity::Error;
  std::string Kind;
  /// Difference to the version in force.
  bool IsChange = false;
};

const char *partName(ConfigurationPart Part) {
  switch (Part) {
  case ConfigurationPart::Whole:
    return "";
  case ConfigurationPart::Route:
    return "route";
  case ConfigurationPart::Service:
    return "service";
  case ConfigurationPart::Customer:
    return "customer";
  case ConfigurationPart::CallerLimits:
    return "limits";
  }
  return "";
}

/// True if the text is a configuration in JSON. Settings in TOML can't begin with a brace.
bool isConfiguration(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r\n");
  return First != std::string::npos && Text[First] == '{';
}

/// Collects the findings about the files of one call.
class FileChecker {
public:
  void addErrors(const Diagnostics &Errors) {
    for (const Diagnostic &Each : Errors) {
      this->Findings.push_back({Each, FindingSeverity::Error, "invalid", false});
    }
  }

  void readContext(const std::string &SettingsPath, const std::string &TargetsPath) {
    if (SettingsPath.empty()) {
      return;
    }
    const auto Parsed = readDaemonSettings(this->readText(SettingsPath), SettingsPath);
    if (const auto *Errors = std::get_if<Diagnostics>(&Parsed)) {
      this->addErrors(*Errors);
      return;
    }
    const auto &Settings = std::get<DaemonSettings>(Parsed);
    this->Context.Regions.emplace();
    for (const auto &[Domain, Region] : Settings.FleetTopology.RegionByDomain) {
      this->Context.Regions->insert(Region);
    }
    const RetryBudgetLimits &Retries = Settings.Dispatch.Retries;
    this->Context.AllowsRetries = Retries.Ratio > 0 || Retries.BaseRetries > 0;
    this->Context.HedgeShare = Settings.Dispatch.Hedges.Share;
    if (!TargetsPath.empty()) {
      this->readTargets(TargetsPath, Settings.FleetTopology);
    }
  }

  void check(const std::string &Path, const std::string &AgainstPath) {
    const std::string Text = this->readText(Path);
    if (!isConfiguration(Text)) {
      const auto Parsed = readDaemonSettings(Text, Path);
      if (const auto *Errors = std::get_if<Diagnostics>(&Parsed)) {
        this->addErrors(*Errors);
      }
      return;
    }
    const platform::ConfigurationFile Next = platform::readConfigurationFile(Text, Path);
    this->addErrors(Next.Errors);
    this->addFindings(Next.Ignored, Path, Next, nullptr, AgainstPath);
    if (Next.Value) {
      this->addFindings(checkConfiguration(*Next.Value, this->Context), Path, Next, nullptr,
                        AgainstPath);
    }
    if (AgainstPath.empty()) {
      return;
    }
    const platform::ConfigurationFile Current =
        platform::readConfigurationFile(this->readText(AgainstPath), AgainstPath);
    this->addErrors(Current.Errors);
    if (Next.Value && Current.Value) {
      this->addFindings(compareConfigurations(*Current.Value, *Next.Value), Path, Next, &Current,
                        AgainstPath);
    }
  }

  const std::vector<LocatedFinding> &findings() const { return this->Findings; }

private:
  std::string readText(const std::string &Path) {
    const auto Text = readTextFile(Path);
    if (!Text) {
      this->addErrors({{Path, 0, 0, "cannot read the file"}});
    }
    return Text.value_or("");
  }

  void readTargets(const std::string &Path, const Topology &Fleet) {
    const auto Rows = nlohmann::json::parse(this->readText(Path), nullptr, false);
    if (!Rows.is_array()) {
      this->addErrors({{Path, 0, 0, "the file is not a JSON array of targets"}});
      return;
    }
    this->Context.TargetRegions.emplace();
    for (const nlohmann::json &Each : Rows) {
      if (!Each.is_object() || !Each.contains("service") || !Each["service"].is_string() ||
          !Each.contains("failure_domain") || !Each["failure_domain"].is_string()) {
        this->addErrors({{Path, 0, 0, "a target has no service or no failure domain"}});
        return;
      }
      const RegionName Region =
          Fleet.regionOf(FailureDomainName(Each["failure_domain"].get<std::string>()));
      (*this->Context.TargetRegions)[ServiceName(Each["service"].get<std::string>())].insert(
          Region);
    }
  }

  /// `Current` is the file of the version in force if the findings are differences to it.
  void addFindings(const std::vector<ConfigurationFinding> &Added, const std::string &Path,
                   const platform::ConfigurationFile &Next,
                   const platform::ConfigurationFile *Current, const std::string &CurrentPath) {
    for (const ConfigurationFinding &Each : Added) {
      LocatedFinding Located;
      platform::FileLocation Place = Next.locate(Each.Part, Each.Name);
      Located.Place.Path = Path;
      if (Current && Place == platform::FileLocation{} &&
          Current->locate(Each.Part, Each.Name) != Place) {
        // What the new version drops is found in the version in force only.
        Place = Current->locate(Each.Part, Each.Name);
        Located.Place.Path = CurrentPath;
      }
      Located.Place.Line = Place.Line;
      Located.Place.Column = Place.Column;
      const std::string Part = partName(Each.Part);
      Located.Place.Message = Part + (Each.Name.empty() ? "" : " '" + Each.Name + "'") +
                              (Part.empty() ? "" : ": ") + Each.Message;
      Located.Severity = Each.Severity;
      Located.Kind = Each.Kind;
      Located.IsChange = Current != nullptr;
      this->Findings.push_back(std::move(Located));
    }
  }

  ConfigurationCheckContext Context;
  std::vector<LocatedFinding> Findings;
};

nlohmann::json toJson(const LocatedFinding &Finding) {
  return {{"path", Finding.Place.Path},     {"line", Finding.Place.Line},
          {"column", Finding.Place.Column}, {"severity", toString(Finding.Severity)},
          {"kind", Finding.Kind},           {"message", Finding.Place.Message}};
}

void writeJson(std::ostream &Out, const nlohmann::json &Value) {
  Out << Value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

void writeText(std::ostream &Out, const std::vector<LocatedFinding> &Findings) {
  for (const LocatedFinding &Each : Findings) {
    Diagnostic Line = Each.Place;
    if (Each.Kind != "invalid") {
      Line.Message = std::string(toString(Each.Severity)) + ": " +
                     (Each.IsChange ? "change: " : "") + Line.Message + " [" + Each.Kind + "]";
    }
    Out << toString(Line) << '\n';
  }
}

} // namespace

void CheckCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "check", "Check settings files of daemons (TOML) and configurations as they are published "
               "(JSON) offline and report all findings at once");
  this->Subcommand->add_option("path", this->Paths, "Settings files or configurations")
      ->required()
      ->check(CLI::ExistingFile);
  this->Subcommand
      ->add_option("--against", this->AgainstPath,
                   "Configuration in force; reports what changes for callers")
      ->check(CLI::ExistingFile);
  CLI::Option *Settings =
      this->Subcommand
          ->add_option("--settings", this->SettingsPath,
                       "Settings of an entry, to check home regions and budgets of configurations")
          ->check(CLI::ExistingFile);
  this->Subcommand
      ->add_option("--targets", this->TargetsPath,
                   "Registered targets, as the page /targets of an entry lists them")
      ->check(CLI::ExistingFile)
      ->needs(Settings);
  this->Subcommand->add_option("--format", this->Format, "text, or json for an object")
      ->check(CLI::IsMember({"text", "json"}));
  this->Subcommand->add_flag("--json", this->AsJson, "Write a JSON array of all findings");
}

leaf::result<ExitCode> CheckCommand::run(std::ostream &Out) {
  if (!this->AgainstPath.empty() && this->Paths.size() > 1) {
    return leaf::new_error(ToolError{ExitCode::Usage, "--against needs a single configuration"});
  }
  FileChecker Checker;
  Checker.readContext(this->SettingsPath, this->TargetsPath);
  for (const std::string &Path : this->Paths) {
    Checker.check(Path, this->AgainstPath);
  }
  const std::vector<LocatedFinding> &Findings = Checker.findings();
  if (this->AsJson || this->Format == "json") {
    nlohmann::json All = nlohmann::json::array();
    nlohmann::json Object = {{"findings", nlohmann::json::array()},
                             {"changes", nlohmann::json::array()}};
    for (const LocatedFinding &Each : Findings) {
      All.push_back(toJson(Each));
      Object[Each.IsChange ? "changes" : "findings"].push_back(toJson(Each));
    }
    writeJson(Out, this->AsJson ? All : Object);
  } else {
    writeText(Out, Findings);
  }
  const auto Has = [&Findings](FindingSeverity Severity) {
    return std::any_of(Findings.begin(), Findings.end(), [Severity](const LocatedFinding &Each) {
      return Each.Severity == Severity;
    });
  };
  if (Has(FindingSeverity::Error)) {
    return ExitCode::Diagnostics;
  }
  return Has(FindingSeverity::Warning) ? ExitCode::Warnings : ExitCode::Success;
}

} // namespace anvilsaddle
