#include "transport/SocketWatch.h"

#include <utility>

namespace anvilsaddle {

struct SocketWatch::Source {
  GSource Base;
  gpointer DescriptorTag;
  SocketWatch *Owner;
};

SocketWatch::SocketWatch(int Descriptor, std::function<void(GIOCondition)> OnReady)
    : OnReady(std::move(OnReady)) {
  static GSourceFuncs Functions = {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
  GSource *Base = g_source_new(&Functions, sizeof(Source));
  this->WatchSource = reinterpret_cast<Source *>(Base);
  this->WatchSource->Owner = this;
  this->WatchSource->DescriptorTag = g_source_add_unix_fd(Base, Descriptor, this->ActiveConditions);
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
  g_source_modify_unix_fd(&this->WatchSource->Base, this->WatchSource->DescriptorTag, Conditions);
}

gboolean SocketWatch::dispatch(GSource *Base, GSourceFunc, gpointer) {
  auto *Self = reinterpret_cast<Source *>(Base);
  const GIOCondition Ready = g_source_query_unix_fd(Base, Self->DescriptorTag);
  if (Self->Owner && Self->Owner->ActiveConditions != 0 && Ready != 0) {
    // Call a copy, because the function may destroy the watch, which owns the original.
    const std::function<void(GIOCondition)> Callback = Self->Owner->OnReady;
    Callback(Ready);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
