#include "transport/ScheduledCall.h"

#include <utility>

namespace anvilsaddle {

void ScheduledCall::callNext(std::function<void()> NewFunction) {
  this->cancel();
  this->Function = std::move(NewFunction);
  this->SourceId = g_idle_add_full(G_PRIORITY_DEFAULT, dispatch, this, nullptr);
}

void ScheduledCall::callAfter(Duration Delay, std::function<void()> NewFunction) {
  this->cancel();
  this->Function = std::move(NewFunction);
  this->SourceId = g_timeout_add(static_cast<guint>(toMilliseconds(Delay)), dispatch, this);
}

void ScheduledCall::cancel() {
  g_clear_handle_id(&this->SourceId, g_source_remove);
  this->Function = nullptr;
}

gboolean ScheduledCall::dispatch(gpointer Data) {
  auto &Self = *static_cast<ScheduledCall *>(Data);
  Self.SourceId = 0;
  // The function may schedule another call or destroy this object, which owns the original.
  const std::function<void()> Pending = std::exchange(Self.Function, nullptr);
  Pending();
  return G_SOURCE_REMOVE;
}

} // namespace anvilsaddle
