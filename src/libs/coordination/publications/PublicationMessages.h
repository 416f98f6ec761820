#pragma once

#include "state/SourcePosition.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>

namespace anvilsaddle {

/// Message of an entry that reads the source: the position up to which it has read. Value
/// type.
struct RevisionNotice {
  SourcePosition Position;
  /// Time since the sender was known to have everything; absent if it never was, or if it is of an
  /// earlier version. Within a region, what the sender learned from other entries of the region
  /// doesn't count, so that readers that get no news from the source don't pass for working ones.
  std::optional<Duration> Staleness = std::nullopt;

  auto operator<=>(const RevisionNotice &) const = default;
};

/// Asks an entry of another region what it knows, because the source doesn't serve the own region.
/// Value type.
struct NoticeRequest {
  std::uint32_t Number = 0;

  auto operator<=>(const NoticeRequest &) const = default;
};

/// Response to a NoticeRequest. Value type.
struct NoticeReply {
  /// Number of the request.
  std::uint32_t Number = 0;
  /// The staleness is that of all that the sender knows, and not absent.
  RevisionNotice Notice;

  auto operator<=>(const NoticeReply &) const = default;
};

/// A message by which entries distribute publications.
using PublicationMessage = std::variant<RevisionNotice, NoticeRequest, NoticeReply>;

} // namespace anvilsaddle
