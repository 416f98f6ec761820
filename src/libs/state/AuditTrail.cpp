#include "state/AuditTrail.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilsaddle {

const AuditEntry &AuditTrail::append(AuditEntry Entry) {
  if (this->Entries.size() == this->Capacity) {
    this->Entries.pop_front();
  }
  Entry.Sequence = ++this->LastSequence;
  return this->Entries.emplace_back(std::move(Entry));
}

std::vector<AuditEntry> AuditTrail::entriesAfter(std::uint64_t After) const {
  std::vector<AuditEntry> Result;
  std::ranges::copy_if(this->Entries, std::back_inserter(Result),
                       [After](const AuditEntry &Entry) { return Entry.Sequence > After; });
  return Result;
}

} // namespace anvilsaddle
