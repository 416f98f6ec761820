#include "coordination/KeyLedger.h"

namespace anvilsaddle {

KeyAdmission KeyLedger::begin(const CustomerName &Customer, const std::string &Key,
                              TimePoint Expiry, TimePoint Now) {
  this->removeExpired(Now);
  const LedgerKey Id(Customer, Key);
  const auto Found = this->Records.find(Id);
  if (Found != this->Records.end()) {
    if (Found->second.State != KeyState::NotRun) {
      return KeyAdmission::Duplicate;
    }
    Found->second.State = KeyState::Started;
    return KeyAdmission::Admitted;
  }
  if (this->Records.size() >= this->Capacity) {
    return KeyAdmission::LedgerFull;
  }
  const auto Added = this->Records.emplace(Id, KeyRecord{KeyState::Started, 0, Expiry}).first;
  this->ByExpiry.emplace(Expiry, Added);
  return KeyAdmission::Admitted;
}

void KeyLedger::finish(const CustomerName &Customer, const std::string &Key, KeyState State,
                       int Status) {
  const auto Found = this->Records.find(LedgerKey(Customer, Key));
  if (Found == this->Records.end()) {
    return;
  }
  Found->second.State = State;
  Found->second.Status = Status;
}

std::optional<KeyRecord> KeyLedger::find(const CustomerName &Customer,
                                         const std::string &Key) const {
  const auto Found = this->Records.find(LedgerKey(Customer, Key));
  if (Found == this->Records.end()) {
    return std::nullopt;
  }
  return Found->second;
}

void KeyLedger::removeExpired(TimePoint Now) {
  while (!this->ByExpiry.empty() && this->ByExpiry.begin()->first <= Now) {
    this->Records.erase(this->ByExpiry.begin()->second);
    this->ByExpiry.erase(this->ByExpiry.begin());
  }
}

} // namespace anvilsaddle
