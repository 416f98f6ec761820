#include "AuditCommand.h"

#include "TextTable.h"

#include <ostream>
#include <string>

#include <glib.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

/// UTC with milliseconds, for example `2026-12-04T11:00:00.250Z`.
std::string timeText(const nlohmann::json &Entry) {
  const std::int64_t Milliseconds = Entry.is_object() ? Entry.value("unix_ms", std::int64_t{0}) : 0;
  GDateTime *Time = g_date_time_new_from_unix_utc(Milliseconds / 1000);
  if (!Time) {
    return "?";
  }
  gchar *Text = g_date_time_format(Time, "%Y-%m-%dT%H:%M:%S");
  const std::string Fraction = std::to_string(1000 + Milliseconds % 1000).substr(1);
  std::string Result = std::string(Text) + "." + Fraction + "Z";
  g_free(Text);
  g_date_time_unref(Time);
  return Result;
}

void wait(double Seconds) { g_usleep(static_cast<gulong>(Seconds * G_USEC_PER_SEC)); }

} // namespace

void AuditCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand("audit", "Show what changed in a daemon, when and why");
  this->Daemon.addTo(*this->Declared, "operators");
  this->Declared->add_flag("-f,--follow", this->Follow,
                           "Keep asking for new changes until interrupted or the daemon is gone");
  this->Declared->add_option("--after", this->After, "Only changes after this sequence number")
      ->type_name("SEQUENCE")
      ->capture_default_str();
  this->Declared
      ->add_option("--interval", this->IntervalSeconds, "Pause between questions of --follow")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.01, 3600.0))
      ->capture_default_str();
}

leaf::result<ExitCode> AuditCommand::run(std::ostream &Out) {
  for (;;) {
    BOOST_LEAF_AUTO(Entries, this->Daemon.ask("/audit?after=" + std::to_string(this->After)));
    if (!Entries.is_array()) {
      return leaf::new_error(
          ToolError{ExitCode::Unreachable, "the daemon's audit answer is not a list"});
    }
    this->write(Out, Entries);
    for (const auto &Each : Entries) {
      this->After = std::max(this->After,
                             Each.is_object() ? Each.value("sequence", this->After) : this->After);
    }
    if (!this->Follow) {
      return ExitCode::Fine;
    }
    Out.flush();
    wait(this->IntervalSeconds);
  }
}

void AuditCommand::write(std::ostream &Out, const nlohmann::json &Entries) const {
  if (this->Daemon.Json) {
    // One line for each entry, so that --follow gives a stream that other programs can read.
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
    Table.add({fieldText(Each, "sequence"), timeText(Each), fieldText(Each, "what"),
               fieldText(Each, "from"), fieldText(Each, "to"), fieldText(Each, "revision"),
               fieldText(Each, "why")});
  }
  Table.write(Out);
}

} // namespace anvilsaddle
