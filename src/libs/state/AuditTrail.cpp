#include "state/AuditTrail.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilsaddle {

const AuditRecord &AuditTrail::append(AuditRecord Record) {
  if (this->Records.size() == this->Capacity) {
    this->Records.pop_front();
  }
  Record.Sequence = ++this->LastSequence;
  return this->Records.emplace_back(std::move(Record));
}

std::vector<AuditRecord> AuditTrail::recordsAfter(std::uint64_t After) const {
  std::vector<AuditRecord> Result;
  std::ranges::copy_if(this->Records, std::back_inserter(Result),
                       [After](const AuditRecord &Record) { return Record.Sequence > After; });
  return Result;
}

} // namespace anvilsaddle
