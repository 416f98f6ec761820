#include "coordination/limits/HedgeBudget.h"

#include <algorithm>

namespace anvilsaddle {

void HedgeBudget::setEntryCount(std::size_t Count) {
  this->EntryCount = Count;
  this->Credit = std::min(this->Credit, this->maxCredit());
}

void HedgeBudget::onRequest() {
  this->Credit = std::min(this->maxCredit(), this->Credit + this->Limits.Share.value_or(0));
}

bool HedgeBudget::tryAcquire() {
  if (!this->canAcquire()) {
    return false;
  }
  this->Credit -= 1;
  return true;
}

} // namespace anvilsaddle
