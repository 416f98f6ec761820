#pragma once

#include <memory>
#include <utility>
#include <vector>

#include <glib.h>

namespace anvilsaddle {

/// Deletes objects in the next main loop iteration, when none of their functions is on the call
/// stack any more, so that an object can be removed from within its own functions. Not thread-safe;
/// uses the default main context.
template <typename Object> class DeferredDeletion {
public:
  DeferredDeletion() = default;
  ~DeferredDeletion() { g_clear_handle_id(&this->Timer, g_source_remove); }
  DeferredDeletion(const DeferredDeletion &) = delete;
  DeferredDeletion &operator=(const DeferredDeletion &) = delete;

  void add(std::unique_ptr<Object> Ended) {
    this->Objects.push_back(std::move(Ended));
    if (this->Timer == 0) {
      this->Timer = g_idle_add_full(G_PRIORITY_HIGH, onIdle, this, nullptr);
    }
  }

private:
  static gboolean onIdle(gpointer Data) {
    auto &Self = *static_cast<DeferredDeletion *>(Data);
    Self.Timer = 0;
    Self.Objects.clear();
    return G_SOURCE_REMOVE;
  }

  std::vector<std::unique_ptr<Object>> Objects;
  guint Timer = 0;
};

} // namespace anvilsaddle
