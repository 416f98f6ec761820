#include "model/RandomPolicy.h"

#include "model/ModelTargets.h"

#include <utility>

namespace anvilsaddle {

void RandomPolicy::onRequest(ModelRequest Request) {
  const auto Count = static_cast<double>(this->Targets.size());
  const auto Target = static_cast<std::size_t>(this->Random.uniform() * Count);
  this->Targets.send(Target, Request.ProcessingTime,
                     [OnEnd = std::move(Request.OnEnd)](bool Executed) {
                       OnEnd(Executed ? ModelOutcome::Served : ModelOutcome::Refused,
                             std::chrono::milliseconds(100));
                     });
}

} // namespace anvilsaddle
