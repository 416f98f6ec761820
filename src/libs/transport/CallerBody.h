#pragma once

#include "transport/BodySource.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <functional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Body of a caller's request that is passed on while it arrives. Stops reading from the caller
/// while 64 KB wait to be sent. Not thread-safe.
class CallerBody final : public BodySource {
public:
  enum class Problem { TooLarge, Truncated };

  /// Reads the body of `Caller` from now on; `OnProblem` is called at most once, when the body
  /// exceeds `MaxBytes` or the connection ends within it, and may destroy this object.
  /// Precondition: the headers have arrived, the body not yet.
  CallerBody(SoupServerMessage *Caller, std::int64_t MaxBytes,
             std::function<void(Problem)> OnProblem);
  ~CallerBody() override;
  CallerBody(const CallerBody &) = delete;
  CallerBody &operator=(const CallerBody &) = delete;

  std::string takeBody() override;
  bool isBodyComplete() const override { return this->Complete; }
  void setBodyCallback(std::function<void()> OnMore) override { this->OnMore = std::move(OnMore); }
  /// True while no part was taken, so that the whole body can still be sent.
  bool isWhole() const { return !this->Taken; }

private:
  static void onChunk(SoupServerMessage *Caller, GBytes *Bytes, gpointer Data);
  void report(Problem What);
  static void onBodyEnd(SoupServerMessage *Caller, gpointer Data);

  GObjectPointer<SoupServerMessage> Caller;
  std::int64_t MaxBytes;
  std::function<void(Problem)> OnProblem;
  std::function<void()> OnMore;
  std::string Waiting;
  std::int64_t Received = 0;
  bool Paused = false;
  bool Taken = false;
  bool Complete = false;
};

} // namespace anvilsaddle
