#include "transport/CallerBody.h"

#include "transport/CallerWatch.h"

#include <utility>

namespace anvilsaddle {

namespace {
constexpr std::size_t MaxWaitingBytes = 65536;
} // namespace

CallerBody::CallerBody(SoupServerMessage *Caller, std::int64_t MaxBytes,
                       std::function<void(Problem)> OnProblem)
    : Caller(shareObject(Caller)), MaxBytes(MaxBytes), OnProblem(std::move(OnProblem)) {
  soup_message_body_set_accumulate(soup_server_message_get_request_body(Caller), FALSE);
  g_signal_connect(Caller, "got-chunk", G_CALLBACK(onChunk), this);
  g_signal_connect(Caller, "got-body", G_CALLBACK(onBodyEnd), this);
}

CallerBody::~CallerBody() { g_signal_handlers_disconnect_by_data(this->Caller.get(), this); }

void CallerBody::onChunk(SoupServerMessage *Caller, GBytes *Bytes, gpointer Data) {
  auto &Self = *static_cast<CallerBody *>(Data);
  gsize Size = 0;
  const auto *Part = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  Self.Received += static_cast<std::int64_t>(Size);
  if (Self.Received > Self.MaxBytes) {
    Self.report(Problem::TooLarge);
    return;
  }
  if (Size == 0) {
    return;
  }
  Self.Waiting.append(Part, Size);
  if (Self.Waiting.size() >= MaxWaitingBytes) {
    Self.Paused = true;
    soup_server_message_pause(Caller);
  }
  if (Self.OnMore) {
    Self.OnMore();
  }
}

void CallerBody::onBodyEnd(SoupServerMessage *, gpointer Data) {
  auto &Self = *static_cast<CallerBody *>(Data);
  // The library takes the end of the connection between two chunks for the end of the body.
  if (isAtEnd(soup_server_message_get_socket(Self.Caller.get()))) {
    Self.report(Problem::Truncated);
    return;
  }
  Self.Complete = true;
  if (Self.OnMore) {
    Self.OnMore();
  }
}

void CallerBody::report(Problem What) {
  soup_server_message_pause(this->Caller.get());
  if (this->OnProblem) {
    std::exchange(this->OnProblem, nullptr)(What);
  }
}

std::string CallerBody::takeBody() {
  std::string Result = std::exchange(this->Waiting, {});
  this->Taken = this->Taken || !Result.empty();
  if (std::exchange(this->Paused, false)) {
    soup_server_message_unpause(this->Caller.get());
  }
  return Result;
}

} // namespace anvilsaddle
