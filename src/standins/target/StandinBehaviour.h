#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// What a stand-in target does wrong with an answer.
enum class StandinFault {
  None,
  /// Closes the connection instead of answering.
  EarlyClose,
  /// Resets the connection in the middle of the body.
  KillMidAnswer,
  /// Closes the connection in order before the announced end of the body.
  ShortBody,
  /// Answers 500 at once.
  FailFast,
};

/// Behaviour of a stand-in target; may change at run time. Value type.
struct StandinBehaviour {
  std::uint32_t Slots = 3;
  /// Mean service time, milliseconds.
  double ServiceMilliseconds = 10;
  /// Exponential service times; constant ones otherwise.
  bool Exponential = true;
  /// Multiplies each service time.
  double Slowdown = 1;
  /// Answers at a concurrency of 1 that end a cold start. While cold, a second request at once
  /// makes the target answer 500 to all requests in flight. 0 is warm.
  std::uint32_t ColdAnswers = 0;
  /// Sheds with 503 and Retry-After over `Slots`; queues without a bound otherwise.
  bool ShedOverSlots = true;
  /// Sheds everything.
  bool Draining = false;
  StandinFault Fault = StandinFault::None;
  /// The fault meets each n-th request.
  std::uint32_t FaultEvery = 1;
  std::uint64_t BodyBytes = 5;
  /// Sends the body in chunks without a length.
  bool Chunked = false;
  /// Status of the health endpoint; 0 tells the truth.
  std::uint32_t HealthStatus = 0;
  /// Load that the load endpoint reports; negative tells the truth.
  std::int32_t ReportedLoad = -1;
  /// The load endpoint reports values of this long ago.
  std::uint32_t LoadLagMilliseconds = 0;

  auto operator<=>(const StandinBehaviour &) const = default;
};

/// Changes the fields that a JSON object names; returns an error text, empty on success. Nothing
/// changes on an error.
std::string changeBehaviour(StandinBehaviour &Behaviour, std::string_view Json);

} // namespace anvilsaddle
