#include "transport/SocketWatch.h"

#include <utility>

namespace anvilsaddle {

struct SocketWatch::Source {
  GSource Base;
  /// Null while there are no conditions.
  gpointer DescriptorTag;
  SocketWatch *Owner;
};

SocketWatch::SocketWatch(int Descriptor, std::function<void(GIOCondition)> OnReady)
    : Descriptor(Descriptor), OnReady(std::move(OnReady)) {
  static GSourceFuncs Functions = {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
  GSource *Base = g_source_new(&Functions, sizeof(Source));
  this->WatchSource = reinterpret_cast<Source *>(Base);
  this->WatchSource->Owner = this;
  this->WatchSource->DescriptorTag = nullptr;
  g_source_attach(Base, g_main_context_get_thread_default());
}

SocketWatch::~SocketWatch() {
  this->WatchSource->Owner = nullptr;
  g_source_destroy(&this->WatchSource->Base);
  g_source_unref(&this->WatchSource->Base);
}

void SocketWatch::setConditions(GIOCondition Conditions) {
  if (Conditions == this->ActiveConditions) {
    return;
  }
  this->ActiveConditions = Conditions;
  GSource *Base = &this->WatchSource->Base;
  gpointer &Tag = this->WatchSource->DescriptorTag;
  if (Conditions == 0) {
    // An error that nobody reads would make the source ready in each iteration of the main loop.
    g_source_remove_unix_fd(Base, std::exchange(Tag, nullptr));
  } else if (Tag) {
    g_source_modify_unix_fd(Base, Tag, Conditions);
  } else {
    Tag = g_source_add_unix_fd(Base, this->Descriptor, Conditions);
  }
}

gboolean SocketWatch::dispatch(GSource *Base, GSourceFunc, gpointer) {
  auto *Self = reinterpret_cast<Source *>(Base);
  if (!Self->Owner || !Self->DescriptorTag) {
    return G_SOURCE_CONTINUE;
  }
  const GIOCondition Ready = g_source_query_unix_fd(Base, Self->DescriptorTag);
  if (Ready != 0) {
    // Call a copy, because the function may destroy the watch, which owns the original.
    const std::function<void(GIOCondition)> Callback = Self->Owner->OnReady;
    Callback(Ready);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
