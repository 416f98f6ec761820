#pragma once

#include "state/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace anvilsaddle {

/// How far the responses of one connection have got to its caller. Not thread-safe; times must not
/// decrease.
class DeliveryProgress {
public:
  /// Output begins to wait.
  void onWaiting(TimePoint Now) { this->LastProgress = Now; }
  /// The first bytes of a further response are about to be added with onSent().
  void beginResponse() { this->EarlierBytes = this->SentBytes; }
  /// The socket has accepted bytes.
  void onSent(std::size_t Bytes, TimePoint Now) {
    this->SentBytes += Bytes;
    this->LastProgress = Now;
  }
  /// `Undelivered` is the number of bytes that the caller's host has not acknowledged. The socket
  /// takes further bytes only after a third of its buffer has been delivered, which can take long
  /// on a full link, so that delivery counts as progress too.
  void update(std::size_t Undelivered, TimePoint Now) {
    if (Undelivered < this->LastUndelivered) {
      this->LastProgress = Now;
    }
    this->LastUndelivered = Undelivered;
  }
  /// Time at which output began to wait or the caller took a part of it.
  TimePoint lastProgress() const { return this->LastProgress; }
  /// True if the caller's host has acknowledged all responses before the current one.
  bool hasDeliveredEarlierResponses(std::size_t Undelivered) const {
    const std::uint64_t Delivered =
        this->SentBytes - std::min<std::uint64_t>(Undelivered, this->SentBytes);
    return Delivered >= this->EarlierBytes;
  }

private:
  TimePoint LastProgress{};
  /// Undelivered bytes at the last update.
  std::size_t LastUndelivered = 0;
  /// Bytes of all responses, and of those before the current one.
  std::uint64_t SentBytes = 0;
  std::uint64_t EarlierBytes = 0;
};

} // namespace anvilsaddle
