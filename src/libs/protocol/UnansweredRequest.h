#pragma once

#include "protocol/HttpMessage.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace anvilsaddle {

/// Reason for which a connection of a caller ended.
enum class CloseReason : std::uint8_t {
  /// The caller closed its side of the connection.
  CallerClosed,
  /// Reading failed, mostly because the caller reset the connection.
  ReadFailed,
  WriteFailed,
  IdleTimeout,
  /// An idle connection was closed to accept another one.
  ConnectionLimit,
  /// The entry shuts down and closes its idle connections.
  Shutdown,
  /// The source of a response that had begun failed, so the connection was reset.
  TruncatedResponse,
  /// The response before announced that it is the last one on the connection.
  LastResponse,
  /// The caller did not take its response while the entry needed the memory.
  OutputNotTaken,
  /// The bytes of the request were discarded because the entry needed the memory.
  InputRefused,
};

/// Number of values of CloseReason, for arrays of counters.
inline constexpr std::size_t CloseReasonCount = 10;

/// Short name for logs and metric labels, for example `idle_timeout`.
const char *toString(CloseReason Reason);

/// How far a request got that has no complete response.
enum class RequestStage : std::uint8_t {
  /// Bytes after the last request that was read were not parsed.
  Unread,
  /// A part of the request was received.
  Incomplete,
  /// The complete request was received, but not processed.
  Unprocessed,
  InProgress,
  /// The response was ready, but not sent completely.
  Unsent,
};

/// Number of values of RequestStage, for arrays of counters.
inline constexpr std::size_t RequestStageCount = 5;

/// Short name for logs and metric labels, for example `in_progress`.
const char *toString(RequestStage Stage);

/// A request whose connection ended before its response was complete. Value type.
struct UnansweredRequest {
  CloseReason Reason = CloseReason::CallerClosed;
  RequestStage Stage = RequestStage::Unread;
  /// Default-constructed if the head was not received.
  RequestHead Head;
  /// `address:port` of the caller; empty if it is no longer known.
  std::string Caller;

  auto operator<=>(const UnansweredRequest &) const = default;
};

/// Numbers of unanswered requests since the start of the process. Value type.
class UnansweredCounts {
public:
  void add(CloseReason Reason, RequestStage Stage) { ++this->find(Reason, Stage); }
  std::uint64_t count(CloseReason Reason, RequestStage Stage) const {
    return this->Counts.at(static_cast<std::size_t>(Reason)).at(static_cast<std::size_t>(Stage));
  }
  UnansweredCounts &operator+=(const UnansweredCounts &Other);

  auto operator<=>(const UnansweredCounts &) const = default;

private:
  std::uint64_t &find(CloseReason Reason, RequestStage Stage) {
    return this->Counts.at(static_cast<std::size_t>(Reason)).at(static_cast<std::size_t>(Stage));
  }

  std::array<std::array<std::uint64_t, RequestStageCount>, CloseReasonCount> Counts{};
};

} // namespace anvilsaddle
