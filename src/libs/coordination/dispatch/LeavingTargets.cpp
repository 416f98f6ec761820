#include "coordination/dispatch/LeavingTargets.h"

#include "coordination/EraseOldest.h"

namespace anvilsaddle {

void LeavingTargets::add(const Target &Registration, TimePoint Now) {
  if (Registration.StartedUnixMilliseconds == 0) {
    return;
  }
  this->Announcements[Registration.Name] = {Registration.StartedUnixMilliseconds, Now};
  if (this->Announcements.size() > MaxTargets) {
    eraseOldest(this->Announcements);
  }
}

bool LeavingTargets::contains(const Target &Registration) const {
  const auto Found = this->Announcements.find(Registration.Name);
  return Found != this->Announcements.end() &&
         Found->second.StartedUnixMilliseconds == Registration.StartedUnixMilliseconds;
}

} // namespace anvilsaddle
