#include "transport/CallerBody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace anvilsaddle {

namespace {
constexpr gsize MaxWaitingBytes = 65536;
} // namespace

/// GInputStream whose reads wait for parts of a CallerBody without a thread.
struct CallerBodyStream {
  GInputStream Parent;
  /// Null once the body is gone or another stream replaced this one.
  CallerBody *Body;
  GTask *Reader;
  void *Buffer;
  gsize Size;
};

struct CallerBodyStreamClass {
  GInputStreamClass Parent;
};

G_DEFINE_TYPE(CallerBodyStream, caller_body_stream, G_TYPE_INPUT_STREAM) // NOLINT

struct CallerBodyAccess {
  static CallerBodyStream *from(gpointer Stream) { return static_cast<CallerBodyStream *>(Stream); }

  static gssize read(GInputStream *, void *, gsize, GCancellable *, GError **Error) {
    g_set_error_literal(Error, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED, "asynchronous reads only");
    return -1;
  }

  static void readAsync(GInputStream *Stream, void *Buffer, gsize Size, int,
                        GCancellable *Cancellable, GAsyncReadyCallback Callback, gpointer Data) {
    CallerBodyStream *Self = from(Stream);
    Self->Reader = g_task_new(Stream, Cancellable, Callback, Data);
    Self->Buffer = Buffer;
    Self->Size = Size;
    if (Cancellable) {
      // Without this, a cancelled call would wait for a caller that sends nothing.
      GSource *Watch = g_cancellable_source_new(Cancellable);
      g_task_attach_source(Self->Reader, Watch, G_SOURCE_FUNC(onCancelled));
      g_source_unref(Watch);
    }
    answer(Self);
  }

  static gboolean onCancelled(GCancellable *, gpointer Data) {
    auto *Task = G_TASK(Data);
    CallerBodyStream *Self = from(g_task_get_source_object(Task));
    if (Self->Reader == Task) {
      Self->Reader = nullptr;
      g_task_return_error_if_cancelled(Task);
      g_object_unref(Task);
    }
    return G_SOURCE_REMOVE;
  }

  static gssize readFinish(GInputStream *, GAsyncResult *Result, GError **Error) {
    return g_task_propagate_int(G_TASK(Result), Error);
  }

  static void answer(CallerBodyStream *Self) {
    if (!Self->Reader || (Self->Body && !Self->Body->isReadable())) {
      return;
    }
    const GObjectPointer<GTask> Task(std::exchange(Self->Reader, nullptr));
    if (!Self->Body) {
      g_task_return_new_error(Task.get(), G_IO_ERROR, G_IO_ERROR_CLOSED,
                              "the caller's body ended early");
      return;
    }
    g_task_return_int(Task.get(), Self->Body->take(Self->Buffer, Self->Size));
  }

  static void release(gpointer Stream) {
    CallerBodyStream *Self = from(Stream);
    Self->Body = nullptr;
    answer(Self);
    g_object_unref(Stream);
  }
};

static void caller_body_stream_init(CallerBodyStream *) {}

static void caller_body_stream_class_init(CallerBodyStreamClass *Class) {
  Class->Parent.read_fn = CallerBodyAccess::read;
  Class->Parent.read_async = CallerBodyAccess::readAsync;
  Class->Parent.read_finish = CallerBodyAccess::readFinish;
}

CallerBody::CallerBody(SoupServerMessage *Caller, std::int64_t MaxBytes,
                       std::function<void()> OnTooLarge)
    : Caller(shareObject(Caller)), MaxBytes(MaxBytes), OnTooLarge(std::move(OnTooLarge)) {
  soup_message_body_set_accumulate(soup_server_message_get_request_body(Caller), FALSE);
  g_signal_connect(Caller, "got-chunk", G_CALLBACK(onChunk), this);
  g_signal_connect(Caller, "got-body", G_CALLBACK(onBodyEnd), this);
}

CallerBody::~CallerBody() {
  g_signal_handlers_disconnect_by_data(this->Caller.get(), this);
  if (this->Stream) {
    CallerBodyAccess::release(std::exchange(this->Stream, nullptr));
  }
}

GObjectPointer<GInputStream> CallerBody::openStream() {
  if (this->Stream) {
    CallerBodyAccess::release(std::exchange(this->Stream, nullptr));
  }
  auto *Next =
      static_cast<CallerBodyStream *>(g_object_new(caller_body_stream_get_type(), nullptr));
  Next->Body = this;
  this->Stream = &Next->Parent;
  return shareObject(this->Stream);
}

void CallerBody::onChunk(SoupServerMessage *Caller, GBytes *Bytes, gpointer Data) {
  auto &Self = *static_cast<CallerBody *>(Data);
  const gsize Size = g_bytes_get_size(Bytes);
  Self.Received += static_cast<std::int64_t>(Size);
  if (Self.Received > Self.MaxBytes) {
    soup_server_message_pause(Caller);
    if (Self.OnTooLarge) {
      std::exchange(Self.OnTooLarge, nullptr)();
    }
    return;
  }
  if (Size == 0) {
    return;
  }
  Self.Waiting.emplace_back(g_bytes_ref(Bytes));
  Self.WaitingBytes += Size;
  if (Self.WaitingBytes >= MaxWaitingBytes) {
    Self.Paused = true;
    soup_server_message_pause(Caller);
  }
  Self.answerReader();
}

void CallerBody::onBodyEnd(SoupServerMessage *, gpointer Data) {
  auto &Self = *static_cast<CallerBody *>(Data);
  Self.Complete = true;
  Self.answerReader();
}

bool CallerBody::isReadable() const { return this->Complete || !this->Waiting.empty(); }

gssize CallerBody::take(void *Buffer, gsize Size) {
  gsize Copied = 0;
  this->Taken = true;
  while (Copied < Size && !this->Waiting.empty()) {
    gsize PartSize = 0;
    const auto *Part =
        static_cast<const char *>(g_bytes_get_data(this->Waiting.front().get(), &PartSize));
    const gsize Now = std::min(Size - Copied, PartSize - this->FirstOffset);
    std::memcpy(static_cast<char *>(Buffer) + Copied, Part + this->FirstOffset, Now);
    Copied += Now;
    this->FirstOffset += Now;
    if (this->FirstOffset == PartSize) {
      this->Waiting.pop_front();
      this->FirstOffset = 0;
    }
  }
  this->WaitingBytes -= Copied;
  if (this->Paused && this->WaitingBytes < MaxWaitingBytes) {
    this->Paused = false;
    soup_server_message_unpause(this->Caller.get());
  }
  return static_cast<gssize>(Copied);
}

void CallerBody::answerReader() {
  if (this->Stream) {
    CallerBodyAccess::answer(reinterpret_cast<CallerBodyStream *>(this->Stream));
  }
}

} // namespace anvilsaddle
