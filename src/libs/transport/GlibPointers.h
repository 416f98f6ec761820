#pragma once

#include <memory>

#include <gio/gio.h>

namespace anvilsaddle {

struct GObjectUnref {
  void operator()(gpointer Object) const { g_object_unref(Object); }
};
/// Owns one reference of a GObject.
template <typename T> using GObjectPointer = std::unique_ptr<T, GObjectUnref>;

/// Returns a new reference to an object that is owned elsewhere.
template <typename T> GObjectPointer<T> shareObject(T *Object) {
  return GObjectPointer<T>(static_cast<T *>(g_object_ref(Object)));
}

struct GFree {
  void operator()(gpointer Memory) const { g_free(Memory); }
};

struct GErrorFree {
  void operator()(GError *Error) const { g_error_free(Error); }
};
using GErrorPointer = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
  void operator()(GBytes *Bytes) const { g_bytes_unref(Bytes); }
};
using GBytesPointer = std::unique_ptr<GBytes, GBytesUnref>;

struct GMainLoopUnref {
  void operator()(GMainLoop *Loop) const { g_main_loop_unref(Loop); }
};
using GMainLoopPointer = std::unique_ptr<GMainLoop, GMainLoopUnref>;

} // namespace anvilsaddle
