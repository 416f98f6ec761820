#include "AuditCommand.h"

#include "TextTable.h"

#include <ostream>
#include <string>

#include <glib.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

/// Formats a time in UTC with milliseconds, for example `2026-12-04T11:00:00.250Z`.
std::string formatTime(const nlohmann::json &Entry) {
  const std::int64_t Milliseconds = Entry.is_object() ? Entry.value("unix_ms", std::int64_t{0}) : 0;
  GDateTime *DateTime = g_date_time_new_from_unix_utc(Milliseconds / 1000);
  if (!DateTime) {
    return "?";
  }
  gchar *Text = g_date_time_format(DateTime, "%Y-%m-%dT%H:%M:%S");
  const std::string Fraction = std::to_string(1000 + Milliseconds % 1000).substr(1);
  std::string Result = std::string(Text) + "." + Fraction + "Z";
  g_free(Text);
  g_date_time_unref(DateTime);
  return Result;
}

void sleepFor(double Seconds) { g_usleep(static_cast<gulong>(Seconds * G_USEC_PER_SEC)); }

} // namespace

void AuditCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "audit", "Show the recorded changes of a daemon with their times and reasons");
  this->Daemon.addTo(*this->Subcommand, "operators");
  this->Subcommand->add_flag(
      "-f,--follow", this->Follow,
      "Keep polling for new changes until interrupted or the daemon is unreachable");
  this->Subcommand
      ->add_option("--after", this->LastSequence, "Show only changes after this sequence number")
      ->type_name("SEQUENCE")
      ->capture_default_str();
  this->Subcommand->add_option("--interval", this->IntervalSeconds, "Polling interval of --follow")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.01, 3600.0))
      ->capture_default_str();
}

leaf::result<ExitCode> AuditCommand::run(std::ostream &Out) {
  for (;;) {
    BOOST_LEAF_AUTO(Entries,
                    this->Daemon.query("/audit?after=" + std::to_string(this->LastSequence)));
    if (!Entries.is_array()) {
      return leaf::new_error(
          ToolError{ExitCode::Unreachable, "the daemon's response to /audit is not a JSON array"});
    }
    this->write(Out, Entries);
    for (const auto &Each : Entries) {
      this->LastSequence =
          std::max(this->LastSequence, Each.is_object() ? Each.value("sequence", this->LastSequence)
                                                        : this->LastSequence);
    }
    if (!this->Follow) {
      return ExitCode::Success;
    }
    Out.flush();
    sleepFor(this->IntervalSeconds);
  }
}

void AuditCommand::write(std::ostream &Out, const nlohmann::json &Entries) const {
  if (this->Daemon.AsJson) {
    // One JSON object per line, so that other programs can read the stream of --follow.
    for (const auto &Each : Entries) {
      Out << Each.dump() << '\n';
    }
    return;
  }
  if (Entries.empty()) {
    return;
  }
  TextTable Table({"SEQUENCE", "TIME", "WHAT", "FROM", "TO", "REVISION", "WHY"});
  for (const auto &Each : Entries) {
    Table.add({fieldText(Each, "sequence"), formatTime(Each), fieldText(Each, "what"),
               fieldText(Each, "from"), fieldText(Each, "to"), fieldText(Each, "revision"),
               fieldText(Each, "why")});
  }
  Table.write(Out);
}

} // namespace anvilsaddle
