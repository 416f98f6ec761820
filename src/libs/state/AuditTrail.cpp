#include "state/AuditTrail.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilsaddle {

const AuditRecord &AuditTrail::append(AuditRecord Entry) {
  if (this->Entries.size() == this->Capacity) {
    this->Entries.pop_front();
  }
  Entry.Sequence = ++this->LastSequence;
  return this->Entries.emplace_back(std::move(Entry));
}

std::vector<AuditRecord> AuditTrail::entriesAfter(std::uint64_t After) const {
  std::vector<AuditRecord> Result;
  std::ranges::copy_if(this->Entries, std::back_inserter(Result),
                       [After](const AuditRecord &Entry) { return Entry.Sequence > After; });
  return Result;
}

} // namespace anvilsaddle
