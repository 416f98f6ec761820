#pragma once

#include "transport/GlibPointers.h"

#include <cstdint>
#include <deque>
#include <functional>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Body of a caller's request that is passed on while it arrives. Stops reading from the caller
/// while 64 KB wait to be sent. Not thread-safe.
class CallerBody {
public:
  /// Reads the body of `Caller` from now on; `OnTooLarge` is called once when it exceeds
  /// `MaxBytes`. Precondition: the headers have arrived, the body not yet.
  CallerBody(SoupServerMessage *Caller, std::int64_t MaxBytes, std::function<void()> OnTooLarge);
  ~CallerBody();
  CallerBody(const CallerBody &) = delete;
  CallerBody &operator=(const CallerBody &) = delete;

  /// A stream of the body. An older stream ends with an error. Precondition: isWhole().
  GObjectPointer<GInputStream> openStream();
  /// True while no part was taken by a stream.
  bool isWhole() const { return !this->Taken; }
  /// True once the caller has sent the end of the body.
  bool isComplete() const { return this->Complete; }

private:
  friend struct CallerBodyStream;
  friend struct CallerBodyAccess;

  static void onChunk(SoupServerMessage *Caller, GBytes *Bytes, gpointer Data);
  static void onBodyEnd(SoupServerMessage *Caller, gpointer Data);

  bool isReadable() const;
  gssize take(void *Buffer, gsize Size);
  void answerReader();

  GObjectPointer<SoupServerMessage> Caller;
  std::int64_t MaxBytes;
  std::function<void()> OnTooLarge;
  std::deque<GBytesPointer> Waiting;
  std::int64_t Received = 0;
  gsize WaitingBytes = 0;
  gsize FirstOffset = 0;
  bool Paused = false;
  bool Taken = false;
  bool Complete = false;
  GInputStream *Stream = nullptr;
};

} // namespace anvilsaddle
