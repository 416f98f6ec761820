#include "coordination/GroupTable.h"

namespace anvilsaddle {

void GroupTable::setOwned(const GroupId &Group,
                          const std::vector<std::pair<GroupTarget, std::uint32_t>> &Usable,
                          TimePoint Now) {
  Entry &Known = this->Entries[Group];
  if (!Known.Policy) {
    Known.Policy = this->MakePolicy();
  }
  Known.Owned = true;
  std::vector<DispatchTarget> Targets;
  for (const auto &[Target, Slots] : Usable) {
    Targets.push_back({Target.Target, Slots});
    Known.Destinations.insert_or_assign(Target.Target, Target.Destination);
  }
  Known.Policy->setTargets(Targets, Now);
}

void GroupTable::disown(const GroupId &Group, TimePoint Now) {
  const auto Found = this->Entries.find(Group);
  if (Found == this->Entries.end()) {
    return;
  }
  Found->second.Owned = false;
  Found->second.Policy->setTargets({}, Now);
  const DispatchLoad Load = Found->second.Policy->load();
  if (Load.InFlight == 0 && Load.Queued == 0) {
    this->Entries.erase(Found);
  }
}

bool GroupTable::owns(const GroupId &Group) const {
  const auto Found = this->Entries.find(Group);
  return Found != this->Entries.end() && Found->second.Owned;
}

std::vector<GroupId> GroupTable::ownedGroups() const {
  std::vector<GroupId> Result;
  for (const auto &[Group, Known] : this->Entries) {
    if (Known.Owned) {
      Result.push_back(Group);
    }
  }
  return Result;
}

DispatchPolicy *GroupTable::find(const GroupId &Group) const {
  const auto Found = this->Entries.find(Group);
  return Found == this->Entries.end() ? nullptr : Found->second.Policy.get();
}

std::vector<GroupAssignment> GroupTable::assign(TimePoint Now) {
  std::vector<GroupAssignment> Result;
  for (auto &[Group, Known] : this->Entries) {
    if (!Known.Owned) {
      continue;
    }
    for (const Assignment &Next : Known.Policy->assign(Now)) {
      ++this->Running[Next.Target];
      this->RunsOn.insert_or_assign(Next.Request, Next.Target);
      Result.push_back({Group, Next, Known.Destinations.at(Next.Target)});
    }
  }
  return Result;
}

std::vector<RequestNumber> GroupTable::expire(TimePoint Now) {
  std::vector<RequestNumber> Result;
  for (auto &[Group, Known] : this->Entries) {
    const auto Expired = Known.Policy->expire(Now);
    Result.insert(Result.end(), Expired.begin(), Expired.end());
  }
  return Result;
}

std::optional<TimePoint> GroupTable::nextWakeup(TimePoint Now) const {
  std::optional<TimePoint> Result;
  for (const auto &[Group, Known] : this->Entries) {
    const auto Next = Known.Policy->nextWakeup(Now);
    if (Next && (!Result || *Next < *Result)) {
      Result = Next;
    }
  }
  return Result;
}

void GroupTable::onAttemptEnd(const GroupId &Group, RequestNumber Request,
                              const AttemptResult &Result, TimePoint Now) {
  const auto RunningOn = this->RunsOn.find(Request);
  if (RunningOn != this->RunsOn.end()) {
    const auto Count = this->Running.find(RunningOn->second);
    if (--Count->second == 0) {
      this->Running.erase(Count);
    }
    this->RunsOn.erase(RunningOn);
  }
  if (DispatchPolicy *Policy = this->find(Group)) {
    Policy->onAttemptEnd(Request, Result, Now);
  }
}

std::vector<GroupLoad> GroupTable::loads() const {
  std::vector<GroupLoad> Result;
  for (const auto &[Group, Known] : this->Entries) {
    if (Known.Owned) {
      const DispatchLoad Load = Known.Policy->load();
      Result.push_back({Group, Load.SpareSlots, Load.Queued});
    }
  }
  return Result;
}

std::vector<std::pair<GroupId, std::vector<TargetStatus>>> GroupTable::status() const {
  std::vector<std::pair<GroupId, std::vector<TargetStatus>>> Result;
  for (const auto &[Group, Known] : this->Entries) {
    if (Known.Owned) {
      Result.emplace_back(Group, Known.Policy->status());
    }
  }
  return Result;
}

} // namespace anvilsaddle
