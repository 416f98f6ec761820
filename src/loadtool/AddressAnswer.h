#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilsaddle {

/// Answer to `GET /v1/entries`. Value type.
struct AddressAnswer {
  /// `address:port`, best first.
  std::vector<std::string> Entries;
  Duration TimeToKeep{0};
  std::string Ticket;

  auto operator<=>(const AddressAnswer &) const = default;
};

/// Reads the JSON body; nothing if it is malformed or names no entry.
std::optional<AddressAnswer> parseAddressAnswer(std::string_view Body);

/// Splits the value of Anvilsaddle-Entries.
std::vector<std::string> splitEntries(std::string_view Header);

/// Idempotency key `<ticket>.<seed>-<number>`: equal tickets, seeds and numbers give equal keys, so
/// that a second run can repeat the keys of the first.
std::string formKey(std::string_view Ticket, std::uint64_t Seed, std::uint32_t Number);

} // namespace anvilsaddle
