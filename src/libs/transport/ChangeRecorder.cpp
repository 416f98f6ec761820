#include "transport/ChangeRecorder.h"

#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/RequestLogFields.h"

#include <optional>
#include <utility>

namespace anvilsaddle {

void ChangeRecorder::onSeedsChanged(std::size_t OldCount, std::size_t NewCount) {
  this->append("settings/seeds", std::to_string(OldCount), std::to_string(NewCount),
               "the settings file changed");
}

void ChangeRecorder::onEntriesChanged(std::size_t OldCount, std::size_t NewCount,
                                      std::size_t InRegion) {
  logStateChange("entries_changed",
                 {{"live", std::to_string(NewCount)}, {"in_region", std::to_string(InRegion)}});
  this->append("entries", std::to_string(OldCount), std::to_string(NewCount), "membership");
}

void ChangeRecorder::onRetryShare(const RetryShare &Share, double BaseShare,
                                  std::size_t LiveCount) {
  const TimePoint Now = this->Time.now();
  if (this->RecordedShare == Share ||
      (this->RecordedShare && Now - this->ShareRecordedAt < MinRetryShareInterval)) {
    return;
  }
  logStateChange("retry_budget_share", {{"base_share", std::to_string(BaseShare)},
                                        {"entries", std::to_string(Share.EntryCount)},
                                        {"live", std::to_string(LiveCount)},
                                        {"reason", toString(Share.Reason)}});
  this->RecordedShare = Share;
  this->ShareRecordedAt = Now;
}

void ChangeRecorder::onConfiguration(std::uint64_t Version, const std::string &From,
                                     const std::string &Source,
                                     std::optional<TimePoint> KnownAsOf) {
  logStateChange("configuration_in_force",
                 {{"version", std::to_string(Version)},
                  {"from", From},
                  {"source", Source},
                  {"staleness_ms", formatStaleness(KnownAsOf, this->Time.now())}});
  this->append("configuration", From, std::to_string(Version), "published", Version);
}

void ChangeRecorder::onPublication(const Publication &Change) {
  if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    this->onTargetRegistered(Registered->Registration);
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    logEvent(LogLevel::Info, "target_removed", {{"target", Removed->Name.str()}});
    this->append("target/" + Removed->Name.str(), "", "removed", "registration removed");
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    const char *NewState = Evacuation->Active ? "taken out" : "in service";
    logStateChange("failure_domain_changed",
                   {{"failure_domain", Evacuation->Domain.str()}, {"to", NewState}});
    this->append("failure_domain/" + Evacuation->Domain.str(), "", NewState, "published");
  }
}

void ChangeRecorder::onTargetRegistered(const Target &Registration) {
  const TargetState *Known = this->Targets.find(Registration.Name);
  if (Known && Known->Registration == Registration) {
    return;
  }
  const char *State = Registration.Draining ? "draining" : "ready";
  logEvent(LogLevel::Info, "target_registered",
           {{"target", Registration.Name.str()},
            {"service", Registration.Service.str()},
            {"state", State}});
  this->append("target/" + Registration.Name.str(), "", State, "registered");
}

void ChangeRecorder::onSaturationChanged(const std::vector<SaturationChange> &Changed) {
  for (const SaturationChange &Each : Changed) {
    const char *NewState = Each.Factor > 1 ? "slower" : "not slower";
    logStateChange("saturation_changed", {{"service", Each.Service.str()},
                                          {"occupancy", toString(Each.Occupancy)},
                                          {"to", NewState},
                                          {"factor", std::to_string(Each.Factor)},
                                          {"fleet_responses", std::to_string(Each.Responses)}});
    this->append("saturation/" + Each.Service.str() + "/" + toString(Each.Occupancy), "", NewState,
                 "response times");
  }
}

void ChangeRecorder::recordChangedConditions() {
  for (const TargetName &Name : this->Targets.takeChangedConditions()) {
    const TargetState *State = this->Targets.find(Name);
    if (!State) {
      continue;
    }
    const std::optional<double> &Limit = State->Conditions.RequestLimit;
    logEvent(LogLevel::Info, "target_conditions_changed",
             {{"target", Name.str()},
              {"service", State->Registration.Service.str()},
              {"started_ms", std::to_string(State->Registration.StartedUnixMilliseconds)},
              {"limit_per_s", Limit ? std::to_string(*Limit) : "none"},
              {"leaving", State->Conditions.IsLeaving ? "yes" : "no"}});
  }
}

void ChangeRecorder::recordNewPauses() {
  for (const TargetPause &Each : this->Targets.takeNewPauses()) {
    const std::int64_t EndUnixMilliseconds =
        this->Time.unixMilliseconds() + toMilliseconds(Each.Left);
    logEvent(LogLevel::Info, "target_paused",
             {{"target", Each.Name.str()},
              {"service", Each.Service.str()},
              {"started_ms", std::to_string(Each.StartedUnixMilliseconds)},
              {"requested_s", formatSeconds(Each.Requested)},
              {"left_s", formatSeconds(Each.Left)},
              {"ends_ms", std::to_string(EndUnixMilliseconds)}});
  }
}

void ChangeRecorder::append(std::string Subject, std::string OldValue, std::string NewValue,
                            const std::string &Reason, std::uint64_t ConfigurationVersion) {
  AuditRecord Record;
  Record.UnixMilliseconds = this->Time.unixMilliseconds();
  Record.Subject = std::move(Subject);
  Record.OldValue = std::move(OldValue);
  Record.NewValue = std::move(NewValue);
  Record.ConfigurationVersion = ConfigurationVersion;
  Record.Reason = Reason;
  this->Audit.append(std::move(Record));
}

} // namespace anvilsaddle
