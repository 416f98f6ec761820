#include "transport/SocketWatch.h"

#include <utility>

namespace anvilsaddle {

struct SocketWatch::Source {
  GSource Base;
  gpointer Tag;
  SocketWatch *Owner;
};

SocketWatch::SocketWatch(int Descriptor, std::function<void(GIOCondition)> OnReady)
    : OnReady(std::move(OnReady)) {
  static GSourceFuncs Functions = {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
  GSource *Base = g_source_new(&Functions, sizeof(Source));
  this->Inner = reinterpret_cast<Source *>(Base);
  this->Inner->Owner = this;
  this->Inner->Tag = g_source_add_unix_fd(Base, Descriptor, this->Watched);
  g_source_attach(Base, g_main_context_get_thread_default());
}

SocketWatch::~SocketWatch() {
  this->Inner->Owner = nullptr;
  g_source_destroy(&this->Inner->Base);
  g_source_unref(&this->Inner->Base);
}

void SocketWatch::set(GIOCondition Conditions) {
  if (Conditions == this->Watched) {
    return;
  }
  this->Watched = Conditions;
  g_source_modify_unix_fd(&this->Inner->Base, this->Inner->Tag, Conditions);
}

gboolean SocketWatch::dispatch(GSource *Base, GSourceFunc, gpointer) {
  auto *Self = reinterpret_cast<Source *>(Base);
  const GIOCondition Ready = g_source_query_unix_fd(Base, Self->Tag);
  if (Self->Owner && Self->Owner->Watched != 0 && Ready != 0) {
    // A copy, because the function may destroy the watch and with it the original.
    const std::function<void(GIOCondition)> Callback = Self->Owner->OnReady;
    Callback(Ready);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
