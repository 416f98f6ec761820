#include "coordination/limits/HedgeBudget.h"

#include <algorithm>

namespace anvilsaddle {

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
